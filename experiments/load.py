"""An open-loop load generator: requests leave when they are due, whatever became of others.

Latency counts from the moment at which a request was due, so that a service that stalls can't
hide it by slowing the asker.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pulleydeal.clock import Clock

MOST_US = 60_000_000  # a minute, in microseconds: longer answers count as that
DIGITS = 3  # significant digits that a histogram keeps

# Sends the n-th request; tells what came of it, as a word that is counted ("201", "503", ...).
Send = Callable[[int], Awaitable[str]]


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_US, DIGITS)


def note(into: HdrHistogram, seconds: float) -> None:
    into.record_value(min(MOST_US, max(1, int(seconds * 1e6))))


def quantile_ms(of: HdrHistogram, percent: float) -> float:
    """0 where nothing was recorded."""
    return float(of.get_value_at_percentile(percent)) / 1000 if of.total_count else 0.0


@dataclass
class Result:
    seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    by_word: dict[str, HdrHistogram] = field(default_factory=dict)
    all: HdrHistogram = field(default_factory=histogram)
    late_s: float = 0.0  # the latest departure after its due moment: above some ms we measure us

    def rate(self, word: str) -> float:
        return self.counts[word] / self.seconds if self.seconds else 0.0

    def ms(self, percent: float, word: str | None = None) -> float:
        of = self.all if word is None else self.by_word.get(word)
        return quantile_ms(of, percent) if of is not None else 0.0


async def play(send: Send, per_s: float, for_s: float, clock: Clock, rng: random.Random) -> Result:
    """Poisson arrivals at `per_s` for `for_s` seconds; waits for all answers."""
    result = Result(seconds=for_s)
    began = clock.now()

    async def one(number: int, due: float) -> None:
        result.late_s = max(result.late_s, clock.now() - due)
        word = await send(number)
        took = clock.now() - due
        result.counts[word] += 1
        note(result.all, took)
        note(result.by_word.setdefault(word, histogram()), took)

    running: set[asyncio.Task[None]] = set()
    due, number = began, 0
    while (due := due + rng.expovariate(per_s)) < began + for_s:
        wait = due - clock.now()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.ensure_future(one(number, due))
        running.add(task)
        task.add_done_callback(running.discard)
        number += 1
    await asyncio.gather(*running)
    return result
