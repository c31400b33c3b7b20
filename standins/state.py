"""A state service by PROTOCOL: marks, transactions, holds, watches, outages, late answers."""

import asyncio
import json
import random
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pulleydeal.http import Request, Response, Server, json_response
from standins.net import CALLER

KEPT_CHANGES = 10_000


class StateService:
    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # data, mark, charter
        self._sorted: list[str] | None = None  # the keys in order, until one comes or goes
        self._holds: dict[int, list[float]] = {}  # charter -> [ends, ttl]
        self._log: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.down = False
        self.refuse: set[str] = set()  # hosts that alone get 503
        self.lose = 0.0  # share of commits whose answer is lost; half of those apply late
        self.repeat = 0.0  # share of commits of which a copy comes again later
        self.late = 0.0  # share of commits without an answer, carried out 2 to 12 s later
        self.at_once = False  # these are carried out at once, and only their answer is lost
        self.answers_lost = 0  # so many of these succeeded
        self.on_put: Callable[[str], None] = lambda _: None  # is told each key that is written
        self.late_applied = 0  # so many of these succeeded
        self._ended: set[int] = set()  # marks of changes that the end of a lease made
        self.overtaken: list[str] = []  # keys that one of these wrote after a newer write
        self.slow_s = 0.0  # answers take up to so long
        self.watches_end = False  # of a node that gets 503, they end empty in their time
        self._value_b, self._ops = 8 * 1024, 32
        self._write_rps: float | None = None  # None: any rate
        self._may_write, self._may_write_at = 0.0, 0.0
        self._rps: float | None = None  # the same of requests of any kind
        self._may_ask, self._may_ask_at = 0.0, 0.0
        self.counts: Counter[str] = Counter()  # what was asked and answered, for measurements
        self.too_large: list[str] = []  # what was refused with 400 for its size
        self.refused_writes = 0
        self.server = Server(self.handle, 10_000)

    async def run(self, address: str) -> None:
        await self.server.start(address)
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                self._expire(asyncio.get_running_loop().time())

    def set_down(self, down: bool) -> None:
        if self.down and not down:
            now = asyncio.get_running_loop().time()
            for hold in self._holds.values():
                hold[0] = now + hold[1]  # every lease has its full time again
        self.down = down
        self._wake()

    def put(self, key: str, data: Any) -> None:
        self._apply([{"set": key, "data": data}])

    def limit(
        self, value_kb: float, ops: int, write_rps: float | None, rps: float | None = None
    ) -> None:
        self._value_b, self._ops, self._write_rps = int(value_kb * 1024), ops, write_rps
        self._may_write, self._may_write_at = 0.0, asyncio.get_running_loop().time()
        self._rps, self._may_ask, self._may_ask_at = rps, 0.0, self._may_write_at

    def _over(self, body: dict[str, Any]) -> str:
        """Why a transaction is larger than the limits of this moment."""
        changes, checks = body.get("apply", []), body.get("if", [])
        if len(changes) > self._ops or len(checks) > 4 * self._ops:
            return f"{len(changes)} changes, {len(checks)} conditions"
        for change in changes:
            size = len(json.dumps(change.get("data"), separators=(",", ":")).encode())
            if size > self._value_b:
                return f"{change['set']} has {size} bytes"
        return ""

    def _too_fast(self, changes: int) -> bool:
        if self._write_rps is None:
            return False
        now = asyncio.get_running_loop().time()
        more = (now - self._may_write_at) * self._write_rps
        self._may_write = min(self._write_rps, self._may_write + more)
        self._may_write_at = now
        if self._may_write < changes:
            self.refused_writes += 1
            return True
        self._may_write -= changes
        return False

    def _asked_too_fast(self) -> bool:
        if self._rps is None:
            return False
        now = asyncio.get_running_loop().time()
        self._may_ask = min(self._rps, self._may_ask + (now - self._may_ask_at) * self._rps)
        self._may_ask_at = now
        if self._may_ask < 1:
            return True
        self._may_ask -= 1
        return False

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self, now: float) -> None:
        for charter in [h for h, (ends, _) in self._holds.items() if ends < now]:
            self._end(charter)

    def _end(self, charter: int) -> None:
        self._holds.pop(charter, None)
        drops = [{"drop": k} for k, (_, _, held) in self.keys.items() if held == charter]
        if drops:
            self._apply(drops)
            self._ended.add(self.ledger)

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.ledger += 1
        for change in changes:
            if change.get("set", "") not in self.keys:
                self._sorted = None  # a key more, or one less
            if "set" in change:
                self.keys[change["set"]] = (change["data"], self.ledger, change.get("charter"))
                event = {"set": change["set"], "data": change["data"], "mark": self.ledger}
            else:
                self.keys.pop(change["drop"], None)
                event = {"drop": change["drop"], "mark": self.ledger}
            self._log.append(event)
            self.on_put(change.get("set", ""))
        del self._log[:-KEPT_CHANGES]
        self._wake()

    async def handle(self, request: Request) -> Response:
        if self._away() and not request.path.startswith("/watch"):
            return json_response(503, {"error": "outage"})
        if self.slow_s:
            await asyncio.sleep(self._rng.uniform(0.0, self.slow_s))
        if self._asked_too_fast():
            self.counts["refused requests"] += 1
            return json_response(429, {"error": "too many requests"})
        url = urlsplit(request.path)
        self.counts[url.path.split("/")[1]] += 1
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/commit":
            return await self._commit(body)
        if url.path == "/watch":
            return await self._watch(query)
        if url.path.startswith("/holds"):
            return self._hold(request.method, url.path, body)
        if url.path == "/store":
            return self._page(query)
        key = url.path.removeprefix("/store/")
        if key not in self.keys:
            return json_response(404, {"ledger": self.ledger})
        data, mark, charter = self.keys[key]
        return json_response(200, {"k": key, "data": data, "mark": mark, "charter": charter})

    def _away(self) -> bool:
        """For everybody, or for the node that asks."""
        caller = CALLER.get(None)
        return self.down or (caller is not None and caller.ip in self.refuse)

    async def _commit(self, body: dict[str, Any]) -> Response:
        if self.late and self._rng.random() < self.late:
            if self.at_once:
                self.answers_lost += self._transact(body).status == 200
                await loop_forever()
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(2.0, 12.0), self._too_late, body, self.ledger)
            await loop_forever()
        if self._rng.random() < self.lose:
            if self._rng.random() < 0.5:
                self._transact(body)
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(self._rng.uniform(0.5, 8.0), self._transact, body)
            await loop_forever()
        if self.repeat and self._rng.random() < self.repeat:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(0.05, 8.0), self._transact, body)
        return self._transact(body)

    def _too_late(self, body: dict[str, Any], ledger: int) -> None:
        """A transaction that was held: nothing that was written since may be overwritten."""
        keys = {change.get("set", change.get("drop")) for change in body.get("apply", [])}
        # That a lease ended is nobody's decision: a join that was held may follow it.
        since = {
            e.get("set", e.get("drop"))
            for e in self._log
            if e["mark"] > ledger and e["mark"] not in self._ended
        }
        if keys and self._transact(body).status == 200:
            self.late_applied += 1
            self.overtaken += sorted(keys & since)

    def _transact(self, body: dict[str, Any]) -> Response:
        if self.down:
            return json_response(503, {"error": "outage"})
        changes = body.get("apply", [])
        over = self._over(body)
        if over:
            self.too_large.append(over)
            return json_response(400, {"error": f"too large: {over}"})
        if changes and self._too_fast(len(changes)):
            self.counts["refused writes"] += 1
            return json_response(429, {"error": "too many changes"})
        for change in changes:
            if change.get("charter") is not None and change["charter"] not in self._holds:
                return json_response(400, {"error": "no such lease"})
        failed = [
            check["k"]
            for check in body.get("if", [])
            if (self.keys[check["k"]][1] if check["k"] in self.keys else 0) != check["mark"]
        ]
        if failed:
            return json_response(409, {"failed": failed, "ledger": self.ledger})
        if changes:
            self._apply(changes)
            self.counts["changes"] += len(changes)
        return json_response(200, {"ledger": self.ledger})

    def _page(self, query: dict[str, str]) -> Response:
        if self._sorted is None:
            self._sorted = sorted(self.keys)
        under, limit = query["under"], int(query.get("limit", 1000))
        after = query.get("after", "")
        first = bisect_right(self._sorted, after) if after >= under else 0
        first = max(first, bisect_left(self._sorted, under))
        names = self._sorted[first : first + limit + 1]
        names = [name for name in names if name.startswith(under)]
        entries = [
            {"k": k, "data": self.keys[k][0], "mark": self.keys[k][1]} for k in names[:limit]
        ]
        more = len(names) > limit
        reply = json_response(200, {"entries": entries, "truncated": more, "ledger": self.ledger})
        self.counts["page bytes"] += len(reply.body)
        return reply

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("hold_ms", 0)) / 1000
        ledger = after  # up to which this watch has nothing to tell
        while True:
            away = self._away()
            if not away:
                ledger = self.ledger
            elif self.watches_end and loop.time() >= until:
                return json_response(200, {"ledger": ledger, "events": []})
            if not away:
                if (
                    self._log
                    and len(self._log) >= KEPT_CHANGES
                    and self._log[0]["mark"] > after + 1
                ):
                    self.counts["watches too old"] += 1
                    return json_response(410, {})
                first = bisect_right(self._log, after, key=lambda event: int(event["mark"]))
                events = [
                    e
                    for e in self._log[first:]
                    if e.get("set", e.get("drop")).startswith(query["under"])
                ]
                if events or loop.time() >= until:
                    reply = json_response(200, {"ledger": self.ledger, "events": events})
                    self.counts["watched events"] += len(events)
                    self.counts["watch bytes"] += len(reply.body)
                    return reply
            changed = self._changed
            try:
                async with asyncio.timeout(0.5 if away else max(0.0, until - loop.time())):
                    await changed.wait()
            except TimeoutError:
                pass

    def _hold(self, method: str, path: str, body: dict[str, Any]) -> Response:
        now = asyncio.get_running_loop().time()
        parts = path.strip("/").split("/")
        if len(parts) == 1:
            ttl = body["ttl_ms"] / 1000
            charter = max(self._holds, default=0) + 1
            self._holds[charter] = [now + ttl, ttl]
            return json_response(200, {"charter": charter})
        charter = int(parts[1])
        if charter not in self._holds:
            return json_response(404, {})
        if method == "DELETE":
            self._end(charter)
        else:
            self._holds[charter][0] = now + self._holds[charter][1]
        return json_response(200, {"charter": charter})


async def loop_forever() -> None:
    """Never answers."""
    await asyncio.get_running_loop().create_future()
