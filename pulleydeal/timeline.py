"""Merges the decision logs of all nodes into one task's timeline and finds overlapping attempts.

Usage: `run.py timeline TASK LOG...`. Reads the lines that `pulleydeal/decisions.py` writes, as
text or JSON.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

LINE = re.compile(r"decision (?P<action>\w+) (?P<verdict>\w+) (?P<fields>task=.*?) why=(?P<why>.*)")
# With LOG_FORMAT=json the message ends where its JSON string ends.
JSON_END = re.compile(r'", "|"}$')


class TimelineError(Exception):
    """A log can't be read or has no decision about the task; the text is a one-line message."""


@dataclass(frozen=True, slots=True)
class Entry:
    at: float  # wall clock of the node that wrote it, in seconds
    node: str
    action: str
    allowed: bool
    task: str
    attempt: int
    machine: str
    fields: str
    why: str

    def text(self) -> str:
        verdict = "" if self.allowed else " REFUSED"
        return f"{self.at:.3f} {self.node} {self.action}{verdict} {self.fields} why={self.why}"


@dataclass(frozen=True, slots=True)
class Overlap:
    """Two attempts of a task of which the later started before the earlier ended, by the logs."""

    earlier: Entry
    later: Entry

    def text(self) -> str:
        return (
            f"overlap: attempt {self.later.attempt} on {self.later.machine} was started by "
            f"{self.later.node} at {self.later.at:.3f}, attempt {self.earlier.attempt} on "
            f"{self.earlier.machine} by {self.earlier.node} at {self.earlier.at:.3f}"
        )


def parse(line: str) -> Entry | None:
    """Parses a line of a log; returns None if it holds no decision."""
    found = LINE.search(line)
    if found is None:
        return None
    fields = dict(part.partition("=")[::2] for part in found["fields"].split())
    why = found["why"]
    if line.startswith("{"):
        why = JSON_END.split(why)[0]
    try:
        return Entry(
            float(fields["at"]),
            fields["node"],
            found["action"],
            found["verdict"] == "allowed",
            fields["task"],
            int(fields["attempt"]),
            fields["machine"],
            found["fields"],
            why.strip(),
        )
    except (KeyError, ValueError):
        return None  # truncated, as the last line of a killed node's log may be


def task_history(task: str, lines: Iterable[str]) -> list[Entry]:
    """The decisions about a task and its job, sorted by the wall clocks of the nodes.

    Lines that don't name the job are not parsed, because logs have millions of lines.
    """
    job = task.partition("/")[0]
    found = (parse(line) for line in lines if job in line)
    return sorted(
        (entry for entry in found if entry is not None and entry.task in (task, job)),
        key=lambda entry: entry.at,
    )


def overlaps(entries: list[Entry]) -> list[Overlap]:
    """Finds starts that were allowed while another attempt of the task had not ended.

    An attempt ends when its end is logged. If an attempt was concluded to be absent but is started
    later, that start overlaps with the attempt started in its place.
    """
    running: dict[int, Entry] = {}
    found = []
    for entry in entries:
        if entry.action == "start" and entry.allowed:
            found += [
                Overlap(other, entry)
                for attempt, other in running.items()
                if attempt != entry.attempt
            ]
            running[entry.attempt] = entry
        elif entry.action == "end":
            running.pop(entry.attempt, None)
    return found


def read_lines(paths: list[Path]) -> Iterable[str]:
    """Yields the lines of several logs. Raises TimelineError."""
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise TimelineError(f"{path}: {error.strerror}") from error


def report(task: str, paths: list[Path]) -> tuple[list[str], bool]:
    """Returns the lines to print and whether attempts overlap. Raises TimelineError."""
    entries = task_history(task, read_lines(paths))
    if not entries:
        raise TimelineError(f"no decision about {task} in these logs")
    found = overlaps(entries)
    return [*(entry.text() for entry in entries), *(o.text() for o in found)], bool(found)
