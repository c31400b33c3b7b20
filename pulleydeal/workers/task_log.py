"""Logs states of reported attempts. Decisions are logged by pulleydeal/decisions.py."""

import logging

from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.tracked_machine import TaskStatus, TrackedMachine

log = logging.getLogger("pulleydeal.workers")


def log_progress(tracked: TrackedMachine, before: dict[AttemptId, TaskStatus]) -> None:
    for (job, index, attempt), entry in tracked.attempts.items():
        old = before.get((job, index, attempt))
        if entry.state != "exited" and (old is None or old.state != entry.state):
            log.info(
                "task %s/%d attempt %d on %s: %s",
                job,
                index,
                attempt,
                tracked.id,
                entry.state,
                extra={"job": job, "task": index, "machine": tracked.id},
            )
