"""Journals as an explicit model: every order of events within bounds, by the real combination.

Two nodes, A and B, two jobs of one task each, of a team that may run one task. In view 1 A leads
both jobs and owns the machine; in view 2, which B makes when it likes, B does. A copy reads the log
entry by entry, and shows its own appends at once. An append is answered, or gets no answer and was
applied, or may still be applied later. Broken is the model when a task is on the machine twice, or
when more is bound than the team may run.

A guard that is taken out (GUARDS) must lead to a counterexample; its shortest way is kept as a
trace.
"""

import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from pulleydeal.store.facts import merge_tasks
from pulleydeal.store.records import Task

MACHINE = "vm-1"
JOBS = (0, 1)
MOST_ATTEMPTS = 2
MOST_ENTRIES = 5  # of the log; with 7 it has 1.2 million states and takes minutes
NODES = ("A", "B")

GUARDS = {
    "view": "an append is conditional on the view's mark",
    "name": "an append is conditional on the absence of its own name",
    "kept": "a value whose name was once in doubt is not dropped under that view",
    "read": "a leader has read all that was written under older views",
}


@dataclass(frozen=True, slots=True)
class Append:
    writer: str
    number: int
    view: int  # of the copy that it was made from
    facts: tuple[tuple[int, int, bool], ...]  # job, attempt, bound (else ended)


@dataclass(frozen=True, slots=True)
class Node:
    read: int = 0  # entries of the log
    own: frozenset[int] = frozenset()  # places of its own appends that it shows already
    number: int = 0  # of its next append
    doubt: Append | None = None  # without an answer
    doubted: frozenset[tuple[int, int]] = frozenset()  # numbers that ever were, and in which view


@dataclass(frozen=True, slots=True)
class State:
    log: tuple[Append | None, ...] = ()  # None: the view becomes 2
    a: Node = Node()
    b: Node = Node()
    late: tuple[Append, ...] = ()  # may be applied yet
    dropped: frozenset[int] = frozenset()  # places of values that are there no more
    on: tuple[tuple[int, int], ...] = ()  # job, attempt: there on the machine
    exited: tuple[tuple[int, int], ...] = ()  # the machine has reported their ends


Step = tuple[str, State]


def node_of(s: State, name: str) -> Node:
    return s.a if name == "A" else s.b


def with_node(s: State, name: str, node: Node) -> State:
    return replace(s, a=node) if name == "A" else replace(s, b=node)


def view_at(log: tuple[Append | None, ...]) -> int:
    return 2 if None in log else 1


def shown(s: State, name: str) -> list[Append | None]:
    node = node_of(s, name)
    return [e for i, e in enumerate(s.log) if i < node.read or i in node.own]


def view_of(s: State, name: str, without: str) -> int:
    """The view that the copy shows: with the guard, only once all before it has been read."""
    if without == "read":
        return view_at(s.log)
    return view_at(s.log[: node_of(s, name).read])


def in_charge(s: State, name: str, without: str) -> bool:
    return ("A", "B")[view_of(s, name, without) - 1] == name


def tasks(entries: list[Append | None]) -> dict[int, Task]:
    """What the entries say of each job's task, by the service's own combination."""
    found = {job: Task() for job in JOBS}
    for entry in entries:
        for job, attempt, bound in entry.facts if entry is not None else ():
            found[job] = merge_tasks(found[job], Task(MACHINE if bound else "", attempt))
    return found


def appended(s: State, name: str, facts: tuple[tuple[int, int, bool], ...], without: str) -> Append:
    node = node_of(s, name)
    return Append(name, node.number, view_of(s, name, without), facts)


def applies(s: State, append: Append, without: str) -> bool:
    there = (e for i, e in enumerate(s.log) if i not in s.dropped)
    names = {(e.writer, e.number) for e in there if e is not None}
    free = (append.writer, append.number) not in names
    return (without == "view" or append.view == view_at(s.log)) and (without == "name" or free)


def in_doubt(node: Node, append: Append) -> Node:
    return replace(node, doubt=append, doubted=node.doubted | {(append.number, append.view)})


def drops(s: State, name: str, without: str) -> Iterator[Step]:
    """Its own values that say nothing any more: empty, or of attempts that have ended since."""
    node = node_of(s, name)
    if node.read < len(s.log):
        return
    found = tasks(list(s.log))
    for i, entry in enumerate(s.log):
        if entry is None or entry.writer != name or i in s.dropped:
            continue
        counts = any(
            found[job].attempt == attempt and (not bound or found[job].machine)
            for job, attempt, bound in entry.facts
        )
        kept = without != "kept" and (entry.number, view_at(s.log)) in node.doubted
        if not counts and not kept:
            yield f"{name} drops {entry.number}", replace(s, dropped=s.dropped | {i})


def commits(s: State, name: str, append: Append, what: str, without: str) -> Iterator[Step]:
    """An append that is made now: answered, applied without an answer, or still to come."""
    node = node_of(s, name)
    if applies(s, append, without):
        done = replace(s, log=(*s.log, append))
        own = replace(node, own=node.own | {len(s.log)}, number=node.number + 1, doubt=None)
        yield f"{name} {what}", with_node(done, name, own)
        yield f"{name} {what}, unanswered", with_node(done, name, in_doubt(node, append))
    if not s.late:
        held = with_node(replace(s, late=(append,)), name, in_doubt(node, append))
        yield f"{name} {what}, still to come", held


def resolves(s: State, name: str, without: str) -> Iterator[Step]:
    """After an append without an answer: read back, then take its name with an empty one."""
    node = node_of(s, name)
    assert node.doubt is not None
    if node.read < len(s.log):
        return  # it reads back first
    there = [i for i, e in enumerate(s.log) if e is not None and e.writer == name]
    if any(getattr(s.log[i], "number", -1) == node.number for i in there):
        went = replace(node, number=node.number + 1, doubt=None)
        yield f"{name} finds it", with_node(s, name, went)
        return
    empty = appended(s, name, (), without)
    if applies(s, empty, without):
        own = replace(node, own=node.own | {len(s.log)}, number=node.number + 1, doubt=None)
        yield f"{name} takes its name", with_node(replace(s, log=(*s.log, empty)), name, own)
    elif view_of(s, name, without) == view_at(s.log):
        yield f"{name} is late", s
    else:
        # Another view: what was made under the old one fails on its mark.
        yield f"{name} sees a new view", with_node(s, name, replace(node, doubt=None))


def binds(s: State, name: str, without: str) -> Iterator[Step]:
    found = tasks(shown(s, name))
    used = sum(bool(task.machine) for task in found.values())
    for job, task in found.items():
        if task.machine or task.attempt >= MOST_ATTEMPTS or used:
            continue
        append = appended(s, name, ((job, task.attempt + 1, True),), without)
        yield from commits(s, name, append, f"binds {job}", without)


def commands(s: State, name: str, without: str) -> Iterator[Step]:
    """The owner starts what is bound, and writes the end of what the machine has reported."""
    for job, task in tasks(shown(s, name)).items():
        start = (job, task.attempt)
        if not task.machine:
            continue
        if start in s.exited:
            append = appended(s, name, ((job, task.attempt, False),), without)
            yield from commits(s, name, append, f"ends {job}", without)
        elif start not in s.on:
            yield f"{name} starts {start}", replace(s, on=tuple(sorted((*s.on, start))))


def steps(s: State, without: str) -> Iterator[Step]:
    for name in NODES:
        node = node_of(s, name)
        yield from drops(s, name, without)
        if node.read < len(s.log):
            yield f"{name} reads", with_node(s, name, replace(node, read=node.read + 1))
        if len(s.log) >= MOST_ENTRIES:
            continue
        if node.doubt is not None:
            yield from resolves(s, name, without)
        elif in_charge(s, name, without):
            yield from binds(s, name, without)
            yield from commands(s, name, without)
    if None not in s.log and len(s.log) < MOST_ENTRIES:
        yield "view 2", replace(s, log=(*s.log, None))
    for append in s.late:
        if applies(s, append, without) and len(s.log) < MOST_ENTRIES:
            yield "a late append", replace(s, log=(*s.log, append), late=())
    for start in s.on:
        gone = tuple(x for x in s.on if x != start)
        yield f"{start} exits", replace(s, on=gone, exited=(*s.exited, start))


def broken(s: State) -> str:
    attempts = [job for job, _ in s.on]
    if len(set(attempts)) < len(attempts):
        return "a task is there twice"
    if len(attempts) > 1:
        return "more runs than the team may run"
    durable = tasks(list(s.log))
    if sum(bool(task.machine) for task in durable.values()) > 1:
        return "more is bound than the team may run"
    return ""


def explore(without: str = "", most: int = 2_000_000) -> tuple[int, list[str]]:
    """How many states there are, and the shortest way to a broken one (empty: there is none)."""
    first = State()
    came: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        if why := broken(state):
            way = [why]
            while (step := came[state]) is not None:
                state, what = step
                way.append(what)
            return len(came), way[::-1]
        for what, after in steps(state, without):
            if after not in came:
                came[after] = (state, what)
                queue.append(after)
        if len(came) > most:
            raise MemoryError(f"more than {most} states")
    return len(came), []


if __name__ == "__main__":
    for guard in ("", *GUARDS):
        count, way = explore(guard)
        print(f"without {guard or 'nothing'}: {count} states", "; ".join(way), file=sys.stdout)
