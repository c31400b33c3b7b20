"""Jobs that are over and whose tasks are all gone, in a few bytes each.

Their stored records keep only an outcome, which is final, with a task count and times that are
seldom asked for. So all that is held here of each is its final state. The records of the jobs that
ended last and of those that were asked for last are kept too; others are read when they are asked
for (`retired_records.py`).
"""

import heapq
from array import array
from collections import OrderedDict
from collections.abc import Iterable, Iterator

from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.store.job import VERSION_NOT_KEPT, Job
from pulleydeal.store.job_ids import JobIdSet, digits_of


class EndTimes:
    """End times of jobs that are done, kept only while records are loaded.

    Open jobs that wait on them need these times, but which jobs those are is known only at the end.
    The state service lists records in the order of their keys, so the times of ids with as many
    digits come in the order of these ids, and the rank of an id tells the place of its time. If
    records come in another order, all times are kept by id.
    """

    def __init__(self, done: JobIdSet) -> None:
        self._done = done
        self._by_length: dict[int, array[float]] = {}  # length of an id -> times in order of ids
        self._last: dict[int, str] = {}  # length of an id -> the last one that was added
        self._in_order = True
        self._by_id: dict[str, float] = {}

    def add(self, job_id: str, ended: float) -> None:
        """Called for each job that is done, right before its id is added to the set."""
        length = len(job_id)
        if self._in_order and job_id <= self._last.get(length, ""):
            self._by_id |= {done: self.get(done) for done in self._done}
            self._in_order = False
        if self._in_order and digits_of(job_id):
            self._last[length] = job_id
            self._by_length.setdefault(length, array("d")).append(ended)
        else:
            self._by_id[job_id] = ended

    def get(self, job_id: str) -> float:
        """When a job that is done ended: wall clock; 0: not recorded."""
        if job_id in self._by_id:
            return self._by_id[job_id]
        return self._by_length[len(job_id)][self._done.rank(job_id) - 1]


class RetiredJobs:
    """The final states of retired jobs, and some of their records."""

    def __init__(self) -> None:
        self._ids: dict[r.Status, JobIdSet] = {"done": JobIdSet(), "cancelled": JobIdSet()}
        self._records: OrderedDict[str, r.JobRecord] = OrderedDict()  # least recently used first
        # During a load:
        self._last_ended: list[tuple[float, str, r.JobRecord]] = []  # a heap
        self._end_times: EndTimes | None = EndTimes(self._ids["done"])

    def __len__(self) -> int:
        return sum(map(len, self._ids.values()))

    def __contains__(self, job_id: str) -> bool:
        return self._state(job_id) is not None

    def _state(self, job_id: str) -> r.Status | None:
        return next((state for state, ids in self._ids.items() if job_id in ids), None)

    def load(self, job_id: str, record: r.JobRecord) -> None:
        """Adds a job whose record was read while all records are loaded."""
        if not self._add(job_id, record):
            return
        item = (record.ended, job_id, record)
        if len(self._last_ended) < c.RETIRED_RECORDS_KEPT:
            heapq.heappush(self._last_ended, item)
        else:
            heapq.heappushpop(self._last_ended, item)

    def end_load(self) -> None:
        """Keeps the records of the jobs that ended last, and drops what only a load needs."""
        for _, job_id, record in sorted(self._last_ended):
            self._keep_record(job_id, record)
        self._last_ended = []
        self._end_times = None

    def add(self, job_id: str, record: r.JobRecord) -> None:
        """Adds a job that has retired just now."""
        if self._add(job_id, record):
            self._keep_record(job_id, record)

    def _add(self, job_id: str, record: r.JobRecord) -> bool:
        """Returns whether the job was not retired yet. What is known of one is final."""
        if job_id in self:
            return False
        if record.state == "done" and self._end_times is not None:
            self._end_times.add(job_id, record.ended)
        self._ids[record.state].add(job_id)
        return True

    def remember(self, job_id: str, record: r.JobRecord) -> None:
        """Keeps the stored record of a retired job until others are used instead."""
        if job_id in self and record.spec is None:
            self._keep_record(job_id, record)

    def _keep_record(self, job_id: str, record: r.JobRecord) -> None:
        self._records[job_id] = record
        self._records.move_to_end(job_id)
        if len(self._records) > c.RETIRED_RECORDS_KEPT:
            self._records.popitem(last=False)

    def job(self, job_id: str) -> Job | None:
        """The job as far as it is known here; None if it is not retired.

        `Job.is_record_kept` tells whether its record has the stored task count and times.
        """
        state = self._state(job_id)
        if state is None:
            return None
        record = self._records.get(job_id)
        if record is not None:
            self._records.move_to_end(job_id)
            return Job(job_id, VERSION_NOT_KEPT, record)
        ended = 0.0
        if state == "done" and self._end_times is not None:
            ended = self._end_times.get(job_id)
        partial = r.JobRecord(state, 0, ended=ended)
        return Job(job_id, VERSION_NOT_KEPT, partial, is_record_kept=False)

    def ids_after(self, job_id: str, states: Iterable[r.Status]) -> Iterator[str]:
        """The ids behind this one of jobs in these states, in the order of strings."""
        return heapq.merge(*(self._ids[state].after(job_id) for state in states))
