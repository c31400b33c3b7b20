"""Waiting tasks that have asked a part for credit, found by job and by what is being written."""

from collections.abc import Iterator
from dataclasses import dataclass

from pulleydeal.store.job import Job

TaskId = tuple[str, int]


@dataclass(slots=True)
class Pending:
    """A waiting task that has asked a part for credit."""

    part: str
    asked_at: float
    since: float
    zones: list[str]
    came_at: float = 0.0  # when it began to wait at this part
    look_at: float = 0.0  # when its part is thought over again
    machine: str = ""  # held there
    until: float = 0.0
    writing: bool = False

    @property
    def has_room(self) -> bool:
        """Nothing is asked for it any more: it is bound soon, or the room is given up."""
        return bool(self.machine) or self.writing


class PendingAsks:
    """All of them; a look at one job's costs what that job has, not what all jobs have."""

    def __init__(self) -> None:
        self._by_job: dict[str, dict[int, Pending]] = {}
        self._writing: set[TaskId] = set()

    def get(self, key: TaskId) -> Pending | None:
        return self._by_job.get(key[0], {}).get(key[1])

    def of(self, job: str) -> dict[int, Pending]:
        return self._by_job.get(job, {})

    def strays(self, job: str, wanted: set[int]) -> list[int]:
        """Asks of tasks that are not among the first any more, and hold nothing.

        Tasks that were stopped come before those that asked: nobody renewed those asks, and no
        others were made, so a large array that had given way never started another task.
        """
        return [
            index for index, p in self.of(job).items() if index not in wanted and not p.has_room
        ]

    def with_room(self, job: Job) -> int:
        """How many of its tasks that are not bound yet have room."""
        return sum(
            p.has_room and index not in job.on_machines for index, p in self.of(job.id).items()
        )

    def jobs(self) -> list[str]:
        return list(self._by_job)

    def put(self, key: TaskId, pending: Pending) -> None:
        self._by_job.setdefault(key[0], {})[key[1]] = pending

    def pop(self, key: TaskId) -> Pending | None:
        mine = self._by_job.get(key[0], {})
        pending = mine.pop(key[1], None)
        if not mine:
            self._by_job.pop(key[0], None)
        self._writing.discard(key)
        return pending

    def write(self, key: TaskId) -> str:
        """Its binding is on its way to the state service; returns the machine."""
        pending = self._by_job[key[0]][key[1]]
        pending.writing = True
        self._writing.add(key)
        return pending.machine

    def writing(self) -> Iterator[TaskId]:
        return iter(self._writing)

    def keep_writing(self) -> None:
        """Holds and asks belong to an epoch; writes under way are settled by marks."""
        kept = [(key, self._by_job[key[0]][key[1]]) for key in self._writing]
        self._by_job = {}
        for key, pending in kept:
            self.put(key, pending)
