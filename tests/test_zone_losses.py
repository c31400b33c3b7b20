"""Returns of machines of a lost zone, their order, and handovers by deaf nodes."""

import pytest

from pulleydeal.membership import view as views
from pulleydeal.store.records import View
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses
from pulleydeal.zones.losses import Deafness, LostMachine, ObservedZone

LEASE_S, BOOT_S = 14.0, 30.0
EVACUATE_AFTER_S = z.EVACUATE_AFTER_BOOTS * BOOT_S
RENEWERS = frozenset({"winch-0"})
NO_RENEWERS: frozenset[str] = frozenset()


def lost_zone(at: float, renewers: frozenset[str]) -> ObservedZone:
    zone = ObservedZone()
    zone.observe(True, at, lambda: renewers)
    return zone


def machines(count: int) -> list[LostMachine]:
    return [LostMachine(f"vm-{i:02}", 1, 1, 1.0) for i in range(count)]


def test_a_lost_zone_is_dark_without_possible_renewers_and_else_cut_off() -> None:
    zone = lost_zone(100.0, RENEWERS)
    assert losses.zone_state(zone, 101.0) == "cut off"
    zone.observe(True, 200.0, lambda: NO_RENEWERS)  # only evaluated when the zone is lost
    assert losses.zone_state(zone, 201.0) == "cut off"
    assert losses.zone_state(lost_zone(100.0, NO_RENEWERS), 101.0) == "dark"
    assert losses.zone_state(ObservedZone(), 101.0) == "whole"


def test_a_node_missing_for_a_lease_with_its_zone_in_sight_renews_nothing() -> None:
    zone = ObservedZone()
    assert zone.may_renew(None, LEASE_S, 1e6)
    assert not zone.may_renew(50.0, LEASE_S, 51.0 + LEASE_S)
    assert zone.may_renew(50.0, LEASE_S, 50.0 + LEASE_S)  # a leader that has just started
    zone.observe(True, 100.0, lambda: RENEWERS)
    zone.observe(False, 200.0, lambda: RENEWERS)
    assert zone.may_renew(50.0, LEASE_S, 201.0)  # a zone that flaps, its node still missing
    assert not zone.may_renew(50.0, LEASE_S, 201.0 + LEASE_S)


def test_holddown_doubles_with_each_flap_up_to_a_bound() -> None:
    zone, now, waits = ObservedZone(), 0.0, []
    for _ in range(9):
        zone.observe(True, now + 10, lambda: RENEWERS)
        zone.observe(False, now + 20, lambda: RENEWERS)
        now += 20
        wait = losses.holddown_s(zone.flaps)
        assert losses.zone_state(zone, now + wait - 0.1) == "returning"
        assert losses.zone_state(zone, now + wait) == "whole"
        waits.append(wait)
    assert waits[:3] == [z.HOLDDOWN_S, 2 * z.HOLDDOWN_S, 4 * z.HOLDDOWN_S]
    assert waits[-1] == z.HOLDDOWN_MAX_S
    zone.observe(True, now + z.FLAP_WINDOW_S + 1, lambda: RENEWERS)
    zone.observe(False, now + z.FLAP_WINDOW_S + 9, lambda: RENEWERS)
    assert losses.holddown_s(zone.flaps) == z.HOLDDOWN_S


def test_machines_with_tasks_of_a_dark_zone_are_returned_after_their_leases() -> None:
    zone_machines = [*machines(5), LostMachine("vm-empty", 0, -1, 1.0)]
    zone = lost_zone(100.0, NO_RENEWERS)
    assert losses.dark_returns(zone, zone_machines, LEASE_S, BOOT_S, 100.0 + LEASE_S) == []
    found = losses.dark_returns(zone, zone_machines, LEASE_S, BOOT_S, 101.1 + LEASE_S)
    assert [m.machine for m in found] == [f"vm-{i:02}" for i in range(5)]
    assert (
        len(losses.dark_returns(zone, zone_machines, LEASE_S, BOOT_S, 101 + EVACUATE_AFTER_S)) == 6
    )  # with the idle one
    # With a possible renewer inside no time ends the leases.
    assert (
        losses.dark_returns(lost_zone(100.0, RENEWERS), zone_machines, LEASE_S, BOOT_S, 1e6) == []
    )


def test_a_zone_cut_off_for_long_is_evacuated_in_batches_while_no_copies_wait() -> None:
    zone_machines, zone = machines(36), lost_zone(0.0, RENEWERS)
    assert losses.evacuation_batch(zone, zone_machines, BOOT_S, False, EVACUATE_AFTER_S) == []
    first = losses.evacuation_batch(zone, zone_machines, BOOT_S, False, EVACUATE_AFTER_S + 1)
    assert len(first) == 3
    zone.evacuated_at = EVACUATE_AFTER_S + 1
    assert (
        losses.evacuation_batch(
            zone, zone_machines[3:], BOOT_S, False, EVACUATE_AFTER_S + 1 + BOOT_S
        )
        == []
    )
    assert (
        losses.evacuation_batch(
            zone, zone_machines[3:], BOOT_S, True, EVACUATE_AFTER_S + 2 + BOOT_S
        )
        == []
    )
    assert (
        len(
            losses.evacuation_batch(
                zone, zone_machines[3:], BOOT_S, False, EVACUATE_AFTER_S + 2 + BOOT_S
            )
        )
        == 3
    )
    zone.observe(False, EVACUATE_AFTER_S + 90, lambda: RENEWERS)
    assert losses.evacuation_batch(zone, zone_machines, BOOT_S, False, EVACUATE_AFTER_S + 200) == []


def test_services_with_the_smallest_visible_share_are_returned_first() -> None:
    array = LostMachine("vm-1", 4, 1, 1.0)
    half = LostMachine("vm-2", 1, 3, 0.5)
    none = LostMachine("vm-3", 1, 3, 0.0)
    both = LostMachine("vm-4", 2, 3, 0.0)
    empty = LostMachine("vm-0", 0, -1, 1.0)
    assert losses.return_order([empty, array, half, none, both]) == [both, none, half, array, empty]


# --- a node that receives nothing from its machines --------------------------------------------
@pytest.mark.parametrize(
    ("mine", "others", "deaf"),
    [
        ({"east": (10, 10)}, [{"east": (0, 12)}], {"east"}),
        ({"east": (8, 10)}, [{"east": (1, 12)}], {"east"}),
        ({"east": (7, 10)}, [{"east": (0, 12)}], set()),  # single machines fail
        ({"east": (10, 10)}, [{"east": (11, 12)}], set()),  # the zone itself is out of sight
        ({"east": (10, 10)}, [], set()),  # no other observations
        ({"east": (10, 10)}, [{"east": (0, 2)}], set()),
        ({"east": (1, 1), "west": (1, 1)}, [{"east": (0, 2)}], {"east", "west"}),
        (
            {"east": (1, 1), "west": (1, 1)},
            [{"east": (2, 2)}],
            set(),
        ),  # a cut zone and one dead machine
        ({"east": (1, 1), "west": (1, 1)}, [{"north": (0, 9)}], set()),
        ({"east": (10, 10), "west": (0, 9)}, [{"east": (0, 2), "west": (0, 9)}], set()),
        ({"east": (3, 3)}, [{"east": (0, 12)}], set()),
        ({"east": (3, 3), "west": (4, 4)}, [{"east": (0, 2), "west": (0, 9)}], {"east", "west"}),
        ({"east": (3, 3), "west": (3, 4)}, [{"east": (0, 12), "west": (0, 9)}], set()),
        ({}, [{"east": (0, 12)}], set()),
        ({"east": (10, 10), "west": (0, 9)}, [{"east": (0, 9), "west": (0, 9)}], {"east"}),
    ],
)
def test_zones_that_only_this_node_does_not_hear(
    mine: dict[str, tuple[int, int]], others: list[dict[str, tuple[int, int]]], deaf: set[str]
) -> None:
    assert losses.deaf_zones(mine, others) == deaf


def test_zones_with_few_machines_are_handed_over_after_another_zone() -> None:
    assert losses.deaf_zones({"east": (2, 2)}, [{"east": (0, 9)}], {"west"}) == {"east"}
    assert losses.deaf_zones({"east": (2, 2)}, [{"west": (0, 9)}], {"west"}) == {"east"}
    assert losses.deaf_zones({"east": (2, 2)}, [{"east": (5, 5)}], {"west"}) == set()
    assert losses.deaf_zones({"east": (1, 2)}, [{"west": (0, 9)}], {"west"}) == set()


def test_a_node_with_several_zones_that_are_all_silent_hears_nothing() -> None:
    assert losses.hears_nothing({"east": (2, 2), "west": (9, 9)})
    assert not losses.hears_nothing({"east": (2, 2), "west": (8, 9)})
    assert not losses.hears_nothing({"east": (9, 9)})  # only one zone
    assert not losses.hears_nothing({})


def test_a_zone_is_handed_over_quickly_and_taken_back_later_each_time() -> None:
    deaf, now, waits = Deafness(), 0.0, []
    for _ in range(7):
        assert not deaf.observe(True)
        assert not deaf.observe(False)  # one round is no evidence
        assert not deaf.observe(True)
        assert deaf.observe(True)
        deaf.record_handover()
        began = now
        assert not deaf.record_probes(True, now)
        assert not deaf.record_probes(False, now + 1)  # the link flaps, and the time starts again
        now += 2
        while not deaf.record_probes(True, now):
            now += 1
        waits.append(now - began - 2)
    assert waits[:3] == [z.RECOVERY_S, 2 * z.RECOVERY_S, 4 * z.RECOVERY_S]
    assert waits[-1] == z.RECOVERY_MAX_S


def test_a_deaf_member_owns_no_machine_of_the_zone_unless_no_other_is_left() -> None:
    view = View(3, {"a": "1", "b": "2", "c": "3"}, [("c", "east")])
    deaf = views.with_deaf(view, "a", {"east"})
    assert deaf is not None and deaf.epoch == 4 and deaf.deaf == [("a", "east")]
    names = [f"vm-{i}" for i in range(50)]
    assert {views.owner(deaf, name, "east") for name in names} == {"b"}
    assert {views.owner(deaf, name, "west") for name in names} == {"a", "b", "c"}
    both = views.with_deaf(deaf, "b", {"east"})
    assert both is not None
    assert {views.owner(both, name, "east") for name in names} == {
        "a",
        "b",
    }  # deaf to the zone, but not cut off from it
    assert views.with_deaf(both, "b", {"east"}) is None
    back = views.with_deaf(both, "b", set())
    assert back is not None and back.deaf == [("a", "east")]
    assert views.without(both, ["a"]).deaf == [("b", "east")]
    assert views.joined(both, "a", "9").deaf == [("b", "east")]
