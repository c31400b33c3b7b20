"""A table as its leader holds it in memory: lines, and a heap of their next instants."""

import asyncio
import heapq
from dataclasses import dataclass, field

from pulleydeal.features.records import Records
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, decide, mapping, schedule
from pulleydeal.recurring import state as st
from pulleydeal.recurring.decide import DueLine, Line


class UnusableTable(Exception):
    """A stored table that can't be used; the message names the record or the line."""


@dataclass(slots=True)
class LoadedTable:
    """A table in memory with the queue of its lines' next instants."""

    name: str
    version: str
    at: int  # as in the table record
    resumed: int  # as in the table record
    lines: dict[str, Line]
    queue: list[tuple[int, str]] = field(default_factory=list)  # next instant, line
    # Line -> its valid instant in `queue`; any other item of the line there is stale.
    queued_instants: dict[str, int] = field(default_factory=dict)

    def enqueue(self, line: str, instant: int | None) -> None:
        if instant is None:
            self.queued_instants.pop(line, None)
            return
        self.queued_instants[line] = instant
        heapq.heappush(self.queue, (instant, line))

    def matches(self, table: st.Table) -> bool:
        """Whether this was loaded from this version and state of the table."""
        return (self.version, self.at, self.resumed) == (table.version, table.at, table.resumed)

    def next_instant(self, line: Line, progress: st.LineProgress | None) -> int | None:
        return decide.next_instant(line, progress, self.version, self.at, self.resumed)

    def pop_due(self, now: int, limit: int) -> list[DueLine]:
        """Removes lines that are due from the queue; the caller enqueues them again."""
        due: list[DueLine] = []
        while self.queue and self.queue[0][0] <= now and len(due) < limit:
            instant, line = heapq.heappop(self.queue)
            if self.queued_instants.get(line) == instant:
                del self.queued_instants[line]
                due.append(DueLine(self.lines[line], instant))
        return due


def progress_bucket(records: Records, table: str, bucket: int) -> st.ProgressBucket:
    return (
        records.get(st.bucket_record_name(table, bucket), st.ProgressBucket) or st.ProgressBucket()
    )


def stored_text(records: Records, name: str, table: st.Table) -> tuple[bytes, str]:
    """Returns text and mapping in force. Raises UnusableTable if a chunk is missing."""
    texts = []
    for kind, count in (("p", table.parts), ("m", table.mapping_parts)):
        chunks = []
        for number in range(count):
            key = st.chunk_record_name(kind, name, table.version, number)  # type: ignore[arg-type]
            chunk = records.get(key, str)
            if chunk is None:
                raise UnusableTable(f"table {name}: {key} is missing")
            chunks.append(chunk)
        texts.append("".join(chunks))
    return texts[0].encode(), texts[1]


async def parse_lines(text: bytes, mapping_text: str) -> tuple[list[Line], mapping.Mapping]:
    """Parses all lines and their jobs; the jobs in slices, to keep the event loop responsive."""
    rules = mapping.parse(mapping_text)
    entries, faults = crontab.parse(text, rules.system)
    if faults:
        raise UnusableTable(f"line {faults[0].line}: {faults[0].text}")
    lines = []
    for index, entry in enumerate(entries):
        if index % kc.LINES_PER_SLICE == 0:
            await asyncio.sleep(0)
        job = mapping.job_of(rules, entry)
        zone = mapping.zone_of(rules, entry)
        lines.append(Line(entry.id, entry.number, entry.schedule, zone, job))
    return lines, rules


async def load(records: Records, name: str, table: st.Table) -> LoadedTable:
    """Reads a table and computes the next instant of each line."""
    text, mapping_text = stored_text(records, name, table)
    lines, _ = await parse_lines(text, mapping_text)
    loaded = LoadedTable(
        name, table.version, table.at, table.resumed, {line.id: line for line in lines}
    )
    buckets: dict[int, dict[str, st.LineProgress]] = {}
    for index, line in enumerate(lines):
        if index % kc.LINES_PER_SLICE == 0:
            await asyncio.sleep(0)
        bucket = st.bucket_of(line.id)
        if bucket not in buckets:
            buckets[bucket] = progress_bucket(records, name, bucket).lines
        progress = buckets[bucket].get(line.id)
        try:
            loaded.enqueue(line.id, loaded.next_instant(line, progress))
        except schedule.BadSchedule as error:
            raise UnusableTable(f"table {name}, line {line.number}: {error}") from error
    return loaded
