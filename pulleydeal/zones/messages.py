"""Status messages between nodes: revision of the sender's copy, acknowledgements, silence."""

from dataclasses import dataclass, field

from pulleydeal.frames import Packer, Unpacker
from pulleydeal.workers.reachability import SilenceCounts

NODE_STATUS = 7  # message type on `back`; the others are in membership/messages.py


@dataclass(slots=True)
class NodeStatus:
    """One periodic status broadcast of a node."""

    stamp: float  # the sender's monotonic clock; opaque to receivers, which echo it
    revision: int  # the sender's copy of the state is at least as new as this
    served: bool  # the state service answers the sender
    echoes: dict[str, float] = field(default_factory=dict)  # node -> latest stamp received from it
    # zone -> (silent, known) machines of the sender
    seen: SilenceCounts = field(default_factory=dict)


def pack(status: NodeStatus) -> bytes:
    packer = Packer().f64(status.stamp).u64(status.revision).u8(status.served)
    packer.u16(len(status.echoes))
    for node, stamp in status.echoes.items():
        packer.text(node).f64(stamp)
    packer.u16(len(status.seen))
    for zone, (silent, known) in status.seen.items():
        packer.text(zone).u32(silent).u32(known)
    return packer.bytes()


def unpack(data: bytes) -> NodeStatus:
    """Decodes a status message; raises BadFrame if it is malformed."""
    u = Unpacker(data)
    stamp, revision, served = u.f64(), u.u64(), bool(u.u8())
    echoes = {u.text(): u.f64() for _ in range(u.u16())}
    seen = {u.text(): (u.u32(), u.u32()) for _ in range(u.u16())}
    return NodeStatus(stamp, revision, served, echoes, seen)
