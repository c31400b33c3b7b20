"""Where a task waits for credit: plain functions over what the parts have published."""

from collections import Counter

from pulleydeal import constants as c
from pulleydeal.membership.messages import Images, Total
from pulleydeal.placement.pending import Pending
from pulleydeal.store import records as r

# Has a fitting machine; one of the kind and with the image that count more for the task, and
# less; free room.
Score = tuple[bool, int, int, float]


def suits(spec: r.JobSpec, total: Total) -> bool:
    return (spec.spot or not total.spot) and (spec.types is None or total.type in spec.types)


def _has(spec: r.JobSpec, images: Images) -> bool:
    """A machine has the image and, or so it seems, room for a task."""
    cpus, gpus = images.get(spec.image, (-1.0, -1.0))
    return cpus >= spec.cpus and gpus >= spec.gpus


def _amount(cpus: float, gpus: float) -> int:
    """One measure of room: cards count first."""
    return int(gpus * 100 + cpus)


def gathers_in(
    spec: r.JobSpec, zone: str, for_s: float, allowed: list[str], room: Counter[str]
) -> str:
    """The zone in which a gang gathers that has been trying one for so long: most room first, then
    each in its turn.

    Where no other zone shows room for all of it, it stays long enough for room to be made: it takes
    a task seconds to save. Left before, each zone was emptied in its turn, and filled again by what
    had been stopped.
    """
    others = [z for z in allowed if z != zone] or allowed
    whole = spec.tasks * _amount(spec.cpus, spec.gpus)
    elsewhere = any(room[z] >= whole for z in others)
    if zone in allowed and for_s < (c.ZONE_TRY_S if elsewhere else c.ASK_STAY_S):
        return zone
    return max(others, key=lambda z: (room[z], z))


class Parts:
    """The parts as published at one moment; what is worked out for a job is remembered."""

    def __init__(self, published: dict[str, list[Total]], now: float) -> None:
        self._published = published
        self._now = now
        self._scores: dict[tuple[str, tuple[str, ...]], dict[str, Score]] = {}

    def room(self, spec: r.JobSpec) -> Counter[str]:
        """Published room by zone."""
        room: Counter[str] = Counter()
        for totals in self._published.values():
            for total in totals:
                if suits(spec, total):
                    room[total.zone] += _amount(total.cpus, total.gpus)
        return room

    def _score(self, spec: r.JobSpec, zones: list[str], part: str) -> Score:
        fitting = [t for t in self._published[part] if t.zone in zones and suits(spec, t)]
        largest = [
            t for t in fitting if t.largest_cpus >= spec.cpus and t.largest_gpus >= spec.gpus
        ]
        ready = any(_has(spec, t.images) for t in largest)
        cheap = any(t.spot == spec.spot for t in largest)
        room = sum(t.gpus + t.cpus / 100 for t in fitting)
        if spec.priority < c.ROOM_BELOW:
            return bool(largest), cheap, ready, room
        # The owner makes room where the image is: as good as room that is there without it.
        made = any(_has(spec, t.stoppable) for t in fitting)
        return made or bool(largest), 2 * ready + made, cheap, room

    def scores(self, spec: r.JobSpec, zones: list[str]) -> dict[str, Score]:
        key = (spec.id, tuple(zones))
        found = self._scores.get(key)
        if found is None:
            found = {part: self._score(spec, zones, part) for part in self._published}
            self._scores[key] = found
        return found

    def choose(self, spec: r.JobSpec, index: int, zones: list[str], pending: Pending | None) -> str:
        """The part to wait at: by published credit; without any, in turn."""
        if not self._published or not zones:
            return ""
        scores = self.scores(spec, zones)
        now = self._now
        if (
            pending is not None
            and pending.part in scores
            and now - pending.asked_at < c.ASK_TTL_S
            and (scores[pending.part][0] or now - pending.since < c.ASK_REPEAT_S)
            and now - pending.came_at < c.ASK_STAY_S
        ):
            return pending.part
        # What is published is a summary and may mislead: after a while the others have their turn.
        left = pending.part if pending is not None else ""
        best = max(scores, key=lambda p: (scores[p][0], p != left, *scores[p], p))
        if scores[best][0]:
            return best
        # Nobody has room: wait in one queue at a time, where there are machines to empty.
        owners = [
            p
            for p in sorted(self._published)
            if any(t.zone in zones and (spec.spot or not t.spot) for t in self._published[p])
        ]
        if not owners:
            return ""
        since = pending.since if pending else now
        return owners[(index + int((now - since) / c.RESERVE_S)) % len(owners)]
