"""Thousands of lines of a cron table fire in the same minute while users submit jobs.

Measures how late their jobs are accepted and how much slower submissions become meanwhile.
"""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.load import generate_load
from experiments.overload import Users
from experiments.processes import cpu_s, memory_mb
from experiments.report import Plot, Report
from pulleydeal.operators.client import send_request
from pulleydeal.recurring import constants as kc
from standins.town import Town

ABOUT = "a table of many lines, a share of which fire in the same minute, three nodes, 50 changes/s"
FEATURES = '[operators]\nlisten = "127.0.0.1:{operators}"\n[recurring]\n'
WRITE_RPS = 50.0
SUBMISSIONS_PER_S = 5.0
CRON_JOB_KEY_CHARS = len("p/j/j-") + 22  # length of the key of a job that a cron line started
MAPPING = """
[default]
team = "core"
class = "cron"
image = "cron-1"
cpus = 1.0
memory_gb = 1.0
gpus = 1.0
run_s = 20.0
"""


def table(lines: int, burst: int, when: str) -> bytes:
    """Returns a cron table: `burst` lines fire at `when`, the others on 29 February."""
    rows = [f"{when} herd {i}" for i in range(burst)]
    rows += [f"{i % 60} {i // 60 % 24} 29 2 * rare {i}" for i in range(lines - burst)]
    return ("\n".join(rows) + "\n").encode()


async def import_table(address: str, text: bytes) -> float:
    """Uploads the table in pieces and activates it; returns the seconds that this took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for at in range(0, len(text), kc.UPLOAD_PIECE_BYTES):
        piece = text[at : at + kc.UPLOAD_PIECE_BYTES]
        await asyncio.to_thread(
            send_request, address, "POST", f"/v1/cron/uploads/big?at={at}", piece
        )
    path = "/v1/cron/tables/big"
    await asyncio.to_thread(send_request, address, "POST", path, MAPPING.encode(), 600.0)
    return loop.time() - started


async def submit_load(town: Town, rng: random.Random, duration_s: float) -> Any:
    """Submits jobs as users do and returns the load result."""
    submitters = Users(town)
    submitters.first_job_number = rng.randrange(10**8)
    result = await generate_load(submitters.send, SUBMISSIONS_PER_S, duration_s, town.clock, rng)
    submitters.close()
    return result


def result_row(what: str, result: Any, extra: dict[str, Any]) -> dict[str, Any]:
    return {
        "phase": what,
        "submissions": sum(result.counts.values()),
        "accepted": result.counts["201"],
        "p50 ms": result.ms(50),
        "p99 ms": result.ms(99),
        "p99.9 ms": result.ms(99.9),
    } | extra


def cron_jobs(town: Town) -> dict[str, float]:
    """Jobs started by cron lines -> time of acceptance; ids of users' jobs are shorter."""
    return {
        key: value[0]["at"]
        for key, value in town.state.keys.items()
        if key.startswith("p/j/j-8") and len(key) == CRON_JOB_KEY_CHARS and value[0].get("at")
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("cron", ABOUT)
    lines, burst = (60, 50) if quick else (20_000, 5_000)
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="pulleydeal-cron-") as folder:
        town = Town(Path(folder), limits={"write_rps": WRITE_RPS}, capacity=0, features=FEATURES)
        try:
            await town.start()
            address = f"127.0.0.1:{town.operators['node-0']}"
            before = max(memory_mb(p.pid) for p in town.processes.values())
            # Far enough ahead for the import to finish first. In a quick run the lines fire
            # when the table becomes active.
            fire_at = int(town.clock.wall() // 60 + 4) * 60
            when = "@reboot" if quick else f"{fire_at // 60 % 60} * * * *"
            baseline = await submit_load(town, rng, 3.0 if quick else 20.0)
            import_s = await import_table(address, table(lines, burst, when))
            if quick:
                fire_at = int(town.clock.wall())
            memory = max(memory_mb(p.pid) for p in town.processes.values())
            report.rows.append(
                result_row("before", baseline, {"import s": import_s, "MB a node": memory})
            )
            await asyncio.sleep(max(0.0, fire_at - town.clock.wall() - 0.5))
            cpu = sum(cpu_s(p.pid) for p in town.processes.values())
            burst_s = 8.0 if quick else 120.0
            under_burst = await submit_load(town, rng, burst_s)
            until = town.now() + (10.0 if quick else 180.0)
            while len(cron_jobs(town)) < burst and town.now() < until:
                await asyncio.sleep(0.5)
            cpu = sum(cpu_s(p.pid) for p in town.processes.values()) - cpu
            fired = cron_jobs(town)
            lateness_s = sorted(max(0.0, at - fire_at) for at in fired.values())
            extra = {
                "fired": len(fired),
                "late p50 s": lateness_s[len(lateness_s) // 2] if lateness_s else 0.0,
                "late most s": lateness_s[-1] if lateness_s else 0.0,
                "nodes' cpu s": cpu,
            }
            report.rows.append(result_row("herd", under_burst, extra))
            shown = lateness_s[:: max(1, len(lateness_s) // 100)]
            step = len(lateness_s) / max(1, len(shown))
            report.plots.append(
                Plot(
                    "Firings of one minute over time",
                    "seconds after the instant",
                    "fired",
                    {"jobs accepted": [(x, (i + 1) * step) for i, x in enumerate(shown)]},
                )
            )
            report.bound(f"all {burst} lines fire, each once", len(fired) == burst)
            sent = sum(under_burst.counts.values())
            report.bound("all submissions are accepted", under_burst.counts["201"] == sent)
            report.bound("and 99% of them within 800 ms beside the herd", under_burst.ms(99) < 800)
            report.notes.append(
                f"{lines} lines, {burst} at once; {WRITE_RPS:.0f} changes a second for all nodes;"
                f" memory of a node {before:.0f} MB before, {memory:.0f} MB with the table"
            )
        finally:
            await town.stop()
    return report
