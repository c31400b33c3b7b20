"""The machine types and their prices: the lead keeps what the cloud says in the state service."""

import asyncio
import logging

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.fleet import plan
from pulleydeal.fleet.cloud import Cloud, CloudTrouble, NoCapacity
from pulleydeal.membership.service import Membership
from pulleydeal.store import records as r
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.fleet")


class Types:
    def __init__(self, membership: Membership, store: Store, cloud: Cloud, clock: Clock) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._cloud = cloud
        self._clock = clock
        self._priced_at = -1e9

    async def catalog(self) -> None:
        """One round: the lead keeps the types (and prices) in the state service."""
        await asyncio.sleep(0.1)
        old = self._clock.now() - self._priced_at > c.CATALOG_EVERY_S
        if not self._membership.leads_fleet() or not (old or not self._replica.types):
            return
        try:
            catalog = r.Catalog(await self._cloud.catalog())
        except (CloudTrouble, NoCapacity) as error:
            log.info("no catalogue from the cloud: %s", error)
            # With types known only prices are missing: leave the calls to rentals and returns.
            await asyncio.sleep(c.CATALOG_RETRY_S if self._replica.types else c.LOOP_PAUSE_S)
            return
        if {t.name: t for t in catalog.types} != self._replica.types:
            await self._record_types(catalog)
        self._priced_at = self._clock.now()

    async def _record_types(self, catalog: r.Catalog) -> None:
        """As many values as it takes; an older version sees the types that fit into the first."""
        parts = plan.split_catalog(catalog, self._store.limits)
        puts: dict[str, object] = {r.CATALOG: parts[0]}
        puts |= {r.types_key(k): part for k, part in enumerate(parts[1:], 1)}
        old = {r.PREFIX + f"t/{name}" for name in self._replica.more_types}
        drops = sorted(old - set(puts))
        # A copy that is carried out late must not bring back older types.
        read = {r.CATALOG: self._replica.version(r.CATALOG)}
        await self._store.commit({r.VIEW: self._replica.view_version} | read, puts, drops)
