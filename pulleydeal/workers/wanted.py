"""What should be on a machine, by the records: its bindings, and whether each is over."""

from collections.abc import Collection

from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.station import TaskId, Wanted


def wanted(replica: Replica, machine: str, relayed: Collection[str]) -> dict[TaskId, Wanted]:
    """`relayed`: jobs whose cancellation a sibling told, and the copy does not show yet."""
    found = {}
    for task_id, task in replica.bound.get(machine, {}).items():
        job = replica.jobs[task_id[0]]
        if job.spec is None:
            continue
        over = ""
        if job.id in relayed or job.is_cancelled:
            over = "cancelled by its user"
        elif not job.is_open:
            over = "its job is done"
        elif job.spec.kind == "gang" and _is_broken(replica, task_id, task):
            over = "its gang lost a task"
        found[task_id] = Wanted(task, job.spec, over)
    return found


def _is_broken(replica: Replica, task_id: TaskId, task: r.Task) -> bool:
    """A gang that lost a task can't go on: its last checkpoint is all that is left."""
    job = replica.jobs[task_id[0]]
    assert job.spec is not None
    return any(
        other.attempt == task.attempt and not other.machine and not other.done
        for other in map(job.task, range(job.spec.tasks))
    )
