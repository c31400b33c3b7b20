"""Prometheus metrics of the journal."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class JournalMetrics:
    def __init__(self, registry: CollectorRegistry, count_values: Callable[[], int]) -> None:
        self._facts = Counter(
            "pulleydeal_journal_facts", "Facts of tasks made durable here", registry=registry
        )
        self._values_written = Counter(
            "pulleydeal_journal_changes", "Changes that they took", registry=registry
        )
        values_gauge = Gauge(
            "pulleydeal_journal_values",
            "Journal values that are kept, of all nodes",
            registry=registry,
        )
        values_gauge.set_function(count_values)

    def appended(self, facts: int, values_written: int) -> None:
        self._facts.inc(facts)
        self._values_written.inc(values_written)
