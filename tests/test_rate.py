"""Order of writes under a limited rate, and that none starves; run on a virtual clock."""

import asyncio

import pytest

from pulleydeal import constants as c
from pulleydeal.settings import NextLimits, StateLimits
from pulleydeal.store.client import StateClient
from pulleydeal.store.rate import TokenBucket, WritePriority, WriteScheduler
from standins.script import LoopClock, virtually


def test_large_write_is_not_starved_by_small_ones() -> None:
    order: list[str] = []

    async def work(clock: LoopClock) -> None:
        rate = TokenBucket(10.0, clock)
        scheduler = WriteScheduler(rate, clock)

        async def write(name: str, changes: int) -> None:
            await scheduler.wait(WritePriority.NORMAL)
            rate.spend(changes)
            order.append(name)

        rate.spend(10)
        small = [write(f"small {i}", 1) for i in range(20)]
        await asyncio.gather(*small[:3], write("large", 8), *small[3:])
        assert order.index("large") == 3
        assert clock.now() == pytest.approx(2.8, abs=0.3)  # 28 changes at 10 a second

    virtually(work)


def test_user_writes_go_first_and_background_writes_are_not_starved() -> None:
    order: list[str] = []

    async def work(clock: LoopClock) -> None:
        rate = TokenBucket(4.0, clock)
        scheduler = WriteScheduler(rate, clock)

        async def write(name: str, priority: WritePriority) -> None:
            await scheduler.wait(priority)
            rate.spend(1)
            order.append(name)

        rate.spend(4)
        works = [write(f"work {i}", WritePriority.NORMAL) for i in range(60)]
        waiting = asyncio.gather(write("sweep", WritePriority.BACKGROUND), *works)
        await asyncio.sleep(1.1)
        await write("user", WritePriority.URGENT)
        assert len(order) <= 6 and order[-1] == "user"
        await waiting
        assert 0 < order.index("sweep") < c.WRITE_STARVATION_S * 4 + 4

    virtually(work)


def test_announced_write_rate_applies_after_repeated_refusals() -> None:
    class Clock:
        at = 0.0

        def now(self) -> float:
            return self.at

        wall = now

    clock = Clock()
    limits = StateLimits(200.0, 90.0, 8.0, 24, NextLimits(45.0, None, None))
    client = StateClient("127.0.0.1:1", clock, limits, 3)
    for _ in range(c.REFUSED_WRITES * 3):
        client._record_refused_write()
        clock.at += c.REFUSED_WRITES_S  # single refusals, each in a window of its own
    assert client._write_rps == pytest.approx(90.0 * c.WRITE_SHARE)
    for _ in range(c.REFUSED_WRITES):
        clock.at += 0.2
        client._record_refused_write()
    assert client._write_rps == pytest.approx(45.0 * c.WRITE_SHARE)
    without_announcement = StateClient("127.0.0.1:1", clock, StateLimits(200.0, 90.0, 8.0, 24), 3)
    for _ in range(c.REFUSED_WRITES):
        without_announcement._record_refused_write()
    assert without_announcement._write_rps == pytest.approx(90.0 * c.WRITE_SHARE)
