"""The `Workers` service of a single owner: check-ins, tracking and planning of machines."""

import asyncio
from typing import Any

import msgspec

from pulleydeal.http import Request
from pulleydeal.metrics import Metrics
from pulleydeal.settings import WorkerTimings
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.commands import CommandAuthority, Order
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.service import Workers
from pulleydeal.workers.sickness import FailureCause, is_sick
from pulleydeal.workers.tracked_machine import SentStart, TrackedMachine


class FakeNode:
    """Membership, store and clock of a node that is always a member and owns everything."""

    epoch = 3
    is_member = True
    me = "winch-0"
    incarnation = "1"
    fresh_as_of = 0.0
    view = r.View(3, {"winch-0": "1"})

    def __init__(self) -> None:
        self.replica = Replica()
        self.replica.loaded = True
        self._version = 0

    def now(self) -> float:
        return 1.0

    wall = now

    def owner(self, machine: str, zone: str) -> str:
        return self.me

    def owns(self, machine: str, zone: str) -> bool:
        return True

    def relayed_cancellations(self) -> set[str]:
        return set()

    def cancellations_known_at(self) -> float:
        return -1e9

    def put(self, key: str, value: object) -> None:
        self._version += 1
        event = m.Event(self._version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        self.replica.apply(m.Changes(self._version, [event]))


def make_workers(node: Any) -> Workers:
    times = WorkerTimings(
        report_s=3.0, lease_s=14.0, gang_wait_s=50.0, gang_peer_s=8.0, cancel_s=34
    )
    return Workers(node, node, times, node, Metrics(), {}, PartitionPolicy())


def checkin_request(machine: str, tally: int, *lifts: str, token: int = 3 << 24) -> Request:
    body = {
        "block": machine,
        "addr": "10.1.0.1:9000",
        "rig_model": "t4",
        "yard": "east",
        "loaners": False,
        "shift": 1,
        "tally": tally,
        "whistle": token,
        "lifts": [{"lift": lift, "pull": 1, "tension": "running"} for lift in lifts],
    }
    return Request("POST", "/checkin", msgspec.json.encode(body))


def machine_record(state: r.MachineState) -> r.MachineRecord:
    return r.MachineRecord(state, "t4", "east", False, "10.1.0.1:9000")


def test_returned_machine_is_no_longer_tracked() -> None:
    node = FakeNode()
    workers = make_workers(node)
    credit_changes: list[str] = []
    workers.on_credit_change = credit_changes.append
    node.put(r.machine_key("vm-1"), machine_record("up"))
    asyncio.run(workers.checkin(checkin_request("vm-1", 1)))
    assert list(workers.machines) == ["vm-1"]
    node.put(r.machine_key("vm-1"), machine_record("drain"))
    assert list(workers.machines) == ["vm-1"]  # its tasks must still be stopped
    credit_changes.clear()
    node.put(r.machine_key("vm-1"), machine_record("gone"))
    assert workers.machines == {} and credit_changes == ["vm-1"]


def test_only_a_changed_report_renews_the_credit() -> None:
    node = FakeNode()
    workers = make_workers(node)
    credit_changes: list[str] = []
    workers.on_credit_change = credit_changes.append
    node.put(r.machine_key("vm-1"), machine_record("up"))
    answers = []
    for tally, lifts in ((1, []), (2, []), (3, ["j-1/0"]), (4, ["j-1/0"])):
        credit_changes.clear()
        asyncio.run(workers.checkin(checkin_request("vm-1", tally, *lifts)))
        answers.append(bool(credit_changes))
    assert answers == [True, False, True, False]


def test_failures_of_different_jobs_blame_the_machine_unless_they_fail_elsewhere() -> None:
    s = TrackedMachine("vm-1", "t4", "east", False, 0.0, 0, set())

    def set_failures(*jobs: str) -> None:
        s.errors = [(10.0 + i, (job, i, 1)) for i, job in enumerate(jobs)]

    def is_sick_if(*faulty: str, sound: str = "") -> bool:
        def cause_of(job: str, _: int) -> FailureCause:
            return "job" if job in faulty else "machine" if job == sound else "open"

        return is_sick(s, 20.0, cause_of)

    set_failures("j-1", "j-1", "j-1")
    assert not is_sick_if()  # the one job may be faulty
    set_failures("j-1", "j-2", "j-1")
    assert not is_sick_if()  # both jobs may be faulty
    assert is_sick_if(sound="j-2")  # j-2 succeeded elsewhere
    assert not is_sick_if("j-1", sound="j-2")  # j-1 fails elsewhere too: one job is not enough
    set_failures("j-1", "j-2", "j-3", "j-4", "j-5")
    assert is_sick_if("j-1", "j-2")  # faulty jobs do not hide a sick machine
    assert not is_sick(s, 200.0, lambda *_: "machine")  # the failures are too old


def test_checkin_answers_carry_kills_while_an_order_hangs() -> None:
    """Hanging orders kept kills out of the answers, which went on renewing the lease."""
    node = FakeNode()
    workers = make_workers(node)
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    node.put(r.machine_key("vm-1"), machine_record("up"))
    node.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])
    node.put(r.job_key("j-1"), r.JobRecord("cancelled", 1, 0.0, spec))

    async def run() -> list[Any]:
        await workers.checkin(checkin_request("vm-1", 1, "j-1/0"))
        workers.machines["vm-1"].order_in_flight = True
        workers.machines["vm-1"].killed_at.clear()
        reply = await workers.checkin(checkin_request("vm-1", 2, "j-1/0", "j-2/0"))
        return list(msgspec.json.decode(reply.body)["calls"])

    calls = asyncio.run(run())
    commanded = {(call["call"], call["lift"]) for call in calls}
    assert commanded == {("kill", "j-1/0"), ("kill", "j-2/0")}


def test_checkins_are_refused_once_the_state_copy_is_too_old() -> None:
    node = FakeNode()
    node.fresh_as_of = 1.0 - 20.0  # copy older than cancel_s - lease_s - margin: 34 - 14 - 3 s
    workers = make_workers(node)

    async def run() -> int:
        return (await workers.checkin(checkin_request("vm-1", 1))).status

    assert asyncio.run(run()) == 503
    node.fresh_as_of = -15.0
    assert asyncio.run(run()) == 200


def test_machine_without_a_record_is_trusted_only_once_it_holds_a_new_token() -> None:
    """A delayed report of a returned machine made the node offer its capacity again."""
    workers = make_workers(FakeNode())

    async def run() -> list[bool]:
        trusted = []
        for tally, token in ((7, 3 << 24), (8, (3 << 24) + 1)):
            reply = await workers.checkin(checkin_request("vm-9", tally, token=token))
            trusted.append(workers.machines["vm-9"].trusted)
            assert msgspec.json.decode(reply.body)["whistle"] == (3 << 24) + 1
        return trusted

    assert asyncio.run(run()) == [False, True]


def test_machine_is_probed_when_its_first_report_is_old() -> None:
    node = FakeNode()
    workers = make_workers(node)
    node.put(r.machine_key("vm-1"), machine_record("up"))
    probed: list[str] = []
    workers.commander.probe = lambda tracked: probed.append(tracked.id)  # type: ignore[method-assign]

    async def run() -> None:
        await workers.checkin(checkin_request("vm-1", 40, "j-1/0", token=2 << 24))
        workers._reconcile_machine(workers.machines["vm-1"])

    asyncio.run(run())
    assert probed == ["vm-1"] and not workers.machines["vm-1"].trusted


def test_unanswered_start_is_lost_only_after_a_report_with_a_higher_token() -> None:
    """The machine may still execute the order as long as it accepts the order's token."""
    node = FakeNode()
    workers = make_workers(node)
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    node.put(r.machine_key("vm-1"), machine_record("up"))
    node.put(r.job_key("j-1"), r.JobRecord("open", 1, 0.0, spec))
    exits: list[Any] = []
    workers.exits.record = lambda _, task_exit: exits.append(task_exit.detail)  # type: ignore[method-assign]

    async def run() -> list[list[Any]]:
        await workers.checkin(checkin_request("vm-1", 1))
        node.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])
        tracked = workers.machines["vm-1"]
        start = ("j-1", 0, 1)
        tracked.sent[start] = SentStart(1, 0, direct=True)
        authority = CommandAuthority(3, 3 << 24, 1)
        workers.commander.orders._handle_unconfirmed(
            Order(tracked, authority, [], [start], 1.0), maybe_executed=True
        )
        seen = []
        for tally, token in ((2, 3 << 24), (3, (3 << 24) + 1)):
            await workers.checkin(checkin_request("vm-1", tally, token=token))
            seen.append(list(exits))
        return seen

    assert asyncio.run(run()) == [[], ["never came up"]]
