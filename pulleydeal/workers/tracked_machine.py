"""The owner's state of one machine, and the commands and exits that are planned from that state.

A command (`run`, `kill` or `clear`) reaches the machine in the answer to one of its check-ins or in
a direct order, which is an HTTP request of this node. Functions here depend only on their
arguments, which some of them change, and do no I/O; the time is an argument too.
"""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from pulleydeal import constants as c
from pulleydeal.store.records import JobSpec, Task
from pulleydeal.workers import messages as m
from pulleydeal.workers.seen_attempts import AttemptId, SeenAttempts

TaskId = tuple[str, int]


@dataclass(slots=True)
class TaskStatus:
    """An attempt of a task as the machine last reported it."""

    state: str  # a value of `messages.STATES`
    why: str = ""  # reason that the machine gave for its exit, translated by `messages.WHY`
    saved: bool = False  # its work was saved before it ended


@dataclass(slots=True)
class SentStart:
    """A `run` command that was sent, and what is needed to know its outcome.

    A start that was sent in a check-in's answer is settled by a check-in with a higher `seq` than
    `sent_at_seq`. One sent in a direct order is settled when the machine confirms the order; if
    the order got no valid answer, by a report with `fence_token` or a later one. A report that
    contains the attempt, or a new session, settles both unless the start's order is in flight.
    Once `settled`, a report without the task proves that it does not run.
    """

    session: int
    sent_at_seq: int  # `seq` of the check-in whose answer carried it; 0: sent in an order
    fence_token: int | None = None  # the machine refuses the order once it holds this token
    direct: bool = False  # its direct order is in flight: nothing settles it until that ends
    settled: bool = False


@dataclass(slots=True)
class Exit:
    """The end of one attempt of a task, to be recorded durably."""

    job: str
    index: int
    attempt: int
    machine: str
    outcome: str  # done, error, saved, stopped, lost, refused, or another reason given
    detail: str
    # Not reported by the machine but inferred by its owner, such as from an expired lease: valid
    # only while that node owns the machine without a break. A reported exit stays valid.
    inferred: bool = False


@dataclass(slots=True)
class DesiredTask:
    """A task bound to the machine in the stored state."""

    task: Task
    spec: JobSpec
    # Why no task of this attempt may run any more: it is killed at once, whereas `task.stop` leaves
    # it time to save. Empty: it may run.
    end_reason: str = ""


@dataclass(slots=True)
class TrackedMachine:
    """What this node knows of a machine during one uninterrupted period of ownership."""

    id: str
    type: str
    zone: str
    spot: bool
    since: float  # steady time from which this node has owned the machine
    takeover_token: int  # lowest token that proves a report was made after the takeover
    inherited: set[AttemptId]  # bindings that an earlier owner may have started
    addr: str = ""
    fence: int = 0  # counter in the low bits of this node's tokens, below the epoch
    start_token: int = 0  # highest token under which an order with a start was sent; 0: none
    session: int = 0
    seq: int = 0
    seen_token: int = 0  # token in the last accepted report
    token_at: float = 0.0  # steady time at which a token of the current epoch was first reported
    session_at: float = -1e9  # steady time at which the current session was first reported
    notice_at: float | None = None  # steady time at which the cloud reclaims the spot machine
    last_report_at: float | None = None  # steady time of the last report of any kind
    last_checkin_at: float | None = None  # steady time of the last check-in that was not outdated
    no_checkin_since: float | None = None  # since then it has answered orders but not checked in
    checkin_answered_at: float | None = None  # steady time of the last 200 sent to a check-in
    # PROTOCOL: an exited attempt is reported until it is cleared, so a report may name several
    # attempts of one task, in any order.
    attempts: dict[AttemptId, TaskStatus] = field(default_factory=dict)
    # Task -> its attempt that has not exited.
    live_attempts: dict[TaskId, AttemptId] = field(default_factory=dict)
    cleared: set[AttemptId] = field(default_factory=set)  # reported, and a clear was sent for them
    sent: dict[AttemptId, SentStart] = field(default_factory=dict)
    seen: SeenAttempts = field(default_factory=SeenAttempts)  # attempts that it has reported
    # (attempt, whether it was given time to save) -> when the last kill was planned
    killed_at: dict[tuple[AttemptId, bool], float] = field(default_factory=dict)
    errors: list[tuple[float, AttemptId]] = field(default_factory=list)  # failures and their times
    order_in_flight: bool = False  # a direct order is in flight
    unanswered_since: float | None = None  # no order answered since; None: the last one was
    last_answer_invalid: bool = False  # its answer to the last order was not valid
    wrong_answers: Counter[str] = field(default_factory=Counter)  # to orders, by reason
    raw_tasks: list[m.ReportedTask] = field(default_factory=list)  # of the last accepted report
    # The last plan was empty, and none of its inputs has changed since.
    reconciled: bool = False

    @property
    def trusted(self) -> bool:
        """Whether its reports show the effect of every command of earlier owners."""
        return self.last_report_at is not None and self.seen_token >= self.takeover_token

    @property
    def can_raise_fence(self) -> bool:
        """False at the last token of the epoch, under which no order may start a task."""
        return self.fence < c.FENCE_LAST

    def raise_fence(self) -> None:
        self.fence = min(self.fence + 1, c.FENCE_LAST)


def apply_report(s: TrackedMachine, report: m.Report, now: float, checkin: bool) -> bool:
    """Applies a report. False: it is not newer than the last one, so it is ignored."""
    if (report.session, report.seq) <= (s.session, s.seq):
        return False
    new_session = report.session > s.session
    s.session, s.seq = report.session, report.seq
    if new_session:
        s.session_at = now
    if report.token >> c.EPOCH_SHIFT != s.seen_token >> c.EPOCH_SHIFT or s.last_report_at is None:
        s.token_at = now
    s.seen_token = report.token
    s.addr = report.addr
    s.last_report_at = now
    if checkin:
        s.last_checkin_at, s.no_checkin_since = now, None
    elif s.no_checkin_since is None:
        s.no_checkin_since = now
    s.notice_at = now + report.notice_s if report.notice_s is not None else None
    if report.tasks != s.raw_tasks:
        _update_attempts(s, report.tasks)
    for attempt_id, sent in s.sent.items():
        if sent.settled:
            continue
        if (
            # Orders for an earlier session are refused (409) whenever they arrive.
            (new_session and sent.session < report.session and not sent.direct)
            # The start was in an order that the machine refuses with the token that it now holds.
            or (sent.fence_token is not None and report.token >= sent.fence_token)
            # The start was in the answer to an earlier check-in.
            or (
                not sent.direct
                and sent.fence_token is None
                and checkin
                and report.seq > sent.sent_at_seq
            )
        ):
            sent.settled = True
        if attempt_id in s.attempts and not sent.direct:
            sent.settled = True
    return True


def _update_attempts(s: TrackedMachine, tasks: list[m.ReportedTask]) -> None:
    """Replaces the reported states. The caller skips reports whose tasks equal those of the last.

    Attempts are kept apart: when the last entry of a task hid the others, a running attempt counted
    as absent as soon as an earlier one was named after it (docs/incidents/hidden-attempt.md).
    """
    s.raw_tasks = tasks
    s.reconciled = False
    s.attempts = {}
    s.live_attempts = {}
    for t in tasks:
        try:
            task_id = m.split_task(t.task)
        except ValueError:
            continue  # malformed task id
        why = m.WHY.get(t.why or "", t.why or "")
        attempt_id = (*task_id, t.attempt)
        status = TaskStatus(m.STATES[t.state], why, bool(t.saved))
        s.attempts[attempt_id] = status
        s.seen.add(attempt_id)
        if status.state != "exited":
            s.live_attempts[task_id] = attempt_id
    s.cleared.intersection_update(s.attempts)


def lease_over(s: TrackedMachine, now: float, lease_s: float) -> bool:
    """Whether the lease must have expired, so that the worker has killed all its tasks.

    The machine must hold this owner's token, and this owner must have answered a check-in itself:
    otherwise an earlier owner may still renew the lease in a partitioned zone. The lease counts
    from the latest of three times:
    - this owner's last answer to a check-in, which renewed it;
    - the first report with a token of the current epoch: until then an earlier owner with an older
      view may have renewed the lease, if this owner's first answer was lost
      (docs/incidents/older-owner.md);
    - the first report of the session: a new session begins with a full lease. Without this, tasks
      that an order starts in it would be declared lost at once (docs/incidents/new-session.md).
    """
    if s.checkin_answered_at is None or not s.trusted:
        return False
    return (
        now - max(s.checkin_answered_at, s.token_at, s.session_at)
        > lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
    )


@dataclass(slots=True)
class Plan:
    """What to do about one machine: commands to send and exits to record."""

    calls: list[dict[str, Any]] = field(default_factory=list)
    runs: list[AttemptId] = field(default_factory=list)
    clears: list[AttemptId] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    needs_replan: bool = False  # must be planned again even if nothing changes

    def without_starts(self) -> "Plan":
        calls = [call for call in self.calls if call["call"] != "run"]
        return Plan(calls, [], self.clears, self.exits, self.needs_replan)

    @property
    def is_empty(self) -> bool:
        """Nothing to send, to record or to plan again later."""
        return not (self.calls or self.runs or self.exits or self.needs_replan)


def is_reconciled(s: TrackedMachine, now: float, lease_s: float) -> bool:
    """Whether no plan is needed, since a new one would be empty too.

    With unchanged inputs only the expiry of the lease can change the plan.
    """
    return s.reconciled and s.trusted and not lease_over(s, now, lease_s)


def reconcile(
    s: TrackedMachine,
    desired: dict[TaskId, DesiredTask],
    now: float,
    lease_s: float,
    no_peer_renewed: Callable[[], bool] = lambda: True,
    ending: Collection[AttemptId] = (),
) -> Plan:
    """Plans commands and exits by comparing the bindings with the machine's report.

    `no_peer_renewed`: called once the lease has expired by this node's reckoning; returns whether
    no other node can have renewed it. `ending`: attempts whose exit is decided and being written.
    """
    plan = Plan()
    if s.seen.is_round_due(now):
        _forget_old(s, desired, now)
    s.reconciled = False  # an empty plan without trust or after the lease does not predict the next
    if lease_over(s, now, lease_s):
        if not no_peer_renewed():
            return plan
        for (job, index), target in desired.items():
            why = "machine lost: its lease ran out"
            plan.exits.append(_inferred_exit((job, index, target.task.attempt), s, "lost", why))
        return plan
    if not s.trusted:
        return plan
    for (job, index), target in desired.items():
        _reconcile_task(s, (job, index, target.task.attempt), target, now, plan, ending)
    # Reported attempts that are not bound to the machine are killed, or cleared if they ended.
    for attempt_id, entry in s.attempts.items():
        bound = desired.get(attempt_id[:2])
        if bound is not None and bound.task.attempt == attempt_id[2]:
            continue
        sent = s.sent.get(attempt_id)
        if entry.state != "exited":
            _plan_kill(s, attempt_id, 0.0, now, plan)
        elif sent is None or sent.settled:
            # The stored state no longer binds it here, and no `run` for it can still arrive.
            plan.calls.append(m.clear(*attempt_id))
            plan.clears.append(attempt_id)
    for attempt_id in [k for k in s.sent if k[:2] not in desired and s.sent[k].settled]:
        del s.sent[attempt_id]
    # The outcome of an order or a start in flight will change the plan.
    in_flight = s.order_in_flight or not all(sent.settled for sent in s.sent.values())
    s.reconciled = plan.is_empty and not in_flight
    return plan


def _forget_old(s: TrackedMachine, desired: dict[TaskId, DesiredTask], now: float) -> None:
    bound = [(job, index, target.task.attempt) for (job, index), target in desired.items()]
    s.seen.forget_old([*s.attempts, *bound], now)
    s.killed_at = {kill: at for kill, at in s.killed_at.items() if now - at < c.KILL_REPEAT_S}


def _reconcile_task(
    s: TrackedMachine,
    attempt_id: AttemptId,
    target: DesiredTask,
    now: float,
    plan: Plan,
    ending: Collection[AttemptId],
) -> None:
    entry = s.attempts.get(attempt_id)
    if entry is not None:
        if entry.state == "exited":
            outcome = _exit_outcome(entry)
            # The machine reports only that the task was stopped, or ("peers") that its gang is
            # broken. `end_reason` tells users and operators why.
            stop_reason = entry.why in ("stopped", "peers") and target.end_reason
            detail = target.task.stop or stop_reason or entry.why
            plan.exits.append(Exit(*attempt_id, s.id, outcome, detail))
        elif target.end_reason:
            _plan_kill(s, attempt_id, 0.0, now, plan)
        elif target.task.stop:
            _plan_kill(s, attempt_id, target.spec.save_s + 1.0, now, plan)
        return
    if attempt_id[:2] in s.live_attempts:
        return  # another attempt still runs here; `reconcile` kills it
    sent = s.sent.get(attempt_id)
    if sent is not None and not sent.settled:
        return
    if sent is not None or attempt_id in s.inherited or attempt_id in s.seen:
        # Absent from a report made after the last moment at which its `run` could take effect.
        why = (
            "never came up" if attempt_id not in s.seen else "vanished: the machine lost its lease"
        )
        plan.exits.append(_inferred_exit(attempt_id, s, "lost", target.task.stop or why))
    elif attempt_id in ending:
        # The exit was decided because the start was never sent, and waits to be written. If the
        # start were sent now, the task would run here and be started elsewhere as well.
        plan.needs_replan = True
    elif target.end_reason or target.task.stop:
        plan.exits.append(
            _inferred_exit(attempt_id, s, "stopped", target.task.stop or target.end_reason)
        )
    elif s.unanswered_since is not None and now - s.unanswered_since > c.UNREACHED_S:
        # No command with this start was ever sent, so it can go to another machine.
        plan.exits.append(_inferred_exit(attempt_id, s, "lost", "its machine hears no order"))
    else:
        plan.calls.append(m.run(*attempt_id))
        plan.runs.append(attempt_id)


def _inferred_exit(attempt_id: AttemptId, s: TrackedMachine, outcome: str, detail: str) -> Exit:
    return Exit(*attempt_id, s.id, outcome, detail, inferred=True)


def _exit_outcome(entry: TaskStatus) -> str:
    # The machine refused the start: these are texts of `messages.WHY`.
    if entry.why in ("no room", "busy", "unknown"):
        return "refused"
    if entry.why == "stopped":
        return "saved" if entry.saved else "stopped"
    return entry.why or "lost"  # lost: ended without a reason


def _plan_kill(
    s: TrackedMachine, attempt_id: AttemptId, grace_s: float, now: float, plan: Plan
) -> None:
    key = (attempt_id, grace_s > 0)
    plan.needs_replan = True
    if now - s.killed_at.get(key, -1e9) < c.KILL_REPEAT_S:
        return
    if s.attempts[attempt_id].state == "saving" and grace_s > 0:
        return
    s.killed_at[key] = now
    plan.calls.append(m.kill(*attempt_id, grace_s))


def forget_kills(s: TrackedMachine, calls: list[dict[str, Any]]) -> None:
    """Makes kills among these unsent commands due at once, instead of after `KILL_REPEAT_S`."""
    # "lift" (task), "pull" (attempt) and "ease_s" (grace period) are names of the wire protocol.
    for call in calls:
        if call["call"] == "kill":
            attempt_id = (*m.split_task(call["lift"]), call["pull"])
            s.killed_at.pop((attempt_id, call["ease_s"] > 0), None)
