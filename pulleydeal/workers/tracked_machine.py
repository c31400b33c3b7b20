"""The owner's state of one machine, and the planning of commands and exits from it.

Functions here use only their arguments, including the time, and do no I/O.
"""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any, Literal

from pulleydeal import constants as c
from pulleydeal.store.records import JobSpec, Task
from pulleydeal.workers import messages as m

TaskId = tuple[str, int]
AttemptId = tuple[str, int, int]  # job, index, attempt


@dataclass(slots=True)
class TaskStatus:
    """A task as the machine last reported it."""

    attempt: int
    state: str
    why: str = ""
    saved: bool = False


@dataclass(slots=True)
class SentStart:
    """A `run` command that was sent, and what would prove its outcome.

    Once `settled`, a report without the task proves that it does not run.
    """

    session: int
    after_seq: int  # sent in a check-in's answer: settled by a later check-in than this
    fence: int | None = None  # order unanswered: settled once the machine holds this token
    direct: bool = False  # its order is in flight: the outcome is unknown until it ends
    settled: bool = False


@dataclass(slots=True)
class Exit:
    """The end of one attempt of a task, to be recorded durably."""

    job: str
    index: int
    attempt: int
    machine: str
    outcome: str  # done, error, saved, stopped, lost, refused, ...
    detail: str
    # Concluded from the task's absence: valid only while the same owner keeps the machine. An exit
    # that the machine itself reported stays valid.
    by_absence: bool = False


@dataclass(slots=True)
class DesiredTask:
    """A task bound to the machine in the stored state."""

    task: Task
    spec: JobSpec
    end_reason: str = ""  # reason why no task of this attempt may run any more; empty: it may


@dataclass(slots=True)
class TrackedMachine:
    """What this node knows of a machine, for as long as it owns it without a break."""

    id: str
    type: str
    zone: str
    spot: bool
    since: float  # steady time from which this node has owned the machine
    takeover_token: int  # lowest token that proves a report was made after the takeover
    inherited: set[AttemptId]  # bindings that an earlier owner may have started
    addr: str = ""
    fence: int = 0
    session: int = 0
    seq: int = 0
    seen_token: int = 0
    token_at: float = 0.0  # steady time at which a token of the current epoch was first reported
    session_at: float = -1e9  # steady time at which the current session was first reported
    notice_at: float | None = None  # steady time at which the cloud reclaims the spot machine
    last_report_at: float | None = None  # steady time of the last report of any kind
    last_checkin_at: float | None = None  # steady time of the last check-in that was not outdated
    no_checkin_since: float | None = None  # since then it has answered orders but not checked in
    last_answer_at: float | None = None  # steady time of the last check-in answered with 200
    tasks: dict[TaskId, TaskStatus] = field(default_factory=dict)
    sent: dict[AttemptId, SentStart] = field(default_factory=dict)
    seen: set[AttemptId] = field(default_factory=set)
    killed_at: dict[tuple[AttemptId, bool], float] = field(default_factory=dict)
    errors: list[tuple[float, AttemptId]] = field(default_factory=list)
    order_in_flight: bool = False  # a direct order is in flight
    unanswered_since: float | None = None  # orders get no answer since then; None: the last one did
    last_answer_invalid: bool = False  # the answer to the last order was not valid
    wrong_answers: Counter[str] = field(default_factory=Counter)  # invalid ones, by reason
    raw_tasks: list[m.ReportedTask] = field(default_factory=list)  # of the last accepted report
    # The last plan was empty, and none of its inputs has changed since.
    reconciled: bool = False

    @property
    def trusted(self) -> bool:
        """Whether its reports show the effect of every command of earlier owners."""
        return self.last_report_at is not None and self.seen_token >= self.takeover_token

    def raise_fence(self) -> None:
        self.fence += 1


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
        _update_tasks(s, report.tasks)
    for attempt_id, sent in s.sent.items():
        if sent.settled:
            continue
        # An order for an earlier session is refused (409) whenever it arrives.
        if (
            (new_session and sent.session < report.session and not sent.direct)
            or (sent.fence is not None and report.token >= sent.fence)
            or (not sent.direct and sent.fence is None and checkin and report.seq > sent.after_seq)
        ):
            sent.settled = True
        entry = s.tasks.get(attempt_id[:2])
        if entry is not None and entry.attempt == attempt_id[2] and not sent.direct:
            sent.settled = True
    return True


def _update_tasks(s: TrackedMachine, tasks: list[m.ReportedTask]) -> None:
    """Replaces the task states. Called only if they changed, as most reports repeat the last."""
    s.raw_tasks = tasks
    s.reconciled = False
    s.tasks = {}
    for t in tasks:
        try:
            task_id = m.split_task(t.task)
        except ValueError:
            continue
        why = m.WHY.get(t.why or "", t.why or "")
        s.tasks[task_id] = TaskStatus(t.attempt, m.STATES[t.state], why, bool(t.saved))
        s.seen.add((*task_id, t.attempt))


def lease_over(s: TrackedMachine, now: float, lease_s: float) -> bool:
    """Whether the lease must have expired, so that the worker has killed all its tasks.

    The machine must hold this owner's token, and this owner must have answered a check-in itself:
    otherwise an earlier one may still renew the lease in a partitioned zone. The lease counts from
    the latest of three times:
    - this owner's last answer, which renewed it;
    - the first report with a token of the current epoch: an earlier owner with an older view had
      renewed the lease after this owner's first answer was lost (docs/incidents/older-owner.md);
    - the first report of the session: a new session begins with a full lease, and tasks started in
      it by an order were declared lost at once (docs/incidents/new-session.md).
    """
    if s.last_answer_at is None or not s.trusted:
        return False
    return (
        now - max(s.last_answer_at, s.token_at, s.session_at)
        > lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
    )


@dataclass(slots=True)
class Plan:
    """What to do about one machine: commands to send and exits to record."""

    calls: list[dict[str, Any]] = field(default_factory=list)
    runs: list[AttemptId] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    needs_replan: bool = False  # must be planned again even if nothing changes

    @property
    def is_empty(self) -> bool:
        """Nothing to send, to record or to plan again later."""
        return not (self.calls or self.runs or self.exits or self.needs_replan)


def is_reconciled(s: TrackedMachine, now: float, lease_s: float) -> bool:
    """Whether a new plan would be empty too.

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

    `alone`: whether no other node can have renewed the machine's lease. `ending`: attempts whose
    exit was decided and is still being written.
    """
    plan = Plan()
    s.reconciled = False  # an empty plan without trust or after the lease does not predict the next
    if lease_over(s, now, lease_s):
        if not no_peer_renewed():
            return plan
        for (job, index), target in desired.items():
            why = "machine lost: its lease ran out"
            plan.exits.append(_exit_by_absence((job, index, target.task.attempt), s, "lost", why))
        return plan
    if not s.trusted:
        return plan
    for (job, index), target in desired.items():
        _reconcile_task(s, (job, index, target.task.attempt), target, now, plan, ending)
    for (job, index), entry in s.tasks.items():
        bound = desired.get((job, index))
        if bound is not None and bound.task.attempt == entry.attempt:
            continue
        attempt_id = (job, index, entry.attempt)
        sent = s.sent.get(attempt_id)
        if entry.state != "exited":
            _plan_kill(s, attempt_id, 0.0, now, plan)
        elif sent is None or sent.settled:
            # Unbound durably, and no `run` for it can still arrive.
            plan.calls.append(m.clear(*attempt_id))
    for attempt_id in [k for k in s.sent if k[:2] not in desired and s.sent[k].settled]:
        del s.sent[attempt_id]
    # The outcome of an order or a start in flight will change the plan.
    in_flight = s.order_in_flight or not all(sent.settled for sent in s.sent.values())
    s.reconciled = plan.is_empty and not in_flight
    return plan


def _reconcile_task(
    s: TrackedMachine,
    attempt_id: AttemptId,
    target: DesiredTask,
    now: float,
    plan: Plan,
    ending: Collection[AttemptId],
) -> None:
    job, index, attempt = attempt_id
    entry = s.tasks.get((job, index))
    if entry is not None and entry.attempt == attempt:
        if entry.state == "exited":
            outcome = _exit_outcome(entry)
            # The machine only reports that it was stopped; users and operators see why.
            ordered = entry.why in ("stopped", "peers") and target.end_reason
            detail = target.task.stop or ordered or entry.why
            plan.exits.append(Exit(job, index, attempt, s.id, outcome, detail))
        elif target.end_reason:
            _plan_kill(s, attempt_id, 0.0, now, plan)
        elif target.task.stop:
            _plan_kill(s, attempt_id, target.spec.save_s + 1.0, now, plan)
        return
    if entry is not None and entry.state != "exited":
        return  # another attempt still runs here; `reconcile` kills it
    sent = s.sent.get(attempt_id)
    if sent is not None and not sent.settled:
        return
    if sent is not None or attempt_id in s.inherited or attempt_id in s.seen:
        # Absent from a report made after the last moment at which its `run` could take effect.
        why = (
            "never came up" if attempt_id not in s.seen else "vanished: the machine lost its lease"
        )
        plan.exits.append(_exit_by_absence(attempt_id, s, "lost", target.task.stop or why))
    elif attempt_id in ending:
        # The exit was decided because the start was never sent, and waits to be written. If the
        # start were sent now, the task would run here and be started elsewhere as well.
        plan.needs_replan = True
    elif target.end_reason or target.task.stop:
        plan.exits.append(
            _exit_by_absence(attempt_id, s, "stopped", target.task.stop or target.end_reason)
        )
    elif s.unanswered_since is not None and now - s.unanswered_since > c.UNREACHED_S:
        # No command with this start was ever sent.
        plan.exits.append(_exit_by_absence(attempt_id, s, "lost", "its machine hears no order"))
    else:
        plan.calls.append(m.run(*attempt_id))
        plan.runs.append(attempt_id)


def _exit_by_absence(attempt_id: AttemptId, s: TrackedMachine, outcome: str, detail: str) -> Exit:
    return Exit(*attempt_id, s.id, outcome, detail, by_absence=True)


def _exit_outcome(entry: TaskStatus) -> str:
    if entry.why in ("no room", "busy", "unknown"):
        return "refused"
    if entry.why == "stopped":
        return "saved" if entry.saved else "stopped"
    return entry.why or "lost"


def _plan_kill(
    s: TrackedMachine, attempt_id: AttemptId, grace_s: float, now: float, plan: Plan
) -> None:
    key = (attempt_id, grace_s > 0)
    plan.needs_replan = True
    if now - s.killed_at.get(key, -1e9) < c.KILL_REPEAT_S:
        return
    entry = s.tasks[attempt_id[:2]]
    if entry.state == "saving" and grace_s > 0:
        return
    s.killed_at[key] = now
    plan.calls.append(m.kill(*attempt_id, grace_s))


def forget_kills(s: TrackedMachine, calls: list[dict[str, Any]]) -> None:
    """Makes kills among these unsent commands due at once, instead of after `KILL_REPEAT_S`."""
    for call in calls:
        if call["call"] == "kill":
            attempt_id = (*m.split_task(call["lift"]), call["pull"])
            s.killed_at.pop((attempt_id, call["ease_s"] > 0), None)


FailureCause = Literal["job", "machine", "open"]  # of a failure; "open": unknown yet


def is_sick(s: TrackedMachine, now: float, cause_of: Callable[[str, int], FailureCause]) -> bool:
    """Whether the machine caused the task failures seen on it lately.

    `cause_of`: called with a job and how often it failed here. Jobs whose cause is still open count
    too, but one more job must have failed unless some job is known to work elsewhere: two faulty
    jobs, which fail on every machine, had healthy machines drained one after the other.
    """
    if not s.errors:
        return False
    s.errors = [(at, attempt_id) for at, attempt_id in s.errors if now - at < c.SICK_WINDOW_S]
    failed = Counter(attempt_id[0] for _, attempt_id in s.errors)
    if failed.total() < c.SICK_ERRORS or len(failed) < c.SICK_JOBS:
        return False
    found = {job: cause_of(job, n) for job, n in failed.items()}
    count = Counter(found.values())
    jobs = count["machine"] + count["open"]
    enough = jobs >= (c.SICK_JOBS if count["machine"] else c.SICK_JOBS + 1)
    return enough and sum(n for job, n in failed.items() if found[job] != "job") >= c.SICK_ERRORS
