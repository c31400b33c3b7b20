"""The leader's side: asks parts for credit, and makes bindings durable once room is held."""

import asyncio
import logging
import threading
from collections import Counter
from functools import partial

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import Free, pack_ask, pack_free, unpack_hold
from pulleydeal.credits.service import ask_for
from pulleydeal.membership.messages import ASK, FREE, HOLD
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.placement.parts import Parts
from pulleydeal.placement.pending import Pending, PendingAsks, TaskId
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store
from pulleydeal.workers.changes import apply_exit
from pulleydeal.workers.station import Exit

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
        self._lock = threading.Lock()
        self._pending = PendingAsks()
        self._failed: dict[TaskId, tuple[int, float]] = {}  # fails seen, not before
        self._avoid: dict[str, set[str]] = {}
        self._last: dict[TaskId, str] = {}  # where a task last ran
        self._gang_zone: dict[str, tuple[str, float]] = {}
        self._reasons: dict[str, str] = {}
        self._turns: dict[str, tuple[int, float, float]] = {}  # of the jobs that wait
        self._clearing: set[str] = set()
        self._gone: set[str] = set()  # machines given back, perhaps with bindings left
        self._inside: set[str] = set()  # jobs within their team's guarantee
        self._inside_at = -1  # the replica's count of open jobs' changes for which that holds
        # Open jobs, and those led here, for the view and the count of changes for which they hold:
        # asking for each job at each round took a sixth of a node's time (docs/results.md).
        self._jobs: list[Job] = []
        self._mine: list[Job] = []
        self._mine_at: tuple[int, int, bool] | None = None
        self._tidied_at = -1e9
        self._wake = asyncio.Event()
        siblings.on(HOLD, self._on_hold)
        store.replica.listen(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "view":
            with self._lock:
                self._pending.keep_writing()
            # Whoever led before may have left some; and after a load no machine was told of.
            self._gone.update(self._replica.bound)
        elif kind in ("machine", "bound"):
            self._gone.add(name)
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
        self._release_gone()
        for job in mine:
            if job.is_open and job.spec is not None and job.done >= job.spec.tasks:
                # Two owners that each wrote the last end of a chunk at the same moment: neither
                # saw that all are done, and the job stayed open, and what waits on it too.
                self._sweep(job, Turn.WORK)
            elif not job.is_open and not job.bound and len(self._clearing) < c.SWEEPS_AT_ONCE:
                self._sweep(job, Turn.LATER)
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
            turn = (*rules.turn(job, self._objectives, wall, self._policy), rules.starts_by(job))
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
            self._jobs = [self._replica.jobs[job] for job in self._replica.open_jobs]
            self._mine = [j for j in self._jobs if j.spec and membership.leads_job(j.spec)]
            self._mine_at = at
        return self._jobs, self._mine

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

    def _spec(self, job: str) -> r.JobSpec | None:
        found = self._replica.jobs.get(job)
        return found.spec if found else None

    def _is_bound(self, key: TaskId) -> bool:
        job = self._replica.jobs.get(key[0])
        return job is not None and bool(job.task(key[1]).machine)

    def _writing_amounts(self) -> dict[TaskId, tuple[str, rules.Amount]]:
        """What bindings under way would use, as far as the replica does not show it yet."""
        found = {}
        for key in self._pending.writing():
            spec = self._spec(key[0])
            if spec is not None and not self._is_bound(key):
                found[key] = (spec.team, (spec.cpus, spec.gpus))
        return found

    def _release_gone(self) -> None:
        """A machine that is durably gone took all its tasks with it."""
        for machine in list(self._gone):
            record = self._replica.machines.get(machine)
            bound = self._replica.bound.get(machine)
            if not bound or record is None or record.record.state != "gone":
                self._gone.discard(machine)  # its next change is told again
                continue
            for (job_id, index), task in bound.items():
                spec = self._spec(job_id)
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

    def _sweep(self, job: Job, turn: Turn) -> None:
        """Writes what follows from what is known already: that a job is done or cancelled, and
        what a large one left behind goes bit by bit, until one slim record stays."""
        if job.id not in self._clearing:
            self._clearing.add(job.id)
            future = self._store.change_job(job.id, lambda draft: None, turn)
            future.add_done_callback(partial(self._cleared, job.id))

    def _cleared(self, key: str, _: "asyncio.Future[bool]") -> None:
        self._clearing.discard(key)

    def _forget(self, now: float) -> None:
        with self._lock:
            for job_id in self._pending.jobs():
                job = self._replica.jobs.get(job_id)
                for index, pending in list(self._pending.of(job_id).items()):
                    if pending.writing:
                        continue
                    key = (job_id, index)
                    if job is None or not job.is_open or index in job.on_machines:
                        self._drop(key, tell=not self._is_bound(key))
                    elif pending.machine and now > pending.until:
                        self._drop(key, tell=True)
        if now - self._tidied_at < c.TIDY_S:
            return
        self._tidied_at = now
        alive = self._replica.open_jobs
        self._avoid = {job: v for job, v in self._avoid.items() if job in alive}
        self._failed = {key: v for key, v in self._failed.items() if key[0] in alive}
        self._last = {key: v for key, v in self._last.items() if key[0] in alive}
        self._gang_zone = {job: v for job, v in self._gang_zone.items() if job in alive}

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
        open_asks = len(self._pending.of(job.id))
        for index in job.waiting(c.MAX_ASKS_PER_JOB):
            key = (job.id, index)
            pending = self._pending.of(job.id).get(index)
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
            if pending is None or now >= pending.look_at:
                self._ask(job, key, pending, guaranteed, parts, now)
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
        pending: Pending | None,
        guaranteed: bool,
        parts: Parts,
        now: float,
    ) -> None:
        spec = job.spec
        assert spec is not None
        if pending is not None and (pending.machine or pending.writing):
            return
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
            avoid = sorted(self._avoid.get(job.id, ()))[:50]
            turn = self._turns[job.id]
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
        """The zone in which a gang gathers: most room first, then each in its turn."""
        zone, since = self._gang_zone.get(job, ("", 0.0))
        if zone in allowed and now - since < c.ZONE_TRY_S:
            return zone
        room = parts.room(spec)
        others = [z for z in allowed if z != zone] or allowed
        best = max(others, key=lambda z: (room[z], z))
        self._gang_zone[job] = (best, now)
        return best

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
        pending = self._pending.of(job.id)
        until = min(pending[index].until for _, index in keys)
        machines = {key[1]: self._pending.write(key) for key in keys}

        def mutate(draft: Draft) -> None:
            if self._clock.now() < until:
                self._apply_binding(draft, machines)

        future = self._store.change_job(job.id, mutate, turn=Turn.WORK)
        future.add_done_callback(lambda _: self._bound(job.id, keys, machines))

    def _apply_binding(self, draft: Draft, machines: dict[int, str]) -> None:
        """Runs against the newest record, as often as the marks require."""
        spec = draft.spec
        if draft.job.blockers:
            # Only jobs that the replica shows as done are not in there, and done never changes:
            # what it shows is proof. Looked at here, where the binding is made, as a job may be
            # known to wait only by the time that its binding is tried again.
            return
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
        edits = {index: draft.edit(index) for index in machines}
        if attempt > c.MAX_ATTEMPT or (spec.kind == "gang" and None in edits.values()):
            return  # a gang is bound as a whole or not at all
        for index, machine in machines.items():
            task = edits[index]
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
        there = [
            draft.task(i).machine
            for i in range(spec.tasks if spec.spread or spec.one_zone else 0)
            if draft.task(i).machine
        ]
        used = rules.zones_used(there, self._replica.zone_of)
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
                wait = max(0.0, self._clock.wall() - job.since)
                self._last[key] = task.machine
                if task.attempt == 1:
                    self._metrics.start_wait.observe(wait)
                log.info(
                    "bound %s/%d attempt %d to %s",
                    *key,
                    task.attempt,
                    task.machine,
                    extra={"job": key[0], "task": key[1], "machine": task.machine},
                )
        self._wake.set()
