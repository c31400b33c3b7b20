"""All jobs of the replica by id: those with a spec in full, retired ones in compact form."""

from collections.abc import Collection, Iterator, Mapping
from itertools import chain
from typing import TypeVar, overload

from pulleydeal.store.job import Job
from pulleydeal.store.retired_jobs import RetiredJobs

Default = TypeVar("Default")


class Jobs(Mapping[str, Job]):
    """Callers need not know in which form a job is kept.

    The `Job` of a retired job is made at each look-up, so changes of it are lost.
    """

    def __init__(self, retired: RetiredJobs | None = None) -> None:
        self.retired = retired if retired is not None else RetiredJobs()
        self._in_full: dict[str, Job] = {}

    def _find(self, job_id: str) -> Job | None:
        job = self._in_full.get(job_id)
        return job if job is not None else self.retired.job(job_id)

    def __getitem__(self, job_id: str) -> Job:
        job = self._find(job_id)
        if job is None:
            raise KeyError(job_id)
        return job

    @overload
    def get(self, job_id: str, /) -> Job | None: ...

    @overload
    def get(self, job_id: str, /, default: Job | Default) -> Job | Default: ...

    def get(self, job_id: str, /, default: object = None) -> object:
        job = self._find(job_id)
        return job if job is not None else default

    def __contains__(self, job_id: object) -> bool:
        return isinstance(job_id, str) and (job_id in self._in_full or job_id in self.retired)

    def __iter__(self) -> Iterator[str]:
        """All ids, also of all retired jobs: not for requests or periodic work."""
        return chain(self._in_full, self.retired.ids_after("", ("done", "cancelled")))

    def __len__(self) -> int:
        return len(self._in_full) + len(self.retired)

    def in_full(self) -> Collection[Job]:
        """The jobs that are not retired."""
        return self._in_full.values()

    def get_or_add(self, job_id: str) -> Job:
        """The job in full; a new one if there is none. It must not be retired."""
        job = self._in_full.get(job_id)
        if job is None:
            job = self._in_full[job_id] = Job(job_id)
        return job

    def retire(self, job: Job, loading: bool) -> None:
        """Keeps only the outcome of a job with a slim record.

        `loading`: the record comes from a load, that is, in the order of keys and not of time.
        """
        assert job.record is not None and job.record.spec is None
        self._in_full.pop(job.id, None)
        if loading:
            self.retired.load(job.id, job.record)
        else:
            self.retired.add(job.id, job.record)
