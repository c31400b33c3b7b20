"""Placement rules of PROTOCOL (zones, limits, guarantees) and the queue order of jobs.

Plain functions over the replica.
"""

from collections import Counter
from typing import NamedTuple

from pulleydeal import constants as c
from pulleydeal.policy.language import Value
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.job import Job

Amount = tuple[float, float]  # cpus, gpus
ROUNDING_TOLERANCE = 1e-6


def spread_limit(tasks: int) -> int:
    """Maximum number of a spread job's tasks in one zone."""
    return (tasks + 1) // 2


def count_by_zone(machines: list[str], zone_of: dict[str, str]) -> Counter[str]:
    """Counts a job's tasks by zone, including all that are not proved gone."""
    return Counter(zone_of.get(machine, "?") for machine in machines)


def zones_allowed(spec: r.JobSpec, used: Counter[str], zones: list[str]) -> list[str]:
    """Zones where another task of the job may run; for a spread job, least used zones first."""
    options = [spec.zone] if spec.zone else list(zones)
    if spec.one_zone and used:
        options = [z for z in options if used[z] == used.total()]
    if spec.spread:
        limit = spread_limit(spec.tasks)
        options = [z for z in options if used[z] < limit]
        options.sort(key=lambda z: used[z])
    return options


def add(a: Amount, b: Amount) -> Amount:
    return (a[0] + b[0], a[1] + b[1])


def has_limit(team: Team) -> bool:
    return team.cpus_max > 0 or team.gpus_max > 0


def within_limit(team: Team, used: Amount) -> bool:
    return (team.cpus_max == 0 or used[0] <= team.cpus_max + ROUNDING_TOLERANCE) and (
        team.gpus_max == 0 or used[1] <= team.gpus_max + ROUNDING_TOLERANCE
    )


def within_guarantee(team: Team, used: Amount) -> bool:
    if team.cpus == 0 and team.gpus == 0:
        return False
    return (team.cpus == 0 or used[0] <= team.cpus + ROUNDING_TOLERANCE) and (
        team.gpus == 0 or used[1] <= team.gpus + ROUNDING_TOLERANCE
    )


def guaranteed_jobs(jobs: list[Job], teams: dict[str, Team]) -> set[str]:
    """Jobs that fit into their team's guarantee together with its earlier unfinished jobs."""
    used: dict[str, Amount] = {}
    guaranteed = set()
    for job in sorted(jobs, key=lambda j: (j.waiting_since, j.id)):
        spec = job.spec
        if spec is None or spec.team not in teams:
            continue
        job_total = (spec.cpus * spec.tasks, spec.gpus * spec.tasks)
        used_after = add(used.get(spec.team, (0.0, 0.0)), job_total)
        used[spec.team] = used_after
        if within_guarantee(teams[spec.team], used_after):
            guaranteed.add(job.id)
    return guaranteed


def job_rank(
    job: Job, objectives: list[Objective], wall: float, policy: Policy | None = None
) -> tuple[int, float]:
    """Rank of a job among those of its priority; smaller goes first.

    The first element is the number of objectives that the job can no longer meet: if capacity does
    not suffice for all, giving it to a job that is late anyway makes another one late too. For a
    job of a pipeline it also counts a missed latest start.

    The second depends on the kind of job. For arrays it is the work that still waits, since most
    jobs are done in time if short ones go first. For services it is the share of copies that are
    bound: each missing copy counts alike, but a service without any copy, as after the loss of a
    zone, serves nobody. Jobs of a pipeline are short and block others, so they go first among
    equals, ordered by the latest start that meets the deadlines behind them (`latest_start`). An
    operator's `order` expression replaces the second element.
    """
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return 0, 0.0
    if spec.kind == "service":
        return 0, job.bound / spec.tasks
    age = wall - job.waiting_since
    missed_objectives = 0
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "wait" and objective.within_s is not None:
            missed_objectives += age > objective.within_s
        elif objective.kind == "finished" and objective.within_s is not None:
            missed_objectives += age + spec.estimate_s > objective.within_s
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            latest = record.at + spec.deadline_s * (objective.times or 1.0)
            missed_objectives += wall + spec.estimate_s > latest
    has_objective = any(objective.klass == spec.klass for objective in objectives)
    if spec.kind == "array" and age > c.ARRAY_FIRST_START_S and has_objective and not job.has_begun:
        return 0, c.LEAST_WORK  # shortest first left the longest without a single start
    remaining_work_s = (spec.tasks - job.done - job.bound) * (spec.estimate_s or 1.0)
    if policy is not None and policy.decides("order"):
        return missed_objectives, policy.value(
            "order", _policy_inputs(job, spec, age, remaining_work_s)
        )
    if job.in_pipeline:
        # A late job yields to others, unless it is so small that they lose nothing: otherwise gangs
        # of two tasks waited 38 s behind arrays that belong to later pipelines.
        missed_count = (
            missed_objectives + (wall > latest_start(job))
            if remaining_work_s > c.PIPELINE_SMALL_S
            else 0
        )
        return missed_count, c.LEAST_WORK
    return missed_objectives, 0.0 if spec.kind == "gang" else remaining_work_s


class QueueRank(NamedTuple):
    """Position in an owner's queue among requests of equal priority; smaller goes first."""

    missed_objectives: int  # objectives that the job can no longer meet
    waiting_work: float  # depends on the kind of job, see `job_rank`
    tiebreak_time: float  # wall clock: when the job became ready, or must start by


def task_rank(spec: r.JobSpec, rank: QueueRank, ahead: int) -> QueueRank:
    """Rank of one waiting task; `ahead` is the number of its job's tasks before it.

    Copies of one service that wait at the same time get different ranks, so that each of forty
    services gets its first copy before one gets its second. With equal ranks, the services accepted
    first had six copies while others had none for seconds
    (docs/incidents/services-without-a-copy.md).
    """
    if spec.kind != "service":
        return rank
    return rank._replace(waiting_work=ahead / spec.tasks)


def stop_would_miss_objective(job: Job, objectives: list[Objective], wall: float) -> bool:
    """Whether stopping a task would make its job miss an objective that can still be met."""
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return False
    deadlines_s = [job.due] if job.due < float("inf") else []
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            deadlines_s.append(job.waiting_since + objective.within_s)
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            deadlines_s.append(record.at + spec.deadline_s * (objective.times or 1.0))
    # Running tasks are half done on average; the estimate is the upper bound of what is left.
    slacks_s = [end - wall - spec.estimate_s / 2 for end in deadlines_s]
    return any(0 <= slack_s < c.RESTART_S for slack_s in slacks_s)


def _policy_inputs(
    job: Job, spec: r.JobSpec, age_s: float, remaining_work_s: float
) -> dict[str, Value]:
    return {
        "kind": spec.kind,
        "job_class": spec.klass,
        "team": spec.team,
        "age_s": age_s,
        "estimate_s": spec.estimate_s,
        "waiting_work_s": remaining_work_s,
        "waiting_tasks": float(spec.tasks - job.done - job.bound),
    }


def latest_start(job: Job) -> float:
    """Wall clock by which a job should start for its own and later deadlines.

    For jobs without such a deadline: when the job became ready.
    """
    return (
        job.due - job.estimate_s
        if job.in_pipeline and job.due < float("inf")
        else job.waiting_since
    )


def classes_with_objective(objectives: list[Objective]) -> set[str]:
    """Job classes that have an objective for waiting time, completion time or deadline."""
    return {o.klass for o in objectives if o.klass and o.kind in ("wait", "finished", "deadline")}


def is_idle_time_work(spec: r.JobSpec, aimed_classes: set[str]) -> bool:
    """Whether it is idle-time work: lowest priority, may use spot, no deadline or objective."""
    return (
        spec.spot
        and spec.priority == 0
        and spec.deadline_s is None
        and spec.klass not in aimed_classes
    )


def error_backoff_s(fails: int) -> float:
    """Exponential back-off before a task that failed `fails` times is tried again."""
    return min(c.ERROR_BACKOFF_MAX_S, c.ERROR_BACKOFF_S * 2.0 ** min(fails - 1, 10))
