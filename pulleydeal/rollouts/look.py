"""What one look at a service shows: its copies, what its step asks for, its floor, open zones."""

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, UNKNOWN
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.seen import Seen, World, copy_of, emptiest
from pulleydeal.rollouts.state import Service, Slot


class Look:
    """One look at a service; holds what its questions share."""

    def __init__(
        self, service: Service, descriptions: dict[int, Description], world: World
    ) -> None:
        self.s = copy_of(service)
        self.r = self.s.rollout
        self.world = world
        self.now = world.now
        self.descriptions = descriptions
        self.main = self.r.to if self.r and self.r.phase != "returning" else self.s.good
        self.d = descriptions.get(self.main) or descriptions[self.r.to if self.r else self.main]
        self.by_serial = {seen.slot.serial: seen for seen in world.copies}
        there = [self.by_serial[x.serial] for x in self.s.slots if x.serial in self.by_serial]
        self.staying = [seen for seen in there if not seen.slot.leaving and not seen.over]
        # What nobody has seen for a while is not there as far as refilling goes, and may be as
        # far as the limit goes: it counts as soon as it is seen again.
        rounds_s = 2 * self.d.check.every_s * (self.d.check.healthy_after + 1)
        lost_s = max(rc.LOST_S, rounds_s)  # a new leader needs some rounds to know a copy
        self.lost = [x for x in self.staying if x.state == UNKNOWN and x.for_s > lost_s]
        lost = {x.slot.serial for x in self.lost}
        self.present = [x for x in self.staying if x.slot.serial not in lost]
        self.stands = False  # it holds: nothing is done but to refill a broken floor
        self.healthy = sum(x.state == HEALTHY for x in self.staying)

    # --- questions --------------------------------------------------------------------------
    def of(self, version: int) -> list[Seen]:
        return [x for x in self.present if x.slot.version == version]

    def others(self, version: int) -> list[Seen]:
        return [x for x in self.present if x.slot.version != version]

    def want(self) -> int:
        """Copies of `main` that this step asks for."""
        if self.s.removed:
            return 0
        if self.r and self.r.phase in ("advancing", "baking") and self.s.good:
            return self.d.wanted[min(self.r.step, len(self.d.wanted) - 1)]
        # A first version has nothing beside it that steps could spare.
        return self.d.copies if self.main else 0

    def least(self) -> int:
        """Healthy copies that no decision may go under: the higher floor of the two versions."""
        if self.s.removed or not self.s.good:
            return 0
        floors = [self.d.least]
        if self.s.good in self.descriptions:
            floors.append(self.descriptions[self.s.good].least)
        return max(floors)

    def is_short(self) -> bool:
        return len(self.of(self.main)) < self.want() or len(self.present) != self.d.copies

    def copies_back(self) -> int:
        return self.d.copies if self.s.good and not self.s.removed else 0

    # --- zones ------------------------------------------------------------------------------
    def zones_open(self, d: Description) -> list[str]:
        """Zones that may take a copy: seen, and with nobody who waits for room there."""
        allowed = [z for z in self.world.zones if d.zones is None or z in d.zones]
        shut = {x.slot.zone for x in self.lost}
        shut -= {x.slot.zone for x in self.present if x.state == HEALTHY}
        shut |= {x.slot.zone for x in self.present if self.is_stuck(x)}
        return [z for z in allowed if z not in shut]

    def next_zone(self, d: Description) -> str:
        """Where the next copy goes: the zone with the fewest, over all versions together."""
        if not d.spread and d.zones is None:
            return ""
        zones = self.zones_open(d) or [z for z in self.world.zones if not d.zones or z in d.zones]
        return emptiest(zones, self.present, self.main)

    def is_stuck(self, x: Seen) -> bool:
        """It waits for room in vain; soon for one that lost its machine where none is left."""
        if x.state != QUEUED:
            return False
        alone = not any(y.state == HEALTHY and y.slot.zone == x.slot.zone for y in self.present)
        return x.for_s > (rc.LOST_S if x.again and alone and self.healthy else rc.QUEUED_S)

    def slot_of(self, seen: Seen) -> Slot:
        return next(x for x in self.s.slots if x.serial == seen.slot.serial)
