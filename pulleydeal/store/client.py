"""HTTP client of the state service.

It does not interpret keys or values and does not retry failed requests.
"""

import asyncio
import logging
from collections import deque
from typing import Any, TypeVar

from msgspec.json import Decoder

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.http import DECODE_ERRORS, Client, NoResponse
from pulleydeal.settings import StateLimits
from pulleydeal.store import messages as m
from pulleydeal.store.rate import TokenBucket, WritePriority, WriteScheduler
from pulleydeal.store.records import REVISION_PROBE_KEY

log = logging.getLogger("pulleydeal.store")


class Unavailable(Exception):
    """The request was not executed: answered with 429 or 503, or never sent.

    Reads raise it for other failures too.
    """


class OutcomeUnknown(Exception):
    """No response, or an unexpected one: the request may have been executed, or may yet be."""


class RequestRejected(Exception):
    """The request was rejected (400): it was not executed, and a retry would be rejected again."""


class LeaseLost(Exception):
    """The lease no longer exists."""


class TooOld(Exception):
    """The watch cannot resume from the given revision; the replica must be reloaded."""


NOT_EXECUTED = (429, 503)  # PROTOCOL: a request answered with one of these was not executed

T = TypeVar("T")


def _status_error(request: str, status: int) -> Unavailable | OutcomeUnknown:
    """Returns the exception for a failed request whose status has no more specific meaning.

    Not every 5xx means "not executed": an intermediary answered 502 to commits that had been
    applied, and they were taken as never written (docs/incidents/answers-not-understood.md).
    """
    reason = f"{request}: {status}"
    return Unavailable(reason) if status in NOT_EXECUTED else OutcomeUnknown(reason)


def _decode_reply(decoder: Decoder[T], reply: bytes) -> T:
    """Decodes a response body. A malformed one counts as no response."""
    try:
        return decoder.decode(reply)
    except DECODE_ERRORS as error:
        raise OutcomeUnknown(f"malformed response: {error}") from error


class StateClient:
    """Sends requests to the state service, within this node's share of its rate limits."""

    def __init__(self, address: str, clock: Clock, limits: StateLimits, nodes: int) -> None:
        self._http = Client(address, clock)
        self._request_rate = TokenBucket(limits.rps / nodes, clock)
        self._page_rate = TokenBucket(limits.rps / nodes * c.PAGES_SHARE, clock)
        self._read_rate = TokenBucket(limits.rps / nodes * c.SINGLE_READS_SHARE, clock)
        self._write_rps = limits.write_rps * c.WRITE_SHARE
        announced = limits.next.write_rps if limits.next is not None else None
        self._announced_write_rps = (announced or limits.write_rps) * c.WRITE_SHARE
        self._refused_at: deque[float] = deque(maxlen=c.REFUSED_WRITES)
        self._nodes = nodes
        self._write_rate = TokenBucket(self._write_rps / nodes, clock)
        self._write_scheduler = WriteScheduler(self._write_rate, clock)
        self.requests = 0
        self.written = 0
        self.refusals = 0
        self._clock = clock
        self._failing_since: float | None = None
        # Send time of the newest request, watches excepted, answered with neither 429 nor 5xx.
        self.served_at = -1e9

    def failing_s(self) -> float:
        """How long all requests have failed (no response or 5xx); 0 if the last one did not."""
        since = self._failing_since
        return 0.0 if since is None else self._clock.now() - since

    def _record_outcome(self, served: bool) -> None:
        if served:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = self._clock.now()

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = c.STATE_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        while (pause := self._request_rate.take(1, urgent=True)) > 0:
            await asyncio.sleep(pause)
        self.requests += 1
        sent_at = self._clock.now()
        try:
            status, reply = await self._http.request(method, path, body, timeout)
        except NoResponse as error:
            self._record_outcome(served=False)
            if error.sent:
                raise OutcomeUnknown(str(error)) from error
            raise Unavailable(str(error)) from error
        self._record_outcome(served=status < 500)
        if status == 429:
            self.refusals += 1
            if path != "/commit":
                raise Unavailable(f"{method} {path}: 429")
        elif status >= 500:
            self.refusals += 1
            raise _status_error(f"{method} {path}", status)
        elif not path.startswith("/watch"):
            self.served_at = max(self.served_at, sent_at)
        return status, reply

    def adjust_write_rate(self, others: list[float | None]) -> None:
        """Lets this node use the part of the write rate that the other nodes leave unused.

        `others`: the writes per second that each other node reports, or None for a node that
        was not heard from and keeps its whole share. When the fleet grows or many tasks end at
        once, most writes are one node's, and a fixed third of the rate delayed them.
        """
        share = self._write_rps / self._nodes
        available = self._write_rps
        for used in others:
            available -= (
                share
                if used is None
                else max(c.IDLE_WRITE_SHARE * share, used * c.WRITE_GROWTH_FACTOR)
            )
        self._write_rate.set(max(share, available))

    async def read(self, key: str) -> bytes | None:
        """The encoded value of a key, or None if the key is absent.

        Raises Unavailable above a small share of the request rate, so that reads for users never
        delay other requests.
        """
        if self._read_rate.take(1, urgent=False) > 0:
            raise Unavailable(f"GET {key}: too many single reads")
        status, reply = await self._call("GET", f"/store/{key}")
        if status == 404:
            return None
        if status != 200:
            raise Unavailable(f"GET {key}: {status}")
        return bytes(_decode_reply(m.ENTRY, reply).value)

    async def revision(self) -> int:
        _, reply = await self._call("GET", f"/store/{REVISION_PROBE_KEY}")
        return _decode_reply(m.REVISION, reply).revision

    async def page(self, prefix: str, after: str | None) -> m.Page:
        path = f"/store?under={prefix}&limit={c.PAGE_LIMIT}"
        if after is not None:
            path += f"&after={after}"
        while (pause := self._page_rate.take(1, urgent=False)) > 0:
            await asyncio.sleep(pause)
        status, reply = await self._call("GET", path)
        if status != 200:
            raise Unavailable(f"GET {path}: {status}")
        return _decode_reply(m.PAGE, reply)

    async def watch(self, prefix: str, after: int) -> m.Changes:
        path = f"/watch?under={prefix}&after={after}&hold_ms={c.WATCH_HOLD_MS}"
        timeout = c.WATCH_HOLD_MS / 1000 + c.WATCH_SLACK_S
        status, reply = await self._call("GET", path, timeout=timeout)
        if status == 410:
            raise TooOld
        if status != 200:
            raise Unavailable(f"GET {path}: {status}")
        return _decode_reply(m.CHANGES, reply)

    def urgent_wait_s(self) -> float:
        """How long a `WritePriority.URGENT` write queued now would wait."""
        return self._write_scheduler.urgent_wait_s()

    @property
    def writes_per_s(self) -> float:
        return self._write_rate.per_s

    async def wait_for_write_slot(self, priority: WritePriority) -> None:
        """Returns when a commit may be made; the caller must make it before any other await."""
        await self._write_scheduler.wait(priority)

    async def commit(
        self, conditions: dict[str, int], changes: list[dict[str, Any]]
    ) -> tuple[bool, m.Revision]:
        """Commits a transaction, after `wait_for_write_slot`. Returns whether it was applied."""
        self._write_rate.spend(len(changes))
        self.written += len(changes)
        body = m.transaction(conditions, changes)
        status, reply = await self._call("POST", "/commit", body)
        if status == 429:
            self._record_refused_write()
            raise Unavailable("POST /commit: 429")
        if status in (200, 409):
            return status == 200, _decode_reply(m.REVISION, reply)
        if status == 400 and b"lease" in reply:
            raise LeaseLost
        if status == 400:
            sizes = {
                str(change.get("set", change.get("drop"))): len(change.get("data", b""))
                for change in changes
            }
            raise RequestRejected(f"POST /commit: 400 {reply[:200]!r}, bytes by key: {sizes}")
        raise _status_error("POST /commit", status)

    def _record_refused_write(self) -> None:
        """Switches to the announced lower write rate after several refused commits.

        The lower rate takes effect without notice; 429s close together are the only sign.
        """
        now = self._clock.now()
        self._refused_at.append(now)
        window_full = len(self._refused_at) == c.REFUSED_WRITES
        if (
            window_full
            and now - self._refused_at[0] < c.REFUSED_WRITES_S
            and self._announced_write_rps < self._write_rps
        ):
            log.info("commits refused with 429: switching to the announced lower write rate")
            self._write_rps = self._announced_write_rps
            self._write_rate.set(self._write_rps / self._nodes)

    async def grant(self, ttl_ms: int) -> int:
        status, reply = await self._call("POST", "/holds", {"ttl_ms": ttl_ms})
        if status != 200:
            raise _status_error("POST /holds", status)
        return _decode_reply(m.GRANTED, reply).lease

    async def renew(self, lease: int) -> None:
        status, _ = await self._call("POST", f"/holds/{lease}/renew", {})
        if status == 404:
            raise LeaseLost
        if status != 200:
            raise _status_error("lease renewal", status)
