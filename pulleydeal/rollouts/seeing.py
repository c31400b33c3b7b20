"""What a service's leader sees of its copies: jobs and bindings, registrations, checks."""

from dataclasses import dataclass, field

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import health
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check
from pulleydeal.rollouts.registry import Registry
from pulleydeal.rollouts.seen import Seen, World
from pulleydeal.rollouts.state import Endpoint, Service, Slot, job_id
from pulleydeal.store.job import Job
from pulleydeal.store.reasons import reason_text
from pulleydeal.store.replica import Replica


@dataclass(slots=True)
class Watch:
    """What one leader remembers of one service; a new leader begins with nothing."""

    led_since: float  # steady time
    registry: Registry = field(default_factory=Registry)
    bound_at: dict[str, tuple[int, float]] = field(default_factory=dict)  # job -> attempt, when
    state_at: dict[int, tuple[str, float]] = field(default_factory=dict)  # serial -> state, when
    complete_since: float | None = None  # since when every copy has been seen healthy
    round_due: float = -1e9
    checking: bool = False
    next_look: float = -1e9


def see(
    name: str,
    service: Service,
    check: Check,
    replica: Replica,
    watch: Watch,
    reason: dict[str, str],
    before: list[Endpoint],
    zones: list[str],
    now: float,
    wall: float,
) -> World:
    """`reason`: why a job waits, by id; `before`: the endpoints as they stand, which tell a new
    leader what was healthy; `now`: steady time; `wall`: time of day."""
    was_ready = {e.job: e.address for e in before}
    live = watch.registry.live(now)
    heard = health.zones_heard(live, {}, now)
    copies = []
    for slot in service.slots:
        job = replica.jobs.get(job_id(name, slot.serial))
        seen = _one(name, slot, job, check, replica, watch, heard, reason, now)
        if seen.state == STARTING and job is not None and job.id in was_ready:
            copy = watch.registry.copies.get(job.id)
            if copy is None or copy.address == was_ready[job.id]:
                # A new leader has not asked it yet. Taken for one that never served, it was
                # stopped for no more than that, under the floor.
                seen.state, seen.why = UNKNOWN, "was ready before its leader came"
        earlier, since = watch.state_at.get(slot.serial, ("", now))
        if earlier != seen.state:
            since = now
            watch.state_at[slot.serial] = (seen.state, now)
        seen.for_s = now - since
        copies.append(seen)
    serials = {slot.serial for slot in service.slots}
    for serial in [x for x in watch.state_at if x not in serials]:
        del watch.state_at[serial]
    if all(x.state == HEALTHY for x in copies if not x.slot.leaving):
        watch.complete_since = now if watch.complete_since is None else watch.complete_since
    else:
        watch.complete_since = None
    steady = 0.0 if watch.complete_since is None else now - watch.complete_since
    return World(wall, copies, zones, steady)


def _one(
    name: str,
    slot: Slot,
    job: Job | None,
    check: Check,
    replica: Replica,
    watch: Watch,
    heard: dict[str, set[str]],
    reason: dict[str, str],
    now: float,
) -> Seen:
    if job is None or job.record is None:
        return Seen(slot, UNKNOWN, "its job is not known here", over=True)
    if not job.is_open or job.is_cancelled:
        return Seen(slot, UNKNOWN, f"its job {job.id} was ended by a user", over=True)
    task = job.task(0)
    failed = task.fails >= rc.FAILS_AGAINST
    if not task.machine:
        watch.bound_at.pop(job.id, None)
        last = f"; last: {reason_text(task.why)}" if task.why else ""
        if failed:
            return Seen(slot, UNHEALTHY, f"its task failed {task.fails} times{last}")
        why = f"waits for {reason.get(job.id) or 'credit'}{last}"
        return Seen(slot, QUEUED, why, again=task.attempt > 0)
    attempt, since = watch.bound_at.get(job.id, (-1, now))
    if attempt != task.attempt:
        since = now
        watch.bound_at[job.id] = (task.attempt, now)
    zone = replica.zone_of.get(task.machine, slot.zone)
    others = heard.get(zone, set()) - {job.id}
    copy = watch.registry.copies.get(job.id)
    if copy is None or copy.attempt != task.attempt:
        bound_s, led_s = now - since, now - watch.led_since
        state, why = health.missing(zone, others, bound_s, led_s, check)
    elif health.registered(copy, now):
        state, why = health.state_of(copy, check, now)
    elif others:
        state, why = UNHEALTHY, f"stopped renewing its registration {now - copy.renewed:.0f} s ago"
    else:
        state, why = UNKNOWN, f"nothing is heard from {zone}"
    if failed and state != HEALTHY:
        state, why = UNHEALTHY, f"its task failed {task.fails} times; now: {why}"
    idle = copy is not None and copy.busy == 0 and copy.attempt == task.attempt
    return Seen(slot, state, why, idle=idle)


def ready(
    name: str, world: World, watch: Watch, before: list[Endpoint], leaving: set[int]
) -> list[Endpoint]:
    """The endpoints as they should be now: healthy copies that stay.

    One that was there stays while nothing is known against it: a leader that is new has not
    asked yet, and a cut is no copy's end, unless it lasts. When no copy is healthy those that
    were there stay whatever is known: an empty list would help nobody.
    """
    old = {(e.job, e.address): e for e in before}
    found, doubtful = [], []
    for seen in world.copies:
        job = job_id(name, seen.slot.serial)
        copy = watch.registry.copies.get(job)
        if seen.over or seen.slot.serial in leaving:
            continue
        if copy is not None and seen.state == HEALTHY:
            found.append(Endpoint(copy.address, job, seen.slot.version, copy.zone))
            continue
        kept = [e for (j, address), e in old.items() if j == job]
        if copy is not None:
            kept = [e for e in kept if e.address == copy.address]
        if not kept:
            continue
        if seen.state == UNHEALTHY or (seen.state == UNKNOWN and seen.for_s > rc.LOST_S):
            doubtful += kept
        elif seen.state != QUEUED:
            found += kept
    return sorted(found or doubtful, key=lambda e: (e.job, e.address))
