"""Messages of the state service.

PROTOCOL's terms are used only on the wire. Here a ledger is a revision, a mark a version, a
charter a lease, and a drop a delete.
"""

from typing import Any

import msgspec
from msgspec import Raw, Struct


class Entry(Struct):
    key: str = msgspec.field(name="k")
    value: Raw = msgspec.field(name="data")
    version: int = msgspec.field(name="mark")


class Page(Struct):
    revision: int = msgspec.field(name="ledger")
    items: list[Entry] = msgspec.field(name="entries")
    more: bool = msgspec.field(name="truncated", default=False)


class Event(Struct):
    version: int = msgspec.field(name="mark")
    put: str | None = msgspec.field(name="set", default=None)
    delete: str | None = msgspec.field(name="drop", default=None)
    value: Raw = msgspec.field(name="data", default_factory=lambda: Raw(b"null"))


class Changes(Struct):
    revision: int = msgspec.field(name="ledger")
    events: list[Event] = []


class Revision(Struct):
    revision: int = msgspec.field(name="ledger")
    failed: list[str] = []


class Granted(Struct):
    lease: int = msgspec.field(name="charter")


ENTRY = msgspec.json.Decoder(Entry)
PAGE = msgspec.json.Decoder(Page)
CHANGES = msgspec.json.Decoder(Changes)
REVISION = msgspec.json.Decoder(Revision)
GRANTED = msgspec.json.Decoder(Granted)


def condition(key: str, version: int) -> dict[str, Any]:
    return {"k": key, "mark": version}


def put(key: str, value: object, lease: int | None = None) -> dict[str, Any]:
    change: dict[str, Any] = {"set": key, "data": Raw(msgspec.json.encode(value))}
    if lease is not None:
        change["charter"] = lease
    return change


def delete(key: str) -> dict[str, Any]:
    return {"drop": key}


def transaction(conditions: dict[str, int], changes: list[dict[str, Any]]) -> dict[str, Any]:
    encoded_conditions = [condition(key, version) for key, version in conditions.items()]
    return {"if": encoded_conditions, "apply": changes} if changes else {"if": encoded_conditions}
