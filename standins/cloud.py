"""A cloud by PROTOCOL: catalogue, rentals by name, returns, a lagging list, outages."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pulleydeal.clock import Clock
from pulleydeal.http import Request, Response, Server, json_response

Started = Callable[[str, dict[str, Any], str, bool], Any]  # block, type, yard, loaners


class CloudService:
    def __init__(
        self,
        types: list[dict[str, Any]],
        capacity: dict[tuple[str, bool], int],
        clock: Clock,
        start: Started,
        stop: Callable[[str], None],
        lag_s: float = 5.0,
    ) -> None:
        self._types = {t["name"]: t for t in types}
        self.capacity = capacity  # (yard, loaners) -> machines
        self._clock = clock
        self._start, self._stop = start, stop
        self._lag_s = lag_s
        self.blocks: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(clock.now(), [])]
        self._answers: dict[str, list[str]] = {}
        self._serial = 0
        self.down = False
        self.boots = 1.0  # times ready_s that machines rented from now on take; 0: they never come
        self.server = Server(self.handle, 1000)

    async def run(self, address: str) -> None:
        await self.server.start(address)
        while True:
            await asyncio.sleep(0.5)
            self._snap()

    def _snap(self) -> None:
        now = self._clock.now()
        shown = [
            {k: v for k, v in b.items() if not k.startswith("_")} | {"held_s": now - b["_since"]}
            for b in self.blocks.values()
        ]
        self._history.append((now, shown))
        del self._history[:-200]

    async def handle(self, request: Request) -> Response:
        if self.down:
            return json_response(503, {"error": "trouble"})
        await asyncio.sleep(0.25)
        url = urlsplit(request.path)
        if url.path == "/catalog":
            return json_response(200, {"rig_models": list(self._types.values())})
        if url.path == "/rentals" and request.method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(url.query).items()})
        body = json.loads(request.body)
        if url.path == "/rentals/return":
            for block in body["blocks"]:
                self.remove(block)
            return json_response(200, {})
        return self._rent(body)

    def remove(self, block: str) -> None:
        entry = self.blocks.pop(block, None)
        if entry is not None:
            self.capacity[(entry["yard"], entry["loaners"])] += 1
            self._stop(block)

    def fail(self, block: str) -> None:
        """It stopped on its own; listed as such until it is deleted."""
        if block in self.blocks:
            self.blocks[block]["tension"] = "failed"

    def _list(self, query: dict[str, str]) -> Response:
        then = self._clock.now() - self._lag_s
        shown = next((s for at, s in reversed(self._history) if at <= then), [])
        after, limit = query.get("after", ""), int(query.get("limit", 500))
        rest = [b for b in shown if b["name_id"] > after]
        return json_response(200, {"blocks": rest[:limit], "truncated": len(rest) > limit})

    def _rent(self, body: dict[str, Any]) -> Response:
        if body["hire"] in self._answers:
            return json_response(200, {"blocks": self._answers[body["hire"]]})
        place = (body["yard"], body["loaners"])
        count = min(body["count"], self.capacity.get(place, 0))
        if count == 0:
            return json_response(503, {"error": "no capacity"})
        self.capacity[place] -= count
        names = [self.add(body["rig_model"], *place) for _ in range(count)]
        self._answers[body["hire"]] = names
        return json_response(200, {"blocks": names})

    def add(self, type_: str, yard: str, loaners: bool) -> str:
        block = f"vm-{self._serial + 1:06d}"
        self._put(block, type_, yard, loaners)
        if self.boots:
            ready_s = self._types[type_]["ready_s"] * self.boots
            asyncio.get_running_loop().call_later(ready_s, self._boot, block)
        return block

    def place(self, block: str, type_: str, yard: str, loaners: bool) -> None:
        """A machine that is up already."""
        self._put(block, type_, yard, loaners)
        self._boot(block)

    def hold(self, block: str, type_: str, yard: str, loaners: bool) -> None:
        """A machine that runs already and whose worker is started elsewhere."""
        self._put(block, type_, yard, loaners)
        self.blocks[block]["tension"] = "running"

    def _put(self, block: str, type_: str, yard: str, loaners: bool) -> None:
        self._serial = max(self._serial, int(block.rpartition("-")[2]))
        self.blocks[block] = {
            "name_id": block,
            "addr": "",
            "rig_model": type_,
            "yard": yard,
            "loaners": loaners,
            "tension": "starting",
            "_since": self._clock.now(),
        }

    def _boot(self, block: str) -> None:
        entry = self.blocks.get(block)
        if entry is not None:
            entry["tension"] = "running"
            entry["addr"] = self._start(
                block, self._types[entry["rig_model"]], entry["yard"], entry["loaners"]
            )
