"""Input and output types of roll-out decisions, and the texts that describe them to operators."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from pulleydeal.rollouts.state import Rollout, Service, Slot


@dataclass(slots=True)
class CopyStatus:
    """State of one copy as observed by the service's leader."""

    slot: Slot
    state: str
    reason: str = ""
    in_state_s: float = 0.0  # time since the copy entered this state
    job_ended: bool = False  # its job is cancelled, done or missing, so its slot can be removed
    idle: bool = False  # the copy reports that it serves no request
    requeued: bool = False  # it had a machine before and waits for another


@dataclass(slots=True)
class Observation:
    """Everything about a service's copies that one decision is based on."""

    now: float  # wall clock
    copies: list[CopyStatus]
    zones: list[str]  # all zones of the deployment
    all_healthy_s: float = 1e9  # how long this leader has seen every remaining copy healthy


@dataclass(slots=True)
class Decision:
    """The changed service record, with the jobs to start and stop in the same transaction."""

    service: Service
    action: str
    reason: str = ""
    evidence: list[str] = field(default_factory=list)
    start: list[Slot] = field(default_factory=list)  # slots whose jobs are submitted
    stop: list[Slot] = field(default_factory=list)  # slots whose jobs are cancelled
    in_history: bool = True  # whether an entry is added to the service's history


def clone_service(service: Service) -> Service:
    """Copies the parts that a decision changes, so that the record read is not modified."""
    return msgspec.structs.replace(
        service,
        slots=[msgspec.structs.replace(s) for s in service.slots],
        rollout=msgspec.structs.replace(service.rollout) if service.rollout else None,
    )


def version_and_zone(slot: Slot) -> str:
    return f"version {slot.version}" + (f", {slot.zone}" if slot.zone else "")


def slots_text(slots: list[Slot]) -> str:
    serials = ", ".join(f"{x.serial}" for x in slots[:6])
    return f"copies {serials} (version {slots[0].version})"


def evidence_line(x: CopyStatus) -> str:
    return (
        f"copy {x.slot.serial} ({version_and_zone(x.slot)})"
        f" {x.state} for {x.in_state_s:.0f} s: {x.reason}"
    )


def begin_rollout(service: Service, version: int, now: float) -> Decision:
    """Starts a roll-out of an existing version; no other roll-out may be under way."""
    clone = clone_service(service)
    clone.rollouts += 1
    clone.removed = False
    clone.rollout = Rollout(clone.rollouts, version, since=now, began=now)
    return Decision(clone, f"roll-out {clone.rollouts} of version {version} starts")


def least_used_zone(zones: list[str], present: list[CopyStatus], version: int) -> str:
    """The zone with the fewest copies of all versions; ties go to the fewest of `version`."""
    copies_in = Counter(x.slot.zone for x in present)
    same_version_in = Counter(x.slot.zone for x in present if x.slot.version == version)
    return min(zones, key=lambda z: (copies_in[z], same_version_in[z], z))
