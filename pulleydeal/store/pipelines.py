"""Dependencies between jobs, updated as job records change, without scanning all jobs.

Whether a job is blocked, whether it is cancelled because of a dependency, when its waiting time
begins, and the priority and deadline that it inherits from its dependents follow from durable
records alone. So every node, also one that has just started, derives the same values. The states
`done` and `cancelled` are final and a job's dependencies never change, so what is derived from
them is final too.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from pulleydeal.store.job import Job


class Pipelines:
    """Maintains the derived fields of jobs that depend on each other."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs
        self._dependents: dict[str, set[str]] = {}  # job -> open jobs that wait on it

    def update(self, job: Job) -> set[str]:
        """Applies a job's new record. Returns the ids of the other jobs whose state changed."""
        record = job.record
        assert record is not None
        touched: set[str] = set()
        if record.state != "open":
            self._unlink(job, touched)
        elif not job.linked:
            self._link(job)
        if record.state == "done":
            for name in self._dependents.get(job.id, ()):
                dependent = self._jobs[name]
                dependent.blockers.discard(job.id)
                dependent.waiting_since = max(dependent.waiting_since, record.ended)
                touched.add(name)
        if self._depends_on_cancelled(job):
            job.dependency_cancelled = True
        if job.is_cancelled:
            self._propagate_cancellation(job, touched)
        self._update_priorities([job.id], touched)
        touched.discard(job.id)
        return touched

    def _link(self, job: Job) -> None:
        record = job.record
        assert record is not None and record.spec is not None
        job.linked = True
        job.waiting_since = record.at
        if record.spec.waits_on:
            job.blockers = set()
            job.waits_on = record.spec.waits_on
        for name in record.spec.waits_on:
            self._dependents.setdefault(name, set()).add(job.id)
            dependency = self._jobs.get(name)
            if (
                dependency is not None
                and dependency.record is not None
                and dependency.record.state == "done"
            ):
                job.waiting_since = max(job.waiting_since, dependency.record.ended)
            else:
                job.blockers.add(name)

    def _unlink(self, job: Job, touched: set[str]) -> None:
        """Unlinks a job that is over or cancelled; its dependencies inherit from it no more."""
        if not job.linked or job.waits_on is None:
            return
        dependencies, job.waits_on = job.waits_on, None
        for name in dependencies:
            dependents = self._dependents.get(name, set())
            dependents.discard(job.id)
            if not dependents:
                self._dependents.pop(name, None)
        self._update_priorities(dependencies, touched)

    def _depends_on_cancelled(self, job: Job) -> bool:
        dependencies = (self._jobs.get(name) for name in job.waits_on or ())
        return any(
            j is not None and (j.dependency_cancelled or j.status == "cancelled")
            for j in dependencies
        )

    def _propagate_cancellation(self, first: Job, touched: set[str]) -> None:
        """Marks all open jobs that depend on a cancelled one, directly or transitively.

        A job is marked when it is found, so it is visited once however many ways lead to it. When
        it was marked as its turn came, it was visited once for each way, and every node stood still
        (docs/incidents/pipeline-cancelled.md).
        """
        found = [first]
        for job in found:  # grows in the loop
            for name in self._dependents.get(job.id, ()):
                dependent = self._jobs[name]
                if dependent.is_open:
                    dependent.dependency_cancelled = True
                    found.append(dependent)
        for job in found:
            if job.status == "open":
                touched.add(job.id)
                self._unlink(job, touched)

    def _update_priorities(self, names: Iterable[str], touched: set[str]) -> None:
        """Updates priority and due time of the named jobs and, on a change, of their dependencies.

        A job's priority is the highest of its own and those of its open dependents. Its due time
        is the earliest of its own deadline and, for each dependent, the dependent's due time minus
        the dependent's estimated run time.
        """
        queue = deque(names)
        while queue:
            job = self._jobs.get(queue.popleft())
            if job is None or job.record is None or job.record.spec is None:
                continue
            own = job.record.spec
            priority = own.priority
            due = job.record.at + own.deadline_s if own.deadline_s else float("inf")
            dependents = self._dependents.get(job.id, ())
            for name in dependents:
                dependent = self._jobs[name]
                priority = max(priority, dependent.priority)
                due = min(due, dependent.due - dependent.estimate_s)
            job.in_pipeline = job.in_pipeline or bool(own.waits_on or dependents)
            if (priority, due) == (job.priority, job.due) and job.spec is not None:
                continue
            job.priority, job.due = priority, due
            job.spec = (
                own if priority == own.priority else msgspec.structs.replace(own, priority=priority)
            )
            touched.add(job.id)
            queue.extend(job.waits_on or ())
