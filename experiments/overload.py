"""Measures submissions at several multiples of the state service's write rate."""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.load import LoadResult, generate_load
from experiments.report import Plot, Report
from pulleydeal import constants as c
from pulleydeal.http import Client, NoResponse
from standins.town import Town, job

ABOUT = "submissions at 0.5 to 4 times the write rate, three nodes, open loop, no retries"
WRITE_RPS = 80.0
LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0)
SUBMIT_TIMEOUT_S = 5.0  # PROTOCOL: how long users wait for an answer to a submission
SETTLE_S = 6.0  # lets the queues and bindings of the previous load drain


class Users:
    """Submit jobs that never start, so that only their acceptance is measured."""

    def __init__(self, town: Town) -> None:
        self._clients = [Client(address, town.clock) for address in town.nodes.values()]
        self.first_job_number = 0

    async def send(self, number: int) -> str:
        client = self._clients[number % len(self._clients)]
        # Needs a machine type that the cloud cannot provide, so nothing is rented or bound.
        body: Any = job(
            f"j-{self.first_job_number + number}", accelerators=4.0, lifts=1, haul="gang"
        )
        try:
            status, _ = await client.request("POST", "/submissions", body, SUBMIT_TIMEOUT_S)
        except NoResponse:
            return "none"
        return str(status)

    def close(self) -> None:
        for client in self._clients:
            client.close()


def result_row(factor: float, result: LoadResult) -> dict[str, Any]:
    return {
        "times the rate": factor,
        "accepted a second": result.rate("201"),
        "refused": result.counts["503"],
        "no answer": result.counts["none"],
        "accepted p50 ms": result.ms(50, "201"),
        "accepted p99 ms": result.ms(99, "201"),
        "refused p50 ms": result.ms(50, "503"),
        "refused p99 ms": result.ms(99, "503"),
        "all p99 ms": result.ms(99),
        "asker late ms": result.max_send_delay_s * 1000,
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("overload", ABOUT)
    duration_s = 8.0 if quick else 20.0
    factors = (2.0, 4.0) if quick else LOAD_FACTORS
    with tempfile.TemporaryDirectory(prefix="pulleydeal-overload-") as folder:
        town = Town(Path(folder), limits={"write_rps": WRITE_RPS}, capacity=0)
        try:
            await town.start()
            users = Users(town)
            rng = random.Random(seed)
            for factor in factors:
                await asyncio.sleep(1.0 if quick else SETTLE_S)
                result = await generate_load(
                    users.send, factor * WRITE_RPS, duration_s, town.clock, rng
                )
                users.first_job_number += 1_000_000
                report.rows.append(result_row(factor, result))
            users.close()
        finally:
            await town.stop()
    best_rate = max(r["accepted a second"] for r in report.rows)
    saturated = [r for r in report.rows if r["times the rate"] >= 1.0]
    report.bound(
        "accepted a second at 1 times the rate and above never under 0.9 of the best"
        f" ({best_rate:.1f})",
        all(r["accepted a second"] >= 0.9 * best_rate for r in saturated),
    )
    report.bound(
        "99th percentile of every answer under 1 s", all(r["all p99 ms"] < 1000 for r in saturated)
    )
    report.bound(
        "refusals under 50 ms (99th percentile)", all(r["refused p99 ms"] < 50 for r in saturated)
    )
    report.bound("every request answered", all(r["no answer"] == 0 for r in saturated))
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
                "refused": [(r["times the rate"], r["refused"] / duration_s) for r in report.rows],
            },
        )
    )
    return report
