"""Settings of `deploy/features.toml`: one section per feature; without it the feature is off."""

import ipaddress
from pathlib import Path

import msgspec
from msgspec import Struct

from pulleydeal.settings import Address, split_address


class FeaturesError(Exception):
    """The file is invalid; the message names the file and the position in it."""


class OperatorsSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """The operators' interface. It has no authentication yet, so it listens on loopback only."""

    listen: Address


class RolloutsSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Health-gated roll-outs of named services. No settings yet: each service defines its own."""


class RecurringSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Cron tables. Needs requirements-recurring.txt; no settings yet."""


class ZonesSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Lets a zone that is cut off keep its work. No settings: all nodes must behave the same."""


class JournalSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Journaled task facts. In effect only while every node has it on (docs/journal.md)."""


class Features(Struct, forbid_unknown_fields=True, frozen=True):
    operators: OperatorsSettings | None = None
    rollouts: RolloutsSettings | None = None
    recurring: RecurringSettings | None = None
    zones: ZonesSettings | None = None
    journal: JournalSettings | None = None

    def enabled(self) -> list[str]:
        """The names of the enabled features."""
        return [name for name in self.__struct_fields__ if getattr(self, name) is not None]


def load(path: Path | None) -> Features:
    """Reads a features file; without one all features are off. Raises FeaturesError."""
    if path is None or not path.is_file():
        return Features()
    import tomllib  # imported only when there is a file

    try:
        raw = tomllib.loads(path.read_text())
        features = msgspec.convert(raw, Features)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise FeaturesError(f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        text, _, location = str(error).partition(" - at ")
        position = location.strip("`").removeprefix("$.") or "at the top"
        raise FeaturesError(f"{path}: {position}: {text}") from error
    _check_listen(path, features)
    return features


def _check_listen(path: Path, features: Features) -> None:
    if features.operators is None:
        return
    host, port = split_address(features.operators.listen)
    setting = f"{path}: operators.listen"
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError as error:
        raise FeaturesError(f"{setting}: {error}") from error
    if not loopback:
        raise FeaturesError(
            f"{setting}: {host} can be reached from other machines, and the operators' interface"
            " has no authentication yet: only a loopback address is allowed"
        )
    if not 1 <= port <= 65_535:
        raise FeaturesError(f"{setting}: {port} is no port")
