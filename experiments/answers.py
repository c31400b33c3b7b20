"""Randomized fault runs in which machines return invalid answers to orders.

Three nodes run under the virtual clock. Some machines answer some of their orders with invalid
JSON, a truncated report, another machine's report or status 500, whether or not they executed the
order. Meanwhile short jobs and gangs arrive in quick succession, and some are cancelled soon after.
The seed selects one additional fault: node crashes, delayed orders, late reports, machines whose
reports do not reach the nodes, or machines that hang.
"""

import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.report import Report
from standins.scenario import Scenario, play

ABOUT = "three nodes, up to 24 machines; a part of them answers orders wrongly"
SEEDS, QUICK_SEEDS = 120, 6
FAULTS_BEGIN_S = 60.0  # all machines are up and busy by then
FAULTS_LENGTH_S = 30.0
# 16 of these fit on a machine, so each machine receives several orders a second.
SMALL_TASK = "vcpus=1.0 accelerators=0.25 ram_gb=2.0"
# Additional faults; the seed selects one entry.
ADDITIONAL_FAULTS = (
    "",
    "{at:.2f} crash winch-1 0.3\n{later:.2f} crash winch-0 6",
    "{at:.2f} hold north 2.5\n{later:.2f} hold east 4",
    "{at:.2f} late_reports 0.5\n{later:.2f} late_reports 0",
    "{at:.2f} mute all 0.5\n{later:.2f} heal",
    "{at:.2f} hang all 9 0.3",
)


def scenario(seed: int) -> str:
    """Returns the text of the scenario file for this seed."""
    rng = random.Random(seed)
    faults_end_s = FAULTS_BEGIN_S + FAULTS_LENGTH_S
    lines = [
        "0 features on",
        f"0 capacity {rng.choice([3, 4])}",
        f"1 submit j-1 batch 40 900 {SMALL_TASK}",
        "1 submit j-2 standing 6 0",
        f"{FAULTS_BEGIN_S:.2f} answer_wrongly all"
        f" {rng.choice([0.3, 0.6, 1.0])} {rng.choice([0.3, 0.6])}",
        f"{faults_end_s:.2f} answer_wrongly all 0",
        f"{faults_end_s + 60:.2f} answers",
    ]
    at_s, job = FAULTS_BEGIN_S + 0.5, 10
    while at_s < faults_end_s - 5.0:
        kind = rng.choice(["batch 2 12", "batch 1 12", "gang 2 10"])
        lines.append(f"{at_s:.2f} submit j-{job} {kind} {SMALL_TASK}")
        if rng.random() < 0.4:
            lines.append(f"{at_s + rng.choice([0.3, 0.7, 1.2, 2.5, 5.0]):.2f} cancel j-{job}")
        at_s, job = at_s + rng.uniform(0.1, 0.4), job + 1
    at, later = FAULTS_BEGIN_S + rng.uniform(0, 5), FAULTS_BEGIN_S + rng.uniform(12, 20)
    faults = ADDITIONAL_FAULTS[seed % len(ADDITIONAL_FAULTS)]
    lines += faults.format(at=at, later=later).splitlines()
    lines.sort(key=lambda line: float(line.split()[0]))
    return "\n".join(lines) + "\n"


def played(seed: int) -> Scenario:
    """Runs the scenario of this seed and returns it with its results."""
    with tempfile.TemporaryDirectory(prefix="pulleydeal-answers-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        return play(path, seed)


def run_seed(seed: int) -> dict[str, Any]:
    outcome = played(seed)
    rules = outcome.rules
    return {"seed": seed, "broken": rules.broken, "failures": outcome.failures, "n": rules.starts}


async def run(quick: bool, seed: int) -> Report:
    report = Report("answers", ABOUT)
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
