"""A small world on loopback: state service, cloud and workers, for trying pulleydeal out.

    python3 -m standins DIR

writes DIR/node-0.json to node-2.json (settings of three nodes), reads job descriptions from
DIR/jobs/ID.json as workers would fetch what users upload, and runs until it is stopped.
"""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from pulleydeal.clock import SystemClock
from standins.cloud import CloudService
from standins.rules import Rules
from standins.scenario import TYPE as DEMO_TYPE
from standins.scenario import ZONES
from standins.state import StateService
from standins.worker import Times, Worker, World

STATE, CLOUD = "127.0.0.1:7001", "127.0.0.1:7002"
TYPE = DEMO_TYPE | {"ready_s": 3.0}
NODES = {f"node-{i}": f"127.0.0.1:{8080 + i}" for i in range(3)}
CAPACITY = 4  # machines per zone and kind
FIRST_WORKER_PORT = 9000


class Uploads(dict[str, dict[str, Any]]):
    """Job descriptions, read from files when a worker first asks."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = folder

    def get(self, job: str, default: Any = None) -> Any:
        path = self._folder / f"{job}.json"
        if job not in self and path.is_file():
            body = json.loads(path.read_text())
            self[job] = body | {"_run_s": body["haul_s"]}
        return super().get(job, default)


def settings(name: str) -> dict[str, Any]:
    index = sorted(NODES).index(name)
    back = {n: f"127.0.0.1:{8180 + i}" for i, n in enumerate(sorted(NODES))}
    zones = dict(zip(sorted(NODES), ZONES, strict=True))
    return {
        "node_name": name,
        "zone": ZONES[index],
        "api_addr": NODES[name],
        "back": back[name],
        "siblings": [
            {"node_name": n, "zone": zones[n], "endpoint": back[n]} for n in back if n != name
        ],
        "endpoints": {"cloud": CLOUD, "state": STATE},
        "deployment": {
            "zones": ZONES,
            "teams": [{"name": "core"}],
            "workers": {
                "report_s": 3.0,
                "lease_s": 14.0,
                "gang_wait_s": 50.0,
                "gang_peer_s": 8.0,
                "cancel_s": 34.0,
            },
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 4.0, "list_lag_s": 5.0},
        },
    }


async def run(folder: Path) -> None:
    clock = SystemClock()
    rules = Rules({"core": 0.0}, 34.0, clock.now)
    rules.uploads = Uploads(folder / "jobs")
    world = World(rules, rules.uploads)
    workers: dict[str, tuple[Worker, asyncio.Task[None]]] = {}

    def ended(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            print(f"a worker failed: {task.exception()!r}", file=sys.stderr, flush=True)

    def boot(block: str, kind: dict[str, Any], yard: str, loaners: bool) -> str:
        address = f"127.0.0.1:{FIRST_WORKER_PORT + int(block.rpartition('-')[2])}"
        worker = Worker(block, address, kind, yard, loaners, NODES, world, Times(), clock, block)
        task = asyncio.ensure_future(worker.run())
        task.add_done_callback(ended)
        workers[block] = (worker, task)
        return address

    def stop(block: str) -> None:
        if block in workers:
            worker, task = workers.pop(block)
            worker.vanish()
            task.cancel()

    state = StateService(1)
    capacity = {(zone, spot): CAPACITY for zone in ZONES for spot in (False, True)}
    cloud = CloudService([TYPE], capacity, clock, boot, stop)
    print(f"state service on {STATE}, cloud on {CLOUD}; settings in {folder}", flush=True)
    await asyncio.gather(state.run(STATE), cloud.run(CLOUD))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python3 -m standins", description=__doc__)
    parser.add_argument("folder", type=Path, help="where settings are written, jobs are read")
    folder = parser.parse_args().folder
    (folder / "jobs").mkdir(parents=True, exist_ok=True)
    for name in NODES:
        (folder / f"{name}.json").write_text(json.dumps(settings(name), indent=2))
    job = {
        "name_id": "j-1",
        "rig": "demo",
        "crew": "core",
        "haul": "batch",
        "urgency": "standard",
        "lifts": 4,
        "vcpus": 4.0,
        "accelerators": 1.0,
        "ram_gb": 8.0,
        "tackle": "img-1",
        "pull_gb": 1.0,
        "same_place": False,
        "spread": False,
        "loaners": True,
        "haul_s": 10.0,
        "belay_s": 5.0,
        "stow_s": 1.0,
    }
    waiting = {"j-1": [], "j-2": ["j-1"], "j-3": ["j-1", "j-2"]}
    for name, needed in waiting.items():
        body = job | {"name_id": name, "waits_on": needed}
        (folder / "jobs" / f"{name}.json").write_text(json.dumps(body, indent=2))
    try:
        asyncio.run(run(folder))
    except KeyboardInterrupt:
        pass
    except OSError as error:
        print(f"standins: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
