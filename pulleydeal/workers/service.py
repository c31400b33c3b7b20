"""Answers worker check-ins, sends orders, and records task exits durably once they are proved."""

import asyncio
import logging
import threading
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from pulleydeal import constants as c
from pulleydeal.background import BackgroundTasks
from pulleydeal.clock import Clock
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.http import DECODE_ERRORS, Request, Response, json_response
from pulleydeal.membership import view as views
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.settings import WorkerTimings
from pulleydeal.store.service import Store
from pulleydeal.workers import incarnation, task_log
from pulleydeal.workers import messages as m
from pulleydeal.workers.commander import Commander
from pulleydeal.workers.commands import TokenRaise
from pulleydeal.workers.desired import desired_tasks
from pulleydeal.workers.exits import ExitRecorder
from pulleydeal.workers.lease_renewal import LeaseRenewal
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.reachability import silent_s, without_checkin_s
from pulleydeal.workers.registration import MachineRegistrar
from pulleydeal.workers.reported_jobs import ReportedJobs
from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.tracked_machine import (
    Plan,
    SentStart,
    TaskStatus,
    TrackedMachine,
    apply_report,
    forget_kills,
    is_reconciled,
    reconcile,
)

log = logging.getLogger("pulleydeal.workers")


def _ignore(_machine: str) -> None:
    """Default for `Workers.changed`, until a listener is set."""


def _exited(attempts: dict[AttemptId, TaskStatus]) -> set[AttemptId]:
    return {attempt_id for attempt_id, entry in attempts.items() if entry.state == "exited"}


class Workers:
    """Owner-side handling of the worker machines that this node owns."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        times: WorkerTimings,
        clock: Clock,
        metrics: Metrics,
        machines: dict[str, TrackedMachine],
        partition_policy: PartitionPolicy,
    ) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._times = times
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._epoch = 0  # epoch of the view that ownership was last updated to
        self.machines = machines
        self._partition_policy = partition_policy
        self._decisions = DecisionLog(membership, store, clock, metrics)
        self.exits = ExitRecorder(
            membership, store, clock, metrics, self._decisions, machines, self._replan
        )
        self.commander = Commander(
            membership,
            store.replica,
            clock,
            metrics,
            self._decisions,
            machines,
            self.exits,
            self._on_order_report,
            self._replan,
            lambda machine: self.on_credit_change(machine),
        )
        self._registrar = MachineRegistrar(store, clock)
        self._background = BackgroundTasks("registering a machine failed")
        self._dirty: set[str] = set()
        self._wake = asyncio.Event()
        self._lease_renewal = LeaseRenewal(membership, store, times, clock, partition_policy)
        self._reported_jobs = ReportedJobs()
        self._full_round_at = -1e9  # steady time of the last round over all owned machines
        # Called with the id of a machine whose credit may have changed.
        self.on_credit_change: Callable[[str], None] = _ignore
        store.replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "job":
            job = self._replica.jobs.get(name)
            # A change of a gang, or the end of any job, affects all its tasks. For other changes
            # a "bound" event names each affected machine.
            if job is not None and (not job.is_open or (job.spec and job.spec.kind == "gang")):
                for machine in {task.machine for _, task in job.bindings()}:
                    self._mark_changed(machine)
                for machine in self._reported_jobs.machines(name):
                    self._mark_changed(machine)
        elif kind in ("machine", "bound"):
            self._mark_changed(name)
            record = self._replica.machines.get(name)
            if kind == "machine" and (record is None or record.record.state == "gone"):
                self._stop_tracking(name)
        elif kind == "view":
            self._update_ownership()
        self._wake.set()

    def _mark_changed(self, machine: str) -> None:
        """Marks a machine for planning, because an input of its plan has changed."""
        self._dirty.add(machine)
        tracked = self.machines.get(machine)
        if tracked is not None:
            tracked.reconciled = False

    def _update_ownership(self) -> None:
        """Starts and stops tracking machines according to the current view."""
        token = views.token(self._membership.epoch, 0)
        now = self._clock.now()
        skipped_views = self._membership.epoch > self._epoch + 1
        self._epoch = self._membership.epoch
        members = " ".join(sorted(self._membership.view.members))
        is_member = self._membership.is_member
        self._decisions.write(Decision(Action.LEAD, f"members {members}", allowed=is_member))
        with self._lock:
            if skipped_views:
                # Another node may have owned them in a view that this node never processed.
                self.machines.clear()
                self._reported_jobs.clear()
            for machine, tracked in list(self.machines.items()):
                if self._membership.owns(machine, tracked.zone):
                    tracked.fence = 0  # the new epoch's tokens are above all earlier ones
                else:
                    self._stop_tracking(machine)
            for machine, record in self._replica.machines.items():
                rec = record.record
                if rec.state == "gone" or machine in self.machines:
                    continue
                if self._membership.owns(machine, rec.zone):
                    tracked = self._track(machine, rec.type, rec.zone, rec.spot, token, now)
                    tracked.addr = rec.addr
        for machine in self.machines:
            self._mark_changed(machine)

    def _stop_tracking(self, machine: str) -> None:
        """Stops tracking a machine that has another owner or was returned to the cloud.

        A returned machine would otherwise be probed in vain.
        """
        tracked = self.machines.pop(machine, None)
        if tracked is not None:
            self._reported_jobs.update(machine, tracked.attempts, ())
            self.commander.orders.drop(tracked.addr)
            self.on_credit_change(machine)

    def _track(
        self, machine: str, type_: str, zone: str, spot: bool, token: int, now: float
    ) -> TrackedMachine:
        tracked = TrackedMachine(machine, type_, zone, spot, now, token, self._bound_on(machine))
        self.machines[machine] = tracked
        return tracked

    def _track_first_report(self, report: m.Report, fence: int) -> TrackedMachine:
        """Starts tracking a machine at its first report to this node.

        `fence`: 1 if the machine has no record. Its report may have been delayed since before the
        machine was returned, so only a token that it never had before proves that it still exists.
        """
        token, now = views.token(self._membership.epoch, fence), self._clock.now()
        kind = (report.type, report.zone, report.spot)
        with self._lock:
            tracked = self._track(report.machine, *kind, token, now)
        tracked.fence = fence
        return tracked

    def _bound_on(self, machine: str) -> set[AttemptId]:
        """Attempts that an earlier owner, or this node before a restart, may have started there."""
        bound = self._replica.tasks_by_machine.get(machine, {})
        return {(job, index, task.attempt) for (job, index), task in bound.items()}

    def silent(self, tracked: TrackedMachine) -> bool:
        """Whether check-ins have been missing for `SILENT_REPORTS` report periods."""
        limit = c.SILENT_REPORTS * self._times.report_s
        return without_checkin_s(tracked, self._clock.now()) > limit

    def oldest_report_s(self) -> float:
        now = self._clock.now()
        return max((silent_s(tracked, now) for tracked in self.machines.values()), default=0.0)

    # --- check-ins ------------------------------------------------------------------------
    async def checkin(self, request: Request) -> Response:
        try:
            report = m.REPORT.decode(request.body)
        except DECODE_ERRORS as error:
            return json_response(400, {"error": str(error)})
        if not self._replica.loaded or not self._membership.is_member:
            return json_response(503, {"error": "not ready"}, c.RETRY_AFTER_S)
        owner = self._membership.owner(report.machine, report.zone)
        if owner != self._membership.me:
            if self._partition_policy.renews_for_owner(report):
                return json_response(200, m.commands(report.token, []))
            return json_response(421, m.redirect(owner))
        if not self._lease_renewal.is_allowed(report.zone):
            return json_response(503, {"error": "blind for too long"}, c.RETRY_AFTER_S)
        record = self._replica.machines.get(report.machine)
        if record is not None and record.record.state == "gone":
            return json_response(503, {"error": "machine was given back"}, c.RETRY_AFTER_S)
        tracked = self.machines.get(report.machine)
        if tracked is None:
            tracked = self._track_first_report(report, fence=int(record is None))
        if report.token > self.commander.token(tracked):
            # An owner with a newer view commands the machine; this node's view is outdated.
            return json_response(421, m.redirect(""))
        if incarnation.is_ambiguous(tracked, report, self._clock.now()):
            if not tracked.order_in_flight:
                # Restarted or not, from this answer on it accepts no earlier start.
                self.commander.refuse_earlier_starts(tracked)
            self.commander.probe(tracked)
            return self._command_response(tracked, [])
        if incarnation.has_lost_attempts(tracked, report):
            tracked = self._track_restarted(tracked)
        self._apply_report(tracked, report, checkin=True)
        if record is None or record.record.state == "boot" or (record.record.addr != report.addr):
            self._background.spawn(self._registrar.register(report))
        plan = self._plan(tracked)
        for start in plan.runs:
            tracked.sent[start] = SentStart(tracked.session, report.seq)
        if plan.clears:
            self.commander.refuse_earlier_starts(tracked)
            tracked.cleared.update(plan.clears)
        authority = self.commander.authority(tracked)
        self.commander.log(tracked, authority, plan.calls, "answer to a check-in")
        return self._command_response(tracked, plan.calls)

    def _command_response(self, tracked: TrackedMachine, calls: list[dict[str, Any]]) -> Response:
        body = msgspec.json.encode(m.commands(self.commander.token(tracked), calls))
        return Response(200, body, on_send=lambda: self._on_answered(tracked))

    def _on_answered(self, tracked: TrackedMachine) -> None:
        tracked.checkin_answered_at = self._clock.now()

    def _apply_report(self, tracked: TrackedMachine, report: m.Report, checkin: bool) -> None:
        now = self._clock.now()
        with self._lock:
            before = tracked.attempts
            status_before = (tracked.trusted, tracked.notice_at is None, self.silent(tracked))
            fresh = apply_report(tracked, report, now, checkin)
            if fresh and before is not tracked.attempts:
                self._reported_jobs.update(tracked.id, before, tracked.attempts)
        if not fresh:
            return
        progressed = before is not tracked.attempts and before != tracked.attempts
        if progressed:
            task_log.log_progress(tracked, before)
        if not checkin or (progressed and _exited(before) != _exited(tracked.attempts)):
            self._dirty.add(tracked.id)
            self._wake.set()
        # Most reports contain no change; recomputing the credit for each would use a whole core.
        status = (tracked.trusted, tracked.notice_at is None, self.silent(tracked))
        if progressed or status_before != status:
            self.on_credit_change(tracked.id)

    # --- planning -------------------------------------------------------------------------
    def _is_reconciled(self, tracked: TrackedMachine, now: float) -> bool:
        """Whether planning can be skipped, as the plan would be empty.

        Cancellations known only from another node's heartbeat mark no machine as changed, so
        nothing is skipped while there are any.
        """
        relayed = self._membership.relayed_cancellations()
        return not relayed and is_reconciled(tracked, now, self._times.lease_s)

    def _plan(self, tracked: TrackedMachine) -> Plan:
        now = self._clock.now()
        if self._is_reconciled(tracked, now):
            return Plan()
        with self._lock:
            plan = reconcile(
                tracked,
                desired_tasks(self._replica, tracked.id, self._membership.relayed_cancellations()),
                now,
                self._times.lease_s,
                partial(self._partition_policy.no_peer_renewed, tracked),
                self.exits.pending,
            )
            if tracked.order_in_flight:
                # Nothing is started or cleared while an order is in flight, which may take
                # seconds. Kills can be repeated safely and are kept: orders that hung used to hold
                # them back from machines whose leases went on being renewed.
                plan.calls = [call for call in plan.calls if call["call"] == "kill"]
                plan.runs, plan.clears = [], []
        for task_exit in plan.exits:
            self.exits.record(tracked, task_exit)
        return plan

    def _replan(self, machine: str) -> None:
        """Plans the machine again: an exit was written or dropped, or an order was not sent."""
        self._mark_changed(machine)
        self._wake.set()

    # --- direct orders ----------------------------------------------------------------------
    async def work(self) -> None:
        """One round: reconciles the machines that changed and sends urgent commands directly."""
        try:
            async with asyncio.timeout(c.MACHINE_SWEEP_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        now = self._clock.now()
        if now - self._full_round_at >= c.MACHINE_SWEEP_S:
            # Leases expire and kills are repeated without any change that marks the machine.
            self._full_round_at = now
            self._dirty.update(self.machines)
        dirty, self._dirty = self._dirty, set()
        for machine in dirty:
            tracked = self.machines.get(machine)
            if tracked is not None and not tracked.order_in_flight:
                self._reconcile_machine(tracked)

    def _reconcile_machine(self, tracked: TrackedMachine) -> None:
        if not self._membership.is_member:
            return
        if not tracked.trusted:
            # After a takeover, even if an old report arrived: the probe gives the machine the new
            # token and returns a new report.
            self._probe_untrusted(tracked)
            return
        if not tracked.addr or silent_s(tracked, self._clock.now()) > self._times.lease_s:
            self._plan(tracked)
            return
        plan = self._plan(tracked)
        if tracked.last_answer_invalid:
            # The effect of orders on this machine is unknown. Answers to its check-ins carry the
            # commands until it answers a probe correctly.
            forget_kills(tracked, plan.calls)
            return
        if not tracked.can_raise_fence:
            plan = plan.without_starts()  # answers to check-ins start tasks
        urgent = [call for call in plan.calls if call["call"] != "clear"]
        if urgent or any(
            sent.fence_token is not None and not sent.settled for sent in tracked.sent.values()
        ):
            for start in plan.runs:
                tracked.sent[start] = SentStart(tracked.session, 0, direct=True)
            self.commander.send(tracked, urgent, plan.runs)

    def _on_order_report(
        self, tracked: TrackedMachine, report: m.Report, before: incarnation.KnownState | None
    ) -> None:
        if self.machines.get(tracked.id) is not tracked:
            return
        has_restarted = incarnation.has_restarted(before, report)
        if has_restarted or incarnation.has_lost_attempts(tracked, report):
            tracked = self._track_restarted(tracked)
        self._apply_report(tracked, report, checkin=False)
        if not tracked.trusted:
            self._probe_untrusted(tracked)  # gives it the new token

    def _track_restarted(self, tracked: TrackedMachine) -> TrackedMachine:
        log.info("machine %s restarted without its tasks", tracked.id)
        self._metrics.tokens_raised.labels(TokenRaise.RESTART.value).inc()
        token = views.token(self._membership.epoch, tracked.fence + 1)
        new = incarnation.state_after_restart(
            tracked, self._bound_on(tracked.id), token, self._clock.now()
        )
        with self._lock:
            self.machines[tracked.id] = new
            self._reported_jobs.update(tracked.id, tracked.attempts, ())
        return new

    def _probe_untrusted(self, tracked: TrackedMachine) -> None:
        """Probes a machine at once, unless its last answer was invalid.

        The answer to a probe leads here again. A machine that answers wrongly was asked hundreds of
        times a second; `Eviction.run_round` probes it twice a second.
        """
        if not tracked.last_answer_invalid:
            self.commander.probe(tracked)
