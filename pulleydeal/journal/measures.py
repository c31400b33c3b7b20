"""What operators see of the journals."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class Measures:
    def __init__(self, registry: CollectorRegistry, values: Callable[[], int]) -> None:
        self._facts = Counter(
            "pulleydeal_journal_facts", "Facts of tasks made durable here", registry=registry
        )
        self._changes = Counter(
            "pulleydeal_journal_changes", "Changes that they took", registry=registry
        )
        kept = Gauge(
            "pulleydeal_journal_values",
            "Journal values that are kept, of all nodes",
            registry=registry,
        )
        kept.set_function(values)

    def appended(self, facts: int, changes: int) -> None:
        self._facts.inc(facts)
        self._changes.inc(changes)
