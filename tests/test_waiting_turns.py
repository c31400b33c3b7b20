"""What a job leaves out after a failure, and when one that has not begun goes first."""

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.credits.asks import ask_for
from pulleydeal.credits.queue import Waiting, order
from pulleydeal.placement.failures import Failures
from pulleydeal.placement.pending import Pending, PendingAsks
from pulleydeal.settings import Objective
from pulleydeal.store import records as r
from pulleydeal.store.job import Job


def test_a_failed_task_pauses_and_its_machine_is_left_out_for_a_while_only() -> None:
    """Left out for good, the one machine with room kept a job waiting for ever."""
    failures = Failures()
    key = ("j-1", 0)
    failures.ran_on(key, "vm-1")
    assert failures.may_try(key, 0, 10.0) and failures.avoided("j-1", 10.0) == []
    assert not failures.may_try(key, 1, 10.0)
    assert failures.may_try(key, 1, 10.0 + c.ERROR_BACKOFF_S)
    assert failures.avoided("j-1", 54.0) == ["vm-1"] and failures.avoided("j-2", 54.0) == []
    assert failures.avoided("j-1", 56.0) == []
    failures.forget({"j-2"})
    assert failures.avoided("j-1", 20.0) == []


def test_a_message_names_the_machines_that_failed_last() -> None:
    failures = Failures()
    for i in range(c.AVOID_MOST + 5):
        failures.ran_on(("j-1", i), f"vm-{i:03d}")
        failures.may_try(("j-1", i), 1, float(i) / 10)
    assert failures.avoided("j-1", 6.0) == [f"vm-{i:03d}" for i in range(5, c.AVOID_MOST + 5)]


def test_an_array_of_which_nothing_began_goes_first_before_the_largest_have_to_begin() -> None:
    """The shortest first left a class's longest without a single start while others came."""
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 40, 1.0, 1.0, 1.0, "img", 1.0)
    spec = msgspec.structs.replace(spec, estimate_s=300.0)

    def turn(waited_s: float, **tasks: object) -> tuple[int, float]:
        record = r.JobRecord("open", 40, 0.0, spec)
        job = Job("j-1", 1, record, spec, **tasks)  # type: ignore[arg-type]
        aims = [Objective("finished", "c", within_s=450.0)]
        return rules.turn(job, aims, waited_s)

    small = 15.0  # a short job's waiting work
    assert turn(c.BEGIN_S) == (0, 12000.0)
    assert turn(c.BEGIN_S + 1) < (0, small)
    assert turn(300.0) < (0, small)  # also once its own aim is missed
    assert turn(300.0, on_machines={0: r.Task("vm-1", 1)}) == (1, 39 * 300.0)
    assert turn(300.0, last_stop="m") == (1, 40 * 300.0)  # it had begun, and gave way
    assert rules.turn(Job("j-1", 1, r.JobRecord("open", 40, 0.0, spec), spec), [], 300.0)[1] > small


def asks_of(job: str, copies: int, running: int, at: float) -> list[Waiting]:
    """As one leader sends them in one round."""
    spec = r.JobSpec(job, "c", "core", "service", 3, copies, 1.0, 1.0, 1.0, "img", 1.0)
    turn = rules.Turn(0, running / copies, at)
    return [
        Waiting(
            ask_for(spec, index, 3, False, rules.task_turn(spec, turn, index), ["east"], []),
            "winch-0",
            1.0,
            9.0,
            0.0,
        )
        for index in range(running, copies)
    ]


def test_services_that_wait_at_once_each_have_a_copy_before_one_has_its_second() -> None:
    waiting = [*asks_of("j-1", 6, 0, 1.0), *asks_of("j-2", 6, 0, 2.0), *asks_of("j-3", 3, 1, 0.5)]
    served = [(w.ask.job, w.ask.index) for w in sorted(waiting, key=order)]
    # j-3 has a third of its copies: it comes once the others have two of their six.
    assert served[:5] == [("j-1", 0), ("j-2", 0), ("j-1", 1), ("j-2", 1), ("j-3", 1)]


def test_the_turn_of_an_arrays_task_is_its_jobs() -> None:
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 6, 1.0, 1.0, 1.0, "img", 1.0)
    assert rules.task_turn(spec, rules.Turn(1, 30.0, 2.0), 4) == (1, 30.0, 2.0)


def test_tasks_that_have_room_or_are_being_bound_count_as_there() -> None:
    asks = PendingAsks()
    for index in range(4):
        asks.put(("j-1", index), Pending("winch-0", 1.0, 1.0, ["east"]))
    asks.of("j-1")[1].machine = "vm-1"
    asks.of("j-1")[2].machine = "vm-2"
    asks.write(("j-1", 2))
    spec = r.JobSpec("j-1", "c", "core", "service", 3, 4, 1.0, 1.0, 1.0, "img", 1.0)
    record = r.JobRecord("open", 4, 0.0, spec)
    assert asks.with_room(Job("j-1", 1, record, spec)) == 2
    shown = Job("j-1", 1, record, spec, on_machines={2: r.Task("vm-2", 1)})
    assert asks.with_room(shown) == 1  # it counts as bound already
