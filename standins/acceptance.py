"""Acceptance criteria of a scenario beside the protocol rules, checked on what really ran.

At least half of the jobs of each class, of each team, and of the largest jobs of each class are
served; the largest jobs begin within four minutes; and once all faults are over, no job waits for
long while a suitable machine has room and its team is under its quota.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from standins.rules import Rules
from standins.worker import Worker

LEAST = 0.5  # user requirement: smallest share of jobs served in each group
LARGEST_SHARE = 0.8  # share of a class's largest job from which a job counts as one of its largest
BEGIN_S = 240.0  # user requirement: the largest jobs begin within this time
MAX_WAIT_S = 90.0  # user requirement: no job waits longer while there is room for it
LOOK_S = 1.0  # interval of the check for waiting jobs
RENEWAL_MAX_AGE_S = 8.0  # a machine without a lease renewal for longer counts as unusable
EPSILON = 1e-6


def shares(
    uploads: dict[str, dict[str, Any]], ended: dict[str, bool], cancelled: set[str]
) -> dict[str, float]:
    """Group (class, team, largest of a class) -> share of its jobs that `ended` is true for.

    Cancelled jobs are left out, and so are services, which never end.
    """
    job_counts: dict[str, int] = defaultdict(int)
    served_counts: dict[str, int] = defaultdict(int)
    largest_jobs = largest(uploads)
    for job, body in uploads.items():
        if job in cancelled or body["haul"] == "standing":
            continue
        groups = [f"class {body['rig']}", f"team {body['crew']}"]
        if job in largest_jobs:
            groups.append(f"largest {body['rig']}")
        for group in groups:
            job_counts[group] += 1
            served_counts[group] += ended[job]
    return {group: served_counts[group] / count for group, count in job_counts.items()}


def largest(uploads: dict[str, dict[str, Any]]) -> set[str]:
    """The jobs of each class whose size is near that of its largest one (see LARGEST_SHARE)."""
    size = {job: body["lifts"] * max(1.0, body["accelerators"]) for job, body in uploads.items()}
    max_size: dict[str, float] = defaultdict(float)
    for job, body in uploads.items():
        max_size[body["rig"]] = max(max_size[body["rig"]], size[job])
    return {
        job for job, body in uploads.items() if size[job] >= LARGEST_SHARE * max_size[body["rig"]]
    }


def worst_wait(
    accepted_at: dict[str, float], changes: list[tuple[float, str, int]], jobs: set[str]
) -> float:
    """The longest time that one of these jobs waited from acceptance to its first start."""
    first: dict[str, float] = {}
    for at, job, change in changes:
        if change > 0:
            first.setdefault(job, at)
    waits = [first[job] - accepted_at[job] for job in jobs & set(first) & set(accepted_at)]
    return max(waits, default=0.0)


def least_served(found: dict[str, float]) -> float:
    return min(found.values(), default=1.0)


def unserved(rules: Rules, now: float) -> list[str]:
    """Violations among the jobs that were accepted more than BEGIN_S ago."""
    started_jobs = {job for _, job, change in rules.changes if change > 0}
    jobs = {
        job: body
        for job, body in rules.uploads.items()
        if now - rules.accepted_at.get(job, now) > BEGIN_S and not body.get("broken")
    }
    cancel_requested = {job for job in jobs if rules.asked_to_cancel(job)}
    found = shares(jobs, {job: job in started_jobs for job in jobs}, cancel_requested)
    violations = [
        f"served: {share:.2f} of {group}" for group, share in found.items() if share < LEAST
    ]
    for job in sorted(largest(jobs) - cancel_requested - started_jobs):
        if not jobs[job].get("waits_on"):
            violations.append(f"served: {job}, one of its class's largest, did not begin")
    return violations


def free_resources(worker: Worker) -> dict[str, float]:
    active_jobs = [r.job for r in worker.tasks.values() if r.state != "exited" and r.job]
    return {
        amount: worker.machine_type[amount] - sum(job[amount] for job in active_jobs)
        for amount in ("vcpus", "accelerators", "ram_gb")
    }


Candidate = tuple[Worker, dict[str, float]]  # a machine and its free resources


def is_healthy(worker: Worker, now: float) -> bool:
    """Whether the machine is healthy, so that a task that fits could start on it."""
    usable = not (worker.sick or worker.terminated) and worker.reclaim_at is None
    return usable and now - worker.renewed_at < RENEWAL_MAX_AGE_S


def fits(candidate: Candidate, job: dict[str, Any]) -> bool:
    """Whether a task of the job may run there, by machine type, zone and free resources."""
    worker, room = candidate
    allowed = (
        (job["loaners"] or not worker.spot)
        and job.get("yard") in (None, worker.zone)
        and (job.get("rig_models") is None or worker.machine_type["name"] in job["rig_models"])
    )
    return allowed and all(left + EPSILON >= job[amount] for amount, left in room.items())


class WaitChecker:
    """Reports jobs that wait although there is room for them, once all faults are over."""

    def __init__(self, rules: Rules, now: Callable[[], float]) -> None:
        self._rules = rules
        self._now = now
        # Job -> start of its wait, number of waiting tasks.
        self._waiting_since: dict[str, tuple[float, int]] = {}
        self._reported: set[str] = set()

    def look(self, workers: Iterable[Worker], results: set[str]) -> None:
        now = self._now()
        machines = list(workers)
        present = {task for w in machines for task, r in w.tasks.items() if r.state != "exited"}
        candidates: list[Candidate] | None = None  # computed only if some job waits
        for name, body in self._rules.uploads.items():
            waiting = self._count_waiting(name, body, present, results)
            if waiting and candidates is None:
                candidates = [(w, free_resources(w)) for w in machines if is_healthy(w, now)]
            since, before = self._waiting_since.get(name, (now, -1))
            if not waiting or not self._has_room(name, body, waiting, candidates or []):
                self._waiting_since.pop(name, None)
            elif waiting != before:
                self._waiting_since[name] = (now, waiting)
            elif now - since > MAX_WAIT_S and name not in self._reported:
                self._reported.add(name)
                self._rules.broken.append(
                    f"{now:.2f} waited: {name}, {waiting} tasks since {since:.1f} despite room"
                )

    def _count_waiting(
        self, name: str, body: dict[str, Any], present: set[str], results: set[str]
    ) -> int:
        """Number of tasks that could start now; 0 if the job is over or may not start yet."""
        rules = self._rules
        if not rules.accepted(name) or rules.heard_over(name) or body.get("broken"):
            return 0
        if rules.done(name, results) or rules.asked_to_cancel(name):
            return 0
        if not all(rules.done(needed, results) for needed in body.get("waits_on") or ()):
            return 0
        tasks = [f"{name}/{i}" for i in range(body["lifts"])]
        missing = [x for x in tasks if x not in present and x not in results]
        if body["haul"] == "gang" and len(missing) < len(tasks):
            return 0  # its last attempt is still stopping
        return len(missing)

    def _has_room(
        self, name: str, body: dict[str, Any], waiting: int, candidates: list[Candidate]
    ) -> bool:
        rules = self._rules
        tasks = waiting if body["haul"] == "gang" else 1
        if not rules.under_limit(body["crew"], tasks * body["accelerators"]):
            return False
        fitting = [candidate for candidate in candidates if fits(candidate, body)]
        zones = sorted({w.zone for w, _ in fitting})
        if body["spread"]:
            present = [
                zone
                for k, machines in rules.places.items()
                for zone in machines.values()
                if k.rpartition("/")[0] == name
            ]
            zones = [z for z in zones if present.count(z) < (body["lifts"] + 1) // 2]
        if tasks == 1:
            return bool(zones)
        return any(
            self._capacity_for([room for w, room in fitting if w.zone == zone], body) >= tasks
            for zone in zones
        )

    def _capacity_for(self, rooms: list[dict[str, float]], body: dict[str, Any]) -> int:
        """How many tasks of the job the given free resources can hold."""
        return sum(
            min(
                int((left + EPSILON) // body[amount])
                for amount, left in room.items()
                if body[amount] > 0
            )
            for room in rooms
        )
