"""Commands to machines, and the authority under which each was decided.

The authority is captured with the decision, as one immutable value, and stays with the command. It
is compared with the current one right before the command is sent. A command whose authority is no
longer valid is withdrawn and planned again; it is never sent under a newer authority
(docs/incidents/ran-twice-at-size.md).
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.tracked_machine import TrackedMachine


@dataclass(frozen=True, slots=True)
class CommandAuthority:
    """Epoch, token and session under which a plan for a machine was made."""

    epoch: int
    token: int
    session: int  # of the machine, which refuses commands for another session


@dataclass(frozen=True, slots=True)
class Order:
    """Commands that are sent directly to a machine. Without commands it is a probe.

    `machine`: the state that the plan was made from. It identifies the ownership period: a node
    that gives up a machine and owns it again has a new one.
    """

    machine: TrackedMachine
    authority: CommandAuthority
    calls: list[dict[str, Any]]
    runs: list[AttemptId]
    planned_at: float  # steady time in seconds


class WithdrawalReason(StrEnum):
    """Why an order was not sent."""

    TENURE = "tenure ended"
    EPOCH = "epoch changed"
    TOKEN = "token raised"
    SESSION = "session changed"
    BINDING = "binding ended"
    QUEUE = "queue too long"


class TokenRaise(StrEnum):
    """Why the token of a machine was raised within an epoch."""

    LATE_STARTS = "late starts"  # so that the machine refuses copies of answered orders
    UNCONFIRMED = "unconfirmed order"
    RESTART = "restart"


def withdrawal_reason(
    order: Order, tracked: TrackedMachine | None, authority: CommandAuthority, may_start: bool
) -> WithdrawalReason | None:
    """Why an order must not be sent any more; None: it may be sent.

    `tracked`, `authority`: the current ones of the machine. `may_start`: whether every task that
    the order starts is still bound to the machine and no exit of it is being written.
    """
    if tracked is not order.machine:
        return WithdrawalReason.TENURE
    if authority.epoch != order.authority.epoch:
        return WithdrawalReason.EPOCH
    if authority.token != order.authority.token:
        return WithdrawalReason.TOKEN
    if authority.session != order.authority.session:
        return WithdrawalReason.SESSION
    return None if may_start else WithdrawalReason.BINDING
