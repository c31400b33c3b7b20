"""The credit queue of one part, and the choices made from it: plain functions over state."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

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
    over: bool  # its team runs beyond its guarantee
    team: str


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


@dataclass(slots=True)
class Waiting:
    ask: Ask
    leader: str
    since: float
    until: float


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


def order(waiting: Waiting) -> tuple[int, int, float]:
    """Owed work first within its priority, then whoever waits longest."""
    return (-waiting.ask.priority, -int(waiting.ask.guaranteed), waiting.since)


class CreditQueue:
    """Machines in the order in which they signalled room; a shrunk credit keeps its place."""

    def __init__(self) -> None:
        self._order: deque[str] = deque()
        self.credits: dict[str, Credit] = {}

    def refresh(self, credits: dict[str, Credit]) -> None:
        self.credits = credits
        kept = [machine for machine in self._order if machine in credits]
        known = set(kept)
        self._order = deque(kept + [machine for machine in credits if machine not in known])

    def __iter__(self) -> Iterator[Credit]:
        return (self.credits[machine] for machine in self._order)

    def probe(self, ask: Ask, ready: bool) -> Credit | None:
        """Looks at a few credits at a time from the head and takes the first that fits.

        Two exceptions to the design, as our credits are unequal and the talk's are not. When
        none of the first few fits, the next few are looked at, or a fitting credit further
        back would never be found. And credits whose machines have the image (`ready`) are
        looked at before all others, and machines busy fetching last: a fetch takes longer
        than most starts may.
        """
        credits = [
            credit
            for credit in self
            if allowed(credit, ask) and (not ready or ask.image in credit.images)
        ]
        credits.sort(key=lambda credit: fetch_rank(credit, ask))
        for start in range(0, len(credits), c.PROBES):
            found = _first(credits[start : start + c.PROBES], ask)
            if found is not None:
                return found
        return None


def _first(window: list[Credit], ask: Ask) -> Credit | None:
    return next((credit for credit in window if credit.room.fits(ask.need)), None)


def preemptible(victim: Victim, ask: Ask) -> bool:
    """PROTOCOL: lower priority, or borrowed beyond a guarantee while another team is owed."""
    return victim.priority < ask.priority or (
        ask.guaranteed and victim.over and victim.team != ask.team
    )


def choose_victims(
    queue: CreditQueue, ask: Ask, ready: bool, below: int
) -> tuple[Credit, list[Victim]] | None:
    """The machine whose emptying for `ask` costs least, and what must stop on it.

    `ready`: only machines that have the image; `below`: only victims of lower priority.
    """
    best: tuple[float, Credit, list[Victim]] | None = None
    for credit in queue:
        if credit.reserved is not None or not allowed(credit, ask):
            continue
        if ready and ask.image not in credit.images:
            continue
        room = Room(credit.room.cpus, credit.room.gpus, credit.room.memory)
        chosen: list[Victim] = []
        candidates = [v for v in credit.victims if preemptible(v, ask) and v.priority < below]
        for victim in sorted(candidates, key=lambda v: (v.priority, v.loss)):
            if room.fits(ask.need):
                break
            room.give(victim.need)
            chosen.append(victim)
        if not room.fits(ask.need) or not chosen:
            continue
        cost = sum(v.loss + 100.0 * v.priority for v in chosen)
        if best is None or cost < best[0]:
            best = (cost, credit, chosen)
    return (best[1], best[2]) if best else None
