"""Keeps a cut-off zone's leases from inside, holds untold what could not be kept, and says what
is given back of a zone that stays out of sight."""

import asyncio
import logging

from prometheus_client import Counter, Gauge

from pulleydeal import constants as c
from pulleydeal.features.context import FeatureContext, Handler, Step
from pulleydeal.features.routes import Route
from pulleydeal.store.job import Job
from pulleydeal.workers import messages as m
from pulleydeal.workers.keeping import Keeping
from pulleydeal.workers.reachability import Seen, seen
from pulleydeal.workers.station import Station
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide, losses
from pulleydeal.zones.hearing import Hearing
from pulleydeal.zones.messages import STANDING, Standing, pack, unpack
from pulleydeal.zones.watch import Watch

log = logging.getLogger("pulleydeal.zones")


class Zones(Keeping):
    def __init__(self, context: FeatureContext) -> None:
        self._membership = context.membership
        self._siblings = context.siblings
        self._store = context.store
        self._replica = context.replica
        self._clock = context.clock
        self._times = context.deployment.workers
        self._stations = context.stations
        me = self._membership.me
        self._zone = self._membership.zone_of(me)
        now = self._clock.now()
        self._contacts = {
            node: decide.Contact(self._membership.zone_of(node), now, -1e9)
            for node in self._membership.nodes()
            if node != me
        }
        self._stamps: dict[str, float] = {}  # sibling -> the last stamp that was heard of it
        self._served_at: dict[str, float] = {}  # sibling -> when it last said that it is served
        self._seen: dict[str, tuple[float, Seen]] = {}  # sibling -> when, and what it saw
        self._unserved_at = now  # when the state service last did not answer this node
        self._said_at = -1e9
        self._keeping = False
        registry = context.metrics.registry
        self._kept = Counter(
            "pulleydeal_leases_kept",
            "Check-ins of others' machines answered in a cut-off zone",
            registry=registry,
        )
        self._untold = Counter(
            "pulleydeal_cancellations_untold",
            "Answers put off as a node out of reach may keep a cancelled task",
            registry=registry,
        )
        self._keeps_zone = Gauge(
            "pulleydeal_keeps_zone",
            "1 while this node keeps its zone's leases from inside a cut",
            registry=registry,
        )
        if decide.fits(self._times.lease_s, self._times.cancel_s):
            self._membership.serves["zones"] = z.FORMAT
        else:
            # Not shown, so nobody keeps; cancellations are still told only when they can be kept.
            log.error(
                "zones: off: a lease of %g s leaves no time for a cancellation's %g s",
                self._times.lease_s,
                self._times.cancel_s,
            )
        self._watch = Watch(context, self._contacts, self.others_see, self.may_tell)
        self._hearing = Hearing(context, self.others_see, self._all_on)
        self._siblings.on(STANDING, self._on_standing)
        self._replica.listen(self._on_change)

    # --- the feature's face to the node -----------------------------------------------------
    async def start(self) -> None:
        """Nothing to open: it speaks over the links that the node has."""

    def loops(self) -> dict[str, Step]:
        return {"standing": self._tell, "hearing": self._hearing.work}

    def routes(self) -> list[Route]:
        return []

    def paths(self) -> dict[str, Handler]:
        return {}

    # --- how nodes stand --------------------------------------------------------------------
    async def _tell(self) -> None:
        self._say()
        self._watch.look()
        if self._keeping and decide.keeps_nothing(self._self()):
            self._show(False)
        await asyncio.sleep(z.STANDING_S)

    def _say(self) -> None:
        now = self._said_at = self._clock.now()
        served = self._store.client.failing_s() < c.SHUT_OUT_S
        if not served:
            self._unserved_at = now
        # An older copy was loaded, if this start of the node is not the one in the view.
        revision = self._replica.revision if self._membership.is_member else 0
        # What a node sees that hears nothing at all says nothing of the zones.
        mine = self._mine()
        shown = {} if losses.hears_nothing(mine) else mine
        standing = Standing(now, revision, served, self._stamps, shown)
        self._siblings.broadcast(STANDING, pack(standing))

    def _on_standing(self, sender: str, payload: bytes) -> None:
        standing = unpack(payload)
        now = self._clock.now()
        self._stamps[sender] = standing.stamp
        self._seen[sender] = (now, standing.seen)
        if standing.served:
            self._served_at[sender] = now
        contact = self._contacts[sender]
        contact.revision = standing.revision
        echo = standing.echoes.get(self._membership.me)
        if echo is not None and echo <= now:
            contact.heard(echo, now)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "view":
            view = self._replica.view
            for node, contact in self._contacts.items():
                contact.view(node in view.members, view.epoch, self._clock.now())
        elif kind == "job":
            job = self._replica.jobs.get(name)
            over = job is not None and job.bound and job.is_cancelled
            # Whoever cancelled it waits to hear this; one message goes for all of one watch.
            if over and self._clock.now() - self._said_at >= c.WATCH_SPACING_S / 2:
                self._say()

    def _mine(self) -> Seen:
        """How many of this node's own machines are quiet, and known, in each zone."""
        return seen(list(self._stations.values()), self._clock.now(), self._times.report_s)

    def others_see(self) -> list[Seen]:
        now = self._clock.now()
        return [found for at, found in self._seen.values() if now - at < c.HEARD_NOW_S]

    # --- keeping ----------------------------------------------------------------------------
    def _self(self) -> decide.Self:
        now = self._clock.now()
        heard = self._siblings.heard_s()
        unheard_s = min(
            (
                now - self._served_at.get(node, -1e9) if contact.zone == self._zone else heard[node]
                for node, contact in self._contacts.items()
            ),
            default=1e9,
        )
        return decide.Self(
            self._zone,
            self._membership.epoch,
            self._replica.loaded and self._membership.is_member,
            self._all_on(),
            now - self._store.current_at,
            unheard_s,
        )

    def _all_on(self) -> bool:
        return self._membership.all_serve("zones", z.FORMAT)

    def keeps(self, report: m.Report) -> bool:
        me = self._self()
        named = {task.task.rpartition("/")[0] for task in report.tasks}
        cancelled = {
            name
            for name in named
            if (job := self._replica.jobs.get(name)) is not None and job.is_cancelled
        } | (named & self._membership.relayed_cancels())
        epoch = report.token >> c.EPOCH_SHIFT
        why = decide.refuses_to_keep(me, report.zone, epoch, named, cancelled)
        if why:
            log.debug("machine %s is not kept: %s", report.machine, why)
            return False
        self._show(True)
        self._kept.inc()
        return True

    def _show(self, keeping: bool) -> None:
        if keeping != self._keeping:
            self._keeping = keeping
            self._keeps_zone.set(keeping)
            log.info(
                "%s the leases of zone %s from inside",
                "keeps" if keeping else "keeps no more",
                self._zone,
            )

    def bears_blindness(self, zone: str) -> bool:
        return zone == self._zone and not decide.knows_too_little(self._self())

    # --- what follows for all others ----------------------------------------------------------
    def alone(self, station: Station) -> bool:
        lease_s = self._times.lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
        return decide.lease_proves(
            [k for k in self._contacts.values() if k.zone == station.zone],
            self._zone,
            self._unserved_at,
            station.seen_token >> c.EPOCH_SHIFT,
            lease_s,
            self._clock.now(),
        )

    def holds_back(self) -> bool:
        return True

    def may_tell(self, job: Job) -> bool:
        if not self._membership.known_as_member():
            return False
        # A machine whose record is gone was given back, with all that was on it; it counts until
        # its bindings are taken back all the same.
        zones = {self._replica.zone_of.get(task.machine) for _, task in job.bindings()}
        if self._replica.revision < job.version:
            zones.add(None)  # bindings written just before it may not be seen yet
        neighbours = [
            k
            for node, k in self._contacts.items()
            if (k.zone in zones or None in zones) and self._replica.shown.get(node, {}).get("zones")
        ]
        return decide.may_tell(neighbours, job.version)

    async def comes_to_be_told(self, job: Job) -> bool:
        until = self._clock.now() + z.TELL_WAIT_S
        while not self.may_tell(job):
            if self._clock.now() >= until:
                self._untold.inc()
                return False
            await asyncio.sleep(z.TELL_LOOK_S)
        return True

    def watched_over(self) -> bool:
        return self._all_on()

    def owed(self) -> dict[str, str]:
        return self._watch.owed()

    def distrusted(self) -> set[str]:
        return self._watch.distrusted()
