"""Structured logging: the same fields as text or, with LOG_FORMAT=json, as one object per line.

Fields are passed in `extra`: job, task, machine, epoch, feature; `request` is added while an
operator's request is being handled. In text format the message already names the first four, so
only the others are appended.
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
    """Adds the request's id to every record logged inside."""
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
        appended = [f"{name}={getattr(record, name)}" for name in APPENDED if hasattr(record, name)]
        return f"{text} [{' '.join(appended)}]" if appended else text


class _RequestFilter(logging.Filter):
    def filter(self, record: logging.LogRecord) -> bool:
        if request_id := _request.get():
            record.request = request_id
        return True


def formatter(kind: str) -> logging.Formatter:
    """The formatter for `json`, else for text. The JSON library is imported only when needed."""
    if kind != "json":
        return TextFormatter()
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
    )


def setup() -> None:
    """Configures logging to standard error from LOG_LEVEL and LOG_FORMAT."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter(os.environ.get("LOG_FORMAT", "text").lower()))
    handler.addFilter(_RequestFilter())
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(level=level, handlers=[handler])
