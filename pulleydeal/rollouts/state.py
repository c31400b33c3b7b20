"""Records of named services, kept in the state service under p/f/rollouts/.

  s/<name>           Service: its copies, its last good version, the roll-out under way
  v/<name>/<n>       Version: a description, as it was started
  e/<name>           Endpoints: addresses of the ready copies; the record's version is the revision
  h/<name>/<n>       Entry: one history entry: what was done and why, with the evidence

Each copy is a job with a single task, so that the number of copies is exact at any time, each copy
has its own zone, and the floor holds to the copy. The job id is derived from the service's name and
a serial number that is incremented in the transaction that submits the job, so that a repeated
transaction submits nothing twice.
"""

import hashlib
from typing import Literal

from msgspec import Struct

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.description import Description

Phase = Literal["advancing", "baking", "watching", "returning"]


class Slot(Struct, array_like=True, omit_defaults=True):
    """A copy that has been started and not yet stopped."""

    serial: int
    version: int
    zone: str = ""
    since: float = 0.0  # wall clock of its submission
    leaving: float = 0.0  # wall clock when it was taken out of the endpoints; 0: it was not


class Rollout(Struct, omit_defaults=True):
    """The roll-out of version `to`, while it is under way."""

    number: int
    to: int  # version being rolled out
    phase: Phase = "advancing"
    step: int = 0  # index into the description's `step_targets`
    since: float = 0.0  # wall clock of the last progress; the deadline counts from it
    began: float = 0.0
    paused: bool = False
    hold: str = ""  # why it does not proceed at present; empty: no reason recorded


class Service(Struct, omit_defaults=True):
    """The record of a named service, on which its leader decides."""

    good: int = 0  # last version that completed a roll-out; 0: none yet
    slots: list[Slot] = []
    serial: int = 0  # serial number of the last copy
    versions: int = 0  # number of the last version
    rollouts: int = 0  # number of the last roll-out
    entries: int = 0  # number of the last entry of the history
    rollout: Rollout | None = None
    removed: bool = False  # the service is removed: all of its copies are stopped


class Version(Struct, omit_defaults=True):
    """One version's description, with the wall clock of its roll-out's start."""

    description: Description
    at: float = 0.0


class Endpoint(Struct, array_like=True):
    """The address of one ready copy, as consumers get it."""

    address: str
    job: str
    version: int
    zone: str


class Endpoints(Struct, omit_defaults=True):
    ready: list[Endpoint] = []


class Entry(Struct, omit_defaults=True):
    """One entry of a service's history."""

    at: float
    rollout: int
    what: str
    why: str = ""
    evidence: list[str] = []


def service_record_name(name: str) -> str:
    return f"s/{name}"


def version_record_name(name: str, number: int) -> str:
    return f"v/{name}/{number:06d}"


def endpoints_record_name(name: str) -> str:
    return f"e/{name}"


def entry_record_name(name: str, number: int) -> str:
    return f"h/{name}/{number:08d}"


def job_id(service: str, serial: int) -> str:
    """Job id of a copy in PROTOCOL's form: 22 digits, the first being 9. Ids of users' jobs are
    shorter; if one is equal nevertheless, it is not overwritten, because submission of a copy's
    job is conditional on the absence of the id."""
    digest = hashlib.blake2b(f"{service}/{serial}".encode(), digest_size=8).digest()
    return f"j-9{int.from_bytes(digest) % 10**21:021d}"


def history_entry(
    at: float,
    service: Service,
    what: str,
    why: str = "",
    evidence: list[str] = [],  # noqa: B006
) -> Entry:
    """A history entry, truncated so that it always fits into one stored value."""
    number = service.rollout.number if service.rollout else service.rollouts
    lines = [line[: rc.MAX_EVIDENCE_CHARS] for line in evidence[: rc.MAX_EVIDENCE_LINES]]
    if len(evidence) > len(lines):
        lines.append(f"and {len(evidence) - len(lines)} more")
    return Entry(at, number, what[: rc.MAX_EVIDENCE_CHARS], why[: 2 * rc.MAX_EVIDENCE_CHARS], lines)
