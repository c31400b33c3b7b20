"""Fires the due lines of the tables led by this node, each instant once.

Writes have low priority, so that users' submissions go first.
"""

import asyncio
import contextlib
import logging

from prometheus_client import Histogram

from pulleydeal.features.context import Handler, NodeContext, Step
from pulleydeal.features.records import Records
from pulleydeal.features.routes import Route
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import decide, schedule, tables
from pulleydeal.recurring import state as st
from pulleydeal.recurring.decide import DueLine, JumpFilteredClock, Line, Outcome
from pulleydeal.recurring.tables import LoadedTable
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.submissions.service import rejection_reason

log = logging.getLogger("pulleydeal.recurring")
LOG_FIELDS = {"feature": "recurring"}


def advertised_format() -> int:
    """Returns the record format combined with the tzdata version.

    Each node waits until all nodes advertise at least its own value, so no node fires by rules
    that another node does not have yet.
    """
    year, _, release = schedule.tzdata_version().partition(".")
    return kc.RECORD_FORMAT * 10**7 + int(year) * 100 + int(release.split(".")[0] or 0)


class Recurring:
    """The recurring-jobs feature of a node: loads the tables it leads and fires their lines."""

    def __init__(self, node: NodeContext) -> None:
        from pulleydeal.recurring.interface import Interface

        self.node = node
        self.clock = node.clock
        self.replica = node.replica
        self.records = Records("recurring", advertised_format(), node.membership, node.store)
        self.loaded_tables: dict[str, LoadedTable] = {}
        self.load_errors: dict[str, str] = {}  # table -> why it can't be loaded
        self.fired = 0  # jobs started by this node
        self._lateness = Histogram(
            "pulleydeal_recurring_lateness_seconds",
            "From a line's instant to its job's acceptance",
            buckets=kc.LATENESS_BUCKETS_S,
            registry=node.metrics.registry,
        )
        self._next_sweep_at: dict[str, float] = {}
        self._wall_clock = JumpFilteredClock()
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
                f"recurring jobs need transactions of {kc.BATCH_CHANGES + 1} changes, but the state"
                f" service allows {self.node.store.limits.ops}: disable the recurring feature"
            )

    def table_names(self) -> list[str]:
        return [name.removeprefix("t/") for name in self.records.names("t/")]

    def table(self, name: str) -> st.Table | None:
        return self.records.get(st.table_record_name(name), st.Table)

    def progress(self, name: str, line: str) -> st.LineProgress | None:
        return tables.progress_bucket(self.records, name, st.bucket_of(line)).lines.get(line)

    # --- firing -------------------------------------------------------------------------------
    async def tick(self) -> None:
        await asyncio.sleep(kc.POLL_INTERVAL_S)
        await self.fire_due_lines()

    async def fire_due_lines(self) -> None:
        """Fires all due lines of the tables that this node leads."""
        now = self._wall_clock.now(self.clock.now(), self.clock.wall())
        if not self.records.ready:
            self.loaded_tables.clear()
            return
        led = {name for name in self.table_names() if self.records.leads(name)}
        for name in [name for name in self.loaded_tables if name not in led]:
            del self.loaded_tables[name]
        for name in sorted(led):
            table = self.table(name)
            if table is not None:
                await self._sweep(name, table)
            if table is None or table.removed or table.paused:
                self.loaded_tables.pop(name, None)
                continue
            loaded = await self._load(name, table)
            if loaded is not None:
                await self._fire_due(loaded, int(now))

    async def _sweep(self, name: str, table: st.Table) -> None:
        """Looks for records not in force every SWEEP_INTERVAL_S and deletes them in batches."""
        now = self.clock.now()
        if now >= self._next_sweep_at.get(name, now + kc.SWEEP_INTERVAL_S):
            with contextlib.suppress(Unavailable, OutcomeUnknown, TimeoutError):
                if await self.interface.importer.sweep(name, table):
                    self._next_sweep_at[name] = now
                    return
        elif name in self._next_sweep_at:
            return
        self._next_sweep_at[name] = now + kc.SWEEP_INTERVAL_S

    async def _load(self, name: str, table: st.Table) -> LoadedTable | None:
        loaded = self.loaded_tables.get(name)
        if loaded is not None and loaded.matches(table):
            return loaded
        try:
            loaded = self.loaded_tables[name] = await tables.load(self.records, name, table)
        except (tables.UnusableTable, ValueError) as error:
            self.loaded_tables.pop(name, None)
            if self.load_errors.get(name) != str(error):
                self.load_errors[name] = str(error)
                log.error("cannot load cron table %s: %s", name, error, extra=LOG_FIELDS)
            return None
        self.load_errors.pop(name, None)
        log.info(
            "loaded cron table %s with %d lines as its leader",
            name,
            len(loaded.lines),
            extra=LOG_FIELDS,
        )
        return loaded

    async def _fire_due(self, loaded: LoadedTable, now: int) -> None:
        """Fires all due lines by priority and lateness, one transaction at a time."""
        while due := loaded.pop_due(now, len(loaded.lines)):
            due.sort(key=DueLine.sort_key)
            while due:
                batch = self._take_batch(loaded, due)
                try:
                    committed = await self._commit_batch(loaded, batch, now)
                except (Unavailable, OutcomeUnknown, TimeoutError, TooLarge) as error:
                    log.debug("cron table %s: transaction not confirmed: %s", loaded.name, error)
                    committed = False
                # Written lines get their next instant. After a failure all lines are scheduled
                # again from their stored progress, as a transaction without an answer may have
                # been executed.
                for due_line in batch if committed else [*batch, *due]:
                    self._reschedule(loaded, due_line.line)
                if not committed:
                    return
                if self.loaded_tables.get(loaded.name) is not loaded:
                    return

    def _reschedule(self, loaded: LoadedTable, line: Line) -> None:
        progress = self.progress(loaded.name, line.id)
        loaded.enqueue(line.id, loaded.next_instant(line, progress))

    def _take_batch(self, loaded: LoadedTable, due: list[DueLine]) -> list[DueLine]:
        """Takes as many lines from the front of `due` as fit into one transaction.

        It has one change for each job started or cancelled, one for each progress bucket, and two
        for a history entry.
        """
        batch: list[DueLine] = []
        buckets: set[int] = set()
        changes = 2  # the table's record and a history entry, if an instant is missed or refused
        while due:
            due_line = due[0]
            cost = 1 + (due_line.line.job.overlap == "replace")
            cost += st.bucket_of(due_line.line.id) not in buckets
            if batch and changes + cost > kc.BATCH_CHANGES + 1:
                break
            buckets.add(st.bucket_of(due_line.line.id))
            changes += cost
            batch.append(due.pop(0))
        return batch

    async def _commit_batch(self, loaded: LoadedTable, batch: list[DueLine], now: int) -> bool:
        """Commits progress and jobs of a batch in one transaction; False if nothing was committed.

        As a line's progress and its job are written together, an instant starts one job even if
        the leader changes or an answer is lost.
        """
        name = loaded.name
        table = self.table(name)
        if table is None or table.paused or not loaded.matches(table):
            return False
        buckets: dict[int, st.ProgressBucket] = {}
        job_puts: dict[str, object] = {}
        job_reads: dict[str, int] = {}
        notes: list[str] = []
        started: list[tuple[Line, Outcome]] = []
        for due_line in batch:
            bucket = st.bucket_of(due_line.line.id)
            if bucket not in buckets:
                buckets[bucket] = tables.progress_bucket(self.records, name, bucket)
            progress = buckets[bucket].lines.get(due_line.line.id)
            if (
                progress is not None
                and progress.settled_until >= due_line.instant
                and due_line.line.expression != "@reboot"
            ):
                continue  # already settled
            outcome = self._evaluate(name, due_line, progress, now)
            buckets[bucket].lines[due_line.line.id] = decide.updated_progress(
                progress, outcome, loaded.version
            )
            if outcome.action == "fire":
                started.append((due_line.line, outcome))
                self._add_job(name, due_line.line, progress, outcome, job_puts, job_reads)
            if outcome.missed_since or outcome.action == "refuse":
                since = f" since {outcome.missed_since}" if outcome.missed_since else ""
                notes.append(
                    f"line {due_line.line.number} {outcome.action}{since}: {outcome.reason}"
                )
        conditions = {
            st.bucket_record_name(name, number): self.records.version(
                st.bucket_record_name(name, number)
            )
            for number in buckets
        }
        conditions[st.table_record_name(name)] = self.records.version(st.table_record_name(name))
        puts: dict[str, object] = {
            st.bucket_record_name(name, number): bucket_record
            for number, bucket_record in buckets.items()
        }
        if notes:
            details = "; ".join(notes)[:600]
            entry = st.HistoryEntry(
                self.clock.wall(), f"{len(notes)} instants without a job", details
            )
            puts |= self.interface.with_history_entry(name, table, entry)
        if not await self.records.commit(
            conditions, puts, [], job_puts, job_reads, WritePriority.BACKGROUND
        ):
            return False
        for line, outcome in started:
            lateness_s = max(0.0, self.clock.wall() - outcome.instant)
            self.fired += 1
            self._lateness.observe(lateness_s)
            log.info(
                "cron table %s line %d fired for instant %d, %.1f s late: job %s",
                name,
                line.number,
                outcome.instant,
                lateness_s,
                st.job_id(name, line.id, outcome.instant),
                extra=LOG_FIELDS | {"job": st.job_id(name, line.id, outcome.instant)},
            )
        return True

    def _evaluate(
        self, name: str, due_line: DueLine, progress: st.LineProgress | None, now: int
    ) -> Outcome:
        previous_open = False
        if progress is not None and progress.last_job_at:
            job = self.replica.jobs.get(st.job_id(name, due_line.line.id, progress.last_job_at))
            previous_open = job is not None and not job.is_over
        spec = due_line.line.job.spec("j-0")
        rejection = rejection_reason(spec, self.node.teams, self.replica.types, self.node.zones)
        return decide.evaluate(
            due_line.line, progress, due_line.instant, now, previous_open, rejection
        )

    def _add_job(
        self,
        name: str,
        line: Line,
        progress: st.LineProgress | None,
        outcome: Outcome,
        job_puts: dict[str, object],
        job_reads: dict[str, int],
    ) -> None:
        now = self.clock.wall()
        spec = line.job.spec(st.job_id(name, line.id, outcome.instant))
        key = r.job_key(spec.id)
        job_puts[key] = r.JobRecord("open", spec.tasks, now, spec)
        job_reads[key] = 0
        if not outcome.replace or progress is None:
            return
        previous = self.replica.jobs.get(st.job_id(name, line.id, progress.last_job_at))
        if previous is not None and previous.record is not None and previous.record.state == "open":
            key = r.job_key(previous.id)
            job_puts[key] = r.cancelled_record(
                previous.record,
                previous.spec,
                now,
                self.node.partition_policy.defers_cancellations(),
            )
            job_reads[key] = previous.version
