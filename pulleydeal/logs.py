"""Structured logs: the same fields as text or, with LOG_FORMAT=json, an object a line.

Fields stand in `extra`: job, task, machine, epoch, feature; request is added while one is
answered. As text the message names the first four already, so only the others are appended.
"""

import contextvars
import logging
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
TEXT = "%(levelname)s %(name)s: %(message)s"
FIELDS = ("job", "task", "machine", "epoch", "feature", "request")
APPENDED = ("feature", "request")
_request: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")


@contextmanager
def request(request_id: str) -> Iterator[None]:
    """All that is logged inside carries the request's id."""
    token = _request.set(request_id)
    try:
        yield
    finally:
        _request.reset(token)


class TextFormatter(logging.Formatter):
    def __init__(self) -> None:
        super().__init__(TEXT)

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        named = [f"{name}={getattr(record, name)}" for name in APPENDED if hasattr(record, name)]
        return f"{text} [{' '.join(named)}]" if named else text


class _Requests(logging.Filter):
    def filter(self, record: logging.LogRecord) -> bool:
        if request_id := _request.get():
            record.request = request_id
        return True


def formatter(kind: str) -> logging.Formatter:
    """`json` or text. The JSON library is loaded only where it is asked for."""
    if kind != "json":
        return TextFormatter()
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
    )


def setup() -> None:
    """Logs to standard error, as LOG_LEVEL and LOG_FORMAT say."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter(os.environ.get("LOG_FORMAT", "text").lower()))
    handler.addFilter(_Requests())
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(level=level, handlers=[handler])
