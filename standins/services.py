"""Named services in a scenario or an experiment: operators, copies, consumers, and a checker.

The checker samples at every change what copies truly are, not what the leader thinks of them.
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

TRIES = 3  # a consumer asks so many copies before it gives up
PATIENCE_S = 1.0  # and waits so long for each
AVOID_S = 5.0  # a copy that did not answer is left alone so long, as clients do


@dataclass
class Floor:
    """What is promised of one service, and how often and how far it was missed."""

    least: int
    from_: float  # from when it is promised
    fewest: int = 10**6
    missed: list[str] = field(default_factory=list)
    ranges: list[tuple[float, float]] = field(default_factory=list)  # when it need not hold


def toml(values: dict[str, Any]) -> str:
    """A description's text; tables (`check`) come last, as TOML wants it."""
    plain = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{k} = {json.dumps(v)}" for k, v in plain.items()]
    for name, table in values.items():
        if isinstance(table, dict):
            lines += [f"[{name}]", *(f"{k} = {json.dumps(v)}" for k, v in table.items())]
    return "\n".join(lines) + "\n"


class Operator:
    """Asks the operators' interface of one node after the other until one decides."""

    def __init__(self, addresses: dict[str, str], clock: Clock) -> None:
        self.addresses, self._clock = addresses, clock

    async def ask(self, method: str, path: str, text: str = "", tries: int = 30) -> tuple[int, Any]:
        for turn in range(tries):
            name = sorted(self.addresses)[turn % len(self.addresses)]
            client = Client(self.addresses[name], self._clock)
            try:
                status, raw = await client.send(method, path, text.encode(), 5.0)
            except NoResponse:
                status, raw = 0, b"{}"
            client.close()
            if status in (200, 400, 404, 409, 422):
                return status, json.loads(raw)
            await asyncio.sleep(1.0)
        return 0, {}


class Consumer:
    """Reads a service's endpoints by long poll and sends requests to them in turn."""

    def __init__(self, service: str, nodes: dict[str, str], clock: Clock) -> None:
        self._service, self._nodes, self._clock = service, nodes, clock
        self.ready: list[str] = []
        self.revision = -1
        self.went_back = 0  # revisions that were older than one before
        self.answers: Counter[str] = Counter()  # of requests: "200", "500", "none"
        self.first: Counter[str] = Counter()  # of first tries
        self._turn = itertools.count()
        self._silent: dict[str, float] = {}  # address -> when it last did not answer

    async def follow(self) -> None:
        names = itertools.cycle(sorted(self._nodes))
        name = next(names)
        while True:
            path = f"/services/{self._service}/endpoints?after={self.revision}&hold_ms=5000"
            client = Client(self._nodes[name], self._clock)
            try:
                status, raw = await client.request("GET", path, None, 7.0)
            except NoResponse:
                status, raw = 0, b""
            client.close()
            if status == 200:
                found = json.loads(raw)
                if found["revision"] >= self.revision:
                    self.revision = found["revision"]
                    self.ready = [e["address"] for e in found["ready"]]
                else:
                    self.went_back += 1
            else:
                name = next(names)
                await asyncio.sleep(0.2)

    async def request(self) -> str:
        """One request: at up to TRIES copies, until one says 200."""
        word = "none"
        tried: set[str] = set()
        for nth in range(TRIES):
            address = self._next(tried)
            if address is None:
                await asyncio.sleep(0.2)
                continue
            tried.add(address)
            client = Client(address, self._clock)
            try:
                status, _ = await client.request("GET", "/work", None, PATIENCE_S)
                word = str(status)
            except NoResponse:
                word = "none"
                self._silent[address] = self._clock.now()
            client.close()
            if nth == 0:
                self.first[word] += 1
            if word == "200":
                break
        self.answers[word] += 1
        return word

    def _next(self, tried: set[str]) -> str | None:
        """The next in turn that was not tried, and did not just keep silent, if there is one."""
        now = self._clock.now()
        left = [x for x in self.ready if x not in tried]
        good = [x for x in left if now - self._silent.get(x, -1e9) > AVOID_S]
        choice = good or left
        return choice[next(self._turn) % len(choice)] if choice else None

    async def steadily(self, every_s: float) -> None:
        sent: set[asyncio.Task[str]] = set()
        while True:
            task = asyncio.ensure_future(self.request())
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(every_s)


class Watcher:
    """Holds what copies truly are against the floors, at every change and every step of time."""

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
