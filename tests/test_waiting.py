"""Answers of a single node to users whose jobs wait on other jobs."""

import asyncio
import json
import random
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal.http import Request, Response
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Settings, Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import Unavailable
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica
from pulleydeal.submissions.service import Submissions
from pulleydeal.workers.partition_policy import PartitionPolicy

BODY = {
    "name_id": "j-9",
    "rig": "train",
    "crew": "core",
    "haul": "batch",
    "urgency": "high",
    "lifts": 2,
    "vcpus": 1.0,
    "accelerators": 0.0,
    "ram_gb": 4.0,
    "tackle": "img-1",
    "pull_gb": 1.0,
    "same_place": False,
    "spread": False,
    "loaners": True,
    "haul_s": 5.0,
    "belay_s": 0.0,
    "stow_s": 0.0,
}


class Node:
    """Stands in for membership, store and clock; a fresh read shows `accepted_elsewhere`."""

    is_member = True

    def __init__(self) -> None:
        self.replica = Replica()
        self.limits = Limits(2_000, 8)
        self.all_nodes_current = True
        self.down = False
        self.reads = 0
        self.accepted_elsewhere: dict[str, r.JobRecord] = {}
        type_ = r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])
        self._put({r.CATALOG_KEY: r.Catalog([type_])})
        self.replica.end_load(1)
        team = {"core": Team("core")}
        me: Any = self
        self.client = me
        self.write_wait_s, self.writes_per_s = 0.0, 10.0
        self.users = Submissions(
            me, me, team, ["east"], me, Metrics(), lambda _: "", PartitionPolicy()
        )

    def _put(self, puts: dict[str, Any]) -> None:
        encoded = {k: msgspec.json.encode(v) for k, v in puts.items()}
        self.replica.apply_commit(encoded, [], self.replica.revision + 1)
        self.replica.revision += 1

    def should_journal(self, _spec: r.JobSpec) -> bool:
        return False

    def add_job(self, name: str, status: r.Status, kind: str = "array") -> None:
        spec = r.JobSpec(name, "c", "core", kind, 1, 1, 1.0, 0.0, 1.0, "img", 1.0)  # type: ignore[arg-type]
        self._put(
            {r.job_key(name): r.JobRecord(status, 1, 1.0, spec if status == "open" else None)}
        )

    async def commit(self, conditions: dict[str, int], puts: dict[str, Any]) -> bool:
        if self.down:
            raise Unavailable
        self._put(puts)
        return True

    async def ensure_fresh(self) -> None:
        if self.down:
            raise Unavailable
        self.reads += 1
        found, self.accepted_elsewhere = self.accepted_elsewhere, {}
        self._put({r.job_key(name): rec for name, rec in found.items()})

    def shut_out(self) -> bool:
        return False

    def all_support(self, format_: int) -> bool:
        return self.all_nodes_current

    def wall(self) -> float:
        return 50.0

    def now(self) -> float:
        return 7.0

    def urgent_wait_s(self) -> float:
        return self.write_wait_s

    def submit(self, waits_on: object, **more: object) -> Response:
        body = json.dumps(BODY | {"waits_on": waits_on} | more).encode()
        request = self.users._run_handler(
            "POST", Request("POST", "/submissions", body), self.users.submit(body)
        )
        return asyncio.run(request)

    def show(self, name: str) -> dict[str, Any]:
        return dict(json.loads(asyncio.run(self.users.show(name)).body))


@pytest.mark.parametrize("waits_on", ["j-1", {"j-1": 1}, ["1"], ["j-x"], [7], [None]])
def test_a_malformed_list_is_400(waits_on: object) -> None:
    assert Node().submit(waits_on).status == 400


@pytest.mark.parametrize("waits_on", [None, []])
def test_a_job_that_waits_on_none_is_an_ordinary_job_in_every_version(waits_on: object) -> None:
    node = Node()
    node.all_nodes_current = False
    assert node.submit(waits_on).status == 201
    raw = msgspec.json.encode(node.replica.jobs["j-9"].record)
    assert b"waits_on" not in raw


def test_only_jobs_that_some_node_accepted_can_be_waited_on() -> None:
    node = Node()
    node.add_job("j-1", "open")
    reply = node.submit(["j-1", "j-2"])
    assert reply.status == 422 and b"j-2, which nobody submitted" in reply.body
    assert node.reads >= 1  # refused only after a fresh read
    assert node.submit(["j-9"]).status == 422  # its own id
    node.accepted_elsewhere["j-2"] = r.JobRecord("done", 1, 2.0)
    assert node.submit(["j-1", "j-2", "j-1"]).status == 201
    assert node.replica.jobs["j-9"].waits_on == ["j-1", "j-2"]
    shown = node.show("j-9")
    assert shown["tension"] == "queued" and shown["note"] == "waits for j-1"
    assert node.submit(["j-77"]).status == 200  # a repeated submission is accepted whatever it says


def test_without_a_fresh_read_the_answer_is_503_with_retry_after() -> None:
    node = Node()
    node.down = True
    reply = node.submit(["j-2"])
    assert reply.status == 503 and ("Retry-After", str(c.RETRY_AFTER_S)) in reply.headers


def test_no_job_that_waits_is_accepted_while_an_older_version_may_serve() -> None:
    node = Node()
    node.add_job("j-1", "done")
    node.all_nodes_current = False
    reply = node.submit(["j-1"])
    assert reply.status == 503 and ("Retry-After", str(c.RETRY_AFTER_S)) in reply.headers
    node.all_nodes_current = True
    assert node.submit(["j-1"]).status == 201 and node.replica.jobs["j-9"].is_ready


def test_waiting_on_a_running_service_is_refused_and_on_a_cancelled_job_cancels() -> None:
    node = Node()
    node.add_job("j-1", "open", "service")
    reply = node.submit(["j-1"])
    assert reply.status == 422 and b"service" in reply.body
    node.add_job("j-1", "cancelled")
    assert node.submit(["j-1"]).status == 201
    assert node.show("j-9") == {"name_id": "j-9", "tension": "cancelled", "done": 0, "running": 0}


def test_a_description_larger_than_a_value_is_422_and_names_the_limit() -> None:
    node = Node()
    names = [f"j-{i}" for i in range(100, 400)]
    for name in names:
        node.add_job(name, "done")
    reply = node.submit(names)
    assert reply.status == 422 and b"of 2000 B at most" in reply.body
    assert node.submit(names[:100]).status == 201


def test_a_format_counts_once_every_node_announced_it_and_no_running_node_lacks_it() -> None:
    class Stub:
        replica = Replica()

        def on(self, *_: object) -> None: ...

    stub: Any = Stub()
    siblings = [
        {"node_name": n, "zone": "east", "endpoint": "10.0.0.9:1"} for n in ("winch-1", "winch-2")
    ]
    raw = {
        "node_name": "winch-0",
        "zone": "east",
        "api_addr": "10.0.0.1:1",
        "back": "10.0.0.1:2",
        "endpoints": {"cloud": "10.0.0.1:3", "state": "10.0.0.1:4"},
        "siblings": siblings,
        "deployment": {
            "zones": ["east"],
            "teams": [],
            "workers": dict.fromkeys(
                ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"), 9
            ),
            "state": {"rps": 9, "write_rps": 9, "value_kb": 8, "txn_ops": 8},
            "cloud": {"rps": 9, "list_lag_s": 9},
        },
    }
    settings = msgspec.convert(raw, Settings, strict=False)
    membership = Membership(settings, stub, stub, stub, random.Random(1))

    def put(key: str, value: object, version: int) -> None:
        event = m.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        stub.replica.apply(m.Changes(version, [event]))

    new = r.Software(c.FORMAT, "0.2.0")
    for version, node in enumerate(("winch-0", "winch-1"), 1):
        put(r.software_key(node), new, version)
        put(r.member_key(node), r.Member("1", c.FORMAT), version)
    assert not membership.all_support(c.FORMAT)  # winch-2 is away and may come back older
    put(r.software_key("winch-2"), new, 5)
    assert membership.all_support(c.FORMAT)  # winch-2 has announced it and may be away now
    put(r.member_key("winch-2"), {"incarnation": "7"}, 6)
    assert not membership.all_support(c.FORMAT)  # winch-2 was rolled back to the older version


def test_overload_refuses_new_writes_but_still_answers_about_known_jobs() -> None:
    node = Node()
    assert node.submit([], name_id="j-1").status == 201
    node.write_wait_s = 3.0
    refused = node.submit([], name_id="j-2")
    assert (refused.status, refused.headers) == (503, [("Retry-After", "4")])
    assert "j-2" not in node.replica.jobs
    assert asyncio.run(node.users.cancel("j-1")).status == 503
    assert node.submit([], name_id="j-1").status == 200
    assert node.submit([], name_id="j-3", crew="nobody").status == 422
