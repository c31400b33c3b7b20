"""The credit queue of one part, and the choices made from it: plain functions over state."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from pulleydeal import constants as c
from pulleydeal.credits.messages import Ask, Need

TaskId = tuple[str, int]
TINY = 1e-6  # amounts are decimals on the wire: sums of them may be off by rounding


@dataclass(slots=True)
class Room:
    cpus: float
    gpus: float
    memory: float

    def fits(self, need: Need) -> bool:
        return (
            need.cpus <= self.cpus + TINY
            and need.gpus <= self.gpus + TINY
            and need.memory <= self.memory + TINY
        )

    def take(self, need: Need) -> None:
        self.cpus -= need.cpus
        self.gpus -= need.gpus
        self.memory -= need.memory

    def give(self, need: Need) -> None:
        self.cpus += need.cpus
        self.gpus += need.gpus
        self.memory += need.memory


@dataclass(slots=True)
class Victim:
    """A task that could be stopped for another."""

    job: str
    index: int
    attempt: int
    need: Need
    priority: int
    loss: float  # rough work lost when it is stopped; smaller goes first
    team: str
    misses: bool = False  # its job would miss an aim that it can still meet


@dataclass(slots=True)
class Credit:
    """One machine's reported free room, less what was started there since."""

    machine: str
    type: str
    zone: str
    spot: bool
    room: Room
    images: frozenset[str] = frozenset()  # there already
    fetching: frozenset[str] = frozenset()  # on their way; they share the machine's rate
    reserved: TaskId | None = None  # emptied for this task; nobody else may take it
    victims: list[Victim] = field(default_factory=list)
    # What the victims of priorities below `ROOM_BELOW` take (cpus, gpus): summed once, as totals
    # are published several times a second and most credits did not change in between.
    stoppable: tuple[float, float] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        lower = [victim.need for victim in self.victims if victim.priority < c.ROOM_BELOW]
        self.stoppable = (sum(n.cpus for n in lower), sum(n.gpus for n in lower))


@dataclass(slots=True)
class Waiting:
    ask: Ask
    leader: str
    since: float
    until: float
    look_at: float  # when all credits are looked at again, not only those that changed


def allowed(credit: Credit, ask: Ask) -> bool:
    return (
        (not ask.types or credit.type in ask.types)
        and credit.zone in ask.zones
        and (ask.spot or not credit.spot)
        and credit.machine not in ask.avoid
        and credit.reserved in (None, (ask.job, ask.index))
    )


def fetch_rank(credit: Credit, ask: Ask) -> int:
    """How long the image will take, roughly: there, on its way, or behind so many others."""
    if ask.image in credit.images:
        return 0
    return 0 if ask.image in credit.fetching else 1 + len(credit.fetching)


def order(waiting: Waiting) -> tuple[int, int, int, float, float, float]:
    """Owed work first within its priority, then what can be in time, then what came first."""
    ask = waiting.ask
    turn = (ask.missed, ask.work, ask.at)
    return (-ask.priority, -int(ask.guaranteed), *turn, waiting.since)


def shape(ask: Ask) -> tuple[object, ...]:
    """Asks of one shape fail alike: what no credit suits one, none suits the next."""
    return (
        (ask.need.cpus, ask.need.gpus, ask.need.memory),
        (ask.priority, ask.guaranteed, ask.spot, ask.team, ask.image),
        (tuple(ask.types), tuple(ask.zones), tuple(ask.avoid)),
    )


class CreditQueue:
    """Machines in the order in which they signalled room; a changed credit keeps its place."""

    def __init__(self) -> None:
        self.credits: dict[str, Credit] = {}

    def put(self, credit: Credit) -> bool:
        """Queues or renews a credit; tells whether that changed anything."""
        if self.credits.get(credit.machine) == credit:
            return False
        self.credits[credit.machine] = credit
        return True

    def remove(self, machine: str) -> None:
        self.credits.pop(machine, None)

    def head(self, ask: Ask) -> Credit | None:
        """The design's ordinary path: a few credits from the head, the first that fits."""
        return next(
            (
                credit
                for credit in islice(self.credits.values(), c.PROBES)
                if ask.image in credit.images and preferred(credit, ask) and _takes(credit, ask)
            ),
            None,
        )


def preferred(credit: Credit, ask: Ask) -> bool:
    """Work that may use spot machines leaves the ordinary ones to work that may not: they cost
    several times as much, and only empty ones can be given back."""
    return credit.spot == ask.spot


def _takes(credit: Credit, ask: Ask) -> bool:
    return credit.room.fits(ask.need) and allowed(credit, ask)


def probe(credits: Iterable[Credit], ask: Ask, ready: bool) -> Credit | None:
    """The first credit that fits, or of those without the image the one least busy fetching.

    Exceptions to the design, as our credits are unequal and the talk's are not. When none of the
    first few fits, the others are looked at too, or a fitting credit further back would never
    be found. Credits whose machines have the image (`ready`) are looked at before all others,
    and machines busy fetching last: a fetch takes longer than most starts may. A task takes
    the kind of machine it should where there is one. The room is compared first, since most
    credits of a busy fleet have none left.
    """
    fitting = [
        credit
        for credit in credits
        if (not ready or ask.image in credit.images) and _takes(credit, ask)
    ]

    def rank(credit: Credit) -> tuple[bool, int]:
        return not preferred(credit, ask), fetch_rank(credit, ask)

    best = min(fitting, key=rank, default=None)
    if ready and best is not None and ask.priority < c.ROOM_BELOW and not preferred(best, ask):
        return None  # it can wait for a fetch, and will find the dear room if there is no other
    return best


def preemptible(victim: Victim, ask: Ask, over: set[str]) -> bool:
    """PROTOCOL: lower priority, or borrowed beyond a guarantee while another team is owed.

    `over`: teams that use more than their guarantee.
    """
    return victim.priority < ask.priority or (
        ask.guaranteed and victim.team in over and victim.team != ask.team
    )


def choose_victims(
    credits: Iterable[Credit], ask: Ask, over: set[str], ready: bool, below: int
) -> tuple[Credit, list[Victim]] | None:
    """The machine whose emptying for `ask` costs least, and what must stop on it.

    `ready`: only machines that have the image; `below`: only victims of lower priority.
    """
    best: tuple[float, Credit, list[Victim]] | None = None
    for credit in credits:
        if not credit.victims or credit.reserved is not None or not allowed(credit, ask):
            continue
        if ready and ask.image not in credit.images:
            continue
        candidates = [
            v
            for v in credit.victims
            # A fetch that is saved is not worth another job's aim.
            if v.priority < below and not (ready and v.misses) and preemptible(v, ask, over)
        ]
        if not candidates:
            continue
        room = Room(credit.room.cpus, credit.room.gpus, credit.room.memory)
        chosen: list[Victim] = []
        for victim in sorted(candidates, key=lambda v: (v.misses, v.priority, v.loss)):
            if room.fits(ask.need):
                break
            room.give(victim.need)
            chosen.append(victim)
        if not room.fits(ask.need) or not chosen:
            continue
        cost = sum(v.loss + 100.0 * v.priority + c.MISS_LOSS * v.misses for v in chosen)
        if best is None or cost < best[0]:
            best = (cost, credit, chosen)
    return (best[1], best[2]) if best else None
