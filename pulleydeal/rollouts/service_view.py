"""Read-only view of a service for one decision: its copies, step target, floor and open zones."""

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, UNKNOWN
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.model import CopyStatus, Observation, clone_service, least_used_zone
from pulleydeal.rollouts.state import Service, Slot


class ServiceView:
    """A service's record and its observed copies, with the queries that decisions share."""

    def __init__(
        self, service: Service, descriptions: dict[int, Description], observation: Observation
    ) -> None:
        self.service = clone_service(service)
        self.rollout = self.service.rollout
        self.observation = observation
        self.now = observation.now
        self.descriptions = descriptions
        self.target = (
            self.rollout.to
            if self.rollout and self.rollout.phase != "returning"
            else self.service.good
        )
        self.spec = (
            descriptions.get(self.target)
            or descriptions[self.rollout.to if self.rollout else self.target]
        )
        self.by_serial = {status.slot.serial: status for status in observation.copies}
        known = [self.by_serial[x.serial] for x in self.service.slots if x.serial in self.by_serial]
        self.staying = [x for x in known if not x.slot.leaving and not x.job_ended]
        # A copy that has been unknown for some time is refilled as if it were gone, but may still
        # run: the limit on copies counts it, and it is present again as soon as it is observed.
        rounds_s = 2 * self.spec.check.every_s * (self.spec.check.healthy_after + 1)
        lost_s = max(rc.LOST_AFTER_S, rounds_s)  # a new leader needs some rounds to assess a copy
        self.lost = [x for x in self.staying if x.state == UNKNOWN and x.in_state_s > lost_s]
        lost = {x.slot.serial for x in self.lost}
        self.present = [x for x in self.staying if x.slot.serial not in lost]
        self.on_hold = False  # when set, copies are only started to restore the floor
        self.healthy = sum(x.state == HEALTHY for x in self.staying)

    # --- queries ----------------------------------------------------------------------------
    def of_version(self, version: int) -> list[CopyStatus]:
        return [x for x in self.present if x.slot.version == version]

    def other_versions(self, version: int) -> list[CopyStatus]:
        return [x for x in self.present if x.slot.version != version]

    def target_copies(self) -> int:
        """Number of copies of the target version that the current step asks for."""
        if self.service.removed:
            return 0
        if self.rollout and self.rollout.phase in ("advancing", "baking") and self.service.good:
            return self.spec.step_targets[min(self.rollout.step, len(self.spec.step_targets) - 1)]
        # The first version has no older copies to replace in steps.
        return self.spec.copies if self.target else 0

    def min_healthy(self) -> int:
        """Fewest healthy copies that a decision may leave: the higher floor of both versions."""
        if self.service.removed or not self.service.good:
            return 0
        floors = [self.spec.min_healthy]
        if self.service.good in self.descriptions:
            floors.append(self.descriptions[self.service.good].min_healthy)
        return max(floors)

    def is_incomplete(self) -> bool:
        """Whether copies of the target version are missing, or the total is not `copies`."""
        return (
            len(self.of_version(self.target)) < self.target_copies()
            or len(self.present) != self.spec.copies
        )

    def copies_after_rollback(self) -> int:
        """Number of copies of the good version that a complete roll-back leaves."""
        return self.spec.copies if self.service.good and not self.service.removed else 0

    # --- zones ------------------------------------------------------------------------------
    def open_zones(self, d: Description) -> list[str]:
        """Zones that may take another copy.

        Excludes zones where a copy is stuck in the queue, or with lost copies and no healthy one.
        """
        allowed = [z for z in self.observation.zones if d.zones is None or z in d.zones]
        closed = {x.slot.zone for x in self.lost}
        closed -= {x.slot.zone for x in self.present if x.state == HEALTHY}
        closed |= {x.slot.zone for x in self.present if self.is_stuck(x)}
        return [z for z in allowed if z not in closed]

    def next_zone(self, d: Description) -> str:
        """Zone of the next copy: the one with the fewest copies of all versions together."""
        if not d.spread and d.zones is None:
            return ""
        zones = self.open_zones(d) or [
            z for z in self.observation.zones if not d.zones or z in d.zones
        ]
        return least_used_zone(zones, self.present, self.target)

    def is_stuck(self, x: CopyStatus) -> bool:
        """Whether a queued copy has waited too long for room in its zone.

        The limit is shorter for a copy that lost its machine in a zone without healthy copies,
        if copies in other zones are healthy.
        """
        if x.state != QUEUED:
            return False
        alone = not any(y.state == HEALTHY and y.slot.zone == x.slot.zone for y in self.present)
        return x.in_state_s > (
            rc.LOST_AFTER_S if x.requeued and alone and self.healthy else rc.MOVE_QUEUED_AFTER_S
        )

    def slot_of(self, status: CopyStatus) -> Slot:
        return next(x for x in self.service.slots if x.serial == status.slot.serial)
