"""Messages between the processes of a scale run: JSON lines, one message a line."""

from typing import Any

import msgspec
from msgspec import Struct

# --- from a process of hollow workers to the hub ----


class TaskStarted(Struct, tag=True, tag_field="event"):
    at: float  # monotonic clock, shared by all processes of the machine
    task: str
    block: str
    type: str
    yard: str
    loaners: bool
    ordered_at: float


class TaskEnded(Struct, tag=True, tag_field="event"):
    """The task is no longer on that machine."""

    at: float
    task: str
    block: str


class TaskCompleted(Struct, tag=True, tag_field="event"):
    at: float
    task: str


class MemberJoined(Struct, tag=True, tag_field="event"):
    at: float
    job: str
    attempt: int
    task: str
    size: int


class MemberLeft(Struct, tag=True, tag_field="event"):
    at: float
    job: str
    attempt: int
    task: str


class Progress(Struct, tag=True, tag_field="event"):
    """Sent several times a second: confirms that all earlier events have been sent."""

    at: float
    counts: dict[str, int] = {}


# --- from the hub ----


class Upload(Struct, tag=True, tag_field="event"):
    body: dict[str, Any]


class GangComplete(Struct, tag=True, tag_field="event"):
    """All members of the attempt have joined, so its tasks run."""

    job: str
    attempt: int


class GangBroken(Struct, tag=True, tag_field="event"):
    job: str
    attempt: int


class Completed(Struct, tag=True, tag_field="event"):
    """A task completed on a worker of another process."""

    task: str
    gang: str = ""  # the job id, if the job is a gang


class Silence(Struct, tag=True, tag_field="event"):
    """Cuts these workers off from all traffic for some time."""

    blocks: list[str]
    for_s: float


class Replace(Struct, tag=True, tag_field="event"):
    """Ends these machines; they restart without their tasks after some time."""

    blocks: list[str]
    after_s: float


class Outage(Struct, tag=True, tag_field="event"):
    """The state service is down for some time."""

    for_s: float


Up = TaskStarted | TaskEnded | TaskCompleted | MemberJoined | MemberLeft | Progress
Down = Upload | GangComplete | GangBroken | Completed | Silence | Replace | Outage
UP = msgspec.json.Decoder(Up)
DOWN = msgspec.json.Decoder(Down)


def line(message: Up | Down) -> bytes:
    return msgspec.json.encode(message) + b"\n"
