"""Follows what becomes of each zone, and what the fleet's lead is to give back of it."""

import logging
from collections.abc import Callable

from pulleydeal.features.context import FeatureContext
from pulleydeal.store.job import Job
from pulleydeal.workers.keeping import DARK, EVACUATED, UNTOLD
from pulleydeal.workers.reachability import Seen, out_of_sight
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses
from pulleydeal.zones.decide import Contact

log = logging.getLogger("pulleydeal.zones")


class Watch:
    """Nothing of it is durable: a lead that begins anew waits its full time again, and what was
    given back shows in the machines' records."""

    def __init__(
        self,
        context: FeatureContext,
        contacts: dict[str, Contact],
        others_see: Callable[[], list[Seen]],
        may_tell: Callable[[Job], bool],
    ) -> None:
        self._context = context
        self._replica = context.replica
        self._contacts = contacts
        self._others_see = others_see
        self._may_tell = may_tell
        self._zones = {zone: losses.Watched() for zone in context.deployment.zones}
        self._told: dict[str, losses.State] = {}

    def look(self) -> None:
        """One round; called as often as nodes tell each other what they see."""
        now = self._context.clock.now()
        stations = list(self._context.stations.values())
        report_s = self._context.deployment.workers.report_s
        unseen = out_of_sight(stations, now, report_s, self._others_see())
        for zone, watched in self._zones.items():
            watched.look(zone in unseen, now, lambda zone=zone: self._inside(zone))  # type: ignore[misc]
            state = losses.state(watched, now)
            if state != self._told.get(zone, "whole"):
                log.info("zone %s is %s", zone, state)
            self._told[zone] = state

    def _inside(self, zone: str) -> frozenset[str]:
        """Nodes of a zone that may be keeping its leases when it falls silent."""
        lease_s = self._context.deployment.workers.lease_s
        now, watched = self._context.clock.now(), self._zones[zone]
        return frozenset(
            node
            for node, contact in self._contacts.items()
            if contact.zone == zone
            and watched.may_keep(
                None if contact.gone_epoch is None else contact.gone_at, lease_s, now
            )
        )

    def distrusted(self) -> set[str]:
        now = self._context.clock.now()
        return {
            zone for zone, watched in self._zones.items() if losses.state(watched, now) != "whole"
        }

    # --- what is to be given back -----------------------------------------------------------
    def owed(self) -> dict[str, str]:
        """Machine -> why, in the order in which they go."""
        found = dict.fromkeys(self._untold(), UNTOLD)
        now = self._context.clock.now()
        for zone, watched in self._zones.items():
            if watched.fell_at is None:
                continue
            lease_s = self._context.deployment.workers.lease_s
            if now - watched.fell_at <= lease_s:
                continue
            there = self._lost(zone)
            for lost in losses.dark(watched, there, lease_s, self._boot_s(), now):
                found.setdefault(lost.machine, DARK)
            part = losses.evacuated(watched, there, self._boot_s(), self._waiting(), now)
            if part:
                watched.sliced_at = now
            for lost in part:
                found.setdefault(lost.machine, EVACUATED)
        return found

    def _untold(self) -> list[str]:
        """Machines with a cancelled job's tasks that nobody can be told of: they are given back
        in time for its user, who repeats the question, to hear that it is cancelled."""
        wall = self._context.clock.wall()
        found = []
        for name in self._replica.open_jobs:
            job = self._replica.jobs[name]
            late = job.untold and job.record and wall - job.record.ended > z.UNTOLD_RETURN_S
            if late and not self._may_tell(job):
                found += [task.machine for _, task in job.bindings()]
        return [machine for machine in found if machine in self._replica.machines]

    def _lost(self, zone: str) -> list[losses.Lost]:
        found = []
        for name, machine in self._replica.machines.items():
            if machine.record.zone != zone or machine.record.state not in ("up", "drain"):
                continue
            bound = self._replica.bound.get(name, {})
            jobs = [self._replica.jobs[job] for job in {job for job, _ in bound}]
            found.append(
                losses.Lost(
                    name,
                    len(bound),
                    max((job.spec.priority for job in jobs if job.spec), default=-1),
                    min((self._in_sight(job, zone) for job in jobs), default=1.0),
                )
            )
        return found

    def _in_sight(self, job: Job, zone: str) -> float:
        if job.spec is None or job.spec.kind != "service":
            return 1.0
        here = sum(self._replica.zone_of.get(t.machine) == zone for _, t in job.bindings())
        return (job.bound - here) / job.spec.tasks

    def _boot_s(self) -> float:
        return max((t.boot_s for t in self._replica.types.values()), default=0.0)

    def _waiting(self) -> bool:
        """Whether copies of services have no room: then nothing more is made homeless."""
        return any(
            job.is_ready and job.spec.kind == "service" and job.bound < job.spec.tasks
            for job in map(self._replica.jobs.__getitem__, self._replica.open_jobs)
            if job.spec is not None
        )
