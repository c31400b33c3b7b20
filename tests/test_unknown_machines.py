"""A machine that is missing from the leader's copy is not returned on the strength of that copy.

The cloud lists a machine as failed, or as `starting` for too long, and the fleet's leader has no
record of it. The list lags by up to ten seconds and the leader's copy may lag too: the machine may
be up by now, recorded by its owner and with tasks bound to it. Returning it loses their work.

`Fleet.check_listing` checked only the leader's own copy, after waiting for the list, and nothing
durable stood between that check and the return. All other machines are marked before they are
returned, and bindings fail on the mark. The fault was found by reading (the open row of
docs/incidents/ran-twice-at-size.md); it shows as `returned == ["vm-000009"]` below.
"""

import asyncio
from typing import Any

from pulleydeal.fleet import messages as m
from pulleydeal.store import records as r
from tests.test_rentals import FakeNode, run_virtually

NAME = "vm-000009"
KEY = r.machine_key(NAME)


class FakeLeader(FakeNode):
    """The fleet's leader; with `recorded` the state service has a record that its copy lacks."""

    def __init__(self, entry: m.ListedMachine, recorded: bool) -> None:
        super().__init__()
        self.entry = entry
        self.recorded = recorded
        self.returned: list[str] = []

    async def list_machines(self) -> list[m.ListedMachine]:
        return [self.entry]

    async def return_machines(self, machines: list[str]) -> None:
        self.returned += machines

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], deletes: Any = (), **more: Any
    ) -> bool:
        if self.recorded and conditions.get(KEY) == 0:
            return False
        return await super().commit(conditions, puts, deletes, **more)


class Cloud:
    def __init__(self, leader: FakeLeader) -> None:
        self.list_machines = leader.list_machines
        self.return_machines = leader.return_machines


def run_rounds(state: Any, recorded: bool) -> FakeLeader:
    async def scenario() -> FakeLeader:
        entry = m.ListedMachine(NAME, "10.1.0.9:9000", "t4", "east", False, state, 1e6)
        leader = FakeLeader(entry, recorded)
        leader.fleet._cloud = Cloud(leader)  # type: ignore[assignment]
        for _ in range(3):
            await leader.fleet.check_listing()
            await leader.fleet.return_machines()
        await asyncio.sleep(0)
        return leader

    leader: FakeLeader = run_virtually(scenario)
    return leader


def test_a_machine_with_a_record_that_the_copy_lacks_is_kept() -> None:
    assert run_rounds("starting", recorded=True).returned == []
    assert run_rounds("failed", recorded=True).returned == []


def test_a_machine_without_a_record_is_marked_and_then_returned_once() -> None:
    for state, why in (("starting", "never came up"), ("failed", "failed")):
        leader = run_rounds(state, recorded=False)
        assert leader.returned == [NAME]
        record = leader.replica.machines[NAME].record
        assert (record.state, record.why, record.zone) == ("gone", why, "east")
