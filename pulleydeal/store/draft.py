"""A pending change of a job: an editable copy, and the transaction that writes the difference."""

import msgspec

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.facts import Fact
from pulleydeal.store.job import Job
from pulleydeal.store.limits import Limits
from pulleydeal.store.reasons import reason_code
from pulleydeal.store.replica import Replica


class Draft:
    """Collects the changes to one job that go into one transaction."""

    def __init__(self, job: Job, replica: Replica, limits: Limits, wall: float) -> None:
        assert job.record is not None and job.record.spec is not None
        self.job = job
        self.replica = replica
        self.spec = job.record.spec
        # A job whose dependency was cancelled is cancelled too; the next write of its record
        # stores that.
        self.status: r.Status = "cancelled" if job.is_cancelled else job.record.state
        self.journaled = job.is_journaled
        # Task changes of a journaled job go to the journal of this node as facts, not to chunks.
        # They must be in the journal before anything else of this draft is written.
        self.facts: list[Fact] = []
        # Whether the job is cancelled and the cancellation is not confirmed to its user yet.
        self.untold = job.record.untold
        self.conditions = {
            r.VIEW_KEY: replica.view_version,
            r.job_key(job.id): job.version,
        }
        self.puts: dict[str, object] = {}
        self.deletes: list[str] = []
        self._chunks: dict[int, list[r.Task]] = {}
        self._limits = limits
        self._wall = wall
        self._max_deletes = limits.ops - 1  # one operation is reserved for the job record

    def task(self, index: int) -> r.Task:
        """The task as it stands in this draft; read-only."""
        chunk_index, offset = divmod(index, c.CHUNK_TASKS)
        if chunk_index in self._chunks:
            return self._chunks[chunk_index][offset]
        return self.job.task(index)

    def edit(self, index: int) -> r.Task | None:
        """An editable copy of the task, or None if the transaction has no room for its chunk."""
        chunk_index, offset = divmod(index, c.CHUNK_TASKS)
        if chunk_index not in self._chunks:
            if not self._room_for_chunk():
                return None
            old = self.job.chunks.get(chunk_index)
            if old is None:
                size = min(c.CHUNK_TASKS, self.spec.tasks - chunk_index * c.CHUNK_TASKS)
                self._chunks[chunk_index] = [r.Task() for _ in range(size)]
            else:
                self._chunks[chunk_index] = [msgspec.structs.replace(task) for task in old.tasks]
            if not self.journaled:
                self.conditions[r.chunk_key(self.job.id, chunk_index)] = old.version if old else 0
        return self._chunks[chunk_index][offset]

    def _room_for_chunk(self) -> bool:
        if self.journaled:
            return len(self._chunks) < c.JOURNAL_DRAFT_CHUNKS
        return len(self._chunks) < self._limits.chunks and self._room_for_condition()

    def _room_for_condition(self) -> bool:
        return len(self.conditions) < self._limits.conditions

    def require_machine(self, machine: str) -> bool:
        """Makes the commit conditional on the machine's record staying unchanged.

        Returns False if the machine is not up or the transaction has no room for the condition.
        """
        record = self.replica.machines.get(machine)
        if record is None or record.record.state != "up":
            return False
        key = r.machine_key(machine)
        if key not in self.conditions and not self._room_for_condition():
            return False
        self.conditions[key] = record.version
        return True

    def touch(self) -> None:
        """Writes the job's record even if it is unchanged, so that its version changes.

        Concurrent changes of the job, which are conditional on that version, then fail.
        """
        key = r.job_key(self.job.id)
        if key in self.puts:
            return
        if self._limits.fits(msgspec.json.encode(self.job.record)):
            self.puts[key] = self.job.record
        else:
            # The record was written while the state service allowed larger values, and no longer
            # fits. Every draft is also conditional on the view's version, so rewriting the view
            # has the same effect, though on the drafts of all jobs.
            self.puts[r.VIEW_KEY] = self.replica.view

    def finish(self) -> None:
        """Determines whether the job has ended (done or cancelled), and what has to be written."""
        done, bound = self.job.done, self.job.bound
        for chunk_index, tasks in self._chunks.items():
            old = self.job.chunks.get(chunk_index)
            before = old.tasks if old else []
            if tasks == before or (not before and all(t == r.Task() for t in tasks)):
                continue
            for task in tasks:
                # An older release stored reasons as sentences; with those the chunk may not fit.
                # `why`: why the last attempt ended; `stop`: why this one is to be stopped.
                task.why, task.stop = reason_code(task.why), reason_code(task.stop)
            if self.journaled:
                self.facts += self._changed_facts(chunk_index, tasks, before)
            else:
                self.puts[r.chunk_key(self.job.id, chunk_index)] = tasks
            done += sum(t.done for t in tasks) - sum(t.done for t in before)
            bound += sum(bool(t.machine) for t in tasks) - sum(bool(t.machine) for t in before)
        if self.facts:
            return  # the job's record is updated once these are in the journal
        record = self.job.record
        assert record is not None
        if self.status == "open" and done == self.spec.tasks:
            self.status = "done"
        ended = record.ended
        if self.status != "open" and record.state == "open":
            ended = self._wall
        # A binding that was committed just before a cancellation may be missing from the replica.
        # If the slim record were written now, the chunk with that binding would remain forever and
        # its machine would never be released. So first the cancellation is recorded, and the
        # replica must have reached its revision. A journaled binding does not change the version
        # of the job's record, so the same holds for any end of a journaled job.
        cancelled_directly = self.status == "cancelled" and not self.job.dependency_cancelled
        end_must_be_in_replica = cancelled_directly or self.journaled
        replica_may_lag = end_must_be_in_replica and (
            record.state == "open" or self.replica.revision < self.job.version
        )
        can_retire = self.status != "open" and bound == 0 and not replica_may_lag
        if can_retire and len(self.job.chunks) <= self._max_deletes:
            # Ended, with all tasks gone: only a slim record (without the spec) remains, for the
            # outcome.
            self.puts = {}
            self.deletes = [
                r.chunk_key(self.job.id, chunk_index) for chunk_index in self.job.chunks
            ]
            slim = r.JobRecord(self.status, record.tasks, record.at, None, ended)
            self.puts[r.job_key(self.job.id)] = slim
        elif can_retire and record.state != "open":
            # Too many chunks for one transaction. The record already says that the job has ended,
            # so they can be deleted in batches.
            first = sorted(self.job.chunks)[: self._max_deletes]
            self.puts = {}
            self.deletes = [r.chunk_key(self.job.id, chunk_index) for chunk_index in first]
        elif self.status != record.state or self.untold != record.untold:
            self.puts[r.job_key(self.job.id)] = self._job_record(record, ended)

    def _changed_facts(
        self, chunk_index: int, tasks: list[r.Task], before: list[r.Task]
    ) -> list[Fact]:
        known = before or [r.Task()] * len(tasks)
        first = chunk_index * c.CHUNK_TASKS
        return [
            Fact(self.job.id, first + offset, task)
            for offset, task in enumerate(tasks)
            if task != known[offset]
        ]

    def _job_record(self, record: r.JobRecord, ended: float) -> r.JobRecord:
        """The new record. It keeps the spec, which is needed to count tasks not proved gone."""
        status = r.stored_status(self.status, self.journaled)
        new = r.JobRecord(status, record.tasks, record.at, self.spec, ended, self.untold)
        if not self._limits.fits(msgspec.json.encode(new)):
            # Accepted while larger values were allowed: drop what is only needed to start tasks.
            new.spec = msgspec.structs.replace(
                self.spec, klass="", image="", types=None, zone=None, waits_on=[]
            )
        return new
