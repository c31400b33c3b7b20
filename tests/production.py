"""Record definitions of production version 0.1.0 (commit 875e588), frozen for upgrade tests.

They must not follow changes of the package: they stand for the nodes still on the old version
during an upgrade. Only what determines whether a record can be decoded was copied.
"""

from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct


class JobSpec(Struct, frozen=True, omit_defaults=True):
    id: str
    klass: str
    team: str
    kind: Literal["array", "gang", "service"]
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    types: list[str] | None = None
    zone: str | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_s: float = 0.0
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    deadline_s: float | None = None


class JobRecord(Struct, omit_defaults=True):
    status: Literal["open", "done", "cancelled"]
    tasks: int
    at: float = 0.0
    spec: JobSpec | None = None


class Task(Struct, array_like=True, omit_defaults=True):
    machine: str = ""
    attempt: int = 0
    done: bool = False
    fails: int = 0
    why: str = ""
    stop: str = ""


class Member(Struct):
    incarnation: str


class View(Struct):
    epoch: int = 0
    members: dict[str, str] = {}
    cut: list[tuple[str, str]] = []


class MachineRecord(Struct, omit_defaults=True):
    state: Literal["boot", "up", "drain", "gone"]
    type: str
    zone: str
    spot: bool
    addr: str = ""
    at: float = 0.0
    why: str = ""


class RentalRecord(Struct):
    type: str
    zone: str
    spot: bool
    count: int
    at: float


class MachineType(Struct):
    name: str
    cpus: float
    gpus: float
    memory: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


class Catalog(Struct):
    types: list[MachineType] = []


KINDS: dict[str, object] = {
    "j": JobRecord,
    "c": list[Task],
    "m": MachineRecord,
    "r": RentalRecord,
    "n": Member,
    "view": View,
    "catalog": Catalog,
}


def decode_record(key: str, value: bytes) -> object:
    """Decodes a record as production does; returns None for kinds that it does not know."""
    kind = key.removeprefix("p/").partition("/")[0]
    return msgspec.json.decode(value, type=KINDS[kind]) if kind in KINDS else None


def read_trace(path: Path) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Reads the records and messages of a stored trace."""
    records, messages = {}, {}
    for line in path.read_text().splitlines():
        name, _, value = line.partition(" ")
        if name.startswith("p/"):
            records[name] = value.encode()
        elif name and name != "#":
            messages[name] = bytes.fromhex(value)
    return records, messages
