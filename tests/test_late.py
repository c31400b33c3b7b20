"""Unanswered transactions that are applied late, after newer ones of the same node."""

import asyncio
import random
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.draft import Draft
from pulleydeal.store.limits import Limits
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

SPEC = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 0.0, 1.0, "img", 1.0)


class Service:
    """State service and its client in one. Answers commits as told, and keeps delayed ones."""

    served_at = 0.0

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int]] = {}
        self.ledger = 0
        self.answers: list[str] = []  # for the next commits: lost, refused, conflict; else applied
        self.delayed: list[tuple[dict[str, int], list[dict[str, Any]]]] = []
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

    async def wait_for_write_slot(self, priority: WritePriority) -> None:
        await asyncio.sleep(0)

    async def commit(
        self, conditions: dict[str, int], changes: list[dict[str, Any]]
    ) -> tuple[bool, m.Revision]:
        self.commits += 1
        answer = self.answers.pop(0) if self.answers else ""
        if answer == "lost":
            self.delayed.append((conditions, changes))
            raise OutcomeUnknown("no answer")
        if answer == "refused":
            raise Unavailable("503")
        ok = answer != "conflict" and self.apply(conditions, changes)
        return ok, m.Revision(self.ledger)

    async def revision(self) -> int:
        """Also advances the replica, as the watch would; there are no other writers here."""
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


def test_change_that_may_still_be_applied_is_never_given_up() -> None:
    """A binding given up after six conflicts was applied later, without any quota counting it.

    The first commit gets no answer, so it may still be applied, and all retries conflict.
    """

    async def run() -> tuple[Service, bool]:
        service = Service()
        node = store(service)
        record = msgspec.Raw(msgspec.json.encode(r.JobRecord("open", 2, 0.0, SPEC)))
        assert service.apply({}, [m.put(r.job_key("j-1"), record, None)])
        node.replica.apply(m.Changes(1, [m.Event(1, r.job_key("j-1"), None, record)]))
        service.answers = ["lost", *["conflict"] * (c.MAX_COMMIT_TRIES + 3)]
        return service, await node.change_job("j-1", bind, WritePriority.NORMAL)

    service, ok = asyncio.run(run())
    assert ok
    assert service.commits == c.MAX_COMMIT_TRIES + 5
    assert [service.apply(*late) for late in service.delayed] == [False]


@pytest.mark.parametrize("lost", range(3))
def test_delayed_commit_fails_after_its_successors(lost: int) -> None:
    """Whichever of three commits is delayed until after the others fails on a changed version."""

    async def run() -> Service:
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
            assert await node.change_job("j-1", mutate, WritePriority.NORMAL)
        return service

    service = asyncio.run(run())
    assert len(service.delayed) == 1
    assert not service.apply(*service.delayed[0])


def test_withdrawn_change_still_invalidates_its_unanswered_commit() -> None:
    """The retry of an unanswered binding binds nothing, as a limit was reached in the meantime.

    The first commit may still be applied late, so the retry must change a version that it needs.
    """
    calls: list[int] = []

    async def run() -> Service:
        service = Service()
        node = store(service)
        record = msgspec.Raw(msgspec.json.encode(r.JobRecord("open", 2, 0.0, SPEC)))
        service.apply({}, [m.put(r.job_key("j-1"), record, None)])
        node.replica.apply(m.Changes(1, [m.Event(1, r.job_key("j-1"), None, record)]))

        def bind_once(draft: Draft) -> None:
            if not calls:
                bind(draft)
            calls.append(1)

        service.answers = ["lost"]
        assert await node.change_job("j-1", bind_once, WritePriority.NORMAL)
        return service

    service = asyncio.run(run())
    assert len(calls) == 2 and len(service.delayed) == 1
    assert not service.apply(*service.delayed[0])
