"""Real nodes with hollow workers at growing sizes: what each further worker, start, task costs."""

import asyncio
import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from experiments.report import Plot, Report
from experiments.scale_cell import raise_socket_limit
from experiments.scale_plan import Size
from experiments.scale_run import play, within_bounds
from experiments.slopes import fit
from standins.town import TownError

ABOUT = "whole nodes as processes, hollow workers over loopback, the state service's limits held"
# Of a state service that takes whatever comes: shows what limits next.
RAISED: dict[str, Any] = {"write_rps": 4_000.0, "rps": 8_000.0}
SWEEPS: dict[str, list[Size]] = {
    "workers": [Size(workers=n) for n in (300, 600, 1_200, 2_400)],
    "more nodes": [Size(workers=4_800, nodes=n) for n in (3, 6)],
    "tasks": [Size(workers=600, tasks_per_worker=n) for n in (4, 12, 20, 28)],
    "members": [Size(workers=300, nodes=n) for n in (3, 5, 7, 9)],
    "starts, limits held": [Size(workers=600, starts_per_s=n) for n in (20, 40, 80, 160, 320)],
    "starts, limits raised": [
        Size(workers=600, starts_per_s=n, **RAISED) for n in (10, 20, 40, 80)
    ],
}
JOURNAL = "[journal]\n"
SWEEPS["starts, journal"] = [
    Size(workers=600, starts_per_s=n, features=JOURNAL) for n in (20, 40, 80, 160, 320)
]
# Starts at the rate that is expected of so many workers, with the mechanism and without; the last
# with as many processes as this machine has cores for.
STARTS_A_WORKER = 3_900 / 24_000
SWEEPS["a cell"] = [
    Size(workers=n, nodes=nodes, starts_per_s=n * STARTS_A_WORKER, features=features)
    for n, nodes, features in (
        (600, 3, ""),
        (600, 3, JOURNAL),
        (1_200, 3, ""),
        (1_200, 3, JOURNAL),
        (2_400, 3, JOURNAL),
        (4_800, 6, JOURNAL),
    )
]
FAULTS = "faults"
SWEEPS[FAULTS] = [Size(workers=600, features=JOURNAL)]
QUICK = {
    "workers": [Size(workers=n, tasks_per_worker=8, settle_s=4.0, measure_s=6.0) for n in (40, 80)]
}
# What the table shows of each run; all of it is in the JSON.
SHOWN = (
    "sweep",
    "workers",
    "nodes",
    "offered starts/s",
    "starts/s",
    "cores of all nodes",
    "MB a node",
    "changes/s",
    "state requests/s",
    "urgent p50 s",
    "urgent p99 s",
    "urgent worst s",
    "rules broken",
)
# Sweep -> what is fitted over it: (x, y).
FITTED = {
    "workers": [
        ("workers", "reports/s"),
        ("workers", "cores of all nodes"),
        ("workers", "MB a node"),
        ("workers", "load s"),
        ("workers", "state requests/s"),
    ],
    "tasks": [
        ("tasks held", "MB a node"),
        ("tasks held", "cores of all nodes"),
        ("tasks held", "bytes a report"),
    ],
    "members": [
        ("nodes", "cores of all nodes"),
        ("nodes", "state requests/s"),
        ("nodes", "MB a node"),
    ],
    "starts, limits held": [("starts/s", "changes/s"), ("starts/s", "state requests/s")],
    "starts, journal": [("starts/s", "changes/s"), ("starts/s", "state requests/s")],
    "starts, limits raised": [
        ("starts/s", "cores of all nodes"),
        ("starts/s", "changes/s"),
        ("starts/s", "state requests/s"),
        ("starts/s", "watch KB/s a node"),
    ],
}
URGENT_S = 8.2  # the operators' bound for the start of urgent work


def slopes(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A line for each pair of FITTED that was measured at two sizes or more."""
    found = []
    for sweep, pairs in FITTED.items():
        measured = [row for row in rows if row["sweep"] == sweep]
        for x, y in pairs:
            if len({row[x] for row in measured}) < 2:
                continue
            line = fit(measured, x, y)
            found.append(
                {
                    "sweep": sweep,
                    "x": x,
                    "y": y,
                    "at zero": line.at_zero,
                    "a unit": line.per_unit,
                    "residual": line.residual,
                    "sizes": line.sizes,
                }
            )
    return found


async def _one(report: Report, sweep: str, size: Size, faults: bool) -> None:
    """One size; a run that fails is told, and the others go on."""
    try:
        _note(report, {"sweep": sweep} | await play(size, faults))
    except (TownError, TimeoutError) as error:
        said = f"{sweep}, {size.workers} workers, {size.starts_per_s:.0f} starts/s: {error!r}"
        report.notes.append(f"did not run: {said}")
        print(f"did not run: {said}", file=sys.stderr, flush=True)
    await asyncio.sleep(1.0)  # the sockets of this size are closing


def _note(report: Report, row: dict[str, Any]) -> None:
    report.details.append(row)
    report.rows.append({name: row[name] for name in SHOWN})
    text = ", ".join(f"{name} {_short(row[name])}" for name in SHOWN)
    print(text, file=sys.stderr, flush=True)  # progress: a full run takes a quarter of an hour


def _short(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


async def run(quick: bool, seed: int, only: Sequence[str] = ()) -> Report:
    """`only`: names of the sweeps that are run; none: all."""
    report = Report("scale", ABOUT)
    report.notes.append(f"sockets allowed to one process: {raise_socket_limit()}")
    for sweep, sizes in (QUICK if quick else SWEEPS).items():
        for size in sizes if not only or sweep in only else ():
            await _one(report, sweep, replace(size, seed=seed), faults=sweep == FAULTS)
    _judge(report)
    for line in slopes(report.details):
        report.notes.append(
            f"{line['sweep']}: {line['y']} = {line['at zero']:.4g} + {line['a unit']:.4g} x"
            f" {line['x']}; off by {line['residual']:.1%} at most, {line['sizes']} sizes"
        )
    workers = [row for row in report.details if row["sweep"] == "workers"]
    report.plots.append(
        Plot(
            "Processor time and memory by workers",
            "workers",
            "cores of all nodes; 100 MB a node",
            {
                "cores": [(r["workers"], r["cores of all nodes"]) for r in workers],
                "100 MB a node": [(r["workers"], r["MB a node"] / 100) for r in workers],
            },
        )
    )
    return report


def _judge(report: Report) -> None:
    report.bound("every size ran", not any("did not run" in note for note in report.notes))
    report.bound("no rule broken", all(row["rules broken"] == 0 for row in report.details))
    report.bound("no node ended by itself", not any(row["nodes ended"] for row in report.details))
    report.bound(
        "under half of the memory and under 200 processes", all(map(within_bounds, report.details))
    )
    workers = [row for row in report.details if row["sweep"] == "workers"]
    report.bound(
        f"99% of urgent work started within {URGENT_S} s at every number of workers",
        all(row["urgent started"] and row["urgent p99 s"] <= URGENT_S for row in workers),
    )
