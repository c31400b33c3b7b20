"""Answers with an invalid body must not be believed for their status.

A machine executes a start and answers 200 with a body that is not its report. If the status alone
settled the start, the next plan would find the task absent from the last report and record "never
came up", and the task would start elsewhere while it still runs here. After 500, or a report of
another machine, the start must not be forgotten as if it had never been sent.

Observed with three nodes (experiments/answers.py, seed 39, PYTHONHASHSEED=0):

    89.282 start j-26/0 attempt=2 machine=vm-000002 why=order      (answered wrongly, carried out)
    89.383 end   j-26/0 attempt=2 machine=vm-000002 why=lost: never came up
    89.386 stop  j-26/0 attempt=2 machine=vm-000002 why=order      (answered 500, not carried out)
    89.682 start j-26/0 attempt=3 machine=vm-000008 why=order
    91.76  ran_twice: j-26/0 on vm-000008 and ['vm-000002']

Likewise for the state service and the cloud: any 5xx status was taken for "not executed", which
PROTOCOL says of 503 and 429 only (docs/incidents/answers-not-understood.md).
"""

import asyncio
from typing import Any

import msgspec
import pytest

from experiments.answers import played
from pulleydeal import constants as c
from pulleydeal.fleet.cloud import Cloud, CloudError
from pulleydeal.http import Request, Response, Server, json_response
from pulleydeal.settings import StateLimits
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, RequestRejected, StateClient, Unavailable
from pulleydeal.store.service import forever
from pulleydeal.workers import messages as m
from pulleydeal.workers.commands import Order
from pulleydeal.workers.eviction import Eviction
from pulleydeal.workers.outcomes import Outcome, read_answer
from pulleydeal.workers.partition_policy import PartitionPolicy
from pulleydeal.workers.reachability import one_way_too_long
from pulleydeal.workers.tracked_machine import apply_report
from standins.net import Host, on_host
from standins.script import LoopClock, virtually
from tests.test_commands import (
    ADDRESS,
    AUTHORITY,
    START,
    VirtualTimeNode,
    no_change,
    run_order,
    tracked_machine,
)
from tests.test_pending_end import SlowStoreNode, bind_job
from tests.test_workers import checkin_request, machine_record, make_workers


@pytest.mark.parametrize("seed", [39, 75, 108])
def test_invalid_answer_does_not_start_a_task_elsewhere(seed: int) -> None:
    scenario = played(seed)
    assert scenario.rules.broken == []
    assert scenario.failures == []
    assert scenario.rules.starts >= 100


def decoded(request: Request) -> m.Report:
    return m.REPORT.decode(request.body)


async def cancel_other_tasks() -> None:
    """Cancels tasks of open connections before the event loop ends."""
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0.1)


class FixedReply:
    """A machine's address that gives the same answer to every order."""

    def __init__(self, reply: Response) -> None:
        self.reply = reply
        self.bodies: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(request.body)
        return self.reply


def test_report_of_another_machine_is_not_applied() -> None:
    """Else its tasks would be stopped, and its session and report number attributed to this one."""
    other = Response(200, checkin_request("vm-2", 9, "j-9/0").body)
    workers = run_order(no_change, FixedReply(other))
    tracked = workers.machines["vm-1"]
    assert tracked.attempts == {} and tracked.seq == 1


def test_address_answered_by_another_machine_is_dropped_until_the_next_checkin() -> None:
    """Orders do not name their machine: any machine at the address would execute them."""
    workers = run_order(no_change, FixedReply(Response(200, checkin_request("vm-2", 9).body)))
    tracked = workers.machines["vm-1"]
    assert tracked.addr == ""
    apply_report(tracked, decoded(checkin_request("vm-1", 2)), 1.0, checkin=True)
    assert tracked.addr == ADDRESS


def test_start_of_unknown_outcome_is_settled_by_a_report_with_a_higher_token() -> None:
    """As after an unanswered order: a report with the raised token proves that it is fenced."""
    workers = run_order(no_change, FixedReply(json_response(500, {})))
    tracked = workers.machines["vm-1"]
    fence = workers.commander.token(tracked)
    assert fence == (3 << 24) + 1
    for seq, token, settled in ((3, 3 << 24, False), (4, fence, True)):
        apply_report(tracked, decoded(checkin_request("vm-1", seq, token=token)), 1.0, checkin=True)
        assert tracked.sent[START].settled is settled


def test_refusal_that_the_report_contradicts_proves_nothing() -> None:
    """The report has the order's token and session, so by PROTOCOL neither caused the refusal."""
    workers = run_order(
        no_change,
        FixedReply(json_response(409, msgspec.json.decode(checkin_request("vm-1", 2).body))),
    )
    assert workers.machines["vm-1"].sent[START].fence_token is not None


@pytest.mark.parametrize(
    ("status", "session", "token", "outcome"),
    [
        (200, 1, 3 << 24, Outcome.EXECUTED),
        (200, 1, (3 << 24) + 1, Outcome.EXECUTED),
        (200, 1, 2 << 24, Outcome.NOT_UNDERSTOOD),  # a report from before the order
        (200, 2, 3 << 24, Outcome.NOT_UNDERSTOOD),
        (409, 1, 3 << 24, Outcome.NOT_UNDERSTOOD),
        (409, 1, 2 << 24, Outcome.NOT_UNDERSTOOD),
        (409, 1, (3 << 24) + 1, Outcome.REFUSED),
        (409, 2, 2 << 24, Outcome.REFUSED),
    ],
)
def test_status_and_report_have_to_agree(
    status: int, session: int, token: int, outcome: Outcome
) -> None:
    body = msgspec.json.decode(checkin_request("vm-1", 2, token=token).body) | {"shift": session}
    order = Order(tracked_machine(), AUTHORITY, [], [START], 0.0)
    assert read_answer(order, status, msgspec.json.encode(body)).outcome is outcome


def test_a_machine_that_answers_with_an_old_report_is_not_asked_in_a_tight_loop() -> None:
    """The report's token is below the order's, as from a cache in between. Each such answer was
    taken for a restart of the machine, which was probed at once: some hundred orders a second, each
    with a raised fence. Bound: probed again at once, then only by `Eviction.run_round`.
    """
    stale = json_response(200, msgspec.json.decode(checkin_request("vm-1", 2, token=2 << 24).body))
    target = FixedReply(stale)
    run_order(no_change, target)
    assert len(target.bodies) <= 2


class RisingRefusal:
    """A machine's address that refuses every order, by newer and newer reports, without a cause."""

    def __init__(self) -> None:
        self.orders = 0

    async def handle(self, request: Request) -> Response:
        self.orders += 1
        report = checkin_request("vm-1", 2 + self.orders, token=2 << 24)
        return json_response(409, msgspec.json.decode(report.body))


# Guards against a tight loop: each answer led to the next probe while the machine is not trusted.
def test_untrusted_machine_that_contradicts_itself_is_not_asked_in_a_tight_loop() -> None:
    target = RisingRefusal()

    async def work(_: LoopClock) -> None:
        on_host(Host("10.1.0.1", "east"), Server(target.handle, 10).start(ADDRESS))
        await asyncio.sleep(0.1)
        node = VirtualTimeNode()
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1, token=2 << 24))
        assert not workers.machines["vm-1"].trusted
        rounds = asyncio.ensure_future(forever("workers", workers.work))
        await asyncio.sleep(3.0)
        rounds.cancel()
        await cancel_other_tasks()

    virtually(lambda clock: on_host(Host("10.0.0.1", "east"), work(clock)))
    assert target.orders == 1  # later probes come from `Eviction.run_round`, twice a second


def test_refused_start_is_forgotten() -> None:
    newer = json_response(
        409, msgspec.json.decode(checkin_request("vm-1", 2, token=(3 << 24) + 5).body)
    )
    workers = run_order(no_change, FixedReply(newer))
    assert START not in workers.machines["vm-1"].sent


def test_machine_with_invalid_answers_is_commanded_by_checkin_answers() -> None:
    """The effect of its orders is unknown. It is not probed in a tight loop, its fence is not
    raised without bound, and new tasks still start there."""
    target = FixedReply(Response(200, b"[[["))
    found: list[Any] = []
    answers: list[bytes] = []

    async def work(_: LoopClock) -> None:
        on_host(Host("10.1.0.1", "east"), Server(target.handle, 10).start(ADDRESS))
        await asyncio.sleep(0.1)
        node = VirtualTimeNode()
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1))
        bind_job(node)
        rounds = asyncio.ensure_future(forever("workers", workers.work))
        await asyncio.sleep(5.0)
        node.fresh_as_of = node.now()
        spec = r.JobSpec("j-2", "c", "core", "array", 1, 1, 1.0, 0.0, 1.0, "img", 1.0)
        node.put(r.job_key("j-2"), r.JobRecord("open", 1, 0.0, spec))
        node.put(r.chunk_key("j-2", 0), [r.Task("vm-1", 1)])
        await asyncio.sleep(5.0)
        answers.append((await workers.checkin(checkin_request("vm-1", 2))).body)
        rounds.cancel()
        found.append(workers.machines["vm-1"])
        await cancel_other_tasks()

    virtually(lambda clock: on_host(Host("10.0.0.1", "east"), work(clock)))
    tracked = found[0]
    assert len(target.bodies) == 1  # later probes come from `Eviction.run_round`, twice a second
    assert tracked.fence == 1
    assert b"j-2/0" in answers[0] and b"j-1/0" not in answers[0]
    machines = [tracked]
    tracked.last_report_at = tracked.last_checkin_at = 200.0
    assert one_way_too_long(machines, 200.0, 3.0, 14.0) == []  # nor is it returned for that


def test_valid_probe_answer_restores_direct_orders() -> None:
    for reply, last_answer_invalid in (
        (Response(200, b"[[["), True),
        (Response(200, checkin_request("vm-1", 2).body), False),
        (json_response(500, {}), True),
    ):
        workers = run_order(no_change, FixedReply(reply))
        assert workers.machines["vm-1"].last_answer_invalid is last_answer_invalid
        assert workers.machines["vm-1"].unanswered_since is None


def test_unsent_kill_is_in_the_next_checkin_answer() -> None:
    """A round that plans the kill but sends nothing must not count it as sent."""

    async def run() -> bytes:
        node = SlowStoreNode()
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1, "j-9/0"))  # not bound: killed
        node.clock_s += c.KILL_REPEAT_S + 0.1
        owned = workers.machines["vm-1"]
        owned.last_answer_invalid = True
        workers._reconcile_machine(owned)
        return (await workers.checkin(checkin_request("vm-1", 2, "j-9/0"))).body

    assert b'"kill"' in asyncio.run(run())


def test_machine_with_invalid_answers_is_probed_although_it_checks_in() -> None:
    class RecordedProbes:
        def __init__(self) -> None:
            self.probed: list[str] = []
            self.orders = self

        def drop_stale(self) -> None: ...

        def probe(self, owned: Any) -> None:
            self.probed.append(owned.id)

    async def run(last_answer_invalid: bool) -> list[str]:
        node, probes = SlowStoreNode(), RecordedProbes()
        workers = make_workers(node)
        node.put(r.machine_key("vm-1"), machine_record("up"))
        await workers.checkin(checkin_request("vm-1", 1))
        workers.machines["vm-1"].last_answer_invalid = last_answer_invalid
        me: Any = node
        eviction = Eviction(
            me,
            me,
            workers._times,
            me,
            workers.machines,
            probes,  # type: ignore[arg-type]
            PartitionPolicy(),
            set(),
        )
        await eviction.run_round()
        return probes.probed

    assert asyncio.run(run(last_answer_invalid=True)) == ["vm-1"]
    assert asyncio.run(run(last_answer_invalid=False)) == []


# --- likewise for the state service and the cloud ------------------------------------------------
StateErrors = (Unavailable, OutcomeUnknown, RequestRejected)
ODD_STATUSES = [500, 502, 504, 302]


def error_for_status(status: int, call: Any) -> Exception:
    """The error that `call` raises when it is answered with this status."""
    raised: list[Exception] = []

    async def handle(_: Request) -> Response:
        return json_response(status, {})

    async def work(clock: LoopClock) -> None:
        on_host(Host("10.2.0.1", ""), Server(handle, 10).start("10.2.0.1:80"))
        await asyncio.sleep(0.1)
        try:
            await on_host(Host("10.0.0.1", ""), call("10.2.0.1:80", clock))
        except (*StateErrors, CloudError) as error:
            raised.append(error)
        await cancel_other_tasks()

    virtually(work)
    return raised[0]


async def commit(address: str, clock: LoopClock) -> object:
    limits = StateLimits(200.0, 90.0, 8.0, 24)
    return await StateClient(address, clock, limits, 3).commit({"a": 0}, [{"drop": "a"}])


async def rent(address: str, clock: LoopClock) -> object:
    return await Cloud(address, clock, 4.0).rent("r-1", "t4", "east", False, 1)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_transaction_may_have_been_executed_after_an_unexpected_status(status: int) -> None:
    assert isinstance(error_for_status(status, commit), OutcomeUnknown)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_rental_may_have_been_executed_after_an_unexpected_status(status: int) -> None:
    error = error_for_status(status, rent)
    assert isinstance(error, CloudError) and error.may_have_executed


@pytest.mark.parametrize("status", [429, 503])
def test_refused_calls_were_not_executed(status: int) -> None:
    assert not isinstance(error_for_status(status, commit), OutcomeUnknown)
    error = error_for_status(status, rent)
    assert isinstance(error, CloudError) and not error.may_have_executed
