"""Facts about tasks of journaled jobs, and how they are merged into a task's state.

A chunk holds the state of 32 tasks of one job and is changed by compare-and-set. A fact holds the
whole state of one task, as its writer knew it, and facts of several writers are merged instead.
`merge_tasks` is commutative, associative and idempotent, so every replica reaches the same state,
no matter in which order and how often it reads the facts (a state-based CRDT; Shapiro et al., "A
comprehensive study of Convergent and Commutative Replicated Data Types", 2011).

Task states are ordered by attempt, and within an attempt: bound, to be stopped, done but still on
its machine, ended. Only the job's single leader binds a task, and only once it sees the previous
attempt as ended. An attempt ends only on proof.
"""

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from pulleydeal.store.records import Task


class Fact(Struct, array_like=True, frozen=True):
    """The whole state of one task, as known to the node that wrote it."""

    job: str
    index: int
    task: Task


FACTS = msgspec.json.Decoder(list[Fact])
EMPTY_VALUE_B = 2  # brackets of an encoded list
SEPARATOR_B = 1  # comma between two items


def merge_tasks(one: Task, other: Task) -> Task:
    """Merges two states of the same task."""
    if one.attempt != other.attempt:
        return _normalized(one if one.attempt > other.attempt else other)
    ended = not one.machine or not other.machine
    done = one.done or other.done
    return Task(
        "" if ended else max(one.machine, other.machine),
        one.attempt,
        done,
        max(one.fails, other.fails),
        _merged_reason(one, other, ended, done),
        "" if ended else max(one.stop, other.stop),
    )


def _normalized(task: Task) -> Task:
    """Drops the reason of a task that is done and unbound: it is not needed."""
    if task.done and not task.machine and task.why:
        return msgspec.structs.replace(task, why="")
    return task


def _merged_reason(one: Task, other: Task, ended: bool, done: bool) -> str:
    """Why the attempt ended; if it has not, why the previous one did."""
    if not ended:
        return max(one.why, other.why)
    if done:
        return ""
    return max(task.why for task in (one, other) if not task.machine)


def split_into_values(facts: Iterable[Fact], value_b: int) -> list[list[Fact]]:
    """Splits the facts, in order, into lists that each encode to at most `value_b` bytes.

    A single fact that is larger gets a list of its own.
    """
    values: list[list[Fact]] = []
    size_b = value_b + 1
    for fact in facts:
        fact_b = len(msgspec.json.encode(fact)) + SEPARATOR_B
        if size_b + fact_b > value_b:
            values.append([])
            size_b = EMPTY_VALUE_B
        values[-1].append(fact)
        size_b += fact_b
    return values
