"""One cell of a scale run: real nodes, hollow workers, and what is outside, as own processes.

Everything listens on loopback; every process that is started here is ended here, by its id.
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
HOSTS_PER_NET = 250
PROCESSES_MOST = 200
MEMORY_SHARE_MOST = 0.5  # of the machine's memory
SOCKETS_MOST = 500_000  # per process, as far as the hard limit lets it
REPORT_S, LEASE_S, CANCEL_S = 3.0, 14.0, 34.0
UP_S = 120.0  # until a node has loaded the largest size
GATHER_S = 60.0  # until all processes have told the hub that they are there


def raise_socket_limit() -> int:
    """Of this process and those that it starts; returns what is allowed."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = SOCKETS_MOST if hard == resource.RLIM_INFINITY else min(hard, SOCKETS_MOST)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


def free_ports(count: int) -> list[int]:
    """All different, as all are held at once while they are looked for."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOCAL, 0))
    found = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return found


def worker_address(number: int, port: int) -> str:
    """An address of loopback of its own: a free port found now may be another connection's when
    thousands of workers come to listen. `port`: the hub's, which no other cell has meanwhile."""
    return f"127.1.{number // HOSTS_PER_NET}.{1 + number % HOSTS_PER_NET}:{port}"


def machine_memory_mb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Cell(Town):
    def __init__(self, folder: Path, size: Size) -> None:
        limits = {
            "rps": size.rps,
            "write_rps": size.write_rps,
            "value_kb": size.value_kb,
            "txn_ops": size.txn_ops,
        }
        super().__init__(folder, size.nodes, limits=limits, features=size.features)
        self.up_s = UP_S
        self.size = size
        self.hub = Hub({"core": 0.0}, CANCEL_S)
        self.outside: asyncio.subprocess.Process | None = None
        self.hollow: list[asyncio.subprocess.Process] = []
        self.load_s: dict[str, float] = {}  # node -> from its start until it serves
        self.workers_planned: list[HollowWorker] = []

    def settings(self, name: str) -> dict[str, Any]:
        found = super().settings(name)
        # Workers keep a connection each, and nodes call workers and one another.
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
        self._know_held(jobs)
        await self.hub.start(LOCAL, hub_port)
        hub = f"{LOCAL}:{hub_port}"
        self.outside = await self._spawn_outside(hub, jobs)
        await self._gathered(1)
        for name in self.nodes:
            await self.start_node(name)
        await asyncio.gather(*(self._until_loaded(name) for name in self.nodes))
        await self._spawn_hollow(hub, jobs)

    def _know_held(self, jobs: dict[str, dict[str, Any]]) -> None:
        self.hub.rules.uploads = dict(jobs)
        for worker in self.workers_planned:
            for held in worker.tasks:
                self.hub.rules.already(held.task, worker.block, worker.yard)

    async def _until_loaded(self, name: str) -> None:
        self.load_s[name] = await self.until_up(name)

    async def _spawn_outside(
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

    async def _spawn_hollow(self, hub: str, jobs: dict[str, dict[str, Any]]) -> None:
        workers = self.workers_planned
        count = -(-len(workers) // WORKERS_PER_PROCESS)
        shares = [workers[i::count] for i in range(count)]
        plan = Plan(hub, self.nodes, MACHINE, REPORT_S, LEASE_S, jobs, shares)
        path = self._write_plan("hollow", plan)
        for number in range(count):
            name = f"hollow-{number}"
            self.hollow.append(await self._spawn("standins.hollow", path, name, str(number)))
        await self._gathered(1 + count)

    def _write_plan(self, name: str, plan: msgspec.Struct) -> Path:
        """Before the first process that reads it: it is megabytes long."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        return path

    async def _spawn(
        self, module: str, path: Path, name: str, *words: str
    ) -> asyncio.subprocess.Process:
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, str(path), *words, cwd=ROOT, stdout=log, stderr=log
        )

    async def _gathered(self, count: int) -> None:
        async with asyncio.timeout(GATHER_S):
            while self.hub.processes < count:
                self.check()
                await asyncio.sleep(0.05)

    def check(self) -> None:
        """TownError if a process of hollow workers, or what is outside, has ended."""
        others = [p for p in (self.outside, *self.hollow) if p is not None]
        if any(process.returncode is not None for process in others):
            logs = [*sorted(self.folder.glob("hollow-*.log")), self.folder / "outside.log"]
            said = [line for log in logs for line in log.read_text().splitlines()[-1:]]
            raise TownError(f"a stand-in has ended: {' | '.join(said[:3])}")

    async def stop(self) -> None:
        others = [p for p in (self.outside, *self.hollow) if p is not None]
        for process in others:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*(process.wait() for process in others))
        self.hub.close()
        await super().stop()

    # --- what it uses -----------------------------------------------------------------------
    def node_cpu_s(self) -> dict[str, float]:
        return {name: cpu_s(process.pid) for name, process in self.processes.items()}

    def node_memory_mb(self) -> dict[str, float]:
        return {name: memory_mb(process.pid) for name, process in self.processes.items()}

    def state_cpu_s(self) -> float:
        return cpu_s(self.outside.pid) if self.outside is not None else 0.0

    def process_count(self) -> int:
        return 1 + len(self.processes) + len(self.hollow) + (self.outside is not None)

    def all_memory_mb(self) -> float:
        found = [p.pid for p in (*self.processes.values(), *self.hollow)]
        found += [self.outside.pid] if self.outside is not None else []
        return sum(map(memory_mb, [os.getpid(), *found]))
