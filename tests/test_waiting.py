"""What the user of a job that waits on others is answered, by one node alone."""

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
from pulleydeal.workers.keeping import Keeping

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
    """Membership, store and clock in one; `elsewhere` becomes known by the next fresh read."""

    is_member = True

    def __init__(self) -> None:
        self.replica = Replica()
        self.limits = Limits(2_000, 8)
        self.all_new = True
        self.down = False
        self.reads = 0
        self.elsewhere: dict[str, r.JobRecord] = {}
        type_ = r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])
        self._put({r.CATALOG: r.Catalog([type_])})
        self.replica.end_load(1)
        team = {"core": Team("core")}
        me: Any = self
        self.client = me
        self.queue_s, self.writes_per_s = 0.0, 10.0
        self.users = Submissions(me, me, team, ["east"], me, Metrics(), lambda _: "", Keeping())

    def _put(self, puts: dict[str, Any]) -> None:
        encoded = {k: msgspec.json.encode(v) for k, v in puts.items()}
        self.replica.committed(encoded, [], self.replica.revision + 1)
        self.replica.revision += 1

    def journals(self, _spec: r.JobSpec) -> bool:
        return False

    def know(self, name: str, status: r.Status, kind: str = "array") -> None:
        spec = r.JobSpec(name, "c", "core", kind, 1, 1, 1.0, 0.0, 1.0, "img", 1.0)  # type: ignore[arg-type]
        self._put(
            {r.job_key(name): r.JobRecord(status, 1, 1.0, spec if status == "open" else None)}
        )

    async def commit(self, conditions: dict[str, int], puts: dict[str, Any]) -> bool:
        if self.down:
            raise Unavailable
        self._put(puts)
        return True

    async def fresh(self) -> None:
        if self.down:
            raise Unavailable
        self.reads += 1
        found, self.elsewhere = self.elsewhere, {}
        self._put({r.job_key(name): rec for name, rec in found.items()})

    def shut_out(self) -> bool:
        return False

    def all_keep(self, format_: int) -> bool:
        return self.all_new

    def wall(self) -> float:
        return 50.0

    def now(self) -> float:
        return 7.0

    def first_wait_s(self) -> float:
        return self.queue_s

    def submit(self, waits_on: object, **more: object) -> Response:
        body = json.dumps(BODY | {"waits_on": waits_on} | more).encode()
        request = self.users._only(
            "POST", Request("POST", "/submissions", body), self.users.submit(body)
        )
        return asyncio.run(request)

    def show(self, name: str) -> dict[str, Any]:
        return dict(json.loads(asyncio.run(self.users.show(name)).body))


@pytest.mark.parametrize("waits_on", ["j-1", {"j-1": 1}, ["1"], ["j-x"], [7], [None]])
def test_a_malformed_list_is_400(waits_on: object) -> None:
    assert Node().submit(waits_on).status == 400


@pytest.mark.parametrize("waits_on", [None, []])
def test_waiting_on_none_is_an_ordinary_job_in_every_version(waits_on: object) -> None:
    node = Node()
    node.all_new = False
    assert node.submit(waits_on).status == 201
    raw = msgspec.json.encode(node.replica.jobs["j-9"].record)
    assert b"waits_on" not in raw


def test_only_jobs_that_some_node_accepted_can_be_waited_on() -> None:
    node = Node()
    node.know("j-1", "open")
    reply = node.submit(["j-1", "j-2"])
    assert reply.status == 422 and b"j-2, which nobody submitted" in reply.body
    assert node.reads >= 1  # said only after a fresh read
    assert node.submit(["j-9"]).status == 422  # its own id
    node.elsewhere["j-2"] = r.JobRecord("done", 1, 2.0)
    assert node.submit(["j-1", "j-2", "j-1"]).status == 201
    assert node.replica.jobs["j-9"].waits_on == ["j-1", "j-2"]
    shown = node.show("j-9")
    assert shown["tension"] == "queued" and shown["note"] == "waits for j-1"
    assert node.submit(["j-77"]).status == 200  # a repeat, whatever is true of it now


def test_without_freshness_it_is_503_with_when_to_come_back() -> None:
    node = Node()
    node.down = True
    reply = node.submit(["j-2"])
    assert reply.status == 503 and ("Retry-After", str(c.RETRY_AFTER_S)) in reply.headers


def test_while_an_older_version_may_serve_no_job_that_waits_is_taken() -> None:
    node = Node()
    node.know("j-1", "done")
    node.all_new = False
    reply = node.submit(["j-1"])
    assert reply.status == 503 and ("Retry-After", str(c.RETRY_AFTER_S)) in reply.headers
    node.all_new = True
    assert node.submit(["j-1"]).status == 201 and node.replica.jobs["j-9"].is_ready


def test_a_running_service_is_never_done_and_a_cancelled_one_cancels() -> None:
    node = Node()
    node.know("j-1", "open", "service")
    reply = node.submit(["j-1"])
    assert reply.status == 422 and b"service" in reply.body
    node.know("j-1", "cancelled")
    assert node.submit(["j-1"]).status == 201
    assert node.show("j-9") == {"name_id": "j-9", "tension": "cancelled", "done": 0, "running": 0}


def test_a_description_that_would_outgrow_a_value_is_422_and_names_the_bound() -> None:
    node = Node()
    names = [f"j-{i}" for i in range(100, 400)]
    for name in names:
        node.know(name, "done")
    reply = node.submit(names)
    assert reply.status == 422 and b"of 2000 B at most" in reply.body
    assert node.submit(names[:100]).status == 201


def test_who_keeps_what_is_known_durably_and_of_those_that_serve() -> None:
    class Parts:
        replica = Replica()

        def on(self, *_: object) -> None: ...

    parts: Any = Parts()
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
    membership = Membership(settings, parts, parts, parts, random.Random(1))

    def put(key: str, value: object, version: int) -> None:
        event = m.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        parts.replica.apply(m.Changes(version, [event]))

    new = r.Software(c.FORMAT, "0.2.0")
    for version, node in enumerate(("winch-0", "winch-1"), 1):
        put(r.software_key(node), new, version)
        put(r.member_key(node), r.Member("1", c.FORMAT), version)
    assert not membership.all_keep(c.FORMAT)  # winch-2 is merely away, and may come back old
    put(r.software_key("winch-2"), new, 5)
    assert membership.all_keep(c.FORMAT)  # it has shown it, and may be away now
    put(r.member_key("winch-2"), {"incarnation": "7"}, 6)
    assert not membership.all_keep(c.FORMAT)  # put back to the older version


def test_what_cannot_be_written_in_time_is_refused_and_what_is_known_is_still_told() -> None:
    node = Node()
    assert node.submit([], name_id="j-1").status == 201
    node.queue_s = 3.0
    refused = node.submit([], name_id="j-2")
    assert (refused.status, refused.headers) == (503, [("Retry-After", "4")])
    assert "j-2" not in node.replica.jobs
    assert asyncio.run(node.users.cancel("j-1")).status == 503
    assert node.submit([], name_id="j-1").status == 200
    assert node.submit([], name_id="j-3", crew="nobody").status == 422
