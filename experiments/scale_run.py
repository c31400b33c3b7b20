"""Plays one cell at one size and measures it."""

import asyncio
import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from experiments.load import histogram, note, quantile_ms
from experiments.scale_cell import MEMORY_SHARE_MOST, PROCESSES_MOST, Cell, machine_memory_mb
from experiments.scale_plan import Size, arriving_jobs
from pulleydeal.http import Client, NoResponse
from standins import hub_messages as m

SUBMIT_S, POLL_S = 5.0, 2.0  # PROTOCOL: how long users wait for an answer
RETRY_S, RETRY_MOST_S = 1.0, 60.0  # and how long they repeat a submission
POLL_EVERY_S = 5.0
UPLOAD_AHEAD_S = 0.5  # descriptions reach the workers before their jobs are submitted
JUDGE_S = 1.0  # until what happened last has been told and judged

# --- troubles of the run with faults: seconds from the beginning of the measurement ---------------
REPLACE_AT_S, REPLACED, BACK_S = 2.0, 4, 1.0
RACK_AT_S, RACK, RACK_FOR_S = 8.0, 40, 25.0
NODE_AT_S, NODE_BACK_S = 14.0, 1.0
OUTAGE_AT_S, OUTAGE_S = 40.0, 30.0
ZONE_AT_S, ZONE_FOR_S = 85.0, 20.0
FAULTED_S = 130.0


@dataclass
class Snapshot:
    """Counters that only grow, at one moment."""

    at: float
    cpu_s: dict[str, float]
    state_cpu_s: float
    counts: Counter[str]


@dataclass
class Users:
    """Submit what comes, repeat what is refused, and poll until it is over."""

    cell: Cell
    words: Counter[str] = field(default_factory=Counter)
    accepted: Any = field(default_factory=histogram)
    due: dict[str, float] = field(default_factory=dict)  # job -> when it was first submitted
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
        while self.cell.now() - due < RETRY_MOST_S:
            status = await self._ask("POST", "/submissions", name, body, SUBMIT_S)
            if status in (200, 201):
                if self.counting:
                    note(self.accepted, self.cell.now() - due)
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def _poll(self, name: str) -> None:
        while True:
            await asyncio.sleep(POLL_EVERY_S)
            await self._ask("GET", f"/submissions/{name}", name, None, POLL_S)
            if self.cell.hub.rules.heard_over(name):
                return

    async def _ask(self, method: str, path: str, name: str, body: Any, wait_s: float) -> int:
        self._turn += 1
        client = self._clients[self._turn % len(self._clients)]
        began = self.cell.now()
        try:
            status, reply = await client.request(method, path, body, wait_s)
        except NoResponse:
            status, reply = 0, b""
        if self.counting:
            self.words[f"{method} {status or 'none'}"] += 1
        state = json.loads(reply).get("tension", "") if status in (200, 201) else ""
        hub = self.cell.hub
        told = partial(hub.rules.told, name, status, state, hub.results, began)
        hub.judge_later(self.cell.now(), told)
        if method == "GET":
            polled = partial(hub.rules.polled, name, status in (200, 404))
            hub.judge_later(self.cell.now(), polled)
        return status

    def close(self) -> None:
        for client in self._clients:
            client.close()


class Run:
    """One size, from nothing to a row of figures."""

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
            note(self._urgent, event.at - self._users.due[name])

    def _on_end(self, event: m.TaskCompleted) -> None:
        self._ends += self._from <= event.at < self._until

    def _snapshot(self) -> Snapshot:
        cell = self.cell
        counts: Counter[str] = Counter()
        for told in cell.hub.counts.values():
            counts.update(told)
        return Snapshot(cell.now(), cell.node_cpu_s(), cell.state_cpu_s(), counts)

    async def measure(self) -> dict[str, Any]:
        size, cell = self.cell.size, self.cell
        measure_s = FAULTED_S if self._faults else size.measure_s
        jobs = arriving_jobs(size, size.settle_s + measure_s)
        began = cell.now() + UPLOAD_AHEAD_S
        living = [
            asyncio.ensure_future(self._users.live(body, began + after)) for after, body in jobs
        ]
        await asyncio.sleep(size.settle_s + UPLOAD_AHEAD_S)
        troubles = asyncio.ensure_future(self._trouble()) if self._faults else None
        self._users.counting = True
        self._from = cell.now()
        before = self._snapshot()
        await self._wait(measure_s)
        after = self._snapshot()
        self._until = cell.now()
        self._users.counting = False
        await asyncio.sleep(JUDGE_S)
        for task in [*living, *([troubles] if troubles else [])]:
            task.cancel()
        self._users.close()
        return self._row(before, after)

    async def _wait(self, for_s: float) -> None:
        until = self.cell.now() + for_s
        while (left := until - self.cell.now()) > 0:
            self.cell.check()
            self._peak_memory_mb = max(self._peak_memory_mb, self.cell.all_memory_mb())
            await asyncio.sleep(min(1.0, left))

    async def _trouble(self) -> None:
        """A few of each kind that the operators' table names, one after the other."""
        cell, began = self.cell, self.cell.now()
        blocks = [worker.block for worker in cell.workers_planned]
        zone = cell.workers_planned[0].yard

        async def at(after_s: float) -> None:
            await asyncio.sleep(max(0.0, began + after_s - cell.now()))

        await at(REPLACE_AT_S)
        cell.hub.broadcast(m.Replace(blocks[:REPLACED], BACK_S))
        await at(RACK_AT_S)
        cell.hub.broadcast(m.Silence(blocks[-RACK:], RACK_FOR_S))
        await at(NODE_AT_S)
        node = sorted(cell.nodes)[-1]
        cell.kill(node)
        await asyncio.sleep(NODE_BACK_S)
        await cell.start_node(node)
        await at(OUTAGE_AT_S)
        cell.hub.broadcast(m.Outage(OUTAGE_S))
        await at(ZONE_AT_S)
        lost = [worker.block for worker in cell.workers_planned if worker.yard == zone]
        cell.hub.broadcast(m.Silence(lost, ZONE_FOR_S))
        await asyncio.sleep(FAULTED_S)

    def _row(self, before: Snapshot, after: Snapshot) -> dict[str, Any]:
        size, cell = self.cell.size, self.cell
        seconds = after.at - before.at
        grown = after.counts.copy()
        grown.subtract(before.counts)
        per_s = {name: count / seconds for name, count in grown.items()}
        cpu = sum(after.cpu_s[node] - before.cpu_s.get(node, 0.0) for node in after.cpu_s)
        reports = max(1, grown["reports"])
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
            "bytes a report": grown["report bytes"] / reports,
            "bytes an answer": grown["answer bytes"] / reports,
            "cores of all nodes": cpu / seconds,
            "cores of the state service": (after.state_cpu_s - before.state_cpu_s) / seconds,
            "MB a node": max(cell.node_memory_mb().values(), default=0.0),
            "state requests/s": sum(
                per_s.get(x, 0.0) for x in ("commit", "watch", "store", "holds")
            ),
            "changes/s": per_s.get("changes", 0.0),
            "refused writes": grown["refused writes"],
            "refused requests": grown["refused requests"],
            "watch KB/s a node": per_s.get("watch bytes", 0.0) / 1024 / size.nodes,
            "watches too old": grown["watches too old"],
            "load s": max(cell.load_s.values(), default=0.0),
            "accepted p95 ms": quantile_ms(self._users.accepted, 95),
            "urgent p50 s": quantile_ms(self._urgent, 50) / 1000,
            "urgent p99 s": quantile_ms(self._urgent, 99) / 1000,
            "urgent worst s": quantile_ms(self._urgent, 100) / 1000,
            "urgent started": self._urgent.total_count,
            "tasks lost": grown["lost"],
            "users' answers": dict(sorted(self._users.words.items())),
            "rules broken": len(rules.broken),
            "first broken": rules.broken[:3],
            "nodes ended": dict(cell.ended),
            "peak MB": self._peak_memory_mb,
            "processes": cell.process_count(),
            "faults": self._faults,
        }


async def play(size: Size, faults: bool = False) -> dict[str, Any]:
    """Plays one size. Its processes are ended when this returns or raises."""
    with tempfile.TemporaryDirectory(prefix="pulleydeal-scale-") as folder:
        cell = Cell(Path(folder), size)
        try:
            await cell.start()
            return await Run(cell, faults).measure()
        finally:
            await cell.stop()


def within_bounds(row: dict[str, Any]) -> bool:
    """The run's own promise: under half of the memory, a few hundred processes."""
    small = row["peak MB"] < MEMORY_SHARE_MOST * machine_memory_mb()
    return bool(small and row["processes"] < PROCESSES_MOST)
