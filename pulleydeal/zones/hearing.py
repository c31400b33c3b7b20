"""A node that alone hears none of its machines of a zone hands them over, and takes them back."""

import asyncio
from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal.features.context import FeatureContext
from pulleydeal.http import Client, NoAnswer
from pulleydeal.workers.reachability import Seen, seen
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses


class Hearing:
    """The view holds what was handed over, so whoever reads it knows the owner; only how often
    is remembered here, and begins anew with the node."""

    def __init__(
        self,
        context: FeatureContext,
        others_see: Callable[[], list[Seen]],
        all_on: Callable[[], bool],
    ) -> None:
        self._context = context
        self._membership = context.membership
        self._others_see = others_see
        self._all_on = all_on
        self._zones = {zone: losses.Deafness() for zone in context.deployment.zones}

    async def work(self) -> None:
        """One round; run for ever."""
        await asyncio.sleep(z.STANDING_S)
        if not self._membership.is_member or not self._all_on():
            return
        deaf = {zone for m, zone in self._membership.view.deaf if m == self._membership.me}
        stations = list(self._context.stations.values())
        now, report_s = self._context.clock.now(), self._context.deployment.workers.report_s
        alone = losses.unheard(seen(stations, now, report_s), self._others_see(), deaf)
        over = {
            zone
            for zone, deafness in self._zones.items()
            if deafness.look(zone in alone and zone not in deaf)
        }
        if over and await self._membership.say_deaf(deaf | over):
            for zone in over:
                self._zones[zone].over()
        elif deaf:
            await self._take_back(deaf)

    async def _take_back(self, deaf: set[str]) -> None:
        zones = sorted(deaf)
        answers = await asyncio.gather(*(self._answers(zone) for zone in zones))
        now = self._context.clock.now()
        heard = {
            zone
            for zone, answered in zip(zones, answers, strict=True)
            if self._zones[zone].asked(answered, now)
        }
        if heard:
            await self._membership.say_deaf(deaf - heard)

    async def _answers(self, zone: str) -> bool:
        """Whether machines there can be reached from here; they are not commanded."""
        machines = [
            m.record.addr
            for _, m in sorted(self._context.replica.machines.items())
            if m.record.zone == zone and m.record.state == "up" and m.record.addr
        ]
        step = max(1, len(machines) // z.HEAR_PROBES)
        asked = machines[::step][: z.HEAR_PROBES]
        answers = await asyncio.gather(*(self._inspect(addr) for addr in asked))
        # One of them may have died; none to ask says nothing against hearing.
        return sum(answers) * 2 >= len(answers)

    async def _inspect(self, addr: str) -> bool:
        client = Client(addr, self._context.clock)
        try:
            status, _ = await client.request("GET", "/inspect", None, c.PROBE_TIMEOUT_S)
        except NoAnswer:
            return False
        finally:
            client.close()
        return status == 200
