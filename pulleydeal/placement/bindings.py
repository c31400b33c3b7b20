"""Checks limits, zones and machine kinds at the moment when a binding is made."""

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.membership.service import Membership
from pulleydeal.placement.pending import PendingRequests, TaskId
from pulleydeal.settings import Team
from pulleydeal.store import records as r
from pulleydeal.store.draft import Draft
from pulleydeal.store.replica import Replica


class BindingRules:
    """Decides whether tasks may be bound to machines, and binds them in a draft."""

    def __init__(
        self,
        membership: Membership,
        replica: Replica,
        requests: PendingRequests,
        teams: dict[str, Team],
        zones: list[str],
    ) -> None:
        self._membership = membership
        self._replica = replica
        self._requests = requests
        self._teams = teams
        self._zones = zones

    def spec(self, job: str) -> r.JobSpec | None:
        state = self._replica.jobs.get(job)
        return state.spec if state else None

    def is_bound(self, key: TaskId) -> bool:
        job = self._replica.jobs.get(key[0])
        return job is not None and bool(job.task(key[1]).machine)

    def _usage_in_flight(self) -> dict[TaskId, tuple[str, rules.Amount]]:
        """Resources of bindings that are being written and do not show in the replica yet."""
        usage = {}
        for key in self._requests.writing_keys():
            spec = self.spec(key[0])
            if spec is not None and not self.is_bound(key):
                usage[key] = (spec.team, (spec.cpus, spec.gpus))
        return usage

    def apply(self, draft: Draft, machines: dict[int, str]) -> None:
        """Binds the tasks in the draft if the rules allow it.

        Called with the newest record, again after each conflict with another writer.
        """
        spec = draft.spec
        if draft.job.blockers:
            # Only jobs that the replica shows as done are missing from `blockers`, and a done job
            # stays done, so the replica is proof enough. This must be checked here, because it may
            # become known only while a binding is retried that the job waits for others.
            return
        team = self._teams.get(spec.team)
        if draft.status != "open" or team is None or not self._membership.leads_job(spec):
            return
        current = [draft.task(index) for index in machines]
        if any(task.machine or task.done for task in current):
            return
        if spec.kind == "gang" and any(draft.task(i).machine for i in range(spec.tasks)):
            return
        if not self._limit_allows(spec, team, len(machines), {(spec.id, i) for i in machines}):
            return
        if not self._is_placement_allowed(draft, machines):
            return
        if not all(draft.require_machine(machine) for machine in set(machines.values())):
            return
        attempt = max(task.attempt for task in current) + 1
        edits = {index: draft.edit(index) for index in machines}
        if attempt > c.MAX_ATTEMPT or (spec.kind == "gang" and None in edits.values()):
            return  # a gang is bound entirely or not at all
        for index, machine in machines.items():
            task = edits[index]
            if task is None:
                continue
            task.machine = machine
            task.attempt = attempt if spec.kind == "gang" else task.attempt + 1
            task.stop = ""

    def _limit_allows(self, spec: r.JobSpec, team: Team, count: int, own: set[TaskId]) -> bool:
        if not rules.has_limit(team):
            return True  # summing the bindings in flight for each binding has quadratic cost
        used = self._replica.usage().get(spec.team, (0.0, 0.0))
        for key, (name, amount) in self._usage_in_flight().items():
            if name == spec.team and key not in own:
                used = rules.add(used, amount)
        return rules.within_limit(team, rules.add(used, (spec.cpus * count, spec.gpus * count)))

    def _is_placement_allowed(self, draft: Draft, machines: dict[int, str]) -> bool:
        spec = draft.spec
        machines_used = [
            draft.task(i).machine
            for i in range(spec.tasks if spec.spread or spec.one_zone else 0)
            if draft.task(i).machine
        ]
        used = rules.count_by_zone(machines_used, self._replica.zone_of)
        for machine in machines.values():
            record = self._replica.machines.get(machine)
            if record is None or (record.record.spot and not spec.spot):
                return False
            if spec.types is not None and record.record.type not in spec.types:
                return False
            if record.record.zone not in rules.zones_allowed(spec, used, self._zones):
                return False
            used[record.record.zone] += 1
        return True
