"""What operators ask of cron tables."""

import re
from typing import TYPE_CHECKING, Any

import msgspec

from pulleydeal.features.routes import Asked, Problem, Route, page
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import decide, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.imports import Imports
from pulleydeal.store.client import OutcomeUnknown, Unavailable

if TYPE_CHECKING:
    from pulleydeal.recurring.service import Recurring

TABLE = re.compile(r"[a-z0-9][a-z0-9._-]{0,39}$")


class Interface:
    def __init__(self, recurring: "Recurring") -> None:
        self._all = recurring
        self.imports = Imports(recurring)

    def routes(self) -> list[Route]:
        one = "/v1/cron/tables/{table}"
        return [
            Route("POST", "/v1/cron/uploads/{table}", "a piece of a text", self._upload, ("at",)),
            Route("POST", "/v1/cron/check/{table}", "checks an upload by a mapping", self._check),
            Route("POST", one, "brings an upload in force by a mapping", self._import),
            Route("GET", "/v1/cron/tables", "all tables", self._list, ("after", "limit")),
            Route("GET", one, "a table", self._show),
            Route("GET", f"{one}/lines", "its lines", self._lines, ("after", "limit")),
            Route("GET", f"{one}/history", "what was done", self._history, ("after", "limit")),
            Route("GET", f"{one}/text/{{part}}", "a piece of its text", self._piece),
            Route("GET", f"{one}/mapping/{{part}}", "a piece of its mapping", self._piece_mapping),
            Route("POST", f"{one}/pause", "nothing of it fires", self._pause),
            Route("POST", f"{one}/resume", "it fires again, from now on", self._resume),
            Route("POST", f"{one}/remove", "ends the table; its jobs go on", self._remove),
        ]

    # --- helpers ------------------------------------------------------------------------------
    def told(self, name: str, table: st.Table, entry: st.Entry) -> dict[str, object]:
        """The table's record with an entry more, and the entry."""
        number = table.entries + 1
        new = msgspec.structs.replace(table, entries=number)
        slot = st.entry_name(name, number % kc.KEPT_ENTRIES)
        return {st.table_name(name): new, slot: entry}

    def _name(self, asked: Asked) -> str:
        name = asked.params["table"]
        if not TABLE.match(name):
            text = f"{name!r}: a table's name has small letters, digits, . _ -, 40 at most"
            raise Problem(400, "bad_name", text)
        return name

    def _known(self, asked: Asked) -> tuple[str, st.Table]:
        name = self._name(asked)
        if not self._all.replica.loaded:
            raise Problem(503, "not_ready", "the state is still being read", 1)
        table = self._all.table(name)
        if table is None or table.removed:
            raise Problem(404, "no_such_table", f"no table {name!r}")
        return name, table

    def _ready(self) -> None:
        if not self._all.records.ready:
            text = "not every node has shown that it has recurring jobs on, with this tzdata"
            raise Problem(503, "not_everywhere", text, 1)

    # --- bringing in --------------------------------------------------------------------------
    async def _upload(self, asked: Asked) -> Any:
        at = asked.query.get("at", "0")
        if not at.isdecimal():
            raise Problem(400, "bad_query", "at must be a whole number")
        return {"has": self.imports.upload(self._name(asked), int(at), asked.body)}

    def _mapping(self, asked: Asked) -> str:
        try:
            return asked.body.decode()
        except UnicodeDecodeError as error:
            raise Problem(400, "bad_mapping", f"not UTF-8: {error}") from error

    async def _check(self, asked: Asked) -> Any:
        plan = await self.imports.plan(self._name(asked), self._mapping(asked))
        return {"lines": plan.lines, "new": len(plan.new), "gone": plan.gone}

    async def _import(self, asked: Asked) -> Any:
        self._ready()
        name = self._name(asked)
        plan = await self.imports.plan(name, self._mapping(asked))
        table = await self.imports.carry_out(name, plan)
        return {
            "table": name,
            "version": table.version,
            "lines": plan.lines,
            "new": len(plan.new),
            "gone": plan.gone,
        }

    # --- showing ------------------------------------------------------------------------------
    async def _list(self, asked: Asked) -> Any:
        found = {name: self._all.table(name) for name in self._all.names()}
        kept = [name for name, table in found.items() if table and not table.removed]
        return page(asked, kept, self._summary)

    def _summary(self, name: str) -> dict[str, Any]:
        table = self._all.table(name)
        assert table is not None
        state = "paused" if table.paused else "in force"
        if name in self._all.broken:
            state = f"can't be led: {self._all.broken[name]}"
        leader = self._all.records.leader(name)
        found = {"table": name, "state": state, "lines": table.lines, "leader": leader}
        return found | {"version": table.version, "at": table.at}

    async def _show(self, asked: Asked) -> Any:
        name, table = self._known(asked)
        more = {"parts": table.parts, "mapping_parts": table.mapping_parts}
        return self._summary(name) | more

    async def _lines(self, asked: Asked) -> Any:
        name, table = self._known(asked)
        try:
            text = tables.text_of(self._all.records, name, table)
            lines, _ = await tables.lines_of(*text)
        except tables.Broken as error:
            raise Problem(503, "broken", str(error)) from error
        by_number = {f"{line.number:07d}": line for line in lines}

        def shown(number: str) -> dict[str, Any]:
            line = by_number[number]
            mark = self._all.mark(name, line.id)
            following = decide.next_instant(line, mark, table.version, table.at, table.resumed)
            return {
                "number": line.number,
                "line": line.id,
                "schedule": line.expression,
                "zone": line.zone,
                "next": following,
                "jobs": mark.count if mark else 0,
                "last": mark.job_at if mark else 0,
                "last_job": st.job_id(name, line.id, mark.job_at) if mark and mark.job_at else "",
                "note": mark.note if mark else "",
            }

        return page(asked, by_number, shown)

    async def _history(self, asked: Asked) -> Any:
        name, table = self._known(asked)
        first = max(1, table.entries - kc.KEPT_ENTRIES + 1)
        numbers = {f"{n:08d}": n for n in range(first, table.entries + 1)}

        def shown(number: str) -> dict[str, Any]:
            slot = st.entry_name(name, numbers[number] % kc.KEPT_ENTRIES)
            entry = self._all.records.get(slot, st.Entry)
            return {"number": number} | dict(msgspec.to_builtins(entry))

        return page(asked, numbers, shown)

    async def _piece(self, asked: Asked) -> Any:
        return self._part(asked, "p")

    async def _piece_mapping(self, asked: Asked) -> Any:
        return self._part(asked, "m")

    def _part(self, asked: Asked, kind: st.Piece) -> Any:
        name, table = self._known(asked)
        raw = asked.params["part"]
        found = None
        if raw.isdecimal():
            key = st.piece_name(kind, name, table.version, int(raw))
            found = self._all.records.get(key, str)
        if found is None:
            raise Problem(404, "no_such_part", f"no part {raw} of {name}")
        return {"version": table.version, "text": found}

    # --- changing -----------------------------------------------------------------------------
    async def _change(self, asked: Asked, what: str, **changes: Any) -> Any:
        self._ready()
        name, table = self._known(asked)
        new = msgspec.structs.replace(table, **changes)
        if new == table:
            return self._summary(name)
        entry = st.Entry(self._all.clock.wall(), f"{what}, asked by an operator")
        read = {st.table_name(name): self._all.records.mark(st.table_name(name))}
        try:
            done = await self._all.records.commit(read, self.told(name, new, entry))
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            raise Problem(503, "unavailable", "the state service can't be asked", 1) from error
        if not done:
            raise Problem(409, "moved", f"{name} was changed meanwhile: look, and ask again")
        return {"table": name, "state": what}

    async def _pause(self, asked: Asked) -> Any:
        return await self._change(asked, "paused", paused=True)

    async def _resume(self, asked: Asked) -> Any:
        _, table = self._known(asked)
        if not table.paused:
            return await self._change(asked, "resumed")
        now = int(self._all.clock.wall())
        return await self._change(asked, "resumed", paused=False, resumed=now)

    async def _remove(self, asked: Asked) -> Any:
        return await self._change(asked, "removed", removed=True)
