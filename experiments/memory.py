"""Measures a node's memory per machine, job, task and connection by tracing its allocations."""

import asyncio
import gc
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from experiments.scale_plan import Size as ScaleSize
from experiments.scale_plan import held_jobs, spec_of
from pulleydeal import constants as c
from pulleydeal.http import Request, Response, Server, json_response
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from standins.town import LOCAL, free_port

ITEMS = 1_000
CONNECTIONS = 200


def _entry(key: str, value: object, version: int) -> m.Entry:
    return m.Entry(key, msgspec.Raw(msgspec.json.encode(value)), version)


def _retained_bytes(load: Callable[[], object]) -> int:
    """Bytes allocated by `load` that are still held while its result is alive."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    retained_objects = load()
    gc.collect()
    retained = tracemalloc.get_traced_memory()[0] - before
    del retained_objects
    return retained


def _replica_bytes(entries: list[m.Entry], replica: Replica) -> float:
    return _retained_bytes(lambda: replica.load(entries)) / ITEMS


def replica_rows() -> list[dict[str, Any]]:
    """Measures the bytes that the replica keeps per machine, job and task.

    Jobs that are over are measured by `history`: traces do not show the memory of bitmaps.
    """
    wall = 1e9
    bodies = list(held_jobs(ScaleSize(workers=ITEMS, tasks_per_worker=c.CHUNK_TASKS)).values())
    machine = r.MachineRecord("up", "h64", "east", False, "10.1.0.1:9000", wall)
    replica = Replica()
    found = {
        "a machine": _replica_bytes(
            [_entry(r.machine_key(f"vm-{i:06d}"), machine, 1) for i in range(ITEMS)], replica
        ),
        "an open job": _replica_bytes(
            [
                _entry(
                    r.job_key(b["name_id"]), r.JobRecord("open", b["lifts"], wall, spec_of(b)), 2
                )
                for b in bodies[:ITEMS]
            ],
            replica,
        ),
        "a bound task": _replica_bytes(
            [
                _entry(
                    r.chunk_key(body["name_id"], 0),
                    [r.Task(f"vm-{i:06d}", 1)] * c.CHUNK_TASKS,
                    3,
                )
                for i, body in enumerate(bodies[:ITEMS])
            ],
            replica,
        )
        / c.CHUNK_TASKS,
    }
    return [{"kept for": item, "bytes": round(size)} for item, size in found.items()]


async def _idle_connections() -> float:
    async def handle(_: Request) -> Response:
        return json_response(200, {})

    server = Server(handle, 10 * CONNECTIONS)
    port = free_port()
    await server.start(f"{LOCAL}:{port}")
    writers: list[asyncio.StreamWriter] = []

    async def connect() -> None:
        for _ in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"{}")
            writers.append(writer)

    retained = await _retained_bytes_async(connect)
    for writer in writers:
        writer.close()
    await server.close()
    return retained / CONNECTIONS


async def _retained_bytes_async(load: Callable[[], Awaitable[None]]) -> int:
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    await load()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


async def memory_rows() -> list[dict[str, Any]]:
    """Returns bytes per item as traced; the allocator's own overhead is not included."""
    tracemalloc.start()
    try:
        found = replica_rows()
        connection_bytes = await _idle_connections()
    finally:
        tracemalloc.stop()
    found.append({"kept for": "a connection, both ends", "bytes": round(connection_bytes)})
    return found
