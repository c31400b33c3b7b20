"""Facts of journaled jobs: how they combine, what an append holds, and what may be dropped."""

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
# Every state that a task of three attempts on two machines can be written in.
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


# --- how facts combine ---------------------------------------------------------------------------
def test_facts_combine_in_any_order_and_any_number_of_times() -> None:
    """Exhaustive over pairs and triples of states: a join, so copies that read alike are alike."""
    settled = [merge_tasks(r.Task(), state) for state in STATES]
    for one, other in itertools.product(settled, repeat=2):
        both = merge_tasks(one, other)
        assert both == merge_tasks(other, one)
        assert merge_tasks(both, one) == both == merge_tasks(both, other)
    for one, two, three in itertools.product(settled, repeat=3):
        assert merge_tasks(merge_tasks(one, two), three) == merge_tasks(
            one, merge_tasks(two, three)
        )


def test_what_is_proved_gone_or_done_stays_so_within_its_attempt() -> None:
    for one, other in itertools.product(STATES, repeat=2):
        both = merge_tasks(one, other)
        same = [task for task in (one, other) if task.attempt == both.attempt]
        assert both.attempt == max(one.attempt, other.attempt)
        assert both.done == any(task.done for task in same)
        assert bool(both.machine) == all(task.machine for task in same)


def a_job(*tasks: r.Task, kind: str = "array", status: str = "journal-open") -> Replica:
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


def drafted(replica: Replica, change: Callable[[Draft], None]) -> Draft:
    draft = Draft(replica.jobs["j-1"], replica, LIMITS, 5.0)
    change(draft)
    draft.finish()
    return draft


def ended(outcome: str, index: int = 0, attempt: int = 1) -> Callable[[Draft], None]:
    gone = Exit("j-1", index, attempt, "vm-1", outcome, "why")
    return lambda draft: apply_exit(draft, gone)


def test_each_change_of_a_task_says_more_than_what_it_was_made_from() -> None:
    bound = r.Task("vm-1", 1)
    changes = [ended("done"), ended("lost"), ended("error")]
    changes.append(lambda draft: apply_stop(draft, 0, 1, "asked"))
    for change in changes:
        replica = a_job(bound)
        facts = drafted(replica, change).facts
        assert facts
        for fact in facts:
            assert merge_tasks(bound, fact.task) == fact.task != bound


def test_a_gang_member_that_is_done_stays_done_whoever_writes_its_end() -> None:
    """Two owners write at the same moment: one that all are done, one that its member is gone."""
    replica = a_job(r.Task("vm-1", 1), r.Task("vm-1", 1), kind="gang")
    first = drafted(replica, ended("done", 0)).facts
    second = drafted(replica, ended("stopped", 1)).facts
    for order in itertools.permutations([first, second]):
        copy = a_job(r.Task("vm-1", 1), r.Task("vm-1", 1), kind="gang")
        for i, facts in enumerate(order):
            put(copy, 3 + i, {f"p/l/n.{i}/00000001": facts})
        assert copy.jobs["j-1"].done == 2 and not copy.jobs["j-1"].bound


# --- the copy ------------------------------------------------------------------------------------
def test_facts_that_are_read_before_their_job_are_not_lost() -> None:
    """On a load the values may be newer than what was read of the jobs."""
    replica = Replica()
    replica.begin_load()
    value = msgspec.Raw(msgspec.json.encode([Fact("j-1", 3, r.Task("vm-1", 1))]))
    replica.load([m.Entry("p/l/n.1/00000000", value, 7)])
    replica.end_load(5)
    put(replica, 6, {r.job_key("j-1"): r.JobRecord("journal-open", 40, 1.0, SPEC)})
    assert replica.jobs["j-1"].task(3) == r.Task("vm-1", 1)
    assert replica.tasks_by_machine == {"vm-1": {("j-1", 3): r.Task("vm-1", 1)}}
    assert replica.usage() == {"t": (1.0, 1.0)}


def test_late_facts_of_a_job_that_is_over_bring_nothing_back() -> None:
    replica = a_job(r.Task("", 1, True))
    put(replica, 3, {r.job_key("j-1"): r.JobRecord("done", 1, 1.0)})
    put(replica, 4, {"p/l/n.2/00000000": [Fact("j-1", 0, r.Task("vm-1", 1))]})
    assert not replica.tasks_by_machine and not replica.jobs["j-1"].bound


def test_copies_come_to_the_same_state_in_whatever_order_they_read() -> None:
    rng = random.Random(5)
    values = [[Fact("j-1", i % 40, rng.choice(STATES[1:])) for i in range(30)] for _ in range(8)]
    seen = set()
    for _ in range(20):
        rng.shuffle(values)
        replica = a_job(*[r.Task()] * 40)
        for i, value in enumerate(values):
            put(replica, 3 + i, {f"p/l/n.2/{i:08x}": value})
        tasks = [replica.jobs["j-1"].task(i) for i in range(40)]
        seen.add(msgspec.json.encode(tasks))
        on = Counter(t.machine for t in tasks if t.machine)
        assert {machine: len(b) for machine, b in replica.tasks_by_machine.items()} == dict(on)
    assert len(seen) == 1


# --- what may be dropped -------------------------------------------------------------------------
def loaded_from(values: dict[str, list[Fact]], tasks: int) -> list[r.Task]:
    replica = a_job(*[r.Task()] * tasks)
    for i, (key, value) in enumerate(values.items()):
        put(replica, 10 + i, {key: value})
    return [replica.jobs["j-1"].task(i) for i in range(tasks)]


def test_dropping_what_counts_no_more_forgets_nothing() -> None:
    """Drawn histories: a copy made from what is kept is the copy made from all."""
    rng = random.Random(7)
    for _ in range(200):
        replica = a_job(*[r.Task()] * 3)
        values: dict[str, list[Fact]] = {}
        for i in range(rng.randrange(1, 8)):
            facts = [Fact("j-1", rng.randrange(3), rng.choice(STATES[1:])) for _ in range(2)]
            values[f"p/l/n.2/{i:08x}"] = facts
            put(replica, 3 + i, {f"p/l/n.2/{i:08x}": facts})
        kept = {
            key: [fact for fact in facts if decide.still_counts(fact, replica)]
            for key, facts in values.items()
        }
        assert loaded_from(kept, 3) == [replica.jobs["j-1"].task(i) for i in range(3)]


def test_values_of_jobs_that_are_over_go_and_long_journals_are_written_anew() -> None:
    replica = a_job(*[r.Task()] * 40)
    for i in range(c.JOURNAL_KEEP + 5):
        put(replica, 3 + i, {f"p/l/n.2/{i:08x}": [Fact("j-1", i % 40, r.Task("vm-1", 1 + i))]})

    def mine(start: str) -> bool:
        return start == "n.2"

    first = decide.tidying(replica.journals, mine, replica, LIMITS)
    assert first is not None and not first.restated  # 93 of 133 say nothing that counts any more
    assert 0 < len(first.drops) <= LIMITS.ops
    for i in range(40):
        fact = Fact("j-1", i, r.Task("vm-1", 900 + i))
        values = {f"p/l/n.2/{0x1000 + k * 64 + i:08x}": [fact] for k in range(4)}
        put(replica, 1000 + i, values)  # the same said four times: all of it counts
    while (tidy := decide.tidying(replica.journals, mine, replica, LIMITS)) and not tidy.restated:
        for place in tidy.drops:
            replica.apply(m.Changes(5000, [m.Event(5000, None, f"p/l/{place}")]))
    assert tidy is not None and len(tidy.drops) == c.JOURNAL_RESTATED
    assert len(split_into_values(tidy.restated, LIMITS.value_b)) == 1
    put(replica, 6000, {r.job_key("j-1"): r.JobRecord("done", 40, 1.0)})
    over = decide.tidying(replica.journals, mine, replica, LIMITS)
    assert over is not None and not over.restated


def test_which_jobs_are_journaled() -> None:
    def suited(kind: str, tasks: int) -> bool:
        return decide.is_suited(msgspec.structs.replace(SPEC, kind=kind, tasks=tasks))

    assert suited("array", 100_000) and suited("gang", 128) and suited("gang", 384)
    assert not suited("gang", 385) and not suited("service", 3)


def test_whose_journal_is_whose() -> None:
    members = {"winch.0": "abc"}
    assert decide.start_of("winch.0.abc/0000001f") == "winch.0.abc"
    assert not decide.is_abandoned("winch.0.abc", members)
    assert decide.is_abandoned("winch.0.abd", members)
    assert decide.is_abandoned("winch.0.abc.restated", members)
    assert decide.next_number(["n.1/00000004", "n.2/00000009", "n.1/0000000a"], "n.1") == 11


# --- one append ----------------------------------------------------------------------------------
def test_an_append_holds_as_much_as_the_limits_allow_and_no_more() -> None:
    batch = decide.Batch(LIMITS, {r.VIEW_KEY: 1})
    jobs = 0
    while True:
        replica = a_job(*[r.Task("vm-1", 1)] * 4)
        draft = drafted(replica, ended("lost", jobs % 4))
        draft.conditions = {f"p/j/j-{jobs}": 1, r.VIEW_KEY: 1}
        if not batch.take(draft):
            break
        jobs += 1
    assert jobs == LIMITS.conditions - 2  # the view, each job, and the value's own name
    assert len(batch.values()) == 1 and len(batch.facts) == jobs
    small = decide.Batch(Limits(2 * 1024, 4), {r.VIEW_KEY: 1})
    large = a_job(*[r.Task("vm-1", 1)] * 384)
    many = drafted(large, lambda draft: [ended("lost", i)(draft) for i in range(384)] and None)
    assert len(many.facts) == 384 and not small.take(many) and not small.facts


def test_values_are_filled_in_order() -> None:
    facts = [Fact(f"j-{i}", i, r.Task("vm-000001", i)) for i in range(500)]
    values = split_into_values(facts, LIMITS.value_b)
    assert [fact for value in values for fact in value] == facts
    sizes = [len(msgspec.json.encode(value)) for value in values]
    assert max(sizes) <= LIMITS.value_b and min(sizes[:-1]) > 0.98 * LIMITS.value_b
    assert FACTS.decode(msgspec.json.encode(values[0])) == values[0]


class OneNode:
    """A journal over a state service that loses answers as it is told to."""

    def __init__(self, *tasks: r.Task) -> None:
        self.replica = a_job(*tasks)
        self.limits, self.client = LIMITS, self
        self.me, self.incarnation, self.is_member = "n", "1", True
        self.view = r.View(1, {"n": "1"})
        self.keys = dict.fromkeys(["p/j/j-1"], 1) | {"p/l/n.1/00000000": 2}
        self.revision = 2
        self.plan: list[str] = []  # what becomes of the next commits
        self.held: list[tuple[dict[str, int], dict[str, object]]] = []
        self.journal = Journal(self, self, Backoff(random.Random(1)))  # type: ignore[arg-type]
        self.journal._next = 1

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
        fate = self.plan.pop(0) if self.plan else "answered"
        if fate == "late":
            self.held.append((conditions, puts))
            raise OutcomeUnknown("no answer")
        done = self.apply(conditions, puts, drops)
        if fate == "unanswered":
            raise OutcomeUnknown("no answer")
        return done

    def leads(self, _: str) -> bool:
        return True

    def append(self, change: Callable[[Draft], None]) -> bool:
        def make() -> Draft:
            return drafted(self.replica, change)

        async def run() -> bool:
            async with asyncio.timeout(5.0):
                return await self.journal.append("j-1", make, WritePriority.NORMAL)

        return asyncio.run(run())


def values_of(node: OneNode) -> list[str]:
    return sorted(key for key in node.keys if key.startswith("p/l/"))


def test_an_append_whose_answer_was_lost_is_not_made_twice() -> None:
    node = OneNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.plan = ["unanswered"]
    assert node.append(ended("lost"))
    assert len(values_of(node)) == 2 and not node.replica.jobs["j-1"].task(0).machine
    assert node.append(ended("lost", 1)) and len(values_of(node)) == 3


def test_an_append_that_may_still_come_is_kept_from_coming() -> None:
    """What it would have bound is not counted any more by then."""
    node = OneNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.plan = ["late"]
    wanted = [True]

    def bind_once(draft: Draft) -> None:
        """As a hold that is over by the second try."""
        if wanted.pop() if wanted else False:
            ended("lost")(draft)

    assert node.append(bind_once)
    assert len(values_of(node)) == 2  # an empty value has taken its name
    assert [node.apply(*held) for held in node.held] == [False]
    assert node.replica.jobs["j-1"].task(0).machine == "vm-1"
    assert node.append(ended("lost")) and not node.replica.jobs["j-1"].task(0).machine


def test_the_value_that_keeps_an_append_from_coming_is_not_dropped_while_it_may_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is empty, so nothing counts in it; dropped, its name was free for what it kept out."""
    monkeypatch.setattr(c, "JOURNAL_TIDY_S", 0.0)
    node = OneNode(r.Task("vm-1", 1), r.Task("vm-1", 1))
    node.plan = ["late"]
    wanted = [True]

    def bind_once(draft: Draft) -> None:
        if wanted.pop() if wanted else False:
            ended("lost")(draft)

    assert node.append(bind_once) and len(values_of(node)) == 2
    for _ in range(3):
        asyncio.run(node.journal.tidy())
    assert [node.apply(*held) for held in node.held] == [False]
    assert len(values_of(node)) == 2
    put(node.replica, 50, {r.VIEW_KEY: r.View(2, {"n": "1"})})
    node.keys[r.VIEW_KEY] = 50  # made under the view before, it can't come any more
    asyncio.run(node.journal.tidy())
    assert len(values_of(node)) == 1
    assert [node.apply(*held) for held in node.held] == [False]


def test_a_job_whose_mark_moved_keeps_its_facts_from_being_written() -> None:
    node = OneNode(r.Task("vm-1", 1))
    node.keys["p/j/j-1"] = 9  # cancelled by another node, and not seen here yet
    assert not node.append(ended("lost")) and len(values_of(node)) == 1


def test_an_append_made_under_an_older_view_is_not_written() -> None:
    """Its writer may not lead the job, or own the machine, any more."""
    node = OneNode(r.Task("vm-1", 1))
    node.keys[r.VIEW_KEY] = 9  # moved, and not seen here yet
    assert not node.append(ended("lost")) and len(values_of(node)) == 1


# --- the model -----------------------------------------------------------------------------------
TRACE = Path(__file__).parent / "traces" / "journal_model.txt"


def test_no_order_of_events_breaks_the_model_and_each_guard_is_needed() -> None:
    count, way = model.explore()
    assert not way and count > 10_000
    found = [
        f"without the guard that {why}: {'; '.join(model.explore(guard)[1])}"
        for guard, why in model.GUARDS.items()
    ]
    assert TRACE.read_text().splitlines() == found


# --- records and older versions ------------------------------------------------------------------
def test_a_version_without_the_journal_reads_no_job_whose_tasks_it_would_not_see() -> None:
    """It would take them for never started; as it can't load, it is no member."""
    for status in ("open", "cancelled", "done"):
        written = r.stored_status(status, True)  # type: ignore[arg-type]
        encoded = msgspec.json.encode(r.JobRecord(written, 1, 1.0, SPEC))
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(encoded, type=production.JobRecord)
    slim = msgspec.json.encode(r.JobRecord("done", 1, 1.0))
    assert msgspec.json.decode(slim, type=production.JobRecord).status == "done"


def test_a_journaled_job_ends_in_two_steps_and_leaves_one_slim_record() -> None:
    replica = a_job(r.Task("", 1, True))
    first = drafted(replica, lambda draft: None)
    assert first.puts[r.job_key("j-1")].status == "journal-done"  # type: ignore[attr-defined]
    put(replica, 3, first.puts)
    replica.jobs["j-1"].version = 9  # its own commit, which the watch has not brought yet
    assert not drafted(replica, lambda draft: None).puts
    replica.jobs["j-1"].version = 3
    last = drafted(replica, lambda draft: None).puts[r.job_key("j-1")]
    assert last == r.JobRecord("done", 1, 1.0, None, 5.0)
