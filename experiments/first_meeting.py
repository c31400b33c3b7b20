"""The first meeting as a day for the bench: a site made from a site file, with cancels enough.

    python3 -m experiments.first_meeting SITE    writes target/sites/first-NAME.toml
    python3 -m experiments.first_meeting LOG --counts FROM TO    of a day played with --log info

Jobs of every class run far longer than the day, and most are cancelled by their users while they
run; nothing of the site file is kept in the repository.
"""

import argparse
import re
import shutil
import sys
from pathlib import Path

from pulleydeal import timeline

CONFIRMED = "200 cancelled"  # an answer that confirms a cancellation
TARGET = Path("target/sites")
LONG = "run_s = { median = 2000.0, p95 = 2500.0, max = 3000.0 }"
BRIEF = "run_s = { median = 60.0, p95 = 150.0, max = 200.0 }"  # services: until their users cancel


def derived(text: str) -> str:
    """The text of a site file in which work is long and cancels are many; line by line."""
    table, kind, lines = "", "", []
    for line in text.splitlines():
        if found := re.match(r"\[+([a-z_.]+)\]+", line):
            table, kind = found[1], ""
        key, _, value = line.partition(" = ")
        if table == "jobs":
            if key == "kind":
                kind = value.strip('"')
            elif key == "run_s":
                line = BRIEF if kind == "service" else LONG
            elif key == "cancelled":
                line = "cancelled = 0.7"
            elif key == "arrivals" and kind == "service":
                line = re.sub(r"rate = ([0-9.]+)", _oftener, line)
            elif key == "initial":
                line = f"initial = {int(value) // 2}"
        lines.append(line)
    return "\n".join(lines) + "\n"


def _oftener(found: "re.Match[str]") -> str:
    return f"rate = {max(1.0, float(found[1]) * 4):.4f}"  # a second: as many end, and are cancelled


def counts(lines: list[str], from_s: float, to_s: float) -> dict[str, float]:
    """Of a day's log: confirmed cancellations in a window, and until when their tasks were there.

    A task that its machine killed as its lease ran out is seen gone later than it was; so the last
    moment is an upper bound. The bench's rule is the measure.
    """
    told: dict[str, float] = {}
    worst = 0.0
    for line in lines:
        at, _, text = line.strip().partition(" ")
        entry = timeline.parse(text)
        if entry is None:
            continue
        job = entry.task.partition("/")[0]
        if entry.action == "answer" and entry.why == CONFIRMED:
            if from_s <= float(at) < to_s:
                told.setdefault(job, float(at))
        elif entry.action == "end" and job in told:
            worst = max(worst, float(at) - told[job])
    return {"confirmed": len(told), "last task seen gone after s": round(worst, 1)}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python3 -m experiments.first_meeting")
    parser.add_argument("site", type=Path, help="a site file, or with --counts a day's log")
    parser.add_argument("--counts", nargs=2, type=float, metavar=("FROM_S", "TO_S"))
    options = parser.parse_args()
    if options.counts:
        print(counts(options.site.read_text(errors="replace").splitlines(), *options.counts))
        return 0
    TARGET.mkdir(parents=True, exist_ok=True)
    text = options.site.read_text()
    path = TARGET / f"first-{options.site.name}"
    path.write_text(derived(text))
    if found := re.search(r'^wire = "([^"]+)"', text, re.M):
        shutil.copyfile(options.site.parent / found[1], TARGET / found[1])
    print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
