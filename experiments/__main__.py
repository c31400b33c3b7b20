"""python3 -m experiments NAME [--quick] [--seed N] [--out DIR]"""

import argparse
import asyncio
import importlib
import signal
import sys
import time
from pathlib import Path

from rich.console import Console

from experiments import report as reports

# Each module defines ABOUT and `async def run(quick: bool, seed: int) -> Report`.
NAMES = (
    "answers",
    "cron",
    "cronyear",
    "history",
    "late_orders",
    "meetings",
    "overload",
    "profile",
    "restarts",
    "rollouts",
    "rolloutscale",
    "rolloutseeds",
    "scale",
    "served",
    "startup",
    "takeover",
    "zoneloss",
)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python3 -m experiments", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--quick", action="store_true", help="small, under 30 s")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=Path("target/experiments"))
    parser.add_argument(
        "--days",
        type=Path,
        help="served: a folder with reports of days (JSON); profile: with samples (*.raw)",
    )
    parser.add_argument("--only", action="append", default=[], help="scale: only these sweeps")
    options = parser.parse_args()
    module = importlib.import_module(f"experiments.{options.name}")
    started = time.monotonic()
    # Raise SystemExit on SIGTERM so that `finally` blocks stop the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    if options.days is not None and options.name not in ("profile", "served"):
        parser.error("--days goes with profile or served")
    if options.only and options.name != "scale":
        parser.error("--only goes with scale")
    if options.days is not None:
        report = module.read(options.days)
    elif options.only:
        report = asyncio.run(module.run(options.quick, options.seed, options.only))
    else:
        report = asyncio.run(module.run(options.quick, options.seed))
    console = Console(width=max(100, Console().width))
    reports.print_report(report, console)
    reports.write_report(report, options.out, {"quick": options.quick, "seed": options.seed})
    elapsed_s = time.monotonic() - started
    console.print(f"{elapsed_s:.0f} s; written to {options.out}", highlight=False)
    return 0 if report.held else 1


if __name__ == "__main__":
    sys.exit(main())
