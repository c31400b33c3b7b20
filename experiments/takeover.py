"""Machines change owners while starts queue behind machines that hang.

One node is up and owns all machines. Nearly half of them hang within their lease and are told to
stop their tasks, so orders to them hold every slot; a burst of one-task starts for healthy machines
queues behind. In that moment the other two nodes are back, and the view changes twice. Drawn beside
it: a slow state service, orders held back, late copies of reports.
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
CANCEL_AT_S = HANG_AT_S + 8.0  # machines that hang give no credit any more, and hold their lease
HUNG_SHARE = 0.45  # below the half of a zone that counts as a cut
BURST_SPACING_S = 0.1
PLAIN_SEEDS = 20  # the seeds below have nothing beside it; each further lot has one thing more
BESIDE = (
    "",
    "{from_s:.2f} state slow 0.4\n{until_s:.2f} state slow 0",
    "{from_s:.2f} hold north 2.5",
    "{from_s:.2f} late_reports 0.5\n{until_s:.2f} late_reports 0",
    "{from_s:.2f} state late 0.3\n{until_s:.2f} state late 0",
)


def scenario(seed: int) -> str:
    """A scenario's text."""
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
    beside = BESIDE[seed // PLAIN_SEEDS % len(BESIDE)]
    lines += beside.format(from_s=back_s - 0.5, until_s=back_s + 8.0).splitlines()
    lines.append(f"{HANG_AT_S + 30:.2f} poll j-10")
    lines.sort(key=lambda line: float(line.split()[0]))
    return "\n".join(lines) + "\n"


def played(seed: int) -> Scenario:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-takeover-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        return play(path, seed)


def one(seed: int) -> dict[str, Any]:
    found = played(seed)
    rules = found.rules
    return {"seed": seed, "broken": rules.broken, "failures": found.failures, "n": rules.starts}


async def run(quick: bool, seed: int) -> Report:
    report = Report("takeover", ABOUT)
    seeds = range(seed, seed + (QUICK_SEEDS if quick else SEEDS))
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        found = list(pool.map(one, seeds))
    broken = [row for row in found if row["broken"]]
    report.rows = [
        {
            "seeds": len(found),
            "rules broken": len(broken),
            "faults of the service": sum(bool(row["failures"]) for row in found),
            "starts": sum(row["n"] for row in found),
        }
    ]
    for row in found:
        for line in [*row["broken"], *row["failures"]][:2]:
            report.notes.append(f"seed {row['seed']}: {line[:300]}")
    report.bound("no rule broken", not broken)
    report.bound("no fault of the service", not any(row["failures"] for row in found))
    return report
