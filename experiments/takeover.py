"""Randomized runs in which machines change owners while starts queue behind hung machines.

One node is up and owns all machines. Nearly half of them hang within their lease while a job on
them is cancelled, so that orders to them occupy all sending slots and a burst of starts for healthy
machines queues behind these. Then the other two nodes restart, and the view changes twice. Later
seeds add a fault: a slow state service, delayed orders, late copies of reports or late writes.
"""

import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.report import Report
from standins.scenario import Scenario, play

ABOUT = "three nodes, 96 machines; owners change while starts queue behind machines that hang"
SEEDS, QUICK_SEEDS = 100, 4
HANG_AT_S = 60.0
CANCEL_AT_S = HANG_AT_S + 8.0  # hung machines yield no credit by now but still hold their lease
HUNG_SHARE = 0.45  # a silent half of a zone would count as a zone cut
BURST_SPACING_S = 0.1
SEEDS_PER_FAULT = 20  # each range of so many seeds has one entry of ADDITIONAL_FAULTS
ADDITIONAL_FAULTS = (
    "",
    "{from_s:.2f} state slow 0.4\n{until_s:.2f} state slow 0",
    "{from_s:.2f} hold north 2.5",
    "{from_s:.2f} late_reports 0.5\n{until_s:.2f} late_reports 0",
    "{from_s:.2f} state late 0.3\n{until_s:.2f} state late 0",
)


def scenario(seed: int) -> str:
    """Returns the text of the scenario file for this seed."""
    rng = random.Random(seed)
    back_s = CANCEL_AT_S + rng.uniform(1.5, 2.2)
    crash_s = HANG_AT_S - 10.0
    lines = [
        "0 features on",
        "0 capacity 16",
        "1 submit j-1 batch 94 900 accelerators=3.0 vcpus=12.0",
        f"{crash_s:.2f} crash winch-2 {back_s - crash_s:.2f}",
        f"{crash_s:.2f} crash winch-1 {back_s + rng.uniform(-0.1, 0.1) - crash_s:.2f}",
        f"{HANG_AT_S:.2f} hang all {rng.uniform(11.5, 13):.2f} {HUNG_SHARE}",
        f"{CANCEL_AT_S:.2f} cancel j-1",
    ]
    at_s, job = back_s - 1.3, 10
    while at_s < back_s + 0.2:
        lines.append(f"{at_s:.2f} submit j-{job} batch 3 30")
        at_s, job = at_s + BURST_SPACING_S, job + 1
    faults = ADDITIONAL_FAULTS[seed // SEEDS_PER_FAULT % len(ADDITIONAL_FAULTS)]
    lines += faults.format(from_s=back_s - 0.5, until_s=back_s + 8.0).splitlines()
    lines.append(f"{HANG_AT_S + 30:.2f} poll j-10")
    lines.sort(key=lambda line: float(line.split()[0]))
    return "\n".join(lines) + "\n"


def played(seed: int) -> Scenario:
    """Runs the scenario of this seed and returns it with its results."""
    with tempfile.TemporaryDirectory(prefix="pulleydeal-takeover-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        return play(path, seed)


def run_seed(seed: int) -> dict[str, Any]:
    outcome = played(seed)
    rules = outcome.rules
    return {"seed": seed, "broken": rules.broken, "failures": outcome.failures, "n": rules.starts}


async def run(quick: bool, seed: int) -> Report:
    report = Report("takeover", ABOUT)
    seeds = range(seed, seed + (QUICK_SEEDS if quick else SEEDS))
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = list(pool.map(run_seed, seeds))
    broken = [row for row in results if row["broken"]]
    report.rows = [
        {
            "seeds": len(results),
            "rules broken": len(broken),
            "faults of the service": sum(bool(row["failures"]) for row in results),
            "starts": sum(row["n"] for row in results),
        }
    ]
    for row in results:
        for line in [*row["broken"], *row["failures"]][:2]:
            report.notes.append(f"seed {row['seed']}: {line[:300]}")
    report.bound("no rule broken", not broken)
    report.bound("no fault of the service", not any(row["failures"] for row in results))
    return report
