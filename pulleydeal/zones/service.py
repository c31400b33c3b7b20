"""The zones feature: renews leases in an isolated zone, confirms cancellations only once they are
sure to take effect, and decides which machines of a lost zone are returned."""

import asyncio
import logging

from prometheus_client import Counter, Gauge

from pulleydeal import constants as c
from pulleydeal.features.context import FeatureContext, Handler, Step
from pulleydeal.features.routes import Route
from pulleydeal.store.job import Job
from pulleydeal.workers import messages as m
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.reachability import SilenceCounts, count_silent
from pulleydeal.workers.tracked_machine import TrackedMachine
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide, losses
from pulleydeal.zones.deafness import DeafnessMonitor
from pulleydeal.zones.messages import NODE_STATUS, NodeStatus, pack, unpack
from pulleydeal.zones.monitor import ZoneMonitor

log = logging.getLogger("pulleydeal.zones")


class Zones(PartitionPolicy):
    """The lease and cancellation policy of a node that has this feature enabled."""

    def __init__(self, context: FeatureContext) -> None:
        self._membership = context.membership
        self._siblings = context.siblings
        self._store = context.store
        self._replica = context.replica
        self._clock = context.clock
        self._times = context.deployment.workers
        self._machines = context.machines
        me = self._membership.me
        self._zone = self._membership.zone_of(me)
        now = self._clock.now()
        self._contacts = {
            node: decide.Contact(self._membership.zone_of(node), now, -1e9)
            for node in self._membership.nodes()
            if node != me
        }
        self._stamps: dict[str, float] = {}  # peer -> latest stamp received from it
        self._served_at: dict[str, float] = {}  # peer -> when it last reported that it is served
        # peer -> (received at, observations)
        self._peer_seen: dict[str, tuple[float, SilenceCounts]] = {}
        self._unserved_at = now  # when the state service last did not answer this node
        self._broadcast_at = -1e9
        self._renewing = False
        registry = context.metrics.registry
        self._renewals_count = Counter(
            "pulleydeal_leases_kept",
            "Check-ins of others' machines answered in a cut-off zone",
            registry=registry,
        )
        self._unconfirmed_count = Counter(
            "pulleydeal_cancellations_untold",
            "Answers put off as a node out of reach may keep a cancelled task",
            registry=registry,
        )
        self._renewing_gauge = Gauge(
            "pulleydeal_keeps_zone",
            "1 while this node keeps its zone's leases from inside a cut",
            registry=registry,
        )
        if decide.lease_fits_cancel(self._times.lease_s, self._times.cancel_s):
            self._membership.serves["zones"] = z.FORMAT
        else:
            # Without the announcement no node renews for others. Cancellations are still
            # confirmed only once they are sure to take effect.
            log.error(
                "proxy lease renewal is disabled: a lease of %g s does not end within"
                " the cancellation limit of %g s",
                self._times.lease_s,
                self._times.cancel_s,
            )
        self._zone_monitor = ZoneMonitor(
            context, self._contacts, self.peer_observations, self.may_confirm_cancel
        )
        self._deafness_monitor = DeafnessMonitor(context, self.peer_observations, self._all_enabled)
        self._siblings.on(NODE_STATUS, self._on_status)
        self._replica.add_listener(self._on_change)

    # --- the feature interface --------------------------------------------------------------
    async def start(self) -> None:
        """Does nothing: the feature uses the links that the node has already."""

    def loops(self) -> dict[str, Step]:
        return {"standing": self._status_round, "hearing": self._deafness_monitor.run_round}

    def routes(self) -> list[Route]:
        return []

    def paths(self) -> dict[str, Handler]:
        return {}

    # --- status of nodes --------------------------------------------------------------------
    async def _status_round(self) -> None:
        self._broadcast_status()
        self._zone_monitor.observe()
        if self._renewing and decide.proxy_refusal(self._local_node()):
            self._set_renewing(False)
        await asyncio.sleep(z.STATUS_INTERVAL_S)

    def _broadcast_status(self) -> None:
        now = self._broadcast_at = self._clock.now()
        served = self._store.client.failing_s() < c.SHUT_OUT_S
        if not served:
            self._unserved_at = now
        # If the view does not have this incarnation of the node, the loaded copy is older.
        revision = self._replica.revision if self._membership.is_member else 0
        # The observations of a node that hears no machine at all are no evidence about zones.
        observed = self._own_observations()
        shown = {} if losses.hears_nothing(observed) else observed
        status = NodeStatus(now, revision, served, self._stamps, shown)
        self._siblings.broadcast(NODE_STATUS, pack(status))

    def _on_status(self, sender: str, payload: bytes) -> None:
        status = unpack(payload)
        now = self._clock.now()
        self._stamps[sender] = status.stamp
        self._peer_seen[sender] = (now, status.seen)
        if status.served:
            self._served_at[sender] = now
        contact = self._contacts[sender]
        contact.revision = status.revision
        echo = status.echoes.get(self._membership.me)
        if echo is not None and echo <= now:
            contact.acknowledge(echo, now)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "view":
            view = self._replica.view
            for node, contact in self._contacts.items():
                contact.apply_view(node in view.members, view.epoch, self._clock.now())
        elif kind == "job":
            job = self._replica.jobs.get(name)
            over = job is not None and job.bound and job.is_cancelled
            # The node that cancelled the job waits for this revision. One broadcast covers all
            # changes of one watch.
            if over and self._clock.now() - self._broadcast_at >= c.WATCH_SPACING_S / 2:
                self._broadcast_status()

    def _own_observations(self) -> SilenceCounts:
        """How many of this node's machines are silent, and known, in each zone."""
        return count_silent(list(self._machines.values()), self._clock.now(), self._times.report_s)

    def peer_observations(self) -> list[SilenceCounts]:
        now = self._clock.now()
        return [found for at, found in self._peer_seen.values() if now - at < c.HEARD_NOW_S]

    # --- proxy renewal ----------------------------------------------------------------------
    def _local_node(self) -> decide.LocalNode:
        now = self._clock.now()
        heard = self._siblings.silence_s()
        informed_peer_silence_s = min(
            (
                now - self._served_at.get(node, -1e9) if contact.zone == self._zone else heard[node]
                for node, contact in self._contacts.items()
            ),
            default=1e9,
        )
        return decide.LocalNode(
            self._zone,
            self._membership.epoch,
            self._replica.loaded and self._membership.is_member,
            self._all_enabled(),
            now - self._store.fresh_as_of,
            informed_peer_silence_s,
        )

    def _all_enabled(self) -> bool:
        return self._membership.all_enable("zones", z.FORMAT)

    def renews_for_owner(self, report: m.Report) -> bool:
        node = self._local_node()
        reported = {task.task.rpartition("/")[0] for task in report.tasks}
        cancelled = {
            name
            for name in reported
            if (job := self._replica.jobs.get(name)) is not None and job.is_cancelled
        } | (reported & self._membership.relayed_cancellations())
        epoch = report.token >> c.EPOCH_SHIFT
        why = decide.renewal_refusal(node, report.zone, epoch, reported, cancelled)
        if why:
            log.debug("lease of machine %s is not renewed: %s", report.machine, why)
            return False
        self._set_renewing(True)
        self._renewals_count.inc()
        return True

    def _set_renewing(self, renewing: bool) -> None:
        if renewing != self._renewing:
            self._renewing = renewing
            self._renewing_gauge.set(renewing)
            log.info(
                "%s leases of other nodes' machines in isolated zone %s",
                "renewing" if renewing else "stopped renewing",
                self._zone,
            )

    def may_renew_while_stale(self, zone: str) -> bool:
        return zone == self._zone and not decide.stale_renewal_refusal(self._local_node())

    # --- lease expiry, cancellations and returns ----------------------------------------------
    def no_peer_renewed(self, tracked: TrackedMachine) -> bool:
        lease_s = self._times.lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
        return decide.no_peer_renewed(
            [contact for contact in self._contacts.values() if contact.zone == tracked.zone],
            self._zone,
            self._unserved_at,
            tracked.seen_token >> c.EPOCH_SHIFT,
            lease_s,
            self._clock.now(),
        )

    def defers_cancellations(self) -> bool:
        return True

    def may_confirm_cancel(self, job: Job) -> bool:
        if not self._membership.known_as_member():
            return False
        # A machine without a record was returned with all its tasks. Its zone is unknown, so
        # that every peer must know the cancellation until its bindings are removed.
        zones = {self._replica.zone_of.get(task.machine) for _, task in job.bindings()}
        if self._replica.revision < job.version:
            zones.add(None)  # bindings written just before the cancellation may be missing here
        peers = [
            contact
            for node, contact in self._contacts.items()
            if (contact.zone in zones or None in zones)
            and self._replica.node_features.get(node, {}).get("zones")
        ]
        return decide.may_confirm_cancel(peers, job.version)

    async def wait_until_confirmable(self, job: Job) -> bool:
        deadline = self._clock.now() + z.CANCEL_CONFIRM_TIMEOUT_S
        while not self.may_confirm_cancel(job):
            if self._clock.now() >= deadline:
                self._unconfirmed_count.inc()
                return False
            await asyncio.sleep(z.CANCEL_CONFIRM_POLL_S)
        return True

    def fleet_leader_decides(self) -> bool:
        return self._all_enabled()

    def machines_to_return(self) -> dict[str, str]:
        return self._zone_monitor.machines_to_return()

    def excluded_zones(self) -> set[str]:
        return self._zone_monitor.excluded_zones()
