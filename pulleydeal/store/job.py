"""A job as the replica shows it: its record, its tasks, and what follows from other jobs."""

from collections.abc import MutableSet
from dataclasses import dataclass, field

from pulleydeal import constants as c
from pulleydeal.store import records as r

NOBODY: MutableSet[str] = set()  # shared by all jobs that wait on none; never changed


@dataclass(slots=True)
class Chunk:
    version: int
    tasks: list[r.Task]
    waiting: int = 0  # tasks neither bound nor done


@dataclass(slots=True)
class Job:
    id: str
    version: int = 0
    record: r.JobRecord | None = None
    # The description with the priority that counts, the highest of all that need this job; None
    # once it is over and all its tasks are gone. `record.spec` is what its user submitted.
    spec: r.JobSpec | None = None
    chunks: dict[int, Chunk] = field(default_factory=dict)
    done: int = 0  # tasks done
    on_machines: dict[int, r.Task] = field(default_factory=dict)  # not proved gone
    last_stop: str = ""  # why one of its tasks was last stopped
    # What follows from the jobs that it waits on, and from those that wait on it (pipelines.py):
    waits_on: list[str] | None = None  # None: on none, or over
    linked: bool = False
    chained: bool = False  # waits on another, or another on it
    blockers: MutableSet[str] = field(default_factory=lambda: NOBODY)  # needed and not yet done
    doomed: bool = False  # needs a cancelled one: cancelled, though its own record may not say so
    since: float = 0.0  # wall clock from which its times count: accepted, and nothing to wait for
    priority: int = 0
    due: float = float("inf")  # wall clock by which it should end for all deadlines behind it

    @property
    def status(self) -> str:
        return self.record.state if self.record else ""

    @property
    def is_journaled(self) -> bool:
        return self.record is not None and self.record.is_journaled

    @property
    def is_cancelled(self) -> bool:
        return self.doomed or self.status == "cancelled"

    @property
    def is_open(self) -> bool:
        return self.status == "open" and not self.doomed

    @property
    def has_begun(self) -> bool:
        """Whether a task of it was ever started, as far as its records tell."""
        return bool(self.on_machines or self.done or self.last_stop)

    @property
    def is_over(self) -> bool:
        """Done or cancelled, which never changes any more."""
        return self.is_cancelled or self.status == "done"

    @property
    def untold(self) -> bool:
        """Cancelled durably, and told to nobody yet: a cut-off node may keep its tasks."""
        return self.record is not None and self.record.untold

    @property
    def is_ready(self) -> bool:
        """Open, and all jobs that it needs are durably done."""
        return self.is_open and not self.blockers

    @property
    def estimate_s(self) -> float:
        return self.spec.estimate_s if self.spec else 0.0

    @property
    def bound(self) -> int:
        return len(self.on_machines)

    def task(self, index: int) -> r.Task:
        chunk = self.chunks.get(index // c.CHUNK_TASKS)
        if chunk is None:
            return r.Task()
        return chunk.tasks[index % c.CHUNK_TASKS]

    @property
    def fails(self) -> int:
        """How often its tasks failed, on whatever machines."""
        return sum(task.fails for chunk in self.chunks.values() for task in chunk.tasks)

    def bindings(self) -> list[tuple[int, r.Task]]:
        return list(self.on_machines.items())

    def waiting(self, most: int) -> list[int]:
        """The first tasks that are neither bound nor done; chunks without any are skipped."""
        if self.spec is None:
            return []
        found: list[int] = []
        for k in range(-(-self.spec.tasks // c.CHUNK_TASKS)):
            chunk = self.chunks.get(k)
            if chunk is not None and not chunk.waiting:
                continue
            first = k * c.CHUNK_TASKS
            if chunk is None:
                found += range(first, min(first + c.CHUNK_TASKS, self.spec.tasks))
            else:
                found += [
                    first + offset
                    for offset, task in enumerate(chunk.tasks)
                    if not task.machine and not task.done
                ]
            if len(found) >= most:
                return found[:most]
        return found
