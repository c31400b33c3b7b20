"""Derives a scaled-up deployment from a site file; the repository keeps no part of the file.

    python3 -m experiments.larger SITE [--times 1.5] [--restart-s 0.2]

Writes `target/sites/NAME.toml` and copies the wire file that it names. Capacity, running machines,
team limits, arrival rates and initial jobs are multiplied by `--times`; nodes restart after
`--restart-s` seconds.
"""

import argparse
import re
import shutil
import sys
from pathlib import Path

TARGET_DIR = Path("target/sites")
INTEGER_KEYS = ("count", "spot", "initial")  # of [[capacity]], [[machines]] and [[jobs]]
TEAM_LIMIT_KEYS = ("gpus", "gpus_max", "cpus", "cpus_max")  # of [[teams]]
SCALED_KEYS = {
    "capacity": ("count", "spot"),
    "machines": ("count",),
    "jobs": ("initial",),
    "teams": TEAM_LIMIT_KEYS,
}


def scaled_site(text: str, factor: float, restart_s: float) -> str:
    """Scales a site file line by line, leaving its simulated days unchanged."""
    table, lines = "", []
    for line in text.splitlines():
        if found := re.match(r"\[+([a-z_.]+)\]+", line):
            table = found[1]
        key, _, value = line.partition(" = ")
        if table == "nodes" and key == "restart_delay_s":
            line = f"{key} = {restart_s}"
        elif key in SCALED_KEYS.get(table, ()):
            amount = float(value) * factor
            line = f"{key} = {round(amount) if key in INTEGER_KEYS else amount}"
        elif table == "jobs" and key == "arrivals":
            line = re.sub(r"rate = ([0-9.]+)", lambda m: f"rate = {float(m[1]) * factor:.5f}", line)
        lines.append(line)
    return "\n".join(lines) + "\n"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python3 -m experiments.larger")
    parser.add_argument("site", type=Path)
    parser.add_argument("--times", type=float, default=1.5)
    parser.add_argument("--restart-s", type=float, default=0.2)
    options = parser.parse_args()
    TARGET_DIR.mkdir(parents=True, exist_ok=True)
    text = options.site.read_text()
    path = TARGET_DIR / options.site.name
    path.write_text(scaled_site(text, options.times, options.restart_s))
    if found := re.search(r'^wire = "([^"]+)"', text, re.M):
        shutil.copyfile(options.site.parent / found[1], TARGET_DIR / found[1])
    print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
