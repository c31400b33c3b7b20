"""A worker that keeps the attempts of a task apart, as PROTOCOL describes.

`Worker` forgets an exited attempt when the next one of its task is started, and a start that it
refuses as `in_use`. By PROTOCOL both are reported until a `clear` removes them.
"""

from typing import Any, Literal

from standins.worker import Worker, WorkerTask

AttemptKey = tuple[str, int]  # task, attempt
ReportOrder = Literal["by_attempt", "live_first", "exited_first"]
REPORT_ORDERS: tuple[ReportOrder, ...] = ("by_attempt", "live_first", "exited_first")


class AttemptWorker(Worker):
    """Reports every attempt until it is cleared.

    `report_order`: the order of the attempts in its reports; None: drawn by the worker's seed.
    """

    def __init__(self, *args: Any, report_order: ReportOrder | None = None) -> None:
        super().__init__(*args)
        # Exited attempts other than the last one that was started of their task.
        self.superseded: dict[AttemptKey, WorkerTask] = {}
        self._report_order = report_order or self._rng.choice(REPORT_ORDERS)

    def report(self) -> dict[str, Any]:
        report = super().report()
        entries = [*map(_entry, self.superseded.items()), *report["lifts"]]
        entries.sort(key=lambda entry: entry["pull"])
        if self._report_order != "by_attempt":
            exited_last = self._report_order == "live_first"
            entries.sort(key=lambda entry: (entry["tension"] == "exited") == exited_last)
        report["lifts"] = entries
        return report

    def knows(self, task: str, attempt: int) -> bool:
        return (task, attempt) in self.superseded or super().knows(task, attempt)

    def execute(self, commands: list[dict[str, Any]], ordered_at: float) -> None:
        for command in commands:
            attempt = (command["lift"], command["pull"])
            if attempt not in self.superseded:
                super().execute([command], ordered_at)
            elif command["call"] == "clear":
                del self.superseded[attempt]

    def _run(self, task: str, attempt: int, old: WorkerTask | None, ordered_at: float) -> None:
        super()._run(task, attempt, old, ordered_at)
        if old is None or old.attempt == attempt:
            return
        if old.state == "exited":
            self.superseded[(task, old.attempt)] = old
        else:
            self.superseded[(task, attempt)] = WorkerTask(old.job, attempt, "exited", "in_use")

    def _expire_lease(self, now: float) -> None:
        super()._expire_lease(now)
        self.superseded.clear()


def _entry(item: tuple[AttemptKey, WorkerTask]) -> dict[str, Any]:
    (task, attempt), ended = item
    return {
        "lift": task,
        "pull": attempt,
        "tension": "exited",
        "slack_reason": ended.exit_reason,
        "saved": ended.saved,
    }
