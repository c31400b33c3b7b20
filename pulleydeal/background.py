"""Work that goes on beside its asker: its failure is always taken, and told in one line."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("pulleydeal")


class Background:
    """Holds what was started until it is over; `failed` names it in the log."""

    def __init__(self, failed: str) -> None:
        self._failed = failed
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.info("%s: %r", self._failed, error)


def take_failure(future: "asyncio.Future[Any]") -> None:
    """A done callback for what several wait for: they may all have given up before it fails.

    Without it each state outage left tens of `Task exception was never retrieved` in the log,
    with some 47 lines of traceback each: `Store.fresh` gave up while its shared read went on.
    """
    if not future.cancelled():
        future.exception()
