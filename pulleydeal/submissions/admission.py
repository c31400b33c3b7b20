"""Whether what a user asks can be written in time, and else when to come again.

What would wait longer than QUEUE_MOST_S in the queue for the write rate is refused before it
waits. Those refused are told different seconds, as many in each as can be written then: a crowd
that is told the same second comes back as the same crowd.
"""

import math
from dataclasses import dataclass

from pulleydeal import constants as c

_GOLDEN = 0.6180339887498949  # its multiples fill an interval evenly, however many there are


@dataclass(slots=True)
class Admission:
    """The refused stand in a queue of their own, on paper: each has a place and so a time."""

    next_at: float = -1e9  # steady time of the first place that is still free
    beyond: int = 0  # refused for whom there was no place within RETRY_MOST_S

    def refused_for_s(self, now: float, wait_s: float, per_s: float) -> int | None:
        """None: there is time. Else the seconds after which the user is to come again.

        `wait_s`: what a write would wait now; `per_s`: writes that users may have a second.
        """
        if wait_s <= c.QUEUE_MOST_S:
            return None
        self.next_at = max(self.next_at, now + wait_s) + 1 / max(per_s, 1e-3)
        after = self.next_at - now
        if after > c.RETRY_MOST_S:
            # More than can be written in that time: spread over its later half.
            self.next_at = now + c.RETRY_MOST_S
            self.beyond += 1
            after = c.RETRY_MOST_S * (1 - 0.5 * (self.beyond * _GOLDEN % 1.0))
        return max(c.RETRY_AFTER_S, math.ceil(after))
