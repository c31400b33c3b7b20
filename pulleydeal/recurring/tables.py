"""A table in force, as its leader holds it: lines, and a heap of who is next."""

import asyncio
import heapq
from dataclasses import dataclass, field

from pulleydeal.features.records import Records
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, decide, mapping, schedule
from pulleydeal.recurring import state as st
from pulleydeal.recurring.decide import Due, Line


class Broken(Exception):
    """A table whose records can't be read; the text says which."""


@dataclass(slots=True)
class Loaded:
    name: str
    version: str
    at: int
    resumed: int
    lines: dict[str, Line]
    queue: list[tuple[int, str]] = field(default_factory=list)  # next instant, line
    planned: dict[str, int] = field(default_factory=dict)  # line -> its place in the queue

    def put(self, line: str, instant: int | None) -> None:
        if instant is None:
            self.planned.pop(line, None)
            return
        self.planned[line] = instant
        heapq.heappush(self.queue, (instant, line))

    def of(self, table: st.Table) -> bool:
        """Whether this is the table as it is in force."""
        return (self.version, self.at, self.resumed) == (table.version, table.at, table.resumed)

    def next(self, line: Line, mark: st.Mark | None) -> int | None:
        return decide.next_instant(line, mark, self.version, self.at, self.resumed)

    def due(self, now: int, most: int) -> list[Due]:
        """Lines whose instant has come; taken off the queue, so put them back."""
        found: list[Due] = []
        while self.queue and self.queue[0][0] <= now and len(found) < most:
            instant, line = heapq.heappop(self.queue)
            if self.planned.get(line) == instant:
                del self.planned[line]
                found.append(Due(self.lines[line], instant))
        return found


def marks_of(records: Records, table: str, bucket: int) -> st.Marks:
    return records.get(st.marks_name(table, bucket), st.Marks) or st.Marks()


def text_of(records: Records, name: str, table: st.Table) -> tuple[bytes, str]:
    """The text and the mapping in force. Raises Broken if a piece is missing."""
    found = []
    for kind, count in (("p", table.parts), ("m", table.mapping_parts)):
        pieces = []
        for number in range(count):
            key = st.piece_name(kind, name, table.version, number)  # type: ignore[arg-type]
            piece = records.get(key, str)
            if piece is None:
                raise Broken(f"table {name}: {key} is missing")
            pieces.append(piece)
        found.append("".join(pieces))
    return found[0].encode(), found[1]


async def lines_of(text: bytes, raw_mapping: str) -> tuple[list[Line], mapping.Mapping]:
    """All lines with their jobs, read in slices so that the node goes on serving."""
    rules = mapping.parse(raw_mapping)
    entries, faults = crontab.read(text, rules.system)
    if faults:
        raise Broken(f"line {faults[0].line}: {faults[0].text}")
    lines = []
    for nth, entry in enumerate(entries):
        if nth % kc.SLICE == 0:
            await asyncio.sleep(0)
        job = mapping.job_of(rules, entry)
        zone = mapping.zone_of(rules, entry)
        lines.append(Line(entry.id, entry.number, entry.schedule, zone, job))
    return lines, rules


async def load(records: Records, name: str, table: st.Table) -> Loaded:
    """Reads a table and works out each line's next instant."""
    text, raw_mapping = text_of(records, name, table)
    lines, _ = await lines_of(text, raw_mapping)
    loaded = Loaded(name, table.version, table.at, table.resumed, {line.id: line for line in lines})
    marks: dict[int, dict[str, st.Mark]] = {}
    for nth, line in enumerate(lines):
        if nth % kc.SLICE == 0:
            await asyncio.sleep(0)
        bucket = st.bucket(line.id)
        if bucket not in marks:
            marks[bucket] = marks_of(records, name, bucket).lines
        mark = marks[bucket].get(line.id)
        try:
            loaded.put(line.id, loaded.next(line, mark))
        except schedule.BadSchedule as error:
            raise Broken(f"table {name}, line {line.number}: {error}") from error
    return loaded
