"""Scenario events on named services and cron tables, with checks of copies and consumers."""

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pulleydeal.features.settings import (
    Features,
    OperatorsSettings,
    RecurringSettings,
    RolloutsSettings,
    ZonesSettings,
)
from standins.copies import Behaviour, Copies, find_description
from standins.net import on_host
from standins.services import Consumer, Floor, Operator, Watcher, toml
from standins.worker import Worker, WorkerTask

if TYPE_CHECKING:
    from standins.scenario import Scenario

FIRST_PORT = 20_000
TRACES = Path(__file__).resolve().parent.parent / "tests" / "traces"
CRON_MAPPING = {
    "team": "core",
    "class": "cron",
    "image": "img-1",
    "image_gb": 1.0,
    "cpus": 1.0,
    "memory_gb": 1.0,
    "run_s": 5.0,
    "spot": True,
}
REQUEST_INTERVAL_S = 0.25  # between two requests of a consumer
CHECK = {"every_s": 1.0, "timeout_s": 0.5, "healthy_after": 2, "unhealthy_after": 3}
DEFAULT_DESCRIPTION = {
    "team": "core",
    "copies": 6,
    "cpus": 4.0,
    "gpus": 1.0,
    "memory_gb": 8.0,
    "image_gb": 1.0,
    "floor": 5,
    "surge": 2,
    "steps": [1],
    "bake_s": 8.0,
    "watch_s": 20.0,
    "deadline_s": 90.0,
    "leave_s": 3.0,
    "check": CHECK | {"grace_s": 30.0},
}


class ServiceEvents:
    """Handlers (`do_VERB`) of the events that concern operators, services and cron tables."""

    def __init__(self, scenario: "Scenario") -> None:
        self._scenario = scenario
        self._clock = scenario._clock
        self.copies = Copies(self._clock, {n: f"{ip}:8080" for n, ip in scenario._nodes.items()})
        self.watcher = Watcher(self.copies, self._clock.now)
        self.consumers: dict[str, Consumer] = {}
        self._descriptions: dict[str, dict[str, Any]] = {}
        self._port = FIRST_PORT
        environment = scenario._world
        environment.find_description = lambda job: find_description(scenario.state.keys, job)
        environment.on_replica_started, environment.on_task_stopped = (
            self._start_copy,
            self.copies.end,
        )
        addresses = {n: f"{ip}:9180" for n, ip in scenario._nodes.items()}
        self._operator = Operator(addresses, self._clock)
        on_host(scenario._user_host, self.watcher.steadily())

    def features(self, node: str) -> Features:
        # Operators use the address of the node, as each simulated host has one of its own.
        address = f"{self._scenario._nodes[node]}:9180"
        optional_features = (RolloutsSettings(), RecurringSettings(), ZonesSettings())
        return Features(OperatorsSettings(address), *optional_features)

    def _start_copy(self, worker: Worker, task: str, running: WorkerTask) -> None:
        self._port += 1
        address = f"{worker.addr.partition(':')[0]}:{self._port}"
        self.copies.start(task, running.attempt, running.job, address)

    # --- events -----------------------------------------------------------------------------
    def do_describe(self, service: str, *options: str) -> None:
        fields = DEFAULT_DESCRIPTION | {"name": service, "class": service}
        for word in options:
            name, _, value = word.partition("=")
            fields[name] = float(value) if "." in value else int(value)
        self._descriptions[service] = fields
        self.copies.services[service] = service

    def do_behave(self, image: str, *options: str) -> None:
        behaviour = self.copies.behaviours.setdefault(image, Behaviour())
        for word in options:
            name, _, value = word.partition("=")
            setattr(behaviour, name, value == "true" if name == "silent" else float(value))

    def do_fail(self, *images: str) -> None:
        """Makes all copies of these images fail from now on."""
        for image in images:
            self.do_behave(image, f"from_={self._clock.now()}")

    def do_mend(self, *images: str) -> None:
        for image in images:
            self.copies.behaviours[image].from_ = None

    def do_roll(self, service: str, image: str) -> None:
        on_host(self._scenario._user_host, self._start_rollout(service, image))

    async def _start_rollout(self, service: str, image: str) -> None:
        text = toml(self._descriptions[service] | {"image": image})
        status, result = await self._operator.ask("POST", "/v1/rollouts", text)
        if status != 200:
            self._scenario.failures.append(
                f"{self._clock.now():.1f}: roll {service}: {status} {result}"
            )

    def do_operator(self, service: str, what: str) -> None:
        path = f"/v1/services/{service}/{what}"
        on_host(self._scenario._user_host, self._operator.ask("POST", path))

    def do_promise(self, service: str, least: str) -> None:
        self.watcher.floors[service] = Floor(int(least), self._clock.now())
        nodes = {n: f"{ip}:8080" for n, ip in self._scenario._nodes.items()}
        consumer = self.consumers[service] = Consumer(service, nodes, self._clock)
        on_host(self._scenario._user_host, consumer.follow())
        on_host(self._scenario._user_host, self._send_requests(consumer))

    async def _send_requests(self, consumer: Consumer) -> None:
        await asyncio.sleep(2.0)
        await consumer.steadily(REQUEST_INTERVAL_S)

    def do_excuse(self, service: str, for_s: str) -> None:
        """Suspends the floor for a while in which the scheduler cannot be expected to keep it."""
        now = self._clock.now()
        self.watcher.floors[service].ranges.append((now, now + float(for_s)))

    # --- cron -------------------------------------------------------------------------------
    def do_cron(self, table: str, file: str, *options: str) -> None:
        """Imports tests/traces/FILE as a cron table; options override the mapping's defaults."""
        on_host(self._scenario._user_host, self._import_table(table, file, options))

    async def _import_table(self, table: str, file: str, options: tuple[str, ...]) -> None:
        fields: dict[str, Any] = dict(CRON_MAPPING)
        for word in options:
            name, _, value = word.partition("=")
            fields[name] = json.loads(value) if value[:1] in "0123456789tf" else value
        text = (TRACES / file).read_text()
        mapping = toml({"default": fields})
        # One node holds an upload in memory: the import must go to it, or both are repeated.
        for name in [*self._operator.addresses] * 10:
            operator = Operator({name: self._operator.addresses[name]}, self._clock)
            status, _ = await operator.ask("POST", f"/v1/cron/uploads/{table}?at=0", text, 1)
            if status == 200:
                status, result = await operator.ask("POST", f"/v1/cron/tables/{table}", mapping, 1)
                if status == 200:
                    return
                if status == 422:
                    break
            await asyncio.sleep(0.5)
        self._scenario.failures.append(f"{self._clock.now():.1f}: cron {table}: {status} {result}")

    def do_table(self, table: str, what: str) -> None:
        on_host(
            self._scenario._user_host, self._operator.ask("POST", f"/v1/cron/tables/{table}/{what}")
        )

    def do_fired(self, count: str) -> None:
        """Checks the total number of jobs of recurring lines accepted so far."""
        accepted = sum(key.startswith("p/j/j-8") for key in self._scenario.state.keys)
        if accepted != int(count):
            self._scenario.failures.append(
                f"{self._clock.now():.1f}: {accepted} fired, not {count}"
            )

    async def expect(self, service: str, state: str, good: str, copies: str) -> None:
        _, result = await self._operator.ask("GET", f"/v1/services/{service}")
        seen = (result.get("state"), result.get("good"), result.get("ready"))
        wanted = (state, int(good), int(copies))
        if seen != wanted:
            self._scenario.failures.append(
                f"{self._clock.now():.1f}: {service} is {seen}, not {wanted}: {result}"
            )
        _, history = await self._operator.ask("GET", f"/v1/services/{service}/history")
        self.history = [f"{x['what']}: {x.get('why', '')}" for x in history.get("items", [])]

    def faults(self) -> list[str]:
        """Violations of floors and failed requests of consumers, at the end of a scenario."""
        violations = [
            f"{service}: floor missed: {floor.missed[:5]}"
            for service, floor in self.watcher.floors.items()
            if floor.missed
        ]
        for service, consumer in self.consumers.items():
            bad = {k: n for k, n in consumer.answers.items() if k != "200"}
            if bad or not consumer.answers["200"]:
                violations.append(f"{service}: requests {dict(consumer.answers)}")
            if consumer.went_back:
                violations.append(f"{service}: endpoints went back {consumer.went_back} times")
        return violations
