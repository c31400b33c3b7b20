"""Builds the services of a node and runs their loops."""

import asyncio
import logging
import random

from pulleydeal import __version__, rules
from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.service import Credits
from pulleydeal.features.context import FeatureContext, NodeContext, Step
from pulleydeal.features.settings import Features
from pulleydeal.features.switch import create_features, create_partition_policy
from pulleydeal.fleet.catalog import CatalogUpdater
from pulleydeal.fleet.cloud import Cloud
from pulleydeal.fleet.service import Fleet
from pulleydeal.http import Request, Response, Server, json_response
from pulleydeal.journal.service import Journal
from pulleydeal.lateness import LoopLag, Precedence
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.placement.service import Placement
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Settings
from pulleydeal.store.client import StateClient
from pulleydeal.store.limits import effective_limits
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Backoff, Store, forever
from pulleydeal.submissions.service import Submissions
from pulleydeal.workers.eviction import Eviction
from pulleydeal.workers.service import Workers
from pulleydeal.workers.tracked_machine import TrackedMachine

log = logging.getLogger("pulleydeal")


class App:
    """One controller node."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        policy: Policy | None = None,
        features: Features | None = None,
    ) -> None:
        policy, features = policy or Policy(), features or Features()
        deployment = settings.deployment
        nodes = 1 + len(settings.siblings)
        limits = deployment.state
        self._settings = settings
        self.metrics = Metrics()
        self.lateness = LoopLag(clock)
        self.client = StateClient(settings.endpoints.state, clock, limits, nodes)
        self.replica = Replica()
        self.store = Store(self.client, self.replica, clock, rng, effective_limits(limits))
        self.siblings = Siblings(settings, clock)
        self.membership = Membership(settings, self.store, self.siblings, clock, rng)
        self.journal = self.store.journal = Journal(self.membership, self.store, Backoff(rng))
        teams, zones = settings.teams, deployment.zones
        machines: dict[str, TrackedMachine] = {}
        context = FeatureContext(
            self.membership, self.siblings, self.store, clock, self.metrics, deployment, machines
        )
        partition_policy, early_features = create_partition_policy(features, context)
        self.workers = Workers(
            self.membership,
            self.store,
            deployment.workers,
            clock,
            self.metrics,
            machines,
            partition_policy,
        )
        self.eviction = Eviction(
            self.membership,
            self.store,
            deployment.workers,
            clock,
            machines,
            self.workers.commander,
            partition_policy,
            rules.classes_with_objective(deployment.objectives),
        )
        self.credits = Credits(
            self.membership,
            self.siblings,
            self.replica,
            self.workers,
            self.eviction,
            teams,
            deployment.objectives,
            clock,
            self.metrics,
        )
        self.placement = Placement(
            self.membership,
            self.siblings,
            self.store,
            teams,
            zones,
            deployment.objectives,
            clock,
            self.metrics,
            policy,
        )
        cloud = Cloud(settings.endpoints.cloud, clock, deployment.cloud.rps)
        self.catalog_updater = CatalogUpdater(self.membership, self.store, cloud, clock)
        self.fleet = Fleet(
            self.membership,
            self.store,
            cloud,
            teams,
            zones,
            deployment.objectives,
            clock,
            limits,
            policy,
            self.eviction.unreachable_zones,
            partition_policy,
        )
        self.submissions = Submissions(
            self.membership,
            self.store,
            teams,
            zones,
            clock,
            self.metrics,
            self.placement.reason,
            partition_policy,
        )
        sockets = int(deployment.machine_limits.max_sockets * c.SOCKET_SHARE_SERVER)
        self.server = Server(
            self.handle,
            sockets,
            throttled_prefix="/submissions",
            max_throttled=self.lateness.max_user_requests,
        )

        service = NodeContext(
            self.membership,
            self.siblings,
            self.store,
            clock,
            self.metrics,
            deployment,
            machines,
            teams,
            zones,
            partition_policy,
            lambda: self.submissions.ready,
            self.placement.reason,
            self.journal,
        )
        self.features = create_features(features, service, early_features)
        self._paths = {
            segment: h for feature in self.features for segment, h in feature.paths().items()
        }

    async def handle(self, request: Request) -> Response:
        path = request.path.partition("?")[0]
        if path == "/checkin":
            if request.method != "POST":
                return json_response(405, {"error": "only POST"})
            return await self.workers.checkin(request)
        if path == "/submissions" or path.startswith("/submissions/"):
            return await self.submissions.handle(request)
        if (handler := self._paths.get(path.split("/")[1])) is not None:
            return await handler(request)
        if request.method != "GET":
            return json_response(404 if path not in ("/up", "/metrics") else 405, {"error": path})
        if path == "/up":
            ready = self.submissions.ready
            return json_response(200 if ready else 503, {"ready": ready})
        if path == "/metrics":
            return Response(200, self._metrics_text(), content_type="text/plain; version=0.0.4")
        return json_response(404, {"error": "no such path"})

    def _metrics_text(self) -> bytes:
        self.metrics.epoch.set(self.membership.epoch)
        self.metrics.store_requests.set(self.client.requests)
        self.metrics.store_refusals.set(self.client.refusals)
        self.metrics.rejected_connections.set(self.siblings.rejected_connections)
        self.metrics.loop_lateness.set(self.lateness.lag_s)
        self.metrics.checkin_age.set(self.workers.oldest_report_s())
        return self.metrics.text()

    def _delayed(self, precedence: Precedence, step: Step) -> Step:
        """Wraps a step so that each round first waits as the event loop's lateness requires."""

        async def delayed_step() -> None:
            pause_s = self.lateness.pause_s(precedence)
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            await step()

        return delayed_step

    def _loops(self) -> dict[str, Step]:
        placement = {"credits": self.credits.work, "placement": self.placement.work}
        upkeep = {
            "catalogue": self.catalog_updater.update,
            "rent": self.fleet.rent,
            "return": self.fleet.return_machines,
            "list": self.fleet.check_listing,
            "journal": self.journal.compact,
        }
        return {
            "lateness": self.lateness.measure,
            "follow": self.store.follow,
            "membership": self.membership.maintain_membership,
            "view": self.membership.maintain_view,
            "beat": self.membership.heartbeat,
            "workers": self.workers.work,
            "machines": self.eviction.run_round,
            **{k: self._delayed(Precedence.PLACEMENT, step) for k, step in placement.items()},
            **{k: self._delayed(Precedence.UPKEEP, step) for k, step in upkeep.items()},
        }

    async def run(self) -> None:
        await self.server.start(self._settings.api_addr)
        await self.siblings.start()
        log.info(
            "pulleydeal %s: node %s in %s listens on %s",
            __version__,
            self._settings.node_name,
            self._settings.zone,
            self._settings.api_addr,
        )
        loops = self._loops()
        loops |= {f"link to {link.name}": link.run for link in self.siblings.links()}
        for feature in self.features:
            await feature.start()
            loops |= feature.loops()
        await asyncio.gather(*(forever(name, step) for name, step in loops.items()))
