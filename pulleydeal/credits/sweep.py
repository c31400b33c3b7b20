"""Looks at everything once in a while, a share of it in each round."""

import math
from collections.abc import Callable, Iterable


class Sweep:
    """Each name comes up about once in a period, a share of them each time.

    All of them at once kept a node of 1,600 machines from all else for a quarter of a second.
    """

    def __init__(self, names: Callable[[], Iterable[str]]) -> None:
        self._names = names
        self._left: list[str] = []
        self._size = 0  # of the present turn
        self._at = -math.inf

    def due(self, now: float, period_s: float) -> list[str]:
        """The names whose turn it is, for the time since this was last asked."""
        share = (now - self._at) / period_s
        self._at = now
        if share >= 1.0:
            self._left = []
            return sorted(set(self._names()))
        if not self._left:
            self._left = sorted(set(self._names()), reverse=True)
            self._size = len(self._left)
        count = min(len(self._left), math.ceil(self._size * share))
        return [self._left.pop() for _ in range(count)]
