"""Randomized rollouts with faults, run on complete nodes under the virtual clock."""

import json
import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from experiments.load import histogram, quantile_ms, record_latency
from experiments.report import Report
from standins.place import ZONES
from standins.scenario import Scenario, play

ABOUT = "three nodes, six copies, a new version that is good or bad, two to four troubles a seed"
ROLLOUT_AT_S, END_S = 75.0, 480.0
NODES = ("winch-0", "winch-1", "winch-2")
BAKE_S = 8.0  # of the service description that scenarios use


def scenario(seed: int) -> tuple[str, bool]:
    """Returns a scenario's text, and whether its second version is good."""
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
        (ROLLOUT_AT_S, "roll web img-2"),
    ]
    if kind in ("bad later", "flaps"):
        # Once most copies run a version that fails later, no decision can keep the floor.
        lines.append((ROLLOUT_AT_S, f"excuse web {END_S}"))
    nodes_down_until = 0.0  # a node that is down cannot crash again
    at = ROLLOUT_AT_S
    for _ in range(rng.randrange(2, 5)):
        at += rng.uniform(1.0, 40.0)
        found = draw_fault(rng, max(at, nodes_down_until + 1.0))
        at = found[0][0]
        if found[-1][1].startswith("crash"):
            nodes_down_until = at + float(found[-1][1].split()[-1])
        lines += found
    # Faults overlap, so their events must be sorted.
    lines.sort(key=lambda line: line[0])
    text = "\n".join(f"{at:.1f} {words}" for at, words in lines) + "\n"
    return text + f"{END_S} lose 0.0\n", kind in ("good", "slow")


def draw_fault(rng: random.Random, at: float) -> list[tuple[float, str]]:
    kind = rng.randrange(7)
    duration_s = rng.uniform(3.0, 25.0)
    if kind == 0:
        return [(at, f"crash {rng.choice(NODES)} {duration_s:.1f}")]
    # If no node answers within the lease, machines end their tasks by themselves.
    if kind == 1:
        excuse = (at, f"excuse web {END_S}")
        return [excuse, (at, f"crash all {rng.uniform(3.0, 8.0):.1f}")]
    if kind == 2:
        return [(at, "state down"), (at + duration_s, "state up")]
    if kind == 3:
        return [(at, f"state refuse {rng.choice(NODES)}"), (at + duration_s, "state refuse none")]
    if kind == 4:
        return [(at, "lose 0.05"), (at + duration_s, "lose 0.0")]
    # Copies in a cut-off zone still serve, but no node can reach or check them.
    zone = rng.choice(ZONES)
    excuse = (at, f"excuse web {duration_s + 60.0:.1f}")
    if kind == 5:
        return [excuse, (at, f"cut {zone}"), (at + duration_s, "heal")]
    other = rng.choice([z for z in ZONES if z != zone])
    return [excuse, (at, f"cut {zone} {other}"), (at + duration_s, "heal")]


def run_seed(seed: int) -> dict[str, Any]:
    text, good = scenario(seed)
    with tempfile.TemporaryDirectory(prefix="pulleydeal-seeds-") as folder:
        path = Path(folder) / "day.txt"
        path.write_text(text)
        played = play(path, seed)
    return judge(played, seed, good)


def judge(played: Scenario, seed: int, good: bool) -> dict[str, Any]:
    """Checks the final state of a scenario and returns its result row."""
    found: dict[str, Any] = {"seed": seed, "good": good, "faults": []}
    found["faults"] += [f"rule {x}" for x in played.rules.broken]
    excused = any(floor.ranges for floor in played.services.watcher.floors.values())  # type: ignore[union-attr]
    found["faults"] += [x for x in played.failures if not (excused and "web: requests" in x)]
    records = {k: v[0] for k, v in played.state.keys.items() if k.startswith("p/f/rollouts/")}
    service = records.get("p/f/rollouts/s/web", {})
    entries = [records[k] for k in sorted(records) if "/h/web/" in k]
    remaining_versions = {
        slot[1] for slot in service.get("slots", []) if len(slot) < 5 or not slot[4]
    }
    if service.get("rollout"):
        hold_reason = service["rollout"].get("hold", "")
        found["stuck"] = hold_reason or "without a reason"
        if not hold_reason:
            found["faults"].append(f"stuck without a reason: {json.dumps(service)[:300]}")
    elif remaining_versions != {service.get("good")}:
        found["faults"].append(f"a mixture of {remaining_versions}, good {service.get('good')}")
    elif not good and service.get("good") != 1:
        found["faults"].append("a bad version was taken for good")
    found["serves"] = service.get("good")
    return_begins = [e["at"] for e in entries if e["what"].startswith("returns to version 1")]
    return_ends = [e["at"] for e in entries if e["what"].startswith("returned: version 1")]
    first_failure_at = played.services.copies.first_bad.get("img-2") if played.services else None
    if return_begins and return_ends and first_failure_at is not None:
        wall = played._clock.wall() - played._clock.now()
        found["return_s"] = (
            max(0.0, return_begins[0] - wall - first_failure_at),
            max(0.0, return_ends[0] - wall - first_failure_at),
        )
    return found


async def run(quick: bool, seed: int) -> Report:
    report = Report("rolloutseeds", ABOUT)
    count = 8 if quick else 208
    workers = min(4, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_seed, range(seed * 1000, seed * 1000 + count)))
    return_begins, return_ends = histogram(), histogram()
    for result in results:
        if "return_s" in result:
            record_latency(return_begins, result["return_s"][0])
            record_latency(return_ends, result["return_s"][1])
    with_faults = [r for r in results if r["faults"]]
    report.rows.append(
        {
            "seeds": count,
            "good versions": sum(r["good"] for r in results),
            "serve the new": sum(r["serves"] == 2 for r in results),
            "held with a reason": sum("stuck" in r for r in results),
            "faults": len(with_faults),
            "return begins p50 s": quantile_ms(return_begins, 50) / 1000,
            "p99 s": quantile_ms(return_begins, 99) / 1000,
            "return ends p50 s": quantile_ms(return_ends, 50) / 1000,
            "ends p99 s": quantile_ms(return_ends, 99) / 1000,
        }
    )
    for result in with_faults[:20]:
        report.notes.append(f"seed {result['seed']}: {str(result['faults'][0])[:300]}")
    report.bound("no rule, floor or request broken, none stuck without a reason", not with_faults)
    return report
