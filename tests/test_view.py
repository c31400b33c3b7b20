"""Ownership of machines, and how the view changes."""

from pulleydeal import constants as c
from pulleydeal.membership import view as views
from pulleydeal.store.records import View

ZONES = {"a0": "east", "b0": "west", "c0": "north"}
VIEW = View(7, {"a0": "1", "b0": "1", "c0": "1"})


def test_removing_a_member_moves_only_its_own_machines() -> None:
    machines = [f"vm-{i:06}" for i in range(200)]
    before = {m: views.owner(VIEW, m, "east") for m in machines}
    after = {m: views.owner(views.without(VIEW, ["b0"]), m, "east") for m in machines}
    assert {before[m] for m in machines} == set(ZONES)
    assert all(after[m] == before[m] for m in machines if before[m] != "b0")


def test_machines_of_a_cut_zone_are_owned_by_members_that_reach_it() -> None:
    cut = views.with_cuts(VIEW, "a0", ZONES, {"b0": c.CUT_AFTER_S + 1, "c0": 0.1}, {}, set())
    assert cut is not None and cut.epoch == 8
    owners = {views.owner(cut, f"vm-{i}", "west") for i in range(200)}
    assert owners == {"b0", "c0"}


def view_with_cuts(
    view: View, heard: float, steady: float = 0.0, heard_back: bool = True
) -> View | None:
    """The view as a0 changes it, with b0 heard as given and c0 without trouble."""
    hears_me = {"b0", "c0"} if heard_back else {"c0"}
    silence_s, steady_s = {"b0": heard, "c0": 0.1}, {"b0": steady, "c0": 99.0}
    return views.with_cuts(view, "a0", ZONES, silence_s, steady_s, hears_me)


def test_a_lost_heartbeat_changes_nothing_and_a_flapping_link_stays_cut() -> None:
    assert view_with_cuts(VIEW, c.CUT_AFTER_S - 0.1) is None
    cut = view_with_cuts(VIEW, c.CUT_AFTER_S + 1)
    assert cut is not None
    assert view_with_cuts(cut, 0.1, steady=c.HEAL_AFTER_S / 2) is None
    healed = view_with_cuts(cut, 0.1, steady=c.HEAL_AFTER_S + 1)
    assert healed is not None and healed.cut == []


def test_one_end_does_not_undo_the_cut_that_the_other_recorded() -> None:
    cut = view_with_cuts(VIEW, c.CUT_AFTER_S + 1)
    assert cut is not None
    assert (
        view_with_cuts(cut, c.CUT_AFTER_S - 0.1, steady=99.0) is None
    )  # about to detect the cut too
    assert (
        view_with_cuts(cut, 0.1, steady=99.0, heard_back=False) is None
    )  # a0 hears b0, but b0 does not hear a0


def test_a_token_of_a_later_epoch_is_greater_than_any_of_an_earlier_one() -> None:
    assert views.token(8, 0) > views.token(7, (1 << c.EPOCH_SHIFT) - 1)


def test_a_restarted_member_counts_as_dead_until_it_joins_again() -> None:
    assert views.dead(VIEW, {"a0": "1", "b0": "2"}) == ["b0", "c0"]
    assert views.joined(VIEW, "b0", "2").members["b0"] == "2"
