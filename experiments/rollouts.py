"""Rolls a named service under load to versions that are good or become unhealthy at some step.

For comparison, the same rollout is run in two manners without gates: replacing all copies at once,
and replacing one copy at a time with only a start check.
"""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.load import generate_load
from experiments.processes import cpu_s
from experiments.report import Plot, Report
from standins.copies import Behaviour
from standins.services import Consumer, Floor, Operator, Watcher, toml
from standins.town import Town

ABOUT = "12 copies in 3 zones on loopback, an open loop of requests, versions that turn bad"
FEATURES = '[operators]\nlisten = "127.0.0.1:{operators}"\n[rollouts]\n'
COPIES, MIN_HEALTHY = 12, 11
REQUESTS_PER_S = 150.0  # consumers and copies share one process, which is the bottleneck at 500
SERVICE_SPEC: dict[str, Any] = {
    "name": "web",
    "class": "web",
    "team": "core",
    "copies": COPIES,
    "floor": MIN_HEALTHY,
    "surge": 2,
    "steps": [1, 4],
    "cpus": 2.0,
    "gpus": 0.0,
    "memory_gb": 4.0,
    "bake_s": 6.0,
    "watch_s": 10.0,
    "deadline_s": 60.0,
    "leave_s": 2.0,
    "check": {
        "every_s": 0.5,
        "timeout_s": 0.4,
        "healthy_after": 2,
        "unhealthy_after": 2,
        "grace_s": 20.0,
    },
}
# Strategies as changes to SERVICE_SPEC. "all at once" has no floor, no bake and no watch; "one by
# one" replaces the next copy as soon as the start check of the previous one succeeds.
STRATEGIES: dict[str, dict[str, Any]] = {
    "gated": {},
    "all at once": {"floor": 0, "surge": 0, "steps": [], "bake_s": 0.0, "watch_s": 0.0},
    "one by one": {"surge": 1, "steps": [], "bake_s": 0.0, "watch_s": 0.0},
}
# Seconds after its start at which a copy of the new version fails: never, within the bake of the
# first step, or within the watch, when no old copies are left.
CASES = {"good": None, "bad in the bake": 4.0, "bad after 20 s": 20.0}


class RolloutBench:
    """A cluster on loopback with one named service, its operator, a watcher and a consumer."""

    def __init__(self, folder: Path) -> None:
        self.town = Town(folder, features=FEATURES, capacity=2)
        self.town.copies.services["web"] = "web"
        addresses = {n: f"127.0.0.1:{p}" for n, p in self.town.operators.items()}
        self.operator = Operator(addresses, self.town.clock)
        self.watcher = Watcher(self.town.copies, self.town.now)
        self.consumer = Consumer("web", self.town.nodes, self.town.clock)
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        await self.town.start()
        for background in (self.watcher.steadily(), self.consumer.follow()):
            self._tasks.append(asyncio.ensure_future(background))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.town.stop()

    async def start_rollout(self, image: str, **changes: Any) -> None:
        text = toml(SERVICE_SPEC | changes | {"image": image})
        status, found = await self.operator.ask("POST", "/v1/rollouts", text)
        assert status == 200, found

    async def until_finished(self, timeout_s: float) -> dict[str, Any]:
        until = self.town.now() + timeout_s
        while True:
            _, found = await self.operator.ask("GET", "/v1/services/web")
            if "rollout" not in found or self.town.now() > until:
                return dict(found)
            await asyncio.sleep(0.3)


async def measure(strategy: str, case: str, seed: int, requests_per_s: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-rollouts-") as folder:
        bench = RolloutBench(Path(folder))
        try:
            await bench.start()
            await bench.start_rollout("img-1", bake_s=1.0, watch_s=1.0)
            await bench.until_finished(90.0)
            town, floor = bench.town, Floor(MIN_HEALTHY, bench.town.now())
            bench.watcher.floors["web"] = floor
            bench.town.copies.behaviours["img-2"] = Behaviour(fails_after_s=CASES[case])
            pids = [p.pid for p in town.processes.values()]
            cpu, started = sum(map(cpu_s, pids)), town.now()
            written = town.state.ledger
            await bench.start_rollout("img-2", **STRATEGIES[strategy])

            async def request(_: int) -> str:
                return await bench.consumer.request()

            duration_s = 12.0 if case == "bad in the bake" and strategy == "gated" else 45.0
            rng = random.Random(seed)
            load = asyncio.ensure_future(
                generate_load(request, requests_per_s, duration_s, town.clock, rng)
            )
            found = await bench.until_finished(duration_s)
            result = await load
            elapsed_s = town.now() - started
            total = sum(result.counts.values())
            return {
                "way": strategy,
                "version": case,
                "fewest healthy": floor.fewest,
                "requests": total,
                "unanswered": total - result.counts["200"],
                "first try bad": sum(n for k, n in bench.consumer.first.items() if k != "200"),
                "p99 ms": result.ms(99),
                "serves": found.get("good"),
                "transactions": town.state.ledger - written,
                "nodes' cpu": (sum(map(cpu_s, pids)) - cpu) / elapsed_s,
            }
        finally:
            await bench.stop()


async def run(quick: bool, seed: int) -> Report:
    report = Report("rollouts", ABOUT)
    requests_per_s = 100.0 if quick else REQUESTS_PER_S
    for strategy in ["gated"] if quick else STRATEGIES:
        for case in ["bad in the bake"] if quick else CASES:
            report.rows.append(await measure(strategy, case, seed, requests_per_s))
    gated = [row for row in report.rows if row["way"] == "gated"]
    report.bound("gated: no request unanswered", all(not r["unanswered"] for r in gated))
    held = [r for r in gated if r["version"] != "bad after 20 s"]
    report.bound(
        f"gated: never under the floor of {MIN_HEALTHY}, sampled at every change",
        all(r["fewest healthy"] >= MIN_HEALTHY for r in held),
    )
    bad = [r for r in gated if r["version"] != "good"]
    report.bound("gated: a bad version does not stay", all(r["serves"] == 1 for r in bad))
    report.notes.append(
        "a consumer tries up to 3 copies; a version that turns bad when it is everywhere leaves"
        " nothing that could answer, whatever the way: only its share of the copies limits that"
    )
    report.plots.append(
        Plot(
            "Fewest healthy copies",
            "case (good, bad in the bake, bad after 20 s)",
            "copies",
            {
                strategy: [
                    (float(list(CASES).index(r["version"])), float(r["fewest healthy"]))
                    for r in report.rows
                    if r["way"] == strategy
                ]
                for strategy in dict.fromkeys(r["way"] for r in report.rows)
            },
        )
    )
    return report
