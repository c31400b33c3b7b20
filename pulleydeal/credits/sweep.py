"""Spreads periodic checks of many items over time."""

import math
from collections.abc import Callable, Iterable


class Sweep:
    """Returns each name about once per period, a fraction of them at each call.

    Handling all names at once blocked a node with 1,600 machines for a quarter of a second.
    """

    def __init__(self, names: Callable[[], Iterable[str]]) -> None:
        self._names = names
        self._remaining: list[str] = []
        self._cycle_size = 0  # number of names in the current cycle
        self._last_call_at = -math.inf

    def due(self, now: float, period_s: float) -> list[str]:
        """Names that are due for the time that passed since the last call."""
        fraction = (now - self._last_call_at) / period_s
        self._last_call_at = now
        if fraction >= 1.0:
            self._remaining = []
            return sorted(set(self._names()))
        if not self._remaining:
            self._remaining = sorted(set(self._names()), reverse=True)
            self._cycle_size = len(self._remaining)
        count = min(len(self._remaining), math.ceil(self._cycle_size * fraction))
        return [self._remaining.pop() for _ in range(count)]
