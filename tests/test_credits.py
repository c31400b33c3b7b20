"""The credit queue: who gets which credit, and what makes room."""

from collections import Counter

from pulleydeal.credits.messages import (
    Ask,
    Free,
    Hold,
    Need,
    pack_ask,
    pack_cached,
    pack_free,
    pack_hold,
    unpack_ask,
    unpack_cached,
    unpack_free,
    unpack_hold,
)
from pulleydeal.credits.queue import (
    Credit,
    CreditQueue,
    Room,
    Victim,
    Waiting,
    choose_victims,
    order,
    probe,
)
from pulleydeal.credits.sweep import Sweep
from pulleydeal.credits.totals import totals
from pulleydeal.membership.messages import Beat, Total, pack_beat, unpack_beat

IMAGES = {"img": (2.0, 1.0), "other": (8.0, 4.0)}
OVER = {"guest"}  # uses more than its guarantee


def ask(gpus: float = 1.0, priority: int = 1, **more: object) -> Ask:
    values: dict[str, object] = {
        "epoch": 3,
        "job": "j-1",
        "index": 4,
        "need": Need(1.0, gpus, 1.0),
        "priority": priority,
        "guaranteed": False,
        "missed": 0,
        "work": 0.0,
        "at": 7.5,
        "gang": False,
        "spot": True,
        "team": "core",
        "image": "img",
        "types": [],
        "zones": ["east", "west"],
    }
    return Ask(**(values | more))  # type: ignore[arg-type]


def credit(name: str, gpus: float, **more: object) -> Credit:
    return Credit(name, "t4", "east", False, Room(9.0, gpus, 9.0), **more)  # type: ignore[arg-type]


def victim(job: str, priority: int, gpus: float = 1.0, loss: float = 1.0) -> Victim:
    return Victim(job, 0, 1, Need(1.0, gpus, 1.0), priority, loss, "guest")


def test_the_first_fitting_credit_is_taken_and_a_changed_one_keeps_its_place() -> None:
    q = CreditQueue()
    for x in (credit("a", 0.0), credit("b", 2.0), credit("c", 2.0)):
        assert q.put(x)
    found = probe(q.credits.values(), ask(), ready=False)
    assert found is not None and found.machine == "b"
    assert not q.put(credit("c", 2.0))  # a report that says nothing new
    assert q.put(credit("b", 1.0)) and q.put(credit("d", 4.0))
    q.remove("a")
    assert list(q.credits) == ["b", "c", "d"]


def test_a_few_from_the_head_are_looked_at_first() -> None:
    q = CreditQueue()
    for name in "abcd":
        q.put(credit(name, 1.0, images=frozenset({"img"} if name in "bd" else ())))
    found = q.head(ask(spot=False))
    assert found is not None and found.machine == "b"
    q.remove("b")
    found = q.head(ask(spot=False))
    assert found is not None and found.machine == "d"
    q.put(credit("d", 0.0, images=frozenset({"img"})))
    assert q.head(ask(spot=False)) is None


def test_a_fitting_credit_behind_the_first_few_is_still_found() -> None:
    q = [*(credit(f"m{i}", 1.0) for i in range(7)), credit("big", 4.0)]
    found = probe(q, ask(gpus=4.0), ready=False)
    assert found is not None and found.machine == "big"


def test_a_machine_with_the_image_is_found_first() -> None:
    q = [credit("a", 1.0), credit("b", 1.0, images=frozenset({"img"}))]
    found = probe(q, ask(spot=False), ready=True)
    assert found is not None and found.machine == "b"
    assert probe([credit("a", 1.0)], ask(), ready=True) is None


def test_an_image_on_its_way_is_not_there_and_busy_machines_come_last() -> None:
    busy = credit("busy", 1.0, fetching=frozenset({"a", "b"}))
    idle = credit("idle", 1.0)
    coming = credit("coming", 1.0, fetching=frozenset({"img"}))
    found = probe([busy, idle], ask(), ready=False)
    assert found is not None and found.machine == "idle"
    found = probe([busy, idle, coming], ask(), ready=False)
    assert found is not None and found.machine == "coming"
    assert probe([coming], ask(), ready=True) is None


def test_work_that_may_use_spot_leaves_ordinary_machines_to_work_that_may_not() -> None:
    image = frozenset({"img"})
    spot, ordinary = credit("spot", 1.0), credit("ordinary", 1.0, images=image)
    spot.spot = True
    both = [ordinary, spot]
    assert probe(both, ask(priority=1), ready=True) is None
    assert probe(both, ask(priority=1), ready=False) is spot
    assert probe(both, ask(priority=2), ready=True) is ordinary  # it must start soon
    spot.images = image
    assert probe(both, ask(priority=2), ready=True) is spot
    assert probe([ordinary], ask(priority=1), ready=False) is ordinary
    assert probe(both, ask(spot=False), ready=True) is ordinary


def test_what_a_job_may_not_use_is_no_credit_for_it() -> None:
    spot = credit("s", 4.0)
    spot.spot = True
    assert probe([spot], ask(spot=False), ready=False) is None
    assert probe([credit("a", 4.0)], ask(zones=["west"]), ready=False) is None
    assert probe([credit("a", 4.0)], ask(avoid=["a"]), ready=False) is None
    assert probe([credit("a", 4.0, reserved=("j-9", 0))], ask(), ready=False) is None
    assert probe([credit("a", 4.0, reserved=("j-1", 4))], ask(), ready=False) is not None


def test_no_credit_of_the_same_or_higher_priority_is_made_by_stopping() -> None:
    full = credit("a", 0.0, victims=[victim("j-2", 1), victim("j-3", 2)])
    assert choose_victims([full], ask(priority=1), OVER, ready=False, below=4) is None
    chosen = choose_victims([full], ask(priority=2), OVER, ready=False, below=4)
    assert chosen is not None and [v.job for v in chosen[1]] == ["j-2"]


def test_borrowed_room_goes_back_to_whom_it_is_guaranteed() -> None:
    full = credit("a", 0.0, victims=[victim("j-2", 3)])
    assert choose_victims([full], ask(priority=0), OVER, ready=False, below=4) is None
    owed = ask(priority=0, guaranteed=True)
    chosen = choose_victims([full], owed, OVER, ready=False, below=4)
    assert chosen is not None
    own = ask(priority=0, guaranteed=True, team="guest")
    assert choose_victims([full], own, OVER, ready=False, below=4) is None


def test_the_cheapest_room_is_made() -> None:
    dear = credit("dear", 0.0, victims=[victim("j-2", 0, loss=50.0)])
    cheap = credit("cheap", 0.0, victims=[victim("j-3", 0, loss=5.0)])
    chosen = choose_victims([dear, cheap], ask(priority=2), OVER, ready=False, below=4)
    assert chosen is not None and chosen[0].machine == "cheap"


def test_a_task_whose_job_would_miss_its_deadline_is_stopped_last() -> None:
    near = victim("j-2", 0, loss=1.0)
    near.misses = True
    image = frozenset({"img"})
    risky = credit("risky", 0.0, victims=[near], images=image)
    other = credit("other", 0.0, victims=[victim("j-3", 1, loss=90.0)])
    both = [risky, other]
    chosen = choose_victims(both, ask(priority=2), OVER, ready=False, below=4)
    assert chosen is not None and chosen[0].machine == "other"
    assert choose_victims(both, ask(priority=2), OVER, ready=True, below=2) is None
    chosen = choose_victims([risky], ask(priority=2), OVER, ready=False, below=4)
    assert chosen is not None  # a higher priority still gets its room


def test_waiting_asks_are_served_by_priority_then_guarantee_then_turn() -> None:
    asks = [
        Waiting(ask(at=2.0), "later", 1.0, 9.0, 0.0),
        Waiting(ask(missed=1, at=0.5), "late anyway", 1.0, 9.0, 0.0),
        Waiting(ask(at=1.0), "first", 3.0, 9.0, 0.0),
        Waiting(ask(work=90.0, at=0.5), "large", 1.0, 9.0, 0.0),
        Waiting(ask(guaranteed=True, missed=2), "owed", 2.0, 9.0, 0.0),
        Waiting(ask(priority=3), "prod", 3.0, 9.0, 0.0),
    ]
    served = [w.leader for w in sorted(asks, key=order)]
    assert served == ["prod", "owed", "first", "later", "large", "late anyway"]


def test_messages_survive_the_wire() -> None:
    asked = ask(types=["t4"], avoid=["vm-1"], guaranteed=True)
    assert unpack_ask(pack_ask(asked)) == asked
    hold = Hold(3, "j-1", 4, "vm-000002", 2.5)
    assert unpack_hold(pack_hold(hold)) == hold
    free = Free(3, "j-1", 4)
    assert unpack_free(pack_free(free)) == free
    cached = {"vm-1": {"a": 1.5, "b": 2.0}, "vm-2": {}}
    assert unpack_cached(pack_cached(cached)) == cached
    beat = Beat(9, [Total("t4", "east", True, 1.0, 2.0, 3.0, 1.0, 2.0, IMAGES, IMAGES)], ["j-7"])
    assert unpack_beat(pack_beat(beat)) == beat


def test_room_that_is_being_made_is_shown_to_whom_it_is_made_for_and_to_nobody_as_free() -> None:
    has = frozenset({"img"})
    full = credit("a", 0.0, images=has, victims=[victim("j-2", 1, 4.0)])
    assert totals([full], {})[0].stoppable == {"img": (10.0, 4.0)}
    kept = credit("a", 2.0, images=has, reserved=("j-1", 4))  # some of its tasks are gone already
    (total,) = totals([kept], {("j-1", 4): Need(1.0, 4.0, 1.0)})
    assert (total.gpus, total.largest_gpus, total.images) == (0.0, 0.0, {})
    assert total.stoppable == {"img": (1.0, 4.0)}
    assert totals([kept], {})[0].stoppable == {}  # it waits here no more


def test_a_sweep_comes_by_every_name_once_a_period_a_share_at_a_time() -> None:
    names = [f"vm-{i}" for i in range(1_000)]
    sweep = Sweep(lambda: names)
    assert sweep.due(0.0, 2.0) == sorted(names)  # nothing is known of before
    seen: Counter[str] = Counter()
    shares = []
    for i in range(1, 21):
        due = sweep.due(i * 0.1, 2.0)
        shares.append(len(due))
        seen.update(due)
    assert len(seen) >= 990 and max(seen.values()) <= 2 and max(shares) <= 55
    names.append("vm-new")
    assert "vm-new" in {name for i in range(21, 65) for name in sweep.due(i * 0.1, 2.0)}
    assert sweep.due(60.0, 2.0) == sorted(names)  # after a long while all are due
