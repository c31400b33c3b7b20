"""What is rented, kept and left, as plain functions."""

from collections import Counter

from pulleydeal import rules
from pulleydeal.credits.messages import Need
from pulleydeal.credits.queue import Room
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


def demand(
    *jobs: Job,
    gpus_max: float = 0.0,
    refused: set[plan.Kind] | None = None,
    spaces: list[plan.Space] | None = None,
) -> plan.Demand:
    team = Team("core", gpus_max=gpus_max)
    return plan.Demand(
        list(jobs), spaces or [], {}, {}, {"t4": TYPE}, {"core": team}, ZONES, refused or set()
    )


def test_waiting_tasks_share_what_is_there_before_anything_is_rented() -> None:
    there = plan.Space(("t4", "east", False), Room(8.0, 2.0, 64.0), "vm-1")
    missing = plan.missing(demand(job("j-1", 3), spaces=[there]))
    assert missing == Counter({("t4", "west", False): 1})


def test_spot_where_the_job_allows_it_and_elsewhere_when_it_is_refused() -> None:
    assert plan.missing(demand(job("j-1", spot=True))) == Counter({("t4", "east", True): 1})
    refused = {("t4", "east", True), ("t4", "west", True)}
    missing = plan.missing(demand(job("j-1", spot=True), refused=refused))
    assert missing == Counter({("t4", "east", False): 1})
    assert plan.missing(demand(job("j-1", zone="east"), refused={("t4", "east", False)})) == {}


def test_a_team_at_its_limit_rents_nothing_more() -> None:
    missing = plan.missing(demand(job("j-1", 10), gpus_max=4.0))
    assert sum(missing.values()) == 2


def test_spread_and_one_zone_are_planned_for() -> None:
    missing = plan.missing(demand(job("j-1", 4, spread=True)))
    assert missing == Counter({("t4", "east", False): 1, ("t4", "west", False): 1})
    missing = plan.missing(demand(job("j-1", 4, one_zone=True, kind="gang")))
    assert missing == Counter({("t4", "east", False): 2})


def test_spare_room_follows_arrivals_for_aims_sooner_than_a_boot() -> None:
    aims = [
        Objective("wait", "web", 5.0),
        Objective("wait", "slow", 99.0),
        Objective("guarantee", "", 20.0),
    ]
    assert plan.prompt_classes(aims, 30.0) == ({"web"}, True)
    recent = [(100.0 + 20 * i, job(f"j-{i}").spec) for i in range(6)]
    specs = [(at, spec) for at, spec in recent if spec is not None]
    assert [s.id for s in plan.spare(specs, 215.0, 30.0)] == ["j-4", "j-5"]
    assert plan.spare([], 215.0, 30.0) == []


def test_spread_counts_everything_not_proved_gone() -> None:
    spec = job("j-1", 5, spread=True).spec
    assert spec is not None
    used = rules.zones_used(["a", "b", "c"], {"a": "east", "b": "east", "c": "east"})
    assert rules.zones_allowed(spec, used, ZONES) == ["west"]
    assert rules.spread_limit(5) == 3 and rules.spread_limit(1) == 1


def test_a_guarantee_covers_the_earlier_jobs_first() -> None:
    team = {"core": Team("core", gpus=4.0)}
    first, second, third = job("j-1", 3), job("j-2", 2), job("j-3", 1)
    for at, each in enumerate((first, second, third)):
        assert each.record is not None
        each.record.at = float(at)
    assert rules.guaranteed_jobs([third, second, first], team) == {"j-1"}


def test_a_jobs_turn_says_what_can_still_be_in_time_and_what_is_short() -> None:
    objectives = [
        Objective("finished", "c", 100.0),
        Objective("finished", "c", 200.0),
        Objective("wait", "other", 1.0),
        Objective("guarantee", "", 1.0),
    ]
    array = job("j-1", 4, estimate_s=30.0)
    assert rules.turn(array, objectives, 60.0) == (0, 120.0)
    assert rules.turn(array, objectives, 80.0) == (1, 120.0)
    array.last_stop = "m"  # it had begun; of one that had not, tests/test_waiting_turns.py
    assert rules.turn(array, objectives, 180.0) == (2, 120.0)
    due = job("j-2", deadline_s=50.0, estimate_s=30.0)
    assert rules.turn(due, [Objective("deadline", "c", None, 2.0)], 60.0) == (0, 30.0)
    assert rules.turn(due, [Objective("deadline", "c", None, 1.0)], 60.0) == (1, 30.0)
    gang = job("j-3", 2, kind="gang", estimate_s=30.0)
    assert rules.turn(gang, [Objective("wait", "c", 20.0)], 21.0) == (1, 0.0)
    service = job("j-4", kind="service")
    assert rules.turn(service, [Objective("wait", "c", 20.0)], 21.0) == (0, 0.0)


def test_spare_room_for_work_that_may_use_spot_is_not_kept_at_the_ordinary_price() -> None:
    idle = plan.Space(("t4", "east", False), Room(8.0, 2.0, 64.0), "vm-1")
    wanted = demand(spaces=[idle])
    spare = job("j-1", 2, spot=True).spec
    assert spare is not None
    wanted.spare = [spare]
    assert plan.missing(wanted) == Counter({("t4", "west", True): 1})
    assert idle.room == Room(8.0, 2.0, 64.0)  # so it can be given back
    refused = demand(spaces=[idle], refused={("t4", zone, True) for zone in ZONES})
    refused.spare = [spare]
    assert plan.missing(refused) == Counter()


def test_work_that_finds_room_before_a_machine_boots_rents_no_ordinary_one() -> None:
    refused = {("t4", zone, True) for zone in ZONES}
    running = job("j-1", 8, spot=True, estimate_s=60.0)
    for index in range(4):
        running.on_machines[index] = r.Task(f"vm-{index}", 1)
    assert plan.ending([running], 30.0) == 2.0
    wanted = demand(running, refused=refused)
    wanted.ending = 2.0
    assert sum(plan.missing(wanted).values()) == 1  # 4 wait, 2 find room, 2 fit one machine
    urgent = demand(job("j-2", 4, spot=True, priority=2), refused=refused)
    urgent.ending = 2.0
    assert sum(plan.missing(urgent).values()) == 2
    cheap = demand(job("j-3", 4, spot=True))
    cheap.ending = 2.0
    assert {kind[2] for kind in plan.missing(cheap)} == {True}


def test_idle_time_work_rents_no_ordinary_machines_unless_it_is_left_without() -> None:
    refused = {("t4", "east", True), ("t4", "west", True)}
    idle = job("j-1", 4, spot=True, priority=0, estimate_s=300.0)

    def rented(wall: float, *aimed: str) -> int:
        world = demand(idle, refused=refused)
        world.wall, world.aimed = wall, set(aimed)
        return sum(plan.missing(world).values())

    assert rented(100.0) == 0  # it waits for what is cheap or free
    assert rented(100.0, "c") == 2  # somebody has said by when
    assert rented(301.0) == 2  # but it is not left without
    idle.on_machines = {0: r.Task("vm-1", 1), 1: r.Task("vm-2", 1)}
    assert rented(301.0) == 0  # half of it runs
    short = job("j-2", 4, spot=True, priority=0, estimate_s=4.0)
    assert not plan.patient_of_price(short, short.spec, set(), 61.0)  # type: ignore[arg-type]
    short.done = 1
    assert plan.patient_of_price(short, short.spec, set(), 61.0)  # type: ignore[arg-type]


def test_room_of_idle_time_tasks_is_room_for_all_that_may_stop_them() -> None:
    def there(*idle: bool) -> list[plan.Space]:
        """Machines on which an idle-time task uses all, or nothing; the first is a spot one."""
        used = Need(8.0, 2.0, 64.0)
        return [
            plan.Space(
                ("t4", "east", i == 0),
                Room(8.0, 2.0, 64.0),
                f"vm-{i}",
                used if full else plan.NOTHING,
            )
            for i, full in enumerate(idle)
        ]

    assert plan.missing(demand(job("j-1", 4, spot=True), spaces=there(True, True))) == {}
    below = demand(job("j-1", 4, spot=True, priority=0), spaces=there(True, True))
    below.aimed = {"c"}
    assert sum(plan.missing(below).values()) == 2  # what has no right to stop them does not
    # An ordinary machine with nothing else on it is not needed, a cheap one is what they use.
    world = demand(spaces=there(True, True, False))
    plan.missing(world)
    assert plan.untouched(world) == {"vm-1", "vm-2"}
    # Nor does waiting idle-time work hold a whole ordinary machine that nobody else needs.
    world = demand(job("j-1", 4, spot=True, priority=0), spaces=there(True, False))
    world.refused = {("t4", zone, True) for zone in ZONES}
    plan.missing(world)
    assert plan.untouched(world) == {"vm-1"}
