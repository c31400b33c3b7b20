"""Explicit-state model of the journals: explores every order of events within bounds.

It merges facts with the production function `joined`. There are two nodes, A and B, and two jobs of
one task each, of a team whose quota is one task. In view 1, A leads both jobs and owns the machine;
in view 2, which may start at any time, B does. A replica reads the log entry by entry and shows its
own appends at once. An append is answered, or gets no answer and either has been applied or may be
applied later. The model is violated when a task runs on the machine twice, or when more tasks run
or are bound than the quota allows.

Removing any of the GUARDS must lead to a counterexample; the shortest one is stored as a trace.
"""

import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from pulleydeal.store.facts import merge_tasks
from pulleydeal.store.records import Task

MACHINE = "vm-1"
JOBS = (0, 1)
MAX_ATTEMPTS = 2
MAX_ENTRIES = 5  # of the log; with 7 the model has 1.2 million states and takes minutes
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
    view: int  # shown by the replica that it was made from
    facts: tuple[tuple[int, int, bool], ...]  # (job, attempt, whether bound or ended)


@dataclass(frozen=True, slots=True)
class Node:
    read: int = 0  # log entries read so far
    own: frozenset[int] = frozenset()  # log positions of its own appends, which its replica shows
    number: int = 0  # sequence number of its next append
    doubt: Append | None = None  # the last append, if it got no answer
    ever_in_doubt: frozenset[tuple[int, int]] = frozenset()  # (number, view) of such appends


@dataclass(frozen=True, slots=True)
class State:
    log: tuple[Append | None, ...] = ()  # None: the change to view 2
    a: Node = Node()
    b: Node = Node()
    late: tuple[Append, ...] = ()  # may still be applied
    deleted: frozenset[int] = frozenset()  # log positions of deleted values
    on: tuple[tuple[int, int], ...] = ()  # (job, attempt) running on the machine
    exited: tuple[tuple[int, int], ...] = ()  # (job, attempt) that the machine reported as ended


Step = tuple[str, State]


def node_of(s: State, name: str) -> Node:
    return s.a if name == "A" else s.b


def with_node(s: State, name: str, node: Node) -> State:
    return replace(s, a=node) if name == "A" else replace(s, b=node)


def view_at(log: tuple[Append | None, ...]) -> int:
    return 2 if None in log else 1


def visible_entries(s: State, name: str) -> list[Append | None]:
    node = node_of(s, name)
    return [e for i, e in enumerate(s.log) if i < node.read or i in node.own]


def view_of(s: State, name: str, without: str) -> int:
    """The view that the replica shows: with the guard, only once every older entry was read."""
    if without == "read":
        return view_at(s.log)
    return view_at(s.log[: node_of(s, name).read])


def is_leader(s: State, name: str, without: str) -> bool:
    return ("A", "B")[view_of(s, name, without) - 1] == name


def tasks(entries: list[Append | None]) -> dict[int, Task]:
    """The state of each job's task, merged from the entries by the production code."""
    states = {job: Task() for job in JOBS}
    for entry in entries:
        for job, attempt, bound in entry.facts if entry is not None else ():
            states[job] = merge_tasks(states[job], Task(MACHINE if bound else "", attempt))
    return states


def make_append(
    s: State, name: str, facts: tuple[tuple[int, int, bool], ...], without: str
) -> Append:
    node = node_of(s, name)
    return Append(name, node.number, view_of(s, name, without), facts)


def applies(s: State, append: Append, without: str) -> bool:
    live_entries = (e for i, e in enumerate(s.log) if i not in s.deleted)
    names = {(e.writer, e.number) for e in live_entries if e is not None}
    free = (append.writer, append.number) not in names
    return (without == "view" or append.view == view_at(s.log)) and (without == "name" or free)


def with_doubt(node: Node, append: Append) -> Node:
    return replace(
        node, doubt=append, ever_in_doubt=node.ever_in_doubt | {(append.number, append.view)}
    )


def delete_steps(s: State, name: str, without: str) -> Iterator[Step]:
    """Deletes own values without live facts: empty, or of attempts that have since ended."""
    node = node_of(s, name)
    if node.read < len(s.log):
        return
    states = tasks(list(s.log))
    for i, entry in enumerate(s.log):
        if entry is None or entry.writer != name or i in s.deleted:
            continue
        counts = any(
            states[job].attempt == attempt and (not bound or states[job].machine)
            for job, attempt, bound in entry.facts
        )
        kept = without != "kept" and (entry.number, view_at(s.log)) in node.ever_in_doubt
        if not counts and not kept:
            yield f"{name} drops {entry.number}", replace(s, deleted=s.deleted | {i})


def append_steps(s: State, name: str, append: Append, what: str, without: str) -> Iterator[Step]:
    """An append made now: answered, applied but unanswered, or still to be applied."""
    node = node_of(s, name)
    if applies(s, append, without):
        done = replace(s, log=(*s.log, append))
        own = replace(node, own=node.own | {len(s.log)}, number=node.number + 1, doubt=None)
        yield f"{name} {what}", with_node(done, name, own)
        yield f"{name} {what}, unanswered", with_node(done, name, with_doubt(node, append))
    if not s.late:
        held = with_node(replace(s, late=(append,)), name, with_doubt(node, append))
        yield f"{name} {what}, still to come", held


def doubt_steps(s: State, name: str, without: str) -> Iterator[Step]:
    """After an unanswered append: reads back, then occupies its key with an empty append."""
    node = node_of(s, name)
    assert node.doubt is not None
    if node.read < len(s.log):
        return  # reads back first
    positions = [i for i, e in enumerate(s.log) if e is not None and e.writer == name]
    if any(getattr(s.log[i], "number", -1) == node.number for i in positions):
        advanced = replace(node, number=node.number + 1, doubt=None)
        yield f"{name} finds it", with_node(s, name, advanced)
        return
    empty = make_append(s, name, (), without)
    if applies(s, empty, without):
        own = replace(node, own=node.own | {len(s.log)}, number=node.number + 1, doubt=None)
        yield f"{name} takes its name", with_node(replace(s, log=(*s.log, empty)), name, own)
    elif view_of(s, name, without) == view_at(s.log):
        yield f"{name} is late", s
    else:
        # The view changed: an append made under the old one fails its version condition.
        yield f"{name} sees a new view", with_node(s, name, replace(node, doubt=None))


def bind_steps(s: State, name: str, without: str) -> Iterator[Step]:
    states = tasks(visible_entries(s, name))
    used = sum(bool(task.machine) for task in states.values())
    for job, task in states.items():
        if task.machine or task.attempt >= MAX_ATTEMPTS or used:
            continue
        append = make_append(s, name, ((job, task.attempt + 1, True),), without)
        yield from append_steps(s, name, append, f"binds {job}", without)


def owner_steps(s: State, name: str, without: str) -> Iterator[Step]:
    """The owner starts bound tasks and records the ends that the machine has reported."""
    for job, task in tasks(visible_entries(s, name)).items():
        start = (job, task.attempt)
        if not task.machine:
            continue
        if start in s.exited:
            append = make_append(s, name, ((job, task.attempt, False),), without)
            yield from append_steps(s, name, append, f"ends {job}", without)
        elif start not in s.on:
            yield f"{name} starts {start}", replace(s, on=tuple(sorted((*s.on, start))))


def next_states(s: State, without: str) -> Iterator[Step]:
    for name in NODES:
        node = node_of(s, name)
        yield from delete_steps(s, name, without)
        if node.read < len(s.log):
            yield f"{name} reads", with_node(s, name, replace(node, read=node.read + 1))
        if len(s.log) >= MAX_ENTRIES:
            continue
        if node.doubt is not None:
            yield from doubt_steps(s, name, without)
        elif is_leader(s, name, without):
            yield from bind_steps(s, name, without)
            yield from owner_steps(s, name, without)
    if None not in s.log and len(s.log) < MAX_ENTRIES:
        yield "view 2", replace(s, log=(*s.log, None))
    for append in s.late:
        if applies(s, append, without) and len(s.log) < MAX_ENTRIES:
            yield "a late append", replace(s, log=(*s.log, append), late=())
    for start in s.on:
        gone = tuple(x for x in s.on if x != start)
        yield f"{start} exits", replace(s, on=gone, exited=(*s.exited, start))


def violation(s: State) -> str:
    attempts = [job for job, _ in s.on]
    if len(set(attempts)) < len(attempts):
        return "a task is there twice"
    if len(attempts) > 1:
        return "more runs than the team may run"
    durable = tasks(list(s.log))
    if sum(bool(task.machine) for task in durable.values()) > 1:
        return "more is bound than the team may run"
    return ""


def explore(without: str = "", max_states: int = 2_000_000) -> tuple[int, list[str]]:
    """Returns the number of states and the shortest path to a violation, or [] if none."""
    first = State()
    predecessors: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        if why := violation(state):
            path = [why]
            while (step := predecessors[state]) is not None:
                state, what = step
                path.append(what)
            return len(predecessors), path[::-1]
        for what, after in next_states(state, without):
            if after not in predecessors:
                predecessors[after] = (state, what)
                queue.append(after)
        if len(predecessors) > max_states:
            raise MemoryError(f"more than {max_states} states")
    return len(predecessors), []


if __name__ == "__main__":
    for guard in ("", *GUARDS):
        count, path = explore(guard)
        print(f"without {guard or 'nothing'}: {count} states", "; ".join(path), file=sys.stdout)
