"""Collects the events of all worker processes of a scale run: gangs, results and rule checks.

Events of several processes arrive in any order, but are checked in the order of their time: an
event waits until every process has confirmed that it has sent all its earlier ones.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

from standins import hub_messages as m
from standins.rules import Rules

MAX_LINE_B = 1 << 22  # far above the size of an upload or a list of machines


class Hub:
    """The server that worker processes connect to; it feeds `Rules` in order of time."""

    def __init__(self, teams: dict[str, float], cancel_s: float) -> None:
        self._event_at = time.monotonic()
        self.rules = Rules(teams, cancel_s, lambda: self._event_at)
        self.results: set[str] = set()
        self.counts: dict[int, dict[str, int]] = {}  # process -> latest counters
        self.started: Callable[[m.TaskStarted], None] = lambda _: None
        self.completed: Callable[[m.TaskCompleted], None] = lambda _: None
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._complete_until: dict[int, float] = {}
        self._events: list[tuple[float, int, m.TaskStarted | m.TaskEnded | m.TaskCompleted]] = []
        self._answer_checks: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self._members: dict[tuple[str, int], set[str]] = {}
        self._complete_attempts: set[tuple[str, int]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_B)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers.values():
            writer.close()

    @property
    def processes(self) -> int:
        return len(self._complete_until)

    def total(self, name: str) -> int:
        return sum(counts.get(name, 0) for counts in self.counts.values())

    def broadcast(self, message: m.Down, exclude: int | None = None) -> None:
        data = m.line(message)
        for process, writer in self._writers.items():
            if process != exclude:
                writer.write(data)

    def judge_later(self, at: float, check: Callable[[], None]) -> None:
        """Schedules the check of an answer to a user after all worker events before `at`."""
        heapq.heappush(self._answer_checks, (at, next(self._serial), check))

    # --- events -----------------------------------------------------------------------------
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        process = next(self._serial)
        self._writers[process] = writer
        try:
            while data := await reader.readline():
                self._take(process, m.UP.decode(data))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.pop(process, None)
            self._complete_until.pop(process, None)
            writer.close()

    def _take(self, process: int, event: m.Up) -> None:
        if isinstance(event, m.Progress):
            self._complete_until[process] = event.at
            self.counts[process] = event.counts
            self._check_events()
        elif isinstance(event, m.MemberJoined):
            self._join(event)
        elif isinstance(event, m.MemberLeft):
            self._leave(event)
        else:
            if isinstance(event, m.TaskCompleted):
                self._broadcast_completed(process, event.task)
            heapq.heappush(self._events, (event.at, next(self._serial), event))

    def _broadcast_completed(self, process: int, task: str) -> None:
        job = task.rpartition("/")[0]
        gang = job if self.rules.uploads[job]["haul"] == "gang" else ""
        self.broadcast(m.Completed(task, gang), exclude=process)

    def _join(self, event: m.MemberJoined) -> None:
        attempt = (event.job, event.attempt)
        members = self._members.setdefault(attempt, set())
        members.add(event.task)
        if len(members) == event.size:
            self._complete_attempts.add(attempt)
            self.broadcast(m.GangComplete(*attempt))

    def _leave(self, event: m.MemberLeft) -> None:
        attempt = (event.job, event.attempt)
        self._members.get(attempt, set()).discard(event.task)
        if attempt in self._complete_attempts:
            self._complete_attempts.discard(attempt)
            self.broadcast(m.GangBroken(*attempt))

    def _check_events(self) -> None:
        """Checks, in order of time, all events and answers that are known to be complete."""
        complete_until = min(self._complete_until.values())
        while True:
            event_at = self._events[0][0] if self._events else complete_until
            answer_at = self._answer_checks[0][0] if self._answer_checks else complete_until
            if min(event_at, answer_at) >= complete_until:
                return
            if event_at <= answer_at:
                self._event_at, _, event = heapq.heappop(self._events)
                self._check_event(event)
            else:
                self._event_at, _, check = heapq.heappop(self._answer_checks)
                check()

    def _check_event(self, event: m.TaskStarted | m.TaskEnded | m.TaskCompleted) -> None:
        if isinstance(event, m.TaskStarted):
            place = (event.block, event.type, event.yard, event.loaners)
            self.rules.on(event.task, *place, self.results, event.ordered_at)
            self.started(event)
        elif isinstance(event, m.TaskEnded):
            self.rules.off(event.task, event.block)
        else:
            self.results.add(event.task)
            self.completed(event)
