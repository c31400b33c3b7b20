"""Derives a site file with long jobs and many cancellations, and counts cancellations in a log.

    python3 -m experiments.first_meeting SITE    writes target/sites/first-NAME.toml
    python3 -m experiments.first_meeting LOG --counts FROM TO    LOG: of a run with --log info

Jobs other than services run far longer than the simulated day, and most are cancelled by their
users while they run. The repository keeps no part of the site file.
"""

import argparse
import re
import shutil
import sys
from pathlib import Path

from pulleydeal import timeline

CANCEL_CONFIRMED = "200 cancelled"  # `why` of an answer that confirms a cancellation
TARGET_DIR = Path("target/sites")
LONG_RUN_TIME = "run_s = { median = 2000.0, p95 = 2500.0, max = 3000.0 }"
# Of services: time until their users cancel them.
SHORT_RUN_TIME = "run_s = { median = 60.0, p95 = 150.0, max = 200.0 }"


def cancel_heavy_site(text: str) -> str:
    """Rewrites a site file line by line so that jobs run long and most are cancelled."""
    table, kind, lines = "", "", []
    for line in text.splitlines():
        if found := re.match(r"\[+([a-z_.]+)\]+", line):
            table, kind = found[1], ""
        key, _, value = line.partition(" = ")
        if table == "jobs":
            if key == "kind":
                kind = value.strip('"')
            elif key == "run_s":
                line = SHORT_RUN_TIME if kind == "service" else LONG_RUN_TIME
            elif key == "cancelled":
                line = "cancelled = 0.7"
            elif key == "arrivals" and kind == "service":
                line = re.sub(r"rate = ([0-9.]+)", _higher_rate, line)
            elif key == "initial":
                line = f"initial = {int(value) // 2}"
        lines.append(line)
    return "\n".join(lines) + "\n"


def _higher_rate(found: "re.Match[str]") -> str:
    return f"rate = {max(1.0, float(found[1]) * 4):.4f}"  # per second; services end as often


def cancellation_counts(lines: list[str], from_s: float, to_s: float) -> dict[str, float]:
    """Counts cancellations confirmed within a time window of a run's log.

    Also returns the longest time from a confirmation to the recorded end of one of the job's tasks.
    That is an upper bound: the end of a task that was killed when its machine's lease expired is
    recorded late. The benchmark's own check is authoritative.
    """
    confirmed_at: dict[str, float] = {}
    last_end_s = 0.0
    for line in lines:
        at, _, text = line.strip().partition(" ")
        entry = timeline.parse(text)
        if entry is None:
            continue
        job = entry.task.partition("/")[0]
        if entry.action == "answer" and entry.why == CANCEL_CONFIRMED:
            if from_s <= float(at) < to_s:
                confirmed_at.setdefault(job, float(at))
        elif entry.action == "end" and job in confirmed_at:
            last_end_s = max(last_end_s, float(at) - confirmed_at[job])
    return {"confirmed": len(confirmed_at), "last task seen gone after s": round(last_end_s, 1)}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python3 -m experiments.first_meeting")
    parser.add_argument("site", type=Path, help="a site file, or with --counts a day's log")
    parser.add_argument("--counts", nargs=2, type=float, metavar=("FROM_S", "TO_S"))
    options = parser.parse_args()
    if options.counts:
        print(
            cancellation_counts(
                options.site.read_text(errors="replace").splitlines(), *options.counts
            )
        )
        return 0
    TARGET_DIR.mkdir(parents=True, exist_ok=True)
    text = options.site.read_text()
    path = TARGET_DIR / f"first-{options.site.name}"
    path.write_text(cancel_heavy_site(text))
    if found := re.search(r'^wire = "([^"]+)"', text, re.M):
        shutil.copyfile(options.site.parent / found[1], TARGET_DIR / found[1])
    print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
