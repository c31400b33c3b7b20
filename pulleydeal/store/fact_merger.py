"""Merges facts into the tasks of journaled jobs. Order and repetition do not matter (facts.py)."""

from pulleydeal import constants as c
from pulleydeal.store import facts
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from pulleydeal.store.jobs import Jobs
from pulleydeal.store.task_index import TaskIndex


class FactMerger:
    """Merges facts as they are read, also those read before the record of their job."""

    def __init__(self, jobs: Jobs, tasks: TaskIndex) -> None:
        self._jobs = jobs
        self._tasks = tasks
        # Job -> its facts, while the job is not known: during a load, a journal value may be newer
        # than the pages with the jobs.
        self._before_job: dict[str, list[facts.Fact]] = {}
        self._before_job_version = 0  # of the newest value with such facts
        self._merged: dict[str, set[int]] = {}  # job -> tasks merged from several facts

    def is_merged(self, job_id: str, index: int) -> bool:
        """Whether the state of a journaled job's task was merged from several facts."""
        return index in self._merged.get(job_id, ())

    def merge(self, new_facts: list[facts.Fact], version: int) -> set[str]:
        """Merges the facts of a journal value. Returns the jobs whose tasks changed."""
        changed: dict[tuple[str, int], list[r.Task]] = {}
        for fact in new_facts:
            job = self._jobs.get(fact.job)
            if job is None or job.record is None:
                self._before_job.setdefault(fact.job, []).append(fact)
                self._before_job_version = max(version, self._before_job_version)
                continue
            if job.record.spec is None:
                continue  # retired
            k, offset = divmod(fact.index, c.CHUNK_TASKS)
            tasks = changed.get((fact.job, k))
            if tasks is None:
                tasks = changed[(fact.job, k)] = _copy_tasks(job, job.record.tasks, k)
            if offset < len(tasks):
                known = tasks[offset]
                tasks[offset] = facts.merge_tasks(known, fact.task)
                self._track_merged(fact, known, tasks[offset])
        for (job_id, k), tasks in changed.items():
            self._tasks.set_chunk(self._jobs[job_id], k, tasks, 0)  # 0: not a stored chunk
        return {job_id for job_id, _ in changed}

    def merge_before_job(self, job_id: str) -> set[str]:
        """Merges the facts that were read before the job. Returns the job if its tasks changed."""
        return self.merge(self._before_job.pop(job_id, []), 0)

    def drop_before(self, revision: int) -> None:
        """Drops facts whose job is still unknown in a replica of this revision.

        A job's record is durable before any fact about its tasks, so there is no such job.
        """
        if self._before_job and revision >= self._before_job_version:
            self._before_job.clear()

    def forget(self, job_id: str) -> None:
        """Drops what is known of a retired job."""
        self._merged.pop(job_id, None)
        self._before_job.pop(job_id, None)

    def _track_merged(self, fact: facts.Fact, known: r.Task, merged: r.Task) -> None:
        if merged == fact.task:
            self._merged.get(fact.job, set()).discard(fact.index)
        elif merged != known:
            self._merged.setdefault(fact.job, set()).add(fact.index)


def _copy_tasks(job: Job, count: int, k: int) -> list[r.Task]:
    """A copy of a chunk's tasks, or tasks in their initial state if it is not stored yet."""
    chunk = job.chunks.get(k)
    if chunk is not None:
        return list(chunk.tasks)
    return [r.Task()] * min(c.CHUNK_TASKS, max(0, count - k * c.CHUNK_TASKS))
