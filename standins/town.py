"""A small cluster on loopback: simulated services and workers here, nodes as own processes.

The demo and the experiments use it. Everything listens on 127.0.0.1, on free ports or on
consecutive ones from a given first port.
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
from standins.copies import Copies, find_description
from standins.rules import Rules
from standins.scenario import TYPE, ZONES
from standins.state import StateService
from standins.worker import Worker, WorkerEnvironment, WorkerTimings

ROOT = Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
NODE_START_S = 30.0  # default limit for a node to start serving
BOOT_S = 3.0  # shorter than on real machines
PORTS_PER_NODE = 3  # users and workers, other nodes, operators


class TownError(Exception):
    """The cluster can't start; the message is one line for the user."""


class Uploads(dict[str, dict[str, Any]]):
    """Job descriptions by id: those submitted in this process, or else JSON files of users."""

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
    with socket.socket() as sock:
        sock.bind((LOCAL, 0))
        return int(sock.getsockname()[1])


def is_taken(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOCAL, port))
        except OSError:
            return True
    return False


def ports(first: int | None, count: int) -> Iterator[int]:
    """Yields free ports, or those from `first` on; raises TownError for one that is in use."""
    if first is None:
        yield from (free_port() for _ in range(count))
        return
    for port in range(first, first + count):
        if is_taken(port):
            raise TownError(
                f"port {port} is in use: stop the process that uses it, or choose others by --port"
            )
        yield port


class Town:
    """Nodes as processes, with the simulated services and workers of this process."""

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
        """`limits` are those of the state service, under their names in settings.

        `features` is the text of a features file, in which `{operators}` is replaced by the port
        of the node's operators' interface.
        """
        self.folder = folder
        self._teams = teams or [{"name": "core"}]
        self._limits = {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32}
        self._limits |= limits or {}
        self._features = features
        all_ports = list(ports(first_port, nodes * PORTS_PER_NODE + 2))
        self.state_addr, self.cloud_addr = (f"{LOCAL}:{port}" for port in all_ports[:2])
        node_ports = [
            all_ports[i : i + PORTS_PER_NODE] for i in range(2, len(all_ports), PORTS_PER_NODE)
        ]
        names = [f"node-{i}" for i in range(nodes)]
        self.nodes = {
            name: f"{LOCAL}:{own_ports[0]}"
            for name, own_ports in zip(names, node_ports, strict=True)
        }
        self._node_endpoints = {
            name: f"{LOCAL}:{own_ports[1]}"
            for name, own_ports in zip(names, node_ports, strict=True)
        }
        self.operators = {
            name: own_ports[2] for name, own_ports in zip(names, node_ports, strict=True)
        }
        self.show_operators = False  # whether the demo prints the operators' addresses
        self.up_s = NODE_START_S  # a node that takes longer to serve has failed
        self.zone_of = {name: ZONES[i % len(ZONES)] for i, name in enumerate(names)}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ended: dict[str, int] = {}  # nodes that exited unasked -> exit code
        self.clock = SystemClock()
        self.rules = Rules({t["name"]: t.get("gpus_max", 0.0) for t in self._teams}, 34.0, self.now)
        self.rules.uploads = Uploads(folder / "jobs")
        self._environment = WorkerEnvironment(self.rules, self.rules.uploads)
        self.copies = Copies(self.clock, self.nodes)
        self._environment.find_description = lambda name: find_description(self.state.keys, name)
        self._environment.on_task_stopped = self.copies.end
        self._environment.on_replica_started = lambda worker, task_id, running: self.copies.start(
            task_id, running.attempt, running.job, f"{LOCAL}:{free_port()}"
        )
        self.workers: dict[str, tuple[Worker, asyncio.Task[None]]] = {}
        self.state = StateService(1)
        capacities = {(zone, spot): capacity for zone in ZONES for spot in (False, True)}
        machine_type = TYPE | {"ready_s": BOOT_S}
        self.cloud = CloudService(
            [machine_type], capacities, self.clock, self._boot_machine, self._stop_machine
        )
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
            "back": self._node_endpoints[name],
            "siblings": [
                {"node_name": n, "zone": self.zone_of[n], "endpoint": endpoint}
                for n, endpoint in self._node_endpoints.items()
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
        """Starts the simulated services, then all nodes; returns when every node serves."""
        (self.folder / "jobs").mkdir(parents=True, exist_ok=True)
        limits = self._limits
        self.state.limit(limits["value_kb"], limits["txn_ops"], limits["write_rps"])
        for service, address in ((self.state, self.state_addr), (self.cloud, self.cloud_addr)):
            task = asyncio.ensure_future(service.run(address))
            task.add_done_callback(_report_failure)
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
        command = [
            str(ROOT / "run.py"),
            "serve",
            "--config",
            str(path),
            "--features",
            str(features),
        ]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=log, stderr=log, env=os.environ | {"PYTHONPATH": ""}
        )
        self.processes[name] = process
        task = asyncio.ensure_future(self._wait_for_exit(name, process))
        task.add_done_callback(_report_failure)
        self._tasks.append(task)

    async def _wait_for_exit(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.processes.get(name) is process:
            del self.processes[name]
            self.ended[name] = code

    async def until_up(self, name: str) -> float:
        """Waits for a node to serve and returns the seconds it took.

        Raises TownError with the last line of its log if it does not serve in time.
        """
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
        raise TownError(f"{name} does not serve: {''.join(last) or 'its log is empty'}")

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
    def _boot_machine(
        self, machine: str, machine_type: dict[str, Any], zone: str, spot: bool
    ) -> str:
        address = f"{LOCAL}:{free_port()}"
        worker = Worker(
            machine,
            address,
            machine_type,
            zone,
            spot,
            self.nodes,
            self._environment,
            WorkerTimings(),
            self.clock,
            machine,
        )
        task = asyncio.ensure_future(worker.run())
        task.add_done_callback(_report_failure)
        self.workers[machine] = (worker, task)
        return address

    def _stop_machine(self, machine: str) -> None:
        if machine in self.workers:
            worker, task = self.workers.pop(machine)
            worker.terminate()
            task.cancel()


def _report_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        print(f"simulated service failed: {task.exception()!r}", file=sys.stderr, flush=True)


def job(name: str, **changes: Any) -> dict[str, Any]:
    """The submission of a small array job; `changes` replace its fields."""
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
