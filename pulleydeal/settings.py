"""The platform's settings file: typed and validated; unknown fields are ignored."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from pulleydeal import constants as c

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
ValueKb = Annotated[float, Meta(ge=c.MIN_VALUE_KB)]
TxnOps = Annotated[int, Meta(ge=4)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class SettingsError(Exception):
    """The settings are invalid; the message names the file and the field."""


class Sibling(Struct):
    """Another controller node."""

    node_name: Name
    zone: Name
    endpoint: Address


class Endpoints(Struct):
    cloud: Address
    state: Address


class Team(Struct):
    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class WorkerTimings(Struct):
    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(Struct):
    """Limits that the state service will apply in future; absent ones stay as they are."""

    write_rps: Positive | None = None
    value_kb: ValueKb | None = None
    txn_ops: TxnOps | None = None


class StateLimits(Struct):
    rps: Positive
    write_rps: Positive
    value_kb: ValueKb
    txn_ops: TxnOps
    next: NextLimits | None = None


class CloudLimits(Struct):
    rps: Positive
    list_lag_s: NonNegative


class MachineLimits(Struct):
    max_sockets: Annotated[int, Meta(ge=32)] = 512


class Objective(Struct):
    kind: str
    klass: str = msgspec.field(name="class", default="")
    within_s: float | None = None
    times: float | None = None


class Deployment(Struct):
    zones: Annotated[list[Name], Meta(min_length=1)]
    teams: list[Team]
    workers: WorkerTimings
    state: StateLimits
    cloud: CloudLimits
    machine_limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    clock_error_ms: NonNegative = 0.0
    objectives: list[Objective] = []


class Settings(Struct):
    node_name: Name
    zone: Name
    api_addr: Address
    peer_addr: Address = msgspec.field(name="back")
    endpoints: Endpoints
    deployment: Deployment
    siblings: list[Sibling] = []

    @property
    def teams(self) -> dict[str, Team]:
        return {team.name: team for team in self.deployment.teams}

    def zone_of(self, member: str) -> str:
        if member == self.node_name:
            return self.zone
        return next((s.zone for s in self.siblings if s.node_name == member), "")


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def load(path: Path) -> Settings:
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        return msgspec.json.decode(raw, type=Settings, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
