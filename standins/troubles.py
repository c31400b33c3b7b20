"""A scenario's events that bring about troubles between machines, nodes and the state service."""

import asyncio
import math
from typing import TYPE_CHECKING

from standins.net import Host, on_host
from standins.place import FAILED_S, RESTART_S, ZONES
from standins.wrong_answers import WRONG_ANSWERS

if TYPE_CHECKING:
    from standins.scenario import Scenario

WORKERS = "10.1."  # workers' addresses begin so
FORGOTTEN_S = 75.0  # acceptance: unanswered so long, once all troubles are over, is forgotten


class Troubles:
    """Mixed into the scenario, whose hosts, network and services these are."""

    def do_mute(self: "Scenario", who: str, other: str = "1") -> None:
        if who in self._nodes:
            x, y = self._nodes[who], self._nodes[other]
            self._network.one_way(lambda f, t: f.ip == x and t.ip == y, keep=True)
            return
        nodes = set(self._nodes.values())
        self._network.mute(self._some_hosts(who, other), lambda t: t.ip in nodes)

    def _some_hosts(self: "Scenario", what: str, share: str) -> list[Host]:
        found = self._blocks(what)
        return [self._hosts[block] for block in found[: math.ceil(float(share) * len(found))]]

    def do_hang(self: "Scenario", what: str, for_s: str, share: str = "1") -> None:
        found = self._blocks(what)
        for block in found[: math.ceil(float(share) * len(found))]:
            self._hang(block, float(for_s))

    def _hang(self: "Scenario", block: str, for_s: float) -> None:
        worker = self._workers[block]
        self._freeze(self._hosts[block], for_s)
        left_s = worker.lease_end_s() - self._loop.time()
        if left_s < for_s:
            self._loop.call_later(max(0.0, left_s) + 0.01, worker.lapse_if_over)

    def _freeze(self: "Scenario", host: Host, for_s: float) -> None:
        host.frozen = True
        self._loop.call_later(for_s, self._loop.thaw, host)

    def do_apart(self: "Scenario", node: str) -> None:
        ip, others = self._nodes[node], set(self._nodes.values())
        self._network.cut(lambda x, y: x.ip == ip and y.ip in others)

    def do_shun(self: "Scenario", node: str) -> None:
        ip, regional = self._nodes[node], self._regional
        self._network.cut(lambda x, y: x.ip == ip and y is regional)

    def do_answer_wrongly(
        self: "Scenario", what: str, share: str, part: str = "1", *ways: str
    ) -> None:
        found = self._blocks(what)
        for block in found[: math.ceil(float(part) * len(found))]:
            answers = self._workers[block].wrong_answers
            answers.share = float(share)
            answers.ways = [way for way in WRONG_ANSWERS if way in (ways or WRONG_ANSWERS)]
            if unknown := set(ways) - set(WRONG_ANSWERS):
                raise ValueError(unknown)

    def do_unreached(self: "Scenario", what: str, share: str = "1") -> None:
        hosts = self._some_hosts(what, share)
        self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=False)

    def do_hold(self: "Scenario", what: str, seconds: str) -> None:
        hosts = [self._hosts[block] for block in self._blocks(what)]
        release = self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=True)
        self._loop.call_later(float(seconds), release)

    def do_late_reports(self: "Scenario", share: str, until: str = "") -> None:
        if until not in ("", "next"):
            raise ValueError(until)
        self._world.late_reports, self._world.for_next = float(share), until == "next"

    def _view_written(self: "Scenario", key: str) -> None:
        """A leader begins: what was kept for it reaches every node, as soon as it acts or later."""
        if key != "p/view" or not self._world.kept:
            return
        kept, self._world.kept = self._world.kept, []
        self.reports_kept += len(kept)
        for report in kept:
            for address in self._nodes.values():
                self._later(self.rng.choice([0.0, 0.01, 0.1, 1.0]), address, "/checkin", report)

    def do_link(self: "Scenario", gb_per_s: str) -> None:
        self._world.fetch_gb_per_s = float(gb_per_s)

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

    def do_capacity(self: "Scenario", count: str) -> None:
        for place in self.cloud.capacity:
            self.cloud.capacity[place] = int(count)

    def do_boots(self: "Scenario", factor: str) -> None:
        self.cloud.boots = float(factor)

    def do_crash(self: "Scenario", name: str, for_s: str = str(RESTART_S)) -> None:
        for node in self._nodes if name == "all" else [name]:
            self._network.kill(self._hosts[node])
            if node in self._starting:
                self._starting[node].cancel()  # a node is started once, however often it ended
            self._starting[node] = self._loop.call_later(float(for_s), self._start_node, node)

    def do_state(self: "Scenario", what: str, node: str = "none", *more: str) -> None:
        if what == "limits":
            self.state.limit(float(node), int(more[0]), float(more[1]))
        elif what == "refuse":
            self.state.refuse = {self._nodes[n] for n in (node, *more) if n in self._nodes}
        elif what == "late":
            if more not in ((), ("at_once",)):
                raise ValueError(more)
            self.state.late, self.state.at_once = float(node), bool(more)
        elif what == "slow":
            self.state.slow_s = float(node)
        elif what == "watches":
            self.state.watches_end = node == "end"
        elif what not in ("down", "up"):
            raise ValueError(what)
        else:
            self.state.set_down(what == "down")

    def do_cloud(self: "Scenario", what: str) -> None:
        self.cloud.down = what == "down"

    def do_lose(self: "Scenario", share: str) -> None:
        self.state.lose = float(share)

    def do_repeat(self: "Scenario", share: str) -> None:
        self.state.repeat = float(share)

    def do_cut(self: "Scenario", a: str, b: str = "") -> None:
        if b:
            self._network.cut(lambda x, y: x.zone == a and y.zone == b)
        elif a in ZONES:
            self._network.cut(lambda x, y: x.zone == a and y.zone != a)
        else:
            host = self._hosts[a]
            self._network.cut(lambda x, y: x is host)

    def do_freeze(self: "Scenario", node: str, for_s: str) -> None:
        self._freeze(self._hosts[node], float(for_s))

    def do_deafen(self: "Scenario", node: str) -> None:
        host = self._hosts[node]
        self._network.cut(lambda x, y: x is host and y.ip.startswith(WORKERS))

    def do_heal(self: "Scenario") -> None:
        self._network.heal()

    def do_die(self: "Scenario", what: str, share: str = "1") -> None:
        dead = self._blocks(what)
        for block in dead[: math.ceil(float(share) * len(dead))]:
            self._workers[block].vanish()
            self._network.kill(self._hosts[block])
            self._loop.call_later(FAILED_S, self.cloud.fail, block)

    def do_sick(self: "Scenario", block: str) -> None:
        self._workers[block].sick = True

    def do_notice(self: "Scenario", block: str, seconds: str) -> None:
        self._workers[block].reclaim_at = self._loop.time() + float(seconds)
        self._loop.call_later(float(seconds), self.cloud.remove, block)
