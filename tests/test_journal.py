"""Facts of journaled jobs: merging, append batching, retries after lost answers, and compaction."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal.journal import decide
from pulleydeal.journal.service import Journal
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown
from pulleydeal.store.draft import Draft
from pulleydeal.store.facts import FACTS, Fact, merge_tasks, split_into_values
from pulleydeal.store.limits import Limits
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Backoff
from pulleydeal.workers.changes import apply_exit, apply_stop
from pulleydeal.workers.tracked_machine import Exit
from tests import production
from tests.model import journal as model

LIMITS = Limits(8 * 1024 - c.VALUE_SPARE_B, 32)
SPEC = r.JobSpec("j-1", "c", "t", "array", 1, 40, 1.0, 1.0, 1.0, "img", 1.0)
# Task states that can be written: bound to a machine or not, in attempt 1 or 2.
STATES = [
    r.Task(),
    *(
        r.Task(machine, attempt, done, fails, why, stop if machine else "")
        for machine in ("", "vm-1")
        for attempt in (1, 2)
        for done in (False, True)
        for fails in (0, 1)
        for why in ("", "lost")
        for stop in ("", "asked")
        if machine or not stop
    ),
]


# --- merging facts -------------------------------------------------------------------------------
def test_facts_combine_in_any_order_and_any_number_of_times() -> None:
    """Exhaustive over pairs and triples of states: the merge must be commutative, associative and
    idempotent, or replicas that read facts in different orders would diverge."""
    states = [merge_tasks(r.Task(), state) for state in STATES]
    for one, other in itertools.product(states, repeat=2):
        both = merge_tasks(one, other)
        assert both == merge_tasks(other, one)
        assert merge_tasks(both, one) == both == merge_tasks(both, other)
    for one, two, three in itertools.product(states, repeat=3):
        assert merge_tasks(merge_tasks(one, two), three) == merge_tasks(
            one, merge_tasks(two, three)
        )


def test_ended_and_done_are_final_within_an_attempt() -> None:
    for one, other in itertools.product(STATES, repeat=2):
        both = merge_tasks(one, other)
        same = [task for task in (one, other) if task.attempt == both.attempt]
        assert both.attempt == max(one.attempt, other.attempt)
        assert both.done == any(task.done for task in same)
        assert bool(both.machine) == all(task.machine for task in same)


def replica_with_job(*tasks: r.Task, kind: str = "array", status: str = "journal-open") -> Replica:
    replica = Replica()
    replica.loaded = True
    spec = msgspec.structs.replace(SPEC, kind=kind, tasks=len(tasks))
    record = r.JobRecord(status, len(tasks), 1.0, spec)  # type: ignore[arg-type]
    put(replica, 1, {r.job_key("j-1"): record})
    put(replica, 2, {"p/l/n.1/00000000": [Fact("j-1", i, t) for i, t in enumerate(tasks)]})
    return replica


def put(replica: Replica, version: int, values: dict[str, object]) -> None:
    events = [
        m.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        for key, value in values.items()
    ]
    replica.apply(m.Changes(version, events))


def make_draft(replica: Replica, change: Callable[[Draft], None]) -> Draft:
    draft = Draft(replica.jobs["j-1"], replica, LIMITS, 5.0)
    change(draft)
    draft.finish()
    return draft


def ended(outcome: str, index: int = 0, attempt: int = 1) -> Callable[[Draft], None]:
    machine_exit = Exit("j-1", index, attempt, "vm-1", outcome, "why")
    return lambda draft: apply_exit(draft, machine_exit)


def test_each_change_of_a_task_supersedes_the_state_it_was_made_from() -> None:
    bound = r.Task("vm-1", 1)
    changes = [ended("done"), ended("lost"), ended("error")]
    changes.append(lambda draft: apply_stop(draft, 0, 1, "asked"))
    for change in changes:
        replica = replica_with_job(bound)
        facts = make_draft(replica, change).facts
        assert facts
        for fact in facts:
            assert merge_tasks(bound, fact.task) == fact.task != bound


def test_a_done_gang_member_stays_done_whichever_owner_writes_its_end() -> None:
    """Two owners write concurrently: one that the whole gang is done, one that its member ended."""
    replica = replica_with_job(r.Task("vm-1", 1), r.Task("vm-1", 1), kind="gang")
    first = make_draft(replica, ended("done", 0)).facts
    second = make_draft(replica, ended("stopped", 1)).facts
    for order in itertools.permutations([first, second]):
        copy = replica_with_job(r.Task("vm-1", 1), r.Task("vm-1", 1), kind="gang")
        for i, facts in enumerate(order):
            put(copy, 3 + i, {f"p/l/n.{i}/00000001": facts})
        assert copy.jobs["j-1"].done == 2 and not copy.jobs["j-1"].bound


# --- the replica ---------------------------------------------------------------------------------
def test_facts_read_before_their_job_are_not_lost() -> None:
    """During a load, journal values may be newer than the job records already read."""
    replica = Replica()
    replica.begin_load()
    value = msgspec.Raw(msgspec.json.encode([Fact("j-1", 3, r.Task("vm-1", 1))]))
    replica.load([m.Entry("p/l/n.1/00000000", value, 7)])
    replica.end_load(5)
    put(replica, 6, {r.job_key("j-1"): r.JobRecord("journal-open", 40, 1.0, SPEC)})
    assert replica.jobs["j-1"].task(3) == r.Task("vm-1", 1)
    assert replica.tasks_by_machine == {"vm-1": {("j-1", 3): r.Task("vm-1", 1)}}
    assert replica.usage() == {"t": (1.0, 1.0)}


# Guards against memory that grows for ever: facts of jobs that never were stayed in every node.
def test_facts_of_a_job_that_never_comes_are_dropped() -> None:
    replica = Replica()
    replica.end_load(5)
    for version in range(6, 26):
        put(
            replica,
            version,
            {f"p/l/n.1/{version:08x}": [Fact(f"j-{version}", 0, r.Task("vm-1", 1))]},
        )
        replica.apply(m.Changes(version, []))
    assert not replica._facts._before_job and len(replica.journals) == 20
    put(replica, 26, {r.job_key("j-1"): r.JobRecord("journal-open", 1, 1.0, SPEC)})
    assert not replica.tasks_by_machine


def test_late_facts_of_an_ended_job_restore_no_bindings() -> None:
    replica = replica_with_job(r.Task("", 1, True))
    put(replica, 3, {r.job_key("j-1"): r.JobRecord("done", 1, 1.0)})
    put(replica, 4, {"p/l/n.2/00000000": [Fact("j-1", 0, r.Task("vm-1", 1))]})
    assert not replica.tasks_by_machine and not replica.jobs["j-1"].bound


def test_replicas_converge_whatever_order_they_read_values_in() -> None:
    rng = random.Random(5)
    values = [[Fact("j-1", i % 40, rng.choice(STATES[1:])) for i in range(30)] for _ in range(8)]
    seen = set()
    for _ in range(20):
        rng.shuffle(values)
        replica = replica_with_job(*[r.Task()] * 40)
        for i, value in enumerate(values):
            put(replica, 3 + i, {f"p/l/n.2/{i:08x}": value})
        tasks = [replica.jobs["j-1"].task(i) for i in range(40)]
        seen.add(msgspec.json.encode(tasks))
        on = Counter(t.machine for t in tasks if t.machine)
        assert {machine: len(b) for machine, b in replica.tasks_by_machine.items()} == dict(on)
    assert len(seen) == 1


# --- compaction ----------------------------------------------------------------------------------
def tasks_loaded_from(values: dict[str, list[Fact]], tasks: int) -> list[r.Task]:
    replica = replica_with_job(*[r.Task()] * tasks)
    for i, (key, value) in enumerate(values.items()):
        put(replica, 10 + i, {key: value})
    return [replica.jobs["j-1"].task(i) for i in range(tasks)]


def test_deleting_facts_that_are_not_live_loses_no_state() -> None:
    """Random histories: loading only the live facts gives the same tasks as loading all of them."""
    rng = random.Random(7)
    for _ in range(200):
        replica = replica_with_job(*[r.Task()] * 3)
        values: dict[str, list[Fact]] = {}
        for i in range(rng.randrange(1, 8)):
            facts = [Fact("j-1", rng.randrange(3), rng.choice(STATES[1:])) for _ in range(2)]
            values[f"p/l/n.2/{i:08x}"] = facts
            put(replica, 3 + i, {f"p/l/n.2/{i:08x}": facts})
        kept = {
            key: [fact for fact in facts if decide.is_live(fact, replica)]
            for key, facts in values.items()
        }
        assert tasks_loaded_from(kept, 3) == [replica.jobs["j-1"].task(i) for i in range(3)]


def test_values_of_ended_jobs_are_deleted_and_long_journals_are_rewritten() -> None:
    replica = replica_with_job(*[r.Task()] * 40)
    for i in range(c.JOURNAL_KEEP + 5):
        put(replica, 3 + i, {f"p/l/n.2/{i:08x}": [Fact("j-1", i % 40, r.Task("vm-1", 1 + i))]})

    def is_responsible(writer: str) -> bool:
        return writer == "n.2"

    first = decide.plan_compaction(replica.journals, is_responsible, replica, LIMITS)
    assert first is not None and not first.rewritten  # 93 of the 133 values hold no live fact
    assert 0 < len(first.deletes) <= LIMITS.ops
    for i in range(40):
        fact = Fact("j-1", i, r.Task("vm-1", 900 + i))
        values = {f"p/l/n.2/{0x1000 + k * 64 + i:08x}": [fact] for k in range(4)}
        put(replica, 1000 + i, values)  # four copies of the same fact: all are live
    while (
        compaction := decide.plan_compaction(replica.journals, is_responsible, replica, LIMITS)
    ) and not compaction.rewritten:
        for value_id in compaction.deletes:
            replica.apply(m.Changes(5000, [m.Event(5000, None, f"p/l/{value_id}")]))
    assert compaction is not None and len(compaction.deletes) == c.JOURNAL_RESTATED
    assert len(split_into_values(compaction.rewritten, LIMITS.value_b)) == 1
    put(replica, 6000, {r.job_key("j-1"): r.JobRecord("done", 40, 1.0)})
    over = decide.plan_compaction(replica.journals, is_responsible, replica, LIMITS)
    assert over is not None and not over.rewritten


def test_which_jobs_are_eligible_for_journaling() -> None:
    def eligible(kind: str, tasks: int) -> bool:
        return decide.is_eligible(msgspec.structs.replace(SPEC, kind=kind, tasks=tasks))

    assert eligible("array", 100_000) and eligible("gang", 128) and eligible("gang", 384)
    assert not eligible("gang", 385) and not eligible("service", 3)


def test_the_writer_and_next_sequence_number_of_a_journal() -> None:
    members = {"winch.0": "abc"}
    assert decide.writer_of("winch.0.abc/0000001f") == "winch.0.abc"
    assert not decide.is_abandoned("winch.0.abc", members)
    assert decide.is_abandoned("winch.0.abd", members)
    assert decide.is_abandoned("winch.0.abc.restated", members)
    assert decide.next_sequence(["n.1/00000004", "n.2/00000009", "n.1/0000000a"], "n.1") == 11


# --- one append ----------------------------------------------------------------------------------
def test_an_append_is_filled_up_to_the_limits() -> None:
    batch = decide.Batch(LIMITS, {r.VIEW_KEY: 1})
    jobs = 0
    while True:
        replica = replica_with_job(*[r.Task("vm-1", 1)] * 4)
        draft = make_draft(replica, ended("lost", jobs % 4))
        draft.conditions = {f"p/j/j-{jobs}": 1, r.VIEW_KEY: 1}
        if not batch.add(draft):
            break
        jobs += 1
    assert jobs == LIMITS.conditions - 2  # the view, each job, and the value's own key
    assert len(batch.values()) == 1 and len(batch.facts) == jobs
    small = decide.Batch(Limits(2 * 1024, 4), {r.VIEW_KEY: 1})
    large = replica_with_job(*[r.Task("vm-1", 1)] * 384)
    many = make_draft(large, lambda draft: [ended("lost", i)(draft) for i in range(384)] and None)
    assert len(many.facts) == 384 and not small.add(many) and not small.facts


def test_values_are_filled_in_order() -> None:
    facts = [Fact(f"j-{i}", i, r.Task("vm-000001", i)) for i in range(500)]
    values = split_into_values(facts, LIMITS.value_b)
    assert [fact for value in values for fact in value] == facts
    sizes = [len(msgspec.json.encode(value)) for value in values]
    assert max(sizes) <= LIMITS.value_b and min(sizes[:-1]) > 0.98 * LIMITS.value_b
    assert FACTS.decode(msgspec.json.encode(values[0])) == values[0]


class SingleNode:
    """A journal over a fake state service that loses or delays commits as planned."""

    def __init__(self, *tasks: r.Task) -> None:
        self.replica = replica_with_job(*tasks)
        self.limits, self.client = LIMITS, self
        self.me, self.incarnation, self.is_member = "n", "1", True
        self.view = r.View(1, {"n": "1"})
        self.keys = dict.fromkeys(["p/j/j-1"], 1) | {"p/l/n.1/00000000": 2}
        self.revision = 2
        self.outcomes: list[str] = []  # outcomes of the next commits
        self.delayed: list[tuple[dict[str, int], dict[str, object]]] = []
        self.journal = Journal(self, self, Backoff(random.Random(1)))  # type: ignore[arg-type]
        self.journal._next_sequence = 1

    async def wait_for_write_slot(self, _: WritePriority) -> None:
        return

    async def ensure_fresh(self) -> None:
        return

    def apply(
        self, conditions: dict[str, int], puts: dict[str, object], drops: Sequence[str] = ()
    ) -> bool:
        if any(self.keys.get(key, 0) != mark for key, mark in conditions.items()):
            return False
        self.revision += 1
        self.keys |= dict.fromkeys(puts, self.revision)
        put(self.replica, self.revision, puts)
        for key in drops:
            del self.keys[key]
            self.replica.apply(m.Changes(self.revision, [m.Event(self.revision, None, key)]))
        return True

    async def commit(
        self,
        conditions: dict[str, int],
        puts: dict[str, Any],
        drops: Sequence[str] = (),
        **_: object,
    ) -> bool:
        outcome = self.outcomes.pop(0) if self.outcomes else "answered"
        if outcome == "late":
            self.delayed.append((conditions, puts))
            raise OutcomeUnknown("no answer")
        done = self.apply(conditions, puts, drops)
        if outcome == "unanswered":
            raise OutcomeUnknown("no answer")
        return done

    def leads(self, _: str) -> bool:
        return True

    def append(self, change: Callable[[Draft], None]) -> bool:
        def make() -> Draft:
            return make_draft(self.replica, change)

        async def run() -> bool:
            async with asyncio.timeout(5.0):
                return await self.journal.append("j-1", make, WritePriority.NORMAL)

        return asyncio.run(run())


def journal_keys(node: SingleNode) -> list[str]:
    return sorted(key for key in node.keys if key.startswith("p/l/"))


def test_an_append_whose_answer_was_lost_is_not_repeated() -> None:
    node = SingleNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.outcomes = ["unanswered"]
    assert node.append(ended("lost"))
    assert len(journal_keys(node)) == 2 and not node.replica.jobs["j-1"].task(0).machine
    assert node.append(ended("lost", 1)) and len(journal_keys(node)) == 3


def test_a_late_append_in_doubt_is_prevented_by_an_empty_value() -> None:
    """By the time a late append is applied, its bindings are no longer accounted for."""
    node = SingleNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.outcomes = ["late"]
    pending_changes = [True]

    def change_once(draft: Draft) -> None:
        """Writes a fact on the first try only, like a hold that has expired by the second."""
        if pending_changes.pop() if pending_changes else False:
            ended("lost")(draft)

    assert node.append(change_once)
    assert len(journal_keys(node)) == 2  # an empty value occupies its key
    assert [node.apply(*delayed) for delayed in node.delayed] == [False]
    assert node.replica.jobs["j-1"].task(0).machine == "vm-1"
    assert node.append(ended("lost")) and not node.replica.jobs["j-1"].task(0).machine


def test_the_value_that_prevents_a_late_append_is_kept_while_the_append_is_possible(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The value is empty, so it has no live facts; deleting it would free its key for the late
    append."""
    monkeypatch.setattr(c, "JOURNAL_TIDY_S", 0.0)
    node = SingleNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.outcomes = ["late"]
    pending_changes = [True]

    def change_once(draft: Draft) -> None:
        if pending_changes.pop() if pending_changes else False:
            ended("lost")(draft)

    assert node.append(change_once) and len(journal_keys(node)) == 2
    for _ in range(3):
        asyncio.run(node.journal.compact())
    assert [node.apply(*delayed) for delayed in node.delayed] == [False]
    assert len(journal_keys(node)) == 2
    put(node.replica, 50, {r.VIEW_KEY: r.View(2, {"n": "1"})})
    node.keys[r.VIEW_KEY] = 50  # made under the previous view, it can no longer be applied
    asyncio.run(node.journal.compact())
    assert len(journal_keys(node)) == 1
    assert [node.apply(*delayed) for delayed in node.delayed] == [False]


def test_facts_of_a_job_whose_version_changed_are_not_written() -> None:
    node = SingleNode(r.Task("vm-1", 1))
    node.keys["p/j/j-1"] = 9  # cancelled by another node; the replica does not show it yet
    assert not node.append(ended("lost")) and len(journal_keys(node)) == 1


def test_an_append_made_under_an_older_view_is_not_written() -> None:
    """Its writer may no longer lead the job or own the machine."""
    node = SingleNode(r.Task("vm-1", 1))
    node.keys[r.VIEW_KEY] = 9  # changed; the replica does not show it yet
    assert not node.append(ended("lost")) and len(journal_keys(node)) == 1


# --- the model -----------------------------------------------------------------------------------
TRACE = Path(__file__).parent / "traces" / "journal_model.txt"


def test_the_model_holds_for_every_order_of_events_and_needs_each_guard() -> None:
    count, way = model.explore()
    assert not way and count > 10_000
    found = [
        f"without the guard that {why}: {'; '.join(model.explore(guard)[1])}"
        for guard, why in model.GUARDS.items()
    ]
    assert TRACE.read_text().splitlines() == found


# --- records and older versions ------------------------------------------------------------------
def test_a_version_without_the_journal_cannot_decode_journaled_jobs() -> None:
    """Otherwise it would take the tasks for never started. A node that cannot load the state does
    not become a member."""
    for status in ("open", "cancelled", "done"):
        written = r.stored_status(status, True)  # type: ignore[arg-type]
        encoded = msgspec.json.encode(r.JobRecord(written, 1, 1.0, SPEC))
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(encoded, type=production.JobRecord)
    slim = msgspec.json.encode(r.JobRecord("done", 1, 1.0))
    assert msgspec.json.decode(slim, type=production.JobRecord).status == "done"


def test_a_journaled_job_ends_in_two_steps_and_leaves_one_slim_record() -> None:
    replica = replica_with_job(r.Task("", 1, True))
    first = make_draft(replica, lambda draft: None)
    assert first.puts[r.job_key("j-1")].status == "journal-done"  # type: ignore[attr-defined]
    put(replica, 3, first.puts)
    replica.jobs["j-1"].version = 9  # its own commit, not yet received through the watch
    assert not make_draft(replica, lambda draft: None).puts
    replica.jobs["j-1"].version = 3
    last = make_draft(replica, lambda draft: None).puts[r.job_key("j-1")]
    assert last == r.JobRecord("done", 1, 1.0, None, 5.0)
