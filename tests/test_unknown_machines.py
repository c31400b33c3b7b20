"""A machine without a record is not given back on the word of an old copy.

What happens: the cloud's list names a machine as `starting` for long, or as failed, of which the
fleet's leader has no record, and the leader deletes it. The list lags by up to ten seconds and the
leader's copy may be behind as well: the machine can be up meanwhile, recorded by its owner and with
tasks bound to it. Its deletion then throws their work away.

Why: `Fleet.listing` asked only its own copy, after waiting for the list; nothing durable stood
between that look and the deletion. All other machines are marked before they are given back, and
bindings fail on the mark.

What showed it: below, `given_back == ["vm-000009"]` while the state service has it as `up`. Found
by reading (the open row of docs/incidents/ran-twice-at-size.md), not on a day that was played.
"""

import asyncio
from typing import Any

from pulleydeal.fleet import messages as m
from pulleydeal.store import records as r
from tests.test_rentals import Node, by_virtual_clock

NAME = "vm-000009"
KEY = r.machine_key(NAME)


class Lead(Node):
    """The fleet's leader, whose copy may lack what the state service has."""

    def __init__(self, entry: m.Listed, recorded: bool) -> None:
        super().__init__()
        self.entry = entry
        self.recorded = recorded
        self.given_back: list[str] = []

    async def listing(self) -> list[m.Listed]:
        return [self.entry]

    async def give_back_now(self, machines: list[str]) -> None:
        self.given_back += machines

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], deletes: Any = (), **more: Any
    ) -> bool:
        if self.recorded and conditions.get(KEY) == 0:
            return False
        return await super().commit(conditions, puts, deletes, **more)


class Cloud:
    def __init__(self, lead: Lead) -> None:
        self.listing = lead.listing
        self.give_back = lead.give_back_now


def played(state: Any, recorded: bool) -> Lead:
    async def day() -> Lead:
        entry = m.Listed(NAME, "10.1.0.9:9000", "t4", "east", False, state, 1e6)
        lead = Lead(entry, recorded)
        lead.fleet._cloud = Cloud(lead)  # type: ignore[assignment]
        for _ in range(3):
            await lead.fleet.listing()
            await lead.fleet.give_back()
        await asyncio.sleep(0)
        return lead

    lead: Lead = by_virtual_clock(day)
    return lead


def test_a_machine_whose_record_the_copy_lacks_is_kept() -> None:
    assert played("starting", recorded=True).given_back == []
    assert played("failed", recorded=True).given_back == []


def test_a_machine_that_has_no_record_is_marked_and_then_given_back_once() -> None:
    for state, why in (("starting", "never came up"), ("failed", "failed")):
        lead = played(state, recorded=False)
        assert lead.given_back == [NAME]
        record = lead.replica.machines[NAME].record
        assert (record.state, record.why, record.zone) == ("gone", why, "east")
