"""Dependencies between jobs, updated as job records change, without scanning all jobs.

Whether a job is blocked, whether it is cancelled because of a dependency, when its waiting time
begins, and the priority and deadline that it inherits from its dependents follow from durable
records alone. So every node, also one that has just started, derives the same values. The states
`done` and `cancelled` are final and a job's dependencies never change, so what is derived from
them is final too.
"""

from collections.abc import Iterable, Mapping
from graphlib import TopologicalSorter
from heapq import heapify, heappop, heappush
from typing import NamedTuple

import msgspec

from pulleydeal.store.job import Job


class Urgency(NamedTuple):
    """What decides how soon a job should start."""

    priority: int
    due: float  # wall clock in seconds; infinite: no deadline


class Pipelines:
    """Maintains the derived fields of jobs that depend on each other."""

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        self._dependents: dict[str, set[str]] = {}  # job -> open jobs that wait on it
        # Linked job -> length of the longest chain of dependencies below it; 0 if absent.
        self._depths: dict[str, int] = {}

    def load(self, jobs: Iterable[Job]) -> None:
        """Derives all fields of jobs that were loaded into an empty replica, in any order.

        Applied one by one, each record could change all that were applied before.
        """
        dependencies: dict[str, list[str]] = {}
        over: list[Job] = []  # but not retired
        for job in jobs:
            if job.record is None or job.record.spec is None:
                continue
            if job.status == "open":
                dependencies[job.id] = job.record.spec.waits_on
            else:
                over.append(job)
        ordered = [
            self._jobs[name]
            for name in TopologicalSorter(dependencies).static_order()
            if name in dependencies
        ]
        for job in ordered:
            self._link(job)
            job.dependency_cancelled = self._depends_on_cancelled(job)
        for job in ordered:
            if job.dependency_cancelled:
                self._unlink(job)
        for job in [*reversed(ordered), *over]:  # dependents first
            self._update_urgency(job)

    def update(self, job: Job) -> set[str]:
        """Applies a job's new record. Returns the ids of the other jobs whose state changed."""
        record = job.record
        assert record is not None
        touched: set[str] = set()
        affected = {job.id}
        if record.state != "open":
            affected |= self._unlink(job)
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
            affected |= self._propagate_cancellation(job, touched)
        for name in job.waits_on or ():
            if name in self._jobs:
                self._jobs[name].in_pipeline = True
        self._update_urgencies(affected, touched)
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
            self._depths[job.id] = 1 + max(self._depths.get(x, 0) for x in job.waits_on)
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

    def _unlink(self, job: Job) -> set[str]:
        """Unlinks a job that is over or cancelled; its dependencies inherit from it no more.

        Returns those whose urgency may change by that.
        """
        if not job.linked or job.waits_on is None:
            return set()
        dependencies, job.waits_on = job.waits_on, None
        self._depths.pop(job.id, None)
        for name in dependencies:
            dependents = self._dependents.get(name, set())
            dependents.discard(job.id)
            if not dependents:
                self._dependents.pop(name, None)
        if job.spec is None:  # retired, so what it handed down is not known any more
            return set(dependencies)
        inherited = _handed_down(job)
        return {name for name in dependencies if self._is_affected(name, inherited, None)}

    def _depends_on_cancelled(self, job: Job) -> bool:
        dependencies = (self._jobs.get(name) for name in job.waits_on or ())
        return any(
            j is not None and (j.dependency_cancelled or j.status == "cancelled")
            for j in dependencies
        )

    def _propagate_cancellation(self, first: Job, touched: set[str]) -> set[str]:
        """Marks all open jobs that depend on a cancelled one, directly or transitively.

        Returns the jobs whose urgency may change as these wait for nothing any more.

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
        affected: set[str] = set()
        for job in found:
            if job.status == "open":
                touched.add(job.id)
                affected |= self._unlink(job)
        return affected

    def _update_urgencies(self, names: Iterable[str], touched: set[str]) -> None:
        """Updates priority and due time of the named jobs and, on a change, of their dependencies.

        Dependents come before their dependencies, so a job is computed once all jobs that it
        inherits from are final, however many ways lead to it.
        """
        queued = set(names)
        queue = [(-self._depths.get(name, 0), name) for name in queued]
        heapify(queue)
        while queue:
            _, name = heappop(queue)
            queued.discard(name)
            job = self._jobs.get(name)
            if job is None:
                continue
            before = _handed_down(job)
            if not self._update_urgency(job):
                continue
            touched.add(name)
            after = _handed_down(job)
            for dependency in job.waits_on or ():
                if dependency not in queued and self._is_affected(dependency, before, after):
                    queued.add(dependency)
                    heappush(queue, (-self._depths.get(dependency, 0), dependency))

    def _update_urgency(self, job: Job) -> bool:
        """Computes a job's priority and due time; returns whether they changed.

        The priority is the highest of its own and those of its open dependents. The due time is
        the earliest of its own deadline and, for each dependent, the dependent's due time minus
        the dependent's estimated run time.
        """
        if job.record is None or job.record.spec is None:
            return False
        own = job.record.spec
        priority = own.priority
        due = job.record.at + own.deadline_s if own.deadline_s else float("inf")
        dependents = self._dependents.get(job.id, ())
        job.in_pipeline = job.in_pipeline or bool(own.waits_on or dependents)
        for name in dependents:
            inherited = _handed_down(self._jobs[name])
            priority = max(priority, inherited.priority)
            due = min(due, inherited.due)
        if (priority, due) == (job.priority, job.due):
            return False
        job.priority, job.due = priority, due
        job.spec = (
            own if priority == own.priority else msgspec.structs.replace(own, priority=priority)
        )
        return True

    def _is_affected(self, name: str, before: Urgency, after: Urgency | None) -> bool:
        """Whether a job may change as one of its dependents hands down another urgency.

        `after`: None if it is no dependent any more. Most changes affect nothing: thousands of jobs
        may wait on one, and computing that one anew for each of them would take minutes.
        """
        job = self._jobs.get(name)
        if job is None or job.record is None or job.record.spec is None:
            return False
        if after is not None and (after.priority > job.priority or after.due < job.due):
            return True
        set_priority = before.priority >= job.priority > job.record.spec.priority
        return set_priority or before.due <= job.due < float("inf")


def _handed_down(job: Job) -> Urgency:
    """What the job's dependencies inherit from it."""
    return Urgency(job.priority, job.due - job.estimate_s)
