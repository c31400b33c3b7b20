"""Brings a table in force: all of it by one change, or nothing."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pulleydeal.features.routes import Problem
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, mapping, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.crontab import Entry, Fault
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.submissions.service import rejection_reason

if TYPE_CHECKING:
    from pulleydeal.recurring.service import Recurring

SHOWN_FAULTS = 200  # in one answer; the rest are counted


@dataclass(slots=True)
class Upload:
    """A text on its way, in this node's memory; an import takes it from here."""

    at: float
    text: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Plan:
    """What an import would do."""

    version: str
    text: bytes
    raw_mapping: str
    lines: int
    new: list[str]  # ids of lines that are not in force now
    gone: int


def faults_text(faults: list[Fault]) -> str:
    lines = [f"{f.line}:{f.column}: {f.text}" for f in faults[:SHOWN_FAULTS]]
    if len(faults) > SHOWN_FAULTS:
        lines.append(f"and {len(faults) - SHOWN_FAULTS} more")
    return "\n".join(lines)


class Imports:
    def __init__(self, recurring: "Recurring") -> None:
        self._all = recurring
        self._uploads: dict[str, Upload] = {}

    def upload(self, table: str, offset: int, piece: bytes) -> int:
        """Takes the next piece of a text; 0 begins it anew."""
        now = self._all.clock.now()
        for name in [n for n, u in self._uploads.items() if now - u.at > kc.UPLOAD_KEPT_S]:
            del self._uploads[name]
        upload = self._uploads.get(table)
        if offset == 0:
            upload = self._uploads[table] = Upload(now)
        if upload is None or len(upload.text) != offset:
            have = len(upload.text) if upload else 0
            raise Problem(409, "wrong_offset", f"{have} B are here, so the next piece is at {have}")
        if offset + len(piece) > kc.MOST_TABLE_B:
            text = f"a table has {kc.MOST_TABLE_B} B at most"
            raise Problem(413, "too_large", text)
        upload.at = now
        upload.text += piece
        return len(upload.text)

    async def plan(self, name: str, raw_mapping: str) -> Plan:
        """Reads and checks all of it; Problem 422 with all faults if there is one."""
        upload = self._uploads.get(name)
        if upload is None:
            raise Problem(409, "no_upload", f"upload the text of {name} to this node first")
        text = bytes(upload.text)
        try:
            rules = mapping.parse(raw_mapping)
        except mapping.MappingError as error:
            raise Problem(422, "bad_mapping", str(error)) from error
        entries, faults = crontab.read(text, rules.system)
        faults += await self._faults(rules, entries)
        if faults:
            faults.sort(key=lambda f: (f.line, f.column))
            raise Problem(422, "bad_table", faults_text(faults))
        table = self._all.table(name)
        old: set[str] = set()
        if table is not None and not table.removed:
            try:
                before, _ = await tables.lines_of(*tables.text_of(self._all.records, name, table))
                old = {line.id for line in before}
            except (tables.Broken, ValueError):
                old = set()
        ids = [entry.id for entry in entries]
        new = [x for x in ids if x not in old]
        version = st.version_of(text, raw_mapping)
        return Plan(version, text, raw_mapping, len(ids), new, len(old - set(ids)))

    async def _faults(self, rules: mapping.Mapping, entries: list[Entry]) -> list[Fault]:
        node = self._all.node
        if not node.replica.types:
            raise Problem(503, "not_ready", "the machine types are not known yet", 1)
        now = int(self._all.clock.wall())
        faults: list[Fault] = []
        told: dict[object, str] = {}
        for nth, entry in enumerate(entries):
            if nth % kc.SLICE == 0:
                await asyncio.sleep(0)
            job, found = mapping.check(rules, entry, now)
            faults += found
            if job is None:
                continue
            spec = job.spec("j-0")
            key = (spec.team, spec.kind, spec.tasks, spec.cpus, spec.gpus, spec.memory, spec.zone)
            whole = (*key, tuple(spec.types or ()))
            if whole not in told:
                told[whole] = rejection_reason(spec, node.teams, node.replica.types, node.zones)
            if told[whole]:
                faults.append(Fault(entry.number, 1, told[whole]))
        return faults

    async def carry_out(self, name: str, plan: Plan) -> st.Table:
        """Pieces first, then marks of new lines, then the one change that counts."""
        records = self._all.records
        table = self._all.table(name)
        read = {st.table_name(name): records.mark(st.table_name(name))}
        if table is not None and table.version == plan.version and not table.removed:
            return table
        texts = st.pieces(plan.text.decode())
        rules = st.pieces(plan.raw_mapping)
        puts: dict[str, object] = {}
        for kind, pieces in (("p", texts), ("m", rules)):
            for number, piece in enumerate(pieces):
                puts[st.piece_name(kind, name, plan.version, number)] = piece  # type: ignore[arg-type]
        now = int(self._all.clock.wall())
        try:
            await self._in_batches(puts, {})
            await self._mark_new(name, plan, now)
            new = st.Table(
                plan.version, len(texts), len(rules), int(self._all.clock.wall()), plan.lines
            )
            if table is not None:
                new.paused, new.entries = table.paused, table.entries
            what = f"version {plan.version}: {plan.lines} lines, {len(plan.new)} of them new"
            entry = st.Entry(self._all.clock.wall(), what, f"{plan.gone} are gone")
            last = self._all.interface.told(name, new, entry)
            if await records.commit(read, last, priority=WritePriority.NORMAL):
                self._uploads.pop(name, None)
                return new
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            raise Problem(503, "unavailable", "the state service can't be asked", 1) from error
        except TooLarge as error:
            raise Problem(422, "too_large", str(error)) from error
        raise Problem(409, "moved", f"{name} was changed meanwhile: look, and import again")

    async def _mark_new(self, name: str, plan: Plan, now: int) -> None:
        """New lines begin with the table: nothing before it is made up for."""
        by_bucket: dict[int, list[str]] = {}
        for line in plan.new:
            by_bucket.setdefault(st.bucket(line), []).append(line)
        puts: dict[str, object] = {}
        read: dict[str, int] = {}
        for bucket, lines in by_bucket.items():
            key = st.marks_name(name, bucket)
            marks = tables.marks_of(self._all.records, name, bucket)
            for line in lines:
                old = marks.lines.get(line)
                count = old.count if old else 0
                marks.lines[line] = st.Mark(now - 1, count, 0, plan.version)
            puts[key], read[key] = marks, self._all.records.mark(key)
        await self._in_batches(puts, read)

    async def _in_batches(self, puts: dict[str, object], read: dict[str, int]) -> None:
        """Writes that nobody but the importer waits for, as they have their turn."""
        left = list(puts.items())
        while left:
            batch, left = left[: kc.BATCH_CHANGES], left[kc.BATCH_CHANGES :]
            marks = {key: read[key] for key, _ in batch if key in read}
            if not await self._all.records.commit(
                marks, dict(batch), priority=WritePriority.BACKGROUND
            ):
                raise Problem(409, "moved", "its marks moved meanwhile: import again")

    async def sweep(self, name: str, table: st.Table) -> bool:
        """Drops pieces that no version in force needs, a transaction's worth; False: none left."""
        records = self._all.records
        keep = {f"{kind}/{name}/{table.version}/" for kind in ("p", "m")}
        old = [
            key
            for kind in ("p", "m")
            for key in records.names(f"{kind}/{name}/")
            if table.removed or not any(key.startswith(prefix) for prefix in keep)
        ]
        if table.removed:
            old += records.names(f"k/{name}/")
        if not old:
            return False
        read = {st.table_name(name): records.mark(st.table_name(name))}
        return await records.commit(
            read, {}, sorted(old)[: kc.BATCH_CHANGES], priority=WritePriority.BACKGROUND
        )
