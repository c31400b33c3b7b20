"""Keeps the replica current, proves its freshness, and commits changes in batches per job."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from pulleydeal import constants as c
from pulleydeal.background import take_failure
from pulleydeal.clock import Clock
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import (
    LeaseLost,
    Refused,
    StateClient,
    TooOld,
    Unavailable,
    Unknown,
)
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits, TooLarge
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Replica

log = logging.getLogger("pulleydeal.store")


class FactWriter(Protocol):
    """Writes what happens to tasks of journaled jobs (`pulleydeal/journal`)."""

    def takes(self, spec: r.JobSpec) -> bool:
        """Whether a job that is accepted now is to be journaled."""

    async def append(self, job: str, make: "MakeDraft", turn: "Turn") -> bool:
        """Makes the facts of a job's draft durable; what it was made from is as new as that.

        True also when there are none. False: the marks moved too often, or the job is over.
        """


MakeDraft = Callable[[], Draft | None]
Mutator = Callable[[Draft], None]
Change = tuple[Mutator, Turn, asyncio.Future[bool]]


class Backoff:
    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next = c.BACKOFF_MIN_S

    async def pause(self) -> None:
        await asyncio.sleep(self._next * self._rng.uniform(0.5, 1.0))
        self._next = min(c.BACKOFF_MAX_S, self._next * 2)

    def reset(self) -> None:
        self._next = c.BACKOFF_MIN_S


class Store:
    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        clock: Clock,
        rng: random.Random,
        limits: Limits,
    ) -> None:
        self.client = client
        self.replica = replica
        self._clock = clock
        self._rng = rng
        self.limits = limits
        # The replica is at least as new as this moment: when what proved it was asked for, as the
        # answer may have been held back on its way, or a watch have waited through an outage.
        self.current_at = -1e9
        self._barrier: asyncio.Future[tuple[float, int]] | None = None
        self._pending: dict[str, list[Change]] = {}
        self._draining: dict[tuple[str, bool], asyncio.Task[None]] = {}
        self.journal: FactWriter | None = None

    def journals(self, spec: r.JobSpec) -> bool:
        """Whether a job that is accepted now is to be journaled."""
        return self.journal is not None and self.journal.takes(spec)

    # --- watching -----------------------------------------------------------------------
    async def follow(self) -> None:
        """Loads the replica and follows the watch for ever."""
        backoff = Backoff(self._rng)
        while True:
            try:
                if not self.replica.loaded:
                    await self._load()
                started = self._clock.now()
                changes = await self.client.watch(r.PREFIX, self.replica.revision)
                self.replica.apply(changes)
                # A watch that was opened while this node alone is refused may end empty: it says
                # nothing. One that was served in the meantime would have brought what changed.
                if changes.events or self.client.served_at >= started:
                    self._proved(started)
                backoff.reset()
                spent = self._clock.now() - started
                if spent < c.WATCH_SPACING_S:
                    await asyncio.sleep(c.WATCH_SPACING_S - spent)
            except TooOld:
                log.info("watch too far behind: reading everything again")
                await self._load()
            except (Unavailable, Unknown) as error:
                log.debug("watch: %s", error)
                await backoff.pause()

    def _proved(self, asked_at: float) -> None:
        """The replica holds all that the service held when it was asked."""
        self.current_at = max(self.current_at, asked_at)

    async def _load(self) -> None:
        asked_at = self._clock.now()
        page = await self.client.page(r.PREFIX, None)
        # Events after the first page's revision are replayed; versions sort out the overlap.
        first = page.revision
        pages = [page]
        while page.more:
            page = await self.client.page(r.PREFIX, page.items[-1].key)
            pages.append(page)
        self.replica.begin_load()
        for page in pages:
            self.replica.load(page.items)
        self.replica.end_load(first)
        self._proved(asked_at)
        log.info("replica loaded at revision %d, %d jobs", first, len(self.replica.jobs))

    async def fresh(self) -> None:
        """Returns once the replica is at least as new as this call; raises Unavailable.

        One read serves all who wait: a caller joins the read that has not started yet.
        """
        try:
            async with asyncio.timeout(c.FRESH_TIMEOUT_S):
                if self._barrier is None:
                    self._barrier = asyncio.ensure_future(self._read_revision())
                    self._barrier.add_done_callback(take_failure)
                asked_at, revision = await asyncio.shield(self._barrier)
                await self.replica.reach(revision)
                self._proved(asked_at)
        except (TimeoutError, Unknown) as error:
            raise Unavailable("freshness not proved in time") from error

    async def _read_revision(self) -> tuple[float, int]:
        await asyncio.sleep(c.FRESH_GATHER_S)  # gather the polls of one moment
        self._barrier = None  # from here on a new caller needs a new read
        return self._clock.now(), await self.client.revision()

    # --- committing ---------------------------------------------------------------------
    async def commit(
        self,
        conditions: dict[str, int],
        puts: dict[str, object],
        deletes: list[str] | None = None,
        lease: dict[str, int] | None = None,
        turn: Turn | None = Turn.FIRST,
    ) -> bool:
        """One transaction. True: done and shown in the replica. False: a condition failed,
        and the replica is as new as that. Raises Unavailable, Unknown, LeaseLost, or TooLarge
        for what the state service would never take. `turn`: None when it is the caller's."""
        encoded = {key: msgspec.json.encode(value) for key, value in puts.items()}
        self.limits.check(conditions, encoded, deletes or [])
        leases = lease or {}
        changes: list[dict[str, Any]] = [
            m.put(key, msgspec.Raw(value), leases.get(key)) for key, value in encoded.items()
        ]
        changes += [m.delete(key) for key in deletes or []]
        if turn is not None:
            await self.client.may_write(turn)
        ok, outcome = await self.client.commit(conditions, changes)
        if ok and r.VIEW not in puts:
            self.replica.committed(encoded, deletes or [], outcome.revision)
        else:
            # A new view must not be seen before all that was committed under the old one:
            # ownership taken with a binding still unseen would kill a running task.
            async with asyncio.timeout(c.COMMIT_WAIT_S):
                await self.replica.reach(outcome.revision)
        return ok

    def change_job(self, job: str, mutate: Mutator, turn: Turn) -> asyncio.Future[bool]:
        """Queues a change of a job. All that gather until its turn go into one transaction.

        The change is a function of the newest record, so it may run several times. The
        future tells whether the batch was written.
        """
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.setdefault(job, []).append((mutate, turn, future))
        # What a user waits for does not stand behind changes that already wait for their turn:
        # whichever comes first takes all along.
        way = (job, turn is Turn.FIRST)
        if way not in self._draining:
            self._draining[way] = asyncio.ensure_future(self._drain(way))
        return future

    async def _drain(self, way: tuple[str, bool]) -> None:
        job_id, _ = way
        await asyncio.sleep(0)  # let this moment's changes gather
        try:
            while job_id in self._pending:
                batch: list[Change] = []
                ok = False
                try:
                    ok = await self._write(job_id, batch)
                except Exception:  # one job's trouble must not stop the committer
                    log.exception("commit of job %s failed", job_id)
                for _, _, future in batch:
                    if not future.done():
                        future.set_result(ok)
        finally:
            self._draining.pop(way, None)

    async def _write(self, job_id: str, batch: list[Change]) -> bool:
        """Writes what is pending for a job, also what is added while it waits for its turn."""
        backoff = Backoff(self._rng)
        unsure = False
        tries = 0
        # One that may still be applied is never given up: it would bind what nobody counts.
        while unsure or tries < c.SCRATCH_TRIES:
            tries += 1
            while True:
                if self._is_journaled(job_id):
                    if not await self._append_facts(job_id, batch) and not unsure:
                        return False
                    if not unsure and self._writes_nothing(self._draft(job_id, batch)):
                        return True  # all of it was facts: no turn is waited for
                queued = self._pending.get(job_id, [])
                await self.client.may_write(self._turn([*batch, *queued]))
                batch += self._pending.pop(job_id, [])
                if not batch:
                    return True
                draft = self._draft(job_id, batch)
                if draft is None:
                    return False
                if draft.facts:
                    continue  # they came while it waited, and go first
                if unsure:
                    # An unanswered transaction may still be applied. Quota and zones are
                    # counted without it, so the job's mark must move for it to fail.
                    draft.touch()
                if not draft.puts and not draft.deletes:
                    return True
                try:
                    ok = await self.commit(draft.conditions, draft.puts, draft.deletes, turn=None)
                    break
                except (Unavailable, TimeoutError) as error:
                    log.debug("commit of %s: %s", job_id, error)
                    await backoff.pause()
                except (TooLarge, Refused) as error:
                    # Tried again it would be refused again, for ever.
                    log.error("job %s: change given up: %s", job_id, error)
                    return False
                except Unknown as error:
                    # The transaction may be applied late: read back first. Whatever happened,
                    # the marks let at most one of it and its successor through.
                    log.debug("commit of %s: %s", job_id, error)
                    unsure = True
                    await self._read_back(backoff)
            if ok:
                return True
        log.info("job %s: changes given up after %d conflicts", job_id, c.SCRATCH_TRIES)
        return False

    def _is_journaled(self, job_id: str) -> bool:
        job = self.replica.jobs.get(job_id)
        return job is not None and job.is_journaled

    def _turn(self, changes: list[Change]) -> Turn:
        return min((turn for _, turn, _ in changes), default=Turn.LATER)

    def _draft(self, job_id: str, batch: list[Change]) -> Draft | None:
        """What the changes make of the newest record; None: the job is over, with all its tasks."""
        job = self.replica.jobs.get(job_id)
        if job is None or job.spec is None:
            return None
        draft = Draft(job, self.replica, self.limits, self._clock.wall())
        for mutate, _, _ in batch:
            mutate(draft)
        draft.finish()
        return draft

    def _writes_nothing(self, draft: Draft | None) -> bool:
        return draft is not None and not (draft.facts or draft.puts or draft.deletes)

    async def _append_facts(self, job_id: str, batch: list[Change]) -> bool:
        """Makes durable what the pending changes say of the job's tasks."""

        def make() -> Draft | None:
            batch.extend(self._pending.pop(job_id, []))
            return self._draft(job_id, batch)

        if self.journal is None:
            log.error("job %s: journaled, and nothing here writes journals", job_id)
            return False
        queued = self._pending.get(job_id, [])
        return await self.journal.append(job_id, make, self._turn([*batch, *queued]))

    async def _read_back(self, backoff: Backoff) -> None:
        while True:
            try:
                await self.fresh()
                return
            except Unavailable:
                await backoff.pause()


async def forever(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """Runs a loop's body again and again; a failure is logged and followed by a pause."""
    while True:
        try:
            await step()
        except (Unavailable, Unknown, LeaseLost, TimeoutError) as error:
            log.debug("%s: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
        except (TooLarge, Refused) as error:
            log.error("%s: change given up: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
        except Exception:  # no failure may silently end a loop
            log.exception("%s failed; goes on after a pause", name)
            await asyncio.sleep(c.LOOP_PAUSE_S)
