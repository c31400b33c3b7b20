"""When a line fires: cronsim over the pinned time zones. Instants are whole seconds, UTC.

cronsim follows Debian's cron, also in the nights when clocks change: a line with a fixed time that
falls into the missing hour fires right after it, one in the repeated hour fires once; lines whose
minute or hour is a wildcard follow the clock. croniter was compared by hand on the table of hard
expressions in tests/test_cron.py (docs/notes/cron.md): it fires fixed times of the repeated hour
twice, and takes seconds and years that crontab(5) does not know.
"""

import importlib.metadata
import zoneinfo
from datetime import UTC, datetime, timedelta, timezone, tzinfo
from functools import lru_cache

from cronsim import CronSim, CronSimError

zoneinfo.reset_tzpath(to=())  # the pinned tzdata, and not what a machine happens to have


STRIDE_S = 14 * 86_400  # clocks don't change twice within two weeks, but for Ramadan in Morocco
LOOK_S = 400 * 86_400  # so far changes are looked for where nothing else is found
WINDOWS_S = (3_600, 86_400, 32 * 86_400, 400 * 86_400, 3_000 * 86_400)  # to look back over


class BadSchedule(Exception):
    """It can't be evaluated, or never fires; the text says why."""


def tzdata_version() -> str:
    return importlib.metadata.version("tzdata")


@lru_cache(maxsize=64)
def zone(name: str) -> zoneinfo.ZoneInfo:
    """Raises BadSchedule for a zone that tzdata does not have."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise BadSchedule(f"{name!r} is no time zone") from error


def after(expression: str, zone_name: str, instant: int) -> int | None:
    """The first instant later than `instant`; None: none within 50 years."""
    place = zone(zone_name)
    # Lines with a wildcard in minute or hour follow the clock (Debian's cron, MIN_STAR, HR_STAR).
    if any(word.startswith("*") for word in expression.split()[:2]):
        return _by_the_clock(expression, place, instant)
    return _next(expression, datetime.fromtimestamp(instant, UTC).astimezone(place))


def until(expression: str, zone_name: str, instant: int) -> int | None:
    """The last instant not later than `instant`, looked for over some eight years."""
    for window_s in WINDOWS_S:
        last, at = None, instant - window_s
        while (found := after(expression, zone_name, at)) is not None and found <= instant:
            last = at = found
        if last is not None:
            return last
    return None


def _next(expression: str, start: datetime) -> int | None:
    try:
        return int(next(CronSim(expression, start)).timestamp())
    except StopIteration:
        return None
    except CronSimError as error:
        raise BadSchedule(str(error)) from error


def _by_the_clock(expression: str, place: tzinfo, instant: int) -> int | None:
    """The next minute at which the zone's clock matches, whatever clocks did before.

    cronsim is asked with the clock as it stands, a fixed distance from UTC, from one change of it
    to the next. Asked with the zone itself it goes wrong where clocks go forward at midnight
    (America/Santiago): it took the missing 00:00 for there, and lost 01:00.
    """
    at = instant
    while True:
        shift = _shift(place, at + 1)
        found = _next(expression, datetime.fromtimestamp(at, timezone(timedelta(seconds=shift))))
        changed = _change(place, at + 1, shift, found if found is not None else at + LOOK_S)
        if changed is None or (found is not None and found < changed):
            return found
        at = changed - 1


def _shift(place: tzinfo, instant: int) -> int:
    shift = datetime.fromtimestamp(instant, place).utcoffset()
    return int(shift.total_seconds()) if shift is not None else 0


def _change(place: tzinfo, begin: int, shift: int, end: int) -> int | None:
    """The first instant after `begin` and up to `end` at which the clock's shift is another."""
    low = begin
    while low < end:
        high = min(low + STRIDE_S, end)
        if _shift(place, high) != shift:
            while high - low > 1:
                middle = (low + high) // 2
                if _shift(place, middle) == shift:
                    low = middle
                else:
                    high = middle
            return high
        low = high
    return None
