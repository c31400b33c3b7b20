"""Rendezvous of the tasks that belong to one attempt of a gang."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.worker import WorkerTask

Attempt = tuple[str, int]  # job, attempt number


class Gangs:
    """Gangs within one process; `SharedGangs` in `standins/hollow.py` spans processes."""

    def __init__(self) -> None:
        self._members: dict[Attempt, dict[str, WorkerTask]] = {}
        self._completed: set[str] = set()

    def join(self, attempt: Attempt, task: str, running: "WorkerTask", size: int) -> None:
        """Adds a task whose image is fetched; the last one to join starts the whole gang."""
        members = self._members.setdefault(attempt, {})
        members[task] = running
        if len(members) == size:
            for member in members.values():
                member.state = "running"

    def leave(self, attempt: Attempt, task: str) -> None:
        self._members.get(attempt, {}).pop(task, None)

    def complete(self, job: str) -> None:
        """Marks a gang as done: one task of it completed, which completes all."""
        self._completed.add(job)

    def is_broken(self, attempt: Attempt, size: int) -> bool:
        """Whether a running gang has lost a task before it was done."""
        missing = len(self._members.get(attempt, {})) < size
        return missing and attempt[0] not in self._completed
