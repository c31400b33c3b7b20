"""Reads from the stored state which tasks belong on a machine, and which must not run."""

from collections.abc import Collection

from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.tracked_machine import DesiredTask, TaskId


def desired_tasks(
    replica: Replica, machine: str, relayed: Collection[str]
) -> dict[TaskId, DesiredTask]:
    """The bindings of a machine.

    `relayed`: cancelled jobs that another node announced and the local copy may not show yet.
    """
    found = {}
    for task_id, task in replica.tasks_by_machine.get(machine, {}).items():
        job = replica.jobs[task_id[0]]
        if job.spec is None:
            continue
        end_reason = ""
        if job.id in relayed or job.is_cancelled:
            end_reason = "cancelled by its user"
        elif not job.is_open:
            end_reason = "its job is done"
        elif job.spec.kind == "gang" and _is_broken(replica, task_id, task):
            end_reason = "its gang lost a task"
        found[task_id] = DesiredTask(task, job.spec, end_reason)
    return found


def _is_broken(replica: Replica, task_id: TaskId, task: r.Task) -> bool:
    """Whether the gang lost a task: it cannot continue, except from its last checkpoint."""
    job = replica.jobs[task_id[0]]
    assert job.spec is not None
    return any(
        other.attempt == task.attempt and not other.machine and not other.done
        for other in map(job.task, range(job.spec.tasks))
    )
