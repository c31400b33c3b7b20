"""Messages between controllers: a connection to each sibling and a server for theirs.

Delivery is not guaranteed: a message to a sibling without an open connection is dropped.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.frames import HEADER, BadFrame, Packer, Unpacker
from pulleydeal.membership.messages import HELLO
from pulleydeal.settings import Settings, split_address

log = logging.getLogger("pulleydeal.membership")
Handler = Callable[[str, bytes], None]


class Link:
    """The outgoing connection to one sibling."""

    def __init__(self, me: str, name: str, address: str) -> None:
        self._hello = Packer().text(me).bytes()
        self.name = name
        self._address = address
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Opens the connection and returns when it has ended; run in a loop."""
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(c.DIAL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            await asyncio.sleep(c.LOOP_PAUSE_S)
            return
        self._writer = writer
        self.send(HELLO, self._hello)
        try:
            while await reader.read(64):  # the peer never writes here; wait for it to close
                pass
        except OSError:
            pass
        finally:
            self.drop()

    def drop(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.transport.abort()
            self._writer = None

    def send(self, message_type: int, payload: bytes) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > c.MAX_FRAME_B:
            log.info("connection to %s closed: its send buffer exceeds the frame limit", self.name)
            self.drop()
            return
        writer.write(HEADER.pack(len(payload), message_type) + payload)


class Siblings:
    """Sends messages to the siblings, and passes those from them to the handlers."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._me = settings.node_name
        self._listen_address = settings.peer_addr
        self._links = {
            s.node_name: Link(self._me, s.node_name, s.endpoint) for s in settings.siblings
        }
        self._handlers: dict[int, Handler] = {}
        self._heard_at: dict[str, float] = {s: clock.now() for s in self._links}
        self._steady_since: dict[str, float] = {s: clock.now() for s in self._links}
        self._server: asyncio.Server | None = None
        self.rejected_connections = 0  # incoming connections closed because of an invalid message
        self._rejection_logged_at = -1e9

    def on(self, message_type: int, handler: Handler) -> None:
        self._handlers[message_type] = handler

    async def start(self) -> None:
        host, port = split_address(self._listen_address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def links(self) -> list[Link]:
        return list(self._links.values())

    def send(self, to: str, message_type: int, payload: bytes) -> None:
        """Sends to a sibling, or hands the message to this node's own handler at once."""
        if to == self._me:
            self._handlers[message_type](self._me, payload)
        elif to in self._links:
            self._links[to].send(message_type, payload)

    def broadcast(self, message_type: int, payload: bytes) -> None:
        for link in self._links.values():
            link.send(message_type, payload)

    def silence_s(self) -> dict[str, float]:
        """Seconds since each sibling was last heard."""
        now = self._clock.now()
        return {name: now - at for name, at in self._heard_at.items()}

    def steady_s(self) -> dict[str, float]:
        """Seconds since the end of each sibling's last silence over CUT_AFTER_S, or since start."""
        now = self._clock.now()
        return {name: now - at for name, at in self._steady_since.items()}

    def _mark_heard(self, name: str) -> None:
        now = self._clock.now()
        if now - self._heard_at.get(name, -1e9) > c.CUT_AFTER_S:
            self._steady_since[name] = now
        self._heard_at[name] = now

    def _reject(self, name: str, reason: str) -> None:
        """Counts an invalid message; logs at most one a minute, as anybody may connect here."""
        self.rejected_connections += 1
        now = self._clock.now()
        if now - self._rejection_logged_at >= c.REJECTION_LOG_INTERVAL_S:
            self._rejection_logged_at = now
            who = name if name in self._links else "an unknown peer"
            log.error(
                "invalid message from %s: %s (%d so far)", who, reason, self.rejected_connections
            )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            while True:
                size, message_type = HEADER.unpack(await reader.readexactly(HEADER.size))
                if size > c.MAX_FRAME_B:
                    raise BadFrame(f"frame of {size} B exceeds the limit")
                payload = await reader.readexactly(size)
                if message_type == HELLO:
                    name = Unpacker(payload).text()
                if name not in self._links:
                    raise BadFrame(f"unknown sibling {name!r}")
                self._mark_heard(name)
                handler = self._handlers.get(message_type)
                if handler is not None:
                    handler(name, payload)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        except BadFrame as error:
            self._reject(name, str(error))
        except Exception:  # log it here rather than lose it with the connection's task
            log.exception("handling a message from %s failed", name)
        finally:
            with contextlib.suppress(OSError):
                writer.transport.abort()
