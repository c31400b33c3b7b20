"""Who is given back for its silence: single dead machines soon, a cut zone's not."""

import msgspec

from pulleydeal import constants as c
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import (
    one_way_too_long,
    out_of_sight,
    silent_too_long,
    silent_zones,
    without_checkin_s,
)
from pulleydeal.workers.station import Station, absorb

REPORT_S, LEASE_S = 3.0, 14.0
SOON = c.SILENT_RETURN_REPORTS * REPORT_S


def machines(zone: str, heard: list[float | None], since: float = 0.0) -> list[Station]:
    found = []
    for i, at in enumerate(heard):
        station = Station(f"{zone}-{i}", "t4", zone, False, since, 0, set())
        station.heard_at = at
        found.append(station)
    return found


def given_back(stations: list[Station], now: float, silent_zone_at: dict[str, float]) -> list[str]:
    return [s.id for s in silent_too_long(stations, now, REPORT_S, LEASE_S, silent_zone_at)]


def test_a_single_dead_machine_goes_as_soon_as_before() -> None:
    stations = machines("east", [100.0] * 19 + [91.0]) + machines("west", [100.0] * 20)
    assert given_back(stations, 100.0, {}) == ["east-19"]
    assert given_back(stations, 91.0 + SOON, {}) == []


def test_a_zone_that_falls_silent_is_kept_from_the_first_machine_on() -> None:
    """Silence comes machine by machine: each had reported at another moment before the cut."""
    cut = 100.0
    stations = machines("east", [cut - 0.15 * i for i in range(20)])
    stations += machines("west", [cut + 30.0] * 20)
    for tenth in range(300):
        now = cut + tenth / 10
        assert given_back(stations, now, {}) == []
    assert silent_zones(stations, cut + 30, REPORT_S) == {"east"}


def test_of_a_zone_out_of_sight_for_very_long_machines_go_all_the_same() -> None:
    stations = machines("east", [0.0] * 5) + machines("west", [c.UNSEEN_KEEP_S + 1] * 9)
    assert len(given_back(stations, c.UNSEEN_KEEP_S + 1, {})) == 5


def test_when_a_zone_comes_back_its_last_machines_have_their_full_time_again() -> None:
    silent_zone_at: dict[str, float] = {}
    stations = machines("east", [100.0] * 10) + machines("west", [140.0] * 10)
    assert given_back(stations, 140.0, silent_zone_at) == []
    for station in stations[:9]:
        station.heard_at = 141.0
    assert given_back(stations, 141.0, silent_zone_at) == []
    for station in stations[:9] + stations[10:]:
        station.heard_at = 140.0 + SOON + 0.2
    assert given_back(stations, 140.0 + SOON + 0.2, silent_zone_at) == ["east-9"]


def test_machines_taken_over_a_moment_ago_say_nothing_for_or_against_a_cut() -> None:
    mine = machines("east", [95.0, 95.0, 95.0])
    taken = machines("east", [None] * 4, since=102.0)
    assert silent_zones(mine + taken, 104.0, REPORT_S) == {"east"}


def test_a_node_that_hears_nobody_suspects_itself_and_leaves_it_to_the_lease() -> None:
    stations = machines("east", [100.0] * 10) + machines("west", [100.0] * 10)
    assert given_back(stations, 100.0 + LEASE_S, {}) == []
    assert len(given_back(stations, 100.0 + LEASE_S + 0.1, {})) == 20


def test_a_node_that_owns_no_machine_goes_by_what_the_others_see() -> None:
    cut = [{"east": (9, 10), "west": (0, 9)}, {"east": (7, 8)}]
    assert out_of_sight([], 100.0, REPORT_S, cut) == {"east"}
    assert out_of_sight([], 100.0, REPORT_S, [{"east": (9, 10)}]) == set()
    assert out_of_sight([], 100.0, REPORT_S) == set()


def test_machines_that_answer_but_reach_nobody_are_given_back_few_at_a_time() -> None:
    """What is started there is lost with their lease, again and again."""

    def report(tally: int) -> m.Report:
        raw = {
            "block": "m", "addr": "10.1.0.1:9000", "rig_model": "t4", "yard": "east",
            "loaners": False, "shift": 1, "tally": tally, "whistle": 5, "lifts": [],
        }  # fmt: skip
        return msgspec.convert(raw, m.Report)

    def heard(name: str, *ways: tuple[float, bool]) -> Station:
        s = Station(name, "t4", "east", False, 0.0, 5, set())
        for tally, (at, checkin) in enumerate(ways, 1):
            absorb(s, report(tally), at, checkin)
        return s

    others = [heard(f"h{i}", (60.0, True), (90.0, False), (98.0, True)) for i in range(9)]
    mute = heard("m-1", (70.0, True), (75.0, False), (98.0, False))
    assert without_checkin_s(mute, 99.0) == 29.0
    back = heard("m-2", (40.0, True), (97.0, False))  # it was cut off, and answers first
    fresh = heard("m-3", (81.0, True), (85.0, False))  # its lease may not be over
    assert one_way_too_long([*others, mute, back, fresh], 99.0, 3.0, 14.0) == ["m-1"]
    several = [heard(f"m-{i}", (70.0, True), (75.0, False)) for i in range(c.SILENT_FEW + 1)]
    assert one_way_too_long([*others, *several], 99.0, 3.0, 14.0) == []  # they may speak again
    late = 75.0 + c.UNSEEN_KEEP_S + 1
    assert len(one_way_too_long([*others, *several], late, 3.0, 14.0)) == len(several)
