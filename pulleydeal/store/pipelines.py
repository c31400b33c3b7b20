"""Which jobs wait for which: kept up to date where records change, never by looking at all jobs.

Whether a job waits, is cancelled with one that it needs, from when its times count, and how much
it matters to those that need it all follow from records that are durable, so every node, also one
that has just started, works out the same. `done` and `cancelled` never change, and what a job
waits on never does, so neither do the answers that rest on them.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from pulleydeal.store.job import Job


class Pipelines:
    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs
        self._needed_by: dict[str, set[str]] = {}  # of jobs that are open: who waits on whom

    def changed(self, job: Job) -> set[str]:
        """Takes in a job's new record; returns the other jobs that it changed."""
        record = job.record
        assert record is not None
        touched: set[str] = set()
        if record.state != "open":
            self._unlink(job, touched)
        elif not job.linked:
            self._link(job)
        if record.state == "done":
            for name in self._needed_by.get(job.id, ()):
                later = self._jobs[name]
                later.blockers.discard(job.id)
                later.since = max(later.since, record.ended)
                touched.add(name)
        if record.state == "cancelled" or self._needs_cancelled(job):
            self._doom(job, touched)
        self._weigh([job.id], touched)
        touched.discard(job.id)
        return touched

    def _link(self, job: Job) -> None:
        record = job.record
        assert record is not None and record.spec is not None
        job.linked = True
        job.since = record.at
        if record.spec.waits_on:
            job.blockers = set()
            job.waits_on = record.spec.waits_on
        for name in record.spec.waits_on:
            self._needed_by.setdefault(name, set()).add(job.id)
            needed = self._jobs.get(name)
            if needed is not None and needed.record is not None and needed.record.state == "done":
                job.since = max(job.since, needed.record.ended)
            else:
                job.blockers.add(name)

    def _unlink(self, job: Job, touched: set[str]) -> None:
        """A job that is over, or will be, lends its weight to no other any more."""
        if not job.linked or job.waits_on is None:
            return
        needed, job.waits_on = job.waits_on, None
        for name in needed:
            later = self._needed_by.get(name, set())
            later.discard(job.id)
            if not later:
                self._needed_by.pop(name, None)
        self._weigh(needed, touched)

    def _needs_cancelled(self, job: Job) -> bool:
        needed = (self._jobs.get(name) for name in job.waits_on or ())
        return any(j is not None and (j.doomed or j.status == "cancelled") for j in needed)

    def _doom(self, first: Job, touched: set[str]) -> None:
        """All open jobs that need a cancelled one, directly or through others, are over with it."""
        queue = deque([first])
        while queue:
            job = queue.popleft()
            # The list is taken before the links are cut.
            later = [self._jobs[name] for name in self._needed_by.get(job.id, ())]
            if job.status == "open" and not job.doomed:
                job.doomed = True
                touched.add(job.id)
                self._unlink(job, touched)
            queue.extend(j for j in later if j.status == "open" and not j.doomed)

    def _weigh(self, names: Iterable[str], touched: set[str]) -> None:
        """Priority and latest end of jobs, given those that need them, and so on upwards.

        The priority is the highest of a job's own and of open jobs that need it; the latest end
        is the tightest deadline, less the estimated work that still comes after it.
        """
        queue = deque(names)
        while queue:
            job = self._jobs.get(queue.popleft())
            if job is None or job.record is None or job.record.spec is None:
                continue
            own = job.record.spec
            priority = own.priority
            due = job.record.at + own.deadline_s if own.deadline_s else float("inf")
            needing = self._needed_by.get(job.id, ())
            for name in needing:
                later = self._jobs[name]
                priority = max(priority, later.priority)
                due = min(due, later.due - later.estimate_s)
            job.chained = job.chained or bool(own.waits_on or needing)
            if (priority, due) == (job.priority, job.due) and job.spec is not None:
                continue
            job.priority, job.due = priority, due
            job.spec = (
                own if priority == own.priority else msgspec.structs.replace(own, priority=priority)
            )
            touched.add(job.id)
            queue.extend(job.waits_on or ())
