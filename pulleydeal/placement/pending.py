"""Credit requests of waiting tasks, by job, and those whose binding is being written."""

from collections.abc import Iterator
from dataclasses import dataclass

from pulleydeal.store.job import Job

TaskId = tuple[str, int]


@dataclass(slots=True)
class PendingRequest:
    """A waiting task's credit request at one owner."""

    owner: str
    sent_at: float  # when it was last sent
    since: float  # when the task first requested credit, at any owner
    zones: list[str]  # zones that were allowed when it was sent
    owner_since: float = 0.0  # when it was first sent to this owner
    review_at: float = 0.0  # when the choice of its owner is reviewed
    machine: str = ""  # machine on which capacity is held
    hold_until: float = 0.0  # end of the hold
    writing: bool = False  # its binding is being written

    @property
    def is_granted(self) -> bool:
        """Whether it needs no more credit: it holds capacity or its binding is being written."""
        return bool(self.machine) or self.writing


class PendingRequests:
    """All pending requests; access to one job's costs only what that job has."""

    def __init__(self) -> None:
        self._by_job: dict[str, dict[int, PendingRequest]] = {}
        self._writing_keys: set[TaskId] = set()

    def get(self, key: TaskId) -> PendingRequest | None:
        return self._by_job.get(key[0], {}).get(key[1])

    def for_job(self, job: str) -> dict[int, PendingRequest]:
        return self._by_job.get(job, {})

    def stale_indexes(self, job: str, wanted: set[int]) -> list[int]:
        """Indexes of requests that are no longer wanted and hold nothing.

        Tasks that were stopped precede those that sent requests. Without this check nobody renewed
        the old requests and no new ones were made, so a large array that had been preempted never
        started another task.
        """
        return [
            index
            for index, request in self.for_job(job).items()
            if index not in wanted and not request.is_granted
        ]

    def count_granted(self, job: Job) -> int:
        """Number of the job's tasks that hold capacity and are not bound yet."""
        return sum(
            request.is_granted and index not in job.bound_tasks
            for index, request in self.for_job(job.id).items()
        )

    def jobs(self) -> list[str]:
        return list(self._by_job)

    def put(self, key: TaskId, request: PendingRequest) -> None:
        self._by_job.setdefault(key[0], {})[key[1]] = request

    def pop(self, key: TaskId) -> PendingRequest | None:
        job_requests = self._by_job.get(key[0], {})
        request = job_requests.pop(key[1], None)
        if not job_requests:
            self._by_job.pop(key[0], None)
        self._writing_keys.discard(key)
        return request

    def mark_writing(self, key: TaskId) -> str:
        """Marks the request's binding as being written; returns the machine."""
        request = self._by_job[key[0]][key[1]]
        request.writing = True
        self._writing_keys.add(key)
        return request.machine

    def writing_keys(self) -> Iterator[TaskId]:
        return iter(self._writing_keys)

    def keep_only_writing(self) -> None:
        """Drops all requests except those whose binding is being written.

        Requests and holds are valid for one epoch only. Writes in flight are settled by the
        versions of the records that they depend on.
        """
        still_writing = [(key, self._by_job[key[0]][key[1]]) for key in self._writing_keys]
        self._by_job = {}
        for key, request in still_writing:
            self.put(key, request)
