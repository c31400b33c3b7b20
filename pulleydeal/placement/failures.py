"""What follows from tasks that failed: a pause, and machines that their job leaves out a while."""

from collections.abc import Container

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.placement.pending import TaskId


class Failures:
    def __init__(self) -> None:
        self._seen: dict[TaskId, tuple[int, float]] = {}  # failures seen, and when to try again
        self._last: dict[TaskId, str] = {}  # where a task last ran
        self._avoid: dict[str, dict[str, float]] = {}  # job -> machine -> until when

    def ran_on(self, key: TaskId, machine: str) -> None:
        self._last[key] = machine

    def may_try(self, key: TaskId, fails: int, now: float) -> bool:
        """Whether the pause after the last of so many failures is over."""
        if not fails:
            return True
        seen, not_before = self._seen.get(key, (0, 0.0))
        if seen != fails:
            not_before = now + rules.error_backoff_s(fails)
            self._seen[key] = (fails, not_before)
            if key in self._last:
                self._avoid.setdefault(key[0], {})[self._last[key]] = now + c.AVOID_S
        return now >= not_before

    def avoided(self, job: str, now: float) -> list[str]:
        """Machines that it leaves out, the latest first.

        For a time: a job that had failed once on the one machine with room left it out for good,
        and as the plan counts that room, nothing was rented for it either.
        """
        found = sorted(
            (-until, machine) for machine, until in self._avoid.get(job, {}).items() if until > now
        )
        return sorted(machine for _, machine in found[: c.AVOID_MOST])

    def forget(self, alive: Container[str]) -> None:
        self._avoid = {job: v for job, v in self._avoid.items() if job in alive}
        self._seen = {key: v for key, v in self._seen.items() if key[0] in alive}
        self._last = {key: v for key, v in self._last.items() if key[0] in alive}
