"""The midnight herd: thousands of lines of a table fire in one minute, beside submissions."""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from experiments.load import play
from experiments.overload import Users
from experiments.processes import cpu_s, memory_mb
from experiments.report import Plot, Report
from pulleydeal.operators.client import send_request
from pulleydeal.recurring import constants as kc
from standins.town import Town

ABOUT = "a table of many lines, a share of which fire in the same minute, three nodes, 50 changes/s"
FEATURES = '[operators]\nlisten = "127.0.0.1:{operators}"\n[recurring]\n'
WRITE_RPS = 50.0
USERS_PER_S = 5.0
ID_CHARS = len("p/j/j-") + 22  # of the key of a job that a line begins
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


def table(lines: int, herd: int, when: str) -> bytes:
    """`herd` lines that fire at the same instant, the others on another day."""
    rows = [f"{when} herd {i}" for i in range(herd)]
    rows += [f"{i % 60} {i // 60 % 24} 29 2 * rare {i}" for i in range(lines - herd)]
    return ("\n".join(rows) + "\n").encode()


async def bring_in(address: str, text: bytes) -> float:
    """Seconds until the table is in force."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for at in range(0, len(text), kc.UPLOAD_PIECE_BYTES):
        piece = text[at : at + kc.UPLOAD_PIECE_BYTES]
        await asyncio.to_thread(
            send_request, address, "POST", f"/v1/cron/uploads/big?at={at}", piece
        )
    path = "/v1/cron/tables/big"
    await asyncio.to_thread(send_request, address, "POST", path, MAPPING.encode(), 600.0)
    return loop.time() - began


async def users(town: Town, rng: random.Random, for_s: float) -> Any:
    asker = Users(town)
    asker.first = rng.randrange(10**8)
    result = await play(asker.send, USERS_PER_S, for_s, town.clock, rng)
    asker.close()
    return result


def row(what: str, result: Any, more: dict[str, Any]) -> dict[str, Any]:
    return {
        "phase": what,
        "submissions": sum(result.counts.values()),
        "accepted": result.counts["201"],
        "p50 ms": result.ms(50),
        "p99 ms": result.ms(99),
        "p99.9 ms": result.ms(99.9),
    } | more


def cron_jobs(town: Town) -> dict[str, float]:
    """Jobs of recurring lines -> when they were accepted; users' ids are shorter."""
    return {
        key: value[0]["at"]
        for key, value in town.state.keys.items()
        if key.startswith("p/j/j-8") and len(key) == ID_CHARS and value[0].get("at")
    }


async def run(quick: bool, seed: int) -> Report:
    report = Report("cron", ABOUT)
    lines, herd = (60, 50) if quick else (20_000, 5_000)
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="pulleydeal-cron-") as folder:
        town = Town(Path(folder), limits={"write_rps": WRITE_RPS}, capacity=0, features=FEATURES)
        try:
            await town.start()
            address = f"127.0.0.1:{town.operators['node-0']}"
            before = max(memory_mb(p.pid) for p in town.processes.values())
            # Far enough ahead that the import is over by then. Quick: when it comes in force.
            instant = int(town.clock.wall() // 60 + 4) * 60
            when = "@reboot" if quick else f"{instant // 60 % 60} * * * *"
            quiet = await users(town, rng, 3.0 if quick else 20.0)
            took = await bring_in(address, table(lines, herd, when))
            if quick:
                instant = int(town.clock.wall())
            memory = max(memory_mb(p.pid) for p in town.processes.values())
            report.rows.append(row("before", quiet, {"import s": took, "MB a node": memory}))
            await asyncio.sleep(max(0.0, instant - town.clock.wall() - 0.5))
            cpu = sum(cpu_s(p.pid) for p in town.processes.values())
            herd_s = 8.0 if quick else 120.0
            busy = await users(town, rng, herd_s)
            until = town.now() + (10.0 if quick else 180.0)
            while len(cron_jobs(town)) < herd and town.now() < until:
                await asyncio.sleep(0.5)
            cpu = sum(cpu_s(p.pid) for p in town.processes.values()) - cpu
            fired = cron_jobs(town)
            times = sorted(max(0.0, at - instant) for at in fired.values())
            more = {
                "fired": len(fired),
                "late p50 s": times[len(times) // 2] if times else 0.0,
                "late most s": times[-1] if times else 0.0,
                "nodes' cpu s": cpu,
            }
            report.rows.append(row("herd", busy, more))
            shown = times[:: max(1, len(times) // 100)]
            step = len(times) / max(1, len(shown))
            report.plots.append(
                Plot(
                    "Firings of one minute over time",
                    "seconds after the instant",
                    "fired",
                    {"jobs accepted": [(x, (i + 1) * step) for i, x in enumerate(shown)]},
                )
            )
            report.bound(f"all {herd} lines fire, each once", len(fired) == herd)
            sent = sum(busy.counts.values())
            report.bound("all submissions are accepted", busy.counts["201"] == sent)
            report.bound("and 99% of them within 800 ms beside the herd", busy.ms(99) < 800)
            report.notes.append(
                f"{lines} lines, {herd} at once; {WRITE_RPS:.0f} changes a second for all nodes;"
                f" memory of a node {before:.0f} MB before, {memory:.0f} MB with the table"
            )
        finally:
            await town.stop()
    return report
