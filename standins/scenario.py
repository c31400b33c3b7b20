"""Runs scenario files: three controller nodes against simulated services, on a virtual clock.

The scenario file format is documented in `standins/script.py`.
"""

import asyncio
import contextlib
import gc
import math
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal.app import App
from pulleydeal.constants import CHUNK_TASKS
from pulleydeal.features.settings import Features, JournalSettings
from pulleydeal.http import Client, NoResponse
from pulleydeal.settings import Settings
from standins.acceptance import LOOK_S, WaitChecker, unserved
from standins.attempts import REPORT_ORDERS, AttemptWorker, ReportOrder
from standins.cloud import CloudService
from standins.expected import Expected
from standins.net import Host, Network, VirtualLoop, on_host
from standins.place import CANCEL_S, TEAMS, TYPE, ZONES
from standins.rules import Rules
from standins.script import Event, LoopClock, events, left_behind
from standins.service_events import ServiceEvents
from standins.state import StateService
from standins.troubles import WORKER_IP_PREFIX, Troubles
from standins.users import Users
from standins.worker import Worker, WorkerEnvironment, WorkerTimings


class Scenario(Troubles, Users, Expected):
    """A simulated cluster and the handlers (`do_VERB`) of the events that drive it."""

    def __init__(self, loop: VirtualLoop, network: Network, seed: int) -> None:
        self._loop, self._network, self._seed = loop, network, seed
        self._clock = LoopClock(loop)
        self.rules = Rules(TEAMS, CANCEL_S, loop.time)
        self._world = WorkerEnvironment(self.rules, self.rules.uploads)
        self.late_orders = self._world.late_orders
        self.late_orders.rng = random.Random(f"{seed} late orders")
        self.late_orders.deliver = self._deliver_order
        self._nodes = {f"winch-{i}": f"10.0.0.{i + 1}" for i in range(3)}
        self._hosts: dict[str, Host] = {}
        self._restart_timers: dict[str, asyncio.TimerHandle] = {}
        self.featured: list[str] = []  # nodes with optional features; empty: all nodes
        self.journaling: list[str] | None = None  # None: no node; empty list: all nodes
        self._workers: dict[str, Worker] = {}
        self._make_worker: Callable[..., Worker] = Worker  # for machines that boot from now on
        self._service_host = Host("10.2.0.0", "")
        self._user_host = Host("10.3.0.1", "")
        self.failures: list[str] = []
        self.services: ServiceEvents | None = None
        self.rng = random.Random(f"{seed} users")
        self.looks, self.look_cancels = False, 0.0
        # Counters that show whether a scenario really exercised the case that it is meant for.
        self.close_looks = self.called_off = self.reports_kept = 0
        self._wait_checker = WaitChecker(self.rules, loop.time)

    # --- set-up ---------------------------------------------------------------------------
    def start(self, left_behind: dict[str, Any] | None = None) -> None:
        on_host(self._service_host, self._start_services())
        if left_behind is not None:
            self._loop.call_soon(self._load_records, left_behind)
        for name in self._nodes:
            self._loop.call_soon(self._start_node, name)

    def _load_records(self, records: dict[str, Any]) -> None:
        for key, data in records.items():
            kind, _, name = key.removeprefix("p/").partition("/")
            if kind == "n":
                continue  # node leases of the stopped version have expired
            self.state.put(key, data)
            if kind == "m" and data["state"] != "gone":
                self.cloud.place(name, data["type"], data["zone"], data["spot"])
            elif kind == "j":
                self.rules.know(name, data["status"])
                self.rules.uploads[name] = self._submission_from_record(name, data)
                if data["status"] == "done":
                    self._world.results |= {f"{name}/{i}" for i in range(data["tasks"])}
            elif kind == "c":
                self._world.results |= _completed_tasks(name, data)

    def _submission_from_record(self, job: str, record: dict[str, Any]) -> dict[str, Any]:
        """Rebuilds the submission of a loaded job from its record; the rest are defaults."""
        spec = record.get("spec")
        if spec is None:
            return dict(self._submission(job, "batch", str(record["tasks"]), "20", []))
        kind = {"array": "batch", "gang": "gang", "service": "standing"}[spec["kind"]]
        resources = {
            "vcpus": spec["cpus"],
            "accelerators": spec["gpus"],
            "ram_gb": spec["memory"],
            "tackle": spec["image"],
        }
        return self._submission(job, kind, str(spec["tasks"]), "20", []) | resources

    async def _start_services(self) -> None:
        self.state = StateService(self._seed)
        self.state.on_put = self._on_state_write
        capacity = {(zone, spot): 4 for zone in ZONES for spot in (False, True)}
        self.cloud = CloudService(
            [TYPE], capacity, self._clock, self._boot_machine, self._stop_machine
        )
        await asyncio.gather(self.state.run("10.2.0.1:2379"), self.cloud.run("10.2.0.2:8443"))

    def _start_node(self, name: str) -> None:
        index = int(name.rpartition("-")[2])
        host = self._hosts[name] = Host(self._nodes[name], ZONES[index])
        rng = random.Random(f"{self._seed} {name} {self._loop.time()}")
        enabled = self.services and (not self.featured or name in self.featured)
        features = self.services.features(name) if self.services and enabled else Features()
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
                "teams": [{"name": t, "gpus_max": limit} for t, limit in TEAMS.items()],
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

    def _boot_machine(
        self, machine: str, machine_type: dict[str, Any], zone: str, spot: bool
    ) -> str:
        number = int(machine.rpartition("-")[2])
        ip = f"{WORKER_IP_PREFIX}{number // 250}.{number % 250 + 1}"
        host = self._hosts[machine] = Host(ip, zone)
        nodes = {n: f"{ip_}:8080" for n, ip_ in self._nodes.items()}
        worker = self._workers[machine] = self._make_worker(
            machine,
            f"{ip}:9000",
            machine_type,
            zone,
            spot,
            nodes,
            self._world,
            WorkerTimings(),
            self._clock,
            f"{self._seed} {machine}",
        )
        on_host(host, worker.run())
        return worker.addr

    def do_reboot(self, selector: str, after_s: str, counters: str, share: str = "1") -> None:
        found = self._select_machines(selector)
        for machine in found[: math.ceil(float(share) * len(found))]:
            old = self._workers[machine]
            old.terminate()
            self._network.kill(self._hosts[machine])
            self._loop.call_later(
                float(after_s), self._reboot_machine, machine, old, counters == "on"
            )

    def _reboot_machine(self, machine: str, old: Worker, keeps_counters: bool) -> None:
        if self._workers.get(machine) is old:  # otherwise the machine was returned meanwhile
            self._boot_machine(machine, old.machine_type, old.zone, old.spot)
            if keeps_counters:
                self._workers[machine].resume_counters(old)
            self.late_orders.on_reboot(machine)

    def do_keep_attempts(self, order: ReportOrder | None = None) -> None:
        if order not in (None, *REPORT_ORDERS):
            raise ValueError(order)
        self._make_worker = partial(AttemptWorker, report_order=order)

    def do_late(self, machine: str, seconds: str) -> None:
        report = self._workers[machine].report()
        for address in self._nodes.values():
            self._send_later(float(seconds), address, "/checkin", report)

    def do_again(self, job: str, request: str) -> None:
        path = "/submissions" + (f"/{job}/cancel" if request == "cancel" else "")
        body = self.rules.uploads[job] if request == "submit" else None
        for address in self._nodes.values():
            self._send_later(0.0, address, path, body)

    def _select_machines(self, selector: str) -> list[str]:
        """Machines selected by a machine id, a zone, or `all`."""
        return [
            machine
            for machine, worker in self._workers.items()
            if selector in (machine, worker.zone) or selector == "all"
        ]

    def _send_later(self, seconds: float, address: str, path: str, body: object) -> None:
        async def send() -> None:
            await asyncio.sleep(seconds)
            client = Client(f"{address}:8080", self._clock)
            with contextlib.suppress(NoResponse):
                await client.request("POST", path, body, 5.0)
            client.close()

        on_host(self._user_host, send())

    def _stop_machine(self, machine: str) -> None:
        worker = self._workers.pop(machine, None)
        if worker is not None:
            worker.terminate()
            self._network.kill(self._hosts.pop(machine))

    # --- events -----------------------------------------------------------------------------
    async def play(self, script: list[Event]) -> None:
        for event in script:
            part = self if hasattr(self, f"do_{event.verb}") else self.services
            handler: Callable[..., Any] | None = getattr(part, f"do_{event.verb}", None)
            if handler is None:
                raise event.wrong("unknown event")
            await asyncio.sleep(max(0.0, event.at - self._loop.time()))
            self.rules.check_cancelled()
            try:
                handler(*event.words)
            except (ValueError, KeyError, TypeError, IndexError) as error:
                raise event.wrong(repr(error)) from error
        self.rules.check_cancelled()

    async def watch_waits(self, faults_over_at: float) -> None:
        """Once all faults are over, checks every LOOK_S for jobs that wait although they fit."""
        await asyncio.sleep(max(0.0, faults_over_at - self._loop.time()))
        while True:
            await asyncio.sleep(LOOK_S)
            self._wait_checker.look(self._workers.values(), self._world.results)

    def do_features(self, *names: str) -> None:
        """Does nothing: `play` reads this event before the nodes start."""

    def do_journal(self, _on: str, *nodes: str) -> None:
        """Enables the journal on nodes started from now on: on the named nodes, or on all."""
        self.journaling = list(nodes)

    def unheard(self, context: dict[str, Any]) -> None:
        """Records an unhandled exception from the event loop as a failure of the scenario."""
        error = context.get("exception")
        # Killing a host cancels its connection tasks; asyncio's callback reports CancelledError.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self._loop.time():.1f}: {context['message']}: {error!r}")


def _completed_tasks(chunk: str, tasks: list[list[Any]]) -> set[str]:
    job, _, index = chunk.partition("/")
    first = int(index, 16) * CHUNK_TASKS
    return {f"{job}/{first + i}" for i, task in enumerate(tasks) if len(task) > 2 and task[2]}


def troubles_over(script: list[Event]) -> float:
    """Time of the last fault event (see `Troubles`) in the script; durations are not counted."""
    return max((e.at for e in script if hasattr(Troubles, f"do_{e.verb}")), default=0.0)


def play(path: Path, seed: int) -> Scenario:
    """Runs a scenario file; the result holds the broken rules and failed expectations."""
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
        wait_check = asyncio.ensure_future(scenario.watch_waits(troubles_over(script)))
        await scenario.play(script)
        await asyncio.sleep(3.0)
        wait_check.cancel()
        scenario.rules.broken += unserved(scenario.rules, loop.time())
        if scenario.services:
            scenario.failures += scenario.services.faults()

    try:
        loop.run_until_complete(run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        gc.collect()  # tasks report an exception that was never retrieved when they are collected
        asyncio.set_event_loop(None)
    return scenario
