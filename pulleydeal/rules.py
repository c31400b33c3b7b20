"""Placement rules of PROTOCOL (zones, limits, guarantees) and the order of jobs and requests.

Pure functions of jobs, teams and objectives, without I/O.
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
    """Counts a job's tasks by zone, given the machine of each ("?": its zone is not known).

    Tasks that may still run, because they are not proved gone, count too.
    """
    return Counter(zone_of.get(machine, "?") for machine in machines)


def zones_allowed(spec: r.JobSpec, used: Counter[str], zones: list[str]) -> list[str]:
    """Zones where another task of the job may run; for a spread job, least used zones first.

    `used`: number of the job's tasks by zone.
    """
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
    """Whether a team may use that much; a maximum of 0 is no limit."""
    return (team.cpus_max == 0 or used[0] <= team.cpus_max + ROUNDING_TOLERANCE) and (
        team.gpus_max == 0 or used[1] <= team.gpus_max + ROUNDING_TOLERANCE
    )


def within_guarantee(team: Team, used: Amount) -> bool:
    """Whether that much is guaranteed to a team.

    A guarantee of 0 does not restrict that resource; with both 0 the team has no guarantee.
    """
    if team.cpus == 0 and team.gpus == 0:
        return False
    return (team.cpus == 0 or used[0] <= team.cpus + ROUNDING_TOLERANCE) and (
        team.gpus == 0 or used[1] <= team.gpus + ROUNDING_TOLERANCE
    )


def guaranteed_jobs(jobs: list[Job], teams: dict[str, Team]) -> set[str]:
    """Those of `jobs` that fit into their team's guarantee together with its earlier ones.

    Earlier are jobs that became ready before. Each counts with all its tasks, finished ones too.
    """
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
    """Rank of a job among those of equal priority and guarantee; smaller goes first.

    The first element is usually the number of objectives that the job can no longer meet: if
    capacity does not suffice for all, giving it to a job that is late anyway makes another one late
    too. The second, the order value, decides between jobs with the same number. The first rule that
    applies gives both:
    - Service: 0, and the share of its copies (tasks) that are bound. Each missing copy counts
      alike, but a service without any copy, as after the loss of a zone, serves nobody.
    - Array of a class with objectives that has waited longer than `ARRAY_FIRST_START_S` without a
      start: 0 and `LEAST_WORK`, so it goes before other arrays.
    - An operator's `order` expression, if there is one: missed objectives, and its value.
    - Job of a pipeline: missed objectives and a missed latest start, and `LEAST_WORK`. Such jobs
      are short and block others, so they go first among equals, ordered by the latest start that
      meets the deadlines of their dependents (`latest_start`). For one with little work left the
      first element is 0.
    - Gang: missed objectives and 0.
    - Array: missed objectives, and the work that is not yet bound, since most jobs are done in time
      if short ones go first.
    """
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return 0, 0.0
    if spec.kind == "service":
        return 0, job.bound / spec.tasks
    age_s = wall - job.waiting_since
    missed_objectives = 0
    # `record.at`: when the job was accepted. `times`: acceptable multiple of the job's deadline.
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "wait" and objective.within_s is not None:
            missed_objectives += age_s > objective.within_s
        elif objective.kind == "finished" and objective.within_s is not None:
            missed_objectives += age_s + spec.estimate_s > objective.within_s
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            deadline = record.at + spec.deadline_s * (objective.times or 1.0)
            missed_objectives += wall + spec.estimate_s > deadline
    has_objective = any(objective.klass == spec.klass for objective in objectives)
    if (
        spec.kind == "array"
        and age_s > c.ARRAY_FIRST_START_S
        and has_objective
        and not job.has_begun
    ):
        # Otherwise, with the shortest first, the longest arrays would not start a single task.
        return 0, c.LEAST_WORK
    remaining_work_s = (spec.tasks - job.done - job.bound) * (spec.estimate_s or 1.0)
    if policy is not None and policy.has_expression("order"):
        return missed_objectives, policy.value(
            "order", _policy_inputs(job, spec, age_s, remaining_work_s)
        )
    if job.in_pipeline:
        # A late job goes behind others, unless it is too small to delay them. Otherwise gangs of
        # two tasks waited 38 s behind arrays that belong to later pipelines.
        missed_with_start = (
            missed_objectives + (wall > latest_start(job))
            if remaining_work_s > c.PIPELINE_SMALL_S
            else 0
        )
        return missed_with_start, c.LEAST_WORK
    return missed_objectives, 0.0 if spec.kind == "gang" else remaining_work_s


class QueueRank(NamedTuple):
    """Rank among an owner's requests of equal priority and guarantee; smaller goes first."""

    missed_objectives: int  # objectives that the job can no longer meet
    order_value: float  # depends on the kind of job, see `job_rank`
    tiebreak_time: float  # wall clock, see `latest_start`


def task_rank(spec: r.JobSpec, rank: QueueRank, ahead: int) -> QueueRank:
    """Rank of one waiting task; `ahead`: tasks of its job bound, granted or before it.

    Copies (tasks) of one service that wait at the same time get different ranks, so that each of
    forty services gets its first copy before one gets its second. With equal ranks, the services
    accepted first would have six copies while others had none for seconds
    (docs/incidents/services-without-a-copy.md).
    """
    if spec.kind != "service":
        return rank
    return rank._replace(order_value=ahead / spec.tasks)


def stop_would_miss_objective(job: Job, objectives: list[Objective], wall: float) -> bool:
    """Whether stopping a task would make its job miss an objective that can still be met."""
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return False
    # `job.due` is the latest end for the deadlines of the job and its dependents.
    deadlines = [job.due] if job.due < float("inf") else []
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            deadlines.append(job.waiting_since + objective.within_s)
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            deadlines.append(record.at + spec.deadline_s * (objective.times or 1.0))
    # A running task is half done on average, so about half of its estimated time is left.
    slacks_s = [end - wall - spec.estimate_s / 2 for end in deadlines]
    # A negative slack is an objective that is missed already.
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
    """Wall clock by which a job should start to meet its own deadline and its dependents'.

    For a job outside a pipeline or without such a deadline: when the job became ready.
    """
    return (
        job.due - job.estimate_s
        if job.in_pipeline and job.due < float("inf")
        else job.waiting_since
    )


def classes_with_objective(objectives: list[Objective]) -> set[str]:
    """Job classes that have an objective for waiting time, completion time or deadline."""
    return {o.klass for o in objectives if o.klass and o.kind in ("wait", "finished", "deadline")}


def is_idle_time_work(spec: r.JobSpec, objective_classes: set[str]) -> bool:
    """Whether it is idle-time work, for which otherwise idle machines are used.

    It has the lowest priority, may use spot machines, and has no deadline; its class is not in
    `objective_classes`.
    """
    return (
        spec.spot
        and spec.priority == 0
        and spec.deadline_s is None
        and spec.klass not in objective_classes
    )


def error_backoff_s(failures: int) -> float:
    """Exponential back-off before a task that failed `failures` times is tried again."""
    return min(c.ERROR_BACKOFF_MAX_S, c.ERROR_BACKOFF_S * 2.0 ** min(failures - 1, 10))
