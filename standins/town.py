"""A small world on loopback: state service, cloud and workers here, nodes as own processes.

The demo and the experiments run in it. Everything listens on 127.0.0.1; the ports are free ones,
unless a first one is named.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pulleydeal.clock import SystemClock
from pulleydeal.http import Client, NoResponse
from standins.cloud import CloudService
from standins.copies import Copies, look_up
from standins.rules import Rules
from standins.scenario import TYPE, ZONES
from standins.state import StateService
from standins.worker import Times, Worker, World

ROOT = Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
UP_S = 30.0  # until a node serves, usually
BOOT_S = 3.0  # machines of this world boot faster than real ones
PORTS_PER_NODE = 3  # users and workers, other nodes, operators


class TownError(Exception):
    """The world can't start; the text is one clear line."""


class Uploads(dict[str, dict[str, Any]]):
    """Job descriptions by id: what was submitted here, or else files of users."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = folder

    def get(self, job: str, default: Any = None) -> Any:
        path = self._folder / f"{job}.json"
        if job not in self and path.is_file():
            body = json.loads(path.read_text())
            self[job] = body | {"_run_s": body["haul_s"]}
        return super().get(job, default)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return int(probe.getsockname()[1])


def taken(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOCAL, port))
        except OSError:
            return True
    return False


def ports(first: int | None, count: int) -> Iterator[int]:
    """Free ports, or those from `first` on; TownError names the first that is in use."""
    if first is None:
        yield from (free_port() for _ in range(count))
        return
    for port in range(first, first + count):
        if taken(port):
            raise TownError(f"port {port} is in use: end what holds it, or name others by --port")
        yield port


class Town:
    def __init__(
        self,
        folder: Path,
        nodes: int = 3,
        first_port: int | None = None,
        teams: list[dict[str, Any]] | None = None,
        limits: dict[str, Any] | None = None,
        capacity: int = 4,
        features: str = "",
    ) -> None:
        """`limits`: of the state service, as settings name them; `features`: text of a
        features file, in which `{operators}` stands for the node's own operators' port."""
        self.folder = folder
        self._teams = teams or [{"name": "core"}]
        self._limits = {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32}
        self._limits |= limits or {}
        self._features = features
        found = list(ports(first_port, nodes * PORTS_PER_NODE + 2))
        self.state_addr, self.cloud_addr = (f"{LOCAL}:{port}" for port in found[:2])
        own = [found[i : i + PORTS_PER_NODE] for i in range(2, len(found), PORTS_PER_NODE)]
        names = [f"node-{i}" for i in range(nodes)]
        self.nodes = {name: f"{LOCAL}:{p[0]}" for name, p in zip(names, own, strict=True)}
        self._back = {name: f"{LOCAL}:{p[1]}" for name, p in zip(names, own, strict=True)}
        self.operators = {name: p[2] for name, p in zip(names, own, strict=True)}
        self.told = False  # whether operators are told where to ask
        self.up_s = UP_S  # a node that does not serve by then has failed
        self.zone_of = {name: ZONES[i % len(ZONES)] for i, name in enumerate(names)}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ended: dict[str, int] = {}  # nodes that ended by themselves -> exit code
        self.clock = SystemClock()
        self.rules = Rules({t["name"]: t.get("gpus_max", 0.0) for t in self._teams}, 34.0, self.now)
        self.rules.uploads = Uploads(folder / "jobs")
        self._world = World(self.rules, self.rules.uploads)
        self.copies = Copies(self.clock, self.nodes)
        self._world.look_up = lambda name: look_up(self.state.keys, name)
        self._world.ends = self.copies.end
        self._world.runs = lambda worker, lift, running: self.copies.start(
            lift, running.pull, running.job, f"{LOCAL}:{free_port()}"
        )
        self.workers: dict[str, tuple[Worker, asyncio.Task[None]]] = {}
        self.state = StateService(1)
        places = {(zone, spot): capacity for zone in ZONES for spot in (False, True)}
        type_ = TYPE | {"ready_s": BOOT_S}
        self.cloud = CloudService([type_], places, self.clock, self._boot, self._stop)
        self._tasks: list[asyncio.Task[Any]] = []
        self._logs: list[Any] = []

    def now(self) -> float:
        return self.clock.now()

    # --- starting ---------------------------------------------------------------------------
    def settings(self, name: str) -> dict[str, Any]:
        return {
            "node_name": name,
            "zone": self.zone_of[name],
            "api_addr": self.nodes[name],
            "back": self._back[name],
            "siblings": [
                {"node_name": n, "zone": self.zone_of[n], "endpoint": back}
                for n, back in self._back.items()
                if n != name
            ],
            "endpoints": {"cloud": self.cloud_addr, "state": self.state_addr},
            "deployment": {
                "zones": ZONES,
                "teams": self._teams,
                "workers": {
                    "report_s": 3.0,
                    "lease_s": 14.0,
                    "gang_wait_s": 50.0,
                    "gang_peer_s": 8.0,
                    "cancel_s": 34.0,
                },
                "state": self._limits,
                "cloud": {"rps": 4.0, "list_lag_s": 5.0},
            },
        }

    async def start(self) -> None:
        """The outside systems, then all nodes; returns when each of them serves."""
        (self.folder / "jobs").mkdir(parents=True, exist_ok=True)
        limits = self._limits
        self.state.limit(limits["value_kb"], limits["txn_ops"], limits["write_rps"])
        for service, address in ((self.state, self.state_addr), (self.cloud, self.cloud_addr)):
            task = asyncio.ensure_future(service.run(address))
            task.add_done_callback(_told)
            self._tasks.append(task)
        for name in self.nodes:
            await self.start_node(name)
        await asyncio.gather(*(self.until_up(name) for name in self.nodes))

    async def start_node(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name), indent=2))
        features = self.folder / f"{name}-features.toml"
        features.write_text(self._features.replace("{operators}", str(self.operators[name])))
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        words = [str(ROOT / "run.py"), "serve", "--config", str(path), "--features", str(features)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdout=log, stderr=log, env=os.environ | {"PYTHONPATH": ""}
        )
        self.processes[name] = process
        task = asyncio.ensure_future(self._watch(name, process))
        task.add_done_callback(_told)
        self._tasks.append(task)

    async def _watch(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.processes.get(name) is process:
            del self.processes[name]
            self.ended[name] = code

    async def until_up(self, name: str) -> float:
        """Seconds until a node serves; TownError with the end of its log if it never does."""
        began = self.now()
        client = Client(self.nodes[name], self.clock)
        try:
            while self.now() - began < self.up_s and name not in self.ended:
                with contextlib.suppress(NoResponse):
                    if (await client.request("GET", "/up", None, 1.0))[0] == 200:
                        return self.now() - began
                await asyncio.sleep(0.05)
        finally:
            client.close()
        last = (self.folder / f"{name}.log").read_text().strip().splitlines()[-1:]
        raise TownError(f"{name} does not serve: {''.join(last) or 'it said nothing'}")

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()

    async def stop(self) -> None:
        ending = list(self.processes.values())
        for name in list(self.processes):
            self.kill(name)
        await asyncio.gather(*(process.wait() for process in ending))
        for _, task in [*self.workers.values(), *self.copies.live.values()]:
            task.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for log in self._logs:
            log.close()

    # --- machines ---------------------------------------------------------------------------
    def _boot(self, block: str, kind: dict[str, Any], yard: str, loaners: bool) -> str:
        address = f"{LOCAL}:{free_port()}"
        worker = Worker(
            block,
            address,
            kind,
            yard,
            loaners,
            self.nodes,
            self._world,
            Times(),
            self.clock,
            block,
        )
        task = asyncio.ensure_future(worker.run())
        task.add_done_callback(_told)
        self.workers[block] = (worker, task)
        return address

    def _stop(self, block: str) -> None:
        if block in self.workers:
            worker, task = self.workers.pop(block)
            worker.vanish()
            task.cancel()


def _told(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        print(f"a stand-in failed: {task.exception()!r}", file=sys.stderr, flush=True)


def job(name: str, **changes: Any) -> dict[str, Any]:
    """A small array by PROTOCOL, as users submit it."""
    body: dict[str, Any] = {
        "name_id": name,
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
    return body | changes
