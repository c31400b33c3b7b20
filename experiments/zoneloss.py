"""Randomized runs under the virtual clock: one zone is lost and returns, among other faults."""

import itertools
import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.report import Plot, Report
from standins.acceptance import least_served, shares
from standins.place import ZONES
from standins.scenario import Scenario, play

ABOUT = "three nodes, 42 copies of services, arrays and gangs of two teams; one zone lost a seed"
# SETTLE_S: from the last event until all copies must be up.
LOSS_AT_S, MAX_LOSS_S, SETTLE_S = 90.0, 240.0, 110.0
SERVICE_COPIES = {"j-1": 24, "j-2": 12, "j-3": 4, "j-4": 2}  # job -> copies
NODE_IN = dict(zip(ZONES, ("winch-0", "winch-1", "winch-2"), strict=True))
WINDOW_S = 30.0


def scenario(seed: int, features_on: bool) -> tuple[str, float]:
    """Returns a scenario's text, and when the zone is restored and the last event is over."""
    rng = random.Random(seed)
    zone = rng.choice(ZONES)
    duration_s = rng.choice(
        [rng.uniform(15, 50), rng.uniform(50, 140), rng.uniform(140, MAX_LOSS_S)]
    )
    restored_at = LOSS_AT_S + duration_s
    lines: list[tuple[float, str]] = [(0.0, "features on")] if features_on else []
    lines += [(0.0, f"capacity {rng.choice([8, 14, 20])}")]
    lines += [(1.0, f"submit {job} standing {copies} 0") for job, copies in SERVICE_COPIES.items()]
    for i in range(rng.randrange(6, 14)):
        at, name = rng.uniform(3, restored_at + 20), f"j-{10 + i}"
        crew = rng.choice(["core", "core", "small"])
        tasks = rng.randrange(2, 5 if crew == "small" else 12)
        if crew == "core" and rng.random() < 0.35:
            lines.append((at, f"submit {name} gang {rng.choice([2, 4])} 40 accelerators=4.0"))
        else:
            lines.append((at, f"submit {name} batch {tasks} {rng.randrange(15, 90)} crew={crew}"))
        if rng.random() < 0.25:
            lines.append((at + rng.uniform(2, 80), f"cancel {name}"))
    kind = rng.choice(["cut", "cut", "cut", "flaps", "dies", "half dies"])
    if kind in ("cut", "flaps"):
        lines += [(LOSS_AT_S, f"cut {zone}"), (restored_at, "heal")]
    if kind == "flaps":
        at = LOSS_AT_S
        for _ in range(rng.randrange(1, 4)):
            at += rng.uniform(3, 12)
            lines += [(at, "heal"), (at + rng.uniform(0.5, 6), f"cut {zone}")]
            at += 6
    elif kind == "dies":
        lines += [
            (LOSS_AT_S, f"crash {NODE_IN[zone]} {duration_s:.1f}"),
            (LOSS_AT_S, f"die {zone}"),
        ]
    elif kind == "half dies":
        lines.append((LOSS_AT_S, f"die {zone} 0.5"))
    for _ in range(rng.randrange(0, 4)):
        lines += draw_fault(rng, rng.uniform(LOSS_AT_S - 15, restored_at + 25), zone)
    lines.sort(key=lambda line: line[0])
    text = "".join(f"{at:.1f} {words}\n" for at, words in lines)
    last = max(at for at, _ in lines) + SETTLE_S
    return text + f"{last:.1f} lose 0.0\n", max(restored_at, last - SETTLE_S)


def draw_fault(rng: random.Random, at: float, zone: str) -> list[tuple[float, str]]:
    kind, duration_s = rng.randrange(9), rng.uniform(4, 20)
    other_node = rng.choice([node for z, node in NODE_IN.items() if z != zone])
    if kind == 0:
        return [(at, f"crash {NODE_IN[zone]} {duration_s:.1f}")]
    if kind == 1:
        return [(at, f"crash {other_node} {duration_s:.1f}")]
    if kind == 2:
        return [(at, f"crash all {rng.uniform(3, 6):.1f}")]
    if kind == 3:
        return [(at, "state down"), (at + duration_s, "state up")]
    if kind == 4:
        return [(at, "cloud down"), (at + 2 * duration_s, "cloud up")]
    if kind == 5:
        return [(at, f"state refuse {other_node}"), (at + duration_s, "state refuse none")]
    if kind == 6:
        return [(at, "lose 0.05"), (at + duration_s, "lose 0.0")]
    if kind == 7:
        return [(at, f"freeze {rng.choice(list(NODE_IN.values()))} {2 * duration_s:.1f}")]
    return [(at, f"deafen {other_node}")]  # until the next heal, or the end of the scenario


def run_case(case: tuple[int, bool]) -> dict[str, Any]:
    seed, features_on = case
    text, restored_at = scenario(seed, features_on)
    with tempfile.TemporaryDirectory(prefix="pulleydeal-zones-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(text)
        return judge(play(path, seed), seed, restored_at)


def judge(played: Scenario, seed: int, restored_at: float) -> dict[str, Any]:
    """Derives the result row of a finished scenario."""
    rules = played.rules
    end = played._clock.now()
    series = running_copies(rules.changes, LOSS_AT_S, end)
    cancelled = {job for job in rules.uploads if job in rules.cancelled}
    ended = {job: rules.done(job, played._world.results) for job in rules.uploads}
    restarted_copies = sum(
        1
        for at, job, delta in rules.changes
        if delta > 0 and at > LOSS_AT_S and job in SERVICE_COPIES
    )
    machines = [r[0] for k, r in played.state.keys.items() if k.startswith("p/m/")]
    return {
        "seed": seed,
        "broken": rules.broken,
        "failures": played.failures,
        "worst": worst_window_share(series, LOSS_AT_S, end),
        "worst while lost": worst_window_share(series, LOSS_AT_S, restored_at),
        "series": series,
        "whole after s": seconds_until_complete(series, LOSS_AT_S, end),
        "copies up at the end": series[-1][1] / sum(SERVICE_COPIES.values()),
        "killed by lease": rules.lost,
        "copies started again": restarted_copies,
        "changes a second": played.state.ledger / end,
        "machines up at the end": sum(m["state"] == "up" for m in machines),
        "served": shares(rules.uploads, ended, cancelled),
    }


def running_copies(
    changes: list[tuple[float, str, int]], begin: float, end: float
) -> list[tuple[float, int]]:
    """Returns (time, running copies of services) at every change from `begin` on."""
    up, points = 0, []
    for at, job, delta in changes:
        if job in SERVICE_COPIES:
            up += delta
            if at <= begin:
                points = [(begin, up)]
            else:
                points.append((at, up))
    return [*(points or [(begin, 0)]), (end, up)]


def worst_window_share(series: list[tuple[float, int]], begin: float, end: float) -> float:
    """Returns the smallest mean share of running copies over a window of WINDOW_S.

    A period shorter than WINDOW_S is one window.
    """
    total_copies = sum(SERVICE_COPIES.values())

    def mean(a: float, b: float) -> float:
        total = 0.0
        for (at, up), (until, _) in itertools.pairwise(series):
            total += up * max(0.0, min(b, until) - max(a, at))
        return total / (b - a) / total_copies

    starts = [at for at, _ in series if begin <= at <= end - WINDOW_S] or [begin]
    return min(mean(a, min(end, a + WINDOW_S)) for a in starts)


def seconds_until_complete(series: list[tuple[float, int]], begin: float, end: float) -> float:
    """Returns the seconds until all copies run for good, or until `end` if some never do."""
    missing = [
        until
        for (_, up), (until, _) in itertools.pairwise(series)
        if up < sum(SERVICE_COPIES.values())
    ]
    return max(missing, default=begin) - begin


def _row(name: str, results: list[dict[str, Any]]) -> dict[str, Any]:
    def median(key: str) -> float:
        values = sorted(float(r[key]) for r in results)
        return values[len(values) // 2]

    def tenth_percentile(key: str) -> float:
        return sorted(float(r[key]) for r in results)[len(results) // 10]

    return {
        "zones": name,
        "seeds": len(results),
        "rules broken": sum(bool(r["broken"]) for r in results),
        "up worst 30 s: p50": median("worst"),
        "p10": tenth_percentile("worst"),
        "least": min(r["worst"] for r in results),
        "whole again s p50": median("whole after s"),
        "most": max(r["whole after s"] for r in results),
        "killed by lease": sum(r["killed by lease"] for r in results),
        "started again": sum(r["copies started again"] for r in results),
        "changes/s": median("changes a second"),
        "machines at end": median("machines up at the end"),
        "least served": min(least_served(r["served"]) for r in results),
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("zoneloss", ABOUT)
    count = 6 if quick else 100
    seeds = range(seed * 1000, seed * 1000 + count)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        with_features = list(pool.map(run_case, [(s, True) for s in seeds]))
        without_features = list(pool.map(run_case, [(s, False) for s in seeds]))
    report.rows = [_row("on", with_features), _row("off, as before", without_features)]
    report.plots.append(
        Plot(
            "copies up in the worst 30 s, seeds from worst to best",
            "seed",
            "share",
            {
                name: [(float(i), v) for i, v in enumerate(sorted(r["worst"] for r in found))]
                for name, found in (("on", with_features), ("off", without_features))
            },
        )
    )
    for result in [*with_features, *without_features]:
        for line in [*result["broken"], *result["failures"]][:2]:
            report.notes.append(f"seed {result['seed']}: {line[:300]}")
    underserved = [
        r
        for r in with_features
        if least_served(r["served"]) < 0.5 or r["copies up at the end"] < 1.0
    ]
    for r in underserved:
        report.notes.append(
            f"seed {r['seed']}: {r['copies up at the end']:.2f} of the copies up at the end,"
            f" served {r['served']}"
        )
    report.bound(
        "no rule broken",
        not any(r["broken"] or r["failures"] for r in [*with_features, *without_features]),
    )
    report.bound(
        "all copies up, and half of every class and team served, at the end", not underserved
    )
    return report
