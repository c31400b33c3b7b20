"""The decision log: one structured line for each start, stop, clear, end, binding and answer.

A line says who decided (node, incarnation, epoch), on what knowledge (the state service's revision
and how old it was, the machine's session and report), with which token it was sent, how long it
waited in a queue, and why it was allowed or refused. `run.py timeline` merges the lines of all
nodes. They are written at level `info`; answers to polls at `debug`, as users poll every 5 s.
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
    "session=%d seq=%d revision=%d age_s=%.3f waited_s=%.3f at=%.3f why=%s"
)


class Action(StrEnum):
    START = "start"
    STOP = "stop"
    CLEAR = "clear"
    END = "end"  # of an attempt: about to be made durable
    BIND = "bind"  # credit spent, durably
    ANSWER = "answer"  # to a user; `task` is the job then
    LEAD = "lead"  # a new view, and whether this node acts in it


@dataclass(frozen=True, slots=True)
class Decision:
    """`task`: `JOB/INDEX`, or a job. `token`, `session`, `seq`: zero where nothing is commanded."""

    action: Action
    why: str
    task: str = "-"
    attempt: int = 0
    machine: str = "-"
    token: int = 0
    session: int = 0
    seq: int = 0  # of the machine's newest report that is known
    waited_s: float = 0.0
    allowed: bool = True


class DecisionLog:
    def __init__(
        self, membership: Membership, store: Store, clock: Clock, metrics: Metrics
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        # Found once each: looking a counter up by its labels costs more than counting.
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
            store.replica.revision,
            self._clock.now() - store.current_at,
            decision.waited_s,
            self._clock.wall(),
            decision.why,
            extra={"job": job, "machine": decision.machine, "epoch": membership.epoch},
        )
