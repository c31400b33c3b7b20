"""What stands in the state service of a named service, below p/f/rollouts/.

  s/<name>           Service: its copies, its last good version, the roll-out under way
  v/<name>/<n>       Version: a description, as it was started
  e/<name>           Endpoints: the ready copies' addresses; its mark is their revision
  h/<name>/<n>       Entry: what was done and why, with the evidence

A copy is a job of one task: so the number of copies is exact at each moment, each has its own zone,
and the floor is kept to the copy. Its id follows from the service's name and a serial number that
moves in the transaction that accepts the job, so that a repeat submits nothing twice.
"""

import hashlib
from typing import Literal

from msgspec import Struct

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.description import Description

Phase = Literal["advancing", "baking", "watching", "returning"]


class Slot(Struct, array_like=True, omit_defaults=True):
    """A copy that was asked for and not yet stopped."""

    serial: int
    version: int
    zone: str = ""
    since: float = 0.0  # wall clock of its submission
    leaving: float = 0.0  # wall clock from which it is out of the endpoints; 0: it stays


class Rollout(Struct, omit_defaults=True):
    number: int
    to: int  # version
    phase: Phase = "advancing"
    step: int = 0  # index into the description's `wanted`
    since: float = 0.0  # wall clock of the last step forward; deadlines count from it
    began: float = 0.0
    paused: bool = False
    hold: str = ""  # why it does not go on at present


class Service(Struct, omit_defaults=True):
    good: int = 0  # the last version that proved healthy to the end; 0: none yet
    slots: list[Slot] = []
    serial: int = 0  # of the last copy
    versions: int = 0  # number of the last version
    rollouts: int = 0  # number of the last roll-out
    entries: int = 0  # number of the last entry of the history
    rollout: Rollout | None = None
    removed: bool = False  # all its copies are to go


class Version(Struct, omit_defaults=True):
    description: Description
    at: float = 0.0


class Endpoint(Struct, array_like=True):
    address: str
    job: str
    version: int
    zone: str


class Endpoints(Struct, omit_defaults=True):
    ready: list[Endpoint] = []


class Entry(Struct, omit_defaults=True):
    at: float
    rollout: int
    what: str
    why: str = ""
    evidence: list[str] = []


def service_name(name: str) -> str:
    return f"s/{name}"


def version_name(name: str, number: int) -> str:
    return f"v/{name}/{number:06d}"


def endpoints_name(name: str) -> str:
    return f"e/{name}"


def entry_name(name: str, number: int) -> str:
    return f"h/{name}/{number:08d}"


def job_id(service: str, serial: int) -> str:
    """PROTOCOL's form, 22 digits that begin with 9: users' ids are shorter, and one that is the
    same all the same is passed over, as a job's acceptance is conditional on its absence."""
    digest = hashlib.blake2b(f"{service}/{serial}".encode(), digest_size=8).digest()
    return f"j-9{int.from_bytes(digest) % 10**21:021d}"


def entry(at: float, service: Service, what: str, why: str = "", evidence: list[str] = []) -> Entry:  # noqa: B006
    """An entry that fits into a value, whatever was seen."""
    number = service.rollout.number if service.rollout else service.rollouts
    lines = [line[: rc.EVIDENCE_CHARS] for line in evidence[: rc.EVIDENCE_LINES]]
    if len(evidence) > len(lines):
        lines.append(f"and {len(evidence) - len(lines)} more")
    return Entry(at, number, what[: rc.EVIDENCE_CHARS], why[: 2 * rc.EVIDENCE_CHARS], lines)
