"""Sends health checks to copies: one HTTP request each, bounded concurrency, no kept connection."""

import asyncio

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.description import Check
from pulleydeal.rollouts.health import ProbeResult, RegisteredCopy


class Prober:
    """Checks many copies at once, with at most MAX_CONCURRENT_PROBES requests in flight."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slots = asyncio.Semaphore(rc.MAX_CONCURRENT_PROBES)
        self.probes_sent = 0

    async def check_all(
        self, copies: list[RegisteredCopy], check: Check
    ) -> tuple[dict[str, ProbeResult], float]:
        """Results by job, and by how much the round exceeded its expected duration. A prober that
        was stalled, or that had to wait for sockets of its own, proves nothing about copies."""
        started = self._clock.now()
        results: dict[str, ProbeResult] = {}

        async def check_one(copy: RegisteredCopy) -> None:
            async with self._slots:
                results[copy.job] = await self._probe(copy, check)

        await asyncio.gather(*(check_one(copy) for copy in copies))
        batches = -(-len(copies) // rc.MAX_CONCURRENT_PROBES)
        elapsed_s = self._clock.now() - started
        return results, max(0.0, elapsed_s - batches * check.timeout_s)

    async def _probe(self, copy: RegisteredCopy, check: Check) -> ProbeResult:
        self.probes_sent += 1
        client = Client(copy.address, self._clock)
        try:
            status, body = await client.request("GET", check.path, None, check.timeout_s)
        except NoResponse as error:
            return ProbeResult("silent", f"no answer: {error}"[: rc.MAX_EVIDENCE_CHARS])
        finally:
            client.close()
        if 200 <= status < 300:
            return ProbeResult("good", str(status))
        text = body[: rc.MAX_EVIDENCE_CHARS].decode(errors="replace").strip()
        return ProbeResult("bad", f"{status} {text}"[: rc.MAX_EVIDENCE_CHARS])
