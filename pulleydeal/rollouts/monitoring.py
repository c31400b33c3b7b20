"""Derives the state of a service's copies from jobs, bindings, registrations and checks."""

from dataclasses import dataclass, field

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import health
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check
from pulleydeal.rollouts.model import CopyStatus, Observation
from pulleydeal.rollouts.registry import Registry
from pulleydeal.rollouts.state import Endpoint, Service, Slot, job_id
from pulleydeal.store.job import Job
from pulleydeal.store.reasons import reason_text
from pulleydeal.store.replica import Replica


@dataclass(slots=True)
class ServiceMonitor:
    """In-memory state that a leader keeps per service; a new leader starts with an empty one."""

    led_since: float  # monotonic time
    registry: Registry = field(default_factory=Registry)
    bound_at: dict[str, tuple[int, float]] = field(default_factory=dict)  # job -> attempt, time
    state_at: dict[int, tuple[str, float]] = field(default_factory=dict)  # serial -> state, time
    all_healthy_since: float | None = None  # None: some copy that is to stay is not healthy
    check_due: float = -1e9  # when the next round of checks is due
    checking: bool = False
    next_evaluation: float = -1e9


def observe(
    name: str,
    service: Service,
    check: Check,
    replica: Replica,
    monitor: ServiceMonitor,
    wait_reasons: dict[str, str],
    previous: list[Endpoint],
    zones: list[str],
    now: float,
    wall: float,
) -> Observation:
    """Observes all copies of a service and updates the monitor's timestamps.

    `wait_reasons`: why a job waits, by job id; `previous`: the current endpoints, which tell a new
    leader which copies were ready; `now`: monotonic time; `wall`: wall clock.
    """
    ready_address = {e.job: e.address for e in previous}
    live = monitor.registry.live(now)
    reachable = health.reachable_by_zone(live, {}, now)
    copies = []
    for slot in service.slots:
        job = replica.jobs.get(job_id(name, slot.serial))
        status = _copy_status(
            name, slot, job, check, replica, monitor, reachable, wait_reasons, now
        )
        if status.state == STARTING and job is not None and job.id in ready_address:
            copy = monitor.registry.copies.get(job.id)
            if copy is None or copy.address == ready_address[job.id]:
                # A new leader has not checked this copy yet. If it counted as starting, it could
                # be stopped for that alone, which would break the floor.
                status.state, status.reason = UNKNOWN, "was ready before its leader came"
        last_state, since = monitor.state_at.get(slot.serial, ("", now))
        if last_state != status.state:
            since = now
            monitor.state_at[slot.serial] = (status.state, now)
        status.in_state_s = now - since
        copies.append(status)
    serials = {slot.serial for slot in service.slots}
    for serial in [x for x in monitor.state_at if x not in serials]:
        del monitor.state_at[serial]
    if all(x.state == HEALTHY for x in copies if not x.slot.leaving):
        monitor.all_healthy_since = (
            now if monitor.all_healthy_since is None else monitor.all_healthy_since
        )
    else:
        monitor.all_healthy_since = None
    all_healthy_s = 0.0 if monitor.all_healthy_since is None else now - monitor.all_healthy_since
    return Observation(wall, copies, zones, all_healthy_s)


def _copy_status(
    name: str,
    slot: Slot,
    job: Job | None,
    check: Check,
    replica: Replica,
    monitor: ServiceMonitor,
    reachable: dict[str, set[str]],
    wait_reasons: dict[str, str],
    now: float,
) -> CopyStatus:
    if job is None or job.record is None:
        return CopyStatus(slot, UNKNOWN, "its job is not known here", job_ended=True)
    if not job.is_open or job.is_cancelled:
        return CopyStatus(slot, UNKNOWN, f"its job {job.id} was ended by a user", job_ended=True)
    task = job.task(0)
    start_failed = task.fails >= rc.UNHEALTHY_AFTER_FAILED_STARTS
    if not task.machine:
        monitor.bound_at.pop(job.id, None)
        last = f"; last: {reason_text(task.why)}" if task.why else ""
        if start_failed:
            return CopyStatus(slot, UNHEALTHY, f"its task failed {task.fails} times{last}")
        reason = f"waits for {wait_reasons.get(job.id) or 'credit'}{last}"
        return CopyStatus(slot, QUEUED, reason, requeued=task.attempt > 0)
    attempt, since = monitor.bound_at.get(job.id, (-1, now))
    if attempt != task.attempt:
        since = now
        monitor.bound_at[job.id] = (task.attempt, now)
    zone = replica.zone_of.get(task.machine, slot.zone)
    others = reachable.get(zone, set()) - {job.id}
    copy = monitor.registry.copies.get(job.id)
    if copy is None or copy.attempt != task.attempt:
        bound_s, led_s = now - since, now - monitor.led_since
        state, reason = health.unregistered_state(zone, others, bound_s, led_s, check)
    elif health.is_registered(copy, now):
        state, reason = health.current_state(copy, check, now)
    elif others:
        state, reason = (
            UNHEALTHY,
            f"stopped renewing its registration {now - copy.renewed_at:.0f} s ago",
        )
    else:
        state, reason = UNKNOWN, f"nothing is heard from {zone}"
    if start_failed and state != HEALTHY:
        state, reason = UNHEALTHY, f"its task failed {task.fails} times; now: {reason}"
    idle = copy is not None and copy.active_requests == 0 and copy.attempt == task.attempt
    return CopyStatus(slot, state, reason, idle=idle)


def ready_endpoints(
    name: str,
    observation: Observation,
    monitor: ServiceMonitor,
    previous: list[Endpoint],
    leaving: set[int],
) -> list[Endpoint]:
    """The endpoints to publish: healthy copies that are to stay.

    A copy listed before stays listed while there is no evidence against it, because a new leader
    has not checked it yet and a network partition does not end a copy unless it lasts. If no copy
    is healthy, the previous ones stay listed regardless, since an empty list would not help.
    """
    old = {(e.job, e.address): e for e in previous}
    found, doubtful = [], []
    for status in observation.copies:
        job = job_id(name, status.slot.serial)
        copy = monitor.registry.copies.get(job)
        if status.job_ended or status.slot.serial in leaving:
            continue
        if copy is not None and status.state == HEALTHY:
            found.append(Endpoint(copy.address, job, status.slot.version, copy.zone))
            continue
        kept = [e for (j, address), e in old.items() if j == job]
        if copy is not None:
            kept = [e for e in kept if e.address == copy.address]
        if not kept:
            continue
        if status.state == UNHEALTHY or (
            status.state == UNKNOWN and status.in_state_s > rc.LOST_AFTER_S
        ):
            doubtful += kept
        elif status.state != QUEUED:
            found += kept
    return sorted(found or doubtful, key=lambda e: (e.job, e.address))
