"""State service and cloud in a process of their own: `python3 -m standins.outside PLAN`.

They enforce their published limits, and start with the records of an already running cluster.
"""

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal.clock import SystemClock
from pulleydeal.settings import split_address
from standins import hub_messages as m
from standins.cloud import CloudService
from standins.hub import MAX_LINE_B
from standins.state import StateService

PROGRESS_S = 0.2


class Block(msgspec.Struct):
    """A machine that is already running."""

    name: str
    addr: str
    yard: str
    loaners: bool


class OutsidePlan(msgspec.Struct):
    """The configuration file of the process."""

    hub: str
    state: str
    cloud: str
    type: dict[str, Any]
    value_kb: float
    txn_ops: int
    write_rps: float
    rps: float
    records: list[tuple[str, Any]]
    blocks: list[Block]


class Outside:
    """The simulated state service and cloud of a scale run."""

    def __init__(self, plan: OutsidePlan, clock: SystemClock) -> None:
        self._plan, self._clock = plan, clock
        self.state = StateService(1)
        # No capacity: a run uses only the machines that exist from the start.
        self.cloud = CloudService([plan.type], {}, clock, lambda *_: "", lambda _: None)

    def fill(self) -> None:
        for key, data in self._plan.records:
            self.state.put(key, data)
        for machine in self._plan.blocks:
            self.cloud.capacity.setdefault((machine.yard, machine.loaners), 0)
            self.cloud.hold(machine.name, self._plan.type["name"], machine.yard, machine.loaners)
        plan = self._plan
        self.state.limit(plan.value_kb, plan.txn_ops, plan.write_rps, plan.rps)

    async def outage(self, for_s: float) -> None:
        self.state.set_down(True)
        await asyncio.sleep(for_s)
        self.state.set_down(False)

    async def tell_progress(self, writer: asyncio.StreamWriter) -> None:
        while True:
            counts = dict(self.state.counts) | {"state keys": len(self.state.keys)}
            writer.write(m.line(m.Progress(self._clock.now(), counts)))
            await asyncio.sleep(PROGRESS_S)


async def main(plan_file: Path) -> None:
    plan = msgspec.json.decode(plan_file.read_bytes(), type=OutsidePlan)
    outside = Outside(plan, SystemClock())
    outside.fill()
    loops = [
        asyncio.ensure_future(outside.state.run(plan.state)),
        asyncio.ensure_future(outside.cloud.run(plan.cloud)),
    ]
    reader, writer = await asyncio.open_connection(*split_address(plan.hub), limit=MAX_LINE_B)
    loops.append(asyncio.ensure_future(outside.tell_progress(writer)))
    outages: set[asyncio.Task[None]] = set()
    while data := await reader.readline():
        message = m.DOWN.decode(data)
        if isinstance(message, m.Outage):
            outages.add(asyncio.ensure_future(outside.outage(message.for_s)))
    for loop in loops:
        loop.cancel()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(Path(sys.argv[1])))
