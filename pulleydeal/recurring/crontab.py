"""Reads crontab(5) as it is: entries, variables, comments; every fault with line and column.

What cron would read in another way than is done here is refused, not guessed. Nothing is lost:
the text itself is what is kept, and given back byte for byte.
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
    line: int  # from 1
    column: int  # from 1
    text: str


@dataclass(slots=True)
class Entry:
    """One line that fires."""

    number: int  # its line, from 1
    id: str  # the same as long as schedule, zone, user and command are
    schedule: str  # five fields, or @reboot
    zone: str  # CRON_TZ in force, or empty: the table's
    user: str  # of a system table, or empty
    command: str
    stdin: str | None
    env: dict[str, str] = field(default_factory=dict)
    overrides: dict[str, str] = field(default_factory=dict)


def read(raw: bytes, system: bool = False) -> tuple[list[Entry], list[Fault]]:
    """All entries, or all faults: where there is one, nothing may be taken."""
    reader = _Reader(system)
    if len(raw) > kc.MOST_TABLE_B:
        return [], [Fault(1, 1, f"the table has {len(raw)} B, of {kc.MOST_TABLE_B} B at most")]
    lines = raw.split(b"\n")
    if lines[-1] != b"":
        reader.fault(len(lines), len(lines[-1]) + 1, "the last line does not end: cron ignores it")
    for number, line in enumerate(lines[:-1] if lines[-1] == b"" else lines, 1):
        reader.take(number, line)
    if len(reader.entries) > kc.MOST_LINES:
        reader.fault(1, 1, f"{len(reader.entries)} entries, of {kc.MOST_LINES} at most")
    return reader.entries, sorted(reader.faults, key=lambda f: (f.line, f.column))


class _Reader:
    def __init__(self, system: bool) -> None:
        self._system = system
        self.entries: list[Entry] = []
        self.faults: list[Fault] = []
        self._env: dict[str, str] = {}
        self._overrides: dict[str, str] = {}
        self._seen: dict[str, int] = {}

    def fault(self, line: int, column: int, text: str) -> None:
        self.faults.append(Fault(line, column, text))

    def take(self, number: int, raw: bytes) -> None:
        try:
            text = raw.decode()
        except UnicodeDecodeError as error:
            self.fault(number, error.start + 1, "not UTF-8")
            return
        if len(raw) > kc.MOST_LINE_B:
            self.fault(number, kc.MOST_LINE_B + 1, f"longer than {kc.MOST_LINE_B} B")
            return
        if "\0" in text or "\r" in text:
            at = min(i for i in (text.find("\0"), text.find("\r")) if i >= 0)
            what = "a zero byte" if text[at] == "\0" else "a carriage return, part of the command"
            self.fault(number, at + 1, f"{what} to cron")
            return
        stripped = text.strip(" \t")
        if stripped.startswith("#"):
            self._comment(number, text)
        elif stripped and not self._variable(number, text):
            self._entry(number, text)

    def _comment(self, number: int, text: str) -> None:
        found = OVERRIDES.match(text)
        if found is None:
            return
        self._overrides = {}
        for word in found[1].split():
            name, equals, value = word.partition("=")
            if not equals or not name or not value:
                column = text.index(word, found.start(1)) + 1
                self.fault(number, column, f"{word!r}: overrides are name=value")
                continue
            self._overrides[name] = value

    def _variable(self, number: int, text: str) -> bool:
        found = VARIABLE.match(text)
        if found is None:
            return False
        name = next(x for x in found.groups()[:3] if x is not None)
        value = found[4]
        if len(value) >= 2 and value[0] in "\"'" and value[-1] == value[0]:
            value = value[1:-1]
        self._env[name] = value
        return True

    def _entry(self, number: int, text: str) -> None:
        words = [(m.start(), m.group()) for m in re.finditer(r"[^ \t]+", text)]
        if words[0][1].startswith("@"):
            at, word = words[0]
            schedule = MACROS.get(word.lower())
            if schedule is None:
                known = ", ".join(sorted(MACROS))
                self.fault(number, at + 1, f"{word!r} is none of {known}")
                return
            rest = words[1:]
        else:
            if len(words) < 5:
                self.fault(number, len(text) + 1, f"{len(words)} fields, and a schedule has five")
                return
            good = [self._field(number, at, w, i) for i, (at, w) in enumerate(words[:5])]
            if not all(good):
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
        self._add(number, schedule, user, command, stdin)

    def _add(self, number: int, schedule: str, user: str, command: str, stdin: str | None) -> None:
        zone = self._env.get("CRON_TZ", "")
        what = "\0".join((schedule.lower(), zone, user, command, stdin or ""))
        nth = self._seen[what] = self._seen.get(what, 0) + 1
        line_id = hashlib.blake2b(f"{what}\0{nth}".encode(), digest_size=8).hexdigest()
        overrides, self._overrides = self._overrides, {}
        self.entries.append(
            Entry(number, line_id, schedule, zone, user, command, stdin, dict(self._env), overrides)
        )

    def _field(self, number: int, at: int, text: str, index: int) -> bool:
        name, low, high, names = FIELDS[index]
        column = at + 1
        for part in text.split(","):
            why = _part(part, low, high, names)
            if why:
                self.fault(number, column, f"{name}: {why}")
                return False
            column += len(part) + 1
        return True


def _part(part: str, low: int, high: int, names: dict[str, int]) -> str:
    """What is wrong with one item of a list, or nothing."""
    if not part:
        return "an empty item"
    if "~" in part:
        return "random ranges (~) would fire at other instants on another node"
    span, slash, step = part.partition("/")
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
    r"""Command and standard input, as cron(8) has it: % ends a line, \% is a percent sign."""
    pieces = re.split(r"(?<!\\)%", text)
    clean = [piece.replace("\\%", "%") for piece in pieces]
    if len(clean) == 1:
        return clean[0], None
    return clean[0], "\n".join(clean[1:]) + "\n"
