"""Sends commands straight to machines, and says what may still come of an unanswered one."""

import asyncio
from typing import Protocol

from pulleydeal import constants as c
from pulleydeal.background import Background
from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoAnswer, Withdrawn
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Lapse, Order
from pulleydeal.workers.incarnation import Known, known
from pulleydeal.workers.outcomes import OrderResult, Outcome, read_answer
from pulleydeal.workers.station import Station, forget_kills


class _Lapsed(Exception):
    """The order was not sent, nor will be."""

    def __init__(self, why: Lapse) -> None:
        super().__init__(why.value)
        self.why = why


class OrderOwner(Protocol):
    """The part of the node that decides about machines."""

    def token(self, station: Station) -> int:
        """With which the machine is commanded at this moment."""

    def lapse(self, order: Order) -> Lapse | None:
        """Why the order may not be sent any more; None: it may."""

    def is_sent(self, order: Order, waited_s: float) -> None:
        """Called as its first byte is about to be written."""

    def withdrawn(self, order: Order, why: Lapse, waited_s: float) -> None:
        """It was never sent, nor will be."""

    def finished(self, order: Order, result: OrderResult) -> None:
        """It was sent; called before anything is concluded from the result."""

    def reported(self, station: Station, report: m.Report, before: Known | None) -> None:
        """A report came back; `before`: what was known as it was asked for."""

    def reachability_changed(self, machine: str) -> None:
        """The machine begins or ceases to answer."""


class Orders:
    """At most one order to a machine at a time, and a bounded number to all."""

    def __init__(self, clock: Clock, owner: OrderOwner) -> None:
        self._clock = clock
        self._owner = owner
        self._clients: dict[str, Client] = {}
        self._orders = asyncio.Semaphore(c.ORDERS_IN_FLIGHT)
        self._probes = asyncio.Semaphore(c.PROBES_IN_FLIGHT)
        self._background = Background("a worker exchange failed")

    def drop(self, addr: str) -> None:
        """The machine at that address is no concern of ours any more."""
        client = self._clients.pop(addr, None)
        if client is not None:
            client.close()

    def drop_stale(self) -> None:
        for client in self._clients.values():
            client.drop_stale()

    def _client(self, addr: str) -> Client:
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = Client(addr, self._clock)
        return client

    def give(self, order: Order) -> None:
        order.station.busy = True
        self._background.spawn(self._carry_out(order))

    async def _carry_out(self, order: Order) -> None:
        try:
            result, before = await self._in_its_turn(order)
        except _Lapsed as lapsed:
            self._withdraw(order, lapsed.why)
            return
        finally:
            # Before the answer is taken in, which may give the machine its next order.
            order.station.busy = False
        self._owner.finished(order, result)
        self._conclude(order, result)
        if result.report is not None:
            self._owner.reported(order.station, result.report, before)

    async def _in_its_turn(self, order: Order) -> tuple[OrderResult, Known | None]:
        """What came of the order, and what was known before it. Raises _Lapsed."""
        # Machines that don't answer are mostly probed: they must not hold up others' orders.
        slots = self._orders if order.calls else self._probes
        try:
            # A probe starts nothing; it is only asked whether it is still of use.
            async with asyncio.timeout(c.ORDER_QUEUE_MOST_S if order.calls else None):
                await slots.acquire()
        except TimeoutError:
            raise _Lapsed(Lapse.QUEUE) from None
        try:
            # Before a client for it is made: the address may be nobody's concern any more.
            why = self._owner.lapse(order)
            if why is not None:
                raise _Lapsed(why)
            return await self._exchange(order)
        finally:
            slots.release()

    def _waited_s(self, order: Order) -> float:
        return self._clock.now() - order.planned_at

    async def _exchange(self, order: Order) -> tuple[OrderResult, Known | None]:
        station = order.station
        patience_s = c.ORDERS_TIMEOUT_S if order.calls else c.PROBE_TIMEOUT_S
        body = m.orders(order.right.token, order.right.session, order.calls)
        # What is known now: a machine that answers with less than that has begun anew.
        before = known(station)
        lapsed: list[Lapse] = []

        def still_wanted() -> bool:
            # The order waited, for its turn and for a connection. Whoever owns the machine by now
            # may have asked it and concluded that the task never came up.
            why = self._owner.lapse(order)
            if why is not None:
                lapsed.append(why)
                return False
            self._owner.is_sent(order, self._waited_s(order))
            return True

        client = self._client(station.addr)
        try:
            status, reply = await client.request("POST", "/orders", body, patience_s, still_wanted)
        except Withdrawn:
            raise _Lapsed(lapsed[0]) from None
        except NoAnswer as error:
            outcome = Outcome.UNANSWERED if error.sent else Outcome.NOT_SENT
            return OrderResult(outcome, reason=str(error)), before
        return read_answer(order, status, reply), before

    def _withdraw(self, order: Order, why: Lapse) -> None:
        for start in order.runs:
            order.station.sent.pop(start, None)
        forget_kills(order.station, order.calls)
        self._owner.withdrawn(order, why, self._waited_s(order))

    def _conclude(self, order: Order, result: OrderResult) -> None:
        """What the result says of the machine, and of the starts that the order carried."""
        self._note_reachable(order.station, result)
        if result.is_elsewhere:
            # Orders name no machine: whoever has the address would carry them out. Its own next
            # check-in says where it is.
            self.drop(order.station.addr)
            order.station.addr = ""
        match result.outcome:
            case Outcome.EXECUTED:
                for start in order.runs:
                    order.station.sent[start].direct = False
                    order.station.sent[start].settled = True
            case Outcome.REFUSED | Outcome.NOT_SENT:
                self._unsettle(order, executed=False)
            case Outcome.UNANSWERED | Outcome.NOT_UNDERSTOOD:
                self._unsettle(order, executed=True)

    def _note_reachable(self, station: Station, result: OrderResult) -> None:
        station.is_misunderstood = result.outcome is Outcome.NOT_UNDERSTOOD
        if not result.is_answered:
            station.mute_since = None
        if result.is_answered == (station.unanswered_since is None):
            return
        station.unanswered_since = None if result.is_answered else self._clock.now()
        self._owner.reachability_changed(station.id)

    def _unsettle(self, order: Order, executed: bool) -> None:
        """`executed`: the starts may have been, or may be much later. Nothing is concluded of them
        then until a report shows a token with which the order would be refused."""
        station = order.station
        if not executed:
            for start in order.runs:
                station.sent.pop(start, None)
            return
        if order.runs:
            station.raise_fence()
        for start in order.runs:
            station.sent[start].fence = self._owner.token(station)
            station.sent[start].direct = False
