"""A watched copy of everything the state service holds for us, with the indexes we need."""

import asyncio
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


# (kind, id): view, member, software, job, machine, rental, catalog, feature, journal; `bound` names
# a machine whose bindings changed, so that nobody has to look at all machines or at all tasks of a
# job.
Listener = Callable[[str, str], None]


class Replica:
    """Reads are plain attribute access on the event loop; changes happen under the lock."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        # Feature that is on -> its records by name, with their versions. What belongs to others
        # is not kept.
        self._features: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []
        self.open_changes = 0  # moves whenever a job opens or ends, and when all is read anew
        self._clear()

    def _clear(self) -> None:
        self.revision = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
        self.open_jobs: set[str] = set()
        # Cancelled ones of these: tasks of theirs are not proved gone.
        self.cancelled_jobs: set[str] = set()
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, Rental] = {}
        self.members: dict[str, str] = {}
        self.formats: dict[str, int] = {}  # member -> records that its version keeps
        self.software: dict[str, int] = {}  # node -> the same, durably, also while it is away
        self.shown: dict[str, dict[str, int]] = {}  # node -> features that it has on
        for kept in self._features.values():
            kept.clear()
        self.view = r.View()
        self.view_version = 0
        self.catalog = r.Catalog()
        self.more_types: dict[str, r.Catalog] = {}  # that the catalogue's value can't hold
        self.types: dict[str, r.MachineType] = {}
        self.bound: dict[str, dict[TaskId, r.Task]] = {}
        self.zone_of: dict[str, str] = {}  # machine -> zone
        self.open_changes += 1
        self._pipelines = Pipelines(self.jobs)
        self._led: set[str] = set()  # jobs that another job's change concerns, not yet told
        self._used: dict[str, tuple[float, float]] = {}  # team -> cpus, gpus of all bound
        self._rebound: set[str] = set()  # machines whose bindings changed since last told
        # Journal values by start and place, and facts of jobs that are not known yet: on a load
        # a value may be read that is newer than what was read of the jobs.
        self.journals: dict[str, JournalValue] = {}
        self._early: dict[str, list[facts.Fact]] = {}
        self._combined: dict[str, set[int]] = {}  # tasks whose state no single fact tells
        self._versions: dict[str, int] = {}
        self._deleted: dict[str, int] = {}

    def keep_feature(self, feature: str) -> dict[str, tuple[bytes, int]]:
        """From the next load on, that feature's records are kept; they show in the result."""
        return self._features.setdefault(feature, {})

    def version(self, key: str) -> int:
        """The version that a commit which read this key is conditional on; 0: it is absent."""
        return self._versions.get(key, 0)

    def listen(self, listener: Listener) -> None:
        self._listeners.append(listener)

    # --- changes ------------------------------------------------------------------------
    def begin_load(self) -> None:
        with self._lock:
            self._clear()

    def load(self, items: list[m.Entry]) -> None:
        with self._lock:
            for item in items:
                self._put(item.key, bytes(item.value), item.version)

    def end_load(self, revision: int) -> None:
        with self._lock:
            self.revision = revision
            self.loaded = True
        self._notify([("view", ""), ("member", "")])
        self._release()

    def apply(self, changes: m.Changes) -> None:
        touched = []
        with self._lock:
            for event in changes.events:
                if event.put is not None:
                    touched.append(self._put(event.put, bytes(event.value), event.version))
                elif event.delete is not None:
                    touched.append(self._delete(event.delete, event.version))
            self.revision = max(self.revision, changes.revision)
            passed = [k for k, version in self._deleted.items() if version <= self.revision]
            for key in passed:
                del self._deleted[key]
        self._notify([t for t in touched if t is not None])
        self._release()

    def committed(self, puts: dict[str, bytes], deletes: list[str], version: int) -> None:
        """Our own transaction succeeded: show it before the watch brings it."""
        touched = []
        with self._lock:
            for key, value in puts.items():
                touched.append(self._put(key, value, version))
            for key in deletes:
                touched.append(self._delete(key, version))
        self._notify([t for t in touched if t is not None])

    def _put(self, key: str, value: bytes, version: int) -> tuple[str, str] | None:
        # Own commits are applied before the watch delivers them, and a page may be newer than
        # the events after it: an older version never replaces a newer one.
        # A key we deleted ourselves must not come back while the watch still catches up.
        if version <= max(self._versions.get(key, 0), self._deleted.get(key, 0)):
            return None
        self._versions[key] = version
        kind, _, rest = key.removeprefix(r.PREFIX).partition("/")
        if kind == "j":
            self._set_job(rest, r.JOB.decode(value), version)
            return "job", rest
        if kind == "c":
            job, _, index = rest.partition("/")
            self._set_chunk(job, int(index, 16), r.CHUNK.decode(value), version)
            return "job", job
        if kind == "l":
            self._set_journal(rest, facts.FACTS.decode(value), version)
            return "journal", rest
        if kind == "m":
            self.machines[rest] = Machine(rest, version, r.MACHINE.decode(value))
            self.zone_of[rest] = self.machines[rest].record.zone
            return "machine", rest
        if kind == "r":
            self.rentals[rest] = Rental(rest, version, r.RENTAL.decode(value))
            return "rental", rest
        if kind == "n":
            member = r.MEMBER.decode(value)
            self.members[rest] = member.incarnation
            self.formats[rest] = member.format
            return "member", rest
        if kind == "s":
            software = r.SOFTWARE.decode(value)
            self.software[rest], self.shown[rest] = software.format, software.features
            return "software", rest
        if kind == "f":
            feature, _, name = rest.partition("/")
            if feature not in self._features:
                return None
            self._features[feature][name] = (value, version)
            return "feature", rest
        if kind == "view":
            self.view = r.VIEW_DECODER.decode(value)
            self.view_version = version
            return "view", ""
        if kind == "catalog":
            self.catalog = r.CATALOG_DECODER.decode(value)
            return self._know_types()
        if kind == "t":
            self.more_types[rest] = r.CATALOG_DECODER.decode(value)
            return self._know_types()
        return None

    def _delete(self, key: str, version: int) -> tuple[str, str] | None:
        if version <= self._versions.get(key, 0):
            return None
        self._versions.pop(key, None)
        self._deleted[key] = version
        kind, _, rest = key.removeprefix(r.PREFIX).partition("/")
        if kind == "c":
            job, _, index = rest.partition("/")
            self._drop_chunk(job, int(index, 16))
            return "job", job
        if kind == "l":
            self.journals.pop(rest, None)
            return "journal", rest
        if kind == "m":
            self.machines.pop(rest, None)
            self.zone_of.pop(rest, None)
            return "machine", rest
        if kind == "r":
            self.rentals.pop(rest, None)
            return "rental", rest
        if kind == "n":
            self.members.pop(rest, None)
            self.formats.pop(rest, None)
            return "member", rest
        if kind == "t":
            self.more_types.pop(rest, None)
            return self._know_types()
        if kind == "f":
            feature, _, name = rest.partition("/")
            if self._features.get(feature, {}).pop(name, None) is not None:
                return "feature", rest
        return None

    def _know_types(self) -> tuple[str, str]:
        more = [t for _, part in sorted(self.more_types.items()) for t in part.types]
        self.types = {t.name: t for t in [*self.catalog.types, *more]}
        return "catalog", ""

    def _set_job(self, job_id: str, record: r.JobRecord, version: int) -> None:
        job = self.jobs.setdefault(job_id, Job(job_id))
        if record.spec is None:
            for index in list(job.chunks):
                self._drop_chunk(job_id, index)
            self.open_jobs.discard(job_id)
            self._combined.pop(job_id, None)
        else:
            self.open_jobs.add(job_id)
        if record.spec is not None and record.state == "cancelled":
            self.cancelled_jobs.add(job_id)
        else:
            self.cancelled_jobs.discard(job_id)
        self._account(job, -job.bound)
        job.version = version
        job.record = record
        if record.spec is None:
            job.spec = None
        self._led |= self._pipelines.changed(job)
        self._account(job, job.bound)  # chunks may be read before their job's description
        self.open_changes += 1
        early = self._early.pop(job_id, None)
        if early is not None:
            self._merge(early)

    def _account(self, job: Job, tasks: int) -> None:
        spec = job.spec
        if spec is not None and tasks:
            cpus, gpus = self._used.get(spec.team, (0.0, 0.0))
            self._used[spec.team] = (cpus + tasks * spec.cpus, gpus + tasks * spec.gpus)

    def _set_journal(self, place: str, found: list[facts.Fact], version: int) -> None:
        self.journals[place] = JournalValue(version, found)
        self._merge(found)

    def _merge(self, found: list[facts.Fact]) -> None:
        """Takes in facts, in whatever order and however often they come (store/facts.py)."""
        changed: dict[tuple[str, int], list[r.Task]] = {}
        for fact in found:
            job = self.jobs.get(fact.job)
            if job is None or job.record is None:
                self._early.setdefault(fact.job, []).append(fact)
                continue
            if job.record.spec is None:
                continue  # over, with all its tasks gone: nothing of it matters any more
            k, offset = divmod(fact.index, c.CHUNK_TASKS)
            tasks = changed.get((fact.job, k))
            if tasks is None:
                tasks = changed[(fact.job, k)] = self._tasks_of(job, job.record.tasks, k)
            if offset < len(tasks):
                known = tasks[offset]
                tasks[offset] = facts.joined(known, fact.task)
                self._note_combined(fact, known, tasks[offset])
        for (job_id, k), tasks in changed.items():
            self._set_chunk(job_id, k, tasks, 0)
            self._led.add(job_id)

    def _note_combined(self, fact: facts.Fact, known: r.Task, state: r.Task) -> None:
        if state == fact.task:
            self._combined.get(fact.job, set()).discard(fact.index)
        elif state != known:
            self._combined.setdefault(fact.job, set()).add(fact.index)

    def is_combined(self, job: str, index: int) -> bool:
        """Whether several facts together tell the state of a task of a journaled job."""
        return index in self._combined.get(job, ())

    def _tasks_of(self, job: Job, count: int, k: int) -> list[r.Task]:
        """A copy of a chunk's tasks, or as many that were never started."""
        chunk = job.chunks.get(k)
        if chunk is not None:
            return list(chunk.tasks)
        return [r.Task()] * min(c.CHUNK_TASKS, max(0, count - k * c.CHUNK_TASKS))

    def _set_chunk(self, job_id: str, index: int, tasks: list[r.Task], version: int) -> None:
        """Only tasks that changed are looked at: most of a chunk's writes change one or two."""
        job = self.jobs.setdefault(job_id, Job(job_id))
        old = job.chunks.get(index)
        before = old.tasks if old is not None else [r.Task()] * len(tasks)
        waiting = 0
        for offset, task in enumerate(tasks):
            waiting += not task.machine and not task.done
            was = before[offset]
            if was == task:
                continue
            place = index * c.CHUNK_TASKS + offset
            self._unindex(job, place, was)
            job.done += task.done
            if not task.done:
                job.last_stop = task.stop or task.why or job.last_stop
            if task.machine:
                job.on_machines[place] = task
                self.bound.setdefault(task.machine, {})[(job_id, place)] = task
                self._rebound.add(task.machine)
                self._account(job, 1)
        job.chunks[index] = Chunk(version, tasks, waiting)

    def _drop_chunk(self, job_id: str, index: int) -> None:
        job = self.jobs.get(job_id)
        chunk = job.chunks.pop(index, None) if job is not None else None
        if job is not None and chunk is not None:
            for offset, task in enumerate(chunk.tasks):
                self._unindex(job, index * c.CHUNK_TASKS + offset, task)

    def _unindex(self, job: Job, place: int, task: r.Task) -> None:
        job.done -= task.done
        if task.machine:
            self._rebound.add(task.machine)
            del job.on_machines[place]
            self._account(job, -1)
            on_machine = self.bound[task.machine]
            del on_machine[(job.id, place)]
            if not on_machine:
                del self.bound[task.machine]

    # --- waiting ------------------------------------------------------------------------
    async def reach(self, revision: int) -> None:
        """Returns once the copy is at least as new as `revision`."""
        if self.loaded and self.revision >= revision:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((revision, future))
        await future

    def _release(self) -> None:
        still = []
        for revision, future in self._waiting:
            if future.done():
                continue
            if self.loaded and self.revision >= revision:
                future.set_result(None)
            else:
                still.append((revision, future))
        self._waiting = still

    def _notify(self, touched: list[tuple[str, str]]) -> None:
        rebound, self._rebound = self._rebound, set()
        led, self._led = self._led, set()
        touched = list(dict.fromkeys([*touched, *(("job", job) for job in sorted(led))]))
        touched += [("bound", machine) for machine in rebound]
        for kind, name in touched:
            for listener in self._listeners:
                listener(kind, name)

    # --- sums ---------------------------------------------------------------------------
    def usage(self) -> dict[str, tuple[float, float]]:
        """(cpus, gpus) per team of everything bound, that is, not proved gone.

        Kept up to date where bindings change: counting anew grew with all tasks, at each use.
        """
        return self._used
