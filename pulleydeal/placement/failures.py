"""Back-off for failed tasks, and machines that their jobs avoid for a while."""

from collections.abc import Container

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.placement.pending import TaskId


class FailureBackoff:
    """Failure counts of tasks, the end of their back-off, and machines that jobs avoid."""

    def __init__(self) -> None:
        self._backoff: dict[TaskId, tuple[int, float]] = {}  # failure count, and when to try again
        self._last_machine: dict[TaskId, str] = {}  # machine on which a task last ran
        self._avoided: dict[str, dict[str, float]] = {}  # job -> machine -> end of the avoidance

    def record_machine(self, key: TaskId, machine: str) -> None:
        self._last_machine[key] = machine

    def may_retry(self, key: TaskId, failures: int, now: float) -> bool:
        """Whether the back-off after the latest of `failures` failures is over."""
        if not failures:
            return True
        known_failures, not_before = self._backoff.get(key, (0, 0.0))
        if known_failures != failures:
            not_before = now + rules.error_backoff_s(failures)
            self._backoff[key] = (failures, not_before)
            if key in self._last_machine:
                self._avoided.setdefault(key[0], {})[self._last_machine[key]] = now + c.AVOID_S
        return now >= not_before

    def avoided_machines(self, job: str, now: float) -> list[str]:
        """Machines that the job avoids now, at most `AVOID_MOST` of the latest, sorted by id.

        Avoidance is temporary: a job that had failed once on the only machine with capacity would
        otherwise avoid it for good, and since the rental plan counts that capacity, no machine
        would be rented for the job either.
        """
        by_recency = sorted(
            (-until, machine)
            for machine, until in self._avoided.get(job, {}).items()
            if until > now
        )
        return sorted(machine for _, machine in by_recency[: c.AVOID_MOST])

    def retain_jobs(self, open_jobs: Container[str], now: float) -> None:
        """Drops what concerns other jobs, and machines that are avoided no longer."""
        self._avoided = {
            job: {machine: until for machine, until in machines.items() if until > now}
            for job, machines in self._avoided.items()
            if job in open_jobs
        }
        self._backoff = {key: value for key, value in self._backoff.items() if key[0] in open_jobs}
        self._last_machine = {
            key: value for key, value in self._last_machine.items() if key[0] in open_jobs
        }
