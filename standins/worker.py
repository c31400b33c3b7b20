"""A simulated worker that follows PROTOCOL: reports, tokens, leases, commands and gangs."""

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
from standins.late_orders import LateOrders
from standins.net import LINK
from standins.rules import Rules
from standins.wrong_answers import WrongAnswers

ANSWER_S = 4.0  # PROTOCOL: a later answer to a report is ignored
LATE_COPY_MAX_S = 25.0  # longest delay of a duplicated check-in; well over a lease


@dataclass
class WorkerTask:
    """A task on a worker, until a `clear` command removes it."""

    job: dict[str, Any]
    attempt: int
    state: str
    exit_reason: str | None = None
    saved: bool = False
    remaining_s: float = 0.0
    fetched_at: float = 0.0
    save_done_at: float | None = None
    waiting_since: float = 0.0
    ordered_at: float = 0.0  # lower bound for when its command was sent


@dataclass
class WorkerTimings:
    """Periods and time-outs of a worker."""

    report_s: float = 3.0
    lease_s: float = 14.0
    gang_wait_s: float = 50.0
    gang_peer_s: float = 8.0
    tick_s: float = 0.1  # step of task progress; coarser where one process has many workers


@dataclass
class WorkerEnvironment:
    """State that all workers share: uploaded jobs, results and gangs, and hooks of the test."""

    rules: Rules
    uploads: dict[str, dict[str, Any]] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    progress: dict[str, float] = field(default_factory=dict)
    gangs: Gangs = field(default_factory=Gangs)
    late_report_share: float = 0.0  # share of check-ins that are sent again later
    hold_until_next_leader: bool = False  # send these copies to every node then
    held_reports: list[dict[str, Any]] = field(default_factory=list)  # copies held back so far
    late_orders: LateOrders = field(default_factory=LateOrders)
    fetch_gb_per_s: float = 0.5
    on_task_completed: Callable[[str], None] = lambda _: None  # called with the task id
    # Finds a description that no user uploaded.
    find_description: Callable[[str], dict[str, Any] | None] = lambda _: None
    on_replica_started: Callable[["Worker", str, WorkerTask], Any] = lambda *_: None
    on_task_stopped: Callable[[str], None] = lambda _: None

    def description(self, job: str) -> dict[str, Any] | None:
        found = self.uploads.get(job)
        if found is None and (found := self.find_description(job)) is not None:
            self.uploads[job] = found
        return found


class Worker:
    """One simulated machine: reports to the leader, runs tasks and executes commands."""

    def __init__(
        self,
        machine: str,
        addr: str,
        machine_type: dict[str, Any],
        zone: str,
        spot: bool,
        nodes: dict[str, str],
        environment: WorkerEnvironment,
        times: WorkerTimings,
        clock: Clock,
        seed: str,
    ) -> None:
        self.machine, self.addr, self.machine_type = machine, addr, machine_type
        self.zone, self.spot = zone, spot
        self._nodes, self._node_names = nodes, sorted(nodes)
        self._environment, self._times, self._clock = environment, times, clock
        self._rng = random.Random(seed)
        self._report_node = self._rng.choice(self._node_names)
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[str, WorkerTask] = {}
        self._images: set[str] = set()
        self.renewed_at = clock.now()
        self._report_due = asyncio.Event()
        self._server = Server(self.handle, 1000)
        self.sick = False
        self.terminated = False
        self.reachable = True  # False: no traffic from or to it arrives
        self.reports = self.report_bytes = self.answer_bytes = self.orders = 0
        self.reclaim_at: float | None = None
        self._late_copies: set[asyncio.Task[None]] = set()
        self.wrong_answers = WrongAnswers(f"{seed} wrong answers")

    async def run(self) -> None:
        await self.listen()
        await asyncio.gather(self.keep_reporting(), self._tick_loop())

    async def listen(self) -> None:
        await self._server.start(self.addr)

    async def close(self) -> None:
        await self._server.close()

    def terminate(self) -> None:
        self.terminated = True
        for task in list(self.tasks):
            self._record_stop(task)

    def resume_counters(self, old: "Worker") -> None:
        """Takes over session, sequence number and token after a quick reboot; tasks are lost."""
        self.session, self.sequence, self.token = old.session, old.sequence, old.token

    def report(self) -> dict[str, Any]:
        self.sequence += 1
        now = self._clock.now()
        reclaim_s = None if self.reclaim_at is None else max(0.0, self.reclaim_at - now)
        return {
            "block": self.machine,
            "addr": self.addr,
            "rig_model": self.machine_type["name"],
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tally": self.sequence,
            "whistle": self.token,
            "reclaim_s": reclaim_s,
            "lifts": [
                {"lift": k, "pull": r.attempt, "tension": r.state}
                | ({"slack_reason": r.exit_reason, "saved": r.saved} if r.state == "exited" else {})
                for k, r in self.tasks.items()
            ],
        }

    # --- reports ----------------------------------------------------------------------------
    async def keep_reporting(self) -> None:
        clients = {name: Client(address, self._clock) for name, address in self._nodes.items()}
        while True:
            if not self.reachable:
                await asyncio.sleep(self._times.report_s / 4)
                continue
            session, sent_at = self.session, self._clock.now()
            delay_s = 1.0
            report, node = self.report(), self._report_node
            if (
                self._environment.late_report_share
                and self._rng.random() < self._environment.late_report_share
            ):
                if self._environment.hold_until_next_leader:
                    self._environment.held_reports.append(report)
                else:
                    copy = asyncio.ensure_future(self._send_late_copy(report, node))
                    self._late_copies.add(copy)
                    copy.add_done_callback(self._late_copies.discard)
            try:
                payload = json.dumps(report, separators=(",", ":")).encode()
                status, body = await clients[node].send("POST", "/checkin", payload, ANSWER_S)
                reply = json.loads(body)
                self.reports += 1
                self.report_bytes += len(payload)
                self.answer_bytes += len(body)
            except NoResponse:
                status, reply = 0, {}
            if self._clock.now() - sent_at > ANSWER_S:
                status = 0  # the answer arrived while the machine was frozen
            if status == 200:
                delay_s = self._times.report_s * self._rng.uniform(0.75, 1.25)
                if session == self.session and reply.get("whistle", -1) >= self.token:
                    if reply["whistle"] > self.token:
                        self.token = reply["whistle"]
                        self._report_due.set()
                    self.renewed_at = sent_at
                    self.execute(reply["calls"], sent_at)
            elif status == 421 and reply.get("foreman") in set(self._node_names) - {
                self._report_node
            }:
                self._report_node = reply["foreman"]
                delay_s = self._rng.uniform(0.0, 0.5)
            else:
                self._report_node = self._node_names[
                    (self._node_names.index(self._report_node) + 1) % len(self._node_names)
                ]
            try:
                async with asyncio.timeout(delay_s):
                    if status == 200:
                        await self._report_due.wait()
                        await asyncio.sleep(0.5)
                    else:
                        await asyncio.sleep(delay_s)
            except TimeoutError:
                pass
            self._report_due.clear()

    async def _send_late_copy(self, report: dict[str, Any], node: str) -> None:
        await asyncio.sleep(self._rng.uniform(2.0, LATE_COPY_MAX_S))
        client = Client(self._nodes[node], self._clock)
        with contextlib.suppress(NoResponse):
            await client.request("POST", "/checkin", report, 4.0)
        client.close()

    async def handle(self, request: Request) -> Response:
        if not self.reachable:
            await asyncio.get_running_loop().create_future()  # never completes
        if request.path == "/inspect":
            return json_response(200, self.report())
        self.orders += 1
        wrong = self.wrong_answers.draw()
        if wrong is None:
            return self._handle_order(request)
        correct = (
            self._handle_order(request) if wrong.executes else json_response(200, self.report())
        )
        return wrong.corrupt(correct)

    def _handle_order(self, request: Request) -> Response:
        body = json.loads(request.body)
        if "whistle" not in body or "shift" not in body:
            return json_response(400, {})
        sent_at = link.sent_at if (link := LINK.get(None)) is not None else self._clock.now()
        if not self.take_order(body, sent_at):
            return json_response(409, self.report())
        self._environment.late_orders.on_answered(self, body, sent_at)
        return json_response(200, self.report())

    def take_order(self, body: dict[str, Any], sent_at: float) -> bool:
        """Executes the commands of an order unless its token or session is refused."""
        if body["whistle"] < self.token or body["shift"] != self.session:
            return False
        self.token = body["whistle"]
        self.execute(body["calls"], sent_at)
        self._report_due.set()
        return True

    def knows(self, task: str, attempt: int) -> bool:
        """Whether a `run` of this attempt would be a repeat, which does nothing."""
        return task in self.tasks and self.tasks[task].attempt == attempt

    # --- commands ---------------------------------------------------------------------------
    def execute(self, commands: list[dict[str, Any]], ordered_at: float) -> None:
        """`ordered_at` is a lower bound for when these commands were sent."""
        for command in commands:
            task, attempt = command["lift"], command["pull"]
            old = self.tasks.get(task)
            if command["call"] == "run":
                self._run(task, attempt, old, ordered_at)
            elif old is None or old.attempt != attempt:
                continue
            elif command["call"] == "clear" and old.state == "exited":
                del self.tasks[task]
            elif command["call"] == "kill" and old.state != "exited":
                self._kill(task, old, command["ease_s"])

    def _run(self, task: str, attempt: int, old: WorkerTask | None, ordered_at: float) -> None:
        name = task.rpartition("/")[0]
        job = self._environment.description(name)
        if old is not None and (old.attempt == attempt or old.state != "exited"):
            return  # a repeat, or refused as in_use: another attempt still runs here
        if job is None:
            self.tasks[task] = WorkerTask({}, attempt, "exited", "no_such")
            return
        active_jobs = [r.job for r in self.tasks.values() if r.state != "exited"] + [job]
        if any(
            sum(j[x] for j in active_jobs) > self.machine_type[x] + 1e-6
            for x in ("vcpus", "accelerators", "ram_gb")
        ):
            self.tasks[task] = WorkerTask(job, attempt, "exited", "full")
            return
        fetch_s = (
            0.0
            if job["tackle"] in self._images
            else job["pull_gb"] / self._environment.fetch_gb_per_s
        )
        # `_each_s`: by how much each task runs longer than the one before it.
        offset_s = int(task.rpartition("/")[2]) * job.get("_each_s", 0.0)
        running = WorkerTask(job, attempt, "fetching", remaining_s=job["_run_s"] + offset_s)
        running.fetched_at = self._clock.now() + fetch_s
        running.ordered_at = ordered_at
        self.tasks[task] = running
        self.tick()

    def _kill(self, task: str, running: WorkerTask, grace_s: float) -> None:
        job = running.job
        can_save = running.state == "running" and job["belay_s"] > 0 and grace_s >= job["stow_s"]
        if can_save:
            running.state = "flushing"
            running.save_done_at = self._clock.now() + job["stow_s"]
        else:
            self._exit(task, running, "stopped")

    def _exit(self, task: str, running: WorkerTask, exit_reason: str, saved: bool = False) -> None:
        self._record_stop(task)
        running.state, running.exit_reason, running.saved = "exited", exit_reason, saved
        if exit_reason == "done":
            self._environment.results.add(task)
            self._environment.on_task_completed(task)
            if running.job["haul"] == "gang":
                self._environment.gangs.complete(running.job["name_id"])
        self._report_due.set()

    def _record_stop(self, task: str) -> None:
        running = self.tasks[task]
        if running.state in ("gathering", "running", "flushing"):
            self._environment.rules.off(task, self.machine)
            self._environment.on_task_stopped(task)
        if running.job and running.job["haul"] == "gang":
            self._environment.gangs.leave((running.job["name_id"], running.attempt), task)

    # --- progress of tasks ------------------------------------------------------------------
    async def _tick_loop(self) -> None:
        while not self.terminated:
            await asyncio.sleep(self._times.tick_s)
            self.tick()

    def tick(self) -> None:
        """Advances all tasks by one tick; ends them when the lease has expired."""
        now = self._clock.now()
        if now - self.renewed_at > self._times.lease_s:
            self._expire_lease(now)
        for task, running in list(self.tasks.items()):
            self._advance(task, running, now)

    def _expire_lease(self, now: float) -> None:
        self._environment.rules.lost += len(self.tasks)
        for task in list(self.tasks):
            self._record_stop(task)
        self.tasks.clear()
        self.session += 1
        self.renewed_at = now
        self._report_due.set()

    def lease_end_s(self) -> float:
        return self.renewed_at + self._times.lease_s

    def expire_lease_if_due(self) -> None:
        """Expires an overdue lease.

        PROTOCOL: a frozen machine may resume its tasks at any time within its lease, but none of
        them once the lease has expired, however late it resumes.
        """
        if not self.terminated and self._clock.now() >= self.lease_end_s():
            self._expire_lease(self._clock.now())

    def _advance(self, task: str, r: WorkerTask, now: float) -> None:
        if r.state == "fetching" and now >= r.fetched_at:
            self._images.add(r.job["tackle"])
            place = (self.machine, self.machine_type["name"], self.zone, self.spot)
            self._environment.rules.on(task, *place, self._environment.results, r.ordered_at)
            r.state = "running"
            if self.sick or r.job.get("broken"):
                self._exit(task, r, "error")
                return
            if task in self._environment.results:
                self._exit(task, r, "done")
                return
            if r.job["haul"] == "gang":
                r.state, r.waiting_since = "gathering", now
                self._environment.gangs.join((r.job["name_id"], r.attempt), task, r, r.job["lifts"])
            elif r.job["haul"] == "standing":
                self._environment.on_replica_started(self, task, r)
            self._report_due.set()
        elif r.state == "gathering" and now - r.waiting_since > self._times.gang_wait_s:
            self._exit(task, r, "incomplete")
        elif r.state == "running":
            r.remaining_s -= self._times.tick_s
            gang_attempt = (r.job["name_id"], r.attempt)
            if r.job["haul"] == "gang" and self._environment.gangs.is_broken(
                gang_attempt, r.job["lifts"]
            ):
                self._exit(task, r, "peers")
            elif r.remaining_s <= 0 and r.job["haul"] != "standing":
                self._exit(task, r, "done")
        elif r.state == "flushing" and r.save_done_at is not None and now >= r.save_done_at:
            self._exit(task, r, "stopped", saved=True)
