"""Switches the journal on for jobs that are accepted from now on (`[journal]`)."""

from pulleydeal.features.context import Handler, Service, Step
from pulleydeal.features.routes import Route
from pulleydeal.journal.measures import Measures
from pulleydeal.journal.service import FEATURE, FORMAT, Journal


class JournalFeature:
    """Every node writes the journals of journaled jobs; this one lets there be such jobs."""

    def __init__(self, service: Service, journal: Journal) -> None:
        journal.is_on = True
        service.membership.serves[FEATURE] = FORMAT
        journal.measures = Measures(service.metrics.registry, lambda: len(service.replica.journals))

    def loops(self) -> dict[str, Step]:
        return {}

    def routes(self) -> list[Route]:
        return []

    def paths(self) -> dict[str, Handler]:
        return {}

    async def start(self) -> None:
        """Nothing: the journal itself runs on every node."""
