"""`pulleydeal rollout ...` and `pulleydeal service ...`: what operators type.

Speaks to the operators' interface of one node. Tables and the live view need `rich`
(requirements-cli.txt); without it the same is printed as plain lines.
"""

import argparse
import os
import time
from pathlib import Path
from typing import Any

from pulleydeal.operators.client import (
    ADDRESS_VARIABLE,
    DEFAULT_ADDRESS,
    RequestFailed,
    build_table,
    fetch_all,
    print_json,
    print_table,
    run_command,
    send_request,
)
from pulleydeal.rollouts.description import DescriptionError, load

REFRESH_S = 1.0  # refresh interval of `watch`


def parser() -> argparse.ArgumentParser:
    root = argparse.ArgumentParser(prog="pulleydeal", description=__doc__)
    groups = root.add_subparsers(dest="group", required=True)
    rollout = groups.add_parser("rollout", help="roll-outs of named services")
    service = groups.add_parser("service", help="named services")
    for group, verbs in (
        (rollout, {"check": "FILE", "start": "FILE"}),
        (rollout, dict.fromkeys(("status", "watch", "pause", "resume", "abort", "history"), "")),
        (service, {"list": None, "show": "", "endpoints": "", "remove": ""}),
    ):
        if not hasattr(group, "verbs"):
            group.verbs = group.add_subparsers(dest="verb", required=True)  # type: ignore[attr-defined]
        for verb_name, argument in verbs.items():
            verb = group.verbs.add_parser(verb_name)  # type: ignore[attr-defined]
            if argument == "FILE":
                verb.add_argument("file", type=Path, help="the service's description (TOML)")
            elif argument is not None:
                verb.add_argument("service", help="the service's name")
            verb.add_argument("--json", action="store_true", help="the answer as it came")
            verb.add_argument(
                "--operators",
                default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS),
                help=f"a node's operators' address (default: ${ADDRESS_VARIABLE}"
                f" or {DEFAULT_ADDRESS})",
            )
    return root


def main(argv: list[str]) -> int:
    options = parser().parse_args(argv)
    return run_command(lambda: run(options), DescriptionError)


def run(options: argparse.Namespace) -> int:
    verb, address = options.verb, options.operators
    if verb in ("check", "start"):
        load(options.file)  # reports the file's own errors under its name, without asking a node
        path = "/v1/rollouts/check" if verb == "check" else "/v1/rollouts"
        found = send_request(address, "POST", path, options.file.read_bytes())
        if options.json:
            return print_json(found)
        if verb == "check":
            print(f"{options.file}: good: {found['says']}")
        elif "rollout" in found:
            print(
                f"roll-out {found['rollout']} of {found['service']} to version {found['version']}"
            )
        else:
            print(f"{found['service']}: version {found['version']} {found['says']}")
        return 0
    if verb == "list":
        found = fetch_all(address, "/v1/services")
        return print_json(found) if options.json else show_list(found)
    path = f"/v1/services/{options.service}"
    if verb == "watch":
        return watch(address, path)
    if verb in ("pause", "resume", "abort", "remove"):
        found = send_request(address, "POST", f"{path}/{verb}")
        if options.json:
            return print_json(found)
        print(f"{found['service']}: {found['state']}")
        return 0
    if verb == "history":
        found = fetch_all(address, f"{path}/history")
        return print_json(found) if options.json else show_history(found)
    found = send_request(address, "GET", path + ("/endpoints" if verb == "endpoints" else ""))
    if options.json:
        return print_json(found)
    return show_endpoints(found) if verb == "endpoints" else show_service(found)


def show_list(found: list[dict[str, Any]]) -> int:
    names = ["service", "state", "good", "copies", "ready"]
    print_table("services", names, [[str(x[name]) for name in names] for x in found])
    return 0


def headline(found: dict[str, Any]) -> str:
    text = f"{found['service']}: {found['state']}, good version {found['good'] or 'none yet'}, "
    text += f"{found['ready']} ready, led by {found['leader'] or 'nobody'}"
    r = found.get("rollout")
    if r:
        step, wanted = r.get("step", 0), r["wanted"]
        text += f"\nroll-out {r['number']} to version {r['to']}, step {step + 1} of {len(wanted)}"
        text += ", paused" if r.get("paused") else ""
        text += f"\n{r['hold']}" if r.get("hold") else ""
    return text


COPY_COLUMNS = ["copy", "version", "zone", "state", "for", "why"]


def copy_rows(found: dict[str, Any]) -> list[list[str]]:
    table_rows = []
    for x in found["copies"]:
        state = "leaving" if x["leaving"] else x.get("state", "ask its leader")
        for_s = f"{x['for_s']:.0f} s" if "for_s" in x else ""
        table_rows.append(
            [str(x["copy"]), str(x["version"]), x["zone"], state, for_s, x.get("why", "")]
        )
    return table_rows


def show_service(found: dict[str, Any]) -> int:
    print_table(headline(found), COPY_COLUMNS, copy_rows(found))
    return 0


def show_endpoints(found: dict[str, Any]) -> int:
    names = ["address", "version", "zone", "job"]
    table_rows = [[str(x[name]) for name in names] for x in found["ready"]]
    print_table(f"{found['service']}: revision {found['revision']}", names, table_rows)
    return 0


def show_history(found: list[dict[str, Any]]) -> int:
    for x in found:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(x["at"]))
        print(f"{at}  {x['what']}" + (f": {x['why']}" if x.get("why") else ""))
        for line in x.get("evidence", []):
            print(f"{'':21}{line}")
    return 0


def watch(address: str, path: str) -> int:
    """Shows a live view until the roll-out has ended or Ctrl-C is pressed."""
    try:
        from rich.console import Group
        from rich.live import Live
        from rich.table import Table
        from rich.text import Text
    except ModuleNotFoundError as error:
        how = "python3 -m pip install -r requirements-cli.txt"
        raise RequestFailed(f"watch needs the library rich: {how}") from error
    shown: dict[str, Any] = {}

    def view() -> Group:
        steps = Text()
        r = shown.get("rollout")
        if r:
            new = sum(x["version"] == r["to"] for x in shown["copies"])
            done, total = new, r["wanted"][-1] if r["wanted"] else max(1, new)
            steps = Text(f"[{'#' * done}{'.' * max(0, total - done)}] {done} of {total} copies\n")
        copies_table = build_table(Table, headline(shown), COPY_COLUMNS, copy_rows(shown))
        return Group(copies_table, steps)

    shown = send_request(address, "GET", path)
    try:
        with Live(view(), refresh_per_second=4) as live:
            while shown.get("rollout"):
                time.sleep(REFRESH_S)
                shown = send_request(address, "GET", path)
                live.update(view())
    except KeyboardInterrupt:
        return 0
    entries = fetch_all(address, f"{path}/history")
    if entries:
        print(f"{entries[-1]['what']}: {entries[-1].get('why', '')}")
    return 0
