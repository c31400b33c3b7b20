"""Deferral of work on nodes that have too little processor time."""

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Any

from experiments.scale_cell import Cell
from experiments.scale_plan import Size
from experiments.scale_run import Users
from pulleydeal import constants as c
from pulleydeal.clock import SystemClock
from pulleydeal.http import Client, Request, Response, Server, json_response
from pulleydeal.lateness import LoopLag, Precedence
from standins.town import LOCAL, free_port, job

PERIOD_S, RUN_SHARE = 0.2, 0.1  # a throttled node runs for this share of each period


def test_loops_of_low_precedence_are_deferred_first_and_none_starves() -> None:
    lateness = LoopLag(SystemClock())
    precedences = (Precedence.LEASES, Precedence.PLACEMENT, Precedence.UPKEEP)

    def pauses(late_s: float) -> list[bool]:
        lateness.lag_s = 0.0
        lateness.record(late_s)
        return [lateness.pause_s(precedence) > 0 for precedence in precedences]

    assert pauses(0.1) == [False, False, False]
    assert pauses(0.3) == [False, False, True]
    assert pauses(0.7) == [False, True, True]
    assert pauses(60.0) == [False, True, True]
    assert lateness.pause_s(Precedence.PLACEMENT) <= c.LATE_PLACEMENT_PAUSE_S
    assert lateness.pause_s(Precedence.UPKEEP) <= c.LATE_PAUSE_MOST_S < c.ASK_TTL_S
    for _ in range(10):
        lateness.record(-0.001)
    assert not any(map(lateness.pause_s, precedences))


def test_a_late_node_refuses_most_users_with_503_and_answers_some() -> None:
    lateness = LoopLag(SystemClock())
    lateness.record(3.0)
    release = asyncio.Event()

    async def slow_handler(_: Request) -> Response:
        await release.wait()
        return json_response(200, {})

    async def ask(address: str, path: str) -> int:
        client = Client(address, SystemClock())
        status, _ = await client.request("GET", path, None, 5.0)
        client.close()
        return status

    async def run() -> tuple[list[int], int]:
        address = f"{LOCAL}:{free_port()}"
        server = Server(slow_handler, 100, "/submissions", lateness.max_user_requests)
        await server.start(address)
        user_requests = [asyncio.ensure_future(ask(address, "/submissions/j-1")) for _ in range(10)]
        worker = asyncio.ensure_future(ask(address, "/checkin"))
        await asyncio.sleep(0.3)
        release.set()
        result = list(await asyncio.gather(*user_requests)), await worker
        await server.close()
        return result

    users, worker = asyncio.run(run())
    assert sorted(users) == [200] * c.LATE_USER_REQUESTS_AT_ONCE + [503] * (
        10 - c.LATE_USER_REQUESTS_AT_ONCE
    )
    assert worker == 200


class Throttle:
    """Throttles node processes to RUN_SHARE of the time."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self.nodes: list[str] = []

    def _send(self, signum: signal.Signals) -> None:
        for name in self.nodes:
            process = self._cell.processes.get(name)
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signum)

    async def run(self) -> None:
        try:
            while True:
                self._send(signal.SIGSTOP)
                await asyncio.sleep(PERIOD_S * (1 - RUN_SHARE))
                self._send(signal.SIGCONT)
                await asyncio.sleep(PERIOD_S * RUN_SHARE)
        finally:
            self._send(signal.SIGCONT)


async def submit(users: Users, first: int, count: int) -> list[asyncio.Task[None]]:
    now = users.cell.now()
    result = []
    for i in range(count):
        body = job(f"j-{first + i}", lifts=2, vcpus=1.0, accelerators=0.0, ram_gb=1.0, pull_gb=0.1)
        user = users.live(body | {"_run_s": 3.0}, now + 0.6 + 0.5 * i)
        result.append(asyncio.ensure_future(user))
    return result


async def all_over(users: Users, within_s: float) -> bool:
    rules = users.cell.hub.rules
    until = users.cell.now() + within_s
    while users.cell.now() < until:
        if users.due and all(rules.heard_over(name) for name in users.due):
            return True
        await asyncio.sleep(0.5)
    return False


async def play(folder: Path) -> dict[str, Any]:
    """Throttles one node, then restarts all three and throttles them, then lifts the throttling."""
    cell = Cell(folder, Size(workers=12, tasks_per_worker=3))
    result: dict[str, Any] = {}
    try:
        await cell.start()
        users, throttle = Users(cell), Throttle(cell)
        users.counting = True
        throttling = asyncio.ensure_future(throttle.run())
        await asyncio.sleep(4.0)  # all machines have reported
        throttle.nodes = ["node-1"]
        user_tasks = await submit(users, 1, 10)
        await asyncio.sleep(16.0)  # longer than a lease
        result["lost beside one slow node"] = cell.hub.total("lost")
        throttle.nodes = sorted(cell.nodes)
        for name in throttle.nodes:
            cell.kill(name)
        for name in throttle.nodes:
            await cell.start_node(name)
        user_tasks += await submit(users, 101, 5)
        await asyncio.sleep(10.0)
        throttling.cancel()
        await asyncio.gather(throttling, return_exceptions=True)
        result["all over"] = await all_over(users, 60.0)
        result["answers"] = dict(users.words)
        result["broken"] = list(cell.hub.rules.broken)
        result["jobs"] = len(users.due)
        result["ended"] = dict(cell.ended)
        for task in user_tasks:
            task.cancel()
        users.close()
    finally:
        await cell.stop()
    return result


def test_slow_nodes_keep_leases_and_accepted_jobs_and_recover(tmp_path: Path) -> None:
    """Covers one node with a tenth of its processor time, then three such nodes after a restart."""
    result = asyncio.run(play(tmp_path))
    assert result["lost beside one slow node"] == 0, result
    assert result["all over"] and result["jobs"] == 15, result
    assert not result["broken"] and not result["ended"], result
    assert set(result["answers"]) <= {
        "POST 201",
        "POST 200",
        "POST 503",
        "POST none",
        "GET 200",
        "GET 503",
        "GET none",
    }, result
