"""Machines' records: changed on their versions and the view, many in one transaction."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.fleet.messages import Listed
from pulleydeal.store import records as r
from pulleydeal.store.rate import Turn
from pulleydeal.store.replica import Machine
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.fleet")

FAILED = "failed"
NEVER_CAME_UP = "never came up"


class MachineRecords:
    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._replica = store.replica
        self._clock = clock
        self.batch = min(store.limits.ops, c.RECORDS_AT_ONCE)  # records in one transaction

    async def mark(self, machines: Iterable[Machine], why: str, turn: Turn = Turn.LATER) -> None:
        """From then on no task can be bound to them; they are to be given back."""
        wall = self._clock.wall()

        def drain(old: r.MachineRecord) -> r.MachineRecord:
            return msgspec.structs.replace(old, state="drain", why=why, at=wall)

        for machine in await self._rewrite(list(machines), drain, turn):
            _log_marked(machine.id, why)

    async def mark_unknown(self, listed: Listed, why: str) -> None:
        """The same of a machine that the cloud lists and this node's copy does not have.

        The list lags, and the copy may too: by now the machine may be up, with a record and tasks.
        Deleted without a record of its own, their work was lost.
        """
        record = r.MachineRecord(
            "drain", listed.type, listed.zone, listed.spot, at=self._clock.wall(), why=why
        )
        key = r.machine_key(listed.id)
        conditions = {r.VIEW: self._replica.view_version, key: 0}
        if await self._store.commit(conditions, {key: record}, turn=Turn.LATER):
            _log_marked(listed.id, why)

    async def record_gone(self, names: list[str]) -> None:
        """The cloud's answer proved it."""
        wall = self._clock.wall()

        def gone(old: r.MachineRecord) -> r.MachineRecord:
            return msgspec.structs.replace(old, state="gone", at=wall)

        while left := [
            machine
            for machine in map(self._replica.machines.get, names)
            if machine is not None and machine.record.state != "gone"
        ]:
            for machine in await self._rewrite(left, gone, turn=Turn.FIRST):
                log.info(
                    "machine %s given back (%s)",
                    machine.id,
                    machine.record.why,
                    extra={"machine": machine.id},
                )

    async def purge(self) -> None:
        """Drops the records of machines that are gone for so long that no old report is heard."""
        wall = self._clock.wall()
        old = [
            machine
            for machine in self._replica.machines.values()
            if machine.record.state == "gone"
            and wall - machine.record.at > c.GONE_KEEP_S
            and not self._replica.bound.get(machine.id)
        ]
        await self._rewrite(old, lambda record: None, turn=Turn.LATER)

    async def _rewrite(
        self,
        machines: list[Machine],
        change: Callable[[r.MachineRecord], r.MachineRecord | None],
        turn: Turn,
    ) -> list[Machine]:
        """Changes records (None: drops them); tells which it did."""
        written = []
        for start in range(0, len(machines), self.batch):
            batch = machines[start : start + self.batch]
            conditions = {r.machine_key(m.id): m.version for m in batch}
            conditions[r.VIEW] = self._replica.view_version
            new = {r.machine_key(m.id): change(m.record) for m in batch}
            puts: dict[str, object] = {k: v for k, v in new.items() if v is not None}
            drops = [k for k, v in new.items() if v is None]
            if await self._store.commit(conditions, puts, drops, turn=turn):
                written += batch
            elif len(batch) > 1:
                for machine in batch:  # one of them moved: the others need not wait for it
                    written += await self._rewrite([machine], change, turn)
        return written


def _log_marked(machine: str, why: str) -> None:
    log.info("machine %s is to go: %s", machine, why, extra={"machine": machine})
