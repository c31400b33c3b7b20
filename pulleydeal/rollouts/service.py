"""Leads roll-outs: looks at each service that is led here, and carries out what is decided."""

import asyncio
import logging
from typing import TypeVar

from pulleydeal.background import BackgroundTasks
from pulleydeal.features.context import Handler, Service, Step
from pulleydeal.features.records import Records
from pulleydeal.features.routes import Route
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import health, seeing
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.decide import decide
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.prober import Prober
from pulleydeal.rollouts.seeing import Watch
from pulleydeal.rollouts.seen import Decision, World
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority

log = logging.getLogger("pulleydeal.rollouts")
T = TypeVar("T")
CHANGES = rc.AT_ONCE + 4  # in one transaction at most: jobs, service, endpoints, entry, old entry


class Rollouts:
    def __init__(self, node: Service) -> None:
        from pulleydeal.rollouts.interface import Interface

        self.node = node
        self.clock = node.clock
        self.replica = node.replica
        self.records = Records("rollouts", rc.FORMAT, node.membership, node.store)
        self.watches: dict[str, Watch] = {}
        self.prober = Prober(node.clock)
        self.writes = 0  # transactions of decisions
        self._background = BackgroundTasks("a round of checks failed")
        self._decoded: dict[str, tuple[int, object]] = {}
        self.interface = Interface(self)

    # --- what the switch asks ---------------------------------------------------------------
    def loops(self) -> dict[str, Step]:
        return {"rollouts": self.tick}

    def routes(self) -> list[Route]:
        return self.interface.routes()

    def paths(self) -> dict[str, Handler]:
        return self.interface.paths()

    async def start(self) -> None:
        if self.node.store.limits.ops < CHANGES:
            raise OSError(
                f"roll-outs need transactions of {CHANGES} changes, and the state service takes"
                f" {self.node.store.limits.ops}: switch them off"
            )

    # --- records ------------------------------------------------------------------------------
    def _get(self, name: str, type_: type[T]) -> T | None:
        """A record, decoded once for each version of it; never to be changed in place."""
        mark = self.records.mark(name)
        cached = self._decoded.get(name)
        if cached is None or cached[0] != mark:
            cached = (mark, self.records.get(name, type_))
            self._decoded[name] = cached
        found = cached[1]
        assert found is None or isinstance(found, type_)
        return found

    def service(self, name: str) -> st.Service | None:
        return self._get(st.service_name(name), st.Service)

    def version(self, name: str, number: int) -> st.Version | None:
        return self._get(st.version_name(name, number), st.Version)

    def endpoints(self, name: str) -> st.Endpoints:
        return self._get(st.endpoints_name(name), st.Endpoints) or st.Endpoints()

    def names(self) -> list[str]:
        return [name.removeprefix("s/") for name in self.records.names("s/")]

    def descriptions(self, name: str, service: st.Service) -> dict[int, Description]:
        numbers = {slot.version for slot in service.slots} | {service.good}
        if service.rollout is not None:
            numbers.add(service.rollout.to)
        found = {n: self.version(name, n) for n in numbers if n}
        return {n: version.description for n, version in found.items() if version is not None}

    # --- leading ------------------------------------------------------------------------------
    async def tick(self) -> None:
        """One round over the services that are led here."""
        await asyncio.sleep(rc.TICK_S)
        if not self.records.ready:
            # An older node, or one with the feature off: nothing is begun that it might lead.
            self.watches.clear()
            return
        now = self.clock.now()
        led = {name for name in self.names() if self.records.leads(name)}
        for name in [name for name in self.watches if name not in led]:
            del self.watches[name]
        for name in sorted(led):
            watch = self.watches.setdefault(name, Watch(now))
            if now >= watch.next_look:
                await self.look(name, watch)

    async def look(self, name: str, watch: Watch) -> None:
        service = self.service(name)
        if service is None:
            return
        now = self.clock.now()
        watch.next_look = now + (rc.TICK_S if service.rollout else rc.STEADY_S)
        descriptions = self.descriptions(name, service)
        current = service.rollout.to if service.rollout else service.good
        if current not in descriptions:
            return
        check = descriptions[current].check
        watch.registry.drop_old(now, {st.job_id(name, x.serial) for x in service.slots})
        if not watch.checking and now >= watch.round_due and watch.registry.copies:
            late_s = 0.0 if watch.round_due < 0 else now - watch.round_due
            watch.round_due = now + check.every_s
            watch.checking = True
            self._background.spawn(self._check(watch, descriptions[current], late_s))
        world = self.see(name, service, watch, descriptions[current])
        decision = decide(service, descriptions, world)
        before = self.endpoints(name).ready
        after = decision.service if decision else service
        leaving = {x.serial for x in after.slots if x.leaving}
        leaving |= {x.slot.serial for x in world.copies} - {x.serial for x in after.slots}
        ready = seeing.ready(name, world, watch, before, leaving)
        if decision is None and ready == before:
            return
        try:
            if await self.carry_out(name, service, decision, ready if ready != before else None):
                watch.next_look = now
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            log.debug("service %s: %s", name, error)
        except TooLarge as error:
            log.error("service %s: %s", name, error)

    def see(self, name: str, service: st.Service, watch: Watch, d: Description) -> World:
        jobs = [st.job_id(name, slot.serial) for slot in service.slots]
        reasons = {job: self.node.reason(job) for job in jobs}
        now, wall = self.clock.now(), self.clock.wall()
        before, zones = self.endpoints(name).ready, self.node.zones
        return seeing.see(
            name, service, d.check, self.replica, watch, reasons, before, zones, now, wall
        )

    async def _check(self, watch: Watch, d: Description, late_s: float) -> None:
        try:
            copies = watch.registry.live(self.clock.now())
            answers, over_s = await self.prober.round(copies, d.check)
            now = self.clock.now()
            health.take_round(copies, answers, d.check, now, max(late_s, over_s))
        finally:
            watch.checking = False

    async def carry_out(
        self,
        name: str,
        read: st.Service,
        decision: Decision | None,
        ready: list[st.Endpoint] | None,
    ) -> bool:
        """One transaction: the record, the history, the endpoints, and jobs begun or ended."""
        key = st.service_name(name)
        marks = {key: self.records.mark(key)}
        if self.service(name) is not read:
            return False  # it moved while this was being decided
        puts: dict[str, object] = {}
        drops: list[str] = []
        also: dict[str, object] = {}
        also_read: dict[str, int] = {}
        wall = self.clock.wall()
        if ready is not None:
            endpoints = st.endpoints_name(name)
            puts[endpoints] = st.Endpoints(ready)
            marks[endpoints] = self.records.mark(endpoints)
        if decision is not None:
            service = decision.service
            if decision.told:
                drops += self.tell(name, service, decision, wall, puts)
            puts[key] = service
            for slot in decision.start:
                self._accept(name, slot, wall, also, also_read)
            for slot in decision.stop:
                self._cancel(name, slot, wall, also, also_read)
        done = await self.records.commit(marks, puts, drops, also, also_read, WritePriority.NORMAL)
        if done and decision is not None:
            self.writes += 1
            log.info(
                "service %s: %s%s",
                name,
                decision.what,
                f" ({decision.why})" if decision.why else "",
                extra={"feature": "rollouts"},
            )
        return done

    def tell(
        self,
        name: str,
        service: st.Service,
        decision: Decision,
        wall: float,
        puts: dict[str, object],
    ) -> list[str]:
        """Adds an entry to the history; returns the entries that go for it."""
        service.entries += 1
        puts[st.entry_name(name, service.entries)] = st.entry(
            wall, service, decision.what, decision.why, decision.evidence
        )
        old = st.entry_name(name, service.entries - rc.KEPT_ENTRIES)
        return [old] if self.records.mark(old) else []

    def _accept(
        self,
        name: str,
        slot: st.Slot,
        wall: float,
        also: dict[str, object],
        also_read: dict[str, int],
    ) -> None:
        version = self.version(name, slot.version)
        assert version is not None
        spec = version.description.job(st.job_id(name, slot.serial), slot.zone)
        key = r.job_key(spec.id)
        also[key] = r.JobRecord("open", 1, wall, spec)
        also_read[key] = 0  # absent: a repeat of what was done already changes nothing

    def _cancel(
        self,
        name: str,
        slot: st.Slot,
        wall: float,
        also: dict[str, object],
        also_read: dict[str, int],
    ) -> None:
        job = self.replica.jobs.get(st.job_id(name, slot.serial))
        if job is None or job.record is None or job.record.state != "open":
            return
        key = r.job_key(job.id)
        also[key] = r.cancelled_record(
            job.record, job.spec, wall, self.node.partition_policy.defers_cancellations()
        )
        also_read[key] = job.version
