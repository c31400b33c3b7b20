"""Rate limiting: a token bucket, and a scheduler that orders writes by priority."""

import asyncio
from collections import deque
from enum import IntEnum

from pulleydeal import constants as c
from pulleydeal.clock import Clock


class WritePriority(IntEnum):
    """Priority of a write; lower values go first when the write rate is exhausted."""

    URGENT = 0  # user requests and membership: few, and may overdraw a little
    NORMAL = 1  # bindings, task ends and stops, in order of arrival
    BACKGROUND = 2  # background writes; they go first once they have waited WRITE_STARVATION_S


class TokenBucket:
    """A token bucket that holds at most one second's tokens; urgent callers may overdraw it."""

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_at = clock.now()

    def set(self, per_s: float) -> None:
        self._per_s = per_s

    def _refill(self) -> None:
        now = self._clock.now()
        self._tokens = min(self._per_s, self._tokens + (now - self._refilled_at) * self._per_s)
        self._refilled_at = now

    def _min_tokens(self, urgent: bool) -> float:
        return -self._per_s / 2 if urgent else 0.0

    def take(self, amount: float, urgent: bool) -> float:
        """Takes `amount` tokens and returns 0, or takes none and returns the seconds to wait.

        A full bucket grants any amount.
        """
        self._refill()
        min_tokens = self._min_tokens(urgent)
        if self._tokens - amount >= min_tokens or self._tokens >= self._per_s:
            self._tokens -= amount
            return 0.0
        return max(c.RATE_SLEEP_MIN_S, (min_tokens + amount - self._tokens) / self._per_s)

    def pause(self, urgent: bool) -> float:
        """Seconds until one token may be spent."""
        self._refill()
        missing = self._min_tokens(urgent) + 1.0 - self._tokens
        return max(c.RATE_SLEEP_MIN_S, missing / self._per_s) if missing > 0 else 0.0

    def wait_s(self, ahead: int) -> float:
        """Seconds until an urgent caller may spend one token after `ahead` others have."""
        self._refill()
        return max(0.0, (self._min_tokens(True) + 1.0 + ahead - self._tokens) / self._per_s)

    @property
    def per_s(self) -> float:
        return self._per_s

    def spend(self, amount: float) -> None:
        """Takes `amount` tokens unconditionally; later callers wait until the debt is repaid."""
        self._refill()
        self._tokens -= amount


class WriteScheduler:
    """Admits writers one at a time as the write rate allows; each is charged once admitted.

    A writer builds its transaction when admitted, so that all changes gathered by then share it
    and only then is its cost known. When writers polled the bucket instead, those that needed
    several tokens at once never found enough: arrays of seven chunks waited minutes for a binding.
    """

    def __init__(self, rate: TokenBucket, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._queues: dict[WritePriority, deque[tuple[float, asyncio.Future[None]]]] = {
            priority: deque() for priority in WritePriority
        }
        self._dispatcher: asyncio.Task[None] | None = None
        self._last_priority = WritePriority.NORMAL

    async def wait(self, priority: WritePriority) -> None:
        """Returns when the caller is admitted. It must spend before awaiting anything else."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queues[priority].append((self._clock.now(), future))
        if self._dispatcher is None or self._dispatcher.done():
            self._dispatcher = asyncio.ensure_future(self._dispatch())
        await future

    def _next_priority(self) -> WritePriority | None:
        background = self._queues[WritePriority.BACKGROUND]
        if background and self._clock.now() - background[0][0] > c.WRITE_STARVATION_S:
            return WritePriority.BACKGROUND
        # Under heavy user load an URGENT write is always waiting. Without every second turn for
        # NORMAL, no submitted task would start while the load lasts.
        if self._is_normal_starved() and self._last_priority is WritePriority.URGENT:
            return WritePriority.NORMAL
        return next((priority for priority, queue in self._queues.items() if queue), None)

    def _is_normal_starved(self) -> bool:
        queue = self._queues[WritePriority.NORMAL]
        return bool(queue) and self._clock.now() - queue[0][0] > c.WRITE_STARVATION_S

    def urgent_wait_s(self) -> float:
        """How long an URGENT writer that came now would wait."""
        wait = self._rate.wait_s(len(self._queues[WritePriority.URGENT]))
        return 2 * wait if self._is_normal_starved() else wait

    async def _dispatch(self) -> None:
        while (priority := self._next_priority()) is not None:
            pause = self._rate.pause(priority is WritePriority.URGENT)
            if pause > 0:
                await asyncio.sleep(min(pause, c.WRITE_RECHECK_S))  # an URGENT one may come
                continue
            _, future = self._queues[priority].popleft()
            if not future.done():
                self._last_priority = priority
                future.set_result(None)
                await asyncio.sleep(0)  # it spends now, before the next one is admitted
