"""Requests credit for waiting tasks and binds them once it is granted; owners: see `credits`."""

import asyncio
import logging
import threading
from collections import Counter

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import Release, pack_credit_request, pack_release, unpack_hold
from pulleydeal.credits.requests import make_credit_request
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.membership.messages import ASK, FREE, HOLD
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.placement.bindings import BindingRules
from pulleydeal.placement.cleanup import JobCleanup
from pulleydeal.placement.failures import FailureBackoff
from pulleydeal.placement.owner_selection import OwnerSelector, choose_gang_zone
from pulleydeal.placement.pending import PendingRequest, PendingRequests, TaskId
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.placement")


class Placement:
    """Places the waiting tasks of the jobs that this node leads."""

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
        self._requests = PendingRequests()
        self._failures = FailureBackoff()
        self._chosen_zone: dict[str, tuple[str, float]] = {}  # one-zone job -> (zone, since)
        self._granted_at: dict[str, float] = {}  # job -> last grant, or else first time considered
        self._wait_reasons: dict[str, str] = {}  # job -> why its tasks wait
        self._ranks: dict[str, rules.QueueRank] = {}  # of jobs with waiting tasks
        self._cleanup = JobCleanup(membership, store)
        self._binding_rules = BindingRules(membership, store.replica, self._requests, teams, zones)
        self._guaranteed: set[str] = set()  # jobs within their team's guarantee
        self._guaranteed_at = -1  # the replica's `job_changes` for which `_guaranteed` holds
        # Unfinished jobs, and those led by this node, cached per view and `job_changes`: checking
        # each job in each round took a sixth of a node's time (docs/results.md).
        self._open_jobs: list[Job] = []
        self._led_jobs: list[Job] = []
        self._led_jobs_key: tuple[int, int, bool] | None = None
        self._leads_cache: dict[str, bool] = {}  # open job -> whether this node leads it
        self._pruned_at = -1e9
        self._wake = asyncio.Event()
        siblings.on(HOLD, self._on_hold)
        store.replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "view":
            with self._lock:
                self._requests.keep_only_writing()
            self._cleanup.mark_all_bound()
        elif kind in ("machine", "bound"):  # for these, `name` is the machine
            self._cleanup.mark_machine(name)
        self._wake.set()

    def reason(self, job: str) -> str:
        """Why tasks of the job wait, as of the last round; "" if there is no reason."""
        return self._wait_reasons.get(job, "")

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
        self._place_all(now)
        await asyncio.sleep(c.ROUND_SPACING_S)  # lets simultaneous changes share a round

    def _place_all(self, now: float) -> None:
        jobs, led = self._update_led_jobs()
        self._cleanup.unbind_lost_tasks()
        for job in led:
            if job.is_open and job.spec is not None and job.done >= job.spec.tasks:
                # Two owners may record the last exits in a chunk of tasks at once; neither then
                # sees that all are done. Otherwise the job and its dependents would stay open.
                self._cleanup.finalize(job, WritePriority.NORMAL)
            elif not job.is_open and not job.bound:
                self._cleanup.finalize(job, WritePriority.BACKGROUND)
        self._drop_obsolete(now)
        self._wait_reasons = {}
        if self._guaranteed_at != self._replica.job_changes:
            self._guaranteed_at = self._replica.job_changes
            self._guaranteed = rules.guaranteed_jobs([j for j in jobs if j.is_ready], self._teams)
        guaranteed = self._guaranteed
        usage = self._projected_usage()
        owners = OwnerSelector(self._membership.parts(), now)
        wall = self._clock.wall()
        self._ranks = {}

        def sort_key(job: Job) -> tuple[object, ...]:
            assert job.spec is not None
            rank = rules.QueueRank(
                *rules.job_rank(job, self._objectives, wall, self._policy), rules.latest_start(job)
            )
            self._ranks[job.id] = rank
            return (-job.spec.priority, job.id not in guaranteed, *rank, job.id)

        waiting: Counter[str] = Counter()
        incomplete = [
            j for j in led if j.is_ready and j.spec is not None and j.done + j.bound < j.spec.tasks
        ]
        for job in sorted(incomplete, key=sort_key):
            self._place_job(job, job.id in guaranteed, usage, owners, now)
            if job.id in self._wait_reasons:
                waiting[self._wait_reasons[job.id]] += 1
        for reason in ("team limit", "credit", "back-off"):
            self._metrics.waiting.labels(reason).set(waiting[reason])

    def _update_led_jobs(self) -> tuple[list[Job], list[Job]]:
        """Returns all open jobs, and those that are led by this node."""
        membership = self._membership
        cache_key = (self._replica.job_changes, membership.epoch, membership.is_member)
        if cache_key != self._led_jobs_key:
            if self._led_jobs_key is None or self._led_jobs_key[1:] != cache_key[1:]:
                self._leads_cache.clear()  # the view determines the leaders of jobs
            self._open_jobs = [self._replica.jobs[job] for job in self._replica.jobs_with_spec]
            self._led_jobs = [j for j in self._open_jobs if j.spec and self._leads_job(j.spec)]
            self._led_jobs_key = cache_key
        return self._open_jobs, self._led_jobs

    def _leads_job(self, spec: r.JobSpec) -> bool:
        """Cached per view: with 520 jobs, checks at each change took 10% of a node's time."""
        leads_here = self._leads_cache.get(spec.id)
        if leads_here is None:
            leads_here = self._leads_cache[spec.id] = self._membership.leads_job(spec)
        return leads_here

    def _projected_usage(self) -> dict[str, rules.Amount]:
        """Resources per team that are bound, being bound, or requested; `_place_job` adds to it."""
        usage = dict(self._replica.usage())
        for job_id in self._requests.jobs():
            job = self._replica.jobs.get(job_id)
            if job is None or job.spec is None:
                continue
            count = sum(index not in job.bound_tasks for index in self._requests.for_job(job_id))
            amount = (job.spec.cpus * count, job.spec.gpus * count)
            usage[job.spec.team] = rules.add(usage.get(job.spec.team, (0.0, 0.0)), amount)
        return usage

    def _drop_obsolete(self, now: float) -> None:
        """Drops requests that are obsolete or expired and, each `TIDY_S`, data of jobs not open."""
        with self._lock:
            for job_id in self._requests.jobs():
                job = self._replica.jobs.get(job_id)
                for index, pending in list(self._requests.for_job(job_id).items()):
                    if pending.writing:
                        continue
                    key = (job_id, index)
                    if job is None or not job.is_open or index in job.bound_tasks:
                        self._drop_request(key, notify_owner=not self._binding_rules.is_bound(key))
                    elif pending.machine and now > pending.hold_until:
                        self._drop_request(key, notify_owner=True)
        if now - self._pruned_at < c.TIDY_S:
            return
        self._pruned_at = now
        open_jobs = self._replica.jobs_with_spec
        self._failures.retain_jobs(open_jobs, now)
        self._granted_at = {job: v for job, v in self._granted_at.items() if job in open_jobs}
        self._chosen_zone = {job: v for job, v in self._chosen_zone.items() if job in open_jobs}
        self._leads_cache = {job: v for job, v in self._leads_cache.items() if job in open_jobs}

    def _drop_request(self, key: TaskId, notify_owner: bool) -> None:
        pending = self._requests.pop(key)
        if pending is not None and notify_owner:
            release = Release(self._membership.epoch, *key)
            self._siblings.send(pending.owner, FREE, pack_release(release))

    def _place_job(
        self,
        job: Job,
        guaranteed: bool,
        usage: dict[str, rules.Amount],
        owners: OwnerSelector,
        now: float,
    ) -> None:
        spec = job.spec
        assert spec is not None
        team = self._teams.get(spec.team)
        if team is None or job.done + job.bound >= spec.tasks:
            return
        if spec.kind == "gang" and job.bound:
            self._wait_reasons[job.id] = "the last attempt's tasks are still leaving"
            return
        max_requests = self._max_requests(job, spec, now)
        wanted = job.waiting(max_requests)
        if len(self._requests.for_job(job.id)) >= max_requests:
            # Requests of tasks no longer among the first to wait make room for those that are.
            for index_to_drop in self._requests.stale_indexes(job.id, set(wanted)):
                self._drop_request((job.id, index_to_drop), notify_owner=True)
        open_requests = len(self._requests.for_job(job.id))
        ahead = job.bound + self._requests.count_granted(job)
        for index in wanted:
            key = (job.id, index)
            pending = self._requests.for_job(job.id).get(index)
            if pending is None:
                if open_requests >= max_requests:
                    break
                if not self._failures.may_retry(key, job.task(index).fails, now):
                    self._wait_reasons[job.id] = "back-off"
                    continue
                usage_after = rules.add(usage.get(spec.team, (0.0, 0.0)), (spec.cpus, spec.gpus))
                if not rules.within_limit(team, usage_after):
                    self._wait_reasons[job.id] = "team limit"
                    break
                usage[spec.team] = usage_after
                open_requests += 1
            self._wait_reasons.setdefault(job.id, "credit")
            if pending is not None and pending.is_granted:
                continue
            if pending is None or now >= pending.review_at:
                self._request_credit(job, key, pending, guaranteed, ahead, owners, now)
            ahead += 1
        if spec.kind == "gang":
            self._bind_gang_if_complete(job, now)

    def _max_requests(self, job: Job, spec: r.JobSpec, now: float) -> int:
        """Maximum number of a job's requests; an array that got no credit lately keeps only a few.

        Otherwise six large arrays had 384, renewed every second, with owners reviewed every 0.25 s.
        """
        granted_at = self._granted_at.setdefault(job.id, now)
        if spec.kind != "array" or now - granted_at < c.UNSERVED_AFTER_S:
            return c.MAX_ASKS_PER_JOB
        return c.UNSERVED_MAX_ASKS

    def _request_credit(
        self,
        job: Job,
        key: TaskId,
        pending: PendingRequest | None,
        guaranteed: bool,
        ahead: int,
        owners: OwnerSelector,
        now: float,
    ) -> None:
        """`ahead`: tasks of the job that are bound, hold capacity, or come before this one."""
        spec = job.spec
        assert spec is not None
        zones = self._allowed_zones(job, key, owners, now)
        owner = owners.choose(spec, key[1], zones, pending)
        if not owner:
            return
        is_changed = pending is not None and (pending.owner != owner or pending.zones != zones)
        if is_changed:
            self._drop_request(key, notify_owner=True)
        if pending is None or is_changed:
            since = pending.since if pending else now
            pending = PendingRequest(owner, -1e9, since, zones, now)  # -1e9: not sent yet
            self._requests.put(key, pending)
        pending.review_at = now + c.ASK_LOOK_S
        if now - pending.sent_at >= c.ASK_REPEAT_S:
            pending.sent_at = now
            avoid = self._failures.avoided_machines(job.id, now)
            rank = rules.task_rank(spec, self._ranks[job.id], ahead)
            request = make_credit_request(
                spec, key[1], self._membership.epoch, guaranteed, rank, zones, avoid
            )
            self._siblings.send(owner, ASK, pack_credit_request(request))

    def _allowed_zones(self, job: Job, key: TaskId, owners: OwnerSelector, now: float) -> list[str]:
        spec = job.spec
        assert spec is not None
        if not spec.one_zone and not spec.spread:
            return rules.zones_allowed(spec, Counter(), self._zones)
        used = self._used_zones(job, key)
        allowed = rules.zones_allowed(spec, used, self._zones)
        if spec.one_zone and spec.tasks > 1 and not used and len(allowed) > 1:
            return [self._choose_single_zone(job.id, spec, allowed, owners, now)]
        return allowed

    def _used_zones(self, job: Job, excluded: TaskId | None) -> Counter[str]:
        machines = [task.machine for _, task in job.bindings()]
        machines += [
            p.machine
            for index, p in self._requests.for_job(job.id).items()
            if (job.id, index) != excluded and p.machine and index not in job.bound_tasks
        ]
        return rules.count_by_zone(machines, self._replica.zone_of)

    def _choose_single_zone(
        self, job: str, spec: r.JobSpec, allowed: list[str], owners: OwnerSelector, now: float
    ) -> str:
        zone, since = self._chosen_zone.get(job, ("", now))
        chosen = choose_gang_zone(spec, zone, now - since, allowed, owners.room_by_zone(spec))
        if chosen != zone:
            self._chosen_zone[job] = (chosen, now)
        return chosen

    # --- holds and bindings -------------------------------------------------------------------
    def _on_hold(self, sender: str, payload: bytes) -> None:
        hold = unpack_hold(payload)
        key = (hold.job, hold.index)
        now = self._clock.now()
        job = self._replica.jobs.get(hold.job)
        if hold.epoch != self._membership.epoch or job is None or job.spec is None:
            return
        with self._lock:
            pending = self._requests.get(key)
            is_unwanted = pending is None or pending.owner != sender or not job.is_open
            if not is_unwanted:
                assert pending is not None
                if pending.writing:
                    return
                pending.machine = hold.machine
                self._granted_at[hold.job] = now
                pending.hold_until = now + hold.seconds
        if is_unwanted:
            release = Release(self._membership.epoch, *key)
            self._siblings.send(sender, FREE, pack_release(release))
        elif job.spec.kind == "gang":
            self._bind_gang_if_complete(job, now)
        else:
            self._bind(job, [key])

    def _bind_gang_if_complete(self, job: Job, now: float) -> None:
        """Binds the gang once capacity is held for all its tasks; none is bound before that."""
        assert job.spec is not None
        keys = [(job.id, index) for index in job.waiting(job.spec.tasks)]
        requests = [self._requests.get(key) for key in keys]
        if len(keys) == job.spec.tasks and all(
            p is not None and p.machine and not p.writing and now < p.hold_until for p in requests
        ):
            self._bind(job, keys)

    def _bind(self, job: Job, keys: list[TaskId]) -> None:
        pending = self._requests.for_job(job.id)
        earliest_hold_end = min(pending[index].hold_until for _, index in keys)
        machines = {key[1]: self._requests.mark_writing(key) for key in keys}

        def mutate(draft: Draft) -> None:
            if self._clock.now() < earliest_hold_end:  # afterwards others may be granted it
                self._binding_rules.apply(draft, machines)

        future = self._store.change_job(job.id, mutate, priority=WritePriority.NORMAL)
        future.add_done_callback(lambda _: self._after_bind_write(job.id, keys, machines))

    def _after_bind_write(self, job_id: str, keys: list[TaskId], machines: dict[int, str]) -> None:
        job = self._replica.jobs.get(job_id)
        for key in keys:
            task = job.task(key[1]) if job is not None else r.Task()
            is_bound = task.machine == machines[key[1]]
            with self._lock:
                self._drop_request(key, notify_owner=not is_bound)
            if is_bound and job is not None and job.record is not None:
                waited_s = max(0.0, self._clock.wall() - job.waiting_since)
                self._failures.record_machine(key, task.machine)
                if task.attempt == 1:
                    self._metrics.start_wait.observe(waited_s)
                self._decisions.write(
                    Decision(
                        Action.BIND,
                        "credit spent",
                        f"{key[0]}/{key[1]}",
                        task.attempt,
                        task.machine,
                        waited_s=waited_s,
                    )
                )
        self._wake.set()
