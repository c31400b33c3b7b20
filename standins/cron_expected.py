"""An independent reference for when cron lines fire: every minute of whole years, with numpy.

It is written from crontab(5) and cron(8) alone and shares no code with the tested package.
"""

import random
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

import numpy as np

MINUTE = 60


class Year:
    """Every minute of a span in one time zone: its local fields and UTC offset."""

    def __init__(self, zone: str, first: int, last: int) -> None:
        tz = ZoneInfo(zone)
        self.first = first
        self.instants = np.arange(first, last, MINUTE)
        offsets = np.empty(len(self.instants), dtype=np.int64)
        # Offsets change only at quarter hours, so one look-up for each is enough.
        for i in range(0, len(self.instants), 15):
            when = datetime.fromtimestamp(int(self.instants[i]), UTC).astimezone(tz)
            shift = when.utcoffset()
            assert shift is not None
            offsets[i : i + 15] = int(shift.total_seconds())
        self.offsets = offsets
        local = self.instants + offsets
        self.fields = _fields(local)
        self.local = local

    def firings(self, expression: str) -> list[int]:
        """All instants at which cron starts the expression."""
        match = _matches(expression, self.fields)
        minute, hour = expression.split()[:2]
        if minute.startswith("*") or hour.startswith("*"):
            return [int(x) for x in self.instants[match]]
        # A fixed time runs once on each local day that has it. If the clock skips it, it runs
        # right after the change; if the clock shows it twice, it runs the first time.
        found = []
        seen: set[int] = set()
        for i in np.flatnonzero(match):
            if int(self.local[i]) not in seen:
                seen.add(int(self.local[i]))
                found.append(int(self.instants[i]))
        for i in np.flatnonzero(np.diff(self.offsets) > 0):
            skipped = np.arange(self.local[i] + MINUTE, self.local[i + 1], MINUTE)
            if _matches(expression, _fields(skipped)).any():
                found.append(int(self.instants[i + 1]))
        return sorted(set(found))


def _fields(local: "np.ndarray[tuple[int], np.dtype[np.int64]]") -> list[np.ndarray]:  # type: ignore[type-arg]
    days = local // 86_400
    at = (local % 86_400) // MINUTE
    dates = days.astype("datetime64[D]")
    months = dates.astype("datetime64[M]")
    return [
        at % 60,
        at // 60,
        (dates - months.astype("datetime64[D]")).astype(np.int64) + 1,
        months.astype(np.int64) % 12 + 1,
        (days + 4) % 7,
    ]


LIMITS = [(0, 59), (0, 23), (1, 31), (1, 12), (0, 7)]


def _matches(expression: str, fields: list[np.ndarray]) -> np.ndarray:  # type: ignore[type-arg]
    words = expression.split()
    masks = []
    for word, (low, high), values in zip(words, LIMITS, fields, strict=True):
        allowed = set()
        for part in word.split(","):
            span, _, step = part.partition("/")
            a, b = (low, high) if span == "*" else _span(span)
            allowed |= set(range(a, b + 1, int(step or 1)))
        if high == 7:
            allowed = {x % 7 for x in allowed}
        masks.append(np.isin(values, sorted(allowed)))
    minute, hour, day, month, weekday = masks
    # crontab(5): if neither day field starts with *, a match of either is enough.
    both = words[2].startswith("*") or words[4].startswith("*")
    return minute & hour & month & ((day & weekday) if both else (day | weekday))


def _span(span: str) -> tuple[int, int]:
    first, _, last = span.partition("-")
    return int(first), int(last or first)


def random_expression(rng: random.Random) -> str:
    """A random line like those in use; most run daily or more rarely."""
    minute = rng.choice(
        [str(rng.randrange(60)), "*/30", f"{rng.randrange(30)},{30 + rng.randrange(30)}", "0"]
    )
    hour = rng.choice(["*", "*/6", "2", "2", str(rng.randrange(24)), "1-3", "0,12"])
    if minute.startswith("*") and hour == "*":
        hour = str(rng.randrange(24))
    day = rng.choice(["*", "*", "*", str(1 + rng.randrange(28)), "1,15", "*/2", "29", "31"])
    month = rng.choice(["*", "*", "*", str(1 + rng.randrange(12)), "3,10", "*/3"])
    weekday = rng.choice(["*", "*", "*", "1-5", "0", "7", "6,0", str(rng.randrange(7))])
    if day in ("29", "31") and weekday == "*":
        month = "*"
    return f"{minute} {hour} {day} {month} {weekday}"
