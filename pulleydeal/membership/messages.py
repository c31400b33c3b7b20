"""Heartbeats between controllers: the sender's state and its published credit totals."""

from dataclasses import dataclass, field

from pulleydeal.frames import Packer, Unpacker

HELLO, HEARTBEAT, ASK, HOLD, FREE, IMAGES = range(1, 7)  # message types; features add their own


Images = dict[str, tuple[float, float]]


@dataclass(slots=True)
class CreditTotal:
    """Credit that one owner publishes for its machines of one type and zone, spot or not."""

    type: str
    zone: str
    spot: bool
    cpus: float = 0.0
    gpus: float = 0.0
    memory: float = 0.0
    largest_cpus: float = 0.0
    largest_gpus: float = 0.0
    # Image -> most cpus and most gpus free on any machine that has it; in `stoppable`, most that
    # could be freed for high priorities by stopping tasks of lower ones.
    images: Images = field(default_factory=dict)
    stoppable: Images = field(default_factory=dict)


@dataclass(slots=True)
class FreshnessProof:
    """Lets a sibling without the state service tell, by its own clock, how old a heartbeat is."""

    incarnation: str  # of the sending process
    stamp: float  # the sender's steady clock; others only send it back
    complete_from: int  # `cancelled` names all newer than this revision that the sender knows
    # Sibling -> incarnation and stamp that were last received from it.
    echoes: dict[str, tuple[str, float]] = field(default_factory=dict)


@dataclass(slots=True)
class Heartbeat:
    epoch: int
    totals: list[CreditTotal] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)  # jobs with tasks not proved gone
    hears: list[str] = field(default_factory=list)  # siblings heard within HEARD_NOW_S
    writes: float = 0.0  # recent changes per second by the sender to the state service
    served: bool = True  # whether the state service answers the sender
    proof: FreshnessProof | None = None  # None: the sender's version has none and proves nothing


def _pack_images(packer: Packer, images: Images) -> None:
    packer.u16(len(images))
    for image, (cpus, gpus) in images.items():
        packer.text(image).f64_pair(cpus, gpus)


def _unpack_images(u: Unpacker) -> Images:
    return {u.text(): u.f64_pair() for _ in range(u.u16())}


def pack_heartbeat(heartbeat: Heartbeat) -> bytes:
    packer = Packer().u64(heartbeat.epoch).u16(len(heartbeat.totals))
    for t in heartbeat.totals:
        packer.text(t.type).text(t.zone).u8(t.spot)
        packer.f64(t.cpus).f64(t.gpus).f64(t.memory).f64(t.largest_cpus).f64(t.largest_gpus)
        _pack_images(packer, t.images)
        _pack_images(packer, t.stoppable)
    packer.texts(heartbeat.cancelled).texts(heartbeat.hears).f64(heartbeat.writes).u8(
        heartbeat.served
    )
    if (proof := heartbeat.proof) is not None:  # last: older versions stop reading before it
        packer.text(proof.incarnation).f64(proof.stamp).u64(proof.complete_from)
        packer.u16(len(proof.echoes))
        for node, (incarnation, stamp) in proof.echoes.items():
            packer.text(node).text(incarnation).f64(stamp)
    return packer.bytes()


def unpack_heartbeat(data: bytes) -> Heartbeat:
    u = Unpacker(data)
    epoch = u.u64()
    totals = []
    for _ in range(u.u16()):
        kind = (u.text(), u.text(), bool(u.u8()))
        amounts = (u.f64(), u.f64(), u.f64(), u.f64(), u.f64())
        totals.append(CreditTotal(*kind, *amounts, _unpack_images(u), _unpack_images(u)))
    heartbeat = Heartbeat(epoch, totals, u.texts(), u.texts(), u.f64(), bool(u.u8()))
    if u.more():
        heartbeat.proof = FreshnessProof(u.text(), u.f64(), u.u64())
        heartbeat.proof.echoes = {u.text(): (u.text(), u.f64()) for _ in range(u.u16())}
    return heartbeat
