"""No start is sent while the end of the same attempt waits to be written.

The account is in docs/incidents/ran-twice-at-size.md.

A write may wait for seconds where the state service's rate is used up. The machine that could not
be reached answers meanwhile; were the start sent to it then, the end that is written a moment later
would free the task to start elsewhere.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits
from pulleydeal.workers.station import Station
from tests.test_workers import Alone, machine, report, workers


class SlowStore(Alone):
    """Changes of jobs wait until the test lets them be written."""

    def __init__(self) -> None:
        super().__init__()
        self.clock_s = 1.0
        self.queued: list[tuple[Callable[..., None], asyncio.Future[bool]]] = []

    def now(self) -> float:
        return self.clock_s

    wall = now

    def change_job(self, job: str, mutate: Any, turn: Any) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queued.append((mutate, future))
        return future


def bound_job(world: SlowStore) -> None:
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    world.put(r.job_key("j-1"), r.JobRecord("open", 1, 0.0, spec))
    world.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])


async def concluded(world: SlowStore) -> Any:
    """The workers' slice of an owner that concluded that a start was never sent."""
    slice_ = workers(world)
    world.put(r.machine_key("vm-1"), machine("up"))
    await slice_.checkin(report("vm-1", 1))
    bound_job(world)
    slice_.stations["vm-1"].unanswered_since = world.clock_s
    world.clock_s += c.UNREACHED_S + 0.5
    await slice_.checkin(report("vm-1", 2))
    return slice_


def written(world: SlowStore) -> str:
    """On which machine the task is bound once the queued end was written."""
    draft = Draft(world.replica.jobs["j-1"], world.replica, Limits(2_000, 8), world.clock_s)
    for mutate, _ in world.queued:
        mutate(draft)
    return draft.task(0).machine


def test_an_end_by_absence_is_written_only_by_the_tenure_that_saw_it() -> None:
    """Whoever owns the machine after that, even the same node, may have commanded it."""

    async def day(another_tenure: bool) -> str:
        world = SlowStore()
        slice_ = await concluded(world)
        if another_tenure:
            slice_.stations["vm-1"] = Station("vm-1", "t4", "east", False, 1.0, 0, set())
        return written(world)

    assert asyncio.run(day(another_tenure=False)) == ""
    assert asyncio.run(day(another_tenure=True)) == "vm-1"


def test_a_start_whose_end_waits_to_be_written_is_not_sent() -> None:
    async def day() -> tuple[int, list[bytes]]:
        world = SlowStore()
        # Orders to it got no connection for longer than allowed: the start was never sent.
        slice_ = await concluded(world)
        first = await slice_.checkin(report("vm-1", 3))
        # It answers again before the end of the attempt is written.
        slice_.stations["vm-1"].unanswered_since = None
        world.clock_s += 0.5
        second = await slice_.checkin(report("vm-1", 4))
        return len(world.queued), [first.body, second.body]

    ends, answers = asyncio.run(day())
    assert ends == 1
    assert [b'"run"' in body for body in answers] == [False, False]
