"""Measures event-loop lag and defers work of lower precedence while the loop is late.

A node runs everything on one event loop, so if processor time is short, all work is delayed
alike. The order of precedence is then: answers to machines (which renew leases), proofs and
cancellations; answers to users; placement; everything else. Work is deferred, never stopped, and
each pause is bounded.
"""

import asyncio
from enum import IntEnum

from pulleydeal import constants as c
from pulleydeal.clock import Clock


class Precedence(IntEnum):
    """Precedence of a periodic loop; smaller goes first."""

    LEASES = 0  # membership, reports, orders, proofs, the replica: never deferred
    PLACEMENT = 1  # credits, credit requests and bindings
    UPKEEP = 2  # fleet plans, machine lists and returns of machines


class LoopLag:
    """Measures event-loop lag and derives pauses and limits from it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.lag_s = 0.0

    async def measure(self) -> None:
        """Runs one measurement: a sleep that ends late shows how late everything else was."""
        due = self._clock.now() + c.LATENESS_LOOK_S
        await asyncio.sleep(c.LATENESS_LOOK_S)
        self.record(self._clock.now() - due)

    def record(self, lag_s: float) -> None:
        """Records a measured lag; increases apply at once, decreases at most halve the value.

        This way one measurement without lag does not end the deferral.
        """
        self.lag_s = max(lag_s, self.lag_s / 2, 0.0)

    def pause_s(self, precedence: Precedence) -> float:
        """How long to defer the next round of a loop; bounded, so that no loop starves."""
        if precedence is Precedence.PLACEMENT and self.lag_s > c.LATE_PLACEMENT_S:
            return min(self.lag_s, c.LATE_PLACEMENT_PAUSE_S)
        if precedence is Precedence.UPKEEP and self.lag_s > c.LATE_UPKEEP_S:
            return min(2 * self.lag_s, c.LATE_PAUSE_MOST_S)
        return 0.0

    def max_user_requests(self) -> int:
        """Limit of concurrent user requests; others are answered 503 with `Retry-After`."""
        return (
            c.USER_REQUESTS_AT_ONCE
            if self.lag_s <= c.LATE_USERS_S
            else c.LATE_USER_REQUESTS_AT_ONCE
        )
