"""What a scenario expects at a moment, and what it says when it finds something else."""

import asyncio
from typing import TYPE_CHECKING, Any

from pulleydeal.http import Client
from standins.net import on_host
from standins.script import row

if TYPE_CHECKING:
    from standins.scenario import Scenario


class Expected:
    """Mixed into the scenario."""

    def do_expect(self: "Scenario", what: str, value: str, count: str = "1", *more: str) -> None:
        if what == "service" and self.services:
            on_host(self._users, self.services.expect(value, count, *more))
            return
        if what == "machines":
            self._expect_count(len(self.cloud.blocks), value, what)
        elif what == "deaf":
            deaf = sorted({pair[0] for pair in self.state.keys["p/view"][0]["deaf"]})
            self._expect(f"{deaf or ['none']} deaf", f"{[value]} deaf")
        elif what == "condemned":
            records = [x[0] for key, x in self.state.keys.items() if key.startswith("p/m/")]
            sick = sum(record.get("why") == "sick" for record in records)
            self._expect(f"{sick} condemned", f"{value} condemned")
        elif what == "fleet":
            # Nothing is rented that no record knows, nor known that is not there.
            records = [(k, x[0]["state"]) for k, x in self.state.keys.items() if k[:4] == "p/m/"]
            known = sorted(key[4:] for key, state in records if state != "gone")
            there = sorted(self.cloud.blocks)
            self._expect(f"rented {there}", f"rented {known}")
        elif what == "kept":
            self._expect(f"{value} kept: {value in self.cloud.blocks}", f"{value} kept: True")
        elif what in self._nodes:
            on_host(self._users, self._expect_up(what, value))
        elif what == "starts":
            self._expect_count(self.rules.starts, value, what)
        elif what == "lost":
            self._expect(f"{self.rules.lost} lost", f"{value} lost")
        else:
            for job in row(what, count):
                on_host(self._users, self._expect_state(job, value))

    def _expect_count(self: "Scenario", there: int, wanted: str, what: str) -> None:
        least = int(wanted.rstrip("+"))
        if there < least or (there > least and not wanted.endswith("+")):
            self._expect(f"{there} {what}", f"{wanted} {what}")

    async def _expect_up(self: "Scenario", node: str, wanted: str) -> None:
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        status, _ = await client.request("GET", "/up")
        client.close()
        self._expect(f"/up of {node} is {status}", f"/up of {node} is {wanted}")

    async def _expect_state(self: "Scenario", job: str, wanted: str) -> None:
        told = await self._ask("GET", job, f"/submissions/{job}")
        wanted = told if told in wanted.split("|") else wanted
        self._expect(f"{job} is {told}", f"{job} is {wanted}")

    def unheard(self: "Scenario", context: dict[str, Any]) -> None:
        """An exception that reached the event loop: no part of the service may leave one."""
        error = context.get("exception")
        # A killed host's connections are cancelled; asyncio's own callback asks them for a failure.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self._loop.time():.1f}: {context['message']}: {error!r}")

    def _expect(self: "Scenario", found: str, wanted: str) -> None:
        if found != wanted:
            self.failures.append(f"{self._loop.time():.1f}: {found}, not: {wanted}")
