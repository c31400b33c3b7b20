"""The leader of cron tables on an in-memory state service, with faults, over simulated years.

There are no real nodes and no network. The tests check that each instant starts exactly one job,
whoever leads and whichever answers are lost or late. Time jumps from one instant to the next.
"""

import random
from collections import Counter
from typing import Any

import msgspec

from pulleydeal.metrics import Metrics
from pulleydeal.recurring import state as st
from pulleydeal.recurring.service import Recurring
from pulleydeal.settings import Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica

TYPE = r.MachineType("t4", 64.0, 8.0, 512.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])


class World:
    """The state service, the clock, and the current leader."""

    def __init__(self, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.now = now
        self.marks: dict[str, int] = {}
        self.revision = 0
        self.nodes: list[Node] = []
        self.leads = self.outages = 0
        self.accepted: Counter[str] = Counter()
        self.down_until = 0.0
        self.leader = "a"
        self.late: list[tuple[float, dict[str, int], dict[str, bytes], list[str]]] = []
        self.trouble = 0.0  # share of transactions that get no answer
        self.transactions = 0
        self.kept: dict[str, m.Event] = {}  # current keys, for nodes that are added later
        self.apply({}, {r.VIEW_KEY: msgspec.json.encode(r.View(1))}, [])

    def apply(self, read: dict[str, int], puts: dict[str, bytes], drops: list[str]) -> bool:
        if any(self.marks.get(key, 0) != mark for key, mark in read.items()):
            return False
        self.transactions += 1
        self.revision += 1
        for key, value in puts.items():
            self.marks[key] = self.revision
            if key.startswith("p/j/"):
                self.accepted[key.removeprefix("p/j/")] += 1  # jobs are counted, not stored
            else:
                self._publish(m.Event(self.revision, key, None, msgspec.Raw(value)))
        for key in drops:
            self.marks.pop(key, None)
            self._publish(m.Event(self.revision, None, key))
        return True

    def _publish(self, event: m.Event) -> None:
        if event.put is not None:
            self.kept[event.put] = event
        elif event.delete is not None:
            self.kept.pop(event.delete, None)
        for node in self.nodes:
            node.events.append(event)

    def lead(self, name: str) -> None:
        """Makes a node the leader; the new view makes transactions of the old leader fail."""
        self.leader = name
        self.leads += 1
        self.apply({}, {r.VIEW_KEY: msgspec.json.encode(r.View(self.revision))}, [])

    def catch_up(self) -> None:
        for at, read, puts, drops in [x for x in self.late if x[0] <= self.now]:
            self.late.remove((at, read, puts, drops))
            self.apply(read, puts, drops)


class Node:
    """Membership, store and clock of one node, with the interfaces that `Recurring` uses."""

    is_member = True

    def __init__(self, name: str, world: World, clock_offset_s: float) -> None:
        self.me, self.world, self._clock_offset_s = name, world, clock_offset_s
        self.replica = Replica()
        self.limits = Limits(2_000, 10)
        self.serves: dict[str, int] = {}
        self.teams = {"core": Team("core")}
        self.zones = ["east"]
        self.metrics = Metrics()
        me: Any = self
        self.clock = self.store = self.membership = self.client = me
        self.events: list[m.Event] = sorted(world.kept.values(), key=lambda e: e.version)
        world.nodes.append(self)
        self.recurring = Recurring(me)
        self.replica.types = {"t4": TYPE}

    # --- clock and membership -----------------------------------------------------------------
    def now(self) -> float:
        return self.world.now

    def wall(self) -> float:
        return self.world.now + self._clock_offset_s

    def all_enable(self, feature: str, format_: int) -> bool:
        return True

    def leads(self, thing: str) -> bool:
        return self.world.leader == self.me

    def leader(self, thing: str) -> str:
        return self.world.leader

    # --- store ----------------------------------------------------------------------------------
    def follow(self) -> None:
        events, self.events = self.events, []
        self.replica.loaded = True
        self.replica.apply(m.Changes(self.world.revision, events))
        self.replica.types = {"t4": TYPE}

    async def commit(
        self,
        read: dict[str, int],
        puts: dict[str, object],
        drops: list[str] | None = None,
        priority: object = None,
    ) -> bool:
        world = self.world
        raw = {key: msgspec.json.encode(value) for key, value in puts.items()}
        self.limits.check(read, raw, drops or [])
        if world.now < world.down_until:
            raise Unavailable("outage")
        if world.rng.random() < world.trouble:
            fault = world.rng.randrange(3)
            if fault == 0:
                world.apply(read, raw, drops or [])
            elif fault == 1:
                world.late.append((world.now + world.rng.uniform(1, 90), read, raw, drops or []))
            raise OutcomeUnknown("no answer")
        applied = world.apply(read, raw, drops or [])
        self.follow()
        return applied

    async def look(self) -> None:
        """Fires the lines that are due now."""
        self.follow()
        await self.recurring.fire_due_lines()


async def bring_in(node: Node, table: str, text: bytes, mapping: str) -> None:
    importer = node.recurring.interface.importer
    node.follow()
    importer.upload(table, 0, text)
    plan = await importer.plan(table, mapping)
    await importer.apply(table, plan)


def next_instant(nodes: list[Node]) -> float | None:
    """When the next line of any loaded table is due."""
    found = [
        loaded.queue[0][0]
        for node in nodes
        for loaded in node.recurring.loaded_tables.values()
        if loaded.queue
    ]
    return min(found, default=None)


async def live(world: World, nodes: list[Node], until: float, trouble: bool) -> None:
    """Runs all rounds until `until`; with `trouble`, leaders change and outages occur at random."""
    rng = world.rng
    while world.now < until:
        instant = next_instant(nodes)
        if instant is None or instant <= world.now:
            world.now += rng.uniform(0.3, 2.0)
        else:
            world.now = min(until, instant + rng.uniform(-2.0, 1.5))
        if trouble:
            draw = rng.random()
            if draw < 0.02:
                world.lead(rng.choice([node.me for node in nodes]))
            elif draw < 0.03:
                world.outages += 1
                world.down_until = world.now + rng.uniform(1.0, 120.0)
            elif draw < 0.035:  # all nodes restart with empty memory
                world.now += rng.uniform(1.0, 100.0)
                for node in nodes:
                    node.recurring.loaded_tables.clear()
        world.catch_up()
        for node in nodes:
            await node.look()


def wanted(table: str, expected: dict[str, list[int]]) -> set[str]:
    """The ids of the jobs that the lines should have started; `expected`: line -> instants."""
    return {
        st.job_id(table, line, instant)
        for line, instants in expected.items()
        for instant in instants
    }
