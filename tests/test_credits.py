"""The credit queue: choice of credits, of preemption victims, and published totals."""

from collections import Counter

from pulleydeal.credits.messages import (
    CreditRequest,
    Hold,
    Release,
    Resources,
    pack_cached_images,
    pack_credit_request,
    pack_hold,
    pack_release,
    unpack_cached_images,
    unpack_credit_request,
    unpack_hold,
    unpack_release,
)
from pulleydeal.credits.queue import (
    Credit,
    CreditQueue,
    FreeCapacity,
    Victim,
    WaitingRequest,
    choose_victims,
    find_credit,
    request_order,
)
from pulleydeal.credits.sweep import Sweep
from pulleydeal.credits.totals import totals
from pulleydeal.membership.messages import CreditTotal, Heartbeat, pack_heartbeat, unpack_heartbeat

IMAGES = {"img": (2.0, 1.0), "other": (8.0, 4.0)}
BORROWERS = {"guest"}  # teams that use more than their guarantee


def request(gpus: float = 1.0, priority: int = 1, **overrides: object) -> CreditRequest:
    values: dict[str, object] = {
        "epoch": 3,
        "job": "j-1",
        "index": 4,
        "need": Resources(1.0, gpus, 1.0),
        "priority": priority,
        "guaranteed": False,
        "missed_objectives": 0,
        "order_value": 0.0,
        "tiebreak_time": 7.5,
        "gang": False,
        "spot": True,
        "team": "core",
        "image": "img",
        "types": [],
        "zones": ["east", "west"],
    }
    return CreditRequest(**(values | overrides))  # type: ignore[arg-type]


def credit(name: str, gpus: float, **overrides: object) -> Credit:
    return Credit(name, "t4", "east", False, FreeCapacity(9.0, gpus, 9.0), **overrides)  # type: ignore[arg-type]


def victim(job: str, priority: int, gpus: float = 1.0, lost_work_s: float = 1.0) -> Victim:
    return Victim(job, 0, 1, Resources(1.0, gpus, 1.0), priority, lost_work_s, "guest")


def test_the_first_fitting_credit_is_taken_and_a_changed_one_keeps_its_place() -> None:
    queue = CreditQueue()
    for x in (credit("a", 0.0), credit("b", 2.0), credit("c", 2.0)):
        assert queue.put(x)
    found = find_credit(queue.credits.values(), request(), with_image=False)
    assert found is not None and found.machine == "b"
    assert not queue.put(credit("c", 2.0))  # a report without a change
    assert queue.put(credit("b", 1.0)) and queue.put(credit("d", 4.0))
    queue.remove("a")
    assert list(queue.credits) == ["b", "c", "d"]


def test_the_first_credits_in_the_queue_are_probed_first() -> None:
    queue = CreditQueue()
    for name in "abcd":
        queue.put(credit(name, 1.0, images=frozenset({"img"} if name in "bd" else ())))
    found = queue.probe_head(request(spot=False))
    assert found is not None and found.machine == "b"
    queue.remove("b")
    found = queue.probe_head(request(spot=False))
    assert found is not None and found.machine == "d"
    queue.put(credit("d", 0.0, images=frozenset({"img"})))
    assert queue.probe_head(request(spot=False)) is None


def test_a_fitting_credit_beyond_the_probed_ones_is_still_found() -> None:
    queue = [*(credit(f"m{i}", 1.0) for i in range(7)), credit("big", 4.0)]
    found = find_credit(queue, request(gpus=4.0), with_image=False)
    assert found is not None and found.machine == "big"


def test_a_machine_with_the_image_is_found_first() -> None:
    queue = [credit("a", 1.0), credit("b", 1.0, images=frozenset({"img"}))]
    found = find_credit(queue, request(spot=False), with_image=True)
    assert found is not None and found.machine == "b"
    assert find_credit([credit("a", 1.0)], request(), with_image=True) is None


def test_an_image_on_its_way_is_not_there_and_busy_machines_come_last() -> None:
    busy = credit("busy", 1.0, fetching=frozenset({"a", "b"}))
    idle = credit("idle", 1.0)
    coming = credit("coming", 1.0, fetching=frozenset({"img"}))
    found = find_credit([busy, idle], request(), with_image=False)
    assert found is not None and found.machine == "idle"
    found = find_credit([busy, idle, coming], request(), with_image=False)
    assert found is not None and found.machine == "coming"
    assert find_credit([coming], request(), with_image=True) is None


def test_work_that_may_use_spot_leaves_ordinary_machines_to_work_that_may_not() -> None:
    image = frozenset({"img"})
    spot, ordinary = credit("spot", 1.0), credit("ordinary", 1.0, images=image)
    spot.spot = True
    both = [ordinary, spot]
    assert find_credit(both, request(priority=1), with_image=True) is None
    assert find_credit(both, request(priority=1), with_image=False) is spot
    # High priority: it must start soon.
    assert find_credit(both, request(priority=2), with_image=True) is ordinary
    spot.images = image
    assert find_credit(both, request(priority=2), with_image=True) is spot
    assert find_credit([ordinary], request(priority=1), with_image=False) is ordinary
    assert find_credit(both, request(spot=False), with_image=True) is ordinary


def test_credits_that_a_job_may_not_use_are_skipped() -> None:
    spot = credit("s", 4.0)
    spot.spot = True
    assert find_credit([spot], request(spot=False), with_image=False) is None
    assert find_credit([credit("a", 4.0)], request(zones=["west"]), with_image=False) is None
    assert find_credit([credit("a", 4.0)], request(avoid=["a"]), with_image=False) is None
    assert find_credit([credit("a", 4.0, reserved=("j-9", 0))], request(), with_image=False) is None
    assert (
        find_credit([credit("a", 4.0, reserved=("j-1", 4))], request(), with_image=False)
        is not None
    )


def test_tasks_of_the_same_or_higher_priority_are_not_preempted() -> None:
    busy = credit("a", 0.0, victims=[victim("j-2", 1), victim("j-3", 2)])
    assert choose_victims([busy], request(priority=1), BORROWERS, with_image=False, below=4) is None
    chosen = choose_victims([busy], request(priority=2), BORROWERS, with_image=False, below=4)
    assert chosen is not None and [v.job for v in chosen[1]] == ["j-2"]


def test_capacity_borrowed_beyond_a_guarantee_is_preempted_for_a_guaranteed_request() -> None:
    busy = credit("a", 0.0, victims=[victim("j-2", 3)])
    assert choose_victims([busy], request(priority=0), BORROWERS, with_image=False, below=4) is None
    owed = request(priority=0, guaranteed=True)
    chosen = choose_victims([busy], owed, BORROWERS, with_image=False, below=4)
    assert chosen is not None
    own = request(priority=0, guaranteed=True, team="guest")
    assert choose_victims([busy], own, BORROWERS, with_image=False, below=4) is None


def test_the_cheapest_victims_are_preempted() -> None:
    expensive = credit("dear", 0.0, victims=[victim("j-2", 0, lost_work_s=50.0)])
    cheap = credit("cheap", 0.0, victims=[victim("j-3", 0, lost_work_s=5.0)])
    chosen = choose_victims(
        [expensive, cheap], request(priority=2), BORROWERS, with_image=False, below=4
    )
    assert chosen is not None and chosen[0].machine == "cheap"


def test_a_task_whose_job_would_miss_its_deadline_is_stopped_last() -> None:
    risky_victim = victim("j-2", 0, lost_work_s=1.0)
    risky_victim.would_miss_objective = True
    image = frozenset({"img"})
    risky = credit("risky", 0.0, victims=[risky_victim], images=image)
    other = credit("other", 0.0, victims=[victim("j-3", 1, lost_work_s=90.0)])
    both = [risky, other]
    chosen = choose_victims(both, request(priority=2), BORROWERS, with_image=False, below=4)
    assert chosen is not None and chosen[0].machine == "other"
    assert choose_victims(both, request(priority=2), BORROWERS, with_image=True, below=2) is None
    chosen = choose_victims([risky], request(priority=2), BORROWERS, with_image=False, below=4)
    assert chosen is not None  # a request of higher priority still gets its capacity


def test_waiting_requests_are_served_by_priority_then_guarantee_then_rank() -> None:
    waiting_requests = [
        WaitingRequest(request(tiebreak_time=2.0), "later", 1.0, 9.0, 0.0),
        WaitingRequest(
            request(missed_objectives=1, tiebreak_time=0.5), "late anyway", 1.0, 9.0, 0.0
        ),
        WaitingRequest(request(tiebreak_time=1.0), "first", 3.0, 9.0, 0.0),
        WaitingRequest(request(order_value=90.0, tiebreak_time=0.5), "large", 1.0, 9.0, 0.0),
        WaitingRequest(request(guaranteed=True, missed_objectives=2), "owed", 2.0, 9.0, 0.0),
        WaitingRequest(request(priority=3), "prod", 3.0, 9.0, 0.0),
    ]
    served = [waiting.leader for waiting in sorted(waiting_requests, key=request_order)]
    assert served == ["prod", "owed", "first", "later", "large", "late anyway"]


def test_messages_are_decoded_as_they_were_encoded() -> None:
    message = request(types=["t4"], avoid=["vm-1"], guaranteed=True)
    assert unpack_credit_request(pack_credit_request(message)) == message
    hold = Hold(3, "j-1", 4, "vm-000002", 2.5)
    assert unpack_hold(pack_hold(hold)) == hold
    free = Release(3, "j-1", 4)
    assert unpack_release(pack_release(free)) == free
    cached = {"vm-1": {"a": 1.5, "b": 2.0}, "vm-2": {}}
    assert unpack_cached_images(pack_cached_images(cached)) == cached
    beat = Heartbeat(
        9, [CreditTotal("t4", "east", True, 1.0, 2.0, 3.0, 1.0, 2.0, IMAGES, IMAGES)], ["j-7"]
    )
    assert unpack_heartbeat(pack_heartbeat(beat)) == beat


def test_capacity_being_freed_is_published_for_its_task_and_not_as_free() -> None:
    has = frozenset({"img"})
    busy = credit("a", 0.0, images=has, victims=[victim("j-2", 1, 4.0)])
    assert totals([busy], {})[0].stoppable == {"img": (10.0, 4.0)}
    # Some of its victims have already ended.
    reserved = credit("a", 2.0, images=has, reserved=("j-1", 4))
    (total,) = totals([reserved], {("j-1", 4): Resources(1.0, 4.0, 1.0)})
    assert (total.gpus, total.largest_gpus, total.images) == (0.0, 0.0, {})
    assert total.stoppable == {"img": (1.0, 4.0)}
    assert totals([reserved], {})[0].stoppable == {}  # the task no longer waits here


def test_a_sweep_returns_every_name_once_per_period_in_portions() -> None:
    names = [f"vm-{i}" for i in range(1_000)]
    sweep = Sweep(lambda: names)
    assert sweep.due(0.0, 2.0) == sorted(names)  # the first call returns all names
    seen: Counter[str] = Counter()
    shares = []
    for i in range(1, 21):
        due = sweep.due(i * 0.1, 2.0)
        shares.append(len(due))
        seen.update(due)
    assert len(seen) >= 990 and max(seen.values()) <= 2 and max(shares) <= 55
    names.append("vm-new")
    assert "vm-new" in {name for i in range(21, 65) for name in sweep.due(i * 0.1, 2.0)}
    assert sweep.due(60.0, 2.0) == sorted(names)  # all names are due after a long pause
