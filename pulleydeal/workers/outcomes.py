"""What the answer to an order proves about the commands that it carried.

A status proves nothing by itself. Only an answer with this machine's own report, one that agrees
with the status, is believed; after any other the commands may have been executed
(docs/incidents/answers-not-understood.md).
"""

from dataclasses import dataclass
from enum import StrEnum

from pulleydeal.http import MALFORMED
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order

EXECUTED_STATUS = 200  # PROTOCOL: the body is the worker's report after the commands
REFUSED_STATUS = 409  # PROTOCOL: nothing executed, by reason of token or session


class Outcome(StrEnum):
    """What is known of an order's commands."""

    EXECUTED = "executed"
    REFUSED = "refused"  # nothing was executed, nor will be
    NOT_SENT = "not sent"  # likewise: no connection was made
    UNANSWERED = "unanswered"  # they may have been executed, or may still be
    NOT_UNDERSTOOD = "not understood"  # likewise, whatever the status was


@dataclass(frozen=True, slots=True)
class OrderResult:
    """`report`: the machine's own, if one came, whatever the outcome. `reason`: why nothing is
    known, or why the order was not sent; the same words for the same cause. `is_elsewhere`: another
    machine has the address by now."""

    outcome: Outcome
    report: m.Report | None = None
    reason: str = ""
    is_elsewhere: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether the machine is reached, whatever it says."""
        return self.outcome not in (Outcome.NOT_SENT, Outcome.UNANSWERED)


def read_answer(order: Order, status: int, body: bytes) -> OrderResult:
    """What an order's answer proves."""
    if status not in (EXECUTED_STATUS, REFUSED_STATUS):
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=f"status {status}")
    try:
        report = m.REPORT.decode(body)
    except MALFORMED:
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=f"status {status} without a report")
    if report.machine != order.station.id:
        reason = "another machine's report"
        return OrderResult(Outcome.NOT_UNDERSTOOD, reason=reason, is_elsewhere=True)
    right = order.right
    is_accepted = report.session == right.session and report.token >= right.token
    is_refused = report.session != right.session or report.token > right.token
    if status == EXECUTED_STATUS and is_accepted:
        return OrderResult(Outcome.EXECUTED, report)
    if status == REFUSED_STATUS and is_refused:
        return OrderResult(Outcome.REFUSED, report)
    reason = f"status {status} and a report that contradicts it"
    return OrderResult(Outcome.NOT_UNDERSTOOD, report, reason)
