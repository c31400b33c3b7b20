"""Checks the rules of PROTOCOL during a scenario, from what tasks and users observe."""

from collections import Counter
from collections.abc import Callable
from typing import Any

FORGOTTEN_S = 90.0  # PROTOCOL: a job whose polls all fail for this long is lost


class Rules:
    """Collects violations in `broken`, one line each: time, name of the rule, details."""

    def __init__(self, teams: dict[str, float], cancel_s: float, now: Callable[[], float]) -> None:
        self._quotas = teams  # team -> accelerator quota; 0: unlimited
        self._cancel_s = cancel_s
        self._now = now
        self.uploads: dict[str, dict[str, Any]] = {}
        self.broken: list[str] = []
        self.places: dict[str, dict[str, str]] = {}  # task -> machine -> zone
        # Job -> number of its running tasks in each zone. Kept up to date because recounting all
        # tasks at each start made the cost quadratic in the length of the scenario. Accelerators
        # are counted in thousandths, as integer sums are exact.
        self._task_zones: dict[str, Counter[str]] = {}
        self._used_millis: dict[str, int] = {}  # team -> milli-accelerators in use
        self.starts = 0
        self.lost = 0  # tasks that workers ended because their lease expired
        self.changes: list[tuple[float, str, int]] = []  # time, job, +1 start or -1 stop
        self.usage: dict[str, list[float]] = {}  # team -> accelerators in use after each change
        self.unfit: dict[str, str] = {}  # job that must be rejected -> reason
        self.late_starts = 0  # starts after a confirmed cancellation, allowed or not
        self.accepted_at: dict[str, float] = {}  # job -> when a user first learned of it
        self._final_states: dict[str, tuple[float, str]] = {}  # job -> when first told, state
        self.cancelled: dict[str, float] = {}  # job -> when confirmed; inf: only requested
        self._polls: list[tuple[float, str, bool]] = []  # time, job, whether answered
        self._unanswered_since: dict[str, float] = {}  # job -> start of its failing polls

    def _report(self, rule: str, text: str) -> None:
        self.broken.append(f"{self._now():.2f} {rule}: {text}")

    # --- events of tasks ------------------------------------------------------------------
    def _done(self, job: str, results: set[str]) -> bool:
        missing = self._missing(job, results)
        gang = self.uploads[job]["haul"] == "gang"
        return not missing or (gang and len(missing) < self.uploads[job]["lifts"])

    def _missing(self, job: str, results: set[str]) -> list[int]:
        return [i for i in range(self.uploads[job]["lifts"]) if f"{job}/{i}" not in results]

    def on(
        self,
        task: str,
        machine: str,
        machine_type: str,
        zone: str,
        spot: bool,
        results: set[str] = frozenset(),  # type: ignore[assignment]
        ordered_at: float | None = None,
    ) -> None:
        """Records the start of a task and checks it.

        `ordered_at` is a lower bound for when the command was sent.
        """
        self.starts += 1
        name = task.rpartition("/")[0]
        job = self.uploads[name]
        for needed in job.get("waits_on") or ():
            if not self._done(needed, results):
                self._report("too_early", f"{task}, and {needed} is not done")
        if self.places.get(task):
            self._report("ran_twice", f"{task} on {machine} and {sorted(self.places[task])}")
        others = self._task_zones.setdefault(name, Counter())
        if (
            (spot and not job["loaners"])
            or job.get("yard") not in (None, zone)
            or (job.get("rig_models") is not None and machine_type not in job["rig_models"])
        ):
            self._report("wrong_place", f"{task} on {machine} in {zone}")
        if job["same_place"] and others.total() > others[zone]:
            self._report("wrong_place", f"{task} in {zone}, others in {set(others)}")
        if job["spread"] and others[zone] + 1 > (job["lifts"] + 1) // 2:
            self._report("wrong_place", f"{task}: too many in {zone}")
        self._add_task(task, machine, zone)
        self.changes.append((self._now(), name, 1))
        cancelled_at = self._cancelled_at(name)
        if cancelled_at < self._now():
            self.late_starts += 1
            if ordered_at is not None and ordered_at > cancelled_at:
                self._report(
                    "started_cancelled", f"{task} on {machine}, ordered at {ordered_at:.2f}"
                )
        limit = self._quotas[job["crew"]]
        used = self._record_usage(job["crew"])
        if limit and used > limit:
            self._report("quota", f"{job['crew']} uses {used} of {limit}")
        self.check_cancelled()

    def _add_task(self, task: str, machine: str, zone: str) -> None:
        name = task.rpartition("/")[0]
        if machine not in self.places.setdefault(task, {}):
            self._task_zones.setdefault(name, Counter())[zone] += 1
            self._count_usage(name, 1)
        self.places[task][machine] = zone

    def _remove_task(self, task: str, machine: str) -> bool:
        """Returns whether the task was recorded on that machine."""
        zone = self.places.get(task, {}).pop(machine, None)
        if zone is None:
            return False
        name = task.rpartition("/")[0]
        self._task_zones[name] -= Counter({zone: 1})
        self._count_usage(name, -1)
        return True

    def _count_usage(self, name: str, tasks: int) -> None:
        team = self.uploads[name]["crew"]
        amount = round(self.uploads[name]["accelerators"] * 1000) * tasks
        self._used_millis[team] = self._used_millis.get(team, 0) + amount

    def _usage_of(self, team: str) -> float:
        return self._used_millis.get(team, 0) / 1000

    def already(self, task: str, machine: str, zone: str) -> None:
        """Records a task that was running before the checker was started."""
        self._add_task(task, machine, zone)

    def _record_usage(self, team: str) -> float:
        used = self._usage_of(team)
        self.usage.setdefault(team, []).append(used)
        return used

    def under_limit(self, team: str, more: float) -> bool:
        limit = self._quotas[team]
        return not limit or self._usage_of(team) + more <= limit

    def off(self, task: str, machine: str) -> None:
        self.check_cancelled()
        if self._remove_task(task, machine):
            self.changes.append((self._now(), task.rpartition("/")[0], -1))
            self._record_usage(self.uploads[task.rpartition("/")[0]]["crew"])

    def check_cancelled(self) -> None:
        if not self.cancelled:
            return
        for task, machines in self.places.items():
            at = self._cancelled_at(task.rpartition("/")[0])
            if machines and self._now() - at > self._cancel_s:
                self._report("ran_cancelled", f"{task} on {sorted(machines)}")

    def _cancelled_at(self, job: str) -> float:
        """When a user first learned that the job or a prerequisite of it is cancelled."""
        return min(self.cancelled.get(x, float("inf")) for x in {job, *self._prerequisites(job)})

    # --- answers to users -----------------------------------------------------------------
    def told(
        self,
        job: str,
        status: int,
        state: str,
        results: set[str],
        requested_at: float | None = None,
    ) -> None:
        """Checks an answer when it arrives; `requested_at` is when its request was sent.

        Answers may overtake each other. If a request is sent after another answer has arrived, its
        answer must not be older than that one, whichever nodes gave them. If the request was
        already under way, its answer may be older.
        """
        requested_at = self._now() if requested_at is None else requested_at
        known = self.accepted_at.get(job, float("inf")) <= requested_at
        if job in self.unfit and status in (200, 201):
            self._report("unfit", f"{job} is accepted: {self.unfit[job]}")
            return
        if status == 404 and known:
            self._report("forgotten", f"{job} was accepted, now 404")
        if status in (400, 422) and known:
            self._report("forgotten", f"{job} was accepted, a repeat gets {status}")
        if status not in (200, 201):
            return
        if job not in self.uploads:
            self._report("invented", job)
            return
        first_heard = job not in self.accepted_at
        final_at, final_state = self._final_states.get(job, (float("inf"), ""))
        is_final = state in ("done", "cancelled")
        if final_state and state != final_state and (is_final or final_at <= requested_at):
            self._report("went_back", f"{job} from {final_state} to {state}")
        by_another = any(x in self.cancelled for x in self._prerequisites(job))
        if state == "cancelled" and job not in self.cancelled and not by_another:
            self._report("went_back", f"{job} cancelled by nobody")
        if state == "done" and not self._done(job, results):
            self._report("not_done", f"{job}: {self._missing(job, results)[:5]}")
        if not is_final and not first_heard and self._is_orphaned(job):
            self._report("orphaned", f"{job} is {state}")
        self.accepted_at.setdefault(job, self._now())
        if is_final:
            self._final_states.setdefault(job, (self._now(), state))
        if first_heard and self._needs_cancelled_job(job):
            # Submitted after its prerequisite was cancelled: its time limit starts at acceptance.
            self.cancelled.setdefault(job, self._now())

    def polled(self, job: str, answered: bool) -> None:
        """Records a poll; reports a job whose polls fail for 90 s while most others succeed."""
        now = self._now()
        if self.accepted_at.get(job, now) >= now:
            return
        self._polls.append((now, job, answered))
        since = self._unanswered_since.setdefault(job, now)
        if answered:
            del self._unanswered_since[job]
        elif now - since > FORGOTTEN_S:
            others = [ok for at, other, ok in self._polls if at >= since and other != job]
            if sum(others) > len(others) / 2:
                self._report("forgotten", f"{job} has had no answer since {since:.1f}")

    def know(self, job: str, status: str) -> None:
        """Records what nodes told users of a job before this scenario began."""
        self.accepted_at[job] = self._now()
        if status != "open":
            self._final_states[job] = (self._now(), status)
        if status == "cancelled":
            self.cancelled[job] = self._now()

    def accepted(self, job: str) -> bool:
        return job in self.accepted_at

    def heard_over(self, job: str) -> bool:
        return job in self._final_states

    def asked_to_cancel(self, job: str) -> bool:
        """Whether cancellation of the job or a prerequisite of it was requested."""
        return any(x in self.cancelled for x in {job, *self._prerequisites(job)})

    def done(self, job: str, results: set[str]) -> bool:
        return self._done(job, results)

    def _needs_cancelled_job(self, job: str) -> bool:
        return any(self.cancelled.get(x, 1e18) < 1e18 for x in self._prerequisites(job))

    def _prerequisites(self, job: str) -> set[str]:
        """All jobs that the job depends on, directly or transitively."""
        found: set[str] = set()
        left = list(self.uploads[job].get("waits_on") or ())
        while left:
            name = left.pop()
            if name not in found and name in self.uploads:
                found.add(name)
                left += self.uploads[name].get("waits_on") or ()
        return found

    def _is_orphaned(self, job: str) -> bool:
        told = [self.cancelled[x] for x in self._prerequisites(job) if x in self.cancelled]
        return any(
            self._now() - max(at, self.cancelled.get(job, at)) > self._cancel_s for at in told
        )

    def asked_cancel(self, job: str, told: bool) -> None:
        self.cancelled.setdefault(job, float("inf"))
        if told:
            self.cancelled[job] = min(self.cancelled[job], self._now())
