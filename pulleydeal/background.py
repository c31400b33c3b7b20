"""Background tasks whose exceptions are always retrieved, and logged in one line."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("pulleydeal")


class BackgroundTasks:
    """Keeps a reference to each task until it ends, and logs `failure_message` if it fails."""

    def __init__(self, failure_message: str) -> None:
        self._failure_message = failure_message
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.info("%s: %r", self._failure_message, error)


def retrieve_exception(future: "asyncio.Future[Any]") -> None:
    """Done callback for a future that several callers await: retrieves its exception.

    All callers may have timed out before it fails, as those of `Store.ensure_fresh` do while the
    read that they share goes on. Without this, each outage of the state service left tens of
    `Task exception was never retrieved` in the log, with some 47 lines of traceback each.
    """
    if not future.cancelled():
        future.exception()
