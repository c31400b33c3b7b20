"""Where the tasks of a gang's attempt find one another."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.worker import Running

Attempt = tuple[str, int]  # job, attempt number


class Gangs:
    """All members in one process; `standins/hollow.py` has those of several processes."""

    def __init__(self) -> None:
        self._members: dict[Attempt, dict[str, Running]] = {}
        self._completed: set[str] = set()

    def join(self, attempt: Attempt, task: str, running: "Running", size: int) -> None:
        """A task that has its image; the last one starts all."""
        members = self._members.setdefault(attempt, {})
        members[task] = running
        if len(members) == size:
            for member in members.values():
                member.tension = "running"

    def leave(self, attempt: Attempt, task: str) -> None:
        self._members.get(attempt, {}).pop(task, None)

    def complete(self, job: str) -> None:
        """A task of it is done, and so all are."""
        self._completed.add(job)

    def is_broken(self, attempt: Attempt, size: int) -> bool:
        """Whether a running gang has lost a task."""
        missing = len(self._members.get(attempt, {})) < size
        return missing and attempt[0] not in self._completed
