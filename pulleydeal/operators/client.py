"""What commands share that speak to the operators' interface: requests, pages, tables."""

import http.client
import json
import sys
from collections.abc import Callable
from typing import Any, Protocol, cast

from pulleydeal.settings import split_address

DEFAULT = "127.0.0.1:9180"
VARIABLE = "PULLEYDEAL_OPERATORS"


class Failed(Exception):
    """A request that was refused or not answered; the text says why."""


def ask(address: str, method: str, path: str, body: bytes = b"", timeout: float = 10.0) -> Any:
    """The answer, decoded. Raises Failed with the sentence that came, or why none did."""
    try:
        host, port = split_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        connection.request(method, path, body)
        response = connection.getresponse()
        raw = response.read()
        found = json.loads(raw)
    except (OSError, ValueError, RecursionError, http.client.HTTPException) as error:
        raise Failed(f"{address}: {error}") from error
    if response.status != 200:
        told = found.get("error", {}) if isinstance(found, dict) else {}
        raise Failed(told.get("message", f"{response.status} {raw[:200]!r}"))
    return found


class Faulty(Protocol):
    """An error that has a line for each fault, with its place."""

    faults: list[str]


def exit_code(work: Callable[[], int], faulty: type[Exception]) -> int:
    """What a command ends with: its own code, 2 for faults in what was given, 1 if refused."""
    try:
        return work()
    except faulty as error:
        lines, code = cast(Faulty, error).faults, 2
    except Failed as error:
        lines, code = str(error).splitlines(), 1
    for line in lines:
        print(f"pulleydeal: {line}", file=sys.stderr)
    return code


def everything(address: str, path: str) -> list[dict[str, Any]]:
    """All pages of a list."""
    items: list[dict[str, Any]] = []
    after = ""
    while True:
        found = ask(address, "GET", f"{path}?limit=500" + (f"&after={after}" if after else ""))
        items += found["items"]
        if found["next"] is None:
            return items
        after = found["next"]


def show_json(found: Any) -> int:
    print(json.dumps(found, indent=2))
    return 0


def rows(title: str, names: list[str], lines: list[list[str]]) -> None:
    """A table on the terminal; plain columns where `rich` is not installed."""
    try:
        from rich.console import Console
        from rich.table import Table
    except ModuleNotFoundError:
        widths = [max(len(x) for x in column) for column in zip(names, *lines, strict=True)]
        print(title)
        for line in [names, *lines]:
            print("  ".join(x.ljust(w) for x, w in zip(line, widths, strict=True)).rstrip())
        return
    Console().print(table(Table, title, names, lines))


def table(kind: Any, title: str, names: list[str], lines: list[list[str]]) -> Any:
    made = kind(title=title, title_justify="left")
    for name in names:
        made.add_column(name)
    for line in lines:
        made.add_row(*line)
    return made
