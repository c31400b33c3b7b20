"""Compatibility of data between the version in production and this one, in both directions.

`traces/production.txt` holds recorded values and messages with their origin; `production.py` is a
frozen copy of production's definitions.
"""

import random
from pathlib import Path

import msgspec
import production
import pytest

from pulleydeal import constants as c
from pulleydeal.credits import messages as credit_messages
from pulleydeal.fleet import plan
from pulleydeal.frames import Unpacker
from pulleydeal.membership import messages as membership_messages
from pulleydeal.settings import NextLimits, StateLimits
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits, TooLarge, effective_limits
from pulleydeal.store.reasons import CODES, reason_code, reason_text
from pulleydeal.store.replica import Replica
from pulleydeal.workers.changes import apply_exit, apply_stop
from pulleydeal.workers.tracked_machine import Exit

RECORDS, MESSAGES = production.read_trace(Path(__file__).parent / "traces" / "production.txt")
SMALL = effective_limits(StateLimits(200.0, 80.0, 8.0, 24, NextLimits(56.0, 2.0, 8)))


class Stored:
    """A replica loaded from the trace; changes are applied to it as the state service would."""

    def __init__(self) -> None:
        self.replica = Replica()
        items = [m.Entry(key, msgspec.Raw(value), 1) for key, value in RECORDS.items()]
        self.replica.load(items)
        self.replica.end_load(1)
        self.written: dict[str, bytes] = {}

    def change(self, job: str, *mutators: object) -> Draft:
        draft = Draft(self.replica.jobs[job], self.replica, SMALL, 1.7e9 + 80)
        for mutate in mutators:
            mutate(draft)  # type: ignore[operator]
        draft.finish()
        encoded = {k: msgspec.json.encode(v) for k, v in draft.puts.items()}
        SMALL.check(draft.conditions, encoded, draft.deletes)
        self.written |= encoded
        self.replica.apply_commit(encoded, draft.deletes, self.replica.revision + 1)
        self.replica.revision += 1
        return draft


def exit_of(job: str, index: int, task: r.Task, outcome: str = "lost") -> object:
    gone = Exit(job, index, task.attempt, task.machine, outcome, "its machine is gone")
    return lambda draft: apply_exit(draft, gone)


def test_all_records_of_production_are_read() -> None:
    replica = Stored().replica
    assert {j for j, job in replica.jobs.items() if job.is_ready} == {
        "j-1", "j-2", "j-3", "j-4", "j-6", "j-7", "j-10", "j-11"
    }  # fmt: skip
    assert replica.jobs["j-5"].is_over and not replica.jobs["j-5"].is_cancelled
    assert replica.jobs["j-8"].is_cancelled and replica.jobs["j-8"].bound == 1
    assert replica.jobs["j-1"].waiting_since == replica.jobs["j-1"].record.at  # type: ignore[union-attr]
    assert replica.rentals["winch-0-ac41130f570e-9"].record.count == 23
    assert replica.machines["vm-000016"].record.state == "boot"
    assert list(replica.types) == ["t4"] and replica.view.epoch == 3
    assert replica.member_formats["winch-0"] == 0 and replica.node_formats == {}


@pytest.mark.parametrize(
    ("name", "unpack", "pack"),
    [
        ("BEAT", membership_messages.unpack_heartbeat, membership_messages.pack_heartbeat),
        ("ASK", credit_messages.unpack_credit_request, credit_messages.pack_credit_request),
        ("HOLD", credit_messages.unpack_hold, credit_messages.pack_hold),
        ("FREE", credit_messages.unpack_release, credit_messages.pack_release),
        ("IMAGES", credit_messages.unpack_cached_images, credit_messages.pack_cached_images),
    ],
)
def test_sibling_messages_are_the_same_bytes_in_both_versions(
    name: str, unpack: object, pack: object
) -> None:
    assert pack(unpack(MESSAGES[name])) == MESSAGES[name]  # type: ignore[operator]


def test_a_siblings_hello_is_read() -> None:
    assert Unpacker(MESSAGES["HELLO"]).text() == "winch-1"


def test_production_reads_what_this_version_writes() -> None:
    stored = Stored()
    for job in list(stored.replica.jobs_with_spec):
        for index, task in stored.replica.jobs[job].bindings()[:3]:
            stored.change(job, lambda d, i=index, t=task: apply_stop(d, i, t.attempt, "notice"))
            stored.change(job, exit_of(job, index, task, "done"))
    spec = msgspec.structs.replace(stored.replica.jobs["j-1"].spec, waits_on=["j-5"])
    added = {
        "p/j/j-20": r.JobRecord("open", spec.tasks, 9.0, spec),
        "p/j/j-21": r.JobRecord("done", 1, 9.0, None, 12.0),
        "p/n/winch-0": r.Member("0123456789ab", c.FORMAT),
        "p/s/winch-0": r.Software(c.FORMAT, "0.2.0"),
        "p/t/0001": stored.replica.catalog,
    }
    stored.written |= {k: msgspec.json.encode(v) for k, v in added.items()}
    assert len(stored.written) > 12
    for key, value in stored.written.items():
        production.decode_record(key, value)
    waits = production.decode_record("p/j/j-20", stored.written["p/j/j-20"])
    # Production drops fields that it does not know, so such jobs are only accepted once no node
    # runs an older version.
    assert b"waits_on" not in msgspec.json.encode(waits)
    assert production.decode_record("p/t/0001", stored.written["p/t/0001"]) is None


def test_oversized_chunks_with_reasons_shrink_with_their_next_write() -> None:
    key = "p/c/j-10/0000"
    assert len(RECORDS[key]) > 3_500
    stored = Stored()
    index, task = stored.replica.jobs["j-10"].bindings()[5]
    stored.change("j-10", exit_of("j-10", index, task))
    assert len(stored.written[key]) <= c.CHUNK_B
    tasks = stored.replica.jobs["j-10"].chunks[0].tasks
    assert reason_text(tasks[0].why) == "made room for work of production priority"
    assert reason_text(tasks[0].stop) == "the cloud takes its spot machine back"
    assert tasks[5].machine == "" and reason_text(tasks[5].why) == "its machine is gone"
    assert sum(bool(t.machine) for t in tasks) == 31


def test_a_full_chunk_of_the_longest_tasks_fits() -> None:
    machine, reason = "x" * c.MACHINE_CHARS, max(CODES, key=len)
    full = r.Task(machine, c.MAX_ATTEMPT, False, c.MAX_FAILS, reason, reason)
    size = len(msgspec.json.encode([full] * c.CHUNK_TASKS))
    assert size <= c.CHUNK_B <= int(c.MIN_VALUE_KB * 1024) - c.VALUE_SPARE_B
    rng = random.Random(4)
    for _ in range(200):
        text = "".join(rng.choice("made rofplcen()'\"\\\n\x00é") for _ in range(rng.randrange(60)))
        assert reason_code(reason_code(text)) == reason_code(text) and reason_code(
            text
        ) in CODES | {""}


def test_shortened_reasons_expand_to_the_same_text() -> None:
    assert all(reason_code(reason_text(code)) == code for code in CODES)
    assert reason_text(reason_code("made room for j-0123456 (high priority)")).endswith(
        "of high priority"
    )
    assert reason_text("a sentence of production's") == "a sentence of production's"


def test_a_job_whose_description_exceeds_the_limit_can_still_end() -> None:
    stored = Stored()
    assert len(RECORDS["p/j/j-11"]) > SMALL.value_b
    draft = Draft(stored.replica.jobs["j-11"], stored.replica, SMALL, 0.0)
    draft.touch()
    # The record does not fit; every commit depends on the view.
    assert list(draft.puts) == [r.VIEW_KEY]

    def cancel(draft: Draft) -> None:
        draft.status = "cancelled"

    stored.change("j-11", cancel)
    job = stored.replica.jobs["j-11"]
    assert job.is_cancelled and job.bound == 2 and len(stored.written["p/j/j-11"]) < SMALL.value_b
    assert stored.replica.usage()["core"][1] >= 2.0
    for index, task in job.bindings():
        stored.change("j-11", exit_of("j-11", index, task))
    assert job.record == r.JobRecord("cancelled", 2, 1700000006.0, None, 1.7e9 + 80)


def test_a_change_over_the_limits_is_refused_before_it_is_sent() -> None:
    limits = Limits(100, 4)
    limits.check({"p/view": 1}, {"p/a": b"x" * 100}, ["p/b", "p/c", "p/d"])
    with pytest.raises(TooLarge, match="p/a takes 101 B"):
        limits.check({}, {"p/a": b"x" * 101}, [])
    with pytest.raises(TooLarge, match="5 changes of 4"):
        limits.check({}, {}, [f"p/{i}" for i in range(5)])
    with pytest.raises(TooLarge, match="17 conditions"):
        limits.check({f"p/{i}": 1 for i in range(17)}, {}, ["p/a"])


def test_the_smaller_of_present_and_announced_limits_applies() -> None:
    assert (SMALL.value_b, SMALL.ops) == (2 * 1024 - c.VALUE_SPARE_B, 8)
    assert effective_limits(StateLimits(1.0, 1.0, 8.0, 24)) == Limits(
        8 * 1024 - c.VALUE_SPARE_B, 24
    )
    larger = StateLimits(1.0, 1.0, 8.0, 24, NextLimits(None, 16.0, None))
    assert effective_limits(larger) == effective_limits(StateLimits(1.0, 1.0, 8.0, 24))


def test_a_catalogue_of_many_machine_types_takes_several_values() -> None:
    names = [f"{'t' * 80}-{i}" for i in range(30)]
    types = [r.MachineType(n, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, ["east"]) for n in names]
    huge = r.MachineType("h" * 3000, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, ["east"])
    parts = plan.split_catalog(r.Catalog([*types, huge]), SMALL)
    assert 1 < len(parts) <= SMALL.ops
    encoded = {r.types_key(k) if k else r.CATALOG_KEY: part for k, part in enumerate(parts)}
    replica = Replica()
    replica.load([m.Entry(k, msgspec.Raw(msgspec.json.encode(v)), 1) for k, v in encoded.items()])
    assert sorted(replica.types) == sorted(names)
    assert all(SMALL.fits(msgspec.json.encode(part)) for part in parts)
