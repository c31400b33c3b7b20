"""`run.py demo`: the whole service on loopback in one command, with a job and a pipeline."""

import argparse
import asyncio
import contextlib
import json
import sys
import tempfile
from pathlib import Path

from pulleydeal.http import Client, NoResponse
from standins.town import Town, TownError, job

FIRST_PORT = 8080
OPERATORS = '[operators]\nlisten = "127.0.0.1:{operators}"\n'
SECTIONS = {"rollouts": "[rollouts]\n", "cron": "[recurring]\n"}
JOBS = {"j-1": [], "j-2": ["j-1"], "j-3": ["j-1", "j-2"]}
DONE_S = 180.0  # the demo's jobs take about 40 s
ASK_S = 1.0


def parser() -> argparse.ArgumentParser:
    arguments = argparse.ArgumentParser(prog="run.py demo", description=__doc__)
    arguments.add_argument("--nodes", type=int, default=3, help="how many (default: 3)")
    arguments.add_argument("--for", dest="seconds", type=float, help="serve so long after the jobs")
    arguments.add_argument("--port", type=int, default=FIRST_PORT, help="first of its ports")
    arguments.add_argument(
        "--rollouts", action="store_true", help="with the operators' interface and roll-outs on"
    )
    arguments.add_argument("--cron", action="store_true", help="and with cron tables on")
    arguments.add_argument("--dir", type=Path, help="for settings, logs, jobs (default: a new one)")
    arguments.add_argument("--setup", action="store_true", help="install what a node needs first")
    return arguments


async def submit(town: Town, name: str, body: dict[str, object]) -> str:
    """Submits a job: tries the nodes in turn until one gives a final answer."""
    for attempt in range(60):
        address = list(town.nodes.values())[attempt % len(town.nodes)]
        client = Client(address, town.clock)
        with contextlib.suppress(NoResponse):
            status, reply = await client.request("POST", "/submissions", body, 5.0)
            client.close()
            if status in (200, 201):
                return address
            if status in (400, 422):
                raise TownError(f"{name} was refused: {status} {reply.decode()}")
        await asyncio.sleep(1.0)
    raise TownError(f"{name} was not accepted")


async def state(town: Town, name: str) -> dict[str, object]:
    for address in town.nodes.values():
        client = Client(address, town.clock)
        with contextlib.suppress(NoResponse):
            status, reply = await client.request("GET", f"/submissions/{name}", None, 2.0)
            client.close()
            if status == 200:
                return dict(json.loads(reply))
    return {"tension": "unknown"}


async def follow(town: Town) -> None:
    """Prints each state change of the demo's jobs until all are done."""
    printed: dict[str, str] = {}
    began = town.now()
    while not all(line.startswith("done") for line in printed.values()) or len(printed) < len(JOBS):
        if town.now() - began > DONE_S:
            raise TownError(f"not done after {DONE_S:.0f} s: {printed}; logs are in {town.folder}")
        for name in JOBS:
            now = await state(town, name)
            line = f"{now['tension']}, {now.get('done', 0)} done, {now.get('running', 0)} running"
            if now.get("note"):
                line += f" ({now['note']})"
            if printed.get(name) != line:
                printed[name] = line
                print(f"{town.now() - began:6.1f} s  {name}: {line}", flush=True)
        await asyncio.sleep(ASK_S)


async def play(town: Town, seconds: float | None) -> None:
    try:
        await town.start()
        nodes = ", ".join(f"{n} {a}" for n, a in town.nodes.items())
        if town.show_operators:
            operators = ", ".join(f"{n} 127.0.0.1:{p}" for n, p in town.operators.items())
            print(f"operators: {operators}")
        print(f"serving: {nodes}; settings, logs and jobs in {town.folder}", flush=True)
        for name, needed in JOBS.items():
            body = job(name, waits_on=needed)
            (town.folder / "jobs" / f"{name}.json").write_text(json.dumps(body, indent=2))
            address = await submit(town, name, body)
            print(f"{name} accepted by {address}", flush=True)
        await follow(town)
        duration = "until Ctrl-C" if seconds is None else f"for {seconds:.0f} s more"
        first = next(iter(town.nodes.values()))
        print(
            f"all done; serving {duration}. Try: python3 run.py status j-3 --node {first}",
            flush=True,
        )
        await asyncio.sleep(seconds if seconds is not None else 1e9)
    finally:
        await town.stop()


def main(argv: list[str]) -> int:
    options = parser().parse_args(argv)
    if not 1 <= options.nodes <= 9:
        print("demo: --nodes takes 1 to 9", file=sys.stderr)
        return 2
    folder = options.dir or Path(tempfile.mkdtemp(prefix="pulleydeal-demo-"))
    try:
        text = "".join(SECTIONS[word] for word in SECTIONS if getattr(options, word))
        text = OPERATORS + text if text else ""
        town = Town(folder, options.nodes, options.port, features=text)
        town.copies.all = options.rollouts
        town.show_operators = bool(text)
        asyncio.run(play(town, options.seconds))
    except TownError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("ended")
    return 0
