"""Overload: who can't be written in time hears it at once, and the refused come back spread."""

import asyncio
from collections import Counter

from pulleydeal import constants as c
from pulleydeal.store.rate import Rate, Turn, WriteScheduler
from pulleydeal.submissions.admission import Admission
from standins.script import LoopClock, virtually


def test_there_is_time_until_the_queue_is_as_long_as_users_wait() -> None:
    admission = Admission()
    assert admission.refused_for_s(0.0, 0.0, 20.0) is None
    assert admission.refused_for_s(0.0, c.QUEUE_MOST_S, 20.0) is None
    assert admission.refused_for_s(0.0, c.QUEUE_MOST_S + 0.1, 20.0) == 1


def test_the_refused_are_told_to_come_as_fast_as_can_be_written() -> None:
    admission = Admission()
    told = Counter(admission.refused_for_s(100.0, 1.0, 20.0) for _ in range(200))
    assert set(told) == set(range(2, 12)) | {12} or set(told) == set(range(2, 12))
    assert max(told.values()) <= 21  # a second's worth, and one on the edge


def test_more_than_a_retry_after_can_hold_is_spread_over_its_later_half() -> None:
    admission = Admission()
    told = [admission.refused_for_s(0.0, 1.0, 10.0) or 0 for _ in range(2000)]
    late = Counter(told[400:])
    assert max(told) <= c.RETRY_MOST_S and min(late) >= c.RETRY_MOST_S / 2
    assert max(late.values()) < 1.3 * 1600 / (c.RETRY_MOST_S / 2)


def test_a_crowd_is_let_in_at_the_write_rate_and_waits_no_longer_than_declared() -> None:
    """160 a second against 16: before, half of the refused heard it after 4 s."""
    waits: list[float] = []
    let_in = refused = 0

    async def work(clock: LoopClock) -> None:
        nonlocal let_in, refused
        rate = Rate(16.0, clock)
        scheduler = WriteScheduler(rate, clock)
        admission = Admission()

        async def write() -> None:
            came = clock.now()
            await scheduler.wait(Turn.FIRST)
            rate.spend(1)
            waits.append(clock.now() - came)

        writes = []
        for _ in range(1600):
            if admission.refused_for_s(clock.now(), scheduler.first_wait_s(), 16.0) is None:
                writes.append(asyncio.ensure_future(write()))
                let_in += 1
            else:
                refused += 1
            await asyncio.sleep(1 / 160)
        await asyncio.gather(*writes)

    virtually(work)
    assert let_in + refused == 1600
    assert let_in >= 0.9 * 16 * 10
    assert max(waits) < c.QUEUE_MOST_S + 0.2


def test_work_has_every_second_turn_when_users_never_end() -> None:
    order: list[Turn] = []

    async def work(clock: LoopClock) -> None:
        rate = Rate(10.0, clock)
        scheduler = WriteScheduler(rate, clock)

        async def write(turn: Turn) -> None:
            await scheduler.wait(turn)
            rate.spend(1)
            order.append(turn)

        writes = [asyncio.ensure_future(write(Turn.WORK)) for _ in range(150)]
        for _ in range(400):
            writes.append(asyncio.ensure_future(write(Turn.FIRST)))
            await asyncio.sleep(0.05)
        for task in writes:
            task.cancel()

    virtually(work)
    late = order[-60:]
    assert 25 <= late.count(Turn.WORK) <= 35
