"""The worker slice of one owner alone: which machines it keeps, and which it looks at."""

import asyncio
from typing import Any

import msgspec

from pulleydeal.http import Request
from pulleydeal.metrics import Metrics
from pulleydeal.settings import WorkerTimes
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.commands import CommandAuthority, Order
from pulleydeal.workers.keeping import Keeping
from pulleydeal.workers.service import Workers
from pulleydeal.workers.station import FailureCause, SentStart, Station, is_sick


class Alone:
    """Membership, store and clock in one: always a member, owner of everything."""

    epoch = 3
    is_member = True
    me = "winch-0"
    incarnation = "1"
    current_at = 0.0
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

    def relayed_cancels(self) -> set[str]:
        return set()

    def vouched_at(self) -> float:
        return -1e9

    def put(self, key: str, value: object) -> None:
        self._version += 1
        event = m.Event(self._version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        self.replica.apply(m.Changes(self._version, [event]))


def workers(world: Any) -> Workers:
    times = WorkerTimes(report_s=3.0, lease_s=14.0, gang_wait_s=50.0, gang_peer_s=8.0, cancel_s=34)
    return Workers(world, world, times, world, Metrics(), {}, Keeping())


def report(machine: str, tally: int, *lifts: str, token: int = 3 << 24) -> Request:
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


def machine(state: r.MachineState) -> r.MachineRecord:
    return r.MachineRecord(state, "t4", "east", False, "10.1.0.1:9000")


def test_a_machine_that_was_given_back_is_not_asked_after_any_more() -> None:
    world = Alone()
    slice_ = workers(world)
    touched: list[str] = []
    slice_.changed = touched.append
    world.put(r.machine_key("vm-1"), machine("up"))
    asyncio.run(slice_.checkin(report("vm-1", 1)))
    assert list(slice_.stations) == ["vm-1"]
    world.put(r.machine_key("vm-1"), machine("drain"))
    assert list(slice_.stations) == ["vm-1"]  # it must still be emptied
    touched.clear()
    world.put(r.machine_key("vm-1"), machine("gone"))
    assert slice_.stations == {} and touched == ["vm-1"]


def test_only_a_report_that_says_something_new_renews_the_credit() -> None:
    world = Alone()
    slice_ = workers(world)
    touched: list[str] = []
    slice_.changed = touched.append
    world.put(r.machine_key("vm-1"), machine("up"))
    answers = []
    for tally, lifts in ((1, []), (2, []), (3, ["j-1/0"]), (4, ["j-1/0"])):
        touched.clear()
        asyncio.run(slice_.checkin(report("vm-1", tally, *lifts)))
        answers.append(bool(touched))
    assert answers == [True, False, True, False]


def test_a_machine_is_blamed_by_failures_of_different_jobs_and_a_job_by_those_on_others() -> None:
    s = Station("vm-1", "t4", "east", False, 0.0, 0, set())

    def fails(*jobs: str) -> None:
        s.errors = [(10.0 + i, (job, i, 1)) for i, job in enumerate(jobs)]

    def sick(*wrong: str, good: str = "") -> bool:
        def cause_of(job: str, _: int) -> FailureCause:
            return "job" if job in wrong else "machine" if job == good else "open"

        return is_sick(s, 20.0, cause_of)

    fails("j-1", "j-1", "j-1")
    assert not sick()  # one job may be wrong
    fails("j-1", "j-2", "j-1")
    assert not sick()  # both may be
    assert sick(good="j-2")  # this one came to its end elsewhere
    assert not sick("j-1", good="j-2")  # the first fails elsewhere too: one is not enough
    fails("j-1", "j-2", "j-3", "j-4", "j-5")
    assert sick("j-1", "j-2")  # wrong jobs do not hide a sick machine
    assert not is_sick(s, 200.0, lambda *_: "machine")  # long ago


def test_a_kill_is_in_each_answer_also_while_an_order_hangs() -> None:
    """Orders that hung kept it out of the answers, which went on renewing the lease."""
    world = Alone()
    slice_ = workers(world)
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    world.put(r.machine_key("vm-1"), machine("up"))
    world.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])
    world.put(r.job_key("j-1"), r.JobRecord("cancelled", 1, 0.0, spec))

    async def ask() -> list[Any]:
        await slice_.checkin(report("vm-1", 1, "j-1/0"))
        slice_.stations["vm-1"].busy = True
        slice_.stations["vm-1"].killed_at.clear()
        reply = await slice_.checkin(report("vm-1", 2, "j-1/0", "j-2/0"))
        return list(msgspec.json.decode(reply.body)["calls"])

    calls = asyncio.run(ask())
    told = {(call["call"], call["lift"]) for call in calls}
    assert told == {("kill", "j-1/0"), ("kill", "j-2/0")}


def test_an_answer_that_comes_late_makes_nobody_current() -> None:
    world = Alone()
    world.current_at = 1.0 - 20.0  # blind for longer than 34 - 14 - 3 s
    slice_ = workers(world)

    async def ask() -> int:
        return (await slice_.checkin(report("vm-1", 1))).status

    assert asyncio.run(ask()) == 503
    world.current_at = -15.0
    assert asyncio.run(ask()) == 200


def test_a_report_of_a_machine_without_a_record_earns_no_credit_before_it_answers() -> None:
    """It may have been given back minutes ago; its room was dealt out again."""
    slice_ = workers(Alone())

    async def ask() -> list[bool]:
        trusted = []
        for tally, token in ((7, 3 << 24), (8, (3 << 24) + 1)):
            reply = await slice_.checkin(report("vm-9", tally, token=token))
            trusted.append(slice_.stations["vm-9"].trusted)
            assert msgspec.json.decode(reply.body)["whistle"] == (3 << 24) + 1
        return trusted

    assert asyncio.run(ask()) == [False, True]


def test_a_machine_of_which_an_old_report_came_first_is_asked_all_the_same() -> None:
    world = Alone()
    slice_ = workers(world)
    world.put(r.machine_key("vm-1"), machine("up"))
    asked: list[str] = []
    slice_.commanding.probe = lambda station: asked.append(station.id)  # type: ignore[method-assign]

    async def ask() -> None:
        await slice_.checkin(report("vm-1", 40, "j-1/0", token=2 << 24))
        slice_._reconcile_machine(slice_.stations["vm-1"])

    asyncio.run(ask())
    assert asked == ["vm-1"] and not slice_.stations["vm-1"].trusted


def test_a_start_whose_order_got_no_answer_is_given_up_only_by_a_token_raised_above_it() -> None:
    """It may be carried out for as long as its token holds."""
    world = Alone()
    slice_ = workers(world)
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
    world.put(r.machine_key("vm-1"), machine("up"))
    world.put(r.job_key("j-1"), r.JobRecord("open", 1, 0.0, spec))
    given_up: list[Any] = []
    slice_.exits.record = lambda _, task_exit: given_up.append(task_exit.detail)  # type: ignore[method-assign]

    async def ask() -> list[list[Any]]:
        await slice_.checkin(report("vm-1", 1))
        world.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 1)])
        station = slice_.stations["vm-1"]
        start = ("j-1", 0, 1)
        station.sent[start] = SentStart(1, 0, direct=True)
        authority = CommandAuthority(3, 3 << 24, 1)
        slice_.commanding.orders._handle_unconfirmed(
            Order(station, authority, [], [start], 1.0), maybe_executed=True
        )
        seen = []
        for tally, token in ((2, 3 << 24), (3, (3 << 24) + 1)):
            await slice_.checkin(report("vm-1", tally, token=token))
            seen.append(list(given_up))
        return seen

    assert asyncio.run(ask()) == [[], ["never came up"]]
