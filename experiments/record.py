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

LOOK_S = 1.0


def running(match: str) -> set[int]:
    """Numbers of the processes whose command line holds the text."""
    found = set()
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue  # it has just ended
        if match in words:
            found.add(int(path.parent.name))
    return found


async def sample(out: Path, for_s: float, match: str, besides: set[int]) -> int:
    """Returns how many processes were sampled. `besides`: those that are left alone."""
    until = time.monotonic() + for_s
    known = set(besides)
    tasks: list[asyncio.Task[None]] = []
    while (left := until - time.monotonic()) > LOOK_S:
        for pid in running(match) - known:
            known.add(pid)
            tasks.append(asyncio.ensure_future(record(pid, out / f"{pid}.raw", left)))
        await asyncio.sleep(LOOK_S)
    await asyncio.gather(*tasks)
    return len(tasks)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python3 -m experiments.record", description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--for", dest="for_s", type=float, default=400.0)
    parser.add_argument("--match", default="run.py --config")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    count = asyncio.run(sample(options.out, options.for_s, options.match, running(options.match)))
    print(f"{count} processes sampled into {options.out}")


if __name__ == "__main__":
    main()
