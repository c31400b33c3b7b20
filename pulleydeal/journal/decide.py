"""Append batching and journal compaction decisions, as pure functions over the replica."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.facts import Fact, split_into_values
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import JournalValue, Replica

REWRITTEN = "restated"


@dataclass(slots=True)
class Batch:
    """Facts of several jobs to be written in one transaction."""

    limits: Limits
    conditions: dict[str, int]
    facts: list[Fact] = field(default_factory=list)
    size_b: int = 0

    def add(self, draft: Draft) -> bool:
        """Adds a whole draft. Returns False, changing nothing, if it exceeds the limits."""
        conditions = self.conditions | draft.conditions
        facts = [*self.facts, *draft.facts]
        size_b = self.size_b + sum(len(msgspec.json.encode(fact)) + 1 for fact in draft.facts)
        values = len(split_into_values(facts, self.limits.value_b))
        if size_b > c.JOURNAL_APPEND_B or values > self.limits.ops:
            return False
        if len(conditions) + values > self.limits.conditions:
            return False  # each value's own key is a condition too
        self.conditions, self.facts, self.size_b = conditions, facts, size_b
        return True

    def values(self) -> list[list[Fact]]:
        """The packed values. There is at least one, possibly empty: writing it under the key of an
        append in doubt prevents that append from being applied later."""
        return split_into_values(self.facts, self.limits.value_b) or [[]]


def is_eligible(spec: r.JobSpec) -> bool:
    """Whether a job may be journaled.

    Services are excluded: they run for days and rarely change, so compaction would only rewrite
    their facts. Gangs that exceed one draft are excluded because they could never be bound.
    """
    if spec.kind == "gang":
        return spec.tasks <= c.JOURNAL_DRAFT_CHUNKS * c.CHUNK_TASKS
    return spec.kind == "array"


def writer_of(value_id: str) -> str:
    """The writer that a value belongs to: node name and incarnation, `NODE.INCARNATION`."""
    return value_id.rpartition("/")[0]


def next_sequence(value_ids: Iterable[str], writer: str) -> int:
    """The next free sequence number in the writer's journal."""
    own = (value_id.rpartition("/") for value_id in value_ids)
    return max((int(number, 16) + 1 for name, _, number in own if name == writer), default=0)


def is_live(fact: Fact, replica: Replica) -> bool:
    """Whether the fact is needed to reconstruct its task's state.

    If the state equals a single fact, only that fact is live; if it was joined from several, every
    fact of the current attempt is live. Once the job's record is slim, none is.
    """
    job = replica.jobs.get(fact.job)
    if job is None or job.record is None:
        return True  # the job's record has not been read yet
    if job.record.spec is None:
        return False
    state = job.task(fact.index)
    if replica.is_merged(fact.job, fact.index):
        return state.attempt == fact.task.attempt
    return state == fact.task


def is_abandoned(writer: str, members: dict[str, str]) -> bool:
    """Whether the writer is not a current member, and so appends no more.

    Always true for rewritten values: their writer ends in `.restated`, which is no incarnation.
    """
    node, _, incarnation = writer.rpartition(".")
    return members.get(node) != incarnation


@dataclass(frozen=True, slots=True)
class Compaction:
    """Values to delete, and their live facts to rewrite in the same transaction."""

    deletes: dict[str, int]  # value id -> its version
    rewritten: list[Fact]


def plan_compaction(
    journals: dict[str, JournalValue],
    is_responsible: Callable[[str], bool],
    replica: Replica,
    limits: Limits,
) -> Compaction | None:
    """The next compaction of the journals that this node is responsible for, or None.

    Values without live facts are deleted first. The oldest values are rewritten only when more than
    `JOURNAL_KEEP` remain: long-running tasks have few facts, but each keeps a whole value alive.
    """
    value_ids = sorted(value_id for value_id in journals if is_responsible(writer_of(value_id)))
    live = {
        value_id: [fact for fact in journals[value_id].facts if is_live(fact, replica)]
        for value_id in value_ids
    }
    empty = [value_id for value_id in value_ids if not live[value_id]][: limits.ops - 1]
    if empty:
        return Compaction({value_id: journals[value_id].version for value_id in empty}, [])
    if len(value_ids) <= c.JOURNAL_KEEP:
        return None
    return _rewrite_oldest(value_ids, live, journals, limits)


def _rewrite_oldest(
    value_ids: list[str],
    live: dict[str, list[Fact]],
    journals: dict[str, JournalValue],
    limits: Limits,
) -> Compaction | None:
    """Rewrites the oldest values, if their live facts fit into fewer values."""
    oldest = sorted(value_ids, key=lambda value_id: journals[value_id].version)[
        : c.JOURNAL_RESTATED
    ]
    facts = [fact for value_id in oldest for fact in live[value_id]]
    rewritten_count = len(split_into_values(facts, limits.value_b))
    if rewritten_count >= len(oldest) or rewritten_count + len(oldest) > limits.ops:
        return None
    return Compaction({value_id: journals[value_id].version for value_id in oldest}, facts)


def compaction_conditions(compaction: Compaction, view_version: int) -> dict[str, int]:
    conditions = {
        f"{r.JOURNAL_PREFIX}{value_id}": version for value_id, version in compaction.deletes.items()
    }
    return conditions | {r.VIEW_KEY: view_version}
