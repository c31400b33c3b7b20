"""Where a node's processor time goes: a sampling profiler over three nodes of a small cell.

With `--days DIR` it reads profiles that `experiments.record` left (py-spy's raw format, *.raw).
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
RATE_HZ = 97  # samples a second; no divisor of the loops' periods
PLACES = 12
QUICK_S, FULL_S = 8.0, 30.0
START_S = 1.0  # until the profilers have attached
OURS = re.compile(r"\((pulleydeal|h11|asyncio|msgspec)/")
WAITING = "select (selectors.py"  # a loop that has nothing to do
SOURCE_LINE = re.compile(r":\d+\)$")


@dataclass(frozen=True)
class Known:
    """What is known of a place."""

    grows_with: str
    anew: str  # what of it is done again though nothing changed


REQUEST = Known("requests: reports, users', beside them", "each request once")
CALL = Known("orders and state calls", "each call once")
REPORT = Known("reports", "the answer; a plan only of machines that changed")
PUBLISHED = Known(
    "machines with credit", "all of them, up to five times a second, when one changed"
)
RENEWED = Known("machines that changed", "all once in two seconds, a share at a time")
BEAT = Known("members x published totals", "whole totals, twice a second")
PLACED = Known("open jobs that are led here", "all of them, each round")
FLEET = Known("machines and open jobs, at one node", "all of them, each second")
ROUND = Known("machines", "a look at each, once or twice a second")
CHANGE = Known("changes", "each once")
KNOWN = {
    "Server._connection (pulleydeal/http.py)": REQUEST,
    "Server._respond (pulleydeal/http.py)": REQUEST,
    "Server._next (pulleydeal/http.py)": REQUEST,
    "App.handle (pulleydeal/app.py)": REQUEST,
    "_read_request (pulleydeal/http.py)": REQUEST,
    "_send (pulleydeal/http.py)": REQUEST,
    "Connection.next_event (h11/_connection.py)": REQUEST,
    "Connection._process_event (h11/_connection.py)": REQUEST,
    "Connection._extract_next_receive_event (h11/_connection.py)": REQUEST,
    "Connection.send (h11/_connection.py)": REQUEST,
    "Connection.send_with_data_passthrough (h11/_connection.py)": REQUEST,
    "Client.send (pulleydeal/http.py)": CALL,
    "Client.request (pulleydeal/http.py)": CALL,
    "Client._exchange (pulleydeal/http.py)": CALL,
    "StateClient._call (pulleydeal/store/client.py)": CALL,
    "Workers.checkin (pulleydeal/workers/service.py)": REPORT,
    "Workers._apply_report (pulleydeal/workers/service.py)": REPORT,
    "apply_report (pulleydeal/workers/tracked_machine.py)": REPORT,
    "Workers._plan (pulleydeal/workers/service.py)": REPORT,
    "Workers.work (pulleydeal/workers/service.py)": ROUND,
    "Eviction.run_round (pulleydeal/workers/eviction.py)": ROUND,
    "Credits.work (pulleydeal/credits/service.py)": RENEWED,
    "Credits._refresh (pulleydeal/credits/service.py)": RENEWED,
    "Credits._compute_credit (pulleydeal/credits/service.py)": RENEWED,
    "CreditBuilder.build (pulleydeal/credits/builder.py)": RENEWED,
    "Credits._publish (pulleydeal/credits/service.py)": PUBLISHED,
    "totals (pulleydeal/credits/totals.py)": PUBLISHED,
    "Placement.work (pulleydeal/placement/service.py)": PLACED,
    "Placement._round (pulleydeal/placement/service.py)": PLACED,
    "Membership.send_heartbeat (pulleydeal/membership/service.py)": BEAT,
    "Membership._on_heartbeat (pulleydeal/membership/service.py)": BEAT,
    "unpack_heartbeat (pulleydeal/membership/messages.py)": BEAT,
    "Siblings._accept (pulleydeal/membership/siblings.py)": BEAT,
    "Store.follow (pulleydeal/store/service.py)": CHANGE,
    "StateClient.watch (pulleydeal/store/client.py)": CHANGE,
    "Replica.apply (pulleydeal/store/replica.py)": CHANGE,
    "Store._write (pulleydeal/store/service.py)": CHANGE,
    "Store._drain (pulleydeal/store/service.py)": CHANGE,
    "Store.commit (pulleydeal/store/service.py)": CHANGE,
    "Fleet.rent (pulleydeal/fleet/service.py)": FLEET,
    "Fleet._plan_state (pulleydeal/fleet/service.py)": FLEET,
    "Fleet.return_machines (pulleydeal/fleet/service.py)": FLEET,
}
UNKNOWN = Known("", "")
# Frames that hold everything below them: nothing is learned from their share.
FRAMES_PASSED = ("run", "forever", "Runner.", "BaseEventLoop.", "Handle._run", "main", "serve")


class Profile:
    """Samples by place: how often it was at work, itself or in what it called."""

    def __init__(self) -> None:
        self.samples = 0
        self.within: Counter[str] = Counter()

    def add(self, text: str) -> None:
        """One process's samples: `frame;frame;... count`, the outermost first."""
        for line in text.splitlines():
            stack, _, count = line.rpartition(" ")
            frames = [SOURCE_LINE.sub(")", frame) for frame in stack.split(";")]
            if not stack or frames[-1].startswith(WAITING) or "select" in frames[-1]:
                continue
            self.samples += int(count)
            for frame in set(frames):
                self.within[frame] += int(count)

    def places(self, most: int) -> list[tuple[str, int]]:
        """The dearest places of the service's own code."""
        found = [
            (frame, count)
            for frame, count in self.within.most_common()
            if OURS.search(frame)
            and "(asyncio/" not in frame
            and not frame.startswith(FRAMES_PASSED)
        ]
        return found[:most]


def rows(profile: Profile, cores: float | None = None) -> list[dict[str, Any]]:
    """`cores`: processor seconds a second of all profiled nodes, where that was measured."""
    found = []
    for frame, count in profile.places(PLACES):
        share = count / max(1, profile.samples)
        row: dict[str, Any] = {"place": frame, "share": share}
        if cores is not None:
            row["ms a second"] = share * cores * 1000
        known = KNOWN.get(frame, UNKNOWN)
        row |= {"grows with": known.grows_with, "anew": known.anew}
        found.append(row)
    return found


def read(folder: Path) -> Report:
    """Profiles that were recorded by `py-spy record --format raw`."""
    profile = Profile()
    files = sorted(folder.glob("*.raw"))
    for path in files:
        profile.add(path.read_text())
    report = Report("profile", f"{ABOUT}; {len(files)} files", rows(profile))
    report.notes.append(f"{profile.samples} samples, waiting left out")
    report.bound("samples were read", profile.samples > 0)
    return report


async def record(pid: int, path: Path, for_s: float) -> None:
    """Samples a process for so long, or until it ends."""
    words = ["-m", "py_spy", "record", "--nonblocking", "--format", "raw"]
    tool = Path(sys.executable).with_name("py-spy")
    command = [str(tool), *words[2:]] if tool.is_file() else [sys.executable, *words]
    options = ["--rate", str(RATE_HZ), "--duration", str(int(for_s)), "--output", str(path)]
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
    for_s = QUICK_S if quick else FULL_S
    size = Size(workers=60 if quick else 300, seed=seed, measure_s=for_s)
    profile = Profile()
    with tempfile.TemporaryDirectory(prefix="pulleydeal-profile-") as name:
        folder = Path(name)
        cell = Cell(folder, size)
        try:
            await cell.start()
            measuring = asyncio.ensure_future(Run(cell, faults=False).measure())
            await asyncio.sleep(size.settle_s + START_S)
            nodes = {node: process.pid for node, process in cell.processes.items()}
            await asyncio.gather(
                *(
                    record(pid, folder / f"{node}.raw", for_s - START_S)
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
    report.details = await memory.rows()
    report.notes += [f"{row['bytes']:,} B for {row['kept for']}" for row in report.details]
    report.bound("all three nodes were sampled", profile.samples > 0)
    report.bound("no rule broken", row["rules broken"] == 0)
    return report
