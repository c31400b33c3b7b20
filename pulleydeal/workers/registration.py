"""Writes the durable record of a machine, which exists before any task is bound to it."""

import logging

from pulleydeal.clock import Clock
from pulleydeal.store import records as r
from pulleydeal.store.service import Store
from pulleydeal.workers import messages as m

log = logging.getLogger("pulleydeal.workers")


class MachineRegistrar:
    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._replica = store.replica
        self._clock = clock
        self._writing: set[str] = set()

    async def register(self, report: m.Report) -> None:
        if report.machine in self._writing:
            return
        self._writing.add(report.machine)
        try:
            old = self._replica.machines.get(report.machine)
            state: r.MachineState = "up"
            if old is not None and old.record.state in ("drain", "gone"):
                state = old.record.state
            record = r.MachineRecord(
                state, report.type, report.zone, report.spot, report.addr, self._clock.wall()
            )
            conditions = {r.machine_key(report.machine): old.version if old else 0}
            if await self._store.commit(conditions, {r.machine_key(report.machine): record}):
                log.info(
                    "machine %s is up in %s%s",
                    report.machine,
                    report.zone,
                    " (spot)" if report.spot else "",
                    extra={"machine": report.machine},
                )
        finally:
            self._writing.discard(report.machine)
