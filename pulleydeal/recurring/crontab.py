"""Parses crontab(5): entries, variables and comments; reports every fault with line and column.

Input that cron would interpret differently from this parser is rejected, not guessed at. The
original text is what is stored, so that an export returns it byte for byte.
"""

import hashlib
import re
from dataclasses import dataclass, field

from pulleydeal.recurring import constants as kc

MACROS = {
    "@yearly": "0 0 1 1 *",
    "@annually": "0 0 1 1 *",
    "@monthly": "0 0 1 * *",
    "@weekly": "0 0 * * 0",
    "@daily": "0 0 * * *",
    "@midnight": "0 0 * * *",
    "@hourly": "0 * * * *",
    "@reboot": "@reboot",
}
MONTHS = {
    n: i
    for i, n in enumerate(
        ["jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec"], 1
    )
}
DAYS = {n: i for i, n in enumerate(["sun", "mon", "tue", "wed", "thu", "fri", "sat"])}
# Name, minimum, maximum and symbolic values of each schedule field.
FIELDS: list[tuple[str, int, int, dict[str, int]]] = [
    ("minute", 0, 59, {}),
    ("hour", 0, 23, {}),
    ("day of month", 1, 31, {}),
    ("month", 1, 12, MONTHS),
    ("day of week", 0, 7, DAYS),
]
VARIABLE = re.compile(r"""\s*(?:"([^"]*)"|'([^']*)'|([A-Za-z_][A-Za-z0-9_]*))\s*=\s*(.*?)\s*$""")
OVERRIDES = re.compile(r"\s*#\s*pulleydeal:(.*)$")
NUMBER = re.compile(r"[0-9]{1,4}$")


@dataclass(slots=True, frozen=True)
class Fault:
    """An error in a table, with its position."""

    line: int  # from 1
    column: int  # from 1
    text: str


@dataclass(slots=True)
class CrontabEntry:
    """A line with a schedule and a command."""

    number: int  # line number, from 1
    id: str  # stays the same as long as schedule, zone, user, command and stdin do
    schedule: str  # five fields, or @reboot
    zone: str  # from CRON_TZ; empty: the table's time zone
    user: str  # in system tables only, else empty
    command: str
    stdin: str | None
    env: dict[str, str] = field(default_factory=dict)
    overrides: dict[str, str] = field(default_factory=dict)


def parse(raw: bytes, system: bool = False) -> tuple[list[CrontabEntry], list[Fault]]:
    """Returns all entries and all faults; with any fault, none of the entries may be used."""
    parser = _Parser(system)
    if len(raw) > kc.MAX_TABLE_BYTES:
        return [], [Fault(1, 1, f"the table has {len(raw)} B, of {kc.MAX_TABLE_BYTES} B at most")]
    lines = raw.split(b"\n")
    if lines[-1] != b"":
        parser.fault(len(lines), len(lines[-1]) + 1, "the last line does not end: cron ignores it")
    for number, line in enumerate(lines[:-1] if lines[-1] == b"" else lines, 1):
        parser.parse_line(number, line)
    if len(parser.entries) > kc.MAX_TABLE_LINES:
        parser.fault(1, 1, f"{len(parser.entries)} entries, of {kc.MAX_TABLE_LINES} at most")
    return parser.entries, sorted(parser.faults, key=lambda f: (f.line, f.column))


class _Parser:
    def __init__(self, system: bool) -> None:
        self._system = system
        self.entries: list[CrontabEntry] = []
        self.faults: list[Fault] = []
        self._env: dict[str, str] = {}
        self._overrides: dict[str, str] = {}
        self._occurrences: dict[str, int] = {}

    def fault(self, line: int, column: int, text: str) -> None:
        self.faults.append(Fault(line, column, text))

    def parse_line(self, number: int, raw: bytes) -> None:
        try:
            text = raw.decode()
        except UnicodeDecodeError as error:
            self.fault(number, error.start + 1, "not UTF-8")
            return
        if len(raw) > kc.MAX_LINE_BYTES:
            self.fault(number, kc.MAX_LINE_BYTES + 1, f"longer than {kc.MAX_LINE_BYTES} B")
            return
        if "\0" in text or "\r" in text:
            index = min(i for i in (text.find("\0"), text.find("\r")) if i >= 0)
            problem = (
                "a zero byte" if text[index] == "\0" else "a carriage return, part of the command"
            )
            self.fault(number, index + 1, f"{problem} to cron")
            return
        stripped = text.strip(" \t")
        if stripped.startswith("#"):
            self._parse_overrides(number, text)
        elif stripped and not self._parse_variable(number, text):
            self._parse_entry(number, text)

    def _parse_overrides(self, number: int, text: str) -> None:
        match = OVERRIDES.match(text)
        if match is None:
            return
        self._overrides = {}
        for word in match[1].split():
            name, equals, value = word.partition("=")
            if not equals or not name or not value:
                column = text.index(word, match.start(1)) + 1
                self.fault(number, column, f"{word!r}: overrides are name=value")
                continue
            self._overrides[name] = value

    def _parse_variable(self, number: int, text: str) -> bool:
        match = VARIABLE.match(text)
        if match is None:
            return False
        name = next(group for group in match.groups()[:3] if group is not None)
        value = match[4]
        if len(value) >= 2 and value[0] in "\"'" and value[-1] == value[0]:
            value = value[1:-1]
        self._env[name] = value
        return True

    def _parse_entry(self, number: int, text: str) -> None:
        words = [(m.start(), m.group()) for m in re.finditer(r"[^ \t]+", text)]
        if words[0][1].startswith("@"):
            start, word = words[0]
            schedule = MACROS.get(word.lower())
            if schedule is None:
                known = ", ".join(sorted(MACROS))
                self.fault(number, start + 1, f"{word!r} is none of {known}")
                return
            rest = words[1:]
        else:
            if len(words) < 5:
                self.fault(number, len(text) + 1, f"{len(words)} fields, and a schedule has five")
                return
            valid = [
                self._check_field(number, start, w, i) for i, (start, w) in enumerate(words[:5])
            ]
            if not all(valid):
                return
            schedule = " ".join(w for _, w in words[:5])
            rest = words[5:]
        user = ""
        if self._system:
            if not rest:
                self.fault(number, len(text) + 1, "a system table names a user after the schedule")
                return
            user = rest.pop(0)[1]
        if not rest:
            self.fault(number, len(text) + 1, "no command")
            return
        command, stdin = split_percent(text[rest[0][0] :])
        self._add_entry(number, schedule, user, command, stdin)

    def _add_entry(
        self, number: int, schedule: str, user: str, command: str, stdin: str | None
    ) -> None:
        zone = self._env.get("CRON_TZ", "")
        identity = "\0".join((schedule.lower(), zone, user, command, stdin or ""))
        occurrence = self._occurrences[identity] = self._occurrences.get(identity, 0) + 1
        line_id = hashlib.blake2b(f"{identity}\0{occurrence}".encode(), digest_size=8).hexdigest()
        overrides, self._overrides = self._overrides, {}
        self.entries.append(
            CrontabEntry(
                number, line_id, schedule, zone, user, command, stdin, dict(self._env), overrides
            )
        )

    def _check_field(self, number: int, start: int, text: str, index: int) -> bool:
        name, low, high, names = FIELDS[index]
        column = start + 1
        for item in text.split(","):
            problem = _item_fault(item, low, high, names)
            if problem:
                self.fault(number, column, f"{name}: {problem}")
                return False
            column += len(item) + 1
        return True


def _item_fault(item: str, low: int, high: int, names: dict[str, int]) -> str:
    """Returns why an item of a field's list is invalid; empty if it is valid."""
    if not item:
        return "an empty item"
    if "~" in item:
        return "random ranges (~) would fire at other instants on another node"
    span, slash, step = item.partition("/")
    if slash:
        if not NUMBER.match(step) or int(step) == 0:
            return f"the step {step!r} is no number above 0"
        if span != "*" and "-" not in span:
            return f"a step needs a range or *, and {span!r} is neither"
    if span == "*":
        return ""
    first, dash, last = span.partition("-")
    values = []
    for word in [first, last] if dash else [first]:
        value = names.get(word.lower())
        if value is None:
            if not NUMBER.match(word):
                return f"{word!r} is no number" + (" or name" if names else "")
            value = int(word)
        if not low <= value <= high:
            return f"{word} is not from {low} to {high}"
        values.append(value)
    if dash and values[0] > values[1]:
        return f"the range {span} goes backwards"
    return ""


def split_percent(text: str) -> tuple[str, str | None]:
    r"""Splits off the standard input as cron(8) does: % ends a line, \% is a percent sign."""
    pieces = re.split(r"(?<!\\)%", text)
    clean = [piece.replace("\\%", "%") for piece in pieces]
    if len(clean) == 1:
        return clean[0], None
    return clean[0], "\n".join(clean[1:]) + "\n"
