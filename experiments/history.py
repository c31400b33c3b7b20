"""Measures what jobs that are over cost a node: memory, processor time, state requests.

The bounds are those of the target: under 16 B a job, and a million in at most 30 MB above an empty
node, also at the peak of the load.
"""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.processes import cpu_s, memory_mb, peak_memory_mb
from experiments.report import Plot, Report
from pulleydeal.http import Client, NoResponse
from standins.town import Town

ABOUT = "one node starts over a state service full of jobs that are over"
SIZES = (0, 10_000, 100_000, 1_000_000)
QUICK_SIZES = (0, 5_000, 20_000)
ID_SPAN = 10  # ids are drawn from ten times as many
MAX_B_PER_JOB = 16.0
MAX_MILLION_MB = 30.0
MIN_JOBS = 100_000  # of fewer, the records that are kept for quick answers are the larger part
PROBE_S = 0.25
PROBE_TIMEOUT_S = 1.0  # PROTOCOL: the load balancer waits this long for an answer


def finished_job_record(index: int) -> dict[str, Any]:
    """Returns the reduced record kept for a finished job whose tasks have all left."""
    return {"status": "done", "tasks": 4, "at": 1.7e9 + index, "ended": 1.7e9 + index + 60.0}


async def count_unanswered_probes(town: Town, unanswered: list[float]) -> None:
    """Probes `/up` until cancelled, once it has been answered for the first time."""
    answered = False
    client = Client(town.nodes["node-0"], town.clock)
    try:
        while True:
            asked_at = town.clock.now()
            try:
                await client.request("GET", "/up", None, PROBE_TIMEOUT_S)
                answered = True
            except NoResponse:
                unanswered += [asked_at] if answered else []
            await asyncio.sleep(PROBE_S)
    finally:
        client.close()


async def measure(jobs: int, rng: random.Random) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-history-") as folder:
        town = Town(Path(folder), nodes=1, limits={"rps": 200.0})
        for index, drawn in enumerate(rng.sample(range(ID_SPAN * jobs), jobs)):
            town.state.put(f"p/j/j-{drawn:08d}", finished_job_record(index))
        unanswered: list[float] = []
        probes = asyncio.ensure_future(count_unanswered_probes(town, unanswered))
        try:
            town.up_s = 600.0
            began = town.clock.now()
            await town.start()
            serves_s = town.clock.now() - began
            pid = town.processes["node-0"].pid
            client = Client(town.nodes["node-0"], town.clock)
            _, text = await client.request("GET", "/metrics")
            client.close()
            requests = [x for x in text.decode().splitlines() if x.startswith("pulleydeal_state_r")]
            return {
                "jobs over": jobs,
                "memory MB": memory_mb(pid),
                "peak MB": peak_memory_mb(pid),
                "processor s until it serves": cpu_s(pid),
                "s until it serves": serves_s,
                "/up unanswered": len(unanswered),
                "state requests": int(float(requests[0].split()[1])),
            }
        finally:
            probes.cancel()
            await town.stop()


async def run(quick: bool, seed: int) -> Report:
    report = Report("history", ABOUT)
    rng = random.Random(seed)
    for jobs in QUICK_SIZES if quick else SIZES:
        report.rows.append(await measure(jobs, rng))
    empty = report.rows[0]
    for row in report.rows[1:]:
        more_mb = row["memory MB"] - empty["memory MB"]
        row["B a job"] = more_mb * 2**20 / row["jobs over"]
        row["MB above empty at peak"] = row["peak MB"] - empty["peak MB"]
    for row in report.rows[1:]:
        if row["jobs over"] >= MIN_JOBS:
            claim = f"under {MAX_B_PER_JOB:.0f} B a job of {row['jobs over']:,}"
            report.bound(claim, row["B a job"] < MAX_B_PER_JOB)
    last = report.rows[-1]
    allowed_mb = MAX_MILLION_MB * max(MIN_JOBS, last["jobs over"]) / 1e6
    held = max(last["MB above empty at peak"], last["memory MB"] - empty["memory MB"]) <= allowed_mb
    report.bound(
        f"{last['jobs over']:,} in {allowed_mb:.0f} MB above empty, also at the peak", held
    )
    report.bound(
        "every probe of /up is answered while it loads",
        not any(row["/up unanswered"] for row in report.rows),
    )
    report.plots.append(
        Plot(
            "Memory of a node by jobs that are over",
            "jobs over",
            "MB",
            {
                "held": [(r["jobs over"], r["memory MB"]) for r in report.rows],
                "peak": [(r["jobs over"], r["peak MB"]) for r in report.rows],
            },
        )
    )
    return report
