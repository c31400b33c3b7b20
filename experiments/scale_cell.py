"""One cell of a scale run: real nodes, hollow workers and external services as processes.

Everything listens on loopback. Every process started here is ended here, by its process id.
"""

import asyncio
import contextlib
import os
import resource
import socket
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from experiments.processes import cpu_s, memory_mb
from experiments.scale_plan import MACHINE, Size, held_jobs, hollow_workers, state_records
from standins.hollow import HollowWorker, Plan
from standins.hub import Hub
from standins.outside import Block, OutsidePlan
from standins.town import LOCAL, ROOT, Town, TownError

WORKERS_PER_PROCESS = 400
HOSTS_PER_SUBNET = 250
MAX_PROCESSES = 200
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
MAX_SOCKETS = 500_000  # per process, if the hard limit permits
REPORT_S, LEASE_S, CANCEL_S = 3.0, 14.0, 34.0
NODE_START_TIMEOUT_S = 120.0  # enough to load the largest size
PROCESSES_CONNECT_TIMEOUT_S = 60.0  # for all processes to report to the hub


def raise_socket_limit() -> int:
    """Raises the limit of this process and its children; returns the new limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft_limit = MAX_SOCKETS if hard == resource.RLIM_INFINITY else min(hard, MAX_SOCKETS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard))
    return soft_limit


def free_ports(count: int) -> list[int]:
    """Returns distinct free ports: all are bound at once before they are released."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOCAL, 0))
    found = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return found


def worker_address(number: int, port: int) -> str:
    """Returns a separate loopback address for each worker.

    Free ports found in advance could be taken by other connections before thousands of workers
    listen on them. `port` is the hub's, which no other cell uses at the same time.
    """
    return f"127.1.{number // HOSTS_PER_SUBNET}.{1 + number % HOSTS_PER_SUBNET}:{port}"


def machine_memory_mb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Cell(Town):
    """A cell whose workers and external services run in processes of their own."""

    def __init__(self, folder: Path, size: Size) -> None:
        limits = {
            "rps": size.rps,
            "write_rps": size.write_rps,
            "value_kb": size.value_kb,
            "txn_ops": size.txn_ops,
        }
        super().__init__(folder, size.nodes, limits=limits, features=size.features)
        self.up_s = NODE_START_TIMEOUT_S
        self.size = size
        self.hub = Hub({"core": 0.0}, CANCEL_S)
        self.external_process: asyncio.subprocess.Process | None = None
        self.worker_processes: list[asyncio.subprocess.Process] = []
        self.load_s: dict[str, float] = {}  # node -> seconds from its start until it serves
        self.workers_planned: list[HollowWorker] = []

    def settings(self, name: str) -> dict[str, Any]:
        found = super().settings(name)
        # Each worker keeps a connection open, and nodes connect to workers and to other nodes.
        sockets = 4 * self.size.workers + 2_000
        found["deployment"]["machine_limits"] = {"max_sockets": sockets}
        return found

    async def start(self) -> None:
        raise_socket_limit()
        (self.folder / "jobs").mkdir(parents=True, exist_ok=True)
        size, jobs = self.size, held_jobs(self.size)
        hub_port = free_ports(1)[0]
        addresses = [worker_address(number, hub_port) for number in range(size.workers)]
        self.workers_planned = hollow_workers(size, jobs, addresses)
        self._register_initial_tasks(jobs)
        await self.hub.start(LOCAL, hub_port)
        hub = f"{LOCAL}:{hub_port}"
        self.external_process = await self._spawn_external_services(hub, jobs)
        await self._until_connected(1)
        for name in self.nodes:
            await self.start_node(name)
        await asyncio.gather(*(self._until_loaded(name) for name in self.nodes))
        await self._spawn_workers(hub, jobs)

    def _register_initial_tasks(self, jobs: dict[str, dict[str, Any]]) -> None:
        self.hub.rules.uploads = dict(jobs)
        for worker in self.workers_planned:
            for held in worker.tasks:
                self.hub.rules.already(held.task, worker.block, worker.yard)

    async def _until_loaded(self, name: str) -> None:
        self.load_s[name] = await self.until_up(name)

    async def _spawn_external_services(
        self, hub: str, jobs: dict[str, dict[str, Any]]
    ) -> asyncio.subprocess.Process:
        size, workers = self.size, self.workers_planned
        plan = OutsidePlan(
            hub,
            self.state_addr,
            self.cloud_addr,
            MACHINE,
            size.value_kb,
            size.txn_ops,
            size.write_rps,
            size.rps,
            state_records(size, jobs, workers, time.time()),
            [Block(w.block, w.addr, w.yard, w.loaners) for w in workers],
        )
        path = self._write_plan("outside", plan)
        return await self._spawn("standins.outside", path, "outside")

    async def _spawn_workers(self, hub: str, jobs: dict[str, dict[str, Any]]) -> None:
        workers = self.workers_planned
        count = -(-len(workers) // WORKERS_PER_PROCESS)
        shares = [workers[i::count] for i in range(count)]
        times = (REPORT_S, LEASE_S)
        plan = Plan(hub, self.nodes, MACHINE, *times, jobs, shares, self.size.late_orders_share)
        path = self._write_plan("hollow", plan)
        for number in range(count):
            name = f"hollow-{number}"
            self.worker_processes.append(
                await self._spawn("standins.hollow", path, name, str(number))
            )
        await self._until_connected(1 + count)

    def _write_plan(self, name: str, plan: msgspec.Struct) -> Path:
        """Writes the plan once for all processes that read it, as it is several megabytes long."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        return path

    async def _spawn(
        self, module: str, path: Path, name: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, str(path), *arguments, cwd=ROOT, stdout=log, stderr=log
        )

    async def _until_connected(self, count: int) -> None:
        async with asyncio.timeout(PROCESSES_CONNECT_TIMEOUT_S):
            while self.hub.processes < count:
                self.check()
                await asyncio.sleep(0.05)

    def check(self) -> None:
        """Raises TownError if a process of hollow workers or external services has ended."""
        stand_ins = [p for p in (self.external_process, *self.worker_processes) if p is not None]
        if any(process.returncode is not None for process in stand_ins):
            logs = [*sorted(self.folder.glob("hollow-*.log")), self.folder / "outside.log"]
            last_lines = [line for log in logs for line in log.read_text().splitlines()[-1:]]
            raise TownError(f"stand-in process exited: {' | '.join(last_lines[:3])}")

    async def stop(self) -> None:
        stand_ins = [p for p in (self.external_process, *self.worker_processes) if p is not None]
        for process in stand_ins:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*(process.wait() for process in stand_ins))
        self.hub.close()
        await super().stop()

    # --- resource usage --------------------------------------------------------------------
    def node_cpu_s(self) -> dict[str, float]:
        return {name: cpu_s(process.pid) for name, process in self.processes.items()}

    def node_memory_mb(self) -> dict[str, float]:
        return {name: memory_mb(process.pid) for name, process in self.processes.items()}

    def state_cpu_s(self) -> float:
        return cpu_s(self.external_process.pid) if self.external_process is not None else 0.0

    def process_count(self) -> int:
        return (
            1
            + len(self.processes)
            + len(self.worker_processes)
            + (self.external_process is not None)
        )

    def all_memory_mb(self) -> float:
        found = [p.pid for p in (*self.processes.values(), *self.worker_processes)]
        found += [self.external_process.pid] if self.external_process is not None else []
        return sum(map(memory_mb, [os.getpid(), *found]))
