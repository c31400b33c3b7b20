"""The right to a command: taken with the decision, checked as it is sent; and what is logged."""

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
from pulleydeal.http import Request, Response, Server, answer
from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import CommandAuthority, Order, WithdrawalReason, withdrawal_reason
from pulleydeal.workers.station import SentStart, Station
from standins.net import Host, Network, VirtualLoop, on_host
from tests.test_pending_end import SlowStore, bound_job
from tests.test_workers import machine, report, workers

AUTHORITY = CommandAuthority(epoch=3, token=3 << 24, session=1)
START = ("j-1", 0, 1)
ADDRESS = "10.1.0.1:9000"


def station() -> Station:
    return Station("vm-1", "t4", "east", False, 0.0, 0, set())


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
def test_an_order_lapses_with_any_part_of_its_right(
    now: CommandAuthority, bound: bool, why: WithdrawalReason | None
) -> None:
    owned = station()
    assert withdrawal_reason(Order(owned, AUTHORITY, [], [START], 0.0), owned, now, bound) is why


@pytest.mark.parametrize("owned", [None, station()])
def test_an_order_lapses_with_the_tenure_even_if_the_same_node_owns_the_machine_again(
    owned: Station | None,
) -> None:
    assert (
        withdrawal_reason(Order(station(), AUTHORITY, [], [START], 0.0), owned, AUTHORITY, True)
        is WithdrawalReason.TENURE
    )


class Machine:
    """A machine's address; counts what arrives and answers after `delay_s`."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.bodies: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(request.body)
        await asyncio.sleep(self.delay_s)
        return answer(409, {})


class VirtualStore(SlowStore):
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    wall = now


def play_order(change: Any, machine_: Any, hang_s: float = 0.3, last: Any = None) -> Any:
    """Gives an order while others hold all slots for `hang_s`; `change` happens as it waits, and
    `last` when all is over."""
    network = Network(1)
    loop = VirtualLoop(network)
    asyncio.set_event_loop(loop)
    world = VirtualStore()

    async def day() -> Any:
        on_host(Host("10.1.0.1", "east"), Server(machine_.handle, 10).start(ADDRESS))
        await asyncio.sleep(0.1)
        slice_ = workers(world)
        world.put(r.machine_key("vm-1"), machine("up"))
        await slice_.checkin(report("vm-1", 1))
        bound_job(world)
        slots = slice_.commanding.orders._order_slots
        for _ in range(c.ORDERS_IN_FLIGHT):
            await slots.acquire()
        owned = slice_.stations["vm-1"]
        owned.sent[START] = SentStart(1, 0, direct=True)
        slice_.commanding.send(owned, [m.run(*START)], [START])
        await asyncio.sleep(0.2)
        change(slice_, owned, world)
        await asyncio.sleep(hang_s - 0.2)
        for _ in range(c.ORDERS_IN_FLIGHT):
            slots.release()
        await asyncio.sleep(0.2)
        if last is not None:
            last(slice_)
        return slice_

    try:
        return loop.run_until_complete(on_host(Host("10.0.0.1", "east"), day()))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        gc.collect()
        asyncio.set_event_loop(None)


def nothing(*_: Any) -> None:
    """The world stays as it is."""


def owned_anew(slice_: Any, owned: Station, _: Any) -> None:
    slice_.stations["vm-1"] = station()


def next_epoch(_: Any, __: Any, world: Any) -> None:
    world.epoch += 1


def next_session(_: Any, owned: Station, __: Any) -> None:
    owned.session += 1


def unbound(_: Any, __: Any, world: SlowStore) -> None:
    world.put(r.chunk_key("j-1", 0), [r.Task("", 1)])


def ending(slice_: Any, *_: Any) -> None:
    slice_.exits.pending.add(START)


@pytest.mark.parametrize("change", [owned_anew, next_epoch, next_session, unbound, ending])
def test_an_order_that_waited_is_not_sent_when_its_right_has_lapsed(change: Any) -> None:
    target = Machine()
    slice_ = play_order(change, target)
    assert target.bodies == []
    assert START not in slice_.stations["vm-1"].sent  # never sent, so it may be forgotten
    assert not slice_.stations["vm-1"].busy


def test_an_order_that_waited_is_sent_while_its_right_holds() -> None:
    target = Machine()
    play_order(nothing, target)
    assert len(target.bodies) == 1


def test_an_order_does_not_wait_longer_than_a_moment_for_machines_that_hang() -> None:
    """It is planned anew, so the machine's next check-in can carry the commands."""
    target = Machine()

    slice_ = play_order(nothing, target, hang_s=c.ORDER_QUEUE_MOST_S + 0.5)
    assert target.bodies == []
    assert not slice_.stations["vm-1"].busy
    assert "vm-1" in slice_._dirty
    withdrawn = slice_._metrics.orders_withdrawn.labels(WithdrawalReason.QUEUE.value)
    assert withdrawn._value.get() == 1


class Untrusted(Machine):
    """Refuses orders; its token is below that of the takeover."""

    def __init__(self) -> None:
        super().__init__(delay_s=0.15)
        self.at_once = self.most_at_once = 0

    async def handle(self, request: Request) -> Response:
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        await super().handle(request)
        self.at_once -= 1
        return answer(409, msgspec.json.decode(report("vm-1", 2).body))


def test_a_machine_that_is_asked_again_by_an_answer_has_one_order_at_a_time() -> None:
    target = Untrusted()
    busy: list[bool] = []

    def asked_again(slice_: Any) -> None:
        owned = slice_.stations["vm-1"]
        owned.floor = 4 << 24
        busy.append(owned.busy)
        slice_._reconcile_machine(owned)

    play_order(lambda slice_, owned, _: setattr(owned, "floor", 4 << 24), target, last=asked_again)
    assert busy == [True] and target.most_at_once == 1


# --- the decision log ---------------------------------------------------------------------------
def test_each_start_and_end_is_one_line_with_the_token_as_sent(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, logger="pulleydeal.decisions")

    async def day() -> None:
        world = SlowStore()
        slice_ = workers(world)
        world.put(r.machine_key("vm-1"), machine("up"))
        await slice_.checkin(report("vm-1", 1))
        bound_job(world)
        await slice_.checkin(report("vm-1", 2))
        await slice_.checkin(report("vm-1", 3))

    asyncio.run(day())
    lines = [record.getMessage() for record in caplog.records]
    entries = timeline.life("j-1/0", lines)
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


def test_the_timeline_merges_logs_by_time_and_names_overlapping_attempts(
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


def test_a_timeline_of_a_json_log_reads_the_same(tmp_path: Path) -> None:
    message = line(1, "start", 1, "vm-1").partition(": ")[2].strip()
    row = f'{{"level": "INFO", "message": "{message}", "job": "j-1"}}'
    entry = timeline.parse(row)
    assert entry is not None and entry.why == "order" and entry.at == 1.0


def test_a_log_that_is_missing_or_says_nothing_of_the_task_is_a_clear_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "a.log").write_text(line(1, "start", 1, "vm-1"))
    assert main(["timeline", "j-9/0", str(tmp_path / "a.log")]) == 2
    assert "no decision about j-9/0" in capsys.readouterr().err
    assert main(["timeline", "j-1/0", str(tmp_path / "none.log")]) == 2
    assert "none.log: No such file" in capsys.readouterr().err
