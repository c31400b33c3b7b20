"""What a node with too little processor time does first, and what it puts off."""

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
from pulleydeal.http import Client, Request, Response, Server, answer
from pulleydeal.lateness import Lateness, Precedence
from standins.town import LOCAL, free_port, job

PERIOD_S, SHARE = 0.2, 0.1  # a slow node runs so much of each period


def test_what_is_put_off_first_and_that_nothing_starves() -> None:
    lateness = Lateness(SystemClock())
    orders = (Precedence.LEASES, Precedence.PLACEMENT, Precedence.UPKEEP)

    def pauses(late_s: float) -> list[bool]:
        lateness.late_s = 0.0
        lateness.note(late_s)
        return [lateness.pause_s(order) > 0 for order in orders]

    assert pauses(0.1) == [False, False, False]
    assert pauses(0.3) == [False, False, True]
    assert pauses(0.7) == [False, True, True]
    assert pauses(60.0) == [False, True, True]
    assert lateness.pause_s(Precedence.PLACEMENT) <= c.LATE_PLACEMENT_PAUSE_S
    assert lateness.pause_s(Precedence.UPKEEP) <= c.LATE_PAUSE_MOST_S < c.ASK_TTL_S
    for _ in range(10):
        lateness.note(-0.001)
    assert not any(map(lateness.pause_s, orders))


def test_a_late_node_sends_most_users_away_with_a_time_and_answers_some() -> None:
    lateness = Lateness(SystemClock())
    lateness.note(3.0)
    go = asyncio.Event()

    async def slow(_: Request) -> Response:
        await go.wait()
        return answer(200, {})

    async def ask(address: str, path: str) -> int:
        client = Client(address, SystemClock())
        status, _ = await client.request("GET", path, None, 5.0)
        client.close()
        return status

    async def run() -> tuple[list[int], int]:
        address = f"{LOCAL}:{free_port()}"
        server = Server(slow, 100, "/submissions", lateness.users_at_once)
        await server.start(address)
        asking = [asyncio.ensure_future(ask(address, "/submissions/j-1")) for _ in range(10)]
        worker = asyncio.ensure_future(ask(address, "/checkin"))
        await asyncio.sleep(0.3)
        go.set()
        found = list(await asyncio.gather(*asking)), await worker
        await server.close()
        return found

    users, worker = asyncio.run(run())
    assert sorted(users) == [200] * c.LATE_CROWD_AT_ONCE + [503] * (10 - c.LATE_CROWD_AT_ONCE)
    assert worker == 200


class Slow:
    """Lets processes run for a tenth of the time."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self.nodes: list[str] = []

    def _send(self, what: signal.Signals) -> None:
        for name in self.nodes:
            process = self._cell.processes.get(name)
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(what)

    async def run(self) -> None:
        try:
            while True:
                self._send(signal.SIGSTOP)
                await asyncio.sleep(PERIOD_S * (1 - SHARE))
                self._send(signal.SIGCONT)
                await asyncio.sleep(PERIOD_S * SHARE)
        finally:
            self._send(signal.SIGCONT)


async def submit(users: Users, first: int, count: int) -> list[asyncio.Task[None]]:
    now = users.cell.now()
    found = []
    for i in range(count):
        body = job(f"j-{first + i}", lifts=2, vcpus=1.0, accelerators=0.0, ram_gb=1.0, pull_gb=0.1)
        living = users.live(body | {"_run_s": 3.0}, now + 0.6 + 0.5 * i)
        found.append(asyncio.ensure_future(living))
    return found


async def all_over(users: Users, within_s: float) -> bool:
    rules = users.cell.hub.rules
    until = users.cell.now() + within_s
    while users.cell.now() < until:
        if users.due and all(rules.heard_over(name) for name in users.due):
            return True
        await asyncio.sleep(0.5)
    return False


async def play(folder: Path) -> dict[str, Any]:
    """One slow node, then all three back at once and slow, then all as usual."""
    cell = Cell(folder, Size(workers=12, tasks_per_worker=3))
    found: dict[str, Any] = {}
    try:
        await cell.start()
        users, slow = Users(cell), Slow(cell)
        users.counting = True
        slowing = asyncio.ensure_future(slow.run())
        await asyncio.sleep(4.0)  # all machines have reported
        slow.nodes = ["node-1"]
        living = await submit(users, 1, 10)
        await asyncio.sleep(16.0)  # longer than a lease
        found["lost beside one slow node"] = cell.hub.total("lost")
        slow.nodes = sorted(cell.nodes)
        for name in slow.nodes:
            cell.kill(name)
        for name in slow.nodes:
            await cell.start_node(name)
        living += await submit(users, 101, 5)
        await asyncio.sleep(10.0)
        slowing.cancel()
        await asyncio.gather(slowing, return_exceptions=True)
        found["all over"] = await all_over(users, 60.0)
        found["answers"] = dict(users.words)
        found["broken"] = list(cell.hub.rules.broken)
        found["jobs"] = len(users.due)
        found["ended"] = dict(cell.ended)
        for task in living:
            task.cancel()
        users.close()
    finally:
        await cell.stop()
    return found


def test_slow_nodes_keep_leases_and_accepted_jobs_and_recover(tmp_path: Path) -> None:
    """A node with a tenth of its processor time, and three such nodes back at once."""
    found = asyncio.run(play(tmp_path))
    assert found["lost beside one slow node"] == 0, found
    assert found["all over"] and found["jobs"] == 15, found
    assert not found["broken"] and not found["ended"], found
    assert set(found["answers"]) <= {
        "POST 201",
        "POST 200",
        "POST 503",
        "POST none",
        "GET 200",
        "GET 503",
        "GET none",
    }, found
