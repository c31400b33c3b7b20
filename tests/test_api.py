"""The user API over HTTP, and the exit codes of the command line."""

import asyncio
import json
from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.cli import main
from pulleydeal.clock import SystemClock
from pulleydeal.fleet.cloud import CloudError
from pulleydeal.fleet.cloud import _decode as understood_cloud
from pulleydeal.fleet.messages import CATALOG_DECODER, LISTING_DECODER
from pulleydeal.http import DECODE_ERRORS, Client, Request, Response, Server, json_response
from pulleydeal.settings import SettingsError, Team, load
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown
from pulleydeal.store.client import _decode_reply as understood_state
from pulleydeal.store.messages import CHANGES, PAGE, REVISION
from pulleydeal.submissions import messages as m
from pulleydeal.submissions.service import rejection_reason
from pulleydeal.workers.messages import REPORT

VALID = {
    "name_id": "j-000412",
    "rig": "train",
    "crew": "core",
    "haul": "gang",
    "urgency": "high",
    "lifts": 2,
    "vcpus": 8.0,
    "accelerators": 1,
    "ram_gb": 64.0,
    "tackle": "img-07",
    "pull_gb": 6.2,
    "rig_models": None,
    "same_place": True,
    "spread": False,
    "loaners": True,
    "haul_s": 240.0,
    "belay_s": 30.0,
    "stow_s": 4.0,
    "extra": {"ignored": True},
}
TYPES = {"g8": r.MachineType("g8", 16.0, 2.0, 128.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])}


def parse(**changes: object) -> r.JobSpec:
    body = {k: v for k, v in (VALID | changes).items() if v != "missing"}
    return m.SUBMISSION.decode(json.dumps(body).encode()).spec()


def test_a_valid_submission_is_parsed() -> None:
    spec = parse()
    assert (spec.kind, spec.priority, spec.gpus, spec.zone) == ("gang", 2, 1.0, None)


@pytest.mark.parametrize(
    "changes",
    [
        {"name_id": "job-1"},
        {"name_id": 7},
        {"lifts": 0},
        {"lifts": 100_001},
        {"lifts": 1.5},
        {"vcpus": -1},
        {"vcpus": "8"},
        {"vcpus": 1e300},
        {"haul": "cron"},
        {"urgency": "urgent"},
        {"spread": 1},
        {"rig_models": "g8"},
        {"yard": 3},
        {"tackle": "missing"},
        {"haul_s": "missing"},
        {"due_s": -5},
        {"crew": None},
    ],
)
def test_a_malformed_submission_is_refused(changes: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        parse(**changes)


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({}, ""),
        ({"crew": "nobody"}, "unknown team"),
        ({"vcpus": 17}, "fits no"),
        ({"rig_models": ["g9"]}, "fits no"),
        ({"yard": "west"}, "fits no"),
        ({"lifts": 5}, "limit"),
        ({"lifts": 5, "haul": "batch"}, ""),
        ({"accelerators": 2, "lifts": 3, "haul": "standing"}, "limit"),
    ],
)
def test_a_job_that_can_never_run_is_refused(changes: dict[str, object], why: str) -> None:
    found = rejection_reason(
        parse(**changes), {"core": Team("core", gpus_max=4.0)}, TYPES, ["east"]
    )
    assert why in found and bool(found) == bool(why)


async def exchange(raw: bytes, handler: object = None) -> bytes:
    async def echo(request: Request) -> Response:
        return json_response(200, {"size": len(request.body)})

    server = Server(handler or echo, 4)  # type: ignore[arg-type]
    listening = await asyncio.start_server(server._connection, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    reply = await reader.read()
    writer.close()
    listening.close()
    return reply


def test_too_long_bodies_and_malformed_messages_are_answered_and_closed() -> None:
    size = c.MAX_BODY_B + 1
    head = f"POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
    assert asyncio.run(exchange(head + b"x" * size)).startswith(b"HTTP/1.1 413")
    assert asyncio.run(exchange(b"NONSENSE\r\n\r\n")).startswith(b"HTTP/1.1 400")


def test_a_body_announced_as_too_long_is_refused_before_it_is_read() -> None:
    head = f"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {c.MAX_BODY_B + 1}\r\n\r\n"
    assert asyncio.run(exchange(head.encode())).startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize(
    "nested", [b"[" * 20_000, b'{"a":' * 10_000, b'{"spread":' + b"[" * 20_000]
)
def test_a_deeply_nested_body_counts_as_malformed(nested: bytes) -> None:
    """It once ended in a traceback and 503, which users retry for a minute."""
    for decoder in (
        m.SUBMISSION,
        REPORT,
        CATALOG_DECODER,
        LISTING_DECODER,
        PAGE,
        CHANGES,
        REVISION,
    ):
        with pytest.raises(DECODE_ERRORS):
            decoder.decode(nested)
    with pytest.raises(OutcomeUnknown):
        understood_state(PAGE, nested)
    with pytest.raises(CloudError):
        understood_cloud(LISTING_DECODER, nested)


def test_a_failing_handler_is_answered_503_with_retry_after() -> None:
    async def fails(request: Request) -> Response:
        raise RuntimeError("for a test")

    raw = b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    reply = asyncio.run(exchange(raw, fails))
    assert reply.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in reply


def test_a_connection_serves_several_requests() -> None:
    async def run() -> list[int]:
        async def path_of(request: Request) -> Response:
            return json_response(200, {"path": request.path})

        server = Server(path_of, 4)
        listening = await asyncio.start_server(server._connection, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        client = Client(f"127.0.0.1:{port}", SystemClock())
        found = [(await client.request("GET", f"/{i}"))[0] for i in range(3)]
        client.close()
        listening.close()
        return found

    assert asyncio.run(run()) == [200, 200, 200]


def crowd(limit: int, users: int) -> tuple[list[tuple[int, bytes]], list[int]]:
    """Opens user requests that hang; returns the refusals and the statuses of /checkin and /up."""

    async def run() -> tuple[list[tuple[int, bytes]], list[int]]:
        release = asyncio.Event()

        async def handler(request: Request) -> Response:
            if request.path.startswith("/submissions"):
                await release.wait()
            return json_response(200, {})

        server = Server(handler, limit, throttled_prefix="/submissions")
        listening = await asyncio.start_server(server._connection, "127.0.0.1", 0)
        address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        clients = [Client(address, SystemClock()) for _ in range(users + 1)]
        requests = [
            asyncio.ensure_future(x.request("GET", "/submissions/j-1", None, 60.0))
            for x in clients[:users]
        ]
        while sum(task.done() for task in requests) + server._throttled_active < users:
            await asyncio.sleep(0.001)
        refused = [task.result() for task in requests if task.done()]
        others = [
            (await clients[users].request("POST", "/checkin"))[0],
            (await clients[users].request("GET", "/up"))[0],
        ]
        release.set()
        served = [(await task)[0] for task in requests]
        assert served.count(200) == users - len(refused)
        for client in clients:
            client.close()
        listening.close()
        return refused, others

    return asyncio.run(run())


def test_user_requests_over_the_limits_are_refused_and_workers_keep_their_share() -> None:
    limit = 20
    refused, others = crowd(limit, limit - 2)
    assert [status for status, _ in refused] == [503] * (
        limit - 2 - int(limit * c.USER_CONNECTION_SHARE)
    )
    assert others == [200, 200]
    refused, others = crowd(10 * c.USER_REQUESTS_AT_ONCE, c.USER_REQUESTS_AT_ONCE + 5)
    assert [status for status, _ in refused] == [503] * 5
    assert others == [200, 200]


def test_settings_errors_name_the_field(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "settings.json"
    path.write_text('{"node_name": "n", "zone": "z", "api_addr": "nowhere"}')
    with pytest.raises(SettingsError, match="api_addr"):
        load(path)
    assert main(["--config", str(path)]) == 2
    assert main(["--features", str(tmp_path / "no.toml"), "--config", str(path)]) == 2
    assert main(["check", "--config", str(tmp_path / "none.json")]) == 2
    assert "none.json" in capsys.readouterr().err
    assert main(["status", "j-1", "--node", "127.0.0.1:1"]) == 1
