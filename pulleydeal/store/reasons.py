"""Reasons why a task ended or is to stop: short codes in stored records, sentences when shown.

The version in production stored the sentences, up to 48 characters each, which made a full chunk
of tasks exceed the state service's value limit. Its records remain readable: a reason that is not
a code is shown as it is, and replaced by a code when the record is next written. That version
shows codes as they are and uses them for nothing else.
"""

from pulleydeal.store.records import PRIORITIES

MADE_ROOM = "made room for"
MACHINE_RETURNED = "its machine is not needed any more and goes back"
_TEXTS = {
    "n": "the cloud takes its spot machine back",
    "g": "its machine is gone",
    "l": "machine lost: its lease ran out",
    "u": "never came up",
    "v": "vanished: the machine lost its lease",
    "c": "cancelled by its user",
    "d": "its job is done",
    "k": "its gang lost a task",
    "e": "error",
    "p": "peers",
    "a": "alone",
    "f": "no room",
    "b": "busy",
    "x": "unknown",
    "s": "stopped",
    "i": "lost",
    "r": MACHINE_RETURNED,
    "m": f"{MADE_ROOM} other work",
    "o": "another reason; the log has it",
} | {f"m{i}": f"{MADE_ROOM} work of {name} priority" for i, name in enumerate(PRIORITIES)}
_CODES = {text: code for code, text in _TEXTS.items()}
CODES = frozenset(_TEXTS)


def reason_code(reason: str) -> str:
    """The code to store for a reason, which may be a sentence or already a code."""
    if not reason or reason in _TEXTS:
        return reason
    if reason in _CODES:
        return _CODES[reason]
    if reason.startswith(MADE_ROOM):
        priorities = [i for i, name in enumerate(PRIORITIES) if f"({name}" in reason]
        return f"m{priorities[0]}" if priorities else "m"
    return "o"


def preemption_reason(priority: int) -> str:
    """The reason for stopping a task to make room for work of this priority."""
    return _TEXTS[f"m{priority}"]


def reason_text(stored: str) -> str:
    """The sentence for a stored reason."""
    return _TEXTS.get(stored, stored)
