"""What goes into one append, and which facts still count: plain functions over state."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.facts import Fact, split_into_values
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import JournalValue, Replica

RESTATED = "restated"


@dataclass(slots=True)
class Batch:
    """Facts of several jobs that go into one transaction."""

    limits: Limits
    conditions: dict[str, int]
    facts: list[Fact] = field(default_factory=list)
    size_b: int = 0

    def take(self, draft: Draft) -> bool:
        """Takes a draft in as a whole; False: it has to wait for the next one."""
        conditions = self.conditions | draft.conditions
        facts = [*self.facts, *draft.facts]
        size_b = self.size_b + sum(len(msgspec.json.encode(fact)) + 1 for fact in draft.facts)
        values = len(split_into_values(facts, self.limits.value_b))
        if size_b > c.JOURNAL_APPEND_B or values > self.limits.ops:
            return False
        if len(conditions) + values > self.limits.conditions:
            return False  # the values' own names are conditions too
        self.conditions, self.facts, self.size_b = conditions, facts, size_b
        return True

    def values(self) -> list[list[Fact]]:
        """At least one, though empty: it keeps an unanswered append from being carried out."""
        return split_into_values(self.facts, self.limits.value_b) or [[]]


def is_suited(spec: r.JobSpec) -> bool:
    """Services run for days and change seldom: their facts would only be written anew. A gang that
    is larger than one draft could never be bound."""
    if spec.kind == "gang":
        return spec.tasks <= c.JOURNAL_DRAFT_CHUNKS * c.CHUNK_TASKS
    return spec.kind == "array"


def start_of(place: str) -> str:
    """Whose journal a value belongs to: the name and incarnation of a node's start."""
    return place.rpartition("/")[0]


def next_number(places: Iterable[str], start: str) -> int:
    """The first number of that start's journal after all that are there."""
    own = (place.rpartition("/") for place in places)
    return max((int(number, 16) + 1 for name, _, number in own if name == start), default=0)


def still_counts(fact: Fact, replica: Replica) -> bool:
    """Whether anything would be forgotten without this fact.

    Where the task's state is what one fact says, that fact is enough; where several had to be
    combined for it, all facts of the attempt are. Once the job's record is slim, nobody asks.
    """
    job = replica.jobs.get(fact.job)
    if job is None or job.record is None:
        return True  # a job that is not known yet
    if job.record.spec is None:
        return False
    state = job.task(fact.index)
    if replica.is_merged(fact.job, fact.index):
        return state.attempt == fact.task.attempt
    return state == fact.task


def is_abandoned(start: str, members: dict[str, str]) -> bool:
    """Whether that start of a node is no member, and so appends nothing any more.

    Values that were written anew belong to no start: `RESTATED` is no incarnation.
    """
    node, _, incarnation = start.rpartition(".")
    return members.get(node) != incarnation


@dataclass(frozen=True, slots=True)
class Tidying:
    """Values that can go, and facts in them that must be written anew in the same transaction."""

    drops: dict[str, int]  # place -> its version
    restated: list[Fact]


def tidying(
    journals: dict[str, JournalValue],
    mine: Callable[[str], bool],
    replica: Replica,
    limits: Limits,
) -> Tidying | None:
    """What to drop next of the journals that are this node's to look after; None: nothing.

    Values without a fact that counts go first. Only when a journal is long its oldest are written
    anew: work that runs for days holds few facts, each in a value that nothing else keeps.
    """
    places = sorted(place for place in journals if mine(start_of(place)))
    counting = {
        place: [fact for fact in journals[place].facts if still_counts(fact, replica)]
        for place in places
    }
    empty = [place for place in places if not counting[place]][: limits.ops - 1]
    if empty:
        return Tidying({place: journals[place].version for place in empty}, [])
    if len(places) <= c.JOURNAL_KEEP:
        return None
    return _oldest(places, counting, journals, limits)


def _oldest(
    places: list[str],
    counting: dict[str, list[Fact]],
    journals: dict[str, JournalValue],
    limits: Limits,
) -> Tidying | None:
    """The oldest values that fit together into fewer than they are."""
    oldest = sorted(places, key=lambda place: journals[place].version)[: c.JOURNAL_RESTATED]
    facts = [fact for place in oldest for fact in counting[place]]
    new = len(split_into_values(facts, limits.value_b))
    if new >= len(oldest) or new + len(oldest) > limits.ops:
        return None
    return Tidying({place: journals[place].version for place in oldest}, facts)


def conditions_of(tidy: Tidying, view_version: int) -> dict[str, int]:
    found = {f"{r.JOURNAL_PREFIX}{place}": version for place, version in tidy.drops.items()}
    return found | {r.VIEW_KEY: view_version}
