"""Logs the task states that machines report. Decisions are logged by pulleydeal/decisions.py."""

import logging

from pulleydeal.workers.tracked_machine import TaskId, TaskStatus, TrackedMachine

log = logging.getLogger("pulleydeal.workers")


def log_progress(tracked: TrackedMachine, before: dict[TaskId, TaskStatus]) -> None:
    for task_id, entry in tracked.tasks.items():
        old = before.get(task_id)
        if entry.state != "exited" and (old is None or old.state != entry.state):
            log.info(
                "task %s/%d attempt %d on %s: %s",
                *task_id,
                entry.attempt,
                tracked.id,
                entry.state,
                extra={"job": task_id[0], "task": task_id[1], "machine": tracked.id},
            )
