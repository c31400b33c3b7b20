"""A job record in the making: copy, change, and the transaction that writes the difference."""

import msgspec

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.facts import Fact
from pulleydeal.store.job import Job
from pulleydeal.store.limits import Limits
from pulleydeal.store.reasons import short
from pulleydeal.store.replica import Replica


class Draft:
    def __init__(self, job: Job, replica: Replica, limits: Limits, wall: float) -> None:
        assert job.record is not None and job.record.spec is not None
        self.job = job
        self.replica = replica
        self.spec = job.record.spec
        # Cancelled with a job that it needs: whatever is written next makes its record say so.
        self.status: r.Status = "cancelled" if job.is_cancelled else job.record.state
        # Of a journaled job: what is to be written to the journal before anything else of it.
        self.journaled = job.is_journaled
        self.facts: list[Fact] = []
        self.untold = job.record.untold
        self.conditions = {
            r.VIEW: replica.view_version,
            r.job_key(job.id): job.version,
        }
        self.puts: dict[str, object] = {}
        self.deletes: list[str] = []
        self._chunks: dict[int, list[r.Task]] = {}
        self._limits = limits
        self._wall = wall
        self._most_deletes = limits.ops - 1  # and the job's own record

    def task(self, index: int) -> r.Task:
        """The task as it stands in this draft, read only."""
        k, offset = divmod(index, c.CHUNK_TASKS)
        if k in self._chunks:
            return self._chunks[k][offset]
        return self.job.task(index)

    def edit(self, index: int) -> r.Task | None:
        """The task to change, or None when the transaction has no room for its chunk."""
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
        return len(self._chunks) < self._limits.chunks and self._more_conditions()

    def _more_conditions(self) -> bool:
        return len(self.conditions) < self._limits.conditions

    def require_machine(self, machine: str) -> bool:
        """The commit holds only while the machine's record stays as it is now."""
        record = self.replica.machines.get(machine)
        if record is None or record.record.state != "up":
            return False
        key = r.machine_key(machine)
        if key not in self.conditions and not self._more_conditions():
            return False
        self.conditions[key] = record.version
        return True

    def touch(self) -> None:
        """Writes the job's record even if it did not change, so that its mark moves."""
        key = r.job_key(self.job.id)
        if key in self.puts:
            return
        if self._limits.fits(msgspec.json.encode(self.job.record)):
            self.puts[key] = self.job.record
        else:
            # Written under larger limits. The view's mark is a condition of every change too.
            self.puts[r.VIEW] = self.replica.view

    def finish(self) -> None:
        """Works out the job's end and what has to be written."""
        done, bound = self.job.done, self.job.bound
        for k, tasks in self._chunks.items():
            old = self.job.chunks.get(k)
            before = old.tasks if old else []
            if tasks == before or (not before and all(t == r.Task() for t in tasks)):
                continue
            for task in tasks:
                # Reasons that an older version wrote in full shrink too, or it would not fit.
                task.why, task.stop = short(task.why), short(task.stop)
            if self.journaled:
                self.facts += self._changed_in(k, tasks, before)
            else:
                self.puts[r.chunk_key(self.job.id, k)] = tasks
            done += sum(t.done for t in tasks) - sum(t.done for t in before)
            bound += sum(bool(t.machine) for t in tasks) - sum(bool(t.machine) for t in before)
        if self.facts:
            return  # what follows from them for the job is worked out once they are durable
        record = self.job.record
        assert record is not None
        if self.status == "open" and done == self.spec.tasks:
            self.status = "done"
        ended = record.ended
        if self.status != "open" and record.state == "open":
            ended = self._wall
        # A binding that was written just before a cancellation may not be seen yet: its chunk
        # would stay behind the slim record for ever, and its machine would never be given back.
        # A journaled binding does not move the job's mark, so there any end must be seen first.
        just_cancelled = self.status == "cancelled" and not self.job.doomed
        just_over = just_cancelled or self.journaled
        unseen = just_over and (record.state == "open" or self.replica.revision < self.job.version)
        over = self.status != "open" and bound == 0 and not unseen
        if over and len(self.job.chunks) <= self._most_deletes:
            # Over and all gone: one slim record stays, so that its end is never forgotten.
            self.puts = {}
            self.deletes = [r.chunk_key(self.job.id, k) for k in self.job.chunks]
            slim = r.JobRecord(self.status, record.tasks, record.at, None, ended)
            self.puts[r.job_key(self.job.id)] = slim
        elif over and record.state != "open":
            # Too many chunks for one transaction; the end is durable, so they may go one by one.
            first = sorted(self.job.chunks)[: self._most_deletes]
            self.puts = {}
            self.deletes = [r.chunk_key(self.job.id, k) for k in first]
        elif self.status != record.state or self.untold != record.untold:
            self.puts[r.job_key(self.job.id)] = self._ended(record, ended)

    def _changed_in(self, k: int, tasks: list[r.Task], before: list[r.Task]) -> list[Fact]:
        known = before or [r.Task()] * len(tasks)
        first = k * c.CHUNK_TASKS
        return [
            Fact(self.job.id, first + offset, task)
            for offset, task in enumerate(tasks)
            if task != known[offset]
        ]

    def _ended(self, record: r.JobRecord, ended: float) -> r.JobRecord:
        """Over, with tasks not proved gone: their description is still needed to count them."""
        status = r.written(self.status, self.journaled)
        new = r.JobRecord(status, record.tasks, record.at, self.spec, ended, self.untold)
        if not self._limits.fits(msgspec.json.encode(new)):
            # Accepted under larger limits: what only a start needs is not needed any more.
            new.spec = msgspec.structs.replace(
                self.spec, klass="", image="", types=None, zone=None, waits_on=[]
            )
        return new
