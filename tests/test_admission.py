"""Overload: writes that can't be made in time are refused at once, with spread retry times."""

import asyncio
from collections import Counter

from pulleydeal import constants as c
from pulleydeal.store.rate import TokenBucket, WritePriority, WriteScheduler
from pulleydeal.submissions.admission import Admission
from standins.script import LoopClock, virtually


def test_writes_are_admitted_up_to_the_longest_wait() -> None:
    admission = Admission()
    assert admission.retry_after_s(0.0, 0.0, 20.0) is None
    assert admission.retry_after_s(0.0, c.MAX_QUEUE_WAIT_S, 20.0) is None
    assert admission.retry_after_s(0.0, c.MAX_QUEUE_WAIT_S + 0.1, 20.0) == 1


def test_retry_times_follow_the_write_rate() -> None:
    admission = Admission()
    delays = Counter(admission.retry_after_s(100.0, 1.0, 20.0) for _ in range(200))
    assert set(delays) == set(range(2, 12)) | {12} or set(delays) == set(range(2, 12))
    assert max(delays.values()) <= 21  # the writes of one second, and one more by rounding


def test_retries_beyond_the_longest_delay_are_spread_over_its_second_half() -> None:
    admission = Admission()
    delays = [admission.retry_after_s(0.0, 1.0, 10.0) or 0 for _ in range(2000)]
    late = Counter(delays[400:])
    assert max(delays) <= c.MAX_RETRY_AFTER_S and min(late) >= c.MAX_RETRY_AFTER_S / 2
    assert max(late.values()) < 1.3 * 1600 / (c.MAX_RETRY_AFTER_S / 2)


def test_a_burst_is_admitted_at_the_write_rate_and_waits_no_longer_than_the_limit() -> None:
    """160 requests a second at 16 writes a second: half of the refusals once took 4 s."""
    waits: list[float] = []
    admitted = refused = 0

    async def work(clock: LoopClock) -> None:
        nonlocal admitted, refused
        rate = TokenBucket(16.0, clock)
        scheduler = WriteScheduler(rate, clock)
        admission = Admission()

        async def write() -> None:
            arrived_at = clock.now()
            await scheduler.wait(WritePriority.URGENT)
            rate.spend(1)
            waits.append(clock.now() - arrived_at)

        writes = []
        for _ in range(1600):
            if admission.retry_after_s(clock.now(), scheduler.urgent_wait_s(), 16.0) is None:
                writes.append(asyncio.ensure_future(write()))
                admitted += 1
            else:
                refused += 1
            await asyncio.sleep(1 / 160)
        await asyncio.gather(*writes)

    virtually(work)
    assert admitted + refused == 1600
    assert admitted >= 0.9 * 16 * 10
    assert max(waits) < c.MAX_QUEUE_WAIT_S + 0.2


def test_work_gets_every_second_turn_while_users_never_stop() -> None:
    order: list[WritePriority] = []

    async def work(clock: LoopClock) -> None:
        rate = TokenBucket(10.0, clock)
        scheduler = WriteScheduler(rate, clock)

        async def write(priority: WritePriority) -> None:
            await scheduler.wait(priority)
            rate.spend(1)
            order.append(priority)

        writes = [asyncio.ensure_future(write(WritePriority.NORMAL)) for _ in range(150)]
        for _ in range(400):
            writes.append(asyncio.ensure_future(write(WritePriority.URGENT)))
            await asyncio.sleep(0.05)
        for task in writes:
            task.cancel()

    virtually(work)
    late = order[-60:]
    assert 25 <= late.count(WritePriority.NORMAL) <= 35
