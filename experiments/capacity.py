"""Computes the tables of docs/CAPACITY.md from stored results: `python3 -m experiments.capacity`.

A test compares this output with the page, so that an outdated page fails the test.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from experiments.slopes import Slope, fit

RESULTS_DIR = Path(__file__).resolve().parent.parent / "docs" / "capacity"
BEGIN, END = "<!-- begin: experiments.capacity -->", "<!-- end: experiments.capacity -->"

# --- expected load per cell; the deployment consists of five regional cells ---
CELL_COUNT = 5
WORKERS_PER_CELL = 24_000 // CELL_COUNT
CELL_STARTS_PER_S = 3_900 / CELL_COUNT
TASKS_PER_CELL = 680_000 // CELL_COUNT
CELL_JOBS_PER_DAY = 140_000 // CELL_COUNT
TASKS_PER_WORKER = 28  # 680,000 tasks on 24,000 workers, as in the scale runs
STARTS_PER_WORKER_PER_S = 3_900 / 24_000
CONTROL_MACHINES_PER_CELL = 20 // CELL_COUNT
REPORT_INTERVAL_S = 3.0
REPORT_BUDGET_B_PER_S = 3_000.0  # control traffic allowed per worker
# --- published limits of the state service, as set in the site files ---
CHANGE_LIMIT_PER_S = 80.0
USABLE_CHANGE_SHARE = 0.9  # share of CHANGE_LIMIT_PER_S that nodes use; see `WRITE_SHARE`
REQUEST_LIMIT_PER_S = 200.0
WATCH_HISTORY_CHANGES = 10_000


@dataclass(frozen=True)
class CapacityRow:
    """One table row: a role's requirement at the expected size, and the mechanism that meets it."""

    role: str
    requirement: str
    calculation: str  # slope x count = figure
    limit: str
    source: str
    limit_reached_at: str  # workers of one cell at which the limit is reached
    mechanism: str


def load(folder: Path = RESULTS_DIR) -> list[dict[str, Any]]:
    """Returns the stored result rows of `experiments scale`."""
    found = json.loads((folder / "scale.json").read_text())
    rows: list[dict[str, Any]] = found["details"]
    return rows


def history_rows(folder: Path = RESULTS_DIR) -> list[dict[str, Any]]:
    """Returns the stored result rows of `experiments history`, by number of jobs."""
    rows: list[dict[str, Any]] = json.loads((folder / "history.json").read_text())["rows"]
    return rows


def _sweep(rows: list[dict[str, Any]], name: str) -> list[dict[str, Any]]:
    return [row for row in rows if row["sweep"] == name]


def _measured(slope: Slope) -> str:
    return f"measured: {slope.sizes} sizes, off by {slope.residual:.0%} at most"


def _workers_at(limit: float, per_worker: float) -> str:
    return f"{int(limit / per_worker):,}" if per_worker > 0 else "never"


def capacity_rows(rows: list[dict[str, Any]]) -> list[CapacityRow]:
    """Derives all rows of the capacity table from result rows of `experiments scale`."""
    workers, tasks = _sweep(rows, "workers"), _sweep(rows, "tasks")
    raised, held = _sweep(rows, "starts, limits raised"), _sweep(rows, "starts, limits held")
    members = _sweep(rows, "members")
    return [
        _report_bytes(tasks),
        _changes(held, "chunks", "to be replaced: facts packed by writer"),
        _changes(_sweep(rows, "starts, journal"), "journals", "exists, off: `journal`"),
        _requests(workers, raised),
        _cores(workers, raised),
        _memory(workers),
        _history(history_rows()),
        _watch(raised),
        _load(workers),
        _members(members),
        _configuration(),
        _quotas(),
    ]


def _report_bytes(tasks: list[dict[str, Any]]) -> CapacityRow:
    size = fit(
        [row | {"a worker": row["tasks held"] / row["workers"]} for row in tasks],
        "a worker",
        "bytes a report",
    )
    bytes_per_report = size.at(TASKS_PER_WORKER)
    reports = 1 / REPORT_INTERVAL_S + 2 * STARTS_PER_WORKER_PER_S
    figure = bytes_per_report * reports
    return CapacityRow(
        "worker",
        "reports, bytes a second (bodies)",
        f"{bytes_per_report:,.0f} B x"
        f" ({1 / REPORT_INTERVAL_S:.2f} + {2 * STARTS_PER_WORKER_PER_S:.2f})/s"
        f" = {figure:,.0f} B/s",
        f"{REPORT_BUDGET_B_PER_S:,.0f} B/s",
        _measured(size) + "; one more report for each start and end is assumed",
        "any number",
        "exists: a report names all tasks",
    )


def _changes(sweep_rows: list[dict[str, Any]], storage: str, mechanism: str) -> CapacityRow:
    """Uses the fewest changes per start and end over all rates.

    At higher rates more starts wait, so that one change carries more of them.
    """
    per_start = min(row["changes/s"] / row["starts/s"] for row in sweep_rows if row["starts/s"])
    max_starts_per_s = max(row["starts/s"] for row in sweep_rows)
    figure = per_start * CELL_STARTS_PER_S
    limit = CHANGE_LIMIT_PER_S * USABLE_CHANGE_SHARE
    return CapacityRow(
        "leaders of jobs, owners of machines",
        f"changes a second at the state service, with {storage}",
        f"{per_start:.2f} a start x {CELL_STARTS_PER_S:,.0f}/s = {figure:,.0f}/s",
        f"{limit:.0f}/s of {CHANGE_LIMIT_PER_S:.0f}",
        f"measured: the least of {len(sweep_rows)} rates;"
        f" at most {max_starts_per_s:.0f} starts/s came about",
        _workers_at(limit / per_start, STARTS_PER_WORKER_PER_S),
        mechanism,
    )


def _requests(workers: list[dict[str, Any]], raised: list[dict[str, Any]]) -> CapacityRow:
    by_worker = fit(workers, "workers", "state requests/s")
    by_start = fit(raised, "starts/s", "state requests/s")
    figure = (
        by_worker.at(0)
        + by_worker.per_unit * WORKERS_PER_CELL
        + by_start.per_unit * CELL_STARTS_PER_S
    )
    per_worker = by_worker.per_unit + by_start.per_unit * STARTS_PER_WORKER_PER_S
    return CapacityRow(
        "state service",
        "requests a second",
        f"{by_worker.at(0):.0f} + {by_worker.per_unit:.4f} x {WORKERS_PER_CELL:,}"
        f" + {by_start.per_unit:.2f} x {CELL_STARTS_PER_S:,.0f} = {figure:,.0f}/s",
        f"{REQUEST_LIMIT_PER_S:.0f}/s",
        f"{_measured(by_worker)}; {_measured(by_start)}",
        _workers_at(REQUEST_LIMIT_PER_S - by_worker.at(0), per_worker),
        "the same: one request packs many jobs",
    )


def _cores(workers: list[dict[str, Any]], raised: list[dict[str, Any]]) -> CapacityRow:
    by_worker = fit(workers, "workers", "cores of all nodes")
    by_start = fit(raised, "starts/s", "cores of all nodes")
    figure = by_worker.per_unit * WORKERS_PER_CELL + by_start.per_unit * CELL_STARTS_PER_S
    per_worker = by_worker.per_unit + by_start.per_unit * STARTS_PER_WORKER_PER_S
    return CapacityRow(
        "controllers of a cell",
        "cores",
        f"{by_worker.per_unit * 1000:.3f} m x {WORKERS_PER_CELL:,}"
        f" + {by_start.per_unit * 1000:.2f} m"
        f" x {CELL_STARTS_PER_S:,.0f} = {figure:.1f}",
        f"{CONTROL_MACHINES_PER_CELL} machines; one process uses one core at most",
        f"{_measured(by_worker)}; {_measured(by_start)}",
        f"{_workers_at(3.0, per_worker)} (three processes, all of a core)",
        "to be replaced: several processes a machine, state by owner",
    )


def _memory(workers: list[dict[str, Any]]) -> CapacityRow:
    size = fit(workers, "workers", "MB a node")
    return CapacityRow(
        "each controller process",
        f"memory, with {TASKS_PER_WORKER} tasks a worker",
        f"{size.at_zero:.0f} + {size.per_unit:.4f} x {WORKERS_PER_CELL:,}"
        f" = {size.at(WORKERS_PER_CELL):.0f} MB",
        "none stated",
        _measured(size),
        "no limit stated",
        "exists; to be replaced by state kept by owner",
    )


def _history(rows: list[dict[str, Any]]) -> CapacityRow:
    most = rows[-1]
    bytes_per_job = most["B a job"]
    figure = CELL_JOBS_PER_DAY * bytes_per_job / 1e6
    return CapacityRow(
        "each controller process",
        "memory for jobs that are over",
        f"{bytes_per_job:.1f} B x {CELL_JOBS_PER_DAY:,} a day = {figure:.2f} MB a day;"
        f" {most['MB above empty at peak']:.0f} MB at the peak of a load",
        "30 MB a million",
        f"measured: {most['jobs over']:,} jobs over",
        "grows with days, not workers",
        "exists: final states in bitmaps. **Missing**: packed records, for the time of a load"
        f" ({most['s until it serves']:.0f} s of a million; issue 26)",
    )


def _watch(raised: list[dict[str, Any]]) -> CapacityRow:
    watch_bytes = fit(raised, "starts/s", "watch KB/s a node")
    changes = fit(raised, "starts/s", "changes/s")
    history_s = WATCH_HISTORY_CHANGES / max(1e-9, changes.at(CELL_STARTS_PER_S))
    return CapacityRow(
        "state service to each process",
        "watch",
        f"{watch_bytes.per_unit:.2f} KB a start x {CELL_STARTS_PER_S:,.0f}/s ="
        f" {watch_bytes.at(CELL_STARTS_PER_S):,.0f} KB/s;"
        f" {WATCH_HISTORY_CHANGES:,} changes of history are {history_s:.0f} s",
        "none stated",
        _measured(watch_bytes) + "; with the limits raised",
        "no limit stated",
        "to be replaced: state watched by owner",
    )


def _load(workers: list[dict[str, Any]]) -> CapacityRow:
    size = fit(workers, "workers", "load s")
    return CapacityRow(
        "each controller process",
        "a load from nothing, three at once",
        f"{size.at_zero:.1f} + {size.per_unit * 1000:.2f} ms x {WORKERS_PER_CELL:,}"
        f" = {size.at(WORKERS_PER_CELL):.1f} s",
        "3 s until others take its part",
        _measured(size),
        _workers_at(3.0 - size.at_zero, size.per_unit),
        "to be replaced: state by owner; history apart",
    )


def _members(members: list[dict[str, Any]]) -> CapacityRow:
    cores = fit(members, "nodes", "cores of all nodes")
    requests = fit(members, "nodes", "state requests/s")
    return CapacityRow(
        "each further controller process",
        "cores and requests that it costs all",
        f"{cores.per_unit * 1000:.0f} m cores, {requests.per_unit:.1f} requests/s",
        f"{REQUEST_LIMIT_PER_S:.0f} requests/s",
        f"{_measured(cores)}; {_measured(requests)}",
        f"{int((REQUEST_LIMIT_PER_S - requests.at(0)) / requests.per_unit)}"
        " processes without any work",
        "to be replaced: a watch and renewals a machine, not a process",
    )


def _configuration() -> CapacityRow:
    return CapacityRow(
        "all processes",
        "15,000 changes of configuration a day in force within 5 s",
        "read at start only",
        "5 s",
        "by the code (`settings.py`)",
        "at any number",
        "**missing**: versioned configuration",
    )


def _quotas() -> CapacityRow:
    return CapacityRow(
        "leader of a limited team",
        "290 teams with limits across cells",
        "one leader a team, in one cell",
        "never over the limit",
        "by the code (`Membership.leads_job`)",
        "at more than one cell",
        "**missing**: dealt allowances (issue 24)",
    )


def table(rows: list[dict[str, Any]]) -> str:
    """Formats all tables of the page as Markdown."""
    head = ["role", "what", "slope x count = figure", "limit", "source"]
    head += ["breaks at workers a cell", "carried by"]
    cells = [
        [
            line.role,
            line.requirement,
            line.calculation,
            line.limit,
            line.source,
            line.limit_reached_at,
            line.mechanism,
        ]
        for line in capacity_rows(rows)
    ]
    parts = [_markdown(head, cells), "## Cost a unit", _units(rows)]
    parts += ["## Starts a second, side by side", _side_by_side(rows)]
    return "\n\n".join(parts)


def _markdown(head: list[str], cells: list[list[str]]) -> str:
    found = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    found += [f"| {' | '.join(row)} |" for row in cells]
    return "\n".join(found)


def _units(rows: list[dict[str, Any]]) -> str:
    """Formats the marginal cost of each unit, for all nodes together or per node."""
    workers, tasks = _sweep(rows, "workers"), _sweep(rows, "tasks")
    raised, members = _sweep(rows, "starts, limits raised"), _sweep(rows, "members")
    cores, reports = (
        fit(workers, "workers", "cores of all nodes"),
        fit(workers, "workers", "reports/s"),
    )
    starts, memory = (
        fit(raised, "starts/s", "cores of all nodes"),
        fit(workers, "workers", "MB a node"),
    )
    task, load = fit(tasks, "tasks held", "MB a node"), fit(workers, "workers", "load s")
    member = fit(members, "nodes", "cores of all nodes")
    watched = fit(raised, "starts/s", "watch KB/s a node")
    found = [
        (
            "a report, with all that is done for its worker",
            f"{cores.per_unit / reports.per_unit * 1000:.2f} ms",
            cores,
        ),
        ("a start and its end, for all nodes together", f"{starts.per_unit * 1000:.1f} ms", starts),
        (
            f"a worker with {TASKS_PER_WORKER} tasks, in each node",
            f"{memory.per_unit * 1024:.1f} KB",
            memory,
        ),
        ("a bound task, in each node", f"{task.per_unit * 1024 * 1024:.0f} B", task),
        (
            "a start and its end, to each node by the watch",
            f"{watched.per_unit * 1024:.0f} B",
            watched,
        ),
        ("a worker, when a node loads from nothing", f"{load.per_unit * 1000:.2f} ms", load),
        (
            "a further node, without work, for all together",
            f"{member.per_unit * 1000:.1f} ms a second",
            member,
        ),
    ]
    return _markdown(
        ["one more", "costs", "source"],
        [[what, cost, _measured(line)] for what, cost, line in found],
    )


def _side_by_side(rows: list[dict[str, Any]]) -> str:
    """Formats offered against achieved start rates for each way of storing tasks, same seeds."""
    head = [
        "workers",
        "nodes",
        "offered",
        "way",
        "starts/s",
        "changes/s",
        "requests/s",
        "cores of all nodes",
    ]
    head += ["urgent p50, p99, worst s", "refused writes", "rules broken"]
    storage_by_sweep = {
        "starts, limits held": "chunks",
        "starts, journal": "journals",
        "starts, limits raised": "chunks, limits raised",
        "more nodes": "",
        "a cell": "",
    }
    cells = []
    for sweep, storage in storage_by_sweep.items():
        for row in _sweep(rows, sweep):
            default_storage = "journals" if row["features"] else "chunks"
            urgent = [row[f"urgent {name} s"] for name in ("p50", "p99", "worst")]
            cells.append(
                [
                    f"{row['workers']:,}",
                    f"{row['nodes']}",
                    f"{row['offered starts/s']:.0f}",
                    storage or default_storage,
                    f"{row['starts/s']:.1f}",
                    f"{row['changes/s']:.1f}",
                    f"{row['state requests/s']:.0f}",
                    f"{row['cores of all nodes']:.2f}",
                    ", ".join(f"{seconds:.2f}" for seconds in urgent),
                    f"{row['refused writes']}",
                    f"{row['rules broken']}",
                ]
            )
    return _markdown(head, cells)


def on_page(page: str) -> str:
    """Returns the tables on the page, between the begin and end markers."""
    return page.partition(BEGIN)[2].partition(END)[0].strip()


if __name__ == "__main__":
    print(table(load(Path(sys.argv[1]) if len(sys.argv) > 1 else RESULTS_DIR)))
