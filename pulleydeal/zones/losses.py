"""State of each zone and which machines of a lost zone to return: plain functions.

docs/zones.md has the table of the states and of the action taken in each.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Literal

from pulleydeal import constants as c
from pulleydeal.workers.reachability import SilenceCounts
from pulleydeal.zones import constants as z

State = Literal["whole", "cut off", "dark", "returning"]


@dataclass(slots=True)
class ObservedZone:
    """One zone as observed by this node. Times are its monotonic clock."""

    lost_at: float | None = None  # out of sight since then; None: in sight
    returned_at: float = -1e9  # when it last came back into sight
    flaps: int = 0  # returns so far; reset after FLAP_WINDOW_S in sight
    possible_renewers: frozenset[str] = frozenset()  # its nodes that may be renewing leases
    evacuated_at: float = -1e9  # when a batch of its machines was last returned

    def may_renew(self, removed_at: float | None, lease_s: float, now: float) -> bool:
        """Whether a node of the zone, which goes silent now, may be renewing leases there.

        `removed_at`: when the node was first seen missing from the view; None: it is a member. A
        node renews nothing only if it has been missing for a whole lease with its zone in sight.
        Without that condition a newly started leader, which had never heard the node, took a
        live zone for a dark one and returned all its 275 machines. A zone that flaps is no
        evidence about its node either.
        """
        return removed_at is None or now - max(removed_at, self.returned_at) <= lease_s

    def observe(self, unseen: bool, now: float, renewers: Callable[[], frozenset[str]]) -> None:
        """Updates whether the zone is out of sight; calls `renewers` when it goes silent."""
        if unseen and self.lost_at is None:
            if now - self.returned_at > z.FLAP_WINDOW_S:
                self.flaps = 0
            self.lost_at, self.possible_renewers = now, renewers()
        elif not unseen and self.lost_at is not None:
            self.lost_at, self.returned_at, self.evacuated_at = None, now, -1e9
            self.flaps += 1


def zone_state(zone: ObservedZone, now: float) -> State:
    """The zone's state. In a dark zone no node can renew leases, so its tasks end with them; in
    one that is cut off they may still be running."""
    if zone.lost_at is not None:
        return "cut off" if zone.possible_renewers else "dark"
    return "returning" if now - zone.returned_at < holddown_s(zone.flaps) else "whole"


def holddown_s(flaps: int) -> float:
    """How long after its return nothing is rented in a zone; doubles with each flap, bounded."""
    return min(z.HOLDDOWN_MAX_S, z.HOLDDOWN_S * 2.0 ** max(0, flaps - 1)) if flaps else 0.0


@dataclass(slots=True)
class LostMachine:
    """A machine of a zone out of sight, with what decides when it is returned."""

    machine: str
    tasks: int  # bound to it
    priority: int  # the highest of their jobs
    visible_share: float  # lowest share of a service's tasks bound elsewhere; 1: no service here


def return_order(machines: Iterable[LostMachine]) -> list[LostMachine]:
    """Highest priority first, then services with the smallest share of copies in sight."""
    return sorted(machines, key=lambda m: (-m.priority, m.visible_share, -m.tasks, m.machine))


def dark_returns(
    zone: ObservedZone, machines: Sequence[LostMachine], lease_s: float, boot_s: float, now: float
) -> list[LostMachine]:
    """Machines to return of a dark zone whose leases are over: all that have tasks.

    Nothing runs on them any more, and the cloud's answer proves it where an owner has no proof of
    its own. Machines without tasks save a boot if the zone comes back soon, and are returned
    after EVACUATE_AFTER_BOOTS, as they cost money.
    """
    over = lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
    if zone_state(zone, now) != "dark" or zone.lost_at is None or now - zone.lost_at <= over:
        return []
    all_ = now - zone.lost_at > z.EVACUATE_AFTER_BOOTS * boot_s
    return return_order(m for m in machines if m.tasks or all_)


def evacuation_batch(
    zone: ObservedZone,
    machines: Sequence[LostMachine],
    boot_s: float,
    copies_waiting: bool,
    now: float,
) -> list[LostMachine]:
    """The next machines to return of a zone that has been cut off for long.

    A small batch at a time, and none while copies of services still wait for room
    (`copies_waiting`). Whether the node inside is alive can't be known from outside. If it is,
    each batch costs a few copies one restart; if it is not, all work is recovered this way.
    """
    if zone_state(zone, now) != "cut off" or zone.lost_at is None or copies_waiting:
        return []
    if now - zone.lost_at <= z.EVACUATE_AFTER_BOOTS * boot_s or now - zone.evacuated_at <= boot_s:
        return []
    return return_order(machines)[: math.ceil(len(machines) * z.EVACUATION_BATCH_SHARE)]


# --- a node that receives nothing from its machines ------------------------------------------
def hears_nothing(mine: SilenceCounts) -> bool:
    """Whether a node with machines in several zones hears none, which is no evidence of a cut."""
    return len(mine) > 1 and all(silent == known for silent, known in mine.values())


def deaf_zones(
    mine: SilenceCounts, others: Sequence[SilenceCounts], deaf: AbstractSet[str] = frozenset()
) -> set[str]:
    """Zones whose machines are silent to this node but not to the others that own some there.

    If no other node hears them either, the zone itself is out of sight. `deaf`: zones that are
    handed over already. Few machines are no evidence about the node, unless it hears none at all.
    In that case zones in which nobody else owns a machine are handed over with the others: their
    machines would otherwise be returned as dead, one by one.
    """
    nothing = hears_nothing(mine) or bool(deaf and all(q == k for q, k in mine.values()))
    found, unshared = set(), set()
    for zone, (silent, known) in mine.items():
        if silent < known * z.DEAF_SILENT_SHARE or (known < z.DEAF_MIN_MACHINES and not nothing):
            continue
        theirs = [seen[zone] for seen in others if zone in seen]
        silent, count = sum(q for q, _ in theirs), sum(k for _, k in theirs)
        if not count:
            unshared.add(zone)
        elif count >= (1 if nothing else z.DEAF_MIN_MACHINES) and silent < count * (
            1 - z.DEAF_SILENT_SHARE
        ):
            found.add(zone)
    return found | unshared if nothing and (found or deaf) else found


@dataclass(slots=True)
class Deafness:
    """Whether this node receives nothing from one zone.

    The zone is handed over quickly and taken back slowly, more slowly after each handover.
    """

    rounds: int = 0  # consecutive ones in which only this node did not hear the zone
    handovers: int = 0  # so far
    answered_since: float | None = None  # probes have succeeded since then; None: the last failed

    def observe(self, only_here: bool) -> bool:
        """Counts one round; returns whether the zone is to be handed over now."""
        self.rounds = self.rounds + 1 if only_here else 0
        return self.rounds >= z.DEAF_ROUNDS

    def record_handover(self) -> None:
        """The zone's machines were handed over."""
        self.handovers += 1
        self.rounds, self.answered_since = 0, None

    def record_probes(self, answered: bool, now: float) -> bool:
        """Records a round of probes; returns whether the zone is to be taken back now."""
        if not answered:
            self.answered_since = None
            return False
        if self.answered_since is None:
            self.answered_since = now
        steady_s = z.RECOVERY_S * 2.0 ** max(0, self.handovers - 1)
        return now - self.answered_since >= min(z.RECOVERY_MAX_S, steady_s)
