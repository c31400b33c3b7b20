"""A zone that is cut off keeps its work: the decisions, what is said on the wire, the model."""

from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.frames import BadFrame
from pulleydeal.workers.messages import Report
from pulleydeal.workers.station import Station, absorb, lease_over
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide
from pulleydeal.zones.messages import Standing, pack, unpack
from tests.model.cut_zone import GUARDS, explore, follow, follow_without

TRACE = Path(__file__).parent / "traces" / "cut_zone_model.txt"
LEASE_S = 14.0


def inside(**more: object) -> decide.Self:
    values: dict[str, object] = {
        "zone": "east",
        "epoch": 7,
        "member": True,
        "all_on": True,
        "blind_s": 10.0,
        "unheard_s": 10.0,
    }
    return decide.Self(**(values | more))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("me", "machine", "why"),
    [
        ({}, {}, ""),
        ({"blind_s": 3.0}, {}, "in reach"),
        ({"unheard_s": 3.0}, {}, "in reach"),
        ({"member": False}, {}, "not a member"),
        ({"all_on": False}, {}, "not every node"),
        ({"blind_s": 86_400.0, "unheard_s": 86_400.0}, {}, ""),  # however long the cut lasts
        ({}, {"zone": "west"}, "another zone"),
        ({}, {"token_epoch": 8}, "somebody newer"),
        ({}, {"token_epoch": 2}, ""),
        ({}, {"cancelled": {"j-2"}}, "cancelled job"),
        ({}, {"cancelled": {"j-9"}}, ""),
    ],
)
def test_who_keeps_a_machine(me: dict[str, object], machine: dict[str, object], why: str) -> None:
    values: dict[str, object] = {
        "zone": "east",
        "token_epoch": 7,
        "jobs": ["j-1", "j-2"],
        "cancelled": set(),
    }
    found = decide.refuses_to_keep(inside(**me), **(values | machine))  # type: ignore[arg-type]
    assert why in found
    assert bool(why) == bool(found)


def proves(k: decide.Contact, now: float, epoch: int = 7) -> bool:
    return decide.lease_proves([k], "west", -1e9, epoch, LEASE_S, now)


def heard_each_half_second(k: decide.Contact, first: float, last: float) -> None:
    tenths = range(int(first * 10), int(last * 10) + 1, 5)
    for tenth in tenths:
        k.heard(tenth / 10, tenth / 10 + 0.01)


def test_silence_proves_only_over_a_whole_lease_of_contact() -> None:
    k = decide.Contact("east", 0.0, -1e9)
    heard_each_half_second(k, 0.0, 100.0)
    assert proves(k, 100.5)
    assert not proves(k, 100.0 + z.CONTACT_S + 0.1)
    # Contact again after a gap: it may have kept machines until now.
    heard_each_half_second(k, 105.0, 119.0)
    assert not proves(k, 119.0)
    heard_each_half_second(k, 119.5, 119.5)
    assert proves(k, 119.5)


def test_an_answer_held_back_on_its_way_is_no_contact() -> None:
    k = decide.Contact("east", 0.0, -1e9)
    heard_each_half_second(k, 0.0, 50.0)
    for late in range(100, 120):
        k.heard(50.1, float(late))  # sent before the cut, delivered now and again
    assert not proves(k, 119.0)


def test_a_machine_that_left_a_lost_node_behind_is_believed() -> None:
    k = decide.Contact("east", 0.0, -1e9)
    k.view(member=True, epoch=7, now=0.0)
    k.view(member=False, epoch=8, now=0.0)
    assert not proves(k, 100.0, epoch=7)
    assert proves(k, 100.0, epoch=8)
    # It may have been a member again in a view that was never looked at here.
    k.view(member=False, epoch=10, now=0.0)
    assert not proves(k, 100.0, epoch=8)


def test_a_lease_counts_from_when_the_machine_held_our_token() -> None:
    """An earlier owner with an older picture renewed it after our first answer, which was lost."""
    s = Station("vm-1", "t4", "east", False, 0.0, 7 << c.EPOCH_SHIFT, set())
    s.heard_at, s.answered_at, s.seen_token = 30.0, 10.0, 6 << c.EPOCH_SHIFT
    assert not lease_over(s, 100.0, LEASE_S)
    s.seen_token, s.token_at = 7 << c.EPOCH_SHIFT, 30.0
    assert not lease_over(s, 30.0 + LEASE_S, LEASE_S)
    assert lease_over(s, 32.0 + LEASE_S, LEASE_S)


def test_a_new_session_begins_with_a_whole_lease() -> None:
    """What an order had started in it was taken for lost by the answers to the session before."""
    s = Station("vm-1", "t4", "east", False, 0.0, 7 << c.EPOCH_SHIFT, set())
    for session, at in ((1, 10.0), (2, 100.0)):
        report = Report(
            "vm-1", "a:1", "t4", "east", False, session, 1, 7 << c.EPOCH_SHIFT, None, []
        )
        assert absorb(s, report, at, checkin=False)
        s.answered_at = 10.0
    assert not lease_over(s, 100.0 + LEASE_S, LEASE_S)
    assert lease_over(s, 101.1 + LEASE_S, LEASE_S)


def test_of_ones_own_zone_only_a_served_node_is_proof() -> None:
    k = decide.Contact("east", 0.0, -1e9)
    heard_each_half_second(k, 0.0, 100.0)
    for unserved_at, expected in ((100.0, False), (100.0 - LEASE_S - 1, True)):
        found = decide.lease_proves([k], "east", unserved_at, 7, LEASE_S, 100.5)
        assert found is expected


def test_a_cancellation_is_told_on_each_nodes_own_word_and_by_no_passing_of_time() -> None:
    k = decide.Contact("east", 0.0, 0.0, revision=411)
    assert not decide.may_tell([k], 412)
    k.view(member=False, epoch=1, now=0.0)
    assert not decide.may_tell([k], 412)
    k.revision = 412
    assert decide.may_tell([k], 412)
    assert decide.may_tell([], 412)


def test_settings_whose_leases_outlast_a_cancellation_switch_it_off() -> None:
    assert decide.fits(14.0, 34.0)
    assert not decide.fits(14.0, 15.0)


def test_what_nodes_say_comes_out_as_it_went_in() -> None:
    said = Standing(12.5, 2**40, True, {"winch-1": 3.25}, {"east": (3, 70_000)})
    assert unpack(pack(said)) == said
    for cut in range(len(pack(said))):
        with pytest.raises(BadFrame):
            unpack(pack(said)[:cut])


# --- the model -------------------------------------------------------------------------------
def test_no_order_of_events_breaks_a_rule() -> None:
    states, way = explore(1, 3, crash=True)
    assert way == []
    assert states > 5_000  # else the events no longer happen


def kept_ways() -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for line in TRACE.read_text().splitlines():
        if line.startswith("["):
            found[line.strip("[]")] = way = []
        elif line and not line.startswith("#"):
            way.append(line)
    return found


@pytest.mark.parametrize("guard", GUARDS)
def test_each_guard_taken_out_breaks_its_rule_as_the_trace_shows(guard: str) -> None:
    way = kept_ways()[guard]
    rule = GUARDS[guard][3]
    assert way[-1].startswith(f"broken: {rule}")
    assert follow_without(guard, way) == way[-1].removeprefix("broken: ")
    assert follow(way) == ""
