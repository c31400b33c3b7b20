"""Sends orders to machines directly, and tracks the starts whose outcome is uncertain."""

import asyncio
from typing import Protocol

from pulleydeal import constants as c
from pulleydeal.background import BackgroundTasks
from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse, RequestWithdrawn
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order, WithdrawalReason
from pulleydeal.workers.incarnation import KnownState, known_state
from pulleydeal.workers.outcomes import OrderResult, Outcome, read_answer
from pulleydeal.workers.tracked_machine import TrackedMachine, forget_kills


class _OrderWithdrawn(Exception):
    """The order was withdrawn: not sent, and never will be."""

    def __init__(self, why: WithdrawalReason) -> None:
        super().__init__(why.value)
        self.why = why


class OrderHandler(Protocol):
    """What `Orders` needs of the code that plans the orders."""

    def token(self, tracked: TrackedMachine) -> int:
        """The token for commands to the machine at this moment."""

    def withdrawal_reason(self, order: Order) -> WithdrawalReason | None:
        """Why the order must not be sent any more; None: it may be sent."""

    def on_send(self, order: Order, waited_s: float) -> None:
        """Called right before the first byte of the order is written."""

    def on_withdrawn(self, order: Order, why: WithdrawalReason, waited_s: float) -> None:
        """Called when the order was withdrawn: it was not sent and never will be."""

    def on_result(self, order: Order, result: OrderResult) -> None:
        """Called with the result of sending, before anything is concluded from it."""

    def on_report(
        self, tracked: TrackedMachine, report: m.Report, before: KnownState | None
    ) -> None:
        """Called with the report in an answer.

        `before`: the state known when it was asked for; None: the report proves no restart.
        """

    def on_reachability_change(self, machine: str) -> None:
        """Called when the machine starts or stops answering."""


class Orders:
    """Sends orders: at most one to a machine at a time, and a bounded number in total."""

    def __init__(self, clock: Clock, handler: OrderHandler) -> None:
        self._clock = clock
        self._handler = handler
        self._clients: dict[str, Client] = {}
        self._order_slots = asyncio.Semaphore(c.ORDERS_IN_FLIGHT)
        self._probe_slots = asyncio.Semaphore(c.PROBES_IN_FLIGHT)
        self._background = BackgroundTasks("sending an order failed")

    def drop(self, addr: str) -> None:
        """Closes the connections to an address that no longer belongs to an owned machine."""
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

    def send(self, order: Order) -> None:
        order.machine.order_in_flight = True
        self._background.spawn(self._process(order))

    async def _process(self, order: Order) -> None:
        try:
            result, before = await self._wait_and_send(order)
        except _OrderWithdrawn as error:
            self._withdraw(order, error.why)
            return
        finally:
            # Reset before the answer is processed, which may send the machine its next order.
            order.machine.order_in_flight = False
        self._handler.on_result(order, result)
        self._apply_result(order, result)
        if result.report is not None:
            # No machine answers with a report that contradicts the status, restarted or not: such
            # a report may be a copy from before the order, so its age does not show a restart.
            is_valid = result.outcome is not Outcome.NOT_UNDERSTOOD
            self._handler.on_report(order.machine, result.report, before if is_valid else None)

    async def _wait_and_send(self, order: Order) -> tuple[OrderResult, KnownState | None]:
        """Waits for a slot and sends the order; returns its result and the state known before.

        Raises _OrderWithdrawn if the order is withdrawn.
        """
        # Unresponsive machines mostly get probes, which must not delay orders to other machines.
        slots = self._order_slots if order.calls else self._probe_slots
        try:
            # A probe may wait for any time, as it starts nothing.
            async with asyncio.timeout(c.ORDER_QUEUE_MOST_S if order.calls else None):
                await slots.acquire()
        except TimeoutError:
            raise _OrderWithdrawn(WithdrawalReason.QUEUE) from None
        try:
            # Checked before a client is created: the machine may no longer be owned.
            why = self._handler.withdrawal_reason(order)
            if why is not None:
                raise _OrderWithdrawn(why)
            return await self._exchange(order)
        finally:
            slots.release()

    def _waited_s(self, order: Order) -> float:
        return self._clock.now() - order.planned_at

    async def _exchange(self, order: Order) -> tuple[OrderResult, KnownState | None]:
        tracked = order.machine
        timeout_s = c.ORDERS_TIMEOUT_S if order.calls else c.PROBE_TIMEOUT_S
        body = m.orders(order.authority.token, order.authority.session, order.calls)
        # Taken before sending: a machine that answers with an older state has restarted.
        before = known_state(tracked)
        reasons: list[WithdrawalReason] = []

        def may_send() -> bool:
            # Checked again, as the order waited for a slot and a connection: a new owner may have
            # asked the machine since and concluded that the task never started.
            why = self._handler.withdrawal_reason(order)
            if why is not None:
                reasons.append(why)
                return False
            self._handler.on_send(order, self._waited_s(order))
            return True

        client = self._client(tracked.addr)
        try:
            status, reply = await client.request("POST", "/orders", body, timeout_s, may_send)
        except RequestWithdrawn:
            raise _OrderWithdrawn(reasons[0]) from None
        except NoResponse as error:
            outcome = Outcome.UNANSWERED if error.sent else Outcome.NOT_SENT
            return OrderResult(outcome, reason=str(error)), before
        return read_answer(order, status, reply), before

    def _withdraw(self, order: Order, why: WithdrawalReason) -> None:
        for start in order.runs:
            order.machine.sent.pop(start, None)
        forget_kills(order.machine, order.calls)
        self._handler.on_withdrawn(order, why, self._waited_s(order))

    def _apply_result(self, order: Order, result: OrderResult) -> None:
        """Updates the state of the machine, and of the starts in the order, from the result."""
        self._update_reachability(order.machine, result)
        if result.is_other_machine:
            # Orders do not name their machine: any machine at the address would execute them. The
            # machine's next check-in gives its new address.
            self.drop(order.machine.addr)
            order.machine.addr = ""
        match result.outcome:
            case Outcome.EXECUTED if self._is_overtaken(order, result):
                self._handle_unconfirmed(order, maybe_executed=True)
            case Outcome.EXECUTED:
                for start in order.runs:
                    order.machine.sent[start].direct = False
                    order.machine.sent[start].settled = True
            case Outcome.REFUSED | Outcome.NOT_SENT:
                self._handle_unconfirmed(order, maybe_executed=False)
            case Outcome.UNANSWERED | Outcome.NOT_UNDERSTOOD:
                self._handle_unconfirmed(order, maybe_executed=True)

    def _is_overtaken(self, order: Order, result: OrderResult) -> bool:
        """Whether a newer report than the answer's lacks a start of the order.

        The machine restarted after it had executed the order, which it may execute once more.
        """
        tracked, report = order.machine, result.report
        assert report is not None
        is_older = (report.session, report.seq) <= (tracked.session, tracked.seq)
        return is_older and not all(start in tracked.attempts for start in order.runs)

    def _update_reachability(self, tracked: TrackedMachine, result: OrderResult) -> None:
        tracked.last_answer_invalid = result.outcome is Outcome.NOT_UNDERSTOOD
        if not result.is_answered:
            tracked.no_checkin_since = None
        if result.is_answered == (tracked.unanswered_since is None):
            return
        tracked.unanswered_since = None if result.is_answered else self._clock.now()
        self._handler.on_reachability_change(tracked.id)

    def _handle_unconfirmed(self, order: Order, maybe_executed: bool) -> None:
        """Handles the starts of an order that was not confirmed.

        `maybe_executed`: whether they may have been executed, or may be much later. Then nothing is
        concluded about them until a report shows a token with which the order would be refused.
        """
        tracked = order.machine
        if not maybe_executed:
            for start in order.runs:
                tracked.sent.pop(start, None)
            return
        if order.runs:
            tracked.raise_fence()
        for start in order.runs:
            tracked.sent[start].fence_token = self._handler.token(tracked)
            tracked.sent[start].direct = False
