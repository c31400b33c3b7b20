"""Feature service of roll-outs: evaluates each service led by this node and commits decisions."""

import asyncio
import logging
from typing import TypeVar

from pulleydeal.background import BackgroundTasks
from pulleydeal.features.context import Handler, NodeContext, Step
from pulleydeal.features.records import Records
from pulleydeal.features.routes import Route
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import health, monitoring
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.decide import decide
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.model import Decision, Observation
from pulleydeal.rollouts.monitoring import ServiceMonitor
from pulleydeal.rollouts.prober import Prober
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority

log = logging.getLogger("pulleydeal.rollouts")
T = TypeVar("T")
# Most operations in one transaction: jobs, service, endpoints, new entry, expired entry.
MAX_TRANSACTION_OPS = rc.MAX_BATCH_COPIES + 4


class Rollouts:
    """Runs the roll-outs of all services that this node leads."""

    def __init__(self, node: NodeContext) -> None:
        from pulleydeal.rollouts.interface import Interface

        self.node = node
        self.clock = node.clock
        self.replica = node.replica
        self.records = Records("rollouts", rc.RECORD_FORMAT, node.membership, node.store)
        self.monitors: dict[str, ServiceMonitor] = {}
        self.prober = Prober(node.clock)
        self.decisions_committed = 0  # number of transactions that carried a decision
        self._background = BackgroundTasks("a round of health checks failed")
        self._decode_cache: dict[str, tuple[int, object]] = {}
        self.interface = Interface(self)

    # --- feature interface ------------------------------------------------------------------
    def loops(self) -> dict[str, Step]:
        return {"rollouts": self.tick}

    def routes(self) -> list[Route]:
        return self.interface.routes()

    def paths(self) -> dict[str, Handler]:
        return self.interface.paths()

    async def start(self) -> None:
        if self.node.store.limits.ops < MAX_TRANSACTION_OPS:
            raise OSError(
                f"roll-outs need transactions of {MAX_TRANSACTION_OPS} operations, and the state"
                f" service allows {self.node.store.limits.ops}: disable the rollouts feature"
            )

    # --- records ------------------------------------------------------------------------------
    def _decode(self, name: str, type_: type[T]) -> T | None:
        """A record, decoded once per stored version. Shared: callers must not modify it."""
        record_version = self.records.version(name)
        if not record_version:
            self._decode_cache.pop(name, None)
            return None
        cached = self._decode_cache.get(name)
        if cached is None or cached[0] != record_version:
            cached = (record_version, self.records.get(name, type_))
            self._decode_cache[name] = cached
        found = cached[1]
        assert found is None or isinstance(found, type_)
        return found

    def service(self, name: str) -> st.Service | None:
        return self._decode(st.service_record_name(name), st.Service)

    def version(self, name: str, number: int) -> st.Version | None:
        return self._decode(st.version_record_name(name, number), st.Version)

    def endpoints(self, name: str) -> st.Endpoints:
        return self._decode(st.endpoints_record_name(name), st.Endpoints) or st.Endpoints()

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
        """Evaluates the services led by this node that are due."""
        await asyncio.sleep(rc.TICK_S)
        if not self.records.ready:
            # Some node is older or has the feature off, and might become a leader: start nothing.
            self.monitors.clear()
            return
        self._decode_cache = {
            name: cached
            for name, cached in self._decode_cache.items()
            if self.records.version(name)
        }
        now = self.clock.now()
        led = {name for name in self.names() if self.records.leads(name)}
        for name in [name for name in self.monitors if name not in led]:
            del self.monitors[name]
        for name in sorted(led):
            monitor = self.monitors.setdefault(name, ServiceMonitor(now))
            if now >= monitor.next_evaluation:
                await self.evaluate(name, monitor)

    async def evaluate(self, name: str, monitor: ServiceMonitor) -> None:
        """Starts a round of checks if one is due, then decides and commits the next step."""
        service = self.service(name)
        if service is None:
            return
        now = self.clock.now()
        monitor.next_evaluation = now + (rc.TICK_S if service.rollout else rc.IDLE_EVALUATION_S)
        descriptions = self.descriptions(name, service)
        current = service.rollout.to if service.rollout else service.good
        if current not in descriptions:
            return
        check = descriptions[current].check
        monitor.registry.remove_unlisted(now, {st.job_id(name, x.serial) for x in service.slots})
        if not monitor.checking and now >= monitor.check_due and monitor.registry.copies:
            late_s = 0.0 if monitor.check_due < 0 else now - monitor.check_due
            monitor.check_due = now + check.every_s
            monitor.checking = True
            self._background.spawn(self._run_checks(monitor, descriptions[current], late_s))
        observation = self.observe(name, service, monitor, descriptions[current])
        decision = decide(service, descriptions, observation)
        previous = self.endpoints(name).ready
        updated = decision.service if decision else service
        leaving = {x.serial for x in updated.slots if x.leaving}
        leaving |= {x.slot.serial for x in observation.copies} - {x.serial for x in updated.slots}
        ready = monitoring.ready_endpoints(name, observation, monitor, previous, leaving)
        if decision is None and ready == previous:
            return
        try:
            if await self.commit_decision(
                name, service, decision, ready if ready != previous else None
            ):
                monitor.next_evaluation = now
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            log.debug("service %s: commit of a decision failed or is unconfirmed: %s", name, error)
        except TooLarge as error:
            log.error("service %s: a decision exceeds the state service's limits: %s", name, error)

    def observe(
        self, name: str, service: st.Service, monitor: ServiceMonitor, d: Description
    ) -> Observation:
        jobs = [st.job_id(name, slot.serial) for slot in service.slots]
        reasons = {job: self.node.reason(job) for job in jobs}
        now, wall = self.clock.now(), self.clock.wall()
        previous, zones = self.endpoints(name).ready, self.node.zones
        return monitoring.observe(
            name, service, d.check, self.replica, monitor, reasons, previous, zones, now, wall
        )

    async def _run_checks(self, monitor: ServiceMonitor, d: Description, late_s: float) -> None:
        try:
            copies = monitor.registry.live(self.clock.now())
            results, overrun_s = await self.prober.check_all(copies, d.check)
            now = self.clock.now()
            health.apply_round(copies, results, d.check, now, max(late_s, overrun_s))
        finally:
            monitor.checking = False

    async def commit_decision(
        self,
        name: str,
        base: st.Service,
        decision: Decision | None,
        ready: list[st.Endpoint] | None,
    ) -> bool:
        """Commits in one transaction the service record, history, endpoints, and job changes.

        `base` is the service record that the decision started from. Returns False, with nothing
        written, if it, the view or another record that the transaction depends on has changed.
        """
        key = st.service_record_name(name)
        read_versions = {key: self.records.version(key)}
        if self.service(name) is not base:
            return False  # the record changed while the decision was made
        puts: dict[str, object] = {}
        drops: list[str] = []
        job_puts: dict[str, object] = {}
        job_versions: dict[str, int] = {}
        wall = self.clock.wall()
        if ready is not None:
            endpoints = st.endpoints_record_name(name)
            puts[endpoints] = st.Endpoints(ready)
            read_versions[endpoints] = self.records.version(endpoints)
        if decision is not None:
            service = decision.service
            if decision.in_history:
                drops += self.add_history_entry(name, service, decision, wall, puts)
            puts[key] = service
            for slot in decision.start:
                self._submit_job(name, slot, wall, job_puts, job_versions)
            for slot in decision.stop:
                self._cancel_job(name, slot, wall, job_puts, job_versions)
        done = await self.records.commit(
            read_versions, puts, drops, job_puts, job_versions, WritePriority.NORMAL
        )
        if done and decision is not None:
            self.decisions_committed += 1
            log.info(
                "service %s: %s%s",
                name,
                decision.action,
                f" ({decision.reason})" if decision.reason else "",
                extra={"feature": "rollouts"},
            )
        return done

    def add_history_entry(
        self,
        name: str,
        service: st.Service,
        decision: Decision,
        wall: float,
        puts: dict[str, object],
    ) -> list[str]:
        """Adds a history entry to `puts`; returns the names of expired entries to delete."""
        service.entries += 1
        puts[st.entry_record_name(name, service.entries)] = st.history_entry(
            wall, service, decision.action, decision.reason, decision.evidence
        )
        expired = st.entry_record_name(name, service.entries - rc.KEPT_HISTORY_ENTRIES)
        return [expired] if self.records.version(expired) else []

    def _submit_job(
        self,
        name: str,
        slot: st.Slot,
        wall: float,
        job_puts: dict[str, object],
        job_versions: dict[str, int],
    ) -> None:
        version = self.version(name, slot.version)
        assert version is not None
        spec = version.description.job(st.job_id(name, slot.serial), slot.zone)
        key = r.job_key(spec.id)
        job_puts[key] = r.JobRecord("open", 1, wall, spec)
        job_versions[key] = 0  # must be absent: a repeated transaction has no effect

    def _cancel_job(
        self,
        name: str,
        slot: st.Slot,
        wall: float,
        job_puts: dict[str, object],
        job_versions: dict[str, int],
    ) -> None:
        job = self.replica.jobs.get(st.job_id(name, slot.serial))
        if job is None or job.record is None or job.record.state != "open":
            return
        key = r.job_key(job.id)
        job_puts[key] = r.cancelled_record(
            job.record, job.spec, wall, self.node.partition_policy.defers_cancellations()
        )
        job_versions[key] = job.version
