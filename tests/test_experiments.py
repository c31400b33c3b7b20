"""Tests of the load generator, reports, site files and randomized runs of the experiments."""

import asyncio
import json
import random
import socket
from pathlib import Path

import pytest
from rich.console import Console

from experiments import first_meeting, meetings, served, zoneloss
from experiments.load import LoadResult, generate_load
from experiments.report import Plot, Report, print_report, write_report
from standins import acceptance
from standins.demo import main as demo
from standins.scenario import Scenario
from standins.scenario import play as play_scenario
from standins.script import LoopClock, ScenarioError, virtually
from standins.state import StateService
from standins.town import Town, TownError


def test_requests_are_sent_when_due_and_latency_includes_the_delay() -> None:
    """Guards against coordinated omission: a stall of 1 s must show in all requests due then."""
    results: list[LoadResult] = []

    async def work(clock: LoopClock) -> None:
        async def stalls(number: int) -> str:
            now = clock.now()
            await asyncio.sleep(max(0.0, 6.0 - now) if now > 5.0 else 0.001)
            return "200" if number % 10 else "503"

        results.append(await generate_load(stalls, 100.0, 10.0, clock, random.Random(1)))

    virtually(work)
    result = results[0]
    assert 900 < sum(result.counts.values()) < 1100
    assert result.counts["503"] == pytest.approx(sum(result.counts.values()) / 10, abs=1)
    assert result.ms(50) < 5
    # A tenth of all requests were due in the stalled second and waited 0.5 s on average.
    assert 400 < result.ms(95) < 700 and 900 < result.ms(99.9) < 1010
    assert result.max_send_delay_s < 0.001 and result.ms(99, "none") == 0.0


def test_report_writes_table_json_and_plot_and_fails_with_a_bound(tmp_path: Path) -> None:
    report = Report("trial", "a test", [{"x": 1, "ms": 2.34567}, {"x": 2}])
    report.plots.append(Plot("t", "x", "y", {"a": [(1, 2), (2, 3)]}))
    report.bound("ms under 3", True)
    assert report.held
    report.bound("ms under 2", False)
    assert not report.held
    write_report(report, tmp_path, {"seed": 1})
    found = json.loads((tmp_path / "trial.json").read_text())
    assert found["rows"][0]["ms"] == 2.34567 and found["bounds"][1]["held"] is False
    first = (tmp_path / "trial.svg").read_text()
    assert "<svg" in first
    write_report(report, tmp_path, {"seed": 1})
    assert (tmp_path / "trial.svg").read_text() == first  # reproducible
    console = Console(record=True, width=100, quiet=False, file=open("/dev/null", "w"))  # noqa: SIM115
    print_report(report, console)
    text = console.export_text()
    assert "2.346" in text and "NOT HELD: ms under 2" in text


def test_port_in_use_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        with pytest.raises(TownError, match=f"port {port} is in use"):
            Town(tmp_path, 1, port)
        assert demo(["--port", str(port), "--dir", str(tmp_path)]) == 1
    assert demo(["--nodes", "0"]) == 2
    error_lines = capsys.readouterr().err.strip().splitlines()
    assert len(error_lines) == 2 and f"port {port} is in use" in error_lines[0]


def test_state_service_pages_through_keys_that_change_meanwhile() -> None:
    async def work(clock: LoopClock) -> None:
        state = StateService(1)
        for i in range(50):
            state.put(f"p/j/j-{i:03d}", i)
        state.put("q/other", 0)
        seen: list[str] = []
        after = ""
        while True:
            query = {"under": "p/", "limit": "7"} | ({"after": after} if after else {})
            body = json.loads(state._page(query).body)
            seen += [entry["k"] for entry in body["entries"]]
            if not body["truncated"]:
                break
            after = seen[-1]
            if len(seen) == 14:
                state.put("p/j/j-014x", 1)
                state._apply([{"drop": "p/j/j-015"}])
        assert seen == sorted(seen) and len(seen) == 50
        assert "p/j/j-014x" in seen and "p/j/j-015" not in seen and "q/other" not in seen

    virtually(work)


def test_zoneloss_figures_are_derived_from_task_changes() -> None:
    changes = [(1.0, "j-1", 1)] * 30 + [(2.0, "j-9", 1), (95.0, "j-1", -1), (125.0, "j-1", 1)]
    changes += [(130.0, "j-2", 1)] * 12
    series = zoneloss.running_copies(changes, 90.0, 200.0)
    assert series[0] == (90.0, 30) and series[-1] == (200.0, 42)
    assert zoneloss.worst_window_share(series, 90.0, 200.0) == pytest.approx(29 / 42)
    assert zoneloss.seconds_until_complete(series, 90.0, 200.0) == 40.0
    assert zoneloss.seconds_until_complete([(90.0, 42), (99.0, 42)], 90.0, 99.0) == 0.0
    for seed in range(40):  # every seed gives a valid, sorted scenario
        text, restored_at = zoneloss.scenario(seed, True)
        times = [float(line.split()[0]) for line in text.splitlines()]
        assert times == sorted(times) and times[-1] >= restored_at


def test_class_or_team_served_less_than_half_is_named(tmp_path: Path) -> None:
    uploads = {
        f"j-{i}": {"rig": "a" if i < 4 else "b", "crew": "x" if i % 2 else "y", "haul": "batch"}
        for i in range(8)
    }
    uploads["j-8"] = {"rig": "s", "crew": "z", "haul": "standing"}
    for job, body in uploads.items():
        body |= {"lifts": 10 if job in ("j-1", "j-6") else 1, "accelerators": 1.0}
    ended = {job: job in ("j-1", "j-3", "j-5", "j-7") for job in uploads}
    found = acceptance.shares(uploads, ended, cancelled={"j-0"})
    largest = {"largest a": 1.0, "largest b": 0.0}
    assert found == {"class a": 2 / 3, "class b": 0.5, "team x": 1.0, "team y": 0.0} | largest
    assert acceptance.least_served(found) == 0.0
    day = {"classes": {"s": {"jobs": 3, "started": 3, "done": 0, "up": 0.9, "cancelled": 1}}}
    day["classes"]["a"] = {"jobs": 10, "started": 9, "done": 4, "cancelled": 1}
    (tmp_path / "day.json").write_text(json.dumps(day))
    report = served.read(tmp_path)
    assert report.rows[0]["a"] == pytest.approx(4 / 9) and report.rows[0]["least"] == "a"
    assert not report.held and "a is served 0.44" in report.notes[0]
    assert not served.read(tmp_path / "none").held


def test_largest_jobs_of_a_class_are_counted_separately_with_their_wait() -> None:
    def body(lifts: int) -> dict[str, object]:
        return {"rig": "a", "crew": "t", "haul": "batch", "lifts": lifts, "accelerators": 1.0}

    jobs = {"j-1": body(10), "j-2": body(9), "j-3": body(1), "j-4": body(1)}
    ended = {"j-1": True, "j-2": False, "j-3": True, "j-4": True}
    assert acceptance.largest(jobs) == {"j-1", "j-2"}
    found = acceptance.shares(jobs, ended, set())
    assert found == {"class a": 0.75, "team t": 0.75, "largest a": 0.5}
    changes = [(5.0, "j-1", 1), (7.0, "j-1", 1), (40.0, "j-2", 1), (90.0, "j-3", 1)]
    accepted = {"j-1": 1.0, "j-2": 10.0, "j-3": 2.0}
    assert acceptance.worst_wait(accepted, changes, {"j-1", "j-2"}) == 30.0


def test_invalid_scenario_event_is_reported_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "day.txt"
    for line in ("5 fly winch-0", "soon crash winch-0", "5 crash winch-9", "5 state sideways"):
        path.write_text(f"1 submit j-1 batch 1 5\n{line}\n")
        with pytest.raises(ScenarioError, match=f"line 2: '{line}"):
            play_scenario(path, 1)


def test_derived_site_has_long_jobs_and_many_cancellations(tmp_path: Path) -> None:
    text = '[[jobs]]\nkind = "service"\narrivals = { rate = 0.07 }\nrun_s = { median = 500.0 }\n'
    text += '[[jobs]]\nkind = "gang"\nrun_s = { median = 9.0 }\ncancelled = 0.0\ninitial = 8\n'
    found = first_meeting.cancel_heavy_site(text)
    assert "rate = 1.0000" in found and "median = 60.0" in found and "median = 2000.0" in found
    assert "cancelled = 0.7" in found and "initial = 4" in found
    log = [
        f"  {at} winch-0 INFO x: decision {action} allowed task={task} attempt=1 machine=vm-1 "
        f"node=winch-0 at={at} why={why}"
        for at, action, task, why in (
            (10.0, "answer", "j-1", "200 cancelled"),
            (11.0, "answer", "j-3", "200 running"),
            (12.5, "end", "j-1/0", "stopped: cancelled"),
            (30.0, "answer", "j-2", "200 cancelled"),
        )
    ]
    assert first_meeting.cancellation_counts(log, 5.0, 20.0) == {
        "confirmed": 1,
        "last task seen gone after s": 2.5,
    }


@pytest.mark.parametrize("seed", range(10))
def test_overlapping_faults_break_no_rule(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    kept: list[Scenario] = []

    def keep(path: Path, seed: int) -> Scenario:
        kept.append(play_scenario(path, seed))
        return kept[-1]

    monkeypatch.setattr(meetings, "play", keep)
    found = meetings.run_seed(seed)
    rules = kept[0].rules
    for job in meetings.SERVICE_JOBS:  # unless cancelled, services run at the end
        if not rules.asked_to_cancel(job):
            copies = range(rules.uploads[job]["lifts"])
            assert all(rules.places.get(f"{job}/{i}") for i in copies), job
    assert found["broken"] == [] and found["failures"] == [] and found["open"] == []
    assert found["cancels"] > 0
