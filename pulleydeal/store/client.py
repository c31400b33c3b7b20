"""The state service, spoken to by its protocol. Knows no keys; retries nothing by itself."""

import asyncio
import logging
from collections import deque
from typing import Any, TypeVar

from msgspec.json import Decoder

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.http import MALFORMED, Client, NoAnswer
from pulleydeal.settings import StateLimits
from pulleydeal.store import messages as m
from pulleydeal.store.rate import Rate, Turn, WriteScheduler
from pulleydeal.store.records import NOTHING

log = logging.getLogger("pulleydeal.store")


class Unavailable(Exception):
    """429 or 503: the request was not executed. Of a read, any other trouble too."""


class Unknown(Exception):
    """No answer, or none that is understood: the request may have been executed, or may yet be."""


class Refused(Exception):
    """400: the request was not executed, and never will be as it stands."""


class LeaseLost(Exception):
    """The lease is over."""


class TooOld(Exception):
    """The watch can't continue from there; everything must be read again."""


NOT_EXECUTED = (429, 503)  # PROTOCOL: a request that is answered so was not executed

T = TypeVar("T")


def _refusal(request: str, status: int) -> Unavailable | Unknown:
    """Why a request that changes something failed, by a status that names no other reason.

    Any 5xx counted as "not executed": what an intermediary answers 502 to was written all the same,
    and was taken for never written (docs/incidents/answers-not-understood.md).
    """
    reason = f"{request}: {status}"
    return Unavailable(reason) if status in NOT_EXECUTED else Unknown(reason)


def _understood(decoder: Decoder[T], reply: bytes) -> T:
    """An answer that makes no sense tells nothing: it counts as none."""
    try:
        return decoder.decode(reply)
    except MALFORMED as error:
        raise Unknown(f"an answer that makes no sense: {error}") from error


class StateClient:
    def __init__(self, address: str, clock: Clock, limits: StateLimits, nodes: int) -> None:
        self._http = Client(address, clock)
        self._requests = Rate(limits.rps / nodes, clock)
        self._write_rps = limits.write_rps * c.WRITE_SHARE
        announced = limits.next.write_rps if limits.next is not None else None
        self._next_write_rps = (announced or limits.write_rps) * c.WRITE_SHARE
        self._refused_at: deque[float] = deque(maxlen=c.REFUSED_WRITES)
        self._nodes = nodes
        self._writes = Rate(self._write_rps / nodes, clock)
        self._write_scheduler = WriteScheduler(self._writes, clock)
        self.requests = 0
        self.written = 0
        self.refusals = 0
        self._clock = clock
        self._failing_since: float | None = None
        self.served_at = -1e9  # when the last request was sent, watches aside, that was executed

    def failing_s(self) -> float:
        """For how long nothing has been answered but refusals, or nothing at all."""
        since = self._failing_since
        return 0.0 if since is None else self._clock.now() - since

    def _note(self, served: bool) -> None:
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
        while (pause := self._requests.take(1, urgent=True)) > 0:
            await asyncio.sleep(pause)
        self.requests += 1
        sent_at = self._clock.now()
        try:
            status, reply = await self._http.request(method, path, body, timeout)
        except NoAnswer as error:
            self._note(served=False)
            if error.sent:
                raise Unknown(str(error)) from error
            raise Unavailable(str(error)) from error
        self._note(served=status < 500)
        if status == 429:
            self.refusals += 1
            if path != "/commit":
                raise Unavailable(f"{method} {path}: 429")
        elif status >= 500:
            self.refusals += 1
            raise _refusal(f"{method} {path}", status)
        elif not path.startswith("/watch"):
            self.served_at = max(self.served_at, sent_at)
        return status, reply

    def share_writes(self, others: list[float | None]) -> None:
        """Takes up what the other nodes leave of the write rate.

        `others`: what each one says it writes a second; None: it was not heard, so its whole
        share is its own. A fleet that grows or a crowd of ends is mostly one node's work, and a
        fixed third of the rate was what it waited for.
        """
        mine = self._write_rps / self._nodes
        left = self._write_rps
        for used in others:
            left -= mine if used is None else max(c.LEND_KEEP * mine, used * c.LEND_GROWTH)
        self._writes.set(max(mine, left))

    async def revision(self) -> int:
        _, reply = await self._call("GET", f"/store/{NOTHING}")
        return _understood(m.REVISION, reply).revision

    async def page(self, prefix: str, after: str | None) -> m.Page:
        path = f"/store?under={prefix}&limit={c.PAGE_LIMIT}"
        if after is not None:
            path += f"&after={after}"
        status, reply = await self._call("GET", path)
        if status != 200:
            raise Unavailable(f"GET {path}: {status}")
        return _understood(m.PAGE, reply)

    async def watch(self, prefix: str, after: int) -> m.Changes:
        path = f"/watch?under={prefix}&after={after}&hold_ms={c.WATCH_HOLD_MS}"
        timeout = c.WATCH_HOLD_MS / 1000 + c.WATCH_SLACK_S
        status, reply = await self._call("GET", path, timeout=timeout)
        if status == 410:
            raise TooOld
        if status != 200:
            raise Unavailable(f"GET {path}: {status}")
        return _understood(m.CHANGES, reply)

    def first_wait_s(self) -> float:
        """How long a write that goes first would wait now."""
        return self._write_scheduler.first_wait_s()

    @property
    def writes_per_s(self) -> float:
        return self._writes.per_s

    async def may_write(self, turn: Turn) -> None:
        """Returns when a commit may be made; the caller makes it before it awaits anything else."""
        await self._write_scheduler.wait(turn)

    async def commit(
        self, conditions: dict[str, int], changes: list[dict[str, Any]]
    ) -> tuple[bool, m.Revision]:
        """One transaction, by whose turn it is (`may_write`)."""
        self._writes.spend(len(changes))
        self.written += len(changes)
        body = m.transaction(conditions, changes)
        status, reply = await self._call("POST", "/commit", body)
        if status == 429:
            self._note_refused_write()
            raise Unavailable("POST /commit: 429")
        if status in (200, 409):
            return status == 200, _understood(m.REVISION, reply)
        if status == 400 and b"lease" in reply:
            raise LeaseLost
        if status == 400:
            sizes = {str(x.get("set", x.get("drop"))): len(x.get("data", b"")) for x in changes}
            raise Refused(f"POST /commit: 400 {reply[:200]!r}, bytes by key: {sizes}")
        raise _refusal("POST /commit", status)

    def _note_refused_write(self) -> None:
        """The announced lower rate comes without notice; refusals close together are the sign."""
        now = self._clock.now()
        self._refused_at.append(now)
        several = len(self._refused_at) == c.REFUSED_WRITES
        if (
            several
            and now - self._refused_at[0] < c.REFUSED_WRITES_S
            and self._next_write_rps < self._write_rps
        ):
            log.info("writes are refused: settles at the announced lower rate")
            self._write_rps = self._next_write_rps
            self._writes.set(self._write_rps / self._nodes)

    async def grant(self, ttl_ms: int) -> int:
        status, reply = await self._call("POST", "/holds", {"ttl_ms": ttl_ms})
        if status != 200:
            raise _refusal("POST /holds", status)
        return _understood(m.GRANTED, reply).lease

    async def renew(self, lease: int) -> None:
        status, _ = await self._call("POST", f"/holds/{lease}/renew", {})
        if status == 404:
            raise LeaseLost
        if status != 200:
            raise _refusal("renewal", status)
