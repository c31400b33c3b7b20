"""Computes a machine's credit: its type's capacity less what is bound, held or still running."""

from collections.abc import Callable, Iterable

from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.images import ImageLocations
from pulleydeal.credits.messages import Resources
from pulleydeal.credits.queue import Credit, FreeCapacity, TaskId, Victim
from pulleydeal.credits.requests import resources_needed
from pulleydeal.settings import Objective
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.tracked_machine import TrackedMachine


class CreditBuilder:
    """Computes the credit of one machine; the caller decides which machines to recompute."""

    def __init__(
        self,
        replica: Replica,
        images: ImageLocations,
        objectives: list[Objective],
        clock: Clock,
        is_silent: Callable[[TrackedMachine], bool],
    ) -> None:
        self._replica = replica
        self._images = images
        self._objectives = objectives
        self._clock = clock
        self._is_silent = is_silent
        # Job -> whether stopping one of its tasks would miss an objective; valid for one round.
        self._at_risk: dict[str, bool] = {}

    def begin_round(self) -> None:
        """Clears the cached risks, which change with time."""
        self._at_risk.clear()

    def offers_credit(self, tracked: TrackedMachine) -> bool:
        """Whether tasks may be started on the machine, capacity permitting."""
        record = self._replica.machines.get(tracked.id)
        if record is None or record.record.state != "up" or tracked.type not in self._replica.types:
            return False
        if not tracked.trusted or tracked.notice_at is not None:
            return False
        # A machine that reports but does not answer orders can't be told to start anything.
        return not self._is_silent(tracked) and tracked.unanswered_since is None

    def build(
        self,
        tracked: TrackedMachine,
        held: Iterable[tuple[TaskId, Resources]],
        reserved: TaskId | None,
    ) -> Credit | None:
        """Returns the machine's credit, or None if nothing may be started there now.

        `held`: tasks that have capacity held on the machine. `reserved`: the task for which the
        machine was emptied by preemption.
        """
        if not self.offers_credit(tracked):
            return None
        type_ = self._replica.types[tracked.type]
        room = FreeCapacity(type_.cpus, type_.gpus, type_.memory)
        victims = []
        bound = self._replica.tasks_by_machine.get(tracked.id, {})
        for (job_id, index), task in bound.items():
            spec = self._replica.jobs[job_id].spec
            if spec is None:
                continue
            room.subtract(resources_needed(spec))
            if not task.stop and spec.priority < len(r.PRIORITIES) - 1:
                victims.append(_victim(index, task, spec, self._would_miss_objective(job_id)))
        for task_id in tracked.live_attempts:
            job = self._replica.jobs.get(task_id[0])
            if task_id not in bound and job and job.spec:
                # No longer bound, but it uses capacity until it is killed.
                room.subtract(resources_needed(job.spec))
        for task_id, need in held:
            if task_id not in bound:
                room.subtract(need)
        fetching = self._images_being_fetched(tracked)
        return Credit(
            tracked.id,
            tracked.type,
            tracked.zone,
            tracked.spot,
            room,
            self._images.cached_on(tracked.id) - fetching,
            fetching,
            reserved,
            victims,
        )

    def _would_miss_objective(self, job_id: str) -> bool:
        result = self._at_risk.get(job_id)
        if result is None:
            job = self._replica.jobs[job_id]
            result = rules.stop_would_miss_objective(job, self._objectives, self._clock.wall())
            self._at_risk[job_id] = result
        return result

    def _images_being_fetched(self, tracked: TrackedMachine) -> frozenset[str]:
        """Images that the machine is still downloading.

        A binding counts its image as cached at once, but the download may take most of a minute.
        """
        result = set()
        for (job_id, _, _), entry in tracked.attempts.items():
            job = self._replica.jobs.get(job_id)
            if entry.state == "fetching" and job is not None and job.spec is not None:
                result.add(job.spec.image)
        return frozenset(result)


def _victim(index: int, task: r.Task, spec: r.JobSpec, would_miss_objective: bool) -> Victim:
    lost_work_s = spec.checkpoint_s or spec.estimate_s or 60.0
    if spec.kind == "gang":
        lost_work_s *= spec.tasks
    need = resources_needed(spec)
    return Victim(
        spec.id,
        index,
        task.attempt,
        need,
        spec.priority,
        lost_work_s,
        spec.team,
        would_miss_objective,
    )
