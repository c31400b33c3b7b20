"""Copies of answered orders must not start a task again (docs/incidents/late-order-copies.md)."""

import asyncio
from typing import Any

import msgspec
import pytest

from pulleydeal.store import records as r
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order, TokenRaise
from pulleydeal.workers.service import Workers
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
