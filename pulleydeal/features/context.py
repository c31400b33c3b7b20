"""The interface between the node and its features. Core packages do not depend on features."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from pulleydeal.clock import Clock
from pulleydeal.http import Request, Response
from pulleydeal.journal.service import Journal
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Deployment, Team
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.tracked_machine import TrackedMachine

if TYPE_CHECKING:
    from pulleydeal.features.routes import Route

Handler = Callable[[Request], Coroutine[Any, Any, Response]]
Step = Callable[[], Coroutine[Any, Any, None]]


class Feature(Protocol):
    """A part of the node that can be enabled separately."""

    def loops(self) -> dict[str, Step]:
        """Steps that the node repeats for as long as it runs, by name."""

    def routes(self) -> "list[Route]":
        """Its routes in the operators' interface."""

    def paths(self) -> dict[str, Handler]:
        """Handlers for additional paths on the users' port, by first path segment."""

    async def start(self) -> None:
        """Called once, before the loops start."""


@dataclass(frozen=True, slots=True)
class FeatureContext:
    """The services that exist before those that handle machines and users are built."""

    membership: Membership
    siblings: Siblings
    store: Store
    clock: Clock
    metrics: Metrics
    deployment: Deployment
    machines: dict[str, TrackedMachine]  # by name, for the machines that this node owns

    @property
    def replica(self) -> Replica:
        return self.store.replica


@dataclass(frozen=True, slots=True)
class NodeContext(FeatureContext):
    """All services of the node that features may use."""

    teams: dict[str, Team]
    zones: list[str]
    partition_policy: PartitionPolicy
    ready: Callable[[], bool]  # whether this node serves users
    reason: Callable[[str], str]  # job id -> why its tasks wait
    journal: Journal
