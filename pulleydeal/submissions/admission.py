"""Admission control: whether a user's write can be made in time, and otherwise when to retry.

A request that would wait longer than MAX_QUEUE_WAIT_S for the write rate is refused at once. The
retry times of refused requests are spread so that each second gets as many as can be written in it:
clients that are all given the same second return as the same burst.
"""

import math
from dataclasses import dataclass

from pulleydeal import constants as c

_GOLDEN_RATIO = 0.6180339887498949  # multiples modulo 1 are spread evenly, however many there are


@dataclass(slots=True)
class Admission:
    """A virtual queue of refused requests: the slot of each one gives its retry time."""

    next_at: float = -1e9  # steady-clock time of the next free slot
    beyond: int = 0  # refused requests that got no slot within MAX_RETRY_AFTER_S

    def retry_after_s(self, now: float, wait_s: float, writes_per_s: float) -> int | None:
        """Seconds after which the user should retry; None if the request is admitted.

        `wait_s`: how long a write would wait now; `writes_per_s`: the users' write rate.
        """
        if wait_s <= c.MAX_QUEUE_WAIT_S:
            return None
        self.next_at = max(self.next_at, now + wait_s) + 1 / max(writes_per_s, 1e-3)
        delay_s = self.next_at - now
        if delay_s > c.MAX_RETRY_AFTER_S:
            # More than can be written within MAX_RETRY_AFTER_S: spread them over its second half.
            self.next_at = now + c.MAX_RETRY_AFTER_S
            self.beyond += 1
            delay_s = c.MAX_RETRY_AFTER_S * (1 - 0.5 * (self.beyond * _GOLDEN_RATIO % 1.0))
        return max(c.RETRY_AFTER_S, math.ceil(delay_s))
