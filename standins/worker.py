"""A worker by PROTOCOL: reports, tokens, leases, commands, gangs, saving, refusals."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pulleydeal.clock import Clock
from pulleydeal.http import Client, NoResponse, Request, Response, Server, json_response
from standins.gangs import Gangs
from standins.net import LINK
from standins.rules import Rules
from standins.wrong_answers import WrongAnswers

ANSWER_S = 4.0  # PROTOCOL: a later answer to a report is dropped
LATE_MOST_S = 25.0  # a copy of a check-in comes again so late at most: well over a lease


@dataclass
class Running:
    job: dict[str, Any]
    pull: int
    tension: str
    why: str | None = None
    saved: bool = False
    left_s: float = 0.0
    ready_at: float = 0.0
    stop_at: float | None = None
    waits_from: float = 0.0
    ordered_at: float = 0.0  # its command was sent no earlier


@dataclass
class Times:
    report_s: float = 3.0
    lease_s: float = 14.0
    gang_wait_s: float = 50.0
    gang_peer_s: float = 8.0
    tick_s: float = 0.1  # how often tasks go on; coarser where thousands of workers share a process


@dataclass
class World:
    """What workers know from elsewhere: uploaded jobs, results, each other's gangs."""

    rules: Rules
    uploads: dict[str, dict[str, Any]] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    progress: dict[str, float] = field(default_factory=dict)
    gangs: Gangs = field(default_factory=Gangs)
    late_reports: float = 0.0  # share of check-ins of which a copy comes again later
    for_next: bool = False  # these copies come when the next leader begins, to every node
    kept: list[dict[str, Any]] = field(default_factory=list)  # such copies, by now
    fetch_gb_per_s: float = 0.5
    ended: Callable[[str], None] = lambda _: None  # is told a task that completed
    # Where a description is found that no user uploaded, and who is told that a service's task
    # runs or does not run any more.
    look_up: Callable[[str], dict[str, Any] | None] = lambda _: None
    runs: Callable[["Worker", str, Running], Any] = lambda *_: None
    ends: Callable[[str], None] = lambda _: None

    def description(self, job: str) -> dict[str, Any] | None:
        found = self.uploads.get(job)
        if found is None and (found := self.look_up(job)) is not None:
            self.uploads[job] = found
        return found


class Worker:
    def __init__(
        self,
        block: str,
        addr: str,
        kind: dict[str, Any],
        yard: str,
        loaners: bool,
        nodes: dict[str, str],
        world: World,
        times: Times,
        clock: Clock,
        seed: str,
    ) -> None:
        self.block, self.addr, self.kind = block, addr, kind
        self.yard, self.loaners = yard, loaners
        self._nodes, self._names = nodes, sorted(nodes)
        self._world, self._times, self._clock = world, times, clock
        self._rng = random.Random(seed)
        self._at = self._rng.choice(self._names)
        self.shift, self.tally, self.whistle = 1, 0, 0
        self.lifts: dict[str, Running] = {}
        self._images: set[str] = set()
        self.renewed = clock.now()
        self._soon = asyncio.Event()
        self._server = Server(self.handle, 1000)
        self.sick = False
        self.gone = False
        self.reachable = True  # false: nothing that it sends or is sent arrives
        self.reports = self.report_bytes = self.answer_bytes = self.orders = 0
        self.reclaim_at: float | None = None
        self._copies: set[asyncio.Task[None]] = set()
        self.wrong_answers = WrongAnswers(f"{seed} wrong answers")

    async def run(self) -> None:
        await self.listen()
        await asyncio.gather(self.keep_reporting(), self._ticking())

    async def listen(self) -> None:
        await self._server.start(self.addr)

    async def close(self) -> None:
        await self._server.close()

    def vanish(self) -> None:
        self.gone = True
        for lift in list(self.lifts):
            self._off(lift)

    def lives_on(self, before: "Worker") -> None:
        """The machine was back so soon that it goes on with what it counted, but for its tasks."""
        self.shift, self.tally, self.whistle = before.shift, before.tally, before.whistle

    def report(self) -> dict[str, Any]:
        self.tally += 1
        now = self._clock.now()
        reclaim = None if self.reclaim_at is None else max(0.0, self.reclaim_at - now)
        return {
            "block": self.block,
            "addr": self.addr,
            "rig_model": self.kind["name"],
            "yard": self.yard,
            "loaners": self.loaners,
            "shift": self.shift,
            "tally": self.tally,
            "whistle": self.whistle,
            "reclaim_s": reclaim,
            "lifts": [
                {"lift": k, "pull": r.pull, "tension": r.tension}
                | ({"slack_reason": r.why, "saved": r.saved} if r.tension == "exited" else {})
                for k, r in self.lifts.items()
            ],
        }

    # --- reports ----------------------------------------------------------------------------
    async def keep_reporting(self) -> None:
        clients = {name: Client(address, self._clock) for name, address in self._nodes.items()}
        while True:
            if not self.reachable:
                await asyncio.sleep(self._times.report_s / 4)
                continue
            shift, sent = self.shift, self._clock.now()
            wait = 1.0
            report, at = self.report(), self._at
            if self._world.late_reports and self._rng.random() < self._world.late_reports:
                if self._world.for_next:
                    self._world.kept.append(report)
                else:
                    copy = asyncio.ensure_future(self._again(report, at))
                    self._copies.add(copy)
                    copy.add_done_callback(self._copies.discard)
            try:
                payload = json.dumps(report, separators=(",", ":")).encode()
                status, body = await clients[at].send("POST", "/checkin", payload, ANSWER_S)
                reply = json.loads(body)
                self.reports += 1
                self.report_bytes += len(payload)
                self.answer_bytes += len(body)
            except NoResponse:
                status, reply = 0, {}
            if self._clock.now() - sent > ANSWER_S:
                status = 0  # it came while the machine hung
            if status == 200:
                wait = self._times.report_s * self._rng.uniform(0.75, 1.25)
                if shift == self.shift and reply.get("whistle", -1) >= self.whistle:
                    if reply["whistle"] > self.whistle:
                        self.whistle = reply["whistle"]
                        self._soon.set()
                    self.renewed = sent
                    self.execute(reply["calls"], sent)
            elif status == 421 and reply.get("foreman") in set(self._names) - {self._at}:
                self._at = reply["foreman"]
                wait = self._rng.uniform(0.0, 0.5)
            else:
                self._at = self._names[(self._names.index(self._at) + 1) % len(self._names)]
            try:
                async with asyncio.timeout(wait):
                    if status == 200:
                        await self._soon.wait()
                        await asyncio.sleep(0.5)
                    else:
                        await asyncio.sleep(wait)
            except TimeoutError:
                pass
            self._soon.clear()

    async def _again(self, report: dict[str, Any], node: str) -> None:
        await asyncio.sleep(self._rng.uniform(2.0, LATE_MOST_S))
        client = Client(self._nodes[node], self._clock)
        with contextlib.suppress(NoResponse):
            await client.request("POST", "/checkin", report, 4.0)
        client.close()

    async def handle(self, request: Request) -> Response:
        if not self.reachable:
            await asyncio.get_running_loop().create_future()  # never answers
        if request.path == "/inspect":
            return json_response(200, self.report())
        self.orders += 1
        wrong = self.wrong_answers.draw()
        if wrong is None:
            return self._obey(request)
        right = self._obey(request) if wrong.executes else json_response(200, self.report())
        return wrong.spoil(right)

    def _obey(self, request: Request) -> Response:
        body = json.loads(request.body)
        if "whistle" not in body or "shift" not in body:
            return json_response(400, {})
        if body["whistle"] < self.whistle or body["shift"] != self.shift:
            return json_response(409, self.report())
        if body["whistle"] > self.whistle:
            self.whistle = body["whistle"]
        link = LINK.get(None)
        self.execute(body["calls"], link.sent_at if link is not None else self._clock.now())
        self._soon.set()
        return json_response(200, self.report())

    # --- commands ---------------------------------------------------------------------------
    def execute(self, calls: list[dict[str, Any]], ordered_at: float) -> None:
        """`ordered_at`: no command of these was sent earlier."""
        for call in calls:
            lift, pull = call["lift"], call["pull"]
            old = self.lifts.get(lift)
            if call["call"] == "run":
                self._run(lift, pull, old, ordered_at)
            elif old is None or old.pull != pull:
                continue
            elif call["call"] == "clear" and old.tension == "exited":
                del self.lifts[lift]
            elif call["call"] == "kill" and old.tension != "exited":
                self._kill(lift, old, call["ease_s"])

    def _run(self, lift: str, pull: int, old: Running | None, ordered_at: float) -> None:
        name = lift.rpartition("/")[0]
        job = self._world.description(name)
        if old is not None and (old.pull == pull or old.tension != "exited"):
            return  # known already; another attempt's start is refused as in_use
        if job is None:
            self.lifts[lift] = Running({}, pull, "exited", "no_such")
            return
        live = [r.job for r in self.lifts.values() if r.tension != "exited"] + [job]
        if any(
            sum(j[x] for j in live) > self.kind[x] + 1e-6
            for x in ("vcpus", "accelerators", "ram_gb")
        ):
            self.lifts[lift] = Running(job, pull, "exited", "full")
            return
        fetch = (
            0.0 if job["tackle"] in self._images else job["pull_gb"] / self._world.fetch_gb_per_s
        )
        # `_each_s`: how much later each task ends than the one before.
        later_s = int(lift.rpartition("/")[2]) * job.get("_each_s", 0.0)
        running = Running(job, pull, "fetching", left_s=job["_run_s"] + later_s)
        running.ready_at = self._clock.now() + fetch
        running.ordered_at = ordered_at
        self.lifts[lift] = running
        self.tick()

    def _kill(self, lift: str, running: Running, ease_s: float) -> None:
        job = running.job
        saves = running.tension == "running" and job["belay_s"] > 0 and ease_s >= job["stow_s"]
        if saves:
            running.tension = "flushing"
            running.stop_at = self._clock.now() + job["stow_s"]
        else:
            self._exit(lift, running, "stopped")

    def _exit(self, lift: str, running: Running, why: str, saved: bool = False) -> None:
        self._off(lift)
        running.tension, running.why, running.saved = "exited", why, saved
        if why == "done":
            self._world.results.add(lift)
            self._world.ended(lift)
            if running.job["haul"] == "gang":
                self._world.gangs.complete(running.job["name_id"])
        self._soon.set()

    def _off(self, lift: str) -> None:
        running = self.lifts[lift]
        if running.tension in ("gathering", "running", "flushing"):
            self._world.rules.off(lift, self.block)
            self._world.ends(lift)
        if running.job and running.job["haul"] == "gang":
            self._world.gangs.leave((running.job["name_id"], running.pull), lift)

    # --- time -------------------------------------------------------------------------------
    async def _ticking(self) -> None:
        while not self.gone:
            await asyncio.sleep(self._times.tick_s)
            self.tick()

    def tick(self) -> None:
        """Lets its tasks go on by a tick, and ends them with its lease."""
        now = self._clock.now()
        if now - self.renewed > self._times.lease_s:
            self._lapse(now)
        for lift, running in list(self.lifts.items()):
            self._advance(lift, running, now)

    def _lapse(self, now: float) -> None:
        self._world.rules.lost += len(self.lifts)
        for lift in list(self.lifts):
            self._off(lift)
        self.lifts.clear()
        self.shift += 1
        self.renewed = now
        self._soon.set()

    def lease_end_s(self) -> float:
        return self.renewed + self._times.lease_s

    def lapse_if_over(self) -> None:
        """PROTOCOL: a machine that hangs may go on at any time within its lease; after that nothing
        of what was there goes on, whenever it wakes."""
        if not self.gone and self._clock.now() >= self.lease_end_s():
            self._lapse(self._clock.now())

    def _advance(self, lift: str, r: Running, now: float) -> None:
        if r.tension == "fetching" and now >= r.ready_at:
            self._images.add(r.job["tackle"])
            place = (self.block, self.kind["name"], self.yard, self.loaners)
            self._world.rules.on(lift, *place, self._world.results, r.ordered_at)
            r.tension = "running"
            if self.sick or r.job.get("broken"):
                self._exit(lift, r, "error")
                return
            if lift in self._world.results:
                self._exit(lift, r, "done")
                return
            if r.job["haul"] == "gang":
                r.tension, r.waits_from = "gathering", now
                self._world.gangs.join((r.job["name_id"], r.pull), lift, r, r.job["lifts"])
            elif r.job["haul"] == "standing":
                self._world.runs(self, lift, r)
            self._soon.set()
        elif r.tension == "gathering" and now - r.waits_from > self._times.gang_wait_s:
            self._exit(lift, r, "incomplete")
        elif r.tension == "running":
            r.left_s -= self._times.tick_s
            attempt = (r.job["name_id"], r.pull)
            if r.job["haul"] == "gang" and self._world.gangs.is_broken(attempt, r.job["lifts"]):
                self._exit(lift, r, "peers")
            elif r.left_s <= 0 and r.job["haul"] != "standing":
                self._exit(lift, r, "done")
        elif r.tension == "flushing" and r.stop_at is not None and now >= r.stop_at:
            self._exit(lift, r, "stopped", saved=True)
