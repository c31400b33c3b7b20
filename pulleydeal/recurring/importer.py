"""Imports tables; a single write puts the new version in force as a whole."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pulleydeal.features.routes import ApiError
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, mapping, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.crontab import CrontabEntry, Fault
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.submissions.service import rejection_reason

if TYPE_CHECKING:
    from pulleydeal.recurring.service import Recurring

MAX_SHOWN_FAULTS = 200  # per answer; the rest are only counted


@dataclass(slots=True)
class Upload:
    """A table's text that is being uploaded, held in this node's memory until it is imported."""

    updated_at: float
    text: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class ImportPlan:
    """The checked text and mapping of an import, and what the import would change."""

    version: str
    text: bytes
    mapping_text: str
    line_count: int  # number of lines
    new_lines: list[str]  # ids of lines that are not in force now
    removed_count: int  # number of lines in force now that the import removes


def format_faults(faults: list[Fault]) -> str:
    lines = [f"{f.line}:{f.column}: {f.text}" for f in faults[:MAX_SHOWN_FAULTS]]
    if len(faults) > MAX_SHOWN_FAULTS:
        lines.append(f"and {len(faults) - MAX_SHOWN_FAULTS} more")
    return "\n".join(lines)


class TableImporter:
    """Receives uploads, checks them and imports them as tables."""

    def __init__(self, recurring: "Recurring") -> None:
        self._service = recurring
        self._uploads: dict[str, Upload] = {}

    def upload(self, table: str, offset: int, piece: bytes) -> int:
        """Appends a piece of a table's text; `offset` 0 starts again. Returns the size so far."""
        now = self._service.clock.now()
        for name in [
            n for n, u in self._uploads.items() if now - u.updated_at > kc.UPLOAD_RETENTION_S
        ]:
            del self._uploads[name]
        upload = self._uploads.get(table)
        if offset == 0:
            upload = self._uploads[table] = Upload(now)
        if upload is None or len(upload.text) != offset:
            received = len(upload.text) if upload else 0
            raise ApiError(
                409, "wrong_offset", f"{received} B are here, so the next piece is at {received}"
            )
        if offset + len(piece) > kc.MAX_TABLE_BYTES:
            text = f"a table has {kc.MAX_TABLE_BYTES} B at most"
            raise ApiError(413, "too_large", text)
        upload.updated_at = now
        upload.text += piece
        return len(upload.text)

    async def plan(self, name: str, mapping_text: str) -> ImportPlan:
        """Parses and checks the uploaded text; raises ApiError 422 with all faults, if any."""
        upload = self._uploads.get(name)
        if upload is None:
            raise ApiError(409, "no_upload", f"upload the text of {name} to this node first")
        text = bytes(upload.text)
        try:
            rules = mapping.parse(mapping_text)
        except mapping.MappingError as error:
            raise ApiError(422, "bad_mapping", str(error)) from error
        entries, faults = crontab.parse(text, rules.system)
        faults += await self._faults(rules, entries)
        if faults:
            faults.sort(key=lambda f: (f.line, f.column))
            raise ApiError(422, "bad_table", format_faults(faults))
        table = self._service.table(name)
        current_ids: set[str] = set()
        if table is not None and not table.removed:
            try:
                current_lines, _ = await tables.parse_lines(
                    *tables.stored_text(self._service.records, name, table)
                )
                current_ids = {line.id for line in current_lines}
            except (tables.UnusableTable, ValueError):
                current_ids = set()
        ids = [entry.id for entry in entries]
        new = [line_id for line_id in ids if line_id not in current_ids]
        version = st.version_of(text, mapping_text)
        return ImportPlan(version, text, mapping_text, len(ids), new, len(current_ids - set(ids)))

    async def _faults(self, rules: mapping.Mapping, entries: list[CrontabEntry]) -> list[Fault]:
        node = self._service.node
        if not node.replica.types:
            raise ApiError(503, "not_ready", "the machine types are not known yet", 1)
        now = int(self._service.clock.wall())
        faults: list[Fault] = []
        refusals: dict[object, str] = {}
        for index, entry in enumerate(entries):
            if index % kc.LINES_PER_SLICE == 0:
                await asyncio.sleep(0)
            job, line_faults = mapping.check(rules, entry, now)
            faults += line_faults
            if job is None:
                continue
            spec = job.spec("j-0")
            key = (spec.team, spec.kind, spec.tasks, spec.cpus, spec.gpus, spec.memory, spec.zone)
            full_key = (*key, tuple(spec.types or ()))
            if full_key not in refusals:
                refusals[full_key] = rejection_reason(
                    spec, node.teams, node.replica.types, node.zones
                )
            if refusals[full_key]:
                faults.append(Fault(entry.number, 1, refusals[full_key]))
        return faults

    async def apply(self, name: str, plan: ImportPlan) -> st.Table:
        """Writes chunks, then progress of new lines, then the table record that takes effect."""
        records = self._service.records
        table = self._service.table(name)
        read = {st.table_record_name(name): records.version(st.table_record_name(name))}
        if table is not None and table.version == plan.version and not table.removed:
            return table
        text_chunks = st.split_chunks(plan.text.decode())
        mapping_chunks = st.split_chunks(plan.mapping_text)
        puts: dict[str, object] = {}
        for kind, chunks in (("p", text_chunks), ("m", mapping_chunks)):
            for number, chunk in enumerate(chunks):
                puts[st.chunk_record_name(kind, name, plan.version, number)] = chunk  # type: ignore[arg-type]
        now = int(self._service.clock.wall())
        try:
            await self._commit_in_batches(puts, {})
            await self._init_progress(name, plan, now)
            new = st.Table(
                plan.version,
                len(text_chunks),
                len(mapping_chunks),
                int(self._service.clock.wall()),
                plan.line_count,
            )
            if table is not None:
                new.paused, new.entries = table.paused, table.entries
            summary = (
                f"version {plan.version}: {plan.line_count} lines,"
                f" {len(plan.new_lines)} of them new"
            )
            entry = st.HistoryEntry(
                self._service.clock.wall(), summary, f"{plan.removed_count} are gone"
            )
            final_puts = self._service.interface.with_history_entry(name, new, entry)
            if await records.commit(read, final_puts, priority=WritePriority.NORMAL):
                self._uploads.pop(name, None)
                return new
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            raise ApiError(503, "unavailable", "the state service can't be asked", 1) from error
        except TooLarge as error:
            raise ApiError(422, "too_large", str(error)) from error
        raise ApiError(409, "moved", f"{name} was changed meanwhile: look, and import again")

    async def _init_progress(self, name: str, plan: ImportPlan, now: int) -> None:
        """Settles all instants before the import for new lines, so that none of them fires."""
        by_bucket: dict[int, list[str]] = {}
        for line in plan.new_lines:
            by_bucket.setdefault(st.bucket_of(line), []).append(line)
        puts: dict[str, object] = {}
        read: dict[str, int] = {}
        for bucket, lines in by_bucket.items():
            key = st.bucket_record_name(name, bucket)
            progress = tables.progress_bucket(self._service.records, name, bucket)
            for line in lines:
                previous = progress.lines.get(line)
                job_count = previous.job_count if previous else 0
                progress.lines[line] = st.LineProgress(now - 1, job_count, 0, plan.version)
            puts[key], read[key] = progress, self._service.records.version(key)
        await self._commit_in_batches(puts, read)

    async def _commit_in_batches(self, puts: dict[str, object], read: dict[str, int]) -> None:
        """Commits records in batches at low priority, as only the import waits for them."""
        remaining = list(puts.items())
        while remaining:
            batch, remaining = remaining[: kc.BATCH_CHANGES], remaining[kc.BATCH_CHANGES :]
            conditions = {key: read[key] for key, _ in batch if key in read}
            if not await self._service.records.commit(
                conditions, dict(batch), priority=WritePriority.BACKGROUND
            ):
                raise ApiError(409, "moved", "its marks moved meanwhile: import again")

    async def sweep(self, name: str, table: st.Table) -> bool:
        """Deletes up to BATCH_CHANGES records not in force; False if none was deleted."""
        records = self._service.records
        kept_prefixes = {f"{kind}/{name}/{table.version}/" for kind in ("p", "m")}
        obsolete = [
            key
            for kind in ("p", "m")
            for key in records.names(f"{kind}/{name}/")
            if table.removed or not any(key.startswith(prefix) for prefix in kept_prefixes)
        ]
        if table.removed:
            obsolete += records.names(f"k/{name}/")
        if not obsolete:
            return False
        read = {st.table_record_name(name): records.version(st.table_record_name(name))}
        return await records.commit(
            read, {}, sorted(obsolete)[: kc.BATCH_CHANGES], priority=WritePriority.BACKGROUND
        )
