"""Copies of answered orders must not start a task again (docs/incidents/late-order-copies.md)."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest

from experiments import late_orders
from pulleydeal import constants as c
from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order, TokenRaise
from pulleydeal.workers.outcomes import OrderResult, Outcome
from pulleydeal.workers.service import Workers
from pulleydeal.workers.tracked_machine import SentStart
from standins import late_orders as copies
from standins.scenario import play
from tests.test_pending_end import bind_job
from tests.test_workers import FakeNode, checkin_request, machine_record, make_workers

START = ("j-1", 0, 1)
TOKEN = 3 << 24


def owner_with_bound_task() -> tuple[FakeNode, Workers]:
    node = FakeNode()
    workers = make_workers(node)
    node.put(r.machine_key("vm-1"), machine_record("up"))
    asyncio.run(workers.checkin(checkin_request("vm-1", 1)))
    bind_job(node)  # type: ignore[arg-type]
    return node, workers


def send_start(workers: Workers) -> int:
    """Sends an order with the start, as `Orders` does right before it writes; returns its token."""
    tracked = workers.machines["vm-1"]
    authority = workers.commander.authority(tracked)
    workers.commander.on_send(Order(tracked, authority, [m.run(*START)], [START], 1.0), 0.0)
    return authority.token


def exited_checkin(tally: int, token: int) -> Any:
    request = checkin_request("vm-1", tally, "j-1/0", token=token)
    body = msgspec.json.decode(request.body)
    body["lifts"][0] |= {"tension": "exited", "slack_reason": "error"}
    return type(request)("POST", "/checkin", msgspec.json.encode(body))


def running_checkin(tally: int, *lifts: str, token: int = TOKEN) -> Any:
    return checkin_request("vm-1", tally, *lifts, token=token)


def answer_to(workers: Workers, request: Any) -> tuple[int, list[str]]:
    """The token and the commands in the answer to a check-in."""
    body = msgspec.json.decode(asyncio.run(workers.checkin(request)).body)
    return body["whistle"], [call["call"] for call in body["calls"]]


def test_copy_of_an_answered_start_is_refused_after_the_clear() -> None:
    """A clear went out under the start's own token, so a copy of the start was executed again."""
    node, workers = owner_with_bound_task()
    assert send_start(workers) == TOKEN
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])  # its end is durable
    assert answer_to(workers, exited_checkin(2, TOKEN)) == (TOKEN + 1, ["clear"])
    # The answer was lost: the clear is repeated, and no second raise is needed.
    assert answer_to(workers, exited_checkin(3, TOKEN)) == (TOKEN + 1, ["clear"])
    raised = workers._metrics.tokens_raised.labels(TokenRaise.LATE_STARTS.value)
    assert raised._value.get() == 1


def test_clear_needs_a_higher_token_after_each_order_with_a_start() -> None:
    node, workers = owner_with_bound_task()
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    found = []
    for tally in (2, 3, 4):
        token = send_start(workers)
        found.append((token, answer_to(workers, exited_checkin(tally, token))[0]))
    assert found == [(TOKEN + i, TOKEN + i + 1) for i in range(3)]


def test_token_is_not_raised_for_starts_in_answers_to_checkins() -> None:
    """PROTOCOL: commands in the answer to a report are never executed late."""
    node, workers = owner_with_bound_task()
    assert answer_to(workers, checkin_request("vm-1", 2)) == (TOKEN, ["run"])
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    assert answer_to(workers, exited_checkin(3, TOKEN)) == (TOKEN, ["clear"])


def test_no_token_is_raised_while_an_order_is_in_flight() -> None:
    """It would be refused, or withdrawn, and its starts would be late."""
    node, workers = owner_with_bound_task()
    send_start(workers)
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    workers.machines["vm-1"].order_in_flight = True
    assert answer_to(workers, exited_checkin(2, TOKEN)) == (TOKEN, [])


def test_decision_log_tells_a_clears_token_from_that_of_the_last_start(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", logger="pulleydeal.decisions")
    node, workers = owner_with_bound_task()
    send_start(workers)
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    answer_to(workers, exited_checkin(2, TOKEN))
    clear = next(text for text in caplog.messages if "decision clear" in text)
    assert f"token={TOKEN + 1} " in clear and f"start_token={TOKEN} " in clear


def test_last_token_of_an_epoch_is_not_followed_by_the_next_epochs() -> None:
    node, workers = owner_with_bound_task()
    tracked = workers.machines["vm-1"]
    tracked.fence = c.FENCE_LAST - 1
    send_start(workers)
    orders: list[Any] = []
    workers.commander.orders.send = orders.append  # type: ignore[method-assign]
    last = ((FakeNode.epoch + 1) << c.EPOCH_SHIFT) - 1
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    assert answer_to(workers, exited_checkin(2, last - 1)) == (last, ["clear"])
    # Nothing above it can exclude late copies, so only answers to check-ins start tasks.
    node.put(r.chunk_key("j-1", 0), [r.Task("vm-1", 2)])
    workers._reconcile_machine(tracked)
    assert orders == []
    assert answer_to(workers, running_checkin(3, token=last)) == (last, ["run"])
    # After a restart nothing counts before the next epoch.
    restarted = workers._track_restarted(tracked)
    assert (workers.commander.token(restarted), restarted.takeover_token) == (last, last + 1)


def test_fence_begins_anew_with_each_epoch() -> None:
    node, workers = owner_with_bound_task()
    workers._update_ownership()
    tracked = workers.machines["vm-1"]
    tracked.fence = 7
    node.epoch += 1
    workers._update_ownership()
    assert workers.machines["vm-1"] is tracked
    assert workers.commander.token(tracked) == node.epoch << c.EPOCH_SHIFT


# --- machines that are back within a second --------------------------------------------------
def test_absence_after_a_restart_with_kept_counters_needs_a_higher_token() -> None:
    """The start was bound elsewhere at once, and a copy of its order started it here again."""
    _, workers = owner_with_bound_task()
    exits: list[str] = []
    workers.exits.record = lambda _, task_exit: exits.append(task_exit.detail)  # type: ignore[method-assign]
    send_start(workers)
    answer_to(workers, running_checkin(2, "j-1/0"))
    token, _ = answer_to(workers, running_checkin(3))  # the machine restarted without the task
    assert token == TOKEN + 1 and exits == []
    answer_to(workers, running_checkin(4))  # that answer was lost
    assert exits == [] and not workers.machines["vm-1"].trusted
    answer_to(workers, running_checkin(5, token=TOKEN + 1))
    assert exits == ["never came up"]


def test_restart_is_noticed_from_an_exited_attempt_that_was_not_cleared() -> None:
    _, workers = owner_with_bound_task()
    workers.exits.record = lambda *_: None  # type: ignore[method-assign]
    send_start(workers)
    # Its end is not durable yet, so no clear is sent.
    assert answer_to(workers, exited_checkin(2, TOKEN)) == (TOKEN, [])
    assert answer_to(workers, running_checkin(3))[0] == TOKEN + 1


def test_attempt_that_a_newer_owner_cleared_is_no_restart() -> None:
    """Such answers reach a node that was cut off, and whose view is older."""
    _, workers = owner_with_bound_task()
    workers.exits.record = lambda *_: None  # type: ignore[method-assign]
    send_start(workers)
    answer_to(workers, running_checkin(2, "j-1/0"))
    tracked = workers.machines["vm-1"]
    report = m.REPORT.decode(running_checkin(9, token=4 << c.EPOCH_SHIFT).body)
    workers._on_order_report(tracked, report, None)
    assert workers.machines["vm-1"] is tracked


def test_clear_and_a_dropped_earlier_attempt_are_no_restart() -> None:
    node, workers = owner_with_bound_task()
    node.put(r.chunk_key("j-1", 0), [r.Task("", 1)])
    tracked = workers.machines["vm-1"]
    assert answer_to(workers, exited_checkin(2, TOKEN))[1] == ["clear"]
    answer_to(workers, running_checkin(3))
    assert workers.machines["vm-1"] is tracked and tracked.cleared == set()
    # A worker may drop an exited attempt when it starts the next one of the same task.
    answer_to(workers, exited_checkin(4, TOKEN))
    tracked.cleared.clear()
    request = running_checkin(5, "j-1/0")
    body = msgspec.json.decode(request.body)
    body["lifts"][0]["pull"] = 2
    answer_to(workers, type(request)("POST", "/checkin", msgspec.json.encode(body)))
    assert workers.machines["vm-1"] is tracked


def test_answer_to_the_first_checkin_after_a_restart_excludes_earlier_starts() -> None:
    """It carried the token of the last start, and a copy was executed until the next answer."""
    _, workers = owner_with_bound_task()
    send_start(workers)
    answer_to(workers, running_checkin(2, "j-1/0"))
    workers.commander.probe = lambda tracked: None  # type: ignore[method-assign]
    assert answer_to(workers, running_checkin(1, token=0)) == (TOKEN + 1, [])
    # An order in flight is not refused for what may be a late copy of a report.
    send_start(workers)
    workers.machines["vm-1"].order_in_flight = True
    assert answer_to(workers, running_checkin(1, token=0)) == (TOKEN + 1, [])


def test_answer_to_an_order_that_a_report_after_a_restart_overtook_confirms_no_start() -> None:
    _, workers = owner_with_bound_task()
    send_start(workers)
    tracked = workers.machines["vm-1"]
    order = Order(tracked, workers.commander.authority(tracked), [], [START], 1.0)
    tracked.sent[START] = SentStart(1, 0, direct=True)
    answer = m.REPORT.decode(running_checkin(2, "j-1/0").body)
    answer_to(workers, running_checkin(3))
    workers.commander.orders._apply_result(order, OrderResult(Outcome.EXECUTED, answer))
    assert not tracked.sent[START].settled and tracked.sent[START].fence_token == TOKEN + 1


# --- drawn runs --------------------------------------------------------------------------------
@pytest.mark.parametrize("seed", [1000, 1001, 1002, 1003])
def test_drawn_late_orders_among_restarts_break_no_rule(seed: int) -> None:
    found = late_orders.run_seed(seed)
    assert (found["broken"], found["failures"]) == ([], [])
    assert found["after a clear"] >= late_orders.MIN_AFTER_CLEAR


def test_copy_that_reaches_a_restarted_machine_before_its_first_answer_starts_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(copies, "KEPT_DELAYS_S", (0.0,))
    path = tmp_path / "day.txt"
    path.write_text(
        "1 late_orders 1 reboot\n2 submit j-1 batch 8 900\n40 cancel j-1\n"
        "79 link 1000\n80 reboot all 0.2 afresh\n90 expect late_orders_reboot 1+\n"
    )
    played = play(path, 1)
    assert (played.rules.broken, played.failures) == ([], [])
