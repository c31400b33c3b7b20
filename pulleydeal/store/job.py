"""A job in the replica: its record, its tasks, and what is derived from other jobs."""

from collections.abc import MutableSet
from dataclasses import dataclass, field

from pulleydeal import constants as c
from pulleydeal.store import records as r

# The version of a retired job's record, which is not kept: no condition of a commit can use it.
VERSION_NOT_KEPT = -1
NO_BLOCKERS: MutableSet[str] = set()  # shared by all jobs without dependencies; never modified


@dataclass(slots=True)
class Chunk:
    """The state of up to CHUNK_TASKS consecutive tasks of a job."""

    version: int
    tasks: list[r.Task]
    waiting: int = 0  # tasks neither bound nor done


@dataclass(slots=True)
class Job:
    id: str
    version: int = 0
    record: r.JobRecord | None = None
    # The submitted spec (`record.spec`) with the effective priority, that is the highest of this
    # job and its dependents. None once the job is over and all its tasks are gone.
    spec: r.JobSpec | None = None
    chunks: dict[int, Chunk] = field(default_factory=dict)
    done: int = 0  # number of tasks done
    bound_tasks: dict[int, r.Task] = field(default_factory=dict)  # bound, not proved gone
    last_stop_reason: str = ""  # why one of its tasks was last stopped or ended
    # Derived from the jobs that it waits on and those that wait on it (pipelines.py):
    waits_on: list[str] | None = None  # None: no dependencies, or over
    linked: bool = False  # registered with its dependencies
    in_pipeline: bool = False  # has had dependencies or dependents
    blockers: MutableSet[str] = field(default_factory=lambda: NO_BLOCKERS)  # dependencies not done
    # A dependency was cancelled, so this job counts as cancelled; its own record may not say so.
    dependency_cancelled: bool = False
    waiting_since: float = 0.0  # wall clock: accepted and last dependency done
    priority: int = 0
    due: float = float("inf")  # wall clock: latest end for its own and its dependents' deadlines
    # Whether `record` is the stored one. That of a retired job may have only its state right.
    is_record_kept: bool = True

    @property
    def status(self) -> str:
        return self.record.state if self.record else ""

    @property
    def is_journaled(self) -> bool:
        return self.record is not None and self.record.is_journaled

    @property
    def is_cancelled(self) -> bool:
        return self.dependency_cancelled or self.status == "cancelled"

    @property
    def is_open(self) -> bool:
        return self.status == "open" and not self.dependency_cancelled

    @property
    def has_begun(self) -> bool:
        """Whether any of its tasks was ever started, as far as its records show."""
        return bool(self.bound_tasks or self.done or self.last_stop_reason)

    @property
    def is_over(self) -> bool:
        """Done or cancelled, which is final."""
        return self.is_cancelled or self.status == "done"

    @property
    def untold(self) -> bool:
        """Cancelled durably but not yet reported: a partitioned node may still run its tasks."""
        return self.record is not None and self.record.untold

    @property
    def is_ready(self) -> bool:
        """Open, and all its dependencies are durably done."""
        return self.is_open and not self.blockers

    @property
    def estimate_s(self) -> float:
        return self.spec.estimate_s if self.spec else 0.0

    @property
    def bound(self) -> int:
        return len(self.bound_tasks)

    def task(self, index: int) -> r.Task:
        chunk = self.chunks.get(index // c.CHUNK_TASKS)
        if chunk is None:
            return r.Task()
        return chunk.tasks[index % c.CHUNK_TASKS]

    @property
    def fails(self) -> int:
        """Failures of all its tasks, on any machine."""
        return sum(task.fails for chunk in self.chunks.values() for task in chunk.tasks)

    def bindings(self) -> list[tuple[int, r.Task]]:
        return list(self.bound_tasks.items())

    def waiting(self, most: int) -> list[int]:
        """Indexes of the first `most` tasks neither bound nor done; skips chunks without any."""
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
