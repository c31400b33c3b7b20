"""The owner's side: credits from reports, waiting asks, holds, and room made by preemption."""

import asyncio
import logging
import threading
from dataclasses import dataclass, replace

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.images import ImagesHeld
from pulleydeal.credits.making import CreditMaker
from pulleydeal.credits.messages import (
    Ask,
    Hold,
    Need,
    pack_hold,
    unpack_ask,
    unpack_free,
)
from pulleydeal.credits.queue import (
    Credit,
    CreditQueue,
    TaskId,
    Victim,
    Waiting,
    choose_victims,
    order,
    probe,
    shape,
)
from pulleydeal.credits.sweep import Sweep
from pulleydeal.credits.totals import totals
from pulleydeal.membership.messages import ASK, FREE, HOLD, Total
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.reasons import made_room
from pulleydeal.store.replica import Replica
from pulleydeal.workers.eviction import Eviction
from pulleydeal.workers.service import Workers
from pulleydeal.workers.station import Station

log = logging.getLogger("pulleydeal.credits")


@dataclass(slots=True)
class Held:
    machine: str
    need: Need
    until: float


class Credits:
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
        self._asks: dict[TaskId, Waiting] = {}
        self._held: dict[TaskId, Held] = {}
        self._held_on: dict[str, set[TaskId]] = {}
        self._reserved: dict[str, tuple[TaskId, float]] = {}
        self._reserved_for: dict[TaskId, str] = {}
        self._images = ImagesHeld(membership, siblings, replica, clock, self._touch)
        self._maker = CreditMaker(replica, self._images, objectives, clock, workers.silent)
        self._published: list[Total] = []
        self._published_at = -1e9
        self._unpublished = False
        self._silence = Sweep(self._all_machines)
        self._sweep = Sweep(self._all_machines)
        self._wake = asyncio.Event()
        siblings.on(ASK, self._on_ask)
        siblings.on(FREE, self._on_free)
        workers.changed = self._touch
        membership.totals = lambda: self._published
        replica.listen(self._on_change)

    def _touch(self, machine: str) -> None:
        self._dirty.add(machine)
        self._wake.set()

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "bound":
            self._images.note(name)
            self._touch(name)
        elif kind == "machine":
            if name not in self._replica.machines:
                self._images.forget(name)
            self._touch(name)
        elif kind in ("view", "catalog"):
            self._touch_all()
            self._images.greet()

    def _touch_all(self) -> None:
        self._dirty.update(self._all_machines())
        self._wake.set()

    def _all_machines(self) -> list[str]:
        return [*self._workers.stations, *self._queue.credits]

    # --- messages -----------------------------------------------------------------------
    def _on_ask(self, leader: str, payload: bytes) -> None:
        ask = unpack_ask(payload)
        if ask.epoch != self._membership.epoch:
            return
        now = self._clock.now()
        key = (ask.job, ask.index)
        with self._lock:
            if key in self._held:
                held = self._held[key]
                self._say_held(leader, key, held, now)
                return
            old = self._asks.get(key)
            since, look_at = now, now
            if old is not None:
                since = old.since
                look_at = old.look_at if shape(old.ask) == shape(ask) else now
            self._asks[key] = Waiting(ask, leader, since, now + c.ASK_TTL_S, look_at)
        if look_at == now:
            self._wake.set()

    def _on_free(self, _leader: str, payload: bytes) -> None:
        free = unpack_free(payload)
        if free.epoch == self._membership.epoch:
            with self._lock:
                self._asks.pop((free.job, free.index), None)
                self._let_go((free.job, free.index))

    def _let_go(self, key: TaskId) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            self._held_on[held.machine].discard(key)
            if not self._held_on[held.machine]:
                del self._held_on[held.machine]
            self._touch(held.machine)

    def _unreserve(self, machine: str) -> None:
        key, _ = self._reserved.pop(machine)
        self._reserved_for.pop(key, None)
        self._touch(machine)

    def _say_held(self, leader: str, key: TaskId, held: Held, now: float) -> None:
        hold = Hold(self._membership.epoch, *key, held.machine, held.until - now)
        # The answer to an ask of our own must not run inside our lock.
        asyncio.get_running_loop().call_soon(self._siblings.send, leader, HOLD, pack_hold(hold))

    # --- credits --------------------------------------------------------------------------
    def _credit(self, station: Station) -> Credit | None:
        keys = self._held_on.get(station.id, ())
        reserved = self._reserved.get(station.id)
        held = [(key, self._held[key].need) for key in keys]
        return self._maker.credit(station, held, reserved[0] if reserved else None)

    def _over(self) -> set[str]:
        """Teams that use more than their guarantee."""
        over = set()
        for name, (cpus, gpus) in self._replica.usage().items():
            team = self._teams.get(name)
            if team is not None and (0 < team.gpus < gpus or 0 < team.cpus < cpus):
                over.add(name)
        return over

    def _expire(self, now: float) -> None:
        for key in [key for key, waiting in self._asks.items() if waiting.until < now]:
            del self._asks[key]
        for key, held in list(self._held.items()):
            if held.until < now or key in self._replica.bound.get(held.machine, {}):
                self._let_go(key)
        for machine, (key, until) in list(self._reserved.items()):
            # A task that went elsewhere, or may no longer run here, must not keep the room:
            # it would neither use it nor look at any other credit until the time is up.
            if until < now or not self._still_wanted(machine, key):
                self._unreserve(machine)

    def _still_wanted(self, machine: str, key: TaskId) -> bool:
        waiting = self._asks.get(key)
        station = self._workers.stations.get(machine)
        return waiting is not None and station is not None and station.zone in waiting.ask.zones

    def _renew(self) -> list[Credit]:
        """Renews the credits of machines that changed, and tells which ones did.

        Renewing all of them each time cost most of a core at some hundred machines.
        """
        changed = []
        self._maker.begin_round()
        dirty, self._dirty = self._dirty, set()
        for machine in dirty:
            station = self._workers.stations.get(machine)
            credit = self._credit(station) if station is not None else None
            if credit is None:
                self._unpublished |= machine in self._queue.credits
                self._queue.remove(machine)
            elif self._queue.put(credit):
                changed.append(credit)
        self._unpublished |= bool(changed)
        return changed

    async def work(self) -> None:
        """One round: credits are renewed and given to the asks that wait, best first."""
        try:
            async with asyncio.timeout(c.PUBLISH_S if self._unpublished else c.CREDIT_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        if not self._membership.is_member:
            return
        stops = []
        now = self._clock.now()
        with self._lock:
            self._look_around(now)
            self._expire(now)
            self._images.tell(now)
            changed = self._renew()
            self._wake.clear()  # what was touched meanwhile has just been renewed
            stops = self._serve_all(changed, now)
            if self._unpublished and now - self._published_at >= c.PUBLISH_S:
                self._published_at = now
                self._publish()
        for victim, why in stops:
            self._eviction.stop(victim.job, victim.index, victim.attempt, why)
        await asyncio.sleep(c.ROUND_SPACING_S)  # let changes of one moment share a round

    def _look_around(self, now: float) -> None:
        """Finds what nothing tells: silence, and that time has changed what a stop would cost.

        The first is cheap and looked for as often on any number of machines; credits are worked
        out anew more seldom where there are many (281 ms for 1,600 machines).
        """
        machines = len(self._workers.stations)
        for machine in self._silence.due(now, c.CREDIT_SWEEP_S):
            station = self._workers.stations.get(machine)
            gives = station is not None and self._maker.gives(station)
            if gives != (machine in self._queue.credits):
                self._dirty.add(machine)
        period_s = max(c.CREDIT_SWEEP_S, machines / c.CREDITS_SWEPT_A_SECOND)
        self._dirty.update(self._sweep.due(now, period_s))

    def _serve_all(self, changed: list[Credit], now: float) -> list[tuple[Victim, str]]:
        """A new ask looks at all credits; one that found none, at those that changed since."""
        due = [
            waiting
            for waiting in self._asks.values()
            if changed
            or waiting.look_at <= now
            or (waiting.ask.job, waiting.ask.index) in self._reserved_for
        ]
        stops: list[tuple[Victim, str]] = []
        failed: set[tuple[object, ...]] = set()
        over = self._over()
        for waiting in sorted(due, key=order):
            full = waiting.look_at <= now
            may_stop = now - waiting.since >= c.PREEMPT_AFTER_S
            key = (waiting.ask.job, waiting.ask.index)
            own = key in self._reserved_for
            kind = (full, may_stop, *shape(waiting.ask))
            if full:
                again = c.LOOK_AGAIN_S if may_stop else c.PREEMPT_AFTER_S
                waiting.look_at = now + again
            if not own and kind in failed:
                continue
            credits = self._queue.credits.values() if full else changed
            stopped = self._serve(waiting, list(credits), over, may_stop, now)
            stops += stopped
            if not own and not stopped and key in self._asks:
                failed.add(kind)
        return stops

    def _serve(
        self, waiting: Waiting, credits: list[Credit], over: set[str], may_stop: bool, now: float
    ) -> list[tuple[Victim, str]]:
        ask = waiting.ask
        reserved = self._reserved_for.get((ask.job, ask.index))
        credit = self._queue.head(ask) or probe(credits, ask, ready=True)
        if credit is None and reserved is not None:
            # The room that was made for it, even where the image is missing.
            own = self._queue.credits.get(reserved)
            credit = own if own is not None and own.room.fits(ask.need) else None
        if credit is not None:
            self._hold(waiting, credit, now)
            return []
        if reserved is not None:
            return []
        if self._worth_room(ask):
            # A start on a machine with the image beats an idle machine without: the fetch
            # would take longer than what the stopped tasks lose.
            chosen = choose_victims(credits, ask, over, ready=True, below=c.ROOM_BELOW)
            if chosen is not None:
                return self._reserve(ask, *chosen, now)
        credit = probe(credits, ask, ready=False)
        if credit is not None:
            self._hold(waiting, credit, now)
        elif may_stop:
            asked = self._stopping(ask)
            chosen = choose_victims(credits, asked, over, ready=False, below=len(r.PRIORITIES))
            if chosen is not None:
                return self._reserve(ask, *chosen, now)
        return []

    def _worth_room(self, ask: Ask) -> bool:
        job = self._replica.jobs.get(ask.job)
        spec = job.record.spec if job is not None and job.record is not None else None
        # A priority lent by a later job brings it to the front, but saves that job no fetch.
        if spec is None or spec.priority < c.ROOM_BELOW:
            return False
        rates = [t.fetch_gb_per_s for t in self._replica.types.values()]
        return spec.image_gb > c.WORTH_FETCH_S * max(rates, default=1.0)

    def _stopping(self, ask: Ask) -> Ask:
        """The ask with the priority that may stop others.

        A lent priority stops others only once the deadline that it was lent for is near: the
        stages before have time, and what they stop has lost its work.
        """
        job = self._replica.jobs.get(ask.job)
        spec = job.record.spec if job is not None and job.record is not None else None
        if job is None or spec is None or spec.priority >= ask.priority:
            return ask
        near = job.due - job.estimate_s - self._clock.wall() < c.CHAIN_STOP_S
        return ask if near else replace(ask, priority=spec.priority)

    def _hold(self, waiting: Waiting, credit: Credit, now: float) -> None:
        ask = waiting.ask
        key = (ask.job, ask.index)
        credit.room.take(ask.need)
        self._unpublished = True
        until = now + (c.GANG_HOLD_S if ask.gang else c.HOLD_S)
        held = self._held[key] = Held(credit.machine, ask.need, until)
        self._held_on.setdefault(credit.machine, set()).add(key)
        del self._asks[key]
        machine = self._reserved_for.get(key)
        if machine is not None:
            self._unreserve(machine)
            if machine in self._queue.credits:
                self._queue.credits[machine].reserved = None
        self._say_held(waiting.leader, key, held, now)

    def _reserve(
        self, ask: Ask, credit: Credit, victims: list[Victim], now: float
    ) -> list[tuple[Victim, str]]:
        key = (ask.job, ask.index)
        self._reserved[credit.machine] = (key, now + c.RESERVE_S)
        self._reserved_for[key] = credit.machine
        credit.reserved = key
        self._unpublished = True
        why = made_room(ask.priority)
        log.info("machine %s: %d tasks stop for %s/%d", credit.machine, len(victims), *key)
        return [(victim, why) for victim in victims]

    def _publish(self) -> None:
        self._unpublished = False
        waiting = ((key, self._asks.get(key)) for key in self._reserved_for)
        made_for = {key: found.ask.need for key, found in waiting if found is not None}
        old, self._published = self._published, totals(self._queue.credits.values(), made_for)
        if old != self._published:
            self._membership.send_beat()  # the signal: credit changed
        self._metrics.credits.set(len(self._queue.credits))
        self._metrics.asks.set(len(self._asks))
