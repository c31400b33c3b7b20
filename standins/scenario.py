"""Plays a readable scenario against three whole nodes and the stand-ins, by a virtual clock.

A scenario is a text file, one event a line: a time in seconds, a verb, its words.
  submit JOB KIND TASKS RUN_S [name=value ...]   a user submits (and repeats until answered);
                                                 waits_on=j-1,j-2: after those are accepted
  cancel JOB          | poll JOB                  | resubmit JOB
  crash NODE [FOR_S]  | crash all [FOR_S]         | state down|up | state refuse NODE [NODE]|none
  repeat SHARE                                   of that part of commits a copy comes again later
  state late SHARE    that part of commits gets no answer and is carried out 2 to 12 s later
  state slow SECONDS  its answers take up to so long | state watches end|wait   of a refused node
  late_reports SHARE  of that part of check-ins a copy comes again, 2 to 25 s later
  mute NODE NODE      what the first says to the second is held back until `heal`
  apart NODE          from the other nodes, both ways | shun NODE   from state service and cloud
  unreached BLOCK|ZONE [SHARE]   its reports arrive; answers and orders to it are lost
  hold BLOCK|ZONE SECONDS        answers and orders to it are held back so long
  answers             every node knows whatever was accepted, within the time for `forgotten`
  cloud down|up       | cut ZONE ZONE | cut BLOCK | heal | lose SHARE
  cut ZONE                                       that zone from everything
  freeze NODE FOR_S                              it stands still while its clocks run on
  reboot BLOCK|ZONE AFTER_S afresh|on [SHARE]    machines end and are back so soon, without tasks:
                                                 session, count and token begin again, or go on
  late BLOCK SECONDS                             its last check-in comes to all nodes again so late
  again JOB submit|cancel                        a late copy of what its user sent, to each node
  deafen NODE                                    that node from all workers, both ways
  die BLOCK|ZONE [SHARE] (that part of its machines) | sick BLOCK | notice BLOCK SECONDS
  state limits VALUE_KB TXN_OPS WRITE_RPS        the state service's limits from now on
  load FILE   (only as the first event)          goes on from records that another version left
                                                 behind; its machines are up, and their tasks lost
  boots FACTOR                                   machines rented from now on take that many times
                                                 as long to come up; 0: they never do
  capacity COUNT                                 machines to be had of each kind in each zone
  crowd JOB COUNT KIND TASKS RUN_S [name=value ...]   COUNT users submit at once, from JOB on
  features on [NODE ...]   (among the first events)   nodes have all features on, or only these
  describe SERVICE [name=value ...]              how its next versions are described
  behave IMAGE [name=value ...]                  how copies of an image behave (copies.Behaviour)
  roll SERVICE IMAGE                             an operator starts a roll-out of that image
  operator SERVICE pause|resume|abort|remove
  promise SERVICE FLOOR                          from now on that many copies are truly healthy
  cron TABLE FILE [name=value ...]               a cron table is brought in (tests/traces/FILE)
  table TABLE pause|resume|remove | fired COUNT  jobs of recurring lines so far
  expect service SERVICE STATE GOOD COPIES
  expect JOB STATE [COUNT] | expect machines COUNT[+] | expect starts COUNT[+] | expect NODE UP
  expect condemned COUNT   machines taken for sick so far
  expect kept BLOCK   it was not given back
  expect deaf NODE|none   by the view, some zone's machines are handed over
  expect lost COUNT   tasks that workers gave up as nobody renewed their lease
"""

import asyncio
import contextlib
import gc
import json
import math
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal.app import App
from pulleydeal.constants import CHUNK_TASKS
from pulleydeal.http import Client, NoAnswer
from pulleydeal.settings import Settings
from standins.cloud import CloudService
from standins.net import Host, Network, VirtualLoop, on_host
from standins.rules import Rules
from standins.service_events import ServiceEvents
from standins.state import StateService
from standins.troubles import WORKERS, Troubles
from standins.worker import Times, Worker, World

ZONES = ["east", "west", "north"]
TYPE = {
    "name": "t4",
    "vcpus": 16.0,
    "accelerators": 4.0,
    "ram_gb": 64.0,
    "cache_gb": 100.0,
    "fetch_gb_per_s": 0.5,
    "hourly": 4.0,
    "market_price": 1.0,
    "ready_s": 20.0,
    "yards": ZONES,
}
FAILED_S = 30.0  # PROTOCOL: a machine that dies keeps appearing as running for about so long
CANCEL_S = 34.0
RESTART_S = 5.0
TEAMS = {"core": 0.0, "small": 4.0}  # team -> most accelerators


class LoopClock:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return 1.7e9 + self._loop.time()


class ScenarioError(Exception):
    """A line that is no event; the text names its place."""


class Scenario(Troubles):
    def __init__(self, loop: VirtualLoop, network: Network, seed: int) -> None:
        self._loop, self._network, self._seed = loop, network, seed
        self._clock = LoopClock(loop)
        self.rules = Rules(TEAMS, CANCEL_S, loop.time)
        self._world = World(self.rules, self.rules.uploads)
        self._nodes = {f"winch-{i}": f"10.0.0.{i + 1}" for i in range(3)}
        self._hosts: dict[str, Host] = {}
        self._starting: dict[str, asyncio.TimerHandle] = {}
        self.featured: list[str] = []  # nodes that have features on; none named: all
        self._workers: dict[str, Worker] = {}
        self._regional = Host("10.2.0.0", "")
        self._users = Host("10.3.0.1", "")
        self.failures: list[str] = []
        self.services: ServiceEvents | None = None

    # --- the world ------------------------------------------------------------------------
    def start(self, left_behind: dict[str, Any] | None = None) -> None:
        on_host(self._regional, self._start_regional())
        if left_behind is not None:
            self._loop.call_soon(self._go_on, left_behind)
        for name in self._nodes:
            self._loop.call_soon(self._start_node, name)

    def _go_on(self, records: dict[str, Any]) -> None:
        for key, data in records.items():
            kind, _, name = key.removeprefix("p/").partition("/")
            if kind == "n":
                continue  # the leases of a version that has stopped are over
            self.state.put(key, data)
            if kind == "m" and data["state"] != "gone":
                self.cloud.place(name, data["type"], data["zone"], data["spot"])
            elif kind == "j":
                self.rules.know(name, data["status"])
                self.rules.uploads[name] = self._upload(name, data)
                if data["status"] == "done":
                    self._world.results |= {f"{name}/{i}" for i in range(data["tasks"])}
            elif kind == "c":
                self._world.results |= _done_in(name, data)

    def _upload(self, job: str, record: dict[str, Any]) -> dict[str, Any]:
        """What the user of a job that was left behind had submitted, as far as is known."""
        spec = record.get("spec")
        if spec is None:
            return dict(self._submission(job, "batch", str(record["tasks"]), "20", []))
        kind = {"array": "batch", "gang": "gang", "service": "standing"}[spec["kind"]]
        more = {
            "vcpus": spec["cpus"],
            "accelerators": spec["gpus"],
            "ram_gb": spec["memory"],
            "tackle": spec["image"],
        }
        return self._submission(job, kind, str(spec["tasks"]), "20", []) | more

    async def _start_regional(self) -> None:
        self.state = StateService(self._seed)
        capacity = {(zone, spot): 4 for zone in ZONES for spot in (False, True)}
        self.cloud = CloudService([TYPE], capacity, self._clock, self._boot, self._stop)
        await asyncio.gather(self.state.run("10.2.0.1:2379"), self.cloud.run("10.2.0.2:8443"))

    def _start_node(self, name: str) -> None:
        index = int(name.rpartition("-")[2])
        host = self._hosts[name] = Host(self._nodes[name], ZONES[index])
        rng = random.Random(f"{self._seed} {name} {self._loop.time()}")
        on = self.services and (not self.featured or name in self.featured)
        features = self.services.features(name) if self.services and on else None
        on_host(host, App(self._settings(name), self._clock, rng, None, features).run())

    def _settings(self, name: str) -> Settings:
        zones = dict(zip(self._nodes, ZONES, strict=True))
        raw = {
            "node_name": name,
            "zone": zones[name],
            "api_addr": f"{self._nodes[name]}:8080",
            "back": f"{self._nodes[name]}:8081",
            "siblings": [
                {"node_name": n, "zone": zones[n], "endpoint": f"{ip}:8081"}
                for n, ip in self._nodes.items()
                if n != name
            ],
            "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "deployment": {
                "zones": ZONES,
                "teams": [{"name": t, "gpus_max": most} for t, most in TEAMS.items()],
                "workers": {
                    "report_s": 3.0,
                    "lease_s": 14.0,
                    "gang_wait_s": 50.0,
                    "gang_peer_s": 8.0,
                    "cancel_s": CANCEL_S,
                },
                "state": {
                    "rps": 200.0,
                    "write_rps": 80.0,
                    "value_kb": 8.0,
                    "txn_ops": 32,
                    "next": {"write_rps": 56.0, "value_kb": 2.0, "txn_ops": 10},
                },
                "cloud": {"rps": 4.0, "list_lag_s": 5.0},
            },
        }
        return msgspec.convert(raw, Settings)

    def _boot(self, block: str, kind: dict[str, Any], yard: str, loaners: bool) -> str:
        number = int(block.rpartition("-")[2])
        ip = f"{WORKERS}{number // 250}.{number % 250 + 1}"
        host = self._hosts[block] = Host(ip, yard)
        nodes = {n: f"{ip_}:8080" for n, ip_ in self._nodes.items()}
        worker = self._workers[block] = Worker(
            block,
            f"{ip}:9000",
            kind,
            yard,
            loaners,
            nodes,
            self._world,
            Times(),
            self._clock,
            f"{self._seed} {block}",
        )
        on_host(host, worker.run())
        return worker.addr

    def do_reboot(self, what: str, after_s: str, how: str, share: str = "1") -> None:
        found = self._blocks(what)
        for block in found[: math.ceil(float(share) * len(found))]:
            before = self._workers[block]
            before.vanish()
            self._network.kill(self._hosts[block])
            self._loop.call_later(float(after_s), self._back, block, before, how == "on")

    def _back(self, block: str, before: Worker, goes_on: bool) -> None:
        if self._workers.get(block) is before:  # else it was given back meanwhile
            self._boot(block, before.kind, before.yard, before.loaners)
            if goes_on:
                self._workers[block].lives_on(before)

    def do_late(self, block: str, seconds: str) -> None:
        report = self._workers[block].report()
        for address in self._nodes.values():
            self._later(float(seconds), address, "/checkin", report)

    def do_again(self, job: str, what: str) -> None:
        path = "/submissions" + (f"/{job}/cancel" if what == "cancel" else "")
        body = self.rules.uploads[job] if what == "submit" else None
        for address in self._nodes.values():
            self._later(0.0, address, path, body)

    def _blocks(self, what: str) -> list[str]:
        """A machine, or those of a zone, or `all`."""
        return [
            block
            for block, worker in self._workers.items()
            if what in (block, worker.yard) or what == "all"
        ]

    def _later(self, seconds: float, address: str, path: str, body: object) -> None:
        async def send() -> None:
            await asyncio.sleep(seconds)
            client = Client(f"{address}:8080", self._clock)
            with contextlib.suppress(NoAnswer):
                await client.request("POST", path, body, 5.0)
            client.close()

        on_host(self._users, send())

    def _stop(self, block: str) -> None:
        worker = self._workers.pop(block, None)
        if worker is not None:
            worker.vanish()
            self._network.kill(self._hosts.pop(block))

    # --- users ------------------------------------------------------------------------------
    async def _ask(self, method: str, job: str, path: str, body: object = None) -> str:
        """Asks one node after the other until one decides; returns the state it told."""
        for turn in range(30):
            name = sorted(self._nodes)[turn % len(self._nodes)]
            if told := await self._once(method, job, path, body, name):
                return told
            await asyncio.sleep(1.0)
        return "no answer"

    async def _once(self, method: str, job: str, path: str, body: object, node: str) -> str:
        """What that node tells, or nothing."""
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        try:
            status, reply = await client.request(method, path, body, 5.0)
        except NoAnswer:
            status, reply = 0, b""
        client.close()
        state = json.loads(reply).get("tension", "") if reply else ""
        if state == "cancelled" and path.endswith("/cancel"):
            self.rules.asked_cancel(job, told=True)
        self.rules.told(job, status, state, self._world.results)
        return state or str(status) if status in (200, 201, 400, 404, 422) else ""

    def _submission(self, job: str, kind: str, tasks: str, run_s: str, more: list[str]) -> Any:
        body = {
            "name_id": job,
            "rig": f"{kind}s",
            "crew": "core",
            "haul": kind,
            "urgency": {"standing": "prod", "gang": "high"}.get(kind, "standard"),
            "lifts": int(tasks),
            "vcpus": 4.0,
            "accelerators": 1.0,
            "ram_gb": 8.0,
            "tackle": "img-1",
            "pull_gb": 1.0,
            "rig_models": None,
            "yard": None,
            "same_place": kind == "gang",
            "spread": kind == "standing",
            "loaners": kind != "standing",
            "haul_s": float(run_s),
            "belay_s": 5.0,
            "stow_s": 1.0,
            "due_s": None,
            "_run_s": float(run_s),
        }
        for word in more:
            name, _, value = word.partition("=")
            if name == "waits_on":
                body[name] = value.split(",")
            else:
                body[name] = json.loads(value) if value[:1] in "0123456789tfn" else value
        return body

    # --- events -----------------------------------------------------------------------------
    async def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.partition("#")[0].split()
            if not words:
                continue
            try:
                at = float(words[0])
                events = self if hasattr(self, f"do_{words[1]}") else self.services
                verb: Callable[..., Any] = getattr(events, f"do_{words[1]}")
            except (ValueError, IndexError, AttributeError) as error:
                raise ScenarioError(f"line {number}: {line.strip()!r} is no event") from error
            await asyncio.sleep(max(0.0, at - self._loop.time()))
            self.rules.check_cancelled()
            try:
                verb(*words[2:])
            except (ValueError, KeyError, TypeError, IndexError) as error:
                raise ScenarioError(f"line {number}: {line.strip()!r}: {error!r}") from error
        self.rules.check_cancelled()

    def do_features(self, *names: str) -> None:
        """Read before the nodes start."""

    def do_submit(self, job: str, kind: str, tasks: str, run_s: str, *more: str) -> None:
        body = self._submission(job, kind, tasks, run_s, list(more))
        self.rules.uploads[job] = body
        on_host(self._users, self._submit(job, body))

    async def _submit(self, job: str, body: dict[str, Any]) -> None:
        while any(not self.rules.accepted(needed) for needed in body.get("waits_on") or ()):
            await asyncio.sleep(0.05)
        await self._ask("POST", job, "/submissions", body)

    def do_crowd(self, first: str, count: str, *words: str) -> None:
        for job in _row(first, count):
            self.do_submit(job, *words)

    def do_capacity(self, count: str) -> None:
        for place in self.cloud.capacity:
            self.cloud.capacity[place] = int(count)

    def do_boots(self, factor: str) -> None:
        self.cloud.boots = float(factor)

    def do_resubmit(self, job: str) -> None:
        body = self.rules.uploads[job]
        on_host(self._users, self._ask("POST", job, "/submissions", body))

    def do_poll(self, job: str) -> None:
        on_host(self._users, self._ask("GET", job, f"/submissions/{job}"))

    def do_cancel(self, job: str) -> None:
        self.rules.asked_cancel(job, told=False)
        on_host(self._users, self._ask("POST", job, f"/submissions/{job}/cancel"))

    def do_crash(self, name: str, for_s: str = str(RESTART_S)) -> None:
        for node in self._nodes if name == "all" else [name]:
            self._network.kill(self._hosts[node])
            if node in self._starting:
                self._starting[node].cancel()  # a node is started once, however often it ended
            self._starting[node] = self._loop.call_later(float(for_s), self._start_node, node)

    def do_state(self, what: str, node: str = "none", *more: str) -> None:
        if what == "limits":
            self.state.limit(float(node), int(more[0]), float(more[1]))
        elif what == "refuse":
            self.state.refuse = {self._nodes[n] for n in (node, *more) if n in self._nodes}
        elif what == "late":
            self.state.late = float(node)
        elif what == "slow":
            self.state.slow_s = float(node)
        elif what == "watches":
            self.state.watches_end = node == "end"
        elif what not in ("down", "up"):
            raise ValueError(what)
        else:
            self.state.set_down(what == "down")

    def do_cloud(self, what: str) -> None:
        self.cloud.down = what == "down"

    def do_lose(self, share: str) -> None:
        self.state.lose = float(share)

    def do_repeat(self, share: str) -> None:
        self.state.repeat = float(share)

    def do_cut(self, a: str, b: str = "") -> None:
        if b:
            self._network.cut(lambda x, y: x.zone == a and y.zone == b)
        elif a in ZONES:
            self._network.cut(lambda x, y: x.zone == a and y.zone != a)
        else:
            host = self._hosts[a]
            self._network.cut(lambda x, y: x is host)

    def do_freeze(self, node: str, for_s: str) -> None:
        host = self._hosts[node]
        host.frozen = True
        self._loop.call_later(float(for_s), self._loop.thaw, host)

    def do_deafen(self, node: str) -> None:
        host = self._hosts[node]
        self._network.cut(lambda x, y: x is host and y.ip.startswith(WORKERS))

    def do_heal(self) -> None:
        self._network.heal()

    def do_die(self, what: str, share: str = "1") -> None:
        dead = self._blocks(what)
        for block in dead[: math.ceil(float(share) * len(dead))]:
            self._workers[block].vanish()
            self._network.kill(self._hosts[block])
            self._loop.call_later(FAILED_S, self.cloud.fail, block)

    def do_sick(self, block: str) -> None:
        self._workers[block].sick = True

    def do_notice(self, block: str, seconds: str) -> None:
        self._workers[block].reclaim_at = self._loop.time() + float(seconds)
        self._loop.call_later(float(seconds), self.cloud.remove, block)

    def do_expect(self, what: str, value: str, count: str = "1", *more: str) -> None:
        if what == "service" and self.services:
            on_host(self._users, self.services.expect(value, count, *more))
            return
        if what == "machines":
            self._expect_count(len(self.cloud.blocks), value, what)
        elif what == "deaf":
            deaf = sorted({pair[0] for pair in self.state.keys["p/view"][0]["deaf"]})
            self._expect(f"{deaf or ['none']} deaf", f"{[value]} deaf")
        elif what == "condemned":
            records = [x[0] for key, x in self.state.keys.items() if key.startswith("p/m/")]
            sick = sum(record.get("why") == "sick" for record in records)
            self._expect(f"{sick} condemned", f"{value} condemned")
        elif what == "kept":
            self._expect(f"{value} kept: {value in self.cloud.blocks}", f"{value} kept: True")
        elif what in self._nodes:
            on_host(self._users, self._expect_up(what, value))
        elif what == "starts":
            self._expect_count(self.rules.starts, value, what)
        elif what == "lost":
            self._expect(f"{self.rules.lost} lost", f"{value} lost")
        else:
            for job in _row(what, count):
                on_host(self._users, self._expect_state(job, value))

    def _expect_count(self, there: int, wanted: str, what: str) -> None:
        least = int(wanted.rstrip("+"))
        if there < least or (there > least and not wanted.endswith("+")):
            self._expect(f"{there} {what}", f"{wanted} {what}")

    async def _expect_up(self, node: str, wanted: str) -> None:
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        status, _ = await client.request("GET", "/up")
        client.close()
        self._expect(f"/up of {node} is {status}", f"/up of {node} is {wanted}")

    async def _expect_state(self, job: str, wanted: str) -> None:
        told = await self._ask("GET", job, f"/submissions/{job}")
        self._expect(f"{job} is {told}", f"{job} is {wanted}")

    def unheard(self, context: dict[str, Any]) -> None:
        """An exception that reached the event loop: no part of the service may leave one."""
        error = context.get("exception")
        # A killed host's connections are cancelled; asyncio's own callback asks them for a failure.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self._loop.time():.1f}: {context['message']}: {error!r}")

    def _expect(self, found: str, wanted: str) -> None:
        if found != wanted:
            self.failures.append(f"{self._loop.time():.1f}: {found}, not: {wanted}")


def _row(first: str, count: str) -> list[str]:
    """Jobs with ids in a row, from `first` on."""
    start = int(first.rpartition("-")[2])
    return [f"j-{start + i}" for i in range(int(count))]


def _done_in(chunk: str, tasks: list[list[Any]]) -> set[str]:
    job, _, index = chunk.partition("/")
    first = int(index, 16) * CHUNK_TASKS
    return {f"{job}/{first + i}" for i, task in enumerate(tasks) if len(task) > 2 and task[2]}


def left_behind(path: Path) -> dict[str, Any]:
    """The records of a kept trace; a line: key, then JSON."""
    lines = [line.partition(" ") for line in path.read_text().splitlines()]
    return {key: json.loads(value) for key, _, value in lines if key.startswith("p/")}


def virtually(work: Callable[[LoopClock], Coroutine[Any, Any, None]]) -> None:
    """Runs one coroutine by a virtual clock, without a world around it."""
    loop = VirtualLoop(Network(1))
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work(LoopClock(loop)))
    finally:
        asyncio.set_event_loop(None)


def play(path: Path, seed: int) -> Scenario:
    """Plays a scenario file; the rules and expectations it broke are left in the result."""
    network = Network(seed)
    loop = VirtualLoop(network)
    asyncio.set_event_loop(loop)
    scenario = Scenario(loop, network, seed)
    seen = [line.partition("#")[0].split() for line in path.read_text().splitlines()]
    for words in seen:
        if words[1:2] == ["features"]:
            scenario.services, scenario.featured = ServiceEvents(scenario), words[3:]
    events = [line for line in path.read_text().splitlines() if line.partition("#")[0].strip()]
    records = None
    at, verb, *words = events[0].split()
    if verb == "load":
        records = left_behind(path.parent / words[0])
        loop.clock = float(at)
        del events[0]

    loop.set_exception_handler(lambda _, context: scenario.unheard(context))

    async def run() -> None:
        scenario.start(records)
        await asyncio.sleep(0.01)
        await scenario.play("\n".join(events))
        await asyncio.sleep(3.0)
        if scenario.services:
            scenario.failures += scenario.services.faults()

    try:
        loop.run_until_complete(run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        gc.collect()  # tasks whose failure nobody took say so when they are dropped
        asyncio.set_event_loop(None)
    return scenario
