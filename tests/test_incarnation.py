"""Nodes and machines that are back at once: who is who, and which reports are news."""

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
from pulleydeal.workers.station import Station, absorb


def report(session: int, seq: int, token: int, *tasks: str) -> m.Report:
    on = [m.ReportedTask(task, 1, "running") for task in tasks]
    return m.Report("vm-1", "10.1.0.1:9000", "t4", "east", False, session, seq, token, None, on)


def station() -> Station:
    s = Station("vm-1", "t4", "east", False, 0.0, 70, set())
    absorb(s, report(2, 500, 70, "j-1/0"), 10.0, checkin=True)
    return s


@pytest.mark.parametrize(
    ("heard", "at", "doubted"),
    [
        (report(2, 501, 70), 13.0, False),  # the next one
        (report(3, 1, 70), 13.0, False),  # a new session keeps its token
        (report(2, 499, 70), 10.2, False),  # overtaken by the answer of an order
        (report(2, 499, 70), 13.0, True),  # a late copy, or a machine that forgot its tally
        (report(1, 1, 0), 10.2, True),  # of no life that holds a token
        (report(2, 501, 0), 13.0, True),  # it counts on, but holds no token
    ],
)
def test_a_checkin_that_the_present_life_did_not_make_is_doubted(
    heard: m.Report, at: float, doubted: bool
) -> None:
    assert incarnation.is_ambiguous(station(), heard, at) is doubted


def test_only_an_answer_to_an_order_tells_that_a_machine_began_anew() -> None:
    s = station()
    assert not incarnation.has_restarted(None, report(1, 1, 0))
    before = incarnation.known_state(s)
    assert not incarnation.has_restarted(before, report(2, 501, 70))
    assert incarnation.has_restarted(before, report(1, 1, 0))
    assert incarnation.has_restarted(before, report(2, 500, 70))
    assert incarnation.has_restarted(before, report(2, 900, 0))
    # Nothing that the life before may still be sent is taken by the machine after that.
    new = incarnation.state_after_restart(s, {("j-1", 0, 1)}, 71, 20.0)
    absorb(new, report(1, 2, 70), 20.0, checkin=False)
    assert not new.trusted
    absorb(new, report(1, 3, 71), 20.1, checkin=False)
    assert new.trusted and new.fence == 1 and new.inherited == {("j-1", 0, 1)}


def test_what_an_earlier_start_of_a_node_wrote_is_not_this_ones() -> None:
    """Even if both drew the same name: it would act on that start's epoch, with its tokens."""

    class Told:
        replica = Replica()

        def on(self, kind: int, handler: object) -> None: ...

    replica = Told.replica
    same = f"{random.Random(7).getrandbits(48):012x}"
    written = {r.VIEW: r.View(4, {"winch-0": same}), r.member_key("winch-0"): r.Member(same)}
    for version, (key, value) in enumerate(written.items(), 1):
        event = sm.Event(version, key, None, msgspec.Raw(msgspec.json.encode(value)))
        replica.apply(sm.Changes(version, [event]))
    settings: Any = type("S", (), {"node_name": "winch-0", "teams": {}})
    told: Any = Told()
    membership = Membership(settings, told, told, told, random.Random(7))
    assert membership.incarnation == same and not membership.is_member
    membership.enter()
    assert membership.incarnation != same and not membership.is_member


@pytest.mark.parametrize("seed", [1, 2])
def test_restarts_drawn_at_random_break_nothing(seed: int) -> None:
    found = restarts.one(seed)
    assert (found["broken"], found["failures"], found["open"]) == ([], [], [])
    assert found["starts"] > 10
