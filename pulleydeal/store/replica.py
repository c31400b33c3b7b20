"""In-memory copy of the scheduler's records in the state service, with indexes."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.store import facts
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.job import Chunk, Job
from pulleydeal.store.pipelines import Pipelines
from pulleydeal.store.waiters import RevisionWaiters

log = logging.getLogger("pulleydeal.store")
TaskId = tuple[str, int]


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

    def _clear(self) -> None:
        self.revision = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
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
        self.tasks_by_machine: dict[str, dict[TaskId, r.Task]] = {}
        self.zone_of: dict[str, str] = {}  # machine -> zone
        self.job_changes += 1
        self._pipelines = Pipelines(self.jobs)
        self._loading = False  # a page is being loaded
        self._affected_jobs: set[str] = set()  # changed by facts or other jobs; to be notified
        self._usage: dict[str, tuple[float, float]] = {}  # team -> cpus, gpus of its bound tasks
        self._rebound_machines: set[str] = set()  # machines with changed bindings; to be notified
        # "<process start>/<position in its journal>" -> value
        self.journals: dict[str, JournalValue] = {}
        # Job -> its facts, while the job is not known: during a load, a journal value may be newer
        # than the pages with the jobs.
        self._facts_before_job: dict[str, list[facts.Fact]] = {}
        self._merged_tasks: dict[str, set[int]] = {}  # job -> tasks merged from several facts
        self._versions: dict[str, int] = {}  # key -> version
        # Deleted key -> version of its delete, until the replica's revision has reached it.
        self._deleted: dict[str, int] = {}

    def track_feature(self, feature: str) -> dict[str, tuple[bytes, int]]:
        """Keeps this feature's records; those that came before are missing until the next load.

        Returns the dict that holds them.
        """
        return self._features.setdefault(feature, {})

    def version(self, key: str) -> int:
        """The version for a commit's condition on this key; 0 if the key is absent."""
        return self._versions.get(key, 0)

    def add_listener(self, listener: Listener) -> None:
        self._listeners.append(listener)

    # --- changes ------------------------------------------------------------------------
    def begin_load(self) -> None:
        with self._lock:
            self._clear()

    def load(self, items: list[m.Entry]) -> None:
        with self._lock:
            self._loading = True
            for item in items:
                self._put(item.key, bytes(item.value), item.version)
            self._loading = False

    def end_load(self, revision: int) -> None:
        with self._lock:
            self._pipelines.load(self.jobs.values())
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
        self._versions[key] = version
        kind, _, suffix = key.removeprefix(r.KEY_PREFIX).partition("/")  # see store/records.py
        if kind == "j":
            self._set_job(suffix, r.JOB.decode(value), version)
            return "job", suffix
        if kind == "c":
            job, _, index = suffix.partition("/")
            self._set_chunk(job, int(index, 16), r.CHUNK.decode(value), version)
            return "job", job
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
            job, _, index = suffix.partition("/")
            self._drop_chunk(job, int(index, 16))
            return "job", job
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
        job = self.jobs.setdefault(job_id, Job(job_id))
        if record.spec is None:  # retired: only the slim record is left
            for index in list(job.chunks):
                self._drop_chunk(job_id, index)
            self.jobs_with_spec.discard(job_id)
            self._merged_tasks.pop(job_id, None)
        else:
            self.jobs_with_spec.add(job_id)
        if record.spec is not None and record.state == "cancelled":
            self.cancelled_jobs.add(job_id)
        else:
            self.cancelled_jobs.discard(job_id)
        self._add_usage(job, -job.bound)
        job.version = version
        job.record = record
        if record.spec is None or job.spec is None:
            job.spec = record.spec
        self._add_usage(job, job.bound)  # chunks may be loaded before the record of their job
        if not self._loading:  # else `end_load` does it for all jobs at once
            self._affected_jobs |= self._pipelines.update(job)
        self.job_changes += 1
        facts_before_job = self._facts_before_job.pop(job_id, None)
        if facts_before_job is not None:
            self._merge(facts_before_job)

    def _add_usage(self, job: Job, tasks: int) -> None:
        spec = job.spec
        if spec is not None and tasks:
            cpus, gpus = self._usage.get(spec.team, (0.0, 0.0))
            self._usage[spec.team] = (cpus + tasks * spec.cpus, gpus + tasks * spec.gpus)

    def _set_journal(self, name: str, new_facts: list[facts.Fact], version: int) -> None:
        self.journals[name] = JournalValue(version, new_facts)
        self._merge(new_facts)

    def _merge(self, new_facts: list[facts.Fact]) -> None:
        """Merges facts into task states. Order and repetition do not matter (store/facts.py)."""
        changed: dict[tuple[str, int], list[r.Task]] = {}
        for fact in new_facts:
            job = self.jobs.get(fact.job)
            if job is None or job.record is None:
                self._facts_before_job.setdefault(fact.job, []).append(fact)
                continue
            if job.record.spec is None:
                continue  # retired
            k, offset = divmod(fact.index, c.CHUNK_TASKS)
            tasks = changed.get((fact.job, k))
            if tasks is None:
                tasks = changed[(fact.job, k)] = self._copy_tasks(job, job.record.tasks, k)
            if offset < len(tasks):
                known = tasks[offset]
                tasks[offset] = facts.merge_tasks(known, fact.task)
                self._track_merged(fact, known, tasks[offset])
        for (job_id, k), tasks in changed.items():
            self._set_chunk(job_id, k, tasks, 0)  # 0: not a stored chunk
            self._affected_jobs.add(job_id)

    def _track_merged(self, fact: facts.Fact, known: r.Task, merged: r.Task) -> None:
        if merged == fact.task:
            self._merged_tasks.get(fact.job, set()).discard(fact.index)
        elif merged != known:
            self._merged_tasks.setdefault(fact.job, set()).add(fact.index)

    def is_merged(self, job: str, index: int) -> bool:
        """Whether the state of a journaled job's task was merged from several facts."""
        return index in self._merged_tasks.get(job, ())

    def _copy_tasks(self, job: Job, count: int, k: int) -> list[r.Task]:
        """A copy of a chunk's tasks, or tasks in their initial state if it is not stored yet."""
        chunk = job.chunks.get(k)
        if chunk is not None:
            return list(chunk.tasks)
        return [r.Task()] * min(c.CHUNK_TASKS, max(0, count - k * c.CHUNK_TASKS))

    def _set_chunk(self, job_id: str, chunk_index: int, tasks: list[r.Task], version: int) -> None:
        """Reindexes only the tasks that changed: most writes of a chunk change one or two."""
        job = self.jobs.setdefault(job_id, Job(job_id))
        old = job.chunks.get(chunk_index)
        before = old.tasks if old is not None else [r.Task()] * len(tasks)
        waiting = 0
        for offset, task in enumerate(tasks):
            waiting += not task.machine and not task.done
            previous = before[offset]
            if previous == task:
                continue
            task_index = chunk_index * c.CHUNK_TASKS + offset
            self._unindex(job, task_index, previous)
            job.done += task.done
            if not task.done:
                job.last_stop_reason = task.stop or task.why or job.last_stop_reason
            if task.machine:
                job.bound_tasks[task_index] = task
                self.tasks_by_machine.setdefault(task.machine, {})[(job_id, task_index)] = task
                self._rebound_machines.add(task.machine)
                self._add_usage(job, 1)
        job.chunks[chunk_index] = Chunk(version, tasks, waiting)

    def _drop_chunk(self, job_id: str, chunk_index: int) -> None:
        job = self.jobs.get(job_id)
        chunk = job.chunks.pop(chunk_index, None) if job is not None else None
        if job is not None and chunk is not None:
            for offset, task in enumerate(chunk.tasks):
                self._unindex(job, chunk_index * c.CHUNK_TASKS + offset, task)

    def _unindex(self, job: Job, task_index: int, task: r.Task) -> None:
        job.done -= task.done
        if task.machine:
            self._rebound_machines.add(task.machine)
            del job.bound_tasks[task_index]
            self._add_usage(job, -1)
            on_machine = self.tasks_by_machine[task.machine]
            del on_machine[(job.id, task_index)]
            if not on_machine:
                del self.tasks_by_machine[task.machine]

    # --- waiting and notifying ----------------------------------------------------------
    async def wait_for_revision(self, revision: int) -> None:
        """Returns once the replica is at least as new as `revision`."""
        if not (self.loaded and self.revision >= revision):
            await self._waiters.add(revision)

    def _notify(self, touched: list[tuple[str, str]]) -> None:
        rebound, self._rebound_machines = self._rebound_machines, set()
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
        return self._usage
