"""Records task exits durably, and tracks those that are still being written."""

import asyncio
from collections.abc import Callable
from functools import partial

from pulleydeal.clock import Clock
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.store.draft import Draft
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.reasons import reason_text
from pulleydeal.store.service import Store
from pulleydeal.workers import messages as m
from pulleydeal.workers.changes import apply_exit
from pulleydeal.workers.seen_attempts import AttemptId
from pulleydeal.workers.tracked_machine import Exit, TrackedMachine

# Outcomes of PROTOCOL's reasons, and those that owners infer. A metric never drops a label.
OUTCOMES = frozenset({"done", "error", "saved", "stopped", "lost", "refused", "peers", "alone"})
OTHER_OUTCOME = "other"


def outcome_label(outcome: str) -> str:
    """The label for an outcome, which may be any text that a machine gave as its reason."""
    return outcome if outcome in OUTCOMES else OTHER_OUTCOME


class ExitRecorder:
    """Queues the durable writes of task exits.

    `on_written`: called with a machine after an exit there was written or dropped.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        machines: dict[str, TrackedMachine],
        on_written: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._machines = machines
        self._on_written = on_written
        self.pending: set[AttemptId] = set()  # exits being written: none of these may be started

    def record(self, tracked: TrackedMachine, task_exit: Exit) -> None:
        """Logs an exit and queues its write, unless that is already pending."""
        attempt_id = (task_exit.job, task_exit.index, task_exit.attempt)
        if attempt_id in self.pending:
            return
        self.pending.add(attempt_id)
        if task_exit.outcome == "error":
            tracked.errors.append((self._clock.now(), attempt_id))
        self._decisions.write(
            Decision(
                Action.END,
                f"{task_exit.outcome}: {reason_text(task_exit.detail)}",
                m.task_name(task_exit.job, task_exit.index),
                task_exit.attempt,
                task_exit.machine,
                session=tracked.session,
                seq=tracked.seq,
            )
        )
        self._metrics.attempt_ends.labels(outcome_label(task_exit.outcome)).inc()
        future = self._store.change_job(
            task_exit.job,
            partial(self._apply_if_proved, tracked, task_exit),
            priority=WritePriority.NORMAL,
        )
        future.add_done_callback(partial(self._finish, tracked.id, attempt_id))

    def _finish(self, machine: str, attempt_id: AttemptId, _: "asyncio.Future[bool]") -> None:
        self.pending.discard(attempt_id)
        self._on_written(machine)

    def _apply_if_proved(self, tracked: TrackedMachine, task_exit: Exit, draft: Draft) -> None:
        """Applies the exit to the newest record, if its proof still holds.

        The commit is conditional on that record and the view. Absence of a task proves nothing once
        another node may have renewed the lease or commanded the machine: a node that was cut off
        and removed from the view concluded exits from silence, wrote them on its return, and tasks
        ran twice.
        """
        still_owner = self._membership.is_member and self._machines.get(tracked.id) is tracked
        if still_owner or not task_exit.inferred:
            apply_exit(draft, task_exit)
