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
from pulleydeal.recurring.crontab import CrontabEntry, Fault

# A table of 20,000 lines takes about 2,000 changes, which are written behind users' submissions.
IMPORT_TIMEOUT_S = 600.0


class BadTable(Exception):
    """A table or mapping with faults; each text names file, line and column where known."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults)
        self.faults = faults


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="pulleydeal cron", description=__doc__)
    commands = top.add_subparsers(dest="verb", required=True)
    for name, about in (
        ("check", "reads tables and a mapping; all faults with file, line and column"),
        ("import", "brings a table in force, whole or not at all"),
        ("diff", "what an import would change, line by line"),
    ):
        command = commands.add_parser(name, help=about)
        if name != "check":
            command.add_argument("table", help="the table's name")
        command.add_argument("files", type=Path, nargs="+", help="a table, or a cron.d folder")
        command.add_argument("--map", type=Path, required=True, help="how lines become jobs (TOML)")
        if name == "import":
            command.add_argument("--dry-run", action="store_true", help="each line's job and times")
    for name, about in (
        ("list", "all tables"),
        ("next", "each line's next instant"),
        ("pause", "nothing of it fires"),
        ("resume", "it fires again, from now on"),
        ("remove", "ends the table; its jobs go on"),
        ("export", "the table's text, byte for byte"),
        ("history", "what was done to a table, and what was missed"),
    ):
        command = commands.add_parser(name, help=about)
        if name != "list":
            command.add_argument("table")
    for command in commands.choices.values():
        command.add_argument("--json", action="store_true", help="the answer as it came")
        command.add_argument(
            "--operators", default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
        )
    return top


def main(argv: list[str]) -> int:
    options = parser().parse_args(argv)
    return run_command(lambda: run(options), BadTable)


# --- reading -----------------------------------------------------------------------------------
def read_files(files: list[Path]) -> tuple[bytes, list[tuple[str, int]]]:
    """Returns the concatenated files, and the line at which each of them starts."""
    contents: list[bytes] = []
    file_starts: list[tuple[str, int]] = []
    number = 1
    for path in files:
        try:
            # As in cron, files in a folder are read in order, and names with dots are ignored.
            names = sorted(path.iterdir()) if path.is_dir() else []
            table_files = [p for p in names if "." not in p.name] if path.is_dir() else [path]
            for file in table_files:
                raw = file.read_bytes()
                file_starts.append((str(file), number))
                contents.append(raw)
                number += raw.count(b"\n")
        except OSError as error:
            raise BadTable([f"{path}: {error.strerror}"]) from error
    return b"".join(contents), file_starts


def format_fault(fault: Fault, file_starts: list[tuple[str, int]]) -> str:
    file_name, first_line = next(
        (x for x in reversed(file_starts) if x[1] <= fault.line), file_starts[0]
    )
    return f"{file_name}:{fault.line - first_line + 1}:{fault.column}: {fault.text}"


def read_table(
    files: list[Path], mapping_path: Path
) -> tuple[bytes, str, list[CrontabEntry], mapping.Mapping]:
    """Returns text, mapping and entries; raises BadTable with all faults if there is any."""
    text, file_starts = read_files(files)
    try:
        mapping_text = mapping_path.read_text()
        rules = mapping.parse(mapping_text, str(mapping_path))
    except (OSError, UnicodeDecodeError) as error:
        raise BadTable([f"{mapping_path}: {error}"]) from error
    except mapping.MappingError as error:
        raise BadTable([str(error)]) from error
    entries, faults = crontab.parse(text, rules.system)
    now = int(time.time())
    for entry in entries:
        faults += mapping.check(rules, entry, now)[1]
    if faults:
        faults.sort(key=lambda f: (f.line, f.column))
        raise BadTable([format_fault(f, file_starts) for f in faults])
    return text, mapping_text, entries, rules


# --- commands ----------------------------------------------------------------------------------
def run(options: argparse.Namespace) -> int:
    verb, address = options.verb, options.operators
    if verb in ("check", "import", "diff"):
        text, mapping_text, entries, rules = read_table(options.files, options.map)
        if verb == "check":
            print(f"{', '.join(map(str, options.files))}: good: {len(entries)} lines that fire")
            return 0
        if verb == "diff":
            return diff(address, options.table, entries)
        if options.dry_run:
            return dry_run(entries, rules)
        return import_table(options, text, mapping_text)
    if verb == "list":
        found = fetch_all(address, "/v1/cron/tables")
        if options.json:
            return print_json(found)
        names = ["table", "state", "lines", "leader", "version"]
        print_table("cron tables", names, [[str(x[name]) for name in names] for x in found])
        return 0
    path = f"/v1/cron/tables/{options.table}"
    if verb == "export":
        sys.stdout.buffer.write(export_text(address, path))
        return 0
    if verb == "history":
        found = fetch_all(address, f"{path}/history")
        if options.json:
            return print_json(found)
        for x in found:
            print(
                f"{format_time(x['at'])}  {x['what']}" + (f": {x['why']}" if x.get("why") else "")
            )
        return 0
    if verb == "next":
        found = fetch_all(address, f"{path}/lines")
        return print_json(found) if options.json else show_next(options.table, found)
    found = send_request(address, "POST", f"{path}/{verb}")
    print(f"{found['table']}: {found['state']}")
    return 0


def import_table(options: argparse.Namespace, text: bytes, mapping_text: str) -> int:
    address, table = options.operators, options.table
    for at in range(0, max(1, len(text)), kc.UPLOAD_PIECE_BYTES):
        piece = text[at : at + kc.UPLOAD_PIECE_BYTES]
        send_request(address, "POST", f"/v1/cron/uploads/{table}?at={at}", piece)
    path = f"/v1/cron/tables/{table}"
    found = send_request(address, "POST", path, mapping_text.encode(), IMPORT_TIMEOUT_S)
    if options.json:
        return print_json(found)
    print(
        f"{found['table']}: version {found['version']} is in force: {found['lines']} lines,"
        f" {found['new']} new, {found['gone']} gone"
    )
    return 0


def export_text(address: str, path: str) -> bytes:
    table = send_request(address, "GET", path)
    parts = [send_request(address, "GET", f"{path}/text/{k}") for k in range(table["parts"])]
    if any(part["version"] != table["version"] for part in parts):
        raise RequestFailed("the table was changed meanwhile: export it again")
    return "".join(part["text"] for part in parts).encode()


def diff(address: str, table: str, entries: list[CrontabEntry]) -> int:
    """Prints added and removed lines; an import keeps the progress of unchanged ones."""
    local = {entry.id: entry for entry in entries}
    try:
        stored = {row["line"]: row for row in fetch_all(address, f"/v1/cron/tables/{table}/lines")}
    except RequestFailed as error:
        if "no table" not in str(error):
            raise
        stored = {}
    for line in [line_id for line_id in stored if line_id not in local]:
        print(f"- line {stored[line]['number']}: {stored[line]['schedule']}")
    for line in [line_id for line_id in local if line_id not in stored]:
        print(f"+ line {local[line].number}: {local[line].schedule} {local[line].command}")
    print(f"{len(set(local) & set(stored))} lines stay as they are")
    return 0


def dry_run(entries: list[CrontabEntry], rules: mapping.Mapping) -> int:
    now = int(time.time())
    for entry in entries:
        job, zone = mapping.job_of(rules, entry), mapping.zone_of(rules, entry)
        print(f"line {entry.number}: {entry.schedule} {entry.command}")
        print(
            f"  {job.kind} of {job.tasks}, class {job.job_class}, team {job.team}, {job.priority}"
            f" priority, overlap {job.overlap}, missed {job.missed}"
        )
        at: int | None = now
        times: list[str] = []
        while len(times) < kc.DRY_RUN_FIRINGS and entry.schedule != "@reboot":
            at = schedule.next_after(entry.schedule, zone, at) if at is not None else None
            if at is None:
                break
            local = datetime.fromtimestamp(at, UTC).astimezone(schedule.zone(zone))
            times.append(local.strftime("%Y-%m-%d %H:%M%z"))
        print("  " + ("; ".join(times) if times else "once, when it comes in force"))
    return 0


def format_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at)) if at else ""


def show_next(table: str, found: list[dict[str, Any]]) -> int:
    table_rows = [
        [
            str(x["number"]),
            x["schedule"],
            x["zone"],
            format_time(x["next"] or 0),
            str(x["jobs"]),
            x["last_job"],
            x["note"],
        ]
        for x in found
    ]
    names = ["line", "schedule", "zone", "next (here)", "jobs", "last job", "note"]
    print_table(table, names, table_rows)
    return 0
