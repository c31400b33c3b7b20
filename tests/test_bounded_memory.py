"""What a node keeps of machines, attempts and jobs ends some time after they do."""

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.tracked_machine import (
    DesiredTask,
    Plan,
    TrackedMachine,
    apply_report,
    reconcile,
)
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
