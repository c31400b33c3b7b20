"""What a day has to give its users beside the rules, judged from what really ran.

Half of each class, team and class's largest jobs are served, the largest begin within four minutes,
and once all troubles are over no job waits for long while a machine that fits has room and its team
is under its limit.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from standins.rules import Rules
from standins.worker import Worker

LEAST = 0.5  # the users': under it a day fails
LARGE = 0.8  # of a class's largest job: so large ones count as its largest
BEGIN_S = 240.0  # the users': the largest jobs begin within this
WAIT_S = 90.0  # the users': none waits so long beside room for it
LOOK_S = 1.0  # how often is looked who waits
RENEWED_S = 8.0  # a machine that heard nothing for longer is in trouble: it counts as no room
TINY = 1e-6


def shares(
    uploads: dict[str, dict[str, Any]], ended: dict[str, bool], cancelled: set[str]
) -> dict[str, float]:
    """Class or team -> share of its jobs that came to their end; services run, so they don't."""
    asked: dict[str, int] = defaultdict(int)
    served: dict[str, int] = defaultdict(int)
    large = largest(uploads)
    for job, body in uploads.items():
        if job in cancelled or body["haul"] == "standing":
            continue
        groups = [f"class {body['rig']}", f"team {body['crew']}"]
        if job in large:
            groups.append(f"largest {body['rig']}")
        for group in groups:
            asked[group] += 1
            served[group] += ended[job]
    return {group: served[group] / count for group, count in asked.items()}


def largest(uploads: dict[str, dict[str, Any]]) -> set[str]:
    """The jobs of each class that take about as much as its largest one."""
    size = {job: body["lifts"] * max(1.0, body["accelerators"]) for job, body in uploads.items()}
    most: dict[str, float] = defaultdict(float)
    for job, body in uploads.items():
        most[body["rig"]] = max(most[body["rig"]], size[job])
    return {job for job, body in uploads.items() if size[job] >= LARGE * most[body["rig"]]}


def worst_wait(
    accepted_at: dict[str, float], changes: list[tuple[float, str, int]], jobs: set[str]
) -> float:
    """The longest that one of these jobs waited from its acceptance for its first task."""
    first: dict[str, float] = {}
    for at, job, change in changes:
        if change > 0:
            first.setdefault(job, at)
    waits = [first[job] - accepted_at[job] for job in jobs & set(first) & set(accepted_at)]
    return max(waits, default=0.0)


def least_served(found: dict[str, float]) -> float:
    return min(found.values(), default=1.0)


def unserved(rules: Rules, now: float) -> list[str]:
    """What a day fails on, of the jobs that had four minutes to begin in."""
    begun = {job for _, job, change in rules.changes if change > 0}
    jobs = {
        job: body
        for job, body in rules.uploads.items()
        if now - rules.accepted_at.get(job, now) > BEGIN_S and not body.get("broken")
    }
    asked = {job for job in jobs if rules.asked_to_cancel(job)}
    found = shares(jobs, {job: job in begun for job in jobs}, asked)
    told = [f"served: {share:.2f} of {group}" for group, share in found.items() if share < LEAST]
    for job in sorted(largest(jobs) - asked - begun):
        if not jobs[job].get("waits_on"):
            told.append(f"served: {job}, one of its class's largest, did not begin")
    return told


def room_of(worker: Worker) -> dict[str, float]:
    live = [r.job for r in worker.lifts.values() if r.tension != "exited" and r.job]
    return {
        amount: worker.kind[amount] - sum(job[amount] for job in live)
        for amount in ("vcpus", "accelerators", "ram_gb")
    }


Place = tuple[Worker, dict[str, float]]  # a machine, and its room


def sound(worker: Worker, now: float) -> bool:
    """Whether it is in no trouble: work that could start there would."""
    well = not (worker.sick or worker.gone) and worker.reclaim_at is None
    return well and now - worker.renewed < RENEWED_S


def fits(place: Place, job: dict[str, Any]) -> bool:
    """Whether it may run a task of that job, by kind, zone and room."""
    worker, room = place
    allowed = (
        (job["loaners"] or not worker.loaners)
        and job.get("yard") in (None, worker.yard)
        and (job.get("rig_models") is None or worker.kind["name"] in job["rig_models"])
    )
    return allowed and all(left + TINY >= job[amount] for amount, left in room.items())


class Waits:
    """Looks, from when all troubles are over, for jobs that wait beside room for them."""

    def __init__(self, rules: Rules, now: Callable[[], float]) -> None:
        self._rules = rules
        self._now = now
        self._since: dict[str, tuple[float, int]] = {}  # job -> since when, and how many tasks wait
        self._told: set[str] = set()

    def look(self, workers: Iterable[Worker], results: set[str]) -> None:
        now = self._now()
        machines = list(workers)
        there = {lift for w in machines for lift, r in w.lifts.items() if r.tension != "exited"}
        places: list[Place] | None = None  # counted only where somebody waits
        for name, body in self._rules.uploads.items():
            waiting = self._waiting(name, body, there, results)
            if waiting and places is None:
                places = [(w, room_of(w)) for w in machines if sound(w, now)]
            since, before = self._since.get(name, (now, -1))
            if not waiting or not self._room(name, body, waiting, places or []):
                self._since.pop(name, None)
            elif waiting != before:
                self._since[name] = (now, waiting)
            elif now - since > WAIT_S and name not in self._told:
                self._told.add(name)
                self._rules.broken.append(
                    f"{now:.2f} waited: {name}, {waiting} tasks since {since:.1f} beside room"
                )

    def _waiting(self, name: str, body: dict[str, Any], there: set[str], results: set[str]) -> int:
        """Tasks that could start now and did not; none: of a job that is over, or may not."""
        rules = self._rules
        if not rules.accepted(name) or rules.heard_over(name) or body.get("broken"):
            return 0
        if rules.done(name, results) or rules.asked_to_cancel(name):
            return 0
        if not all(rules.done(needed, results) for needed in body.get("waits_on") or ()):
            return 0
        lifts = [f"{name}/{i}" for i in range(body["lifts"])]
        missing = [x for x in lifts if x not in there and x not in results]
        if body["haul"] == "gang" and len(missing) < len(lifts):
            return 0  # its last attempt is still leaving
        return len(missing)

    def _room(self, name: str, body: dict[str, Any], waiting: int, places: list[Place]) -> bool:
        rules = self._rules
        tasks = waiting if body["haul"] == "gang" else 1
        if not rules.under_limit(body["crew"], tasks * body["accelerators"]):
            return False
        fitting = [place for place in places if fits(place, body)]
        zones = sorted({w.yard for w, _ in fitting})
        if body["spread"]:
            there = [
                yard
                for k, blocks in rules.places.items()
                for yard in blocks.values()
                if k.rpartition("/")[0] == name
            ]
            zones = [z for z in zones if there.count(z) < (body["lifts"] + 1) // 2]
        if tasks == 1:
            return bool(zones)
        return any(
            self._holds([room for w, room in fitting if w.yard == zone], body) >= tasks
            for zone in zones
        )

    def _holds(self, rooms: list[dict[str, float]], body: dict[str, Any]) -> int:
        """How many such tasks these machines have room for."""
        return sum(
            min(
                int((left + TINY) // body[amount])
                for amount, left in room.items()
                if body[amount] > 0
            )
            for room in rooms
        )
