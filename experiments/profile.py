"""Profiles the processor time of nodes by sampling the three nodes of a small cell.

With `--days DIR` it reads profiles written by `experiments.record` (py-spy's raw format, *.raw).
"""

import asyncio
import re
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from experiments import memory
from experiments.report import Report
from experiments.scale_cell import Cell
from experiments.scale_plan import Size
from experiments.scale_run import Run

ABOUT = "processor time of three nodes by place; samples of their own code"
RATE_HZ = 97  # prime, so that samples do not align with periodic work
ROWS_SHOWN = 12
QUICK_DURATION_S, FULL_DURATION_S = 8.0, 30.0
PROFILER_ATTACH_S = 1.0  # time for the profilers to attach
SERVICE_FRAME = re.compile(r"\((pulleydeal|h11|asyncio|msgspec)/")
IDLE_FRAME = "select (selectors.py"  # an idle event loop
SOURCE_LINE = re.compile(r":\d+\)$")


@dataclass(frozen=True)
class CostNote:
    """What the cost of a stack frame scales with."""

    grows_with: str
    repeated_work: str  # work that is repeated though nothing changed


HTTP_REQUEST = CostNote("requests: reports, users', beside them", "each request once")
OUTGOING_CALL = CostNote("orders and state calls", "each call once")
MACHINE_REPORT = CostNote("reports", "the answer; a plan only of machines that changed")
CREDIT_TOTALS = CostNote(
    "machines with credit", "all of them, up to five times a second, when one changed"
)
CREDIT_REFRESH = CostNote("machines that changed", "all once in two seconds, a share at a time")
HEARTBEAT = CostNote("members x published totals", "whole totals, twice a second")
PLACEMENT_ROUND = CostNote("open jobs that are led here", "all of them, each round")
FLEET_ROUND = CostNote("machines and open jobs, at one node", "all of them, each second")
WORKER_ROUND = CostNote("machines", "a look at each, once or twice a second")
STATE_CHANGE = CostNote("changes", "each once")
COST_NOTES = {
    "Server._connection (pulleydeal/http.py)": HTTP_REQUEST,
    "Server._respond (pulleydeal/http.py)": HTTP_REQUEST,
    "Server._next_request (pulleydeal/http.py)": HTTP_REQUEST,
    "App.handle (pulleydeal/app.py)": HTTP_REQUEST,
    "_read_request (pulleydeal/http.py)": HTTP_REQUEST,
    "_send (pulleydeal/http.py)": HTTP_REQUEST,
    "Connection.next_event (h11/_connection.py)": HTTP_REQUEST,
    "Connection._process_event (h11/_connection.py)": HTTP_REQUEST,
    "Connection._extract_next_receive_event (h11/_connection.py)": HTTP_REQUEST,
    "Connection.send (h11/_connection.py)": HTTP_REQUEST,
    "Connection.send_with_data_passthrough (h11/_connection.py)": HTTP_REQUEST,
    "Client.send (pulleydeal/http.py)": OUTGOING_CALL,
    "Client.request (pulleydeal/http.py)": OUTGOING_CALL,
    "Client._exchange (pulleydeal/http.py)": OUTGOING_CALL,
    "StateClient._call (pulleydeal/store/client.py)": OUTGOING_CALL,
    "Workers.checkin (pulleydeal/workers/service.py)": MACHINE_REPORT,
    "Workers._apply_report (pulleydeal/workers/service.py)": MACHINE_REPORT,
    "apply_report (pulleydeal/workers/tracked_machine.py)": MACHINE_REPORT,
    "Workers._plan (pulleydeal/workers/service.py)": MACHINE_REPORT,
    "Workers.work (pulleydeal/workers/service.py)": WORKER_ROUND,
    "Eviction.run_round (pulleydeal/workers/eviction.py)": WORKER_ROUND,
    "Credits.work (pulleydeal/credits/service.py)": CREDIT_REFRESH,
    "Credits._refresh (pulleydeal/credits/service.py)": CREDIT_REFRESH,
    "Credits._compute_credit (pulleydeal/credits/service.py)": CREDIT_REFRESH,
    "CreditBuilder.build (pulleydeal/credits/builder.py)": CREDIT_REFRESH,
    "Credits._publish (pulleydeal/credits/service.py)": CREDIT_TOTALS,
    "totals (pulleydeal/credits/totals.py)": CREDIT_TOTALS,
    "Placement.work (pulleydeal/placement/service.py)": PLACEMENT_ROUND,
    "Placement._place_all (pulleydeal/placement/service.py)": PLACEMENT_ROUND,
    "Membership.send_heartbeat (pulleydeal/membership/service.py)": HEARTBEAT,
    "Membership._on_heartbeat (pulleydeal/membership/service.py)": HEARTBEAT,
    "unpack_heartbeat (pulleydeal/membership/messages.py)": HEARTBEAT,
    "Siblings._accept (pulleydeal/membership/siblings.py)": HEARTBEAT,
    "Store.follow (pulleydeal/store/service.py)": STATE_CHANGE,
    "StateClient.watch (pulleydeal/store/client.py)": STATE_CHANGE,
    "Replica.apply (pulleydeal/store/replica.py)": STATE_CHANGE,
    "Store._write (pulleydeal/store/service.py)": STATE_CHANGE,
    "Store._drain (pulleydeal/store/service.py)": STATE_CHANGE,
    "Store.commit (pulleydeal/store/service.py)": STATE_CHANGE,
    "Fleet.rent (pulleydeal/fleet/service.py)": FLEET_ROUND,
    "Fleet._plan_state (pulleydeal/fleet/service.py)": FLEET_ROUND,
    "Fleet.return_machines (pulleydeal/fleet/service.py)": FLEET_ROUND,
}
NO_NOTE = CostNote("", "")
# Outer frames that contain everything below them, so that their share says nothing.
OUTER_FRAMES = ("run", "forever", "Runner.", "BaseEventLoop.", "Handle._run", "main", "serve")


class Profile:
    """Sample counts by stack frame, including time spent in its callees."""

    def __init__(self) -> None:
        self.samples = 0
        self.inclusive: Counter[str] = Counter()

    def add(self, text: str) -> None:
        """Adds one process's samples: lines `frame;frame;... count`, the outermost frame first."""
        for line in text.splitlines():
            stack, _, count = line.rpartition(" ")
            frames = [SOURCE_LINE.sub(")", frame) for frame in stack.split(";")]
            if not stack or frames[-1].startswith(IDLE_FRAME) or "select" in frames[-1]:
                continue
            self.samples += int(count)
            for frame in set(frames):
                self.inclusive[frame] += int(count)

    def hottest(self, limit: int) -> list[tuple[str, int]]:
        """Returns the frames of the service and its libraries with the most samples."""
        found = [
            (frame, count)
            for frame, count in self.inclusive.most_common()
            if SERVICE_FRAME.search(frame)
            and "(asyncio/" not in frame
            and not frame.startswith(OUTER_FRAMES)
        ]
        return found[:limit]


def rows(profile: Profile, cores: float | None = None) -> list[dict[str, Any]]:
    """Builds the table; `cores` is the measured processor use of all profiled nodes, if known."""
    found = []
    for frame, count in profile.hottest(ROWS_SHOWN):
        share = count / max(1, profile.samples)
        row: dict[str, Any] = {"place": frame, "share": share}
        if cores is not None:
            row["ms a second"] = share * cores * 1000
        note = COST_NOTES.get(frame, NO_NOTE)
        row |= {"grows with": note.grows_with, "anew": note.repeated_work}
        found.append(row)
    return found


def read(folder: Path) -> Report:
    """Reports on profiles recorded by `py-spy record --format raw`."""
    profile = Profile()
    files = sorted(folder.glob("*.raw"))
    for path in files:
        profile.add(path.read_text())
    report = Report("profile", f"{ABOUT}; {len(files)} files", rows(profile))
    report.notes.append(f"{profile.samples} samples, waiting left out")
    report.bound("samples were read", profile.samples > 0)
    return report


async def record(pid: int, path: Path, duration_s: float) -> None:
    """Samples a process for `duration_s` or until it ends."""
    arguments = ["-m", "py_spy", "record", "--nonblocking", "--format", "raw"]
    tool = Path(sys.executable).with_name("py-spy")
    command = [str(tool), *arguments[2:]] if tool.is_file() else [sys.executable, *arguments]
    options = ["--rate", str(RATE_HZ), "--duration", str(int(duration_s)), "--output", str(path)]
    process = await asyncio.create_subprocess_exec(
        *command,
        *options,
        "--pid",
        str(pid),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    await process.wait()


async def run(quick: bool, seed: int) -> Report:
    duration_s = QUICK_DURATION_S if quick else FULL_DURATION_S
    size = Size(workers=60 if quick else 300, seed=seed, measure_s=duration_s)
    profile = Profile()
    with tempfile.TemporaryDirectory(prefix="pulleydeal-profile-") as name:
        folder = Path(name)
        cell = Cell(folder, size)
        try:
            await cell.start()
            measuring = asyncio.ensure_future(Run(cell, faults=False).measure())
            await asyncio.sleep(size.settle_s + PROFILER_ATTACH_S)
            nodes = {node: process.pid for node, process in cell.processes.items()}
            await asyncio.gather(
                *(
                    record(pid, folder / f"{node}.raw", duration_s - PROFILER_ATTACH_S)
                    for node, pid in nodes.items()
                )
            )
            row = await measuring
        finally:
            await cell.stop()
        for node in nodes:
            path = folder / f"{node}.raw"
            profile.add(path.read_text() if path.is_file() else "")
    report = Report("profile", ABOUT, rows(profile, row["cores of all nodes"]))
    report.notes.append(
        f"whole nodes, {size.workers} hollow workers with {size.tasks_per_worker} tasks each,"
        f" {row['starts/s']:.1f} starts and {row['reports/s']:.1f} reports a second,"
        f" {row['cores of all nodes']:.3f} cores; {profile.samples} samples, waiting left out"
    )
    report.details = await memory.memory_rows()
    report.notes += [f"{row['bytes']:,} B for {row['kept for']}" for row in report.details]
    report.bound("all three nodes were sampled", profile.samples > 0)
    report.bound("no rule broken", row["rules broken"] == 0)
    return report
