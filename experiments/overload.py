"""Submissions at several times the rate that the state service can write."""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.load import Result, play
from experiments.report import Plot, Report
from pulleydeal import constants as c
from pulleydeal.http import Client, NoResponse
from standins.town import Town, job

ABOUT = "submissions at 0.5 to 4 times the write rate, three nodes, open loop, no retries"
WRITE_RPS = 80.0
TIMES = (0.5, 1.0, 2.0, 4.0)
PATIENCE_S = 5.0  # PROTOCOL: users wait so long for a submission
SETTLE_S = 6.0  # between two loads: queues and bindings of the last one are over


class Users:
    """Submit jobs that wait for ever, so that only their acceptance is measured."""

    def __init__(self, town: Town) -> None:
        self._clients = [Client(address, town.clock) for address in town.nodes.values()]
        self.first = 0

    async def send(self, number: int) -> str:
        client = self._clients[number % len(self._clients)]
        # Of a type that the cloud can't give: nothing is rented or bound meanwhile.
        body: Any = job(f"j-{self.first + number}", accelerators=4.0, lifts=1, haul="gang")
        try:
            status, _ = await client.request("POST", "/submissions", body, PATIENCE_S)
        except NoResponse:
            return "none"
        return str(status)

    def close(self) -> None:
        for client in self._clients:
            client.close()


def row(times: float, result: Result) -> dict[str, Any]:
    return {
        "times the rate": times,
        "accepted a second": result.rate("201"),
        "refused": result.counts["503"],
        "no answer": result.counts["none"],
        "accepted p50 ms": result.ms(50, "201"),
        "accepted p99 ms": result.ms(99, "201"),
        "refused p50 ms": result.ms(50, "503"),
        "refused p99 ms": result.ms(99, "503"),
        "all p99 ms": result.ms(99),
        "asker late ms": result.late_s * 1000,
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("overload", ABOUT)
    for_s = 8.0 if quick else 20.0
    times = (2.0, 4.0) if quick else TIMES
    with tempfile.TemporaryDirectory(prefix="pulleydeal-overload-") as folder:
        town = Town(Path(folder), limits={"write_rps": WRITE_RPS}, capacity=0)
        try:
            await town.start()
            users = Users(town)
            rng = random.Random(seed)
            for x in times:
                await asyncio.sleep(1.0 if quick else SETTLE_S)
                result = await play(users.send, x * WRITE_RPS, for_s, town.clock, rng)
                users.first += 1_000_000
                report.rows.append(row(x, result))
            users.close()
        finally:
            await town.stop()
    best = max(r["accepted a second"] for r in report.rows)
    full = [r for r in report.rows if r["times the rate"] >= 1.0]
    report.bound(
        f"accepted a second at 1 times the rate and above never under 0.9 of the best ({best:.1f})",
        all(r["accepted a second"] >= 0.9 * best for r in full),
    )
    report.bound(
        "99th percentile of every answer under 1 s", all(r["all p99 ms"] < 1000 for r in full)
    )
    report.bound(
        "refusals under 50 ms (99th percentile)", all(r["refused p99 ms"] < 50 for r in full)
    )
    report.bound("every request answered", all(r["no answer"] == 0 for r in full))
    report.notes.append(
        f"limits: {WRITE_RPS:.0f} changes a second for all nodes, of which {c.WRITE_SHARE:.0%} are"
        " used; nodes are processes on this machine, not held to a share of a core"
    )
    report.plots.append(
        Plot(
            "Accepted and refused at several times the write rate",
            "times the rate",
            "a second",
            {
                "accepted": [(r["times the rate"], r["accepted a second"]) for r in report.rows],
                "refused": [(r["times the rate"], r["refused"] / for_s) for r in report.rows],
            },
        )
    )
    return report
