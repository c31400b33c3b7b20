"""Machines of which nothing changed are not planned for anew: what must not be passed over."""

import asyncio
import copy
import json
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any, ClassVar

import pytest

from experiments import restarts
from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.service import Workers
from pulleydeal.workers.station import (
    DesiredTask,
    SentStart,
    Station,
    absorb,
    is_reconciled,
    reconcile,
)
from pulleydeal.workers.wanted import desired_tasks
from standins.scenario import play
from tests.test_station import LEASE_S, SPEC
from tests.test_workers import Alone, report, workers

TASK = ("j-1", 0)
RUNNING = ("j-1/0#1", "running")


def known(*tasks: tuple[str, str]) -> Station:
    """A machine that has reported these tasks to an owner that it has answered."""
    station = Station("vm-1", "t4", "east", False, 0.0, 0, set())
    absorb(station, report_of(1, *tasks), 1.0, checkin=True)
    station.answered_at = 1.0
    return station


def report_of(seq: int, *tasks: tuple[str, str]) -> Any:
    found = []
    for name, state in tasks:
        task, _, attempt = name.partition("#")
        found.append(m.ReportedTask(task, int(attempt), state))  # type: ignore[arg-type]
    return m.Report("vm-1", "1.2.3.4:5", "t4", "east", False, 1, seq, 0, None, found)


def bound(end_reason: str = "") -> dict[tuple[str, int], DesiredTask]:
    return {TASK: DesiredTask(r.Task("vm-1", 1), SPEC, end_reason)}


def test_a_plan_that_found_nothing_settles_and_other_tasks_unsettle() -> None:
    station = known(RUNNING)
    assert reconcile(station, bound(), 2.0, LEASE_S).is_empty and is_reconciled(
        station, 2.5, LEASE_S
    )
    absorb(station, report_of(2, RUNNING), 3.0, checkin=True)
    assert is_reconciled(station, 3.0, LEASE_S)
    absorb(station, report_of(3, ("j-1/0#1", "exited")), 4.0, checkin=True)
    assert not is_reconciled(station, 4.0, LEASE_S)


def test_a_kill_that_did_not_work_is_given_again() -> None:
    station = known(RUNNING)
    assert reconcile(station, bound("cancelled"), 2.0, LEASE_S).calls
    assert not reconcile(station, bound("cancelled"), 3.0, LEASE_S).calls
    assert not is_reconciled(station, 3.0, LEASE_S)
    assert reconcile(station, bound("cancelled"), 4.1, LEASE_S).calls


def test_an_empty_plan_before_trust_or_after_a_lease_settles_nothing() -> None:
    station = known()
    station.floor = 7
    assert reconcile(station, bound(), 2.0, LEASE_S).is_empty and not station.reconciled
    station = known(RUNNING)
    assert reconcile(station, bound(), 2.0, LEASE_S).is_empty
    assert not is_reconciled(station, 2.0 + 2 * LEASE_S, LEASE_S)
    late = partial(reconcile, station, bound(), 2.0 + 2 * LEASE_S, LEASE_S)
    assert late(alone=lambda: False).is_empty and not station.reconciled
    assert late(alone=lambda: True).exits


def test_a_start_that_is_on_its_way_settles_nothing() -> None:
    station = known()
    station.sent[("j-1", 0, 1)] = SentStart(1, 1)
    assert reconcile(station, bound(), 2.0, LEASE_S).is_empty and not station.reconciled
    station = known(RUNNING)
    station.busy = True
    assert reconcile(station, bound(), 2.0, LEASE_S).is_empty and not station.reconciled


def test_a_cancellation_that_only_a_sibling_told_reaches_a_settled_machine() -> None:
    class Told(Alone):
        relayed: ClassVar[set[str]] = set()

        def relayed_cancels(self) -> set[str]:
            return self.relayed

    world = Told()
    found = workers(world)
    world.put("p/j/j-1", r.JobRecord("open", 1, 0.0, SPEC))
    world.put("p/m/vm-1", r.MachineRecord("up", "t4", "east", False, "1.2.3.4:5"))
    world.put("p/c/j-1/0000", [r.Task("vm-1", 1)])

    def calls(tally: int) -> list[str]:
        answer = asyncio.run(found.checkin(report("vm-1", tally, "j-1/0")))
        return [call["call"] for call in json.loads(answer.body)["calls"]]

    assert calls(1) == calls(2) == [] and found.stations["vm-1"].reconciled
    Told.relayed = {"j-1"}
    assert calls(3) == ["kill"]


def checked(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Whatever is passed over in a scenario is planned for all the same, on a copy."""
    told: Counter[str] = Counter()
    passes_over = Workers._is_reconciled

    def is_reconciled(self: Workers, station: Station, now: float) -> bool:
        found = passes_over(self, station, now)
        if found:
            twin = copy.deepcopy(station)
            lease_s = self._times.lease_s
            alone = partial(self._keeping.alone, station)
            should = desired_tasks(self._replica, station.id, self._membership.relayed_cancels())
            plan = reconcile(twin, should, now, lease_s, alone)
            told["passed over" if plan.is_empty else "missed"] += 1
        return found

    monkeypatch.setattr(Workers, "_is_reconciled", is_reconciled)
    return told


@pytest.mark.parametrize("seed", range(4))
def test_nothing_is_missed_while_troubles_overlap(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Restarts of nodes and machines, cuts, outages, late copies: several at a time."""
    told = checked(monkeypatch)
    path = tmp_path / "day.txt"
    path.write_text(restarts.scenario(seed))
    played = play(path, seed)
    assert not played.rules.broken and not played.failures
    assert told["passed over"] > 1000 and not told["missed"], told
