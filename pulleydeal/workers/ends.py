"""Records task exits durably, and tracks those that are still being written."""

import asyncio
from collections.abc import Callable
from functools import partial

from pulleydeal.clock import Clock
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.store.draft import Draft
from pulleydeal.store.rate import Turn
from pulleydeal.store.reasons import shown
from pulleydeal.store.service import Store
from pulleydeal.workers import messages as m
from pulleydeal.workers.changes import apply_exit
from pulleydeal.workers.station import Exit, Start, Station


class Ends:
    """`written`: called with a machine after an exit there was written or dropped."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        stations: dict[str, Station],
        written: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._stations = stations
        self._written = written
        self.pending: set[Start] = set()  # exits being written: none of these may be started

    def record(self, station: Station, gone: Exit) -> None:
        """Logs an exit and queues its write, unless that is already pending."""
        start = (gone.job, gone.index, gone.attempt)
        if start in self.pending:
            return
        self.pending.add(start)
        if gone.outcome == "error":
            station.errors.append((self._clock.now(), start))
        self._decisions.write(
            Decision(
                Action.END,
                f"{gone.outcome}: {shown(gone.detail)}",
                m.task_name(gone.job, gone.index),
                gone.attempt,
                gone.machine,
                session=station.session,
                seq=station.seq,
            )
        )
        self._metrics.stops.labels(gone.outcome).inc()
        future = self._store.change_job(
            gone.job, partial(self._prove, station, gone), turn=Turn.WORK
        )
        future.add_done_callback(partial(self._finish, station.id, start))

    def _finish(self, machine: str, start: Start, _: "asyncio.Future[bool]") -> None:
        self.pending.discard(start)
        self._written(machine)

    def _prove(self, station: Station, gone: Exit, draft: Draft) -> None:
        """Applies the exit to the newest record, if its proof still holds.

        The commit is conditional on that record and the view. Absence of a task proves nothing once
        another node may have renewed the lease or commanded the machine: a node that was cut off
        and removed from the view concluded exits from silence, wrote them on its return, and tasks
        ran twice.
        """
        still_owner = self._membership.is_member and self._stations.get(station.id) is station
        if still_owner or not gone.by_absence:
            apply_exit(draft, gone)
