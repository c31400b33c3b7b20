"""`deploy/features.toml`: a section for each feature, typed; no section: the feature is off."""

import ipaddress
from pathlib import Path

import msgspec
from msgspec import Struct

from pulleydeal.settings import Address, split_address


class FeaturesError(Exception):
    """The file can't be used; the text names the file and the place in it."""


class OperatorsSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """The operators' interface. It knows no users yet, so it listens on loopback only."""

    listen: Address


class RolloutsSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Health-gated roll-outs of named services. Nothing to set yet: each service says its own."""


class RecurringSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Cron tables. Needs requirements-recurring.txt; nothing to set yet."""


class ZonesSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """A zone that is cut off keeps its work. Nothing to set: all nodes must do the same."""


class JournalSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Facts of many jobs in one change. On only while every node has it on (docs/journal.md)."""


class Features(Struct, forbid_unknown_fields=True, frozen=True):
    operators: OperatorsSettings | None = None
    rollouts: RolloutsSettings | None = None
    recurring: RecurringSettings | None = None
    zones: ZonesSettings | None = None
    journal: JournalSettings | None = None

    def on(self) -> list[str]:
        """The names of all that is switched on."""
        return [name for name in self.__struct_fields__ if getattr(self, name) is not None]


def load(path: Path | None) -> Features:
    """Reads a features file; without one everything is off. Raises FeaturesError."""
    if path is None or not path.is_file():
        return Features()
    import tomllib  # only for those who have such a file

    try:
        raw = tomllib.loads(path.read_text())
        features = msgspec.convert(raw, Features)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise FeaturesError(f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at ")
        where = place.strip("`").removeprefix("$.") or "at the top"
        raise FeaturesError(f"{path}: {where}: {text}") from error
    _check_listen(path, features)
    return features


def _check_listen(path: Path, features: Features) -> None:
    if features.operators is None:
        return
    host, port = split_address(features.operators.listen)
    place = f"{path}: operators.listen"
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError as error:
        raise FeaturesError(f"{place}: {error}") from error
    if not loopback:
        raise FeaturesError(
            f"{place}: {host} can be reached from other machines, and the operators' interface"
            " does not know yet who asks: only an address of loopback is taken"
        )
    if not 1 <= port <= 65_535:
        raise FeaturesError(f"{place}: {port} is no port")
