"""Model checker for an owner without the state service: explores every order of events in bounds.

Node L owns a machine M with one task. C is another member. B confirms a cancellation to its user;
it is a member from the start or joins later. The state service answers some of the nodes or none.
Links may hold heartbeats back and deliver them later. B may crash and restart without state. The
rule is broken if M's task still runs more than `cancel_s` after the user was told that it is
cancelled. The decisions are those of `pulleydeal.membership.freshness`.

Times are ages in ticks, capped where a larger age makes no difference. The number of changes of
the service and the links is bounded. Without any one of the GUARDS there must be a counterexample;
the shortest are recorded in tests/traces/blind_owner_model.txt.
"""

import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from unittest import mock

from pulleydeal.membership import freshness
from pulleydeal.membership.messages import FreshnessProof, Heartbeat
from pulleydeal.store import records as r
from pulleydeal.store.job import Job

LEASE, CANCEL = 2, 5
LIMIT = CANCEL - LEASE - 1.0  # ticks; one is the margin, as a report and its answer take one here
OLD = 4  # ticks: the cap of ages, above every limit
# Nodes that the state service answers, and (sender, receiver) pairs whose link is cut.
SERVED = {"all": "LCB", "L is refused": "CB", "L and C are refused": "B", "down": ""}
CUT: dict[str, frozenset[str]] = {
    "up": frozenset(),
    "B apart": frozenset({"BL", "LB", "BC", "CB"}),
    "L hears nobody": frozenset({"BL", "CL"}),
    "nobody hears L": frozenset({"LB", "LC"}),
}


@dataclass(frozen=True, slots=True)
class HeartbeatState:
    """A heartbeat to L: the last one received from a sibling, or one held back on its way."""

    echo: int = OLD  # age of L's stamp in it; OLD if there is none
    epoch: int = 1
    complete: bool = True  # names all cancellations newer than L's replica
    names: bool = False  # names the cancellation
    age: int = 0  # since it arrived


@dataclass(frozen=True, slots=True)
class State:
    b_member: bool  # whether B is a member in view 1
    served: str = "all"
    links: str = "up"
    changes: int = 0
    view: int = 1
    cancelled: bool = False
    told: int = -1  # ticks since the cancellation was confirmed to its user; -1 if not
    task: bool = True  # whether M's task runs
    renewed: int = 0  # ticks since L renewed M's lease
    # L's replica (ticks since it was current), and whether a heartbeat named the cancellation.
    l_current: int = 0
    l_epoch: int = 1
    l_knows: bool = False
    l_relayed: bool = False
    watch_waits: bool = False  # L's watch stays open although the service now refuses L
    # C's and B's replicas, and the age of the last stamp of L's that each received.
    c_epoch: int = 1
    c_knows: bool = False
    c_stamp: int = 0
    b_loaded: bool = True
    b_epoch: int = 1
    b_from: int = 1  # first epoch in which this process of B is a member; 0: none
    b_knows: bool = False
    b_stamp: int = 0
    b_saw_l: int = 1  # newest epoch that L's heartbeats reported to B; b_saw_c: C's
    b_saw_c: int = 1
    from_c: HeartbeatState = HeartbeatState(0)
    from_b: HeartbeatState = HeartbeatState(0)
    held_c: HeartbeatState | None = None
    held_b: HeartbeatState | None = None


Step = tuple[str, State]


def _aged(heartbeat: HeartbeatState | None) -> HeartbeatState | None:
    if heartbeat is None:
        return None
    return replace(heartbeat, echo=min(OLD, heartbeat.echo + 1), age=min(2, heartbeat.age + 1))


def advance_clock(s: State) -> State:
    ages = {
        name: min(cap, getattr(s, name) + 1)
        for name, cap in (
            ("renewed", LEASE + 1),
            ("l_current", OLD),
            ("c_stamp", OLD),
            ("b_stamp", OLD),
        )
    }
    heartbeats = {
        name: _aged(getattr(s, name)) for name in ("from_c", "from_b", "held_c", "held_b")
    }
    told = min(CANCEL + 1, s.told + 1) if s.told >= 0 else -1
    return replace(s, told=told, **ages, **heartbeats)  # type: ignore[arg-type]


def members(s: State, epoch: int) -> dict[str, str]:
    """The members in the view of an epoch; B has joined in epoch 2."""
    found = {"L": "l", "C": "c"}
    return found | {"B": "b"} if s.b_member or epoch > 1 else found


def changes(s: State, max_changes: int) -> Iterator[Step]:
    yield "", s
    if s.changes >= max_changes:
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
    """Served nodes get a current replica; B joins, cancels the job, or crashes."""
    up = SERVED[s.served]
    if "L" in up:
        s = replace(s, l_current=0, l_epoch=s.view, l_knows=s.cancelled)
    if "C" in up:
        s = replace(s, c_epoch=s.view, c_knows=s.cancelled)
    if "B" in up:
        s = replace(s, b_loaded=True, b_epoch=s.view, b_knows=s.cancelled)
    yield "", s
    if s.watch_waits:
        # The watch that was open during the refusal ends with an empty answer.
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


def confirm_cancellation(s: State) -> State:
    if s.cancelled and s.told < 0 and s.b_knows and s.b_from:
        shown = {"L": s.b_saw_l, "C": s.b_saw_c}
        known = freshness.known_as_member(s.b_from, shown, ["L", "C"])
        if known or not s.task:
            return replace(s, told=0)
    return s


def heartbeat_of(sender: str, stamp: int, epoch: int, loaded: bool, knows: bool) -> HeartbeatState:
    jobs = [Job("j-1", 1, r.JobRecord("cancelled", 1))] if knows else []
    names, complete_from = freshness.announced_cancellations(jobs, loaded)
    return HeartbeatState(stamp, epoch, complete_from == 0, bool(names))


def exchange_heartbeats(s: State) -> State:
    """Heartbeats arrive within the tick; a cut link holds back the oldest one sent over it."""
    cut = CUT[s.links]
    if "LC" not in cut:
        s = replace(s, c_stamp=0)
    if "LB" not in cut:
        s = replace(s, b_stamp=0, b_saw_l=max(s.b_saw_l, s.l_epoch))
    if "CB" not in cut:
        s = replace(s, b_saw_c=max(s.b_saw_c, s.c_epoch))
    c = heartbeat_of("C", s.c_stamp, s.c_epoch, True, s.c_knows)
    b = heartbeat_of("B", s.b_stamp, s.b_epoch, s.b_loaded, s.b_knows)
    if "CL" in cut:
        s = replace(s, held_c=s.held_c or c)
    else:
        s = replace(s, from_c=c, l_relayed=relayed(s, c), held_c=None)
    if "BL" in cut:
        s = replace(s, held_b=s.held_b or b)
    else:
        s = replace(s, from_b=b, l_relayed=relayed(s, b), held_b=None)
    return s


def deliver_held(s: State) -> Iterator[Step]:
    """A heartbeat that was held back arrives, maybe after its sender changed state or crashed."""
    yield "", s
    if s.held_b is not None:
        arrived = replace(s.held_b, age=0)
        yield (
            "a held beat of B's comes",
            replace(s, from_b=arrived, l_relayed=relayed(s, arrived), held_b=None),
        )
    if s.held_c is not None:
        arrived = replace(s.held_c, age=0)
        yield (
            "a held beat of C's comes",
            replace(s, from_c=arrived, l_relayed=relayed(s, arrived), held_c=None),
        )


def relayed(s: State, heard: HeartbeatState) -> bool:
    return s.l_relayed or heard.names


def beat_of(heard: HeartbeatState) -> Heartbeat:
    echoes = {"L": ("l", float(-heard.echo))} if heard.echo < OLD else {}
    # L's replica has revision 5; an incomplete list is complete only from a later one on.
    proof = FreshnessProof("x", 0.0, 0 if heard.complete else 10, echoes)
    return Heartbeat(heard.epoch, proof=proof)


def cancellations_known_at(s: State) -> float:
    view = r.View(s.l_epoch, members(s, s.l_epoch))
    heard = {"C": beat_of(s.from_c), "B": beat_of(s.from_b)}
    return freshness.cancellations_known_at(view, "L", "l", 5, heard, 0.0)


def reports(s: State) -> Iterator[Step]:
    """M reports to L or does not; without an answer the end of its lease stops the task."""
    if s.renewed > LEASE:
        s = replace(s, task=False)
    yield "", s
    if freshness.may_renew(max(float(-s.l_current), cancellations_known_at(s)), LIMIT, 0.0):
        if s.l_knows or s.l_relayed:
            # Here the kill takes effect at once. It may in fact take a while, and the answer renews
            # the lease all the same.
            yield "L answers M with a kill", replace(s, task=False)
        else:
            yield "L answers M", replace(s, renewed=0)


def rule_broken(s: State) -> str:
    return "ran_cancelled: its user was told, and it runs" if s.task and s.told > CANCEL else ""


def steps(s: State, max_changes: int, crash: bool) -> Iterator[Step]:
    for a, s1 in changes(advance_clock(s), max_changes):
        for b, s2 in service(s1, crash):
            for d, s3 in deliver_held(exchange_heartbeats(s2)):
                for e, s4 in reports(confirm_cancellation(s3)):
                    yield ", ".join(x for x in (a, b, d, e) if x), s4


FIRST = (State(True), State(False, b_from=0, b_loaded=False, b_epoch=0, b_saw_l=0, b_saw_c=0))


def explore(max_changes: int, crash: bool = True) -> tuple[int, list[str]]:
    """Number of states seen, and the shortest path to a broken one, a line per tick, if any."""
    predecessors: dict[State, tuple[State, str] | None] = dict.fromkeys(FIRST)
    queue = deque(FIRST)
    while queue:
        s = queue.popleft()
        for text, after in steps(s, max_changes, crash):
            if after in predecessors:
                continue
            predecessors[after] = (s, text)
            if why := rule_broken(after):
                return len(predecessors), [*_path_to(predecessors, after), f"broken: {why}"]
            if after.task:
                queue.append(after)
    return len(predecessors), []


def _path_to(predecessors: dict[State, tuple[State, str] | None], last: State) -> list[str]:
    lines = []
    at: tuple[State, str] | None = predecessors[last]
    while at is not None:
        before, text = at
        lines.append(text or "nothing happens")
        at = predecessors[before]
    start = "B is a member" if before.b_member else "B is no member"
    return [start, *(f"{i:2} {line}" for i, line in enumerate(reversed(lines), 1))]


# --- removed guards --------------------------------------------------------------------------
def _arrival(s: State) -> float:
    """The former rule: any heartbeat of the same epoch counts as fresh when it arrives."""
    others = [(s.from_c, "C"), (s.from_b, "B")]
    there = members(s, s.l_epoch)
    fresh = all(h.age <= 1 and h.epoch == s.l_epoch for h, name in others if name in there)
    return 0.0 if fresh else freshness.NEVER


THIS_MODULE = sys.modules[__name__]
GUARDS: dict[str, tuple[object, str, Callable[..., object]]] = {
    "a beat counts from when it arrived": (THIS_MODULE, "cancellations_known_at", _arrival),
    "a watch that ends empty proves": (THIS_MODULE, "ends_empty", lambda _: 0),
    "who joined tells at once": (freshness, "known_as_member", lambda *_: True),
    "blind without a bound": (freshness, "may_renew", lambda *_: True),
}


def explore_without(guard: str, max_changes: int) -> list[str]:
    target, name, replacement = GUARDS[guard]
    with mock.patch.object(target, name, replacement):
        return explore(max_changes)[1]


def follow(path: list[str]) -> str:
    """The rule that a recorded path breaks; empty if the path is impossible or breaks none."""
    at = {s for s in FIRST if s.b_member == (path[0] == "B is a member")}
    for line in path[1:-1]:
        label = line[3:].replace("nothing happens", "")
        at = {s for before in at for text, s in steps(before, OLD, True) if text == label}
    return next(filter(None, map(rule_broken, at)), "")


def follow_without(guard: str, path: list[str]) -> str:
    target, name, replacement = GUARDS[guard]
    with mock.patch.object(target, name, replacement):
        return follow(path)
