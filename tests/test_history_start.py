"""All nodes start at once over a history of jobs that are over, within the state service's rate."""

import asyncio
import json
from typing import Any

import pytest

from pulleydeal.http import Client, NoResponse
from standins.net import Network, VirtualLoop, on_host
from standins.scenario import Scenario

OVER = 120_000
RPS = 200.0
PROBE_S = 0.1
PROBE_TIMEOUT_S = 1.0  # PROTOCOL: the load balancer waits this long
STARTED_S = 0.5  # a node listens by then
# Its share of the requests, of which some are for other work, reads 500 records each at least;
# then it joins the view.
LOADED_S = OVER / 500 / (RPS / 3 / 2) + 4.0
OLD = {"j-0000007": "done", "j-0000008": "cancelled", "j-0119999": "done"}


class Start:
    """Three nodes that all end and start again, and users that ask for old jobs meanwhile."""

    def __init__(self, loop: VirtualLoop, network: Network) -> None:
        self.loop = loop
        self.scenario = Scenario(loop, network, 1)
        self.answers: list[tuple[str, int]] = []  # state or "", status
        self.probes: list[tuple[float, int]] = []  # when asked, status; 0: no answer

    def keep_history(self) -> None:
        for i in range(OVER):
            state = "cancelled" if i % 4 == 0 else "done"
            record = {"status": state, "tasks": 3, "at": 1.7e9, "ended": 1.7e9 + i}
            self.scenario.state.put(f"p/j/j-{i:07d}", record)

    async def ask(self, node: str, path: str) -> tuple[int, dict[str, Any]]:
        client = Client(f"{self.scenario._nodes[node]}:8080", self.scenario._clock)
        try:
            status, body = await client.request("GET", path, None, PROBE_TIMEOUT_S)
        except NoResponse:
            return 0, {}
        finally:
            client.close()
        return status, json.loads(body) if body else {}

    async def probe(self, node: str) -> None:
        while True:
            asked_at = self.loop.time()
            self.probes.append((asked_at, (await self.ask(node, "/up"))[0]))
            for job in OLD:
                status, answer = await self.ask(node, f"/submissions/{job}")
                if status:
                    self.answers.append((f"{job} {answer.get('tension', '')}", status))
            await asyncio.sleep(PROBE_S)

    async def run(self) -> None:
        self.scenario.start()
        await asyncio.sleep(0.01)
        self.keep_history()
        self.scenario.state.limit(8.0, 32, 80.0, RPS)
        await asyncio.sleep(20.0)
        self.scenario.state.counts.clear()
        self.scenario.do_crash("all", "0.2")
        began = self.loop.time()
        user = self.scenario._user_host
        probing = [on_host(user, self.probe(node)) for node in self.scenario._nodes]
        await asyncio.sleep(LOADED_S + 5.0)
        for task in probing:
            task.cancel()
        self.probes = [(at - began, status) for at, status in self.probes]


@pytest.fixture(scope="module")
def start() -> Start:
    network = Network(1)
    loop = VirtualLoop(network)
    asyncio.set_event_loop(loop)
    found = Start(loop, network)
    try:
        loop.run_until_complete(found.run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
    return found


# Guards against a load of three nodes at once that takes more requests than the service allows.
def test_no_request_is_refused_while_all_nodes_load(start: Start) -> None:
    assert start.scenario.state.counts["refused requests"] == 0


# Guards against a load balancer that gives up a node which only reads its records.
def test_probes_are_answered_while_a_node_loads_and_succeed_soon(start: Start) -> None:
    listening = [(at, status) for at, status in start.probes if at > STARTED_S]
    assert {status for _, status in listening} == {200, 503}
    assert {status for at, status in listening if at > LOADED_S} == {200}


# Guards against `forgotten`: what is not loaded yet is not absent.
def test_old_jobs_are_never_answered_404_or_with_another_state(start: Start) -> None:
    expected = {f"{job} {state}" for job, state in OLD.items()}
    assert {answer for answer, status in start.answers if status == 200} == expected
    assert {status for _, status in start.answers} <= {200, 503}
