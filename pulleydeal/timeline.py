"""Merges the decision logs of all nodes into the life of one task, and finds overlapping attempts.

`run.py timeline TASK LOG...`; the lines are those of `pulleydeal/decisions.py`, as text or JSON.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

LINE = re.compile(r"decision (?P<action>\w+) (?P<verdict>\w+) (?P<fields>task=.*?) why=(?P<why>.*)")
# In an object of LOG_FORMAT=json the message ends where its string ends.
JSON_END = re.compile(r'", "|"}$')


class TimelineError(Exception):
    """A log can't be read; the text is one clear line."""


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
    """The later attempt was started before the earlier one had ended, by the logs."""

    earlier: Entry
    later: Entry

    def text(self) -> str:
        return (
            f"overlap: attempt {self.later.attempt} on {self.later.machine} was started by "
            f"{self.later.node} at {self.later.at:.3f}, attempt {self.earlier.attempt} on "
            f"{self.earlier.machine} by {self.earlier.node} at {self.earlier.at:.3f}"
        )


def parse(line: str) -> Entry | None:
    """The decision that a line of a log holds, if it holds one."""
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
        return None  # cut short, as the last line of a node that was killed may be


def life(task: str, lines: Iterable[str]) -> list[Entry]:
    """The decisions about a task and its job, by the nodes' clocks.

    Lines that don't name the job are not parsed: a log has millions.
    """
    job = task.partition("/")[0]
    found = (parse(line) for line in lines if job in line)
    return sorted(
        (entry for entry in found if entry is not None and entry.task in (task, job)),
        key=lambda entry: entry.at,
    )


def overlaps(entries: list[Entry]) -> list[Overlap]:
    """Starts that were allowed while another machine had an attempt that had not ended.

    An attempt ends with what its machine reported. One that was taken for absent, and is started
    later all the same, overlaps with the attempt that was started in its place.
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


def read(paths: list[Path]) -> Iterable[str]:
    """The lines of several logs. Raises TimelineError."""
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise TimelineError(f"{path}: {error.strerror}") from error


def report(task: str, paths: list[Path]) -> tuple[list[str], bool]:
    """Lines to print, and whether attempts overlap. Raises TimelineError."""
    entries = life(task, read(paths))
    if not entries:
        raise TimelineError(f"no decision about {task} in these logs")
    found = overlaps(entries)
    return [*(entry.text() for entry in entries), *(o.text() for o in found)], bool(found)
