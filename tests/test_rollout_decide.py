"""Simulates roll-out decisions without nodes: copies get machines, start and fail; zones fail.

Covers known hard cases and many seeds with random failures. In every run, no decision takes out
copies that the floor needs, and at the end all copies are of one version.
"""

import random
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.decide import decide
from pulleydeal.rollouts.description import Check, Description
from pulleydeal.rollouts.model import CopyStatus, Observation, begin_rollout, clone_service
from pulleydeal.rollouts.state import Service, Slot

ZONES = ["east", "west", "north"]
STEP_S = 0.5
DETECTION_S = 6.0  # three checks: time until a failed copy is detected
BASE = Description(
    name="classifier",
    team="core",
    klass="demo",
    copies=12,
    image="img-1",
    cpus=1.0,
    memory_gb=1.0,
    floor=11,
    surge=2,
    steps=[1, 4],
    check=Check(),
    bake_s=20.0,
    watch_s=60.0,
    deadline_s=120.0,
    leave_s=5.0,
)


@dataclass
class VersionBehavior:
    """How a version's copies actually behave, independent of what the leader observes."""

    startup_s: float = 5.0  # from getting a machine to the first good check
    fails_after_s: float | None = None  # seconds after it became ready
    outage_from: float | None = None  # time from which all copies fail
    outage_until: float = 1e9  # and until which
    has_capacity: bool = True  # whether queued copies get machines


@dataclass
class Simulation:
    """One service with simulated copies, and the decisions made for it."""

    seed: int = 1
    description: Description = BASE
    now: float = 0.0
    service: Service = field(default_factory=Service)
    versions: dict[int, Description] = field(default_factory=dict)
    behaviors: dict[int, VersionBehavior] = field(default_factory=dict)
    trace: list[str] = field(default_factory=list)
    placed_at: dict[int, float] = field(default_factory=dict)  # serial -> when it got a machine
    partitions: dict[str, tuple[float, float]] = field(default_factory=dict)  # zone -> from, until
    led_since: float = -1e9
    state_at: dict[int, tuple[str, float]] = field(default_factory=dict)
    cancelled: set[int] = field(default_factory=set)
    broken: set[int] = field(default_factory=set)  # copies that never become healthy again
    all_healthy_since: float | None = None
    min_healthy_seen: int = 99  # actually healthy copies, since the first version served

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def start_rollout(self, behavior: VersionBehavior, **changes: object) -> None:
        number = self.service.versions + 1
        d = msgspec.structs.replace(self.description, image=f"img-{number}", **changes)
        self.versions[number], self.behaviors[number] = d, behavior
        self.service = begin_rollout(self.service, number, self.now).service
        self.service.versions = number

    def is_actually_healthy(self, slot: Slot) -> bool:
        behavior, placed_at = self.behaviors[slot.version], self.placed_at.get(slot.serial)
        if placed_at is None or self.now < placed_at + behavior.startup_s:
            return False
        if (
            behavior.outage_from is not None
            and behavior.outage_from <= self.now < behavior.outage_until
        ):
            return False
        return (
            behavior.fails_after_s is None
            or self.now < placed_at + behavior.startup_s + behavior.fails_after_s
        )

    def _is_partitioned(self, zone: str) -> bool:
        cut_from, cut_until = self.partitions.get(zone, (1e9, 0.0))
        return cut_from <= self.now < cut_until

    def _state(self, slot: Slot) -> tuple[str, str]:
        behavior, placed_at = self.behaviors[slot.version], self.placed_at.get(slot.serial)
        if placed_at is None:
            return QUEUED, "waits for credit"
        if self._is_partitioned(slot.zone) or self.now - self.led_since < DETECTION_S:
            return UNKNOWN, "not seen by a check that counts"
        if slot.serial in self.broken:
            return UNHEALTHY, "500"
        if self.is_actually_healthy(slot):
            return HEALTHY, "200"
        bad_since = placed_at + behavior.startup_s + (behavior.fails_after_s or 0.0)
        if behavior.outage_from is not None:
            bad_since = (
                min(bad_since, behavior.outage_from)
                if behavior.fails_after_s
                else behavior.outage_from
            )
        if self.now < placed_at + behavior.startup_s:
            late = self.now - placed_at > BASE.check.grace_s
            return (UNHEALTHY if late else STARTING), "no good answer yet"
        if self.now - bad_since < DETECTION_S:
            return HEALTHY, "200"  # not detected yet
        return UNHEALTHY, "500"

    def observe(self) -> Observation:
        copies = []
        for slot in self.service.slots:
            state, reason = self._state(slot)
            before, since = self.state_at.get(slot.serial, ("", self.now))
            since = since if before == state else self.now
            self.state_at[slot.serial] = (state, since)
            job_ended = slot.serial in self.cancelled
            copies.append(CopyStatus(slot, state, reason, self.now - since, job_ended))
        complete = all(x.state == HEALTHY for x in copies if not x.slot.leaving)
        self.all_healthy_since = (self.all_healthy_since or self.now) if complete else None
        all_healthy_s = 0.0 if self.all_healthy_since is None else self.now - self.all_healthy_since
        return Observation(self.now, copies, ZONES, all_healthy_s)

    def step(self) -> None:
        self.now += STEP_S
        for slot in self.service.slots:
            can_start = (
                slot.serial not in self.placed_at and self.behaviors[slot.version].has_capacity
            )
            if can_start and not self._is_partitioned(slot.zone) and self.rng.random() < 0.5:
                self.placed_at[slot.serial] = self.now
        observation = self.observe()
        decision = decide(self.service, self.versions, observation)
        if decision is not None:
            self._check_floor(observation, decision.service)
            assert (
                len(decision.start) <= rc.MAX_BATCH_COPIES
                and len(decision.stop) <= rc.MAX_BATCH_COPIES
            )
            self.service = decision.service
            line = f"{self.now:6.1f} {decision.action}"
            self.trace.append(f"{line}: {decision.reason}" if decision.reason else line)
        if self.service.good:
            self.min_healthy_seen = min(self.min_healthy_seen, self.actually_healthy())

    def actually_healthy(self) -> int:
        return sum(self.is_actually_healthy(x) for x in self.service.slots if not x.leaving)

    def _check_floor(self, observation: Observation, after: Service) -> None:
        """Asserts that a decision that takes out copies that may be healthy keeps the floor."""
        stays = {x.serial for x in after.slots if not x.leaving}
        states = {x.slot.serial: x.state for x in observation.copies if not x.job_ended}
        gone = [
            x.slot.serial
            for x in observation.copies
            if not x.slot.leaving and not x.job_ended and x.slot.serial not in stays
        ]
        healthy = sum(states.get(serial) == HEALTHY for serial in stays)
        maybe_healthy_gone = [serial for serial in gone if states[serial] in (HEALTHY, UNKNOWN)]
        if maybe_healthy_gone and self.service.good and not after.removed:
            assert healthy >= self.versions[self.service.good].min_healthy, self.trace[-5:]
        total = sum(1 for x in after.slots if not x.leaving)
        if total > sum(1 for x in self.service.slots if not x.leaving):
            unseen = sum(1 for x in observation.copies if x.state == UNKNOWN)
            assert total <= self.description.copies + self.description.surge + unseen

    def run(self, seconds: float) -> "Simulation":
        until = self.now + seconds
        while self.now < until:
            self.step()
        return self

    def with_first_version(self) -> "Simulation":
        """Completes the roll-out of a first version."""
        self.start_rollout(VersionBehavior())
        self.run(600.0)
        assert self.service.good == 1 and self.service.rollout is None
        self.trace.clear()
        self.min_healthy_seen = 99
        return self

    def trace_text(self) -> str:
        return "\n".join(self.trace)

    def assert_serves_only(self, version: int) -> None:
        """Asserts that no roll-out is under way and all copies are of `version`."""
        assert self.service.rollout is None, (self.service.rollout, self.trace[-6:])
        assert self.service.good == version
        staying = [x for x in self.service.slots if not x.leaving]
        assert {x.version for x in staying} == {version}, self.trace[-6:]
        assert len(staying) == self.description.copies


def test_healthy_version_is_rolled_out_step_by_step_at_full_capacity() -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    sim.run(600.0).assert_serves_only(2)
    assert sim.min_healthy_seen == 12
    lines = [line[7:].partition(":")[0] for line in sim.trace if "step" in line or "bakes" in line]
    assert lines == ["bakes step 1", "step 2", "bakes step 2", "step 3", "bakes step 3"]
    assert "watches" in sim.trace_text() and "done: version 2 is good" in sim.trace_text()


@pytest.mark.parametrize(
    ("behavior", "expected_reason"),
    [
        (VersionBehavior(startup_s=1e9), "are unhealthy"),  # never healthy
        (VersionBehavior(fails_after_s=0.5), "are unhealthy"),  # fails after its first check
        (VersionBehavior(fails_after_s=14.0), "are unhealthy"),  # fails while baking
        (VersionBehavior(fails_after_s=55.0), "are unhealthy"),  # fails in a later step
        (VersionBehavior(has_capacity=False), "no step forward for"),  # no capacity for the surge
    ],
)
def test_failing_version_is_rolled_back_and_the_floor_holds(
    behavior: VersionBehavior, expected_reason: str
) -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(behavior)
    sim.run(900.0).assert_serves_only(1)
    assert (
        sim.min_healthy_seen
        >= 11 - (behavior.fails_after_s is not None and behavior.fails_after_s > 20) * 4
    )
    assert "returns to version 1" in sim.trace_text() and expected_reason in sim.trace_text()


def test_failure_in_the_watch_phase_rolls_back_all_copies() -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    while sim.service.rollout is None or sim.service.rollout.phase != "watching":
        sim.step()
    sim.run(10.0)
    sim.behaviors[2].outage_from = sim.now
    sim.run(600.0).assert_serves_only(1)
    assert "returns to version 1" in sim.trace_text()


def test_roll_out_holds_while_both_versions_fail() -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    while sim.service.rollout is None or sim.service.rollout.step < 1:
        sim.step()
    for behavior in sim.behaviors.values():
        behavior.outage_from, behavior.outage_until = sim.now, sim.now + 90.0
    before = len(sim.trace)
    sim.run(85.0)
    during = sim.trace[before:]
    assert len(during) <= 3 and "both versions fail" in during[-1]
    sim.run(600.0).assert_serves_only(2)


def test_three_failing_versions_in_a_row_are_rolled_back_to_the_last_good_one() -> None:
    sim = Simulation().with_first_version()
    for _ in range(3):
        sim.start_rollout(VersionBehavior(fails_after_s=3.0))
        sim.run(300.0).assert_serves_only(1)
    sim.start_rollout(VersionBehavior())
    sim.run(600.0).assert_serves_only(5)


def test_lost_zone_is_not_evidence_against_a_version_and_is_refilled_first() -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    while sim.service.rollout is None or sim.service.rollout.step < 1:
        sim.step()
    sim.partitions["west"] = (sim.now, sim.now + 60.0)
    before = len(sim.trace)
    sim.run(50.0)
    during = "\n".join(sim.trace[before:])
    assert "refills" in during and "returns" not in during and "unhealthy" not in during
    elsewhere = [x for x in sim.service.slots if x.zone != "west" and not x.leaving]
    assert sum(sim.is_actually_healthy(x) for x in elsewhere) >= 11
    sim.run(600.0).assert_serves_only(2)


def test_without_surge_old_copies_are_removed_first_within_the_floor() -> None:
    d = msgspec.structs.replace(BASE, surge=0, floor=10)
    sim = Simulation(description=d).with_first_version()
    sim.start_rollout(VersionBehavior())
    sim.run(900.0).assert_serves_only(2)
    assert sim.min_healthy_seen == 10


def test_copy_whose_job_is_cancelled_by_a_user_is_replaced() -> None:
    sim = Simulation().with_first_version()
    sim.cancelled.add(sim.service.slots[3].serial)
    sim.run(30.0).assert_serves_only(1)
    assert "1 copies are gone" in sim.trace_text() and "refills 1" in sim.trace_text()
    sim.start_rollout(VersionBehavior())
    sim.run(20.0)
    sim.cancelled |= {x.serial for x in sim.service.slots if x.version == 2}
    sim.run(600.0).assert_serves_only(2)


def test_pause_holds_and_a_missed_deadline_can_hold_too() -> None:
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    sim.run(10.0)
    service = clone_service(sim.service)
    assert service.rollout is not None
    service.rollout.paused = True
    sim.service = service
    slots = len([x for x in service.slots if not x.leaving])
    sim.run(300.0)
    assert len([x for x in sim.service.slots if not x.leaving]) == slots
    service = clone_service(sim.service)
    assert service.rollout is not None and service.rollout.hold == "paused by an operator"
    service.rollout.paused, service.rollout.since = False, sim.now
    sim.service = service
    sim.run(600.0).assert_serves_only(2)
    sim.start_rollout(VersionBehavior(has_capacity=False), late="hold")
    sim.run(400.0)
    assert sim.service.rollout is not None
    assert "deadline has passed" in sim.service.rollout.hold


def test_failing_first_version_leaves_no_copies_behind() -> None:
    sim = Simulation()
    sim.start_rollout(VersionBehavior(startup_s=1e9))
    sim.run(300.0)
    assert sim.service.rollout is None and sim.service.good == 0
    assert sim.service.slots == []


def test_abort_in_any_phase_rolls_back() -> None:
    for after_s in (1.0, 8.0, 20.0, 40.0, 70.0, 120.0, 150.0):
        sim = Simulation().with_first_version()
        sim.start_rollout(VersionBehavior())
        sim.run(after_s)
        if sim.service.rollout is None:
            continue
        service = clone_service(sim.service)
        assert service.rollout is not None
        service.rollout.phase = "returning"
        sim.service = service
        sim.run(400.0).assert_serves_only(1)
        assert sim.min_healthy_seen >= 11


def test_below_the_floor_no_copy_of_the_good_version_is_taken_out_in_any_state() -> None:
    """When all copies restart after a loss of all nodes, the good version's copies must be kept.

    They used to be taken out first, while none was healthy.
    """
    sim = Simulation().with_first_version()
    sim.start_rollout(VersionBehavior())
    while sim.service.rollout is None or sim.service.rollout.step < 1:
        sim.step()
    sim.run(8.0)
    sim.placed_at = dict.fromkeys(sim.placed_at, sim.now)  # all copies restart, slowly
    for behavior in sim.behaviors.values():
        behavior.startup_s = 20.0
    old = {x.serial for x in sim.service.slots if x.version == 1 and not x.leaving}
    sim.run(18.0)
    assert old <= {x.serial for x in sim.service.slots if not x.leaving}
    sim.run(900.0).assert_serves_only(2)


def test_single_unhealthy_copy_is_replaced_but_not_half_of_all_copies() -> None:
    for surge in (0, 1):
        d = msgspec.structs.replace(BASE, surge=surge, floor=10)
        sim = Simulation(description=d).with_first_version()
        broken = sim.service.slots[0].serial
        sim.placed_at[broken] = sim.now - 100.0
        sim.broken.add(broken)
        sim.run(200.0).assert_serves_only(1)
        assert broken not in {x.serial for x in sim.service.slots}
    sim = Simulation().with_first_version()
    sim.behaviors[1].outage_from = sim.now
    serials = {x.serial for x in sim.service.slots}
    sim.run(300.0)
    assert {x.serial for x in sim.service.slots} == serials


def test_removed_service_stops_all_copies() -> None:
    sim = Simulation().with_first_version()
    service = begin_rollout(sim.service, 1, sim.now).service
    assert service.rollout is not None
    service.rollout.phase, service.removed, service.good = "returning", True, 0
    sim.service = service
    sim.run(60.0)
    assert sim.service.slots == [] and sim.service.rollout is None


def random_behavior(rng: random.Random) -> VersionBehavior:
    kind = rng.randrange(6)
    if kind == 0:
        return VersionBehavior(startup_s=rng.uniform(2.0, 40.0))
    if kind == 1:
        return VersionBehavior(startup_s=1e9)
    if kind == 2:
        return VersionBehavior(fails_after_s=rng.uniform(0.0, 200.0))
    if kind == 3:
        return VersionBehavior(has_capacity=False)
    return VersionBehavior()


@pytest.mark.parametrize("first_seed", range(0, 200, 25))
def test_random_failures_end_with_one_version_and_keep_the_floor(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 25):
        rng = random.Random(seed)
        d = msgspec.structs.replace(
            BASE,
            surge=rng.choice([1, 2, 4]),
            floor=rng.choice([8, 10, 11, 12]),
            steps=rng.choice([[], [1], [1, 4], [3, 6, 9]]),
        )
        sim = Simulation(seed, d).with_first_version()
        sim.start_rollout(random_behavior(rng))
        for _ in range(rng.randrange(5)):
            sim.run(rng.uniform(1.0, 80.0))
            trouble = rng.randrange(5)
            if trouble == 0:
                zone = rng.choice(ZONES)
                sim.partitions[zone] = (sim.now, sim.now + rng.uniform(5.0, 90.0))
            elif trouble == 1:
                sim.led_since = sim.now  # a new leader without evidence
                sim.state_at.clear()
                sim.all_healthy_since = None
            elif trouble == 2 and sim.service.slots:
                sim.cancelled.add(rng.choice(sim.service.slots).serial)
            elif trouble == 3:
                until = sim.now + rng.uniform(5.0, 60.0)
                sim.behaviors = {
                    n: replace(behavior, outage_from=sim.now, outage_until=until)
                    if behavior.fails_after_s is None
                    else behavior
                    for n, behavior in sim.behaviors.items()
                }
            elif sim.service.rollout is None:
                sim.start_rollout(random_behavior(rng))
        sim.run(2500.0)
        sim.assert_serves_only(sim.service.good)
        # A version with `fails_after_s` may fail after its watch phase.
        if sim.behaviors[sim.service.good].fails_after_s is None:
            assert sim.actually_healthy() == d.copies
