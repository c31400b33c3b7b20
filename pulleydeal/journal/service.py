"""Appends task facts to this node's journal, one transaction at a time, and compacts journals."""

import asyncio
import logging
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.background import retrieve_exception
from pulleydeal.journal import decide
from pulleydeal.journal.metrics import JournalMetrics
from pulleydeal.membership.service import Membership
from pulleydeal.store import records as r
from pulleydeal.store.client import LeaseLost, OutcomeUnknown, RequestRejected, Unavailable
from pulleydeal.store.draft import Draft
from pulleydeal.store.facts import split_into_values
from pulleydeal.store.limits import TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.service import Backoff, DraftFactory, Store

log = logging.getLogger("pulleydeal.journal")
FEATURE = "journal"
FORMAT = 1  # of the journal values


@dataclass(slots=True)
class PendingAppend:
    """A job waiting for an append; its draft is made only when the append is built."""

    make_draft: DraftFactory
    priority: WritePriority
    result: asyncio.Future[bool]
    conflicts: int = 0


class Journal:
    """This node's journal: written for every journaled job, whether or not it is enabled for new
    jobs."""

    def __init__(self, membership: Membership, store: Store, backoff: Backoff) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._backoff = backoff
        self._queue: dict[str, PendingAppend] = {}
        self._append_task: asyncio.Task[None] | None = None
        # The last append got no answer and may still be applied; the next one reuses its keys.
        self._in_doubt = False
        # First sequence numbers of appends that got no answer -> versions of the views they were
        # made under. While one of these versions is current, the append may still be applied, and
        # only the value stored under its key prevents that.
        self._in_doubt_views: dict[int, set[int]] = {}
        self._next_sequence = 0
        self._rewritten_count = 0
        self.enabled = False  # whether the operators enabled it on this node
        self.metrics: JournalMetrics | None = None

    @property
    def writer(self) -> str:
        return f"{self._membership.me}.{self._membership.incarnation}"

    def accepts(self, spec: r.JobSpec) -> bool:
        return (
            self.enabled
            and decide.is_eligible(spec)
            and self._membership.all_enable(FEATURE, FORMAT)
        )

    # --- appending ----------------------------------------------------------------------------
    async def append(self, job: str, make: DraftFactory, priority: WritePriority) -> bool:
        result: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        while job in self._queue:  # a job's urgent changes are written concurrently with its others
            await asyncio.wait([self._queue[job].result])
        self._queue[job] = PendingAppend(make, priority, result)
        if self._append_task is None or self._append_task.done():
            self._append_task = asyncio.ensure_future(self._drain_queue())
            self._append_task.add_done_callback(retrieve_exception)
        return await result

    async def _drain_queue(self) -> None:
        while self._queue or self._in_doubt:
            priority = min((w.priority for w in self._queue.values()), default=WritePriority.NORMAL)
            await self._store.client.wait_for_write_slot(priority)
            try:
                await self._append_once()
                self._backoff.reset()
            except (Unavailable, TimeoutError, LeaseLost) as error:
                log.debug("journal append failed: %s", error)
                await self._backoff.pause()
            except OutcomeUnknown as error:
                # It may be applied now or later, but only under these keys; the next append uses
                # the same first key, so at most one of the two is ever applied.
                log.debug("journal append got no answer: %s", error)
                self._in_doubt = True
                await self._read_back()
            except Exception:  # a failure must not leave queued jobs waiting forever
                log.exception("journal append failed; retrying after a pause")
                await self._backoff.pause()

    async def _append_once(self) -> None:
        batch = decide.Batch(self._store.limits, {r.VIEW_KEY: self._replica.view_version})
        included = self._collect(batch)
        if not batch.facts and not self._in_doubt:
            self._finish(included)
            return
        values = batch.values()
        numbers = range(self._next_sequence, self._next_sequence + len(values))
        keys = [r.journal_key(self.writer, f"{number:08x}") for number in numbers]
        conditions = batch.conditions | dict.fromkeys(keys, 0)
        puts: dict[str, object] = dict(zip(keys, values, strict=True))
        try:
            written = await self._store.commit(conditions, puts, priority=None)
        except OutcomeUnknown:
            self._in_doubt_views.setdefault(self._next_sequence, set()).add(conditions[r.VIEW_KEY])
            raise
        except (TooLarge, RequestRejected) as error:
            log.error("journal append rejected: %s", error)
            if not self._in_doubt:
                self._fail(included)
            raise Unavailable(str(error)) from error
        if written:
            self._in_doubt = False
            self._next_sequence += len(values)
            if self.metrics is not None:
                self.metrics.appended(len(batch.facts), len(values))
            self._finish(included)
        else:
            self._after_conflict(included)

    def _collect(self, batch: decide.Batch) -> list[str]:
        """Makes drafts in order of turn until the transaction is full; returns the jobs covered."""
        included = []
        for job, pending in sorted(self._queue.items(), key=lambda item: item[1].priority):
            draft = self._make_draft(job, pending)
            if draft is None:
                self._resolve(job, written=False)
            elif not draft.facts or batch.add(draft):
                included.append(job)
            elif not batch.facts:
                log.error("job %s: %d facts exceed the limits of one append", job, len(draft.facts))
                self._resolve(job, written=False)
        return included

    def _make_draft(self, job: str, pending: PendingAppend) -> Draft | None:
        try:
            return pending.make_draft()
        except Exception:  # one job's failure must not block the others
            log.exception("job %s: making the draft failed", job)
            return None

    def _after_conflict(self, included: list[str]) -> None:
        """The replica already shows whatever made the commit fail."""
        number = decide.next_sequence(self._replica.journals, self.writer)
        if number > self._next_sequence:
            self._next_sequence, self._in_doubt = number, False  # the append in doubt was applied
        for job in included:
            self._queue[job].conflicts += 1
            # Never give up on an append in doubt: if applied later, it could bind tasks that no
            # quota accounts for.
            if self._queue[job].conflicts >= c.JOURNAL_TRIES and not self._in_doubt:
                log.info("job %s: append abandoned after %d conflicts", job, c.JOURNAL_TRIES)
                self._resolve(job, written=False)

    async def _read_back(self) -> None:
        while True:
            try:
                await self._store.ensure_fresh()
                break
            except Unavailable:
                await self._backoff.pause()
        self._after_conflict([])

    def _finish(self, included: list[str]) -> None:
        for job in included:
            self._resolve(job, written=True)

    def _fail(self, included: list[str]) -> None:
        for job in included:
            self._resolve(job, written=False)

    def _resolve(self, job: str, written: bool) -> None:
        pending = self._queue.pop(job)
        if not pending.result.done():
            pending.result.set_result(written)

    # --- compaction ---------------------------------------------------------------------------
    def _is_responsible_for(self, writer: str) -> bool:
        """Whether this node compacts that journal: its own, or an abandoned one assigned to it."""
        if writer == self.writer:
            return True
        members = self._membership.view.members
        return decide.is_abandoned(writer, members) and self._membership.leads(f"journal {writer}")

    async def compact(self) -> None:
        """One round: deletes values without live facts, or rewrites the oldest ones."""
        await asyncio.sleep(c.JOURNAL_TIDY_S)
        if not self._membership.is_member or not self._replica.journals:
            return
        limits = self._store.limits
        self._in_doubt_views = {
            number: views
            for number, views in self._in_doubt_views.items()
            if self._replica.view_version in views
        }
        kept = {f"{self.writer}/{number:08x}" for number in self._in_doubt_views}
        journals = {k: v for k, v in self._replica.journals.items() if k not in kept}
        compaction = decide.plan_compaction(
            journals, self._is_responsible_for, self._replica, limits
        )
        if compaction is not None:
            await self._commit_compaction(compaction)

    async def _commit_compaction(self, compaction: decide.Compaction) -> None:
        deletes = [f"{r.JOURNAL_PREFIX}{value_id}" for value_id in compaction.deletes]
        conditions = decide.compaction_conditions(compaction, self._replica.view_version)
        values = split_into_values(compaction.rewritten, self._store.limits.value_b)
        puts: dict[str, object] = {}
        for value in values:
            key = self._rewritten_key()
            conditions[key] = 0
            puts[key] = value
        if await self._store.commit(conditions, puts, deletes, priority=WritePriority.BACKGROUND):
            log.debug("journal compaction: deleted %d values, wrote %d", len(deletes), len(values))

    def _rewritten_key(self) -> str:
        """A key that no append and no earlier compaction has used: an earlier compaction without an
        answer may still be applied under its own key."""
        self._rewritten_count += 1
        return r.journal_key(f"{self.writer}.{decide.REWRITTEN}", f"{self._rewritten_count:08x}")
