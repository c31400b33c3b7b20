"""Transactions without an answer that are carried out late, after newer ones of the same node."""

import asyncio
import random
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import Unavailable, Unknown
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

SPEC = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 0.0, 1.0, "img", 1.0)


class Service:
    """The state service and the client to it in one; answers as told, and keeps what it held."""

    served_at = 0.0

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int]] = {}
        self.ledger = 0
        self.answers: list[str] = []  # of the next commits: lost, conflict; else carried out
        self.held: list[tuple[dict[str, int], list[dict[str, Any]]]] = []
        self.commits = 0
        self.replica = Replica()
        self.replica.loaded = True

    def apply(self, conditions: dict[str, int], changes: list[dict[str, Any]]) -> bool:
        marks = {key: mark for key, (_, mark) in self.keys.items()}
        if any(marks.get(key, 0) != mark for key, mark in conditions.items()):
            return False
        self.ledger += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (bytes(change["data"]), self.ledger)
            else:
                self.keys.pop(change["drop"], None)
        return True

    async def may_write(self, turn: Turn) -> None:
        await asyncio.sleep(0)

    async def commit(
        self, conditions: dict[str, int], changes: list[dict[str, Any]]
    ) -> tuple[bool, m.Revision]:
        self.commits += 1
        answer = self.answers.pop(0) if self.answers else ""
        if answer == "lost":
            self.held.append((conditions, changes))
            raise Unknown("no answer")
        if answer == "refused":
            raise Unavailable("503")
        ok = answer != "conflict" and self.apply(conditions, changes)
        return ok, m.Revision(self.ledger)

    async def revision(self) -> int:
        """And the watch brings what there is; here nobody else writes."""
        self.replica.apply(m.Changes(self.ledger, []))
        return self.ledger


class Clock:
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    wall = now


def store(service: Service) -> Store:
    client: Any = service
    return Store(client, service.replica, Clock(), random.Random(1), Limits(2_000, 8))


def bind(draft: Draft) -> None:
    task = draft.edit(0)
    assert task is not None
    task.machine, task.attempt = "vm-1", 1


def test_a_change_that_may_still_be_applied_is_never_given_up() -> None:
    """Given up after six conflicts, a binding was applied later that no limit had counted."""

    async def day() -> tuple[Service, bool]:
        service = Service()
        node = store(service)
        record = msgspec.Raw(msgspec.json.encode(r.JobRecord("open", 2, 0.0, SPEC)))
        assert service.apply({}, [m.put(r.job_key("j-1"), record, None)])
        node.replica.apply(m.Changes(1, [m.Event(1, r.job_key("j-1"), None, record)]))
        service.answers = ["lost", *["conflict"] * (c.SCRATCH_TRIES + 3)]
        return service, await node.change_job("j-1", bind, Turn.WORK)

    service, ok = asyncio.run(day())
    assert ok
    assert service.commits == c.SCRATCH_TRIES + 5
    assert [service.apply(*late) for late in service.held] == [False]


@pytest.mark.parametrize("lost", range(3))
def test_of_a_change_and_its_successors_each_is_applied_once(lost: int) -> None:
    """Whichever is held and applied after two successors fails on a mark that they moved."""

    async def day() -> Service:
        service = Service()
        node = store(service)
        record = msgspec.Raw(msgspec.json.encode(r.JobRecord("open", 2, 0.0, SPEC)))
        service.apply({}, [m.put(r.job_key("j-1"), record, None)])
        node.replica.apply(m.Changes(1, [m.Event(1, r.job_key("j-1"), None, record)]))

        def stop(draft: Draft) -> None:
            task = draft.edit(0)
            assert task is not None
            task.stop = "notice"

        def gone(draft: Draft) -> None:
            task = draft.edit(0)
            assert task is not None
            task.machine, task.stop = "", ""

        for step, mutate in enumerate((bind, stop, gone)):
            service.answers = ["lost"] if step == lost else []
            assert await node.change_job("j-1", mutate, Turn.WORK)
        return service

    service = asyncio.run(day())
    assert len(service.held) == 1
    assert not service.apply(*service.held[0])


def test_what_is_not_wanted_any_more_moves_the_mark_of_what_may_still_be_applied() -> None:
    """A limit was reached meanwhile: the second look binds nothing, and the first may come late."""
    looks: list[int] = []

    async def day() -> Service:
        service = Service()
        node = store(service)
        record = msgspec.Raw(msgspec.json.encode(r.JobRecord("open", 2, 0.0, SPEC)))
        service.apply({}, [m.put(r.job_key("j-1"), record, None)])
        node.replica.apply(m.Changes(1, [m.Event(1, r.job_key("j-1"), None, record)]))

        def bind_once(draft: Draft) -> None:
            if not looks:
                bind(draft)
            looks.append(1)

        service.answers = ["lost"]
        assert await node.change_job("j-1", bind_once, Turn.WORK)
        return service

    service = asyncio.run(day())
    assert len(looks) == 2 and len(service.held) == 1
    assert not service.apply(*service.held[0])
