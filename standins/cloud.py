"""A simulated cloud: catalogue, idempotent rentals, returns, a lagging list, outages."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pulleydeal.clock import Clock
from pulleydeal.http import Request, Response, Server, json_response

StartWorker = Callable[[str, dict[str, Any], str, bool], Any]  # machine, type, zone, spot


class CloudService:
    """Rents machines by PROTOCOL, and starts and stops their workers through callbacks."""

    def __init__(
        self,
        machine_types: list[dict[str, Any]],
        capacity: dict[tuple[str, bool], int],
        clock: Clock,
        start: StartWorker,
        stop: Callable[[str], None],
        list_lag_s: float = 5.0,
    ) -> None:
        self._machine_types = {machine_type["name"]: machine_type for machine_type in machine_types}
        self.capacity = capacity  # (zone, spot) -> machines left
        self._clock = clock
        self._start_worker, self._stop_worker = start, stop
        self._list_lag_s = list_lag_s
        self.blocks: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(clock.now(), [])]
        self._rentals: dict[str, list[str]] = {}
        self._serial = 0
        self.down = False
        self.boots = 1.0  # factor on ready_s of new machines; 0: they never come up
        self.server = Server(self.handle, 1000)

    async def run(self, address: str) -> None:
        await self.server.start(address)
        while True:
            await asyncio.sleep(0.5)
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        now = self._clock.now()
        shown = [
            {k: v for k, v in entry.items() if not k.startswith("_")}
            | {"held_s": now - entry["_since"]}
            for entry in self.blocks.values()
        ]
        self._history.append((now, shown))
        del self._history[:-200]

    async def handle(self, request: Request) -> Response:
        if self.down:
            return json_response(503, {"error": "trouble"})
        await asyncio.sleep(0.25)
        url = urlsplit(request.path)
        if url.path == "/catalog":
            return json_response(200, {"rig_models": list(self._machine_types.values())})
        if url.path == "/rentals" and request.method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(url.query).items()})
        body = json.loads(request.body)
        if url.path == "/rentals/return":
            for machine in body["blocks"]:
                self.remove(machine)
            return json_response(200, {})
        return self._rent(body)

    def remove(self, machine: str) -> None:
        entry = self.blocks.pop(machine, None)
        if entry is not None:
            self.capacity[(entry["yard"], entry["loaners"])] += 1
            self._stop_worker(machine)

    def fail(self, machine: str) -> None:
        """Marks a machine as failed; it stays listed until it is returned."""
        if machine in self.blocks:
            self.blocks[machine]["tension"] = "failed"

    def _list(self, query: dict[str, str]) -> Response:
        listed_at = self._clock.now() - self._list_lag_s
        shown = next((s for at, s in reversed(self._history) if at <= listed_at), [])
        after, limit = query.get("after", ""), int(query.get("limit", 500))
        remaining = [entry for entry in shown if entry["name_id"] > after]
        return json_response(
            200, {"blocks": remaining[:limit], "truncated": len(remaining) > limit}
        )

    def _rent(self, body: dict[str, Any]) -> Response:
        if body["hire"] in self._rentals:
            return json_response(200, {"blocks": self._rentals[body["hire"]]})
        pool = (body["yard"], body["loaners"])
        count = min(body["count"], self.capacity.get(pool, 0))
        if count == 0:
            return json_response(503, {"error": "no capacity"})
        self.capacity[pool] -= count
        machines = [self.add(body["rig_model"], *pool) for _ in range(count)]
        self._rentals[body["hire"]] = machines
        return json_response(200, {"blocks": machines})

    def add(self, machine_type: str, zone: str, spot: bool) -> str:
        machine = f"vm-{self._serial + 1:06d}"
        self._add_entry(machine, machine_type, zone, spot)
        if self.boots:
            ready_s = self._machine_types[machine_type]["ready_s"] * self.boots
            asyncio.get_running_loop().call_later(ready_s, self._finish_boot, machine)
        return machine

    def place(self, machine: str, machine_type: str, zone: str, spot: bool) -> None:
        """Adds a machine that boots at once."""
        self._add_entry(machine, machine_type, zone, spot)
        self._finish_boot(machine)

    def hold(self, machine: str, machine_type: str, zone: str, spot: bool) -> None:
        """Adds a running machine whose worker is started elsewhere."""
        self._add_entry(machine, machine_type, zone, spot)
        self.blocks[machine]["tension"] = "running"

    def _add_entry(self, machine: str, machine_type: str, zone: str, spot: bool) -> None:
        self._serial = max(self._serial, int(machine.rpartition("-")[2]))
        self.blocks[machine] = {
            "name_id": machine,
            "addr": "",
            "rig_model": machine_type,
            "yard": zone,
            "loaners": spot,
            "tension": "starting",
            "_since": self._clock.now(),
        }

    def _finish_boot(self, machine: str) -> None:
        entry = self.blocks.get(machine)
        if entry is not None:
            entry["tension"] = "running"
            entry["addr"] = self._start_worker(
                machine, self._machine_types[entry["rig_model"]], entry["yard"], entry["loaners"]
            )
