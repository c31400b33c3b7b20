"""Three whole nodes and the stand-ins by a virtual clock: the world in which scenarios play.

What a scenario's lines may say stands in `standins/script.py`.
"""

import asyncio
import contextlib
import gc
import math
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal.app import App
from pulleydeal.constants import CHUNK_TASKS
from pulleydeal.features.settings import Features, JournalSettings
from pulleydeal.http import Client, NoResponse
from pulleydeal.settings import Settings
from standins.acceptance import LOOK_S, Waits, unserved
from standins.cloud import CloudService
from standins.expected import Expected
from standins.net import Host, Network, VirtualLoop, on_host
from standins.place import CANCEL_S, TEAMS, TYPE, ZONES
from standins.rules import Rules
from standins.script import Event, LoopClock, events, left_behind
from standins.service_events import ServiceEvents
from standins.state import StateService
from standins.troubles import WORKERS, Troubles
from standins.users import Users
from standins.worker import Times, Worker, World


class Scenario(Troubles, Users, Expected):
    def __init__(self, loop: VirtualLoop, network: Network, seed: int) -> None:
        self._loop, self._network, self._seed = loop, network, seed
        self._clock = LoopClock(loop)
        self.rules = Rules(TEAMS, CANCEL_S, loop.time)
        self._world = World(self.rules, self.rules.uploads)
        self._nodes = {f"winch-{i}": f"10.0.0.{i + 1}" for i in range(3)}
        self._hosts: dict[str, Host] = {}
        self._starting: dict[str, asyncio.TimerHandle] = {}
        self.featured: list[str] = []  # nodes that have features on; none named: all
        self.journaling: list[str] | None = None  # nodes that have the journal on; None: none
        self._workers: dict[str, Worker] = {}
        self._regional = Host("10.2.0.0", "")
        self._users = Host("10.3.0.1", "")
        self.failures: list[str] = []
        self.services: ServiceEvents | None = None
        self.rng = random.Random(f"{seed} users")
        self.looks, self.look_cancels = False, 0.0
        # How often what a scenario is about really happened.
        self.close_looks = self.called_off = self.reports_kept = 0
        self._waits = Waits(self.rules, loop.time)

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
        self.state.on_put = self._view_written
        capacity = {(zone, spot): 4 for zone in ZONES for spot in (False, True)}
        self.cloud = CloudService([TYPE], capacity, self._clock, self._boot, self._stop)
        await asyncio.gather(self.state.run("10.2.0.1:2379"), self.cloud.run("10.2.0.2:8443"))

    def _start_node(self, name: str) -> None:
        index = int(name.rpartition("-")[2])
        host = self._hosts[name] = Host(self._nodes[name], ZONES[index])
        rng = random.Random(f"{self._seed} {name} {self._loop.time()}")
        on = self.services and (not self.featured or name in self.featured)
        features = self.services.features(name) if self.services and on else Features()
        if self.journaling is not None and name in (self.journaling or self._nodes):
            features = msgspec.structs.replace(features, journal=JournalSettings())
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
            with contextlib.suppress(NoResponse):
                await client.request("POST", path, body, 5.0)
            client.close()

        on_host(self._users, send())

    def _stop(self, block: str) -> None:
        worker = self._workers.pop(block, None)
        if worker is not None:
            worker.vanish()
            self._network.kill(self._hosts.pop(block))

    # --- events -----------------------------------------------------------------------------
    async def play(self, script: list[Event]) -> None:
        for event in script:
            part = self if hasattr(self, f"do_{event.verb}") else self.services
            verb: Callable[..., Any] | None = getattr(part, f"do_{event.verb}", None)
            if verb is None:
                raise event.wrong("is no event")
            await asyncio.sleep(max(0.0, event.at - self._loop.time()))
            self.rules.check_cancelled()
            try:
                verb(*event.words)
            except (ValueError, KeyError, TypeError, IndexError) as error:
                raise event.wrong(repr(error)) from error
        self.rules.check_cancelled()

    async def watch_waits(self, over_at: float) -> None:
        """From when all troubles are over, none waits long beside room for it."""
        await asyncio.sleep(max(0.0, over_at - self._loop.time()))
        while True:
            await asyncio.sleep(LOOK_S)
            self._waits.look(self._workers.values(), self._world.results)

    def do_features(self, *names: str) -> None:
        """Read before the nodes start."""

    def do_journal(self, _on: str, *nodes: str) -> None:
        """Nodes that start from now on have the journal on, or only these."""
        self.journaling = list(nodes)

    def unheard(self, context: dict[str, Any]) -> None:
        """An exception that reached the event loop: no part of the service may leave one."""
        error = context.get("exception")
        # A killed host's connections are cancelled; asyncio's own callback asks them for a failure.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self._loop.time():.1f}: {context['message']}: {error!r}")


def _done_in(chunk: str, tasks: list[list[Any]]) -> set[str]:
    job, _, index = chunk.partition("/")
    first = int(index, 16) * CHUNK_TASKS
    return {f"{job}/{first + i}" for i, task in enumerate(tasks) if len(task) > 2 and task[2]}


def troubles_over(script: list[Event]) -> float:
    """When the last of its troubles begins or ends, as far as its lines say."""
    return max((e.at for e in script if hasattr(Troubles, f"do_{e.verb}")), default=0.0)


def play(path: Path, seed: int) -> Scenario:
    """Plays a scenario file; the rules and expectations it broke are left in the result."""
    network = Network(seed)
    loop = VirtualLoop(network)
    asyncio.set_event_loop(loop)
    scenario = Scenario(loop, network, seed)
    script = events(path.read_text())
    for event in script:
        if event.verb == "features":
            scenario.services, scenario.featured = ServiceEvents(scenario), event.words[1:]
        elif event.verb == "journal" and event.at == 0.0:
            scenario.journaling = event.words[1:]
    records = None
    if script[0].verb == "load":
        records = left_behind(path.parent / script[0].words[0])
        loop.clock = script[0].at
        del script[0]

    loop.set_exception_handler(lambda _, context: scenario.unheard(context))

    async def run() -> None:
        scenario.start(records)
        await asyncio.sleep(0.01)
        watching = asyncio.ensure_future(scenario.watch_waits(troubles_over(script)))
        await scenario.play(script)
        await asyncio.sleep(3.0)
        watching.cancel()
        scenario.rules.broken += unserved(scenario.rules, loop.time())
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
