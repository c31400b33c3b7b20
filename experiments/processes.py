"""Resource usage of a process, read from /proc (Linux)."""

import os
from pathlib import Path

_CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Processor seconds in user and kernel mode."""
    after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) * _CLOCK_TICK_S


def memory_mb(pid: int) -> float:
    """Resident memory; 0 if the kernel does not report it."""
    return _status_mb(pid, "VmRSS:")


def peak_memory_mb(pid: int) -> float:
    """The most memory that was ever resident; 0 if the kernel does not report it."""
    return _status_mb(pid, "VmHWM:")


def _status_mb(pid: int, name: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) / 1024
    return 0.0
