"""Removal of owned machines that are silent, sick, idle or about to be reclaimed."""

import asyncio
import logging
from functools import partial

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.membership.service import Membership
from pulleydeal.settings import WorkerTimes
from pulleydeal.store import records as r
from pulleydeal.store.rate import Turn
from pulleydeal.store.reasons import RETURNED
from pulleydeal.store.service import Store
from pulleydeal.workers.changes import apply_stop
from pulleydeal.workers.commanding import Commander
from pulleydeal.workers.keeping import Keeping
from pulleydeal.workers.reachability import (
    one_way_too_long,
    out_of_sight,
    silent_s,
    silent_too_long,
)
from pulleydeal.workers.station import FailureCause, Station, is_sick

log = logging.getLogger("pulleydeal.workers")
IDLE = "idle"  # drain reason of a machine that no work needs


class Eviction:
    """Marks silent and sick machines for drain, and stops tasks on machines that are to go."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        times: WorkerTimes,
        clock: Clock,
        stations: dict[str, Station],
        commanding: Commander,
        keeping: Keeping,
        objective_classes: set[str],
    ) -> None:
        self._objective_classes = objective_classes  # job classes with a time objective
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._times = times
        self._clock = clock
        self._stations = stations
        self._commanding = commanding
        self._keeping = keeping
        self._silent_zone_at: dict[str, float] = {}  # zone -> when it was last silent

    def unseen_zones(self) -> set[str]:
        """Zones that are currently unreachable, as seen by this node and its peers."""
        stations, others = list(self._stations.values()), self._keeping.others_see()
        return out_of_sight(stations, self._clock.now(), self._times.report_s, others)

    async def tend(self) -> None:
        """One round: probes silent machines, marks those to drain, and stops tasks in time."""
        await asyncio.sleep(0.5)
        if not self._membership.is_member:
            return
        now = self._clock.now()
        self._commanding.orders.drop_stale()
        report_s = self._times.report_s
        stations = list(self._stations.values())
        silent = {
            s.id
            for s in silent_too_long(
                stations,
                now,
                report_s,
                self._times.lease_s,
                self._silent_zone_at,
                self._keeping.others_see(),
                self._keeping.watched_over(),
            )
        }
        one_way = set(one_way_too_long(stations, now, report_s, self._times.lease_s))
        for station in stations:
            if self._stations.get(station.id) is not station:
                continue  # given up while the record of another machine was written
            quiet = silent_s(station, now) > c.PROBE_REPORTS * report_s
            if quiet or station.unanswered_since is not None or station.last_answer_invalid:
                self._commanding.probe(station)
            record = self._replica.machines.get(station.id)
            if record is not None and record.record.why == IDLE:
                self._stop_idle_work(station)
            if record is None or record.record.state != "up":
                continue
            # Checked again: a report may have arrived while another record was written.
            if station.id in silent and silent_s(station, now) > c.PROBE_REPORTS * report_s:
                await self.mark_for_drain(station.id, "silent")
            elif station.id in one_way and (station.unanswered_since or station.no_checkin_since):
                log.info("machine %s is reachable in one direction only", station.id)
                await self.mark_for_drain(station.id, "silent")
            elif is_sick(station, now, self._failure_cause):
                await self.mark_for_drain(station.id, "sick")
            elif station.notice_at is not None:
                self._drain_for_notice(station, now)

    def _failure_cause(self, job_id: str, here: int) -> FailureCause:
        """Whether a job's `here` failures on one machine are due to the job or to the machine.

        A job that succeeded is sound, and one that failed elsewhere too is faulty. A cancelled job
        is no evidence against the machine.
        """
        job = self._replica.jobs.get(job_id)
        if job is None or job.is_cancelled:
            return "job"
        if job.done:
            return "machine"
        return "job" if job.fails > here else "open"

    async def mark_for_drain(self, machine: str, why: str) -> None:
        """Writes durably that a machine is to be drained."""
        old = self._replica.machines[machine]
        record = msgspec.structs.replace(old.record, state="drain", why=why, at=self._clock.wall())
        key = r.machine_key(machine)
        conditions = {key: old.version, r.VIEW: self._replica.view_version}
        if await self._store.commit(conditions, {key: record}):
            log.info("machine %s marked for drain: %s", machine, why, extra={"machine": machine})

    def _drain_for_notice(self, station: Station, now: float) -> None:
        """Stops tasks as late as possible before the cloud reclaims the spot machine."""
        assert station.notice_at is not None
        for (job_id, index), task in self._replica.bound.get(station.id, {}).items():
            spec = self._replica.jobs[job_id].spec
            if spec is None or task.stop:
                continue
            if spec.checkpoint_s > 0:
                last = station.notice_at - spec.save_s - c.STOP_SLACK_S
            else:
                last = station.notice_at - c.STOP_SLACK_S / 2
            if now >= last:
                self.stop(job_id, index, task.attempt, "the cloud takes its spot machine back")

    def _stop_idle_work(self, station: Station) -> None:
        """Stops idle-time tasks, which alone do not keep an idle machine from being returned."""
        for (job_id, index), task in self._replica.bound.get(station.id, {}).items():
            spec = self._replica.jobs[job_id].spec
            if (
                spec is not None
                and not task.stop
                and rules.idle_time(spec, self._objective_classes)
            ):
                self.stop(job_id, index, task.attempt, RETURNED)

    def stop(self, job_id: str, index: int, attempt: int, why: str) -> None:
        """Requests an orderly stop of a task and its gang; the reason is stored."""
        self._store.change_job(
            job_id, partial(apply_stop, index=index, attempt=attempt, why=why), turn=Turn.WORK
        )
