"""Logs the task states that machines report. Decisions are logged by pulleydeal/decisions.py."""

import logging

from pulleydeal.workers.station import Entry, Station, TaskId

log = logging.getLogger("pulleydeal.workers")


def progress(station: Station, before: dict[TaskId, Entry]) -> None:
    for task_id, entry in station.entries.items():
        old = before.get(task_id)
        if entry.state != "exited" and (old is None or old.state != entry.state):
            log.info(
                "task %s/%d attempt %d on %s: %s",
                *task_id,
                entry.attempt,
                station.id,
                entry.state,
                extra={"job": task_id[0], "task": task_id[1], "machine": station.id},
            )
