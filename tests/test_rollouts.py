"""Descriptions, evidence, what a leader sees, registrations, the command line's words."""

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
from pulleydeal.rollouts import health, seeing
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Check, DescriptionError, fits, parse
from pulleydeal.rollouts.health import Answer, Copy
from pulleydeal.rollouts.registry import Registration
from pulleydeal.rollouts.seeing import Watch
from pulleydeal.rollouts.seen import World
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
def test_a_description_is_read_with_its_defaults() -> None:
    d = parse(toml(GOOD))
    assert (d.least, d.wanted, d.surge, d.late) == (5, [1, 3, 6], 1, "return")
    job = d.job("j-9", "east")
    assert (job.kind, job.tasks, job.zone, job.priority) == ("service", 1, "east", 3)


@pytest.mark.parametrize(
    ("changes", "told"),
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
def test_each_fault_is_told_with_its_place(changes: dict[str, Any], told: str) -> None:
    with pytest.raises(DescriptionError) as caught:
        parse(toml(GOOD | changes), "web.toml")
    assert any(line.startswith(f"web.toml: {told}") for line in caught.value.faults)


def test_all_faults_of_meaning_are_told_at_once_and_syntax_by_its_line(
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


def test_what_the_deployment_can_never_give_is_told() -> None:
    types = {"t4": r.MachineType("t4", 8.0, 2.0, 64.0, 50.0, 1.0, 9.0, 3.0, 45.0, ["east"])}
    d = parse(toml(GOOD | {"gpus": 1.0}))
    assert fits(d, {"core": Team("core", gpus_max=7.0)}, types, ["east"]) == []
    told = fits(d, {"core": Team("core", gpus_max=6.0)}, types, ["east"])
    assert told == [
        "gpus: 6 copies and a surge of 1 need 7, and the limit of core is 6",
    ]
    assert "unknown team" in fits(d, {}, types, ["east"])[0]
    far = msgspec.structs.replace(d, zones=["east", "moon"])
    assert fits(far, {"core": Team("core")}, types, ["east"]) == ["zones: unknown zone 'moon'"]


# --- evidence --------------------------------------------------------------------------------
def copies(*zones: str, renewed: float = 0.0) -> list[Copy]:
    return [Copy(f"j-{i}", 1, f"10.0.0.{i}:80", z, 0.0, renewed) for i, z in enumerate(zones)]


def rounds(found: list[Copy], said: list[str], count: int, at: float, late_s: float = 0.0) -> float:
    for _ in range(count):
        answers = {x.job: Answer(word, word) for x, word in zip(found, said, strict=True)}  # type: ignore[arg-type]
        health.take_round(found, answers, CHECK, at, late_s)
        at += CHECK.every_s
    return at


def states(found: list[Copy], at: float) -> list[str]:
    return [health.state_of(x, CHECK, at)[0] for x in found]


def test_healthy_after_so_many_good_answers_and_unhealthy_after_so_many_bad_ones() -> None:
    found = copies("east")
    at = rounds(found, ["good"], 1, 0.0)
    assert states(found, at) == [STARTING]
    at = rounds(found, ["good"], 1, at)
    assert states(found, at) == [HEALTHY]
    at = rounds(found, ["bad"], 2, at)
    assert states(found, at) == [HEALTHY]
    at = rounds(found, ["bad"], 1, at)
    assert states(found, at) == [UNHEALTHY]
    assert health.state_of(found[0], CHECK, at)[1] == "bad"
    assert states(found, at + 60.0) == [UNKNOWN]  # evidence grows old


def test_a_copy_that_never_becomes_healthy_is_unhealthy_after_its_grace() -> None:
    found = copies("east")
    at = rounds(found, ["bad"], 10, 0.0)
    assert states(found, at) == [STARTING]
    at = rounds(found, ["bad"], 2, at)
    assert states(found, at) == [UNHEALTHY]


def test_a_prober_that_reaches_nothing_in_a_zone_proves_nothing_about_its_copies() -> None:
    found = copies("east", "east", "west")
    at = rounds(found, ["good"] * 3, 2, 0.0)
    at = rounds(found, ["silent", "silent", "good"], 5, at + 60.0)
    assert states(found, at) == [UNKNOWN, UNKNOWN, HEALTHY]
    # One of them answers again: the way is open, and the silence of the other counts.
    at = rounds(found, ["silent", "good", "good"], 3, at)
    assert states(found, at) == [UNHEALTHY, HEALTHY, HEALTHY]


def test_a_silent_copy_that_still_renews_is_judged_even_alone() -> None:
    found = copies("east")
    at = rounds(found, ["good"], 2, 0.0)
    for _ in range(3):
        found[0].renewed = at
        at = rounds(found, ["silent"], 1, at)
    assert states(found, at) == [UNHEALTHY]


def test_a_late_round_proves_nothing() -> None:
    found = copies("east", "east")
    at = rounds(found, ["good"] * 2, 2, 0.0)
    at = rounds(found, ["bad", "silent"], 9, at, late_s=rc.LATE_ROUND_S + 0.1)
    assert states(found, at - 19.0) == [HEALTHY, HEALTHY]


def test_a_copy_that_flaps_counts_as_unhealthy_until_it_has_been_steady() -> None:
    found = copies("east")
    at = 0.0
    for _ in range(rc.FLAPS):
        at = rounds(found, ["good"], 2, at)
        at = rounds(found, ["bad"], 3, at)
    at = rounds(found, ["good"], 5, at)
    assert states(found, at) == [UNHEALTHY]
    at = rounds(found, ["good"], int(rc.FLAP_WINDOW_S / CHECK.every_s), at)
    assert states(found, at) == [HEALTHY]


# --- what a leader sees ----------------------------------------------------------------------
class Sight:
    """Two copies of `web` on machines in two zones, and their leader's watch."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.replica.loaded = True
        self.watch = Watch(0.0)
        self.service = st.Service(1, [st.Slot(1, 1, "east"), st.Slot(2, 1, "west")], 2)
        self.before: list[st.Endpoint] = []
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

    def register(self, serial: int, now: float, attempt: int = 1) -> Copy:
        job = st.job_id("web", serial)
        said = Registration("web", job, attempt, f"10.0.0.{serial}:80")
        self.watch.registry.take(said, self.service.slots[serial - 1].zone, now)
        return self.watch.registry.copies[job]

    def world(self, now: float) -> World:
        zones, check = ["east", "west"], CHECK
        return seeing.see(
            "web", self.service, check, self.replica, self.watch, {}, self.before, zones, now, now
        )

    def look(self, now: float) -> list[tuple[str, str]]:
        return [(x.state, x.why) for x in self.world(now).copies]


def test_jobs_that_wait_fail_or_were_ended_are_seen_as_that() -> None:
    sight = Sight()
    sight.task(1, r.Task("", 0))
    assert sight.look(1.0)[0] == (QUEUED, "waits for credit")
    sight.task(1, r.Task("", 2, False, 2, "error"))
    state, why = sight.look(2.0)[0]
    assert state == UNHEALTHY and why.startswith("its task failed 2 times")
    job = st.job_id("web", 1)
    sight.put(r.job_key(job), r.JobRecord("cancelled", 1, 1.0, None))
    assert "was ended by a user" in sight.look(3.0)[0][1]


def test_a_copy_that_does_not_register_counts_only_if_its_zone_is_heard() -> None:
    sight = Sight()
    assert sight.look(1.0)[0] == (STARTING, "has not registered yet")
    assert sight.look(30.0)[0][0] == UNKNOWN  # nobody is heard from east
    sight.service.slots.append(st.Slot(3, 1, "east"))
    job = st.job_id("web", 3)
    sight.put(r.job_key(job), r.JobRecord("open", 1, 1.0, parse(toml(GOOD)).job(job, "east")))
    sight.put(r.machine_key("vm-3"), r.MachineRecord("up", "t4", "east", False))
    sight.task(3, r.Task("vm-3", 1))
    sight.register(3, 60.0)
    state, why = sight.look(60.0)[0]
    assert state == UNHEALTHY and "has not registered" in why
    # And one that stops renewing, while the other goes on.
    sight.register(1, 60.0)
    sight.register(3, 90.0)
    state, why = sight.look(90.0)[0]
    assert state == UNHEALTHY and "stopped renewing" in why


def test_what_was_ready_is_unknown_to_a_new_leader_not_starting() -> None:
    """It was stopped for a new copy, with none seen healthy, since it looked as if it started."""
    sight = Sight()
    job = st.job_id("web", 1)
    sight.before = [st.Endpoint("10.0.0.1:80", job, 1, "east")]
    assert sight.look(0.5)[0] == (UNKNOWN, "was ready before its leader came")
    sight.register(1, 1.0)
    assert sight.look(1.0)[0][0] == UNKNOWN and sight.look(1.0)[1][0] == STARTING
    sight.watch.registry.copies[job].address = "10.0.0.9:80"  # another start, elsewhere
    sight.watch.registry.copies[job].seen = 1.0
    assert sight.look(1.5)[0][0] == STARTING


def test_a_later_attempt_is_another_copy() -> None:
    sight = Sight()
    copy = sight.register(1, 0.0)
    copy.state, copy.seen = HEALTHY, 1.0
    assert sight.look(1.0)[0][0] == HEALTHY
    sight.task(1, r.Task("vm-1", 2))
    assert sight.look(1.5)[0] == (STARTING, "has not registered yet")
    assert sight.register(1, 2.0, attempt=2).state == STARTING


def test_endpoints_keep_what_nothing_is_known_against_and_never_become_empty() -> None:
    sight = Sight()
    for serial in (1, 2):
        copy = sight.register(serial, 0.0)
        copy.state, copy.seen = HEALTHY, 1.0

    def ready(now: float, *leaving: int) -> list[str]:
        world = sight.world(now)
        sight.before = seeing.ready("web", world, sight.watch, sight.before, set(leaving))
        return sorted(e.address for e in sight.before)

    both = ["10.0.0.1:80", "10.0.0.2:80"]
    assert ready(1.0) == both
    one = sight.watch.registry.copies[st.job_id("web", 1)]
    one.seen = -100.0
    assert ready(2.0) == both  # unknown for a moment
    sight.watch.registry.copies[st.job_id("web", 2)].seen = 30.0
    one.renewed = sight.watch.registry.copies[st.job_id("web", 2)].renewed = 30.0
    assert ready(30.0) == ["10.0.0.2:80"]  # unknown for long
    sight.watch.registry.copies[st.job_id("web", 2)].state = UNHEALTHY
    assert ready(30.5) == ["10.0.0.2:80"]  # nothing better is known
    assert ready(30.5, 1, 2) == []  # both leave


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
    put(app, r.software_key("winch-0"), r.Software(2, "0.3.0", {"rollouts": rc.FORMAT}), 2)
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


def test_copies_register_with_the_leader_for_their_present_attempt() -> None:
    app = node()
    rollouts: Any = app.features[0]
    job = st.job_id("web", 1)
    said = {"service": "web", "job": job, "attempt": 1, "address": "10.0.0.9:80"}
    assert post(app, said)[0] == 404
    put(app, "p/f/rollouts/s/web", st.Service(1, [st.Slot(1, 1, "east")], 1), 4)
    assert post(app, said)[0] == 503  # leads it since a moment ago
    rollouts.watches["web"] = Watch(0.0)
    assert post(app, said)[0] == 404  # its job is not known
    put(app, r.job_key(job), r.JobRecord("open", 1, 1.0, parse(toml(GOOD)).job(job, "east")), 5)
    put(app, r.chunk_key(job, 0), [r.Task("vm-1", 2)], 6)
    assert post(app, said)[0] == 409  # an earlier attempt
    assert post(app, said | {"attempt": 2}) == (200, {"renew_s": rc.RENEW_S, "leave": False})
    assert post(app, said | {"address": "nowhere"})[0] == 400
    put(app, r.software_key("winch-0"), r.Software(2, "0.3.0"), 7)
    assert post(app, said | {"attempt": 2})[0] == 503  # not every node has roll-outs on


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
    assert ask("/services/web/endpoints?after=9")[0] == 200  # no hold: at once
    assert ask("/services/web/endpoints?after=x")[0] == 400
    assert ask("/services/web")[0] == 404
    app.store.fresh_as_of = -60.0
    assert ask("/services/web/endpoints")[0] == 503  # this node's copy is old


def test_records_fit_into_the_smallest_value() -> None:
    app = node()
    interface = app.features[0].interface  # type: ignore[attr-defined]
    d = parse(toml(GOOD | {"copies": rc.MOST_COPIES, "surge": rc.MOST_SURGE}))
    assert interface._largest(d) > 1900  # with addresses at their longest it is refused
    d = parse(toml(GOOD | {"copies": 12, "surge": 2}))
    assert interface._largest(d) <= app.store.limits.value_b


def test_ids_of_copies_follow_from_service_and_serial_and_keep_to_protocol() -> None:
    from pulleydeal.submissions.service import JOB_ID

    found = {st.job_id(name, n) for name in ("web", "api") for n in range(200)}
    assert len(found) == 400 and all(JOB_ID.match(x) and len(x) == 24 for x in found)
    assert st.job_id("web", 1) == st.job_id("web", 1)


def test_an_entry_of_the_history_fits_whatever_was_seen() -> None:
    service = st.Service(rollouts=3)
    entry = st.entry(1.0, service, "x" * 900, "y" * 9000, ["z" * 900] * 50)
    assert len(msgspec.json.encode(entry)) < 1500 and entry.evidence[-1] == "and 42 more"
