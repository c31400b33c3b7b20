"""JSON messages of the user API. PROTOCOL gives their field names (rig, crew, haul, ...)."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from pulleydeal.store.records import JobSpec

JOB_ID = r"^j-[0-9]{1,30}$"
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
KIND_BY_HAUL: dict[str, Literal["array", "gang", "service"]] = {
    "batch": "array",
    "gang": "gang",
    "standing": "service",
}
PRIORITY_BY_URGENCY = {"low": 0, "standard": 1, "high": 2, "prod": 3}


class Submission(Struct):
    id: Annotated[str, Meta(pattern=JOB_ID)] = msgspec.field(name="name_id")
    klass: Name = msgspec.field(name="rig")
    team: Name = msgspec.field(name="crew")
    kind: Literal["batch", "gang", "standing"] = msgspec.field(name="haul")
    priority: Literal["prod", "high", "standard", "low"] = msgspec.field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = msgspec.field(name="lifts")
    cpus: Amount = msgspec.field(name="vcpus")
    gpus: Amount = msgspec.field(name="accelerators")
    memory: Amount = msgspec.field(name="ram_gb")
    image: Name = msgspec.field(name="tackle")
    image_gb: Amount = msgspec.field(name="pull_gb")
    one_zone: bool = msgspec.field(name="same_place")
    spread: bool
    spot: bool = msgspec.field(name="loaners")
    estimate_s: Amount = msgspec.field(name="haul_s")
    checkpoint_s: Amount = msgspec.field(name="belay_s")
    save_s: Amount = msgspec.field(name="stow_s")
    types: list[Name] | None = msgspec.field(name="rig_models", default=None)
    zone: Name | None = msgspec.field(name="yard", default=None)
    deadline_s: Amount | None = msgspec.field(name="due_s", default=None)
    waits_on: list[Annotated[str, Meta(pattern=JOB_ID)]] | None = None

    def spec(self) -> JobSpec:
        return JobSpec(
            self.id,
            self.klass,
            self.team,
            KIND_BY_HAUL[self.kind],
            PRIORITY_BY_URGENCY[self.priority],
            self.tasks,
            self.cpus,
            self.gpus,
            self.memory,
            self.image,
            self.image_gb,
            self.types,
            self.zone,
            self.one_zone,
            self.spread,
            self.spot,
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s,
            list(dict.fromkeys(self.waits_on or [])),
        )


class State(Struct, omit_defaults=True):
    """A job's state for its user; `note` says why it waits or why its tasks were last stopped."""

    id: str = msgspec.field(name="name_id")
    state: str = msgspec.field(name="tension")
    done: int | None = None
    running: int | None = None
    note: str = ""


SUBMISSION = msgspec.json.Decoder(Submission)


def as_submission(spec: JobSpec) -> dict[str, Any]:
    """A job as its user would submit it, for `GET /v1/jobs/ID/description`.

    Workers fetch the descriptions that users upload; for a job that a feature submitted, the
    platform gets the description here.
    """
    haul_of = {kind: haul for haul, kind in KIND_BY_HAUL.items()}
    urgency_of = {priority: urgency for urgency, priority in PRIORITY_BY_URGENCY.items()}
    submission = Submission(
        spec.id,
        spec.klass,
        spec.team,
        haul_of[spec.kind],  # type: ignore[arg-type]
        urgency_of[spec.priority],  # type: ignore[arg-type]
        spec.tasks,
        spec.cpus,
        spec.gpus,
        spec.memory,
        spec.image,
        spec.image_gb,
        spec.one_zone,
        spec.spread,
        spec.spot,
        spec.estimate_s,
        spec.checkpoint_s,
        spec.save_s,
        spec.types,
        spec.zone,
        spec.deadline_s,
        spec.waits_on or None,
    )
    return dict(msgspec.to_builtins(submission))
