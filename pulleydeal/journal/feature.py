"""Enables journaling for newly accepted jobs (section `[journal]` of features.toml)."""

from pulleydeal.features.context import Handler, NodeContext, Step
from pulleydeal.features.routes import Route
from pulleydeal.journal.metrics import JournalMetrics
from pulleydeal.journal.service import FEATURE, FORMAT, Journal


class JournalFeature:
    """Allows new jobs to be journaled. Jobs that already are remain journaled on every node."""

    def __init__(self, service: NodeContext, journal: Journal) -> None:
        journal.enabled = True
        service.membership.serves[FEATURE] = FORMAT
        journal.metrics = JournalMetrics(
            service.metrics.registry, lambda: len(service.replica.journals)
        )

    def loops(self) -> dict[str, Step]:
        return {}

    def routes(self) -> list[Route]:
        return []

    def paths(self) -> dict[str, Handler]:
        return {}

    async def start(self) -> None:
        """Does nothing: the journal itself runs on every node."""
