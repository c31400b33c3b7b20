"""The authority for a command: captured with the decision, checked before sending, logged."""

import asyncio
import gc
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pulleydeal import constants as c
from pulleydeal import timeline
from pulleydeal.cli import main
from pulleydeal.http import Request, Response, Server, json_response
from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import CommandAuthority, Order, WithdrawalReason, withdrawal_reason
from pulleydeal.workers.tracked_machine import SentStart, TrackedMachine
from standins.net import Host, Network, VirtualLoop, on_host
from tests.test_pending_end import SlowStoreNode, bind_job
from tests.test_workers import checkin_request, machine_record, make_workers

AUTHORITY = CommandAuthority(epoch=3, token=3 << 24, session=1)
START = ("j-1", 0, 1)
ADDRESS = "10.1.0.1:9000"


def tracked_machine() -> TrackedMachine:
    return TrackedMachine("vm-1", "t4", "east", False, 0.0, 0, set())


@pytest.mark.parametrize(
    ("now", "bound", "why"),
    [
        (AUTHORITY, True, None),
        (CommandAuthority(4, 4 << 24, 1), True, WithdrawalReason.EPOCH),
        (CommandAuthority(3, (3 << 24) + 1, 1), True, WithdrawalReason.TOKEN),
        (CommandAuthority(3, 3 << 24, 2), True, WithdrawalReason.SESSION),
        (AUTHORITY, False, WithdrawalReason.BINDING),
    ],
)
def test_order_is_withdrawn_when_any_part_of_its_authority_changed(
    now: CommandAuthority, bound: bool, why: WithdrawalReason | None
) -> None:
    owned = tracked_machine()
    assert withdrawal_reason(Order(owned, AUTHORITY, [], [START], 0.0), owned, now, bound) is why


@pytest.mark.parametrize("owned", [None, tracked_machine()])
def test_order_is_withdrawn_after_its_ownership_period_even_if_the_node_owns_the_machine_again(
    owned: TrackedMachine | None,
) -> None:
    assert (
        withdrawal_reason(
            Order(tracked_machine(), AUTHORITY, [], [START], 0.0), owned, AUTHORITY, True
        )
        is WithdrawalReason.TENURE
    )


class FakeMachine:
    """A machine that records order bodies and answers 409 after `delay_s`."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.bodies: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(request.body)
        await asyncio.sleep(self.delay_s)
        return json_response(409, {})


class VirtualTimeNode(SlowStoreNode):
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    wall = now


def run_order(change: Any, machine_: Any, slots_busy_s: float = 0.3, at_end: Any = None) -> Any:
    """Sends an order while others hold all slots for `slots_busy_s`; returns the `Workers`.

    `change` is applied while the order waits; `at_end` is called after it was handled.
    """
    network = Network(1)
    loop = VirtualLoop(network)
    asyncio.set_event_loop(loop)
    node = VirtualTimeNode()

    async def run() -> Any:
        on_host(Host("10.1.0.1", "east"), Server(machine_.handle, 10).start(ADDRESS))
        await asyncio.sleep(0.1)
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1))
        bind_job(node)
        slots = workers.commander.orders._order_slots
        for _ in range(c.ORDERS_IN_FLIGHT):
            await slots.acquire()
        owned = workers.machines["vm-1"]
        owned.sent[START] = SentStart(1, 0, direct=True)
        workers.commander.send(owned, [m.run(*START)], [START])
        await asyncio.sleep(0.2)
        change(workers, owned, node)
        await asyncio.sleep(slots_busy_s - 0.2)
        for _ in range(c.ORDERS_IN_FLIGHT):
            slots.release()
        await asyncio.sleep(0.2)
        if at_end is not None:
            at_end(workers)
        return workers

    try:
        return loop.run_until_complete(on_host(Host("10.0.0.1", "east"), run()))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        gc.collect()
        asyncio.set_event_loop(None)


def no_change(*_: Any) -> None:
    """For `run_order`: changes nothing while the order waits."""


def new_ownership(workers: Any, owned: TrackedMachine, _: Any) -> None:
    workers.machines["vm-1"] = tracked_machine()


def next_epoch(_: Any, __: Any, node: Any) -> None:
    node.epoch += 1


def next_session(_: Any, owned: TrackedMachine, __: Any) -> None:
    owned.session += 1


def unbind(_: Any, __: Any, node: SlowStoreNode) -> None:
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])


def pending_exit(workers: Any, *_: Any) -> None:
    workers.exits.pending.add(START)


@pytest.mark.parametrize("change", [new_ownership, next_epoch, next_session, unbind, pending_exit])
def test_queued_order_is_not_sent_when_its_authority_is_no_longer_valid(change: Any) -> None:
    target = FakeMachine()
    workers = run_order(change, target)
    assert target.bodies == []
    assert START not in workers.machines["vm-1"].sent  # never sent, so nothing is kept of it
    assert not workers.machines["vm-1"].order_in_flight


def test_queued_order_is_sent_while_its_authority_holds() -> None:
    target = FakeMachine()
    run_order(no_change, target)
    assert len(target.bodies) == 1


def test_order_is_withdrawn_after_the_queue_limit() -> None:
    """It is planned again, so that the answer to the next check-in can carry the commands."""
    target = FakeMachine()

    workers = run_order(no_change, target, slots_busy_s=c.ORDER_QUEUE_MOST_S + 0.5)
    assert target.bodies == []
    assert not workers.machines["vm-1"].order_in_flight
    assert "vm-1" in workers._dirty
    withdrawn = workers._metrics.orders_withdrawn.labels(WithdrawalReason.QUEUE.value)
    assert withdrawn._value.get() == 1


class UntrustedMachine(FakeMachine):
    """Refuses each order for the higher token that it reports, which is below the takeover's."""

    def __init__(self) -> None:
        super().__init__(delay_s=0.15)
        self.concurrent = self.max_concurrent = 0

    async def handle(self, request: Request) -> Response:
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        await super().handle(request)
        self.concurrent -= 1
        token = msgspec.json.decode(request.body)["whistle"] + 1
        report = checkin_request("vm-1", 1 + len(self.bodies), token=token)
        return json_response(409, msgspec.json.decode(report.body))


def test_machine_has_one_order_at_a_time_when_an_answer_triggers_a_probe() -> None:
    target = UntrustedMachine()
    busy: list[bool] = []

    def reconcile_again(workers: Any) -> None:
        owned = workers.machines["vm-1"]
        owned.takeover_token = 4 << 24
        busy.append(owned.order_in_flight)
        workers._reconcile_machine(owned)

    run_order(
        lambda workers, owned, _: setattr(owned, "takeover_token", 4 << 24),
        target,
        at_end=reconcile_again,
    )
    assert busy == [True] and target.max_concurrent == 1


# --- the decision log ---------------------------------------------------------------------------
def test_each_start_and_end_is_one_line_with_the_sent_token(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, logger="pulleydeal.decisions")

    async def run() -> None:
        node = SlowStoreNode()
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1))
        bind_job(node)
        await workers.checkin(checkin_request("vm-1", 2))
        await workers.checkin(checkin_request("vm-1", 3))

    asyncio.run(run())
    lines = [record.getMessage() for record in caplog.records]
    entries = timeline.task_history("j-1/0", lines)
    assert [entry.action for entry in entries] == ["start", "end"]
    assert f"token={3 << 24} session=1 seq=2" in entries[0].fields
    assert "node=winch-0 incarnation=1 epoch=3" in entries[0].fields
    assert entries[1].why == "lost: never came up"


def line(at: float, action: str, attempt: int, machine_: str, why: str = "order") -> str:
    return (
        f"INFO pulleydeal.decisions: decision {action} allowed task=j-1/0 attempt={attempt} "
        f"machine={machine_} node=winch-0 incarnation=a epoch=5 token=1 session=1 seq=2 "
        f"revision=3 age_s=0.010 waited_s=1.300 at={at:.3f} why={why}\n"
    )


def test_timeline_merges_logs_by_time_and_reports_overlapping_attempts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = line(70.0, "end", 1, "vm-1", "lost: never came up") + line(71.0, "start", 1, "vm-1")
    second = line(70.2, "start", 2, "vm-2") + "cut short: decision start allowed task=j-1/0 at"
    (tmp_path / "a.log").write_text(first)
    (tmp_path / "b.log").write_text(second)
    logs = [str(tmp_path / "a.log"), str(tmp_path / "b.log")]
    assert main(["timeline", "j-1/0", *logs]) == 1
    shown = capsys.readouterr().out.splitlines()
    assert [row.split()[0] for row in shown] == ["70.000", "70.200", "71.000", "overlap:"]
    assert "attempt 1 on vm-1" in shown[-1] and "attempt 2 on vm-2" in shown[-1]


def test_attempts_that_follow_each_other_do_not_overlap(tmp_path: Path) -> None:
    log = line(1, "start", 1, "vm-1") + line(2, "end", 1, "vm-1") + line(3, "start", 2, "vm-2")
    (tmp_path / "a.log").write_text(log)
    assert main(["timeline", "j-1/0", str(tmp_path / "a.log")]) == 0


def test_timeline_reads_json_logs(tmp_path: Path) -> None:
    message = line(1, "start", 1, "vm-1").partition(": ")[2].strip()
    row = f'{{"level": "INFO", "message": "{message}", "job": "j-1"}}'
    entry = timeline.parse(row)
    assert entry is not None and entry.why == "order" and entry.at == 1.0


def test_timeline_reports_missing_logs_and_unknown_tasks(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "a.log").write_text(line(1, "start", 1, "vm-1"))
    assert main(["timeline", "j-9/0", str(tmp_path / "a.log")]) == 2
    assert "no decision about j-9/0" in capsys.readouterr().err
    assert main(["timeline", "j-1/0", str(tmp_path / "none.log")]) == 2
    assert "none.log: No such file" in capsys.readouterr().err
