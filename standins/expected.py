"""Scenario events that check expectations, and record a failure if one does not hold."""

import asyncio
from typing import TYPE_CHECKING, Any

from pulleydeal.http import Client
from standins.net import on_host
from standins.script import row

if TYPE_CHECKING:
    from standins.scenario import Scenario


class Expected:
    """Mixin of `Scenario`: the `expect` event."""

    def do_expect(self: "Scenario", what: str, value: str, count: str = "1", *more: str) -> None:
        if what == "service" and self.services:
            on_host(self._user_host, self.services.expect(value, count, *more))
            return
        if what == "machines":
            self._expect_count(len(self.cloud.blocks), value, what)
        elif what == "deaf":
            deaf_zones = sorted({pair[0] for pair in self.state.keys["p/view"][0]["deaf"]})
            self._expect(f"{deaf_zones or ['none']} deaf", f"{[value]} deaf")
        elif what == "condemned":
            records = [x[0] for key, x in self.state.keys.items() if key.startswith("p/m/")]
            condemned = sum(record.get("why") == "sick" for record in records)
            self._expect(f"{condemned} condemned", f"{value} condemned")
        elif what == "fleet":
            # The rented machines and those with a record in the state service must be the same.
            records = [(k, x[0]["state"]) for k, x in self.state.keys.items() if k[:4] == "p/m/"]
            recorded = sorted(key[4:] for key, state in records if state != "gone")
            found = sorted(self.cloud.blocks)
            self._expect(f"rented {found}", f"rented {recorded}")
        elif what == "kept":
            self._expect(f"{value} kept: {value in self.cloud.blocks}", f"{value} kept: True")
        elif what in self._nodes:
            on_host(self._user_host, self._expect_up(what, value))
        elif what == "starts":
            self._expect_count(self.rules.starts, value, what)
        elif what == "late_orders":
            self._expect_count(self.late_orders.after_clear, value, what)
        elif what == "started_again":
            self._expect_count(self.late_orders.started_again, value, what)
        elif what == "late_orders_reboot":
            self._expect_count(self.late_orders.after_reboot, value, what)
        elif what == "lost":
            self._expect(f"{self.rules.lost} lost", f"{value} lost")
        else:
            for job in row(what, count):
                on_host(self._user_host, self._expect_state(job, value))

    def _expect_count(self: "Scenario", found: int, wanted: str, what: str) -> None:
        minimum = int(wanted.rstrip("+"))
        if found < minimum or (found > minimum and not wanted.endswith("+")):
            self._expect(f"{found} {what}", f"{wanted} {what}")

    async def _expect_up(self: "Scenario", node: str, wanted: str) -> None:
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        status, _ = await client.request("GET", "/up")
        client.close()
        self._expect(f"/up of {node} is {status}", f"/up of {node} is {wanted}")

    async def _expect_state(self: "Scenario", job: str, wanted: str) -> None:
        state = await self._ask("GET", job, f"/submissions/{job}")
        wanted = state if state in wanted.split("|") else wanted
        self._expect(f"{job} is {state}", f"{job} is {wanted}")

    def unheard(self: "Scenario", context: dict[str, Any]) -> None:
        """Records an unhandled exception from the event loop as a failure of the scenario."""
        error = context.get("exception")
        # Killing a host cancels its connection tasks; asyncio's callback reports CancelledError.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self._loop.time():.1f}: {context['message']}: {error!r}")

    def _expect(self: "Scenario", found: str, wanted: str) -> None:
        if found != wanted:
            self.failures.append(f"{self._loop.time():.1f}: {found}, not: {wanted}")
