"""The tasks of all jobs by machine, and what they use, kept as chunks of tasks change."""

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.job import Chunk, Job

TaskId = tuple[str, int]


class TaskIndex:
    """Sets the chunks of jobs; reindexes only tasks that changed."""

    def __init__(self) -> None:
        self.by_machine: dict[str, dict[TaskId, r.Task]] = {}
        self.usage: dict[str, tuple[float, float]] = {}  # team -> cpus, gpus of its bound tasks
        self._rebound_machines: set[str] = set()

    def take_rebound_machines(self) -> set[str]:
        """The machines with changed bindings since the last call."""
        rebound, self._rebound_machines = self._rebound_machines, set()
        return rebound

    def set_chunk(self, job: Job, chunk_index: int, tasks: list[r.Task], version: int) -> None:
        """Most writes of a chunk change one or two of its tasks."""
        old = job.chunks.get(chunk_index)
        before = old.tasks if old is not None else [r.Task()] * len(tasks)
        waiting = 0
        for offset, task in enumerate(tasks):
            waiting += not task.machine and not task.done
            previous = before[offset]
            if previous == task:
                continue
            task_index = chunk_index * c.CHUNK_TASKS + offset
            self._unindex(job, task_index, previous)
            job.done += task.done
            if not task.done:
                job.last_stop_reason = task.stop or task.why or job.last_stop_reason
            if task.machine:
                job.bound_tasks[task_index] = task
                self.by_machine.setdefault(task.machine, {})[(job.id, task_index)] = task
                self._rebound_machines.add(task.machine)
                self.add_usage(job, 1)
        job.chunks[chunk_index] = Chunk(version, tasks, waiting)

    def drop_chunk(self, job: Job, chunk_index: int) -> None:
        chunk = job.chunks.pop(chunk_index, None)
        if chunk is not None:
            for offset, task in enumerate(chunk.tasks):
                self._unindex(job, chunk_index * c.CHUNK_TASKS + offset, task)

    def _unindex(self, job: Job, task_index: int, task: r.Task) -> None:
        job.done -= task.done
        if task.machine:
            self._rebound_machines.add(task.machine)
            del job.bound_tasks[task_index]
            self.add_usage(job, -1)
            on_machine = self.by_machine[task.machine]
            del on_machine[(job.id, task_index)]
            if not on_machine:
                del self.by_machine[task.machine]

    def add_usage(self, job: Job, tasks: int) -> None:
        """Counts so many more of the job's tasks as bound."""
        spec = job.spec
        if spec is not None and tasks:
            cpus, gpus = self.usage.get(spec.team, (0.0, 0.0))
            self.usage[spec.team] = (cpus + tasks * spec.cpus, gpus + tasks * spec.gpus)
