"""The `Credits` service of one owner, with a replica and a clock that tests set by hand."""

import asyncio
from typing import Any

import msgspec

from pulleydeal.credits.messages import (
    CachedImages,
    pack_cached_images,
    pack_credit_request,
    unpack_cached_images,
    unpack_hold,
)
from pulleydeal.credits.requests import make_credit_request
from pulleydeal.credits.service import Credits
from pulleydeal.membership.messages import ASK, HOLD, IMAGES
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Team
from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from pulleydeal.workers.tracked_machine import TrackedMachine

ZONES = ["east", "west"]


def spec(job: str, priority: int = 1, image: str = "img", team: str = "core") -> r.JobSpec:
    return r.JobSpec(job, "c", team, "array", priority, 1, 1.0, 1.0, 1.0, image, 50.0)


class _Membership:
    """Always a member, always in the same epoch."""

    epoch = 3
    is_member = True
    me = "winch-0"
    totals: Any = None

    def send_heartbeat(self) -> None:
        """Does nothing: there are no other members."""


class _Siblings:
    def __init__(self, owner: "Owner") -> None:
        self._owner = owner
        self.handlers: dict[int, Any] = {}

    def on(self, kind: int, handler: Any) -> None:
        self.handlers[kind] = handler

    def send(self, to: str, kind: int, payload: bytes) -> None:
        if kind == IMAGES:
            self._owner.told[to] = unpack_cached_images(payload)
            return
        assert kind == HOLD
        credit_hold = unpack_hold(payload)
        self._owner.held[f"{credit_hold.job}/{credit_hold.index}"] = credit_hold.machine


class _Workers:
    def __init__(self, owner: "Owner") -> None:
        self._owner = owner
        self.machines: dict[str, TrackedMachine] = {}
        self.on_credit_change: Any = None

    def silent(self, tracked: TrackedMachine) -> bool:
        return False

    def stop(self, job: str, index: int, attempt: int, why: str) -> None:
        self._owner.stopped.append(f"{job}/{index}")


class Owner:
    """Drives the service round by round, and records its credits, stops and messages."""

    def __init__(self, machines: dict[str, str], gpus: float, guarantee: float = 0.0) -> None:
        self._now = 100.0
        self._version = 0
        self.replica = Replica()
        self.replica.loaded = True
        self.held: dict[str, str] = {}
        self.stopped: list[str] = []
        self.told: dict[str, CachedImages] = {}  # member -> cached images sent to it
        self._siblings = _Siblings(self)
        self._workers = _Workers(self)
        machine_type = r.MachineType("t4", 8.0, gpus, 8.0, 100.0, 0.5, 4.0, 1.0, 20.0, ZONES)
        self._write_record(r.CATALOG_KEY, r.Catalog([machine_type]))
        for machine, zone in machines.items():
            record = r.MachineRecord("up", "t4", zone, False)
            self._write_record(r.machine_key(machine), record)
            tracked = TrackedMachine(machine, "t4", zone, False, self._now, 0, set())
            tracked.last_report_at = self._now
            self._workers.machines[machine] = tracked
        membership: Any = _Membership()
        siblings: Any = self._siblings
        workers: Any = self._workers
        teams = {name: Team(name, gpus=guarantee) for name in ("core", "other")}
        self._credits = Credits(
            membership, siblings, self.replica, workers, workers, teams, [], self, Metrics()
        )

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def pass_time(self, seconds: float) -> None:
        self._now += seconds

    def _write_record(self, key: str, value: object) -> None:
        self._version += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        event = m.Event(self._version, key, None, raw)
        self.replica.apply(m.Changes(self._version, [event]))

    def set_state(self, machine: str, state: r.MachineState) -> None:
        old = self.replica.machines[machine].record
        self._write_record(r.machine_key(machine), msgspec.structs.replace(old, state=state))

    def bind(self, machine: str, job: r.JobSpec) -> None:
        self._write_record(r.job_key(job.id), r.JobRecord("open", 1, 0.0, job))
        self._write_record(r.chunk_key(job.id, 0), [r.Task(machine, 1)])

    def unbind(self, machine: str, job: str) -> None:
        self._write_record(r.chunk_key(job, 0), [r.Task("", 1)])

    def ask(self, job: r.JobSpec, zones: list[str] | None = None, guaranteed: bool = False) -> None:
        self._write_record(r.job_key(job.id), r.JobRecord("open", 1, 0.0, job))
        rank = (0, 0.0, self._now)
        request = make_credit_request(
            job, 0, _Membership.epoch, guaranteed, rank, zones or ZONES, []
        )
        self._run(self._handle(ASK, pack_credit_request(request)))

    def join(self, member: str, incarnation: str) -> None:
        members = self.replica.view.members | {"winch-0": "0", member: incarnation}
        self._write_record(r.VIEW_KEY, r.View(3, members))

    def hear_images(self, cached: CachedImages) -> None:
        self._run(self._handle(IMAGES, pack_cached_images(cached)))

    async def _handle(self, kind: int, payload: bytes) -> None:
        self._siblings.handlers[kind]("winch-0", payload)

    def round(self) -> None:
        self._run(self._credits.work())

    def _run(self, coro: Any) -> None:
        async def run() -> None:
            await coro
            await asyncio.sleep(0)  # answers are sent in the next iteration of the loop

        asyncio.run(run())
