"""Runs one cell at one size and measures it."""

import asyncio
import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from experiments.load import histogram, quantile_ms, record_latency
from experiments.scale_cell import MAX_MEMORY_SHARE, MAX_PROCESSES, Cell, machine_memory_mb
from experiments.scale_plan import Size, arriving_jobs
from pulleydeal.http import Client, NoResponse
from standins import hub_messages as m

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0  # PROTOCOL: how long users wait for an answer
RETRY_INTERVAL_S, RETRY_LIMIT_S = 1.0, 60.0  # of refused or unanswered submissions
POLL_INTERVAL_S = 5.0
UPLOAD_AHEAD_S = 0.5  # job descriptions reach the workers before the submission
JUDGE_DELAY_S = 1.0  # time for the hub to receive and check the last events

# --- schedule of the run with faults, in seconds from the beginning of the measurement -----------
REPLACE_AT_S, REPLACED_WORKERS, REPLACEMENT_DELAY_S = 2.0, 4, 1.0
RACK_AT_S, RACK_WORKERS, RACK_SILENT_S = 8.0, 40, 25.0
NODE_AT_S, NODE_RESTART_DELAY_S = 14.0, 1.0
OUTAGE_AT_S, OUTAGE_S = 40.0, 30.0
ZONE_AT_S, ZONE_SILENT_S = 85.0, 20.0
FAULT_RUN_S = 130.0


@dataclass
class Snapshot:
    """Values of monotonic counters at one time."""

    at: float
    cpu_s: dict[str, float]
    state_cpu_s: float
    counts: Counter[str]


@dataclass
class Users:
    """Submit jobs, retry refused submissions, and poll until the job is over."""

    cell: Cell
    words: Counter[str] = field(default_factory=Counter)
    accepted: Any = field(default_factory=histogram)
    due: dict[str, float] = field(default_factory=dict)  # job -> time of its first submission
    counting: bool = False

    def __post_init__(self) -> None:
        self._clients = [Client(a, self.cell.clock) for a in self.cell.nodes.values()]
        self._turn = 0

    async def live(self, body: dict[str, Any], due: float) -> None:
        await asyncio.sleep(max(0.0, due - UPLOAD_AHEAD_S - self.cell.now()))
        name = body["name_id"]
        self.cell.hub.rules.uploads[name] = body
        self.cell.hub.broadcast(m.Upload(body))
        await asyncio.sleep(max(0.0, due - self.cell.now()))
        self.due[name] = due
        if await self._submit(name, body, due):
            await self._poll(name)

    async def _submit(self, name: str, body: dict[str, Any], due: float) -> bool:
        while self.cell.now() - due < RETRY_LIMIT_S:
            status = await self._request("POST", "/submissions", name, body, SUBMIT_TIMEOUT_S)
            if status in (200, 201):
                if self.counting:
                    record_latency(self.accepted, self.cell.now() - due)
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _poll(self, name: str) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._request("GET", f"/submissions/{name}", name, None, POLL_TIMEOUT_S)
            if self.cell.hub.rules.heard_over(name):
                return

    async def _request(self, method: str, path: str, name: str, body: Any, timeout_s: float) -> int:
        self._turn += 1
        client = self._clients[self._turn % len(self._clients)]
        began = self.cell.now()
        try:
            status, reply = await client.request(method, path, body, timeout_s)
        except NoResponse:
            status, reply = 0, b""
        if self.counting:
            self.words[f"{method} {status or 'none'}"] += 1
        state = json.loads(reply).get("tension", "") if status in (200, 201) else ""
        hub = self.cell.hub
        judge_answer = partial(hub.rules.told, name, status, state, hub.results, began)
        hub.judge_later(self.cell.now(), judge_answer)
        if method == "GET":
            judge_poll = partial(hub.rules.polled, name, status in (200, 404))
            hub.judge_later(self.cell.now(), judge_poll)
        return status

    def close(self) -> None:
        for client in self._clients:
            client.close()


class Run:
    """Measures one size and returns its result row."""

    def __init__(self, cell: Cell, faults: bool) -> None:
        self.cell, self._faults = cell, faults
        self._users = Users(cell)
        self._urgent = histogram()
        self._starts = self._ends = 0
        self._peak_memory_mb = 0.0
        self._from, self._until = float("inf"), float("inf")
        cell.hub.started = self._on_start
        cell.hub.completed = self._on_end

    def _on_start(self, event: m.TaskStarted) -> None:
        if not self._from <= event.at < self._until:
            return
        self._starts += 1
        name = event.task.rpartition("/")[0]
        if self.cell.hub.rules.uploads[name]["rig"] == "urgent":
            record_latency(self._urgent, event.at - self._users.due[name])

    def _on_end(self, event: m.TaskCompleted) -> None:
        self._ends += self._from <= event.at < self._until

    def _snapshot(self) -> Snapshot:
        cell = self.cell
        counts: Counter[str] = Counter()
        for process_counts in cell.hub.counts.values():
            counts.update(process_counts)
        return Snapshot(cell.now(), cell.node_cpu_s(), cell.state_cpu_s(), counts)

    async def measure(self) -> dict[str, Any]:
        size, cell = self.cell.size, self.cell
        measure_s = FAULT_RUN_S if self._faults else size.measure_s
        jobs = arriving_jobs(size, size.settle_s + measure_s)
        began = cell.now() + UPLOAD_AHEAD_S
        user_tasks = [
            asyncio.ensure_future(self._users.live(body, began + after)) for after, body in jobs
        ]
        await asyncio.sleep(size.settle_s + UPLOAD_AHEAD_S)
        fault_task = asyncio.ensure_future(self._inject_faults()) if self._faults else None
        self._users.counting = True
        self._from = cell.now()
        before = self._snapshot()
        await self._wait(measure_s)
        after = self._snapshot()
        self._until = cell.now()
        self._users.counting = False
        await asyncio.sleep(JUDGE_DELAY_S)
        for task in [*user_tasks, *([fault_task] if fault_task else [])]:
            task.cancel()
        self._users.close()
        return self._row(before, after)

    async def _wait(self, duration_s: float) -> None:
        until = self.cell.now() + duration_s
        while (remaining_s := until - self.cell.now()) > 0:
            self.cell.check()
            self._peak_memory_mb = max(self._peak_memory_mb, self.cell.all_memory_mb())
            await asyncio.sleep(min(1.0, remaining_s))

    async def _inject_faults(self) -> None:
        """Injects faults of the kinds that the operators name, one after the other."""
        cell, began = self.cell, self.cell.now()
        blocks = [worker.block for worker in cell.workers_planned]
        zone = cell.workers_planned[0].yard

        async def at(after_s: float) -> None:
            await asyncio.sleep(max(0.0, began + after_s - cell.now()))

        await at(REPLACE_AT_S)
        cell.hub.broadcast(m.Replace(blocks[:REPLACED_WORKERS], REPLACEMENT_DELAY_S))
        await at(RACK_AT_S)
        cell.hub.broadcast(m.Silence(blocks[-RACK_WORKERS:], RACK_SILENT_S))
        await at(NODE_AT_S)
        node = sorted(cell.nodes)[-1]
        cell.kill(node)
        await asyncio.sleep(NODE_RESTART_DELAY_S)
        await cell.start_node(node)
        await at(OUTAGE_AT_S)
        cell.hub.broadcast(m.Outage(OUTAGE_S))
        await at(ZONE_AT_S)
        silenced = [worker.block for worker in cell.workers_planned if worker.yard == zone]
        cell.hub.broadcast(m.Silence(silenced, ZONE_SILENT_S))
        await asyncio.sleep(FAULT_RUN_S)

    def _row(self, before: Snapshot, after: Snapshot) -> dict[str, Any]:
        size, cell = self.cell.size, self.cell
        seconds = after.at - before.at
        increase = after.counts.copy()
        increase.subtract(before.counts)
        per_s = {name: count / seconds for name, count in increase.items()}
        cpu = sum(after.cpu_s[node] - before.cpu_s.get(node, 0.0) for node in after.cpu_s)
        reports = max(1, increase["reports"])
        rules = cell.hub.rules
        return {
            "workers": size.workers,
            "nodes": size.nodes,
            "tasks held": size.workers * size.tasks_per_worker,
            "offered starts/s": size.starts_per_s,
            "features": size.features.strip(),
            "starts/s": self._starts / seconds,
            "ends/s": self._ends / seconds,
            "reports/s": per_s["reports"],
            "orders/s": per_s["orders"],
            "bytes a report": increase["report bytes"] / reports,
            "bytes an answer": increase["answer bytes"] / reports,
            "cores of all nodes": cpu / seconds,
            "cores of the state service": (after.state_cpu_s - before.state_cpu_s) / seconds,
            "MB a node": max(cell.node_memory_mb().values(), default=0.0),
            "state requests/s": sum(
                per_s.get(x, 0.0) for x in ("commit", "watch", "store", "holds")
            ),
            "changes/s": per_s.get("changes", 0.0),
            "refused writes": increase["refused writes"],
            "refused requests": increase["refused requests"],
            "watch KB/s a node": per_s.get("watch bytes", 0.0) / 1024 / size.nodes,
            "watches too old": increase["watches too old"],
            "load s": max(cell.load_s.values(), default=0.0),
            "accepted p95 ms": quantile_ms(self._users.accepted, 95),
            "urgent p50 s": quantile_ms(self._urgent, 50) / 1000,
            "urgent p99 s": quantile_ms(self._urgent, 99) / 1000,
            "urgent worst s": quantile_ms(self._urgent, 100) / 1000,
            "urgent started": self._urgent.total_count,
            "tasks lost": increase["lost"],
            "late orders after a clear": increase["late orders after a clear"],
            "late orders after a reboot": increase["late orders after a reboot"],
            "started again": increase["started again"],
            "users' answers": dict(sorted(self._users.words.items())),
            "rules broken": len(rules.broken),
            "first broken": rules.broken[:3],
            "nodes ended": dict(cell.ended),
            "peak MB": self._peak_memory_mb,
            "processes": cell.process_count(),
            "faults": self._faults,
        }


async def play(size: Size, faults: bool = False) -> dict[str, Any]:
    """Runs one size. Its processes have ended when this returns or raises."""
    with tempfile.TemporaryDirectory(prefix="pulleydeal-scale-") as folder:
        cell = Cell(Path(folder), size)
        try:
            await cell.start()
            return await Run(cell, faults).measure()
        finally:
            await cell.stop()


def within_bounds(row: dict[str, Any]) -> bool:
    """Whether the run stayed within MAX_MEMORY_SHARE and MAX_PROCESSES."""
    small = row["peak MB"] < MAX_MEMORY_SHARE * machine_memory_mb()
    return bool(small and row["processes"] < MAX_PROCESSES)
