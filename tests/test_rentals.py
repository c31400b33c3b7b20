"""Rentals: the names by which the cloud is asked when writes of the rental fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from pulleydeal.fleet.catalog import CatalogUpdater
from pulleydeal.fleet.service import Fleet
from pulleydeal.policy.settings import Policy
from pulleydeal.settings import StateLimits, Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica
from pulleydeal.workers.partition_policy import PartitionPolicy
from standins.script import LoopClock, virtually

TYPE = r.MachineType("t4", 16.0, 4.0, 64.0, 50.0, 1.0, 4.0, 1.0, 20.0, ["east"])
JOB = r.JobSpec("j-1", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)


class FakeNode:
    """Membership, store, clock and cloud in one; writes show in the replica at once."""

    me, incarnation, epoch = "winch-0", "abc", 1

    def __init__(self) -> None:
        self.replica = Replica()
        self.limits = Limits(2_000, 8)
        self.lose_answers: list[bool] = []  # for each next commit: execute it, then lose the answer
        self.requested_names: list[str] = []
        self.answers: dict[str, list[str]] = {}
        self.serial = 0
        me: Any = self
        limits, teams = StateLimits(200.0, 80.0, 8.0, 32), {"core": Team("core")}
        self.fleet = Fleet(
            me, me, me, teams, ["east"], [], me, limits, Policy(), set, PartitionPolicy()
        )  # fmt: skip
        self.put({r.CATALOG_KEY: r.Catalog([TYPE]), r.VIEW_KEY: r.View(1, {"winch-0": "abc"})}, [])
        self.replica.end_load(self.replica.revision)

    def put(self, puts: dict[str, Any], deletes: list[str]) -> None:
        at = self.replica.revision + 1
        events = [
            m.Event(at, key, None, msgspec.Raw(msgspec.json.encode(x))) for key, x in puts.items()
        ]
        events += [m.Event(at, None, key) for key in deletes]
        self.replica.apply(m.Changes(at, events))

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], deletes: Any = (), **_: Any
    ) -> bool:
        if any(self.replica.version(key) != mark for key, mark in conditions.items()):
            return False
        self.put(puts, list(deletes))
        if self.lose_answers and self.lose_answers.pop(0):
            raise OutcomeUnknown("no answer")
        return True

    async def rent(self, name: str, _type: str, _zone: str, _spot: bool, count: int) -> list[str]:
        """As in PROTOCOL: a name that was answered gets the same answer and rents nothing more."""
        self.requested_names.append(name)
        if name not in self.answers:
            self.answers[name] = [f"vm-{self.serial + i:06d}" for i in range(count)]
            self.serial += count
        return self.answers[name]

    def leads_fleet(self) -> bool:
        return True

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    wall = now

    def add_job(self, name: str) -> None:
        spec = msgspec.structs.replace(JOB, id=name, cpus=16.0)
        self.put({r.job_key(name): r.JobRecord("open", 1, self.now(), spec)}, [])


def run_virtually(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    results = []

    async def run(_: LoopClock) -> None:
        results.append(await scenario())

    virtually(run)
    return results[0]


def test_the_name_of_a_rental_is_used_up_if_only_the_answer_to_its_write_is_lost() -> None:
    """The next rental had the same name, so the cloud answered as before and rented nothing."""

    async def scenario() -> FakeNode:
        node = FakeNode()
        node.add_job("j-1")
        node.lose_answers = [True]
        try:
            await node.fleet.rent()
        except OutcomeUnknown:
            await node.fleet.rent()  # finds the rental that was written and completes it
        assert len(node.replica.machines) == 1 and not node.replica.rentals
        node.add_job("j-2")
        await node.fleet.rent()
        return node

    node = run_virtually(scenario)
    assert len(node.replica.machines) == 2
    assert len(set(node.requested_names)) == len(node.requested_names) == 2


def test_a_rental_that_was_not_written_keeps_its_name_until_the_view_changes() -> None:
    """Executed late it is the same rental; under another view the write can't be executed."""

    async def scenario() -> list[str]:
        node = FakeNode()
        node.add_job("j-1")
        names = []

        async def commit_unanswered(
            conditions: dict[str, int], puts: dict[str, Any], *_: Any, **__: Any
        ) -> bool:
            names.append(next(iter(puts)))
            raise OutcomeUnknown("no answer")

        node.commit = commit_unanswered  # type: ignore[method-assign]
        for _ in range(2):
            try:
                await node.fleet.rent()
            except OutcomeUnknown:
                continue
        node.put({r.VIEW_KEY: r.View(2, {"winch-0": "abc"})}, [])
        try:
            await node.fleet.rent()
        except OutcomeUnknown:
            return names
        return []

    first, second, third = run_virtually(scenario)
    assert first == second != third


def test_an_unanswered_write_is_not_executed_after_its_rental_is_over() -> None:
    """Its key is absent again by then, so the second write must change the view it depends on."""

    async def scenario() -> tuple[bool, FakeNode]:
        node = FakeNode()
        node.add_job("j-1")
        pending: list[tuple[dict[str, int], dict[str, Any]]] = []
        execute = node.commit

        async def commit_late(
            conditions: dict[str, int], puts: dict[str, Any], *_: Any, **__: Any
        ) -> bool:
            pending.append((conditions, puts))
            raise OutcomeUnknown("no answer")

        node.commit = commit_late  # type: ignore[method-assign]
        try:
            await node.fleet.rent()
        except OutcomeUnknown:
            node.commit = execute  # type: ignore[method-assign]
        await node.fleet.rent()
        assert len(node.replica.machines) == 1 and not node.replica.rentals
        return await execute(*pending[0]), node

    applied, node = run_virtually(scenario)
    assert not applied and not node.replica.rentals


def test_a_late_write_of_machine_types_does_not_replace_newer_ones() -> None:
    async def scenario() -> tuple[FakeNode, bool]:
        node = FakeNode()
        pending: list[tuple[dict[str, int], dict[str, Any]]] = []

        async def commit_late(conditions: dict[str, int], puts: dict[str, Any], *_: Any) -> bool:
            pending.append((conditions, puts))
            raise OutcomeUnknown("no answer")

        async def fetch_catalog() -> list[r.MachineType]:
            return [TYPE, msgspec.structs.replace(TYPE, name="t8")]

        me: Any = node
        updater = CatalogUpdater(me, me, me, me)
        node.fetch_catalog = fetch_catalog  # type: ignore[attr-defined]
        node.commit, execute = commit_late, node.commit  # type: ignore[method-assign]
        try:
            await updater.update()
        except OutcomeUnknown:
            newest = r.Catalog([msgspec.structs.replace(TYPE, name="t9")])
            node.put({r.CATALOG_KEY: newest}, [])
        return node, await execute(*pending[0])

    node, applied = run_virtually(scenario)
    assert not applied and set(node.replica.types) == {"t9"}
