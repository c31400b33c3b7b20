"""What processes of a scale run tell one another: JSON lines, one message a line."""

from typing import Any

import msgspec
from msgspec import Struct

# --- from a process of hollow workers to the hub ----


class TaskStarted(Struct, tag=True, tag_field="event"):
    at: float  # steady clock of the machine that all processes share
    task: str
    block: str
    type: str
    yard: str
    loaners: bool
    ordered_at: float


class TaskEnded(Struct, tag=True, tag_field="event"):
    """It is not on that machine any more."""

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
    """Sent several times a second: all earlier events of the process have been sent."""

    at: float
    counts: dict[str, int] = {}


# --- from the hub ----


class Upload(Struct, tag=True, tag_field="event"):
    body: dict[str, Any]


class GangComplete(Struct, tag=True, tag_field="event"):
    """All members of the attempt are there: it runs."""

    job: str
    attempt: int


class GangBroken(Struct, tag=True, tag_field="event"):
    job: str
    attempt: int


class Completed(Struct, tag=True, tag_field="event"):
    """A task completed on a worker of another process."""

    task: str
    gang: str = ""  # the job, if it is a gang's


class Silence(Struct, tag=True, tag_field="event"):
    """Nothing that these workers send or are sent arrives for so long."""

    blocks: list[str]
    for_s: float


class Replace(Struct, tag=True, tag_field="event"):
    """These machines end, and are back without their tasks after so long."""

    blocks: list[str]
    after_s: float


class Outage(Struct, tag=True, tag_field="event"):
    """The state service answers nobody for so long."""

    for_s: float


Up = TaskStarted | TaskEnded | TaskCompleted | MemberJoined | MemberLeft | Progress
Down = Upload | GangComplete | GangBroken | Completed | Silence | Replace | Outage
UP = msgspec.json.Decoder(Up)
DOWN = msgspec.json.Decoder(Down)


def line(message: Up | Down) -> bytes:
    return msgspec.json.encode(message) + b"\n"
