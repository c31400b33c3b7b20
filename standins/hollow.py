"""Many simulated workers in one process: `python3 -m standins.hollow PLAN NUMBER`.

They speak PROTOCOL over real sockets, but their tasks only count down time. Each start, end and
completion of a task is sent to the hub.
"""

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

import msgspec

from pulleydeal.clock import SystemClock
from pulleydeal.settings import split_address
from standins import hub_messages as m
from standins.gangs import Attempt, Gangs
from standins.hub import MAX_LINE_B
from standins.late_orders import OrderCopy
from standins.worker import Worker, WorkerEnvironment, WorkerTask, WorkerTimings

PROGRESS_S = 0.2  # interval of the messages that all earlier events have been sent
TICK_S = 0.5  # coarse, as a process has hundreds of workers with about 28 tasks each
START_SPREAD_S = 3.0  # first reports are spread over one report period
LONG_S = 1e9  # remaining time of tasks that outlast the scale run


class HeldTask(msgspec.Struct):
    """A task that is already running when the scale run begins."""

    task: str
    attempt: int


class HollowWorker(msgspec.Struct):
    """A worker to start: its machine, address, zone, whether it is spot, and its tasks."""

    block: str
    addr: str
    yard: str
    loaners: bool
    tasks: list[HeldTask] = []


class Plan(msgspec.Struct):
    """The configuration file of all processes of hollow workers."""

    hub: str
    nodes: dict[str, str]
    type: dict[str, Any]
    report_s: float
    lease_s: float
    jobs: dict[str, dict[str, Any]]
    processes: list[list[HollowWorker]]
    late_orders_share: float = 0.0  # share of answered orders with a start that arrive again


class HubConnection:
    """The connection to the hub; one message a line."""

    def __init__(self, writer: asyncio.StreamWriter, clock: SystemClock) -> None:
        self._writer = writer
        self.now = clock.now

    def send(self, message: m.Up) -> None:
        self._writer.write(m.line(message))


class EventForwarder:
    """Replaces `Rules` in a worker process: forwards the events to the hub, which checks them."""

    def __init__(self, hub: HubConnection) -> None:
        self._hub = hub
        self.lost = 0

    def on(
        self,
        task: str,
        machine: str,
        machine_type: str,
        zone: str,
        spot: bool,
        _results: set[str],
        ordered_at: float,
    ) -> None:
        at = self._hub.now()
        self._hub.send(m.TaskStarted(at, task, machine, machine_type, zone, spot, ordered_at))

    def off(self, task: str, machine: str) -> None:
        self._hub.send(m.TaskEnded(self._hub.now(), task, machine))


class SharedGangs(Gangs):
    """Gangs whose members may be in any process; the hub tells when one is complete."""

    def __init__(self, hub: HubConnection) -> None:
        super().__init__()
        self._hub = hub
        self._broken: set[Attempt] = set()

    def join(self, attempt: Attempt, task: str, running: WorkerTask, size: int) -> None:
        self._members.setdefault(attempt, {})[task] = running
        self._hub.send(m.MemberJoined(self._hub.now(), *attempt, task, size))

    def leave(self, attempt: Attempt, task: str) -> None:
        if self._members.get(attempt, {}).pop(task, None) is not None:
            self._hub.send(m.MemberLeft(self._hub.now(), *attempt, task))

    def start(self, attempt: Attempt) -> None:
        for running in self._members.get(attempt, {}).values():
            running.state = "running"

    def end(self, attempt: Attempt) -> None:
        self._broken.add(attempt)

    def is_broken(self, attempt: Attempt, size: int) -> bool:
        return attempt in self._broken and attempt[0] not in self._completed


class Hollow:
    """The workers of one process, and its reactions to messages of the hub."""

    def __init__(self, plan: Plan, hub: HubConnection, clock: SystemClock) -> None:
        self._plan, self._hub, self._clock = plan, hub, clock
        self._forwarder = EventForwarder(hub)
        self.gangs = SharedGangs(hub)
        self._environment = WorkerEnvironment(self._forwarder, dict(plan.jobs), gangs=self.gangs)  # type: ignore[arg-type]
        self._environment.on_task_completed = lambda task: hub.send(
            m.TaskCompleted(hub.now(), task)
        )
        self._times = WorkerTimings(plan.report_s, plan.lease_s, tick_s=TICK_S)
        self._late_orders = self._environment.late_orders
        self._late_orders.share = plan.late_orders_share
        self._late_orders.deliver = self._deliver_order
        self._workers: dict[str, Worker] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._starts = 0

    async def start(self, planned: HollowWorker, spread_s: float) -> None:
        self._starts += 1
        worker = Worker(
            planned.block,
            planned.addr,
            self._plan.type,
            planned.yard,
            planned.loaners,
            self._plan.nodes,
            self._environment,
            self._times,
            self._clock,
            f"{planned.block} {self._starts}",
        )
        for held in planned.tasks:
            job = self._plan.jobs[held.task.rpartition("/")[0]]
            worker.tasks[held.task] = WorkerTask(job, held.attempt, "running", remaining_s=LONG_S)
        await worker.listen()
        self._workers[planned.block] = worker
        self._tasks[planned.block] = asyncio.ensure_future(self._report(worker, spread_s))

    async def _report(self, worker: Worker, spread_s: float) -> None:
        await asyncio.sleep(random.Random(worker.machine).uniform(0.0, spread_s))
        await worker.keep_reporting()

    async def replace(self, machines: list[str], after_s: float) -> None:
        mine = [machine for machine in machines if machine in self._workers]
        ended = [self._workers.pop(machine) for machine in mine]
        for worker in ended:
            self._tasks.pop(worker.machine).cancel()
            worker.terminate()
            await worker.close()
        await asyncio.sleep(after_s)
        for old in ended:
            again = HollowWorker(old.machine, old.addr, old.zone, old.spot)
            await self.start(again, 0.0)

    async def silence(self, machines: list[str], for_s: float) -> None:
        mine = [self._workers[machine] for machine in machines if machine in self._workers]
        for worker in mine:
            worker.reachable = False
        await asyncio.sleep(for_s)
        for worker in mine:
            worker.reachable = True

    def _deliver_order(self, delay_s: float, copy: OrderCopy) -> None:
        def deliver() -> None:
            worker = self._workers.get(copy.machine)
            if worker is not None and worker.reachable:
                self._late_orders.arrive(worker, copy)

        asyncio.get_running_loop().call_later(delay_s, deliver)

    def take(self, message: m.Down) -> None:
        if isinstance(message, m.Upload):
            self._environment.uploads[message.body["name_id"]] = message.body
        elif isinstance(message, m.GangComplete):
            self.gangs.start((message.job, message.attempt))
        elif isinstance(message, m.GangBroken):
            self.gangs.end((message.job, message.attempt))
        elif isinstance(message, m.Completed):
            self._environment.results.add(message.task)
            if message.gang:
                self.gangs.complete(message.gang)
        elif isinstance(message, m.Silence):
            self._spawn(self.silence(message.blocks, message.for_s))
        elif isinstance(message, m.Replace):
            self._spawn(self.replace(message.blocks, message.after_s))

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[f"{id(task)}"] = task

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for worker in list(self._workers.values()):
                worker.tick()

    async def tell_progress(self) -> None:
        while True:
            workers = self._workers.values()
            counts = {
                "reports": sum(w.reports for w in workers),
                "report bytes": sum(w.report_bytes for w in workers),
                "answer bytes": sum(w.answer_bytes for w in workers),
                "orders": sum(w.orders for w in workers),
                "tasks": sum(len(w.tasks) for w in workers),
                "lost": self._forwarder.lost,
                "late orders after a clear": self._late_orders.after_clear,
                "late orders after a reboot": self._late_orders.after_reboot,
                "started again": self._late_orders.started_again,
            }
            self._hub.send(m.Progress(self._hub.now(), counts))
            await asyncio.sleep(PROGRESS_S)


async def main(plan_file: Path, number: int) -> None:
    plan = msgspec.json.decode(plan_file.read_bytes(), type=Plan)
    reader, writer = await asyncio.open_connection(*split_address(plan.hub), limit=MAX_LINE_B)
    clock = SystemClock()
    hollow = Hollow(plan, HubConnection(writer, clock), clock)
    for planned in plan.processes[number]:
        await hollow.start(planned, START_SPREAD_S)
    loops = [asyncio.ensure_future(hollow.tick()), asyncio.ensure_future(hollow.tell_progress())]
    while data := await reader.readline():
        hollow.take(m.DOWN.decode(data))
    for loop in loops:
        loop.cancel()


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
