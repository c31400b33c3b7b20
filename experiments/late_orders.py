"""Randomized runs in which copies of answered orders arrive again, among restarts and faults.

Tasks end, fail, move and are cancelled all the time. The copies arrive 2 to 16 s after the order,
or as the next leader takes over, or when their machine has just rebooted.
"""

import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments import restarts
from experiments.report import Report
from standins.late_orders import Awaits
from standins.place import ZONES
from standins.scenario import play

ABOUT = "three nodes; copies of answered orders, nodes and machines back within a second"
FAULTS_BEGIN_S, FAULTS_END_S, SETTLE_S = 40.0, 110.0, 150.0
SERVICE_JOBS = ("j-1", "j-2")
LONG_JOBS = tuple(f"j-{40 + i}" for i in range(6))
# Copies that must arrive in each seed, on average: with fewer, a run without a broken rule would
# say little.
MIN_AFTER_CLEAR, MIN_AFTER_REBOOT = 20, 3
SEEDS, QUICK_SEEDS = 200, 4
Event = tuple[float, str]


def jobs(rng: random.Random) -> list[Event]:
    lines = [(1.0, "submit j-1 standing 5 0"), (1.0, "submit j-2 standing 3 0")]
    lines += [(rng.uniform(2, 20), f"submit {job} batch 4 900") for job in LONG_JOBS]
    lines += [(rng.uniform(35, 100), f"cancel {job}") for job in LONG_JOBS]
    lines += [
        (rng.uniform(2, 90), f"submit j-{10 + i} {rng.choice(('batch 8 12', 'gang 3 15'))}")
        for i in range(8)
    ]
    lines.append((24.0, f"flow j-500 {rng.choice([1, 2])} 70 0.3 batch {rng.choice([1, 3])} 6"))
    return lines


def faults(rng: random.Random) -> list[Event]:
    lines = [
        (rng.uniform(25, 80), f"sick {rng.choice(ZONES)} 0.2") for _ in range(rng.randrange(3))
    ]
    at = FAULTS_BEGIN_S
    while at < FAULTS_END_S:
        at += rng.choice([0.4, 2.0, 6.0, 12.0]) * rng.uniform(0.5, 1.5)
        lines += restarts.draw_fault(rng, at, [])
    return lines


def late_orders(rng: random.Random) -> list[Event]:
    lines, at = [], 1.0
    while at < FAULTS_END_S:
        awaits = rng.choice((Awaits.TIME, Awaits.TIME, Awaits.LEADER, Awaits.REBOOT))
        lines.append((at, f"late_orders {rng.choice([0.5, 1])} {awaits}"))
        at += rng.uniform(8, 30)
    return [*lines, (FAULTS_END_S, "late_orders 0")]


def scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines: list[Event] = [(0.0, "features on")] if rng.random() < 0.7 else []
    lines += [(0.0, f"capacity {rng.choice([8, 12])}")]
    # Without it a machine forgets an exited attempt as soon as the next one of its task starts.
    lines.append((0.0, "keep_attempts"))
    lines += [*jobs(rng), *faults(rng), *late_orders(rng)]
    recoveries = ("lose 0", "state refuse none", "state up", "heal", "answers")
    lines += [(FAULTS_END_S + 16, recovery) for recovery in recoveries]
    lines += [(FAULTS_END_S + SETTLE_S, f"expect {job} running") for job in SERVICE_JOBS]
    lines += [(FAULTS_END_S + SETTLE_S, f"expect {job} cancelled") for job in LONG_JOBS]
    lines.append((FAULTS_END_S + SETTLE_S, "expect started_again 0"))
    lines.sort(key=lambda line: line[0])
    return "".join(f"{at:.2f} {words}\n" for at, words in lines)


def run_seed(seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-late-orders-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        played = play(path, seed)
    return {
        "seed": seed,
        "broken": played.rules.broken,
        "failures": played.failures,
        "starts": played.rules.starts,
        "after a clear": played.late_orders.after_clear,
        "after a reboot": played.late_orders.after_reboot,
    }


def enough_copies(results: list[dict[str, Any]]) -> bool:
    """Whether as many copies met a machine that no longer knew their start as is required."""
    after_clear = sum(r["after a clear"] for r in results)
    after_reboot = sum(r["after a reboot"] for r in results)
    return (
        after_clear >= MIN_AFTER_CLEAR * len(results)
        and after_reboot >= MIN_AFTER_REBOOT * len(results)
    )  # fmt: skip


async def run(quick: bool, seed: int) -> Report:
    report = Report("late_orders", ABOUT)
    seeds = range(seed * 1000, seed * 1000 + (QUICK_SEEDS if quick else SEEDS))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run_seed, seeds))
    totals = ("starts", "after a clear", "after a reboot")
    report.rows = [
        {"seeds": len(results), "rules broken": sum(bool(r["broken"]) for r in results)}
        | {name: sum(r[name] for r in results) for name in totals}
    ]
    for r in results:
        for line in [*r["broken"], *r["failures"]][:2]:
            report.notes.append(f"seed {r['seed']}: {line[:300]}")
    report.bound("no rule broken", not any(r["broken"] or r["failures"] for r in results))
    report.bound("enough copies after a clear and after a reboot", enough_copies(results))
    return report
