"""Randomized runs in which two or three faults overlap, close to cancellations, with mixed work."""

import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.report import Report
from standins.acceptance import BEGIN_S, LEAST, largest, least_served, shares, worst_wait
from standins.place import ZONES
from standins.scenario import play

ABOUT = "three nodes; two or three of the meetings' troubles at once, cancels before and within"
NODES = ("winch-0", "winch-1", "winch-2")
FAULT_GROUPS_AT_S = (45.0, 120.0)  # start times of the two groups of faults
FAULT_GROUP_S = 60.0  # by then every fault of a group has ended
FAULTS_END_S = FAULT_GROUPS_AT_S[-1] + FAULT_GROUP_S + 5
SETTLE_S = 130.0  # from FAULTS_END_S until all work must be done
SERVICE_JOBS = ("j-1", "j-2")
Event = tuple[float, str]


def jobs(rng: random.Random) -> list[Event]:
    """Returns submissions of short, long and large jobs, some of which run until cancelled."""
    lines: list[Event] = [(1.0, "submit j-1 standing 6 0"), (1.0, "submit j-2 standing 4 0")]
    kinds = (
        "batch 3 8 _each_s=22",
        "batch 2 5 _each_s=40",
        "gang 3 40 accelerators=4.0",
        "gang 2 12",
        "batch 16 15",
        "batch 40 6",
        "batch 1 70",
        "batch 3 30 crew=small",
        "batch 2 25 crew=small",
    )
    lines += [(rng.uniform(2, 120), f"submit j-{10 + i} {rng.choice(kinds)}") for i in range(9)]
    # Cancelled around the faults; they would run far longer than the scenario.
    long_kinds = ("batch 4 900", "gang 3 900", "standing 3 0", "batch 2 900 accelerators=4.0")
    lines += [(3.0, f"submit j-{40 + i} {rng.choice(long_kinds)}") for i in range(6)]
    return lines


def draw_fault(rng: random.Random, at: float, node: str) -> list[Event]:
    """Draws one fault that begins at `at`; `node` is the node affected by those about one node."""
    other = rng.choice([x for x in NODES if x != node])
    duration_s = rng.choice([4.0, 15.0, 40.0])
    restart_delay_s = rng.choice([0.1, 0.5, 5.0])
    zone = rng.choice(ZONES)
    return rng.choice(
        [
            [(at, f"crash {node} {restart_delay_s}")],
            [
                (at, f"crash {node} {restart_delay_s}"),
                (at + 1.0, f"crash {other} {restart_delay_s}"),
            ],
            [(at, f"crash all {restart_delay_s}")],
            [(at, f"state refuse {node}"), (at + duration_s, "state refuse none")],
            [(at, f"state refuse {node}"), (at + 2.0, "state down"), (at + 44, "state up")],
            [(at, "state down"), (at + duration_s, "state up")],
            [(at, "state slow 0.8"), (at + duration_s, "state slow 0")],
            [(at, "state late 0.3"), (at + duration_s, "state late 0")],
            [(at, "late_reports 0.4"), (at + duration_s, "late_reports 0")],
            [(at, f"hold {rng.choice([zone, 'all'])} {rng.uniform(1, 8):.1f}")],
            [(at, f"unreached {zone} {rng.choice([0.4, 1])}"), (at + duration_s, "heal")],
            [(at, f"apart {node}"), (at, f"shun {node}"), (at + duration_s, "heal")],
            [(at, f"mute {other} {node}"), (at + duration_s, "heal")],
            [(at, f"freeze {node} {duration_s}")],
            [(at, f"cut {zone}"), (at + duration_s, "heal")],
            [(at, f"deafen {node}"), (at + duration_s, "heal")],
            [(at, f"reboot {zone} {restart_delay_s} {rng.choice(['afresh', 'on'])} 0.5")],
            [(at, f"die {zone} 0.3")],
            *more_faults(rng, at, node, duration_s),
        ]
    )


def more_faults(rng: random.Random, at: float, node: str, duration_s: float) -> list[list[Event]]:
    """Returns further candidate faults, each with the events that accompany it."""
    affected_machines = rng.choice([*ZONES, "all"])
    crash = (at + rng.choice([0.3, 3.0]), f"crash {node} {rng.choice([0.1, 0.5, 5.0])}")
    restore_later = [(at + 45, "state up"), (at + 45, "state refuse none")]
    return [
        [(at, "state late 0.4 at_once"), (at + duration_s, "state late 0")],
        [(at, "state late 0.4 at_once"), crash, (at + duration_s, "state late 0")],
        [(at - 8, "late_reports 0.6 next"), crash, (at + duration_s, "late_reports 0")],
        [(at, f"mute {affected_machines} {rng.choice([0.4, 1])}"), (at + duration_s, "heal")],
        [(at, f"hang {affected_machines} {rng.choice([3, 9, 13, 20])} 0.5")],
        [(at, f"cancel_now 4 {rng.choice([0, 5, 12])}"), crash],
        [
            (at, "cancel_now 4"),
            (at, f"state refuse {node}"),
            (at + 1, "state down"),
            *restore_later,
        ],
        [(at, f"cut {rng.choice(ZONES)}"), (at + 0.5, "cancel_now 3"), (at + duration_s, "heal")],
        [(at, "boots 0.05"), (at, f"flow j-{500 + int(at)} 4 5 0.25 batch 1 5"), crash],
        [(at, "odd_requests")],
    ]


def scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines: list[Event] = [(0.0, "features on")] if rng.random() < 0.7 else []
    lines += [(0.0, f"capacity {rng.choice([8, 12])}"), *jobs(rng)]
    if rng.random() < 0.2:
        lines.append((0.0, "state watches end"))
    if rng.random() < 0.5:
        lines.append((0.0, "close_looks 0.1"))
    if rng.random() < 0.5:
        lines.append((0.0, f"cancel_at_end {rng.choice([0.2, 0.6])}"))
    long_jobs = [f"j-{40 + i}" for i in range(6)]
    for begin, cancelled_jobs in zip(
        FAULT_GROUPS_AT_S, (long_jobs[:3], long_jobs[3:]), strict=True
    ):
        node = rng.choice(NODES)
        at = begin
        for _ in range(rng.choice([2, 2, 3])):
            lines += draw_fault(rng, at, node)
            at += rng.choice([0.2, 1.0, 2.5, 6.0, 14.0])
        # Cancel shortly before, at or after the beginning of the faults.
        lines += [
            (begin + rng.choice([-0.2, 0.5, 2.8, 8.0, 20.0]), f"cancel {j}") for j in cancelled_jobs
        ]
    for recovery in ("state up", "state refuse none", "state slow 0", "state late 0", "heal"):
        lines.append((FAULTS_END_S, recovery))
    lines += [(FAULTS_END_S, "late_reports 0"), (FAULTS_END_S + 1, "answers")]
    lines += [(FAULTS_END_S + 30, f"cancel {job}") for job in long_jobs]
    lines += [(FAULTS_END_S + SETTLE_S, f"expect {job} running|cancelled") for job in SERVICE_JOBS]
    lines += [(FAULTS_END_S + SETTLE_S, f"expect {job} cancelled") for job in long_jobs]
    lines.sort(key=lambda line: line[0])
    return "".join(f"{at:.2f} {words}\n" for at, words in lines)


def run_seed(seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="pulleydeal-meetings-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(scenario(seed))
        played = play(path, seed)
    rules = played.rules
    # Users may have given up submitting during the faults.
    accepted = {job: body for job, body in rules.uploads.items() if rules.accepted(job)}
    ended = {job: rules.done(job, played._world.results) for job in accepted}
    cancelled_during_faults = [at for at in rules.cancelled.values() if at < FAULTS_END_S]
    return {
        "seed": seed,
        "broken": rules.broken + [f"overtaken: {key}" for key in played.state.overtaken],
        "failures": played.failures,
        "starts": rules.starts,
        "cancels": len(cancelled_during_faults),
        "wait": worst_wait(rules.accepted_at, rules.changes, largest(accepted)),
        "served": shares(accepted, ended, set(rules.cancelled)),
        "open": [
            job
            for job, done in ended.items()
            if not done and job not in rules.cancelled and job not in SERVICE_JOBS
        ],
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("meetings", ABOUT)
    seeds = range(seed * 1000, seed * 1000 + (10 if quick else 200))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run_seed, seeds))
    report.rows = [
        {
            "seeds": len(results),
            "rules broken": sum(bool(r["broken"]) for r in results),
            "jobs left open": sum(len(r["open"]) for r in results),
            "starts": sum(r["starts"] for r in results),
            "cancelled in troubles": sum(r["cancels"] for r in results),
            "least served": min(least_served(r["served"]) for r in results),
            "largest waited s": round(max(r["wait"] for r in results)),
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
    served = all(least_served(r["served"]) >= LEAST for r in results)
    report.bound("half of each class, team and class's largest jobs served", served)
    report.bound("the largest begin in time", all(r["wait"] <= BEGIN_S for r in results))
    report.bound("cancellations were confirmed in the troubles", sum(r["cancels"] for r in results))
    return report
