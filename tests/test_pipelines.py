"""Jobs that wait on others: ready, cancelled with them, from when they count, and in what order."""

import random

import msgspec

from pulleydeal import rules
from pulleydeal.settings import Objective
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from pulleydeal.store.replica import Replica


def record(name: str, *waits_on: str, **more: object) -> r.JobRecord:
    values = {"priority": 0, "estimate_s": 10.0, "at": 0.0} | more
    at = values.pop("at")
    priority = values.pop("priority")
    spec = r.JobSpec(
        name, "c", "core", "array", priority, 2, 1.0, 0.0, 1.0, "img", 1.0,  # type: ignore[arg-type]
        waits_on=list(waits_on), **values,  # type: ignore[arg-type]
    )  # fmt: skip
    return r.JobRecord("open", 2, at, spec)  # type: ignore[arg-type]


class World:
    def __init__(self) -> None:
        self.records: dict[str, r.JobRecord] = {}
        self.replica = Replica()
        self.replica.loaded = True
        self.told: list[str] = []
        self.replica.listen(lambda kind, name: self.told.append(name) if kind == "job" else None)

    def put(self, name: str, rec: r.JobRecord) -> None:
        self.records[name] = rec
        self.told.clear()
        revision = self.replica.revision + 1
        event = m.Event(revision, r.job_key(name), None, msgspec.Raw(msgspec.json.encode(rec)))
        self.replica.apply(m.Changes(revision, [event]))

    def submit(self, name: str, *waits_on: str, **more: object) -> None:
        self.put(name, record(name, *waits_on, **more))

    def end(self, name: str, status: r.Status, ended: float, slim: bool = True) -> None:
        old = self.records[name]
        spec = None if slim else old.spec
        self.put(name, r.JobRecord(status, old.tasks, old.at, spec, ended))

    def job(self, name: str) -> Job:
        return self.replica.jobs[name]

    def loaded_anew(self, rng: random.Random) -> Replica:
        """What a node that starts now makes of the same records, read in any order."""
        items = [
            m.Entry(r.job_key(name), msgspec.Raw(msgspec.json.encode(rec)), 1)
            for name, rec in self.records.items()
        ]
        rng.shuffle(items)
        replica = Replica()
        replica.load(items)
        replica.end_load(1)
        return replica


def test_a_job_is_ready_when_all_that_it_needs_are_durably_done() -> None:
    world = World()
    world.submit("j-1")
    world.submit("j-2")
    world.submit("j-3", "j-1", "j-2", at=5.0)
    assert not world.job("j-3").is_ready and world.job("j-3").is_open
    world.end("j-1", "done", 30.0, slim=False)  # of a gang some members may still be leaving
    assert world.job("j-3").blockers == {"j-2"} and "j-3" in world.told
    world.end("j-1", "done", 30.0)
    world.end("j-2", "done", 20.0)
    assert world.job("j-3").is_ready and world.job("j-3").since == 30.0
    world.submit("j-4", "j-1", at=99.0)
    assert world.job("j-4").is_ready and world.job("j-4").since == 99.0


def test_ends_that_production_wrote_without_a_time_count_from_the_submission() -> None:
    world = World()
    world.submit("j-1")
    world.put("j-1", r.JobRecord("done", 2))
    world.submit("j-2", "j-1", at=7.0)
    assert world.job("j-2").is_ready and world.job("j-2").since == 7.0


def test_all_that_need_a_cancelled_job_are_cancelled_at_once_and_for_good() -> None:
    world = World()
    world.submit("j-1")
    world.submit("j-0")
    for i in range(2, 400):
        world.submit(f"j-{i}", f"j-{i - 1}", "j-0")  # deep, and wide
    world.end("j-1", "cancelled", 9.0)
    assert all(world.job(f"j-{i}").is_cancelled for i in range(1, 400))
    assert len(world.told) == 399
    assert not world.job("j-0").is_cancelled
    world.submit("j-400", "j-399")  # accepted at the moment of the cancellation, elsewhere
    assert world.job("j-400").is_cancelled
    world.end("j-200", "cancelled", 11.0)
    world.submit("j-401", "j-200")
    assert world.job("j-401").is_cancelled
    anew = world.loaded_anew(random.Random(1))
    assert sum(job.is_cancelled for job in anew.jobs.values()) == 401


def test_done_as_the_answer_to_a_cancel_lets_the_rest_go_on() -> None:
    world = World()
    world.submit("j-1")
    world.submit("j-2", "j-1")
    world.end("j-1", "done", 9.0)
    assert world.job("j-2").is_ready


def test_priority_and_deadline_of_the_last_job_reach_those_before_it() -> None:
    world = World()
    world.submit("j-1", priority=0)
    world.submit("j-2", "j-1", priority=0, estimate_s=25.0)
    world.submit("j-3", "j-2", priority=1, estimate_s=20.0)
    assert world.job("j-1").priority == 1
    world.submit("j-4", "j-1", "j-3", priority=2, estimate_s=5.0, deadline_s=100.0, at=10.0)
    assert [world.job(f"j-{i}").priority for i in range(1, 5)] == [2, 2, 2, 2]
    assert [world.job(f"j-{i}").due for i in range(1, 5)] == [60.0, 85.0, 105.0, 110.0]
    spec = world.job("j-1").spec
    assert spec is not None and spec.priority == 2
    assert world.job("j-1").record.spec.priority == 0  # type: ignore[union-attr]
    world.end("j-4", "cancelled", 20.0)
    assert [world.job(f"j-{i}").priority for i in range(1, 4)] == [1, 1, 1]
    assert world.job("j-1").due == float("inf")


def test_the_pipeline_that_must_start_soonest_goes_first() -> None:
    world = World()
    for first, last, due in (("j-1", "j-2", 200.0), ("j-3", "j-4", 90.0)):
        world.submit(first)
        world.submit(last, first, priority=2, deadline_s=due)
    world.submit("j-5")
    late = [Objective("wait", "c", 20.0)]
    wanted = sorted(
        world.replica.jobs.values(),
        key=lambda job: (*rules.turn(job, late, 5.0), rules.starts_by(job)),
    )
    assert [job.id for job in wanted] == ["j-3", "j-4", "j-1", "j-2", "j-5"]
    assert (
        rules.turn(world.job("j-3"), late, 71.0)[0] == 0
    )  # late, but so small that it may go first
    world.submit("j-6", estimate_s=500.0)
    world.submit("j-7", "j-6", priority=2, deadline_s=400.0, at=10.0)
    assert rules.turn(world.job("j-6"), [], 11.0)[0] == 1  # what is behind it can't be in time


def test_a_job_near_an_aim_that_it_can_still_meet_is_not_the_one_to_stop() -> None:
    world = World()
    world.submit("j-1", deadline_s=200.0, estimate_s=40.0)
    aims = [Objective("deadline", "c", None, 1.5), Objective("finished", "c", 90.0)]
    risky = [
        wall for wall in range(0, 400, 10) if rules.can_lose(world.job("j-1"), aims, float(wall))
    ]
    assert risky == [*range(20, 80, 10), *range(130, 190, 10), *range(230, 290, 10)]


def test_what_is_kept_is_what_a_node_that_starts_now_works_out() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        world = World()
        for i in range(60):
            deps = [f"j-{rng.randrange(i)}" for _ in range(rng.randrange(4))] if i else []
            deadline = rng.choice([None, 50.0, 90.0])
            more = {"priority": rng.randrange(3), "deadline_s": deadline, "at": float(i)}
            world.submit(f"j-{i}", *dict.fromkeys(deps), **more)
            for name in rng.sample(sorted(world.records), min(i, 2)):
                job = world.job(name)
                if job.is_ready and rng.random() < 0.5:
                    world.end(name, "done", float(i), slim=rng.random() < 0.7)
                elif job.is_open and rng.random() < 0.06:
                    world.end(name, "cancelled", float(i))
        anew = world.loaded_anew(rng)
        for name, job in world.replica.jobs.items():
            other = anew.jobs[name]
            assert (job.is_cancelled, job.is_ready) == (other.is_cancelled, other.is_ready)
            if job.is_open:
                assert (job.since, job.due, job.priority) == (
                    other.since,
                    other.due,
                    other.priority,
                )
                assert job.spec == other.spec and job.blockers == other.blockers
