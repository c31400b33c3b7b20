"""Chooses the owner at which a task requests credit, from the totals that owners publish."""

from collections import Counter

from pulleydeal import constants as c
from pulleydeal.membership.messages import CreditTotal, Images
from pulleydeal.placement.pending import PendingRequest
from pulleydeal.store import records as r

# Whether a machine has room; whether it has the image and is of the preferred kind, the more
# important of the two first; free capacity.
OwnerScore = tuple[bool, int, int, float]


def is_suitable(spec: r.JobSpec, total: CreditTotal) -> bool:
    """Whether the job may run on machines of this kind."""
    return (spec.spot or not total.spot) and (spec.types is None or total.type in spec.types)


def _has_image_and_room(spec: r.JobSpec, images: Images) -> bool:
    """Whether, by the totals, some machine has the image and room for a task."""
    cpus, gpus = images.get(spec.image, (-1.0, -1.0))
    return cpus >= spec.cpus and gpus >= spec.gpus


def _room_units(cpus: float, gpus: float) -> int:
    """A scalar measure of capacity, dominated by GPUs."""
    return int(gpus * 100 + cpus)


def choose_gang_zone(
    spec: r.JobSpec, zone: str, tried_s: float, allowed: list[str], room_by_zone: Counter[str]
) -> str:
    """Chooses the zone in which a gang collects capacity.

    `zone` is the current one, tried for `tried_s` seconds. It is kept for a while, then the gang
    moves on to the zone with the most capacity among the others.

    If no other zone shows capacity for the entire gang, the gang stays long enough for preemption,
    since it takes tasks seconds to save. Otherwise each zone was emptied in turn, and filled again
    by the preempted tasks.
    """
    others = [z for z in allowed if z != zone] or allowed
    needed = spec.tasks * _room_units(spec.cpus, spec.gpus)
    elsewhere = any(room_by_zone[z] >= needed for z in others)
    if zone in allowed and tried_s < (c.ZONE_TRY_S if elsewhere else c.ASK_MOVE_AFTER_S):
        return zone
    return max(others, key=lambda z: (room_by_zone[z], z))


class OwnerSelector:
    """Totals of all owners at one moment, with scores cached per job and zones."""

    def __init__(self, totals_by_owner: dict[str, list[CreditTotal]], now: float) -> None:
        self._totals_by_owner = totals_by_owner
        self._now = now
        self._scores: dict[tuple[str, tuple[str, ...]], dict[str, OwnerScore]] = {}

    def room_by_zone(self, spec: r.JobSpec) -> Counter[str]:
        """Published capacity by zone, for machines that are suitable for the job."""
        room_by_zone: Counter[str] = Counter()
        for totals in self._totals_by_owner.values():
            for total in totals:
                if is_suitable(spec, total):
                    room_by_zone[total.zone] += _room_units(total.cpus, total.gpus)
        return room_by_zone

    def _score(self, spec: r.JobSpec, zones: list[str], owner: str) -> OwnerScore:
        suitable = [
            t for t in self._totals_by_owner[owner] if t.zone in zones and is_suitable(spec, t)
        ]
        with_room = [
            t for t in suitable if t.largest_cpus >= spec.cpus and t.largest_gpus >= spec.gpus
        ]
        image_ready = any(_has_image_and_room(spec, t.images) for t in with_room)
        preferred_kind = any(t.spot == spec.spot for t in with_room)
        room = sum(t.gpus + t.cpus / 100 for t in suitable)
        if spec.priority < c.ROOM_BELOW:
            return bool(with_room), preferred_kind, image_ready, room
        # Preemption where the image is counts as room, like free room does. Owners are then ranked:
        # first those with free room and the image on a machine, next those that can make room on a
        # machine with the image, last those with free room only on machines without it.
        # `stoppable` includes free capacity, so it normally fits wherever `images` does.
        room_possible = any(_has_image_and_room(spec, t.stoppable) for t in suitable)
        return (
            room_possible or bool(with_room),
            2 * image_ready + room_possible,
            preferred_kind,
            room,
        )

    def scores(self, spec: r.JobSpec, zones: list[str]) -> dict[str, OwnerScore]:
        key = (spec.id, tuple(zones))
        scores = self._scores.get(key)
        if scores is None:
            scores = {owner: self._score(spec, zones, owner) for owner in self._totals_by_owner}
            self._scores[key] = scores
        return scores

    def choose(
        self, spec: r.JobSpec, index: int, zones: list[str], current: PendingRequest | None
    ) -> str:
        """Returns the owner at which the task should wait, or "" if there is none.

        This is the owner with the best published credit; without any credit, owners take turns.
        """
        if not self._totals_by_owner or not zones:
            return ""
        scores = self.scores(spec, zones)
        now = self._now
        if (
            current is not None
            and current.owner in scores
            and now - current.sent_at < c.ASK_TTL_S
            and (scores[current.owner][0] or now - current.since < c.ASK_REPEAT_S)
            and now - current.owner_since < c.ASK_MOVE_AFTER_S
        ):
            return current.owner
        # Totals are a summary and may mislead, so after a while the other owners are tried.
        previous = current.owner if current is not None else ""
        best = max(
            scores, key=lambda owner: (scores[owner][0], owner != previous, *scores[owner], owner)
        )
        if scores[best][0]:
            return best
        # No owner has room: wait at one at a time, in turns. Owners are filtered by the zone and
        # spot of their totals only, so one with machines only of excluded types gets turns, too.
        candidates = [
            owner
            for owner in sorted(self._totals_by_owner)
            if any(
                t.zone in zones and (spec.spot or not t.spot) for t in self._totals_by_owner[owner]
            )
        ]
        if not candidates:
            return ""
        since = current.since if current else now
        return candidates[(index + int((now - since) / c.RESERVE_S)) % len(candidates)]
