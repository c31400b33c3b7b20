"""Hands over a zone whose machines only this node can't hear, and takes it back on recovery."""

import asyncio
from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal.features.context import FeatureContext
from pulleydeal.http import Client, NoResponse
from pulleydeal.workers.reachability import SilenceCounts, count_silent
from pulleydeal.zones import constants as z
from pulleydeal.zones import losses


class DeafnessMonitor:
    """Detects zones that this node is deaf to and records them in the view.

    The view holds which zones are handed over, so every node derives the same owners from it.
    Only the number of handovers is kept here, and starts at zero with each start of the node.

    `all_enabled`: whether, by this node's copy of the state, every configured node, also one that
    is down, has announced the zones feature, and the software of all supports features (see
    `all_enable` in membership/service.py). Otherwise a round does nothing.
    """

    def __init__(
        self,
        context: FeatureContext,
        peer_observations: Callable[[], list[SilenceCounts]],
        all_enabled: Callable[[], bool],
    ) -> None:
        self._context = context
        self._membership = context.membership
        self._peer_observations = peer_observations
        self._all_enabled = all_enabled
        self._zones = {zone: losses.Deafness() for zone in context.deployment.zones}

    async def run_round(self) -> None:
        """One round of detection or recovery; the node repeats it for ever."""
        await asyncio.sleep(z.STATUS_INTERVAL_S)
        if not self._membership.is_member or not self._all_enabled():
            return
        deaf = {zone for m, zone in self._membership.view.deaf if m == self._membership.me}
        machines = list(self._context.machines.values())
        now, report_s = self._context.clock.now(), self._context.deployment.workers.report_s
        only_here = losses.deaf_zones(
            count_silent(machines, now, report_s), self._peer_observations(), deaf
        )
        newly_deaf = {
            zone
            for zone, deafness in self._zones.items()
            if deafness.observe(zone in only_here and zone not in deaf)
        }
        if newly_deaf and await self._membership.record_deaf_zones(deaf | newly_deaf):
            for zone in newly_deaf:
                self._zones[zone].record_handover()
        elif deaf:
            await self._take_back(deaf)

    async def _take_back(self, deaf: set[str]) -> None:
        zones = sorted(deaf)
        answers = await asyncio.gather(*(self._probe_zone(zone) for zone in zones))
        now = self._context.clock.now()
        recovered = {
            zone
            for zone, answered in zip(zones, answers, strict=True)
            if self._zones[zone].record_probes(answered, now)
        }
        if recovered:
            await self._membership.record_deaf_zones(deaf - recovered)

    async def _probe_zone(self, zone: str) -> bool:
        """Whether the zone's machines can be reached from here; sends them no commands."""
        machines = [
            m.record.addr
            for _, m in sorted(self._context.replica.machines.items())
            if m.record.zone == zone and m.record.state == "up" and m.record.addr
        ]
        step = max(1, len(machines) // z.RECOVERY_PROBES)
        probed = machines[::step][: z.RECOVERY_PROBES]
        answers = await asyncio.gather(*(self._probe(addr) for addr in probed))
        # Half suffices, as one of them may have died. No machine to probe counts as success.
        return sum(answers) * 2 >= len(answers)

    async def _probe(self, addr: str) -> bool:
        client = Client(addr, self._context.clock)
        try:
            status, _ = await client.request("GET", "/inspect", None, c.PROBE_TIMEOUT_S)
        except NoResponse:
            return False
        finally:
            client.close()
        return status == 200
