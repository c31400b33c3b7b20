"""The leader's side: asks parts for credit, and makes bindings durable once room is held."""

import asyncio
import logging
import threading
from collections import Counter
from dataclasses import dataclass
from functools import partial

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import Free, pack_ask, pack_free, unpack_hold
from pulleydeal.credits.service import ask_for
from pulleydeal.membership.messages import ASK, FREE, HOLD, Total
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.placement import rules
from pulleydeal.settings import Team
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.replica import Job, Replica
from pulleydeal.store.service import Store
from pulleydeal.workers.service import apply_exit
from pulleydeal.workers.station import Exit

log = logging.getLogger("pulleydeal.placement")
TaskId = tuple[str, int]


@dataclass(slots=True)
class Pending:
    """A waiting task that has asked a part for credit."""

    part: str
    asked_at: float
    since: float
    zones: list[str]
    machine: str = ""  # held there
    until: float = 0.0
    writing: bool = False


class Placement:
    def __init__(
        self,
        membership: Membership,
        siblings: Siblings,
        store: Store,
        teams: dict[str, Team],
        zones: list[str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._siblings = siblings
        self._store = store
        self._replica: Replica = store.replica
        self._teams = teams
        self._zones = zones
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pending: dict[TaskId, Pending] = {}
        self._failed: dict[TaskId, tuple[int, float]] = {}  # fails seen, not before
        self._avoid: dict[str, set[str]] = {}
        self._last: dict[TaskId, str] = {}  # where a task last ran
        self._gang_zone: dict[str, tuple[str, float]] = {}
        self._reasons: dict[str, str] = {}
        self._clearing: set[str] = set()
        self._wake = asyncio.Event()
        siblings.on(HOLD, self._on_hold)
        store.replica.listen(self._on_change)

    def _on_change(self, kind: str, _name: str) -> None:
        if kind == "view":
            with self._lock:
                # Holds and asks belong to an epoch; writes under way are settled by marks.
                self._pending = {k: p for k, p in self._pending.items() if p.writing}
        self._wake.set()

    def reason(self, job: str) -> str:
        return self._reasons.get(job, "")

    # --- the round ------------------------------------------------------------------------
    async def work(self) -> None:
        try:
            async with asyncio.timeout(c.PLACE_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        if not self._membership.is_member:
            return
        now = self._clock.now()
        self._round(now)
        await asyncio.sleep(0.01)  # let changes of one moment share a round

    def _round(self, now: float) -> None:
        jobs = [self._replica.jobs[job] for job in self._replica.open_jobs]
        mine = [j for j in jobs if j.spec is not None and self._membership.leads_job(j.spec)]
        for job in mine:
            self._release_gone(job)
            if not job.is_open and not job.bound:
                self._sweep(job)
        self._forget(now)
        self._reasons = {}
        inside = rules.guaranteed_jobs([j for j in jobs if j.is_open], self._teams)
        usage = dict(self._replica.usage())
        for key, pending in self._pending.items():
            spec = self._spec(key[0])
            if spec is not None and not self._is_bound(key) and not pending.writing:
                usage[spec.team] = rules.add(
                    usage.get(spec.team, (0.0, 0.0)), (spec.cpus, spec.gpus)
                )
        for (_, _), (team, amount) in self._writing_amounts().items():
            usage[team] = rules.add(usage.get(team, (0.0, 0.0)), amount)
        parts = self._membership.parts()

        def rank(job: Job) -> tuple[int, bool, float, str]:
            assert job.record is not None and job.spec is not None
            return (-job.spec.priority, job.id not in inside, job.record.at, job.id)

        waiting: Counter[str] = Counter()
        for job in sorted((j for j in mine if j.is_open), key=rank):
            self._place(job, job.id in inside, usage, parts, now)
            if job.id in self._reasons:
                waiting[self._reasons[job.id]] += 1
        for reason in ("team limit", "credit", "back-off"):
            self._metrics.waiting.labels(reason).set(waiting[reason])

    def _spec(self, job: str) -> r.JobSpec | None:
        found = self._replica.jobs.get(job)
        return found.spec if found else None

    def _is_bound(self, key: TaskId) -> bool:
        job = self._replica.jobs.get(key[0])
        return job is not None and bool(job.task(key[1]).machine)

    def _writing_amounts(self) -> dict[TaskId, tuple[str, rules.Amount]]:
        """What bindings under way would use, as far as the replica does not show it yet."""
        found = {}
        for key, pending in self._pending.items():
            spec = self._spec(key[0])
            if pending.writing and spec is not None and not self._is_bound(key):
                found[key] = (spec.team, (spec.cpus, spec.gpus))
        return found

    def _release_gone(self, job: Job) -> None:
        """A machine that is durably gone took all its tasks with it."""
        for index, task in job.bindings():
            record = self._replica.machines.get(task.machine)
            gone = record is not None and record.record.state == "gone"
            key = f"{job.id}/{index}"
            if gone and key not in self._clearing:
                self._clearing.add(key)
                proof = Exit(
                    job.id,
                    index,
                    task.attempt,
                    task.machine,
                    "lost",
                    task.stop or "its machine is gone",
                )
                log.info("task %s attempt %d: machine %s is gone", key, task.attempt, task.machine)
                future = self._store.change_job(
                    job.id, partial(apply_exit, gone=proof), urgent=True
                )
                future.add_done_callback(partial(self._cleared, key))

    def _sweep(self, job: Job) -> None:
        """What a large job left behind is removed bit by bit, until one slim record stays."""
        if job.id not in self._clearing:
            self._clearing.add(job.id)
            future = self._store.change_job(job.id, lambda draft: None, urgent=False)
            future.add_done_callback(partial(self._cleared, job.id))

    def _cleared(self, key: str, _: "asyncio.Future[bool]") -> None:
        self._clearing.discard(key)

    def _forget(self, now: float) -> None:
        with self._lock:
            for key, pending in list(self._pending.items()):
                if pending.writing:
                    continue
                job = self._replica.jobs.get(key[0])
                if job is None or not job.is_open or self._is_bound(key):
                    self._drop(key, tell=not self._is_bound(key))
                elif pending.machine and now > pending.until:
                    self._drop(key, tell=True)
        for job_id in [j for j in self._avoid if j not in self._replica.open_jobs]:
            del self._avoid[job_id]
        for key in [k for k in self._failed if k[0] not in self._replica.open_jobs]:
            del self._failed[key]
        for key in [k for k in self._last if k[0] not in self._replica.open_jobs]:
            del self._last[key]
        for job_id in [j for j in self._gang_zone if j not in self._replica.open_jobs]:
            del self._gang_zone[job_id]

    def _drop(self, key: TaskId, tell: bool) -> None:
        pending = self._pending.pop(key, None)
        if pending is not None and tell:
            free = Free(self._membership.epoch, *key)
            self._siblings.send(pending.part, FREE, pack_free(free))

    # --- one job ----------------------------------------------------------------------------
    def _place(
        self,
        job: Job,
        guaranteed: bool,
        usage: dict[str, rules.Amount],
        parts: dict[str, list[Total]],
        now: float,
    ) -> None:
        spec = job.spec
        assert spec is not None
        team = self._teams.get(spec.team)
        if team is None or job.done + job.bound >= spec.tasks:
            return
        if spec.kind == "gang" and job.bound:
            self._reasons[job.id] = "the last attempt's tasks are still leaving"
            return
        open_asks = sum(1 for key in self._pending if key[0] == job.id)
        for index in job.waiting(c.MAX_ASKS_PER_JOB):
            key = (job.id, index)
            pending = self._pending.get(key)
            if pending is None:
                if open_asks >= c.MAX_ASKS_PER_JOB:
                    break
                if not self._may_try(job, key, now):
                    self._reasons[job.id] = "back-off"
                    continue
                after = rules.add(usage.get(spec.team, (0.0, 0.0)), (spec.cpus, spec.gpus))
                if not rules.within_limit(team, after):
                    self._reasons[job.id] = "team limit"
                    break
                usage[spec.team] = after
                open_asks += 1
            self._reasons.setdefault(job.id, "credit")
            self._ask(job, key, guaranteed, parts, now)
        if spec.kind == "gang":
            self._try_gang(job, now)

    def _may_try(self, job: Job, key: TaskId, now: float) -> bool:
        task = job.task(key[1])
        if not task.fails:
            return True
        seen, not_before = self._failed.get(key, (0, 0.0))
        if seen != task.fails:
            not_before = now + rules.error_backoff_s(task.fails)
            self._failed[key] = (task.fails, not_before)
            if key in self._last:
                self._avoid.setdefault(job.id, set()).add(self._last[key])
        return now >= not_before

    def _ask(
        self,
        job: Job,
        key: TaskId,
        guaranteed: bool,
        parts: dict[str, list[Total]],
        now: float,
    ) -> None:
        spec = job.spec
        assert spec is not None
        pending = self._pending.get(key)
        if pending is not None and (pending.machine or pending.writing):
            return
        zones = self._zones_for(job, key, parts, now)
        part = self._part(spec, key, zones, parts, pending, now)
        if not part:
            return
        moved = pending is not None and (pending.part != part or pending.zones != zones)
        if moved:
            self._drop(key, tell=True)
        if pending is None or moved:
            since = pending.since if pending else now
            pending = self._pending[key] = Pending(part, -1e9, since, zones)
        if now - pending.asked_at >= c.ASK_REPEAT_S:
            pending.asked_at = now
            avoid = sorted(self._avoid.get(job.id, ()))[:50]
            ask = ask_for(spec, key[1], self._membership.epoch, guaranteed, zones, avoid)
            self._siblings.send(part, ASK, pack_ask(ask))

    def _zones_for(
        self, job: Job, key: TaskId, parts: dict[str, list[Total]], now: float
    ) -> list[str]:
        spec = job.spec
        assert spec is not None
        used = self._used_zones(job, key)
        allowed = rules.zones_allowed(spec, used, self._zones)
        if spec.one_zone and spec.tasks > 1 and not used and len(allowed) > 1:
            return [self._gather_in(job.id, spec, allowed, parts, now)]
        return allowed

    def _used_zones(self, job: Job, key: TaskId | None) -> Counter[str]:
        zone_of = self._zone_of()
        machines = [task.machine for _, task in job.bindings()]
        machines += [
            p.machine
            for k, p in self._pending.items()
            if k[0] == job.id and k != key and p.machine and not job.task(k[1]).machine
        ]
        return rules.zones_used(machines, zone_of)

    def _zone_of(self) -> dict[str, str]:
        return {m: record.record.zone for m, record in self._replica.machines.items()}

    def _gather_in(
        self,
        job: str,
        spec: r.JobSpec,
        allowed: list[str],
        parts: dict[str, list[Total]],
        now: float,
    ) -> str:
        """The zone in which a gang gathers: most room first, then each in its turn."""
        zone, since = self._gang_zone.get(job, ("", 0.0))
        if zone in allowed and now - since < c.ZONE_TRY_S:
            return zone
        room: Counter[str] = Counter()
        for totals in parts.values():
            for total in totals:
                if _suits(spec, total):
                    room[total.zone] += int(total.gpus * 100 + total.cpus)
        others = [z for z in allowed if z != zone] or allowed
        best = max(others, key=lambda z: (room[z], z))
        self._gang_zone[job] = (best, now)
        return best

    def _part(
        self,
        spec: r.JobSpec,
        key: TaskId,
        zones: list[str],
        parts: dict[str, list[Total]],
        pending: Pending | None,
        now: float,
    ) -> str:
        """The part to wait at: by published credit; without any, in turn."""

        def score(part: str) -> tuple[bool, bool, float]:
            fitting = [t for t in parts[part] if t.zone in zones and _suits(spec, t)]
            largest = any(
                t.largest_cpus >= spec.cpus and t.largest_gpus >= spec.gpus for t in fitting
            )
            ready = any(
                t.largest_cpus >= spec.cpus
                and t.largest_gpus >= spec.gpus
                and spec.image in t.images
                for t in fitting
            )
            return largest, ready, sum(t.gpus + t.cpus / 100 for t in fitting)

        if not parts or not zones:
            return ""
        if (
            pending is not None
            and pending.part in parts
            and now - pending.asked_at < c.ASK_TTL_S
            and (score(pending.part)[0] or now - pending.since < c.ASK_REPEAT_S)
        ):
            return pending.part
        best = max(parts, key=lambda p: (*score(p), p))
        if score(best)[0]:
            return best
        # Nobody has room: wait in one queue at a time, where there are machines to empty.
        owners = [
            p
            for p in sorted(parts)
            if any(t.zone in zones and (spec.spot or not t.spot) for t in parts[p])
        ]
        if not owners:
            return ""
        since = pending.since if pending else now
        return owners[(key[1] + int((now - since) / c.RESERVE_S)) % len(owners)]

    # --- holds and bindings -------------------------------------------------------------------
    def _on_hold(self, part: str, payload: bytes) -> None:
        hold = unpack_hold(payload)
        key = (hold.job, hold.index)
        now = self._clock.now()
        job = self._replica.jobs.get(hold.job)
        if hold.epoch != self._membership.epoch or job is None or job.spec is None:
            return
        with self._lock:
            pending = self._pending.get(key)
            unwanted = pending is None or pending.part != part or not job.is_open
            if not unwanted:
                assert pending is not None
                if pending.writing:
                    return
                pending.machine = hold.machine
                pending.until = now + hold.seconds
        if unwanted:
            free = Free(self._membership.epoch, *key)
            self._siblings.send(part, FREE, pack_free(free))
        elif job.spec.kind == "gang":
            self._try_gang(job, now)
        else:
            self._bind(job, [key])

    def _try_gang(self, job: Job, now: float) -> None:
        """No member starts before there is room for all."""
        assert job.spec is not None
        keys = [(job.id, index) for index in job.waiting(job.spec.tasks)]
        held = [self._pending.get(key) for key in keys]
        if len(keys) == job.spec.tasks and all(
            p is not None and p.machine and not p.writing and now < p.until for p in held
        ):
            self._bind(job, keys)

    def _bind(self, job: Job, keys: list[TaskId]) -> None:
        machines = {}
        until = min(self._pending[key].until for key in keys)
        for key in keys:
            self._pending[key].writing = True
            machines[key[1]] = self._pending[key].machine

        def mutate(draft: Draft) -> None:
            if self._clock.now() < until:
                self._apply_binding(draft, machines)

        future = self._store.change_job(job.id, mutate, urgent=True)
        future.add_done_callback(lambda _: self._bound(job.id, keys, machines))

    def _apply_binding(self, draft: Draft, machines: dict[int, str]) -> None:
        """Runs against the newest record, as often as the marks require."""
        spec = draft.spec
        team = self._teams.get(spec.team)
        if draft.status != "open" or team is None or not self._membership.leads_job(spec):
            return
        old = [draft.task(index) for index in machines]
        if any(task.machine or task.done for task in old):
            return
        if spec.kind == "gang" and any(draft.task(i).machine for i in range(spec.tasks)):
            return
        if not self._limit_allows(spec, team, len(machines), {(spec.id, i) for i in machines}):
            return
        if not self._zones_allow(draft, machines):
            return
        if not all(draft.require_machine(machine) for machine in set(machines.values())):
            return
        attempt = max(task.attempt for task in old) + 1
        for index, machine in machines.items():
            task = draft.edit(index)
            if task is None:
                continue
            task.machine = machine
            task.attempt = attempt if spec.kind == "gang" else task.attempt + 1
            task.stop = ""

    def _limit_allows(self, spec: r.JobSpec, team: Team, count: int, own: set[TaskId]) -> bool:
        used = self._replica.usage().get(spec.team, (0.0, 0.0))
        for key, (name, amount) in self._writing_amounts().items():
            if name == spec.team and key not in own:
                used = rules.add(used, amount)
        return rules.within_limit(team, rules.add(used, (spec.cpus * count, spec.gpus * count)))

    def _zones_allow(self, draft: Draft, machines: dict[int, str]) -> bool:
        spec = draft.spec
        zone_of = self._zone_of()
        there = [
            draft.task(i).machine
            for i in range(spec.tasks if spec.spread or spec.one_zone else 0)
            if draft.task(i).machine
        ]
        used = rules.zones_used(there, zone_of)
        for machine in machines.values():
            record = self._replica.machines.get(machine)
            if record is None or (record.record.spot and not spec.spot):
                return False
            if spec.types is not None and record.record.type not in spec.types:
                return False
            if record.record.zone not in rules.zones_allowed(spec, used, self._zones):
                return False
            used[record.record.zone] += 1
        return True

    def _bound(self, job_id: str, keys: list[TaskId], machines: dict[int, str]) -> None:
        job = self._replica.jobs.get(job_id)
        for key in keys:
            task = job.task(key[1]) if job is not None else r.Task()
            shown = task.machine == machines[key[1]]
            with self._lock:
                self._drop(key, tell=not shown)
            if shown and job is not None and job.record is not None:
                wait = max(0.0, self._clock.wall() - job.record.at)
                self._last[key] = task.machine
                if task.attempt == 1:
                    self._metrics.start_wait.observe(wait)
                log.info("bound %s/%d attempt %d to %s", *key, task.attempt, task.machine)
        self._wake.set()


def _suits(spec: r.JobSpec, total: Total) -> bool:
    return (spec.spot or not total.spot) and (spec.types is None or total.type in spec.types)
