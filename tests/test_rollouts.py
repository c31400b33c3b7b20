"""Descriptions, health evidence, a leader's observations, registrations, command line, records."""

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pulleydeal.app import App
from pulleydeal.cli import main
from pulleydeal.features.settings import Features, RolloutsSettings
from pulleydeal.http import Request
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import health, monitoring
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check, DescriptionError, deployment_faults, parse
from pulleydeal.rollouts.health import ProbeResult, RegisteredCopy
from pulleydeal.rollouts.model import Observation
from pulleydeal.rollouts.monitoring import ServiceMonitor
from pulleydeal.rollouts.registry import Registration
from pulleydeal.settings import Team, load
from pulleydeal.store import records as r
from pulleydeal.store.replica import Replica
from standins.services import toml

GOOD: dict[str, Any] = {
    "name": "web",
    "class": "demo",
    "team": "core",
    "copies": 6,
    "image": "img-1",
    "cpus": 2.0,
    "memory_gb": 4.0,
    "steps": [1, 3],
}
CHECK = Check(every_s=2.0, timeout_s=1.0, healthy_after=2, unhealthy_after=3, grace_s=20.0)


# --- descriptions ----------------------------------------------------------------------------
def test_description_is_parsed_with_its_defaults() -> None:
    d = parse(toml(GOOD))
    assert (d.min_healthy, d.step_targets, d.surge, d.late) == (5, [1, 3, 6], 1, "return")
    job = d.job("j-9", "east")
    assert (job.kind, job.tasks, job.zone, job.priority) == ("service", 1, "east", 3)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"copies": 0}, "copies: Expected `int` >= 1"),
        ({"copies": "6"}, "copies: Expected `int`"),
        ({"name": "Web"}, "name: Expected `str` matching"),
        ({"nmae": 1}, "at the top: Object contains unknown field `nmae`"),
        ({"check": {"path": "health"}}, "check.path: Expected `str` matching"),
        ({"check": {"evry_s": 1}}, "check: Object contains unknown field `evry_s`"),
        ({"floor": 7}, "floor: 7 healthy copies of 6 can't be promised"),
        ({"floor": 6, "surge": 0}, "surge: with no copy above"),
        ({"steps": [3, 1]}, "steps: 10 numbers at most, each larger"),
        ({"steps": [1, 9]}, "steps: no step can have more than 6"),
        ({"check": {"timeout_s": 3.0}}, "check.timeout_s: longer than every_s"),
        ({"check": {"grace_s": 1.0}}, "check.grace_s: 2 good answers take 4 s"),
        ({"deadline_s": 30.0}, "deadline_s: a start may take grace_s"),
        ({"zones": []}, "zones: empty"),
        ({"late": "never"}, "late: Invalid enum value 'never'"),
    ],
)
def test_each_fault_is_reported_with_its_location(changes: dict[str, Any], expected: str) -> None:
    with pytest.raises(DescriptionError) as caught:
        parse(toml(GOOD | changes), "web.toml")
    assert any(line.startswith(f"web.toml: {expected}") for line in caught.value.faults)


def test_all_validation_faults_are_reported_at_once_and_syntax_errors_by_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "web.toml"
    path.write_text(toml(GOOD | {"floor": 9, "steps": [4, 2], "deadline_s": 1.0}))
    assert main(["rollout", "check", str(path)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 3
    path.write_text("name = 'web'\ncopies = \n")
    assert main(["rollout", "start", str(path)]) == 2
    assert "line 2" in capsys.readouterr().err
    assert main(["rollout", "check", str(tmp_path / "none.toml")]) == 2
    path.write_text(toml(GOOD))
    assert main(["rollout", "start", str(path), "--operators", "127.0.0.1:1"]) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_requirements_that_the_deployment_cannot_meet_are_reported() -> None:
    types = {"t4": r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])}
    d = parse(toml(GOOD | {"gpus": 1.0}))
    assert deployment_faults(d, {"core": Team("core", gpus_max=7.0)}, types, ["east"]) == []
    expected = deployment_faults(d, {"core": Team("core", gpus_max=6.0)}, types, ["east"])
    assert expected == [
        "gpus: 6 copies and a surge of 1 need 7, and the limit of core is 6",
    ]
    assert "unknown team" in deployment_faults(d, {}, types, ["east"])[0]
    far = msgspec.structs.replace(d, zones=["east", "moon"])
    assert deployment_faults(far, {"core": Team("core")}, types, ["east"]) == [
        "zones: unknown zone 'moon'"
    ]


# --- evidence --------------------------------------------------------------------------------
def copies(*zones: str, renewed_at: float = 0.0) -> list[RegisteredCopy]:
    return [
        RegisteredCopy(f"j-{i}", 1, f"10.0.0.{i}:80", z, 0.0, renewed_at)
        for i, z in enumerate(zones)
    ]


def run_rounds(
    found: list[RegisteredCopy], outcomes: list[str], count: int, at: float, late_s: float = 0.0
) -> float:
    for _ in range(count):
        results = {
            x.job: ProbeResult(outcome, outcome)  # type: ignore[arg-type]
            for x, outcome in zip(found, outcomes, strict=True)
        }
        health.apply_round(found, results, CHECK, at, late_s)
        at += CHECK.every_s
    return at


def states(found: list[RegisteredCopy], at: float) -> list[str]:
    return [health.current_state(x, CHECK, at)[0] for x in found]


def test_state_changes_after_the_configured_number_of_good_or_bad_checks() -> None:
    found = copies("east")
    at = run_rounds(found, ["good"], 1, 0.0)
    assert states(found, at) == [STARTING]
    at = run_rounds(found, ["good"], 1, at)
    assert states(found, at) == [HEALTHY]
    at = run_rounds(found, ["bad"], 2, at)
    assert states(found, at) == [HEALTHY]
    at = run_rounds(found, ["bad"], 1, at)
    assert states(found, at) == [UNHEALTHY]
    assert health.current_state(found[0], CHECK, at)[1] == "bad"
    assert states(found, at + 60.0) == [UNKNOWN]  # the evidence is stale


def test_copy_that_never_becomes_healthy_is_unhealthy_after_its_grace_period() -> None:
    found = copies("east")
    at = run_rounds(found, ["bad"], 10, 0.0)
    assert states(found, at) == [STARTING]
    at = run_rounds(found, ["bad"], 2, at)
    assert states(found, at) == [UNHEALTHY]


def test_failed_checks_do_not_count_when_no_copy_in_the_zone_is_reachable() -> None:
    found = copies("east", "east", "west")
    at = run_rounds(found, ["good"] * 3, 2, 0.0)
    at = run_rounds(found, ["silent", "silent", "good"], 5, at + 60.0)
    assert states(found, at) == [UNKNOWN, UNKNOWN, HEALTHY]
    # One copy responds again, so the zone is reachable and the silence of the other counts.
    at = run_rounds(found, ["silent", "good", "good"], 3, at)
    assert states(found, at) == [UNHEALTHY, HEALTHY, HEALTHY]


def test_failed_checks_count_when_the_copy_itself_still_renews() -> None:
    found = copies("east")
    at = run_rounds(found, ["good"], 2, 0.0)
    for _ in range(3):
        found[0].renewed_at = at
        at = run_rounds(found, ["silent"], 1, at)
    assert states(found, at) == [UNHEALTHY]


def test_late_round_is_ignored() -> None:
    found = copies("east", "east")
    at = run_rounds(found, ["good"] * 2, 2, 0.0)
    at = run_rounds(found, ["bad", "silent"], 9, at, late_s=rc.MAX_ROUND_DELAY_S + 0.1)
    assert states(found, at - 19.0) == [HEALTHY, HEALTHY]


def test_flapping_copy_is_unhealthy_until_the_flap_window_has_passed() -> None:
    found = copies("east")
    at = 0.0
    for _ in range(rc.FLAP_THRESHOLD):
        at = run_rounds(found, ["good"], 2, at)
        at = run_rounds(found, ["bad"], 3, at)
    at = run_rounds(found, ["good"], 5, at)
    assert states(found, at) == [UNHEALTHY]
    at = run_rounds(found, ["good"], int(rc.FLAP_WINDOW_S / CHECK.every_s), at)
    assert states(found, at) == [HEALTHY]


# --- observations of a leader ----------------------------------------------------------------
class Leader:
    """The leader of service `web`, which has two copies on machines in two zones."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.replica.loaded = True
        self.monitor = ServiceMonitor(0.0)
        self.service = st.Service(1, [st.Slot(1, 1, "east"), st.Slot(2, 1, "west")], 2)
        self.previous: list[st.Endpoint] = []
        for slot in self.service.slots:
            job = st.job_id("web", slot.serial)
            spec = parse(toml(GOOD)).job(job, slot.zone)
            self.put(r.job_key(job), r.JobRecord("open", 1, 1.0, spec))
            machine = r.MachineRecord("up", "t4", slot.zone, False)
            self.put(r.machine_key(f"vm-{slot.serial}"), machine)
            self.put(r.chunk_key(job, 0), [r.Task(f"vm-{slot.serial}", 1)])

    def put(self, key: str, value: object) -> None:
        self.replica.revision += 1
        self.replica.apply_commit({key: msgspec.json.encode(value)}, [], self.replica.revision)

    def task(self, serial: int, task: r.Task) -> None:
        self.put(r.chunk_key(st.job_id("web", serial), 0), [task])

    def register(self, serial: int, now: float, attempt: int = 1) -> RegisteredCopy:
        job = st.job_id("web", serial)
        said = Registration("web", job, attempt, f"10.0.0.{serial}:80")
        self.monitor.registry.register(said, self.service.slots[serial - 1].zone, now)
        return self.monitor.registry.copies[job]

    def observe(self, now: float) -> Observation:
        zones, check = ["east", "west"], CHECK
        return monitoring.observe(
            "web",
            self.service,
            check,
            self.replica,
            self.monitor,
            {},
            self.previous,
            zones,
            now,
            now,
        )

    def states(self, now: float) -> list[tuple[str, str]]:
        return [(x.state, x.reason) for x in self.observe(now).copies]


def test_queued_failed_and_ended_jobs_are_observed_as_such() -> None:
    leader = Leader()
    leader.task(1, r.Task("", 0))
    assert leader.states(1.0)[0] == (QUEUED, "waits for credit")
    leader.task(1, r.Task("", 2, False, 2, "error"))
    state, reason = leader.states(2.0)[0]
    assert state == UNHEALTHY and reason.startswith("its task failed 2 times")
    job = st.job_id("web", 1)
    leader.put(r.job_key(job), r.JobRecord("cancelled", 1, 1.0, None))
    assert "was ended by a user" in leader.states(3.0)[0][1]


def test_unregistered_copy_is_unhealthy_only_if_its_zone_is_reachable() -> None:
    leader = Leader()
    assert leader.states(1.0)[0] == (STARTING, "has not registered yet")
    assert leader.states(30.0)[0][0] == UNKNOWN  # no copy in east is reachable
    leader.service.slots.append(st.Slot(3, 1, "east"))
    job = st.job_id("web", 3)
    leader.put(r.job_key(job), r.JobRecord("open", 1, 1.0, parse(toml(GOOD)).job(job, "east")))
    leader.put(r.machine_key("vm-3"), r.MachineRecord("up", "t4", "east", False))
    leader.task(3, r.Task("vm-3", 1))
    leader.register(3, 60.0)
    state, reason = leader.states(60.0)[0]
    assert state == UNHEALTHY and "has not registered" in reason
    # A copy that stops renewing, while the other continues.
    leader.register(1, 60.0)
    leader.register(3, 90.0)
    state, reason = leader.states(90.0)[0]
    assert state == UNHEALTHY and "stopped renewing" in reason


def test_new_leader_takes_a_ready_copy_for_unknown_not_starting() -> None:
    """If it counted as starting, it would be stopped in favour of a new copy with none healthy."""
    leader = Leader()
    job = st.job_id("web", 1)
    leader.previous = [st.Endpoint("10.0.0.1:80", job, 1, "east")]
    assert leader.states(0.5)[0] == (UNKNOWN, "was ready before its leader came")
    leader.register(1, 1.0)
    assert leader.states(1.0)[0][0] == UNKNOWN and leader.states(1.0)[1][0] == STARTING
    leader.monitor.registry.copies[job].address = "10.0.0.9:80"  # restarted at another address
    leader.monitor.registry.copies[job].evidence_at = 1.0
    assert leader.states(1.5)[0][0] == STARTING


def test_later_attempt_starts_without_earlier_evidence() -> None:
    leader = Leader()
    copy = leader.register(1, 0.0)
    copy.state, copy.evidence_at = HEALTHY, 1.0
    assert leader.states(1.0)[0][0] == HEALTHY
    leader.task(1, r.Task("vm-1", 2))
    assert leader.states(1.5)[0] == (STARTING, "has not registered yet")
    assert leader.register(1, 2.0, attempt=2).state == STARTING


def test_endpoints_keep_copies_without_evidence_against_them_and_the_last_ones() -> None:
    leader = Leader()
    for serial in (1, 2):
        copy = leader.register(serial, 0.0)
        copy.state, copy.evidence_at = HEALTHY, 1.0

    def ready(now: float, *leaving: int) -> list[str]:
        observation = leader.observe(now)
        leader.previous = monitoring.ready_endpoints(
            "web", observation, leader.monitor, leader.previous, set(leaving)
        )
        return sorted(e.address for e in leader.previous)

    both = ["10.0.0.1:80", "10.0.0.2:80"]
    assert ready(1.0) == both
    one = leader.monitor.registry.copies[st.job_id("web", 1)]
    one.evidence_at = -100.0
    assert ready(2.0) == both  # unknown for a short time
    leader.monitor.registry.copies[st.job_id("web", 2)].evidence_at = 30.0
    one.renewed_at = leader.monitor.registry.copies[st.job_id("web", 2)].renewed_at = 30.0
    assert ready(30.0) == ["10.0.0.2:80"]  # unknown for too long
    leader.monitor.registry.copies[st.job_id("web", 2)].state = UNHEALTHY
    assert ready(30.5) == ["10.0.0.2:80"]  # no healthy copy to list instead
    assert ready(30.5, 1, 2) == []  # both are leaving


# --- registrations and the interface -----------------------------------------------------------
def node() -> App:
    settings = load(Path(__file__).parent / "traces" / "settings.json")
    settings.siblings, settings.node_name = [], "winch-0"

    class Clock:
        def now(self) -> float:
            return 5.0

        wall = now

    app = App(settings, Clock(), random.Random(1), None, _on())
    app.membership.ensure_new_incarnation()
    put(app, r.VIEW_KEY, r.View(1, {"winch-0": app.membership.incarnation}), 1)
    put(app, r.software_key("winch-0"), r.Software(2, "0.3.0", {"rollouts": rc.RECORD_FORMAT}), 2)
    app.replica.end_load(3)
    app.store.fresh_as_of = 5.0
    return app


def _on() -> Features:
    return Features(rollouts=RolloutsSettings())


def put(app: App, key: str, value: object, version: int) -> None:
    app.replica.apply_commit({key: msgspec.json.encode(value)}, [], version)


def post(app: App, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    request = Request("POST", "/copies", json.dumps(body).encode())
    reply = asyncio.run(app.handle(request))
    return reply.status, json.loads(reply.body)


def test_copies_register_with_the_leader_for_their_current_attempt() -> None:
    app = node()
    rollouts: Any = app.features[0]
    job = st.job_id("web", 1)
    said = {"service": "web", "job": job, "attempt": 1, "address": "10.0.0.9:80"}
    assert post(app, said)[0] == 404
    put(app, "p/f/rollouts/s/web", st.Service(1, [st.Slot(1, 1, "east")], 1), 4)
    assert post(app, said)[0] == 503  # it has only just become the leader
    rollouts.monitors["web"] = ServiceMonitor(0.0)
    assert post(app, said)[0] == 404  # its job is not known
    put(app, r.job_key(job), r.JobRecord("open", 1, 1.0, parse(toml(GOOD)).job(job, "east")), 5)
    put(app, r.chunk_key(job, 0), [r.Task("vm-1", 2)], 6)
    assert post(app, said)[0] == 409  # an earlier attempt
    assert post(app, said | {"attempt": 2}) == (
        200,
        {"renew_s": rc.REGISTRATION_RENEW_S, "leave": False},
    )
    assert post(app, said | {"address": "nowhere"})[0] == 400
    put(app, r.software_key("winch-0"), r.Software(2, "0.3.0"), 7)
    assert post(app, said | {"attempt": 2})[0] == 503  # not every node has the feature on


def test_consumers_read_endpoints_with_a_revision() -> None:
    app = node()

    def ask(path: str) -> tuple[int, Any]:
        reply = asyncio.run(app.handle(Request("GET", path, b"")))
        return reply.status, json.loads(reply.body)

    assert ask("/services/web/endpoints")[0] == 404
    put(app, "p/f/rollouts/s/web", st.Service(1, [], 1), 4)
    put(app, "p/f/rollouts/e/web", st.Endpoints([st.Endpoint("10.0.0.9:80", "j-1", 1, "east")]), 9)
    status, found = ask("/services/web/endpoints")
    assert status == 200 and found["revision"] == 9
    assert found["ready"] == [
        {"address": "10.0.0.9:80", "job": "j-1", "version": 1, "zone": "east"}
    ]
    assert ask("/services/web/endpoints?after=8&hold_ms=30000")[1]["revision"] == 9
    assert ask("/services/web/endpoints?after=9")[0] == 200  # no hold_ms: answers at once
    assert ask("/services/web/endpoints?after=x")[0] == 400
    assert ask("/services/web")[0] == 404
    app.store.fresh_as_of = -60.0
    assert ask("/services/web/endpoints")[0] == 503  # this node's replica is stale


def test_max_record_size_fits_into_the_value_limit() -> None:
    app = node()
    interface = app.features[0].interface  # type: ignore[attr-defined]
    d = parse(toml(GOOD | {"copies": rc.MAX_COPIES, "surge": rc.MAX_SURGE}))
    assert interface._max_record_size_b(d) > 1900  # refused with addresses of maximum length
    d = parse(toml(GOOD | {"copies": 12, "surge": 2}))
    assert interface._max_record_size_b(d) <= app.store.limits.value_b


def test_job_ids_are_unique_deterministic_and_valid_by_protocol() -> None:
    from pulleydeal.submissions.service import JOB_ID

    found = {st.job_id(name, n) for name in ("web", "api") for n in range(200)}
    assert len(found) == 400 and all(JOB_ID.match(x) and len(x) == 24 for x in found)
    assert st.job_id("web", 1) == st.job_id("web", 1)


def test_history_entry_fits_into_a_value_whatever_the_evidence() -> None:
    service = st.Service(rollouts=3)
    entry = st.history_entry(1.0, service, "x" * 900, "y" * 9000, ["z" * 900] * 50)
    assert len(msgspec.json.encode(entry)) < 1500 and entry.evidence[-1] == "and 42 more"


# Guards against growth by names: consumers ask for services that never were, and old versions go.
def test_records_that_are_gone_or_never_were_are_not_kept() -> None:
    app = node()
    rollouts: Any = app.features[0]
    for i in range(20):
        assert rollouts.service(f"nobody-{i}") is None
        name = st.version_record_name("web", i)
        put(app, r.feature_key("rollouts", name), st.Version(parse(toml(GOOD))), 100 + 2 * i)
        assert rollouts.version("web", i) is not None
        app.replica.apply_commit({}, [r.feature_key("rollouts", name)], 101 + 2 * i)
    asyncio.run(rollouts.tick())
    assert not rollouts._decode_cache
