"""Replica indexes, job drafts from the first binding to the slim record, and write rate sharing."""

import random

import msgspec

from pulleydeal import constants as c
from pulleydeal.settings import StateLimits
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import StateClient
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.limits import Limits
from pulleydeal.store.reasons import reason_code
from pulleydeal.store.replica import Replica
from pulleydeal.workers.changes import apply_exit, apply_stop
from pulleydeal.workers.tracked_machine import Exit

LIMITS = Limits(2000, 8)


class Store:
    """Applies drafts to a replica as the state service would."""

    def __init__(self, tasks: int, kind: str = "array") -> None:
        self.replica = Replica()
        self.replica.loaded = True
        self.version = 0
        spec = r.JobSpec("j-1", "c", "core", kind, 1, tasks, 1.0, 1.0, 1.0, "img", 1.0)  # type: ignore[arg-type]
        self.write({r.job_key("j-1"): r.JobRecord("open", tasks, 0.0, spec)}, [])

    @property
    def job(self) -> Job:
        return self.replica.jobs["j-1"]

    def write(self, puts: dict[str, object], deletes: list[str]) -> None:
        self.version += 1
        raw = {key: msgspec.json.encode(value) for key, value in puts.items()}
        assert len(puts) + len(deletes) <= LIMITS.ops
        assert all(len(value) <= c.CHUNK_B for value in raw.values())
        assert sum(map(len, raw.values())) <= c.COMMIT_B
        events = [m.Event(self.version, k, None, msgspec.Raw(v)) for k, v in raw.items()]
        events += [m.Event(self.version, None, k) for k in deletes]
        self.replica.apply(m.Changes(self.version, events))

    def change(self, *mutators: object) -> Draft:
        draft = Draft(self.job, self.replica, LIMITS, 5.0)
        for mutate in mutators:
            mutate(draft)  # type: ignore[operator]
        draft.finish()
        if draft.puts or draft.deletes:
            self.write(draft.puts, draft.deletes)
        return draft


def bind(index: int, machine: str = "vm-000001") -> object:
    def mutate(draft: Draft) -> None:
        task = draft.edit(index)
        if task is not None:
            task.machine, task.attempt = machine, task.attempt + 1

    return mutate


def ended(index: int, outcome: str, attempt: int = 1) -> object:
    proof = Exit("j-1", index, attempt, "vm-000001", outcome, "for a test")
    return lambda draft: apply_exit(draft, proof)


def stopped(index: int) -> object:
    """Makes the stored task as long as possible: both reasons as full sentences."""

    def mutate(draft: Draft) -> None:
        apply_stop(draft, index, 1, "x" * 200)
        task = draft.edit(index)
        assert task is not None
        task.why = "y" * 48

    return mutate


def test_concurrent_changes_share_one_write_and_the_last_task_end_completes_the_job() -> None:
    store = Store(3)
    draft = store.change(bind(0), bind(1), bind(2))
    assert list(draft.puts) == ["p/c/j-1/0000"] and store.job.bound == 3
    store.change(ended(0, "done"), ended(1, "done"))
    assert store.job.is_open
    draft = store.change(ended(2, "done"))
    assert draft.deletes == ["p/c/j-1/0000"]
    assert (
        store.job.record == r.JobRecord("done", 3, ended=5.0)
        and store.replica.tasks_by_machine == {}
    )


def test_exit_of_an_earlier_attempt_is_ignored() -> None:
    store = Store(1)
    store.change(bind(0))
    store.change(ended(0, "lost"))
    store.change(bind(0))
    assert store.change(ended(0, "lost", attempt=1)).puts == {}
    assert store.job.bound == 1


def test_gang_completes_with_its_first_done_task_and_stops_as_a_whole() -> None:
    store = Store(3, "gang")
    store.change(bind(0), bind(1), bind(2))
    store.change(lambda draft: apply_stop(draft, 1, 1, "a drain"))
    assert [task.stop for _, task in store.job.bindings()] == [reason_code("a drain")] * 3
    store.change(ended(1, "done"))
    assert store.job.record is not None and store.job.record.status == "done"
    assert store.job.bound == 2  # their exits are not proved yet
    store.change(ended(0, "done"), ended(2, "done"))
    assert store.job.spec is None


def test_cancelled_job_keeps_its_spec_until_all_tasks_are_gone() -> None:
    def cancel(draft: Draft) -> None:
        draft.status = "cancelled"

    store = Store(2)
    store.change(bind(0))
    store.change(cancel)
    assert not store.job.is_open and store.job.spec is not None
    store.change(ended(0, "stopped"))
    assert store.job.record == r.JobRecord("cancelled", 2, ended=5.0)


def test_job_of_100_000_tasks_stays_within_all_limits() -> None:
    store = Store(100_000)
    steps = 0
    most_chunks = LIMITS.ops - 1
    while store.job.is_open:
        batch = store.job.waiting(c.CHUNK_TASKS * most_chunks)
        steps += 1
        store.change(*(bind(index) for index in batch))
        assert store.job.bound == len(batch)
        if steps == 1:
            store.change(*(stopped(index) for index in batch))
        store.change(*(ended(index, "done") for index in batch))
    assert store.job.done == 100_000 and steps == -(-100_000 // c.CHUNK_TASKS // most_chunks)
    while store.job.spec is not None:
        store.change()
    assert store.job.record == r.JobRecord("done", 100_000, ended=5.0)
    assert store.job.chunks == {} and store.replica.tasks_by_machine == {}


def test_job_completes_when_its_last_task_ends_are_committed_concurrently() -> None:
    store = Store(c.CHUNK_TASKS + 1)
    store.change(*(bind(index) for index in range(c.CHUNK_TASKS + 1)))
    store.change(*(ended(index, "done") for index in range(1, c.CHUNK_TASKS)))
    drafts = [Draft(store.job, store.replica, LIMITS, 5.0) for _ in range(2)]
    for draft, index in zip(drafts, (0, c.CHUNK_TASKS), strict=True):
        ended(index, "done")(draft)  # type: ignore[operator]
        draft.finish()
    # Each is conditional on the versions of the job and of its own chunk, so both succeed.
    chunks = [{key for key in draft.conditions if key.startswith("p/c/")} for draft in drafts]
    assert not chunks[0] & chunks[1]
    for draft in drafts:
        store.write(draft.puts, draft.deletes)
    assert store.job.is_open and store.job.done == c.CHUNK_TASKS + 1
    store.change()  # the leader does this when it sees all tasks done
    assert store.job.record == r.JobRecord("done", c.CHUNK_TASKS + 1, ended=5.0)


def recounted_usage(replica: Replica) -> dict[str, tuple[float, float]]:
    used: dict[str, tuple[float, float]] = {}
    for on_machine in replica.tasks_by_machine.values():
        for job, _ in on_machine:
            spec = replica.jobs[job].spec
            assert spec is not None
            cpus, gpus = used.get(spec.team, (0.0, 0.0))
            used[spec.team] = (cpus + spec.cpus, gpus + spec.gpus)
    return used


def test_incremental_usage_equals_a_recount() -> None:
    rng = random.Random(5)
    store = Store(90)
    for _ in range(200):
        index = rng.randrange(90)
        task = store.job.task(index)
        if task.machine:
            outcome = rng.choice(["done", "lost", "error"])
            store.change(ended(index, outcome, task.attempt))
        elif not task.done:
            store.change(bind(index, "vm-000001"))
        used = {t: u for t, u in store.replica.usage().items() if u != (0.0, 0.0)}
        assert used == recounted_usage(store.replica)
    assert store.job.bound > 0


def test_chunks_loaded_before_their_job_are_counted_once_it_is_loaded() -> None:
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 2, 2.0, 1.0, 1.0, "img", 1.0)
    chunk, job = r.chunk_key("j-1", 0), r.job_key("j-1")
    tasks = [r.Task("vm-1", 1), r.Task("vm-2", 1)]
    values = {chunk: tasks, job: r.JobRecord("open", 2, 0.0, spec)}
    items = [m.Entry(k, msgspec.Raw(msgspec.json.encode(v)), 1) for k, v in values.items()]
    replica = Replica()
    notified: list[tuple[str, str]] = []
    replica.add_listener(lambda kind, name: notified.append((kind, name)))
    replica.load(items)
    replica.end_load(1)
    assert replica.usage() == {"core": (4.0, 2.0)}
    assert {name for kind, name in notified if kind == "bound"} == {"vm-1", "vm-2"}


def test_listeners_are_notified_only_of_machines_with_changed_bindings() -> None:
    store = Store(3)
    for index in range(3):
        store.change(bind(index, f"vm-{index}"))
    notified: list[tuple[str, str]] = []
    store.replica.add_listener(lambda kind, name: notified.append((kind, name)))
    proof = Exit("j-1", 1, 1, "vm-1", "done", "")
    store.change(lambda draft: apply_exit(draft, proof))
    assert notified == [("job", "j-1"), ("bound", "vm-1")]


def test_delayed_watch_event_does_not_undo_own_delete() -> None:
    replica = Replica()
    replica.loaded = True
    record = msgspec.json.encode(r.MachineRecord("up", "t4", "east", False))
    replica.apply_commit({}, ["p/m/vm-1"], 7)
    delayed = m.Event(5, "p/m/vm-1", None, msgspec.Raw(record))
    replica.apply(m.Changes(5, [delayed]))
    assert replica.machines == {}
    newer = m.Event(8, "p/m/vm-1", None, msgspec.Raw(record))
    replica.apply(m.Changes(8, [newer]))
    assert list(replica.machines) == ["vm-1"]


def test_older_version_never_replaces_a_newer_one() -> None:
    replica = Replica()
    replica.loaded = True
    for version, state in ((4, "drain"), (3, "up")):
        value = r.MachineRecord(state, "t4", "east", False)  # type: ignore[arg-type]
        replica.apply_commit({"p/m/vm-1": msgspec.json.encode(value)}, [], version)
    assert replica.machines["vm-1"].record.state == "drain"


def test_write_rate_of_idle_nodes_is_shared_but_not_that_of_unreachable_ones() -> None:
    now = [0.0]

    class Clock:
        def now(self) -> float:
            return now[0]

        def wall(self) -> float:
            return now[0]

    limits = StateLimits(200.0, 90.0 / c.WRITE_SHARE, 8.0, 24)

    def writes_in_one_second(others: list[float | None]) -> int:
        client = StateClient("127.0.0.1:1", Clock(), limits, 3)
        client._write_rate.take(1e9, True)  # use up the burst
        client.adjust_write_rate(others)
        now[0] += 1e9
        client._write_rate.take(30.0, False)
        now[0] += 1.0
        return sum(client._write_rate.take(1.0, False) == 0 for _ in range(200))

    assert writes_in_one_second([None, None]) == 30
    assert writes_in_one_second([0.0, 0.0]) == int(90 - 2 * 30 * c.IDLE_WRITE_SHARE)
    assert writes_in_one_second([30.0, 30.0]) == 30  # all nodes are busy: each keeps its share
