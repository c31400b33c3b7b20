"""Determines from the answer to an order whether its commands were executed.

A status alone proves nothing. An answer is valid only if it contains this machine's own report and
the report agrees with the status; after any other answer the commands may have been executed
(docs/incidents/answers-not-understood.md).
"""

from dataclasses import dataclass
from enum import StrEnum

from pulleydeal.http import DECODE_ERRORS
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order

EXECUTED_STATUS = 200  # PROTOCOL: the body is the worker's report after the commands
REFUSED_STATUS = 409  # PROTOCOL: nothing executed, by reason of token or session


class Outcome(StrEnum):
    """What is known about the execution of an order's commands."""

    EXECUTED = "executed"
    REFUSED = "refused"  # nothing was or will be executed
    NOT_SENT = "not sent"  # nothing was or will be executed: no connection was made
    UNANSWERED = "unanswered"  # they may have been executed, or may be later
    NOT_UNDERSTOOD = "not understood"  # the same, whatever the status was


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The outcome of an order.

    `report`: the machine's own report, if the answer had one. `reason`: why the outcome is unknown
    or the order was not sent; equal causes give equal texts, as they are counted by text.
    `is_other_machine`: another machine answers at the address.
    """

    outcome: Outcome
    report: m.Report | None = None
    reason: str = ""
    is_other_machine: bool = False

    @property
    def maybe_executed(self) -> bool:
        """Whether the commands may have been executed, or may be later, without confirmation."""
        return self.outcome in (Outcome.UNANSWERED, Outcome.NOT_UNDERSTOOD)

    @property
    def is_answered(self) -> bool:
        """Whether an answer came, valid or not."""
        return self.outcome not in (Outcome.NOT_SENT, Outcome.UNANSWERED)


def read_answer(order: Order, status: int, body: bytes) -> OrderResult:
    """Derives the result of an order from the status and body of its answer."""
    if status not in (EXECUTED_STATUS, REFUSED_STATUS):
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=f"status {status}")
    try:
        report = m.REPORT.decode(body)
    except DECODE_ERRORS:
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=f"status {status} without a report")
    if report.machine != order.machine.id:
        reason = "another machine's report"
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=reason, is_other_machine=True)
    authority = order.authority
    is_accepted = report.session == authority.session and report.token >= authority.token
    is_refused = report.session != authority.session or report.token > authority.token
    if status == EXECUTED_STATUS and is_accepted:
        return OrderResult(Outcome.EXECUTED, report)
    if status == REFUSED_STATUS and is_refused:
        return OrderResult(Outcome.REFUSED, report)
    reason = f"status {status} and a report that contradicts it"
    return OrderResult(Outcome.NOT_UNDERSTOOD, report, reason)
