"""A simulated state service: revisions, transactions, leases, watches, and injected faults."""

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

MAX_LOG_EVENTS = 10_000


class StateService:
    """A key-value store that follows PROTOCOL, with outages, lost answers and late commits."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # data, revision, lease
        self._sorted_keys: list[str] | None = None  # None: keys were added or dropped
        self._leases: dict[int, list[float]] = {}  # lease -> [expiry, ttl]
        self._log: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.down = False
        self.refuse: set[str] = set()  # IP addresses that get 503 while others are served
        self.lose = 0.0  # share of commits whose answer is lost; half of them are applied late
        self.repeat = 0.0  # share of commits that are applied a second time later
        self.late = 0.0  # share of commits without an answer that are applied 2 to 12 s later
        self.at_once = False  # these are applied at once, and only their answer is lost
        self.answers_lost = 0  # number of these that succeeded
        self.on_put: Callable[[str], None] = lambda _: None  # called with each key that is written
        self.late_applied = 0  # number of late commits that succeeded
        self._lease_end_revisions: set[int] = set()  # revisions made by the end of a lease
        self.overtaken: list[str] = []  # keys that a late commit wrote after a newer write
        self.slow_s = 0.0  # maximum delay of an answer
        self.watches_end = False  # watches of a refused node end empty instead of hanging
        self._max_value_b, self._max_ops = 8 * 1024, 32
        self._write_rps: float | None = None  # None: unlimited
        self._write_tokens, self._write_tokens_at = 0.0, 0.0
        self._request_rps: float | None = None  # rate limit for all requests; None: unlimited
        self._request_tokens, self._request_tokens_at = 0.0, 0.0
        self.counts: Counter[str] = Counter()  # requests, changes and bytes, for measurements
        self.too_large: list[str] = []  # commits refused with 400 for their size
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
            for lease_times in self._leases.values():
                lease_times[0] = now + lease_times[1]  # after an outage, the full TTL again
        self.down = down
        self._notify_watchers()

    def put(self, key: str, data: Any) -> None:
        self._apply([{"set": key, "data": data}])

    def limit(
        self, value_kb: float, ops: int, write_rps: float | None, rps: float | None = None
    ) -> None:
        self._max_value_b, self._max_ops, self._write_rps = int(value_kb * 1024), ops, write_rps
        self._write_tokens, self._write_tokens_at = 0.0, asyncio.get_running_loop().time()
        self._request_rps, self._request_tokens, self._request_tokens_at = (
            rps,
            0.0,
            self._write_tokens_at,
        )

    def _size_violation(self, body: dict[str, Any]) -> str:
        """Why a transaction exceeds the current size limits; "" if it does not."""
        changes, checks = body.get("apply", []), body.get("if", [])
        if len(changes) > self._max_ops or len(checks) > 4 * self._max_ops:
            return f"{len(changes)} changes, {len(checks)} conditions"
        for change in changes:
            size = len(json.dumps(change.get("data"), separators=(",", ":")).encode())
            if size > self._max_value_b:
                return f"{change['set']} has {size} bytes"
        return ""

    def _exceeds_write_rate(self, changes: int) -> bool:
        if self._write_rps is None:
            return False
        now = asyncio.get_running_loop().time()
        more = (now - self._write_tokens_at) * self._write_rps
        self._write_tokens = min(self._write_rps, self._write_tokens + more)
        self._write_tokens_at = now
        if self._write_tokens < changes:
            self.refused_writes += 1
            return True
        self._write_tokens -= changes
        return False

    def _exceeds_request_rate(self) -> bool:
        if self._request_rps is None:
            return False
        now = asyncio.get_running_loop().time()
        self._request_tokens = min(
            self._request_rps,
            self._request_tokens + (now - self._request_tokens_at) * self._request_rps,
        )
        self._request_tokens_at = now
        if self._request_tokens < 1:
            return True
        self._request_tokens -= 1
        return False

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self, now: float) -> None:
        for lease in [x for x, (expires_at, _) in self._leases.items() if expires_at < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        drops = [{"drop": k} for k, (_, _, owner) in self.keys.items() if owner == lease]
        if drops:
            self._apply(drops)
            self._lease_end_revisions.add(self.ledger)

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.ledger += 1
        for change in changes:
            if change.get("set", "") not in self.keys:
                self._sorted_keys = None  # a key is added or dropped
            if "set" in change:
                self.keys[change["set"]] = (change["data"], self.ledger, change.get("charter"))
                event = {"set": change["set"], "data": change["data"], "mark": self.ledger}
            else:
                self.keys.pop(change["drop"], None)
                event = {"drop": change["drop"], "mark": self.ledger}
            self._log.append(event)
            self.on_put(change.get("set", ""))
        del self._log[:-MAX_LOG_EVENTS]
        self._notify_watchers()

    async def handle(self, request: Request) -> Response:
        if self._is_unavailable() and not request.path.startswith("/watch"):
            return json_response(503, {"error": "outage"})
        if self.slow_s:
            await asyncio.sleep(self._rng.uniform(0.0, self.slow_s))
        if self._exceeds_request_rate():
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
            return self._handle_lease(request.method, url.path, body)
        if url.path == "/store":
            return self._page(query)
        key = url.path.removeprefix("/store/")
        if key not in self.keys:
            return json_response(404, {"ledger": self.ledger})
        data, revision, lease = self.keys[key]
        return json_response(200, {"k": key, "data": data, "mark": revision, "charter": lease})

    def _is_unavailable(self) -> bool:
        """Whether the service is down for all, or refuses the host that asks."""
        caller = CALLER.get(None)
        return self.down or (caller is not None and caller.ip in self.refuse)

    async def _commit(self, body: dict[str, Any]) -> Response:
        if self.late and self._rng.random() < self.late:
            if self.at_once:
                self.answers_lost += self._transact(body).status == 200
                await wait_forever()
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(2.0, 12.0), self._apply_late, body, self.ledger)
            await wait_forever()
        if self._rng.random() < self.lose:
            if self._rng.random() < 0.5:
                self._transact(body)
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(self._rng.uniform(0.5, 8.0), self._transact, body)
            await wait_forever()
        if self.repeat and self._rng.random() < self.repeat:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(0.05, 8.0), self._transact, body)
        return self._transact(body)

    def _apply_late(self, body: dict[str, Any], sent_revision: int) -> None:
        """Applies a delayed transaction and records keys where it follows a newer write."""
        keys = {change.get("set", change.get("drop")) for change in body.get("apply", [])}
        # Changes by the end of a lease do not count: a delayed join may follow them.
        written_since = {
            e.get("set", e.get("drop"))
            for e in self._log
            if e["mark"] > sent_revision and e["mark"] not in self._lease_end_revisions
        }
        if keys and self._transact(body).status == 200:
            self.late_applied += 1
            self.overtaken += sorted(keys & written_since)

    def _transact(self, body: dict[str, Any]) -> Response:
        if self.down:
            return json_response(503, {"error": "outage"})
        changes = body.get("apply", [])
        violation = self._size_violation(body)
        if violation:
            self.too_large.append(violation)
            return json_response(400, {"error": f"too large: {violation}"})
        if changes and self._exceeds_write_rate(len(changes)):
            self.counts["refused writes"] += 1
            return json_response(429, {"error": "too many changes"})
        for change in changes:
            if change.get("charter") is not None and change["charter"] not in self._leases:
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
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self.keys)
        under, limit = query["under"], int(query.get("limit", 1000))
        after = query.get("after", "")
        first = bisect_right(self._sorted_keys, after) if after >= under else 0
        first = max(first, bisect_left(self._sorted_keys, under))
        names = self._sorted_keys[first : first + limit + 1]
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
        seen_revision = after  # revision up to which this watch has no events
        while True:
            unavailable = self._is_unavailable()
            if not unavailable:
                seen_revision = self.ledger
            elif self.watches_end and loop.time() >= until:
                return json_response(200, {"ledger": seen_revision, "events": []})
            if not unavailable:
                if (
                    self._log
                    and len(self._log) >= MAX_LOG_EVENTS
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
                async with asyncio.timeout(0.5 if unavailable else max(0.0, until - loop.time())):
                    await changed.wait()
            except TimeoutError:
                pass

    def _handle_lease(self, method: str, path: str, body: dict[str, Any]) -> Response:
        now = asyncio.get_running_loop().time()
        parts = path.strip("/").split("/")
        if len(parts) == 1:
            ttl = body["ttl_ms"] / 1000
            lease = max(self._leases, default=0) + 1
            self._leases[lease] = [now + ttl, ttl]
            return json_response(200, {"charter": lease})
        lease = int(parts[1])
        if lease not in self._leases:
            return json_response(404, {})
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self._leases[lease][0] = now + self._leases[lease][1]
        return json_response(200, {"charter": lease})


async def wait_forever() -> None:
    """Never returns, so that the request gets no answer."""
    await asyncio.get_running_loop().create_future()
