"""Grants credits of this node's machines to waiting requests, preempting tasks if necessary."""

import asyncio
import logging
import threading
from dataclasses import dataclass, replace

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.builder import CreditBuilder
from pulleydeal.credits.images import ImageLocations
from pulleydeal.credits.messages import (
    CreditRequest,
    Hold,
    Resources,
    pack_hold,
    unpack_credit_request,
    unpack_release,
)
from pulleydeal.credits.queue import (
    Credit,
    CreditQueue,
    TaskId,
    Victim,
    WaitingRequest,
    choose_victims,
    find_credit,
    request_order,
    signature,
)
from pulleydeal.credits.sweep import Sweep
from pulleydeal.credits.totals import totals
from pulleydeal.membership.messages import ASK, FREE, HOLD, CreditTotal
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.reasons import preemption_reason
from pulleydeal.store.replica import Replica
from pulleydeal.workers.eviction import Eviction
from pulleydeal.workers.service import Workers
from pulleydeal.workers.tracked_machine import TrackedMachine

log = logging.getLogger("pulleydeal.credits")


@dataclass(slots=True)
class ActiveHold:
    machine: str
    need: Resources
    until: float


class Credits:
    """Owner side: credits of this node's machines, waiting requests, holds and reservations."""

    def __init__(
        self,
        membership: Membership,
        siblings: Siblings,
        replica: Replica,
        workers: Workers,
        eviction: Eviction,
        teams: dict[str, Team],
        objectives: list[Objective],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._siblings = siblings
        self._replica = replica
        self._workers = workers
        self._eviction = eviction
        self._teams = teams
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._queue = CreditQueue()
        self._dirty: set[str] = set()  # machines whose credit may have changed
        self._waiting: dict[TaskId, WaitingRequest] = {}
        self._holds: dict[TaskId, ActiveHold] = {}
        self._holds_by_machine: dict[str, set[TaskId]] = {}
        self._reservations: dict[str, tuple[TaskId, float]] = {}
        self._reserved_machine: dict[TaskId, str] = {}
        self._images = ImageLocations(membership, siblings, replica, clock, self._mark_dirty)
        self._builder = CreditBuilder(replica, self._images, objectives, clock, workers.silent)
        self._published: list[CreditTotal] = []
        self._published_at = -1e9
        self._unpublished = False
        self._silence_sweep = Sweep(self._all_machines)
        self._credit_sweep = Sweep(self._all_machines)
        self._wake = asyncio.Event()
        siblings.on(ASK, self._on_credit_request)
        siblings.on(FREE, self._on_release)
        workers.on_credit_change = self._mark_dirty
        membership.totals = lambda: self._published
        replica.add_listener(self._on_change)

    def _mark_dirty(self, machine: str) -> None:
        self._dirty.add(machine)
        self._wake.set()

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "bound":
            self._images.record_bindings(name)
            self._mark_dirty(name)
        elif kind == "machine":
            if name not in self._replica.machines:
                self._images.forget(name)
            self._mark_dirty(name)
        elif kind in ("view", "catalog"):
            self._mark_all_dirty()
            self._images.schedule_syncs()

    def _mark_all_dirty(self) -> None:
        self._dirty.update(self._all_machines())
        self._wake.set()

    def _all_machines(self) -> list[str]:
        return [*self._workers.machines, *self._queue.credits]

    # --- messages -----------------------------------------------------------------------
    def _on_credit_request(self, leader: str, payload: bytes) -> None:
        request = unpack_credit_request(payload)
        if request.epoch != self._membership.epoch:
            return
        now = self._clock.now()
        key = (request.job, request.index)
        with self._lock:
            if key in self._holds:
                held = self._holds[key]
                self._send_hold(leader, key, held, now)
                return
            old = self._waiting.get(key)
            since, rescan_at = now, now
            if old is not None:
                since = old.since
                rescan_at = old.rescan_at if signature(old.request) == signature(request) else now
            self._waiting[key] = WaitingRequest(
                request, leader, since, now + c.ASK_TTL_S, rescan_at
            )
        if rescan_at == now:
            self._wake.set()

    def _on_release(self, _leader: str, payload: bytes) -> None:
        release = unpack_release(payload)
        if release.epoch == self._membership.epoch:
            with self._lock:
                self._waiting.pop((release.job, release.index), None)
                self._release_hold((release.job, release.index))

    def _release_hold(self, key: TaskId) -> None:
        held = self._holds.pop(key, None)
        if held is not None:
            self._holds_by_machine[held.machine].discard(key)
            if not self._holds_by_machine[held.machine]:
                del self._holds_by_machine[held.machine]
            self._mark_dirty(held.machine)

    def _cancel_reservation(self, machine: str) -> None:
        key, _ = self._reservations.pop(machine)
        self._reserved_machine.pop(key, None)
        self._mark_dirty(machine)

    def _send_hold(self, leader: str, key: TaskId, held: ActiveHold, now: float) -> None:
        hold = Hold(self._membership.epoch, *key, held.machine, held.until - now)
        # The reply to a request of this node must not be handled while the lock is held.
        asyncio.get_running_loop().call_soon(self._siblings.send, leader, HOLD, pack_hold(hold))

    # --- credits --------------------------------------------------------------------------
    def _compute_credit(self, tracked: TrackedMachine) -> Credit | None:
        keys = self._holds_by_machine.get(tracked.id, ())
        reserved = self._reservations.get(tracked.id)
        held = [(key, self._holds[key].need) for key in keys]
        return self._builder.build(tracked, held, reserved[0] if reserved else None)

    def _teams_over_guarantee(self) -> set[str]:
        """Teams that use more than their guarantee."""
        borrowers = set()
        for name, (cpus, gpus) in self._replica.usage().items():
            team = self._teams.get(name)
            if team is not None and (0 < team.gpus < gpus or 0 < team.cpus < cpus):
                borrowers.add(name)
        return borrowers

    def _expire(self, now: float) -> None:
        for key in [key for key, waiting in self._waiting.items() if waiting.expires_at < now]:
            del self._waiting[key]
        for key, held in list(self._holds.items()):
            if held.until < now or key in self._replica.tasks_by_machine.get(held.machine, {}):
                self._release_hold(key)
        for machine, (key, until) in list(self._reservations.items()):
            # A task that went elsewhere, or may no longer run here, must not keep the reservation:
            # it would neither use it nor get any other credit until the reservation expires.
            if until < now or not self._reservation_is_useful(machine, key):
                self._cancel_reservation(machine)

    def _reservation_is_useful(self, machine: str, key: TaskId) -> bool:
        waiting = self._waiting.get(key)
        tracked = self._workers.machines.get(machine)
        return waiting is not None and tracked is not None and tracked.zone in waiting.request.zones

    def _refresh(self) -> list[Credit]:
        """Recomputes the credits of dirty machines and returns the credits that changed.

        Recomputing all credits each time took most of a core with some hundred machines.
        """
        changed = []
        self._builder.begin_round()
        dirty, self._dirty = self._dirty, set()
        for machine in dirty:
            tracked = self._workers.machines.get(machine)
            credit = self._compute_credit(tracked) if tracked is not None else None
            if credit is None:
                self._unpublished |= machine in self._queue.credits
                self._queue.remove(machine)
            elif self._queue.put(credit):
                changed.append(credit)
        self._unpublished |= bool(changed)
        return changed

    async def work(self) -> None:
        """Runs one round: recomputes changed credits and grants them to waiting requests."""
        try:
            async with asyncio.timeout(c.PUBLISH_S if self._unpublished else c.CREDIT_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        if not self._membership.is_member:
            return
        to_stop = []
        now = self._clock.now()
        with self._lock:
            self._mark_due_machines(now)
            self._expire(now)
            self._images.send_due_syncs(now)
            changed = self._refresh()
            self._wake.clear()  # machines marked in the meantime have just been recomputed
            to_stop = self._serve_requests(changed, now)
            if self._unpublished and now - self._published_at >= c.PUBLISH_S:
                self._published_at = now
                self._publish()
        for victim, why in to_stop:
            self._eviction.stop(victim.job, victim.index, victim.attempt, why)
        await asyncio.sleep(c.ROUND_SPACING_S)  # lets simultaneous changes share a round

    def _mark_due_machines(self, now: float) -> None:
        """Marks machines whose credit may have changed without an event.

        A machine may have gone silent: this check is cheap and has a fixed period. The cost of
        stopping tasks changes with time: recomputing credits takes 281 ms for 1,600 machines, so
        its period grows with their number.
        """
        machines = len(self._workers.machines)
        for machine in self._silence_sweep.due(now, c.CREDIT_SWEEP_S):
            tracked = self._workers.machines.get(machine)
            offers_credit = tracked is not None and self._builder.offers_credit(tracked)
            if offers_credit != (machine in self._queue.credits):
                self._dirty.add(machine)
        period_s = max(c.CREDIT_SWEEP_S, machines / c.CREDITS_SWEPT_A_SECOND)
        self._dirty.update(self._credit_sweep.due(now, period_s))

    def _serve_requests(self, changed: list[Credit], now: float) -> list[tuple[Victim, str]]:
        """Tries to grant credits to waiting requests; returns the tasks to stop, with reasons.

        A new request scans all credits. One that found none then scans only credits that changed,
        and all of them again at `rescan_at`.
        """
        due = [
            waiting
            for waiting in self._waiting.values()
            if changed
            or waiting.rescan_at <= now
            or (waiting.request.job, waiting.request.index) in self._reserved_machine
        ]
        to_stop: list[tuple[Victim, str]] = []
        failed: set[tuple[object, ...]] = set()
        borrowers = self._teams_over_guarantee()
        for waiting in sorted(due, key=request_order):
            is_full_scan = waiting.rescan_at <= now
            may_preempt = now - waiting.since >= c.PREEMPT_AFTER_S
            key = (waiting.request.job, waiting.request.index)
            has_reservation = key in self._reserved_machine
            attempt_kind = (is_full_scan, may_preempt, *signature(waiting.request))
            if is_full_scan:
                delay_s = c.FULL_RESCAN_S if may_preempt else c.PREEMPT_AFTER_S
                waiting.rescan_at = now + delay_s
            if not has_reservation and attempt_kind in failed:
                continue
            credits = self._queue.credits.values() if is_full_scan else changed
            preempted = self._serve_request(waiting, list(credits), borrowers, may_preempt, now)
            to_stop += preempted
            if not has_reservation and not preempted and key in self._waiting:
                failed.add(attempt_kind)
        return to_stop

    def _serve_request(
        self,
        waiting: WaitingRequest,
        credits: list[Credit],
        borrowers: set[str],
        may_preempt: bool,
        now: float,
    ) -> list[tuple[Victim, str]]:
        request = waiting.request
        reserved = self._reserved_machine.get((request.job, request.index))
        credit = self._queue.probe_head(request) or find_credit(credits, request, with_image=True)
        if credit is None and reserved is not None:
            # The machine emptied for this task is used even if the image is missing there.
            emptied = self._queue.credits.get(reserved)
            credit = emptied if emptied is not None and emptied.room.fits(request.need) else None
        if credit is not None:
            self._hold(waiting, credit, now)
            return []
        if reserved is not None:
            return []
        if self._is_preemption_worthwhile(request):
            # Starting on a machine that has the image beats an idle machine without it: the
            # download would take longer than the work lost by stopped tasks.
            chosen = choose_victims(
                credits, request, borrowers, with_image=True, below=c.ROOM_BELOW
            )
            if chosen is not None:
                return self._reserve(request, *chosen, now)
        credit = find_credit(credits, request, with_image=False)
        if credit is not None:
            self._hold(waiting, credit, now)
        elif may_preempt:
            stop_request = self._with_preemption_priority(request)
            chosen = choose_victims(
                credits, stop_request, borrowers, with_image=False, below=len(r.PRIORITIES)
            )
            if chosen is not None:
                return self._reserve(request, *chosen, now)
        return []

    def _is_preemption_worthwhile(self, request: CreditRequest) -> bool:
        """Whether the request is urgent and its image download is longer than `WORTH_FETCH_S`."""
        job = self._replica.jobs.get(request.job)
        spec = job.record.spec if job is not None and job.record is not None else None
        # The job's own priority counts: one inherited from a dependent job moves it up the queue,
        # but saves that job no download.
        if spec is None or spec.priority < c.ROOM_BELOW:
            return False
        rates = [t.fetch_gb_per_s for t in self._replica.types.values()]
        return spec.image_gb > c.WORTH_FETCH_S * max(rates, default=1.0)

    def _with_preemption_priority(self, request: CreditRequest) -> CreditRequest:
        """Returns the request with the priority that counts for preemption.

        A priority inherited from a dependent job counts only when this job must start soon to meet
        the deadline behind it. Until then it has time, and preempted tasks would lose their work.
        """
        job = self._replica.jobs.get(request.job)
        spec = job.record.spec if job is not None and job.record is not None else None
        if job is None or spec is None or spec.priority >= request.priority:
            return request
        is_near = job.due - job.estimate_s - self._clock.wall() < c.PIPELINE_PREEMPT_S
        return request if is_near else replace(request, priority=spec.priority)

    def _hold(self, waiting: WaitingRequest, credit: Credit, now: float) -> None:
        request = waiting.request
        key = (request.job, request.index)
        credit.room.subtract(request.need)
        self._unpublished = True
        until = now + (c.GANG_HOLD_S if request.gang else c.HOLD_S)
        held = self._holds[key] = ActiveHold(credit.machine, request.need, until)
        self._holds_by_machine.setdefault(credit.machine, set()).add(key)
        del self._waiting[key]
        machine = self._reserved_machine.get(key)
        if machine is not None:
            self._cancel_reservation(machine)
            if machine in self._queue.credits:
                self._queue.credits[machine].reserved = None
        self._send_hold(waiting.leader, key, held, now)

    def _reserve(
        self, request: CreditRequest, credit: Credit, victims: list[Victim], now: float
    ) -> list[tuple[Victim, str]]:
        key = (request.job, request.index)
        self._reservations[credit.machine] = (key, now + c.RESERVE_S)
        self._reserved_machine[key] = credit.machine
        credit.reserved = key
        self._unpublished = True
        why = preemption_reason(request.priority)
        log.info("machine %s: preempting %d tasks for %s/%d", credit.machine, len(victims), *key)
        return [(victim, why) for victim in victims]

    def _publish(self) -> None:
        self._unpublished = False
        waiting = ((key, self._waiting.get(key)) for key in self._reserved_machine)
        reserved_needs = {key: found.request.need for key, found in waiting if found is not None}
        old, self._published = self._published, totals(self._queue.credits.values(), reserved_needs)
        if old != self._published:
            self._membership.send_heartbeat()  # the heartbeat carries the changed totals
        self._metrics.credits.set(len(self._queue.credits))
        self._metrics.waiting_credit_requests.set(len(self._waiting))
