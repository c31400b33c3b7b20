"""Sends commands straight to machines, and says what may still come of an unanswered one."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from pulleydeal import constants as c
from pulleydeal.background import Background
from pulleydeal.clock import Clock
from pulleydeal.http import MALFORMED, Client, NoAnswer
from pulleydeal.workers import messages as m
from pulleydeal.workers.incarnation import Known, known
from pulleydeal.workers.station import Start, Station

log = logging.getLogger("pulleydeal.workers")
Take = Callable[[Station, m.Report, Known | None], None]


class Orders:
    """`token`: with which a machine is commanded; `take`: is given the reports that come back, with
    what was known when they were asked for."""

    def __init__(
        self,
        clock: Clock,
        token: Callable[[Station], int],
        take: Take,
        changed: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._changed = changed  # called with a machine that begins or ceases to answer
        self._token = token
        self._take = take
        self._clients: dict[str, Client] = {}
        self._orders = asyncio.Semaphore(c.ORDERS_IN_FLIGHT)
        self._probes = asyncio.Semaphore(c.PROBES_IN_FLIGHT)
        self._background = Background("a worker exchange failed")

    def drop(self, addr: str) -> None:
        """The machine at that address is no concern of ours any more."""
        client = self._clients.pop(addr, None)
        if client is not None:
            client.close()

    def drop_stale(self) -> None:
        for client in self._clients.values():
            client.drop_stale()

    def _client(self, addr: str) -> Client:
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = Client(addr, self._clock)
        return client

    def probe(self, station: Station) -> None:
        """Asks a machine whose reports stay out: silence alone may be a lost packet's."""
        if station.addr and not station.busy:
            self.give(station, [], [])

    def give(self, station: Station, calls: list[dict[str, Any]], runs: list[Start]) -> None:
        station.busy = True
        self._background.spawn(self._order(station, calls, runs))

    async def _order(
        self, station: Station, calls: list[dict[str, Any]], runs: list[Start]
    ) -> None:
        # Machines that don't answer are mostly probed: they must not hold up others' orders.
        gate, patience = self._orders, c.ORDERS_TIMEOUT_S
        if not calls:
            gate, patience = self._probes, c.PROBE_TIMEOUT_S
        client = self._client(station.addr)
        try:
            async with gate:
                # What is known now: a machine that answers with less than that has begun anew.
                before = known(station)
                body = m.orders(self._token(station), station.session, calls)
                status, reply = await client.request("POST", "/orders", body, patience)
        except NoAnswer as error:
            log.debug("order to %s: %s", station.id, error)
            station.mute_since = None
            if station.unanswered_since is None:
                station.unanswered_since = self._clock.now()
                self._changed(station.id)
            self._unsettle(station, runs, executed=error.sent)
            return
        finally:
            station.busy = False
        if station.unanswered_since is not None:
            station.unanswered_since = None
            self._changed(station.id)
        for start in runs:
            if status == 200:
                station.sent[start].direct = False
                station.sent[start].settled = True
            else:
                station.sent.pop(start, None)
        if status in (200, 409):
            try:
                report = m.REPORT.decode(reply)
            except MALFORMED as error:
                log.error("machine %s answers nonsense: %s", station.id, error)
                return
            self._take(station, report, before)

    def _unsettle(self, station: Station, runs: list[Start], executed: bool) -> None:
        """An unanswered order may be executed much later: fence it before concluding."""
        if not executed:
            for start in runs:
                station.sent.pop(start, None)
            return
        if runs:
            station.raise_fence()
        for start in runs:
            station.sent[start].fence = self._token(station)
            station.sent[start].direct = False
