"""Jobs of one class come four times as often; what they stop must not run twice at once."""

import asyncio
import random
import sys
from typing import Any

from review.harness import TROUBLE, PageWorker, ReviewTown, job, run

LONG_TASKS = 6
EVERY_S = 9.0
FACTOR = 4  # "jobs of a class come several times as often"
FOR_S = 65.0


async def play(town: ReviewTown) -> None:
    PageWorker.live_first = True
    # 4 machines with 8 places
    town.cloud.capacity = {key: 0 for key in town.cloud.capacity} | {("east", False): 4}
    await town.submit(job("j-1", urgency="low", lifts=8), 4.0)
    await town.until("the first job is done", lambda: town.rules.heard_over("j-1"), 40.0)
    long = job("j-2", rig="prehodnotenie", urgency="low", lifts=LONG_TASKS, belay_s=3.0)
    await town.submit(long, 120.0)
    await town.until(
        "its tasks run",
        lambda: sum(map(len, town.on_machines("j-2").values())) == LONG_TASKS,
        20.0,
    )
    began, number = town.now(), 3
    submissions: list[asyncio.Task[Any]] = []
    while town.now() - began < FOR_S and not town.rules.broken:
        for _ in range(FACTOR if TROUBLE else 1):
            short = job(f"j-{number}", lifts=1, haul_s=4.0)
            submissions.append(town.spawn(town.submit(short, random.uniform(2.5, 5.0))))
            number += 1
        await asyncio.sleep(EVERY_S)
        town.check_submitted(submissions)
    await asyncio.sleep(1.0)


if __name__ == "__main__":
    sys.exit(run(__file__, "ran_twice", play))
