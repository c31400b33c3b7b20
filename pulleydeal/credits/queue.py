"""The credits that one owner offers, the order of requests for them, and how both are matched.

Also chooses the running tasks to preempt when no credit suffices.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from pulleydeal import constants as c
from pulleydeal.credits.messages import CreditRequest, Resources

TaskId = tuple[str, int]
ROUNDING_TOLERANCE = 1e-6  # amounts are decimals on the wire: sums have rounding errors


@dataclass(slots=True)
class FreeCapacity:
    """Free capacity of a machine."""

    cpus: float
    gpus: float
    memory: float

    def fits(self, need: Resources) -> bool:
        return (
            need.cpus <= self.cpus + ROUNDING_TOLERANCE
            and need.gpus <= self.gpus + ROUNDING_TOLERANCE
            and need.memory <= self.memory + ROUNDING_TOLERANCE
        )

    def subtract(self, amount: Resources) -> None:
        self.cpus -= amount.cpus
        self.gpus -= amount.gpus
        self.memory -= amount.memory

    def add(self, amount: Resources) -> None:
        self.cpus += amount.cpus
        self.gpus += amount.gpus
        self.memory += amount.memory


@dataclass(slots=True)
class Victim:
    """A running task that is a candidate for preemption."""

    job: str
    index: int
    attempt: int
    need: Resources
    priority: int
    lost_work_s: float  # estimate of the task seconds lost if it is stopped; least goes first
    team: str
    # Stopping it would make its job miss an objective that can still be met.
    would_miss_objective: bool = False


@dataclass(slots=True)
class Credit:
    """Free capacity of one machine, as reported, less what was granted since that report."""

    machine: str
    type: str
    zone: str
    spot: bool
    room: FreeCapacity
    images: frozenset[str] = frozenset()  # in the machine's cache
    fetching: frozenset[str] = frozenset()  # being downloaded; they share the machine's bandwidth
    reserved: TaskId | None = None  # the machine was emptied for this task and takes no other
    victims: list[Victim] = field(default_factory=list)
    # Sum of (cpus, gpus) of the victims with a priority below `ROOM_BELOW`, part of the totals that
    # heartbeats carry to other nodes. Summed once per credit, because totals are published several
    # times a second and most credits do not change in between.
    stoppable: tuple[float, float] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        lower_priority = [victim.need for victim in self.victims if victim.priority < c.ROOM_BELOW]
        self.stoppable = (sum(n.cpus for n in lower_priority), sum(n.gpus for n in lower_priority))


@dataclass(slots=True)
class WaitingRequest:
    """A credit request that waits at this owner."""

    request: CreditRequest
    leader: str
    since: float  # when the task's first request came; renewals don't change it
    expires_at: float
    rescan_at: float  # when to scan all credits again, not only those that changed


def is_allowed(credit: Credit, request: CreditRequest) -> bool:
    """Whether the task may use the machine, regardless of free capacity."""
    return (
        (not request.types or credit.type in request.types)
        and credit.zone in request.zones
        and (request.spot or not credit.spot)
        and credit.machine not in request.avoid
        and credit.reserved in (None, (request.job, request.index))
    )


def fetch_rank(credit: Credit, request: CreditRequest) -> int:
    """Ranks credits by expected image download time; lower is faster.

    0: the image is cached or already downloading. Otherwise 1 plus the number of downloads in
    progress on the machine.
    """
    if request.image in credit.images:
        return 0
    return 0 if request.image in credit.fetching else 1 + len(credit.fetching)


def request_order(waiting: WaitingRequest) -> tuple[int, int, int, float, float, float]:
    """Sort key of waiting requests: priority, guarantee, `rules.QueueRank`, then arrival."""
    request = waiting.request
    rank = (request.missed_objectives, request.order_value, request.tiebreak_time)
    return (-request.priority, -int(request.guaranteed), *rank, waiting.since)


def signature(request: CreditRequest) -> tuple[object, ...]:
    """Identifies requests that fail alike: if one finds no credit, neither do the others.

    Except requests for which a machine is reserved: the signature does not cover reservations.
    """
    return (
        (request.need.cpus, request.need.gpus, request.need.memory),
        (request.priority, request.guaranteed, request.spot, request.team, request.image),
        (tuple(request.types), tuple(request.zones), tuple(request.avoid)),
    )


class CreditQueue:
    """Credits of an owner by machine, in order of arrival; an updated one keeps its position.

    The requests that wait for them (`WaitingRequest`) are kept elsewhere.
    """

    def __init__(self) -> None:
        self.credits: dict[str, Credit] = {}

    def put(self, credit: Credit) -> bool:
        """Adds or updates a credit; returns whether anything changed."""
        if self.credits.get(credit.machine) == credit:
            return False
        self.credits[credit.machine] = credit
        return True

    def remove(self, machine: str) -> None:
        self.credits.pop(machine, None)

    def probe_head(self, request: CreditRequest) -> Credit | None:
        """Fast path: the first of a few credits at the head that fits and has the image."""
        return next(
            (
                credit
                for credit in islice(self.credits.values(), c.PROBES)
                if request.image in credit.images
                and is_preferred(credit, request)
                and _can_host(credit, request)
            ),
            None,
        )


def is_preferred(credit: Credit, request: CreditRequest) -> bool:
    """Whether the machine is of the kind, spot or on-demand, that the request should use.

    On-demand machines cost several times as much as spot machines, and can be returned only when
    they are empty. Work that may use spot machines therefore leaves them to work that may not.
    """
    return credit.spot == request.spot


def _can_host(credit: Credit, request: CreditRequest) -> bool:
    # Capacity is compared first, because most credits of a busy fleet have none left.
    return credit.room.fits(request.need) and is_allowed(credit, request)


def find_credit(
    credits: Iterable[Credit], request: CreditRequest, with_image: bool
) -> Credit | None:
    """Scans all credits; returns the best one that fits, or None.

    The fast path looks at a few credits only. Credits are unequal, so when none of those fits, all
    must be scanned, or a fitting credit further back would never be found. Machines of the
    preferred kind go first, then those with the shortest image download, since a download takes
    longer than most tasks should wait for their start. Among equals the first credit is returned.

    `with_image`: only machines that have the image. A request of a priority below `ROOM_BELOW` then
    gets only machines of the preferred kind.
    """
    fitting = [
        credit
        for credit in credits
        if (not with_image or request.image in credit.images) and _can_host(credit, request)
    ]

    def rank(credit: Credit) -> tuple[bool, int]:
        return not is_preferred(credit, request), fetch_rank(credit, request)

    best = min(fitting, key=rank, default=None)
    if (
        with_image
        and best is not None
        and request.priority < c.ROOM_BELOW
        and not is_preferred(best, request)
    ):
        # Such a request rather waits for a download on a machine of the preferred kind. The search
        # without `with_image` gives it one of the other kind if nothing else fits.
        return None
    return best


def preemptible(victim: Victim, request: CreditRequest, teams_over_guarantee: set[str]) -> bool:
    """Whether PROTOCOL allows `request` to preempt the victim.

    It does if the victim has a lower priority, or if its team uses more than its guarantee (is in
    `teams_over_guarantee`) while the request is within the guarantee of another team.
    """
    return victim.priority < request.priority or (
        request.guaranteed and victim.team in teams_over_guarantee and victim.team != request.team
    )


def choose_victims(
    credits: Iterable[Credit],
    request: CreditRequest,
    teams_over_guarantee: set[str],
    with_image: bool,
    below: int,
) -> tuple[Credit, list[Victim]] | None:
    """Returns the machine where preemption for the request costs least, and the tasks to stop.

    `with_image`: only machines that have the image. `below`: only victims with a priority
    below this.
    """
    best: tuple[float, Credit, list[Victim]] | None = None
    for credit in credits:
        if not credit.victims or credit.reserved is not None or not is_allowed(credit, request):
            continue
        if with_image and request.image not in credit.images:
            continue
        candidates = [
            v
            for v in credit.victims
            if v.priority < below
            # Saving a download does not justify making another job miss an objective.
            and not (with_image and v.would_miss_objective)
            and preemptible(v, request, teams_over_guarantee)
        ]
        if not candidates:
            continue
        room = FreeCapacity(credit.room.cpus, credit.room.gpus, credit.room.memory)
        chosen: list[Victim] = []
        for victim in sorted(
            candidates, key=lambda v: (v.would_miss_objective, v.priority, v.lost_work_s)
        ):
            if room.fits(request.need):
                break
            room.add(victim.need)
            chosen.append(victim)
        if not room.fits(request.need) or not chosen:
            continue
        # In task seconds lost; each level of priority counts for 100.
        cost = sum(
            v.lost_work_s + 100.0 * v.priority + c.MISSED_OBJECTIVE_LOSS * v.would_miss_objective
            for v in chosen
        )
        if best is None or cost < best[0]:
            best = (cost, credit, chosen)
    return (best[1], best[2]) if best else None
