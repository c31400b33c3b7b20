"""What the service keeps in the state service, in its own (standard) words.

Keys, all under one prefix so that one watch sees every change:
  p/view          the view: epoch, members, cut pairs
  p/n/<member>    a member's incarnation, attached to its lease
  p/j/<job>       a job: description and status; slim once it is over
  p/c/<job>/<k>   tasks 32k..32k+31 of a job (absent: all wait for their first start)
  p/m/<machine>   a machine
  p/r/<request>   a rental that may have been asked for and not yet been recorded
  p/catalog       the machine types, so that a node can start while the cloud is down
  p/t/<k>         more machine types, where one value does not hold them all
  p/s/<node>      which records a node's version can keep, and its features; stays when it is away
  p/f/<feature>/<name>   a feature's own records; read only where the feature is on
  p/l/<start>/<k>  facts about tasks of any journaled jobs, in the order in which one start of a
                   node wrote them (store/facts.py); journaled jobs have no p/c/

Other versions read and rewrite these too. A rewrite by an older version drops the fields that it
does not know, and a new value of a closed set stops it; so fields are only added, at the end,
each with a meaning when it is absent, and nothing that must last is asked for before every node
has shown in `p/s/` that it keeps it.
"""

from typing import Literal

import msgspec
from msgspec import Struct

PREFIX = "p/"
VIEW = "p/view"
CATALOG = "p/catalog"
JOURNAL = "p/l/"
FEATURE_NAME = r"^[A-Za-z0-9._-]{1,40}(/[A-Za-z0-9._-]{1,60}){0,4}$"  # 200 B is the most for a key
NOTHING = "p-nothing"  # never written: reading it tells the revision and nothing else

Status = Literal["open", "done", "cancelled"]
# How a status is written. Versions before the journal can't read the last three, and so load
# nothing while there is such a job: they would see its tasks as never started.
WrittenStatus = Literal[
    "open", "done", "cancelled", "journal-open", "journal-done", "journal-cancelled"
]
JOURNALED = "journal-"
MachineState = Literal["boot", "up", "drain", "gone"]
PRIORITIES = ("low", "normal", "high", "production")


class JobSpec(Struct, frozen=True, omit_defaults=True):
    id: str
    klass: str
    team: str
    kind: Literal["array", "gang", "service"]
    priority: int  # index into PRIORITIES
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
    waits_on: list[str] = []  # jobs that must be done before any task of this one starts


class JobRecord(Struct, omit_defaults=True):
    status: WrittenStatus
    tasks: int
    at: float = 0.0  # wall clock of acceptance
    spec: JobSpec | None = None  # None once the job is over and all its tasks are gone
    ended: float = 0.0  # wall clock of its end; 0: not over, or ended by a version without it
    untold: bool = False  # cancelled, but told to nobody before that can be kept (zones)

    @property
    def state(self) -> Status:
        return _STATES[self.status]

    @property
    def is_journaled(self) -> bool:
        """What happens to its tasks is written to journals; a slim record says nothing of it."""
        return self.status.startswith(JOURNALED)


class Task(Struct, array_like=True, omit_defaults=True):
    machine: str = ""  # bound to it and not proved gone; empty: waits (or is done)
    attempt: int = 0
    done: bool = False
    fails: int = 0
    why: str = ""  # why the last attempt ended
    stop: str = ""  # why this attempt is to be stopped; every owner acts on it


class Member(Struct):
    incarnation: str
    format: int = 0  # constants.FORMAT of the version that runs; 0: the one before there was any


class Software(Struct, omit_defaults=True):
    format: int
    version: str
    features: dict[str, int] = {}  # feature that is on -> the format of its own records


class View(Struct):
    epoch: int = 0
    members: dict[str, str] = {}  # name -> incarnation
    cut: list[tuple[str, str]] = []  # (member, zone) pairs that can't reach each other
    deaf: list[tuple[str, str]] = []  # (member, zone): it hears none of the machines there (zones)


class MachineRecord(Struct, omit_defaults=True):
    state: MachineState
    type: str
    zone: str
    spot: bool
    addr: str = ""
    at: float = 0.0  # wall clock: rented (boot), adopted (up), marked (drain, gone)
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


_STATES: dict[WrittenStatus, Status] = {
    "open": "open",
    "done": "done",
    "cancelled": "cancelled",
    "journal-open": "open",
    "journal-done": "done",
    "journal-cancelled": "cancelled",
}
_WRITTEN: dict[Status, WrittenStatus] = {
    "open": "journal-open",
    "done": "journal-done",
    "cancelled": "journal-cancelled",
}


def written(state: Status, journaled: bool) -> WrittenStatus:
    """How the state of a job is written, slim records aside."""
    return _WRITTEN[state] if journaled else state


def cancelled(old: JobRecord, spec: JobSpec | None, wall: float, untold: bool) -> JobRecord:
    status = written("cancelled", old.is_journaled and spec is not None)
    return JobRecord(status, old.tasks, old.at, spec, wall, untold)


def job_key(job: str) -> str:
    return f"p/j/{job}"


def chunk_key(job: str, index: int) -> str:
    return f"p/c/{job}/{index:04x}"


def machine_key(machine: str) -> str:
    return f"p/m/{machine}"


def rental_key(request: str) -> str:
    return f"p/r/{request}"


def member_key(member: str) -> str:
    return f"p/n/{member}"


def journal_key(start: str, place: str) -> str:
    return f"{JOURNAL}{start}/{place}"


def types_key(index: int) -> str:
    return f"p/t/{index:04x}"


def software_key(node: str) -> str:
    return f"p/s/{node}"


def feature_key(feature: str, name: str) -> str:
    return f"p/f/{feature}/{name}"


CHUNK = msgspec.json.Decoder(list[Task])
JOB = msgspec.json.Decoder(JobRecord)
MACHINE = msgspec.json.Decoder(MachineRecord)
RENTAL = msgspec.json.Decoder(RentalRecord)
VIEW_DECODER = msgspec.json.Decoder(View)
MEMBER = msgspec.json.Decoder(Member)
CATALOG_DECODER = msgspec.json.Decoder(Catalog)
SOFTWARE = msgspec.json.Decoder(Software)
