"""What credit a machine has: its type's room less what is bound, held or still there."""

from collections.abc import Callable, Iterable

from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.asks import need_of
from pulleydeal.credits.images import ImagesHeld
from pulleydeal.credits.messages import Need
from pulleydeal.credits.queue import Credit, Room, TaskId, Victim
from pulleydeal.settings import Objective
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.station import Station


class CreditMaker:
    """Works out one machine's credit anew; which machines need it is the queue's owner's to say."""

    def __init__(
        self,
        replica: Replica,
        images: ImagesHeld,
        objectives: list[Objective],
        clock: Clock,
        silent: Callable[[Station], bool],
    ) -> None:
        self._replica = replica
        self._images = images
        self._objectives = objectives
        self._clock = clock
        self._silent = silent
        # Job -> whether a stopped task would make it miss an aim; holds for one round.
        self._at_risk: dict[str, bool] = {}

    def begin_round(self) -> None:
        """What jobs may still lose changes with time."""
        self._at_risk.clear()

    def gives(self, station: Station) -> bool:
        """Whether anything may be started there now, if there is room."""
        record = self._replica.machines.get(station.id)
        if record is None or record.record.state != "up" or station.type not in self._replica.types:
            return False
        if not station.trusted or station.notice_at is not None:
            return False
        # One whose reports come but that hears nothing starts nothing.
        return not self._silent(station) and station.unanswered_since is None

    def credit(
        self, station: Station, held: Iterable[tuple[TaskId, Need]], reserved: TaskId | None
    ) -> Credit | None:
        """`held`: room held there for tasks; `reserved`: the task that it was emptied for.

        None: nothing may be started there now.
        """
        if not self.gives(station):
            return None
        type_ = self._replica.types[station.type]
        room = Room(type_.cpus, type_.gpus, type_.memory)
        victims = []
        bound = self._replica.bound.get(station.id, {})
        for (job_id, index), task in bound.items():
            spec = self._replica.jobs[job_id].spec
            if spec is None:
                continue
            room.take(need_of(spec))
            if not task.stop and spec.priority < len(r.PRIORITIES) - 1:
                victims.append(_victim(index, task, spec, self._misses(job_id)))
        for task_id, entry in station.entries.items():
            job = self._replica.jobs.get(task_id[0])
            if task_id not in bound and entry.state != "exited" and job and job.spec:
                room.take(need_of(job.spec))  # unbound, but still there until it is killed
        for task_id, need in held:
            if task_id not in bound:
                room.take(need)
        fetching = self._fetching(station)
        return Credit(
            station.id,
            station.type,
            station.zone,
            station.spot,
            room,
            self._images.of(station.id) - fetching,
            fetching,
            reserved,
            victims,
        )

    def _misses(self, job_id: str) -> bool:
        found = self._at_risk.get(job_id)
        if found is None:
            job = self._replica.jobs[job_id]
            found = rules.can_lose(job, self._objectives, self._clock.wall())
            self._at_risk[job_id] = found
        return found

    def _fetching(self, station: Station) -> frozenset[str]:
        """A binding names its image at once, but the image may be most of a minute away."""
        found = set()
        for (job_id, _), entry in station.entries.items():
            job = self._replica.jobs.get(job_id)
            if entry.state == "fetching" and job is not None and job.spec is not None:
                found.add(job.spec.image)
        return frozenset(found)


def _victim(index: int, task: r.Task, spec: r.JobSpec, misses: bool) -> Victim:
    loss = spec.checkpoint_s or spec.estimate_s or 60.0
    if spec.kind == "gang":
        loss *= spec.tasks
    need = need_of(spec)
    return Victim(spec.id, index, task.attempt, need, spec.priority, loss, spec.team, misses)
