"""`pulleydeal cron ...`: what operators type. Reads and checks tables here, too, without a node."""

import argparse
import os
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from pulleydeal.operators.client import (
    ADDRESS_VARIABLE,
    DEFAULT_ADDRESS,
    RequestFailed,
    fetch_all,
    print_json,
    print_table,
    run_command,
    send_request,
)
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, mapping, schedule
from pulleydeal.recurring.crontab import Entry, Fault

IMPORT_S = 600.0  # a table of 20,000 lines is some 2,000 changes, paced behind users' writes


class BadTable(Exception):
    """A table or a mapping with faults, each with its place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults)
        self.faults = faults


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="pulleydeal cron", description=__doc__)
    verbs = top.add_subparsers(dest="verb", required=True)
    for word, about in (
        ("check", "reads tables and a mapping; all faults with file, line and column"),
        ("import", "brings a table in force, whole or not at all"),
        ("diff", "what an import would change, line by line"),
    ):
        verb = verbs.add_parser(word, help=about)
        if word != "check":
            verb.add_argument("table", help="the table's name")
        verb.add_argument("files", type=Path, nargs="+", help="a table, or a cron.d folder")
        verb.add_argument("--map", type=Path, required=True, help="how lines become jobs (TOML)")
        if word == "import":
            verb.add_argument("--dry-run", action="store_true", help="each line's job and times")
    for word, about in (
        ("list", "all tables"),
        ("next", "each line's next instant"),
        ("pause", "nothing of it fires"),
        ("resume", "it fires again, from now on"),
        ("remove", "ends the table; its jobs go on"),
        ("export", "the table's text, byte for byte"),
        ("history", "what was done to a table, and what was missed"),
    ):
        verb = verbs.add_parser(word, help=about)
        if word != "list":
            verb.add_argument("table")
    for verb in verbs.choices.values():
        verb.add_argument("--json", action="store_true", help="the answer as it came")
        verb.add_argument("--operators", default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS))
    return top


def main(argv: list[str]) -> int:
    options = parser().parse_args(argv)
    return run_command(lambda: run(options), BadTable)


# --- reading -----------------------------------------------------------------------------------
def text_of(files: list[Path]) -> tuple[bytes, list[tuple[str, int]]]:
    """One text of all files, and at which line each of them begins."""
    pieces: list[bytes] = []
    begins: list[tuple[str, int]] = []
    number = 1
    for path in files:
        try:
            # As cron reads a folder: names without dots, in order.
            names = sorted(path.iterdir()) if path.is_dir() else []
            inside = [p for p in names if "." not in p.name] if path.is_dir() else [path]
            for file in inside:
                raw = file.read_bytes()
                begins.append((str(file), number))
                pieces.append(raw)
                number += raw.count(b"\n")
        except OSError as error:
            raise BadTable([f"{path}: {error.strerror}"]) from error
    return b"".join(pieces), begins


def placed(fault: Fault, begins: list[tuple[str, int]]) -> str:
    name, first = next((x for x in reversed(begins) if x[1] <= fault.line), begins[0])
    return f"{name}:{fault.line - first + 1}:{fault.column}: {fault.text}"


def read(files: list[Path], map_: Path) -> tuple[bytes, str, list[Entry], mapping.Mapping]:
    """Text, mapping and entries; BadTable with all faults, so that nothing is half taken."""
    text, begins = text_of(files)
    try:
        raw = map_.read_text()
        rules = mapping.parse(raw, str(map_))
    except (OSError, UnicodeDecodeError) as error:
        raise BadTable([f"{map_}: {error}"]) from error
    except mapping.MappingError as error:
        raise BadTable([str(error)]) from error
    entries, faults = crontab.read(text, rules.system)
    now = int(time.time())
    for entry in entries:
        faults += mapping.check(rules, entry, now)[1]
    if faults:
        faults.sort(key=lambda f: (f.line, f.column))
        raise BadTable([placed(f, begins) for f in faults])
    return text, raw, entries, rules


# --- commands ----------------------------------------------------------------------------------
def run(options: argparse.Namespace) -> int:
    verb, address = options.verb, options.operators
    if verb in ("check", "import", "diff"):
        text, raw, entries, rules = read(options.files, options.map)
        if verb == "check":
            print(f"{', '.join(map(str, options.files))}: good: {len(entries)} lines that fire")
            return 0
        if verb == "diff":
            return diff(address, options.table, entries)
        if options.dry_run:
            return dry_run(entries, rules)
        return bring_in(options, text, raw)
    if verb == "list":
        found = fetch_all(address, "/v1/cron/tables")
        if options.json:
            return print_json(found)
        names = ["table", "state", "lines", "leader", "version"]
        print_table("cron tables", names, [[str(x[name]) for name in names] for x in found])
        return 0
    path = f"/v1/cron/tables/{options.table}"
    if verb == "export":
        sys.stdout.buffer.write(exported(address, path))
        return 0
    if verb == "history":
        found = fetch_all(address, f"{path}/history")
        if options.json:
            return print_json(found)
        for x in found:
            print(f"{clock(x['at'])}  {x['what']}" + (f": {x['why']}" if x.get("why") else ""))
        return 0
    if verb == "next":
        found = fetch_all(address, f"{path}/lines")
        return print_json(found) if options.json else show_next(options.table, found)
    found = send_request(address, "POST", f"{path}/{verb}")
    print(f"{found['table']}: {found['state']}")
    return 0


def bring_in(options: argparse.Namespace, text: bytes, raw: str) -> int:
    address, table = options.operators, options.table
    for at in range(0, max(1, len(text)), kc.UPLOAD_B):
        piece = text[at : at + kc.UPLOAD_B]
        send_request(address, "POST", f"/v1/cron/uploads/{table}?at={at}", piece)
    path = f"/v1/cron/tables/{table}"
    found = send_request(address, "POST", path, raw.encode(), IMPORT_S)
    if options.json:
        return print_json(found)
    print(
        f"{found['table']}: version {found['version']} is in force: {found['lines']} lines,"
        f" {found['new']} new, {found['gone']} gone"
    )
    return 0


def exported(address: str, path: str) -> bytes:
    table = send_request(address, "GET", path)
    parts = [send_request(address, "GET", f"{path}/text/{k}") for k in range(table["parts"])]
    if any(part["version"] != table["version"] for part in parts):
        raise RequestFailed("the table was changed meanwhile: export it again")
    return "".join(part["text"] for part in parts).encode()


def diff(address: str, table: str, entries: list[Entry]) -> int:
    """By line: what stays keeps its history and never fires again for it."""
    here = {entry.id: entry for entry in entries}
    try:
        there = {x["line"]: x for x in fetch_all(address, f"/v1/cron/tables/{table}/lines")}
    except RequestFailed as error:
        if "no table" not in str(error):
            raise
        there = {}
    for line in [x for x in there if x not in here]:
        print(f"- line {there[line]['number']}: {there[line]['schedule']}")
    for line in [x for x in here if x not in there]:
        print(f"+ line {here[line].number}: {here[line].schedule} {here[line].command}")
    print(f"{len(set(here) & set(there))} lines stay as they are")
    return 0


def dry_run(entries: list[Entry], rules: mapping.Mapping) -> int:
    now = int(time.time())
    for entry in entries:
        job, zone = mapping.job_of(rules, entry), mapping.zone_of(rules, entry)
        print(f"line {entry.number}: {entry.schedule} {entry.command}")
        print(
            f"  {job.kind} of {job.tasks}, class {job.klass}, team {job.team}, {job.priority}"
            f" priority, overlap {job.overlap}, missed {job.missed}"
        )
        at: int | None = now
        times: list[str] = []
        while len(times) < kc.TEN and entry.schedule != "@reboot":
            at = schedule.after(entry.schedule, zone, at) if at is not None else None
            if at is None:
                break
            local = datetime.fromtimestamp(at, UTC).astimezone(schedule.zone(zone))
            times.append(local.strftime("%Y-%m-%d %H:%M%z"))
        print("  " + ("; ".join(times) if times else "once, when it comes in force"))
    return 0


def clock(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at)) if at else ""


def show_next(table: str, found: list[dict[str, Any]]) -> int:
    lines = [
        [
            str(x["number"]),
            x["schedule"],
            x["zone"],
            clock(x["next"] or 0),
            str(x["jobs"]),
            x["last_job"],
            x["note"],
        ]
        for x in found
    ]
    names = ["line", "schedule", "zone", "next (here)", "jobs", "last job", "note"]
    print_table(table, names, lines)
    return 0
