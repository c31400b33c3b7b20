"""Simulates a year of a cron table in three time zones, with random leader losses and outages."""

import random
import time
from collections import Counter
from datetime import UTC, datetime

from experiments.report import Report
from pulleydeal.recurring import crontab
from standins.cron_engine import Node, World, bring_in, live, wanted
from standins.cron_expected import Year, random_expression

ABOUT = "every firing against a list worked out minute by minute, by other means"
ZONES = ("Europe/Bratislava", "Africa/Nairobi", "America/Santiago")
DAY_S = 86_400
MAPPING = '[default]\nteam="core"\nclass="cron"\nimage="i"\ncpus=1.0\nmemory_gb=1.0\n'


def table(lines: int, rng: random.Random) -> bytes:
    rows = []
    for zone in ZONES:
        rows.append(f"CRON_TZ={zone}")
        rows += [f"{random_expression(rng)} job {n}" for n in range(lines // len(ZONES))]
    return ("\n".join(rows) + "\n").encode()


async def run(quick: bool, seed: int) -> Report:
    report = Report("cronyear", ABOUT)
    lines, days = (60, 30) if quick else (1_002, 365)
    text = table(lines, random.Random(seed))
    begin = int(datetime(2027, 1, 1, tzinfo=UTC).timestamp()) + 30
    end = begin + days * DAY_S
    world = World(seed, begin)
    nodes = [Node("a", world, -0.6), Node("b", world, 0.7)]
    began_real = time.monotonic()
    await bring_in(nodes[0], "office", text, MAPPING)
    world.trouble = 0.02
    await live(world, nodes, end, trouble=True)
    world.trouble, world.down_until = 0.0, 0.0
    await live(world, nodes, end + 130.0, trouble=False)
    elapsed_s = time.monotonic() - began_real
    entries, _ = crontab.parse(text)
    years = {zone: Year(zone, begin - 30 - DAY_S, end + 200) for zone in ZONES}
    firings = {e.id: years[e.zone].firings(e.schedule) for e in entries}
    due = wanted("office", _between(firings, begin, end))
    late = wanted("office", _between(firings, begin, end + 131))
    by_zone = Counter(e.zone for e in entries)
    report.rows.append(
        {
            "lines": len(entries),
            "days": days,
            "expected": len(due),
            "fired": len(world.accepted),
            "missing": len(due - set(world.accepted)),
            "invented": len(set(world.accepted) - late),
            "twice": sum(n > 1 for n in world.accepted.values()),
            "leaders": world.leads,
            "outages": world.outages,
            "transactions": world.transactions,
            "real s": elapsed_s,
        }
    )
    row = report.rows[0]
    report.bound("none missing", row["missing"] == 0)
    report.bound("none invented", row["invented"] == 0)
    report.bound("none twice", row["twice"] == 0)
    report.notes.append(f"lines by zone: {dict(by_zone)}; 2% of transactions are not answered")
    return report


def _between(firings: dict[str, list[int]], begin: int, end: int) -> dict[str, list[int]]:
    return {line: [x for x in found if begin < x <= end] for line, found in firings.items()}
