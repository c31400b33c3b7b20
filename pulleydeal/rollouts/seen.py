"""What decisions are made from and what they are, and how both are told to people."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from pulleydeal.rollouts.state import Rollout, Service, Slot


@dataclass(slots=True)
class Seen:
    """One copy as its leader sees it."""

    slot: Slot
    state: str
    why: str = ""
    for_s: float = 0.0  # it has been in this state for so long
    over: bool = False  # its job is cancelled or done: the place is empty
    idle: bool = False  # it says that it serves no request
    again: bool = False  # it had a machine before, and waits for another


@dataclass(slots=True)
class World:
    now: float  # wall clock
    copies: list[Seen]
    zones: list[str]  # of the deployment
    steady_s: float = 1e9  # for how long this leader has had evidence without a break


@dataclass(slots=True)
class Decision:
    service: Service
    what: str
    why: str = ""
    evidence: list[str] = field(default_factory=list)
    start: list[Slot] = field(default_factory=list)  # jobs to be accepted with it
    stop: list[Slot] = field(default_factory=list)  # jobs to be cancelled with it
    told: bool = True  # goes into the history


def copy_of(service: Service) -> Service:
    """What a decision changes; the record that was read stays as it is."""
    return msgspec.structs.replace(
        service,
        slots=[msgspec.structs.replace(s) for s in service.slots],
        rollout=msgspec.structs.replace(service.rollout) if service.rollout else None,
    )


def version_of(slot: Slot) -> str:
    return f"version {slot.version}" + (f", {slot.zone}" if slot.zone else "")


def named(slots: list[Slot]) -> str:
    named = ", ".join(f"{x.serial}" for x in slots[:6])
    return f"copies {named} (version {slots[0].version})"


def line_of(x: Seen) -> str:
    return f"copy {x.slot.serial} ({version_of(x.slot)}) {x.state} for {x.for_s:.0f} s: {x.why}"


def begin(service: Service, version: int, now: float) -> Decision:
    """A roll-out of a version that stands already; there is none under way."""
    s = copy_of(service)
    s.rollouts += 1
    s.removed = False
    s.rollout = Rollout(s.rollouts, version, since=now, began=now)
    return Decision(s, f"roll-out {s.rollouts} of version {version} starts")


def emptiest(zones: list[str], present: list[Seen], version: int) -> str:
    """The zone with the fewest copies, over all versions, and then of this one."""
    crowd = Counter(x.slot.zone for x in present)
    same = Counter(x.slot.zone for x in present if x.slot.version == version)
    return min(zones, key=lambda z: (crowd[z], same[z], z))
