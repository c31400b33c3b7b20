"""Machine types and prices: the fleet leader copies the cloud's catalogue to the state service."""

import asyncio
import logging

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.fleet import plan
from pulleydeal.fleet.cloud import Cloud, CloudError, NoCapacity
from pulleydeal.membership.service import Membership
from pulleydeal.store import records as r
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.fleet")


class CatalogUpdater:
    """Refreshes the catalogue of machine types on the node that leads the fleet."""

    def __init__(self, membership: Membership, store: Store, cloud: Cloud, clock: Clock) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._cloud = cloud
        self._clock = clock
        self._refreshed_at = -1e9

    async def update(self) -> None:
        """One round: records the cloud's types and prices in the state service if they changed."""
        await asyncio.sleep(0.1)
        stale = self._clock.now() - self._refreshed_at > c.CATALOG_EVERY_S
        if not self._membership.leads_fleet() or not (stale or not self._replica.types):
            return
        try:
            catalog = r.Catalog(await self._cloud.fetch_catalog())
        except (CloudError, NoCapacity) as error:
            log.info("catalogue call to the cloud failed: %s", error)
            # If types are known only prices are stale, and rentals and returns need the calls more.
            await asyncio.sleep(c.CATALOG_RETRY_S if self._replica.types else c.LOOP_PAUSE_S)
            return
        if {t.name: t for t in catalog.types} != self._replica.types:
            await self._record_types(catalog)
        self._refreshed_at = self._clock.now()

    async def _record_types(self, catalog: r.Catalog) -> None:
        """Writes as many values as needed; older versions only read the types in the first one."""
        parts = plan.split_catalog(catalog, self._store.limits)
        puts: dict[str, object] = {r.CATALOG_KEY: parts[0]}
        puts |= {r.types_key(k): part for k, part in enumerate(parts[1:], 1)}
        existing = {r.KEY_PREFIX + f"t/{name}" for name in self._replica.extra_types}
        deletions = sorted(existing - set(puts))
        # Conditional on the catalogue's version, so a write executed late can't restore old types.
        conditions = {r.CATALOG_KEY: self._replica.version(r.CATALOG_KEY)}
        await self._store.commit(
            {r.VIEW_KEY: self._replica.view_version} | conditions, puts, deletions
        )
