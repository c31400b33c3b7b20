"""Rental planning: which machines to rent and which are unused. Packing changes the plan."""

import logging
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.credits.messages import Resources
from pulleydeal.credits.queue import FreeCapacity
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import Objective, Team
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica

log = logging.getLogger("pulleydeal.fleet")
MachineKind = tuple[str, str, bool]  # type, zone, spot
# cheap: spot machines, and on-demand ones that other than idle-time work keeps in use
KindFilter = Literal["any", "spot", "cheap"]
NO_RESOURCES = Resources(0.0, 0.0, 0.0)


@dataclass(slots=True)
class Bin:
    """A machine as a bin for packing tasks: up, booting, or to be rented."""

    kind: MachineKind
    room: FreeCapacity  # free capacity
    machine: str = ""  # empty: not rented yet
    # Resources of its idle-time tasks (`rules.is_idle_time_work`), which some jobs may preempt.
    # Free in `room`, except while `plan_rentals` packs jobs that may not preempt them.
    preemptible: Resources = NO_RESOURCES
    idle_time_only: bool = False  # on-demand, and at most idle-time work uses it


@dataclass(slots=True)
class PlanState:
    """Input and working state of one rental plan."""

    jobs: list[Job]
    bins: list[Bin]
    usage: dict[str, rules.Amount]
    zone_of: dict[str, str]
    types: dict[str, r.MachineType]
    teams: dict[str, Team]
    zones: list[str]
    unavailable: set[MachineKind]  # kinds that the cloud recently could not provide
    headroom: list[r.JobSpec] = field(default_factory=list)  # jobs for which capacity is kept free
    new_bins: list[Bin] = field(default_factory=list)
    expected_ends: float = 0.0  # tasks that likely end before a machine rented now is up
    # Free capacity only shrinks while tasks are packed, so a bin that is too small for one task
    # is too small for the next of the same shape: the search resumes at the last bin that fitted.
    next_bin: dict[tuple[object, ...], int] = field(default_factory=dict)
    zone_machines: Counter[str] = field(default_factory=Counter)  # machines of each zone

    # Zones in which nothing is rented: unreachable, or reachable again only recently
    excluded_zones: set[str] = field(default_factory=set)
    target_classes: set[str] = field(default_factory=set)  # job classes that have a time objective
    wall: float = 0.0  # wall clock, in seconds
    spot_types: set[str] | None = None  # types to rent as spot; None: by the default policy

    def __post_init__(self) -> None:
        if self.spot_types is None:
            self.spot_types = worthwhile_spot_types(self.types, Policy())

    @property
    def has_spot_types(self) -> bool:
        return bool(self.spot_types)


def split_catalog(catalog: r.Catalog, limits: Limits) -> list[r.Catalog]:
    """Splits the catalog into parts that fit into state service values; omits larger types."""
    parts = [r.Catalog([])]
    for type_ in catalog.types:
        alone = r.Catalog([type_])
        if not limits.fits(msgspec.json.encode(alone)):
            log.error(
                "machine type %.40s...: description exceeds the size of a value; ignored",
                type_.name,
            )
            continue
        extended = r.Catalog([*parts[-1].types, type_])
        if limits.fits(msgspec.json.encode(extended)):
            parts[-1] = extended
        else:
            parts.append(alone)
    if len(parts) > limits.ops:
        log.error(
            "%d machine types need %d values, but a transaction takes only %d; ignoring the rest",
            len(catalog.types),
            len(parts),
            limits.ops,
        )
    return parts[: limits.ops]


def worthwhile_spot_types(types: dict[str, r.MachineType], policy: Policy) -> set[str]:
    """Types whose spot price is low enough to make up for the preemption of spot machines."""
    return {
        t.name
        for t in types.values()
        if t.spot_price
        <= t.price * policy.value("spot_discount", {"price": t.price, "spot_price": t.spot_price})
    }


def fast_start_classes(objectives: list[Objective], boot_s: float) -> tuple[set[str], bool]:
    """Classes with a waiting time objective within `boot_s`, and whether a "guarantee" has one."""
    classes, guarantee = set(), False
    for objective in objectives:
        if objective.within_s is None or objective.within_s > boot_s:
            continue
        if objective.kind == "wait":
            classes.add(objective.klass)
        guarantee = guarantee or objective.kind == "guarantee"
    return classes, guarantee


def headroom_jobs(
    recent: list[tuple[float, r.JobSpec]], wall: float, boot_s: float
) -> list[r.JobSpec]:
    """The latest jobs of `recent`, as many as arrive on average while a machine boots.

    `recent`: (time of arrival, spec) of one class, oldest first.
    """
    arrived = [spec for at, spec in recent if wall - at < c.ARRIVALS_S]
    count = math.ceil(len(arrived) / c.ARRIVALS_S * boot_s)
    return arrived[-count:] if count else []


def expected_ends(jobs: list[Job], within_s: float) -> float:
    """Expected number of running tasks that may use spot machines and end within `within_s`."""
    return sum(
        job.bound * min(1.0, within_s / job.spec.estimate_s)
        for job in jobs
        if job.spec is not None and job.spec.spot and job.spec.estimate_s > 0
    )


class FreeResources:
    """Free resources of each machine and those used by its idle-time tasks.

    Cached until the machine, its bindings, the view or the catalog change. Resources that idle-time
    tasks use count as free.
    """

    def __init__(self, replica: Replica, target_classes: set[str]) -> None:
        self._replica = replica
        self._target_classes = target_classes
        self._cache: dict[str, tuple[FreeCapacity, Resources]] = {}
        replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        if kind in ("bound", "machine"):
            self._cache.pop(name, None)
        elif kind in ("view", "catalog"):  # "view" also reports a full reload of the replica
            self._cache.clear()

    def of(self, machine: str, type_: r.MachineType) -> tuple[FreeCapacity, Resources]:
        cached = self._cache.get(machine)
        if cached is None:
            cached = self._cache[machine] = self._compute(machine, type_)
        room, preemptible = cached
        return FreeCapacity(room.cpus, room.gpus, room.memory), preemptible

    def _compute(self, machine: str, type_: r.MachineType) -> tuple[FreeCapacity, Resources]:
        room, preemptible = FreeCapacity(type_.cpus, type_.gpus, type_.memory), NO_RESOURCES
        for job_id, _ in self._replica.tasks_by_machine.get(machine, {}):
            spec = self._replica.jobs[job_id].spec
            if spec is None:
                continue
            need = Resources(spec.cpus, spec.gpus, spec.memory)
            if rules.is_idle_time_work(spec, self._target_classes):
                preemptible = Resources(
                    preemptible.cpus + need.cpus,
                    preemptible.gpus + need.gpus,
                    preemptible.memory + need.memory,
                )
            else:
                room.subtract(need)
        return room, preemptible


def available_bins(
    replica: Replica, wall: float, free: FreeResources, unreachable_zones: set[str] | None = None
) -> list[Bin]:
    """Machines that are up or booting, except in unreachable zones, where nothing can start."""
    found = []
    for machine in replica.machines.values():
        rec = machine.record
        type_ = replica.types.get(rec.type)
        if (
            type_ is None
            or rec.state not in ("up", "boot")
            or rec.zone in (unreachable_zones or ())
        ):
            continue
        if rec.state == "boot" and wall - rec.at > c.BOOT_LATE_FACTOR * type_.boot_s:
            continue  # overdue, so it may never come up
        room, preemptible = free.of(machine.id, type_)
        found.append(Bin((rec.type, rec.zone, rec.spot), room, machine.id, preemptible))
    # Spot first, as tasks that may use it are placed there. Then those with the least free GPUs,
    # then CPUs, so that whole machines stay empty and can be returned.
    found.sort(key=lambda bin_: (not bin_.kind[2], bin_.room.gpus, bin_.room.cpus))
    return found


def is_price_sensitive(job: Job, spec: r.JobSpec, target_classes: set[str], wall: float) -> bool:
    """Whether a job is idle-time work that waits for spot or free capacity.

    No on-demand machine is rented for it: six arrays without a time objective once rented every
    available on-demand machine, at four times the price (docs/results.md). To avoid starvation,
    a job stops being price-sensitive once it has waited for longer than its tasks run and than
    IDLE_WORK_WAITS_S, if less than half of its tasks have started. If its tasks are shorter than
    IDLE_WORK_WAITS_S, none may have started: they gain nothing from a machine that has yet to boot.
    """
    if not rules.is_idle_time_work(spec, target_classes):
        return False
    if wall - job.waiting_since <= max(spec.estimate_s, c.IDLE_WORK_WAITS_S):
        return True
    started = job.done + job.bound
    return started > 0 and (2 * started >= spec.tasks or spec.estimate_s < c.IDLE_WORK_WAITS_S)


def plan_rentals(plan: PlanState) -> Counter[MachineKind]:
    """Packs the waiting tasks onto existing machines; returns what to rent for the rest.

    Resources of idle-time tasks count as free for jobs that may preempt them, and as used for the
    others. Counted as used for all, they caused every available on-demand machine to be rented
    (docs/results.md).
    """
    plan.zone_machines = Counter(bin_.kind[1] for bin_ in plan.bins)
    tasks_left = _pack(plan, [job for job in plan.jobs if _may_preempt(job)], c.PLAN_TASKS)
    bins_with_idle_work = [bin_ for bin_ in plan.bins if bin_.preemptible is not NO_RESOURCES]
    for bin_ in plan.bins:
        bin_.idle_time_only = not bin_.kind[2] and _is_unused(plan, bin_)
    for bin_ in bins_with_idle_work:
        bin_.room.subtract(bin_.preemptible)
    tasks_left = _pack(plan, [job for job in plan.jobs if not _may_preempt(job)], tasks_left)
    for bin_ in bins_with_idle_work:
        bin_.room.add(bin_.preemptible)
    if bins_with_idle_work:
        plan.next_bin.clear()  # capacity was freed, so earlier bins may fit again
    for spec in plan.headroom:
        used = Counter[str]()
        for _ in range(min(tasks_left, spec.tasks)):
            tasks_left -= 1
            # Headroom for jobs that may use spot machines does not justify the on-demand price.
            keep: KindFilter = "spot" if spec.spot and plan.has_spot_types else "any"
            if not _place(plan, spec, used, keep, rented_kinds=keep):
                break
    return Counter(bin_.kind for bin_ in plan.new_bins)


def _may_preempt(job: Job) -> bool:
    """Whether the job may preempt idle-time tasks."""
    return job.spec is not None and job.spec.priority > 0


def _is_unused(plan: PlanState, bin_: Bin) -> bool:
    """Whether nothing uses the bin except idle-time tasks that run on it already."""
    type_ = plan.types[bin_.kind[0]]
    used = (
        type_.cpus - bin_.room.cpus,
        type_.gpus - bin_.room.gpus,
        type_.memory - bin_.room.memory,
    )
    return all(abs(amount) < rules.ROUNDING_TOLERANCE for amount in used)


def unused_machines(plan: PlanState) -> set[str]:
    """After planning: machines without bound or planned tasks.

    Idle-time tasks keep a spot machine in use, but not an on-demand one.
    """
    return {
        bin_.machine
        for bin_ in plan.bins
        if bin_.machine
        and _is_unused(plan, bin_)
        and (bin_.preemptible is NO_RESOURCES or not bin_.kind[2])
    }


def _pack(plan: PlanState, jobs: list[Job], tasks_left: int) -> int:
    """Places waiting tasks of the jobs; considers and returns the budget of `tasks_left`."""
    for job in jobs:
        spec = job.spec
        if spec is None or spec.team not in plan.teams:
            continue
        waiting = spec.tasks - job.done - job.bound
        if waiting <= 0:
            continue
        used = rules.count_by_zone([t.machine for _, t in job.bindings()], plan.zone_of)
        price_sensitive = is_price_sensitive(job, spec, plan.target_classes, plan.wall)
        for _ in range(min(tasks_left, waiting)):
            tasks_left -= 1
            after = rules.add(plan.usage.get(spec.team, (0.0, 0.0)), (spec.cpus, spec.gpus))
            if not rules.within_limit(plan.teams[spec.team], after):
                break
            plan.usage[spec.team] = after
            if price_sensitive:
                if not _place(plan, spec, used, "cheap", rented_kinds="spot"):
                    break
                continue
            expects_room = spec.spot and spec.priority < c.ROOM_BELOW and plan.expected_ends >= 1.0
            if not _place(plan, spec, used, rented_kinds="spot" if expects_room else "any"):
                if not expects_room:
                    break
                # The task gets the capacity of one that ends before a new machine is up.
                plan.expected_ends -= 1.0
    return tasks_left


def _place(
    plan: PlanState,
    spec: r.JobSpec,
    used: Counter[str],
    existing_kinds: KindFilter = "any",
    rented_kinds: KindFilter = "any",
) -> bool:
    """Places a task on an existing machine, else on a new one; false: neither is possible.

    `existing_kinds`, `rented_kinds`: which kinds of machines may be used or rented.
    """
    need = Resources(spec.cpus, spec.gpus, spec.memory)
    zones = rules.zones_allowed(spec, used, plan.zones)
    bin_ = _find_bin(plan, spec, need, zones, existing_kinds) or _add_bin(
        plan, spec, need, zones, rented_kinds
    )
    if bin_ is None:
        return False
    bin_.room.subtract(need)
    used[bin_.kind[1]] += 1
    return True


def _find_bin(
    plan: PlanState, spec: r.JobSpec, need: Resources, zones: list[str], allowed: KindFilter
) -> Bin | None:
    # Tasks with equal requirements have the same shape.
    shape = (need, spec.spot, allowed, tuple(spec.types or ()), tuple(sorted(zones)))
    existing = len(plan.bins)
    for at in range(plan.next_bin.get(shape, 0), existing + len(plan.new_bins)):
        bin_ = plan.bins[at] if at < existing else plan.new_bins[at - existing]
        type_, zone, spot = bin_.kind
        if (
            bin_.room.fits(need)
            and zone in zones
            and (spec.spot or not spot)
            and (spot or allowed == "any" or (allowed == "cheap" and not bin_.idle_time_only))
            and (spec.types is None or type_ in spec.types)
        ):
            plan.next_bin[shape] = at
            return bin_
    plan.next_bin[shape] = existing + len(plan.new_bins)
    return None


def _add_bin(
    plan: PlanState, spec: r.JobSpec, need: Resources, zones: list[str], allowed: KindFilter
) -> Bin | None:
    options: list[tuple[float, int, MachineKind]] = []
    for type_ in plan.types.values():
        if spec.types is not None and type_.name not in spec.types:
            continue
        if not FreeCapacity(type_.cpus, type_.gpus, type_.memory).fits(need):
            continue
        for zone in (z for z in zones if z in type_.zones and z not in plan.excluded_zones):
            for spot in (False, True):
                kind = (type_.name, zone, spot)
                if (
                    (spot and not spec.spot)
                    or (allowed == "spot" and not spot)
                    or kind in plan.unavailable
                ):
                    continue
                price = type_.spot_price if spot else type_.price
                if spot and type_.name not in (plan.spot_types or ()):
                    continue
                # At equal prices the zone with the fewest machines is preferred.
                options.append((price, plan.zone_machines[zone], kind))
    if not options:
        return None
    _, _, kind = min(options)
    type_ = plan.types[kind[0]]
    bin_ = Bin(kind, FreeCapacity(type_.cpus, type_.gpus, type_.memory))
    plan.new_bins.append(bin_)
    plan.zone_machines[kind[1]] += 1
    return bin_
