"""Jobs that are over and all of whose tasks are gone: what a node keeps and answers of them."""

import asyncio
import json
import random
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal.clock import SystemClock
from pulleydeal.metrics import Metrics
from pulleydeal.settings import StateLimits, Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import RequestRejected, StateClient, Unavailable
from pulleydeal.store.facts import Fact
from pulleydeal.store.job import VERSION_NOT_KEPT
from pulleydeal.store.job_ids import JobIdSet
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store
from pulleydeal.submissions.service import Submissions
from pulleydeal.workers.partition_policy import PartitionPolicy

MAX_B = 16.0  # a job that is over
MAX_PEAK_B = 30.0  # a million in 30 MB above an empty node, also while it loads
SPEC = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 0.0, 1.0, "img", 1.0)


# Guards against `ended_for_memory`: each job that was ever over took 900 B of every node.
def test_job_that_is_over_takes_under_16_bytes_of_a_node() -> None:
    command = [sys.executable, "-m", "tests.retired_load", "200000"]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    held_b, peak_b = map(float, output.split())
    assert held_b < MAX_B and peak_b < MAX_PEAK_B


class StateService:
    """Answers as the client of a state service; `fails`: no request is executed."""

    served_at = 0.0
    writes_per_s = 10.0

    def __init__(self) -> None:
        self.records: dict[str, object] = {}
        self.reads: list[str] = []
        self.commits = 0
        self.fails = self.hangs = False

    async def page(self, prefix: str, after: str | None) -> m.Page:
        keys = [key for key in sorted(self.records) if after is None or key > after]
        entries = [
            m.Entry(key, msgspec.Raw(msgspec.json.encode(self.records[key])), 1)
            for key in keys[: c.PAGE_LIMIT]
        ]
        return m.Page(5, entries, len(keys) > c.PAGE_LIMIT)

    async def watch(self, prefix: str, after: int) -> m.Changes:
        await asyncio.Event().wait()
        raise AssertionError("nothing changes")

    async def read(self, key: str) -> bytes | None:
        self.reads.append(key)
        if self.hangs:
            await asyncio.Event().wait()
        if self.fails:
            raise Unavailable("503")
        return msgspec.json.encode(self.records[key]) if key in self.records else None

    async def revision(self) -> int:
        if self.fails:
            raise Unavailable("503")
        return 5

    async def wait_for_write_slot(self, priority: object) -> None:
        return

    def urgent_wait_s(self) -> float:
        return 0.0

    async def commit(self, conditions: object, changes: object) -> tuple[bool, m.Revision]:
        self.commits += 1
        return False, m.Revision(5)


class Node:
    """A member with a store and the user API over `StateService`."""

    is_member = True
    epoch = 1

    def __init__(self) -> None:
        self.service = StateService()
        type_ = r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])
        self.service.records[r.CATALOG_KEY] = r.Catalog([type_])
        client: Any = self.service
        me: Any = self
        self.replica = Replica()
        rng = random.Random(1)
        self.store = Store(client, self.replica, SystemClock(), rng, Limits(2_000, 8))
        self.users = Submissions(
            me,
            self.store,
            {"core": Team("core")},
            ["east"],
            SystemClock(),
            Metrics(),
            lambda _: "",
            PartitionPolicy(),
        )

    def shut_out(self) -> bool:
        return False

    def all_support(self, format_: int) -> bool:
        return True

    async def start(self) -> None:
        following = asyncio.ensure_future(self.store.follow())
        await self.replica.wait_for_revision(5)
        following.cancel()

    async def show(self, job: str) -> tuple[int, dict[str, Any]]:
        reply = await self.users.show(job)
        return reply.status, json.loads(reply.body)

    def put(self, version: int, *puts: tuple[str, object]) -> None:
        events = [
            m.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
            for key, value in puts
        ]
        self.replica.apply(m.Changes(version, events))


def old_jobs(node: Node, count: int = c.RETIRED_RECORDS_KEPT + 20) -> None:
    """The first ones ended first, so their records are not kept after a load."""
    for i in range(count):
        state: r.StoredStatus = "cancelled" if i % 7 == 3 else "done"
        record = r.JobRecord(state, 3 + i % 5, 100.0 + i, None, 200.0 + i)
        node.service.records[r.job_key(f"j-{i:06d}")] = record


def started_node() -> Node:
    node = Node()
    old_jobs(node)
    asyncio.run(node.start())
    return node


def body(job: str, **more: object) -> bytes:
    fields = {
        "name_id": job, "rig": "c", "crew": "core", "haul": "batch", "urgency": "high", "lifts": 1,
        "vcpus": 1.0, "accelerators": 0.0, "ram_gb": 1.0, "tackle": "img", "pull_gb": 1.0,
        "haul_s": 1.0, "belay_s": 0.0, "stow_s": 1.0, "same_place": False, "spread": False,
        "loaners": False,
    }  # fmt: skip
    return json.dumps(fields | more).encode()


# Guards against `went_back` and `forgotten` for a job of which only the final state is kept.
def test_old_jobs_are_answered_as_before() -> None:
    async def run(node: Node) -> None:
        done = {"name_id": "j-000001", "tension": "done", "done": 4, "running": 0}
        cancelled = {"name_id": "j-000003", "tension": "cancelled", "done": 0, "running": 0}
        assert await node.show("j-000001") == (200, done)
        assert await node.show("j-000003") == (200, cancelled)
        for name, state in (("j-000001", done), ("j-000003", cancelled)):
            reply = await node.users.submit(body(name))
            assert (reply.status, json.loads(reply.body)) == (200, state)
            reply = await node.users.submit(json.dumps({"name_id": name}).encode())  # malformed
            assert (reply.status, json.loads(reply.body)) == (200, state)
            reply = await node.users.cancel(name)
            told = {"name_id": name, "tension": state["tension"]}
            assert (reply.status, json.loads(reply.body)) == (200, told)
        for never in ("j-1", "j-0000001", "j-00001", "j-999999", "j-" + "0" * 25 + "1"):
            assert (await node.show(never))[0] == 404
        assert node.service.commits == 0

    asyncio.run(run(started_node()))


# Guards against a read for each poll: a record is read once, those that ended last never.
def test_records_of_jobs_asked_for_again_or_that_ended_last_are_kept() -> None:
    async def run(node: Node) -> None:
        last = f"j-{c.RETIRED_RECORDS_KEPT + 19:06d}"
        for _ in range(3):
            await asyncio.gather(*(node.show("j-000001") for _ in range(5)), node.show(last))
        assert node.service.reads == [r.job_key("j-000001")]
        assert (await node.show("j-000003"))[1]["tension"] == "cancelled"
        await asyncio.gather(*(node.show(f"j-9{i:06d}") for i in range(50)))
        assert len(node.service.reads) == 1  # none for jobs that never were

    asyncio.run(run(started_node()))


# Guards against `forgotten` in an outage of the state service: a final state needs no read.
@pytest.mark.parametrize("trouble", ["fails", "hangs"])
def test_old_job_is_answered_in_time_without_the_state_service(trouble: str) -> None:
    async def run(node: Node) -> None:
        setattr(node.service, trouble, True)
        began = asyncio.get_running_loop().time()
        status, answer = await node.show("j-000001")
        assert (status, answer) == (200, {"name_id": "j-000001", "tension": "done", "running": 0})
        assert asyncio.get_running_loop().time() - began < 2 * c.RETIRED_READ_S
        setattr(node.service, trouble, False)

    asyncio.run(run(started_node()))


# Guards against polls for old jobs that take the request rate from leases and commits.
def test_reads_of_single_keys_stay_within_their_share_of_the_request_rate() -> None:
    async def run() -> int:
        client = StateClient("127.0.0.1:1", SystemClock(), StateLimits(200.0, 80.0, 8.0, 32), 3)
        for _ in range(500):
            with pytest.raises(Unavailable):  # nothing listens there
                await client.read(r.job_key("j-1"))
        return client.requests

    assert 1 <= asyncio.run(run()) <= 2 * 200.0 / 3 * c.SINGLE_READS_SHARE + 1


# Guards against a job accepted a second time: a version that is not kept is not 0, "absent".
def test_condition_on_a_retired_job_is_never_sent() -> None:
    async def run(node: Node) -> None:
        key = r.job_key("j-000001")
        assert node.replica.version(key) == VERSION_NOT_KEPT
        assert node.replica.version(r.job_key("j-01")) == 0
        assert node.replica.jobs["j-000001"].version == VERSION_NOT_KEPT
        with pytest.raises(RequestRejected):
            await node.store.commit({key: node.replica.version(key)}, {key: r.JobRecord("open", 1)})
        assert not await node.store.change_job("j-000001", lambda draft: None, priority=0)  # type: ignore[arg-type]
        assert node.service.commits == 0

    asyncio.run(run(started_node()))


# Guards against ghosts: late records of a job that is over bring back neither it nor its tasks.
def test_late_records_of_a_retired_job_change_and_keep_nothing() -> None:
    node = started_node()
    spec = msgspec.structs.replace(SPEC, id="j-000001")
    kept = dict(node.replica._versions)
    for version in (3, 9):
        node.put(version, (r.job_key("j-000001"), r.JobRecord("open", 2, 1.0, spec)))
        node.put(version, (r.chunk_key("j-000001", 0), [r.Task("vm-1", 1), r.Task()]))
        node.put(version, ("p/l/n.1/00000001", [Fact("j-000001", 1, r.Task("vm-1", 1))]))
        node.replica.apply(m.Changes(version, [m.Event(version, None, r.job_key("j-000001"))]))
        job = node.replica.jobs["j-000001"]
        assert job.status == "done" and not job.bound and job.spec is None
        assert not node.replica.tasks_by_machine and not node.replica.jobs_with_spec
    assert node.replica._versions.keys() - kept == {"p/l/n.1/00000001"}
    assert not node.replica._deleted
    assert len(node.replica.jobs) == c.RETIRED_RECORDS_KEPT + 20


def test_job_that_retires_while_a_node_serves_leaves_nothing_but_its_state() -> None:
    node = started_node()
    key, chunk = r.job_key("j-1"), r.chunk_key("j-1", 0)
    node.put(6, (key, r.JobRecord("journal-open", 2, 1.0, SPEC)), (chunk, [r.Task("vm-1", 1)] * 2))
    kept = node.replica._versions.keys() - {key, chunk}
    assert node.replica.jobs["j-1"].bound == 2
    slim = {key: msgspec.json.encode(r.JobRecord("done", 2, 1.0, None, 9.0))}
    node.replica.apply_commit(slim, [chunk], 8)
    node.put(7, (chunk, [r.Task("vm-2", 1)] * 2))  # from the watch, which is behind
    job = node.replica.jobs["j-1"]
    assert job.status == "done" and job.record == r.JobRecord("done", 2, 1.0, None, 9.0)
    assert not node.replica.tasks_by_machine and not node.replica.usage().get("core", (0, 0))[0]
    node.replica.apply(m.Changes(8, []))
    assert node.replica._versions.keys() == kept and not node.replica._deleted
    assert {"j-1"} & {job.id for job in node.replica.jobs.in_full()} == set()


# Guards against nodes that order waiting jobs differently: after a start, a job that waits on a
# retired one has the waiting time that it had before, also where that record is not kept.
@pytest.mark.parametrize("names", ["j-{:06d}", "j-8{:021d}", "k-{}"])
def test_waiting_time_after_a_start_counts_from_the_end_of_an_old_job(names: str) -> None:
    node = Node()
    count = c.RETIRED_RECORDS_KEPT + 500
    rng = random.Random(1)
    ended = {}
    for i in range(count):
        name = names.format(i * 37)
        ended[name] = 300.0 + rng.random()
        state: r.StoredStatus = "done" if i % 3 else "cancelled"
        node.service.records[r.job_key(name)] = r.JobRecord(state, 1, 1.0, None, ended[name])
    done = [name for i, name in enumerate(ended) if i % 3]
    expected = {}
    for i in range(200):
        name = f"j-99{i:07d}" if i % 2 else f"j-00{i:07d}"  # behind the old ones, before them
        waits_on = rng.sample(done, 2)
        expected[name] = max(ended[x] for x in waits_on)
        spec = msgspec.structs.replace(SPEC, id=name, waits_on=waits_on)
        node.service.records[r.job_key(name)] = r.JobRecord("open", 2, 5.0, spec)
    asyncio.run(node.start())
    assert expected == {name: node.replica.jobs[name].waiting_since for name in expected}
    assert all(node.replica.jobs[name].is_ready for name in expected)


def test_new_job_can_wait_on_an_old_one_and_not_on_one_that_never_was() -> None:
    async def run(node: Node) -> None:
        refused = await node.users.submit(body("j-5", waits_on=["j-000001", "j-8"]))
        assert refused.status == 422
        spec = msgspec.structs.replace(SPEC, id="j-5", waits_on=["j-000001"])
        node.put(9, (r.job_key("j-5"), r.JobRecord("open", 2, 900.0, spec)))
        job = node.replica.jobs["j-5"]
        assert job.is_ready and job.waiting_since == 900.0
        spec = msgspec.structs.replace(SPEC, id="j-6", waits_on=["j-000003"])
        node.put(10, (r.job_key("j-6"), r.JobRecord("open", 2, 900.0, spec)))
        assert node.replica.jobs["j-6"].is_cancelled

    asyncio.run(run(started_node()))


# Guards against answers that are older, or none, while a node reads all records again (410).
def test_reload_answers_from_what_was_known_until_it_is_complete() -> None:
    async def run(node: Node) -> None:
        node.service.records[r.job_key("j-77")] = r.JobRecord("cancelled", 1, 1.0, None, 2.0)
        loading = asyncio.ensure_future(node.store._load())
        page = node.service.page

        async def slow_page(prefix: str, after: str | None) -> m.Page:
            await asyncio.sleep(0.01)
            return await page(prefix, after)

        node.service.page = slow_page  # type: ignore[method-assign]
        polls = 0
        while not loading.done():
            assert (await node.show("j-000001"))[1]["tension"] == "done"
            polls += 1
            await asyncio.sleep(0.005)
        assert polls >= 3 and (await node.show("j-77"))[1]["tension"] == "cancelled"
        assert len(node.replica.jobs) == c.RETIRED_RECORDS_KEPT + 21

    asyncio.run(run(started_node()))


# Guards against requests that walk all old jobs: a page takes as many steps as it has items.
def test_page_of_old_jobs_walks_no_more_than_it_shows(monkeypatch: pytest.MonkeyPatch) -> None:
    walked = 0
    after = JobIdSet.after

    def counted(ids: JobIdSet, job_id: str) -> Iterator[str]:
        nonlocal walked
        for found in after(ids, job_id):
            walked += 1
            yield found

    node = started_node()
    monkeypatch.setattr(JobIdSet, "after", counted)
    found = node.replica.jobs.retired.ids_after("j-000100", ("done", "cancelled"))
    assert [next(found) for _ in range(10)] == [f"j-{i:06d}" for i in range(101, 111)]
    assert walked <= 10 + 2
