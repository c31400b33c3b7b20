"""Client of the cloud's HTTP interface."""

import asyncio
from typing import TypeVar

from msgspec.json import Decoder

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.fleet import messages as m
from pulleydeal.http import DECODE_ERRORS, Client, NoResponse
from pulleydeal.store.rate import TokenBucket
from pulleydeal.store.records import MachineType


class CloudError(Exception):
    """A call that was refused or not answered; an unanswered one may still be executed."""

    def __init__(self, reason: str, executed: bool) -> None:
        super().__init__(reason)
        self.may_have_executed = executed


class NoCapacity(Exception):
    """The cloud has no machines of the requested kind at present."""


# PROTOCOL: malformed, too many requests, outage. Calls answered with these were not executed.
NOT_EXECUTED_STATUSES = (400, 429, 503)

T = TypeVar("T")


def _decode(decoder: Decoder[T], reply: bytes) -> T:
    try:
        return decoder.decode(reply)
    except DECODE_ERRORS as error:  # the call may have been executed
        raise CloudError(f"malformed answer from the cloud: {error}", True) from error


class Cloud:
    """Rate-limited calls to the cloud: catalogue, rentals, returns and the list of machines."""

    def __init__(self, address: str, clock: Clock, rps: float) -> None:
        self._http = Client(address, clock)
        self._rate = TokenBucket(rps * 0.8, clock)

    async def _call(self, method: str, path: str, body: object = None) -> bytes:
        while (pause := self._rate.take(1, False)) > 0:
            await asyncio.sleep(pause)
        try:
            status, reply = await self._http.request(method, path, body, c.CLOUD_TIMEOUT_S)
        except NoResponse as error:
            raise CloudError(str(error), error.sent) from error
        if status == 503 and b"capacity" in reply:
            raise NoCapacity
        if status != 200:
            executed = status not in NOT_EXECUTED_STATUSES
            raise CloudError(f"{method} {path}: {status} {reply[:100]!r}", executed)
        return reply

    async def fetch_catalog(self) -> list[MachineType]:
        return [
            t.machine_type()
            for t in _decode(m.CATALOG_DECODER, await self._call("GET", "/catalog")).types
        ]

    async def rent(self, request: str, type_: str, zone: str, spot: bool, count: int) -> list[str]:
        body = m.rental_request(request, type_, zone, spot, count)
        return _decode(m.RENTAL_DECODER, await self._call("POST", "/rentals", body)).machines

    async def return_machines(self, machines: list[str]) -> None:
        await self._call("POST", "/rentals/return", m.return_request(machines))

    async def list_machines(self) -> list[m.ListedMachine]:
        machines: list[m.ListedMachine] = []
        path = f"/rentals?limit={c.LIST_PAGE}"
        while True:
            after = f"&after={machines[-1].id}" if machines else ""
            page = _decode(m.LISTING_DECODER, await self._call("GET", path + after))
            machines += page.machines
            if not page.more or not page.machines:
                return machines
