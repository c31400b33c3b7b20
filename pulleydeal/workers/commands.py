"""Commands to machines, and the authority under which each was decided.

The authority is captured with the decision, as one immutable value, and stays with the command. It
is compared with the current one right before the command is sent. A command whose authority is no
longer valid is withdrawn and planned again; it is never sent under a newer authority
(docs/incidents/ran-twice-at-size.md).
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pulleydeal.workers.station import Start, Station


@dataclass(frozen=True, slots=True)
class CommandRight:
    """Epoch, token and session under which a plan for a machine was made."""

    epoch: int
    token: int
    session: int  # of the machine, which refuses commands for another session


@dataclass(frozen=True, slots=True)
class Order:
    """Commands that are sent directly to a machine. Without commands it is a probe.

    `station`: the state of the machine that the plan was made from. It identifies the ownership
    period: a node that gives up a machine and owns it again has a new one.
    """

    station: Station
    right: CommandRight
    calls: list[dict[str, Any]]
    runs: list[Start]
    planned_at: float  # steady time in seconds


class Lapse(StrEnum):
    """Why an order was not sent."""

    TENURE = "tenure ended"
    EPOCH = "epoch changed"
    TOKEN = "token raised"
    SESSION = "session changed"
    BINDING = "binding ended"
    QUEUE = "queue too long"


def lapse(
    order: Order, station: Station | None, right: CommandRight, may_start: bool
) -> Lapse | None:
    """Why an order must not be sent any more; None: it may be sent.

    `station`, `right`: the current ones of the machine. `may_start`: whether every task that the
    order starts is still bound to the machine and no exit of it is being written.
    """
    if station is not order.station:
        return Lapse.TENURE
    if right.epoch != order.right.epoch:
        return Lapse.EPOCH
    if right.token != order.right.token:
        return Lapse.TOKEN
    if right.session != order.right.session:
        return Lapse.SESSION
    return None if may_start else Lapse.BINDING
