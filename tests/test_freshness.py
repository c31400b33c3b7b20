"""How current a blind node's knowledge of cancellations is, as proved by others' heartbeats."""

from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.membership import freshness
from pulleydeal.membership.messages import (
    FreshnessProof,
    Heartbeat,
    pack_heartbeat,
    unpack_heartbeat,
)
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from tests.model import blind_owner

VIEW = r.View(7, {"winch-0": "a", "winch-1": "b", "winch-2": "d"})
ME, INCARNATION = "winch-1", "b"


def heartbeat(
    stamp: float, epoch: int = 7, complete_from: int = 0, incarnation: str = INCARNATION
) -> Heartbeat:
    return Heartbeat(
        epoch, proof=FreshnessProof("x", 99.0, complete_from, {ME: (incarnation, stamp)})
    )


def known_at(first: Heartbeat | None, second: Heartbeat | None, view: r.View = VIEW) -> float:
    heartbeats = {"winch-0": first, "winch-2": second}
    received = {name: b for name, b in heartbeats.items() if b is not None}
    return freshness.cancellations_known_at(view, ME, INCARNATION, 400, received, 50.0)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (heartbeat(49.0), heartbeat(48.0), 48.0),  # the oldest stamp counts
        (
            heartbeat(49.0),
            heartbeat(10.0),
            10.0,
        ),  # delayed on its way, or the sender does not hear us
        (heartbeat(49.0), None, freshness.NEVER),
        (heartbeat(49.0), heartbeat(48.0, epoch=8), freshness.NEVER),
        (heartbeat(49.0), Heartbeat(7), freshness.NEVER),  # of a version without stamps
        (
            heartbeat(49.0),
            heartbeat(48.0, complete_from=400),
            48.0,
        ),  # our replica has those that are not named
        (heartbeat(49.0), heartbeat(48.0, complete_from=401), freshness.NEVER),
        (heartbeat(49.0), heartbeat(48.0, complete_from=c.NEVER_COMPLETE), freshness.NEVER),
        (
            heartbeat(49.0),
            heartbeat(48.0, incarnation="before"),
            freshness.NEVER,
        ),  # a stamp of an earlier process
        (heartbeat(49.0), heartbeat(51.0), freshness.NEVER),  # a stamp that we never sent
    ],
)
def test_heartbeats_are_as_old_as_the_stamps_that_they_send_back(
    first: Heartbeat | None, second: Heartbeat | None, expected: float
) -> None:
    assert known_at(first, second) == expected


def test_the_only_member_knows_all_confirmed_cancellations() -> None:
    assert known_at(None, None, r.View(7, {ME: INCARNATION})) == 50.0


def cancelled_job(name: str, version: int) -> Job:
    return Job(name, version, r.JobRecord("cancelled", 1))


def test_the_newest_cancellations_are_named_with_the_revision_of_the_first_omitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Heartbeats named any 500 cancellations, and yet claimed to name all."""
    monkeypatch.setattr(c, "RELAYED_CANCELS", 2)
    jobs = [cancelled_job("j-1", 410), cancelled_job("j-2", 405), cancelled_job("j-3", 420)]
    assert freshness.announced_cancellations(jobs[:2], loaded=True) == (["j-1", "j-2"], 0)
    assert freshness.announced_cancellations(jobs, loaded=True) == (["j-3", "j-1"], 405)
    # A process that has not loaded its replica does not know what earlier ones confirmed.
    assert freshness.announced_cancellations([], loaded=False) == ([], c.NEVER_COMPLETE)


def test_a_heartbeat_round_trips_and_one_of_an_older_version_has_no_stamps() -> None:
    sent = Heartbeat(
        7, cancelled=["j-1"], hears=["winch-0"], proof=FreshnessProof("b", 1.5, 9, {ME: ("b", 2.0)})
    )
    assert unpack_heartbeat(pack_heartbeat(sent)) == sent
    older = Heartbeat(7, cancelled=["j-1"])
    assert unpack_heartbeat(pack_heartbeat(older)).proof is None
    assert pack_heartbeat(sent).startswith(
        pack_heartbeat(Heartbeat(7, cancelled=["j-1"], hears=["winch-0"]))
    )


# --- the model -------------------------------------------------------------------------------
TRACE = Path(__file__).parent / "traces" / "blind_owner_model.txt"


def recorded_paths() -> dict[str, list[str]]:
    paths: dict[str, list[str]] = {}
    for block in TRACE.read_text().split("\n\n"):
        lines = [line for line in block.strip().splitlines() if not line.startswith("#")]
        guard, *path = lines or [""]
        if guard:
            paths[guard.strip("[]")] = path
    return paths


def test_no_order_of_events_keeps_a_cancelled_task_running() -> None:
    states, path = blind_owner.explore(1)
    assert states > 10_000
    assert path == []


@pytest.mark.parametrize("guard", blind_owner.GUARDS)
def test_without_a_guard_its_recorded_path_breaks_the_rule(guard: str) -> None:
    path = recorded_paths()[guard]
    assert path[-1].startswith("broken: ran_cancelled")
    assert blind_owner.follow_without(guard, path).startswith("ran_cancelled")
    assert blind_owner.follow(path) == ""  # with the guard the path is impossible or harmless


def test_a_member_is_known_once_every_other_node_has_reported_its_view() -> None:
    assert freshness.known_as_member(8, {"winch-0": 8, "winch-2": 9}, ["winch-0", "winch-2"])
    assert not freshness.known_as_member(8, {"winch-0": 8, "winch-2": 7}, ["winch-0", "winch-2"])
    assert not freshness.known_as_member(8, {"winch-0": 8}, ["winch-0", "winch-2"])
