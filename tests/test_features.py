"""features.toml, lazy imports of features, the operators' interface, feature records, logs."""

import asyncio
import io
import json
import logging
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pulleydeal import logs
from pulleydeal.app import App
from pulleydeal.cli import main
from pulleydeal.features import constants as fc
from pulleydeal.features.records import Records
from pulleydeal.features.routes import ApiError, Route, RoutedRequest, RouteTable, paginate
from pulleydeal.features.settings import Features, FeaturesError, OperatorsSettings, load
from pulleydeal.http import Request
from pulleydeal.operators.service import Operators
from pulleydeal.store import records as r
from standins.scenario import Scenario

SETTINGS = Path(__file__).parent / "traces" / "settings.json"
ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[operators]\nlisten = '127.0.0.1:9000'\n[cron]", "at the top: .*unknown field `cron`"),
        ("[operators]", "operators: .*missing required field `listen`"),
        ("[operators]\nlisten = 9000", "operators.listen: Expected `str`, got `int`"),
        ("[operators]\nlisten = 'here'", "operators.listen: "),
        ("[operators]\nlisten = '10.0.0.1:9000'", "operators.listen: 10.0.0.1 can be reached"),
        ("[operators]\nlisten = '0.0.0.0:9000'", "operators.listen: 0.0.0.0 can be reached"),
        ("[operators]\nlisten = '127.0.0.1:0'", "operators.listen: 0 is no port"),
        ("[operators]\nlisten = '127.0.0.1:1'\nport = 2", "operators: .*unknown field `port`"),
        ("a = 1\noperators = ]", "line 2, column 13"),
        ("a = " + "[" * 5000, "features.toml: "),
    ],
)
def test_a_fault_is_reported_with_its_position(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "features.toml"
    path.write_text(text)
    with pytest.raises(FeaturesError, match=f"features.toml: .*{expected}|{expected}"):
        load(path)
    assert main(["check", "--config", str(SETTINGS), "--features", str(path)]) == 2


def test_without_a_file_or_a_section_all_features_are_off(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert load(tmp_path / "none.toml") == load(None) == Features()
    path = tmp_path / "features.toml"
    path.write_text("# nothing\n")
    assert load(path).enabled() == []
    path.write_text("[operators]\nlisten = '127.0.0.1:9000'\n")
    assert load(path).enabled() == ["operators"]
    assert main(["check", "--config", str(SETTINGS), "--features", str(path)]) == 0
    assert "switched on: operators" in capsys.readouterr().out
    assert load(ROOT / "deploy" / "features.toml").enabled() == [
        "zones"
    ]  # the deployed configuration


def test_disabled_features_are_not_imported() -> None:
    code = (
        "import sys; from pulleydeal.app import App; import pulleydeal.cli;"
        "print([m for m in sys.modules if m.startswith(('pulleydeal.operators',"
        " 'pulleydeal.features.records', 'pulleydeal.rollouts', 'tomllib', 'pythonjsonlogger'))])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


# --- the operators' interface ----------------------------------------------------------------
def get(table: RouteTable, target: str, method: str = "GET") -> tuple[Route, RoutedRequest]:
    return table.find(method, target, b"", "r-1")


async def _echo_params(request: RoutedRequest) -> Any:
    return request.params


TABLE = RouteTable(
    [
        Route("GET", "/v1/jobs", "", _echo_params, ("limit",)),
        Route("GET", "/v1/jobs/{job}", "", _echo_params),
        Route("POST", "/v1/jobs/{job}/stop", "", _echo_params),
    ]
)


def test_routes_match_path_and_method_and_reject_unknown_query_parameters() -> None:
    assert get(TABLE, "/v1/jobs/j%2D7")[1].params == {"job": "j-7"}
    for target, method, status in [
        ("/v1/none", "GET", 404),
        ("/v1/jobs/j-1/stop", "GET", 405),
        ("/v1/jobs?after=x", "GET", 400),
    ]:
        with pytest.raises(ApiError) as caught:
            get(TABLE, target, method)
        assert caught.value.status == status and caught.value.message


def test_pages_are_bounded_and_cover_every_item_once() -> None:
    names = [f"n-{i:04d}" for i in range(750)]
    seen: list[str] = []
    after = ""
    while True:
        request = RoutedRequest({}, {"limit": "200", "after": after}, b"", "")
        found = paginate(request, reversed(names), str)
        seen += found["items"]
        if found["next"] is None:
            break
        after = found["next"]
    assert seen == names
    for bad in ("0", "-1", "x", "1e3", str(fc.MAX_PAGE_SIZE + 1), "9" * 400, "²"):
        with pytest.raises(ApiError):
            paginate(RoutedRequest({}, {"limit": bad}, b"", ""), names, str)


def make_app(features: Features) -> App:
    """A node that is not running, with two jobs and one machine in its replica."""
    scenario = Scenario.__new__(Scenario)
    scenario._nodes = {f"winch-{i}": f"10.0.0.{i + 1}" for i in range(3)}
    node = App(scenario._settings("winch-0"), _Clock(), random.Random(1), None, features)
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 2, 1.0, 1.0, 1.0, "img", 1.0)
    puts = {
        r.job_key("j-1"): r.JobRecord("open", 2, 1.0, spec),
        r.chunk_key("j-1", 0): [r.Task("vm-1", 1), r.Task()],
        r.job_key("j-2"): r.JobRecord("done", 1, 1.0),
        r.machine_key("vm-1"): r.MachineRecord("up", "t4", "east", False),
    }
    node.replica.apply_commit({k: msgspec.json.encode(v) for k, v in puts.items()}, [], 5)
    return node


class _Clock:
    def now(self) -> float:
        return 0.0

    wall = now


def ask(node: App, path: str) -> tuple[int, Any, dict[str, str]]:
    feature = node.features[0]
    assert isinstance(feature, Operators)
    feature._table = RouteTable(feature._collect_routes())
    reply = asyncio.run(feature.handle(Request("GET", path, b"")))
    return reply.status, json.loads(reply.body), dict(reply.headers)


def test_operators_can_list_jobs_machines_teams_and_the_node() -> None:
    node = make_app(Features(OperatorsSettings("127.0.0.1:9000")))
    status, body, _ = ask(node, "/v1/jobs")
    assert status == 503 and body["error"]["code"] == "not_ready"
    node.replica.end_load(5)
    assert [x["job"] for x in ask(node, "/v1/jobs")[1]["items"]] == ["j-1"]
    assert [x["job"] for x in ask(node, "/v1/jobs?state=all&limit=1")[1]["items"]] == ["j-1"]
    assert [x["state"] for x in ask(node, "/v1/jobs?state=done")[1]["items"]] == ["done"]
    assert ask(node, "/v1/jobs/j-1")[1]["bound"] == [{"task": 0, "machine": "vm-1", "attempt": 1}]
    assert ask(node, "/v1/machines")[1]["items"][0]["bound"] == ["j-1/0"]
    assert ask(node, "/v1/teams")[1]["items"][0] | {"most": 0, "guaranteed": 0} == {
        "team": "core",
        "cpus": 1.0,
        "gpus": 1.0,
        "most": 0,
        "guaranteed": 0,
    }
    assert ask(node, "/v1/node")[1]["features"] == ["operators"]
    paths = {x["path"] for x in ask(node, "/v1")[1]["routes"]}
    assert {"/v1", "/v1/node", "/v1/jobs", "/v1/jobs/{job}", "/v1/machines"} <= paths
    status, body, headers = ask(node, "/v1/jobs/j-9")
    assert status == 404 and body["error"]["request"] == headers["X-Request-Id"]
    assert "j-9" in body["error"]["message"]


# --- records of features ---------------------------------------------------------------------
def test_records_are_ready_only_when_every_node_has_the_feature_on() -> None:
    node = make_app(Features())
    records = Records("trial", 2, node.membership, node.store)
    replica = node.replica

    def put(key: str, value: object, version: int) -> None:
        replica.apply_commit({key: msgspec.json.encode(value)}, [], version)

    put(r.feature_key("trial", "a/b"), {"x": 1}, 6)
    put(r.feature_key("other", "a"), {"x": 2}, 7)
    assert list(records.names()) == ["a/b"] and records.version("a/b") == 6
    assert records.get("a/b", dict) == {"x": 1} and records.get("none", dict) is None
    replica.end_load(7)
    node.membership.ensure_new_incarnation()
    put(r.VIEW_KEY, r.View(1, {"winch-0": node.membership.incarnation}), 8)
    for version, name in enumerate(("winch-0", "winch-1"), 10):
        put(r.software_key(name), r.Software(2, "0.3.0", {"trial": 2}), version)
    put(r.software_key("winch-2"), r.Software(2, "0.3.0"), 12)
    assert not records.ready  # winch-2 has the feature off
    put(r.software_key("winch-2"), r.Software(2, "0.3.0", {"trial": 1}), 13)
    assert not records.ready  # winch-2 has an older record format
    put(r.software_key("winch-2"), r.Software(2, "0.3.0", {"trial": 2}), 14)
    assert records.ready
    put(r.software_key("winch-2"), r.Software(1, "0.2.0"), 15)
    assert not records.ready  # winch-2 was downgraded to an older version


def test_a_commit_of_records_is_conditional_on_the_view_and_the_records_read() -> None:
    node = make_app(Features())
    records = Records("trial", 1, node.membership, node.store)
    commits: list[tuple[dict[str, int], list[str]]] = []

    async def commit(
        conditions: dict[str, int], puts: dict[str, object], drops: list[str], priority: object
    ) -> bool:
        commits.append((conditions, [*puts, *drops]))
        return True

    node.store.commit = commit  # type: ignore[method-assign, assignment]
    done = records.commit({"a": 3, "b": 0}, {"a": 1}, ["b"], {"p/j/j-1": 1}, {"p/j/j-1": 0})
    assert asyncio.run(done)
    conditions = {r.VIEW_KEY: 0, "p/f/trial/a": 3, "p/f/trial/b": 0, "p/j/j-1": 0}
    assert commits == [(conditions, ["p/f/trial/a", "p/j/j-1", "p/f/trial/b"])]


# --- logs ------------------------------------------------------------------------------------
def log_output(kind: str) -> str:
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.formatter(kind))
    handler.addFilter(logs._RequestFilter())
    log = logging.Logger("pulleydeal.trial")
    log.addHandler(handler)
    with logs.request("ab-1"):
        log.info("run %s/%d on %s", "j-1", 3, "vm-1", extra={"job": "j-1", "task": 3})
    return stream.getvalue().strip()


def test_text_and_json_logs_carry_the_same_fields() -> None:
    assert log_output("text") == "INFO pulleydeal.trial: run j-1/3 on vm-1 [request=ab-1]"
    found = json.loads(log_output("json"))
    assert found.pop("time")
    assert found == {
        "level": "INFO",
        "logger": "pulleydeal.trial",
        "message": "run j-1/3 on vm-1",
        "job": "j-1",
        "task": 3,
        "request": "ab-1",
    }
