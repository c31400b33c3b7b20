"""A cancellation that is durable and not told yet: what its user hears, and what is written."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from pulleydeal.http import Response
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.limits import Limits
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Replica
from pulleydeal.submissions.service import Submissions
from pulleydeal.workers.keeping import Keeping

SPEC = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 0.0, 1.0, "img", 1.0)


class Inside(Keeping):
    """A node inside that has heard of the cancellation (`acked`), or not."""

    def __init__(self) -> None:
        self.acked = False

    def holds_back(self) -> bool:
        return True

    def may_tell(self, job: Job) -> bool:
        return self.acked

    async def comes_to_be_told(self, job: Job) -> bool:
        return self.acked


class Node:
    """Membership, store and clock in one. The watch brings a write when `watch` is called."""

    is_member = True
    epoch = 1
    known = True
    an_older_serves = False

    def all_keep(self, format_: int) -> bool:
        return not self.an_older_serves

    def known_as_member(self) -> bool:
        return self.known

    def __init__(self, keeping: Keeping) -> None:
        self.replica = Replica()
        self.revision = 0
        self.unseen: list[m.Event] = []
        self.writes: list[dict[str, Any]] = []
        me: Any = self
        self.client = me
        self.writes_per_s = 10.0
        team = {"core": Team("core")}
        self.users = Submissions(me, me, team, ["east"], me, Metrics(), lambda _: "", keeping)
        type_ = r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])
        self.put(
            {r.CATALOG: r.Catalog([type_]), r.job_key("j-1"): r.JobRecord("open", 2, 1.0, SPEC)}
        )
        self.watch()
        self.replica.loaded = True

    def put(self, puts: dict[str, Any], drops: tuple[str, ...] = ()) -> None:
        """Somebody's write; seen with the next watch."""
        self.revision += 1
        for key, value in puts.items():
            raw = msgspec.Raw(msgspec.json.encode(value))
            self.unseen.append(m.Event(self.revision, key, None, raw))
        self.unseen += [m.Event(self.revision, None, key) for key in drops]

    def watch(self) -> None:
        events, self.unseen = self.unseen, []
        self.replica.apply(m.Changes(self.revision, events))

    def bind(self) -> None:
        self.put({r.chunk_key("j-1", 0): [r.Task("vm-1", 1), r.Task()]})

    def change_job(
        self, job: str, mutate: Callable[[Draft], None], turn: Turn
    ) -> "asyncio.Future[bool]":
        draft = Draft(self.replica.jobs[job], self.replica, Limits(2_000, 8), 5.0)
        mutate(draft)
        draft.finish()
        if draft.puts or draft.deletes:
            self.writes.append(draft.puts)
            self.put(draft.puts, tuple(draft.deletes))
            raw = {k: msgspec.json.encode(v) for k, v in draft.puts.items()}
            self.replica.committed(raw, draft.deletes, self.revision)
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future

    async def fresh(self) -> None:
        self.watch()

    def shut_out(self) -> bool:
        return False

    def now(self) -> float:
        return 7.0

    wall = now

    def first_wait_s(self) -> float:
        return 0.0

    def cancel(self) -> int:
        return asyncio.run(self.users.cancel("j-1")).status

    def show(self) -> tuple[int, str]:
        async def ask() -> Response:
            return await self.users.show("j-1")

        found = asyncio.run(ask())
        return found.status, json.loads(found.body).get("tension", "")


def test_until_it_can_be_kept_a_cancel_is_to_be_repeated_and_the_job_runs() -> None:
    inside = Inside()
    node = Node(inside)
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert node.show() == (200, "running")
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True]
    inside.acked = True
    assert node.cancel() == 200
    assert node.show() == (200, "cancelled")
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True, False]


def test_a_poll_tells_it_too_as_soon_as_it_can_be_kept() -> None:
    inside = Inside()
    node = Node(inside)
    node.bind()
    node.watch()
    assert node.cancel() == 503
    inside.acked = True
    assert node.show() == (200, "cancelled")
    assert node.writes[-1][r.job_key("j-1")].untold is False  # durable before it was told


def test_where_a_node_would_tell_it_at_once_nobody_says_that_it_runs() -> None:
    node = Node(Inside())
    node.an_older_serves = True
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert node.show()[0] == 503


def test_it_is_told_once_all_its_tasks_are_proved_gone() -> None:
    node = Node(Inside())
    node.bind()
    node.watch()
    assert node.cancel() == 503
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    assert node.show() == (200, "cancelled")


def test_a_binding_written_a_moment_before_counts_though_nobody_had_seen_it() -> None:
    """Neither changes a key that the other one writes, so the cancellation does not fail."""
    node = Node(Inside())
    node.bind()  # the watch has not brought it yet
    node.replica.revision = node.revision - 1
    assert node.cancel() == 503
    assert node.writes[0][r.job_key("j-1")].spec is not None  # its tasks can still be found
    assert node.show() == (200, "running")


@pytest.mark.parametrize("keeping", [Keeping(), Inside()])
def test_a_slim_record_is_written_by_who_has_seen_all_up_to_the_cancellation(
    keeping: Keeping,
) -> None:
    node = Node(keeping)
    node.bind()
    node.cancel()

    async def sweep() -> None:
        await node.change_job("j-1", lambda _: None, Turn.LATER)

    asyncio.run(sweep())
    assert len(node.writes) == 1  # it has not reached the cancellation: nothing is thrown away
    node.watch()
    asyncio.run(sweep())
    assert len(node.writes) == 1  # and now it sees the task
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    node.watch()
    asyncio.run(sweep())
    assert node.writes[-1][r.job_key("j-1")].spec is None
    assert node.replica.bound == {}


def test_records_of_both_versions_read_each_others() -> None:
    new = r.JobRecord("cancelled", 2, 1.0, SPEC, 5.0, True)
    raw = json.loads(msgspec.json.encode(new))
    assert raw.pop("untold") is True
    assert r.JOB.decode(json.dumps(raw).encode()).untold is False  # told, as by an older version
    assert "untold" not in json.loads(msgspec.json.encode(r.JobRecord("done", 2)))
    view = json.loads(msgspec.json.encode(r.View(3, {"a": "1"}, [], [("a", "east")])))
    view.pop("deaf")
    assert r.VIEW_DECODER.decode(json.dumps(view).encode()).deaf == []


def test_who_joined_unseen_tells_a_cancellation_only_on_proof() -> None:
    """Two blind nodes that don't know it as a member vouch for each other without its word."""
    node = Node(Keeping())
    node.known = False
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True]
    assert node.cancel() == 503
    # Told nothing for as long as that may take, its user would take it for forgotten.
    assert node.show() == (200, "running")
    node.an_older_serves = True  # that one would tell it at once
    assert node.show()[0] == 503
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    node.watch()
    assert node.cancel() == 200


class Slow(Node):
    """The state service's answer takes so long that `meanwhile` happens before it comes."""

    meanwhile: Callable[["Slow"], None]
    limits = Limits(2_000, 8)

    async def commit(self, conditions: dict[str, int], puts: dict[str, Any], *_: object) -> bool:
        self.put(puts)
        at = self.revision
        self.meanwhile(self)
        self.replica.committed({k: msgspec.json.encode(v) for k, v in puts.items()}, [], at)
        return True

    def change_job(
        self, job: str, mutate: Callable[[Draft], None], turn: Turn
    ) -> "asyncio.Future[bool]":
        self.meanwhile(self)
        return super().change_job(job, mutate, turn)

    def journals(self, _spec: r.JobSpec) -> bool:
        return False


def submission(job: str) -> bytes:
    body = {
        "name_id": job,
        "rig": "c",
        "crew": "core",
        "haul": "batch",
        "urgency": "low",
        "lifts": 1,
        "vcpus": 1.0,
        "accelerators": 0.0,
        "ram_gb": 1.0,
        "tackle": "img",
        "pull_gb": 1.0,
        "same_place": False,
        "spread": False,
        "loaners": True,
        "haul_s": 1.0,
        "belay_s": 0.0,
        "stow_s": 0.0,
    }
    return msgspec.json.encode(body)


def test_an_acceptance_whose_answer_was_slow_tells_what_became_of_the_job_meanwhile() -> None:
    """Its user had repeated it elsewhere, and called it off there."""

    def called_off(node: Slow) -> None:
        slim = r.JobRecord("cancelled", 1, 1.0, None, 2.0)
        node.put({r.job_key("j-2"): slim})
        node.watch()

    node = Slow(Keeping())
    node.meanwhile = called_off

    async def submit() -> Response:
        return await node.users.submit(submission("j-2"))

    reply = asyncio.run(submit())
    assert (reply.status, json.loads(reply.body)["tension"]) == (201, "cancelled")


def test_what_is_told_after_a_write_is_of_the_copy_as_it_is_then() -> None:
    """All was read anew while the write was under way: what was found before is kept no more."""
    inside = Inside()
    node = Slow(inside)
    node.meanwhile = lambda _: None
    node.bind()
    node.watch()
    assert node.cancel() == 503
    inside.acked = True

    def read_anew(node: Slow) -> None:
        records = {
            r.job_key("j-1"): r.JobRecord("cancelled", 2, 1.0, SPEC, 5.0),
            r.chunk_key("j-1", 0): [r.Task("vm-1", 1), r.Task()],
        }
        node.replica.begin_load()
        node.replica.load(
            [
                m.Entry(key, msgspec.Raw(msgspec.json.encode(x)), node.revision)
                for key, x in records.items()
            ]
        )
        node.replica.end_load(node.revision)

    node.meanwhile = read_anew
    assert node.show() == (200, "cancelled")
