"""Many workers in one process, with nothing behind them: `python3 -m standins.hollow PLAN NUMBER`.

They speak PROTOCOL over real sockets; their tasks are counters. What they do is told to the hub.
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
from standins.hub import LINE_MOST_B
from standins.worker import Running, Times, Worker, World

PROGRESS_S = 0.2  # how often the hub hears that all earlier events have been sent
TICK_S = 0.5  # coarse: a process has hundreds of workers with some 28 tasks each
START_SPREAD_S = 3.0  # workers begin to report over one report period
LONG_S = 1e9  # a task that runs from before the run and outlasts it


class HeldTask(msgspec.Struct):
    """A task that runs when the scale run begins."""

    task: str
    attempt: int


class HollowWorker(msgspec.Struct):
    block: str
    addr: str
    yard: str
    loaners: bool
    tasks: list[HeldTask] = []


class Plan(msgspec.Struct):
    """What all processes of hollow workers are told, by one file."""

    hub: str
    nodes: dict[str, str]
    type: dict[str, Any]
    report_s: float
    lease_s: float
    jobs: dict[str, dict[str, Any]]
    processes: list[list[HollowWorker]]


class Line:
    """The connection to the hub."""

    def __init__(self, writer: asyncio.StreamWriter, clock: SystemClock) -> None:
        self._writer = writer
        self.now = clock.now

    def send(self, message: m.Up) -> None:
        self._writer.write(m.line(message))


class Recorder:
    """Stands in the place of the checker's rules: what it is told goes to the hub."""

    def __init__(self, line: Line) -> None:
        self._line = line
        self.lost = 0

    def on(
        self,
        lift: str,
        block: str,
        type_: str,
        yard: str,
        loaners: bool,
        _results: set[str],
        ordered_at: float,
    ) -> None:
        at = self._line.now()
        self._line.send(m.TaskStarted(at, lift, block, type_, yard, loaners, ordered_at))

    def off(self, lift: str, block: str) -> None:
        self._line.send(m.TaskEnded(self._line.now(), lift, block))


class SharedGangs(Gangs):
    """Gangs whose members may be in any process: the hub knows when one is whole."""

    def __init__(self, line: Line) -> None:
        super().__init__()
        self._line = line
        self._broken: set[Attempt] = set()

    def join(self, attempt: Attempt, task: str, running: Running, size: int) -> None:
        self._members.setdefault(attempt, {})[task] = running
        self._line.send(m.MemberJoined(self._line.now(), *attempt, task, size))

    def leave(self, attempt: Attempt, task: str) -> None:
        if self._members.get(attempt, {}).pop(task, None) is not None:
            self._line.send(m.MemberLeft(self._line.now(), *attempt, task))

    def start(self, attempt: Attempt) -> None:
        for running in self._members.get(attempt, {}).values():
            running.tension = "running"

    def end(self, attempt: Attempt) -> None:
        self._broken.add(attempt)

    def is_broken(self, attempt: Attempt, size: int) -> bool:
        return attempt in self._broken and attempt[0] not in self._completed


class Hollow:
    """The workers of one process."""

    def __init__(self, plan: Plan, line: Line, clock: SystemClock) -> None:
        self._plan, self._line, self._clock = plan, line, clock
        self.recorder = Recorder(line)
        self.gangs = SharedGangs(line)
        self._world = World(self.recorder, dict(plan.jobs), gangs=self.gangs)  # type: ignore[arg-type]
        self._world.ended = lambda task: line.send(m.TaskCompleted(line.now(), task))
        self._times = Times(plan.report_s, plan.lease_s, tick_s=TICK_S)
        self._workers: dict[str, Worker] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lives = 0

    async def start(self, planned: HollowWorker, spread_s: float) -> None:
        self._lives += 1
        worker = Worker(
            planned.block,
            planned.addr,
            self._plan.type,
            planned.yard,
            planned.loaners,
            self._plan.nodes,
            self._world,
            self._times,
            self._clock,
            f"{planned.block} {self._lives}",
        )
        for held in planned.tasks:
            job = self._plan.jobs[held.task.rpartition("/")[0]]
            worker.lifts[held.task] = Running(job, held.attempt, "running", left_s=LONG_S)
        await worker.listen()
        self._workers[planned.block] = worker
        self._tasks[planned.block] = asyncio.ensure_future(self._report(worker, spread_s))

    async def _report(self, worker: Worker, spread_s: float) -> None:
        await asyncio.sleep(random.Random(worker.block).uniform(0.0, spread_s))
        await worker.keep_reporting()

    async def replace(self, blocks: list[str], after_s: float) -> None:
        mine = [block for block in blocks if block in self._workers]
        ended = [self._workers.pop(block) for block in mine]
        for worker in ended:
            self._tasks.pop(worker.block).cancel()
            worker.vanish()
            await worker.close()
        await asyncio.sleep(after_s)
        for old in ended:
            again = HollowWorker(old.block, old.addr, old.yard, old.loaners)
            await self.start(again, 0.0)

    async def silence(self, blocks: list[str], for_s: float) -> None:
        mine = [self._workers[block] for block in blocks if block in self._workers]
        for worker in mine:
            worker.reachable = False
        await asyncio.sleep(for_s)
        for worker in mine:
            worker.reachable = True

    def take(self, message: m.Down) -> None:
        if isinstance(message, m.Upload):
            self._world.uploads[message.body["name_id"]] = message.body
        elif isinstance(message, m.GangComplete):
            self.gangs.start((message.job, message.attempt))
        elif isinstance(message, m.GangBroken):
            self.gangs.end((message.job, message.attempt))
        elif isinstance(message, m.Completed):
            self._world.results.add(message.task)
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
                "tasks": sum(len(w.lifts) for w in workers),
                "lost": self.recorder.lost,
            }
            self._line.send(m.Progress(self._line.now(), counts))
            await asyncio.sleep(PROGRESS_S)


async def main(plan_file: Path, number: int) -> None:
    plan = msgspec.json.decode(plan_file.read_bytes(), type=Plan)
    reader, writer = await asyncio.open_connection(*split_address(plan.hub), limit=LINE_MOST_B)
    clock = SystemClock()
    hollow = Hollow(plan, Line(writer, clock), clock)
    for planned in plan.processes[number]:
        await hollow.start(planned, START_SPREAD_S)
    loops = [asyncio.ensure_future(hollow.tick()), asyncio.ensure_future(hollow.tell_progress())]
    while data := await reader.readline():
        hollow.take(m.DOWN.decode(data))
    for loop in loops:
        loop.cancel()


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
