"""Asks copies how they are: one HTTP request each, few at once, nothing kept open."""

import asyncio

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.description import Check
from pulleydeal.rollouts.health import Answer, Copy


class Prober:
    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gate = asyncio.Semaphore(rc.PROBES_AT_ONCE)
        self.sent = 0

    async def round(self, copies: list[Copy], check: Check) -> tuple[dict[str, Answer], float]:
        """Answers by job, and how late the round was: a prober that stood still, or that had to
        queue for its own sockets, says nothing about copies."""
        began = self._clock.now()
        answers: dict[str, Answer] = {}

        async def one(copy: Copy) -> None:
            async with self._gate:
                answers[copy.job] = await self._ask(copy, check)

        await asyncio.gather(*(one(copy) for copy in copies))
        waves = -(-len(copies) // rc.PROBES_AT_ONCE)
        took = self._clock.now() - began
        return answers, max(0.0, took - waves * check.timeout_s)

    async def _ask(self, copy: Copy, check: Check) -> Answer:
        self.sent += 1
        client = Client(copy.address, self._clock)
        try:
            status, body = await client.request("GET", check.path, None, check.timeout_s)
        except NoResponse as error:
            return Answer("silent", f"no answer: {error}"[: rc.EVIDENCE_CHARS])
        finally:
            client.close()
        if 200 <= status < 300:
            return Answer("good", str(status))
        text = body[: rc.EVIDENCE_CHARS].decode(errors="replace").strip()
        return Answer("bad", f"{status} {text}"[: rc.EVIDENCE_CHARS])
