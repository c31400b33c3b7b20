"""Detects that a machine restarted without its tasks, perhaps within moments.

PROTOCOL does not say whether it then continues its report numbers or begins at 1 with no token.
Until a restart, session, report number (`seq`) and token only grow. A check-in that is older than
the known state is therefore either a delayed copy or the first after a restart, and nothing in it
tells which. The answer to an order does: its number is larger than that of every report made before
the order was sent, unless the machine restarted.
"""

from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.workers import messages as m
from pulleydeal.workers.tracked_machine import TrackedMachine


@dataclass(frozen=True, slots=True)
class KnownState:
    """The newest state known of a machine when an order to it was sent."""

    session: int
    seq: int
    token: int


def known_state(s: TrackedMachine) -> KnownState | None:
    return None if s.last_report_at is None else KnownState(s.session, s.seq, s.seen_token)


def is_ambiguous(s: TrackedMachine, report: m.Report, now: float) -> bool:
    """Whether a check-in may be a delayed copy or the first one after a restart.

    The machine is then probed; the check-in is neither applied nor answered with commands. An older
    check-in that the answer to an order has just overtaken is normal.
    """
    if s.last_report_at is None:
        return False
    older = (report.session, report.seq) <= (s.session, s.seq)
    return report.token < s.seen_token or (older and now - s.last_report_at > c.REPORT_REORDER_S)


def has_restarted(before: KnownState | None, report: m.Report) -> bool:
    """Whether the answer to an order shows that the machine restarted since `before` was known.

    Restarted machines were taken for silent, as all their reports were older than those before the
    restart, and were returned to the cloud (docs/incidents/machine-back-at-once.md).
    """
    if before is None:
        return False
    older = (report.session, report.seq) <= (before.session, before.seq)
    return older or report.token < before.token


def has_lost_attempts(s: TrackedMachine, report: m.Report) -> bool:
    """Whether a machine that accepts earlier starts no longer reports an attempt not cleared.

    By PROTOCOL only a clear removes an attempt within a session. Without it the machine restarted,
    with its report numbers and its token going on, and accepts each order that it executed before;
    or another node with a newer view cleared it, under a token that excludes these orders.
    An attempt whose task is reported with another attempt does not count: a machine may drop it.
    """
    if not s.trusted or report.session != s.session or report.seq <= s.seq:
        return False
    if report.token > s.start_token:
        return False
    if report.tasks == s.raw_tasks:
        return False
    reported = {t.task for t in report.tasks}
    return any(
        attempt_id not in s.cleared and m.task_name(*attempt_id[:2]) not in reported
        for attempt_id in s.attempts
    )


def state_after_restart(
    s: TrackedMachine, inherited: set[tuple[str, int, int]], token: int, now: float
) -> TrackedMachine:
    """The state of a machine after a restart, as after a takeover.

    No report is trusted before the machine holds a token above all that it was given before the
    restart; from then on no order that was sent before can be executed. After the epoch's last
    token that is `token` of the next epoch.
    """
    new = TrackedMachine(s.id, s.type, s.zone, s.spot, now, token, inherited)
    new.addr, new.fence, new.errors = s.addr, s.fence, s.errors
    new.raise_fence()
    return new
