"""Checks PROTOCOL's rules while a scenario runs, from what tasks and users really saw."""

from collections import Counter
from collections.abc import Callable
from typing import Any

FORGOTTEN_S = 90.0  # PROTOCOL: a job whose polls all fail for so long


class Rules:
    def __init__(self, teams: dict[str, float], cancel_s: float, now: Callable[[], float]) -> None:
        self._limits = teams  # team -> most accelerators, 0: none
        self._cancel_s = cancel_s
        self._now = now
        self.uploads: dict[str, dict[str, Any]] = {}
        self.broken: list[str] = []
        self.places: dict[str, dict[str, str]] = {}  # lift -> block -> yard
        # Job -> its tasks' zones, one for each place. Counting all tasks anew at each start grew
        # with the square of a day; thousandths, as sums of them are exact.
        self._yards: dict[str, Counter[str]] = {}
        self._milli_used: dict[str, int] = {}  # team -> thousandths of accelerators in use
        self.starts = 0
        self.lost = 0  # tasks that workers gave up as their lease was over
        self.changes: list[tuple[float, str, int]] = []  # when a task of which job came or went
        self.usage: dict[str, list[float]] = {}  # team -> accelerators in use, at each change
        self.unfit: dict[str, str] = {}  # job that can't run or lacks a field -> why
        self.late_starts = 0  # after a confirmed cancellation, whoever ordered them, and when
        self.accepted_at: dict[str, float] = {}  # when its user first heard of it
        self._final: dict[str, tuple[float, str]] = {}  # job -> when it was first heard, and what
        self.cancelled: dict[str, float] = {}
        self._polls: list[tuple[float, str, bool]] = []  # when, of which job, if answered
        self._unanswered: dict[str, float] = {}  # job -> since when its polls fail

    def _break(self, rule: str, text: str) -> None:
        self.broken.append(f"{self._now():.2f} {rule}: {text}")

    # --- what tasks do ----------------------------------------------------------------------
    def _done(self, job: str, results: set[str]) -> bool:
        missing = self._missing(job, results)
        gang = self.uploads[job]["haul"] == "gang"
        return not missing or (gang and len(missing) < self.uploads[job]["lifts"])

    def _missing(self, job: str, results: set[str]) -> list[int]:
        return [i for i in range(self.uploads[job]["lifts"]) if f"{job}/{i}" not in results]

    def on(
        self,
        lift: str,
        block: str,
        type_: str,
        yard: str,
        loaners: bool,
        results: set[str] = frozenset(),  # type: ignore[assignment]
        ordered_at: float | None = None,
    ) -> None:
        """`ordered_at`: the command was sent no earlier than this."""
        self.starts += 1
        name = lift.rpartition("/")[0]
        job = self.uploads[name]
        for needed in job.get("waits_on") or ():
            if not self._done(needed, results):
                self._break("too_early", f"{lift}, and {needed} is not done")
        if self.places.get(lift):
            self._break("ran_twice", f"{lift} on {block} and {sorted(self.places[lift])}")
        others = self._yards.setdefault(name, Counter())
        if (
            (loaners and not job["loaners"])
            or job.get("yard") not in (None, yard)
            or (job.get("rig_models") is not None and type_ not in job["rig_models"])
        ):
            self._break("wrong_place", f"{lift} on {block} in {yard}")
        if job["same_place"] and others.total() > others[yard]:
            self._break("wrong_place", f"{lift} in {yard}, others in {set(others)}")
        if job["spread"] and others[yard] + 1 > (job["lifts"] + 1) // 2:
            self._break("wrong_place", f"{lift}: too many in {yard}")
        self._put(lift, block, yard)
        self.changes.append((self._now(), name, 1))
        told_at = self._told_cancelled(name)
        if told_at < self._now():
            self.late_starts += 1
            if ordered_at is not None and ordered_at > told_at:
                self._break("started_cancelled", f"{lift} on {block}, ordered at {ordered_at:.2f}")
        limit = self._limits[job["crew"]]
        used = self._used(job["crew"])
        if limit and used > limit:
            self._break("quota", f"{job['crew']} uses {used} of {limit}")
        self.check_cancelled()

    def _put(self, lift: str, block: str, yard: str) -> None:
        name = lift.rpartition("/")[0]
        if block not in self.places.setdefault(lift, {}):
            self._yards.setdefault(name, Counter())[yard] += 1
            self._use(name, 1)
        self.places[lift][block] = yard

    def _take(self, lift: str, block: str) -> bool:
        """Whether it was there."""
        yard = self.places.get(lift, {}).pop(block, None)
        if yard is None:
            return False
        name = lift.rpartition("/")[0]
        self._yards[name] -= Counter({yard: 1})
        self._use(name, -1)
        return True

    def _use(self, name: str, tasks: int) -> None:
        team = self.uploads[name]["crew"]
        amount = round(self.uploads[name]["accelerators"] * 1000) * tasks
        self._milli_used[team] = self._milli_used.get(team, 0) + amount

    def _in_use(self, team: str) -> float:
        return self._milli_used.get(team, 0) / 1000

    def already(self, lift: str, block: str, yard: str) -> None:
        """A task that runs there from before the checker began to watch."""
        self._put(lift, block, yard)

    def _used(self, team: str) -> float:
        used = self._in_use(team)
        self.usage.setdefault(team, []).append(used)
        return used

    def under_limit(self, team: str, more: float) -> bool:
        limit = self._limits[team]
        return not limit or self._in_use(team) + more <= limit

    def off(self, lift: str, block: str) -> None:
        self.check_cancelled()
        if self._take(lift, block):
            self.changes.append((self._now(), lift.rpartition("/")[0], -1))
            self._used(self.uploads[lift.rpartition("/")[0]]["crew"])

    def check_cancelled(self) -> None:
        if not self.cancelled:
            return
        for lift, blocks in self.places.items():
            at = self._told_cancelled(lift.rpartition("/")[0])
            if blocks and self._now() - at > self._cancel_s:
                self._break("ran_cancelled", f"{lift} on {sorted(blocks)}")

    def _told_cancelled(self, job: str) -> float:
        """When a user first heard that it is cancelled, or one that it needs."""
        return min(self.cancelled.get(x, float("inf")) for x in {job, *self._needed(job)})

    # --- what users hear ----------------------------------------------------------------------
    def told(
        self, job: str, status: int, state: str, results: set[str], began: float | None = None
    ) -> None:
        """An answer, at the moment of its coming; `began`: when the request for it was sent.

        Answers cross on their way. One to a request that began after another had been received may
        not be older than that one, whichever nodes gave them; one to a request that was on its way
        already may be.
        """
        began = self._now() if began is None else began
        known = self.accepted_at.get(job, float("inf")) <= began
        if job in self.unfit and status in (200, 201):
            self._break("unfit", f"{job} is accepted: {self.unfit[job]}")
            return
        if status == 404 and known:
            self._break("forgotten", f"{job} was accepted, now 404")
        if status in (400, 422) and known:
            self._break("forgotten", f"{job} was accepted, a repeat gets {status}")
        if status not in (200, 201):
            return
        if job not in self.uploads:
            self._break("invented", job)
            return
        first_heard = job not in self.accepted_at
        final_at, final = self._final.get(job, (float("inf"), ""))
        over = state in ("done", "cancelled")
        if final and state != final and (over or final_at <= began):
            self._break("went_back", f"{job} from {final} to {state}")
        by_another = any(x in self.cancelled for x in self._needed(job))
        if state == "cancelled" and job not in self.cancelled and not by_another:
            self._break("went_back", f"{job} cancelled by nobody")
        if state == "done" and not self._done(job, results):
            self._break("not_done", f"{job}: {self._missing(job, results)[:5]}")
        if not over and not first_heard and self._orphan(job):
            self._break("orphaned", f"{job} is {state}")
        self.accepted_at.setdefault(job, self._now())
        if over:
            self._final.setdefault(job, (self._now(), state))
        if first_heard and self._needs_cancelled(job):
            # Submitted after the cancellation was told: its own time begins with its acceptance.
            self.cancelled.setdefault(job, self._now())

    def polled(self, job: str, answered: bool) -> None:
        """PROTOCOL: every poll of a job fails for 90 s while most others are answered."""
        now = self._now()
        if self.accepted_at.get(job, now) >= now:
            return
        self._polls.append((now, job, answered))
        since = self._unanswered.setdefault(job, now)
        if answered:
            del self._unanswered[job]
        elif now - since > FORGOTTEN_S:
            others = [ok for at, other, ok in self._polls if at >= since and other != job]
            if sum(others) > len(others) / 2:
                self._break("forgotten", f"{job} is not answered since {since:.1f}")

    def know(self, job: str, status: str) -> None:
        """Told by nodes before this scenario began."""
        self.accepted_at[job] = self._now()
        if status != "open":
            self._final[job] = (self._now(), status)
        if status == "cancelled":
            self.cancelled[job] = self._now()

    def accepted(self, job: str) -> bool:
        return job in self.accepted_at

    def heard_over(self, job: str) -> bool:
        return job in self._final

    def asked_to_cancel(self, job: str) -> bool:
        """It, or one that it needs."""
        return any(x in self.cancelled for x in {job, *self._needed(job)})

    def done(self, job: str, results: set[str]) -> bool:
        return self._done(job, results)

    def _needs_cancelled(self, job: str) -> bool:
        return any(self.cancelled.get(x, 1e18) < 1e18 for x in self._needed(job))

    def _needed(self, job: str) -> set[str]:
        """All jobs that it needs, directly or through others."""
        found: set[str] = set()
        left = list(self.uploads[job].get("waits_on") or ())
        while left:
            name = left.pop()
            if name not in found and name in self.uploads:
                found.add(name)
                left += self.uploads[name].get("waits_on") or ()
        return found

    def _orphan(self, job: str) -> bool:
        told = [self.cancelled[x] for x in self._needed(job) if x in self.cancelled]
        return any(
            self._now() - max(at, self.cancelled.get(job, at)) > self._cancel_s for at in told
        )

    def asked_cancel(self, job: str, told: bool) -> None:
        self.cancelled.setdefault(job, float("inf"))
        if told:
            self.cancelled[job] = min(self.cancelled[job], self._now())
