"""Randomized runs in which nodes and machines restart within a second, among other faults."""

import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.report import Report
from standins.acceptance import least_served, shares
from standins.place import ZONES
from standins.scenario import play

ABOUT = "three nodes; nodes and machines back after 0.05 to 1 s, late copies, repeats"
NODES = ("winch-0", "winch-1", "winch-2")
# SETTLE_S: from FAULTS_END_S until all work must be done.
FAULTS_BEGIN_S, FAULTS_END_S, SETTLE_S = 45.0, 110.0, 190.0
SERVICE_JOBS = ("j-1", "j-2")


def scenario(seed: int) -> str:
    """Returns a scenario's text: mixed work, then restarts, repeated requests and other faults."""
    rng = random.Random(seed)
    lines: list[tuple[float, str]] = [(0.0, "features on")] if rng.random() < 0.7 else []
    lines += [(0.0, f"capacity {rng.choice([6, 10])}")]
    lines += [(1.0, "submit j-1 standing 6 0"), (1.0, "submit j-2 standing 4 0")]
    names = []
    for i in range(rng.randrange(6, 12)):
        at, name = rng.uniform(2, FAULTS_END_S - 10), f"j-{10 + i}"
        names.append((at, name))
        kind = rng.choice(["gang 4", "gang 2", f"batch {rng.randrange(1, 9)}"])
        lines.append((at, f"submit {name} {kind} {rng.randrange(5, 45)}"))
        if rng.random() < 0.25:
            lines.append((at + rng.uniform(0.5, 50), f"cancel {name}"))
    lines.append((FAULTS_BEGIN_S, f"repeat {rng.choice([0.0, 0.1, 0.3])}"))
    at = FAULTS_BEGIN_S
    while at < FAULTS_END_S:
        at += rng.choice([0.1, 0.4, 1.0, 3.0, 9.0]) * rng.uniform(0.5, 1.5)
        lines += draw_fault(rng, at, [name for came, name in names if came < at - 3])
    lines += [
        (FAULTS_END_S + 10, "lose 0"),
        (FAULTS_END_S + 10, "repeat 0"),
        (FAULTS_END_S + 10, "state refuse none"),
    ]
    lines += [(FAULTS_END_S + 10, "state up"), (FAULTS_END_S + 10, "heal")]
    lines += [(FAULTS_END_S + SETTLE_S, f"expect {job} running") for job in SERVICE_JOBS]
    lines.sort(key=lambda line: line[0])
    return "".join(f"{at:.2f} {words}\n" for at, words in lines)


def draw_fault(rng: random.Random, at: float, jobs: list[str]) -> list[tuple[float, str]]:
    """Draws one fault that begins at `at`; `jobs` are those whose submission may be repeated."""
    node, restart_delay_s = rng.choice(NODES), rng.choice([0.05, 0.2, 0.5, 1.0])
    kind = rng.randrange(12)
    if kind < 4:
        return [(at, f"crash {node} {restart_delay_s}")]
    if kind == 4:
        return [(at, f"crash all {restart_delay_s}")]
    if kind < 7:
        how = rng.choice(["afresh", "on"])
        return [
            (at, f"reboot {rng.choice(ZONES)} {restart_delay_s} {how} {rng.choice([0.2, 0.5, 1])}")
        ]
    if kind == 7 and jobs:
        return [(at, f"again {rng.choice(jobs)} submit")]
    if kind == 8:
        return [(at, f"state refuse {node}"), (at + rng.uniform(1, 8), "state refuse none")]
    if kind == 9:
        return [(at, "state down"), (at + rng.uniform(1, 6), "state up")]
    if kind == 10:
        return [(at, "lose 0.2"), (at + rng.uniform(2, 10), "lose 0")]
    zone, other = rng.sample(ZONES, 2)
    return [(at, f"cut {zone} {other}"), (at + rng.uniform(1, 9), "heal")]


def one(seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-restarts-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        played = play(path, seed)
    rules = played.rules
    ended = {job: rules.done(job, played._world.results) for job in rules.uploads}
    return {
        "seed": seed,
        "broken": rules.broken,
        "failures": played.failures,
        "starts": rules.starts,
        "rented": played.cloud._serial,
        "served": shares(rules.uploads, ended, set(rules.cancelled)),
        "open": [
            job
            for job, done in ended.items()
            if not done and job not in rules.cancelled and job not in SERVICE_JOBS
        ],
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("restarts", ABOUT)
    seeds = range(seed * 1000, seed * 1000 + (6 if quick else 200))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(one, seeds))
    report.rows = [
        {
            "seeds": len(results),
            "rules broken": sum(bool(r["broken"]) for r in results),
            "jobs left open": sum(len(r["open"]) for r in results),
            "starts": sum(r["starts"] for r in results),
            "machines rented": sum(r["rented"] for r in results),
            "least served": min(least_served(r["served"]) for r in results),
        }
    ]
    for r in results:
        for line in [*r["broken"], *r["failures"]][:2]:
            report.notes.append(f"seed {r['seed']}: {line[:300]}")
        if r["open"]:
            report.notes.append(f"seed {r['seed']}: not done at the end: {r['open']}")
    report.bound("no rule broken", not any(r["broken"] or r["failures"] for r in results))
    report.bound(
        "all jobs done and all services up at the end", not any(r["open"] for r in results)
    )
    return report
