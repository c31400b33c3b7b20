"""Rental planning: what is rented, kept and returned."""

from collections import Counter

from pulleydeal import rules
from pulleydeal.credits.messages import Resources
from pulleydeal.credits.queue import FreeCapacity
from pulleydeal.fleet import plan
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.replica import Job

ZONES = ["east", "west"]
TYPE = r.MachineType("t4", 8.0, 2.0, 64.0, 100.0, 0.5, 4.0, 1.0, 30.0, ZONES)


def job(name: str, tasks: int = 1, **more: object) -> Job:
    values: dict[str, object] = {
        "id": name,
        "klass": "c",
        "team": "core",
        "kind": "array",
        "priority": 1,
        "tasks": tasks,
        "cpus": 1.0,
        "gpus": 1.0,
        "memory": 1.0,
        "image": "img",
        "image_gb": 1.0,
    }
    spec = r.JobSpec(**(values | more))  # type: ignore[arg-type]
    return Job(name, 1, r.JobRecord("open", tasks, 0.0, spec), spec)


def plan_state(
    *jobs: Job,
    gpus_max: float = 0.0,
    unavailable: set[plan.MachineKind] | None = None,
    bins: list[plan.Bin] | None = None,
) -> plan.PlanState:
    team = Team("core", gpus_max=gpus_max)
    return plan.PlanState(
        list(jobs), bins or [], {}, {}, {"t4": TYPE}, {"core": team}, ZONES, unavailable or set()
    )


def test_waiting_tasks_use_existing_room_before_anything_is_rented() -> None:
    existing = plan.Bin(("t4", "east", False), FreeCapacity(8.0, 2.0, 64.0), "vm-1")
    needed = plan.plan_rentals(plan_state(job("j-1", 3), bins=[existing]))
    assert needed == Counter({("t4", "west", False): 1})


def test_spot_is_rented_if_the_job_allows_it_and_on_demand_if_there_is_none() -> None:
    assert plan.plan_rentals(plan_state(job("j-1", spot=True))) == Counter(
        {("t4", "east", True): 1}
    )
    unavailable = {("t4", "east", True), ("t4", "west", True)}
    needed = plan.plan_rentals(plan_state(job("j-1", spot=True), unavailable=unavailable))
    assert needed == Counter({("t4", "east", False): 1})
    assert (
        plan.plan_rentals(plan_state(job("j-1", zone="east"), unavailable={("t4", "east", False)}))
        == {}
    )


def test_a_team_at_its_limit_rents_nothing_more() -> None:
    needed = plan.plan_rentals(plan_state(job("j-1", 10), gpus_max=4.0))
    assert sum(needed.values()) == 2


def test_plans_respect_spread_and_one_zone() -> None:
    needed = plan.plan_rentals(plan_state(job("j-1", 4, spread=True)))
    assert needed == Counter({("t4", "east", False): 1, ("t4", "west", False): 1})
    needed = plan.plan_rentals(plan_state(job("j-1", 4, one_zone=True, kind="gang")))
    assert needed == Counter({("t4", "east", False): 2})


def test_headroom_follows_arrivals_of_classes_that_must_start_within_a_boot() -> None:
    objectives = [
        Objective("wait", "web", 5.0),
        Objective("wait", "slow", 99.0),
        Objective("guarantee", "", 20.0),
    ]
    assert plan.fast_start_classes(objectives, 30.0) == ({"web"}, True)
    recent = [(100.0 + 20 * i, job(f"j-{i}").spec) for i in range(6)]
    specs = [(at, spec) for at, spec in recent if spec is not None]
    assert [s.id for s in plan.headroom_jobs(specs, 215.0, 30.0)] == ["j-4", "j-5"]
    assert plan.headroom_jobs([], 215.0, 30.0) == []


def test_spread_counts_all_tasks_not_proved_gone() -> None:
    spec = job("j-1", 5, spread=True).spec
    assert spec is not None
    used = rules.count_by_zone(["a", "b", "c"], {"a": "east", "b": "east", "c": "east"})
    assert rules.zones_allowed(spec, used, ZONES) == ["west"]
    assert rules.spread_limit(5) == 3 and rules.spread_limit(1) == 1


def test_a_guarantee_covers_the_earlier_jobs_first() -> None:
    team = {"core": Team("core", gpus=4.0)}
    first, second, third = job("j-1", 3), job("j-2", 2), job("j-3", 1)
    for at, each in enumerate((first, second, third)):
        assert each.record is not None
        each.record.at = float(at)
    assert rules.guaranteed_jobs([third, second, first], team) == {"j-1"}


def test_a_jobs_turn_counts_missed_objectives_and_then_remaining_work() -> None:
    objectives = [
        Objective("finished", "c", 100.0),
        Objective("finished", "c", 200.0),
        Objective("wait", "other", 1.0),
        Objective("guarantee", "", 1.0),
    ]
    array = job("j-1", 4, estimate_s=30.0)
    assert rules.job_rank(array, objectives, 60.0) == (0, 120.0)
    assert rules.job_rank(array, objectives, 80.0) == (1, 120.0)
    array.last_stop_reason = "m"  # it has begun; tests/test_waiting_turns.py has the other case
    assert rules.job_rank(array, objectives, 180.0) == (2, 120.0)
    due = job("j-2", deadline_s=50.0, estimate_s=30.0)
    assert rules.job_rank(due, [Objective("deadline", "c", None, 2.0)], 60.0) == (0, 30.0)
    assert rules.job_rank(due, [Objective("deadline", "c", None, 1.0)], 60.0) == (1, 30.0)
    gang = job("j-3", 2, kind="gang", estimate_s=30.0)
    assert rules.job_rank(gang, [Objective("wait", "c", 20.0)], 21.0) == (1, 0.0)
    service = job("j-4", kind="service")
    assert rules.job_rank(service, [Objective("wait", "c", 20.0)], 21.0) == (0, 0.0)


def test_headroom_for_jobs_that_may_use_spot_is_not_kept_on_on_demand_machines() -> None:
    idle = plan.Bin(("t4", "east", False), FreeCapacity(8.0, 2.0, 64.0), "vm-1")
    state = plan_state(bins=[idle])
    spare = job("j-1", 2, spot=True).spec
    assert spare is not None
    state.headroom = [spare]
    assert plan.plan_rentals(state) == Counter({("t4", "west", True): 1})
    assert idle.room == FreeCapacity(8.0, 2.0, 64.0)  # so the machine can be returned
    without_spot = plan_state(bins=[idle], unavailable={("t4", zone, True) for zone in ZONES})
    without_spot.headroom = [spare]
    assert plan.plan_rentals(without_spot) == Counter()


def test_no_on_demand_machine_is_rented_for_tasks_that_find_room_before_it_boots() -> None:
    unavailable = {("t4", zone, True) for zone in ZONES}
    running = job("j-1", 8, spot=True, estimate_s=60.0)
    for index in range(4):
        running.bound_tasks[index] = r.Task(f"vm-{index}", 1)
    assert plan.expected_ends([running], 30.0) == 2.0
    state = plan_state(running, unavailable=unavailable)
    state.expected_ends = 2.0
    assert sum(plan.plan_rentals(state).values()) == 1  # of 4 tasks 2 find room
    urgent = plan_state(job("j-2", 4, spot=True, priority=2), unavailable=unavailable)
    urgent.expected_ends = 2.0
    assert sum(plan.plan_rentals(urgent).values()) == 2
    cheap = plan_state(job("j-3", 4, spot=True))
    cheap.expected_ends = 2.0
    assert {kind[2] for kind in plan.plan_rentals(cheap)} == {True}


def test_idle_time_work_rents_on_demand_machines_only_to_avoid_starvation() -> None:
    unavailable = {("t4", "east", True), ("t4", "west", True)}
    idle = job("j-1", 4, spot=True, priority=0, estimate_s=300.0)

    def rented(wall: float, *classes: str) -> int:
        state = plan_state(idle, unavailable=unavailable)
        state.wall, state.target_classes = wall, set(classes)
        return sum(plan.plan_rentals(state).values())

    assert rented(100.0) == 0  # waits for spot or free room
    assert rented(100.0, "c") == 2  # the class has a time objective
    assert rented(301.0) == 2  # it must not starve
    idle.bound_tasks = {0: r.Task("vm-1", 1), 1: r.Task("vm-2", 1)}
    assert rented(301.0) == 0  # half of its tasks run
    short = job("j-2", 4, spot=True, priority=0, estimate_s=4.0)
    assert not plan.is_price_sensitive(short, short.spec, set(), 61.0)  # type: ignore[arg-type]
    short.done = 1
    assert plan.is_price_sensitive(short, short.spec, set(), 61.0)  # type: ignore[arg-type]


def test_resources_of_idle_time_tasks_are_free_for_jobs_that_may_preempt_them() -> None:
    def make_bins(*full_bins: bool) -> list[plan.Bin]:
        """Machines that idle-time tasks use wholly or not at all; the first is a spot machine."""
        used = Resources(8.0, 2.0, 64.0)
        return [
            plan.Bin(
                ("t4", "east", i == 0),
                FreeCapacity(8.0, 2.0, 64.0),
                f"vm-{i}",
                used if full else plan.NO_RESOURCES,
            )
            for i, full in enumerate(full_bins)
        ]

    assert plan.plan_rentals(plan_state(job("j-1", 4, spot=True), bins=make_bins(True, True))) == {}
    below = plan_state(job("j-1", 4, spot=True, priority=0), bins=make_bins(True, True))
    below.target_classes = {"c"}
    assert sum(plan.plan_rentals(below).values()) == 2  # it may not preempt them
    # An on-demand machine with only idle-time tasks is unused; a spot machine with them is not.
    state = plan_state(bins=make_bins(True, True, False))
    plan.plan_rentals(state)
    assert plan.unused_machines(state) == {"vm-1", "vm-2"}
    # Waiting idle-time work doesn't keep an on-demand machine that is otherwise unused.
    state = plan_state(job("j-1", 4, spot=True, priority=0), bins=make_bins(True, False))
    state.unavailable = {("t4", zone, True) for zone in ZONES}
    plan.plan_rentals(state)
    assert plan.unused_machines(state) == {"vm-1"}
