"""What a job leaves out after a failure, and for how long."""

from pulleydeal import constants as c
from pulleydeal.placement.failures import Failures


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
