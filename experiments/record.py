"""Samples every node that runs on this machine, as nodes come and go, for `profile --days`.

    python3 -m experiments.record --out DIR [--for SECONDS] [--match TEXT]

Beside a day of simulated machines it needs only its own processes' numbers: nodes that end and are
back are sampled again under their new ones.
"""

import argparse
import asyncio
import time
from pathlib import Path

from experiments.profile import record

SCAN_INTERVAL_S = 1.0


def matching_pids(match: str) -> set[int]:
    """Returns the pids of processes whose command line contains the text."""
    found = set()
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command_line = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue  # the process has ended
        if match in command_line:
            found.add(int(path.parent.name))
    return found


async def sample(out: Path, duration_s: float, match: str, excluded: set[int]) -> int:
    """Samples matching processes as they appear, except `excluded`; returns their number."""
    until = time.monotonic() + duration_s
    seen = set(excluded)
    tasks: list[asyncio.Task[None]] = []
    while (remaining_s := until - time.monotonic()) > SCAN_INTERVAL_S:
        for pid in matching_pids(match) - seen:
            seen.add(pid)
            tasks.append(asyncio.ensure_future(record(pid, out / f"{pid}.raw", remaining_s)))
        await asyncio.sleep(SCAN_INTERVAL_S)
    await asyncio.gather(*tasks)
    return len(tasks)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python3 -m experiments.record", description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--for", dest="for_s", type=float, default=400.0)
    parser.add_argument("--match", default="run.py --config")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    count = asyncio.run(
        sample(options.out, options.for_s, options.match, matching_pids(options.match))
    )
    print(f"{count} processes sampled into {options.out}")


if __name__ == "__main__":
    main()
