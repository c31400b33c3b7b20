"""Writes machine records, many in one transaction, conditional on their versions and the view."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.fleet.messages import ListedMachine
from pulleydeal.store import records as r
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.replica import Machine
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.fleet")

FAILED = "failed"
NEVER_CAME_UP = "never came up"


class MachineRecords:
    """Marks machines for return and records that they are gone."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._replica = store.replica
        self._clock = clock
        # The most records in one transaction
        self.max_records = min(store.limits.ops, c.RECORDS_AT_ONCE)

    async def mark_for_return(
        self,
        machines: Iterable[Machine],
        why: str,
        priority: WritePriority = WritePriority.BACKGROUND,
    ) -> None:
        """Marks machines for return; from then on no task can be bound to them."""
        wall = self._clock.wall()

        def drain(old: r.MachineRecord) -> r.MachineRecord:
            return msgspec.structs.replace(old, state="drain", why=why, at=wall)

        for machine in await self._rewrite(list(machines), drain, priority):
            _log_marked(machine.id, why)

    async def mark_unrecorded(self, listed: ListedMachine, why: str) -> None:
        """Marks a machine that the cloud lists and this node's copy lacks.

        Both the list and the copy may lag: the machine may be up by now, with a record and tasks,
        and returning it unmarked lost their work. The write fails if it has a record.
        """
        record = r.MachineRecord(
            "drain", listed.type, listed.zone, listed.spot, at=self._clock.wall(), why=why
        )
        key = r.machine_key(listed.id)
        conditions = {r.VIEW_KEY: self._replica.view_version, key: 0}
        if await self._store.commit(conditions, {key: record}, priority=WritePriority.BACKGROUND):
            _log_marked(listed.id, why)

    async def record_gone(self, names: list[str]) -> None:
        """Records that the cloud has taken the machines back."""
        wall = self._clock.wall()

        def gone(old: r.MachineRecord) -> r.MachineRecord:
            return msgspec.structs.replace(old, state="gone", at=wall)

        while remaining := [
            machine
            for machine in map(self._replica.machines.get, names)
            if machine is not None and machine.record.state != "gone"
        ]:
            for machine in await self._rewrite(remaining, gone, priority=WritePriority.URGENT):
                log.info(
                    "machine %s returned (%s)",
                    machine.id,
                    machine.record.why,
                    extra={"machine": machine.id},
                )

    async def purge(self) -> None:
        """Deletes records of machines gone for so long that no late report of them can arrive."""
        wall = self._clock.wall()
        old = [
            machine
            for machine in self._replica.machines.values()
            if machine.record.state == "gone"
            and wall - machine.record.at > c.GONE_KEEP_S
            and not self._replica.tasks_by_machine.get(machine.id)
        ]
        await self._rewrite(old, lambda record: None, priority=WritePriority.BACKGROUND)

    async def _rewrite(
        self,
        machines: list[Machine],
        change: Callable[[r.MachineRecord], r.MachineRecord | None],
        priority: WritePriority,
    ) -> list[Machine]:
        """Applies `change` to each record (None: deletes it); returns the machines it changed."""
        written = []
        for start in range(0, len(machines), self.max_records):
            batch = machines[start : start + self.max_records]
            conditions = {r.machine_key(m.id): m.version for m in batch}
            conditions[r.VIEW_KEY] = self._replica.view_version
            new = {r.machine_key(m.id): change(m.record) for m in batch}
            puts: dict[str, object] = {k: v for k, v in new.items() if v is not None}
            deletions = [k for k, v in new.items() if v is None]
            if await self._store.commit(conditions, puts, deletions, priority=priority):
                written += batch
            elif len(batch) > 1:
                for machine in batch:  # one record changed: write the others without it
                    written += await self._rewrite([machine], change, priority)
        return written


def _log_marked(machine: str, why: str) -> None:
    log.info("machine %s is marked for return: %s", machine, why, extra={"machine": machine})
