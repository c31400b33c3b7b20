"""A scenario's events that bring about troubles between machines, nodes and the state service."""

import asyncio
import math
from typing import TYPE_CHECKING

from standins.net import on_host

if TYPE_CHECKING:
    from standins.scenario import Scenario

WORKERS = "10.1."  # workers' addresses begin so
FORGOTTEN_S = 75.0  # acceptance: unanswered so long, once all troubles are over, is forgotten


class Troubles:
    """Mixed into the scenario, whose hosts, network and services these are."""

    def do_mute(self: "Scenario", a: str, b: str) -> None:
        x, y = self._nodes[a], self._nodes[b]
        self._network.one_way(lambda f, t: f.ip == x and t.ip == y, keep=True)

    def do_apart(self: "Scenario", node: str) -> None:
        ip, others = self._nodes[node], set(self._nodes.values())
        self._network.cut(lambda x, y: x.ip == ip and y.ip in others)

    def do_shun(self: "Scenario", node: str) -> None:
        ip, regional = self._nodes[node], self._regional
        self._network.cut(lambda x, y: x.ip == ip and y is regional)

    def do_unreached(self: "Scenario", what: str, share: str = "1") -> None:
        found = self._blocks(what)
        hosts = [self._hosts[block] for block in found[: math.ceil(float(share) * len(found))]]
        self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=False)

    def do_hold(self: "Scenario", what: str, seconds: str) -> None:
        hosts = [self._hosts[block] for block in self._blocks(what)]
        release = self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=True)
        self._loop.call_later(float(seconds), release)

    def do_late_reports(self: "Scenario", share: str) -> None:
        self._world.late_reports = float(share)

    def do_answers(self: "Scenario") -> None:
        """All troubles are over: whatever was accepted is known, by every node."""
        for job in self.rules.uploads:
            if self.rules.accepted(job):
                for node in self._nodes:
                    on_host(self._users, self._known(job, node))

    async def _known(self: "Scenario", job: str, node: str) -> None:
        try:
            async with asyncio.timeout(FORGOTTEN_S):
                while not await self._once("GET", job, f"/submissions/{job}", None, node):
                    await asyncio.sleep(2.0)
        except TimeoutError:
            self.rules.broken.append(
                f"{self._loop.time():.2f} forgotten: {job}, {node} tells nothing of it"
            )
