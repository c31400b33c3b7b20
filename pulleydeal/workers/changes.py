"""Applies the exit or the stop of a task to its job's record."""

from pulleydeal import constants as c
from pulleydeal.store.draft import Draft
from pulleydeal.workers.tracked_machine import Exit


def apply_exit(draft: Draft, task_exit: Exit) -> None:
    """Unbinds a task that is proved to have ended, and marks it done if it succeeded."""
    old = draft.task(task_exit.index)
    if old.machine != task_exit.machine or old.attempt != task_exit.attempt:
        return
    task = draft.edit(task_exit.index)
    if task is None:
        return
    task.machine = ""
    task.stop = ""
    task.why = task_exit.detail
    if task_exit.outcome == "done":
        task.why = ""
        if draft.spec.kind != "service":
            task.done = True
        if draft.spec.kind == "gang":
            # PROTOCOL: the tasks of a gang complete together, so one done means all done.
            for index in range(draft.spec.tasks):
                peer = draft.edit(index)
                if peer is not None and peer.attempt == task_exit.attempt:
                    peer.done = True
    if task_exit.outcome == "error":
        task.fails = min(task.fails + 1, c.MAX_FAILS)


def apply_stop(draft: Draft, index: int, attempt: int, why: str) -> None:
    """Requests an orderly stop of a bound task, or of its whole gang."""
    gang = draft.spec.kind == "gang"
    for i in range(draft.spec.tasks) if gang else [index]:
        old = draft.task(i)
        if old.machine and old.attempt == attempt and not old.stop and not old.done:
            task = draft.edit(i)
            if task is not None:
                task.stop = why
