"""Stand-in copies of a named service: they listen, register, answer checks, and fail as told."""

import asyncio
import contextlib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoAnswer, Request, Response, Server, answer
from pulleydeal.store import records as r
from pulleydeal.submissions.messages import as_submission

EVERY_S = 3.0  # between two registrations of a copy


@dataclass
class Behaviour:
    """How all copies of an image behave. Times count from a copy's own start."""

    ready_s: float = 0.0  # until its first good answer
    fails_after_s: float | None = None
    flaps_s: float | None = None  # good and bad in turn, each so long
    silent: bool = False  # it fails by not answering
    from_: float | None = None  # moment from which all of them fail, whenever they started


@dataclass
class Copy:
    service: str
    lift: str
    pull: int
    address: str
    image: str
    clock: Clock
    nodes: dict[str, str]
    behaviour: Behaviour
    began: float = 0.0
    busy: int = 0
    served: int = 0
    leaving: bool = False
    stopped: bool = False
    answered: dict[int, int] = field(default_factory=dict)
    first_bad: dict[str, float] = field(default_factory=dict)  # image -> when one first failed

    def good(self) -> bool:
        """Whether it serves now: what a checker compares with what was promised."""
        b, age = self.behaviour, self.clock.now() - self.began
        if self.stopped or age < b.ready_s:
            return False
        if b.from_ is not None and self.clock.now() >= b.from_:
            return False
        if b.fails_after_s is not None and age >= b.fails_after_s:
            return False
        return b.flaps_s is None or int(age / b.flaps_s) % 2 == 0

    async def handle(self, request: Request) -> Response:
        good = self.good()
        if not good:
            self.first_bad.setdefault(self.image, self.clock.now())
        if not good and self.behaviour.silent:
            await asyncio.sleep(3600.0)
        if request.path == "/work":
            self.busy += 1
            try:
                await asyncio.sleep(0.005)
            finally:
                self.busy -= 1
            self.served += 1
        status = 200 if good else 500
        self.answered[status] = self.answered.get(status, 0) + 1
        return answer(status, {"image": self.image})

    async def run(self) -> None:
        self.began = self.clock.now()
        server = Server(self.handle, 500)
        await server.start(self.address)
        try:
            await self._register()
        finally:
            self.stopped = True
            await server.close()

    async def _register(self) -> None:
        names = sorted(self.nodes)
        at = names[0]
        while True:
            body = {
                "service": self.service,
                "job": self.lift.rpartition("/")[0],
                "attempt": self.pull,
                "address": self.address,
                "busy": self.busy,
            }
            client = Client(self.nodes[at], self.clock)
            wait = EVERY_S
            try:
                status, raw = await client.request("POST", "/copies", body, 2.0)
                reply = json.loads(raw)
                if status == 200:
                    self.leaving = bool(reply["leave"])
                elif status == 421 and reply.get("leader") in self.nodes:
                    at, wait = reply["leader"], 0.1
                else:
                    at, wait = names[(names.index(at) + 1) % len(names)], 0.5
            except (NoAnswer, ValueError):
                at, wait = names[(names.index(at) + 1) % len(names)], 0.5
            finally:
                client.close()
            await asyncio.sleep(wait)


class Copies:
    """All copies of all services of a world, by task."""

    def __init__(self, clock: Clock, nodes: dict[str, str]) -> None:
        self._clock, self._nodes = clock, nodes
        self.behaviours: dict[str, Behaviour] = {}  # image -> how its copies behave
        self.services: dict[str, str] = {}  # class of jobs -> service
        self.all = False  # every standing job is a copy, of the service that its class names
        self.first_bad: dict[str, float] = {}
        self.live: dict[str, tuple[Copy, asyncio.Task[None]]] = {}
        self.changed: Callable[[], None] = lambda: None

    def start(self, lift: str, pull: int, job: dict[str, Any], address: str) -> Copy | None:
        service = self.services.get(job["rig"], job["rig"] if self.all else None)
        if service is None:
            return None
        behaviour = self.behaviours.setdefault(job["tackle"], named(job["tackle"]))
        image = job["tackle"]
        copy = Copy(service, lift, pull, address, image, self._clock, self._nodes, behaviour)
        copy.first_bad = self.first_bad
        task = asyncio.ensure_future(copy.run())
        task.add_done_callback(_told)
        self.live[lift] = (copy, task)
        return copy

    def end(self, lift: str) -> None:
        found = self.live.pop(lift, None)
        if found is not None:
            found[0].stopped = True
            found[1].cancel()
            self.changed()


def named(image: str) -> Behaviour:
    """How an image behaves whose name says it: `web-2-fails-after-20`; any other is good."""
    found = re.search(r"fails-after-([0-9]+)$", image)
    return Behaviour(fails_after_s=float(found[1])) if found else Behaviour()


def _told(task: "asyncio.Task[None]") -> None:
    with contextlib.suppress(asyncio.CancelledError):
        if (error := task.exception()) is not None and not isinstance(error, OSError):
            raise error


def look_up(keys: dict[str, tuple[Any, int, int | None]], job: str) -> dict[str, Any] | None:
    """The description of a job that a feature submitted, from the state service's keys."""
    found = keys.get(r.job_key(job))
    spec = found[0].get("spec") if found else None
    if spec is None:
        return None
    words = as_submission(msgspec.convert(spec, r.JobSpec))
    return words | {"_run_s": words["haul_s"]}
