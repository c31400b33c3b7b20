"""Budgets by the second, and who may spend next when there is less than all want."""

import asyncio
from collections import deque
from enum import IntEnum

from pulleydeal import constants as c
from pulleydeal.clock import Clock


class Turn(IntEnum):
    """Whose writes go first when the state service takes fewer than there are."""

    FIRST = 0  # what users wait for, and who is a member: few, and may overdraw a little
    WORK = 1  # bindings, ends, stops: in the order of coming
    LATER = 2  # what nobody waits for; after a while it has its turn all the same


class Rate:
    """A token bucket for one kind of budget; urgent callers may overdraw a little."""

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._per_s = per_s
        self._clock = clock
        self._have = per_s
        self._at = clock.now()

    def set(self, per_s: float) -> None:
        self._per_s = per_s

    def _refill(self) -> None:
        now = self._clock.now()
        self._have = min(self._per_s, self._have + (now - self._at) * self._per_s)
        self._at = now

    def _floor(self, urgent: bool) -> float:
        return -self._per_s / 2 if urgent else 0.0

    def take(self, amount: float, urgent: bool) -> float:
        """Takes `amount` and returns 0, or takes nothing and returns how long to wait."""
        self._refill()
        floor = self._floor(urgent)
        if self._have - amount >= floor or self._have >= self._per_s:
            self._have -= amount
            return 0.0
        return max(c.WRITE_LOOK_MIN_S, (floor + amount - self._have) / self._per_s)

    def pause(self, urgent: bool) -> float:
        """How long until something may be spent."""
        self._refill()
        short = self._floor(urgent) + 1.0 - self._have
        return max(c.WRITE_LOOK_MIN_S, short / self._per_s) if short > 0 else 0.0

    def wait_s(self, ahead: int) -> float:
        """How long an urgent spender of one waits behind `ahead` others like it."""
        self._refill()
        return max(0.0, (self._floor(True) + 1.0 + ahead - self._have) / self._per_s)

    @property
    def per_s(self) -> float:
        return self._per_s

    def spend(self, amount: float) -> None:
        """Takes `amount` whatever is left; those who come next wait until it is paid back."""
        self._refill()
        self._have -= amount


class WriteScheduler:
    """Lets writers through one by one, as the budget allows; what it costs is known only then.

    Each works out what to write when its turn comes, so that all that has gathered goes into one
    transaction. When writers polled the budget instead, those that needed more at once never
    found enough: arrays of seven chunks waited minutes for a binding.
    """

    def __init__(self, rate: Rate, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._waiting: dict[Turn, deque[tuple[float, asyncio.Future[None]]]] = {
            turn: deque() for turn in Turn
        }
        self._pump: asyncio.Task[None] | None = None
        self._last = Turn.WORK

    async def wait(self, turn: Turn) -> None:
        """Returns when it is the caller's turn; it spends before it awaits anything else."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[turn].append((self._clock.now(), future))
        if self._pump is None or self._pump.done():
            self._pump = asyncio.ensure_future(self._run())
        await future

    def _next(self) -> Turn | None:
        later = self._waiting[Turn.LATER]
        if later and self._clock.now() - later[0][0] > c.WRITE_PATIENCE_S:
            return Turn.LATER
        # A crowd of users always has one who waits: without every second turn nothing that
        # they submitted would start while it lasts.
        if self._work_starves() and self._last is Turn.FIRST:
            return Turn.WORK
        return next((turn for turn, queue in self._waiting.items() if queue), None)

    def _work_starves(self) -> bool:
        work = self._waiting[Turn.WORK]
        return bool(work) and self._clock.now() - work[0][0] > c.WRITE_PATIENCE_S

    def first_wait_s(self) -> float:
        """How long a writer that goes first would wait if it came now."""
        wait = self._rate.wait_s(len(self._waiting[Turn.FIRST]))
        return 2 * wait if self._work_starves() else wait

    async def _run(self) -> None:
        while (turn := self._next()) is not None:
            pause = self._rate.pause(turn is Turn.FIRST)
            if pause > 0:
                await asyncio.sleep(min(pause, c.WRITE_LOOK_S))  # one that goes first may come
                continue
            _, future = self._waiting[turn].popleft()
            if not future.done():
                self._last = turn
                future.set_result(None)
                await asyncio.sleep(0)  # it spends now, before the next is let through
