"""Asks, holds and releases between a job's leader and a machine's owner."""

from dataclasses import dataclass, field

from pulleydeal.frames import Packer, Unpacker


@dataclass(slots=True, frozen=True)
class Need:
    cpus: float
    gpus: float
    memory: float


@dataclass(slots=True)
class Ask:
    """A task waits at an owner for credit."""

    epoch: int
    job: str
    index: int
    need: Need
    priority: int
    guaranteed: bool  # falls within its team's guarantee
    missed: int  # aims of its job that can no longer be met; smaller goes first
    work: float  # task seconds of its job that still wait; smaller goes first
    at: float  # when its job was accepted, by the time of day
    gang: bool
    spot: bool
    team: str
    image: str
    types: list[str]  # empty: any
    zones: list[str]  # allowed now
    avoid: list[str] = field(default_factory=list)  # machines that it failed on


@dataclass(slots=True)
class Hold:
    """The owner keeps room on a machine for a task until its binding shows, or time is up."""

    epoch: int
    job: str
    index: int
    machine: str
    seconds: float


@dataclass(slots=True)
class Free:
    """The leader wants no (or no more) room for a task."""

    epoch: int
    job: str
    index: int


def pack_ask(a: Ask) -> bytes:
    p = Packer().u64(a.epoch).text(a.job).u32(a.index)
    p.f64(a.need.cpus).f64(a.need.gpus).f64(a.need.memory)
    p.u8(a.priority).u8(a.guaranteed).u8(a.missed).f64(a.work).f64(a.at).u8(a.gang).u8(a.spot)
    return p.text(a.team).text(a.image).texts(a.types).texts(a.zones).texts(a.avoid).bytes()


def unpack_ask(data: bytes) -> Ask:
    u = Unpacker(data)
    return Ask(
        u.u64(),
        u.text(),
        u.u32(),
        Need(u.f64(), u.f64(), u.f64()),
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


def pack_hold(h: Hold) -> bytes:
    return Packer().u64(h.epoch).text(h.job).u32(h.index).text(h.machine).f64(h.seconds).bytes()


def unpack_hold(data: bytes) -> Hold:
    u = Unpacker(data)
    return Hold(u.u64(), u.text(), u.u32(), u.text(), u.f64())


def pack_free(f: Free) -> bytes:
    return Packer().u64(f.epoch).text(f.job).u32(f.index).bytes()


def unpack_free(data: bytes) -> Free:
    u = Unpacker(data)
    return Free(u.u64(), u.text(), u.u32())


Cached = dict[str, dict[str, float]]  # machine -> image -> GB, oldest first


def pack_cached(cached: Cached) -> bytes:
    p = Packer().u32(len(cached))
    for machine, images in cached.items():
        p.text(machine).u16(len(images))
        for image, size_gb in images.items():
            p.text(image).f64(size_gb)
    return p.bytes()


def unpack_cached(data: bytes) -> Cached:
    u = Unpacker(data)
    return {u.text(): {u.text(): u.f64() for _ in range(u.u16())} for _ in range(u.u32())}
