"""What a process has used, as the kernel tells it (Linux)."""

import os
from pathlib import Path

_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Processor seconds, its own and the kernel's for it."""
    after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) * _TICK_S


def memory_mb(pid: int) -> float:
    """Memory that it holds now (resident)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
