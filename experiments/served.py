"""Measures the share of requested work that each class and team received.

`python3 -m experiments served --days DIR` reads reports of simulated days (JSON) in DIR. Without
`--days`, some seeds of `zoneloss` are run.
"""

import json
from pathlib import Path
from typing import Any

from experiments.report import Report
from standins.acceptance import LEAST, least_served

ABOUT = "share served of each class and team; a day with one under a half fails"


def served_by_class(day: dict[str, Any]) -> dict[str, float]:
    """Returns the served share of each class from the report of a simulated day.

    For services this is the share of copies that are up, for other classes the share of jobs that
    are done, not counting cancelled ones.
    """
    found = {}
    for name, class_stats in day["classes"].items():
        jobs = class_stats["jobs"] - (
            0 if class_stats.get("up") is not None else class_stats.get("cancelled", 0)
        )
        started = class_stats["started"] / jobs if jobs > 0 else 1.0
        done = class_stats["done"] / jobs if jobs > 0 and class_stats.get("up") is None else started
        found[name] = min(1.0, class_stats["up"] if class_stats.get("up") is not None else done)
    return found


async def run(quick: bool, seed: int) -> Report:
    from experiments.zoneloss import run_case

    report = Report("served", ABOUT)
    for s in range(seed * 1000, seed * 1000 + (2 if quick else 12)):
        found = run_case((s, True))["served"]
        report.rows.append({"seed": s, **found})
    least = min(least_served({k: v for k, v in r.items() if k != "seed"}) for r in report.rows)
    report.bound("half of every class and team served", least >= LEAST)
    return report


def read(folder: Path) -> Report:
    """Reports on the JSON reports of simulated days in a folder."""
    report = Report("served", ABOUT)
    for path in sorted(folder.glob("*.json")):
        day = json.loads(path.read_text())
        if "classes" not in day:
            continue
        found = served_by_class(day)
        least = min(found, key=lambda name: found[name], default="")
        report.rows.append({"day": path.stem, **found, "least": least})
        if found and found[least] < LEAST:
            report.notes.append(f"{path.stem}: {least} is served {found[least]:.2f}")
    report.bound("half of every class served on every day", not report.notes and report.rows != [])
    return report
