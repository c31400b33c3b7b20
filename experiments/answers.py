"""Machines answer orders wrongly while tasks start, are stopped and change machines.

Three nodes; a part of the machines answers a part of the orders with nonsense, with a report that
is cut off or another machine's, or with 500, whether it carried them out or not. Short jobs come in
a burst meanwhile, some are cancelled at once, and gangs have room made for them. Drawn beside it: a
node that ends, orders and reports that come late, machines whose reports reach nobody, machines
that hang.
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
BEGIN_S = 60.0  # by then all machines are up and busy
LENGTH_S = 30.0
SMALL = "vcpus=1.0 accelerators=0.25 ram_gb=2.0"  # 16 to a machine: several orders to it a second
# What else goes on, by the seed.
BESIDE = (
    "",
    "{at:.2f} crash winch-1 0.3\n{later:.2f} crash winch-0 6",
    "{at:.2f} hold north 2.5\n{later:.2f} hold east 4",
    "{at:.2f} late_reports 0.5\n{later:.2f} late_reports 0",
    "{at:.2f} mute all 0.5\n{later:.2f} heal",
    "{at:.2f} hang all 9 0.3",
)


def scenario(seed: int) -> str:
    """A scenario's text."""
    rng = random.Random(seed)
    over_s = BEGIN_S + LENGTH_S
    lines = [
        "0 features on",
        f"0 capacity {rng.choice([3, 4])}",
        f"1 submit j-1 batch 40 900 {SMALL}",
        "1 submit j-2 standing 6 0",
        f"{BEGIN_S:.2f} answer_wrongly all {rng.choice([0.3, 0.6, 1.0])} {rng.choice([0.3, 0.6])}",
        f"{over_s:.2f} answer_wrongly all 0",
        f"{over_s + 60:.2f} answers",
    ]
    at_s, job = BEGIN_S + 0.5, 10
    while at_s < over_s - 5.0:
        kind = rng.choice(["batch 2 12", "batch 1 12", "gang 2 10"])
        lines.append(f"{at_s:.2f} submit j-{job} {kind} {SMALL}")
        if rng.random() < 0.4:
            lines.append(f"{at_s + rng.choice([0.3, 0.7, 1.2, 2.5, 5.0]):.2f} cancel j-{job}")
        at_s, job = at_s + rng.uniform(0.1, 0.4), job + 1
    at, later = BEGIN_S + rng.uniform(0, 5), BEGIN_S + rng.uniform(12, 20)
    beside = BESIDE[seed % len(BESIDE)]
    lines += beside.format(at=at, later=later).splitlines()
    lines.sort(key=lambda line: float(line.split()[0]))
    return "\n".join(lines) + "\n"


def played(seed: int) -> Scenario:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-answers-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        return play(path, seed)


def one(seed: int) -> dict[str, Any]:
    found = played(seed)
    rules = found.rules
    return {"seed": seed, "broken": rules.broken, "failures": found.failures, "n": rules.starts}


async def run(quick: bool, seed: int) -> Report:
    report = Report("answers", ABOUT)
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
