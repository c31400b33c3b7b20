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
        # A job whose dependency was cancelled is cancelled too; its next write records that.
        self.status: r.Status = "cancelled" if job.is_cancelled else job.record.state
        self.journaled = job.is_journaled
        # Journaled jobs only: facts that must be in the journal before anything else is written.
        self.facts: list[Fact] = []
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
        self._max_deletes = limits.ops - 1  # one change is left for the job record

    def task(self, index: int) -> r.Task:
        """The task as it stands in this draft; read-only."""
        k, offset = divmod(index, c.CHUNK_TASKS)
        if k in self._chunks:
            return self._chunks[k][offset]
        return self.job.task(index)

    def edit(self, index: int) -> r.Task | None:
        """An editable copy of the task, or None if the transaction has no room for its chunk."""
        k, offset = divmod(index, c.CHUNK_TASKS)
        if k not in self._chunks:
            if not self._room_for_chunk():
                return None
            old = self.job.chunks.get(k)
            if old is None:
                size = min(c.CHUNK_TASKS, self.spec.tasks - k * c.CHUNK_TASKS)
                self._chunks[k] = [r.Task() for _ in range(size)]
            else:
                self._chunks[k] = [msgspec.structs.replace(task) for task in old.tasks]
            if not self.journaled:
                self.conditions[r.chunk_key(self.job.id, k)] = old.version if old else 0
        return self._chunks[k][offset]

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
        """Writes the job's record even if it is unchanged, so that its version changes."""
        key = r.job_key(self.job.id)
        if key in self.puts:
            return
        if self._limits.fits(msgspec.json.encode(self.job.record)):
            self.puts[key] = self.job.record
        else:
            # The record was written under larger limits and no longer fits. Every draft is also
            # conditional on the view's version, so rewriting the view has the same effect.
            self.puts[r.VIEW_KEY] = self.replica.view

    def finish(self) -> None:
        """Determines whether the job is over, and what has to be written."""
        done, bound = self.job.done, self.job.bound
        for k, tasks in self._chunks.items():
            old = self.job.chunks.get(k)
            before = old.tasks if old else []
            if tasks == before or (not before and all(t == r.Task() for t in tasks)):
                continue
            for task in tasks:
                # An older version wrote reasons in full; unless shortened, they may not fit.
                task.why, task.stop = reason_code(task.why), reason_code(task.stop)
            if self.journaled:
                self.facts += self._changed_facts(k, tasks, before)
            else:
                self.puts[r.chunk_key(self.job.id, k)] = tasks
            done += sum(t.done for t in tasks) - sum(t.done for t in before)
            bound += sum(bool(t.machine) for t in tasks) - sum(bool(t.machine) for t in before)
        if self.facts:
            return  # the job's record is updated once these are durable
        record = self.job.record
        assert record is not None
        if self.status == "open" and done == self.spec.tasks:
            self.status = "done"
        ended = record.ended
        if self.status != "open" and record.state == "open":
            ended = self._wall
        # A binding committed just before a cancellation may not be in the replica yet. With the
        # slim record written now, its chunk would remain forever and its machine would never be
        # released. A journaled binding does not change the job's version, so for a journaled job
        # any end must be in the replica first.
        just_cancelled = self.status == "cancelled" and not self.job.dependency_cancelled
        just_ended = just_cancelled or self.journaled
        replica_may_lag = just_ended and (
            record.state == "open" or self.replica.revision < self.job.version
        )
        is_retired = self.status != "open" and bound == 0 and not replica_may_lag
        if is_retired and len(self.job.chunks) <= self._max_deletes:
            # Over, and all its tasks are gone: a slim record remains, so its outcome is kept.
            self.puts = {}
            self.deletes = [r.chunk_key(self.job.id, k) for k in self.job.chunks]
            slim = r.JobRecord(self.status, record.tasks, record.at, None, ended)
            self.puts[r.job_key(self.job.id)] = slim
        elif is_retired and record.state != "open":
            # Too many chunks for one transaction; as the end is durable, delete them in batches.
            first = sorted(self.job.chunks)[: self._max_deletes]
            self.puts = {}
            self.deletes = [r.chunk_key(self.job.id, k) for k in first]
        elif self.status != record.state or self.untold != record.untold:
            self.puts[r.job_key(self.job.id)] = self._job_record(record, ended)

    def _changed_facts(self, k: int, tasks: list[r.Task], before: list[r.Task]) -> list[Fact]:
        known = before or [r.Task()] * len(tasks)
        first = k * c.CHUNK_TASKS
        return [
            Fact(self.job.id, first + offset, task)
            for offset, task in enumerate(tasks)
            if task != known[offset]
        ]

    def _job_record(self, record: r.JobRecord, ended: float) -> r.JobRecord:
        """The new record, with the spec: it is needed to count tasks that are not proved gone."""
        status = r.stored_status(self.status, self.journaled)
        new = r.JobRecord(status, record.tasks, record.at, self.spec, ended, self.untold)
        if not self._limits.fits(msgspec.json.encode(new)):
            # Accepted under larger limits: drop what is only needed to start tasks.
            new.spec = msgspec.structs.replace(
                self.spec, klass="", image="", types=None, zone=None, waits_on=[]
            )
        return new
