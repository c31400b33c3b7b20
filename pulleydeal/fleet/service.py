"""The fleet leader's work with the cloud: renting and returning machines, and their records."""

import asyncio
import logging
from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.fleet import plan
from pulleydeal.fleet.cloud import Cloud, CloudError, NoCapacity
from pulleydeal.fleet.machine_records import FAILED, NEVER_CAME_UP, MachineRecords
from pulleydeal.fleet.messages import ListedMachine
from pulleydeal.membership.service import Membership
from pulleydeal.policy.language import Value
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, StateLimits, Team
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Machine
from pulleydeal.store.service import Store
from pulleydeal.workers.eviction import IDLE
from pulleydeal.workers.partition_policy import UNREACHABLE_REASONS, PartitionPolicy

log = logging.getLogger("pulleydeal.fleet")

# Reasons to return a machine with its tasks: the cloud's answer proves that they are gone.
RETURN_WITH_TASKS = ("silent", "sick", FAILED, NEVER_CAME_UP, *UNREACHABLE_REASONS)


class Fleet:
    """Sizes the fleet; only the node that leads the fleet acts."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        cloud: Cloud,
        teams: dict[str, Team],
        zones: list[str],
        objectives: list[Objective],
        clock: Clock,
        limits: StateLimits,
        policy: Policy,
        unseen_zones: Callable[[], set[str]],
        partition_policy: PartitionPolicy,
    ) -> None:
        self._unseen_zones = unseen_zones
        self._partition_policy = partition_policy
        self._policy = policy
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._target_classes = rules.classes_with_objective(objectives)
        self._free = plan.FreeResources(store.replica, self._target_classes)
        self._cloud = cloud
        self._teams = teams
        self._zones = zones
        self._objectives = objectives
        self._records = MachineRecords(store, clock)
        # Every version of the software can record so many within the present limits.
        self._max_rental = min(limits.txn_ops, c.RECORDS_AT_ONCE) - 1
        # class -> job -> (arrival, description)
        self._recent_jobs: dict[str, dict[str, tuple[float, r.JobSpec]]] = {}
        self._clock = clock
        self._rental_serial = 0
        self._unanswered_rental = ""  # name of a rental whose write was not answered
        self._unavailable: dict[plan.MachineKind, float] = {}
        self._idle_since: dict[str, float] = {}
        self._idle_checked_at = -1e9  # when unused machines were last determined
        self._wake = asyncio.Event()
        store.replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "job":
            self._wake.set()
        elif kind == "view" or (kind == "rental" and name == self._next_rental_name()):
            # A rental name is an idempotency key and is used once: the cloud answers a known name
            # as before and rents nothing. So the next name is due when the rental's write was
            # seen, even if its answer was lost, and when the view changed, as the write could
            # only be executed under the old view.
            self._rental_serial += 1

    def _next_rental_name(self) -> str:
        return f"{self._membership.me}-{self._membership.incarnation}-{self._rental_serial + 1}"

    # --- renting ----------------------------------------------------------------------------
    async def rent(self) -> None:
        """One round: repeats unfinished rentals, or else rents what the plan requires."""
        try:
            async with asyncio.timeout(c.FLEET_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(c.FLEET_SPACING_S)  # placement uses existing room meanwhile
        self._wake.clear()
        if not self._membership.leads_fleet() or not self._replica.types:
            return
        if self._replica.rentals:
            await asyncio.gather(
                *(self._request_rental(name) for name in list(self._replica.rentals))
            )
            return
        needed = plan.plan_rentals(self._plan_state())
        names = []
        for (type_, zone, spot), count in needed.items():
            # The name stays the same until the write is answered, so that an unanswered write that
            # is executed late is the same rental and not a second one.
            name = self._next_rental_name()
            record = r.RentalRecord(
                type_, zone, spot, min(count, self._max_rental), self._clock.wall()
            )
            # Durable before the cloud is asked, so that the next leader repeats it by this name.
            if await self._write_rental(name, record):
                names.append(name)
        await asyncio.gather(*(self._request_rental(name) for name in names))

    async def _write_rental(self, name: str, record: r.RentalRecord) -> bool:
        """Makes a rental durable.

        An unanswered write may be executed late, even after the rental is over. The next write of
        the same name therefore also rewrites the view, which changes the version that the first
        write was conditional on (docs/incidents/rental-name.md).
        """
        puts: dict[str, object] = {r.rental_key(name): record}
        if name == self._unanswered_rental:
            puts[r.VIEW_KEY] = self._replica.view
        conditions = {r.VIEW_KEY: self._replica.view_version, r.rental_key(name): 0}
        try:
            written = await self._store.commit(conditions, puts)
        except OutcomeUnknown:
            self._unanswered_rental = name
            raise
        if name == self._unanswered_rental:
            self._unanswered_rental = ""
        return written

    def _plan_state(self) -> plan.PlanState:
        now = self._clock.now()
        self._unavailable = {k: until for k, until in self._unavailable.items() if until > now}
        jobs = [self._replica.jobs[job] for job in self._replica.jobs_with_spec]
        jobs = [job for job in jobs if job.is_ready and job.spec is not None]
        jobs.sort(
            key=lambda j: (
                -(j.spec.priority if j.spec else 0),
                j.waiting_since,
                j.id,
            )
        )
        for job in jobs:
            if job.spec is not None:
                arrived = self._recent_jobs.setdefault(job.spec.klass, {})
                arrived[job.id] = (job.waiting_since, job.spec)
        boot_s = max((t.boot_s for t in self._replica.types.values()), default=0.0)
        unseen_zones = self._unseen_zones()
        return plan.PlanState(
            jobs,
            plan.available_bins(self._replica, self._clock.wall(), self._free, unseen_zones),
            dict(self._replica.usage()),
            self._replica.zone_of,
            self._replica.types,
            self._teams,
            self._zones,
            set(self._unavailable),
            self._headroom(boot_s),
            expected_ends=plan.expected_ends(jobs, boot_s),
            excluded_zones=unseen_zones | self._partition_policy.excluded_zones(),
            target_classes=self._target_classes,
            wall=self._clock.wall(),
            spot_types=plan.worthwhile_spot_types(self._replica.types, self._policy),
        )

    def _headroom(self, boot_s: float) -> list[r.JobSpec]:
        """Jobs to keep room free for, as their classes must start sooner than a machine boots."""
        wall = self._clock.wall()
        classes, guarantee = plan.fast_start_classes(self._objectives, boot_s)
        found: list[r.JobSpec] = []
        for klass, arrived in self._recent_jobs.items():
            for job in [j for j, (at, _) in arrived.items() if wall - at > c.ARRIVALS_S]:
                del arrived[job]
            if klass in classes or guarantee:
                found += plan.headroom_jobs(
                    sorted(arrived.values(), key=lambda x: x[0]), wall, boot_s
                )
        # Users name the classes of their jobs.
        self._recent_jobs = {klass: jobs for klass, jobs in self._recent_jobs.items() if jobs}
        return found

    async def _request_rental(self, name: str) -> None:
        rental = self._replica.rentals.get(name)
        if rental is None:
            return
        rec = rental.record
        kind = (rec.type, rec.zone, rec.spot)
        machines: list[str] = []
        try:
            machines = await self._cloud.rent(name, *kind, rec.count)
            log.info(
                "rented %d of %d machines of type %s in zone %s%s",
                len(machines),
                rec.count,
                rec.type,
                rec.zone,
                " (spot)" if rec.spot else "",
            )
        except NoCapacity:
            log.info(
                "cloud has no capacity for type %s in zone %s%s",
                rec.type,
                rec.zone,
                " (spot)" if rec.spot else "",
            )
        except CloudError as error:
            log.info("rental %s failed: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
            if error.may_have_executed or "429" in str(error):
                return  # repeated by the same name
        if len(machines) < rec.count:
            self._unavailable[kind] = self._clock.now() + c.REFUSED_S
        boot = r.MachineRecord("boot", *kind, at=self._clock.wall())
        new = [m for m in machines if m not in self._replica.machines]
        # The rental's record is deleted with the last batch of its machines. Until then any leader
        # repeats the rental, and the cloud names the same machines. An older version may have
        # rented more than fit into one transaction of the present limits.
        last = max(0, (len(new) - 1) // (self._records.max_records - 1)) * (
            self._records.max_records - 1
        )
        for start in range(0, last + 1, self._records.max_records - 1):
            batch = new[start : start + self._records.max_records - 1]
            conditions = {r.rental_key(name): rental.version}
            conditions |= {r.machine_key(machine): 0 for machine in batch}
            if not await self._store.commit(
                conditions,
                {r.machine_key(machine): boot for machine in batch},
                [r.rental_key(name)] if start == last else [],
            ):
                return  # a record changed: the next round repeats the whole rental

    # --- the cloud's list -----------------------------------------------------------------
    async def check_listing(self) -> None:
        """One round: marks machines that the cloud lists as failed or that never came up."""
        await asyncio.sleep(c.LIST_EVERY_S)
        if not self._membership.leads_fleet():
            return
        try:
            listed = await self._cloud.list_machines()
        except (CloudError, NoCapacity) as error:
            log.debug("listing of machines failed: %s", error)
            return
        failed = []
        for entry in listed:
            machine = self._replica.machines.get(entry.id)
            if machine is None:
                if why := self._defect(entry):
                    await self._records.mark_unrecorded(entry, why)
            elif machine.record.state in ("up", "boot") and entry.state == "failed":
                failed.append(machine)
        await self._records.mark_for_return(failed, FAILED)

    def _defect(self, entry: ListedMachine) -> str:
        """Why a machine without a record is to be returned; empty: it may still come up."""
        if entry.state == "failed":
            return FAILED
        type_ = self._replica.types.get(entry.type)
        overdue = type_ is not None and self._is_boot_overdue(entry.age_s, type_)
        return NEVER_CAME_UP if entry.state == "starting" and overdue else ""

    def _is_boot_overdue(self, age_s: float, type_: r.MachineType) -> bool:
        return age_s > c.BOOT_FACTOR * type_.boot_s + c.LIST_EVERY_S

    async def _return_batch(self, machines: list[str]) -> bool:
        try:
            await self._cloud.return_machines(machines)
        except (CloudError, NoCapacity) as error:
            log.info("return of machines %s failed: %s", machines, error)
            return False
        return True

    # --- returning ------------------------------------------------------------------------
    async def return_machines(self) -> None:
        """One round: marks unused machines, and returns marked machines once they are empty."""
        await asyncio.sleep(c.FLEET_TICK_S)
        if not self._membership.leads_fleet():
            return
        await self._mark_out_of_sight()
        if self._clock.now() - self._idle_checked_at >= c.IDLE_LOOK_S:
            self._idle_checked_at = self._clock.now()
            await self._mark_unused()
        ready = [m for m in self._replica.machines.values() if self._is_returnable(m)]
        for start in range(0, len(ready), c.RETURN_BATCH):
            batch = ready[start : start + c.RETURN_BATCH]
            if await self._return_batch([m.id for m in batch]):
                await self._records.record_gone([machine.id for machine in batch])
        await self._records.purge()

    async def _mark_out_of_sight(self) -> None:
        """Marks machines out of sight whose tasks only a return can prove gone."""
        found: dict[str, list[Machine]] = {}
        for name, why in self._partition_policy.machines_to_return().items():
            machine = self._replica.machines[name]
            if (
                machine.record.state in ("up", "drain")
                and machine.record.why not in RETURN_WITH_TASKS
            ):
                found.setdefault(why, []).append(machine)
        for why, machines in found.items():
            await self._records.mark_for_return(machines, why, WritePriority.NORMAL)

    def _is_returnable(self, machine: Machine) -> bool:
        if machine.record.state != "drain":
            return False
        if machine.record.why in RETURN_WITH_TASKS:
            return True
        # Bindings older than the mark must all be known here; newer ones fail on the mark.
        seen = self._replica.revision >= machine.version
        return seen and not self._replica.tasks_by_machine.get(machine.id)

    async def _mark_unused(self) -> None:
        now, wall = self._clock.now(), self._clock.wall()
        idle: dict[str, float] = {}
        state = self._plan_state()
        plan.plan_rentals(state)  # machines that waiting tasks will use are not unused
        unused = plan.unused_machines(state)
        overdue_machines = []
        for machine in self._replica.machines.values():
            rec = machine.record
            type_ = self._replica.types.get(rec.type)
            if type_ is None:
                continue
            if rec.state == "boot" and self._is_boot_overdue(wall - rec.at, type_):
                overdue_machines.append(machine)
            elif rec.state == "up" and machine.id in unused:
                idle[machine.id] = self._idle_since.get(machine.id, now)
        self._idle_since = idle
        await self._records.mark_for_return(overdue_machines, NEVER_CAME_UP)
        fleet = self._policy_input(state)
        idle_machines = [
            (self._replica.machines.get(machine), since) for machine, since in idle.items()
        ]
        unneeded = [
            machine
            for machine, since in idle_machines
            if machine is not None
            and machine.record.state == "up"
            and now - since > self._idle_stay_s(machine.record, fleet)
        ]
        spare = int(self._policy.value("spare_machines", fleet))
        on_demand = [m for m in unneeded if not m.record.spot]
        retained = {m.id for m in on_demand[: max(0, spare - (len(idle) - len(unneeded)))]}
        await self._records.mark_for_return([m for m in unneeded if m.id not in retained], IDLE)

    def _policy_input(self, state: plan.PlanState) -> dict[str, Value]:
        up = sum(m.record.state == "up" for m in self._replica.machines.values())
        waiting = sum(
            job.spec.tasks - job.done - job.bound for job in state.jobs if job.spec is not None
        )
        return {"machines": float(up), "waiting_tasks": float(waiting)}

    def _idle_stay_s(self, record: r.MachineRecord, fleet: dict[str, Value]) -> float:
        type_ = self._replica.types[record.type]
        machine: dict[str, Value] = {
            "spot": record.spot,
            "zone": record.zone,
            "price": type_.spot_price if record.spot else type_.price,
            "boot_s": type_.boot_s,
        }
        return self._policy.value("idle_stay_s", fleet | machine)
