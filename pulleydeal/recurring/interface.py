"""Operator API of cron tables."""

import re
from typing import TYPE_CHECKING, Any

import msgspec

from pulleydeal.features.routes import ApiError, Route, RoutedRequest, paginate
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import decide, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.importer import TableImporter
from pulleydeal.store.client import OutcomeUnknown, Unavailable

if TYPE_CHECKING:
    from pulleydeal.recurring.service import Recurring

TABLE_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,39}$")


class Interface:
    """Handlers of the operator API."""

    def __init__(self, recurring: "Recurring") -> None:
        self._service = recurring
        self.importer = TableImporter(recurring)

    def routes(self) -> list[Route]:
        table_path = "/v1/cron/tables/{table}"
        return [
            Route("POST", "/v1/cron/uploads/{table}", "a piece of a text", self._upload, ("at",)),
            Route("POST", "/v1/cron/check/{table}", "checks an upload by a mapping", self._check),
            Route("POST", table_path, "brings an upload in force by a mapping", self._import),
            Route("GET", "/v1/cron/tables", "all tables", self._list, ("after", "limit")),
            Route("GET", table_path, "a table", self._show),
            Route("GET", f"{table_path}/lines", "its lines", self._lines, ("after", "limit")),
            Route(
                "GET", f"{table_path}/history", "what was done", self._history, ("after", "limit")
            ),
            Route("GET", f"{table_path}/text/{{part}}", "a piece of its text", self._text_part),
            Route(
                "GET",
                f"{table_path}/mapping/{{part}}",
                "a piece of its mapping",
                self._mapping_part,
            ),
            Route("POST", f"{table_path}/pause", "nothing of it fires", self._pause),
            Route("POST", f"{table_path}/resume", "it fires again, from now on", self._resume),
            Route("POST", f"{table_path}/remove", "ends the table; its jobs go on", self._remove),
        ]

    # --- helpers ------------------------------------------------------------------------------
    def with_history_entry(
        self, name: str, table: st.Table, entry: st.HistoryEntry
    ) -> dict[str, object]:
        """Returns the records that a new history entry writes, by name: the table and the entry."""
        number = table.entries + 1
        updated = msgspec.structs.replace(table, entries=number)
        key = st.history_record_name(name, number % kc.MAX_HISTORY_ENTRIES)
        return {st.table_record_name(name): updated, key: entry}

    def _table_name(self, request: RoutedRequest) -> str:
        name = request.params["table"]
        if not TABLE_NAME.match(name):
            text = f"{name!r}: a table's name has small letters, digits, . _ -, 40 at most"
            raise ApiError(400, "bad_name", text)
        return name

    def _existing_table(self, request: RoutedRequest) -> tuple[str, st.Table]:
        name = self._table_name(request)
        if not self._service.replica.loaded:
            raise ApiError(503, "not_ready", "the state is still being read", 1)
        table = self._service.table(name)
        if table is None or table.removed:
            raise ApiError(404, "no_such_table", f"no table {name!r}")
        return name, table

    def _require_ready(self) -> None:
        if not self._service.records.ready:
            text = "not every node has shown that it has recurring jobs on, with this tzdata"
            raise ApiError(503, "not_everywhere", text, 1)

    # --- importing ----------------------------------------------------------------------------
    async def _upload(self, request: RoutedRequest) -> Any:
        at = request.query.get("at", "0")
        if not at.isdecimal():
            raise ApiError(400, "bad_query", "at must be a whole number")
        return {"has": self.importer.upload(self._table_name(request), int(at), request.body)}

    def _mapping_text(self, request: RoutedRequest) -> str:
        try:
            return request.body.decode()
        except UnicodeDecodeError as error:
            raise ApiError(400, "bad_mapping", f"not UTF-8: {error}") from error

    async def _check(self, request: RoutedRequest) -> Any:
        plan = await self.importer.plan(self._table_name(request), self._mapping_text(request))
        return {"lines": plan.line_count, "new": len(plan.new_lines), "gone": plan.removed_count}

    async def _import(self, request: RoutedRequest) -> Any:
        self._require_ready()
        name = self._table_name(request)
        plan = await self.importer.plan(name, self._mapping_text(request))
        table = await self.importer.apply(name, plan)
        return {
            "table": name,
            "version": table.version,
            "lines": plan.line_count,
            "new": len(plan.new_lines),
            "gone": plan.removed_count,
        }

    # --- reading ------------------------------------------------------------------------------
    async def _list(self, request: RoutedRequest) -> Any:
        by_name = {name: self._service.table(name) for name in self._service.table_names()}
        listed = [name for name, table in by_name.items() if table and not table.removed]
        return paginate(request, listed, self._summary)

    def _summary(self, name: str) -> dict[str, Any]:
        table = self._service.table(name)
        assert table is not None
        state = "paused" if table.paused else "in force"
        if name in self._service.load_errors:
            state = f"can't be led: {self._service.load_errors[name]}"
        leader = self._service.records.leader(name)
        found = {"table": name, "state": state, "lines": table.lines, "leader": leader}
        return found | {"version": table.version, "at": table.at}

    async def _show(self, request: RoutedRequest) -> Any:
        name, table = self._existing_table(request)
        sizes = {"parts": table.parts, "mapping_parts": table.mapping_parts}
        return self._summary(name) | sizes

    async def _lines(self, request: RoutedRequest) -> Any:
        name, table = self._existing_table(request)
        try:
            stored = tables.stored_text(self._service.records, name, table)
            lines, _ = await tables.parse_lines(*stored)
        except tables.UnusableTable as error:
            raise ApiError(503, "broken", str(error)) from error
        by_number = {f"{line.number:07d}": line for line in lines}

        def describe(number: str) -> dict[str, Any]:
            line = by_number[number]
            progress = self._service.progress(name, line.id)
            next_instant = decide.next_instant(
                line, progress, table.version, table.at, table.resumed
            )
            return {
                "number": line.number,
                "line": line.id,
                "schedule": line.expression,
                "zone": line.zone,
                "next": next_instant,
                "jobs": progress.job_count if progress else 0,
                "last": progress.last_job_at if progress else 0,
                "last_job": st.job_id(name, line.id, progress.last_job_at)
                if progress and progress.last_job_at
                else "",
                "note": progress.note if progress else "",
            }

        return paginate(request, by_number, describe)

    async def _history(self, request: RoutedRequest) -> Any:
        name, table = self._existing_table(request)
        first = max(1, table.entries - kc.MAX_HISTORY_ENTRIES + 1)
        numbers = {f"{n:08d}": n for n in range(first, table.entries + 1)}

        def describe(number: str) -> dict[str, Any]:
            key = st.history_record_name(name, numbers[number] % kc.MAX_HISTORY_ENTRIES)
            entry = self._service.records.get(key, st.HistoryEntry)
            return {"number": number} | dict(msgspec.to_builtins(entry))

        return paginate(request, numbers, describe)

    async def _text_part(self, request: RoutedRequest) -> Any:
        return self._stored_part(request, "p")

    async def _mapping_part(self, request: RoutedRequest) -> Any:
        return self._stored_part(request, "m")

    def _stored_part(self, request: RoutedRequest, kind: st.ChunkKind) -> Any:
        name, table = self._existing_table(request)
        part = request.params["part"]
        text = None
        if part.isdecimal():
            key = st.chunk_record_name(kind, name, table.version, int(part))
            text = self._service.records.get(key, str)
        if text is None:
            raise ApiError(404, "no_such_part", f"no part {part} of {name}")
        return {"version": table.version, "text": text}

    # --- changing -----------------------------------------------------------------------------
    async def _change(self, request: RoutedRequest, new_state: str, **changes: Any) -> Any:
        self._require_ready()
        name, table = self._existing_table(request)
        updated = msgspec.structs.replace(table, **changes)
        if updated == table:
            return self._summary(name)
        entry = st.HistoryEntry(self._service.clock.wall(), f"{new_state}, asked by an operator")
        conditions = {
            st.table_record_name(name): self._service.records.version(st.table_record_name(name))
        }
        try:
            committed = await self._service.records.commit(
                conditions, self.with_history_entry(name, updated, entry)
            )
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            raise ApiError(503, "unavailable", "the state service can't be asked", 1) from error
        if not committed:
            raise ApiError(409, "moved", f"{name} was changed meanwhile: look, and ask again")
        return {"table": name, "state": new_state}

    async def _pause(self, request: RoutedRequest) -> Any:
        return await self._change(request, "paused", paused=True)

    async def _resume(self, request: RoutedRequest) -> Any:
        _, table = self._existing_table(request)
        if not table.paused:
            return await self._change(request, "resumed")
        now = int(self._service.clock.wall())
        return await self._change(request, "resumed", paused=False, resumed=now)

    async def _remove(self, request: RoutedRequest) -> Any:
        return await self._change(request, "removed", removed=True)
