"""Planning is skipped for machines whose last plan was empty, but never when it matters."""

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
from pulleydeal.workers.desired import desired_tasks
from pulleydeal.workers.service import Workers
from pulleydeal.workers.tracked_machine import (
    DesiredTask,
    SentStart,
    TrackedMachine,
    apply_report,
    is_reconciled,
    reconcile,
)
from standins.scenario import play
from tests.test_station import LEASE_S, SPEC
from tests.test_workers import FakeNode, checkin_request, make_workers

TASK = ("j-1", 0)
RUNNING = ("j-1/0#1", "running")


def machine_with_report(*tasks: tuple[str, str]) -> TrackedMachine:
    """A machine that reported these tasks in a check-in, which its owner answered."""
    tracked = TrackedMachine("vm-1", "t4", "east", False, 0.0, 0, set())
    apply_report(tracked, report_of(1, *tasks), 1.0, checkin=True)
    tracked.checkin_answered_at = 1.0
    return tracked


def report_of(seq: int, *tasks: tuple[str, str]) -> Any:
    found = []
    for name, state in tasks:
        task, _, attempt = name.partition("#")
        found.append(m.ReportedTask(task, int(attempt), state))  # type: ignore[arg-type]
    return m.Report("vm-1", "1.2.3.4:5", "t4", "east", False, 1, seq, 0, None, found)


def bound(end_reason: str = "") -> dict[tuple[str, int], DesiredTask]:
    return {TASK: DesiredTask(r.Task("vm-1", 1), SPEC, end_reason)}


def test_empty_plan_is_skipped_until_the_reported_tasks_change() -> None:
    tracked = machine_with_report(RUNNING)
    assert reconcile(tracked, bound(), 2.0, LEASE_S).is_empty and is_reconciled(
        tracked, 2.5, LEASE_S
    )
    apply_report(tracked, report_of(2, RUNNING), 3.0, checkin=True)
    assert is_reconciled(tracked, 3.0, LEASE_S)
    apply_report(tracked, report_of(3, ("j-1/0#1", "exited")), 4.0, checkin=True)
    assert not is_reconciled(tracked, 4.0, LEASE_S)


def test_ineffective_kill_is_repeated() -> None:
    tracked = machine_with_report(RUNNING)
    assert reconcile(tracked, bound("cancelled"), 2.0, LEASE_S).calls
    assert not reconcile(tracked, bound("cancelled"), 3.0, LEASE_S).calls
    assert not is_reconciled(tracked, 3.0, LEASE_S)
    assert reconcile(tracked, bound("cancelled"), 4.1, LEASE_S).calls


def test_empty_plan_without_trust_or_after_the_lease_is_not_skipped() -> None:
    tracked = machine_with_report()
    tracked.takeover_token = 7
    assert reconcile(tracked, bound(), 2.0, LEASE_S).is_empty and not tracked.reconciled
    tracked = machine_with_report(RUNNING)
    assert reconcile(tracked, bound(), 2.0, LEASE_S).is_empty
    assert not is_reconciled(tracked, 2.0 + 2 * LEASE_S, LEASE_S)
    late = partial(reconcile, tracked, bound(), 2.0 + 2 * LEASE_S, LEASE_S)
    assert late(no_peer_renewed=lambda: False).is_empty and not tracked.reconciled
    assert late(no_peer_renewed=lambda: True).exits


def test_plan_is_not_skipped_while_a_start_or_order_is_in_flight() -> None:
    tracked = machine_with_report()
    tracked.sent[("j-1", 0, 1)] = SentStart(1, 1)
    assert reconcile(tracked, bound(), 2.0, LEASE_S).is_empty and not tracked.reconciled
    tracked = machine_with_report(RUNNING)
    tracked.order_in_flight = True
    assert reconcile(tracked, bound(), 2.0, LEASE_S).is_empty and not tracked.reconciled


def test_relayed_cancellation_reaches_a_reconciled_machine() -> None:
    class NodeWithRelayedCancels(FakeNode):
        relayed: ClassVar[set[str]] = set()

        def relayed_cancellations(self) -> set[str]:
            return self.relayed

    node = NodeWithRelayedCancels()
    found = make_workers(node)
    node.put("p/j/j-1", r.JobRecord("open", 1, 0.0, SPEC))
    node.put("p/m/vm-1", r.MachineRecord("up", "t4", "east", False, "1.2.3.4:5"))
    node.put("p/c/j-1/0000", [r.Task("vm-1", 1)])

    def calls(tally: int) -> list[str]:
        answer = asyncio.run(found.checkin(checkin_request("vm-1", tally, "j-1/0")))
        return [call["call"] for call in json.loads(answer.body)["calls"]]

    assert calls(1) == calls(2) == [] and found.machines["vm-1"].reconciled
    NodeWithRelayedCancels.relayed = {"j-1"}
    assert calls(3) == ["kill"]


def count_skipped_plans(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Makes a full plan on a copy whenever planning is skipped, and counts those not empty."""
    counts: Counter[str] = Counter()
    original = Workers._is_reconciled

    def is_reconciled(self: Workers, tracked: TrackedMachine, now: float) -> bool:
        found = original(self, tracked, now)
        if found:
            copied = copy.deepcopy(tracked)
            lease_s = self._times.lease_s
            no_peer_renewed = partial(self._partition_policy.no_peer_renewed, tracked)
            desired = desired_tasks(
                self._replica, tracked.id, self._membership.relayed_cancellations()
            )
            plan = reconcile(copied, desired, now, lease_s, no_peer_renewed)
            counts["skipped" if plan.is_empty else "missed"] += 1
        return found

    monkeypatch.setattr(Workers, "_is_reconciled", is_reconciled)
    return counts


@pytest.mark.parametrize("seed", range(4))
def test_no_skipped_plan_would_have_contained_anything(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Runs overlapping restarts, partitions, outages and delayed copies."""
    counts = count_skipped_plans(monkeypatch)
    path = tmp_path / "day.txt"
    path.write_text(restarts.scenario(seed))
    played = play(path, seed)
    assert not played.rules.broken and not played.failures
    assert counts["skipped"] > 1000 and not counts["missed"], counts
