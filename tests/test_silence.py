"""Which silent machines are returned: single dead ones soon, those of a cut-off zone not."""

import msgspec

from pulleydeal import constants as c
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import (
    one_way_too_long,
    silent_too_long,
    silent_zones,
    unreachable_zones,
    without_checkin_s,
)
from pulleydeal.workers.tracked_machine import TrackedMachine, apply_report

REPORT_S, LEASE_S = 3.0, 14.0
SOON = c.SILENT_RETURN_REPORTS * REPORT_S


def make_machines(
    zone: str, last_reports: list[float | None], since: float = 0.0
) -> list[TrackedMachine]:
    found = []
    for i, at in enumerate(last_reports):
        tracked = TrackedMachine(f"{zone}-{i}", "t4", zone, False, since, 0, set())
        tracked.last_report_at = at
        found.append(tracked)
    return found


def to_return(
    machines: list[TrackedMachine], now: float, silent_zone_at: dict[str, float]
) -> list[str]:
    return [s.id for s in silent_too_long(machines, now, REPORT_S, LEASE_S, silent_zone_at)]


def test_single_dead_machine_is_returned_soon() -> None:
    machines = make_machines("east", [100.0] * 19 + [91.0]) + make_machines("west", [100.0] * 20)
    assert to_return(machines, 100.0, {}) == ["east-19"]
    assert to_return(machines, 91.0 + SOON, {}) == []


def test_no_machine_of_a_silent_zone_is_returned() -> None:
    """Machines fall silent one by one, as their last reports before a partition differ in time."""
    partition_at = 100.0
    machines = make_machines("east", [partition_at - 0.15 * i for i in range(20)])
    machines += make_machines("west", [partition_at + 30.0] * 20)
    for tenth in range(300):
        now = partition_at + tenth / 10
        assert to_return(machines, now, {}) == []
    assert silent_zones(machines, partition_at + 30, REPORT_S) == {"east"}


def test_machines_of_a_zone_silent_for_very_long_are_returned() -> None:
    machines = make_machines("east", [0.0] * 5) + make_machines("west", [c.UNSEEN_KEEP_S + 1] * 9)
    assert len(to_return(machines, c.UNSEEN_KEEP_S + 1, {})) == 5


def test_silence_limit_restarts_when_a_zone_comes_back() -> None:
    silent_zone_at: dict[str, float] = {}
    machines = make_machines("east", [100.0] * 10) + make_machines("west", [140.0] * 10)
    assert to_return(machines, 140.0, silent_zone_at) == []
    for tracked in machines[:9]:
        tracked.last_report_at = 141.0
    assert to_return(machines, 141.0, silent_zone_at) == []
    for tracked in machines[:9] + machines[10:]:
        tracked.last_report_at = 140.0 + SOON + 0.2
    assert to_return(machines, 140.0 + SOON + 0.2, silent_zone_at) == ["east-9"]


def test_machines_just_taken_over_do_not_count_for_zone_silence() -> None:
    mine = make_machines("east", [95.0, 95.0, 95.0])
    taken = make_machines("east", [None] * 4, since=102.0)
    assert silent_zones(mine + taken, 104.0, REPORT_S) == {"east"}


def test_node_that_hears_no_machine_returns_them_only_after_the_lease() -> None:
    machines = make_machines("east", [100.0] * 10) + make_machines("west", [100.0] * 10)
    assert to_return(machines, 100.0 + LEASE_S, {}) == []
    assert len(to_return(machines, 100.0 + LEASE_S + 0.1, {})) == 20


def test_node_without_machines_uses_the_counts_of_other_owners() -> None:
    counts = [{"east": (9, 10), "west": (0, 9)}, {"east": (7, 8)}]
    assert unreachable_zones([], 100.0, REPORT_S, counts) == {"east"}
    assert unreachable_zones([], 100.0, REPORT_S, [{"east": (9, 10)}]) == set()
    assert unreachable_zones([], 100.0, REPORT_S) == set()


def test_few_mute_machines_are_returned_but_several_are_kept() -> None:
    """Tasks started there are lost at each lease expiry, again and again."""

    def report(tally: int) -> m.Report:
        raw = {
            "block": "m", "addr": "10.1.0.1:9000", "rig_model": "t4", "yard": "east",
            "loaners": False, "shift": 1, "tally": tally, "whistle": 5, "lifts": [],
        }  # fmt: skip
        return msgspec.convert(raw, m.Report)

    def machine_after(name: str, *ways: tuple[float, bool]) -> TrackedMachine:
        s = TrackedMachine(name, "t4", "east", False, 0.0, 5, set())
        for tally, (at, checkin) in enumerate(ways, 1):
            apply_report(s, report(tally), at, checkin)
        return s

    others = [machine_after(f"h{i}", (60.0, True), (90.0, False), (98.0, True)) for i in range(9)]
    mute = machine_after("m-1", (70.0, True), (75.0, False), (98.0, False))
    assert without_checkin_s(mute, 99.0) == 29.0
    back = machine_after("m-2", (40.0, True), (97.0, False))  # answered before checking in again
    fresh = machine_after("m-3", (81.0, True), (85.0, False))  # its lease may not have expired
    assert one_way_too_long([*others, mute, back, fresh], 99.0, 3.0, 14.0) == ["m-1"]
    several = [
        machine_after(f"m-{i}", (70.0, True), (75.0, False)) for i in range(c.SILENT_FEW + 1)
    ]
    assert one_way_too_long([*others, *several], 99.0, 3.0, 14.0) == []  # they may recover
    late = 75.0 + c.UNSEEN_KEEP_S + 1
    assert len(one_way_too_long([*others, *several], late, 3.0, 14.0)) == len(several)
