"""What PROTOCOL allows: zones, limits, guarantees. Plain functions over the replica."""

from collections import Counter
from typing import NamedTuple

from pulleydeal import constants as c
from pulleydeal.policy.language import Value
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.job import Job

Amount = tuple[float, float]  # cpus, gpus
TINY = 1e-6


def spread_limit(tasks: int) -> int:
    return (tasks + 1) // 2


def zones_used(machines: list[str], zone_of: dict[str, str]) -> Counter[str]:
    """Where a job's tasks are, counting everything not proved gone."""
    return Counter(zone_of.get(machine, "?") for machine in machines)


def zones_allowed(spec: r.JobSpec, used: Counter[str], zones: list[str]) -> list[str]:
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


def limited(team: Team) -> bool:
    return team.cpus_max > 0 or team.gpus_max > 0


def within_limit(team: Team, used: Amount) -> bool:
    return (team.cpus_max == 0 or used[0] <= team.cpus_max + TINY) and (
        team.gpus_max == 0 or used[1] <= team.gpus_max + TINY
    )


def within_guarantee(team: Team, used: Amount) -> bool:
    if team.cpus == 0 and team.gpus == 0:
        return False
    return (team.cpus == 0 or used[0] <= team.cpus + TINY) and (
        team.gpus == 0 or used[1] <= team.gpus + TINY
    )


def guaranteed_jobs(jobs: list[Job], teams: dict[str, Team]) -> set[str]:
    """Jobs that fit into their team's guarantee with the team's earlier unfinished ones."""
    used: dict[str, Amount] = {}
    inside = set()
    for job in sorted(jobs, key=lambda j: (j.since, j.id)):
        spec = job.spec
        if spec is None or spec.team not in teams:
            continue
        whole = (spec.cpus * spec.tasks, spec.gpus * spec.tasks)
        after = add(used.get(spec.team, (0.0, 0.0)), whole)
        used[spec.team] = after
        if within_guarantee(teams[spec.team], after):
            inside.add(job.id)
    return inside


def turn(
    job: Job, objectives: list[Objective], wall: float, policy: Policy | None = None
) -> tuple[int, float]:
    """A job's turn among those of its priority: smaller goes first.

    First, how many of its aims can no longer be met: where not all can be served in time, room
    given to one that is late anyway makes another late too. Then, for arrays, how much work
    still waits: the most jobs are done in time when the short ones go first; for services, the
    part of their copies that there is: each second of each missing one counts alike, but who has
    none left, after a zone was lost, serves nobody. The jobs of a
    pipeline are short and others wait for them: they go first among equals, and of them the one
    that must start soonest for the deadlines behind it (`starts_by`). Operators may put another
    measure in the place of the second (`order`).
    """
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return 0, 0.0
    if spec.kind == "service":
        return 0, job.bound / spec.tasks
    age = wall - job.since
    missed = 0
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "wait" and objective.within_s is not None:
            missed += age > objective.within_s
        elif objective.kind == "finished" and objective.within_s is not None:
            missed += age + spec.estimate_s > objective.within_s
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            latest = record.at + spec.deadline_s * (objective.times or 1.0)
            missed += wall + spec.estimate_s > latest
    aimed_at = any(objective.klass == spec.klass for objective in objectives)
    if spec.kind == "array" and age > c.BEGIN_S and aimed_at and not job.has_begun:
        return 0, c.CHAIN_WORK  # the shortest first left the longest without a single start
    left = (spec.tasks - job.done - job.bound) * (spec.estimate_s or 1.0)
    if policy is not None and policy.decides("order"):
        return missed, policy.value("order", _described(job, spec, age, left))
    if job.chained:
        # One that is late anyway lets others go first, unless it is so small that they lose
        # nothing: gangs of two waited 38 s behind arrays that later pipelines had brought.
        late = missed + (wall > starts_by(job)) if left > c.CHAIN_SMALL_S else 0
        return late, c.CHAIN_WORK
    return missed, 0.0 if spec.kind == "gang" else left


class Turn(NamedTuple):
    """Smaller goes first."""

    missed: int  # aims of its job that can no longer be met
    work: float  # by the kind of job: see `turn`
    at: float  # time of day: when its job came, or has to start


def task_turn(spec: r.JobSpec, turn: Turn, ahead: int) -> Turn:
    """The turn of one waiting task, `ahead`: of how many of its job's there will be before it.

    The copies of a service that wait at once are not equal: of forty services each has its first
    before one has its second. With one turn for all of them, whoever was accepted first had six
    copies, and others none for seconds (docs/incidents/services-without-a-copy.md).
    """
    if spec.kind != "service":
        return turn
    return turn._replace(work=ahead / spec.tasks)


def can_lose(job: Job, objectives: list[Objective], wall: float) -> bool:
    """Whether a stopped task would make its job miss an aim that it can still meet."""
    spec, record = job.spec, job.record
    if spec is None or record is None:
        return False
    ends = [job.due] if job.due < float("inf") else []
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            ends.append(job.since + objective.within_s)
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            ends.append(record.at + spec.deadline_s * (objective.times or 1.0))
    # Running tasks are on average half done; what is left is no more than the estimate.
    left = [end - wall - spec.estimate_s / 2 for end in ends]
    return any(0 <= slack < c.RESTART_S for slack in left)


def _described(job: Job, spec: r.JobSpec, age_s: float, left_s: float) -> dict[str, Value]:
    return {
        "kind": spec.kind,
        "job_class": spec.klass,
        "team": spec.team,
        "age_s": age_s,
        "estimate_s": spec.estimate_s,
        "waiting_work_s": left_s,
        "waiting_tasks": float(spec.tasks - job.done - job.bound),
    }


def starts_by(job: Job) -> float:
    """Wall clock by which a job should start for its own and later deadlines; else its coming."""
    return job.due - job.estimate_s if job.chained and job.due < float("inf") else job.since


def aimed(objectives: list[Objective]) -> set[str]:
    """Classes for which somebody has said by when."""
    return {o.klass for o in objectives if o.klass and o.kind in ("wait", "finished", "deadline")}


def idle_time(spec: r.JobSpec, aimed_classes: set[str]) -> bool:
    """Work of the lowest priority that may use spot and for which nobody has said by when."""
    return (
        spec.spot
        and spec.priority == 0
        and spec.deadline_s is None
        and spec.klass not in aimed_classes
    )


def error_backoff_s(fails: int) -> float:
    return min(c.ERROR_BACKOFF_MAX_S, c.ERROR_BACKOFF_S * 2.0 ** min(fails - 1, 10))
