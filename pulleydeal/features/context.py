"""What features may use of the node, typed; the node and its slices know no feature."""

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
    def loops(self) -> dict[str, Step]:
        """Steps that the node runs for ever, by name."""

    def routes(self) -> "list[Route]":
        """What operators may ask of it."""

    def paths(self) -> dict[str, Handler]:
        """What it answers beside the users' paths, by the first part of the path."""

    async def start(self) -> None:
        """Called once, before the loops."""


@dataclass(frozen=True, slots=True)
class FeatureContext:
    """What is there before the slices that work with machines and users are built."""

    membership: Membership
    siblings: Siblings
    store: Store
    clock: Clock
    metrics: Metrics
    deployment: Deployment
    machines: dict[str, TrackedMachine]  # machines that this node owns

    @property
    def replica(self) -> Replica:
        return self.store.replica


@dataclass(frozen=True, slots=True)
class Service(FeatureContext):
    """The whole node, for what stands on it."""

    teams: dict[str, Team]
    zones: list[str]
    partition_policy: PartitionPolicy
    ready: Callable[[], bool]  # whether users are answered here
    reason: Callable[[str], str]  # why a job's tasks wait
    journal: Journal
