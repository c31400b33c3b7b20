"""What the owner of a machine knows of it, and what it concludes from that.

Everything here is a plain function of state and time; nothing is sent from here.
"""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any, Literal

from pulleydeal import constants as c
from pulleydeal.store.records import JobSpec, Task
from pulleydeal.workers import messages as m

TaskId = tuple[str, int]
Start = tuple[str, int, int]  # job, index, attempt


@dataclass(slots=True)
class Entry:
    attempt: int
    state: str
    why: str = ""
    saved: bool = False


@dataclass(slots=True)
class Sent:
    """A `run` whose effect has not shown in a report yet."""

    session: int
    after_seq: int  # settled by a check-in later than this (sent in a check-in's answer)
    fence: int | None = None  # settled once the machine holds this token (order unanswered)
    direct: bool = False  # an order in flight: nothing is known before it is answered
    settled: bool = False


@dataclass(slots=True)
class Exit:
    job: str
    index: int
    attempt: int
    machine: str
    outcome: str  # done, error, saved, stopped, lost, refused, ...
    detail: str
    # Concluded from the task's absence: holds only for the owner that saw it, in that tenure. What
    # the machine itself reported of an attempt holds for ever.
    by_absence: bool = False


@dataclass(slots=True)
class Wanted:
    """One binding as the state service has it."""

    task: Task
    spec: JobSpec
    over: str = ""  # why no task of this attempt may run any more


@dataclass(slots=True)
class Station:
    id: str
    type: str
    zone: str
    spot: bool
    since: float  # steady time from which this node has owned the machine without a break
    floor: int  # token at that time: a report that holds it was made after the takeover
    inherited: set[Start]  # bindings that an earlier owner may have started
    addr: str = ""
    fence: int = 0
    session: int = 0
    seq: int = 0
    seen_token: int = 0
    token_at: float = 0.0  # steady time at which a token of that epoch was first reported
    session_at: float = -1e9  # steady time at which that session was first heard of
    notice_at: float | None = None  # steady time at which the cloud takes the machine
    heard_at: float | None = None  # steady time of the last report of any kind
    checkin_at: float | None = None  # steady time of the last check-in that was news
    mute_since: float | None = None  # it has answered orders from then on, and not checked in
    answered_at: float | None = None  # steady time of the last check-in answered with 200
    entries: dict[TaskId, Entry] = field(default_factory=dict)
    sent: dict[Start, Sent] = field(default_factory=dict)
    seen: set[Start] = field(default_factory=set)
    killed_at: dict[tuple[Start, bool], float] = field(default_factory=dict)
    errors: list[tuple[float, Start]] = field(default_factory=list)
    busy: bool = False  # a direct order is in flight
    unanswered_since: float | None = None  # orders get no answer from then on; None: the last did
    is_misunderstood: bool = False  # the last order's answer was not understood
    wrong_answers: Counter[str] = field(default_factory=Counter)  # to orders, by what was wrong
    reported: list[m.ReportedTask] = field(default_factory=list)  # as in the last report taken in
    # The last full plan found nothing to do, and nothing that it was made from has changed since.
    settled: bool = False

    @property
    def trusted(self) -> bool:
        """Its reports are newer than anything an earlier owner can still have executed."""
        return self.heard_at is not None and self.seen_token >= self.floor

    def raise_fence(self) -> None:
        self.fence += 1


def absorb(s: Station, report: m.Report, now: float, checkin: bool) -> bool:
    """Takes a report in. False: it is older than what is known, so its content is ignored."""
    if (report.session, report.seq) <= (s.session, s.seq):
        return False
    new_session = report.session > s.session
    s.session, s.seq = report.session, report.seq
    if new_session:
        s.session_at = now
    if report.token >> c.EPOCH_SHIFT != s.seen_token >> c.EPOCH_SHIFT or s.heard_at is None:
        s.token_at = now
    s.seen_token = report.token
    s.addr = report.addr
    s.heard_at = now
    if checkin:
        s.checkin_at, s.mute_since = now, None
    elif s.mute_since is None:
        s.mute_since = now
    s.notice_at = now + report.notice_s if report.notice_s is not None else None
    if report.tasks != s.reported:
        _take_tasks(s, report.tasks)
    for start, sent in s.sent.items():
        if sent.settled:
            continue
        # An order for an earlier session gets 409 whenever it arrives.
        if (
            (new_session and sent.session < report.session and not sent.direct)
            or (sent.fence is not None and report.token >= sent.fence)
            or (not sent.direct and sent.fence is None and checkin and report.seq > sent.after_seq)
        ):
            sent.settled = True
        entry = s.entries.get(start[:2])
        if entry is not None and entry.attempt == start[2] and not sent.direct:
            sent.settled = True
    return True


def _take_tasks(s: Station, tasks: list[m.ReportedTask]) -> None:
    """Most reports name the same tasks in the same states as the one before: only others cost."""
    s.reported = tasks
    s.settled = False
    s.entries = {}
    for t in tasks:
        try:
            task_id = m.split_task(t.task)
        except ValueError:
            continue
        why = m.WHY.get(t.why or "", t.why or "")
        s.entries[task_id] = Entry(t.attempt, m.STATES[t.state], why, bool(t.saved))
        s.seen.add((*task_id, t.attempt))


def lease_over(s: Station, now: float, lease_s: float) -> bool:
    """The worker must have killed everything: we alone could renew, and did not.

    Only valid for an owner that itself answered: an earlier one may renew in a cut zone. And only
    from when the machine was known to hold our token: an earlier owner with an older picture had
    renewed it after our first answer, which was lost (docs/incidents/older-owner.md). And only
    from when its session was first heard of: a new one begins with a whole lease, and what was
    started in it by an order was taken for lost at once (docs/incidents/new-session.md).
    """
    if s.answered_at is None or not s.trusted:
        return False
    return (
        now - max(s.answered_at, s.token_at, s.session_at)
        > lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S
    )


@dataclass(slots=True)
class Plan:
    calls: list[dict[str, Any]] = field(default_factory=list)
    runs: list[Start] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    repeats: bool = False  # a kill was given a moment ago and is due again later

    @property
    def is_empty(self) -> bool:
        """Nothing to say, to write down, or to come back to though nothing changes."""
        return not (self.calls or self.runs or self.exits or self.repeats)


def is_settled(s: Station, now: float, lease_s: float) -> bool:
    """Whether a new plan would be as empty as the last one.

    Only time can change it then, and time only ends a lease.
    """
    return s.settled and s.trusted and not lease_over(s, now, lease_s)


def reconcile(
    s: Station,
    wanted: dict[TaskId, Wanted],
    now: float,
    lease_s: float,
    alone: Callable[[], bool] = lambda: True,
    ending: Collection[Start] = (),
) -> Plan:
    """Compares what is bound with what the machine reports.

    `alone`: whether nobody else can have renewed the machine's lease. `ending`: attempts whose end
    was concluded and is still being written.
    """
    plan = Plan()
    s.settled = False  # before trust and after a lease an empty plan says nothing of the next
    if lease_over(s, now, lease_s):
        if not alone():
            return plan
        for (job, index), want in wanted.items():
            why = "machine lost: its lease ran out"
            plan.exits.append(_absent((job, index, want.task.attempt), s, "lost", why))
        return plan
    if not s.trusted:
        return plan
    for (job, index), want in wanted.items():
        _one(s, (job, index, want.task.attempt), want, now, plan, ending)
    for (job, index), entry in s.entries.items():
        bound = wanted.get((job, index))
        if bound is not None and bound.task.attempt == entry.attempt:
            continue
        start = (job, index, entry.attempt)
        sent = s.sent.get(start)
        if entry.state != "exited":
            _kill(s, start, 0.0, now, plan)
        elif sent is None or sent.settled:
            # Unbound by a durable change, and no order with its `run` can still arrive.
            plan.calls.append(m.clear(*start))
    for start in [k for k in s.sent if k[:2] not in wanted and s.sent[k].settled]:
        del s.sent[start]
    # A start that is still on its way, or an order, changes a plan when its outcome is known.
    on_its_way = s.busy or not all(sent.settled for sent in s.sent.values())
    s.settled = plan.is_empty and not on_its_way
    return plan


def _one(
    s: Station, start: Start, want: Wanted, now: float, plan: Plan, ending: Collection[Start]
) -> None:
    job, index, attempt = start
    entry = s.entries.get((job, index))
    if entry is not None and entry.attempt == attempt:
        if entry.state == "exited":
            outcome = _outcome(entry)
            # A machine only says that it was told to stop; users and operators hear why.
            ordered = entry.why in ("stopped", "peers") and want.over
            detail = want.task.stop or ordered or entry.why
            plan.exits.append(Exit(job, index, attempt, s.id, outcome, detail))
        elif want.over:
            _kill(s, start, 0.0, now, plan)
        elif want.task.stop:
            _kill(s, start, want.spec.save_s + 1.0, now, plan)
        return
    if entry is not None and entry.state != "exited":
        return  # another attempt is still there; it is being killed
    sent = s.sent.get(start)
    if sent is not None and not sent.settled:
        return
    if sent is not None or start in s.inherited or start in s.seen:
        # Absent from a report made after its run could last take effect: it is gone.
        why = "never came up" if start not in s.seen else "vanished: the machine lost its lease"
        plan.exits.append(_absent(start, s, "lost", want.task.stop or why))
    elif start in ending:
        # Its end was concluded from its never having been sent, and waits for its turn to be
        # written: sent now, it would run here while it is started elsewhere.
        plan.repeats = True
    elif want.over or want.task.stop:
        plan.exits.append(_absent(start, s, "stopped", want.task.stop or want.over))
    elif s.unanswered_since is not None and now - s.unanswered_since > c.UNREACHED_S:
        # No command that carries this start was ever sent.
        plan.exits.append(_absent(start, s, "lost", "its machine hears no order"))
    else:
        plan.calls.append(m.run(*start))
        plan.runs.append(start)


def _absent(start: Start, s: Station, outcome: str, detail: str) -> Exit:
    return Exit(*start, s.id, outcome, detail, by_absence=True)


def _outcome(entry: Entry) -> str:
    if entry.why in ("no room", "busy", "unknown"):
        return "refused"
    if entry.why == "stopped":
        return "saved" if entry.saved else "stopped"
    return entry.why or "lost"


def _kill(s: Station, start: Start, grace_s: float, now: float, plan: Plan) -> None:
    key = (start, grace_s > 0)
    plan.repeats = True
    if now - s.killed_at.get(key, -1e9) < c.KILL_REPEAT_S:
        return
    entry = s.entries[start[:2]]
    if entry.state == "saving" and grace_s > 0:
        return
    s.killed_at[key] = now
    plan.calls.append(m.kill(*start, grace_s))


def forget_kills(s: Station, calls: list[dict[str, Any]]) -> None:
    """These were never sent: a kill among them is due at once, not after a pause."""
    for call in calls:
        if call["call"] == "kill":
            start = (*m.split_task(call["lift"]), call["pull"])
            s.killed_at.pop((start, call["ease_s"] > 0), None)


Blame = Literal["job", "machine", "open"]  # who is to blame for a failure, as far as is known


def is_sick(s: Station, now: float, blame: Callable[[str, int], Blame]) -> bool:
    """Whether the machine is to blame for what failed on it lately.

    `blame`: of a job that failed so often here. Two jobs submitted with a mistake, which fail
    wherever they are started, condemned one healthy machine after the other: as long as a job has
    neither failed elsewhere nor come to an end, it takes one more of its kind.
    """
    if not s.errors:
        return False
    s.errors = [(at, start) for at, start in s.errors if now - at < c.SICK_WINDOW_S]
    failed = Counter(start[0] for _, start in s.errors)
    if failed.total() < c.SICK_ERRORS or len(failed) < c.SICK_JOBS:
        return False
    found = {job: blame(job, n) for job, n in failed.items()}
    count = Counter(found.values())
    jobs = count["machine"] + count["open"]
    enough = jobs >= (c.SICK_JOBS if count["machine"] else c.SICK_JOBS + 1)
    return enough and sum(n for job, n in failed.items() if found[job] != "job") >= c.SICK_ERRORS
