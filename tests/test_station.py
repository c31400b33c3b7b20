"""Replays the events in tests/traces/station.txt and compares the decisions; deaf machines."""

from pathlib import Path

import pytest

from pulleydeal.store.records import JobSpec, Task
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import one_way_too_long
from pulleydeal.workers.tracked_machine import (
    AttemptId,
    DesiredTask,
    SentStart,
    TrackedMachine,
    apply_report,
    reconcile,
)

LEASE_S = 14.0
STATES = {"waiting": "gathering", "saving": "flushing"}
SPEC = JobSpec(
    "j-1", "c", "t", "array", 1, 8, 1.0, 1.0, 1.0, "img", 1.0, checkpoint_s=5.0, save_s=2.0
)


def cases() -> list[tuple[str, list[str]]]:
    found: list[tuple[str, list[str]]] = []
    for line in (Path(__file__).parent / "traces" / "station.txt").read_text().splitlines():
        if line.startswith("=="):
            found.append((line.strip("= "), []))
        elif line and not line.startswith("#"):
            found[-1][1].append(line)
    return found


def start(text: str) -> AttemptId:
    name, _, attempt = text.partition("#")
    job, index = m.split_task(name)
    return job, index, int(attempt or 1)


class Replay:
    def __init__(self) -> None:
        self.now = 100.0
        self.machine = TrackedMachine("vm-1", "t4", "east", False, self.now, 0, set())
        self.desired: dict[tuple[str, int], DesiredTask] = {}

    def event(self, words: list[str]) -> None:
        s, verb = self.machine, words[0]
        if verb == "own":
            inherited = {start(w) for w in words[3:]}
            self.machine = TrackedMachine(
                "vm-1", "t4", "east", False, self.now, int(words[1]), inherited
            )
        elif verb == "report":
            self.report(words)
        elif verb == "bind":
            job, index, attempt = start(words[1])
            self.desired[(job, index)] = DesiredTask(Task("vm-1", attempt), SPEC)
        elif verb == "unbind":
            del self.desired[start(words[1])[:2]]
        elif verb == "cancel":
            for key, want in self.desired.items():
                if key[0] == words[1]:
                    want.end_reason = "cancelled"
        elif verb == "stop":
            self.desired[start(words[1])[:2]].task.stop = "for a test"
        elif verb == "sent" and words[1] == "checkin":
            s.sent[start(words[2])] = SentStart(s.session, int(words[4]))
        elif verb == "sent":
            s.sent[start(words[2])] = SentStart(s.session, 0, direct=True)
        elif verb == "unanswered":
            s.sent[start(words[1])].direct = False
            s.sent[start(words[1])].fence_token = int(words[3])
        elif verb == "answered":
            s.checkin_answered_at = self.now
        elif verb == "wait":
            self.now += float(words[1])
        else:
            raise ValueError(words)

    def report(self, words: list[str]) -> None:
        session, seq = words[1].split(".")
        tasks = []
        for word in words[4:]:
            name, _, state = word.partition("=")
            state, _, why = state.partition(":")
            job, index, attempt = start(name)
            saved = why == "saved"
            tasks.append(
                m.ReportedTask(
                    m.task_name(job, index),
                    attempt,
                    state,  # type: ignore
                    "stopped" if saved else why or None,
                    saved,
                )
            )
        report = m.Report(
            "vm-1",
            "10.1.0.1:9000",
            "t4",
            "east",
            False,
            int(session),
            int(seq),
            int(words[3]),
            None,
            tasks,
        )
        apply_report(self.machine, report, self.now, checkin=True)

    def decisions(self) -> list[str]:
        plan = reconcile(self.machine, self.desired, self.now, LEASE_S)
        lines = []
        for call in plan.calls:
            grace = f" {call['ease_s']:g}" if call["call"] == "kill" else ""
            lines.append(f"-> {call['call']} {call['lift']}#{call['pull']}{grace}")
        for e in plan.exits:
            why = f" ({e.detail})" if e.detail in ("cancelled", "for a test") else ""
            lines.append(f"-> exit {e.job}/{e.index}#{e.attempt} {e.outcome}{why}")
        return lines


@pytest.mark.parametrize(("title", "lines"), cases(), ids=[t for t, _ in cases()])
def test_trace(title: str, lines: list[str]) -> None:
    replay = Replay()
    output: list[str] = []
    for i, line in enumerate(lines):
        if line.startswith("->"):
            continue
        replay.event(line.split())
        output.append(line)
        if i + 1 == len(lines) or not lines[i + 1].startswith("own"):
            output += replay.decisions()
    assert output == lines


def test_unsent_start_is_lost_when_orders_stay_unanswered() -> None:
    """Starts were retried for as long as orders got no answer, and their tasks kept waiting."""
    s = TrackedMachine("m", "t4", "east", False, 0.0, 5, set())
    s.last_report_at, s.seen_token, s.unanswered_since = 10.0, 5, 10.0
    desired = {("j-1", 0): DesiredTask(Task("m", 1), SPEC)}
    assert reconcile(s, desired, 12.0, 14.0).runs == [("j-1", 0, 1)]
    plan = reconcile(s, desired, 15.0, 14.0)
    assert plan.runs == [] and [e.outcome for e in plan.exits] == ["lost"]
    s.sent[("j-1", 0, 1)] = SentStart(1, 0, fence_token=9)  # may still be executed
    assert reconcile(s, desired, 15.0, 14.0).exits == []
    s.sent.clear()
    s.inherited = {("j-1", 0, 1)}  # perhaps started by an earlier owner; not in its report
    assert reconcile(s, desired, 15.0, 14.0).exits[0].detail == "never came up"


def test_few_deaf_machines_are_returned_but_many_are_kept() -> None:
    def deaf(name: str, trusted: bool) -> TrackedMachine:
        s = TrackedMachine(name, "t4", "east", False, 0.0, 5, set())
        s.last_report_at, s.seen_token, s.unanswered_since = 99.0, 5 if trusted else 4, 80.0
        return s

    reachable = [TrackedMachine(f"h{i}", "t4", "east", False, 0.0, 5, set()) for i in range(9)]
    few = [deaf("m-1", trusted=False), deaf("m-2", trusted=True)]
    found = one_way_too_long([*reachable, *few], 99.0, 3.0, 14.0)
    assert found == ["m-1"]  # m-2 holds the current token, so it is kept longer
    many = [deaf(f"m-{i}", trusted=False) for i in range(20)]
    assert one_way_too_long([*reachable, *many], 99.0, 3.0, 14.0) == []  # this node may be at fault
