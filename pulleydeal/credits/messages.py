"""Messages between a job's leader and a machine's owner: credit requests, holds, releases."""

from dataclasses import dataclass, field

from pulleydeal.frames import Packer, Unpacker


@dataclass(slots=True, frozen=True)
class Resources:
    """Resources that one task needs."""

    cpus: float
    gpus: float
    memory: float


@dataclass(slots=True)
class CreditRequest:
    """A task's request for credit, queued at an owner."""

    epoch: int
    job: str
    index: int
    need: Resources
    priority: int
    guaranteed: bool  # within its team's guarantee
    missed_objectives: int  # objectives that its job can no longer meet; fewer goes first
    order_value: float  # less goes first, see `rules.job_rank`
    tiebreak_time: float  # wall clock, see `rules.QueueRank`; earlier goes first
    gang: bool
    spot: bool
    team: str
    image: str
    types: list[str]  # empty: any type
    zones: list[str]  # zones that are allowed now
    avoid: list[str] = field(default_factory=list)  # machines on which the job failed lately


@dataclass(slots=True)
class Hold:
    """The owner holds capacity on a machine until the task's binding shows or the time is up."""

    epoch: int
    job: str
    index: int
    machine: str
    seconds: float


@dataclass(slots=True)
class Release:
    """The leader no longer needs credit, or the capacity held, for a task."""

    epoch: int
    job: str
    index: int


def pack_credit_request(request: CreditRequest) -> bytes:
    p = Packer().u64(request.epoch).text(request.job).u32(request.index)
    p.f64(request.need.cpus).f64(request.need.gpus).f64(request.need.memory)
    p.u8(request.priority).u8(request.guaranteed).u8(request.missed_objectives).f64(
        request.order_value
    ).f64(request.tiebreak_time).u8(request.gang).u8(request.spot)
    return (
        p.text(request.team)
        .text(request.image)
        .texts(request.types)
        .texts(request.zones)
        .texts(request.avoid)
        .bytes()
    )


def unpack_credit_request(data: bytes) -> CreditRequest:
    u = Unpacker(data)
    return CreditRequest(
        u.u64(),
        u.text(),
        u.u32(),
        Resources(u.f64(), u.f64(), u.f64()),
        u.u8(),
        bool(u.u8()),
        u.u8(),
        u.f64(),
        u.f64(),
        bool(u.u8()),
        bool(u.u8()),
        u.text(),
        u.text(),
        u.texts(),
        u.texts(),
        u.texts(),
    )


def pack_hold(hold: Hold) -> bytes:
    return (
        Packer()
        .u64(hold.epoch)
        .text(hold.job)
        .u32(hold.index)
        .text(hold.machine)
        .f64(hold.seconds)
        .bytes()
    )


def unpack_hold(data: bytes) -> Hold:
    u = Unpacker(data)
    return Hold(u.u64(), u.text(), u.u32(), u.text(), u.f64())


def pack_release(release: Release) -> bytes:
    return Packer().u64(release.epoch).text(release.job).u32(release.index).bytes()


def unpack_release(data: bytes) -> Release:
    u = Unpacker(data)
    return Release(u.u64(), u.text(), u.u32())


CachedImages = dict[str, dict[str, float]]  # machine -> image -> size in GB, oldest image first


def pack_cached_images(cached: CachedImages) -> bytes:
    p = Packer().u32(len(cached))
    for machine, images in cached.items():
        p.text(machine).u16(len(images))
        for image, size_gb in images.items():
            p.text(image).f64(size_gb)
    return p.bytes()


def unpack_cached_images(data: bytes) -> CachedImages:
    u = Unpacker(data)
    return {u.text(): {u.text(): u.f64() for _ in range(u.u16())} for _ in range(u.u32())}
