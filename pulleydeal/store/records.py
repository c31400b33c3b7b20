"""Records that the scheduler stores in the state service, and their keys.

All keys have one prefix, so that one watch covers every change:
  p/view          the view: epoch, members, partitioned (member, zone) pairs
  p/n/<member>    a member's incarnation, attached to its lease
  p/j/<job>       a job: spec and status; without the spec (slim) once over and all tasks gone
  p/c/<job>/<k>   tasks 32k..32k+31 of a job (absent: none has been started yet)
  p/m/<machine>   a machine
  p/r/<request>   a rental that may have been requested but has not been recorded as machines yet
  p/catalog       the machine types, so that a node can start while the cloud is down
  p/t/<k>         more machine types, where one value does not hold them all
  p/s/<node>      record format of a node's version, and its features; kept while it is away
  p/f/<feature>/<name>   a feature's own records; read only where the feature is enabled
  p/l/<start>/<k>  facts about tasks of journaled jobs, in the order in which one incarnation of a
                   node wrote them (store/facts.py); journaled jobs have no p/c/

Nodes of other versions read and rewrite these records too. A rewrite by an older version drops
fields that it does not know, and an unknown value of a closed set makes it fail. So fields are
only added, at the end, each with a meaning when absent, and nothing relies on a new field being
kept before every node has shown in `p/s/` that its version keeps it.
"""

from typing import Literal

import msgspec
from msgspec import Struct

KEY_PREFIX = "p/"
VIEW_KEY = "p/view"
CATALOG_KEY = "p/catalog"
JOB_PREFIX = "p/j/"
JOURNAL_PREFIX = "p/l/"
FEATURE_NAME = r"^[A-Za-z0-9._-]{1,40}(/[A-Za-z0-9._-]{1,60}){0,4}$"  # keys are limited to 200 B
REVISION_PROBE_KEY = "p-nothing"  # never written; reading it returns only the revision

Status = Literal["open", "done", "cancelled"]
# Status as stored. Versions without the journal can't decode the last three, so they load nothing
# while such a job exists. Otherwise they would take its tasks for never started.
StoredStatus = Literal[
    "open", "done", "cancelled", "journal-open", "journal-done", "journal-cancelled"
]
JOURNALED_PREFIX = "journal-"
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
    status: StoredStatus
    tasks: int
    at: float = 0.0  # wall clock: accepted
    spec: JobSpec | None = None  # None once the job is over and all its tasks are gone
    ended: float = 0.0  # wall clock: ended; 0: not over, or ended by a version without this field
    untold: bool = False  # cancelled, not reported yet: a cut-off node may keep its tasks (zones)

    @property
    def state(self) -> Status:
        return _STATES[self.status]

    @property
    def is_journaled(self) -> bool:
        """Whether its task states are in journals; False for a slim record."""
        return self.status.startswith(JOURNALED_PREFIX)


class Task(Struct, array_like=True, omit_defaults=True):
    machine: str = ""  # bound to it and not proved gone; empty: waiting or done
    attempt: int = 0
    done: bool = False
    fails: int = 0
    why: str = ""  # why the last attempt ended
    stop: str = ""  # why this attempt is to be stopped; whoever owns the machine acts on it


class Member(Struct):
    incarnation: str
    format: int = 0  # constants.FORMAT of its version; 0: a version before this field


class Software(Struct, omit_defaults=True):
    format: int
    version: str
    features: dict[str, int] = {}  # enabled feature -> its record format


class View(Struct):
    epoch: int = 0
    members: dict[str, str] = {}  # name -> incarnation
    cut: list[tuple[str, str]] = []  # (member, zone) pairs that can't reach each other
    deaf: list[tuple[str, str]] = []  # (member, zone): no machine there is heard (zones)


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


_STATES: dict[StoredStatus, Status] = {
    "open": "open",
    "done": "done",
    "cancelled": "cancelled",
    "journal-open": "open",
    "journal-done": "done",
    "journal-cancelled": "cancelled",
}
_WRITTEN: dict[Status, StoredStatus] = {
    "open": "journal-open",
    "done": "journal-done",
    "cancelled": "journal-cancelled",
}


def stored_status(state: Status, journaled: bool) -> StoredStatus:
    """The stored status for a job's state; slim records have the plain state."""
    return _WRITTEN[state] if journaled else state


def cancelled_record(old: JobRecord, spec: JobSpec | None, wall: float, untold: bool) -> JobRecord:
    status = stored_status("cancelled", old.is_journaled and spec is not None)
    return JobRecord(status, old.tasks, old.at, spec, wall, untold)


def job_key(job: str) -> str:
    return f"{JOB_PREFIX}{job}"


def job_of(key: str) -> str | None:
    """The job whose record has this key; None for the key of any other record."""
    return key.removeprefix(JOB_PREFIX) if key.startswith(JOB_PREFIX) else None


def chunk_key(job: str, index: int) -> str:
    return f"p/c/{job}/{index:04x}"


def machine_key(machine: str) -> str:
    return f"p/m/{machine}"


def rental_key(request: str) -> str:
    return f"p/r/{request}"


def member_key(member: str) -> str:
    return f"p/n/{member}"


def journal_key(start: str, number: str) -> str:
    return f"{JOURNAL_PREFIX}{start}/{number}"


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
