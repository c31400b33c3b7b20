"""What the cases share: nodes by the deploy file's command, stand-ins, users and a record.

The state service, the cloud and the checker of the rules are the project's own stand-ins. The
worker differs from the project's in what `PageWorker` says.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from pulleydeal.http import Client, NoResponse
from standins.cloud import CloudService
from standins.town import LOCAL, ROOT, Town, TownError, free_port
from standins.worker import Worker, WorkerTask, WorkerTimings

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
ZONES = ["east", "west", "north"]
MACHINE_TYPE = {
    "name": "kamera-uzol",
    "vcpus": 12.0,
    "accelerators": 2.0,
    "ram_gb": 72.0,
    "cache_gb": 60.0,
    "fetch_gb_per_s": 0.5,
    "hourly": 6.16,
    "market_price": 1.44,
    "ready_s": 2.0,
    "yards": ZONES,
}
RESTART_S = 5.0  # BRIEF: controllers are back about 5 s after an end
DEAD_LISTED_S = 30.0  # PROTOCOL: a machine that dies keeps appearing as `running` for about 30 s


class CannotRun(Exception):
    """The situation that the case needs did not come about; the case ends with 2."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path, now: Callable[[], float]) -> None:
        self._file = path.open("w", buffering=1)
        self._now, self._began = now, now()

    def write(self, text: str) -> None:
        self._file.write(f"{self._now() - self._began:8.3f} {text}\n")


class PageWorker(Worker):
    """A worker that keeps attempts apart, as PROTOCOL has it.

    - Exited attempts are reported until a `clear` removes them, also if another attempt of the
      same task was started since; a start that is refused with `in_use` is such an attempt too.
    - Reports name attempts in the order of their starts or, with `live_first`, live tasks first and
      exited ones after them, as in PROTOCOL's example.
    - The other tasks of a running gang notice the loss of one after up to `gang_peer_s`.
    """

    live_first = False
    record: Record
    vary: dict[str, Callable[[], float]]

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.ended: list[tuple[str, WorkerTask]] = []  # exited attempts with a later one
        self._broken_at: dict[tuple[str, int], float] = {}

    def report(self) -> dict[str, Any]:
        report = super().report()
        earlier = [
            {
                "lift": task,
                "pull": ended.attempt,
                "tension": "exited",
                "slack_reason": ended.exit_reason,
                "saved": ended.saved,
            }
            for task, ended in self.ended
        ]
        lifts = sorted([*earlier, *report["lifts"]], key=lambda lift: lift["pull"])
        if self.live_first:
            lifts.sort(key=lambda lift: lift["tension"] == "exited")
        report["lifts"] = lifts
        if len({lift["lift"] for lift in lifts}) < len(lifts):
            shown = [(x["lift"], x["pull"], x["tension"]) for x in report["lifts"]]
            self.record.write(f"{self.machine} reports {shown}")
        return report

    def execute(self, commands: list[dict[str, Any]], ordered_at: float) -> None:
        for command in commands:
            self.record.write(f"{self.machine} executes {json.dumps(command)}")
            attempt = (command["lift"], command["pull"])
            known = [(task, ended.attempt) for task, ended in self.ended]
            if attempt not in known:
                super().execute([command], ordered_at)
            elif command["call"] == "clear":
                del self.ended[known.index(attempt)]
                self._report_due.set()

    def _run(self, task: str, attempt: int, old: WorkerTask | None, ordered_at: float) -> None:
        super()._run(task, attempt, old, ordered_at)
        name, new = task.rpartition("/")[0], self.tasks[task]
        if new is not old and new.state != "exited" and name in self.vary:
            new.remaining_s = self.vary[name]()
        if old is None or old.attempt == attempt:
            return
        if old.state == "exited":
            self.ended.append((task, old))
        else:
            self.ended.append((task, WorkerTask(old.job, attempt, "exited", "in_use")))
            self.record.write(f"{self.machine} refuses {task} attempt {attempt}: in_use")

    def _exit(self, task: str, running: WorkerTask, exit_reason: str, saved: bool = False) -> None:
        super()._exit(task, running, exit_reason, saved)
        self.record.write(f"{self.machine}: {task} attempt {running.attempt} exits, {exit_reason}")

    def _expire_lease(self, now: float) -> None:
        super()._expire_lease(now)
        self.ended.clear()
        self.record.write(f"{self.machine}: its lease is over")

    def _advance(self, task: str, r: WorkerTask, now: float) -> None:
        attempt = (r.job["name_id"], r.attempt) if r.job else ("", 0)
        if (
            r.state == "running"
            and r.job["haul"] == "gang"
            and self._environment.gangs.is_broken(attempt, r.job["lifts"])
            and now - self._broken_at.setdefault(attempt, now) < 0.9 * self._times.gang_peer_s
        ):
            return
        before = r.state
        super()._advance(task, r, now)
        if before == "fetching" and r.state != before:
            self.record.write(f"{self.machine}: {task} attempt {r.attempt} has its image")


class ReviewTown(Town):
    """The project's cluster on loopback, with nodes that the deploy file's command starts."""

    def __init__(self, folder: Path, record_path: Path, **options: Any) -> None:
        super().__init__(folder, **options)
        self.record = Record(record_path, self.now)
        self.cloud = CloudService(
            [MACHINE_TYPE],
            {(zone, spot): 16 for zone in ZONES for spot in (False, True)},
            self.clock,
            self._boot_machine,
            self._stop_machine,
        )
        self._pending: set[asyncio.Task[Any]] = set()
        self.vary: dict[str, Callable[[], float]] = {}  # job -> draws the run time of a task
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self._command = shlex.split(deploy["run"])

    async def start_node(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name), indent=2))
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        environment.setdefault("LOG_LEVEL", "info")
        process = await asyncio.create_subprocess_exec(
            *self._command, str(path), stdout=log, stderr=log, cwd=ROOT, env=environment
        )
        self.processes[name] = process
        self.spawn(self._wait_for_exit(name, process))

    def spawn(self, work: Awaitable[Any]) -> "asyncio.Task[Any]":
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return task

    def _boot_machine(
        self, machine: str, machine_type: dict[str, Any], zone: str, spot: bool
    ) -> str:
        address = f"{LOCAL}:{free_port()}"
        place = (machine, address, machine_type, zone, spot, self.nodes)
        worker = PageWorker(*place, self._environment, WorkerTimings(), self.clock, machine)
        worker.record, worker.vary = self.record, self.vary
        self.workers[machine] = (worker, self.spawn(worker.run()))
        self.record.write(f"{machine} is up in {zone}")
        return address

    def _stop_machine(self, machine: str) -> None:
        self.record.write(f"{machine} is returned")
        super()._stop_machine(machine)

    def die(self, machine: str) -> None:
        """A machine stops with all that is on it: nothing from it or to it arrives any more."""
        worker, _ = self.workers[machine]
        worker.reachable = False
        worker.terminate()
        self.record.write(f"trouble: {machine} stops with all that is on it")
        asyncio.get_running_loop().call_later(DEAD_LISTED_S, self.cloud.fail, machine)

    def crash(self, name: str) -> None:
        """Kills a controller; it is back after RESTART_S."""
        self.kill(name)
        self.record.write(f"trouble: {name} is killed")
        asyncio.get_running_loop().call_later(RESTART_S, lambda: self.spawn(self.start_node(name)))

    # --- users ------------------------------------------------------------------------------
    async def _ask(self, method: str, path: str, body: object, timeout: float) -> tuple[int, Any]:
        node = random.choice(list(self.nodes))
        client = Client(self.nodes[node], self.clock)
        sent_at = self.now()
        try:
            status, reply = await client.request(method, path, body, timeout)
            answer = json.loads(reply) if reply else {}
        except NoResponse:
            status, answer = 0, {}
        client.close()
        said = {k: answer[k] for k in ("tension", "done", "running", "error") if k in answer}
        self.record.write(f"user: {method} {path} to {node}: {status} {said}")
        job = path.split("/")[2] if path.count("/") > 1 else body["name_id"]
        state = answer.get("tension", "")
        if path.endswith("/cancel"):
            self.rules.asked_cancel(job, told=state == "cancelled")
        self.rules.told(job, status, state, self._environment.results, sent_at)
        if method == "GET":
            self.rules.polled(job, status in (200, 404))
        return status, answer

    async def submit(self, body: dict[str, Any], run_s: float) -> None:
        """Submits a job; repeats it for up to 60 s, as users do."""
        self.rules.uploads[body["name_id"]] = body | {"_run_s": run_s}
        for _ in range(60):
            status, _ = await self._ask("POST", "/submissions", body, 5.0)
            if status in (200, 201):
                self.spawn(self._poll(body["name_id"]))
                return
            if status in (400, 422):
                break
            await asyncio.sleep(1.0)
        raise CannotRun(f"{body['name_id']} was not accepted")

    def check_submitted(self, submissions: "list[asyncio.Task[Any]]") -> None:
        """Raises what made a submission that has ended fail; else nobody would learn of it."""
        for task in submissions:
            if task.done():
                task.result()

    async def cancel(self, job: str) -> bool:
        """Cancels a job; repeats it for up to 60 s, as users do. Returns whether 200 came."""
        began = self.now()
        while self.now() - began < 60.0:
            status, _ = await self._ask("POST", f"/submissions/{job}/cancel", {}, 5.0)
            if status == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def _poll(self, job: str) -> None:
        while True:
            _, answer = await self._ask("GET", f"/submissions/{job}", None, 2.0)
            if answer.get("tension") in ("done", "cancelled"):
                return
            await asyncio.sleep(5.0)

    async def up(self, node: str) -> bool:
        """Whether a node answers the load balancer's probe with 200 within its 1 s."""
        client = Client(self.nodes[node], self.clock)
        try:
            status, _ = await client.request("GET", "/up", None, 1.0)
        except NoResponse:
            status = 0
        client.close()
        return status == 200

    def alive(self) -> list[str]:
        """Nodes whose processes have not ended."""
        return sorted(self.processes)

    def peak_mb(self) -> dict[str, float]:
        """The most memory that each node's process has held."""
        found = {}
        for name, process in self.processes.items():
            with contextlib.suppress(OSError):
                for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
                    if line.startswith("VmHWM:"):
                        found[name] = int(line.split()[1]) / 1024
        return found

    def anonymous_mb(self, name: str) -> float:
        """Private memory of a process: less than all that it holds, as files are left out."""
        with contextlib.suppress(OSError, KeyError):
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
            return float(status.partition("RssAnon:")[2].split()[0]) / 1024 if status else 0.0
        return 0.0

    def breaks(self, rule: str, text: str) -> None:
        self.rules.broken.append(f"{self.now():.2f} {rule}: {text}")

    async def until(self, what: str, true: Callable[[], bool], limit_s: float) -> None:
        began = self.now()
        while not true():
            if self.now() - began > limit_s:
                raise CannotRun(f"not within {limit_s:.0f} s: {what}")
            await asyncio.sleep(0.05)

    def on_machines(self, job: str) -> dict[str, list[str]]:
        """Machine -> tasks of the job that are on it."""
        found: dict[str, list[str]] = {}
        for task, machines in self.rules.places.items():
            if task.rpartition("/")[0] == job:
                for machine in machines:
                    found.setdefault(machine, []).append(task)
        return found

    async def stop(self) -> None:
        for task in list(self._pending):
            task.cancel()
        await super().stop()


def run(
    folder: str,
    rule: str,
    play: Callable[[ReviewTown], Awaitable[None]],
    until_up: bool = True,
    **options: Any,
) -> int:
    """Plays a case; returns its exit code.

    `rule`: the name of the rule that is judged; `until_up`: whether all nodes serve before `play`.
    """

    async def whole(town: ReviewTown) -> None:
        try:
            if until_up:
                await town.start()
            await play(town)
        finally:
            await town.stop()

    path = Path(folder).resolve().parent / "record.txt"
    with tempfile.TemporaryDirectory(prefix="pulleydeal-review-") as temporary:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        try:
            town = ReviewTown(Path(temporary), path, **options)
        except (TownError, OSError) as error:
            print(f"can't run: {error!r}", file=sys.stderr)
            return NOT_RUN
        main = loop.create_task(asyncio.wait_for(whole(town), 115.0))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, main.cancel)
        try:
            loop.run_until_complete(main)
        except (Exception, asyncio.CancelledError) as error:  # 1 is for a broken rule alone
            town.record.write(f"can't run: {error!r}")
            print(f"can't run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            for task in (left := asyncio.all_tasks(loop)):
                task.cancel()
            loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            loop.close()
            if keep := os.environ.get("KEEP_LOGS"):
                shutil.copytree(temporary, keep, dirs_exist_ok=True)
        found = [line for line in town.rules.broken if line.split()[1] == f"{rule}:"]
    for line in found or [f"{rule} held"]:
        town.record.write(f"verdict: {line}")
    print("\n".join(found[:5]) or f"{rule} held")
    return BROKEN if found else HELD


def job(name: str, **changes: Any) -> dict[str, Any]:
    """A submission; `changes` replace its fields."""
    body: dict[str, Any] = {
        "name_id": name,
        "rig": "trening-modelu",
        "crew": "core",
        "haul": "batch",
        "urgency": "high",
        "lifts": 4,
        "vcpus": 5.0,
        "accelerators": 1.0,
        "ram_gb": 29.0,
        "tackle": "img-1",
        "pull_gb": 1.0,
        "rig_models": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "loaners": False,
        "haul_s": 120.0,
        "belay_s": 15.0,
        "stow_s": 4.0,
        "due_s": None,
    }
    return body | changes
