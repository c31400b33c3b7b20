"""Maps a table's lines to jobs: defaults, settings per user, and overrides per line."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from pulleydeal.recurring import schedule
from pulleydeal.recurring.crontab import CrontabEntry, Fault
from pulleydeal.store import records as r

ShortText = Annotated[str, Meta(min_length=1, max_length=100)]
Amount = Annotated[float, Meta(ge=0, le=1e6)]
Kind = Literal["array", "gang"]


class LineJob(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """The job that a firing submits, and the rules for firing. Times are in seconds."""

    team: ShortText
    job_class: ShortText = msgspec.field(name="class")
    image: ShortText
    cpus: Amount
    memory_gb: Amount
    kind: Kind = "array"
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = 1
    gpus: Amount = 0.0
    image_gb: Amount = 0.0
    priority: Literal["low", "normal", "high", "production"] = "normal"
    types: list[ShortText] | None = None
    zone: ShortText | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    run_s: Amount = 0.0  # a task's run time as estimated by its owner
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    deadline_s: Amount | None = None  # counted from the firing
    overlap: Literal["allow", "skip", "replace"] = "allow"
    # Instants older than 5 minutes: fire none of them, as cron does, or the latest one.
    missed: Literal["skip", "once"] = "skip"

    def spec(self, job_id: str) -> r.JobSpec:
        return r.JobSpec(
            job_id,
            self.job_class,
            self.team,
            self.kind,
            r.PRIORITIES.index(self.priority),
            self.tasks,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image,
            self.image_gb,
            self.types,
            self.zone,
            self.one_zone,
            self.spread,
            self.spot,
            self.run_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s,
        )


class Mapping(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A mapping file: `[default]`, `[user.NAME]` for system tables, the table's time zone."""

    default: dict[str, Any]
    user: dict[str, dict[str, Any]] = {}
    timezone: ShortText = "UTC"  # of lines without CRON_TZ: the zone of the machine they come from
    system: bool = False  # each line names a user, as in /etc/crontab and cron.d


class MappingError(Exception):
    """An invalid mapping; the message names file and field."""


def parse(text: str, source: str = "mapping") -> Mapping:
    import tomllib

    try:
        rules = msgspec.convert(tomllib.loads(text), Mapping)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise MappingError(f"{source}: {error}") from error
    except msgspec.ValidationError as error:
        raise MappingError(f"{source}: {_error_text(error)}") from error
    try:
        schedule.zone(rules.timezone)
    except schedule.BadSchedule as error:
        raise MappingError(f"{source}: timezone: {error}") from error
    for name, values in [("default", rules.default), *rules.user.items()]:
        section = name if name == "default" else f"user.{name}"
        for field in values:
            if field not in FIELDS:
                raise MappingError(f"{source}: {section}.{field}: no such field")
    return rules


FIELDS = frozenset(f.encode_name for f in msgspec.structs.fields(LineJob))


def _error_text(error: msgspec.ValidationError) -> str:
    text, _, path = str(error).partition(" - at ")
    field = path.strip("`").removeprefix("$").lstrip(".")
    return f"{field}: {text}" if field else text


def job_of(mapping: Mapping, entry: CrontabEntry) -> LineJob:
    """Returns a line's job. Raises ValueError with the reason if it has none."""
    merged = {**mapping.default, **mapping.user.get(entry.user, {})}
    for name, value in entry.overrides.items():
        if name not in FIELDS:
            raise ValueError(f"override {name}: no such field")
        merged[name] = value.split("+") if name == "types" else value
    try:
        # Override values are strings: lax conversion turns "2" into a number where needed.
        return msgspec.convert(merged, LineJob, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(_error_text(error)) from error


def zone_of(mapping: Mapping, entry: CrontabEntry) -> str:
    return entry.zone or mapping.timezone


def check(mapping: Mapping, entry: CrontabEntry, now: int) -> tuple[LineJob | None, list[Fault]]:
    """Returns a line's job, or None and the faults of its settings and schedule."""
    faults = []
    job = None
    try:
        job = job_of(mapping, entry)
    except ValueError as error:
        faults.append(Fault(entry.number, 1, str(error)))
    if entry.schedule != "@reboot":
        try:
            if schedule.next_after(entry.schedule, zone_of(mapping, entry), now) is None:
                faults.append(Fault(entry.number, 1, "never fires within 50 years"))
        except schedule.BadSchedule as error:
            faults.append(Fault(entry.number, 1, str(error)))
    return (None if faults else job), faults
