"""Runs every scenario file, and tests that the checker catches each kind of violation."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from pulleydeal import constants as c
from pulleydeal.store import service
from pulleydeal.store.service import Store
from pulleydeal.submissions import service as submissions
from standins import acceptance
from standins.rules import Rules
from standins.scenario import play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
# Two seeds each, but one for the large scenarios, which take most of the time.
PLAYS = [(p, seed) for p in SCENARIOS for seed in ((1,) if p.stem.startswith("large") else (1, 2))]


@pytest.mark.parametrize(("path", "seed"), PLAYS, ids=[f"{p.stem}-{seed}" for p, seed in PLAYS])
def test_scenario(path: Path, seed: int) -> None:
    scenario = play(path, seed)
    assert scenario.rules.broken == []
    assert scenario.failures == []
    assert scenario.rules.starts > 0
    assert scenario.state.overtaken == []  # no delayed transaction overwrote a newer write
    assert scenario.state.too_large == []  # no request exceeded the size limits


def test_an_unretrieved_exception_fails_the_scenario(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fails(self: Store) -> int:
        await asyncio.sleep(0.02)
        self._pending_read = None
        raise RuntimeError("for a test")

    def ignore_failure(future: object) -> None:
        """Leaves the failure of a shared read unretrieved, as an earlier version did."""

    path = tmp_path / "day.txt"
    path.write_text("1 submit j-1 batch 1 5\n2 poll j-1\n9 poll j-1")
    assert play(path, 1).failures == []
    monkeypatch.setattr(service, "retrieve_exception", ignore_failure)
    monkeypatch.setattr(Store, "_read_revision", fails)
    monkeypatch.setattr(c, "FRESH_TIMEOUT_S", 0.01)
    assert any("for a test" in line for line in play(path, 1).failures)


JOB = {
    "name_id": "j-1",
    "crew": "small",
    "haul": "batch",
    "lifts": 3,
    "accelerators": 3.0,
    "yard": None,
    "rig_models": None,
    "same_place": True,
    "spread": False,
    "loaners": False,
}


def violations(*steps: object) -> list[str]:
    now = [0.0]
    rules = Rules({"small": 4.0}, 34.0, lambda: now[0])
    rules.uploads["j-1"] = JOB
    for step in steps:
        if isinstance(step, float):
            now[0] = step
        else:
            step(rules)  # type: ignore[operator]
    return [line.split()[1].rstrip(":") for line in rules.broken]


def start(task: str, machine: str, zone: str = "east", spot: bool = False) -> object:
    return lambda rules: rules.on(task, machine, "t4", zone, spot)


def answer(status: int, state: str, job: str = "j-1", began: float | None = None) -> object:
    return lambda rules: rules.told(job, status, state, set(), began)


def test_the_checker_reports_each_broken_rule() -> None:
    assert violations(start("j-1/0", "a"), start("j-1/0", "b")) == ["ran_twice", "quota"]
    assert violations(start("j-1/0", "a", spot=True)) == ["wrong_place"]
    assert violations(start("j-1/0", "a"), start("j-1/1", "b", "west"))[0] == "wrong_place"
    assert violations(start("j-1/0", "a"), start("j-1/1", "b")) == ["quota"]
    assert violations(answer(201, "queued"), answer(404, "")) == ["forgotten"]
    assert violations(answer(201, "queued"), answer(422, "")) == ["forgotten"]
    assert violations(answer(200, "queued", "j-9")) == ["invented"]
    assert violations(answer(200, "done"))[0] == "not_done"
    assert violations(answer(200, "cancelled")) == ["went_back"]

    def cancel(rules: Rules) -> None:
        rules.asked_cancel("j-1", told=True)

    late_stop = (start("j-1/0", "a"), cancel, 35.0, lambda rules: rules.check_cancelled())
    assert violations(*late_stop) == ["ran_cancelled"]

    def start_ordered(at: float) -> object:
        return lambda rules: rules.on("j-1/0", "a", "t4", "east", False, set(), at)

    assert violations(1.0, cancel, 3.0, start_ordered(2.0)) == ["started_cancelled"]
    # The command was already under way.
    assert violations(1.0, cancel, 3.0, start_ordered(0.5)) == []

    def unfit(rules: Rules) -> None:
        rules.unfit["j-1"] = "fits no machine"

    assert violations(unfit, answer(201, "queued")) == ["unfit"]


def test_answers_are_ordered_by_the_start_of_their_request() -> None:
    def cancel(rules: Rules) -> None:
        rules.asked_cancel("j-1", told=True)

    steps = (1.0, answer(201, "queued"), 2.0, cancel, answer(200, "cancelled"), 3.0)
    # The answers overtook each other.
    assert violations(*steps, answer(200, "running", began=1.5)) == []
    assert violations(*steps, answer(200, "running", began=2.5)) == ["went_back"]
    # Contradictory final states.
    assert violations(*steps, answer(200, "done", began=1.5))[0] == "went_back"
    assert violations(*steps, answer(404, "", began=0.5)) == []
    assert violations(*steps, answer(404, "", began=1.5)) == ["forgotten"]
    assert violations(*steps, answer(422, "", began=1.5)) == ["forgotten"]


def test_a_job_whose_polls_all_fail_while_others_succeed_is_reported() -> None:
    def poll_violations(answered: bool, others: bool) -> list[str]:
        steps: list[object] = [answer(201, "queued"), 1.0]
        for at in range(5, 105, 5):
            steps += [
                float(at),
                lambda rules: rules.polled("j-1", answered),
                lambda rules: rules._polls.append((rules._now(), "j-2", others)),
            ]
        return violations(*steps)

    assert set(poll_violations(answered=False, others=True)) == {"forgotten"}
    assert poll_violations(answered=False, others=False) == []  # no poll is answered: an outage
    assert poll_violations(answered=True, others=True) == []


class IdleWorker:
    """An idle machine, with the attributes of `Worker` that `WaitChecker` reads."""

    def __init__(self, **attributes: Any) -> None:
        self.tasks: dict[str, Any] = {}
        self.machine_type = {"name": "t4", "vcpus": 16.0, "accelerators": 4.0, "ram_gb": 64.0}
        self.zone, self.spot, self.sick, self.terminated = "east", False, False, False
        self.reclaim_at, self.renewed_at = None, 1e9
        self.__dict__.update(attributes)


WAITING = JOB | {"vcpus": 4.0, "ram_gb": 8.0, "same_place": False, "rig": "batches"}


def wait_violations(for_s: int, *machines: IdleWorker, **job: Any) -> list[str]:
    now = [0.0]
    rules = Rules({"small": 4.0, "core": 0.0}, 34.0, lambda: now[0])
    rules.uploads["j-1"] = WAITING | job
    rules.told("j-1", 201, "queued", set())
    wait_checker = acceptance.WaitChecker(rules, lambda: now[0])
    for second in range(for_s):
        now[0] = float(second)
        wait_checker.look(machines, set())  # type: ignore[arg-type]
    return rules.broken + acceptance.unserved(rules, now[0])


def test_only_a_job_that_waits_although_it_fits_is_reported() -> None:
    assert "waited: j-1" in wait_violations(100, IdleWorker())[0]
    assert wait_violations(85, IdleWorker()) == []
    for reason in (
        {"zone": "west"}, {"spot": True}, {"sick": True}, {"reclaim_at": 5.0}, {"renewed_at": 0.0}
    ):  # fmt: skip
        assert wait_violations(100, IdleWorker(**reason), **WAITING | {"yard": "east"}) == [], (
            reason
        )
    assert wait_violations(100, IdleWorker(), accelerators=5.0) == []  # it does not fit
    # Not all of the gang fits.
    assert wait_violations(100, IdleWorker(), lifts=9, haul="gang", crew="core") == []
    assert (
        wait_violations(
            100, IdleWorker(), IdleWorker(), IdleWorker(), lifts=3, haul="gang", crew="core"
        )
        != []
    )
    # Over its team's quota.
    assert wait_violations(100, IdleWorker(), crew="small", lifts=9, haul="gang") == []


def test_a_class_with_less_than_half_of_its_jobs_started_is_reported() -> None:
    found = [line for line in wait_violations(300) if line.startswith("served")]
    assert [line.partition(" of ")[2] for line in found[:3]] == [
        "class batches", "team small", "largest batches"
    ]  # fmt: skip
    assert found[3:] == ["served: j-1, one of its class's largest, did not begin"]


def test_an_accepted_job_that_can_never_run_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "day.txt"
    path.write_text("1 submit j-1 batch 1 5\n12 odd_requests\n45 expect j-1 done")
    accepted_run = play(path, 1)
    assert (
        accepted_run.rules.broken == accepted_run.failures == []
        and len(accepted_run.rules.unfit) > 90
    )
    monkeypatch.setattr(submissions, "rejection_reason", lambda *_: "")
    unchecked_run = play(path, 1)
    assert any("unfit: j-7" in line for line in unchecked_run.rules.broken)
    assert any("unknown team: 201" in line for line in unchecked_run.failures)
