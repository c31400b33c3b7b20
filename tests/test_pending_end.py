"""No start is sent while the exit of the same attempt waits to be written.

A write may wait for seconds when the state service's rate limit is reached. If the machine, which
could not be reached, answered meanwhile and got the start, the exit written a moment later would
let the task start elsewhere as well (docs/incidents/ran-twice-at-size.md).
"""

import asyncio
from collections.abc import Callable
from typing import Any

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits
from pulleydeal.workers.tracked_machine import TrackedMachine
from tests.test_workers import FakeNode, checkin_request, machine_record, make_workers


class SlowStoreNode(FakeNode):
    """Queues changes of jobs until the test applies them."""

    def __init__(self) -> None:
        super().__init__()
        self.clock_s = 1.0
        self.queued: list[tuple[Callable[..., None], asyncio.Future[bool]]] = []

    def now(self) -> float:
        return self.clock_s

    wall = now

    def change_job(self, job: str, mutate: Any, priority: Any) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queued.append((mutate, future))
        return future


def bind_job(node: SlowStoreNode) -> None:
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    node.put(r.job_key("j-1"), r.JobRecord("open", 1, 0.0, spec))
    node.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])


async def workers_with_pending_exit(node: SlowStoreNode) -> Any:
    """The `Workers` of an owner that has decided the exit of a start that it never sent."""
    workers = make_workers(node)
    node.put(r.machine_key("vm-1"), machine_record("up"))
    await workers.checkin(checkin_request("vm-1", 1))
    bind_job(node)
    workers.machines["vm-1"].unanswered_since = node.clock_s
    node.clock_s += c.UNREACHED_S + 0.5
    await workers.checkin(checkin_request("vm-1", 2))
    return workers


def machine_after_write(node: SlowStoreNode) -> str:
    """The machine that the task is bound to after the queued exit was written."""
    draft = Draft(node.replica.jobs["j-1"], node.replica, Limits(2_000, 8), node.clock_s)
    for mutate, _ in node.queued:
        mutate(draft)
    return draft.task(0).machine


def test_exit_by_absence_is_written_only_in_the_ownership_period_that_saw_it() -> None:
    """A later owner, even the same node, may have commanded the machine in between."""

    async def run(new_ownership: bool) -> str:
        node = SlowStoreNode()
        workers = await workers_with_pending_exit(node)
        if new_ownership:
            workers.machines["vm-1"] = TrackedMachine("vm-1", "t4", "east", False, 1.0, 0, set())
        return machine_after_write(node)

    assert asyncio.run(run(new_ownership=False)) == ""
    assert asyncio.run(run(new_ownership=True)) == "vm-1"


def test_start_with_a_pending_exit_is_not_sent() -> None:
    async def run() -> tuple[int, list[bytes]]:
        node = SlowStoreNode()
        # Orders got no connection for longer than UNREACHED_S, and the start was never sent.
        workers = await workers_with_pending_exit(node)
        first = await workers.checkin(checkin_request("vm-1", 3))
        # The machine answers again before the exit is written.
        workers.machines["vm-1"].unanswered_since = None
        node.clock_s += 0.5
        second = await workers.checkin(checkin_request("vm-1", 4))
        return len(node.queued), [first.body, second.body]

    exit_count, answers = asyncio.run(run())
    assert exit_count == 1
    assert [b'"run"' in body for body in answers] == [False, False]
