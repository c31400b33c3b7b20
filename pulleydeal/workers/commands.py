"""Commands to machines, and the right under which each was decided.

A right is taken together with the decision, as one immutable value, and travels with the command.
It is compared with the state of the moment right before the command is sent. A command whose right
has lapsed is dropped and planned anew; it is never given the right of a later moment
(docs/incidents/ran-twice-at-size.md).
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pulleydeal.workers.station import Start, Station


@dataclass(frozen=True, slots=True)
class CommandRight:
    """What entitled this node to command a machine when a plan was made."""

    epoch: int
    token: int
    session: int  # of the machine; commands for another session are refused by it


@dataclass(frozen=True, slots=True)
class Order:
    """Commands that are sent straight to a machine. Without commands it is a probe.

    `station`: the tenure in which it was planned. A node that owns a machine anew has another one.
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
    """Why an order may not be sent any more; None: it may.

    `station`, `right`: those of the machine at this moment. `may_start`: whether every task that
    the order starts is still bound to the machine and no end of it is being written.
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
