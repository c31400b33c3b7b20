"""The workload of a scale run: its size, tasks that run at its start, and jobs that arrive."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from pulleydeal.store import records as r
from standins.hollow import HeldTask, HollowWorker
from standins.place import TYPE, ZONES
from standins.town import job

TEAM = "core"
MACHINE: dict[str, Any] = TYPE | {
    "name": "h64",
    "vcpus": 64.0,
    "accelerators": 8.0,
    "ram_gb": 512.0,
    "fetch_gb_per_s": 1.0,
}
HELD_JOB_TASKS = 32  # tasks per initially running job: one chunk
IMAGES = 8
URGENT_PER_S = 2.0  # single-task urgent jobs, enough for a 99th percentile at every size
ARRAY_TASKS = (8, 16, 32, 64)
GANG_TASKS = (4, 8, 32, 128)
GANG_SHARE = 0.15  # of non-urgent jobs
ARRIVING_RUN_S = 15.0  # arriving tasks end within the run, so that ends are measured too


@dataclass(frozen=True)
class Size:
    """Parameters of one scale run."""

    workers: int = 300
    nodes: int = 3
    tasks_per_worker: int = 28  # running at the start; 680,000 tasks on 24,000 workers
    starts_per_s: float = 10.0  # offered rate
    write_rps: float = 80.0
    rps: float = 200.0
    value_kb: float = 8.0
    txn_ops: int = 32
    features: str = ""  # content of the nodes' features file
    late_orders_share: float = 0.0  # share of answered orders with a start that arrive again
    measure_s: float = 16.0
    settle_s: float = 7.0
    seed: int = 1


def worker_name(number: int) -> str:
    return f"vm-{number + 1:06d}"


def held_jobs(size: Size) -> dict[str, dict[str, Any]]:
    """Returns the jobs whose tasks run at the start, in a fixed order."""
    count = -(-size.workers * size.tasks_per_worker // HELD_JOB_TASKS)
    return {
        name: job(name, lifts=HELD_JOB_TASKS, vcpus=1.0, accelerators=0.0, ram_gb=1.0, haul_s=1e6)
        for name in (f"j-{1_000_000 + i}" for i in range(count))
    }


def held_tasks(size: Size, jobs: dict[str, dict[str, Any]]) -> Iterator[tuple[str, int, int]]:
    """Yields (job, index, worker), assigned to the workers round-robin."""
    number = 0
    for name, body in jobs.items():
        for index in range(body["lifts"]):
            yield name, index, number % size.workers
            number += 1


def spec_of(body: dict[str, Any]) -> r.JobSpec:
    return r.JobSpec(
        body["name_id"],
        body["rig"],
        body["crew"],
        "array",
        1,
        body["lifts"],
        body["vcpus"],
        body["accelerators"],
        body["ram_gb"],
        body["tackle"],
        body["pull_gb"],
        spot=body["loaners"],
        estimate_s=body["haul_s"],
        checkpoint_s=body["belay_s"],
        save_s=body["stow_s"],
    )


def state_records(
    size: Size, jobs: dict[str, dict[str, Any]], workers: list[HollowWorker], wall: float
) -> list[tuple[str, Any]]:
    """Returns the records of workers, jobs and tasks that exist before the nodes start."""
    found: list[tuple[str, object]] = []
    for worker in workers:
        record = r.MachineRecord(
            "up", MACHINE["name"], worker.yard, worker.loaners, worker.addr, wall
        )
        found.append((r.machine_key(worker.block), record))
    chunks: dict[str, list[r.Task]] = {}
    for name, _, number in held_tasks(size, jobs):
        chunks.setdefault(name, []).append(r.Task(worker_name(number), 1))
    for name, body in jobs.items():
        record = r.JobRecord("open", body["lifts"], wall, spec_of(body))
        found.append((r.job_key(name), record))
        found.append((r.chunk_key(name, 0), chunks[name]))
    return [(key, msgspec.to_builtins(value)) for key, value in found]


def hollow_workers(
    size: Size, jobs: dict[str, dict[str, Any]], addresses: list[str]
) -> list[HollowWorker]:
    workers = [
        HollowWorker(worker_name(i), address, ZONES[i % len(ZONES)], False)
        for i, address in enumerate(addresses)
    ]
    for name, index, number in held_tasks(size, jobs):
        workers[number].tasks.append(HeldTask(f"{name}/{index}", 1))
    return workers


def arriving_jobs(size: Size, duration_s: float) -> list[tuple[float, dict[str, Any]]]:
    """Returns (arrival in seconds, job) for arrays, gangs and urgent tasks, drawn by the seed."""
    rng = random.Random(size.seed)
    found: list[tuple[float, dict[str, Any]]] = []
    at = 0.0
    while (at := at + rng.expovariate(URGENT_PER_S)) < duration_s:
        found.append((at, _job(rng, len(found), "batch", 1, "high")))
    at, bulk_starts_per_s = 0.0, max(0.0, size.starts_per_s - URGENT_PER_S)
    mean_tasks = (1 - GANG_SHARE) * sum(ARRAY_TASKS) / len(ARRAY_TASKS)
    mean_tasks += GANG_SHARE * sum(GANG_TASKS) / len(GANG_TASKS)
    while (
        bulk_starts_per_s > 0
        and (at := at + rng.expovariate(bulk_starts_per_s / mean_tasks)) < duration_s
    ):
        if rng.random() < GANG_SHARE:
            found.append((at, _job(rng, len(found), "gang", rng.choice(GANG_TASKS), "high")))
        else:
            found.append((at, _job(rng, len(found), "batch", rng.choice(ARRAY_TASKS), "standard")))
    found.sort(key=lambda pair: pair[0])
    return found


def _job(rng: random.Random, number: int, kind: str, tasks: int, urgency: str) -> dict[str, Any]:
    body = job(
        f"j-{number + 1}",
        rig="urgent" if tasks == 1 else kind,
        crew=TEAM,
        haul=kind,
        urgency=urgency,
        lifts=tasks,
        vcpus=1.0,
        accelerators=0.0,
        ram_gb=1.0,
        tackle=f"img-{rng.randrange(IMAGES)}",
        pull_gb=0.5,
        haul_s=ARRIVING_RUN_S,
    )
    # Tasks of a gang end together. Tasks of an array end one by one over a run time: if all ended
    # at once, they would share changes of their chunk to an unrealistic degree.
    if kind == "gang":
        return body | {"_run_s": ARRIVING_RUN_S * rng.uniform(0.5, 1.5)}
    return body | {
        "_run_s": ARRIVING_RUN_S * rng.uniform(0.25, 0.75),
        "_each_s": ARRIVING_RUN_S / tasks,
    }
