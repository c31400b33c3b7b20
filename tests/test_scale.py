"""Parts of the scale experiment: order of events, regression lines, records, and one small run."""

import asyncio
from typing import Any

import pytest

from experiments.profile import Profile, rows
from experiments.scale_plan import Size, arriving_jobs, held_jobs, hollow_workers, state_records
from experiments.scale_run import play, within_bounds
from experiments.slopes import fit
from pulleydeal.store import records as r
from standins import hub_messages as m
from standins.hub import Hub
from standins.town import job


def test_events_are_checked_in_the_order_in_which_they_happened() -> None:
    """Events of one process may arrive after later ones of another.

    So events are only checked up to the time that all processes have reported.
    """
    hub = Hub({"core": 0.0}, 34.0)
    hub.rules.uploads["j-1"] = job("j-1")
    hub._take(1, m.Progress(0.0))
    hub._take(2, m.Progress(0.0))
    hub._take(1, m.TaskStarted(5.0, "j-1/0", "vm-2", "t4", "east", False, 4.9))
    hub._take(1, m.Progress(6.0))
    assert hub.rules.starts == 0  # the other process may yet report the end of an earlier attempt
    hub._take(2, m.TaskStarted(1.0, "j-1/0", "vm-1", "t4", "east", False, 0.9))
    hub._take(2, m.TaskEnded(4.0, "j-1/0", "vm-1"))
    hub._take(2, m.Progress(6.0))
    assert hub.rules.starts == 2 and not hub.rules.broken


def test_task_on_two_machines_is_detected_across_processes() -> None:
    hub = Hub({"core": 0.0}, 34.0)
    hub.rules.uploads["j-1"] = job("j-1")
    for process, block in ((1, "vm-1"), (2, "vm-2")):
        hub._take(process, m.Progress(0.0))
        hub._take(process, m.TaskStarted(1.0, "j-1/0", block, "t4", "east", False, 0.9))
    for process in (1, 2):
        hub._take(process, m.Progress(2.0))
    assert ["ran_twice" in line for line in hub.rules.broken] == [True]


def test_answer_is_checked_after_earlier_worker_events() -> None:
    hub = Hub({"core": 0.0}, 34.0)
    hub.rules.uploads["j-1"] = job("j-1", lifts=1)
    hub._take(1, m.Progress(0.0))
    confirmed: list[str] = []

    def confirm() -> None:
        hub.rules.told("j-1", 200, "done", hub.results, 2.9)
        confirmed.append("done")

    hub.judge_later(3.0, confirm)
    hub._take(1, m.TaskCompleted(2.0, "j-1/0"))
    assert not confirmed
    hub._take(1, m.Progress(4.0))
    assert confirmed and not hub.rules.broken


def test_line_fit_reports_its_residual() -> None:
    line = fit([{"x": x, "y": 2.0 + 3.0 * x} for x in (1, 2, 3, 4)], "x", "y")
    assert (line.at_zero, line.per_unit, line.residual) == pytest.approx((2.0, 3.0, 0.0))
    bent = fit([{"x": x, "y": float(x * x)} for x in (1, 2, 3, 4)], "x", "y")
    assert bent.residual > 0.05
    with pytest.raises(ValueError, match="fewer than two"):
        fit([{"x": 1, "y": 1.0}, {"x": 1, "y": 2.0}], "x", "y")


def test_initial_records_match_the_tasks_already_running() -> None:
    size = Size(workers=5, tasks_per_worker=7)
    jobs = held_jobs(size)
    workers = hollow_workers(size, jobs, [f"127.0.0.1:{9000 + i}" for i in range(5)])
    records: dict[str, Any] = dict(state_records(size, jobs, workers, 1.0))
    bound = {
        (key, index): task[0]
        for key, value in records.items()
        if key.startswith("p/c/")
        for index, task in enumerate(value)
    }
    held = {task.task: worker.block for worker in workers for task in worker.tasks}
    assert len(held) == len(bound) == 64  # 35 tasks, rounded up to whole jobs of 32
    for (key, index), machine in bound.items():
        name = key.split("/")[2]
        assert held[f"{name}/{index}"] == machine
    assert r.machine_key("vm-000005") in records


def test_arriving_jobs_are_determined_by_the_seed() -> None:
    size = Size(starts_per_s=40.0)
    found = arriving_jobs(size, 300.0)
    assert found == arriving_jobs(size, 300.0)
    assert 0.5 < sum(body["lifts"] for _, body in found) / (40.0 * 300.0) < 1.6
    assert {body["haul"] for _, body in found} == {"batch", "gang"}


def test_profile_counts_work_and_excludes_waiting() -> None:
    profile = Profile()
    work = "main (pulleydeal/cli.py:1);Store.commit (pulleydeal/store/service.py:9)"
    profile.add(f"{work};send (pulleydeal/http.py:2) 3\n{work} 1\nselect (selectors.py:468) 99\n")
    found = rows(profile, cores=0.5)
    assert [row["place"].split()[0] for row in found] == ["Store.commit", "send"]
    assert found[1]["share"] == 0.75 and found[1]["ms a second"] == 375.0


def test_small_run_with_real_processes_starts_urgent_work_and_breaks_no_rule() -> None:
    size = Size(
        workers=12, tasks_per_worker=3, starts_per_s=6.0, settle_s=2.0, measure_s=6.0, seed=4
    )
    row = asyncio.run(play(size))
    assert row["rules broken"] == 0 and not row["nodes ended"], row
    assert row["urgent started"] >= 3 and row["starts/s"] > 0.5, row
    assert row["reports/s"] > 2.0 and within_bounds(row), row
