"""Operators' description of a named service: parsing, validation, and located error messages."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from pulleydeal.rollouts import constants as rc
from pulleydeal.settings import Team
from pulleydeal.store import records as r
from pulleydeal.submissions.service import rejection_reason

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]
Text = Annotated[str, Meta(min_length=1, max_length=100)]
Amount = Annotated[float, Meta(ge=0, le=1e6)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
ShortSeconds = Annotated[float, Meta(gt=0, le=600)]
Count = Annotated[int, Meta(ge=1, le=100)]


class DescriptionError(Exception):
    """The description is invalid; `faults` has one line per error, with its location."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Check(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """An HTTP check: GET `path` on the copy's own address; any 2xx status is good."""

    path: Annotated[str, Meta(pattern=r"^/[!-~]{0,199}$")] = "/health"
    every_s: ShortSeconds = 2.0
    timeout_s: ShortSeconds = 1.0
    healthy_after: Count = 2  # consecutive good checks
    unhealthy_after: Count = 3  # consecutive bad checks
    grace_s: Seconds = 60.0  # from its start on a machine until it has to be healthy


class Description(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """A version of a service: what each copy runs, how many, and how it is rolled out."""

    name: Name
    team: Text
    klass: Text = msgspec.field(name="class")
    copies: Annotated[int, Meta(ge=1, le=rc.MAX_COPIES)]
    image: Text
    cpus: Amount
    memory_gb: Amount
    gpus: Amount = 0.0
    image_gb: Amount = 0.0
    types: list[Text] | None = None  # machine types; absent: any
    zones: list[Text] | None = None  # absent: any
    spread: bool = True  # evenly over the open zones: with two or more, at most half in one
    priority: Literal["low", "normal", "high", "production"] = "production"
    floor: Annotated[int, Meta(ge=0)] | None = None  # minimum of healthy copies; absent: copies - 1
    surge: Annotated[int, Meta(ge=0, le=rc.MAX_SURGE)] = 1  # extra copies allowed during a roll-out
    steps: list[Annotated[int, Meta(ge=1)]] = []  # new copies after each step; all after the last
    check: Check = Check()
    bake_s: Seconds = 30.0  # all copies must be healthy this long after each step
    watch_s: Seconds = 120.0  # and this long after the last step
    deadline_s: Seconds = 600.0  # after this long without progress `late` applies; 0: no deadline
    late: Literal["return", "hold"] = "return"
    leave_s: Seconds = 10.0  # longest drain time of a copy taken out of the endpoints

    @property
    def min_healthy(self) -> int:
        """The floor: minimum of healthy copies."""
        return self.copies - 1 if self.floor is None else self.floor

    @property
    def step_targets(self) -> list[int]:
        """Cumulative number of new copies after each step; the last is all copies."""
        return [*(n for n in self.steps if n < self.copies), self.copies]

    def job(self, job_id: str, zone: str) -> r.JobSpec:
        """The job of one copy, subject to queueing, preemption and limits like any other job."""
        return r.JobSpec(
            job_id,
            self.klass,
            self.team,
            "service",
            r.PRIORITIES.index(self.priority),
            1,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image,
            self.image_gb,
            self.types,
            zone or None,
        )


def parse(raw: str, place: str = "the description") -> Description:
    """Parses TOML. Raises DescriptionError with the first syntax or type error, or else with all
    validation faults."""
    import tomllib

    try:
        description = msgspec.convert(tomllib.loads(raw), Description)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise DescriptionError([f"{place}: {error}"]) from error
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at ")
        field = where.strip("`").removeprefix("$.") or "at the top"
        raise DescriptionError([f"{place}: {field}: {text}"]) from error
    faults = [f"{place}: {fault}" for fault in validation_faults(description)]
    if faults:
        raise DescriptionError(faults)
    return description


def load(path: Path) -> Description:
    try:
        raw = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise DescriptionError([f"{path}: {error}"]) from error
    return parse(raw, str(path))


def validation_faults(d: Description) -> list[str]:
    """Faults that are independent of the deployment."""
    faults = []
    if d.min_healthy > d.copies:
        faults.append(f"floor: {d.min_healthy} healthy copies of {d.copies} can't be promised")
    if d.surge == 0 and d.min_healthy >= d.copies:
        faults.append("surge: with no copy above `copies` and a floor of all, none can be replaced")
    if d.steps != sorted(set(d.steps)) or len(d.steps) > rc.MAX_STEPS:
        faults.append(f"steps: {rc.MAX_STEPS} numbers at most, each larger than the one before")
    if any(n > d.copies for n in d.steps):
        faults.append(f"steps: no step can have more than {d.copies} new copies")
    if d.check.timeout_s > d.check.every_s:
        faults.append("check.timeout_s: longer than every_s, so that checks would overlap")
    first_s = d.check.every_s * d.check.healthy_after
    if d.check.grace_s < first_s:
        faults.append(f"check.grace_s: {d.check.healthy_after} good answers take {first_s:g} s")
    if 0 < d.deadline_s <= d.check.grace_s:
        faults.append("deadline_s: a start may take grace_s, so it must be longer than that")
    if d.zones is not None and not d.zones:
        faults.append("zones: empty; leave it out for any zone")
    return faults


def deployment_faults(
    d: Description, teams: dict[str, Team], types: dict[str, r.MachineType], zones: list[str]
) -> list[str]:
    """Requirements that this deployment can never meet: zones, machine types or team limits."""
    faults = [f"zones: unknown zone {zone!r}" for zone in d.zones or [] if zone not in zones]
    reason = rejection_reason(d.job("j-0", ""), teams, types, zones)
    if reason:
        return [*faults, f"copies: {reason}"]
    team = teams[d.team]
    max_copies = d.copies + d.surge
    for name, per_copy, limit in (
        ("cpus", d.cpus, team.cpus_max),
        ("gpus", d.gpus, team.gpus_max),
    ):
        if limit and per_copy * max_copies > limit:
            faults.append(
                f"{name}: {d.copies} copies and a surge of {d.surge} need"
                f" {per_copy * max_copies:g}, and the limit of {d.team} is {limit:g}"
            )
    return faults
