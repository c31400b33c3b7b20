"""Measures what named services cost one node: processor, memory and state transactions."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from experiments.processes import cpu_s, memory_mb
from experiments.report import Plot, Report
from experiments.rollouts import FEATURES, SERVICE_SPEC
from standins.services import Operator, toml
from standins.town import Town

ABOUT = "one node leads services of 12 copies that serve; checks each 2 s, registrations each 3 s"
SIZES = (0, 5, 10, 20)
QUICK_SIZES = (1,)
SETTLE_S = 25.0
MEASURE_S = 20.0
LIGHT_SPEC: dict[str, Any] = {
    "cpus": 0.1,
    "memory_gb": 0.2,
    "surge": 2,
    "bake_s": 1.0,
    "watch_s": 1.0,
    "check": {"every_s": 2.0, "timeout_s": 1.0, "grace_s": 30.0},
}


async def measure(services: int, settle_s: float, measure_s: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-scale-") as folder:
        town = Town(Path(folder), nodes=1, features=FEATURES, capacity=2)
        town.copies.all = True
        try:
            await town.start()
            operator = Operator({"node-0": f"127.0.0.1:{town.operators['node-0']}"}, town.clock)
            for n in range(services):
                text = toml(
                    SERVICE_SPEC
                    | LIGHT_SPEC
                    | {"name": f"web-{n}", "class": f"web-{n}", "image": "i"}
                )
                status, found = await operator.ask("POST", "/v1/rollouts", text)
                assert status == 200, found
            await asyncio.sleep(settle_s + services)
            pid = town.processes["node-0"].pid
            cpu, began, ledger = cpu_s(pid), town.now(), town.state.ledger
            checked = sum(sum(c.answered.values()) for c, _ in town.copies.live.values())
            await asyncio.sleep(measure_s)
            elapsed_s = town.now() - began
            answered = sum(sum(c.answered.values()) for c, _ in town.copies.live.values())
            healthy = sum(c.good() for c, _ in town.copies.live.values())
            sizes = [
                len(str(value[0]))
                for key, value in town.state.keys.items()
                if key.startswith("p/f/rollouts/s/")
            ]
            return {
                "services": services,
                "copies": healthy,
                "cpu of a core": (cpu_s(pid) - cpu) / elapsed_s,
                "memory MB": memory_mb(pid),
                "checks a second": (answered - checked) / elapsed_s,
                "transactions a second": (town.state.ledger - ledger) / elapsed_s,
                "largest record B": max(sizes, default=0),
            }
        finally:
            await town.stop()


async def run(quick: bool, seed: int) -> Report:
    report = Report("rolloutscale", ABOUT)
    for services in QUICK_SIZES if quick else SIZES:
        settle_s, measure_s = (12.0, 3.0) if quick else (SETTLE_S, MEASURE_S)
        report.rows.append(await measure(services, settle_s, measure_s))
    report.bound(
        "services that serve write nothing",
        all(row["transactions a second"] < 0.2 for row in report.rows),
    )
    report.plots.append(
        Plot(
            "One node's processor by services led",
            "services of 12 copies",
            "of a core",
            {"serving": [(r["services"], r["cpu of a core"]) for r in report.rows]},
        )
    )
    return report
