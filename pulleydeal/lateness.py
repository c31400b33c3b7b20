"""How late a node's event loop is, and what waits while it is late.

When processor time is short, everything on the one loop becomes late together. Then the order is:
answers to machines (they renew leases), proofs and cancellations, answers to users, placement, and
everything else. The later ones are put off, never stopped: each pause is bounded.
"""

import asyncio
from enum import IntEnum

from pulleydeal import constants as c
from pulleydeal.clock import Clock


class Precedence(IntEnum):
    """What a loop of the node is for; smaller goes first."""

    LEASES = 0  # membership, reports, orders, proofs, the watched copy: never put off
    PLACEMENT = 1  # credits, asks and bindings
    UPKEEP = 2  # the fleet's plans, lists and returns


class Lateness:
    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.late_s = 0.0

    async def watch(self) -> None:
        """One round: a sleep that ends late shows for how long everything else waited too."""
        due = self._clock.now() + c.LATENESS_LOOK_S
        await asyncio.sleep(c.LATENESS_LOOK_S)
        self.note(self._clock.now() - due)

    def note(self, late_s: float) -> None:
        """Rises at once, and falls by half a round, so that one good round ends nothing."""
        self.late_s = max(late_s, self.late_s / 2, 0.0)

    def pause_s(self, precedence: Precedence) -> float:
        """How long a round of a loop is put off now; bounded, so that nothing starves."""
        if precedence is Precedence.PLACEMENT and self.late_s > c.LATE_PLACEMENT_S:
            return min(self.late_s, c.LATE_PLACEMENT_PAUSE_S)
        if precedence is Precedence.UPKEEP and self.late_s > c.LATE_UPKEEP_S:
            return min(2 * self.late_s, c.LATE_PAUSE_MOST_S)
        return 0.0

    def users_at_once(self) -> int:
        """Users' requests that are worked on at once; the others hear 503 with `Retry-After`."""
        return c.CROWD_AT_ONCE if self.late_s <= c.LATE_USERS_S else c.LATE_CROWD_AT_ONCE
