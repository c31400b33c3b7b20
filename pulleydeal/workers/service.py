"""Answers check-ins, gives orders, and turns proof that a task is gone into durable facts."""

import asyncio
import logging
import threading
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from pulleydeal import constants as c
from pulleydeal.background import Background
from pulleydeal.clock import Clock
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.http import MALFORMED, Request, Response, answer
from pulleydeal.membership import view as views
from pulleydeal.membership import vouching
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.settings import WorkerTimes
from pulleydeal.store.service import Store
from pulleydeal.workers import incarnation, task_log
from pulleydeal.workers import messages as m
from pulleydeal.workers.adopting import Adopting
from pulleydeal.workers.commanding import Commanding
from pulleydeal.workers.ends import Ends
from pulleydeal.workers.keeping import Keeping
from pulleydeal.workers.reachability import silent_s, unsignalled_s
from pulleydeal.workers.station import (
    Entry,
    Plan,
    Sent,
    Start,
    Station,
    TaskId,
    absorb,
    forget_kills,
    is_settled,
    reconcile,
)
from pulleydeal.workers.wanted import wanted

log = logging.getLogger("pulleydeal.workers")


def _nothing(_machine: str) -> None:
    """Before anybody listens."""


def _exited(entries: dict[TaskId, Entry]) -> set[TaskId]:
    return {task_id for task_id, entry in entries.items() if entry.state == "exited"}


class Workers:
    def __init__(
        self,
        membership: Membership,
        store: Store,
        times: WorkerTimes,
        clock: Clock,
        metrics: Metrics,
        stations: dict[str, Station],
        keeping: Keeping,
    ) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._times = times
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._epoch = 0  # the last view by which machines were taken and given up
        self.stations = stations
        self._keeping = keeping
        self._decisions = DecisionLog(membership, store, clock, metrics)
        self.ends = Ends(membership, store, clock, metrics, self._decisions, stations, self._replan)
        self.commanding = Commanding(
            membership,
            store.replica,
            clock,
            metrics,
            self._decisions,
            stations,
            self.ends,
            self._take_answer,
            self._replan,
            lambda machine: self.changed(machine),
        )
        self._adopting = Adopting(store, clock)
        self._background = Background("a worker exchange failed")
        self._dirty: set[str] = set()
        self._wake = asyncio.Event()
        # A blind node must be silent early enough that leases end within cancel_s.
        self._blind_limit_s = max(
            2.0, (times.cancel_s - times.lease_s) * (1 - c.CLOCK_DRIFT) - c.RENEW_MARGIN_S
        )
        # Machines whose last report names a task of the job: found without asking each one.
        self._reported: dict[str, set[str]] = {}
        self._looked_at = -1e9  # when all machines were last looked at
        # Called with a machine whose credit may have changed.
        self.changed: Callable[[str], None] = _nothing
        store.replica.listen(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "job":
            job = self._replica.jobs.get(name)
            # A gang's members hang together, and a job's end concerns all its tasks; of any
            # other change the machines concerned are told one by one ("bound").
            if job is not None and (not job.is_open or (job.spec and job.spec.kind == "gang")):
                for machine in {task.machine for _, task in job.bindings()}:
                    self._touch(machine)
                for machine in self._reported.get(name, ()):
                    self._touch(machine)
        elif kind in ("machine", "bound"):
            self._touch(name)
            record = self._replica.machines.get(name)
            if kind == "machine" and (record is None or record.record.state == "gone"):
                self._drop(name)
        elif kind == "view":
            self._own()
        self._wake.set()

    def _touch(self, machine: str) -> None:
        """What a plan for the machine is made from has changed."""
        self._dirty.add(machine)
        station = self.stations.get(machine)
        if station is not None:
            station.settled = False

    def _own(self) -> None:
        """Takes and gives up machines as the view says."""
        token = views.token(self._membership.epoch, 0)
        now = self._clock.now()
        skipped = self._membership.epoch > self._epoch + 1
        self._epoch = self._membership.epoch
        members = " ".join(sorted(self._membership.view.members))
        is_member = self._membership.is_member
        self._decisions.write(Decision(Action.LEAD, f"members {members}", allowed=is_member))
        with self._lock:
            if skipped:
                # Machines may have been another's in a view that was never looked at here.
                self.stations.clear()
                self._reported.clear()
            for machine, station in list(self.stations.items()):
                if not self._membership.owns(machine, station.zone):
                    self._drop(machine)
            for machine, record in self._replica.machines.items():
                rec = record.record
                if rec.state == "gone" or machine in self.stations:
                    continue
                if self._membership.owns(machine, rec.zone):
                    station = self._station(machine, rec.type, rec.zone, rec.spot, token, now)
                    station.addr = rec.addr
        for machine in self.stations:
            self._touch(machine)

    def _drop(self, machine: str) -> None:
        """Gives a machine up: another's now, or given back, which is asked in vain if it stays."""
        station = self.stations.pop(machine, None)
        if station is not None:
            self._index(machine, station.entries, {})
            self.commanding.orders.drop(station.addr)
            self.changed(machine)

    def _station(
        self, machine: str, type_: str, zone: str, spot: bool, token: int, now: float
    ) -> Station:
        station = Station(machine, type_, zone, spot, now, token, self._bound(machine))
        self.stations[machine] = station
        return station

    def _first_heard(self, report: m.Report, fence: int) -> Station:
        """Of a machine without a record an old report may come, minutes after it was given back:
        only a token that it was not given before proves that it is there (`fence`)."""
        token, now = views.token(self._membership.epoch, fence), self._clock.now()
        kind = (report.type, report.zone, report.spot)
        with self._lock:
            station = self._station(report.machine, *kind, token, now)
        station.fence = fence
        return station

    def _bound(self, machine: str) -> set[Start]:
        """What an earlier owner, or an earlier life of the machine, may have started."""
        bound = self._replica.bound.get(machine, {})
        return {(job, index, task.attempt) for (job, index), task in bound.items()}

    def silent(self, station: Station) -> bool:
        limit = c.SILENT_REPORTS * self._times.report_s
        return unsignalled_s(station, self._clock.now()) > limit

    def oldest_report_s(self) -> float:
        now = self._clock.now()
        return max((silent_s(station, now) for station in self.stations.values()), default=0.0)

    # --- check-ins ------------------------------------------------------------------------
    async def checkin(self, request: Request) -> Response:
        try:
            report = m.REPORT.decode(request.body)
        except MALFORMED as error:
            return answer(400, {"error": str(error)})
        if not self._replica.loaded or not self._membership.is_member:
            return answer(503, {"error": "not ready"}, c.RETRY_AFTER_S)
        owner = self._membership.owner(report.machine, report.zone)
        if owner != self._membership.me:
            if self._keeping.keeps(report):
                return answer(200, m.commands(report.token, []))
            return answer(421, m.redirect(owner))
        if not self._may_renew(report.zone):
            return answer(503, {"error": "blind for too long"}, c.RETRY_AFTER_S)
        record = self._replica.machines.get(report.machine)
        if record is not None and record.record.state == "gone":
            return answer(503, {"error": "machine was given back"}, c.RETRY_AFTER_S)
        station = self.stations.get(report.machine)
        if station is None:
            station = self._first_heard(report, fence=int(record is None))
        if report.token > self.commanding.token(station):
            # Somebody newer commands this machine: our view is old, or will soon be.
            return answer(421, m.redirect(""))
        if incarnation.doubtful(station, report, self._clock.now()):
            self.commanding.probe(station)
            return self._commands(station, [])
        self._take(station, report, checkin=True)
        if record is None or record.record.state == "boot" or (record.record.addr != report.addr):
            self._background.spawn(self._adopting.adopt(report))
        plan = self._plan(station)
        for start in plan.runs:
            station.sent[start] = Sent(station.session, report.seq)
        right = self.commanding.right(station)
        self.commanding.log(station, right, plan.calls, "answer to a check-in")
        return self._commands(station, plan.calls)

    def _commands(self, station: Station, calls: list[dict[str, Any]]) -> Response:
        body = msgspec.json.encode(m.commands(self.commanding.token(station), calls))
        return Response(200, body, written=lambda: self._answered(station))

    def _answered(self, station: Station) -> None:
        station.answered_at = self._clock.now()

    def _may_renew(self, zone: str) -> bool:
        """Nobody may keep a machine's tasks alive who can't hear of a cancellation.

        When its copy was current or the others were asked counts, not when they answered.
        """
        limit_s, now = self._blind_limit_s, self._clock.now()
        return (
            vouching.may_renew(self._store.current_at, limit_s, now)
            or vouching.may_renew(self._membership.vouched_at(), limit_s, now)
            or self._keeping.bears_blindness(zone)
        )

    def _take(self, station: Station, report: m.Report, checkin: bool) -> None:
        now = self._clock.now()
        with self._lock:
            before = station.entries
            stood = (station.trusted, station.notice_at is None, self.silent(station))
            fresh = absorb(station, report, now, checkin)
            if fresh and before is not station.entries:
                self._index(station.id, before, station.entries)
        if not fresh:
            return
        progressed = before is not station.entries and before != station.entries
        if progressed:
            task_log.progress(station, before)
        if not checkin or (progressed and _exited(before) != _exited(station.entries)):
            self._dirty.add(station.id)
            self._wake.set()
        # Most reports say nothing new: a credit renewed for each would cost a core.
        stands = (station.trusted, station.notice_at is None, self.silent(station))
        if progressed or stood != stands:
            self.changed(station.id)

    def _index(
        self, machine: str, before: dict[TaskId, Entry], entries: dict[TaskId, Entry]
    ) -> None:
        old, new = {job for job, _ in before}, {job for job, _ in entries}
        for job in old - new:
            machines = self._reported.get(job, set())
            machines.discard(machine)
            if not machines:
                self._reported.pop(job, None)
        for job in new - old:
            self._reported.setdefault(job, set()).add(machine)

    # --- planning -------------------------------------------------------------------------
    def _is_settled(self, station: Station, now: float) -> bool:
        """A cancellation that only a sibling's beat told changes a plan without touching it."""
        relayed = self._membership.relayed_cancels()
        return not relayed and is_settled(station, now, self._times.lease_s)

    def _plan(self, station: Station) -> Plan:
        now = self._clock.now()
        if self._is_settled(station, now):
            return Plan()
        with self._lock:
            plan = reconcile(
                station,
                wanted(self._replica, station.id, self._membership.relayed_cancels()),
                now,
                self._times.lease_s,
                partial(self._keeping.alone, station),
                self.ends.pending,
            )
            if station.busy:
                # An order is under way, perhaps for seconds: nothing is started beside it, nor
                # cleared. A kill can be repeated; orders that hung had kept kills from a machine
                # whose lease went on being renewed.
                plan.calls = [call for call in plan.calls if call["call"] == "kill"]
                plan.runs = []
        for gone in plan.exits:
            self.ends.record(station, gone)
        return plan

    def _replan(self, machine: str) -> None:
        """An end there was written or given up, or an order was not sent."""
        self._touch(machine)
        self._wake.set()

    # --- direct orders ----------------------------------------------------------------------
    async def work(self) -> None:
        """One round: whatever changed is reconciled, and said at once where that helps."""
        try:
            async with asyncio.timeout(c.LOOK_ROUND_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        now = self._clock.now()
        if now - self._looked_at >= c.LOOK_ROUND_S:
            # Leases run out and kills are repeated though nothing changes.
            self._looked_at = now
            self._dirty.update(self.stations)
        dirty, self._dirty = self._dirty, set()
        for machine in dirty:
            station = self.stations.get(machine)
            if station is not None and not station.busy:
                self._look(station)

    def _look(self, station: Station) -> None:
        if not self._membership.is_member:
            return
        if not station.trusted:
            # After a takeover, also if an old report came: raise the token and get a new one.
            self.commanding.probe(station)
            return
        if not station.addr or silent_s(station, self._clock.now()) > self._times.lease_s:
            self._plan(station)
            return
        plan = self._plan(station)
        if station.is_misunderstood:
            # What it does with an order can't be told: the answers to its check-ins carry the
            # commands, until it answers a probe as it should.
            forget_kills(station, plan.calls)
            return
        urgent = [call for call in plan.calls if call["call"] != "clear"]
        if urgent or any(
            sent.fence is not None and not sent.settled for sent in station.sent.values()
        ):
            for start in plan.runs:
                station.sent[start] = Sent(station.session, 0, direct=True)
            self.commanding.give(station, urgent, plan.runs)

    def _take_answer(
        self, station: Station, report: m.Report, before: incarnation.Known | None
    ) -> None:
        if self.stations.get(station.id) is not station:
            return
        if incarnation.begins_anew(before, report):
            log.info("machine %s is back without its tasks", station.id)
            token = views.token(self._membership.epoch, station.fence + 1)
            new = incarnation.next_life(station, self._bound(station.id), token, self._clock.now())
            with self._lock:
                self.stations[station.id] = new
                self._index(station.id, station.entries, {})
            station = new
        self._take(station, report, checkin=False)
        if not station.trusted:
            self.commanding.probe(station)  # raises its token
