"""A user cancels a job of the first stage of a pipeline; the controllers must go on answering."""

import asyncio
import sys

from review.harness import TROUBLE, ReviewTown, job, run

STAGES = 9
WIDTH = 11  # jobs of a stage; each waits on all jobs of the stage before it
HANG_S = 30.0  # a probe fails after 1 s, a user's request after 5 s: far above both
USER_S = 60.0  # PROTOCOL: a request is repeated for up to 60 s in total


async def probe(town: ReviewTown, longest: list[float]) -> None:
    """Probes all nodes every second, as the load balancer does."""
    silent_since: float | None = None
    while True:
        began = town.now()
        names = list(town.nodes)
        up = await asyncio.gather(*(town.up(name) for name in names))
        town.record.write(f"probe: {dict(zip(names, up, strict=True))}, alive: {town.alive()}")
        if any(up):
            silent_since = None
        elif silent_since is None:
            silent_since = began
        if silent_since is not None:
            longest[0] = max(longest[0], town.now() - silent_since)
        await asyncio.sleep(max(0.0, 1.0 - (town.now() - began)))


async def play(town: ReviewTown) -> None:
    # Somebody else's work, which runs all the time.
    await town.submit(job("j-900", lifts=2, haul_s=300.0), 300.0)
    await town.until("it runs", lambda: len(town.on_machines("j-900")) > 0, 40.0)
    stages: list[list[str]] = []
    for stage in range(STAGES):
        names = [f"j-{1 + stage * WIDTH + i}" for i in range(WIDTH)]
        before = stages[-1] if stages else None
        for name in names:
            small = {"lifts": 1, "vcpus": 1.0, "accelerators": 0.0, "ram_gb": 4.8}
            await town.submit(job(name, waits_on=before, urgency="low", **small), 300.0)
        stages.append(names)
    longest = [0.0]
    probes = town.spawn(probe(town, longest))
    await asyncio.sleep(2.0)
    told = await town.cancel(stages[0][0]) if TROUBLE else True
    if TROUBLE and told:
        await asyncio.sleep(40.0)
    elif not TROUBLE:
        await asyncio.sleep(USER_S)
    probes.cancel()
    town.record.write(f"no node answered for {longest[0]:.1f} s")
    town.record.write(f"tasks lost as a lease ran out: {town.rules.lost}")
    town.record.write(f"peak memory, MB: {town.peak_mb()}")
    if longest[0] > HANG_S:
        town.breaks(
            "hang", f"no node answered a probe for {longest[0]:.1f} s, alive: {town.alive()}"
        )
    if not told:
        town.breaks("hang", f"the cancellation was not answered within {USER_S:.0f} s")


if __name__ == "__main__":
    sys.exit(run(__file__, "hang", play))
