"""Explicit-state model of a zone that is cut off: explores every order of events within bounds.

The model calls the real decision functions. One machine M runs one task. O is the owner outside
M's zone, K a node inside it, and there is the state service. O is one of two nodes: when the first
alone can't hear M, it hands M over to the second, and may take it back. Time advances in ticks. In
each tick the links are in one of MODES, M reports to one node or to none, and O, K and the service
act. An invariant is violated when O concludes that the task is gone while it runs (it would run
twice), or when the task still runs more than CANCEL after its user got the confirmation.

Times are ages, capped where nothing depends on them any more, so that the number of states is
finite; a cut may last for ever. The number of link changes and of epochs is bounded. The constants
are small numbers of ticks in the order of the real ones. Removing any of the guards (GUARDS) must
lead to a counterexample; the shortest one is stored as a trace.
"""

import contextlib
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from unittest import mock

from pulleydeal import constants as c
from pulleydeal.workers.tracked_machine import TrackedMachine, lease_over
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide

LEASE, CANCEL, TTL = 3, 5, 1  # ticks
TICKS = {"PROXY_RENEWAL_AFTER_S": 1.0, "CONTACT_TIMEOUT_S": 1.0}
OLD = 20  # ticks: longer than any limit that is checked
# Mode -> links that are up: between O and K, from the first O to M, from the second O to M, from K
# to the state service.
MODES = {
    "whole": (True, True, True, True),
    "zone cut": (False, False, False, False),
    "node cut": (False, True, True, False),
    "machine and node cut from O": (False, False, False, True),
    "K shut out": (True, True, True, False),
    "machine cut from O": (True, False, False, True),
    "O deaf": (True, False, True, True),
    "O deaf, node cut": (False, False, True, False),
}


@dataclass(frozen=True, slots=True)
class State:
    mode: str = "whole"
    link_changes: int = 0  # so far
    view: int = 1  # epoch of the view
    member: bool = True  # whether the view has K
    k_renewal_age: int = 0  # age of K's last membership renewal
    deaf: bool = False  # the view has the first O as deaf, so the second one owns M
    cancelled: int = -1  # age of the durable cancellation; -1: none
    confirmed: int = -1  # age of the confirmation to its user; -1: none
    # M
    task: bool = True
    renewed: int = 0
    token: int = 1
    # Age and contents of K's copy of the state, and time since K last heard O
    k_staleness: int = 0
    k_epoch: int = 1
    k_member: bool = True
    k_knows_cancel: bool = False
    k_silence: int = 0
    # O: the token from which on it trusts M, the age of its last answer to M (-1: none yet), the
    # token that M last reported and its age, and O's contact with K
    floor: int = 1
    answered: int = 0
    seen_token: int = 1
    token_at: int = 0
    bound: bool = True
    since: int = LEASE + 1
    ack_age: int = 0
    k_acked_cancel: bool = False  # K has reported a copy with the cancellation
    removed_epoch: int = 0  # first epoch without K; 0: K is a member
    delayed_ack: int = -1  # age of the stamp in a delayed message of K; -1: no message is delayed

    def later(self) -> "State":
        """The same state one tick later: every age is increased."""
        aged = {
            name: min(max_age, getattr(self, name) + 1)
            for name, max_age in AGES.items()
            if getattr(self, name) >= 0
        }
        return replace(self, **aged)


# Fields that are ages, each with the age above which nothing depends on it.
AGES = {
    "k_renewal_age": TTL + 1,
    "cancelled": 0,
    "confirmed": CANCEL + 1,
    "renewed": LEASE + 1,
    "k_staleness": 2,
    "k_silence": 2,
    "answered": LEASE + 1,
    "token_at": LEASE + 1,
    "since": LEASE + 1,
    "ack_age": 2,
    "delayed_ack": 2,
}


def contact_of(s: State) -> decide.Contact:
    return decide.Contact(
        "east",
        float(-s.since),
        float(-s.ack_age),
        revision=1 if s.k_acked_cancel else 0,
        removed_epoch=s.removed_epoch or None,
    )


def with_new_owner(s: State, deaf: bool) -> State:
    """Makes the other O the owner by a new view; it has not answered M yet."""
    return replace(s, view=s.view + 1, deaf=deaf, floor=s.view + 1, answered=-1, seen_token=0)


def owner_reaches_machine(s: State) -> bool:
    _, first, second, _ = MODES[s.mode]
    return second if s.deaf else first


def keeps(s: State) -> bool:
    me = decide.LocalNode(
        "east", s.k_epoch, s.k_member, True, float(s.k_staleness), float(s.k_silence)
    )
    known = {"j"} if s.k_knows_cancel else set()
    return not decide.renewal_refusal(me, "east", s.token, ["j"] if s.task else [], known)


Step = tuple[str, State]


def link_steps(s: State, max_changes: int) -> Iterator[Step]:
    yield "", s
    if s.link_changes < max_changes:
        for mode in MODES:
            if mode != s.mode:
                yield f"links: {mode}", replace(s, mode=mode, link_changes=s.link_changes + 1)


def service_steps(s: State, max_epoch: int) -> Iterator[Step]:
    """Changes of the view, handovers, and the cancellation of the job."""
    _, first, second, ks = MODES[s.mode]
    if ks:
        s = replace(s, k_renewal_age=0)
    options = [("", s)]
    if s.member and s.k_renewal_age > TTL and s.view < max_epoch:
        gone = replace(s, view=s.view + 1, member=False, removed_epoch=s.view + 1)
        options.append(("O votes K out", gone))
    elif not s.member and ks and s.view < max_epoch:
        back = replace(s, view=s.view + 1, member=True, removed_epoch=0)
        options.append(("K joins", back))
    if s.deaf != (not first) and (second or s.deaf) and s.view < max_epoch:
        said = "O takes M back" if s.deaf else "O hands M over"
        options.append((said, with_new_owner(s, not s.deaf)))
    for text, after in options:
        yield text, after
        if after.cancelled < 0 and after.task:
            prefix = f"{text}; " if text else ""
            yield f"{prefix}the job is cancelled", replace(after, cancelled=0)


def k_steps(s: State, crash: bool) -> Iterator[Step]:
    ok, _, _, ks = MODES[s.mode]
    if crash and s.k_member and not ks:
        yield "K crashes and comes back with nothing", replace(s, k_member=False, k_staleness=2)
    if ks:
        s = replace(
            s,
            k_staleness=0,
            k_epoch=s.view,
            k_member=s.member,
            k_knows_cancel=s.cancelled >= 0,
        )
    if ok:
        # Messages pass both ways within the tick; a delayed one arrives first.
        contact = contact_of(s)
        if s.delayed_ack >= 0:
            contact.acknowledge(float(-s.delayed_ack), 0.0)
        contact.acknowledge(0.0, 0.0)
        s = replace(
            s,
            k_silence=0,
            since=int(-contact.since),
            ack_age=int(-contact.acked_at),
            k_acked_cancel=s.k_knows_cancel,
            delayed_ack=-1,
        )
    elif s.delayed_ack < 0 and s.ack_age > 0:
        s = replace(s, delayed_ack=max(0, s.ack_age - 1))
    yield "", s


def report_steps(s: State) -> Iterator[Step]:
    """Expiry of M's lease, and who gets M's report; O's answer kills a cancelled job's task."""
    if s.renewed > LEASE:
        s = replace(s, task=False)
    yield "", s
    if keeps(s):
        yield "K keeps M", replace(s, renewed=0)
    if s.token < s.floor and s.cancelled < 0:
        # It acts on an older copy, but a cancellation reaches it within a bounded time.
        yield "an owner of before answers M", replace(s, renewed=0)
    if not owner_reaches_machine(s):
        return
    risen = s.token > s.seen_token
    heard = replace(
        s,
        seen_token=s.token,
        token_at=0 if risen else s.token_at,
        # Only a report made after the takeover proves that the task is gone.
        bound=s.bound and (s.task or s.token < s.floor),
        answered=0,
    )
    yield "O answers M, but the answer is lost", heard
    survives = s.task and s.cancelled < 0
    bound = heard.bound and (survives or s.token < s.floor)
    yield "O answers M", replace(heard, renewed=0, token=s.view, task=survives, bound=bound)
    if s.view > s.token:
        raised = replace(s, token=s.view, seen_token=s.view, token_at=0)
        yield "O's order raises M's token", raised


def with_conclusions(s: State) -> State:
    """O's conclusion from M's lease, and the confirmation of the cancellation."""
    m = TrackedMachine("m", "t", "east", False, 0.0, s.floor << c.EPOCH_SHIFT, set())
    m.last_report_at, m.seen_token = 0.0, s.seen_token << c.EPOCH_SHIFT
    m.checkin_answered_at = float(-s.answered) if s.answered >= 0 else None
    m.token_at = float(-s.token_at)
    over = lease_over(m, 0.0, float(LEASE))
    k = contact_of(s)
    if s.bound and over:
        unrenewed = decide.no_peer_renewed(
            [k], "west", -float(OLD), s.seen_token, float(LEASE), 0.0
        )
        if unrenewed:
            s = replace(s, bound=False)
    if s.cancelled >= 0 and s.confirmed < 0:
        confirmable = not s.bound or decide.may_confirm_cancel([k], 1)
        if confirmable:
            s = replace(s, confirmed=0)
    return s


def violation(s: State) -> str:
    if s.task and not s.bound:
        return "ran_twice: O takes the task for gone, and it runs"
    if s.task and s.confirmed > CANCEL:
        return "ran_cancelled: its user was told, and it runs"
    return ""


def steps(s: State, max_changes: int, max_epoch: int, crash: bool) -> Iterator[Step]:
    for a, s1 in link_steps(s.later(), max_changes):
        for b, s2 in service_steps(s1, max_epoch):
            for d, s3 in k_steps(s2, crash):
                for e, s4 in report_steps(s3):
                    yield ", ".join(x for x in (a, b, d, e) if x), with_conclusions(s4)


@contextlib.contextmanager
def scaled_constants() -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for name, ticks in TICKS.items():
            stack.enter_context(mock.patch.object(z, name, ticks))
        stack.enter_context(mock.patch.object(c, "CLOCK_DRIFT", 0.0))
        stack.enter_context(mock.patch.object(c, "LEASE_MARGIN_S", 0.0))
        yield


def explore(max_changes: int, max_epoch: int, crash: bool) -> tuple[int, list[str]]:
    """Returns the number of states and the shortest trace to a violation, one line a tick; empty:
    there is none."""
    first = State()
    parents: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    with scaled_constants():
        while queue:
            s = queue.popleft()
            for text, after in steps(s, max_changes, max_epoch, crash):
                if after in parents:
                    continue
                parents[after] = (s, text)
                if why := violation(after):
                    return len(parents), [*_trace_to(parents, after), f"broken: {why}"]
                if after.task:  # without the task no invariant can be violated
                    queue.append(after)
    return len(parents), []


def _trace_to(parents: dict[State, tuple[State, str] | None], last: State) -> list[str]:
    lines = []
    at: tuple[State, str] | None = parents[last]
    while at is not None:
        before, text = at
        lines.append(text or "nothing happens")
        at = parents[before]
    return [f"{i:2} {line}" for i, line in enumerate(reversed(lines), 1)]


# --- guards removed --------------------------------------------------------------------------
def _ignoring_reason(name: str, reason: str) -> Callable[..., str]:
    real = getattr(decide, name)

    def patched(*args: object) -> str:
        why: str = real(*args)
        return "" if why == reason else why

    return patched


def _ack_keeps_contact(s: decide.Contact, stamp: float, _now: float) -> None:
    s.acked_at = max(s.acked_at, stamp)


def _over_since_answer(m: TrackedMachine, now: float, lease_s: float) -> bool:
    m.token_at = -float(OLD)
    return _LEASE_OVER(m, now, lease_s)


_LEASE_OVER = lease_over


def _accept_removed_peers(peers: list[decide.Contact], revision: int) -> bool:
    return all(k.revision >= revision or k.removed_epoch is not None for k in peers)


# Name of the guard -> patched object, attribute, replacement, and the violated invariant.
GUARDS: dict[str, tuple[object, str, object, str]] = {
    "any silence proves": (decide, "no_peer_renewed", lambda *_: True, "ran_twice"),
    "a lease counts from the answer, though the token is new": (
        *(sys.modules[__name__], "lease_over", _over_since_answer),
        "ran_twice",
    ),
    "contact after a gap counts from before it": (
        *(decide.Contact, "acknowledge", _ack_keeps_contact),
        "ran_twice",
    ),
    "keeps though somebody is in reach": (
        *(
            decide,
            "proxy_refusal",
            _ignoring_reason("proxy_refusal", "somebody who knows more is in reach"),
        ),
        "ran_twice",
    ),
    "keeps what somebody newer commands": (
        *(
            decide,
            "renewal_refusal",
            _ignoring_reason("renewal_refusal", "commanded by somebody newer"),
        ),
        "ran_twice",
    ),
    "keeps a cancelled job's task": (
        *(
            decide,
            "renewal_refusal",
            _ignoring_reason("renewal_refusal", "has a task of a cancelled job"),
        ),
        "ran_cancelled",
    ),
    "keeps without being a member": (
        *(
            decide,
            "stale_renewal_refusal",
            _ignoring_reason("stale_renewal_refusal", "not a member when last current"),
        ),
        "ran_twice",
    ),
    "tells at once": (decide, "may_confirm_cancel", lambda *_: True, "ran_cancelled"),
    "tells when K is voted out": (
        *(decide, "may_confirm_cancel", _accept_removed_peers),
        "ran_cancelled",
    ),
    "an owner believes M before it holds its token": (
        *(TrackedMachine, "trusted", property(lambda _: True)),
        "ran_twice",
    ),
}

LINK_CHANGES = {"keeps without being a member": 3}  # where the default of two is too few


def explore_without(guard: str, max_changes: int, max_epoch: int) -> list[str]:
    target, name, replacement, _ = GUARDS[guard]
    with mock.patch.object(target, name, replacement):
        return explore(max_changes, max_epoch, crash=False)[1]


def replay(trace: list[str]) -> str:
    """Replays a stored trace; returns the violation that it ends in. Empty: it violates no
    invariant, or its steps are not possible."""
    states = {State()}
    with scaled_constants():
        for line in trace[:-1]:
            label = line[3:].replace("nothing happens", "")
            states = {
                s
                for before in states
                for text, s in steps(before, OLD, OLD, False)
                if text == label
            }
    return next(filter(None, map(violation, states)), "")


def replay_without(guard: str, trace: list[str]) -> str:
    target, name, replacement, _ = GUARDS[guard]
    with mock.patch.object(target, name, replacement):
        return replay(trace)
