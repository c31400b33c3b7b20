"""A named service as its operators describe it: typed, checked as a whole, with every place."""

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
Short = Annotated[float, Meta(gt=0, le=600)]
Count = Annotated[int, Meta(ge=1, le=100)]


class DescriptionError(Exception):
    """The description can't be used; `faults` has a line for each reason, with its place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Check(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """An HTTP check: GET `path` on the copy's own address; any 2xx is good."""

    path: Annotated[str, Meta(pattern=r"^/[!-~]{0,199}$")] = "/health"
    every_s: Short = 2.0
    timeout_s: Short = 1.0
    healthy_after: Count = 2  # good answers in a row
    unhealthy_after: Count = 3  # bad ones in a row
    grace_s: Seconds = 60.0  # from its start on a machine until its first good answers


class Description(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    name: Name
    team: Text
    klass: Text = msgspec.field(name="class")
    copies: Annotated[int, Meta(ge=1, le=rc.MOST_COPIES)]
    image: Text
    cpus: Amount
    memory_gb: Amount
    gpus: Amount = 0.0
    image_gb: Amount = 0.0
    types: list[Text] | None = None  # machine types; absent: any
    zones: list[Text] | None = None  # absent: any
    spread: bool = True  # evenly over the zones, at most half of the copies in one
    priority: Literal["low", "normal", "high", "production"] = "production"
    floor: Annotated[int, Meta(ge=0)] | None = None  # fewest healthy copies; absent: copies - 1
    surge: Annotated[int, Meta(ge=0, le=rc.MOST_SURGE)] = 1  # copies above `copies` meanwhile
    steps: list[Annotated[int, Meta(ge=1)]] = []  # new copies after each step; the last: all
    check: Check = Check()
    bake_s: Seconds = 30.0  # healthy for so long after each step
    watch_s: Seconds = 120.0  # and for so long after the last
    deadline_s: Seconds = 600.0  # without progress for so long: `late`
    late: Literal["return", "hold"] = "return"
    leave_s: Seconds = 10.0  # a copy taken out of the endpoints may end its requests so long

    @property
    def least(self) -> int:
        """The floor."""
        return self.copies - 1 if self.floor is None else self.floor

    @property
    def wanted(self) -> list[int]:
        """New copies after each step, the last being all."""
        return [*(n for n in self.steps if n < self.copies), self.copies]

    def job(self, job_id: str, zone: str) -> r.JobSpec:
        """One copy's job: it waits, is preempted and counts like any other."""
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
    """Reads TOML. Raises DescriptionError with every fault of meaning, or the first of form."""
    import tomllib

    try:
        found = msgspec.convert(tomllib.loads(raw), Description)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise DescriptionError([f"{place}: {error}"]) from error
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at ")
        field = where.strip("`").removeprefix("$.") or "at the top"
        raise DescriptionError([f"{place}: {field}: {text}"]) from error
    faults = [f"{place}: {fault}" for fault in faults_of(found)]
    if faults:
        raise DescriptionError(faults)
    return found


def read(path: Path) -> Description:
    try:
        raw = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise DescriptionError([f"{path}: {error}"]) from error
    return parse(raw, str(path))


def faults_of(d: Description) -> list[str]:
    """What is wrong in itself, whatever the deployment."""
    faults = []
    if d.least > d.copies:
        faults.append(f"floor: {d.least} healthy copies of {d.copies} can't be promised")
    if d.surge == 0 and d.least >= d.copies:
        faults.append("surge: with no copy above `copies` and a floor of all, none can be replaced")
    if d.steps != sorted(set(d.steps)) or len(d.steps) > rc.MOST_STEPS:
        faults.append(f"steps: {rc.MOST_STEPS} numbers at most, each larger than the one before")
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


def fits(
    d: Description, teams: dict[str, Team], types: dict[str, r.MachineType], zones: list[str]
) -> list[str]:
    """What this deployment can never give it."""
    faults = [f"zones: unknown zone {zone!r}" for zone in d.zones or [] if zone not in zones]
    why = rejection_reason(d.job("j-0", ""), teams, types, zones)
    if why:
        return [*faults, f"copies: {why}"]
    team = teams[d.team]
    most = d.copies + d.surge
    for name, need, limit in (
        ("cpus", d.cpus, team.cpus_max),
        ("gpus", d.gpus, team.gpus_max),
    ):
        if limit and need * most > limit:
            faults.append(
                f"{name}: {d.copies} copies and a surge of {d.surge} need {need * most:g}, and the"
                f" limit of {d.team} is {limit:g}"
            )
    return faults
