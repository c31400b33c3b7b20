"""What becomes of a line at a moment: plain functions over its mark, its rules and the clock."""

from dataclasses import dataclass
from typing import Literal

from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import schedule
from pulleydeal.recurring.mapping import LineJob
from pulleydeal.recurring.state import Mark

What = Literal["fire", "skip", "miss", "refuse"]


@dataclass(slots=True, frozen=True)
class Line:
    """A line as it is looked at again and again."""

    id: str
    number: int
    expression: str
    zone: str
    job: LineJob


@dataclass(slots=True, frozen=True)
class Outcome:
    what: What
    instant: int  # the instant that is over with this
    why: str = ""
    replace: bool = False  # the job before it is cancelled in the same transaction
    missed_since: int = 0  # first instant that was missed, when some were


def base(mark: Mark | None, version: str, at: int, resumed: int = 0) -> int:
    """From when on a line's instants count: a line that a version brought in, from that moment."""
    if mark is None:
        return max(at, resumed)
    fired = max(mark.fired, at) if mark.born == version and mark.count == 0 else mark.fired
    return max(fired, resumed)


def next_instant(
    line: Line, mark: Mark | None, version: str, at: int, resumed: int = 0
) -> int | None:
    """The line's next instant that is not over; None: there is none."""
    if line.expression == "@reboot":
        # No node's start is a boot of the service: once, when the line comes in.
        return at if mark is None or (mark.born == version and mark.fired < at) else None
    return schedule.after(line.expression, line.zone, base(mark, version, at, resumed))


def outcome(
    line: Line,
    mark: Mark | None,
    instant: int,
    now: int,
    previous_open: bool,
    refusal: str,
) -> Outcome:
    """What becomes of an instant that has come (`instant <= now`).

    `previous_open`: the job of its last firing is not over; `refusal`: why its job can never run
    now (a limit that has shrunk, a type that is gone), or nothing.
    """
    if now - instant > kc.LATE_S and line.expression != "@reboot":
        # Nobody was there to fire it. The last that is late is the one that `once` makes up for.
        last = schedule.until(line.expression, line.zone, now - int(kc.LATE_S) - 1) or instant
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
        why = "the job before it is not over"
        return Outcome("skip", instant, why, missed_since=missed_since)
    replace = previous_open and line.job.overlap == "replace"
    return Outcome("fire", instant, "", replace, missed_since)


def marked(mark: Mark | None, outcome: Outcome, version: str) -> Mark:
    """The mark after an outcome."""
    old = mark or Mark(born=version)
    if outcome.what == "fire":
        return Mark(outcome.instant, old.count + 1, outcome.instant, old.born)
    note = f"{outcome.what}: {outcome.why}"[: kc.NOTE_CHARS]
    return Mark(outcome.instant, old.count, old.job_at, old.born, note)


@dataclass(slots=True)
class SteadyWall:
    """The time of day, distrusted where it jumps away from the steady clock.

    A clock that is set back or forward by an hour would else fire everything of that hour, or
    nothing. It is believed once it has stood for JUMP_TRUST_S; until then time goes on as before.
    """

    wall: float = 0.0  # believed, at `steady`
    steady: float = -1.0
    jumped_at: float = 0.0
    jump: float = 0.0  # how far the clock stands from what is believed; 0: it does not

    def now(self, steady: float, wall: float) -> float:
        if self.steady < 0:
            self.wall, self.steady = wall, steady
            return wall
        believed = self.wall + (steady - self.steady)
        off = wall - believed
        if abs(off) <= kc.JUMP_S:
            self.wall, self.steady, self.jump = wall, steady, 0.0
            return wall
        if self.jump == 0.0 or abs(off - self.jump) > kc.JUMP_S:
            self.jump, self.jumped_at = off, steady
        elif steady - self.jumped_at >= kc.JUMP_TRUST_S:
            self.wall, self.steady, self.jump = wall, steady, 0.0
            return wall
        return believed


@dataclass(slots=True)
class Due:
    """A line whose instant has come, with what is needed to put it in order."""

    line: Line
    instant: int

    def order(self) -> tuple[int, int, int]:
        """Higher priorities first, then the latest, then by their place in the table."""
        rank = ("production", "high", "normal", "low").index(self.line.job.priority)
        return rank, self.instant, self.line.number
