"""Index of the machines that report tasks of a job."""

from collections.abc import Collection

from pulleydeal.workers.seen_attempts import AttemptId


class ReportedJobs:
    """Job -> machines whose last report names one of its tasks, exited ones included."""

    def __init__(self) -> None:
        self._machines: dict[str, set[str]] = {}

    def machines(self, job: str) -> Collection[str]:
        return self._machines.get(job, ())

    def update(
        self, machine: str, before: Collection[AttemptId], now: Collection[AttemptId]
    ) -> None:
        """Replaces the attempts that a machine reported `before` by those that it reports `now`."""
        old, new = {job for job, _, _ in before}, {job for job, _, _ in now}
        for job in old - new:
            machines = self._machines.get(job, set())
            machines.discard(machine)
            if not machines:
                self._machines.pop(job, None)
        for job in new - old:
            self._machines.setdefault(job, set()).add(machine)

    def clear(self) -> None:
        self._machines.clear()
