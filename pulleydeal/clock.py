"""Clocks. Pure functions get the time as an argument; only the services read a clock."""

import time
from typing import Protocol


class Clock(Protocol):
    def now(self) -> float:
        """Monotonic seconds; only differences are meaningful."""

    def wall(self) -> float:
        """Seconds since the Unix epoch, within clock_error_ms of true time."""


class SystemClock:
    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()
