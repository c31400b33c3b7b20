"""Checks PROTOCOL's rules while a scenario runs, from what tasks and users really saw."""

from collections.abc import Callable
from typing import Any


class Rules:
    def __init__(self, teams: dict[str, float], cancel_s: float, now: Callable[[], float]) -> None:
        self._limits = teams  # team -> most accelerators, 0: none
        self._cancel_s = cancel_s
        self._now = now
        self.uploads: dict[str, dict[str, Any]] = {}
        self.broken: list[str] = []
        self.places: dict[str, dict[str, str]] = {}  # lift -> block -> yard
        self.starts = 0
        self.lost = 0  # tasks that workers gave up as their lease was over
        self.changes: list[tuple[float, str, int]] = []  # when a task of which job came or went
        self.usage: dict[str, list[float]] = {}  # team -> accelerators in use, at each change
        self._told: dict[str, str] = {}
        self.accepted_at: dict[str, float] = {}  # when its user first heard of it
        self._cancelled: dict[str, float] = {}

    def _break(self, rule: str, text: str) -> None:
        self.broken.append(f"{self._now():.2f} {rule}: {text}")

    # --- what tasks do ----------------------------------------------------------------------
    def _done(self, job: str, results: set[str]) -> bool:
        missing = self._missing(job, results)
        gang = self.uploads[job]["haul"] == "gang"
        return not missing or (gang and len(missing) < self.uploads[job]["lifts"])

    def _missing(self, job: str, results: set[str]) -> list[int]:
        return [i for i in range(self.uploads[job]["lifts"]) if f"{job}/{i}" not in results]

    def on(
        self,
        lift: str,
        block: str,
        type_: str,
        yard: str,
        loaners: bool,
        results: set[str] = frozenset(),  # type: ignore[assignment]
    ) -> None:
        self.starts += 1
        name = lift.rpartition("/")[0]
        job = self.uploads[name]
        for needed in job.get("waits_on") or ():
            if not self._done(needed, results):
                self._break("too_early", f"{lift}, and {needed} is not done")
        if self.places.get(lift):
            self._break("ran_twice", f"{lift} on {block} and {sorted(self.places[lift])}")
        others = [
            place
            for other, blocks in self.places.items()
            if other.rpartition("/")[0] == name
            for place in blocks.values()
        ]
        if (
            (loaners and not job["loaners"])
            or job.get("yard") not in (None, yard)
            or (job.get("rig_models") is not None and type_ not in job["rig_models"])
        ):
            self._break("wrong_place", f"{lift} on {block} in {yard}")
        if job["same_place"] and any(place != yard for place in others):
            self._break("wrong_place", f"{lift} in {yard}, others in {set(others)}")
        if job["spread"] and others.count(yard) + 1 > (job["lifts"] + 1) // 2:
            self._break("wrong_place", f"{lift}: too many in {yard}")
        self.places.setdefault(lift, {})[block] = yard
        self.changes.append((self._now(), name, 1))
        limit = self._limits[job["crew"]]
        used = self._used(job["crew"])
        if limit and used > limit:
            self._break("quota", f"{job['crew']} uses {used} of {limit}")
        self.check_cancelled()

    def _used(self, team: str) -> float:
        used = sum(
            self.uploads[k.rpartition("/")[0]]["accelerators"] * len(blocks)
            for k, blocks in self.places.items()
            if self.uploads[k.rpartition("/")[0]]["crew"] == team
        )
        self.usage.setdefault(team, []).append(float(used))
        return float(used)

    def off(self, lift: str, block: str) -> None:
        self.check_cancelled()
        if self.places.get(lift, {}).pop(block, None) is not None:
            self.changes.append((self._now(), lift.rpartition("/")[0], -1))
            self._used(self.uploads[lift.rpartition("/")[0]]["crew"])

    def check_cancelled(self) -> None:
        for lift, blocks in self.places.items():
            name = lift.rpartition("/")[0]
            at = min(self._cancelled.get(x, float("inf")) for x in {name, *self._needed(name)})
            if blocks and self._now() - at > self._cancel_s:
                self._break("ran_cancelled", f"{lift} on {sorted(blocks)}")

    # --- what users hear ----------------------------------------------------------------------
    def told(self, job: str, status: int, state: str, results: set[str]) -> None:
        before = self._told.get(job)
        if status == 404 and before is not None:
            self._break("forgotten", f"{job} was {before}, now 404")
        if status in (400, 422) and before is not None:
            self._break("forgotten", f"{job} was {before}, a repeat gets {status}")
        if status not in (200, 201):
            return
        if job not in self.uploads:
            self._break("invented", job)
            return
        if before in ("done", "cancelled") and state != before:
            self._break("went_back", f"{job} from {before} to {state}")
        by_another = any(x in self._cancelled for x in self._needed(job))
        if state == "cancelled" and job not in self._cancelled and not by_another:
            self._break("went_back", f"{job} cancelled by nobody")
        if state == "done" and not self._done(job, results):
            self._break("not_done", f"{job}: {self._missing(job, results)[:5]}")
        if state in ("queued", "running") and before is not None and self._orphan(job):
            self._break("orphaned", f"{job} is {state}")
        self._told[job] = state
        self.accepted_at.setdefault(job, self._now())
        if before is None and self._needs_cancelled(job):
            # Submitted after the cancellation was told: its own time begins with its acceptance.
            self._cancelled.setdefault(job, self._now())

    def know(self, job: str, status: str) -> None:
        """Told by nodes before this scenario began."""
        self._told[job] = "queued" if status == "open" else status
        if status == "cancelled":
            self._cancelled[job] = self._now()

    def accepted(self, job: str) -> bool:
        return job in self._told

    def _needs_cancelled(self, job: str) -> bool:
        return any(self._cancelled.get(x, 1e18) < 1e18 for x in self._needed(job))

    def _needed(self, job: str) -> set[str]:
        """All jobs that it needs, directly or through others."""
        found: set[str] = set()
        left = list(self.uploads[job].get("waits_on") or ())
        while left:
            name = left.pop()
            if name not in found and name in self.uploads:
                found.add(name)
                left += self.uploads[name].get("waits_on") or ()
        return found

    def _orphan(self, job: str) -> bool:
        told = [self._cancelled[x] for x in self._needed(job) if x in self._cancelled]
        return any(
            self._now() - max(at, self._cancelled.get(job, at)) > self._cancel_s for at in told
        )

    def asked_cancel(self, job: str, told: bool) -> None:
        self._cancelled.setdefault(job, float("inf"))
        if told:
            self._cancelled[job] = min(self._cancelled[job], self._now())
