"""Decides what happens to a due line: pure functions of its progress, its rules and the time."""

from dataclasses import dataclass
from typing import Literal

from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import schedule
from pulleydeal.recurring.mapping import LineJob
from pulleydeal.recurring.state import LineProgress

Action = Literal["fire", "skip", "miss", "refuse"]


@dataclass(slots=True, frozen=True)
class Line:
    """A table's line in memory: its schedule and the job that it starts."""

    id: str
    number: int
    expression: str
    zone: str
    job: LineJob


@dataclass(slots=True, frozen=True)
class Outcome:
    action: Action
    instant: int  # this and all earlier instants are settled
    reason: str = ""
    replace: bool = False  # cancel the previous job in the same transaction
    missed_since: int = 0  # first missed instant; 0: none was missed


def search_start(
    progress: LineProgress | None, version: str, in_force_since: int, resumed_at: int = 0
) -> int:
    """Returns the time after which instants count; for a new line, when its version took effect."""
    if progress is None:
        return max(in_force_since, resumed_at)
    settled_until = (
        max(progress.settled_until, in_force_since)
        if progress.added_in == version and progress.job_count == 0
        else progress.settled_until
    )
    return max(settled_until, resumed_at)


def next_instant(
    line: Line,
    progress: LineProgress | None,
    version: str,
    in_force_since: int,
    resumed_at: int = 0,
) -> int | None:
    """Returns the line's next unsettled instant, or None if there is none."""
    if line.expression == "@reboot":
        # A node's start is no boot of the cluster: the line fires once, when it is added.
        return (
            in_force_since
            if progress is None
            or (progress.added_in == version and progress.settled_until < in_force_since)
            else None
        )
    return schedule.next_after(
        line.expression, line.zone, search_start(progress, version, in_force_since, resumed_at)
    )


def evaluate(
    line: Line,
    progress: LineProgress | None,
    instant: int,
    now: int,
    previous_open: bool,
    refusal: str,
) -> Outcome:
    """Decides the outcome of an instant that has come (`instant <= now`).

    `previous_open`: the job of the line's last firing has not ended. `refusal`: why its job can't
    run at present (a team limit was lowered, a machine type was removed), or empty.
    """
    if now - instant > kc.MISSED_AFTER_S and line.expression != "@reboot":
        # No node fired it in time. With missed=once only the latest missed instant is fired.
        last = (
            schedule.last_until(line.expression, line.zone, now - int(kc.MISSED_AFTER_S) - 1)
            or instant
        )
        last = max(last, instant)
        if line.job.missed == "skip":
            return Outcome("miss", last, "missed", missed_since=instant)
        if not refusal:
            return _fire(line, last, previous_open, instant)
    if refusal:
        return Outcome("refuse", instant, refusal)
    return _fire(line, instant, previous_open, 0)


def _fire(line: Line, instant: int, previous_open: bool, missed_since: int) -> Outcome:
    if previous_open and line.job.overlap == "skip":
        reason = "the job before it is not over"
        return Outcome("skip", instant, reason, missed_since=missed_since)
    replace = previous_open and line.job.overlap == "replace"
    return Outcome("fire", instant, "", replace, missed_since)


def updated_progress(progress: LineProgress | None, outcome: Outcome, version: str) -> LineProgress:
    """Returns the line's progress after an outcome."""
    old = progress or LineProgress(added_in=version)
    if outcome.action == "fire":
        return LineProgress(outcome.instant, old.job_count + 1, outcome.instant, old.added_in)
    note = f"{outcome.action}: {outcome.reason}"[: kc.MAX_NOTE_CHARS]
    return LineProgress(outcome.instant, old.job_count, old.last_job_at, old.added_in, note)


@dataclass(slots=True)
class JumpFilteredClock:
    """Wall clock that ignores jumps against the monotonic clock until they have persisted.

    Otherwise a clock set forward by an hour would fire that hour's instants at once, and one set
    back would fire nothing for an hour. A jump is accepted after CLOCK_JUMP_TRUST_S; until then
    the time continues from the last accepted reading.
    """

    wall: float = 0.0  # last accepted reading, taken at `monotonic`
    monotonic: float = -1.0  # monotonic time; negative before the first reading
    jumped_at: float = 0.0  # monotonic time at which `jump` was first seen
    jump: float = 0.0  # deviation that is not accepted yet; 0: none

    def now(self, monotonic: float, wall: float) -> float:
        if self.monotonic < 0:
            self.wall, self.monotonic = wall, monotonic
            return wall
        expected = self.wall + (monotonic - self.monotonic)
        deviation = wall - expected
        if abs(deviation) <= kc.CLOCK_JUMP_S:
            self.wall, self.monotonic, self.jump = wall, monotonic, 0.0
            return wall
        if self.jump == 0.0 or abs(deviation - self.jump) > kc.CLOCK_JUMP_S:
            self.jump, self.jumped_at = deviation, monotonic
        elif monotonic - self.jumped_at >= kc.CLOCK_JUMP_TRUST_S:
            self.wall, self.monotonic, self.jump = wall, monotonic, 0.0
            return wall
        return expected


@dataclass(slots=True)
class DueLine:
    """A line whose instant has come."""

    line: Line
    instant: int

    def sort_key(self) -> tuple[int, int, int]:
        """Higher priorities first, then the most overdue, then by position in the table."""
        rank = ("production", "high", "normal", "low").index(self.line.job.priority)
        return rank, self.instant, self.line.number
