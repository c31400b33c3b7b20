"""Whole days in small: three nodes over the stand-ins, by a virtual clock."""

import asyncio
from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.store import service
from pulleydeal.store.service import Store
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
        self._barrier = None
        raise RuntimeError("for a test")

    def without_ears(future: object) -> None:
        """As it was before shared reads had their failure taken."""

    path = tmp_path / "day.txt"
    path.write_text("1 submit j-1 batch 1 5\n2 poll j-1\n9 poll j-1")
    assert play(path, 1).failures == []
    monkeypatch.setattr(service, "take_failure", without_ears)
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


def told(status: int, state: str, job: str = "j-1") -> object:
    return lambda rules: rules.told(job, status, state, set())


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
