"""Marks silent and sick machines for drain; stops tasks on those to be reclaimed or returned."""

import asyncio
import logging
from functools import partial

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.membership.service import Membership
from pulleydeal.settings import WorkerTimings
from pulleydeal.store import records as r
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.reasons import MACHINE_RETURNED
from pulleydeal.store.service import Store
from pulleydeal.workers.changes import apply_stop
from pulleydeal.workers.commander import Commander
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.reachability import (
    one_way_too_long,
    silent_s,
    silent_too_long,
    unreachable_zones,
)
from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.sickness import FailureCause, is_sick
from pulleydeal.workers.tracked_machine import TrackedMachine

log = logging.getLogger("pulleydeal.workers")
IDLE = "idle"  # drain reason of a machine that no work needs


class Eviction:
    """Periodic check of the machines that this node owns.

    Marks silent and sick machines for drain. Stops tasks on spot machines that the cloud is about
    to reclaim, and idle-time tasks on idle machines that will be returned to the cloud.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        times: WorkerTimings,
        clock: Clock,
        machines: dict[str, TrackedMachine],
        commander: Commander,
        partition_policy: PartitionPolicy,
        objective_classes: set[str],
    ) -> None:
        self._objective_classes = objective_classes  # job classes with a time objective
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._times = times
        self._clock = clock
        self._machines = machines
        self._commander = commander
        self._partition_policy = partition_policy
        # zone -> when it was last silent; updated by `silent_too_long`
        self._zone_silent_at: dict[str, float] = {}
        self._stopping: set[AttemptId] = set()  # stops that are being written

    def unreachable_zones(self) -> set[str]:
        """Zones that are currently unreachable, as seen by this node and its peers."""
        machines, counts = list(self._machines.values()), self._partition_policy.peer_observations()
        return unreachable_zones(machines, self._clock.now(), self._times.report_s, counts)

    async def run_round(self) -> None:
        """One round: probes machines, marks some for drain, and stops tasks as described above."""
        await asyncio.sleep(0.5)
        if not self._membership.is_member:
            return
        now = self._clock.now()
        self._commander.orders.drop_stale()  # closes connections long unused
        report_s = self._times.report_s
        machines = list(self._machines.values())
        silent = {
            s.id
            for s in silent_too_long(
                machines,
                now,
                report_s,
                self._times.lease_s,
                self._zone_silent_at,
                self._partition_policy.peer_observations(),
                self._partition_policy.fleet_leader_decides(),
            )
        }
        one_way = set(one_way_too_long(machines, now, report_s, self._times.lease_s))
        for tracked in machines:
            if self._machines.get(tracked.id) is not tracked:
                continue  # no longer owned: lost while another machine's record was written
            is_overdue = silent_s(tracked, now) > c.PROBE_REPORTS * report_s
            if is_overdue or tracked.unanswered_since is not None or tracked.last_answer_invalid:
                self._commander.probe(tracked)
            record = self._replica.machines.get(tracked.id)
            if record is not None and record.record.why == IDLE:
                self._stop_idle_time_work(tracked)
            if record is None or record.record.state != "up":
                continue
            # Not if a report arrived after `silent` was computed, while another record was written.
            if tracked.id in silent and silent_s(tracked, now) > c.PROBE_REPORTS * report_s:
                await self.mark_for_drain(tracked.id, "silent")
            elif tracked.id in one_way and (tracked.unanswered_since or tracked.no_checkin_since):
                # The reason that is stored for these is "silent" too.
                log.info("machine %s is reachable in one direction only", tracked.id)
                await self.mark_for_drain(tracked.id, "silent")
            elif is_sick(tracked, now, self._failure_cause):
                await self.mark_for_drain(tracked.id, "sick")
            elif tracked.notice_at is not None:
                self._stop_before_reclaim(tracked, now)

    def _failure_cause(self, job_id: str, failures_here: int) -> FailureCause:
        """Whether failures of a job on one machine are due to the job or to the machine.

        `failures_here`: how often it failed on that machine. A job with a finished task is sound,
        and one that also failed elsewhere is faulty. A cancelled job is no evidence against the
        machine. For others the cause is open.
        """
        job = self._replica.jobs.get(job_id)
        if job is None or job.is_cancelled:
            return "job"
        if job.done:
            return "machine"
        return "job" if job.fails > failures_here else "open"

    async def mark_for_drain(self, machine: str, why: str) -> None:
        """Writes durably that a machine is to be drained."""
        stored = self._replica.machines[machine]
        record = msgspec.structs.replace(
            stored.record, state="drain", why=why, at=self._clock.wall()
        )
        key = r.machine_key(machine)
        conditions = {key: stored.version, r.VIEW_KEY: self._replica.view_version}
        if await self._store.commit(conditions, {key: record}):
            log.info("machine %s marked for drain: %s", machine, why, extra={"machine": machine})

    def _stop_before_reclaim(self, tracked: TrackedMachine, now: float) -> None:
        """Stops tasks as late as possible before the cloud reclaims the spot machine.

        `notice_at` is the time of reclaim that the cloud announced. Tasks with checkpoints also
        need time to save.
        """
        assert tracked.notice_at is not None
        for (job_id, index), task in self._replica.tasks_by_machine.get(tracked.id, {}).items():
            spec = self._replica.jobs[job_id].spec
            if spec is None or task.stop:
                continue
            if spec.checkpoint_s > 0:
                latest_stop_at = tracked.notice_at - spec.save_s - c.STOP_SLACK_S
            else:
                latest_stop_at = tracked.notice_at - c.STOP_SLACK_S / 2
            if now >= latest_stop_at:
                self.stop(job_id, index, task.attempt, "the cloud takes its spot machine back")

    def _stop_idle_time_work(self, tracked: TrackedMachine) -> None:
        """Stops idle-time tasks: they alone do not keep an idle machine from being returned."""
        for (job_id, index), task in self._replica.tasks_by_machine.get(tracked.id, {}).items():
            spec = self._replica.jobs[job_id].spec
            if (
                spec is not None
                and not task.stop
                and rules.is_idle_time_work(spec, self._objective_classes)
            ):
                self.stop(job_id, index, task.attempt, MACHINE_RETURNED)

    def stop(self, job_id: str, index: int, attempt: int, why: str) -> None:
        """Requests a graceful stop of a task, or of its whole gang; the reason is stored."""
        attempt_id = (job_id, index, attempt)
        if attempt_id in self._stopping:
            return  # each round asks again, also while nothing can be written
        self._stopping.add(attempt_id)
        future = self._store.change_job(
            job_id,
            partial(apply_stop, index=index, attempt=attempt, why=why),
            priority=WritePriority.NORMAL,
        )
        future.add_done_callback(lambda _: self._stopping.discard(attempt_id))
