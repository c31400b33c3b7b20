"""What a leader writes of tasks that went with their machines, and of jobs that are over."""

import asyncio
import logging
from functools import partial

from pulleydeal import constants as c
from pulleydeal.membership.service import Membership
from pulleydeal.store.job import Job
from pulleydeal.store.rate import Turn
from pulleydeal.store.service import Store
from pulleydeal.workers.changes import apply_exit
from pulleydeal.workers.station import Exit

log = logging.getLogger("pulleydeal.placement")


class Cleaning:
    def __init__(self, membership: Membership, store: Store) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._clearing: set[str] = set()
        self._gone: set[str] = set()  # machines given back, perhaps with bindings left

    def look_at(self, machine: str) -> None:
        """It or its bindings changed."""
        self._gone.add(machine)

    def look_at_all(self) -> None:
        """Whoever led before may have left some; and after a load no machine was told of."""
        self._gone.update(self._replica.bound)

    def release_gone(self) -> None:
        """A machine that is durably gone took all its tasks with it."""
        for machine in list(self._gone):
            record = self._replica.machines.get(machine)
            bound = self._replica.bound.get(machine)
            if not bound or record is None or record.record.state != "gone":
                self._gone.discard(machine)  # its next change is told again
                continue
            for (job_id, index), task in bound.items():
                spec = self._replica.jobs[job_id].spec
                key = f"{job_id}/{index}"
                if spec is None or key in self._clearing or not self._membership.leads_job(spec):
                    continue
                self._clearing.add(key)
                why = task.stop or "its machine is gone"
                proof = Exit(job_id, index, task.attempt, machine, "lost", why)
                log.info("task %s attempt %d: machine %s is gone", key, task.attempt, machine)
                future = self._store.change_job(
                    job_id, partial(apply_exit, gone=proof), turn=Turn.WORK
                )
                future.add_done_callback(partial(self._cleared, key))

    def sweep(self, job: Job, turn: Turn) -> None:
        """Writes what follows from what is known already: that a job is done or cancelled, and
        what a large one left behind goes bit by bit, until one slim record stays."""
        if turn is Turn.LATER and len(self._clearing) >= c.SWEEPS_AT_ONCE:
            return
        if job.id not in self._clearing:
            self._clearing.add(job.id)
            future = self._store.change_job(job.id, lambda draft: None, turn)
            future.add_done_callback(partial(self._cleared, job.id))

    def _cleared(self, key: str, _: "asyncio.Future[bool]") -> None:
        self._clearing.discard(key)
