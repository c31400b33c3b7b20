"""The one place of a scale run that sees what all workers do: gangs, results, and the checker.

Events of several processes arrive in any order. They are judged in the order in which they
happened: an event waits until every process has told that it has sent all its earlier ones.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

from standins import hub_messages as m
from standins.rules import Rules

LINE_MOST_B = 1 << 22  # an upload or a list of machines is far below it


class Hub:
    def __init__(self, teams: dict[str, float], cancel_s: float) -> None:
        self._event_at = time.monotonic()
        self.rules = Rules(teams, cancel_s, lambda: self._event_at)
        self.results: set[str] = set()
        self.counts: dict[int, dict[str, int]] = {}  # of each process, as it last told
        self.started: Callable[[m.TaskStarted], None] = lambda _: None
        self.completed: Callable[[m.TaskCompleted], None] = lambda _: None
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._sent_until: dict[int, float] = {}
        self._events: list[tuple[float, int, m.TaskStarted | m.TaskEnded | m.TaskCompleted]] = []
        self._answers: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self._members: dict[tuple[str, int], set[str]] = {}
        self._whole: set[tuple[str, int]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE_MOST_B)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers.values():
            writer.close()

    @property
    def processes(self) -> int:
        return len(self._sent_until)

    def total(self, name: str) -> int:
        return sum(counts.get(name, 0) for counts in self.counts.values())

    def broadcast(self, message: m.Down, besides: int | None = None) -> None:
        data = m.line(message)
        for process, writer in self._writers.items():
            if process != besides:
                writer.write(data)

    def judge_later(self, at: float, judge: Callable[[], None]) -> None:
        """What a user heard at that moment is judged after all that workers did before it."""
        heapq.heappush(self._answers, (at, next(self._serial), judge))

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
            self._sent_until.pop(process, None)
            writer.close()

    def _take(self, process: int, event: m.Up) -> None:
        if isinstance(event, m.Progress):
            self._sent_until[process] = event.at
            self.counts[process] = event.counts
            self._judge()
        elif isinstance(event, m.MemberJoined):
            self._join(event)
        elif isinstance(event, m.MemberLeft):
            self._leave(event)
        else:
            if isinstance(event, m.TaskCompleted):
                self._tell_completed(process, event.task)
            heapq.heappush(self._events, (event.at, next(self._serial), event))

    def _tell_completed(self, process: int, task: str) -> None:
        job = task.rpartition("/")[0]
        gang = job if self.rules.uploads[job]["haul"] == "gang" else ""
        self.broadcast(m.Completed(task, gang), besides=process)

    def _join(self, event: m.MemberJoined) -> None:
        attempt = (event.job, event.attempt)
        members = self._members.setdefault(attempt, set())
        members.add(event.task)
        if len(members) == event.size:
            self._whole.add(attempt)
            self.broadcast(m.GangComplete(*attempt))

    def _leave(self, event: m.MemberLeft) -> None:
        attempt = (event.job, event.attempt)
        self._members.get(attempt, set()).discard(event.task)
        if attempt in self._whole:
            self._whole.discard(attempt)
            self.broadcast(m.GangBroken(*attempt))

    def _judge(self) -> None:
        """Judges what happened before the moment up to which every process has told all."""
        until = min(self._sent_until.values())
        while True:
            event_at = self._events[0][0] if self._events else until
            answer_at = self._answers[0][0] if self._answers else until
            if min(event_at, answer_at) >= until:
                return
            if event_at <= answer_at:
                self._event_at, _, event = heapq.heappop(self._events)
                self._judge_event(event)
            else:
                self._event_at, _, judge = heapq.heappop(self._answers)
                judge()

    def _judge_event(self, event: m.TaskStarted | m.TaskEnded | m.TaskCompleted) -> None:
        if isinstance(event, m.TaskStarted):
            place = (event.block, event.type, event.yard, event.loaners)
            self.rules.on(event.task, *place, self.results, event.ordered_at)
            self.started(event)
        elif isinstance(event, m.TaskEnded):
            self.rules.off(event.task, event.block)
        else:
            self.results.add(event.task)
            self.completed(event)
