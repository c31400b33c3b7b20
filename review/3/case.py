"""A machine of a running gang that must be spread stops; the gang must be started again."""

import asyncio
import sys

from review.harness import TROUBLE, CannotRun, ReviewTown, job, run

MEMBERS = 2  # with `spread`, one in each of two zones
WATCH_S = 60.0  # after the trouble; see claim.txt for what a gang without `spread` takes


def on(town: ReviewTown, name: str) -> list[str]:
    return sorted(town.on_machines(name))


async def play(town: ReviewTown) -> None:
    # One machine in the east, and one, then another, in the west; each has room for two members.
    town.cloud.capacity = dict.fromkeys(town.cloud.capacity, 0)
    town.cloud.capacity |= {("east", False): 1, ("west", False): 2}
    # Other work, which ends before the trouble, takes one place of each machine.
    await town.submit(job("j-1", lifts=1, yard="east"), 22.0)
    await town.submit(job("j-2", lifts=1, yard="west"), 22.0)
    await town.until("both run", lambda: bool(on(town, "j-1") and on(town, "j-2")), 30.0)
    await town.submit(job("j-3", haul="gang", lifts=MEMBERS, spread=True, haul_s=300.0), 300.0)
    await town.until("the gang runs", lambda: len(on(town, "j-3")) == MEMBERS, 20.0)
    east, west = on(town, "j-1")[0], on(town, "j-2")[0]
    await town.until("the others end", lambda: not on(town, "j-1") + on(town, "j-2"), 30.0)
    await asyncio.sleep(5.0)
    if TROUBLE:
        town.die(west)
        await town.until("the gang is broken", lambda: not on(town, "j-3"), 12.0)
    began, free_since = town.now(), None
    while town.now() - began < WATCH_S:
        if TROUBLE and len(on(town, "j-3")) == MEMBERS:
            town.record.write(f"the gang runs again after {town.now() - began:.1f} s")
            return
        others = [m for m, (w, _) in town.workers.items() if w.zone == "west" and m != west]
        if others and free_since is None:
            free_since = town.now()
            town.record.write(f"{east} and {others[0]} are up, each with room for both members")
        await asyncio.sleep(0.1)
    if TROUBLE:
        if free_since is None:
            raise CannotRun("no machine came in the west, so there was no room in two zones")
        waited = town.now() - free_since
        town.breaks("never_runs", f"j-3 waits for {waited:.0f} s beside free room in two zones")


if __name__ == "__main__":
    sys.exit(run(__file__, "never_runs", play))
