"""Scenario events that inject faults into machines, nodes, network and services."""

import asyncio
import math
from typing import TYPE_CHECKING

from standins.late_orders import Awaits, OrderCopy
from standins.net import Host, on_host
from standins.place import FAILED_S, RESTART_S, ZONES
from standins.wrong_answers import WRONG_ANSWERS

if TYPE_CHECKING:
    from standins.scenario import Scenario

WORKER_IP_PREFIX = "10.1."  # prefix of the IP addresses of workers
FORGOTTEN_AFTER_S = 75.0  # acceptance: a job unanswered this long after all faults is lost


class Troubles:
    """Mixin of `Scenario`, which owns the hosts, the network and the services."""

    def do_mute(self: "Scenario", selector: str, other: str = "1") -> None:
        if selector in self._nodes:
            x, y = self._nodes[selector], self._nodes[other]
            self._network.one_way(lambda f, t: f.ip == x and t.ip == y, keep=True)
            return
        nodes = set(self._nodes.values())
        self._network.mute(self._select_hosts(selector, other), lambda t: t.ip in nodes)

    def _select_hosts(self: "Scenario", selector: str, share: str) -> list[Host]:
        machines = self._select_machines(selector)
        return [
            self._hosts[machine] for machine in machines[: math.ceil(float(share) * len(machines))]
        ]

    def do_hang(self: "Scenario", selector: str, for_s: str, share: str = "1") -> None:
        machines = self._select_machines(selector)
        for machine in machines[: math.ceil(float(share) * len(machines))]:
            self._freeze_machine(machine, float(for_s))

    def _freeze_machine(self: "Scenario", machine: str, for_s: float) -> None:
        worker = self._workers[machine]
        self._freeze_host(self._hosts[machine], for_s)
        lease_left_s = worker.lease_end_s() - self._loop.time()
        if lease_left_s < for_s:
            self._loop.call_later(max(0.0, lease_left_s) + 0.01, worker.expire_lease_if_due)

    def _freeze_host(self: "Scenario", host: Host, for_s: float) -> None:
        host.frozen = True
        self._loop.call_later(for_s, self._loop.thaw, host)

    def do_apart(self: "Scenario", node: str) -> None:
        ip, others = self._nodes[node], set(self._nodes.values())
        self._network.cut(lambda x, y: x.ip == ip and y.ip in others)

    def do_shun(self: "Scenario", node: str) -> None:
        ip, service_host = self._nodes[node], self._service_host
        self._network.cut(lambda x, y: x.ip == ip and y is service_host)

    def do_answer_wrongly(
        self: "Scenario", selector: str, share: str, part: str = "1", *ways: str
    ) -> None:
        machines = self._select_machines(selector)
        for machine in machines[: math.ceil(float(part) * len(machines))]:
            answers = self._workers[machine].wrong_answers
            answers.share = float(share)
            answers.ways = [way for way in WRONG_ANSWERS if way in (ways or WRONG_ANSWERS)]
            if unknown := set(ways) - set(WRONG_ANSWERS):
                raise ValueError(unknown)

    def do_unreached(self: "Scenario", selector: str, share: str = "1") -> None:
        hosts = self._select_hosts(selector, share)
        self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=False)

    def do_hold(self: "Scenario", selector: str, seconds: str) -> None:
        hosts = [self._hosts[machine] for machine in self._select_machines(selector)]
        release = self._network.one_way(lambda f, t: t in hosts and f not in hosts, keep=True)
        self._loop.call_later(float(seconds), release)

    def do_late_reports(self: "Scenario", share: str, until: str = "") -> None:
        if until not in ("", "next"):
            raise ValueError(until)
        self._world.late_report_share, self._world.hold_until_next_leader = (
            float(share),
            until == "next",
        )

    def do_late_orders(self: "Scenario", share: str, awaits: str = Awaits.TIME) -> None:
        late_orders = self._world.late_orders
        late_orders.share, late_orders.awaits = float(share), Awaits(awaits)

    def _deliver_order(self: "Scenario", delay_s: float, copy: OrderCopy) -> None:
        async def arrive() -> None:
            worker = self._workers.get(copy.machine)
            if worker is not None:
                self._world.late_orders.arrive(worker, copy)

        def deliver() -> None:
            host = self._hosts.get(copy.machine)
            if host is not None and host.alive:
                on_host(host, arrive())

        self._loop.call_later(delay_s, deliver)

    def _on_state_write(self: "Scenario", key: str) -> None:
        """On the write of a new view, sends the held reports to every node, with small delays."""
        if key == "p/view":
            self._world.late_orders.on_view_change()
        if key != "p/view" or not self._world.held_reports:
            return
        held, self._world.held_reports = self._world.held_reports, []
        self.reports_kept += len(held)
        for report in held:
            for address in self._nodes.values():
                self._send_later(
                    self.rng.choice([0.0, 0.01, 0.1, 1.0]), address, "/checkin", report
                )

    def do_link(self: "Scenario", gb_per_s: str) -> None:
        self._world.fetch_gb_per_s = float(gb_per_s)

    def do_answers(self: "Scenario") -> None:
        """Once all faults are over, checks that every node knows each accepted job."""
        for job in self.rules.uploads:
            if self.rules.accepted(job):
                for node in self._nodes:
                    on_host(self._user_host, self._expect_known(job, node))

    async def _expect_known(self: "Scenario", job: str, node: str) -> None:
        try:
            async with asyncio.timeout(FORGOTTEN_AFTER_S):
                while not await self._ask_node("GET", job, f"/submissions/{job}", None, node):
                    await asyncio.sleep(2.0)
        except TimeoutError:
            self.rules.broken.append(
                f"{self._loop.time():.2f} forgotten: {job}, {node} does not know it"
            )

    def do_capacity(self: "Scenario", count: str) -> None:
        for pool in self.cloud.capacity:
            self.cloud.capacity[pool] = int(count)

    def do_boots(self: "Scenario", factor: str) -> None:
        self.cloud.boots = float(factor)

    def do_crash(self: "Scenario", name: str, for_s: str = str(RESTART_S)) -> None:
        for node in self._nodes if name == "all" else [name]:
            self._network.kill(self._hosts[node])
            if node in self._restart_timers:
                # A node that was crashed twice starts only once.
                self._restart_timers[node].cancel()
            self._restart_timers[node] = self._loop.call_later(float(for_s), self._start_node, node)

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
        self._freeze_host(self._hosts[node], float(for_s))

    def do_deafen(self: "Scenario", node: str) -> None:
        host = self._hosts[node]
        self._network.cut(lambda x, y: x is host and y.ip.startswith(WORKER_IP_PREFIX))

    def do_heal(self: "Scenario") -> None:
        self._network.heal()

    def do_die(self: "Scenario", selector: str, share: str = "1") -> None:
        machines = self._select_machines(selector)
        for machine in machines[: math.ceil(float(share) * len(machines))]:
            self._workers[machine].terminate()
            self._network.kill(self._hosts[machine])
            self._loop.call_later(FAILED_S, self.cloud.fail, machine)

    def do_sick(self: "Scenario", selector: str, share: str = "1") -> None:
        machines = self._select_machines(selector) if selector in ZONES else [selector]
        for machine in machines[: math.ceil(float(share) * len(machines))]:
            self._workers[machine].sick = True

    def do_notice(self: "Scenario", machine: str, seconds: str) -> None:
        self._workers[machine].reclaim_at = self._loop.time() + float(seconds)
        self._loop.call_later(float(seconds), self.cloud.remove, machine)
