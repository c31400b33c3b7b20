"""Shared by commands that call the operators' interface: requests, paging and table output."""

import http.client
import json
import sys
from collections.abc import Callable
from typing import Any, Protocol, cast

from pulleydeal.settings import split_address

DEFAULT_ADDRESS = "127.0.0.1:9180"
ADDRESS_VARIABLE = "PULLEYDEAL_OPERATORS"


class RequestFailed(Exception):
    """A request was refused or got no answer; the message says why."""


def send_request(
    address: str, method: str, path: str, body: bytes = b"", timeout: float = 10.0
) -> Any:
    """Returns the decoded answer. Raises RequestFailed with the reason if it failed."""
    try:
        host, port = split_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        connection.request(method, path, body)
        response = connection.getresponse()
        raw = response.read()
        reply = json.loads(raw)
    except (OSError, ValueError, RecursionError, http.client.HTTPException) as error:
        raise RequestFailed(f"{address}: {error}") from error
    if response.status != 200:
        error_body = reply.get("error", {}) if isinstance(reply, dict) else {}
        raise RequestFailed(error_body.get("message", f"{response.status} {raw[:200]!r}"))
    return reply


class HasFaults(Protocol):
    """An exception that carries one line per fault, each with its position."""

    faults: list[str]


def run_command(command: Callable[[], int], fault_type: type[Exception]) -> int:
    """Runs a command. Returns its own exit code, 2 for invalid input, 1 for a failed request."""
    try:
        return command()
    except fault_type as error:
        lines, code = cast(HasFaults, error).faults, 2
    except RequestFailed as error:
        lines, code = str(error).splitlines(), 1
    for line in lines:
        print(f"pulleydeal: {line}", file=sys.stderr)
    return code


def fetch_all(address: str, path: str) -> list[dict[str, Any]]:
    """Fetches all pages of a list."""
    items: list[dict[str, Any]] = []
    after = ""
    while True:
        reply = send_request(
            address, "GET", f"{path}?limit=500" + (f"&after={after}" if after else "")
        )
        items += reply["items"]
        if reply["next"] is None:
            return items
        after = reply["next"]


def print_json(value: Any) -> int:
    print(json.dumps(value, indent=2))
    return 0


def print_table(title: str, names: list[str], lines: list[list[str]]) -> None:
    """Prints a table; uses plain columns if `rich` is not installed."""
    try:
        from rich.console import Console
        from rich.table import Table
    except ModuleNotFoundError:
        widths = [max(len(x) for x in column) for column in zip(names, *lines, strict=True)]
        print(title)
        for line in [names, *lines]:
            print("  ".join(x.ljust(w) for x, w in zip(line, widths, strict=True)).rstrip())
        return
    Console().print(build_table(Table, title, names, lines))


def build_table(table_class: Any, title: str, names: list[str], lines: list[list[str]]) -> Any:
    result = table_class(title=title, title_justify="left")
    for name in names:
        result.add_column(name)
    for line in lines:
        result.add_row(*line)
    return result
