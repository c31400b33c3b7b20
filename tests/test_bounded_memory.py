"""What a node keeps of machines, attempts and jobs ends some time after they do."""

import asyncio
import random
import tracemalloc
from types import SimpleNamespace
from typing import Any

import msgspec

from pulleydeal import constants as c
from pulleydeal.credits.images import ImageLocations
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.placement.failures import FailureBackoff
from pulleydeal.store import messages as sm
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers import messages as m
from pulleydeal.workers.eviction import Eviction
from pulleydeal.workers.exits import ExitRecorder
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.tracked_machine import (
    DesiredTask,
    Exit,
    Plan,
    TrackedMachine,
    apply_report,
    reconcile,
)
from tests.test_rentals import FakeNode
from tests.test_station import LEASE_S, SPEC


class BusyMachine:
    """A machine whose one task is replaced by the next one every second, for a long time."""

    def __init__(self) -> None:
        self.tracked = TrackedMachine("vm-1", "t4", "east", False, 0.0, 0, set())
        self.seq = 0

    def report(self, at: float, *attempts: int) -> None:
        self.seq += 1
        tasks = [m.ReportedTask("j-1/0", attempt, "running") for attempt in attempts]
        args = ("vm-1", "1.2.3.4:5", "t4", "east", False, 1, self.seq, 0, None)
        assert apply_report(self.tracked, m.Report(*args, tasks), at, checkin=True)
        self.tracked.checkin_answered_at = at

    def plan(self, at: float, bound_attempt: int) -> Plan:
        desired = {("j-1", 0): DesiredTask(r.Task("vm-1", bound_attempt), SPEC)}
        return reconcile(self.tracked, desired, at, LEASE_S)


# Guards against `ended_for_memory`: a node kept every attempt that a machine ever reported, and
# when it was killed, for as long as it owned the machine.
def test_attempts_of_a_machine_are_forgotten_some_time_after_their_end() -> None:
    machine = BusyMachine()
    seconds = int(5 * c.SEEN_ATTEMPT_KEPT_S)
    for at in range(1, seconds):
        machine.report(float(at), at)
        machine.plan(float(at), bound_attempt=at + 1)  # the reported one is killed
    assert len(machine.tracked.seen) <= 2 * c.SEEN_ATTEMPT_KEPT_S + 1
    assert len(machine.tracked.killed_at) <= c.SEEN_ATTEMPT_KEPT_S + c.KILL_REPEAT_S


# Guards against `ran_twice`: an attempt that ended must not be started again because it was
# forgotten while it is still bound, or while an older copy of the state still shows it.
def test_attempt_that_vanished_is_never_started_again() -> None:
    machine = BusyMachine()
    machine.report(1.0, 7)
    assert machine.plan(1.0, bound_attempt=7).is_empty
    for at in range(2, int(4 * c.SEEN_ATTEMPT_KEPT_S), 5):  # its end can't be written
        machine.report(float(at))
        plan = machine.plan(float(at), bound_attempt=7)
        assert not plan.runs and [x.detail for x in plan.exits] == [
            "vanished: the machine lost its lease"
        ]
    for _ in range(int(c.SEEN_ATTEMPT_KEPT_S / 5) - 1):  # written, and unbound
        at += 5
        machine.report(float(at))
        reconcile(machine.tracked, {}, float(at), LEASE_S)
    assert not machine.plan(float(at), bound_attempt=7).runs


class Around:
    """What a membership needs of the node around it."""

    node_name = "winch-0"
    teams: dict[str, Any] = {}  # noqa: RUF012

    def __init__(self) -> None:
        self.replica = Replica()
        self.replica.loaded = True
        me: Any = self
        self.membership = Membership(me, me, me, me, random.Random(1))
        self.membership._incarnation_checked = True
        members = {"winch-0": self.membership.incarnation, "winch-1": "x", "winch-2": "y"}
        self.version = 0
        self.apply(put={r.VIEW_KEY: r.View(1, members)})

    me = node_name

    def on(self, kind: object, handler: object) -> None:
        return

    def now(self) -> float:
        return 0.0

    def apply(self, put: dict[str, object] | None = None, delete: str | None = None) -> None:
        self.version += 1
        events = [
            sm.Event(self.version, key, None, msgspec.Raw(msgspec.json.encode(value)))
            for key, value in (put or {}).items()
        ]
        events += [sm.Event(self.version, None, delete)] if delete else []
        self.replica.apply(sm.Changes(self.version, events))


# Guards against `ended_for_memory`: a cache of hashes kept 720 B of each of 43,000 jobs and
# machines that were over, 35 MB of every node.
def test_leaders_and_owners_of_what_is_over_are_not_kept() -> None:
    around = Around()
    membership = around.membership

    def work(first: int, count: int) -> int:
        led = 0
        for i in range(first, first + count):
            spec = msgspec.structs.replace(SPEC, id=f"j-{i:06d}")
            led += membership.leads_job(spec) and membership.leads_job(spec)
            machine = f"vm-{i:06d}"
            around.apply(put={r.machine_key(machine): r.MachineRecord("up", "t4", "east", False)})
            owners = {membership.owner(machine, "east") for _ in range(2)}
            assert len(owners) == 1
            membership.owner(f"unknown-{i}", "east")
            around.apply(delete=r.machine_key(machine))
        return led

    assert 0 < work(0, 50) < 50
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        work(50, 1_000)
        kept = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert kept < 16 * 1_000


def test_owner_follows_the_view() -> None:
    around = Around()
    machines = [f"vm-{i:03d}" for i in range(60)]
    for machine in machines:
        around.apply(put={r.machine_key(machine): r.MachineRecord("up", "t4", "east", False)})
    before = {x: around.membership.owner(x, "east") for x in machines}
    assert before == {x: around.membership.owner(x, "east") for x in machines}
    assert set(before.values()) == {"winch-0", "winch-1", "winch-2"}
    members = {name: x for name, x in around.replica.view.members.items() if name != "winch-1"}
    around.apply(put={r.VIEW_KEY: r.View(2, members, [("winch-2", "west")])})
    after = {x: around.membership.owner(x, "east") for x in machines}
    assert set(after.values()) == {"winch-0", "winch-2"}
    assert all(after[x] == owner for x, owner in before.items() if owner != "winch-1")
    assert {around.membership.owner(x, "west") for x in machines} == {"winch-0"}


class StoreWithoutService:
    """Keeps every change that is asked for, as in an outage of the state service."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.pending: list[asyncio.Future[bool]] = []

    def change_job(self, job: str, mutate: object, priority: object) -> "asyncio.Future[bool]":
        self.pending.append(asyncio.get_running_loop().create_future())
        return self.pending[-1]


# Guards against `ended_for_memory` in an outage: each round asked again for the stops that were
# not written yet, and each of these changes waited with its own future.
def test_stop_is_asked_for_once_until_it_is_written_or_given_up() -> None:
    async def run() -> None:
        store = StoreWithoutService()
        anything: Any = store
        eviction = Eviction(
            anything, anything, anything, anything, {}, anything, PartitionPolicy(), set()
        )
        for _ in range(100):
            eviction.stop("j-1", 0, 4, "a drain")
            eviction.stop("j-1", 1, 4, "a drain")
        assert len(store.pending) == 2
        store.pending[0].set_result(False)  # given up: asked for again
        await asyncio.sleep(0)
        for _ in range(100):
            eviction.stop("j-1", 0, 4, "a drain")
        eviction.stop("j-1", 0, 5, "a drain")
        assert len(store.pending) == 4

    asyncio.run(run())


# Guards against growth while a job stays open: a service that fails again and again is avoided by
# its job on each machine that was ever rented for it.
def test_machines_avoided_no_longer_are_forgotten_while_their_job_is_open() -> None:
    backoff = FailureBackoff()
    key = ("j-1", 0)
    for failures in range(1, 500):
        now = failures * c.AVOID_S
        backoff.record_machine(key, f"vm-{failures}")
        backoff.may_retry(key, failures, now)
        backoff.retain_jobs({"j-1"}, now)
        assert backoff.avoided_machines("j-1", now) == [f"vm-{failures}"]
    assert len(backoff._avoided["j-1"]) <= 2


# Guards against growth by loads, which report no deletions of single machines.
def test_images_of_machines_that_went_during_a_load_are_forgotten() -> None:
    around = Around()
    anything: Any = around
    images = ImageLocations(anything, anything, around.replica, anything, lambda _: None)
    for round_ in range(50):
        machine = f"vm-{round_}"
        entry = sm.Entry(
            r.machine_key(machine),
            msgspec.Raw(msgspec.json.encode(r.MachineRecord("up", "t4", "east", False))),
            round_ + 1,
        )
        around.replica.begin_load()
        around.replica.load([entry])
        around.replica.end_load(round_ + 1)
        images.schedule_syncs()
        images.record_bindings(machine)
    assert list(images._images) == ["vm-49"]


# Guards against growth by names: users name the classes of their jobs.
def test_classes_without_recent_jobs_are_forgotten() -> None:
    async def run() -> None:
        fleet = FakeNode().fleet
        long_ago = fleet._clock.wall() - 2 * c.ARRIVALS_S
        fleet._recent_jobs = {f"class-{i}": {"j-1": (long_ago, SPEC)} for i in range(100)}
        fleet._recent_jobs["now"] = {"j-2": (fleet._clock.wall(), SPEC)}
        fleet._headroom(20.0)
        assert list(fleet._recent_jobs) == ["now"]

    asyncio.run(run())


# Guards against growth by names: a machine may give any text as the reason of an exit.
def test_metric_of_ends_has_one_label_for_all_unknown_outcomes() -> None:
    store = StoreWithoutService()
    anything: Any = store
    metrics = Metrics()
    decisions: Any = SimpleNamespace(write=lambda _: None)
    tracked = TrackedMachine("vm-1", "t4", "east", False, 0.0, 0, set())

    async def run() -> None:
        exits = ExitRecorder(anything, anything, anything, metrics, decisions, {}, lambda _: None)
        for i in range(50):
            exits.record(tracked, Exit("j-1", i, 1, "vm-1", f"reason {i}", "a test"))
        exits.record(tracked, Exit("j-1", 50, 1, "vm-1", "done", ""))

    asyncio.run(run())
    counted = {
        sample.labels["outcome"]: sample.value
        for metric in metrics.attempt_ends.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }
    assert counted == {"other": 50.0, "done": 1.0}
