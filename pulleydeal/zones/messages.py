"""What nodes tell each other: up to where each one's copy goes, and whom it has heard when."""

from dataclasses import dataclass, field

from pulleydeal.frames import Packer, Unpacker
from pulleydeal.workers.reachability import Seen

STANDING = 7  # message type on `back`; the others are in membership/messages.py


@dataclass(slots=True)
class Standing:
    stamp: float  # the sender's own steady clock; means nothing to others but to send back
    revision: int  # its copy of the state is at least as new as this
    served: bool  # the state service answers it
    echoes: dict[str, float] = field(default_factory=dict)  # node -> the last stamp heard of it
    seen: Seen = field(default_factory=dict)  # zone -> how many of its machines are quiet, known


def pack(standing: Standing) -> bytes:
    packer = Packer().f64(standing.stamp).u64(standing.revision).u8(standing.served)
    packer.u16(len(standing.echoes))
    for node, stamp in standing.echoes.items():
        packer.text(node).f64(stamp)
    packer.u16(len(standing.seen))
    for zone, (quiet, known) in standing.seen.items():
        packer.text(zone).u32(quiet).u32(known)
    return packer.bytes()


def unpack(data: bytes) -> Standing:
    """Raises BadFrame for what is no such message."""
    u = Unpacker(data)
    stamp, revision, served = u.f64(), u.u64(), bool(u.u8())
    echoes = {u.text(): u.f64() for _ in range(u.u16())}
    seen = {u.text(): (u.u32(), u.u32()) for _ in range(u.u16())}
    return Standing(stamp, revision, served, echoes, seen)
