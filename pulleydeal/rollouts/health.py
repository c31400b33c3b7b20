"""What checks and registrations say of copies, and when they say nothing.

Which evidence counts, all of it gathered by the service's present leader:
  an answer of the copy        always: it was reached, whatever it said
  no answer, no registration   only while another copy in the same zone is heard, by an answer or a
                               registration: else the way there is cut, or the prober is
  anything from a late round   never: a prober that stood still saw its own trouble
  anything older than OLD_ROUNDS intervals   never: the copy's state is then unknown
A new leader knows nothing, so all is unknown to it until it has asked for itself.
"""

from dataclasses import dataclass, field
from typing import Literal

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check

Said = Literal["good", "bad", "silent"]


@dataclass(slots=True)
class Answer:
    """What one check of one copy brought."""

    said: Said
    text: str = ""  # the status, or why nothing came


@dataclass(slots=True)
class Copy:
    """One registered copy, as the leader sees it."""

    job: str
    attempt: int
    address: str
    zone: str
    since: float  # steady time of its first registration here
    renewed: float  # and of the last
    busy: int | None = None  # requests that it says it serves; None: it does not say
    good: int = 0  # good answers in a row
    bad: int = 0  # bad or counted silent ones in a row
    state: str = STARTING
    seen: float = -1e9  # steady time of the last evidence that counts
    text: str = ""
    fell: list[float] = field(default_factory=list)  # when it turned from healthy to unhealthy


def registered(copy: Copy, now: float) -> bool:
    return now - copy.renewed <= rc.REGISTERED_S


def zones_heard(copies: list[Copy], answers: dict[str, Answer], now: float) -> dict[str, set[str]]:
    """Zone -> copies heard from there: they answered in this round, or renewed lately."""
    heard: dict[str, set[str]] = {}
    for copy in copies:
        answer = answers.get(copy.job)
        spoke = answer is not None and answer.said != "silent"
        if spoke or now - copy.renewed <= 2 * rc.RENEW_S:
            heard.setdefault(copy.zone, set()).add(copy.job)
    return heard


def take_round(
    copies: list[Copy], answers: dict[str, Answer], check: Check, now: float, late_s: float
) -> None:
    """Takes in one round of checks. `late_s`: how much later than due it began or ended."""
    if late_s > rc.LATE_ROUND_S:
        return
    heard = zones_heard(copies, answers, now)
    for copy in copies:
        answer = answers.get(copy.job)
        if answer is None:
            continue
        others = heard.get(copy.zone, set()) - {copy.job}
        renews = now - copy.renewed <= 2 * rc.RENEW_S
        if answer.said == "silent" and not (others or renews):
            continue
        _take(copy, answer, check, now)


def _take(copy: Copy, answer: Answer, check: Check, now: float) -> None:
    copy.seen = now
    if answer.said == "good":
        copy.good, copy.bad = copy.good + 1, 0
        if copy.good >= check.healthy_after and not flapping(copy, now):
            copy.state, copy.text = HEALTHY, answer.text
        return
    copy.good, copy.bad = 0, copy.bad + 1
    copy.text = answer.text
    if copy.state == HEALTHY and copy.bad >= check.unhealthy_after:
        copy.state = UNHEALTHY
        copy.fell.append(now)
    elif copy.state == STARTING and now - copy.since > check.grace_s:
        copy.state = UNHEALTHY
        copy.text = f"not healthy {check.grace_s:g} s after its start: {answer.text}"


def flapping(copy: Copy, now: float) -> bool:
    copy.fell = [at for at in copy.fell if now - at < rc.FLAP_WINDOW_S]
    return len(copy.fell) >= rc.FLAPS


def state_of(copy: Copy, check: Check, now: float) -> tuple[str, str]:
    """The copy's state now and the evidence for it, in words."""
    if now - copy.seen > rc.OLD_ROUNDS * check.every_s + check.timeout_s:
        return UNKNOWN, "not seen by a check that counts"
    if flapping(copy, now):
        return UNHEALTHY, f"fell {len(copy.fell)} times within {rc.FLAP_WINDOW_S:.0f} s"
    return copy.state, copy.text


def missing(
    zone: str, others: set[str], bound_s: float, led_s: float, check: Check
) -> tuple[str, str]:
    """The state of a copy that runs on a machine and is not registered here.

    `others`: copies heard from its zone; `bound_s`: since it was given its machine; `led_s`: for
    how long this leader has been taking registrations.
    """
    if bound_s <= check.grace_s:
        return STARTING, "has not registered yet"
    if led_s <= max(check.grace_s, rc.REGISTERED_S):
        return UNKNOWN, "its leader is new, and has not heard of it"
    if not others:
        return UNKNOWN, f"nothing is heard from {zone or 'where it runs'}"
    return UNHEALTHY, f"runs, and has not registered for {min(bound_s, led_s):.0f} s"
