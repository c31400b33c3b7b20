"""Restarts of nodes and machines: whether a report or record belongs to the current run."""

import random
from typing import Any

import msgspec
import pytest

from experiments import restarts
from pulleydeal.membership.service import Membership
from pulleydeal.store import messages as sm
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers import incarnation
from pulleydeal.workers import messages as m
from pulleydeal.workers.tracked_machine import TrackedMachine, apply_report


def report(session: int, seq: int, token: int, *tasks: str) -> m.Report:
    on = [m.ReportedTask(task, 1, "running") for task in tasks]
    return m.Report("vm-1", "10.1.0.1:9000", "t4", "east", False, session, seq, token, None, on)


def tracked_machine() -> TrackedMachine:
    s = TrackedMachine("vm-1", "t4", "east", False, 0.0, 70, set())
    apply_report(s, report(2, 500, 70, "j-1/0"), 10.0, checkin=True)
    return s


@pytest.mark.parametrize(
    ("checkin", "at", "ambiguous"),
    [
        (report(2, 501, 70), 13.0, False),  # the next report
        (report(3, 1, 70), 13.0, False),  # a new session keeps its token
        (report(2, 499, 70), 10.2, False),  # overtaken by the answer to an order
        (report(2, 499, 70), 13.0, True),  # a delayed copy, or a machine that lost its report count
        (report(1, 1, 0), 10.2, True),  # from a run without a token
        (report(2, 501, 0), 13.0, True),  # its report count went on, but it holds no token
    ],
)
def test_checkin_that_the_current_run_may_not_have_sent_is_ambiguous(
    checkin: m.Report, at: float, ambiguous: bool
) -> None:
    assert incarnation.is_ambiguous(tracked_machine(), checkin, at) is ambiguous


def test_restart_is_detected_from_the_answer_to_an_order() -> None:
    s = tracked_machine()
    assert not incarnation.has_restarted(None, report(1, 1, 0))
    before = incarnation.known_state(s)
    assert not incarnation.has_restarted(before, report(2, 501, 70))
    assert incarnation.has_restarted(before, report(1, 1, 0))
    assert incarnation.has_restarted(before, report(2, 500, 70))
    assert incarnation.has_restarted(before, report(2, 900, 0))
    # Once the machine reports the raised token, it refuses orders sent before the restart.
    new = incarnation.state_after_restart(s, {("j-1", 0, 1)}, 71, 20.0)
    apply_report(new, report(1, 2, 70), 20.0, checkin=False)
    assert not new.trusted
    apply_report(new, report(1, 3, 71), 20.1, checkin=False)
    assert new.trusted and new.fence == 1 and new.inherited == {("j-1", 0, 1)}


def test_restarted_node_does_not_act_as_the_member_it_was_before() -> None:
    """It would act in that epoch with its tokens, if both starts drew the same incarnation."""

    class FakeStore:
        replica = Replica()

        def on(self, kind: int, handler: object) -> None: ...

    replica = FakeStore.replica
    same = f"{random.Random(7).getrandbits(48):012x}"
    written = {r.VIEW_KEY: r.View(4, {"winch-0": same}), r.member_key("winch-0"): r.Member(same)}
    for version, (key, value) in enumerate(written.items(), 1):
        event = sm.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        replica.apply(sm.Changes(version, [event]))
    settings: Any = type("S", (), {"node_name": "winch-0", "teams": {}})
    fake: Any = FakeStore()
    membership = Membership(settings, fake, fake, fake, random.Random(7))
    assert membership.incarnation == same and not membership.is_member
    membership.ensure_new_incarnation()
    assert membership.incarnation != same and not membership.is_member


@pytest.mark.parametrize("seed", [1, 2])
def test_random_restarts_break_no_rule(seed: int) -> None:
    found = restarts.one(seed)
    assert (found["broken"], found["failures"], found["open"]) == ([], [], [])
    assert found["starts"] > 10
