"""Keeps the replica current, verifies its freshness, and commits batched changes per job."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from pulleydeal import constants as c
from pulleydeal.background import retrieve_exception
from pulleydeal.clock import Clock
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import (
    LeaseLost,
    OutcomeUnknown,
    RequestRejected,
    StateClient,
    TooOld,
    Unavailable,
)
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import VERSION_NOT_KEPT, Job
from pulleydeal.store.limits import Limits, TooLarge
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Replica
from pulleydeal.store.retired_records import RetiredRecords
from pulleydeal.store.snapshot import Snapshot

log = logging.getLogger("pulleydeal.store")


class FactWriter(Protocol):
    """Writes task state changes of journaled jobs to the journal (`pulleydeal/journal`)."""

    def accepts(self, spec: r.JobSpec) -> bool:
        """Whether a job that is accepted now is to be journaled."""

    async def append(self, job: str, make: "DraftFactory", priority: "WritePriority") -> bool:
        """Makes the facts of a job's draft durable, and leaves the replica at least as new.

        Returns True also when there are none; False when versions changed too often or the job
        is over.
        """


DraftFactory = Callable[[], Draft | None]
Mutator = Callable[[Draft], None]
Change = tuple[Mutator, WritePriority, asyncio.Future[bool]]


class Backoff:
    """Exponential back-off with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next = c.BACKOFF_MIN_S

    async def pause(self) -> None:
        await asyncio.sleep(self._next * self._rng.uniform(0.5, 1.0))
        self._next = min(c.BACKOFF_MAX_S, self._next * 2)

    def reset(self) -> None:
        self._next = c.BACKOFF_MIN_S


class Store:
    """Reads and writes the scheduler's records through the replica and the state client."""

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
        # The replica is at least as new as this time. It is the send time of the request that
        # showed it: the answer may be delayed, and a watch may stay open through an outage.
        self.fresh_as_of = -1e9
        self._pending_read: asyncio.Future[tuple[float, int]] | None = None
        self._pending_changes: dict[str, list[Change]] = {}
        self._drain_tasks: dict[tuple[str, bool], asyncio.Task[None]] = {}
        self.journal: FactWriter | None = None
        self._retired_records = RetiredRecords(client, replica)

    def should_journal(self, spec: r.JobSpec) -> bool:
        """Whether a job that is accepted now is to be journaled."""
        return self.journal is not None and self.journal.accepts(spec)

    # --- watching -----------------------------------------------------------------------
    async def follow(self) -> None:
        """Loads the replica and applies changes from the watch, forever."""
        backoff = Backoff(self._rng)
        while True:
            try:
                if not self.replica.loaded:
                    await self._load()
                watch_started = self._clock.now()
                changes = await self.client.watch(r.KEY_PREFIX, self.replica.revision)
                self.replica.apply(changes)
                # An empty watch shows nothing if the service refuses this node's requests. If it
                # served one since the watch began, the watch would have delivered any change.
                if changes.events or self.client.served_at >= watch_started:
                    self._mark_current(watch_started)
                backoff.reset()
                spent = self._clock.now() - watch_started
                if spent < c.WATCH_SPACING_S:
                    await asyncio.sleep(c.WATCH_SPACING_S - spent)
            except TooOld:
                log.info("watch revision is too old to resume: reloading the replica")
                await self._load()
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("watch: %s", error)
                await backoff.pause()

    def _mark_current(self, requested_at: float) -> None:
        """Records that the replica holds all that the service held at `requested_at`."""
        self.fresh_as_of = max(self.fresh_as_of, requested_at)

    async def _load(self) -> None:
        requested_at = self._clock.now()
        page = await self._page(None)
        # The watch replays events after the first page's revision; versions resolve the overlap.
        first_revision = page.revision
        snapshot = Snapshot()
        snapshot.add(page)
        while page.more:
            page = await self._page(page.items[-1].key)
            snapshot.add(page)
        self.replica.begin_load(snapshot.retired)
        self.replica.load(snapshot.entries)
        self.replica.end_load(first_revision)
        self._mark_current(requested_at)
        log.info("replica loaded at revision %d, %d jobs", first_revision, len(self.replica.jobs))

    async def _page(self, after: str | None) -> m.Page:
        """Reads a page until it is answered: a load that began anew each time might never end."""
        backoff = Backoff(self._rng)
        while True:
            try:
                return await self.client.page(r.KEY_PREFIX, after)
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("load: %s", error)
                await backoff.pause()

    async def ensure_fresh(self) -> None:
        """Returns once the replica is at least as new as this call; raises Unavailable.

        Callers share reads: each joins the pending read that has not been sent yet.
        """
        try:
            async with asyncio.timeout(c.FRESH_TIMEOUT_S):
                if self._pending_read is None:
                    self._pending_read = asyncio.ensure_future(self._read_revision())
                    self._pending_read.add_done_callback(retrieve_exception)
                requested_at, revision = await asyncio.shield(self._pending_read)
                await self.replica.wait_for_revision(revision)
                self._mark_current(requested_at)
        except (TimeoutError, OutcomeUnknown) as error:
            raise Unavailable("replica freshness not confirmed in time") from error

    async def _read_revision(self) -> tuple[float, int]:
        await asyncio.sleep(c.FRESH_GATHER_S)  # lets concurrent callers share this read
        self._pending_read = None  # later callers need a new read
        return self._clock.now(), await self.client.revision()

    async def with_stored_record(self, job: Job) -> Job:
        """The job, with its stored record if that is missing and can be read at once."""
        if job.is_record_kept:
            return job
        await self._retired_records.read(job.id)
        return self.replica.jobs.get(job.id, job)

    # --- committing ---------------------------------------------------------------------
    async def commit(
        self,
        conditions: dict[str, int],
        puts: dict[str, object],
        deletes: list[str] | None = None,
        lease: dict[str, int] | None = None,
        priority: WritePriority | None = WritePriority.URGENT,
    ) -> bool:
        """Commits one transaction, conditional on the versions in `conditions`.

        Returns True once it is committed and in the replica, or False if a condition failed and
        the replica is at least as new as that failure. Raises Unavailable, OutcomeUnknown,
        RequestRejected or LeaseLost, TimeoutError if the replica does not catch up, and TooLarge
        for a transaction that exceeds the limits. `priority` is None if the caller has already
        been admitted.
        """
        for key, version in conditions.items():
            if version == VERSION_NOT_KEPT:
                raise RequestRejected(f"{key}: a retired job is never changed")
        encoded = {key: msgspec.json.encode(value) for key, value in puts.items()}
        self.limits.check(conditions, encoded, deletes or [])
        leases = lease or {}
        changes: list[dict[str, Any]] = [
            m.put(key, msgspec.Raw(value), leases.get(key)) for key, value in encoded.items()
        ]
        changes += [m.delete(key) for key in deletes or []]
        if priority is not None:
            await self.client.wait_for_write_slot(priority)
        ok, outcome = await self.client.commit(conditions, changes)
        if ok and r.VIEW_KEY not in puts:
            self.replica.apply_commit(encoded, deletes or [], outcome.revision)
        else:
            # A new view must not be visible before everything committed under the old one: a
            # node that takes ownership without seeing a binding would kill a running task.
            async with asyncio.timeout(c.COMMIT_WAIT_S):
                await self.replica.wait_for_revision(outcome.revision)
        return ok

    def change_job(
        self, job: str, mutate: Mutator, priority: WritePriority
    ) -> asyncio.Future[bool]:
        """Queues a change of a job. Changes queued until it is admitted share one transaction.

        `mutate` is applied to the newest record and may run several times. The future's result
        is whether the batch was written.
        """
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_changes.setdefault(job, []).append((mutate, priority, future))
        # User requests have a writer of their own, so that they do not wait behind changes of
        # lower priority. The first of the two to be admitted takes all pending changes along.
        queue_key = (job, priority is WritePriority.URGENT)
        if queue_key not in self._drain_tasks:
            self._drain_tasks[queue_key] = asyncio.ensure_future(self._drain(queue_key))
        return future

    async def _drain(self, queue_key: tuple[str, bool]) -> None:
        job_id, _ = queue_key
        await asyncio.sleep(0)  # lets concurrent changes join the batch
        try:
            while job_id in self._pending_changes:
                batch: list[Change] = []
                ok = False
                try:
                    ok = await self._write(job_id, batch)
                except Exception:  # a failure of one job's batch must not end this task
                    log.exception("commit of job %s failed", job_id)
                for _, _, future in batch:
                    if not future.done():
                        future.set_result(ok)
        finally:
            self._drain_tasks.pop(queue_key, None)

    async def _write(self, job_id: str, batch: list[Change]) -> bool:
        """Writes a job's pending changes, including those queued while it waits for admission."""
        backoff = Backoff(self._rng)
        outcome_unknown = False
        tries = 0
        # A change that may still be applied is never given up: it could add an uncounted task.
        while outcome_unknown or tries < c.MAX_COMMIT_TRIES:
            tries += 1
            while True:
                if self._is_journaled(job_id):
                    if not await self._append_facts(job_id, batch) and not outcome_unknown:
                        return False
                    if not outcome_unknown and self._is_empty(self._build_draft(job_id, batch)):
                        return True  # the changes were only facts: no admission needed
                queued = self._pending_changes.get(job_id, [])
                await self.client.wait_for_write_slot(self._highest_priority([*batch, *queued]))
                batch += self._pending_changes.pop(job_id, [])
                if not batch:
                    return True
                draft = self._build_draft(job_id, batch)
                if draft is None:
                    return False
                if draft.facts:
                    continue  # queued while waiting; facts are written first
                if outcome_unknown:
                    # An unanswered transaction may still be applied, though quota and zones were
                    # counted without it. A new job version makes its conditions fail.
                    draft.touch()
                if not draft.puts and not draft.deletes:
                    return True
                try:
                    ok = await self.commit(
                        draft.conditions, draft.puts, draft.deletes, priority=None
                    )
                    break
                except (Unavailable, TimeoutError) as error:
                    log.debug("commit of %s: %s", job_id, error)
                    await backoff.pause()
                except (TooLarge, RequestRejected) as error:
                    # A retry would be refused again.
                    log.error(
                        "job %s: dropping changes that can never be committed: %s", job_id, error
                    )
                    return False
                except OutcomeUnknown as error:
                    # The transaction may be applied late, so read back first. In any case the
                    # version conditions admit at most one of it and its successor.
                    log.debug("commit of %s: %s", job_id, error)
                    outcome_unknown = True
                    await self._read_back(backoff)
            if ok:
                return True
        log.info(
            "job %s: dropping changes after %d conflicting attempts", job_id, c.MAX_COMMIT_TRIES
        )
        return False

    def _is_journaled(self, job_id: str) -> bool:
        job = self.replica.jobs.get(job_id)
        return job is not None and job.is_journaled

    def _highest_priority(self, changes: list[Change]) -> WritePriority:
        return min((priority for _, priority, _ in changes), default=WritePriority.BACKGROUND)

    def _build_draft(self, job_id: str, batch: list[Change]) -> Draft | None:
        """Drafts the changes to the newest record; None if the job is unknown or fully over."""
        job = self.replica.jobs.get(job_id)
        if job is None or job.spec is None:
            return None
        draft = Draft(job, self.replica, self.limits, self._clock.wall())
        for mutate, _, _ in batch:
            mutate(draft)
        draft.finish()
        return draft

    def _is_empty(self, draft: Draft | None) -> bool:
        return draft is not None and not (draft.facts or draft.puts or draft.deletes)

    async def _append_facts(self, job_id: str, batch: list[Change]) -> bool:
        """Makes the task state changes of the batch and of pending changes durable."""

        def make_draft() -> Draft | None:
            batch.extend(self._pending_changes.pop(job_id, []))
            return self._build_draft(job_id, batch)

        if self.journal is None:
            log.error("job %s is journaled but this node has no journal writer", job_id)
            return False
        queued = self._pending_changes.get(job_id, [])
        return await self.journal.append(
            job_id, make_draft, self._highest_priority([*batch, *queued])
        )

    async def _read_back(self, backoff: Backoff) -> None:
        while True:
            try:
                await self.ensure_fresh()
                return
            except Unavailable:
                await backoff.pause()


async def forever(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """Repeats `step` forever. Failures are logged and followed by a pause."""
    while True:
        try:
            await step()
        except (Unavailable, OutcomeUnknown, LeaseLost, TimeoutError) as error:
            log.debug("%s: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
        except (TooLarge, RequestRejected) as error:
            log.error("%s: change can never be committed: %s", name, error)
            await asyncio.sleep(c.LOOP_PAUSE_S)
        except Exception:  # an unexpected error must not end the loop
            log.exception("%s failed; retrying after a pause", name)
            await asyncio.sleep(c.LOOP_PAUSE_S)
