"""Tracks the state of each zone and the machines that the fleet's leader is to return."""

import logging
from collections.abc import Callable

from pulleydeal.features.context import FeatureContext
from pulleydeal.store.job import Job
from pulleydeal.workers.partition_policy import KEPT_CANCELLED_JOB, ZONE_DARK, ZONE_EVACUATED
from pulleydeal.workers.reachability import SilenceCounts, unreachable_zones
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses
from pulleydeal.zones.decide import Contact

log = logging.getLogger("pulleydeal.zones")


class ZoneMonitor:
    """Keeps no durable state: a new leader waits the full time again, and machines that were
    returned show in their records."""

    def __init__(
        self,
        context: FeatureContext,
        contacts: dict[str, Contact],
        peer_observations: Callable[[], list[SilenceCounts]],
        may_confirm_cancel: Callable[[Job], bool],
    ) -> None:
        self._context = context
        self._replica = context.replica
        self._contacts = contacts
        self._peer_observations = peer_observations
        self._may_confirm_cancel = may_confirm_cancel
        self._zones = {zone: losses.ObservedZone() for zone in context.deployment.zones}
        self._logged: dict[str, losses.State] = {}

    def observe(self) -> None:
        """Updates the state of every zone; called at each status broadcast."""
        now = self._context.clock.now()
        machines = list(self._context.machines.values())
        report_s = self._context.deployment.workers.report_s
        unseen = unreachable_zones(machines, now, report_s, self._peer_observations())
        for zone, observed in self._zones.items():
            observed.observe(zone in unseen, now, lambda zone=zone: self._possible_renewers(zone))  # type: ignore[misc]
            state = losses.zone_state(observed, now)
            if state != self._logged.get(zone, "whole"):
                log.info("zone %s is %s", zone, state)
            self._logged[zone] = state

    def _possible_renewers(self, zone: str) -> frozenset[str]:
        """Nodes of a zone that may be renewing leases there when it goes silent."""
        lease_s = self._context.deployment.workers.lease_s
        now, observed = self._context.clock.now(), self._zones[zone]
        return frozenset(
            node
            for node, contact in self._contacts.items()
            if contact.zone == zone
            and observed.may_renew(
                None if contact.removed_epoch is None else contact.removed_at, lease_s, now
            )
        )

    def excluded_zones(self) -> set[str]:
        """Zones in which nothing is rented: out of sight, or back for too short a time."""
        now = self._context.clock.now()
        return {
            zone
            for zone, observed in self._zones.items()
            if losses.zone_state(observed, now) != "whole"
        }

    # --- machines to return -----------------------------------------------------------------
    def machines_to_return(self) -> dict[str, str]:
        """Machine -> reason, in the order in which they are returned."""
        found = dict.fromkeys(self._unconfirmed_cancel_machines(), KEPT_CANCELLED_JOB)
        now = self._context.clock.now()
        for zone, observed in self._zones.items():
            if observed.lost_at is None:
                continue
            lease_s = self._context.deployment.workers.lease_s
            if now - observed.lost_at <= lease_s:
                continue
            machines = self._lost_machines(zone)
            for lost in losses.dark_returns(observed, machines, lease_s, self._boot_s(), now):
                found.setdefault(lost.machine, ZONE_DARK)
            batch = losses.evacuation_batch(
                observed, machines, self._boot_s(), self._copies_waiting(), now
            )
            if batch:
                observed.evacuated_at = now
            for lost in batch:
                found.setdefault(lost.machine, ZONE_EVACUATED)
        return found

    def _unconfirmed_cancel_machines(self) -> list[str]:
        """Machines with tasks of cancelled jobs whose cancellation can't be confirmed.

        They are returned early enough for the user, who repeats the request, to get the
        confirmation.
        """
        wall = self._context.clock.wall()
        found = []
        for name in self._replica.jobs_with_spec:
            job = self._replica.jobs[name]
            late = (
                job.untold
                and job.record
                and wall - job.record.ended > z.UNCONFIRMED_CANCEL_RETURN_S
            )
            if late and not self._may_confirm_cancel(job):
                found += [task.machine for _, task in job.bindings()]
        return [machine for machine in found if machine in self._replica.machines]

    def _lost_machines(self, zone: str) -> list[losses.LostMachine]:
        found = []
        for name, machine in self._replica.machines.items():
            if machine.record.zone != zone or machine.record.state not in ("up", "drain"):
                continue
            bound = self._replica.tasks_by_machine.get(name, {})
            jobs = [self._replica.jobs[job] for job in {job for job, _ in bound}]
            found.append(
                losses.LostMachine(
                    name,
                    len(bound),
                    max((job.spec.priority for job in jobs if job.spec), default=-1),
                    min((self._visible_share(job, zone) for job in jobs), default=1.0),
                )
            )
        return found

    def _visible_share(self, job: Job, zone: str) -> float:
        """Share of a service's tasks that are bound outside the zone; 1 for other kinds."""
        if job.spec is None or job.spec.kind != "service":
            return 1.0
        inside = sum(self._replica.zone_of.get(t.machine) == zone for _, t in job.bindings())
        return (job.bound - inside) / job.spec.tasks

    def _boot_s(self) -> float:
        return max((t.boot_s for t in self._replica.types.values()), default=0.0)

    def _copies_waiting(self) -> bool:
        """Whether copies of services wait for room, so that no more may be displaced."""
        return any(
            job.is_ready and job.spec.kind == "service" and job.bound < job.spec.tasks
            for job in map(self._replica.jobs.__getitem__, self._replica.jobs_with_spec)
            if job.spec is not None
        )
