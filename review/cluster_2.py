"""A small deployment on loopback for the cases 4 and later: nodes as processes, stand-ins here.

Uses the project's own stand-ins. Each node reaches the state service through a door of its own,
which can refuse that node alone (PROTOCOL, "Limits and errors").
"""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RECURRING = ROOT / "target" / "recurring"  # made by build-2.sh; used where cron tables are on
for place in (ROOT, ROOT / "target" / "deps"):
    if str(place) not in sys.path:
        sys.path.insert(0, str(place))

from pulleydeal.http import Client, NoResponse, Request, Response, Server, json_response  # noqa: E402
from standins import town  # noqa: E402
from standins.town import Town, free_port  # noqa: E402

# A loopback address of this run's own: no other run, and no connection's own end, takes its ports.
LOCAL = town.LOCAL = f"127.{os.getpid() // 200 % 200 + 20}.{os.getpid() % 200 + 20}.1"

REFUSED = json_response(503, {"error": "refused"})
RUN_S = 118.0  # a script runs for 120 s at most


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is tested."""


class StateDoor:
    """The state service as one node sees it: refused, it answers 503, and open watches wait."""

    def __init__(self, handle: Callable[[Request], Awaitable[Response]]) -> None:
        self._handle = handle
        self.refusing = False
        self.address = f"{LOCAL}:{free_port()}"
        self.server = Server(self.handle, 1000)

    async def handle(self, request: Request) -> Response:
        if self.refusing:
            return REFUSED
        reply = await self._handle(request)
        while self.refusing and request.path.startswith("/watch"):
            while self.refusing:
                await asyncio.sleep(0.05)
            reply = await self._handle(request)  # what changed meanwhile
        return REFUSED if self.refusing else reply


class Cluster(Town):
    """Three nodes in three zones, with settings like those of the smaller site."""

    def __init__(self, features: str = "", **options: Any) -> None:
        self.dir = Path(tempfile.mkdtemp(prefix="pulleydeal-review-"))
        super().__init__(self.dir, 3, features=features, **options)
        self.doors = {name: StateDoor(self.state.handle) for name in self.nodes}
        self.clients: list[Client] = []

    def settings(self, name: str) -> dict[str, Any]:
        found = super().settings(name)
        found["endpoints"]["state"] = self.doors[name].address
        return found

    async def start(self) -> None:
        for door in self.doors.values():
            await door.server.start(door.address)
        await super().start()

    async def start_node(self, name: str) -> None:
        """Starts a node with the command of the deploy file.

        Without features of the case it has those of the deploy folder.
        """
        path, features = self.dir / f"{name}.json", self.dir / f"{name}-features.toml"
        path.write_text(json.dumps(self.settings(name), indent=2))
        log = (self.dir / f"{name}.log").open("ab")
        self._logs.append(log)
        command = ["run.py", "--config", str(path)]
        if self._features:
            listen = f"{LOCAL}:{self.operators[name]}"
            features.write_text(self._features.replace("{operators}", listen))
            command += ["--features", str(features)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=os.environ | {"PYTHONPATH": str(RECURRING), "LOG_LEVEL": "info"},
        )
        self.processes[name] = process
        self._tasks.append(asyncio.ensure_future(self._wait_for_exit(name, process)))

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    async def stop(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        await super().stop()
        shutil.rmtree(self.dir, ignore_errors=True)

    async def ask(
        self, address: str, method: str, path: str, body: bytes = b"", timeout: float = 5.0
    ) -> tuple[int, Any]:
        """One request on a connection of its own; status 0: no answer."""
        client = Client(address, self.clock)
        try:
            status, reply = await client.send(method, path, body, timeout)
            return status, json.loads(reply or b"{}")
        except (NoResponse, ValueError):
            return 0, {}
        finally:
            client.close()

    async def operate(self, node: str, method: str, path: str, body: bytes = b"") -> Any:
        """A request to a node's operators' interface; raises CannotRun if it is refused."""
        address = f"{LOCAL}:{self.operators[node]}"
        status, reply = 0, None
        for _ in range(20):
            status, reply = await self.ask(address, method, path, body)
            if status == 200:
                return reply
            await asyncio.sleep(0.5)
        raise CannotRun(f"{method} {path} at {node}: {status} {reply}")


class Record:
    """What was sent, answered and run: lines with the time since the start, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        self._file.write(f"{self.now():7.2f}  {text}\n")
        self._file.flush()


def run(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> int:
    """Plays a case; the exit status: 0 the rule held, 1 it was broken, 2 it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {'on' if trouble else 'off'}")

    async def bounded() -> bool:
        async with asyncio.timeout(RUN_S):
            return await case(record, trouble)

    try:
        held = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.line(f"could not run: {error!r}")
        return 2
    except Exception as error:
        record.line(f"could not run: {error!r}")
        return 2
    record.line("the rule held" if held else "THE RULE WAS BROKEN")
    return 0 if held else 1
