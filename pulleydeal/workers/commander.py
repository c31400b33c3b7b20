"""Sends commands to owned machines, each under a recorded authority, and logs every decision."""

import logging
from collections.abc import Callable
from typing import Any

from pulleydeal.clock import Clock
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.membership import view as views
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.store.replica import Replica
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import (
    CommandAuthority,
    Order,
    TokenRaise,
    WithdrawalReason,
    withdrawal_reason,
)
from pulleydeal.workers.exits import ExitRecorder
from pulleydeal.workers.incarnation import KnownState
from pulleydeal.workers.orders import Orders
from pulleydeal.workers.outcomes import OrderResult, Outcome
from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.tracked_machine import TrackedMachine

log = logging.getLogger("pulleydeal.workers")

Calls = list[dict[str, Any]]
ReportHandler = Callable[[TrackedMachine, m.Report, KnownState | None], None]


class Commander:
    """Sends orders and probes, and handles what comes of them.

    `on_report`: receives the reports that answer orders. `replan`: called with a machine whose
    order was withdrawn. `on_reachability_change`: called with one that starts or stops answering.
    """

    def __init__(
        self,
        membership: Membership,
        replica: Replica,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        machines: dict[str, TrackedMachine],
        exits: ExitRecorder,
        on_report: ReportHandler,
        replan: Callable[[str], None],
        on_reachability_change: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._machines = machines
        self._exits = exits
        self._replan = replan
        self.on_report = on_report
        self.on_reachability_change = on_reachability_change
        self.orders = Orders(clock, self)

    def token(self, tracked: TrackedMachine) -> int:
        return views.token(self._membership.epoch, tracked.fence)

    def authority(self, tracked: TrackedMachine) -> CommandAuthority:
        return CommandAuthority(self._membership.epoch, self.token(tracked), tracked.session)

    def refuse_earlier_starts(self, tracked: TrackedMachine) -> None:
        """Makes the machine refuse every order with a start that was sent to it so far.

        It does so once it has received the token that this node uses from now on. PROTOCOL: an
        order may arrive again minutes after its answer, and starts a cleared attempt once more.
        """
        if tracked.start_token >= self.token(tracked):
            tracked.raise_fence()
            self._metrics.tokens_raised.labels(TokenRaise.LATE_STARTS.value).inc()

    def send(self, tracked: TrackedMachine, calls: Calls, runs: list[AttemptId]) -> None:
        """Queues commands, which are sent if the authority for them still holds at that time."""
        self.orders.send(Order(tracked, self.authority(tracked), calls, runs, self._clock.now()))

    def probe(self, tracked: TrackedMachine) -> None:
        """Asks a machine for a report, such as when check-ins are missing, which may be lost."""
        if tracked.addr and not tracked.order_in_flight:
            self.send(tracked, [], [])

    def log(
        self,
        tracked: TrackedMachine,
        authority: CommandAuthority,
        calls: Calls,
        why: str,
        waited_s: float = 0.0,
        allowed: bool = True,
    ) -> None:
        """Logs one decision for each command that is sent or withdrawn."""
        for call in calls:
            action = m.ACTIONS[call["call"]]
            if action is Action.START and allowed:
                self._metrics.starts.inc()
            decision = Decision(
                action,
                why,
                call["lift"],
                call["pull"],
                tracked.id,
                authority.token,
                authority.session,
                tracked.seq,
                tracked.start_token,
                waited_s,
                allowed,
            )
            self._decisions.write(decision)

    # --- callbacks of queued and sent orders (OrderHandler) ---------------------------------
    def withdrawal_reason(self, order: Order) -> WithdrawalReason | None:
        machine = order.machine.id
        may_start = all(self._may_start(machine, start) for start in order.runs)
        return withdrawal_reason(
            order, self._machines.get(machine), self.authority(order.machine), may_start
        )

    def _may_start(self, machine: str, start: AttemptId) -> bool:
        job, index, attempt = start
        task = self._replica.tasks_by_machine.get(machine, {}).get((job, index))
        return task is not None and task.attempt == attempt and start not in self._exits.pending

    def on_send(self, order: Order, waited_s: float) -> None:
        self._metrics.order_wait.observe(waited_s)
        if order.runs:
            order.machine.start_token = max(order.machine.start_token, order.authority.token)
        self.log(order.machine, order.authority, order.calls, "order", waited_s)

    def on_result(self, order: Order, result: OrderResult) -> None:
        self._metrics.orders_finished.labels(result.outcome.value).inc()
        if order.runs and result.maybe_executed:
            self._metrics.tokens_raised.labels(TokenRaise.UNCONFIRMED.value).inc()
        machine = order.machine.id
        if result.outcome is not Outcome.NOT_UNDERSTOOD:
            if result.reason:
                log.debug("order to %s: %s", machine, result.reason)
            return
        count = order.machine.wrong_answers[result.reason] + 1
        order.machine.wrong_answers[result.reason] = count
        # Such a machine is probed again and again: log at 1, 10, 100 answers and so on.
        if str(count).strip("0") == "1":
            log.error(
                "machine %s gave an invalid answer to an order: %s (%d times)",
                machine,
                result.reason,
                count,
            )

    def on_withdrawn(self, order: Order, why: WithdrawalReason, waited_s: float) -> None:
        self._metrics.orders_withdrawn.labels(why.value).inc()
        self.log(order.machine, order.authority, order.calls, why.value, waited_s, allowed=False)
        self._replan(order.machine.id)
