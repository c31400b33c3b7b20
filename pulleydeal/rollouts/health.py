"""Judges the health of copies from checks and registrations, and when these prove nothing.

Which evidence counts, all of it collected by the service's current leader:
  a response of the copy       always: the copy was reached, whatever its status
  no response                  only while the copy itself renews its registration, or another copy
                               in the same zone responds or renews: else the network between
                               prober and zone, or the prober itself, may have failed
  an expired registration      only while another copy in the same zone renews its own
  anything from a late round   never: a prober that was delayed would blame copies for it
  anything older than MAX_EVIDENCE_AGE_ROUNDS intervals   never: the state is then unknown
A new leader has no evidence: a copy's state is unknown to it until it has checked the copy itself.
"""

from dataclasses import dataclass, field
from typing import Literal

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check

ProbeOutcome = Literal["good", "bad", "silent"]


@dataclass(slots=True)
class ProbeResult:
    """Result of one check of one copy."""

    outcome: ProbeOutcome
    detail: str = ""  # the HTTP status, or why there was no response


@dataclass(slots=True)
class RegisteredCopy:
    """One registered copy, as the leader knows it."""

    job: str
    attempt: int
    address: str
    zone: str
    registered_at: float  # monotonic time of its first registration with this leader
    renewed_at: float  # monotonic time of the last renewal
    active_requests: int | None = None  # as reported by the copy; None: not reported
    good_in_row: int = 0  # consecutive good checks
    bad_in_row: int = 0  # consecutive bad checks, and silent ones that count
    state: str = STARTING
    evidence_at: float = -1e9  # monotonic time of the last evidence that counts
    detail: str = ""
    fell_at: list[float] = field(default_factory=list)  # when it turned from healthy to unhealthy


def is_registered(copy: RegisteredCopy, now: float) -> bool:
    return now - copy.renewed_at <= rc.REGISTRATION_TTL_S


def reachable_by_zone(
    copies: list[RegisteredCopy], results: dict[str, ProbeResult], now: float
) -> dict[str, set[str]]:
    """Zone -> jobs of copies there that responded in this round or renewed recently."""
    reachable: dict[str, set[str]] = {}
    for copy in copies:
        result = results.get(copy.job)
        responded = result is not None and result.outcome != "silent"
        if responded or now - copy.renewed_at <= 2 * rc.REGISTRATION_RENEW_S:
            reachable.setdefault(copy.zone, set()).add(copy.job)
    return reachable


def apply_round(
    copies: list[RegisteredCopy],
    results: dict[str, ProbeResult],
    check: Check,
    now: float,
    late_s: float,
) -> None:
    """Applies one round of checks. `late_s`: how much later than due it began or ended."""
    if late_s > rc.MAX_ROUND_DELAY_S:
        return
    reachable = reachable_by_zone(copies, results, now)
    for copy in copies:
        result = results.get(copy.job)
        if result is None:
            continue
        others = reachable.get(copy.zone, set()) - {copy.job}
        renews = now - copy.renewed_at <= 2 * rc.REGISTRATION_RENEW_S
        if result.outcome == "silent" and not (others or renews):
            continue
        _apply_result(copy, result, check, now)


def _apply_result(copy: RegisteredCopy, result: ProbeResult, check: Check, now: float) -> None:
    copy.evidence_at = now
    if result.outcome == "good":
        copy.good_in_row, copy.bad_in_row = copy.good_in_row + 1, 0
        if copy.good_in_row >= check.healthy_after and not is_flapping(copy, now):
            copy.state, copy.detail = HEALTHY, result.detail
        return
    copy.good_in_row, copy.bad_in_row = 0, copy.bad_in_row + 1
    copy.detail = result.detail
    if copy.state == HEALTHY and copy.bad_in_row >= check.unhealthy_after:
        copy.state = UNHEALTHY
        copy.fell_at.append(now)
    elif copy.state == STARTING and now - copy.registered_at > check.grace_s:
        copy.state = UNHEALTHY
        copy.detail = f"not healthy {check.grace_s:g} s after its start: {result.detail}"


def is_flapping(copy: RegisteredCopy, now: float) -> bool:
    """Whether it turned unhealthy too often within the window; discards older transitions."""
    copy.fell_at = [at for at in copy.fell_at if now - at < rc.FLAP_WINDOW_S]
    return len(copy.fell_at) >= rc.FLAP_THRESHOLD


def current_state(copy: RegisteredCopy, check: Check, now: float) -> tuple[str, str]:
    """The copy's current state and the evidence for it as text."""
    if now - copy.evidence_at > rc.MAX_EVIDENCE_AGE_ROUNDS * check.every_s + check.timeout_s:
        return UNKNOWN, "not seen by a check that counts"
    if is_flapping(copy, now):
        return UNHEALTHY, f"fell {len(copy.fell_at)} times within {rc.FLAP_WINDOW_S:.0f} s"
    return copy.state, copy.detail


def unregistered_state(
    zone: str, others: set[str], bound_s: float, led_s: float, check: Check
) -> tuple[str, str]:
    """The state of a copy that is bound to a machine but not registered with this leader.

    `others`: reachable copies in its zone; `bound_s`: time since it was bound to its machine;
    `led_s`: how long this leader has been accepting registrations.
    """
    if bound_s <= check.grace_s:
        return STARTING, "has not registered yet"
    if led_s <= max(check.grace_s, rc.REGISTRATION_TTL_S):
        return UNKNOWN, "its leader is new, and has not heard of it"
    if not others:
        return UNKNOWN, f"nothing is heard from {zone or 'where it runs'}"
    return UNHEALTHY, f"runs, and has not registered for {min(bound_s, led_s):.0f} s"
