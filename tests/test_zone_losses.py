"""What is given back of a zone out of sight, in which order, and who hands machines over."""

import pytest

from pulleydeal.membership import view as views
from pulleydeal.store.records import View
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses
from pulleydeal.zones.losses import Deafness, Lost, Watched

LEASE_S, BOOT_S = 14.0, 30.0
LONG_S = z.EVACUATE_BOOTS * BOOT_S
INSIDE = frozenset({"winch-0"})
NOBODY: frozenset[str] = frozenset()


def fallen(at: float, inside: frozenset[str]) -> Watched:
    zone = Watched()
    zone.look(True, at, lambda: inside)
    return zone


def machines(count: int) -> list[Lost]:
    return [Lost(f"vm-{i:02}", 1, 1, 1.0) for i in range(count)]


def test_a_zone_is_dark_or_cut_off_by_who_was_inside_when_it_fell_silent() -> None:
    zone = fallen(100.0, INSIDE)
    assert losses.state(zone, 101.0) == "cut off"
    zone.look(True, 200.0, lambda: NOBODY)  # asked once: later silence says nothing of the node
    assert losses.state(zone, 201.0) == "cut off"
    assert losses.state(fallen(100.0, NOBODY), 101.0) == "dark"
    assert losses.state(Watched(), 101.0) == "whole"


def test_only_a_node_long_gone_while_its_zone_was_in_sight_keeps_nothing() -> None:
    zone = Watched()
    assert zone.may_keep(None, LEASE_S, 1e6)
    assert not zone.may_keep(50.0, LEASE_S, 51.0 + LEASE_S)
    assert zone.may_keep(50.0, LEASE_S, 50.0 + LEASE_S)  # a lead that has just started
    zone.look(True, 100.0, lambda: INSIDE)
    zone.look(False, 200.0, lambda: INSIDE)
    assert zone.may_keep(50.0, LEASE_S, 201.0)  # a zone that flaps, its node not back yet
    assert not zone.may_keep(50.0, LEASE_S, 201.0 + LEASE_S)


def test_trust_in_a_zone_that_flaps_takes_longer_each_time_but_never_for_ever() -> None:
    zone, now, waits = Watched(), 0.0, []
    for _ in range(9):
        zone.look(True, now + 10, lambda: INSIDE)
        zone.look(False, now + 20, lambda: INSIDE)
        now += 20
        wait = losses.distrust_s(zone.flaps)
        assert losses.state(zone, now + wait - 0.1) == "returning"
        assert losses.state(zone, now + wait) == "whole"
        waits.append(wait)
    assert waits[:3] == [z.DISTRUST_S, 2 * z.DISTRUST_S, 4 * z.DISTRUST_S]
    assert waits[-1] == z.DISTRUST_MOST_S
    zone.look(True, now + z.FLAP_WINDOW_S + 1, lambda: INSIDE)
    zone.look(False, now + z.FLAP_WINDOW_S + 9, lambda: INSIDE)
    assert losses.distrust_s(zone.flaps) == z.DISTRUST_S


def test_of_a_dark_zone_what_has_tasks_goes_once_the_leases_are_over() -> None:
    there = [*machines(5), Lost("vm-empty", 0, -1, 1.0)]
    zone = fallen(100.0, NOBODY)
    assert losses.dark(zone, there, LEASE_S, BOOT_S, 100.0 + LEASE_S) == []
    found = losses.dark(zone, there, LEASE_S, BOOT_S, 101.1 + LEASE_S)
    assert [m.machine for m in found] == [f"vm-{i:02}" for i in range(5)]
    assert len(losses.dark(zone, there, LEASE_S, BOOT_S, 101 + LONG_S)) == 6  # the empty one too
    # With a node inside nothing is over by any time.
    assert losses.dark(fallen(100.0, INSIDE), there, LEASE_S, BOOT_S, 1e6) == []


def test_a_zone_cut_off_for_long_goes_in_slices_while_what_they_held_finds_room() -> None:
    there, zone = machines(36), fallen(0.0, INSIDE)
    assert losses.evacuated(zone, there, BOOT_S, False, LONG_S) == []
    first = losses.evacuated(zone, there, BOOT_S, False, LONG_S + 1)
    assert len(first) == 3
    zone.sliced_at = LONG_S + 1
    assert losses.evacuated(zone, there[3:], BOOT_S, False, LONG_S + 1 + BOOT_S) == []
    assert losses.evacuated(zone, there[3:], BOOT_S, True, LONG_S + 2 + BOOT_S) == []
    assert len(losses.evacuated(zone, there[3:], BOOT_S, False, LONG_S + 2 + BOOT_S)) == 3
    zone.look(False, LONG_S + 90, lambda: INSIDE)
    assert losses.evacuated(zone, there, BOOT_S, False, LONG_S + 200) == []


def test_services_with_the_fewest_copies_left_come_first() -> None:
    array = Lost("vm-1", 4, 1, 1.0)
    half = Lost("vm-2", 1, 3, 0.5)
    none = Lost("vm-3", 1, 3, 0.0)
    both = Lost("vm-4", 2, 3, 0.0)
    empty = Lost("vm-0", 0, -1, 1.0)
    assert losses.first_back([empty, array, half, none, both]) == [both, none, half, array, empty]


# --- a node that hears none of its machines ---------------------------------------------------
@pytest.mark.parametrize(
    ("mine", "others", "alone"),
    [
        ({"east": (10, 10)}, [{"east": (0, 12)}], {"east"}),
        ({"east": (8, 10)}, [{"east": (1, 12)}], {"east"}),
        ({"east": (7, 10)}, [{"east": (0, 12)}], set()),  # machines die one by one
        ({"east": (10, 10)}, [{"east": (11, 12)}], set()),  # the zone is out of sight
        ({"east": (10, 10)}, [], set()),  # nobody to compare with
        ({"east": (10, 10)}, [{"east": (0, 2)}], set()),
        ({"east": (1, 1), "west": (1, 1)}, [{"east": (0, 2)}], {"east", "west"}),
        ({"east": (1, 1), "west": (1, 1)}, [{"east": (2, 2)}], set()),  # a cut, and a dead one
        ({"east": (1, 1), "west": (1, 1)}, [{"north": (0, 9)}], set()),
        ({"east": (10, 10), "west": (0, 9)}, [{"east": (0, 2), "west": (0, 9)}], set()),
        ({"east": (3, 3)}, [{"east": (0, 12)}], set()),
        ({"east": (3, 3), "west": (4, 4)}, [{"east": (0, 2), "west": (0, 9)}], {"east", "west"}),
        ({"east": (3, 3), "west": (3, 4)}, [{"east": (0, 12), "west": (0, 9)}], set()),
        ({}, [{"east": (0, 12)}], set()),
        ({"east": (10, 10), "west": (0, 9)}, [{"east": (0, 9), "west": (0, 9)}], {"east"}),
    ],
)
def test_who_alone_hears_nothing(
    mine: dict[str, tuple[int, int]], others: list[dict[str, tuple[int, int]]], alone: set[str]
) -> None:
    assert losses.unheard(mine, others) == alone


def test_the_last_few_are_handed_over_after_the_others() -> None:
    assert losses.unheard({"east": (2, 2)}, [{"east": (0, 9)}], {"west"}) == {"east"}
    assert losses.unheard({"east": (2, 2)}, [{"west": (0, 9)}], {"west"}) == {"east"}
    assert losses.unheard({"east": (2, 2)}, [{"east": (5, 5)}], {"west"}) == set()
    assert losses.unheard({"east": (1, 2)}, [{"west": (0, 9)}], {"west"}) == set()


def test_who_hears_nothing_at_all_says_nothing_of_the_zones() -> None:
    assert losses.hears_nothing({"east": (2, 2), "west": (9, 9)})
    assert not losses.hears_nothing({"east": (2, 2), "west": (8, 9)})
    assert not losses.hears_nothing({"east": (9, 9)})  # all its machines are in one zone
    assert not losses.hears_nothing({})


def test_machines_are_handed_over_at_once_and_taken_back_ever_later() -> None:
    deaf, now, waits = Deafness(), 0.0, []
    for _ in range(7):
        assert not deaf.look(True)
        assert not deaf.look(False)  # one look is no evidence
        assert not deaf.look(True)
        assert deaf.look(True)
        deaf.over()
        began = now
        assert not deaf.asked(True, now)
        assert not deaf.asked(False, now + 1)  # the link flaps: it counts anew
        now += 2
        while not deaf.asked(True, now):
            now += 1
        waits.append(now - began - 2)
    assert waits[:3] == [z.HEAR_AGAIN_S, 2 * z.HEAR_AGAIN_S, 4 * z.HEAR_AGAIN_S]
    assert waits[-1] == z.HEAR_AGAIN_MOST_S


def test_a_deaf_member_owns_nothing_there_unless_it_is_the_last_one() -> None:
    view = View(3, {"a": "1", "b": "2", "c": "3"}, [("c", "east")])
    deaf = views.with_deaf(view, "a", {"east"})
    assert deaf is not None and deaf.epoch == 4 and deaf.deaf == [("a", "east")]
    names = [f"vm-{i}" for i in range(50)]
    assert {views.owner(deaf, name, "east") for name in names} == {"b"}
    assert {views.owner(deaf, name, "west") for name in names} == {"a", "b", "c"}
    both = views.with_deaf(deaf, "b", {"east"})
    assert both is not None
    assert {views.owner(both, name, "east") for name in names} == {"a", "b"}  # deaf, but not cut
    assert views.with_deaf(both, "b", {"east"}) is None
    back = views.with_deaf(both, "b", set())
    assert back is not None and back.deaf == [("a", "east")]
    assert views.without(both, ["a"]).deaf == [("b", "east")]
    assert views.joined(both, "a", "9").deaf == [("b", "east")]
