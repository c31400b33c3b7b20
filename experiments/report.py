"""Results of an experiment: a table on the terminal, a JSON file and SVG plots."""

import json
import platform
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

Row = dict[str, Any]


@dataclass
class Bound:
    """A claim that the experiment checks; it fails if one does not hold."""

    claim: str
    held: bool


@dataclass
class Plot:
    """A line plot with one series per name."""

    title: str
    x: str
    y: str
    lines: dict[str, list[tuple[float, float]]]
    log_x: bool = False


@dataclass
class Report:
    """Collects the rows, notes, plots and checked claims of one experiment."""

    name: str
    about: str
    rows: list[Row] = field(default_factory=list)
    details: list[Row] = field(default_factory=list)  # too wide for the table; only in JSON
    bounds: list[Bound] = field(default_factory=list)
    plots: list[Plot] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def bound(self, claim: str, held: bool) -> None:
        self.bounds.append(Bound(claim, bool(held)))

    @property
    def held(self) -> bool:
        return all(bound.held for bound in self.bounds)


def print_report(report: Report, console: Console) -> None:
    """Prints the table, the notes and whether each claim holds."""
    table = Table(title=f"{report.name}: {report.about}")
    names = list(dict.fromkeys(name for row in report.rows for name in row))
    for name in names:
        table.add_column(name, justify="right")
    for row in report.rows:
        table.add_row(*(_format_cell(row.get(name, "")) for name in names))
    console.print(table)
    for note in report.notes:
        console.print(note, highlight=False)
    for bound in report.bounds:
        console.print(f"{'held' if bound.held else 'NOT HELD'}: {bound.claim}", highlight=False)


def _format_cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def write_report(report: Report, folder: Path, options: dict[str, Any]) -> None:
    """Writes NAME.json and, for each plot, NAME.svg (NAME-2.svg, ...)."""
    folder.mkdir(parents=True, exist_ok=True)
    found = {
        "experiment": report.name,
        "about": report.about,
        "options": options,
        "machine": f"{platform.machine()}, Python {platform.python_version()}",
        "rows": report.rows,
        "details": report.details,
        "bounds": [{"claim": b.claim, "held": b.held} for b in report.bounds],
        "notes": report.notes,
    }
    (folder / f"{report.name}.json").write_text(json.dumps(found, indent=2) + "\n")
    for i, plot in enumerate(report.plots, 1):
        _write_plot(plot, folder / f"{report.name}{'' if i == 1 else f'-{i}'}.svg")


def _write_plot(plot: Plot, path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "pulleydeal"  # stable element ids, for reproducible files
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, points in plot.lines.items():
        axes.plot([x for x, _ in points], [y for _, y in points], marker=".", label=name)
    axes.set(title=plot.title, xlabel=plot.x, ylabel=plot.y)
    if plot.log_x:
        axes.set_xscale("log")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
