"""The owner's side: credits from reports, waiting asks, holds, and room made by preemption."""

import asyncio
import logging
import threading
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import (
    Ask,
    Free,
    Hold,
    Need,
    pack_hold,
    unpack_ask,
    unpack_free,
)
from pulleydeal.credits.queue import (
    Credit,
    CreditQueue,
    Room,
    TaskId,
    Victim,
    Waiting,
    choose_victims,
    order,
)
from pulleydeal.membership.messages import ASK, FREE, HOLD, Total
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Team
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.service import Workers
from pulleydeal.workers.station import Station

log = logging.getLogger("pulleydeal.credits")


def need_of(spec: r.JobSpec) -> Need:
    return Need(spec.cpus, spec.gpus, spec.memory)


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
        teams: dict[str, Team],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._siblings = siblings
        self._replica = replica
        self._workers = workers
        self._teams = teams
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._queue = CreditQueue()
        self._asks: dict[TaskId, Waiting] = {}
        self._held: dict[TaskId, Held] = {}
        self._reserved: dict[str, tuple[TaskId, float]] = {}
        self._images: dict[str, dict[str, float]] = {}  # machine -> image -> GB, oldest first
        self._published: list[Total] = []
        self._wake = asyncio.Event()
        siblings.on(ASK, self._on_ask)
        siblings.on(FREE, self._on_free)
        workers.changed = self._wake.set
        membership.totals = lambda: self._published
        replica.listen(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "job":
            self._note_images(name)
        self._wake.set()

    def _note_images(self, job_id: str) -> None:
        """Every binding tells every node which image its machine now has."""
        job = self._replica.jobs.get(job_id)
        if job is None or job.spec is None:
            return
        for _, task in job.bindings():
            images = self._images.setdefault(task.machine, {})
            images.pop(job.spec.image, None)
            images[job.spec.image] = job.spec.image_gb
            record = self._replica.machines.get(task.machine)
            type_ = self._replica.types.get(record.record.type) if record else None
            while type_ and len(images) > 1 and sum(images.values()) > type_.cache_gb:
                del images[next(iter(images))]

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
            since = old.since if old else now
            self._asks[key] = Waiting(ask, leader, since, now + c.ASK_TTL_S)
        if old is None:
            self._wake.set()

    def _on_free(self, _leader: str, payload: bytes) -> None:
        free = unpack_free(payload)
        if free.epoch == self._membership.epoch:
            self._release(free)

    def _release(self, free: Free) -> None:
        with self._lock:
            self._asks.pop((free.job, free.index), None)
            self._held.pop((free.job, free.index), None)
        self._wake.set()

    def _say_held(self, leader: str, key: TaskId, held: Held, now: float) -> None:
        hold = Hold(self._membership.epoch, *key, held.machine, held.until - now)
        # The answer to an ask of our own must not run inside our lock.
        asyncio.get_running_loop().call_soon(self._siblings.send, leader, HOLD, pack_hold(hold))

    # --- credits --------------------------------------------------------------------------
    def _credit(self, station: Station, usage: dict[str, tuple[float, float]]) -> Credit | None:
        record = self._replica.machines.get(station.id)
        type_ = self._replica.types.get(station.type)
        if record is None or record.record.state != "up" or type_ is None:
            return None
        if not station.trusted or station.notice_at is not None:
            return None
        if self._workers.silent(station):
            return None
        room = Room(type_.cpus, type_.gpus, type_.memory)
        victims = []
        bound = self._replica.bound.get(station.id, {})
        for (job_id, index), task in bound.items():
            spec = self._replica.jobs[job_id].spec
            if spec is None:
                continue
            room.take(need_of(spec))
            if not task.stop and spec.priority < len(r.PRIORITIES) - 1:
                victims.append(self._victim(job_id, index, task, spec, usage))
        for task_id, entry in station.entries.items():
            job = self._replica.jobs.get(task_id[0])
            if task_id not in bound and entry.state != "exited" and job and job.spec:
                room.take(need_of(job.spec))  # unbound, but still there until it is killed
        for task_id, held in self._held.items():
            if held.machine == station.id and task_id not in bound:
                room.take(held.need)
        reserved = self._reserved.get(station.id)
        fetching = self._fetching(station)
        return Credit(
            station.id,
            station.type,
            station.zone,
            station.spot,
            room,
            frozenset(self._images.get(station.id, ())) - fetching,
            fetching,
            reserved[0] if reserved else None,
            victims,
        )

    def _fetching(self, station: Station) -> frozenset[str]:
        """A binding names its image at once, but the image may be most of a minute away."""
        found = set()
        for (job_id, _), entry in station.entries.items():
            job = self._replica.jobs.get(job_id)
            if entry.state == "fetching" and job is not None and job.spec is not None:
                found.add(job.spec.image)
        return frozenset(found)

    def _victim(
        self,
        job_id: str,
        index: int,
        task: r.Task,
        spec: r.JobSpec,
        usage: dict[str, tuple[float, float]],
    ) -> Victim:
        team = self._teams.get(spec.team)
        cpus, gpus = usage.get(spec.team, (0.0, 0.0))
        over = team is not None and (
            (team.gpus > 0 and gpus > team.gpus) or (team.cpus > 0 and cpus > team.cpus)
        )
        loss = spec.checkpoint_s or spec.estimate_s or 60.0
        if spec.kind == "gang":
            loss *= spec.tasks
        return Victim(
            job_id, index, task.attempt, need_of(spec), spec.priority, loss, over, spec.team
        )

    def _expire(self, now: float) -> None:
        for key, waiting in list(self._asks.items()):
            if waiting.until < now:
                del self._asks[key]
        for key, held in list(self._held.items()):
            if held.until < now or key in self._replica.bound.get(held.machine, {}):
                del self._held[key]
        for machine, (key, until) in list(self._reserved.items()):
            # A task that went elsewhere, or may no longer run here, must not keep the room:
            # it would neither use it nor look at any other credit until the time is up.
            if until < now or not self._still_wanted(machine, key):
                del self._reserved[machine]
        for machine in [m for m in self._images if m not in self._replica.machines]:
            del self._images[machine]

    def _still_wanted(self, machine: str, key: TaskId) -> bool:
        waiting = self._asks.get(key)
        station = self._workers.stations.get(machine)
        return waiting is not None and station is not None and station.zone in waiting.ask.zones

    async def work(self) -> None:
        """One round: credits are renewed and given to the asks that wait, best first."""
        try:
            async with asyncio.timeout(0.5):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        if not self._membership.is_member:
            return
        stops = []
        now = self._clock.now()
        with self._lock:
            self._expire(now)
            usage = self._replica.usage()
            credits = {}
            for machine, station in self._workers.stations.items():
                credit = self._credit(station, usage)
                if credit is not None:
                    credits[machine] = credit
            self._queue.refresh(credits)
            for waiting in sorted(self._asks.values(), key=order):
                stops += self._serve(waiting, now)
            self._publish()
        for victim, why in stops:
            self._workers.stop(victim.job, victim.index, victim.attempt, why)
        await asyncio.sleep(0.01)  # let changes of one moment share a round

    def _serve(self, waiting: Waiting, now: float) -> list[tuple[Victim, str]]:
        ask = waiting.ask
        key = (ask.job, ask.index)
        reserved = next((m for m, (k, _) in self._reserved.items() if k == key), None)
        credit = self._queue.probe(ask, ready=True)
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
            chosen = choose_victims(self._queue, ask, ready=True, below=c.ROOM_BELOW)
            if chosen is not None:
                return self._reserve(ask, *chosen, now)
        credit = self._queue.probe(ask, ready=False)
        if credit is not None:
            self._hold(waiting, credit, now)
        elif now - waiting.since >= c.PREEMPT_AFTER_S:
            chosen = choose_victims(self._queue, ask, ready=False, below=len(r.PRIORITIES))
            if chosen is not None:
                return self._reserve(ask, *chosen, now)
        return []

    def _worth_room(self, ask: Ask) -> bool:
        if ask.priority < c.ROOM_BELOW:
            return False
        spec = self._replica.jobs[ask.job].spec if ask.job in self._replica.jobs else None
        rates = [t.fetch_gb_per_s for t in self._replica.types.values()]
        return spec is not None and spec.image_gb > c.WORTH_FETCH_S * max(rates, default=1.0)

    def _hold(self, waiting: Waiting, credit: Credit, now: float) -> None:
        ask = waiting.ask
        key = (ask.job, ask.index)
        credit.room.take(ask.need)
        until = now + (c.GANG_HOLD_S if ask.gang else c.HOLD_S)
        held = self._held[key] = Held(credit.machine, ask.need, until)
        del self._asks[key]
        for machine, (task_id, _) in list(self._reserved.items()):
            if task_id == key:
                del self._reserved[machine]
                if machine in self._queue.credits:
                    self._queue.credits[machine].reserved = None
        self._say_held(waiting.leader, key, held, now)

    def _reserve(
        self, ask: Ask, credit: Credit, victims: list[Victim], now: float
    ) -> list[tuple[Victim, str]]:
        key = (ask.job, ask.index)
        self._reserved[credit.machine] = (key, now + c.RESERVE_S)
        credit.reserved = key
        why = f"made room for {ask.job} ({r.PRIORITIES[ask.priority]} priority)"
        log.info("machine %s: %d tasks stop for %s/%d", credit.machine, len(victims), *key)
        return [(victim, why) for victim in victims]

    def _publish(self) -> None:
        totals: dict[tuple[str, str, bool], Total] = {}
        for credit in self._queue:
            kind = (credit.type, credit.zone, credit.spot)
            total = totals.setdefault(kind, Total(*kind))
            if credit.reserved is not None:
                continue
            total.cpus += max(0.0, credit.room.cpus)
            total.gpus += max(0.0, credit.room.gpus)
            total.memory += max(0.0, credit.room.memory)
            total.largest_cpus = max(total.largest_cpus, credit.room.cpus)
            total.largest_gpus = max(total.largest_gpus, credit.room.gpus)
            if credit.room.cpus > 0 and len(total.images) < c.PUBLISHED_IMAGES:
                total.images += sorted(credit.images.difference(total.images))
        old, self._published = self._published, list(totals.values())
        if old != self._published:
            self._membership.send_beat()  # the signal: credit changed
        self._metrics.credits.set(len(self._queue.credits))
        self._metrics.asks.set(len(self._asks))


def ask_for(
    spec: r.JobSpec, index: int, epoch: int, guaranteed: bool, zones: list[str], avoid: list[str]
) -> Ask:
    return Ask(
        epoch,
        spec.id,
        index,
        need_of(spec),
        spec.priority,
        guaranteed,
        spec.kind == "gang",
        spec.spot,
        spec.team,
        spec.image,
        spec.types or [],
        zones,
        avoid,
    )
