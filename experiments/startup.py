"""Measures a node's start-up time and memory without features and with the operators interface."""

import statistics
import tempfile
from pathlib import Path
from typing import Any

from experiments.processes import cpu_s, memory_mb
from experiments.report import Report
from standins.town import Town

ABOUT = "one empty node until it serves; middle of several starts"
OPERATORS = '[operators]\nlisten = "127.0.0.1:{operators}"\n'
CASES = {"no section": "", "operators": OPERATORS}


async def measure(features: str, starts: int) -> dict[str, Any]:
    memory, cpu, until = [], [], []
    for _ in range(starts):
        with tempfile.TemporaryDirectory(prefix="pulleydeal-startup-") as folder:
            town = Town(Path(folder), nodes=1, features=features)
            try:
                began = town.now()
                await town.start()
                pid = town.processes["node-0"].pid
                until.append(town.now() - began)
                cpu.append(cpu_s(pid))
                memory.append(memory_mb(pid))
            finally:
                await town.stop()
    return {
        "until it serves s": statistics.median(until),
        "processor s": statistics.median(cpu),
        "memory MB": statistics.median(memory),
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("startup", ABOUT)
    for name, text in CASES.items():
        report.rows.append({"features": name} | await measure(text, 3 if quick else 15))
    return report
