"""Whole days in small: three nodes over the stand-ins, by a virtual clock."""

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
# Each with two seeds, but the large ones, which take most of the time, with one.
PLAYS = [(p, seed) for p in SCENARIOS for seed in ((1,) if p.stem.startswith("large") else (1, 2))]


@pytest.mark.parametrize(("path", "seed"), PLAYS, ids=[f"{p.stem}-{seed}" for p, seed in PLAYS])
def test_scenario(path: Path, seed: int) -> None:
    scenario = play(path, seed)
    assert scenario.rules.broken == []
    assert scenario.failures == []
    assert scenario.rules.starts > 0
    assert scenario.state.overtaken == []  # no late transaction undoes a newer one
    assert scenario.state.too_large == []  # nothing was ever sent that the limits forbid


def test_a_failure_that_nobody_hears_fails_the_scenario(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fails(self: Store) -> int:
        await asyncio.sleep(0.02)
        self._pending_read = None
        raise RuntimeError("for a test")

    def without_ears(future: object) -> None:
        """As it was before shared reads had their failure taken."""

    path = tmp_path / "day.txt"
    path.write_text("1 submit j-1 batch 1 5\n2 poll j-1\n9 poll j-1")
    assert play(path, 1).failures == []
    monkeypatch.setattr(service, "retrieve_exception", without_ears)
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


def broken_by(*steps: object) -> list[str]:
    now = [0.0]
    rules = Rules({"small": 4.0}, 34.0, lambda: now[0])
    rules.uploads["j-1"] = JOB
    for step in steps:
        if isinstance(step, float):
            now[0] = step
        else:
            step(rules)  # type: ignore[operator]
    return [line.split()[1].rstrip(":") for line in rules.broken]


def on(lift: str, block: str, yard: str = "east", spot: bool = False) -> object:
    return lambda rules: rules.on(lift, block, "t4", yard, spot)


def told(status: int, state: str, job: str = "j-1", began: float | None = None) -> object:
    return lambda rules: rules.told(job, status, state, set(), began)


def test_the_checker_catches_each_broken_rule() -> None:
    assert broken_by(on("j-1/0", "a"), on("j-1/0", "b")) == ["ran_twice", "quota"]
    assert broken_by(on("j-1/0", "a", spot=True)) == ["wrong_place"]
    assert broken_by(on("j-1/0", "a"), on("j-1/1", "b", "west"))[0] == "wrong_place"
    assert broken_by(on("j-1/0", "a"), on("j-1/1", "b")) == ["quota"]
    assert broken_by(told(201, "queued"), told(404, "")) == ["forgotten"]
    assert broken_by(told(201, "queued"), told(422, "")) == ["forgotten"]
    assert broken_by(told(200, "queued", "j-9")) == ["invented"]
    assert broken_by(told(200, "done"))[0] == "not_done"
    assert broken_by(told(200, "cancelled")) == ["went_back"]

    def cancel(rules: Rules) -> None:
        rules.asked_cancel("j-1", told=True)

    late = (on("j-1/0", "a"), cancel, 35.0, lambda rules: rules.check_cancelled())
    assert broken_by(*late) == ["ran_cancelled"]

    def ordered(at: float) -> object:
        return lambda rules: rules.on("j-1/0", "a", "t4", "east", False, set(), at)

    assert broken_by(1.0, cancel, 3.0, ordered(2.0)) == ["started_cancelled"]
    assert broken_by(1.0, cancel, 3.0, ordered(0.5)) == []  # the command was on its way already

    def unfit(rules: Rules) -> None:
        rules.unfit["j-1"] = "fits no machine"

    assert broken_by(unfit, told(201, "queued")) == ["unfit"]


def test_an_answer_is_older_by_when_its_request_began_not_by_when_it_came() -> None:
    def cancel(rules: Rules) -> None:
        rules.asked_cancel("j-1", told=True)

    over = (1.0, told(201, "queued"), 2.0, cancel, told(200, "cancelled"), 3.0)
    assert broken_by(*over, told(200, "running", began=1.5)) == []  # they crossed on their way
    assert broken_by(*over, told(200, "running", began=2.5)) == ["went_back"]
    assert broken_by(*over, told(200, "done", began=1.5))[0] == "went_back"  # it can't be both
    assert broken_by(*over, told(404, "", began=0.5)) == []
    assert broken_by(*over, told(404, "", began=1.5)) == ["forgotten"]
    assert broken_by(*over, told(422, "", began=1.5)) == ["forgotten"]


def test_a_job_whose_polls_all_fail_while_others_are_answered_is_caught() -> None:
    def polls(answered: bool, others: bool) -> list[str]:
        steps: list[object] = [told(201, "queued"), 1.0]
        for at in range(5, 105, 5):
            steps += [
                float(at),
                lambda rules: rules.polled("j-1", answered),
                lambda rules: rules._polls.append((rules._now(), "j-2", others)),
            ]
        return broken_by(*steps)

    assert set(polls(answered=False, others=True)) == {"forgotten"}
    assert polls(answered=False, others=False) == []  # nobody is answered: an outage
    assert polls(answered=True, others=True) == []


class Idle:
    """A machine that does nothing, as far as `Waits` looks at it."""

    def __init__(self, **more: Any) -> None:
        self.lifts: dict[str, Any] = {}
        self.kind = {"name": "t4", "vcpus": 16.0, "accelerators": 4.0, "ram_gb": 64.0}
        self.yard, self.loaners, self.sick, self.gone = "east", False, False, False
        self.reclaim_at, self.renewed = None, 1e9
        self.__dict__.update(more)


WAITING = JOB | {"vcpus": 4.0, "ram_gb": 8.0, "same_place": False, "rig": "batches"}


def waited(for_s: int, *machines: Idle, **job: Any) -> list[str]:
    now = [0.0]
    rules = Rules({"small": 4.0, "core": 0.0}, 34.0, lambda: now[0])
    rules.uploads["j-1"] = WAITING | job
    rules.told("j-1", 201, "queued", set())
    waits = acceptance.Waits(rules, lambda: now[0])
    for second in range(for_s):
        now[0] = float(second)
        waits.look(machines, set())  # type: ignore[arg-type]
    return rules.broken + acceptance.unserved(rules, now[0])


def test_a_job_that_waits_beside_room_is_caught_and_no_other() -> None:
    assert "waited: j-1" in waited(100, Idle())[0]
    assert waited(85, Idle()) == []
    for reason in (
        {"yard": "west"}, {"loaners": True}, {"sick": True}, {"reclaim_at": 5.0}, {"renewed": 0.0}
    ):  # fmt: skip
        assert waited(100, Idle(**reason), **WAITING | {"yard": "east"}) == [], reason
    assert waited(100, Idle(), accelerators=5.0) == []  # no room for it
    assert waited(100, Idle(), lifts=9, haul="gang", crew="core") == []  # nor for all of a gang
    assert waited(100, Idle(), Idle(), Idle(), lifts=3, haul="gang", crew="core") != []
    assert waited(100, Idle(), crew="small", lifts=9, haul="gang") == []  # its team's limit


def test_a_class_of_which_less_than_half_begins_is_caught() -> None:
    found = [line for line in waited(300) if line.startswith("served")]
    assert [line.partition(" of ")[2] for line in found[:3]] == [
        "class batches", "team small", "largest batches"
    ]  # fmt: skip
    assert found[3:] == ["served: j-1, one of its class's largest, did not begin"]


def test_what_is_taken_though_it_never_fits_is_caught(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "day.txt"
    path.write_text("1 submit j-1 batch 1 5\n12 odd_requests\n45 expect j-1 done")
    played = play(path, 1)
    assert played.rules.broken == played.failures == [] and len(played.rules.unfit) > 90
    monkeypatch.setattr(submissions, "rejection_reason", lambda *_: "")
    caught = play(path, 1)
    assert any("unfit: j-7" in line for line in caught.rules.broken)
    assert any("unknown team: 201" in line for line in caught.failures)
