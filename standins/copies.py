"""Simulated copies of a named service: they register, answer checks, and fail as configured."""

import asyncio
import contextlib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse, Request, Response, Server, json_response
from pulleydeal.store import records as r
from pulleydeal.submissions.messages import as_submission

REGISTER_INTERVAL_S = 3.0


@dataclass
class Behaviour:
    """How all copies of an image behave; times are relative to the start of a copy."""

    ready_s: float = 0.0  # time until its first successful answer
    fails_after_s: float | None = None
    flaps_s: float | None = None  # alternates between good and bad with this period
    silent: bool = False  # fails by not answering instead of with 500
    from_: float | None = None  # absolute time from which all copies fail


@dataclass
class Copy:
    """One running copy, which serves requests and registers itself with a node."""

    service: str
    task_id: str
    attempt: int
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
    first_bad: dict[str, float] = field(default_factory=dict)  # image -> first failure

    def good(self) -> bool:
        """Whether the copy is truly healthy now; floors are checked against this."""
        behaviour, age = self.behaviour, self.clock.now() - self.began
        if self.stopped or age < behaviour.ready_s:
            return False
        if behaviour.from_ is not None and self.clock.now() >= behaviour.from_:
            return False
        if behaviour.fails_after_s is not None and age >= behaviour.fails_after_s:
            return False
        return behaviour.flaps_s is None or int(age / behaviour.flaps_s) % 2 == 0

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
        return json_response(status, {"image": self.image})

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
        node = names[0]
        while True:
            body = {
                "service": self.service,
                "job": self.task_id.rpartition("/")[0],
                "attempt": self.attempt,
                "address": self.address,
                "busy": self.busy,
            }
            client = Client(self.nodes[node], self.clock)
            wait = REGISTER_INTERVAL_S
            try:
                status, raw = await client.request("POST", "/copies", body, 2.0)
                reply = json.loads(raw)
                if status == 200:
                    self.leaving = bool(reply["leave"])
                elif status == 421 and reply.get("leader") in self.nodes:
                    node, wait = reply["leader"], 0.1
                else:
                    node, wait = names[(names.index(node) + 1) % len(names)], 0.5
            except (NoResponse, ValueError):
                node, wait = names[(names.index(node) + 1) % len(names)], 0.5
            finally:
                client.close()
            await asyncio.sleep(wait)


class Copies:
    """All live copies of all services, by task."""

    def __init__(self, clock: Clock, nodes: dict[str, str]) -> None:
        self._clock, self._nodes = clock, nodes
        self.behaviours: dict[str, Behaviour] = {}  # by image
        self.services: dict[str, str] = {}  # job class -> service
        self.all = False  # treat every standing job as a copy of the service named by its class
        self.first_bad: dict[str, float] = {}
        self.live: dict[str, tuple[Copy, asyncio.Task[None]]] = {}
        self.changed: Callable[[], None] = lambda: None

    def start(self, task_id: str, attempt: int, job: dict[str, Any], address: str) -> Copy | None:
        service = self.services.get(job["rig"], job["rig"] if self.all else None)
        if service is None:
            return None
        behaviour = self.behaviours.setdefault(job["tackle"], behaviour_of(job["tackle"]))
        image = job["tackle"]
        copy = Copy(service, task_id, attempt, address, image, self._clock, self._nodes, behaviour)
        copy.first_bad = self.first_bad
        task = asyncio.ensure_future(copy.run())
        task.add_done_callback(_raise_failure)
        self.live[task_id] = (copy, task)
        return copy

    def end(self, task_id: str) -> None:
        entry = self.live.pop(task_id, None)
        if entry is not None:
            entry[0].stopped = True
            entry[1].cancel()
            self.changed()


def behaviour_of(image: str) -> Behaviour:
    """Reads the behaviour from names like `web-2-fails-after-20`; other images are healthy."""
    match = re.search(r"fails-after-([0-9]+)$", image)
    return Behaviour(fails_after_s=float(match[1])) if match else Behaviour()


def _raise_failure(task: "asyncio.Task[None]") -> None:
    with contextlib.suppress(asyncio.CancelledError):
        if (error := task.exception()) is not None and not isinstance(error, OSError):
            raise error


def find_description(
    keys: dict[str, tuple[Any, int, int | None]], job: str
) -> dict[str, Any] | None:
    """The description of a job submitted by a feature, from its record; None if unknown."""
    entry = keys.get(r.job_key(job))
    spec = entry[0].get("spec") if entry else None
    if spec is None:
        return None
    submission = as_submission(msgspec.convert(spec, r.JobSpec))
    return submission | {"_run_s": submission["haul_s"]}
