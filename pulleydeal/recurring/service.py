"""Leads tables: fires what is due, paced behind users' writes, each instant once."""

import asyncio
import contextlib
import logging

from prometheus_client import Histogram

from pulleydeal.features.context import Handler, Service, Step
from pulleydeal.features.records import Records
from pulleydeal.features.routes import Route
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import decide, schedule, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.decide import Due, Line, Outcome, SteadyWall
from pulleydeal.recurring.tables import Loaded
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.submissions.service import rejection_reason

log = logging.getLogger("pulleydeal.recurring")
FIELD = {"feature": "recurring"}


def shown_format() -> int:
    """The format with tzdata's version: no node fires by other rules than those that every node
    has, as each waits until all show at least its own."""
    year, _, release = schedule.tzdata_version().partition(".")
    return kc.FORMAT * 10**7 + int(year) * 100 + int(release.split(".")[0] or 0)


class Recurring:
    def __init__(self, node: Service) -> None:
        from pulleydeal.recurring.interface import Interface

        self.node = node
        self.clock = node.clock
        self.replica = node.replica
        self.records = Records("recurring", shown_format(), node.membership, node.store)
        self.loaded: dict[str, Loaded] = {}
        self.broken: dict[str, str] = {}  # table -> why it can't be led
        self.fired = 0
        self._lateness = Histogram(
            "pulleydeal_recurring_lateness_seconds",
            "From a line's instant to its job's acceptance",
            buckets=kc.LATENESS_S,
            registry=node.metrics.registry,
        )
        self._sweep_at: dict[str, float] = {}
        self._wall = SteadyWall()
        self.interface = Interface(self)

    def loops(self) -> dict[str, Step]:
        return {"recurring": self.tick}

    def routes(self) -> list[Route]:
        return self.interface.routes()

    def paths(self) -> dict[str, Handler]:
        return {}

    async def start(self) -> None:
        if self.node.store.limits.ops <= kc.BATCH_CHANGES:
            raise OSError(
                f"recurring jobs need transactions of {kc.BATCH_CHANGES + 1} changes, and the state"
                f" service takes {self.node.store.limits.ops}: switch them off"
            )

    def names(self) -> list[str]:
        return [name.removeprefix("t/") for name in self.records.names("t/")]

    def table(self, name: str) -> st.Table | None:
        return self.records.get(st.table_name(name), st.Table)

    def mark(self, name: str, line: str) -> st.Mark | None:
        return tables.marks_of(self.records, name, st.bucket(line)).lines.get(line)

    # --- leading ------------------------------------------------------------------------------
    async def tick(self) -> None:
        await asyncio.sleep(kc.TICK_S)
        await self.round()

    async def round(self) -> None:
        """One look at the tables that are led here."""
        now = self._wall.now(self.clock.now(), self.clock.wall())
        if not self.records.ready:
            self.loaded.clear()
            return
        led = {name for name in self.names() if self.records.leads(name)}
        for name in [name for name in self.loaded if name not in led]:
            del self.loaded[name]
        for name in sorted(led):
            table = self.table(name)
            if table is not None:
                await self._sweep(name, table)
            if table is None or table.removed or table.paused:
                self.loaded.pop(name, None)
                continue
            loaded = await self._load(name, table)
            if loaded is not None:
                await self._fire(loaded, int(now))

    async def _sweep(self, name: str, table: st.Table) -> None:
        """Now and then, what a version that is over has left behind."""
        now = self.clock.now()
        if now >= self._sweep_at.get(name, now + kc.SWEEP_S):
            with contextlib.suppress(Unavailable, OutcomeUnknown, TimeoutError):
                if await self.interface.imports.sweep(name, table):
                    self._sweep_at[name] = now
                    return
        elif name in self._sweep_at:
            return
        self._sweep_at[name] = now + kc.SWEEP_S

    async def _load(self, name: str, table: st.Table) -> Loaded | None:
        loaded = self.loaded.get(name)
        if loaded is not None and loaded.of(table):
            return loaded
        try:
            loaded = self.loaded[name] = await tables.load(self.records, name, table)
        except (tables.Broken, ValueError) as error:
            self.loaded.pop(name, None)
            if self.broken.get(name) != str(error):
                self.broken[name] = str(error)
                log.error("table %s can't be led: %s", name, error, extra=FIELD)
            return None
        self.broken.pop(name, None)
        log.info("table %s: %d lines are led here", name, len(loaded.lines), extra=FIELD)
        return loaded

    async def _fire(self, loaded: Loaded, now: int) -> None:
        """All that is due, in the order of priority and lateness, a transaction at a time."""
        while due := loaded.due(now, len(loaded.lines)):
            due.sort(key=Due.order)
            while due:
                batch = self._batch(loaded, due)
                try:
                    done = await self._write(loaded, batch, now)
                except (Unavailable, OutcomeUnknown, TimeoutError, TooLarge) as error:
                    log.debug("table %s: %s", loaded.name, error)
                    done = False
                # What was written moves on; what was not is looked at again by its mark, as a
                # transaction without an answer may have been executed.
                for one in batch if done else [*batch, *due]:
                    self._plan(loaded, one.line)
                if not done:
                    return
                if self.loaded.get(loaded.name) is not loaded:
                    return

    def _plan(self, loaded: Loaded, line: Line) -> None:
        mark = self.mark(loaded.name, line.id)
        loaded.put(line.id, loaded.next(line, mark))

    def _batch(self, loaded: Loaded, due: list[Due]) -> list[Due]:
        """As many of the first as fit into one transaction: a change for each job begun or
        cancelled, one for each record of marks, and one for an entry of the history."""
        batch: list[Due] = []
        buckets: set[int] = set()
        changes = 2  # the table's record and an entry, when something is missed or refused
        while due:
            one = due[0]
            cost = 1 + (one.line.job.overlap == "replace")
            cost += st.bucket(one.line.id) not in buckets
            if batch and changes + cost > kc.BATCH_CHANGES + 1:
                break
            buckets.add(st.bucket(one.line.id))
            changes += cost
            batch.append(due.pop(0))
        return batch

    async def _write(self, loaded: Loaded, batch: list[Due], now: int) -> bool:
        """One transaction: marks and jobs. A line's mark and its job's acceptance are one, so an
        instant begins one job, whoever leads and whatever was answered."""
        name = loaded.name
        table = self.table(name)
        if table is None or table.paused or not loaded.of(table):
            return False
        marks: dict[int, st.Marks] = {}
        also: dict[str, object] = {}
        also_read: dict[str, int] = {}
        told: list[str] = []
        begun: list[tuple[Line, Outcome]] = []
        for one in batch:
            bucket = st.bucket(one.line.id)
            if bucket not in marks:
                marks[bucket] = tables.marks_of(self.records, name, bucket)
            mark = marks[bucket].lines.get(one.line.id)
            if mark is not None and mark.fired >= one.instant and one.line.expression != "@reboot":
                continue  # it is over already
            found = self._outcome(name, one, mark, now)
            marks[bucket].lines[one.line.id] = decide.marked(mark, found, loaded.version)
            if found.what == "fire":
                begun.append((one.line, found))
                self._begin(name, one.line, mark, found, also, also_read)
            if found.missed_since or found.what == "refuse":
                since = f" since {found.missed_since}" if found.missed_since else ""
                told.append(f"line {one.line.number} {found.what}{since}: {found.why}")
        read = {st.marks_name(name, b): self.records.mark(st.marks_name(name, b)) for b in marks}
        read[st.table_name(name)] = self.records.mark(st.table_name(name))
        puts: dict[str, object] = {st.marks_name(name, b): m for b, m in marks.items()}
        if told:
            why = "; ".join(told)[:600]
            entry = st.Entry(self.clock.wall(), f"{len(told)} instants without a job", why)
            puts |= self.interface.told(name, table, entry)
        if not await self.records.commit(read, puts, [], also, also_read, WritePriority.BACKGROUND):
            return False
        for line, found in begun:
            late = max(0.0, self.clock.wall() - found.instant)
            self.fired += 1
            self._lateness.observe(late)
            log.info(
                "table %s line %d fires for %d, %.1f s late: job %s",
                name,
                line.number,
                found.instant,
                late,
                st.job_id(name, line.id, found.instant),
                extra=FIELD | {"job": st.job_id(name, line.id, found.instant)},
            )
        return True

    def _outcome(self, name: str, one: Due, mark: st.Mark | None, now: int) -> Outcome:
        previous_open = False
        if mark is not None and mark.job_at:
            job = self.replica.jobs.get(st.job_id(name, one.line.id, mark.job_at))
            previous_open = job is not None and not job.is_over
        spec = one.line.job.spec("j-0")
        why = rejection_reason(spec, self.node.teams, self.replica.types, self.node.zones)
        return decide.outcome(one.line, mark, one.instant, now, previous_open, why)

    def _begin(
        self,
        name: str,
        line: Line,
        mark: st.Mark | None,
        found: Outcome,
        also: dict[str, object],
        also_read: dict[str, int],
    ) -> None:
        wall = self.clock.wall()
        spec = line.job.spec(st.job_id(name, line.id, found.instant))
        key = r.job_key(spec.id)
        also[key] = r.JobRecord("open", spec.tasks, wall, spec)
        also_read[key] = 0
        if not found.replace or mark is None:
            return
        old = self.replica.jobs.get(st.job_id(name, line.id, mark.job_at))
        if old is not None and old.record is not None and old.record.state == "open":
            key = r.job_key(old.id)
            also[key] = r.cancelled_record(
                old.record, old.spec, wall, self.node.partition_policy.defers_cancellations()
            )
            also_read[key] = old.version
