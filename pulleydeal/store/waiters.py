"""Callers that wait until the replica has reached a revision."""

import asyncio


class RevisionWaiters:
    """Futures by the revision of the state service that they wait for; used on one event loop."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def add(self, revision: int) -> "asyncio.Future[None]":
        """A future that `wake` completes once it is called with this revision or a newer one."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((revision, future))
        return future

    def wake(self, reached: int) -> None:
        """Completes the futures of revisions up to `reached`; drops those that were cancelled."""
        still_waiting = []
        for revision, future in self._waiting:
            if future.done():
                continue
            if reached >= revision:
                future.set_result(None)
            else:
                still_waiting.append((revision, future))
        self._waiting = still_waiting
