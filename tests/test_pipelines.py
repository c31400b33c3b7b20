"""Job dependencies: readiness, cancellation, waiting time, and the order in which jobs start."""

import random

import msgspec

from pulleydeal import rules
from pulleydeal.settings import Objective
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from pulleydeal.store.jobs import Jobs
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


def entries(records: dict[str, r.JobRecord]) -> list[m.Entry]:
    """The records as the state service lists them, in the order of their keys."""
    return [
        m.Entry(r.job_key(name), msgspec.Raw(msgspec.json.encode(records[name])), 1)
        for name in sorted(records)
    ]


class Cluster:
    def __init__(self) -> None:
        self.records: dict[str, r.JobRecord] = {}
        self.replica = Replica()
        self.replica.loaded = True
        self.notified: list[str] = []
        self.replica.add_listener(
            lambda kind, name: self.notified.append(name) if kind == "job" else None
        )

    def put(self, name: str, rec: r.JobRecord) -> None:
        self.records[name] = rec
        self.notified.clear()
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

    def reloaded_replica(self, rng: random.Random) -> Replica:
        """The replica of a node that starts now and reads the same records in random order."""
        items = entries(self.records)
        rng.shuffle(items)
        replica = Replica()
        replica.load(items)
        replica.end_load(1)
        return replica


def test_job_is_ready_once_all_dependencies_are_durably_done() -> None:
    cluster = Cluster()
    cluster.submit("j-1")
    cluster.submit("j-2")
    cluster.submit("j-3", "j-1", "j-2", at=5.0)
    assert not cluster.job("j-3").is_ready and cluster.job("j-3").is_open
    cluster.end("j-1", "done", 30.0, slim=False)  # tasks of a gang may not all be gone yet
    assert cluster.job("j-3").blockers == {"j-2"} and "j-3" in cluster.notified
    cluster.end("j-1", "done", 30.0)
    cluster.end("j-2", "done", 20.0)
    assert cluster.job("j-3").is_ready and cluster.job("j-3").waiting_since == 30.0
    cluster.submit("j-4", "j-1", at=99.0)
    assert cluster.job("j-4").is_ready and cluster.job("j-4").waiting_since == 99.0


def test_dependency_without_end_time_leaves_waiting_time_at_submission() -> None:
    cluster = Cluster()
    cluster.submit("j-1")
    cluster.put("j-1", r.JobRecord("done", 2))
    cluster.submit("j-2", "j-1", at=7.0)
    assert cluster.job("j-2").is_ready and cluster.job("j-2").waiting_since == 7.0


def test_cancellation_reaches_all_transitive_dependents_at_once_and_stays() -> None:
    cluster = Cluster()
    cluster.submit("j-1")
    cluster.submit("j-0")
    for i in range(2, 400):
        cluster.submit(f"j-{i}", f"j-{i - 1}", "j-0")  # a long chain, all depending on j-0
    cluster.end("j-1", "cancelled", 9.0)
    assert all(cluster.job(f"j-{i}").is_cancelled for i in range(1, 400))
    assert len(cluster.notified) == 399
    assert not cluster.job("j-0").is_cancelled
    cluster.submit("j-400", "j-399")  # accepted by another node during the cancellation
    assert cluster.job("j-400").is_cancelled
    cluster.end("j-200", "cancelled", 11.0)
    cluster.submit("j-401", "j-200")
    assert cluster.job("j-401").is_cancelled
    reloaded = cluster.reloaded_replica(random.Random(1))
    assert sum(job.is_cancelled for job in reloaded.jobs.values()) == 401


class CountedJobs(Jobs):
    """The jobs of a replica; counts look-ups, each of which is one step of a walk."""

    lookups = 0

    def _find(self, name: str) -> Job | None:
        self.lookups += 1
        return super()._find(name)


def staged_pipeline(stages: int, width: int, newest_first: bool = False) -> tuple[Cluster, int]:
    """A pipeline in which each job waits on all of the stage before; returns its dependencies too.

    `newest_first`: ids fall from stage to stage, so a load meets dependents first.
    """
    cluster = Cluster()
    before: list[str] = []
    for stage in range(stages):
        number = stages - stage if newest_first else stage
        names = [f"j-{number}{i:02}" for i in range(width)]
        for name in names:
            cluster.submit(name, *before)
        before = names
    return cluster, (stages - 1) * width * width


# Guards against `hang`: a job was visited once for each way to it, 8^4 ways in 5 stages of 8 jobs.
def test_cancellation_visits_each_job_of_a_wide_pipeline_once() -> None:
    cluster, dependencies = staged_pipeline(stages=5, width=8)
    counted = counted_live(cluster)
    cluster.end("j-000", "cancelled", 9.0, slim=False)
    assert sum(job.is_cancelled for job in cluster.replica.jobs.values()) == 1 + 4 * 8
    assert dependencies < counted.lookups < 10 * dependencies


# Guards against `hang` at a node's start, which meets the dependents before the cancelled job.
def test_load_of_a_cancelled_wide_pipeline_visits_each_job_once() -> None:
    cluster, dependencies = staged_pipeline(stages=5, width=8, newest_first=True)
    cluster.end("j-500", "cancelled", 9.0, slim=False)
    counted = counted_load(cluster)
    assert sum(job.is_cancelled for job in counted.in_full()) == 1 + 4 * 8
    assert dependencies < counted.lookups < 10 * dependencies


def counted_load(cluster: Cluster) -> CountedJobs:
    """The jobs of a node that starts now, with the look-ups that the load took."""
    replica = Replica()
    counted = CountedJobs()
    replica.jobs = replica._pipelines._jobs = counted
    replica.load(entries(cluster.records))
    replica.end_load(1)
    return counted


def counted_live(cluster: Cluster) -> CountedJobs:
    """The jobs of a running node, with the look-ups that changes take from now on."""
    counted = CountedJobs()
    for job in cluster.replica.jobs.in_full():
        counted._in_full[job.id] = job
    cluster.replica.jobs = cluster.replica._pipelines._jobs = counted
    return counted


WAITING_ON_ONE = 300


def many_waiting_on_one() -> Cluster:
    cluster = Cluster()
    cluster.submit("j-0")
    for i in range(1, WAITING_ON_ONE):
        cluster.submit(f"j-{i}", "j-0", deadline_s=100.0 + i)
    return cluster


# Guards against `hang`: each dependent that was cancelled had all the others looked at again.
def test_cancellation_of_a_job_that_many_wait_on_visits_each_once() -> None:
    cluster = many_waiting_on_one()
    counted = counted_live(cluster)
    cluster.end("j-0", "cancelled", 9.0, slim=False)
    assert all(job.is_cancelled for job in counted.in_full())
    assert WAITING_ON_ONE < counted.lookups < 10 * WAITING_ON_ONE


# Guards against `hang` at a node's start: each dependent had all the loaded ones looked at again.
def test_load_of_a_job_that_many_wait_on_visits_each_once() -> None:
    counted = counted_load(many_waiting_on_one())
    assert counted["j-0"].due == 91.0  # the earliest deadline less the estimate
    assert WAITING_ON_ONE < counted.lookups < 10 * WAITING_ON_ONE


# Guards against `hang`: a job was computed again for each way from the one whose deadline is new.
def test_new_deadline_computes_each_job_of_a_dense_pipeline_once() -> None:
    cluster = Cluster()
    for i in range(30):
        names = [f"j-{k}" for k in range(max(0, i - 12), i)]
        cluster.submit(f"j-{i}", *names, estimate_s=1.0 + i * 7 % 5)
    counted = counted_live(cluster)
    cluster.submit("j-30", *(f"j-{k}" for k in range(18, 30)), deadline_s=60.0)
    assert counted["j-0"].due < counted["j-29"].due < 60.0
    dependencies = 30 * 12
    assert dependencies < counted.lookups < 10 * dependencies


# Guards against `hang` at a node's start: each job had all that it waits on computed again.
def test_load_of_a_chain_with_ever_earlier_deadlines_computes_each_job_once() -> None:
    cluster = Cluster()
    for i in range(100, 300):
        names = [f"j-{i - 1}"] if i > 100 else []
        cluster.submit(f"j-{i}", *names, deadline_s=5_000.0 - 20 * i)
    counted = counted_load(cluster)
    assert counted["j-100"].due < counted["j-298"].due < counted["j-299"].due
    assert 200 < counted.lookups < 10 * 200


def test_dependents_go_on_if_a_cancelled_job_ends_as_done() -> None:
    cluster = Cluster()
    cluster.submit("j-1")
    cluster.submit("j-2", "j-1")
    cluster.end("j-1", "done", 9.0)
    assert cluster.job("j-2").is_ready


def test_jobs_inherit_priority_and_deadline_from_dependents() -> None:
    cluster = Cluster()
    cluster.submit("j-1", priority=0)
    cluster.submit("j-2", "j-1", priority=0, estimate_s=25.0)
    cluster.submit("j-3", "j-2", priority=1, estimate_s=20.0)
    assert cluster.job("j-1").priority == 1
    cluster.submit("j-4", "j-1", "j-3", priority=2, estimate_s=5.0, deadline_s=100.0, at=10.0)
    assert [cluster.job(f"j-{i}").priority for i in range(1, 5)] == [2, 2, 2, 2]
    assert [cluster.job(f"j-{i}").due for i in range(1, 5)] == [60.0, 85.0, 105.0, 110.0]
    spec = cluster.job("j-1").spec
    assert spec is not None and spec.priority == 2
    assert cluster.job("j-1").record.spec.priority == 0  # type: ignore[union-attr]
    cluster.end("j-4", "cancelled", 20.0)
    assert [cluster.job(f"j-{i}").priority for i in range(1, 4)] == [1, 1, 1]
    assert cluster.job("j-1").due == float("inf")


def test_pipeline_that_must_start_first_to_meet_its_deadline_goes_first() -> None:
    cluster = Cluster()
    for first, last, due in (("j-1", "j-2", 200.0), ("j-3", "j-4", 90.0)):
        cluster.submit(first)
        cluster.submit(last, first, priority=2, deadline_s=due)
    cluster.submit("j-5")
    objectives = [Objective("wait", "c", 20.0)]
    wanted = sorted(
        cluster.replica.jobs.values(),
        key=lambda job: (*rules.job_rank(job, objectives, 5.0), rules.latest_start(job)),
    )
    assert [job.id for job in wanted] == ["j-3", "j-4", "j-1", "j-2", "j-5"]
    # Late, but with so little work that it may still go first.
    assert rules.job_rank(cluster.job("j-3"), objectives, 71.0)[0] == 0
    cluster.submit("j-6", estimate_s=500.0)
    cluster.submit("j-7", "j-6", priority=2, deadline_s=400.0, at=10.0)
    assert (
        rules.job_rank(cluster.job("j-6"), [], 11.0)[0] == 1
    )  # its dependent can't meet the deadline


def test_job_close_to_an_objective_it_can_still_meet_is_not_preempted() -> None:
    cluster = Cluster()
    cluster.submit("j-1", deadline_s=200.0, estimate_s=40.0)
    objectives = [Objective("deadline", "c", None, 1.5), Objective("finished", "c", 90.0)]
    at_risk = [
        wall
        for wall in range(0, 400, 10)
        if rules.stop_would_miss_objective(cluster.job("j-1"), objectives, float(wall))
    ]
    assert at_risk == [*range(20, 80, 10), *range(130, 190, 10), *range(230, 290, 10)]


def test_incremental_state_equals_that_of_a_freshly_loaded_replica() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        cluster = Cluster()
        for i in range(60):
            deps = [f"j-{rng.randrange(i)}" for _ in range(rng.randrange(4))] if i else []
            deadline = rng.choice([None, 50.0, 90.0])
            options = {"priority": rng.randrange(3), "deadline_s": deadline, "at": float(i)}
            cluster.submit(f"j-{i}", *dict.fromkeys(deps), **options)
            for name in rng.sample(sorted(cluster.records), min(i, 2)):
                job = cluster.job(name)
                if job.is_ready and rng.random() < 0.5:
                    cluster.end(name, "done", float(i), slim=rng.random() < 0.7)
                elif job.is_open and rng.random() < 0.06:
                    cluster.end(name, "cancelled", float(i))
        reloaded = cluster.reloaded_replica(rng)
        for name, job in cluster.replica.jobs.items():
            other = reloaded.jobs[name]
            assert (job.is_cancelled, job.is_ready) == (other.is_cancelled, other.is_ready)
            if job.is_open:
                assert (job.waiting_since, job.due, job.priority) == (
                    other.waiting_since,
                    other.due,
                    other.priority,
                )
                assert job.spec == other.spec and job.blockers == other.blockers
