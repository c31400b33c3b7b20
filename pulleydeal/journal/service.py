"""Appends facts to this start's journal, one transaction at a time, and drops what is outdated."""

import asyncio
import logging
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.background import retrieve_exception
from pulleydeal.journal import decide
from pulleydeal.journal.measures import Measures
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
FORMAT = 1  # of the values


@dataclass(slots=True)
class Waiting:
    """One job's facts, which are worked out when the append is made."""

    make: DraftFactory
    priority: WritePriority
    written: asyncio.Future[bool]
    tries: int = 0


class Journal:
    """Operators say whether new jobs are journaled; every node writes of those that are."""

    def __init__(self, membership: Membership, store: Store, backoff: Backoff) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._backoff = backoff
        self._queue: dict[str, Waiting] = {}
        self._pump: asyncio.Task[None] | None = None
        # An append got no answer and may still be carried out: the next one has its name.
        self._in_doubt = False
        # Numbers of appends that once got no answer, with the views' marks that they were made
        # under: as long as one of these stands, an earlier try may still come, and only the value
        # that has its name keeps it out.
        self._doubted: dict[int, set[int]] = {}
        self._next = 0
        self._restated = 0
        self.is_on = False  # by the operators, at this node
        self.measures: Measures | None = None

    @property
    def start(self) -> str:
        return f"{self._membership.me}.{self._membership.incarnation}"

    def accepts(self, spec: r.JobSpec) -> bool:
        return (
            self.is_on and decide.is_suited(spec) and self._membership.all_enable(FEATURE, FORMAT)
        )

    # --- appending ----------------------------------------------------------------------------
    async def append(self, job: str, make: DraftFactory, priority: WritePriority) -> bool:
        written: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        while job in self._queue:  # what a user waits for comes by another way than the rest
            await asyncio.wait([self._queue[job].written])
        self._queue[job] = Waiting(make, priority, written)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.ensure_future(self._run())
            self._pump.add_done_callback(retrieve_exception)
        return await written

    async def _run(self) -> None:
        while self._queue or self._in_doubt:
            priority = min((w.priority for w in self._queue.values()), default=WritePriority.NORMAL)
            await self._store.client.wait_for_write_slot(priority)
            try:
                await self._append_once()
                self._backoff.reset()
            except (Unavailable, TimeoutError, LeaseLost) as error:
                log.debug("append: %s", error)
                await self._backoff.pause()
            except OutcomeUnknown as error:
                # It may be carried out now or later, but only under this name: the next append
                # has the same one, so at most one of them ever is.
                log.debug("append: %s", error)
                self._in_doubt = True
                await self._read_back()
            except Exception:  # no failure may leave what waits here waiting for ever
                log.exception("append to the journal failed; tried again after a pause")
                await self._backoff.pause()

    async def _append_once(self) -> None:
        batch = decide.Batch(self._store.limits, {r.VIEW_KEY: self._replica.view_version})
        taken = self._collect(batch)
        if not batch.facts and not self._in_doubt:
            self._finish(taken)
            return
        values = batch.values()
        numbers = range(self._next, self._next + len(values))
        keys = [r.journal_key(self.start, f"{number:08x}") for number in numbers]
        conditions = batch.conditions | dict.fromkeys(keys, 0)
        puts: dict[str, object] = dict(zip(keys, values, strict=True))
        try:
            written = await self._store.commit(conditions, puts, priority=None)
        except OutcomeUnknown:
            self._doubted.setdefault(self._next, set()).add(conditions[r.VIEW_KEY])
            raise
        except (TooLarge, RequestRejected) as error:
            log.error("append given up: %s", error)
            if not self._in_doubt:
                self._fail(taken)
            raise Unavailable(str(error)) from error
        if written:
            self._in_doubt = False
            self._next += len(values)
            if self.measures is not None:
                self.measures.appended(len(batch.facts), len(values))
            self._finish(taken)
        else:
            self._after_conflict(taken)

    def _collect(self, batch: decide.Batch) -> list[str]:
        """Works out what waits, in its turn, until the transaction is full."""
        taken = []
        for job, waiting in sorted(self._queue.items(), key=lambda item: item[1].priority):
            draft = self._made(job, waiting)
            if draft is None:
                self._resolve(job, written=False)
            elif not draft.facts or batch.take(draft):
                taken.append(job)
            elif not batch.facts:
                log.error("job %s: %d facts fit into no append", job, len(draft.facts))
                self._resolve(job, written=False)
        return taken

    def _made(self, job: str, waiting: Waiting) -> Draft | None:
        try:
            return waiting.make()
        except Exception:  # one job's trouble must not stop the others'
            log.exception("facts of job %s can't be worked out", job)
            return None

    def _after_conflict(self, taken: list[str]) -> None:
        """The copy is as new as what failed: what moved shows in it."""
        number = decide.next_number(self._replica.journals, self.start)
        if number > self._next:
            self._next, self._in_doubt = number, False  # the one in doubt had been carried out
        for job in taken:
            self._queue[job].tries += 1
            # One that may still be carried out is never given up: it would bind what nobody counts.
            if self._queue[job].tries >= c.JOURNAL_TRIES and not self._in_doubt:
                log.info("job %s: facts given up after %d conflicts", job, c.JOURNAL_TRIES)
                self._resolve(job, written=False)

    async def _read_back(self) -> None:
        while True:
            try:
                await self._store.ensure_fresh()
                break
            except Unavailable:
                await self._backoff.pause()
        self._after_conflict([])

    def _finish(self, taken: list[str]) -> None:
        for job in taken:
            self._resolve(job, written=True)

    def _fail(self, taken: list[str]) -> None:
        for job in taken:
            self._resolve(job, written=False)

    def _resolve(self, job: str, written: bool) -> None:
        waiting = self._queue.pop(job)
        if not waiting.written.done():
            waiting.written.set_result(written)

    # --- tidying ------------------------------------------------------------------------------
    def _looks_after(self, start: str) -> bool:
        """Its own journal, and of starts that are gone those whose name falls to it."""
        if start == self.start:
            return True
        members = self._membership.view.members
        return decide.is_abandoned(start, members) and self._membership.leads(f"journal {start}")

    async def tidy(self) -> None:
        """One round: values without a fact that counts are dropped, old ones written anew."""
        await asyncio.sleep(c.JOURNAL_TIDY_S)
        if not self._membership.is_member or not self._replica.journals:
            return
        limits = self._store.limits
        self._doubted = {
            number: marks
            for number, marks in self._doubted.items()
            if self._replica.view_version in marks
        }
        kept = {f"{self.start}/{number:08x}" for number in self._doubted}
        journals = {p: v for p, v in self._replica.journals.items() if p not in kept}
        tidy = decide.tidying(journals, self._looks_after, self._replica, limits)
        if tidy is not None:
            await self._tidy(tidy)

    async def _tidy(self, tidy: decide.Tidying) -> None:
        drops = [f"{r.JOURNAL_PREFIX}{place}" for place in tidy.drops]
        conditions = decide.conditions_of(tidy, self._replica.view_version)
        values = split_into_values(tidy.restated, self._store.limits.value_b)
        puts: dict[str, object] = {}
        for value in values:
            key = self._restated_key()
            conditions[key] = 0
            puts[key] = value
        if await self._store.commit(conditions, puts, drops, priority=WritePriority.BACKGROUND):
            log.debug("journal: %d values dropped, %d written anew", len(drops), len(values))

    def _restated_key(self) -> str:
        """A name that no append and no earlier try has: a try that got no answer keeps its own."""
        self._restated += 1
        return r.journal_key(f"{self.start}.{decide.RESTATED}", f"{self._restated:08x}")
