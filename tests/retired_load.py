"""Loads records of retired jobs as a node does at its start, and prints the memory that it takes.

Run as a process of its own: `python -m tests.retired_load JOBS`. It prints the bytes of private
memory a job that are held after the load, and the most that were held during it.
"""

import asyncio
import gc
import random
import sys
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal import constants as c
from pulleydeal.clock import SystemClock
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.limits import Limits
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

STEP = 10  # ids are drawn, one of so many


def private_b() -> int:
    """Private memory of this process, as the kernel counts it."""
    status = Path("/proc/self/status").read_text()
    return int(status.partition("RssAnon:")[2].split()[0]) * 1024


class RetiredJobsService:
    """Answers as the client of a state service that holds records of retired jobs."""

    served_at = 0.0

    def __init__(self, jobs: int) -> None:
        self._jobs = jobs
        self._rng = random.Random(1)
        self.peak_b = 0

    async def page(self, prefix: str, after: str | None) -> m.Page:
        """As decoded from the body of an answer, in which the values stay."""
        first = 0 if after is None else int(after.removeprefix(r.job_key("j-"))) // STEP + 1
        last = min(self._jobs, first + c.PAGE_LIMIT)
        entries = []
        for i in range(first, last):
            record = r.JobRecord("done", 4, 1.7e9 + i, None, 1.7e9 + i + self._rng.random())
            name = f"j-{i * STEP + self._rng.randrange(STEP):07d}"
            value = msgspec.Raw(msgspec.json.encode(record))
            entries.append(m.Entry(r.job_key(name), value, i + 1))
        body = msgspec.json.encode(m.Page(self._jobs, entries, last < self._jobs))
        self.peak_b = max(self.peak_b, private_b())
        return m.PAGE.decode(body)

    async def watch(self, prefix: str, after: int) -> m.Changes:
        await asyncio.Event().wait()
        raise AssertionError("nothing changes")


async def load(jobs: int) -> tuple[float, float]:
    """Bytes a job after the load and at its peak."""
    service = RetiredJobsService(jobs)
    await service.page("", None)  # what a page takes for a moment is not counted
    client: Any = service
    replica = Replica()
    store = Store(client, replica, SystemClock(), random.Random(1), Limits(2_000, 8))
    gc.collect()
    before = service.peak_b = private_b()
    following = asyncio.ensure_future(store.follow())
    await replica.wait_for_revision(jobs)
    gc.collect()
    after = private_b()
    peak = max(service.peak_b, after)
    assert len(replica.jobs) == jobs
    following.cancel()
    return (after - before) / jobs, (peak - before) / jobs


if __name__ == "__main__":
    held_b, peak_b = asyncio.run(load(int(sys.argv[1])))
    print(held_b, peak_b)
