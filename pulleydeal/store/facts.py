"""Facts about tasks of journaled jobs, and how they combine into a task's state.

A chunk holds the state of 32 tasks of one job, and is changed by compare-and-set. A fact holds the
whole state of one task, as its writer knew it, and several writers' facts are combined instead:
`joined` is commutative, associative and idempotent, so a copy comes to the same state in whatever
order it reads them and however often (a state-based replicated data type; Shapiro et al., "A
comprehensive study of Convergent and Commutative Replicated Data Types", 2011).

A task's states are ordered by its attempt: bound, to be stopped, done while still there, ended;
then the next attempt. Only the job's one leader binds, and only what it sees as ended; only proof
ends.
"""

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from pulleydeal.store.records import Task


class Fact(Struct, array_like=True, frozen=True):
    job: str
    index: int
    task: Task


FACTS = msgspec.json.Decoder(list[Fact])
EMPTY_VALUE_B = 2  # of an encoded list: its brackets
SEPARATOR_B = 1  # between two of its items


def joined(one: Task, other: Task) -> Task:
    """The state that both facts together tell."""
    if one.attempt != other.attempt:
        return _settled(one if one.attempt > other.attempt else other)
    ended = not one.machine or not other.machine
    done = one.done or other.done
    return Task(
        "" if ended else max(one.machine, other.machine),
        one.attempt,
        done,
        max(one.fails, other.fails),
        _why(one, other, ended, done),
        "" if ended else max(one.stop, other.stop),
    )


def _settled(task: Task) -> Task:
    """What is done and gone did not end for a reason that anybody asks for."""
    if task.done and not task.machine and task.why:
        return msgspec.structs.replace(task, why="")
    return task


def _why(one: Task, other: Task, ended: bool, done: bool) -> str:
    """Why the attempt ended; while it has not, why the one before did."""
    if not ended:
        return max(one.why, other.why)
    if done:
        return ""
    return max(task.why for task in (one, other) if not task.machine)


def packed(facts: Iterable[Fact], value_b: int) -> list[list[Fact]]:
    """The facts in values of at most `value_b` bytes each, in their order."""
    values: list[list[Fact]] = []
    size = value_b + 1
    for fact in facts:
        more = len(msgspec.json.encode(fact)) + SEPARATOR_B
        if size + more > value_b:
            values.append([])
            size = EMPTY_VALUE_B
        values[-1].append(fact)
        size += more
    return values
