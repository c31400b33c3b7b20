"""Measures real nodes with hollow workers at growing sizes, for the cost per worker and start."""

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
# State service limits high enough not to matter, to find the next bottleneck.
RAISED_LIMITS: dict[str, Any] = {"write_rps": 4_000.0, "rps": 8_000.0}
SWEEPS: dict[str, list[Size]] = {
    "workers": [Size(workers=n) for n in (300, 600, 1_200, 2_400)],
    "more nodes": [Size(workers=4_800, nodes=n) for n in (3, 6)],
    "tasks": [Size(workers=600, tasks_per_worker=n) for n in (4, 12, 20, 28)],
    "members": [Size(workers=300, nodes=n) for n in (3, 5, 7, 9)],
    "starts, limits held": [Size(workers=600, starts_per_s=n) for n in (20, 40, 80, 160, 320)],
    "starts, limits raised": [
        Size(workers=600, starts_per_s=n, **RAISED_LIMITS) for n in (10, 20, 40, 80)
    ],
}
JOURNAL = "[journal]\n"
SWEEPS["starts, journal"] = [
    Size(workers=600, starts_per_s=n, features=JOURNAL) for n in (20, 40, 80, 160, 320)
]
# Expected start rate for the number of workers, with and without the journal. The last size has
# as many node processes as the test machine has cores for.
STARTS_PER_WORKER_PER_S = 3_900 / 24_000
SWEEPS["a cell"] = [
    Size(workers=n, nodes=nodes, starts_per_s=n * STARTS_PER_WORKER_PER_S, features=features)
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
LATE_ORDERS = "late orders"  # among the same faults
SWEEPS[LATE_ORDERS] = [
    Size(workers=600, starts_per_s=40, features=JOURNAL, late_orders_share=1.0),
    Size(
        workers=4_000, tasks_per_worker=4, starts_per_s=40, features=JOURNAL, late_orders_share=1.0
    ),
]
FAULT_SWEEPS = (FAULTS, LATE_ORDERS)
MIN_LATE_ORDERS = 100  # copies that must arrive after a clear, or the run says little
QUICK_SWEEPS = {
    "workers": [Size(workers=n, tasks_per_worker=8, settle_s=4.0, measure_s=6.0) for n in (40, 80)]
}
# Columns of the table; the JSON file holds all columns.
SHOWN_COLUMNS = (
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
# Sweep -> (x, y) column pairs through which lines are fitted.
FITTED_COLUMNS = {
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
URGENT_START_LIMIT_S = 8.2  # the operators' limit for the start of urgent work


def slopes(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Fits a line for each pair of FITTED_COLUMNS that was measured at two or more values of x."""
    found = []
    for sweep, pairs in FITTED_COLUMNS.items():
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


async def _run_size(report: Report, sweep: str, size: Size, faults: bool) -> None:
    """Runs one size; a failure is reported and the remaining sizes continue."""
    try:
        _add_row(report, {"sweep": sweep} | await play(size, faults))
    except (TownError, TimeoutError) as error:
        failure = f"{sweep}, {size.workers} workers, {size.starts_per_s:.0f} starts/s: {error!r}"
        report.notes.append(f"did not run: {failure}")
        print(f"did not run: {failure}", file=sys.stderr, flush=True)
    await asyncio.sleep(1.0)  # lets the sockets of this size close


def _add_row(report: Report, row: dict[str, Any]) -> None:
    report.details.append(row)
    report.rows.append({name: row[name] for name in SHOWN_COLUMNS})
    text = ", ".join(f"{name} {_format_value(row[name])}" for name in SHOWN_COLUMNS)
    print(text, file=sys.stderr, flush=True)  # progress; a full run takes 15 minutes


def _format_value(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


async def run(quick: bool, seed: int, only: Sequence[str] = ()) -> Report:
    """Runs the sweeps named in `only`, or all if it is empty."""
    report = Report("scale", ABOUT)
    report.notes.append(f"sockets allowed to one process: {raise_socket_limit()}")
    for sweep, sizes in (QUICK_SWEEPS if quick else SWEEPS).items():
        for size in sizes if not only or sweep in only else ():
            await _run_size(report, sweep, replace(size, seed=seed), faults=sweep in FAULT_SWEEPS)
    _check_bounds(report)
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


def _check_bounds(report: Report) -> None:
    report.bound("every size ran", not any("did not run" in note for note in report.notes))
    report.bound("no rule broken", all(row["rules broken"] == 0 for row in report.details))
    late = [row for row in report.details if row["sweep"] == LATE_ORDERS]
    if late:
        enough = all(row["late orders after a clear"] >= MIN_LATE_ORDERS for row in late)
        report.bound(f"{MIN_LATE_ORDERS} copies of orders after a clear", enough)
        report.bound("no start was repeated", not any(row["started again"] for row in late))
    report.bound("no node ended by itself", not any(row["nodes ended"] for row in report.details))
    report.bound(
        "under half of the memory and under 200 processes", all(map(within_bounds, report.details))
    )
    workers = [row for row in report.details if row["sweep"] == "workers"]
    report.bound(
        f"99% of urgent work started within {URGENT_START_LIMIT_S} s at every number of workers",
        all(
            row["urgent started"] and row["urgent p99 s"] <= URGENT_START_LIMIT_S for row in workers
        ),
    )
