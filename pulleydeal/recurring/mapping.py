"""How a table's lines become jobs: defaults, by user, and by line in a comment before it."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from pulleydeal.recurring import schedule
from pulleydeal.recurring.crontab import Entry, Fault
from pulleydeal.store import records as r

Text = Annotated[str, Meta(min_length=1, max_length=100)]
Amount = Annotated[float, Meta(ge=0, le=1e6)]
Kind = Literal["array", "gang"]


class LineJob(Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """What a firing submits, and the rules of firing. Times are seconds."""

    team: Text
    klass: Text = msgspec.field(name="class")
    image: Text
    cpus: Amount
    memory_gb: Amount
    kind: Kind = "array"
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = 1
    gpus: Amount = 0.0
    image_gb: Amount = 0.0
    priority: Literal["low", "normal", "high", "production"] = "normal"
    types: list[Text] | None = None
    zone: Text | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    run_s: Amount = 0.0  # the owner's estimate of a task's run time
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    deadline_s: Amount | None = None  # from the firing
    overlap: Literal["allow", "skip", "replace"] = "allow"
    missed: Literal["skip", "once"] = "skip"  # instants older than 5 minutes: cron's way, or one

    def spec(self, job_id: str) -> r.JobSpec:
        return r.JobSpec(
            job_id,
            self.klass,
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
    """A mapping file: `[default]`, `[user.NAME]` for system tables, the tables' time zone."""

    default: dict[str, Any]
    user: dict[str, dict[str, Any]] = {}
    timezone: Text = "UTC"  # of lines without CRON_TZ: the zone of the machine they come from
    system: bool = False  # lines name a user, as in /etc/crontab and cron.d


class MappingError(Exception):
    """The mapping can't be used; the text names the place."""


def parse(raw: str, place: str = "mapping") -> Mapping:
    import tomllib

    try:
        found = msgspec.convert(tomllib.loads(raw), Mapping)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise MappingError(f"{place}: {error}") from error
    except msgspec.ValidationError as error:
        raise MappingError(f"{place}: {_told(error)}") from error
    try:
        schedule.zone(found.timezone)
    except schedule.BadSchedule as error:
        raise MappingError(f"{place}: timezone: {error}") from error
    for name, values in [("default", found.default), *found.user.items()]:
        section = name if name == "default" else f"user.{name}"
        for field in values:
            if field not in FIELDS:
                raise MappingError(f"{place}: {section}.{field}: no such field")
    return found


FIELDS = frozenset(f.encode_name for f in msgspec.structs.fields(LineJob))


def _told(error: msgspec.ValidationError) -> str:
    text, _, where = str(error).partition(" - at ")
    field = where.strip("`").removeprefix("$").lstrip(".")
    return f"{field}: {text}" if field else text


def job_of(mapping: Mapping, entry: Entry) -> LineJob:
    """A line's job. Raises ValueError with the reason."""
    merged = {**mapping.default, **mapping.user.get(entry.user, {})}
    for name, value in entry.overrides.items():
        if name not in FIELDS:
            raise ValueError(f"override {name}: no such field")
        merged[name] = value.split("+") if name == "types" else value
    try:
        # Overrides are words: "2" is a number where one is wanted.
        return msgspec.convert(merged, LineJob, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(_told(error)) from error


def zone_of(mapping: Mapping, entry: Entry) -> str:
    return entry.zone or mapping.timezone


def check(mapping: Mapping, entry: Entry, now: int) -> tuple[LineJob | None, list[Fault]]:
    """A line's job, or what keeps it from being one."""
    faults = []
    job = None
    try:
        job = job_of(mapping, entry)
    except ValueError as error:
        faults.append(Fault(entry.number, 1, str(error)))
    if entry.schedule != "@reboot":
        try:
            if schedule.after(entry.schedule, zone_of(mapping, entry), now) is None:
                faults.append(Fault(entry.number, 1, "never fires within 50 years"))
        except schedule.BadSchedule as error:
            faults.append(Fault(entry.number, 1, str(error)))
    return (None if faults else job), faults
