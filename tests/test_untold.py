"""A cancellation that is durable but not yet confirmed to its user: answers and records."""

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
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Replica
from pulleydeal.submissions.service import Submissions
from pulleydeal.workers.partition_policy import PartitionPolicy

SPEC = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 0.0, 1.0, "img", 1.0)


class CutOffKeeping(PartitionPolicy):
    """A cut-off node has acknowledged the cancellation (`acked`) or not."""

    def __init__(self) -> None:
        self.acked = False

    def defers_cancellations(self) -> bool:
        return True

    def may_confirm_cancel(self, job: Job) -> bool:
        return self.acked

    async def wait_until_confirmable(self, job: Job) -> bool:
        return self.acked


class Node:
    """Stands in for membership, store and clock. Writes show in the replica after `watch`."""

    is_member = True
    epoch = 1
    known_to_all = True
    older_version_serves = False

    def all_support(self, format_: int) -> bool:
        return not self.older_version_serves

    def known_as_member(self) -> bool:
        return self.known_to_all

    def __init__(self, partition_policy: PartitionPolicy) -> None:
        self.replica = Replica()
        self.revision = 0
        self.unseen_events: list[m.Event] = []
        self.writes: list[dict[str, Any]] = []
        me: Any = self
        self.client = me
        self.writes_per_s = 10.0
        team = {"core": Team("core")}
        self.users = Submissions(
            me, me, team, ["east"], me, Metrics(), lambda _: "", partition_policy
        )
        type_ = r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])
        self.put(
            {r.CATALOG_KEY: r.Catalog([type_]), r.job_key("j-1"): r.JobRecord("open", 2, 1.0, SPEC)}
        )
        self.watch()
        self.replica.loaded = True

    def put(self, puts: dict[str, Any], drops: tuple[str, ...] = ()) -> None:
        """A write by any node; it shows with the next `watch`."""
        self.revision += 1
        for key, value in puts.items():
            raw = msgspec.Raw(msgspec.json.encode(value))
            self.unseen_events.append(m.Event(self.revision, key, None, raw))
        self.unseen_events += [m.Event(self.revision, None, key) for key in drops]

    def watch(self) -> None:
        events, self.unseen_events = self.unseen_events, []
        self.replica.apply(m.Changes(self.revision, events))

    def bind(self) -> None:
        self.put({r.chunk_key("j-1", 0): [r.Task("vm-1", 1), r.Task()]})

    def change_job(
        self, job: str, mutate: Callable[[Draft], None], priority: WritePriority
    ) -> "asyncio.Future[bool]":
        draft = Draft(self.replica.jobs[job], self.replica, Limits(2_000, 8), 5.0)
        mutate(draft)
        draft.finish()
        if draft.puts or draft.deletes:
            self.writes.append(draft.puts)
            self.put(draft.puts, tuple(draft.deletes))
            raw = {k: msgspec.json.encode(v) for k, v in draft.puts.items()}
            self.replica.apply_commit(raw, draft.deletes, self.revision)
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future

    async def ensure_fresh(self) -> None:
        self.watch()

    def shut_out(self) -> bool:
        return False

    def now(self) -> float:
        return 7.0

    wall = now

    def urgent_wait_s(self) -> float:
        return 0.0

    def cancel(self) -> int:
        return asyncio.run(self.users.cancel("j-1")).status

    def show(self) -> tuple[int, str]:
        async def ask() -> Response:
            return await self.users.show("j-1")

        found = asyncio.run(ask())
        return found.status, json.loads(found.body).get("tension", "")


def test_until_it_can_be_confirmed_a_cancel_is_503_and_the_job_is_running() -> None:
    partition_policy = CutOffKeeping()
    node = Node(partition_policy)
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert node.show() == (200, "running")
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True]
    partition_policy.acked = True
    assert node.cancel() == 200
    assert node.show() == (200, "cancelled")
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True, False]


def test_a_poll_also_confirms_it_as_soon_as_it_can() -> None:
    partition_policy = CutOffKeeping()
    node = Node(partition_policy)
    node.bind()
    node.watch()
    assert node.cancel() == 503
    partition_policy.acked = True
    assert node.show() == (200, "cancelled")
    assert node.writes[-1][r.job_key("j-1")].untold is False  # durable before the answer


def test_with_an_older_version_serving_no_node_says_that_the_job_runs() -> None:
    node = Node(CutOffKeeping())
    node.older_version_serves = True
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert node.show()[0] == 503


def test_it_is_confirmed_once_all_tasks_are_proved_gone() -> None:
    node = Node(CutOffKeeping())
    node.bind()
    node.watch()
    assert node.cancel() == 503
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    assert node.show() == (200, "cancelled")


def test_a_binding_written_just_before_counts_though_the_replica_lacks_it() -> None:
    """The two writes share no key, so neither makes the other fail."""
    node = Node(CutOffKeeping())
    node.bind()  # the watch has not brought it yet
    node.replica.revision = node.revision - 1
    assert node.cancel() == 503
    assert node.writes[0][r.job_key("j-1")].spec is not None  # so its tasks can still be found
    assert node.show() == (200, "running")


@pytest.mark.parametrize("partition_policy", [PartitionPolicy(), CutOffKeeping()])
def test_a_slim_record_is_written_only_with_a_replica_as_new_as_the_cancellation(
    partition_policy: PartitionPolicy,
) -> None:
    node = Node(partition_policy)
    node.bind()
    node.cancel()

    async def sweep() -> None:
        await node.change_job("j-1", lambda _: None, WritePriority.BACKGROUND)

    asyncio.run(sweep())
    assert len(node.writes) == 1  # its replica is older than the cancellation: nothing is dropped
    node.watch()
    asyncio.run(sweep())
    assert len(node.writes) == 1  # now it sees the bound task
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    node.watch()
    asyncio.run(sweep())
    assert node.writes[-1][r.job_key("j-1")].spec is None
    assert node.replica.tasks_by_machine == {}


def test_both_versions_read_each_others_records() -> None:
    new = r.JobRecord("cancelled", 2, 1.0, SPEC, 5.0, True)
    raw = json.loads(msgspec.json.encode(new))
    assert raw.pop("untold") is True
    # A record without the field was confirmed, as an older version does at once.
    assert r.JOB.decode(json.dumps(raw).encode()).untold is False
    assert "untold" not in json.loads(msgspec.json.encode(r.JobRecord("done", 2)))
    view = json.loads(msgspec.json.encode(r.View(3, {"a": "1"}, [], [("a", "east")])))
    view.pop("deaf")
    assert r.VIEW_DECODER.decode(json.dumps(view).encode()).deaf == []


def test_a_member_not_known_to_all_confirms_only_once_tasks_are_proved_gone() -> None:
    """Two blind nodes with an older view don't ask for the heartbeats of a new member."""
    node = Node(PartitionPolicy())
    node.known_to_all = False
    node.bind()
    node.watch()
    assert node.cancel() == 503
    assert [p[r.job_key("j-1")].untold for p in node.writes] == [True]
    assert node.cancel() == 503
    # The proof may take long; without an answer until then the job would count as forgotten.
    assert node.show() == (200, "running")
    node.older_version_serves = True  # an older version would show it as cancelled at once
    assert node.show()[0] == 503
    node.put({r.chunk_key("j-1", 0): [r.Task("", 1, why="g"), r.Task()]})
    node.watch()
    assert node.cancel() == 200


class Slow(Node):
    """The state service answers slowly: `meanwhile` happens before the answer."""

    meanwhile: Callable[["Slow"], None]
    limits = Limits(2_000, 8)

    async def commit(self, conditions: dict[str, int], puts: dict[str, Any], *_: object) -> bool:
        self.put(puts)
        at = self.revision
        self.meanwhile(self)
        self.replica.apply_commit({k: msgspec.json.encode(v) for k, v in puts.items()}, [], at)
        return True

    def change_job(
        self, job: str, mutate: Callable[[Draft], None], priority: WritePriority
    ) -> "asyncio.Future[bool]":
        self.meanwhile(self)
        return super().change_job(job, mutate, priority)

    def should_journal(self, _spec: r.JobSpec) -> bool:
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


def test_a_slow_acceptance_answers_with_the_present_state_of_the_job() -> None:
    """Its user had repeated the submission at another node and cancelled the job there."""

    def cancel_elsewhere(node: Slow) -> None:
        slim = r.JobRecord("cancelled", 1, 1.0, None, 2.0)
        node.put({r.job_key("j-2"): slim})
        node.watch()

    node = Slow(PartitionPolicy())
    node.meanwhile = cancel_elsewhere

    async def submit() -> Response:
        return await node.users.submit(submission("j-2"))

    reply = asyncio.run(submit())
    assert (reply.status, json.loads(reply.body)["tension"]) == (201, "cancelled")


def test_the_answer_after_a_write_comes_from_the_present_replica() -> None:
    """The replica is reloaded during the write, so a job looked up before is stale."""
    partition_policy = CutOffKeeping()
    node = Slow(partition_policy)
    node.meanwhile = lambda _: None
    node.bind()
    node.watch()
    assert node.cancel() == 503
    partition_policy.acked = True

    def reload(node: Slow) -> None:
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

    node.meanwhile = reload
    assert node.show() == (200, "cancelled")
