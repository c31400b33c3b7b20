"""Roll-outs over whole nodes under the virtual clock, with troubles drawn at random by seed."""

import json
import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.load import histogram, note, quantile_ms
from experiments.report import Report
from standins.place import ZONES
from standins.scenario import Scenario, play

ABOUT = "three nodes, six copies, a new version that is good or bad, two to four troubles a seed"
ROLL_S, END_S = 75.0, 480.0
NODES = ("winch-0", "winch-1", "winch-2")
BAKE_S = 8.0  # of the scenarios' usual description


def scenario(seed: int) -> tuple[str, bool]:
    """A scenario's text, and whether its second version is good."""
    rng = random.Random(seed)
    kinds = ["good", "good", "slow", "bad at once", "bad in the bake", "bad later", "flaps"]
    kind = rng.choice(kinds)
    behave = {
        "good": "",
        "slow": f"ready_s={rng.uniform(5, 20):.1f}",
        "bad at once": "fails_after_s=0.0",
        "bad in the bake": f"fails_after_s={rng.uniform(1, 6):.1f}",
        "bad later": f"fails_after_s={rng.uniform(20, 40):.1f}",
        "flaps": "flaps_s=4.0",
    }[kind]
    surge = rng.choice([1, 2])
    lines = [
        (0.0, "features on"),
        (0.0, "capacity 8"),
        (1.0, f"describe web surge={surge} watch_s={rng.choice([20.0, 30.0])}"),
        (2.0, "roll web img-1"),
        (70.0, "expect service web serving 1 6"),
        (71.0, "promise web 5"),
        (72.0, f"behave img-2 {behave}"),
        (ROLL_S, "roll web img-2"),
    ]
    if kind in ("bad later", "flaps"):
        # Where most copies are of a version that turns bad, no decision can keep the floor.
        lines.append((ROLL_S, f"excuse web {END_S}"))
    down = 0.0  # until when nodes are down: one that is down can't be lost again
    at = ROLL_S
    for _ in range(rng.randrange(2, 5)):
        at += rng.uniform(1.0, 40.0)
        found = trouble(rng, max(at, down + 1.0))
        at = found[0][0]
        if found[-1][1].startswith("crash"):
            down = at + float(found[-1][1].split()[-1])
        lines += found
    # Events of a trouble that begins later may not end before one that began earlier.
    lines.sort(key=lambda line: line[0])
    text = "\n".join(f"{at:.1f} {words}" for at, words in lines) + "\n"
    return text + f"{END_S} lose 0.0\n", kind in ("good", "slow")


def trouble(rng: random.Random, at: float) -> list[tuple[float, str]]:
    kind = rng.randrange(7)
    for_s = rng.uniform(3.0, 25.0)
    if kind == 0:
        return [(at, f"crash {rng.choice(NODES)} {for_s:.1f}")]
    # With nobody there to answer machines for a lease, what runs on them ends by itself.
    if kind == 1:
        excuse = (at, f"excuse web {END_S}")
        return [excuse, (at, f"crash all {rng.uniform(3.0, 8.0):.1f}")]
    if kind == 2:
        return [(at, "state down"), (at + for_s, "state up")]
    if kind == 3:
        return [(at, f"state refuse {rng.choice(NODES)}"), (at + for_s, "state refuse none")]
    if kind == 4:
        return [(at, "lose 0.05"), (at + for_s, "lose 0.0")]
    # What is cut off is out of everybody's reach: its copies serve, and nobody sees them.
    zone = rng.choice(ZONES)
    excuse = (at, f"excuse web {for_s + 60.0:.1f}")
    if kind == 5:
        return [excuse, (at, f"cut {zone}"), (at + for_s, "heal")]
    other = rng.choice([z for z in ZONES if z != zone])
    return [excuse, (at, f"cut {zone} {other}"), (at + for_s, "heal")]


def one(seed: int) -> dict[str, Any]:
    text, good = scenario(seed)
    with tempfile.TemporaryDirectory(prefix="pulleydeal-seeds-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(text)
        played = play(path, seed)
    return judge(played, seed, good)


def judge(played: Scenario, seed: int, good: bool) -> dict[str, Any]:
    found: dict[str, Any] = {"seed": seed, "good": good, "faults": []}
    found["faults"] += [f"rule {x}" for x in played.rules.broken]
    excused = any(floor.ranges for floor in played.services.watcher.floors.values())  # type: ignore[union-attr]
    found["faults"] += [x for x in played.failures if not (excused and "web: requests" in x)]
    records = {k: v[0] for k, v in played.state.keys.items() if k.startswith("p/f/rollouts/")}
    service = records.get("p/f/rollouts/s/web", {})
    entries = [records[k] for k in sorted(records) if "/h/web/" in k]
    staying = {slot[1] for slot in service.get("slots", []) if len(slot) < 5 or not slot[4]}
    if service.get("rollout"):
        held = service["rollout"].get("hold", "")
        found["stuck"] = held or "without a reason"
        if not held:
            found["faults"].append(f"stuck without a reason: {json.dumps(service)[:300]}")
    elif staying != {service.get("good")}:
        found["faults"].append(f"a mixture of {staying}, good {service.get('good')}")
    elif not good and service.get("good") != 1:
        found["faults"].append("a bad version was taken for good")
    found["serves"] = service.get("good")
    begins = [e["at"] for e in entries if e["what"].startswith("returns to version 1")]
    ends = [e["at"] for e in entries if e["what"].startswith("returned: version 1")]
    first = played.services.copies.first_bad.get("img-2") if played.services else None
    if begins and ends and first is not None:
        wall = played._clock.wall() - played._clock.now()
        found["return_s"] = (max(0.0, begins[0] - wall - first), max(0.0, ends[0] - wall - first))
    return found


async def run(quick: bool, seed: int) -> Report:
    report = Report("rolloutseeds", ABOUT)
    count = 8 if quick else 208
    workers = min(4, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(one, range(seed * 1000, seed * 1000 + count)))
    begins, ends = histogram(), histogram()
    for result in results:
        if "return_s" in result:
            note(begins, result["return_s"][0])
            note(ends, result["return_s"][1])
    faulty = [r for r in results if r["faults"]]
    report.rows.append(
        {
            "seeds": count,
            "good versions": sum(r["good"] for r in results),
            "serve the new": sum(r["serves"] == 2 for r in results),
            "held with a reason": sum("stuck" in r for r in results),
            "faults": len(faulty),
            "return begins p50 s": quantile_ms(begins, 50) / 1000,
            "p99 s": quantile_ms(begins, 99) / 1000,
            "return ends p50 s": quantile_ms(ends, 50) / 1000,
            "ends p99 s": quantile_ms(ends, 99) / 1000,
        }
    )
    for result in faulty[:20]:
        report.notes.append(f"seed {result['seed']}: {str(result['faults'][0])[:300]}")
    report.bound("no rule, floor or request broken, none stuck without a reason", not faulty)
    return report
