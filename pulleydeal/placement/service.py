"""The leader's side: asks parts for credit, and makes bindings durable once room is held."""

import asyncio
import logging
import threading
from collections import Counter

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.asks import ask_for
from pulleydeal.credits.messages import Free, pack_ask, pack_free, unpack_hold
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.membership.messages import ASK, FREE, HOLD
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.placement.bindings import Bindings
from pulleydeal.placement.cleaning import Cleaning
from pulleydeal.placement.failures import Failures
from pulleydeal.placement.parts import Parts, gathers_in
from pulleydeal.placement.pending import Pending, PendingAsks, TaskId
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.placement")


class Placement:
    def __init__(
        self,
        membership: Membership,
        siblings: Siblings,
        store: Store,
        teams: dict[str, Team],
        zones: list[str],
        objectives: list[Objective],
        clock: Clock,
        metrics: Metrics,
        policy: Policy,
    ) -> None:
        self._policy = policy
        self._membership = membership
        self._siblings = siblings
        self._store = store
        self._replica: Replica = store.replica
        self._teams = teams
        self._zones = zones
        self._objectives = objectives
        self._clock = clock
        self._metrics = metrics
        self._decisions = DecisionLog(membership, store, clock, metrics)
        self._lock = threading.Lock()
        self._pending = PendingAsks()
        self._failures = Failures()
        self._gang_zone: dict[str, tuple[str, float]] = {}
        self._served_at: dict[str, float] = {}  # job -> when a task of it last had credit
        self._reasons: dict[str, str] = {}
        self._turns: dict[str, rules.Turn] = {}  # of the jobs that wait
        self._cleaning = Cleaning(membership, store)
        self._bindings = Bindings(membership, store.replica, self._pending, teams, zones)
        self._inside: set[str] = set()  # jobs within their team's guarantee
        self._inside_at = -1  # the replica's count of open jobs' changes for which that holds
        # Open jobs, and those led here, for the view and the count of changes for which they hold:
        # asking for each job at each round took a sixth of a node's time (docs/results.md).
        self._jobs: list[Job] = []
        self._mine: list[Job] = []
        self._mine_at: tuple[int, int, bool] | None = None
        self._leads: dict[str, bool] = {}  # open job -> whether it is led here, in that view
        self._tidied_at = -1e9
        self._wake = asyncio.Event()
        siblings.on(HOLD, self._on_hold)
        store.replica.listen(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "view":
            with self._lock:
                self._pending.keep_writing()
            self._cleaning.look_at_all()
        elif kind in ("machine", "bound"):
            self._cleaning.look_at(name)
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
        await asyncio.sleep(c.ROUND_SPACING_S)  # let changes of one moment share a round

    def _round(self, now: float) -> None:
        jobs, mine = self._led()
        self._cleaning.release_gone()
        for job in mine:
            if job.is_open and job.spec is not None and job.done >= job.spec.tasks:
                # Two owners that each wrote the last end of a chunk at the same moment: neither
                # saw that all are done, and the job stayed open, and what waits on it too.
                self._cleaning.sweep(job, Turn.WORK)
            elif not job.is_open and not job.bound:
                self._cleaning.sweep(job, Turn.LATER)
        self._forget(now)
        self._reasons = {}
        if self._inside_at != self._replica.open_changes:
            self._inside_at = self._replica.open_changes
            self._inside = rules.guaranteed_jobs([j for j in jobs if j.is_ready], self._teams)
        inside = self._inside
        usage = self._usage()
        parts = Parts(self._membership.parts(), now)

        wall = self._clock.wall()
        self._turns = {}

        def rank(job: Job) -> tuple[object, ...]:
            assert job.spec is not None
            turn = rules.Turn(
                *rules.turn(job, self._objectives, wall, self._policy), rules.starts_by(job)
            )
            self._turns[job.id] = turn
            return (-job.spec.priority, job.id not in inside, *turn, job.id)

        waiting: Counter[str] = Counter()
        incomplete = [
            j for j in mine if j.is_ready and j.spec is not None and j.done + j.bound < j.spec.tasks
        ]
        for job in sorted(incomplete, key=rank):
            self._place(job, job.id in inside, usage, parts, now)
            if job.id in self._reasons:
                waiting[self._reasons[job.id]] += 1
        for reason in ("team limit", "credit", "back-off"):
            self._metrics.waiting.labels(reason).set(waiting[reason])

    def _led(self) -> tuple[list[Job], list[Job]]:
        """All open jobs, and those that are led here."""
        membership = self._membership
        at = (self._replica.open_changes, membership.epoch, membership.is_member)
        if at != self._mine_at:
            if self._mine_at is None or self._mine_at[1:] != at[1:]:
                self._leads.clear()  # who leads a job follows from the view
            self._jobs = [self._replica.jobs[job] for job in self._replica.open_jobs]
            self._mine = [j for j in self._jobs if j.spec and self._leads_job(j.spec)]
            self._mine_at = at
        return self._jobs, self._mine

    def _leads_job(self, spec: r.JobSpec) -> bool:
        """Worked out once for a job and view: for all open jobs at each change of one it was a
        tenth of a node's time with 520 of them."""
        found = self._leads.get(spec.id)
        if found is None:
            found = self._leads[spec.id] = self._membership.leads_job(spec)
        return found

    def _usage(self) -> dict[str, rules.Amount]:
        """What is bound, being bound, or has asked for credit."""
        usage = dict(self._replica.usage())
        for job_id in self._pending.jobs():
            job = self._replica.jobs.get(job_id)
            if job is None or job.spec is None:
                continue
            count = sum(index not in job.on_machines for index in self._pending.of(job_id))
            amount = (job.spec.cpus * count, job.spec.gpus * count)
            usage[job.spec.team] = rules.add(usage.get(job.spec.team, (0.0, 0.0)), amount)
        return usage

    def _forget(self, now: float) -> None:
        with self._lock:
            for job_id in self._pending.jobs():
                job = self._replica.jobs.get(job_id)
                for index, pending in list(self._pending.of(job_id).items()):
                    if pending.writing:
                        continue
                    key = (job_id, index)
                    if job is None or not job.is_open or index in job.on_machines:
                        self._drop(key, tell=not self._bindings.is_bound(key))
                    elif pending.machine and now > pending.until:
                        self._drop(key, tell=True)
        if now - self._tidied_at < c.TIDY_S:
            return
        self._tidied_at = now
        alive = self._replica.open_jobs
        self._failures.forget(alive)
        self._served_at = {job: v for job, v in self._served_at.items() if job in alive}
        self._gang_zone = {job: v for job, v in self._gang_zone.items() if job in alive}
        self._leads = {job: v for job, v in self._leads.items() if job in alive}

    def _drop(self, key: TaskId, tell: bool) -> None:
        pending = self._pending.pop(key)
        if pending is not None and tell:
            free = Free(self._membership.epoch, *key)
            self._siblings.send(pending.part, FREE, pack_free(free))

    # --- one job ----------------------------------------------------------------------------
    def _place(
        self,
        job: Job,
        guaranteed: bool,
        usage: dict[str, rules.Amount],
        parts: Parts,
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
        most = self._most_asks(job, spec, now)
        wanted = job.waiting(most)
        if len(self._pending.of(job.id)) >= most:
            for stray in self._pending.strays(job.id, set(wanted)):
                self._drop((job.id, stray), tell=True)
        open_asks = len(self._pending.of(job.id))
        ahead = job.bound + self._pending.with_room(job)
        for index in wanted:
            key = (job.id, index)
            pending = self._pending.of(job.id).get(index)
            if pending is None:
                if open_asks >= most:
                    break
                if not self._failures.may_try(key, job.task(index).fails, now):
                    self._reasons[job.id] = "back-off"
                    continue
                after = rules.add(usage.get(spec.team, (0.0, 0.0)), (spec.cpus, spec.gpus))
                if not rules.within_limit(team, after):
                    self._reasons[job.id] = "team limit"
                    break
                usage[spec.team] = after
                open_asks += 1
            self._reasons.setdefault(job.id, "credit")
            if pending is not None and pending.has_room:
                continue
            if pending is None or now >= pending.look_at:
                self._ask(job, key, pending, guaranteed, ahead, parts, now)
            ahead += 1
        if spec.kind == "gang":
            self._try_gang(job, now)

    def _most_asks(self, job: Job, spec: r.JobSpec, now: float) -> int:
        """How many tasks of a job queue at owners: of an array that waits in vain only a few.

        Six arrays of hundreds of tasks for which there was no room had 384 asks repeated each
        second and thought over four times a second, all day long.
        """
        served = self._served_at.setdefault(job.id, now)
        if spec.kind != "array" or now - served < c.VAIN_AFTER_S:
            return c.MAX_ASKS_PER_JOB
        return c.VAIN_ASKS

    def _ask(
        self,
        job: Job,
        key: TaskId,
        pending: Pending | None,
        guaranteed: bool,
        ahead: int,
        parts: Parts,
        now: float,
    ) -> None:
        """`ahead`: tasks of its job that run, have room, or are asked for before this one."""
        spec = job.spec
        assert spec is not None
        zones = self._zones_for(job, key, parts, now)
        part = parts.choose(spec, key[1], zones, pending)
        if not part:
            return
        moved = pending is not None and (pending.part != part or pending.zones != zones)
        if moved:
            self._drop(key, tell=True)
        if pending is None or moved:
            since = pending.since if pending else now
            pending = Pending(part, -1e9, since, zones, now)
            self._pending.put(key, pending)
        pending.look_at = now + c.ASK_LOOK_S
        if now - pending.asked_at >= c.ASK_REPEAT_S:
            pending.asked_at = now
            avoid = self._failures.avoided(job.id, now)
            turn = rules.task_turn(spec, self._turns[job.id], ahead)
            ask = ask_for(spec, key[1], self._membership.epoch, guaranteed, turn, zones, avoid)
            self._siblings.send(part, ASK, pack_ask(ask))

    def _zones_for(self, job: Job, key: TaskId, parts: Parts, now: float) -> list[str]:
        spec = job.spec
        assert spec is not None
        if not spec.one_zone and not spec.spread:
            return rules.zones_allowed(spec, Counter(), self._zones)
        used = self._used_zones(job, key)
        allowed = rules.zones_allowed(spec, used, self._zones)
        if spec.one_zone and spec.tasks > 1 and not used and len(allowed) > 1:
            return [self._gather_in(job.id, spec, allowed, parts, now)]
        return allowed

    def _used_zones(self, job: Job, key: TaskId | None) -> Counter[str]:
        machines = [task.machine for _, task in job.bindings()]
        machines += [
            p.machine
            for index, p in self._pending.of(job.id).items()
            if (job.id, index) != key and p.machine and index not in job.on_machines
        ]
        return rules.zones_used(machines, self._replica.zone_of)

    def _gather_in(
        self, job: str, spec: r.JobSpec, allowed: list[str], parts: Parts, now: float
    ) -> str:
        zone, since = self._gang_zone.get(job, ("", now))
        chosen = gathers_in(spec, zone, now - since, allowed, parts.room(spec))
        if chosen != zone:
            self._gang_zone[job] = (chosen, now)
        return chosen

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
                self._served_at[hold.job] = now
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
        pending = self._pending.of(job.id)
        until = min(pending[index].until for _, index in keys)
        machines = {key[1]: self._pending.write(key) for key in keys}

        def mutate(draft: Draft) -> None:
            if self._clock.now() < until:
                self._bindings.apply(draft, machines)

        future = self._store.change_job(job.id, mutate, turn=Turn.WORK)
        future.add_done_callback(lambda _: self._bound(job.id, keys, machines))

    def _bound(self, job_id: str, keys: list[TaskId], machines: dict[int, str]) -> None:
        job = self._replica.jobs.get(job_id)
        for key in keys:
            task = job.task(key[1]) if job is not None else r.Task()
            shown = task.machine == machines[key[1]]
            with self._lock:
                self._drop(key, tell=not shown)
            if shown and job is not None and job.record is not None:
                wait = max(0.0, self._clock.wall() - job.since)
                self._failures.ran_on(key, task.machine)
                if task.attempt == 1:
                    self._metrics.start_wait.observe(wait)
                self._decisions.write(
                    Decision(
                        Action.BIND,
                        "credit spent",
                        f"{key[0]}/{key[1]}",
                        task.attempt,
                        task.machine,
                        waited_s=wait,
                    )
                )
        self._wake.set()
