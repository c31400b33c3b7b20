"""Unbinds tasks of machines that are gone and finalizes the records of jobs that are over."""

import asyncio
import logging
from functools import partial

from pulleydeal import constants as c
from pulleydeal.membership.service import Membership
from pulleydeal.store.job import Job
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.service import Store
from pulleydeal.workers.changes import apply_exit
from pulleydeal.workers.tracked_machine import Exit

log = logging.getLogger("pulleydeal.placement")


class JobCleanup:
    """Unbinds lost tasks and finalizes jobs, with at most one write per task or job in progress."""

    def __init__(self, membership: Membership, store: Store) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._in_progress: set[str] = set()
        self._dirty_machines: set[str] = set()  # machines to check for bindings that outlived them

    def mark_machine(self, machine: str) -> None:
        """Marks a machine that changed, or whose bindings changed."""
        self._dirty_machines.add(machine)

    def mark_all_bound(self) -> None:
        """Marks all machines with bindings.

        The previous leader may have left some unfinished, and a load of the replica reports no
        changes of single machines.
        """
        self._dirty_machines.update(self._replica.tasks_by_machine)

    def unbind_lost_tasks(self) -> None:
        """Unbinds the tasks of machines that are durably recorded as gone."""
        for machine in list(self._dirty_machines):
            record = self._replica.machines.get(machine)
            bound = self._replica.tasks_by_machine.get(machine)
            if not bound or record is None or record.record.state != "gone":
                self._dirty_machines.discard(machine)  # marked again at its next change
                continue
            for (job_id, index), task in bound.items():
                spec = self._replica.jobs[job_id].spec
                key = f"{job_id}/{index}"
                if spec is None or key in self._in_progress or not self._membership.leads_job(spec):
                    continue
                self._in_progress.add(key)
                reason = task.stop or "its machine is gone"
                proof = Exit(job_id, index, task.attempt, machine, "lost", reason)
                log.info("task %s attempt %d lost: machine %s is gone", key, task.attempt, machine)
                future = self._store.change_job(
                    job_id, partial(apply_exit, task_exit=proof), priority=WritePriority.NORMAL
                )
                future.add_done_callback(partial(self._finished, key))

    def finalize(self, job: Job, priority: WritePriority) -> None:
        """Writes what follows for a job that is done or cancelled.

        The change is empty: `Draft.finish` derives what has to be written.
        A large job's chunks are removed step by step, until only one slim record remains.
        """
        if priority is WritePriority.BACKGROUND and len(self._in_progress) >= c.SWEEPS_AT_ONCE:
            return
        if job.id not in self._in_progress:
            self._in_progress.add(job.id)
            future = self._store.change_job(job.id, lambda draft: None, priority)
            future.add_done_callback(partial(self._finished, job.id))

    def _finished(self, key: str, _: "asyncio.Future[bool]") -> None:
        self._in_progress.discard(key)
