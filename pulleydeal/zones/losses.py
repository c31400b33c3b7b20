"""What became of a zone, and what is given back of it: plain functions of what owners see.

The states, and what is done in each, are the table in docs/zones.md.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Literal

from pulleydeal import constants as c
from pulleydeal.workers.reachability import Seen
from pulleydeal.zones import constants as z

State = Literal["whole", "cut off", "dark", "returning"]


@dataclass(slots=True)
class Watched:
    """One zone as this node has seen it. Times are its own steady clock."""

    fell_at: float | None = None  # out of sight since; None: in sight
    back_at: float = -1e9  # when it last came back into sight
    flaps: int = 0  # how often it came back lately
    inside: frozenset[str] = frozenset()  # nodes there that may be keeping its leases
    sliced_at: float = -1e9  # when a part of it was last given back

    def may_keep(self, gone_at: float | None, lease_s: float, now: float) -> bool:
        """Whether a node of the zone, which falls silent now, may be keeping its leases.

        `gone_at`: since when it was seen to be no member; None: it is one. Only one that was
        none for a whole lease in which its zone was in sight keeps nothing. A lead that had just
        started had never heard the node inside, took a living zone for a dark one and gave all
        its 275 machines back; nor does a zone that flaps say anything of its node.
        """
        return gone_at is None or now - max(gone_at, self.back_at) <= lease_s

    def look(self, unseen: bool, now: float, inside: Callable[[], frozenset[str]]) -> None:
        """Takes in whether the zone is out of sight; `inside` is asked as it falls silent."""
        if unseen and self.fell_at is None:
            if now - self.back_at > z.FLAP_WINDOW_S:
                self.flaps = 0
            self.fell_at, self.inside = now, inside()
        elif not unseen and self.fell_at is not None:
            self.fell_at, self.back_at, self.sliced_at = None, now, -1e9
            self.flaps += 1


def state(zone: Watched, now: float) -> State:
    """Nobody inside can keep a dark zone: its tasks end with their leases, a cut-off one's live."""
    if zone.fell_at is not None:
        return "cut off" if zone.inside else "dark"
    return "returning" if now - zone.back_at < distrust_s(zone.flaps) else "whole"


def distrust_s(flaps: int) -> float:
    """How long after its return a zone is not rented in; grows as it flaps, up to a bound."""
    return min(z.DISTRUST_MOST_S, z.DISTRUST_S * 2.0 ** max(0, flaps - 1)) if flaps else 0.0


@dataclass(slots=True)
class Lost:
    """A machine of a zone out of sight, and what speaks for giving it back first."""

    machine: str
    tasks: int  # bound to it
    priority: int  # the highest of their jobs'
    elsewhere: float  # part of such a service's copies that are in sight; 1: it has none here


def first_back(machines: Iterable[Lost]) -> list[Lost]:
    """Highest priority first, of services those with the fewest copies left in sight."""
    return sorted(machines, key=lambda m: (-m.priority, m.elsewhere, -m.tasks, m.machine))


def dark(
    zone: Watched, machines: Sequence[Lost], lease_s: float, boot_s: float, now: float
) -> list[Lost]:
    """Of a dark zone whose leases are over: all that have tasks. Nothing on them lives any more,
    and the cloud's answer proves it where an owner has no proof of its own. The others are worth
    their boot for some time, and cost money for nothing after that."""
    over = lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
    if state(zone, now) != "dark" or zone.fell_at is None or now - zone.fell_at <= over:
        return []
    all_ = now - zone.fell_at > z.EVACUATE_BOOTS * boot_s
    return first_back(m for m in machines if m.tasks or all_)


def evacuated(
    zone: Watched, machines: Sequence[Lost], boot_s: float, waiting: bool, now: float
) -> list[Lost]:
    """Of a zone cut off for long: a small part at a time, each only once all that the one before
    made homeless has room elsewhere (`waiting`: some has not).

    Whether the node inside lives can't be known from outside. If it does, each slice costs a few
    copies one start; if it doesn't, all come back so, and no slice makes anything worse.
    """
    if state(zone, now) != "cut off" or zone.fell_at is None or waiting:
        return []
    if now - zone.fell_at <= z.EVACUATE_BOOTS * boot_s or now - zone.sliced_at <= boot_s:
        return []
    return first_back(machines)[: math.ceil(len(machines) * z.SLICE_SHARE)]


# --- a node that hears none of its machines ---------------------------------------------------
def hears_nothing(mine: Seen) -> bool:
    """Whether a node with machines in several zones hears none of them: no zone is to blame."""
    return len(mine) > 1 and all(quiet == known for quiet, known in mine.values())


def unheard(mine: Seen, others: Sequence[Seen], deaf: AbstractSet[str] = frozenset()) -> set[str]:
    """Zones whose machines are quiet for this node, but not for the others that own some there.

    Where nobody else hears them either it is the zone that is out of sight. `deaf`: zones handed
    over already. Few machines say nothing of the node, unless it hears none at all; then those
    go too of which nobody else owns any: it had given them back, one by one, as dead.
    """
    nothing = hears_nothing(mine) or bool(deaf and all(q == k for q, k in mine.values()))
    found, nobodys = set(), set()
    for zone, (silent, there) in mine.items():
        if silent < there * z.DEAF_SHARE or (there < z.DEAF_FEW and not nothing):
            continue
        theirs = [seen[zone] for seen in others if zone in seen]
        silent, count = sum(q for q, _ in theirs), sum(k for _, k in theirs)
        if not count:
            nobodys.add(zone)
        elif count >= (1 if nothing else z.DEAF_FEW) and silent < count * (1 - z.DEAF_SHARE):
            found.add(zone)
    return found | nobodys if nothing and (found or deaf) else found


@dataclass(slots=True)
class Deafness:
    """What this node says of one zone: handed over at once, taken back late and ever later."""

    looks: int = 0  # in a row in which only this node did not hear the zone
    handed_over: int = 0  # times so far
    answered_since: float | None = None  # its machines have answered from here on; None: don't

    def look(self, alone: bool) -> bool:
        """Whether the zone's machines are to be handed over now."""
        self.looks = self.looks + 1 if alone else 0
        return self.looks >= z.DEAF_LOOKS

    def over(self) -> None:
        """They are handed over."""
        self.handed_over += 1
        self.looks, self.answered_since = 0, None

    def asked(self, answered: bool, now: float) -> bool:
        """Takes in what probes found; whether the machines are to be taken back now."""
        if not answered:
            self.answered_since = None
            return False
        if self.answered_since is None:
            self.answered_since = now
        steady_s = z.HEAR_AGAIN_S * 2.0 ** max(0, self.handed_over - 1)
        return now - self.answered_since >= min(z.HEAR_AGAIN_MOST_S, steady_s)
