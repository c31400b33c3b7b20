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
        self._told: dict[str, str] = {}
        self._cancelled: dict[str, float] = {}

    def _break(self, rule: str, text: str) -> None:
        self.broken.append(f"{self._now():.2f} {rule}: {text}")

    # --- what tasks do ----------------------------------------------------------------------
    def on(self, lift: str, block: str, type_: str, yard: str, loaners: bool) -> None:
        self.starts += 1
        name = lift.rpartition("/")[0]
        job = self.uploads[name]
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
        limit = self._limits[job["crew"]]
        used = sum(
            self.uploads[k.rpartition("/")[0]]["accelerators"] * len(blocks)
            for k, blocks in self.places.items()
            if self.uploads[k.rpartition("/")[0]]["crew"] == job["crew"]
        )
        if limit and used > limit:
            self._break("quota", f"{job['crew']} uses {used} of {limit}")
        self.check_cancelled()

    def off(self, lift: str, block: str) -> None:
        self.check_cancelled()
        self.places.get(lift, {}).pop(block, None)

    def check_cancelled(self) -> None:
        for lift, blocks in self.places.items():
            at = self._cancelled.get(lift.rpartition("/")[0])
            if blocks and at is not None and self._now() - at > self._cancel_s:
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
        if state == "cancelled" and job not in self._cancelled:
            self._break("went_back", f"{job} cancelled by nobody")
        missing = [i for i in range(self.uploads[job]["lifts"]) if f"{job}/{i}" not in results]
        gang = self.uploads[job]["haul"] == "gang"
        if state == "done" and missing and not (gang and len(missing) < self.uploads[job]["lifts"]):
            self._break("not_done", f"{job}: {missing[:5]}")
        self._told[job] = state

    def asked_cancel(self, job: str, told: bool) -> None:
        self._cancelled.setdefault(job, float("inf"))
        if told:
            self._cancelled[job] = min(self._cancelled[job], self._now())
