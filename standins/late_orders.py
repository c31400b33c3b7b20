"""Copies of answered orders that reach their machine once more.

PROTOCOL: messages may arrive minutes late, and commands sent to `/orders` are executed as long as
token and session still match. A copy uses no connection, so it outlives the end of the node that
sent the order and of the machine that executed it. Nobody receives its answer.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from standins.worker import Worker

DELAY_MIN_S, DELAY_MAX_S = 2.0, 16.0
KEPT_DELAYS_S = (0.0, 0.1, 0.4, 1.0, 2.5, 6.0)  # between the awaited event and the arrival


class Awaits(StrEnum):
    """What a copy waits for before it arrives."""

    TIME = "time"
    LEADER = "next"  # the next change of the view
    REBOOT = "reboot"  # the next reboot of the machine


@dataclass(frozen=True)
class OrderCopy:
    """An order that was executed and answered."""

    machine: str
    body: dict[str, Any]
    sent_at: float
    worker: "Worker"  # the worker that executed it; a reboot replaces it
    awaits: Awaits


@dataclass
class LateOrders:
    """Copies a share of the answered orders that start tasks.

    `deliver`: called with a delay in seconds and a copy; must hand the copy to `arrive` after the
    delay, on the machine that has the address then.
    """

    rng: random.Random = field(default_factory=lambda: random.Random("late orders"))
    share: float = 0.0
    awaits: Awaits = Awaits.TIME
    deliver: Callable[[float, OrderCopy], None] = lambda _delay_s, _copy: None
    arrived: int = 0
    # Copies with a start that the machine had carried out and no longer knew when they arrived:
    # it had been cleared, or the machine had rebooted.
    after_clear: int = 0
    after_reboot: int = 0
    started_again: int = 0  # of those after a clear: copies of which the machine started a task
    _kept: list[OrderCopy] = field(default_factory=list)

    def on_answered(self, worker: "Worker", body: dict[str, Any], sent_at: float) -> None:
        """Called with each order that was executed and is about to be answered."""
        starts = any(command["call"] == "run" for command in body["calls"])
        if not self.share or not starts or self.rng.random() >= self.share:
            return
        copy = OrderCopy(worker.machine, body, sent_at, worker, self.awaits)
        if self.awaits is Awaits.TIME:
            self.deliver(self.rng.uniform(DELAY_MIN_S, DELAY_MAX_S), copy)
        else:
            self._kept.append(copy)

    def on_view_change(self) -> None:
        self._deliver_kept(lambda copy: copy.awaits is Awaits.LEADER)

    def on_reboot(self, machine: str) -> None:
        self._deliver_kept(lambda copy: copy.awaits is Awaits.REBOOT and copy.machine == machine)

    def _deliver_kept(self, is_due: Callable[[OrderCopy], bool]) -> None:
        due = [copy for copy in self._kept if is_due(copy)]
        self._kept = [copy for copy in self._kept if not is_due(copy)]
        for copy in due:
            self.deliver(self.rng.choice(KEPT_DELAYS_S), copy)

    def arrive(self, worker: "Worker", copy: OrderCopy) -> None:
        self.arrived += 1
        forgotten = [
            (command["lift"], command["pull"])
            for command in copy.body["calls"]
            if command["call"] == "run" and not worker.knows(command["lift"], command["pull"])
        ]
        worker.take_order(copy.body, copy.sent_at)
        if not forgotten or copy.body["shift"] != worker.session:
            return
        if worker is not copy.worker:
            self.after_reboot += 1
            return
        self.after_clear += 1
        # Not counted: a start that the machine refused as it has another attempt of the task.
        self.started_again += any(
            task in worker.tasks and worker.tasks[task].attempt == attempt
            for task, attempt in forgotten
        )
