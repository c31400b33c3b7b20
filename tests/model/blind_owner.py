"""A blind owner as an explicit model: every order of events within bounds, by the real decisions.

The owner L of a machine M with one task; C, a member like L; B, which confirms a cancellation to
its user and is a member from the start, or joins. The state service serves some of them, or nobody;
links hold what goes over them, and deliver it later; B may crash, and be back with nothing. Broken
is the model when M's task still runs later than `cancel_s` after its user was told.

Times are ages in ticks, capped where nothing depends on them any more; bounded are the changes of
the service and the links. A guard that is taken out (GUARDS) must lead to a counterexample; the
shortest is kept as a trace.
"""

import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from unittest import mock

from pulleydeal.membership import vouching
from pulleydeal.membership.messages import Beat, Vouch
from pulleydeal.store import records as r
from pulleydeal.store.job import Job

LEASE, CANCEL = 2, 5
LIMIT = CANCEL - LEASE - 1.0  # ticks; a tick for the margin, as reports and answers take one here
OLD = 4  # ticks: longer ago than anything asks for
# Whom the state service serves, and who hears whom: (sender, receiver) pairs that are cut.
SERVED = {"all": "LCB", "L is refused": "CB", "L and C are refused": "B", "down": ""}
CUT: dict[str, frozenset[str]] = {
    "up": frozenset(),
    "B apart": frozenset({"BL", "LB", "BC", "CB"}),
    "L hears nobody": frozenset({"BL", "CL"}),
    "nobody hears L": frozenset({"LB", "LC"}),
}


@dataclass(frozen=True, slots=True)
class Said:
    """What L last heard of a sibling, or what is held back on its way: the age of L's stamp in it
    (OLD: of none), the epoch, whether it vouches, and whether it names the cancellation."""

    echo: int = OLD
    epoch: int = 1
    complete: bool = True
    names: bool = False
    age: int = 0  # since it arrived


@dataclass(frozen=True, slots=True)
class State:
    b_member: bool  # B is a member in view 1 already
    served: str = "all"
    links: str = "up"
    changes: int = 0
    view: int = 1
    cancelled: bool = False
    told: int = -1
    task: bool = True
    renewed: int = 0
    # L's copy, and what it heard relayed
    l_current: int = 0
    l_epoch: int = 1
    l_knows: bool = False
    l_relayed: bool = False
    watch_waits: bool = False  # L's open watch waits through a refusal
    # C's and B's copies; the stamp of L's that each last heard
    c_epoch: int = 1
    c_knows: bool = False
    c_stamp: int = 0
    b_loaded: bool = True
    b_epoch: int = 1
    b_from: int = 1  # epoch from which on this start of B is a member; 0: it is none
    b_knows: bool = False
    b_stamp: int = 0
    b_saw_l: int = 1  # the newest epochs that B was shown
    b_saw_c: int = 1
    from_c: Said = Said(0)
    from_b: Said = Said(0)
    held_c: Said | None = None
    held_b: Said | None = None


Step = tuple[str, State]


def _older(said: Said | None) -> Said | None:
    if said is None:
        return None
    return replace(said, echo=min(OLD, said.echo + 1), age=min(2, said.age + 1))


def later(s: State) -> State:
    ages = {
        name: min(most, getattr(s, name) + 1)
        for name, most in (
            ("renewed", LEASE + 1),
            ("l_current", OLD),
            ("c_stamp", OLD),
            ("b_stamp", OLD),
        )
    }
    saids = {name: _older(getattr(s, name)) for name in ("from_c", "from_b", "held_c", "held_b")}
    told = min(CANCEL + 1, s.told + 1) if s.told >= 0 else -1
    return replace(s, told=told, **ages, **saids)  # type: ignore[arg-type]


def members(s: State, epoch: int) -> dict[str, str]:
    """In view 2, B has joined."""
    found = {"L": "l", "C": "c"}
    return found | {"B": "b"} if s.b_member or epoch > 1 else found


def changes(s: State, most: int) -> Iterator[Step]:
    yield "", s
    if s.changes >= most:
        return
    for name in SERVED:
        if name != s.served:
            waits = "L" in SERVED[s.served] and "L" not in SERVED[name]
            yield (
                f"served: {name}",
                replace(s, served=name, changes=s.changes + 1, watch_waits=waits),
            )
    for name in CUT:
        if name != s.links:
            yield f"links: {name}", replace(s, links=name, changes=s.changes + 1)


def service(s: State, crash: bool) -> Iterator[Step]:
    """Whoever is served is current; B joins, cancels and tells; or it crashes."""
    up = SERVED[s.served]
    if "L" in up:
        s = replace(s, l_current=0, l_epoch=s.view, l_knows=s.cancelled)
    if "C" in up:
        s = replace(s, c_epoch=s.view, c_knows=s.cancelled)
    if "B" in up:
        s = replace(s, b_loaded=True, b_epoch=s.view, b_knows=s.cancelled)
    yield "", s
    if s.watch_waits:
        # An empty answer at the end of a watch that waited: it brings nothing.
        yield "L's watch ends empty", replace(s, l_current=ends_empty(s), watch_waits=False)
    if "B" in up and not s.b_from:
        yield "B joins", replace(s, view=2, b_epoch=2, b_from=2)
    elif "B" in up and not s.cancelled:
        yield "the job is cancelled at B", replace(s, cancelled=True, b_knows=True)
    if crash and "B" not in up and s.b_loaded:
        yield (
            "B crashes and is back with nothing",
            replace(s, b_loaded=False, b_epoch=0, b_from=0, b_knows=False, b_saw_l=0, b_saw_c=0),
        )


def ends_empty(s: State) -> int:
    return s.l_current


def tells(s: State) -> State:
    if s.cancelled and s.told < 0 and s.b_knows and s.b_from:
        shown = {"L": s.b_saw_l, "C": s.b_saw_c}
        known = vouching.known_as_member(s.b_from, shown, ["L", "C"])
        if known or not s.task:
            return replace(s, told=0)
    return s


def said(sender: str, stamp: int, epoch: int, loaded: bool, knows: bool) -> Said:
    jobs = [Job("j-1", 1, r.JobRecord("cancelled", 1))] if knows else []
    names, complete_from = vouching.named(jobs, loaded)
    return Said(stamp, epoch, complete_from == 0, bool(names))


def beats(s: State) -> State:
    """Each hears each other within the tick, if it can; the oldest held beat comes first."""
    cut = CUT[s.links]
    if "LC" not in cut:
        s = replace(s, c_stamp=0)
    if "LB" not in cut:
        s = replace(s, b_stamp=0, b_saw_l=max(s.b_saw_l, s.l_epoch))
    if "CB" not in cut:
        s = replace(s, b_saw_c=max(s.b_saw_c, s.c_epoch))
    c = said("C", s.c_stamp, s.c_epoch, True, s.c_knows)
    b = said("B", s.b_stamp, s.b_epoch, s.b_loaded, s.b_knows)
    if "CL" in cut:
        s = replace(s, held_c=s.held_c or c)
    else:
        s = replace(s, from_c=c, l_relayed=relayed(s, c), held_c=None)
    if "BL" in cut:
        s = replace(s, held_b=s.held_b or b)
    else:
        s = replace(s, from_b=b, l_relayed=relayed(s, b), held_b=None)
    return s


def late(s: State) -> Iterator[Step]:
    """What was held comes though its sender has gone on, or has crashed: an old word."""
    yield "", s
    if s.held_b is not None:
        came = replace(s.held_b, age=0)
        yield (
            "a held beat of B's comes",
            replace(s, from_b=came, l_relayed=relayed(s, came), held_b=None),
        )
    if s.held_c is not None:
        came = replace(s.held_c, age=0)
        yield (
            "a held beat of C's comes",
            replace(s, from_c=came, l_relayed=relayed(s, came), held_c=None),
        )


def relayed(s: State, heard: Said) -> bool:
    return s.l_relayed or heard.names


def beat_of(heard: Said) -> Beat:
    echoes = {"L": ("l", float(-heard.echo))} if heard.echo < OLD else {}
    # L's copy is of revision 5; what vouches for nothing is complete from beyond it.
    vouch = Vouch("x", 0.0, 0 if heard.complete else 10, echoes)
    return Beat(heard.epoch, vouch=vouch)


def vouched_at(s: State) -> float:
    view = r.View(s.l_epoch, members(s, s.l_epoch))
    heard = {"C": beat_of(s.from_c), "B": beat_of(s.from_b)}
    return vouching.vouched_at(view, "L", "l", 5, heard, 0.0)


def reports(s: State) -> Iterator[Step]:
    """M reports to L, or does not; without an answer its lease ends the task."""
    if s.renewed > LEASE:
        s = replace(s, task=False)
    yield "", s
    if vouching.may_renew(max(float(-s.l_current), vouched_at(s)), LIMIT, 0.0):
        if s.l_knows or s.l_relayed:
            # The answer's kill may have no effect for a while; the lease is renewed all the same.
            yield "L answers M with a kill", replace(s, task=False)
        else:
            yield "L answers M", replace(s, renewed=0)


def broken(s: State) -> str:
    return "ran_cancelled: its user was told, and it runs" if s.task and s.told > CANCEL else ""


def steps(s: State, most: int, crash: bool) -> Iterator[Step]:
    for a, s1 in changes(later(s), most):
        for b, s2 in service(s1, crash):
            for d, s3 in late(beats(s2)):
                for e, s4 in reports(tells(s3)):
                    yield ", ".join(x for x in (a, b, d, e) if x), s4


FIRST = (State(True), State(False, b_from=0, b_loaded=False, b_epoch=0, b_saw_l=0, b_saw_c=0))


def explore(most: int, crash: bool = True) -> tuple[int, list[str]]:
    """(states seen, the shortest way to a broken one: a line a tick; empty if there is none)."""
    came: dict[State, tuple[State, str] | None] = dict.fromkeys(FIRST)
    queue = deque(FIRST)
    while queue:
        s = queue.popleft()
        for text, after in steps(s, most, crash):
            if after in came:
                continue
            came[after] = (s, text)
            if why := broken(after):
                return len(came), [*_way(came, after), f"broken: {why}"]
            if after.task:
                queue.append(after)
    return len(came), []


def _way(came: dict[State, tuple[State, str] | None], last: State) -> list[str]:
    lines = []
    at: tuple[State, str] | None = came[last]
    while at is not None:
        before, text = at
        lines.append(text or "nothing happens")
        at = came[before]
    start = "B is a member" if before.b_member else "B is no member"
    return [start, *(f"{i:2} {line}" for i, line in enumerate(reversed(lines), 1))]


# --- guards taken out ------------------------------------------------------------------------
def _arrival(s: State) -> float:
    """As it was: any beat of the same epoch that came just now vouches."""
    others = [(s.from_c, "C"), (s.from_b, "B")]
    there = members(s, s.l_epoch)
    fresh = all(h.age <= 1 and h.epoch == s.l_epoch for h, name in others if name in there)
    return 0.0 if fresh else vouching.NEVER


HERE = sys.modules[__name__]
GUARDS: dict[str, tuple[object, str, Callable[..., object]]] = {
    "a beat counts from when it arrived": (HERE, "vouched_at", _arrival),
    "a watch that ends empty proves": (HERE, "ends_empty", lambda _: 0),
    "who joined tells at once": (vouching, "known_as_member", lambda *_: True),
    "blind without a bound": (vouching, "may_renew", lambda *_: True),
}


def explore_without(guard: str, most: int) -> list[str]:
    place, name, instead = GUARDS[guard]
    with mock.patch.object(place, name, instead):
        return explore(most)[1]


def follow(way: list[str]) -> str:
    """The rule that a kept way leads to break, or nothing: it can't be gone, or breaks none."""
    at = {s for s in FIRST if s.b_member == (way[0] == "B is a member")}
    for line in way[1:-1]:
        label = line[3:].replace("nothing happens", "")
        at = {s for before in at for text, s in steps(before, OLD, True) if text == label}
    return next(filter(None, map(broken, at)), "")


def follow_without(guard: str, way: list[str]) -> str:
    place, name, instead = GUARDS[guard]
    with mock.patch.object(place, name, instead):
        return follow(way)
