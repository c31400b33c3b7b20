"""A cut zone as an explicit model: every order of events within bounds, by the real decisions.

One machine M with one task, an owner O outside, a node K in M's zone, the state service. O is one
of two nodes: the first, when it alone can't hear M, hands it over to the second, and may take it
back. Time goes in ticks; in each, the links stand in one of MODES, M reports to somebody or nobody,
and O, K and the service do what they may. Broken is the model when O concludes that the task is
gone while it runs (it would run twice), or when it still runs later than cancel_s after its user
was told. How long a cut lasts has no bound: ages are capped where nothing depends on them.

All times are kept as ages, capped where nothing depends on them any more, so that the number of
states is finite; bounded are the changes of the links and of the view. The constants are small
numbers of ticks in the order of the real ones. A guard that is taken out (GUARDS) must lead to a
counterexample; the shortest is kept as a trace.
"""

import contextlib
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from unittest import mock

from pulleydeal import constants as c
from pulleydeal.workers.station import Station, lease_over
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide

LEASE, CANCEL, TTL = 3, 5, 1  # ticks
TICKS = {"KEEP_AFTER_S": 1.0, "CONTACT_S": 1.0}
OLD = 20  # ticks: longer ago than anything asks for
# Links that are up: O and K hear each other, the first O reaches M, the second does, K reaches the
# state service.
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
    changes: int = 0  # of the links, so far
    view: int = 1  # the epoch
    member: bool = True  # K, in the view
    k_lease: int = 0  # age of K's last renewal
    deaf: bool = False  # the first O, in the view: the second one owns M
    cancelled: int = -1  # age of the durable cancellation; -1: none
    told: int = -1  # age of its user's having been told
    # M
    task: bool = True
    renewed: int = 0
    token: int = 1
    # K's copy of the state, and when O was last heard
    k_current: int = 0
    k_epoch: int = 1
    k_member: bool = True
    k_knows: bool = False  # of the cancellation
    k_heard: int = 0
    # O: the token from which on it trusts M, its last 200 (-1: none yet), what M last reported,
    # and what it knows of K
    floor: int = 1
    answered: int = 0
    seen_token: int = 1
    token_at: int = 0
    bound: bool = True
    since: int = LEASE + 1
    contact: int = 0
    acked: bool = False  # K has shown that it has the cancellation
    gone_epoch: int = 0  # 0: K is there
    held: int = -1  # an answer of K's that is held back on its way: age of the stamp in it

    def later(self) -> "State":
        """One tick on: everything that has an age is older."""
        aged = {
            name: min(most, getattr(self, name) + 1)
            for name, most in AGES.items()
            if getattr(self, name) >= 0
        }
        return replace(self, **aged)


# What has an age, and the age from which on nothing depends on it any more.
AGES = {
    "k_lease": TTL + 1,
    "cancelled": 0,
    "told": CANCEL + 1,
    "renewed": LEASE + 1,
    "k_current": 2,
    "k_heard": 2,
    "answered": LEASE + 1,
    "token_at": LEASE + 1,
    "since": LEASE + 1,
    "contact": 2,
    "held": 2,
}


def contact_of(s: State) -> decide.Contact:
    return decide.Contact(
        "east",
        float(-s.since),
        float(-s.contact),
        revision=1 if s.acked else 0,
        gone_epoch=s.gone_epoch or None,
    )


def taken_over(s: State, deaf: bool) -> State:
    """By a new view, the other O owns M: what the earlier one had answered is not its own."""
    return replace(s, view=s.view + 1, deaf=deaf, floor=s.view + 1, answered=-1, seen_token=0)


def reaches(s: State) -> bool:
    _, first, second, _ = MODES[s.mode]
    return second if s.deaf else first


def keeps(s: State) -> bool:
    me = decide.Self("east", s.k_epoch, s.k_member, True, float(s.k_current), float(s.k_heard))
    known = {"j"} if s.k_knows else set()
    return not decide.refuses_to_keep(me, "east", s.token, ["j"] if s.task else [], known)


Step = tuple[str, State]


def links(s: State, most: int) -> Iterator[Step]:
    yield "", s
    if s.changes < most:
        for mode in MODES:
            if mode != s.mode:
                yield f"links: {mode}", replace(s, mode=mode, changes=s.changes + 1)


def service(s: State, views: int) -> Iterator[Step]:
    """The view and the cancellation; K's copy follows, and so does what is told."""
    _, first, second, ks = MODES[s.mode]
    if ks:
        s = replace(s, k_lease=0)
    options = [("", s)]
    if s.member and s.k_lease > TTL and s.view < views:
        gone = replace(s, view=s.view + 1, member=False, gone_epoch=s.view + 1)
        options.append(("O votes K out", gone))
    elif not s.member and ks and s.view < views:
        back = replace(s, view=s.view + 1, member=True, gone_epoch=0)
        options.append(("K joins", back))
    if s.deaf != (not first) and (second or s.deaf) and s.view < views:
        said = "O takes M back" if s.deaf else "O hands M over"
        options.append((said, taken_over(s, not s.deaf)))
    for text, after in options:
        yield text, after
        if after.cancelled < 0 and after.task:
            told = f"{text}; " if text else ""
            yield f"{told}the job is cancelled", replace(after, cancelled=0)


def k_follows(s: State, crash: bool) -> Iterator[Step]:
    ok, _, _, ks = MODES[s.mode]
    if crash and s.k_member and not ks:
        yield "K crashes and comes back with nothing", replace(s, k_member=False, k_current=2)
    if ks:
        s = replace(
            s,
            k_current=0,
            k_epoch=s.view,
            k_member=s.member,
            k_knows=s.cancelled >= 0,
        )
    if ok:
        # Messages both ways within the tick; what was held back on its way comes first.
        contact = contact_of(s)
        if s.held >= 0:
            contact.heard(float(-s.held), 0.0)
        contact.heard(0.0, 0.0)
        s = replace(
            s,
            k_heard=0,
            since=int(-contact.since),
            contact=int(-contact.answered),
            acked=s.k_knows,
            held=-1,
        )
    elif s.held < 0 and s.contact > 0:
        s = replace(s, held=max(0, s.contact - 1))
    yield "", s


def reports(s: State) -> Iterator[Step]:
    """M's lease, and where its report goes; who cancelled has the task killed by O's answer."""
    if s.renewed > LEASE:
        s = replace(s, task=False)
    yield "", s
    if keeps(s):
        yield "K keeps M", replace(s, renewed=0)
    if s.token < s.floor and s.cancelled < 0:
        # With its older picture; how long it may be blind for cancellations is bounded as ever.
        yield "an owner of before answers M", replace(s, renewed=0)
    if not reaches(s):
        return
    risen = s.token > s.seen_token
    heard = replace(
        s,
        seen_token=s.token,
        token_at=0 if risen else s.token_at,
        # Only what was reported after the takeover proves that the task is gone.
        bound=s.bound and (s.task or s.token < s.floor),
        answered=0,
    )
    yield "O answers M, but the answer is lost", heard
    kept = s.task and s.cancelled < 0
    bound = heard.bound and (kept or s.token < s.floor)
    yield "O answers M", replace(heard, renewed=0, token=s.view, task=kept, bound=bound)
    if s.view > s.token:
        raised = replace(s, token=s.view, seen_token=s.view, token_at=0)
        yield "O's order raises M's token", raised


def concludes(s: State) -> State:
    """O's proof by lease, and the cancellation's telling."""
    m = Station("m", "t", "east", False, 0.0, s.floor << c.EPOCH_SHIFT, set())
    m.heard_at, m.seen_token = 0.0, s.seen_token << c.EPOCH_SHIFT
    m.answered_at = float(-s.answered) if s.answered >= 0 else None
    m.token_at = float(-s.token_at)
    over = lease_over(m, 0.0, float(LEASE))
    k = contact_of(s)
    if s.bound and over:
        alone = decide.lease_proves([k], "west", -float(OLD), s.seen_token, float(LEASE), 0.0)
        if alone:
            s = replace(s, bound=False)
    if s.cancelled >= 0 and s.told < 0:
        tellable = not s.bound or decide.may_tell([k], 1)
        if tellable:
            s = replace(s, told=0)
    return s


def broken(s: State) -> str:
    if s.task and not s.bound:
        return "ran_twice: O takes the task for gone, and it runs"
    if s.task and s.told > CANCEL:
        return "ran_cancelled: its user was told, and it runs"
    return ""


def steps(s: State, most: int, views: int, crash: bool) -> Iterator[Step]:
    for a, s1 in links(s.later(), most):
        for b, s2 in service(s1, views):
            for d, s3 in k_follows(s2, crash):
                for e, s4 in reports(s3):
                    yield ", ".join(x for x in (a, b, d, e) if x), concludes(s4)


@contextlib.contextmanager
def small_constants() -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for name, ticks in TICKS.items():
            stack.enter_context(mock.patch.object(z, name, ticks))
        stack.enter_context(mock.patch.object(c, "CLOCK_DRIFT", 0.0))
        stack.enter_context(mock.patch.object(c, "LEASE_MARGIN_S", 0.0))
        yield


def explore(most: int, views: int, crash: bool) -> tuple[int, list[str]]:
    """(states seen, the shortest way to a broken one: a line a tick; empty if there is none)."""
    first = State()
    came: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    with small_constants():
        while queue:
            s = queue.popleft()
            for text, after in steps(s, most, views, crash):
                if after in came:
                    continue
                came[after] = (s, text)
                if why := broken(after):
                    return len(came), [*_way(came, after), f"broken: {why}"]
                if after.task:  # once it is gone nothing can break
                    queue.append(after)
    return len(came), []


def _way(came: dict[State, tuple[State, str] | None], last: State) -> list[str]:
    lines = []
    at: tuple[State, str] | None = came[last]
    while at is not None:
        before, text = at
        lines.append(text or "nothing happens")
        at = came[before]
    return [f"{i:2} {line}" for i, line in enumerate(reversed(lines), 1)]


# --- guards taken out ------------------------------------------------------------------------
def _without(name: str, reason: str) -> Callable[..., str]:
    real = getattr(decide, name)

    def kept(*args: object) -> str:
        why: str = real(*args)
        return "" if why == reason else why

    return kept


def _never_wait(s: decide.Contact, stamp: float, _now: float) -> None:
    s.answered = max(s.answered, stamp)


def _counts_from_answer(m: Station, now: float, lease_s: float) -> bool:
    m.token_at = -float(OLD)
    return _OVER(m, now, lease_s)


_OVER = lease_over


def _or_voted_out(neighbours: list[decide.Contact], mark: int) -> bool:
    return all(k.revision >= mark or k.gone_epoch is not None for k in neighbours)


# What is put in the place of a decision, and what breaks then.
GUARDS: dict[str, tuple[object, str, object, str]] = {
    "any silence proves": (decide, "lease_proves", lambda *_: True, "ran_twice"),
    "a lease counts from the answer, though the token is new": (
        *(sys.modules[__name__], "lease_over", _counts_from_answer),
        "ran_twice",
    ),
    "contact after a gap counts from before it": (
        *(decide.Contact, "heard", _never_wait),
        "ran_twice",
    ),
    "keeps though somebody is in reach": (
        *(
            decide,
            "keeps_nothing",
            _without("keeps_nothing", "somebody who knows more is in reach"),
        ),
        "ran_twice",
    ),
    "keeps what somebody newer commands": (
        *(decide, "refuses_to_keep", _without("refuses_to_keep", "commanded by somebody newer")),
        "ran_twice",
    ),
    "keeps a cancelled job's task": (
        *(decide, "refuses_to_keep", _without("refuses_to_keep", "has a task of a cancelled job")),
        "ran_cancelled",
    ),
    "keeps without being a member": (
        *(
            decide,
            "knows_too_little",
            _without("knows_too_little", "not a member when last current"),
        ),
        "ran_twice",
    ),
    "tells at once": (decide, "may_tell", lambda *_: True, "ran_cancelled"),
    "tells when K is voted out": (*(decide, "may_tell", _or_voted_out), "ran_cancelled"),
    "an owner believes M before it holds its token": (
        *(Station, "trusted", property(lambda _: True)),
        "ran_twice",
    ),
}

CHANGES = {"keeps without being a member": 3}  # of the links, where the usual two are too few


def explore_without(guard: str, most: int, views: int) -> list[str]:
    place, name, instead, _ = GUARDS[guard]
    with mock.patch.object(place, name, instead):
        return explore(most, views, crash=False)[1]


def follow(way: list[str]) -> str:
    """The rule that a kept way leads to break, or nothing: it can't be gone, or breaks none."""
    at = {State()}
    with small_constants():
        for line in way[:-1]:
            label = line[3:].replace("nothing happens", "")
            at = {s for before in at for text, s in steps(before, OLD, OLD, False) if text == label}
    return next(filter(None, map(broken, at)), "")


def follow_without(guard: str, way: list[str]) -> str:
    place, name, instead, _ = GUARDS[guard]
    with mock.patch.object(place, name, instead):
        return follow(way)
