"""An open-loop load generator: each request is sent when due, however many are outstanding.

Latency is measured from the time at which a request was due, so that a stalled service cannot hide
its delay by slowing the generator (coordinated omission).
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pulleydeal.clock import Clock

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as one minute
SIGNIFICANT_DIGITS = 3  # of recorded values

# Sends the n-th request and returns its outcome, which is counted ("201", "503", ...).
Send = Callable[[int], Awaitable[str]]


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record_latency(latencies: HdrHistogram, seconds: float) -> None:
    latencies.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))


def quantile_ms(latencies: HdrHistogram, percentile: float) -> float:
    """Returns 0 if nothing was recorded."""
    return (
        float(latencies.get_value_at_percentile(percentile)) / 1000
        if latencies.total_count
        else 0.0
    )


@dataclass
class LoadResult:
    """Outcome counts and latencies of one load phase."""

    seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    by_outcome: dict[str, HdrHistogram] = field(default_factory=dict)
    all: HdrHistogram = field(default_factory=histogram)
    max_send_delay_s: float = 0.0  # above a few ms the generator itself is the bottleneck

    def rate(self, outcome: str) -> float:
        return self.counts[outcome] / self.seconds if self.seconds else 0.0

    def ms(self, percentile: float, outcome: str | None = None) -> float:
        latencies = self.all if outcome is None else self.by_outcome.get(outcome)
        return quantile_ms(latencies, percentile) if latencies is not None else 0.0


async def generate_load(
    send: Send, rate_per_s: float, duration_s: float, clock: Clock, rng: random.Random
) -> LoadResult:
    """Sends requests with Poisson arrivals for `duration_s` and waits for all answers."""
    result = LoadResult(seconds=duration_s)
    started = clock.now()

    async def send_one(number: int, due: float) -> None:
        result.max_send_delay_s = max(result.max_send_delay_s, clock.now() - due)
        outcome = await send(number)
        latency_s = clock.now() - due
        result.counts[outcome] += 1
        record_latency(result.all, latency_s)
        record_latency(result.by_outcome.setdefault(outcome, histogram()), latency_s)

    running: set[asyncio.Task[None]] = set()
    due, number = started, 0
    while (due := due + rng.expovariate(rate_per_s)) < started + duration_s:
        wait = due - clock.now()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.ensure_future(send_one(number, due))
        running.add(task)
        task.add_done_callback(running.discard)
        number += 1
    await asyncio.gather(*running)
    return result
