"""Whether each class and each team is served: of what was asked for, how much was.

`python3 -m experiments served --days DIR` reads the reports of days (JSON) in DIR; without it some
seeds of `zoneloss` are played.
"""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

from experiments.report import Report

ABOUT = "share served of each class and team; a day with one under a half fails"
LEAST = 0.5  # the users': under it a day fails
LARGE = 0.8  # of a class's largest job: so large ones count as its largest
BEGIN_S = 240.0  # the users': the largest jobs begin within this


def shares(
    uploads: dict[str, dict[str, Any]], ended: dict[str, bool], cancelled: set[str]
) -> dict[str, float]:
    """Class or team -> share of its jobs that came to their end; services run, so they don't."""
    asked: dict[str, int] = defaultdict(int)
    served: dict[str, int] = defaultdict(int)
    large = largest(uploads)
    for job, body in uploads.items():
        if job in cancelled or body["haul"] == "standing":
            continue
        groups = [f"class {body['rig']}", f"team {body['crew']}"]
        if job in large:
            groups.append(f"largest {body['rig']}")
        for group in groups:
            asked[group] += 1
            served[group] += ended[job]
    return {group: served[group] / count for group, count in asked.items()}


def largest(uploads: dict[str, dict[str, Any]]) -> set[str]:
    """The jobs of each class that take about as much as its largest one."""
    size = {job: body["lifts"] * max(1.0, body["accelerators"]) for job, body in uploads.items()}
    most: dict[str, float] = defaultdict(float)
    for job, body in uploads.items():
        most[body["rig"]] = max(most[body["rig"]], size[job])
    return {job for job, body in uploads.items() if size[job] >= LARGE * most[body["rig"]]}


def worst_wait(
    accepted_at: dict[str, float], changes: list[tuple[float, str, int]], jobs: set[str]
) -> float:
    """The longest that one of these jobs waited from its acceptance for its first task."""
    first: dict[str, float] = {}
    for at, job, change in changes:
        if change > 0:
            first.setdefault(job, at)
    waits = [first[job] - accepted_at[job] for job in jobs & set(first) & set(accepted_at)]
    return max(waits, default=0.0)


def least_served(found: dict[str, float]) -> float:
    return min(found.values(), default=1.0)


def of_report(day: dict[str, Any]) -> dict[str, float]:
    """The same by class from the report of a simulated day: tasks of services that are up, and
    of the others the jobs that started."""
    found = {}
    for name, seen in day["classes"].items():
        jobs = seen["jobs"] - (0 if seen.get("up") is not None else seen.get("cancelled", 0))
        started = seen["started"] / jobs if jobs > 0 else 1.0
        done = seen["done"] / jobs if jobs > 0 and seen.get("up") is None else started
        found[name] = min(1.0, seen["up"] if seen.get("up") is not None else done)
    return found


async def run(quick: bool, seed: int) -> Report:
    from experiments.zoneloss import one

    report = Report("served", ABOUT)
    for s in range(seed * 1000, seed * 1000 + (2 if quick else 12)):
        found = one((s, True))["served"]
        report.rows.append({"seed": s, **found})
    least = min(least_served({k: v for k, v in r.items() if k != "seed"}) for r in report.rows)
    report.bound("half of every class and team served", least >= LEAST)
    return report


def read(folder: Path) -> Report:
    report = Report("served", ABOUT)
    for path in sorted(folder.glob("*.json")):
        day = json.loads(path.read_text())
        if "classes" not in day:
            continue
        found = of_report(day)
        least = min(found, key=lambda name: found[name], default="")
        report.rows.append({"day": path.stem, **found, "least": least})
        if found and found[least] < LEAST:
            report.notes.append(f"{path.stem}: {least} is served {found[least]:.2f}")
    report.bound("half of every class served on every day", not report.notes and report.rows != [])
    return report
