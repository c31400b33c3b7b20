"""The fleet's leader talks to the cloud: rents, returns, and records what it finds."""

import asyncio
import logging
from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.fleet import plan
from pulleydeal.fleet.cloud import Cloud, CloudTrouble, NoCapacity
from pulleydeal.fleet.machine_records import FAILED, NEVER_CAME_UP, MachineRecords
from pulleydeal.fleet.messages import Listed
from pulleydeal.membership.service import Membership
from pulleydeal.policy.language import Value
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, StateLimits, Team
from pulleydeal.store import records as r
from pulleydeal.store.client import Unknown
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Machine
from pulleydeal.store.service import Store
from pulleydeal.workers.eviction import IDLE
from pulleydeal.workers.keeping import OUT_OF_SIGHT, Keeping

log = logging.getLogger("pulleydeal.fleet")

# Given back with all that is on them: the answer itself proves that it is gone.
AT_ONCE = ("silent", "sick", FAILED, NEVER_CAME_UP, *OUT_OF_SIGHT)


class Fleet:
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
        unseen: Callable[[], set[str]],
        keeping: Keeping,
    ) -> None:
        self._unseen = unseen
        self._keeping = keeping
        self._policy = policy
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._aimed = rules.aimed(objectives)
        self._rooms = plan.Rooms(store.replica, self._aimed)
        self._cloud = cloud
        self._teams = teams
        self._zones = zones
        self._objectives = objectives
        self._records = MachineRecords(store, clock)
        # As large as every version can record while the present limits hold.
        self._most_rented = min(limits.txn_ops, c.RECORDS_AT_ONCE) - 1
        self._recent: dict[str, dict[str, tuple[float, r.JobSpec]]] = {}  # class -> job -> came
        self._clock = clock
        self._serial = 0
        self._unanswered = ""  # the name of a rental whose write got no answer
        self._refused: dict[plan.Kind, float] = {}
        self._idle_since: dict[str, float] = {}
        self._looked_at = -1e9  # when unneeded machines were last looked for
        self._wake = asyncio.Event()
        store.replica.listen(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "job":
            self._wake.set()
        elif kind == "view" or (kind == "rental" and name == self._next_name()):
            # A rental's name is used once: when its write was seen, though its answer was lost
            # (the cloud answers a known name as before, and rents nothing), and when the view
            # moved, under which alone it could still be carried out.
            self._serial += 1

    def _next_name(self) -> str:
        return f"{self._membership.me}-{self._membership.incarnation}-{self._serial + 1}"

    # --- renting ----------------------------------------------------------------------------
    async def rent(self) -> None:
        """One round: unfinished rentals first, then what the plan misses."""
        try:
            async with asyncio.timeout(c.FLEET_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(c.FLEET_SPACING_S)  # let the placement use what is there
        self._wake.clear()
        if not self._membership.leads_fleet() or not self._replica.types:
            return
        if self._replica.rentals:
            await asyncio.gather(*(self._ask(name) for name in list(self._replica.rentals)))
            return
        missing = plan.missing(self._demand())
        names = []
        for (type_, zone, spot), count in missing.items():
            # The same name until it is answered: what was not, and is carried out late, is then the
            # same rental and not one more.
            name = self._next_name()
            record = r.RentalRecord(
                type_, zone, spot, min(count, self._most_rented), self._clock.wall()
            )
            # Durable before it is asked for: whoever leads next repeats it under this name.
            if await self._write_rental(name, record):
                names.append(name)
        await asyncio.gather(*(self._ask(name) for name in names))

    async def _write_rental(self, name: str, record: r.RentalRecord) -> bool:
        """Makes a rental durable. A write without an answer may be carried out later, also when
        the rental is over: so the next one of its name moves the view's mark, on which the first
        was conditional (docs/incidents/rental-name.md)."""
        puts: dict[str, object] = {r.rental_key(name): record}
        if name == self._unanswered:
            puts[r.VIEW] = self._replica.view
        conditions = {r.VIEW: self._replica.view_version, r.rental_key(name): 0}
        try:
            written = await self._store.commit(conditions, puts)
        except Unknown:
            self._unanswered = name
            raise
        if name == self._unanswered:
            self._unanswered = ""
        return written

    def _demand(self) -> plan.Demand:
        now = self._clock.now()
        self._refused = {k: until for k, until in self._refused.items() if until > now}
        jobs = [self._replica.jobs[job] for job in self._replica.open_jobs]
        jobs = [job for job in jobs if job.is_ready and job.spec is not None]
        jobs.sort(
            key=lambda j: (
                -(j.spec.priority if j.spec else 0),
                j.since,
                j.id,
            )
        )
        for job in jobs:
            if job.spec is not None:
                came = self._recent.setdefault(job.spec.klass, {})
                came[job.id] = (job.since, job.spec)
        boot_s = max((t.boot_s for t in self._replica.types.values()), default=0.0)
        unseen = self._unseen()
        return plan.Demand(
            jobs,
            plan.spaces(self._replica, self._clock.wall(), self._rooms, unseen),
            dict(self._replica.usage()),
            self._replica.zone_of,
            self._replica.types,
            self._teams,
            self._zones,
            set(self._refused),
            self._spare(boot_s),
            ending=plan.ending(jobs, boot_s),
            unseen=unseen | self._keeping.distrusted(),
            aimed=self._aimed,
            wall=self._clock.wall(),
            cheap=plan.cheap_enough(self._replica.types, self._policy),
        )

    def _spare(self, boot_s: float) -> list[r.JobSpec]:
        """Room kept free for jobs that must start sooner than a machine boots."""
        wall = self._clock.wall()
        classes, guarantee = plan.prompt_classes(self._objectives, boot_s)
        found: list[r.JobSpec] = []
        for klass, came in self._recent.items():
            for job in [j for j, (at, _) in came.items() if wall - at > c.ARRIVALS_S]:
                del came[job]
            if klass in classes or guarantee:
                found += plan.spare(sorted(came.values(), key=lambda x: x[0]), wall, boot_s)
        return found

    async def _ask(self, name: str) -> None:
        rental = self._replica.rentals.get(name)
        if rental is None:
            return
        rec = rental.record
        kind = (rec.type, rec.zone, rec.spot)
        machines: list[str] = []
        try:
            machines = await self._cloud.rent(name, *kind, rec.count)
            log.info(
                "rented %d of %d %s in %s%s",
                len(machines),
                rec.count,
                rec.type,
                rec.zone,
                " (spot)" if rec.spot else "",
            )
        except NoCapacity:
            log.info("no %s to rent in %s%s", rec.type, rec.zone, " (spot)" if rec.spot else "")
        except CloudTrouble as error:
            log.info("rental %s: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
            if error.may_be_executed or "429" in str(error):
                return  # repeated under the same name
        if len(machines) < rec.count:
            self._refused[kind] = self._clock.now() + c.REFUSED_S
        boot = r.MachineRecord("boot", *kind, at=self._clock.wall())
        new = [m for m in machines if m not in self._replica.machines]
        # The rental goes with the last of its machines: until then whoever leads repeats it, and
        # the cloud names the same machines. An older version may have rented more than fit into
        # one transaction of today's limits.
        last = max(0, (len(new) - 1) // (self._records.batch - 1)) * (self._records.batch - 1)
        for start in range(0, last + 1, self._records.batch - 1):
            batch = new[start : start + self._records.batch - 1]
            conditions = {r.rental_key(name): rental.version}
            conditions |= {r.machine_key(machine): 0 for machine in batch}
            if not await self._store.commit(
                conditions,
                {r.machine_key(machine): boot for machine in batch},
                [r.rental_key(name)] if start == last else [],
            ):
                return  # one of them moved: the whole rental is looked at again

    # --- the list -------------------------------------------------------------------------
    async def listing(self) -> None:
        """One round: machines that failed or never came up are found in the cloud's list."""
        await asyncio.sleep(c.LIST_EVERY_S)
        if not self._membership.leads_fleet():
            return
        try:
            listed = await self._cloud.listing()
        except (CloudTrouble, NoCapacity) as error:
            log.debug("no list: %s", error)
            return
        failed = []
        for entry in listed:
            machine = self._replica.machines.get(entry.id)
            if machine is None:
                if why := self._why_useless(entry):
                    await self._records.mark_unknown(entry, why)
            elif machine.record.state in ("up", "boot") and entry.state == "failed":
                failed.append(machine)
        await self._records.mark(failed, FAILED)

    def _why_useless(self, entry: Listed) -> str:
        """Why a machine without a record is of no use; empty: it may still come up."""
        if entry.state == "failed":
            return FAILED
        type_ = self._replica.types.get(entry.type)
        is_late = type_ is not None and self._late(entry.age_s, type_)
        return NEVER_CAME_UP if entry.state == "starting" and is_late else ""

    def _late(self, age_s: float, type_: r.MachineType) -> bool:
        return age_s > c.BOOT_FACTOR * type_.boot_s + c.LIST_EVERY_S

    async def _cloud_return(self, machines: list[str]) -> bool:
        try:
            await self._cloud.give_back(machines)
        except (CloudTrouble, NoCapacity) as error:
            log.info("return of %s: %s", machines, error)
            return False
        return True

    # --- returning ------------------------------------------------------------------------
    async def give_back(self) -> None:
        """One round: idle machines are marked, and marked ones given back once empty."""
        await asyncio.sleep(c.FLEET_TICK_S)
        if not self._membership.leads_fleet():
            return
        await self._mark_owed()
        if self._clock.now() - self._looked_at >= c.IDLE_LOOK_S:
            self._looked_at = self._clock.now()
            await self._mark_unneeded()
        ready = [m for m in self._replica.machines.values() if self._returnable(m)]
        for start in range(0, len(ready), c.RETURN_BATCH):
            batch = ready[start : start + c.RETURN_BATCH]
            if await self._cloud_return([m.id for m in batch]):
                await self._records.record_gone([machine.id for machine in batch])
        await self._records.purge()

    async def _mark_owed(self) -> None:
        """Machines out of sight, whose return is the only proof that their tasks are gone."""
        found: dict[str, list[Machine]] = {}
        for name, why in self._keeping.owed().items():
            machine = self._replica.machines[name]
            if machine.record.state in ("up", "drain") and machine.record.why not in AT_ONCE:
                found.setdefault(why, []).append(machine)
        for why, machines in found.items():
            await self._records.mark(machines, why, Turn.WORK)

    def _returnable(self, machine: Machine) -> bool:
        if machine.record.state != "drain":
            return False
        if machine.record.why in AT_ONCE:
            return True
        # All bindings older than the mark must be seen; newer ones fail on the mark.
        seen = self._replica.revision >= machine.version
        return seen and not self._replica.bound.get(machine.id)

    async def _mark_unneeded(self) -> None:
        now, wall = self._clock.now(), self._clock.wall()
        idle: dict[str, float] = {}
        demand = self._demand()
        plan.missing(demand)  # what waiting tasks will take is not idle
        untouched = plan.untouched(demand)
        late = []
        for machine in self._replica.machines.values():
            rec = machine.record
            type_ = self._replica.types.get(rec.type)
            if type_ is None:
                continue
            if rec.state == "boot" and self._late(wall - rec.at, type_):
                late.append(machine)
            elif rec.state == "up" and machine.id in untouched:
                idle[machine.id] = self._idle_since.get(machine.id, now)
        self._idle_since = idle
        await self._records.mark(late, NEVER_CAME_UP)
        fleet = self._described(demand)
        there = [(self._replica.machines.get(machine), since) for machine, since in idle.items()]
        old = [
            machine
            for machine, since in there
            if machine is not None
            and machine.record.state == "up"
            and now - since > self._idle_stay_s(machine.record, fleet)
        ]
        spare = int(self._policy.value("spare_machines", fleet))
        ordinary = [m for m in old if not m.record.spot]
        kept = {m.id for m in ordinary[: max(0, spare - (len(idle) - len(old)))]}
        await self._records.mark([m for m in old if m.id not in kept], IDLE)

    def _described(self, demand: plan.Demand) -> dict[str, Value]:
        up = sum(m.record.state == "up" for m in self._replica.machines.values())
        waiting = sum(
            job.spec.tasks - job.done - job.bound for job in demand.jobs if job.spec is not None
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
