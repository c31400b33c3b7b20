"""Who owns what, and how the view changes."""

from pulleydeal import constants as c
from pulleydeal.membership import view as decide
from pulleydeal.store.records import View

ZONES = {"a0": "east", "b0": "west", "c0": "north"}
VIEW = View(7, {"a0": "1", "b0": "1", "c0": "1"})


def test_a_lost_member_moves_only_its_own_machines() -> None:
    machines = [f"vm-{i:06}" for i in range(200)]
    before = {m: decide.owner(VIEW, m, "east") for m in machines}
    after = {m: decide.owner(decide.without(VIEW, ["b0"]), m, "east") for m in machines}
    assert {before[m] for m in machines} == set(ZONES)
    assert all(after[m] == before[m] for m in machines if before[m] != "b0")


def test_a_cut_zone_is_owned_by_who_reaches_it() -> None:
    cut = decide.with_cuts(VIEW, "a0", ZONES, {"b0": c.CUT_AFTER_S + 1, "c0": 0.1}, {}, set())
    assert cut is not None and cut.epoch == 8
    owners = {decide.owner(cut, f"vm-{i}", "west") for i in range(200)}
    assert owners == {"b0", "c0"}


def cuts(view: View, heard: float, steady: float = 0.0, heard_back: bool = True) -> View | None:
    """The view as a0 would change it, hearing b0 as told and c0 well."""
    hears_me = {"b0", "c0"} if heard_back else {"c0"}
    heard_s, steady_s = {"b0": heard, "c0": 0.1}, {"b0": steady, "c0": 99.0}
    return decide.with_cuts(view, "a0", ZONES, heard_s, steady_s, hears_me)


def test_one_lost_beat_changes_nothing_and_a_flapping_link_stays_cut() -> None:
    assert cuts(VIEW, c.CUT_AFTER_S - 0.1) is None
    cut = cuts(VIEW, c.CUT_AFTER_S + 1)
    assert cut is not None
    assert cuts(cut, 0.1, steady=c.HEAL_AFTER_S / 2) is None
    healed = cuts(cut, 0.1, steady=c.HEAL_AFTER_S + 1)
    assert healed is not None and healed.cut == []


def test_one_end_does_not_undo_the_cut_that_the_other_saw() -> None:
    cut = cuts(VIEW, c.CUT_AFTER_S + 1)
    assert cut is not None
    assert cuts(cut, c.CUT_AFTER_S - 0.1, steady=99.0) is None  # about to see it too
    assert cuts(cut, 0.1, steady=99.0, heard_back=False) is None  # hears, is not heard


def test_a_later_epoch_outranks_every_fence() -> None:
    assert decide.token(8, 0) > decide.token(7, (1 << c.EPOCH_SHIFT) - 1)


def test_a_member_that_came_back_is_not_the_old_one() -> None:
    assert decide.dead(VIEW, {"a0": "1", "b0": "2"}) == ["b0", "c0"]
    assert decide.joined(VIEW, "b0", "2").members["b0"] == "2"
