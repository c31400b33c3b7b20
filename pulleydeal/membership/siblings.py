"""One outgoing connection to each sibling and a server for theirs; messages may be lost."""

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
    def __init__(self, me: str, name: str, address: str) -> None:
        self._hello = Packer().text(me).bytes()
        self.name = name
        self._address = address
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Keeps a connection open; called again whenever it ends."""
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
            while await reader.read(64):  # the other side never writes here; wait for its end
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

    def send(self, kind: int, payload: bytes) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > c.MAX_FRAME_B:
            log.info("link to %s is stuck: dropped", self.name)
            self.drop()
            return
        writer.write(HEADER.pack(len(payload), kind) + payload)


class Siblings:
    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._me = settings.node_name
        self._back = settings.back
        self._links = {
            s.node_name: Link(self._me, s.node_name, s.endpoint) for s in settings.siblings
        }
        self._handlers: dict[int, Handler] = {}
        self._heard: dict[str, float] = {s: clock.now() for s in self._links}
        self._steady: dict[str, float] = {s: clock.now() for s in self._links}
        self._server: asyncio.Server | None = None
        self.strangers = 0  # connections to `back` ended for what came over them
        self._told_at = -1e9

    def on(self, kind: int, handler: Handler) -> None:
        self._handlers[kind] = handler

    async def start(self) -> None:
        host, port = split_address(self._back)
        self._server = await asyncio.start_server(self._accept, host, port)

    def links(self) -> list[Link]:
        return list(self._links.values())

    def send(self, to: str, kind: int, payload: bytes) -> None:
        """To a sibling, or at once to this node itself."""
        if to == self._me:
            self._handlers[kind](self._me, payload)
        elif to in self._links:
            self._links[to].send(kind, payload)

    def broadcast(self, kind: int, payload: bytes) -> None:
        for link in self._links.values():
            link.send(kind, payload)

    def heard_s(self) -> dict[str, float]:
        now = self._clock.now()
        return {name: now - at for name, at in self._heard.items()}

    def steady_s(self) -> dict[str, float]:
        now = self._clock.now()
        return {name: now - at for name, at in self._steady.items()}

    def _note(self, name: str) -> None:
        now = self._clock.now()
        if now - self._heard.get(name, -1e9) > c.CUT_AFTER_S:
            self._steady[name] = now
        self._heard[name] = now

    def _refuse(self, name: str, why: str) -> None:
        """Counted, and told at most once a minute: anybody may connect here."""
        self.strangers += 1
        now = self._clock.now()
        if now - self._told_at >= c.STRANGERS_TOLD_S:
            self._told_at = now
            who = name if name in self._links else "a stranger"
            log.error("bad message from %s: %s (%d so far)", who, why, self.strangers)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            while True:
                size, kind = HEADER.unpack(await reader.readexactly(HEADER.size))
                if size > c.MAX_FRAME_B:
                    raise BadFrame(f"{size} B")
                payload = await reader.readexactly(size)
                if kind == HELLO:
                    name = Unpacker(payload).text()
                if name not in self._links:
                    raise BadFrame(f"unknown sibling {name!r}")
                self._note(name)
                handler = self._handlers.get(kind)
                if handler is not None:
                    handler(name, payload)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        except BadFrame as error:
            self._refuse(name, str(error))
        except Exception:  # a message must not end in an unheard task
            log.exception("a message from %s failed", name)
        finally:
            with contextlib.suppress(OSError):
                writer.transport.abort()
