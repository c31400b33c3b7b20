"""What a blind node knows of cancellations by the others' word, and how old that word is."""

from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.membership import vouching
from pulleydeal.membership.messages import Beat, Vouch, pack_beat, unpack_beat
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from tests.model import blind_owner

VIEW = r.View(7, {"winch-0": "a", "winch-1": "b", "winch-2": "d"})
ME, START = "winch-1", "b"


def beat(stamp: float, epoch: int = 7, complete_from: int = 0, start: str = START) -> Beat:
    return Beat(epoch, vouch=Vouch("x", 99.0, complete_from, {ME: (start, stamp)}))


def known(first: Beat | None, second: Beat | None, view: r.View = VIEW) -> float:
    beats = {"winch-0": first, "winch-2": second}
    there = {name: b for name, b in beats.items() if b is not None}
    return vouching.vouched_at(view, ME, START, 400, there, 50.0)


@pytest.mark.parametrize(
    ("first", "second", "found"),
    [
        (beat(49.0), beat(48.0), 48.0),  # the oldest word counts
        (beat(49.0), beat(10.0), 10.0),  # held on its way, or the sender hears nothing of us
        (beat(49.0), None, vouching.NEVER),
        (beat(49.0), beat(48.0, epoch=8), vouching.NEVER),
        (beat(49.0), Beat(7), vouching.NEVER),  # of a version that does not vouch
        (beat(49.0), beat(48.0, complete_from=400), 48.0),  # our copy has what is not named
        (beat(49.0), beat(48.0, complete_from=401), vouching.NEVER),
        (beat(49.0), beat(48.0, complete_from=c.NOTHING_COMPLETE), vouching.NEVER),
        (beat(49.0), beat(48.0, start="before"), vouching.NEVER),  # a stamp of an earlier start
        (beat(49.0), beat(51.0), vouching.NEVER),  # a stamp that we never gave
    ],
)
def test_the_others_word_is_as_old_as_our_stamp_in_it(
    first: Beat | None, second: Beat | None, found: float
) -> None:
    assert known(first, second) == found


def test_alone_in_the_view_nobody_else_tells_a_cancellation() -> None:
    assert known(None, None, r.View(7, {ME: START})) == 50.0


def cancelled(name: str, version: int) -> Job:
    return Job(name, version, r.JobRecord("cancelled", 1))


def test_the_newest_cancellations_are_named_and_from_where_on_all_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first of 500 were named, in no order, and the rest vouched for all the same."""
    monkeypatch.setattr(c, "RELAYED_CANCELS", 2)
    jobs = [cancelled("j-1", 410), cancelled("j-2", 405), cancelled("j-3", 420)]
    assert vouching.named(jobs[:2], loaded=True) == (["j-1", "j-2"], 0)
    assert vouching.named(jobs, loaded=True) == (["j-3", "j-1"], 405)
    # A start that has read nothing says nothing of what its earlier starts told.
    assert vouching.named([], loaded=False) == ([], c.NOTHING_COMPLETE)


def test_a_beat_reads_the_same_and_an_older_ones_end_is_no_vouch() -> None:
    said = Beat(7, cancelled=["j-1"], hears=["winch-0"], vouch=Vouch("b", 1.5, 9, {ME: ("b", 2.0)}))
    assert unpack_beat(pack_beat(said)) == said
    older = Beat(7, cancelled=["j-1"])
    assert unpack_beat(pack_beat(older)).vouch is None
    assert pack_beat(said).startswith(pack_beat(Beat(7, cancelled=["j-1"], hears=["winch-0"])))


# --- the model -------------------------------------------------------------------------------
TRACE = Path(__file__).parent / "traces" / "blind_owner_model.txt"


def kept_ways() -> dict[str, list[str]]:
    ways: dict[str, list[str]] = {}
    for block in TRACE.read_text().split("\n\n"):
        lines = [line for line in block.strip().splitlines() if not line.startswith("#")]
        guard, *way = lines or [""]
        if guard:
            ways[guard.strip("[]")] = way
    return ways


def test_no_order_of_events_keeps_a_cancelled_task() -> None:
    states, way = blind_owner.explore(1)
    assert states > 10_000
    assert way == []


@pytest.mark.parametrize("guard", blind_owner.GUARDS)
def test_each_guard_taken_out_breaks_the_rule_on_a_kept_way(guard: str) -> None:
    way = kept_ways()[guard]
    assert way[-1].startswith("broken: ran_cancelled")
    assert blind_owner.follow_without(guard, way).startswith("ran_cancelled")
    assert blind_owner.follow(way) == ""  # with the guard it can't be gone, or breaks nothing


def test_a_member_is_known_once_every_other_node_has_shown_such_a_view() -> None:
    assert vouching.known_as_member(8, {"winch-0": 8, "winch-2": 9}, ["winch-0", "winch-2"])
    assert not vouching.known_as_member(8, {"winch-0": 8, "winch-2": 7}, ["winch-0", "winch-2"])
    assert not vouching.known_as_member(8, {"winch-0": 8}, ["winch-0", "winch-2"])
