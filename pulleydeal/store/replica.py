"""In-memory copy of the scheduler's records in the state service, with indexes."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from pulleydeal.store import facts
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.fact_merger import FactMerger
from pulleydeal.store.job import VERSION_NOT_KEPT, Job
from pulleydeal.store.jobs import Jobs
from pulleydeal.store.pipelines import Pipelines
from pulleydeal.store.retired_jobs import RetiredJobs
from pulleydeal.store.task_index import TaskIndex
from pulleydeal.store.waiters import RevisionWaiters

log = logging.getLogger("pulleydeal.store")


@dataclass(slots=True)
class Machine:
    id: str
    version: int
    record: r.MachineRecord


@dataclass(slots=True)
class Rental:
    id: str
    version: int
    record: r.RentalRecord


@dataclass(slots=True)
class JournalValue:
    version: int
    facts: list[facts.Fact]


# Called with (kind, id). Kinds: view, member, software, job, machine, rental, catalog, feature,
# journal, and bound, whose id is a machine with changed bindings: with "bound", listeners need not
# scan all machines or all tasks of a changed job.
Listener = Callable[[str, str], None]


class Replica:
    """Read by plain attribute access on the event loop; each change is made under the lock."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        # Feature enabled on this node -> its records by name: (value, version). Records of other
        # features are not kept.
        self._features: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._waiters = RevisionWaiters()
        self.job_changes = 0  # incremented when a job record changes, and on each reload
        self._clear()

    def _clear(self, retired: RetiredJobs | None = None) -> None:
        self.revision = 0
        self.loaded = False
        self.jobs = Jobs(retired)
        # Jobs that are not retired, whatever their status: their records still have the spec.
        self.jobs_with_spec: set[str] = set()
        # Cancelled jobs among those: some of their tasks may not be proved gone.
        self.cancelled_jobs: set[str] = set()
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, Rental] = {}
        self.members: dict[str, str] = {}  # member -> incarnation
        self.member_formats: dict[str, int] = {}  # member -> its release's record format
        self.node_formats: dict[str, int] = {}  # the same of each node, member or not
        self.node_features: dict[str, dict[str, int]] = {}  # node -> its enabled features
        for records in self._features.values():
            records.clear()
        self.view = r.View()
        self.view_version = 0
        self.catalog = r.Catalog()
        self.extra_types: dict[str, r.Catalog] = {}  # more types, under keys of their own
        self.types: dict[str, r.MachineType] = {}
        self._tasks = TaskIndex()
        self.tasks_by_machine = self._tasks.by_machine
        self.zone_of: dict[str, str] = {}  # machine -> zone
        self.job_changes += 1
        self._pipelines = Pipelines(self.jobs)
        self._loading = False  # a page is being loaded
        self._affected_jobs: set[str] = set()  # changed by facts or other jobs; to be notified
        # "<process start>/<position in its journal>" -> value
        self.journals: dict[str, JournalValue] = {}
        self._facts = FactMerger(self.jobs, self._tasks)
        self._versions: dict[str, int] = {}  # key -> version
        # Deleted key -> version of its delete, until the replica's revision has reached it.
        self._deleted: dict[str, int] = {}

    def track_feature(self, feature: str) -> dict[str, tuple[bytes, int]]:
        """Keeps this feature's records; those that came before are missing until the next load.

        Returns the dict that holds them.
        """
        return self._features.setdefault(feature, {})

    def version(self, key: str) -> int:
        """The version for a commit's condition on this key; 0 if the key is absent.

        VERSION_NOT_KEPT for the record of a retired job: no commit with that is sent.
        """
        job_id = r.job_of(key)
        if job_id is not None and job_id in self.jobs.retired:
            return VERSION_NOT_KEPT
        return self._versions.get(key, 0)

    def add_listener(self, listener: Listener) -> None:
        self._listeners.append(listener)

    # --- changes ------------------------------------------------------------------------
    def begin_load(self, retired: RetiredJobs | None = None) -> None:
        """Drops everything. `retired`: the jobs that have been read already (store/snapshot.py)."""
        with self._lock:
            self._clear(retired)

    def load(self, items: list[m.Entry]) -> None:
        with self._lock:
            self._loading = True
            for item in items:
                self._put(item.key, bytes(item.value), item.version)
            self._loading = False

    def end_load(self, revision: int) -> None:
        with self._lock:
            self._pipelines.load(self.jobs.in_full())
            self.jobs.retired.end_load()
            self.revision = revision
            self.loaded = True
        self._notify([("view", ""), ("member", "")])
        self._waiters.wake(self.revision)

    def apply(self, changes: m.Changes) -> None:
        touched = []
        with self._lock:
            for event in changes.events:
                if event.put is not None:
                    touched.append(self._put(event.put, bytes(event.value), event.version))
                elif event.delete is not None:
                    touched.append(self._delete(event.delete, event.version))
            self.revision = max(self.revision, changes.revision)
            delivered = [k for k, version in self._deleted.items() if version <= self.revision]
            for key in delivered:
                del self._deleted[key]
            self._facts.drop_before(self.revision)
        self._notify([t for t in touched if t is not None])
        if self.loaded:
            self._waiters.wake(self.revision)

    def apply_commit(self, puts: dict[str, bytes], deletes: list[str], version: int) -> None:
        """Applies this node's own committed transaction before the state service's watch does."""
        touched = []
        with self._lock:
            for key, value in puts.items():
                touched.append(self._put(key, value, version))
            for key in deletes:
                touched.append(self._delete(key, version))
        self._notify([t for t in touched if t is not None])

    def _put(self, key: str, value: bytes, version: int) -> tuple[str, str] | None:
        # Own commits are applied before the watch delivers them, and a loaded page may be newer
        # than the events replayed after it, so an older version must not replace a newer one.
        # A key deleted by this node must not reappear while the watch catches up.
        if version <= max(self._versions.get(key, 0), self._deleted.get(key, 0)):
            return None
        kind, _, suffix = key.removeprefix(r.KEY_PREFIX).partition("/")  # see store/records.py
        if kind in ("j", "c") and suffix.partition("/")[0] in self.jobs.retired:
            return None  # late: a slim record is the last one of its job, and it has no chunks
        self._versions[key] = version
        if kind == "j":
            self._set_job(suffix, r.JOB.decode(value), version)
            return "job", suffix
        if kind == "c":
            name, _, index = suffix.partition("/")
            tasks = r.CHUNK.decode(value)
            self._tasks.set_chunk(self.jobs.get_or_add(name), int(index, 16), tasks, version)
            return "job", name
        if kind == "l":
            self._set_journal(suffix, facts.FACTS.decode(value), version)
            return "journal", suffix
        if kind == "m":
            self.machines[suffix] = Machine(suffix, version, r.MACHINE.decode(value))
            self.zone_of[suffix] = self.machines[suffix].record.zone
            return "machine", suffix
        if kind == "r":
            self.rentals[suffix] = Rental(suffix, version, r.RENTAL.decode(value))
            return "rental", suffix
        if kind == "n":
            member = r.MEMBER.decode(value)
            self.members[suffix] = member.incarnation
            self.member_formats[suffix] = member.format
            return "member", suffix
        if kind == "s":
            software = r.SOFTWARE.decode(value)
            self.node_formats[suffix], self.node_features[suffix] = (
                software.format,
                software.features,
            )
            return "software", suffix
        if kind == "f":
            feature, _, name = suffix.partition("/")
            if feature not in self._features:
                return None
            self._features[feature][name] = (value, version)
            return "feature", suffix
        if kind == "view":
            self.view = r.VIEW_DECODER.decode(value)
            self.view_version = version
            return "view", ""
        if kind == "catalog":
            self.catalog = r.CATALOG_DECODER.decode(value)
            return self._update_types()
        if kind == "t":
            self.extra_types[suffix] = r.CATALOG_DECODER.decode(value)
            return self._update_types()
        return None

    def _delete(self, key: str, version: int) -> tuple[str, str] | None:
        if version <= self._versions.get(key, 0):
            return None
        self._versions.pop(key, None)
        self._deleted[key] = version
        kind, _, suffix = key.removeprefix(r.KEY_PREFIX).partition("/")  # see store/records.py
        if kind == "c":
            name, _, index = suffix.partition("/")
            job = self.jobs.get(name)
            if job is not None:
                self._tasks.drop_chunk(job, int(index, 16))
            return "job", name
        if kind == "l":
            self.journals.pop(suffix, None)
            return "journal", suffix
        if kind == "m":
            self.machines.pop(suffix, None)
            self.zone_of.pop(suffix, None)
            return "machine", suffix
        if kind == "r":
            self.rentals.pop(suffix, None)
            return "rental", suffix
        if kind == "n":
            self.members.pop(suffix, None)
            self.member_formats.pop(suffix, None)
            return "member", suffix
        if kind == "t":
            self.extra_types.pop(suffix, None)
            return self._update_types()
        if kind == "f":
            feature, _, name = suffix.partition("/")
            if self._features.get(feature, {}).pop(name, None) is not None:
                return "feature", suffix
        return None

    def _update_types(self) -> tuple[str, str]:
        extra = [t for _, catalog in sorted(self.extra_types.items()) for t in catalog.types]
        self.types = {t.name: t for t in [*self.catalog.types, *extra]}
        return "catalog", ""

    def _set_job(self, job_id: str, record: r.JobRecord, version: int) -> None:
        job = self.jobs.get_or_add(job_id)
        if record.spec is not None:
            self.jobs_with_spec.add(job_id)
        else:
            self._forget_tasks(job)
        if record.spec is not None and record.state == "cancelled":
            self.cancelled_jobs.add(job_id)
        else:
            self.cancelled_jobs.discard(job_id)
        self._tasks.add_usage(job, -job.bound)
        job.version = version
        job.record = record
        if record.spec is None or job.spec is None:
            job.spec = record.spec
        self._tasks.add_usage(job, job.bound)  # chunks may be loaded before the record of their job
        if not self._loading:  # else `end_load` does it for all jobs at once
            self._affected_jobs |= self._pipelines.update(job)
        self.job_changes += 1
        if record.spec is not None:
            self._affected_jobs |= self._facts.merge_before_job(job_id)
        else:
            self._versions.pop(r.job_key(job_id), None)
            self.jobs.retire(job, self._loading)

    def _forget_tasks(self, job: Job) -> None:
        """Drops the tasks of a retired job, of which only the slim record is left."""
        for chunk_index in list(job.chunks):
            self._tasks.drop_chunk(job, chunk_index)
            self._versions.pop(r.chunk_key(job.id, chunk_index), None)
        self.jobs_with_spec.discard(job.id)
        self._facts.forget(job.id)

    def _set_journal(self, name: str, new_facts: list[facts.Fact], version: int) -> None:
        self.journals[name] = JournalValue(version, new_facts)
        self._affected_jobs |= self._facts.merge(new_facts, version)

    def is_merged(self, job: str, index: int) -> bool:
        """Whether the state of a journaled job's task was merged from several facts."""
        return self._facts.is_merged(job, index)

    # --- waiting and notifying ----------------------------------------------------------
    async def wait_for_revision(self, revision: int) -> None:
        """Returns once the replica is at least as new as `revision`."""
        if not (self.loaded and self.revision >= revision):
            await self._waiters.add(revision)

    def _notify(self, touched: list[tuple[str, str]]) -> None:
        rebound = self._tasks.take_rebound_machines()
        affected, self._affected_jobs = self._affected_jobs, set()
        touched = list(dict.fromkeys([*touched, *(("job", job) for job in sorted(affected))]))
        touched += [("bound", machine) for machine in rebound]
        for kind, name in touched:
            for listener in self._listeners:
                listener(kind, name)

    # --- usage --------------------------------------------------------------------------
    def usage(self) -> dict[str, tuple[float, float]]:
        """(cpus, gpus) per team of all bound tasks, that is, those not proved gone.

        Proved gone: not running by its machine's report, or the machine is gone or its lease over.

        Updated as bindings change, since the cost of recounting grew with the number of tasks.
        """
        return self._tasks.usage
