"""Wire format of the worker protocol.

PROTOCOL calls the fields block, shift, tally, whistle, lifts, pull and calls.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from pulleydeal import constants as c
from pulleydeal.decisions import Action

Count = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]  # same limit as in the settings
# With longer ids a full chunk of bindings would exceed the state service's value size.
MachineId = Annotated[str, Meta(pattern=rf"^[A-Za-z0-9._-]{{1,{c.MACHINE_CHARS}}}$")]
STATES = {
    "fetching": "fetching",
    "gathering": "waiting",
    "running": "running",
    "flushing": "saving",
    "exited": "exited",
}
WHY = {
    "peers": "peers",
    "incomplete": "alone",
    "full": "no room",
    "in_use": "busy",
    "no_such": "unknown",
}


ACTIONS = {"run": Action.START, "kill": Action.STOP, "clear": Action.CLEAR}


class ReportedTask(Struct):
    task: Text = msgspec.field(name="lift")
    attempt: Count = msgspec.field(name="pull")
    state: Literal["fetching", "gathering", "running", "flushing", "exited"] = msgspec.field(
        name="tension"
    )
    why: str | None = msgspec.field(name="slack_reason", default=None)
    saved: bool | None = None


class Report(Struct):
    machine: MachineId = msgspec.field(name="block")
    addr: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    type: Name = msgspec.field(name="rig_model")
    zone: Name = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    session: Count = msgspec.field(name="shift")
    seq: Count = msgspec.field(name="tally")
    token: Count = msgspec.field(name="whistle")
    notice_s: float | None = msgspec.field(name="reclaim_s", default=None)
    tasks: list[ReportedTask] = msgspec.field(name="lifts", default_factory=list)


REPORT = msgspec.json.Decoder(Report)


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    job, _, index = name.rpartition("/")
    return job, int(index)


def run(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"call": "run", "lift": task_name(job, index), "pull": attempt}


def kill(job: str, index: int, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"call": "kill", "lift": task_name(job, index), "pull": attempt, "ease_s": grace_s}


def clear(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"call": "clear", "lift": task_name(job, index), "pull": attempt}


def commands(token: int, calls: list[dict[str, Any]]) -> dict[str, Any]:
    return {"whistle": token, "calls": calls}


def orders(token: int, session: int, calls: list[dict[str, Any]]) -> dict[str, Any]:
    return {"whistle": token, "shift": session, "calls": calls}


def redirect(member: str) -> dict[str, Any]:
    return {"foreman": member} if member else {}
