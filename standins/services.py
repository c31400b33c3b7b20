"""Operators, consumers and a checker of named services, for scenarios and experiments.

The checker samples the true health of copies at every change, not the leader's view of it.
"""

import asyncio
import itertools
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse
from standins.copies import Copies

TRIES = 3  # number of copies that a consumer asks before it gives up
REQUEST_TIMEOUT_S = 1.0
AVOID_S = 5.0  # how long consumers avoid a copy that did not answer


@dataclass
class Floor:
    """The least number of healthy copies of a service, and the violations seen."""

    least: int
    from_: float  # time from which the floor must hold
    fewest: int = 10**6
    missed: list[str] = field(default_factory=list)
    ranges: list[tuple[float, float]] = field(default_factory=list)  # when it need not hold


def toml(values: dict[str, Any]) -> str:
    """Formats a description; tables (`check`) come last, as TOML requires."""
    plain = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{k} = {json.dumps(v)}" for k, v in plain.items()]
    for name, table in values.items():
        if isinstance(table, dict):
            lines += [f"[{name}]", *(f"{k} = {json.dumps(v)}" for k, v in table.items())]
    return "\n".join(lines) + "\n"


class Operator:
    """Asks the operators' interfaces of the nodes in turn until one gives a final answer."""

    def __init__(self, addresses: dict[str, str], clock: Clock) -> None:
        self.addresses, self._clock = addresses, clock

    async def ask(self, method: str, path: str, text: str = "", tries: int = 30) -> tuple[int, Any]:
        for attempt in range(tries):
            name = sorted(self.addresses)[attempt % len(self.addresses)]
            client = Client(self.addresses[name], self._clock)
            try:
                status, reply = await client.send(method, path, text.encode(), 5.0)
            except NoResponse:
                status, reply = 0, b"{}"
            client.close()
            if status in (200, 400, 404, 409, 422):
                return status, json.loads(reply)
            await asyncio.sleep(1.0)
        return 0, {}


class Consumer:
    """Follows a service's endpoints by long polling and sends requests to them in turn."""

    def __init__(self, service: str, nodes: dict[str, str], clock: Clock) -> None:
        self._service, self._nodes, self._clock = service, nodes, clock
        self.ready: list[str] = []
        self.revision = -1
        self.went_back = 0  # answers with an older revision than one before
        self.answers: Counter[str] = Counter()  # final results of requests: status, or "none"
        self.first: Counter[str] = Counter()  # results of first tries
        self._turn = itertools.count()
        self._timed_out_at: dict[str, float] = {}  # address -> time of its last time-out

    async def follow(self) -> None:
        names = itertools.cycle(sorted(self._nodes))
        name = next(names)
        while True:
            path = f"/services/{self._service}/endpoints?after={self.revision}&hold_ms=5000"
            client = Client(self._nodes[name], self._clock)
            try:
                status, reply = await client.request("GET", path, None, 7.0)
            except NoResponse:
                status, reply = 0, b""
            client.close()
            if status == 200:
                found = json.loads(reply)
                if found["revision"] >= self.revision:
                    self.revision = found["revision"]
                    self.ready = [e["address"] for e in found["ready"]]
                else:
                    self.went_back += 1
            else:
                name = next(names)
                await asyncio.sleep(0.2)

    async def request(self) -> str:
        """Sends one request to up to TRIES copies, until one answers 200."""
        result = "none"
        tried: set[str] = set()
        for attempt in range(TRIES):
            address = self._next_address(tried)
            if address is None:
                await asyncio.sleep(0.2)
                continue
            tried.add(address)
            client = Client(address, self._clock)
            try:
                status, _ = await client.request("GET", "/work", None, REQUEST_TIMEOUT_S)
                result = str(status)
            except NoResponse:
                result = "none"
                self._timed_out_at[address] = self._clock.now()
            client.close()
            if attempt == 0:
                self.first[result] += 1
            if result == "200":
                break
        self.answers[result] += 1
        return result

    def _next_address(self, tried: set[str]) -> str | None:
        """The next untried copy in turn; copies that timed out recently only as a last resort."""
        now = self._clock.now()
        untried = [x for x in self.ready if x not in tried]
        preferred = [x for x in untried if now - self._timed_out_at.get(x, -1e9) > AVOID_S]
        choice = preferred or untried
        return choice[next(self._turn) % len(choice)] if choice else None

    async def steadily(self, every_s: float) -> None:
        sent: set[asyncio.Task[str]] = set()
        while True:
            task = asyncio.ensure_future(self.request())
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(every_s)


class Watcher:
    """Checks the floors against the true health of copies, at every change and every 50 ms."""

    def __init__(self, copies: Copies, now: Callable[[], float]) -> None:
        self._copies, self._now = copies, now
        self.floors: dict[str, Floor] = {}
        copies.changed = self.look

    def good(self, service: str) -> int:
        return sum(c.good() for c, _ in self._copies.live.values() if c.service == service)

    def look(self) -> None:
        now = self._now()
        for service, floor in self.floors.items():
            if now < floor.from_ or any(a <= now < b for a, b in floor.ranges):
                continue
            good = self.good(service)
            floor.fewest = min(floor.fewest, good)
            if good < floor.least:
                floor.missed.append(f"{now:.2f}: {good} of {floor.least}")

    async def steadily(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(0.05)
