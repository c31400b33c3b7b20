"""A virtual clock and an in-memory network for asyncio streams.

The loop never sleeps: when nothing is ready, its time jumps to the next timer. Connections
opened on it run through `Network`, which can delay, hold back, reset and drop traffic.
"""

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any

HOST: contextvars.ContextVar["Host"] = contextvars.ContextVar("host")  # that runs the code
LINK: contextvars.ContextVar["Pipe"] = contextvars.ContextVar("link")  # that carries the request
CALLER: contextvars.ContextVar["Host"] = contextvars.ContextVar("caller")  # its sender


class Host:
    """A simulated machine; killing it ends every task and connection on it."""

    def __init__(self, ip: str, zone: str) -> None:
        self.ip = ip
        self.zone = zone
        self.alive = True
        # Dicts keep insertion order, so that tasks end in the same order in every run.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.pipes: dict[Pipe, None] = {}
        self.frozen = False
        self.due: list[asyncio.Handle] = []  # callbacks deferred while the host is frozen


class _VirtualSelector:
    """Replaces the selector: waiting advances the virtual clock."""

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no callback or timer is pending")
        self._loop.clock += timeout
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop with a virtual clock, whose connections run through a `Network`."""

    def __init__(self, network: "Network") -> None:
        super().__init__()
        self.clock = 0.0
        self._selector = _VirtualSelector(self)
        self._network = network
        network.loop = self
        self.set_task_factory(_task_on_host)

    def time(self) -> float:
        return self.clock

    # Callbacks of a frozen host are deferred, in order, until it thaws; its clock keeps running.
    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:
        context = context if context is not None else contextvars.copy_context()
        host = context.get(HOST)
        if host is None or not host.frozen:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        host.due.append(handle)
        return handle

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:
        context = context if context is not None else contextvars.copy_context()
        host = context.get(HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)

        def run_or_defer() -> None:
            if host.frozen:
                host.due.append(asyncio.Handle(run_deferred, (), self, context))
            else:
                callback(*args)

        def run_deferred() -> None:
            if not timer.cancelled():
                callback(*args)

        timer = super().call_at(when, run_or_defer, context=context)
        return timer

    def thaw(self, host: Host) -> None:
        host.frozen = False
        due, host.due = host.due, []
        self._ready.extend(handle for handle in due if not handle.cancelled())

    def _process_events(self, event_list: list[Any]) -> None:
        """Does nothing: there are no file descriptors."""

    def _write_to_self(self) -> None:
        """Does nothing: there are no other threads to wake the loop."""

    async def create_server(
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        listener = Listener(self._network, factory, (host, port), contextvars.copy_context())
        self._network.listeners[(host, port)] = listener
        return listener

    async def create_connection(
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        return await self._network.connect(factory, (host, port))


def _task_on_host(loop: Any, coro: Any, context: Any = None) -> "asyncio.Task[Any]":
    task = asyncio.Task(coro, loop=loop, context=context)
    host = HOST.get(None)
    if host is not None:
        host.tasks[task] = None
        task.add_done_callback(lambda finished_task: host.tasks.pop(finished_task, None))
    return task


class Listener:
    def __init__(
        self,
        network: "Network",
        factory: Any,
        address: tuple[str, int],
        context: contextvars.Context,
    ) -> None:
        self.network = network
        self.factory = factory
        self.address = address
        self.context = context
        self.host = context[HOST]

    def close(self) -> None:
        self.network.listeners.pop(self.address, None)


class Network:
    """Connects hosts, and applies partitions, one-way cuts, mutes and random delays."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop: VirtualLoop
        self.listeners: dict[tuple[str, int], Listener] = {}
        self._held: list[tuple[Pipe, Callable[[], None]]] = []
        self._cuts: list[Callable[[Host, Host], bool]] = []
        self._one_way_cuts: list[tuple[Callable[[Host, Host], bool], bool]] = []
        self._mutes: list[Callable[[Host, Host], bool]] = []

    def blocked(self, a: Host, b: Host) -> bool:
        return a is not b and any(cut(a, b) or cut(b, a) for cut in self._cuts)

    def cut(self, between: Callable[[Host, Host], bool]) -> None:
        """Holds back traffic in both directions between hosts for which `between` is true."""
        self._cuts.append(between)

    def one_way(self, between: Callable[[Host, Host], bool], keep: bool) -> Callable[[], None]:
        """Drops traffic in one direction, or holds it (`keep`) until the result is called."""
        one_way_cut = (between, keep)
        self._one_way_cuts.append(one_way_cut)

        def end() -> None:
            if one_way_cut in self._one_way_cuts:
                self._one_way_cuts.remove(one_way_cut)
                self._release_held()

        return end

    def mute(self, hosts: list[Host], towards: Callable[[Host], bool]) -> None:
        """Stops the hosts from opening connections to some targets, and resets their existing ones.

        Connections that the targets open to these hosts still work.
        """
        self._mutes.append(lambda f, t: f in hosts and towards(t))
        for host in hosts:
            for pipe in [p for p in host.pipes if p.dialled and towards(p.peer.host)]:
                pipe.die()
                pipe.call(pipe.protocol.connection_lost, ConnectionResetError())

    def way_closed(self, a: Host, b: Host) -> bool | None:
        """Whether traffic from `a` to `b` is held (True) or dropped (False); None: delivered."""
        return next((keep for between, keep in self._one_way_cuts if between(a, b)), None)

    def heal(self) -> None:
        """Ends all cuts and mutes; delivers held traffic in order, also of closed connections."""
        self._cuts.clear()
        self._one_way_cuts.clear()
        self._mutes.clear()
        self._release_held()

    def _release_held(self) -> None:
        held, self._held = self._held, []
        for pipe, deliver in held:
            pipe.later(deliver)

    def hold(self, pipe: "Pipe", deliver: Callable[[], None]) -> None:
        self._held.append((pipe, deliver))

    def kill(self, host: Host) -> None:
        self.loop.thaw(host)
        host.alive = False
        for listener in [x for x in self.listeners.values() if x.host is host]:
            listener.close()
        for pipe in list(host.pipes):
            pipe.die()
        for task in list(host.tasks):
            task.cancel()

    async def connect(self, factory: Any, address: tuple[str, int]) -> Any:
        caller = HOST.get()
        await asyncio.sleep(self.rng.uniform(0.0002, 0.001))
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(address)
        is_blocked = (
            self.blocked(caller, listener.host)
            or self.way_closed(caller, listener.host) is not None
        )
        is_blocked = is_blocked or any(is_muted(caller, listener.host) for is_muted in self._mutes)
        if is_blocked or not listener.host.alive:
            await asyncio.get_running_loop().create_future()  # hangs, as a dropped SYN does
        mine = Pipe(self, caller, factory(), contextvars.copy_context())
        context = listener.context.copy()
        context.run(CALLER.set, caller)
        theirs = Pipe(self, listener.host, listener.factory(), context)
        context.run(LINK.set, theirs)
        mine.peer, theirs.peer = theirs, mine
        mine.dialled = True
        theirs.call(theirs.protocol.connection_made, theirs)
        mine.protocol.connection_made(mine)
        return mine, mine.protocol


class Pipe(asyncio.Transport):
    """One end of a simulated connection."""

    peer: "Pipe"

    def __init__(self, network: Network, host: Host, protocol: Any, context: Any) -> None:
        super().__init__()
        self.network = network
        self.host = host
        self.protocol = protocol
        self.context = context
        self.closing = False
        self.dialled = False  # this end opened the connection
        self.sent_at = 0.0  # when the data received last was sent
        self.next_at = 0.0
        host.pipes[self] = None

    def call(self, function: Callable[..., Any], *args: Any) -> None:
        if self.host.alive:
            self.network.loop.call_soon(function, *args, context=self.context)

    def later(self, deliver: Callable[[], None]) -> None:
        loop = self.network.loop
        at = max(self.next_at, loop.time() + self.network.rng.uniform(0.0002, 0.002))
        self.next_at = at
        loop.call_at(at, self._deliver_or_hold, deliver)

    def _deliver_or_hold(self, deliver: Callable[[], None]) -> None:
        keep = self.network.way_closed(self.host, self.peer.host)
        if self.network.blocked(self.host, self.peer.host) or keep:
            self.network.hold(self, deliver)
        elif keep is None:
            deliver()

    def write(self, data: Any) -> None:
        if not self.closing and self.host.alive:
            sent_at = self.network.loop.time()
            self.later(lambda: self.peer.receive(bytes(data), sent_at))

    def receive(self, data: bytes, sent_at: float) -> None:
        if not self.closing:
            self.call(self._receive_data, data, sent_at)

    def _receive_data(self, data: bytes, sent_at: float) -> None:
        if not self.closing:
            self.sent_at = sent_at
            self.protocol.data_received(data)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.host.pipes.pop(self, None)
            if self.host.alive:
                self.later(lambda: self.peer.ended(None))
                self.call(self.protocol.connection_lost, None)

    abort = close

    def die(self) -> None:
        """Closes this end as the kernel of a killed process does: the peer gets a reset."""
        if not self.closing:
            self.closing = True
            self.host.pipes.pop(self, None)
            self.later(lambda: self.peer.ended(ConnectionResetError()))

    def ended(self, error: Exception | None) -> None:
        if not self.closing:
            self.closing = True
            self.host.pipes.pop(self, None)
            self.call(self.protocol.connection_lost, error)

    def is_closing(self) -> bool:
        return self.closing

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        """Does nothing: messages are small, so there is no flow control."""

    def resume_reading(self) -> None:
        """Does nothing, as `pause_reading`."""


def on_host(host: Host, coro: Any) -> "asyncio.Task[Any]":
    """Starts a coroutine as a task that runs on `host`."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    return context.run(asyncio.ensure_future, coro)
