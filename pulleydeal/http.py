"""HTTP/1.1 over asyncio streams with h11: a small server and a pooled client."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import msgspec

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.settings import split_address

log = logging.getLogger("pulleydeal.http")

# Raised when a request or response body can't be decoded; deep nesting raises RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class NoResponse(Exception):
    """No complete response arrived. `sent` tells whether the request may have been executed."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class RequestWithdrawn(NoResponse):
    """The caller no longer wanted the request once a connection for it was available."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, sent=False)


def _always() -> bool:
    return True


@dataclass(slots=True)
class Request:
    method: str
    path: str
    body: bytes


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json"
    on_send: Callable[[], None] | None = None  # called right before the response is sent


def json_response(status: int, body: object = None, retry_after: int | None = None) -> Response:
    headers = [] if retry_after is None else [("Retry-After", str(retry_after))]
    return Response(status, msgspec.json.encode(body) if body is not None else b"{}", headers)


Handler = Callable[[Request], Awaitable[Response]]


class Server:
    """Serves one address with at most `limit` connections; further ones are answered 503.

    Requests to paths below `throttled_prefix` are limited to a share of the connections and to a
    number of concurrent requests, so that a flood of them does not lock out the other requests.
    """

    def __init__(
        self,
        handler: Handler,
        limit: int,
        throttled_prefix: str = "",
        max_throttled: Callable[[], int] = lambda: c.USER_REQUESTS_AT_ONCE,
    ) -> None:
        """`max_throttled`: the current limit of concurrent requests below `throttled_prefix`."""
        self._handler = handler
        self._max_throttled = max_throttled
        self._limit = limit
        self._throttled_prefix = throttled_prefix
        self._throttled_limit = int(limit * c.USER_CONNECTION_SHARE)
        self._open = 0
        self._throttled_open = 0
        self._throttled_active = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._connection, host, port, backlog=512)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open += 1
        throttled = False
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=c.MAX_HEADER_B)
        try:
            if self._open > self._limit:
                await _send(
                    conn, writer, json_response(503, retry_after=c.RETRY_AFTER_S), close=True
                )
                return
            while (request := await self._next_request(conn, reader, writer)) is not None:
                if not throttled and self._is_throttled(request):
                    throttled = True
                    self._throttled_open += 1
                    if self._throttled_open > self._throttled_limit:
                        reply = json_response(503, {"error": "too many"}, c.RETRY_AFTER_S)
                        await _send(conn, writer, reply, close=True)
                        return
                await _send(conn, writer, await self._respond(request), close=False)
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except (OSError, TimeoutError, h11.LocalProtocolError, asyncio.CancelledError):
            pass  # also cancellation at shutdown, for which asyncio would print tracebacks
        finally:
            self._open -= 1
            self._throttled_open -= throttled
            with contextlib.suppress(OSError):
                writer.close()

    def _is_throttled(self, request: Request) -> bool:
        return bool(self._throttled_prefix) and request.path.startswith(self._throttled_prefix)

    async def _next_request(
        self, conn: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Request | None:
        """Reads the next request. Returns None if the connection is to be closed."""
        try:
            request = await _read_request(conn, reader)
        except h11.RemoteProtocolError as error:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                reply = json_response(error.error_status_hint, {"error": str(error)})
                await _send(conn, writer, reply, close=True)
            return None
        except BodyTooLarge:
            await _send(conn, writer, json_response(413, {"error": "body over 64 KiB"}), close=True)
            return None
        return request

    async def _respond(self, request: Request) -> Response:
        throttled = self._is_throttled(request)
        if throttled and self._throttled_active >= self._max_throttled():
            return json_response(503, {"error": "too many at once"}, c.RETRY_AFTER_S)
        self._throttled_active += throttled
        try:
            return await self._handler(request)
        except Exception:  # a failed request must not end the connection or the node
            log.exception("request %s %s failed", request.method, request.path)
            return json_response(503, {"error": "internal"}, c.RETRY_AFTER_S)
        finally:
            self._throttled_active -= throttled


class BodyTooLarge(Exception):
    """A request body exceeds the limit, by its size or by its Content-Length."""


def _content_length(head: h11.Request) -> int:
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


async def _read_request(conn: h11.Connection, reader: asyncio.StreamReader) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    timeout = c.IDLE_CONNECTION_S
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(timeout):
                conn.receive_data(await reader.read(c.READ_CHUNK_B))
            timeout = c.REQUEST_READ_S
        elif isinstance(event, h11.Request):
            head = event
            if _content_length(head) > c.MAX_BODY_B:
                raise BodyTooLarge  # rejected before the body is read
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > c.MAX_BODY_B:
                raise BodyTooLarge
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(head.method.decode(), head.target.decode("latin-1"), bytes(body))
        else:
            return None


async def _send(
    conn: h11.Connection, writer: asyncio.StreamWriter, response: Response, close: bool
) -> None:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    if close:
        headers.append(("Connection", "close"))
    data = conn.send(h11.Response(status_code=response.status, headers=headers)) or b""
    data += conn.send(h11.Data(data=response.body)) or b""
    data += conn.send(h11.EndOfMessage()) or b""
    if response.on_send is not None:
        response.on_send()
    writer.write(data)
    await writer.drain()


@dataclass(slots=True)
class _PooledConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    conn: h11.Connection
    last_used: float


class Client:
    """An HTTP client for one address with pooled connections, each with one request in flight."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._idle: list[_PooledConnection] = []
        self._closed = False

    def close(self) -> None:
        """Closes idle connections; one with a request in flight is closed after the response."""
        self._closed = True
        for pooled in self._idle:
            pooled.writer.close()
        self._idle.clear()

    def drop_stale(self) -> None:
        now = self._clock.now()
        fresh = [p for p in self._idle if now - p.last_used < c.CLIENT_IDLE_S]
        for pooled in self._idle:
            if now - pooled.last_used >= c.CLIENT_IDLE_S:
                pooled.writer.close()
        self._idle = fresh

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = 5.0,
        still_wanted: Callable[[], bool] = _always,
    ) -> tuple[int, bytes]:
        payload = b"" if body is None else msgspec.json.encode(body)
        return await self.send(method, path, payload, timeout, still_wanted)

    async def send(
        self,
        method: str,
        path: str,
        payload: bytes,
        timeout: float,
        still_wanted: Callable[[], bool] = _always,
    ) -> tuple[int, bytes]:
        """Sends a request with an encoded body. Raises NoResponse.

        `still_wanted` is called once a connection is available, right before the first byte is
        written; if it returns False, nothing is sent and RequestWithdrawn is raised.
        """
        sent = False
        pooled: _PooledConnection | None = None
        try:
            async with asyncio.timeout(timeout):
                self.drop_stale()
                pooled = self._idle.pop() if self._idle else await self._connect()
                if not still_wanted():
                    self._put_back(pooled)
                    raise RequestWithdrawn(f"{method} {path}: withdrawn before it was sent")
                sent = True
                status, reply = await self._exchange(pooled, method, path, payload)
        except (OSError, TimeoutError, h11.ProtocolError, EOFError) as error:
            if pooled is not None:
                pooled.writer.close()
            reason = type(error).__name__
            raise NoResponse(f"{method} {path}: {reason}", sent) from error
        except asyncio.CancelledError:
            if pooled is not None:
                pooled.writer.close()
            raise
        self._release(pooled)
        return status, reply

    async def _connect(self) -> _PooledConnection:
        host, port = split_address(self.address)
        reader, writer = await asyncio.open_connection(host, port)
        return _PooledConnection(reader, writer, h11.Connection(h11.CLIENT), self._clock.now())

    def _release(self, pooled: _PooledConnection) -> None:
        conn = pooled.conn
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
            pooled.last_used = self._clock.now()
            self._put_back(pooled)
        else:
            pooled.writer.close()

    def _put_back(self, pooled: _PooledConnection) -> None:
        if self._closed:
            pooled.writer.close()
        else:
            self._idle.append(pooled)

    async def _exchange(
        self, pooled: _PooledConnection, method: str, path: str, payload: bytes
    ) -> tuple[int, bytes]:
        conn = pooled.conn
        headers = [("Host", self.address), ("Content-Length", str(len(payload)))]
        if payload:
            headers.append(("Content-Type", "application/json"))
        data = conn.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if payload:
            data += conn.send(h11.Data(data=payload)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        pooled.writer.write(data)
        await pooled.writer.drain()
        status = 0
        reply = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await pooled.reader.read(c.READ_CHUNK_B))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                reply += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, bytes(reply)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed before the response was complete")
