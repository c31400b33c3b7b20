"""Clocks. Decisions get the time passed in; only the edge asks one of these."""

import time
from typing import Protocol


class Clock(Protocol):
    def now(self) -> float:
        """Steady seconds; only differences mean anything."""

    def wall(self) -> float:
        """Seconds since the epoch, within clock_error_ms of true time."""


class SystemClock:
    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()
