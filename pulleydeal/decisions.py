"""The decision log: one structured line for each start, stop, clear, end, binding and answer.

A line names who decided (node, incarnation, epoch), on what state (revision and age of the
replica, session and report of the machine), the fencing token that was sent and the highest one
of earlier starts, the time spent waiting, and why the action was allowed or refused.
`run.py timeline` merges the lines of all nodes. Lines have level `info`, except answers to polls,
which have `debug` because users poll every 5 s.
"""

import logging
from dataclasses import dataclass
from enum import StrEnum

from pulleydeal.clock import Clock
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.decisions")

LINE = (
    "decision %s %s task=%s attempt=%d machine=%s node=%s incarnation=%s epoch=%d token=%d "
    "session=%d seq=%d start_token=%d revision=%d age_s=%.3f waited_s=%.3f at=%.3f why=%s"
)


class Action(StrEnum):
    START = "start"
    STOP = "stop"
    CLEAR = "clear"
    END = "end"  # an attempt's end that is about to be made durable
    BIND = "bind"  # a task was durably bound to a machine
    ANSWER = "answer"  # an answer to a user; `task` names the job
    LEAD = "lead"  # a new view, and whether this node is a member of it


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision, with its context.

    `task` is `JOB/INDEX` or a job id. `token`, `session`, `seq` and `start_token` are zero if no
    command is sent.
    """

    action: Action
    why: str
    task: str = "-"
    attempt: int = 0
    machine: str = "-"
    token: int = 0
    session: int = 0
    seq: int = 0  # sequence number of the newest known report of the machine
    # Highest token under which this node sent the machine an order with a start. A clear with a
    # higher token can't be undone by a copy of such an order.
    start_token: int = 0
    waited_s: float = 0.0
    allowed: bool = True


class DecisionLog:
    """Logs decisions, and counts them by action and verdict."""

    def __init__(
        self, membership: Membership, store: Store, clock: Clock, metrics: Metrics
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        # Looked up once: resolving labels costs more than counting.
        self._counters = {
            (action, allowed): metrics.decisions.labels(action.value, verdict)
            for action in Action
            for allowed, verdict in ((True, "allowed"), (False, "refused"))
        }

    def write(self, decision: Decision, level: int = logging.INFO) -> None:
        self._counters[decision.action, decision.allowed].inc()
        if log.isEnabledFor(level):
            self._log(decision, level)

    def _log(self, decision: Decision, level: int) -> None:
        verdict = "allowed" if decision.allowed else "refused"
        job, _, _ = decision.task.partition("/")
        membership, store = self._membership, self._store
        log.log(
            level,
            LINE,
            decision.action.value,
            verdict,
            decision.task,
            decision.attempt,
            decision.machine,
            membership.me,
            membership.incarnation,
            membership.epoch,
            decision.token,
            decision.session,
            decision.seq,
            decision.start_token,
            store.replica.revision,
            self._clock.now() - store.fresh_as_of,
            decision.waited_s,
            self._clock.wall(),
            decision.why,
            extra={"job": job, "machine": decision.machine, "epoch": membership.epoch},
        )
