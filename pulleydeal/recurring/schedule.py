"""Computes firing times with cronsim over the pinned time zones. Instants are whole seconds, UTC.

cronsim follows Debian's cron, also across daylight-saving changes: a fixed time within the skipped
hour fires right after it, and one within the repeated hour fires once; lines with a wildcard as
minute or hour follow local time. croniter is not used: on the expressions of `HARD_EXPRESSIONS` in
tests/test_cron.py (docs/notes/cron.md) it fires fixed times of the repeated hour twice, and it
accepts seconds and years, which crontab(5) does not have.
"""

import importlib.metadata
import zoneinfo
from datetime import UTC, datetime, timedelta, timezone, tzinfo
from functools import lru_cache

from cronsim import CronSim, CronSimError

zoneinfo.reset_tzpath(to=())  # use the pinned tzdata package instead of the system's database


# UTC offsets don't change twice within two weeks, except around Ramadan in Morocco.
OFFSET_STRIDE_S = 14 * 86_400
# How far to search for an offset change when no instant is found with the present offset.
OFFSET_SEARCH_S = 400 * 86_400
# Spans that `last_until` searches, one after the other until it finds an instant.
LOOKBACK_WINDOWS_S = (3_600, 86_400, 32 * 86_400, 400 * 86_400, 3_000 * 86_400)


class BadSchedule(Exception):
    """A schedule or time zone that can't be evaluated; the message says why."""


def tzdata_version() -> str:
    return importlib.metadata.version("tzdata")


@lru_cache(maxsize=64)
def zone(name: str) -> zoneinfo.ZoneInfo:
    """Raises BadSchedule for a zone that is not in tzdata."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise BadSchedule(f"{name!r} is no time zone") from error


def next_after(expression: str, zone_name: str, instant: int) -> int | None:
    """Returns the first firing after `instant`, or None if there is none within 50 years."""
    tz = zone(zone_name)
    # A wildcard in minute or hour follows local time (MIN_STAR and HR_STAR in Debian's cron).
    if any(field.startswith("*") for field in expression.split()[:2]):
        return _next_by_local_time(expression, tz, instant)
    return _cronsim_next(expression, datetime.fromtimestamp(instant, UTC).astimezone(tz))


def last_until(expression: str, zone_name: str, instant: int) -> int | None:
    """Returns the last firing up to `instant`, searching back over about eight years."""
    for window_s in LOOKBACK_WINDOWS_S:
        last, at = None, instant - window_s
        while (found := next_after(expression, zone_name, at)) is not None and found <= instant:
            last = at = found
        if last is not None:
            return last
    return None


def _cronsim_next(expression: str, start: datetime) -> int | None:
    try:
        return int(next(CronSim(expression, start)).timestamp())
    except StopIteration:
        return None
    except CronSimError as error:
        raise BadSchedule(str(error)) from error


def _next_by_local_time(expression: str, tz: tzinfo, instant: int) -> int | None:
    """Returns the next instant at which local time matches, regardless of offset changes before.

    cronsim is called with a fixed UTC offset for each span between two offset changes. With the
    zone itself it fails where clocks go forward at midnight (America/Santiago): it treats the
    skipped 00:00 as an existing time and misses 01:00.
    """
    at = instant
    while True:
        offset_s = _utc_offset_s(tz, at + 1)
        found = _cronsim_next(
            expression, datetime.fromtimestamp(at, timezone(timedelta(seconds=offset_s)))
        )
        changed_at = _next_offset_change(
            tz, at + 1, offset_s, found if found is not None else at + OFFSET_SEARCH_S
        )
        if changed_at is None or (found is not None and found < changed_at):
            return found
        at = changed_at - 1


def _utc_offset_s(tz: tzinfo, instant: int) -> int:
    offset = datetime.fromtimestamp(instant, tz).utcoffset()
    return int(offset.total_seconds()) if offset is not None else 0


def _next_offset_change(tz: tzinfo, begin: int, offset_s: int, end: int) -> int | None:
    """Returns the first instant in (`begin`, `end`] with another UTC offset, or None."""
    low = begin
    while low < end:
        high = min(low + OFFSET_STRIDE_S, end)
        if _utc_offset_s(tz, high) != offset_s:
            while high - low > 1:
                middle = (low + high) // 2
                if _utc_offset_s(tz, middle) == offset_s:
                    low = middle
                else:
                    high = middle
            return high
        low = high
    return None
