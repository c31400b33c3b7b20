"""HTTP interfaces of roll-outs: for operators, for copies, and for consumers of endpoints."""

import asyncio
import logging
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from pulleydeal.features.context import Handler
from pulleydeal.features.routes import ApiError, Route, RoutedRequest, paginate
from pulleydeal.http import DECODE_ERRORS, Request, Response, json_response
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import registry
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.description import Description, DescriptionError, deployment_faults, parse
from pulleydeal.rollouts.model import Decision, begin_rollout, clone_service
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge

if TYPE_CHECKING:
    from pulleydeal.rollouts.service import Rollouts

log = logging.getLogger("pulleydeal.rollouts")
MAX_REPLICA_AGE_S = 10.0  # with an older replica, consumers get 503 and can ask another node


class Interface:
    """Handlers of the routes and paths that roll-outs serve."""

    def __init__(self, rollouts: "Rollouts") -> None:
        self._rollouts = rollouts
        self._change_events: dict[str, asyncio.Event] = {}
        self._held_polls = 0
        rollouts.replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        prefix = "rollouts/e/"
        if kind == "feature" and name.startswith(prefix):
            event = self._change_events.pop(name.removeprefix(prefix), None)
            if event is not None:
                event.set()

    def routes(self) -> list[Route]:
        path = "/v1/services/{service}"
        return [
            Route("POST", "/v1/rollouts/check", "checks a description (TOML)", self._check),
            Route("POST", "/v1/rollouts", "starts a roll-out of a description", self._start),
            Route("GET", "/v1/services", "named services", self._list, ("after", "limit")),
            Route("GET", path, "a service: versions, copies, roll-out", self._show),
            Route(
                "GET",
                f"{path}/history",
                "what was done and why",
                self._history,
                ("after", "limit"),
            ),
            Route("GET", f"{path}/endpoints", "its ready copies", self._show_endpoints),
            Route(
                "GET",
                f"{path}/version/{{version}}",
                "a version's description",
                self._show_version,
            ),
            Route("POST", f"{path}/pause", "holds a roll-out", self._pause),
            Route("POST", f"{path}/resume", "lets it go on", self._resume),
            Route("POST", f"{path}/abort", "returns to the last good version", self._abort),
            Route("POST", f"{path}/remove", "ends the service and its copies", self._remove),
        ]

    def paths(self) -> dict[str, Handler]:
        return {"copies": self.register, "services": self.poll_endpoints}

    # --- operators ----------------------------------------------------------------------------
    def _require_writable(self) -> None:
        """Raises ApiError 503 unless the state is loaded and every node has the feature on."""
        if not self._rollouts.replica.loaded:
            raise ApiError(503, "not_ready", "the state is still being read", rc.RETRY_AFTER_S)
        if not self._rollouts.records.ready:
            missing = [
                node
                for node in self._rollouts.node.membership.nodes()
                if not self._rollouts.replica.node_features.get(node, {}).get("rollouts")
            ]
            why = f" ({', '.join(missing)} has not)" if missing else ""
            text = f"not every node has shown that it has roll-outs on{why}"
            raise ApiError(503, "not_everywhere", text, rc.RETRY_AFTER_S)

    def _parse_description(self, request: RoutedRequest) -> Description:
        """Parses the body and checks it against this deployment; raises ApiError for any fault."""
        node = self._rollouts.node
        try:
            found = parse(request.body.decode())
        except UnicodeDecodeError as error:
            raise ApiError(400, "bad_description", f"not UTF-8: {error}") from error
        except DescriptionError as error:
            raise ApiError(400, "bad_description", "\n".join(error.faults)) from error
        if not node.replica.types:
            raise ApiError(
                503, "not_ready", "the machine types are not known yet", rc.RETRY_AFTER_S
            )
        faults = deployment_faults(found, node.teams, node.replica.types, node.zones)
        size = self._max_record_size_b(found)
        most = node.store.limits.value_b
        if size > most:
            faults.append(f"copies: the records would take {size} B, of {most} B at most")
        if faults:
            raise ApiError(422, "never_runs", "\n".join(faults))
        return found

    def _max_record_size_b(self, d: Description) -> int:
        """Largest encoded size that a service, endpoints or version record of `d` can reach."""
        zone = max([*self._rollouts.node.zones, ""], key=len)
        slot = st.Slot(10**6, 10**4, zone, 1e10 + 0.1, 1e10 + 0.1)
        slots = [slot] * (d.copies + d.surge)
        rollout = st.Rollout(10**5, 10**4, "returning", 9, 1e10 + 0.1, 1e10 + 0.1, True)
        rollout.hold = "x" * 2 * rc.MAX_EVIDENCE_CHARS
        service = st.Service(10**4, slots, 10**6, 10**4, 10**5, 10**7, rollout, True)
        endpoint = st.Endpoint("255.255.255.255:65535", st.job_id(d.name, 1), 10**4, zone)
        ready = st.Endpoints([endpoint] * (d.copies + d.surge))
        values: list[object] = [service, ready, st.Version(d, 1e10)]
        return max(len(msgspec.json.encode(value)) for value in values)

    async def _check(self, request: RoutedRequest) -> Any:
        d = self._parse_description(request)
        steps = ", ".join(str(n) for n in d.step_targets)
        summary = f"{d.copies} copies in steps of {steps}; never under {d.min_healthy} healthy"
        return {"service": d.name, "steps": d.step_targets, "floor": d.min_healthy, "says": summary}

    async def _start(self, request: RoutedRequest) -> Any:
        self._require_writable()
        d = self._parse_description(request)
        key = st.service_record_name(d.name)
        service = self._rollouts.service(d.name) or st.Service()
        if service.rollout is not None:
            to = service.rollout.to
            text = f"roll-out {service.rollout.number} to version {to} is under way: abort it first"
            raise ApiError(409, "under_way", text)
        good = self._rollouts.version(d.name, service.good)
        if good is not None and good.description == d and not service.removed:
            return {"service": d.name, "version": service.good, "says": "serves already"}
        self._check_team(d, service, good)
        number = service.versions + 1
        wall = self._rollouts.clock.wall()
        decision = begin_rollout(service, number, wall)
        decision.service.versions = number
        puts: dict[str, object] = {st.version_record_name(d.name, number): st.Version(d, wall)}
        drops = self._rollouts.add_history_entry(d.name, decision.service, decision, wall, puts)
        puts[key] = decision.service
        used = {x.version for x in service.slots} | {service.good}
        for old in range(max(1, number - 3 * rc.KEPT_VERSIONS), number - rc.KEPT_VERSIONS + 1):
            name = st.version_record_name(d.name, old)
            if (
                old not in used
                and self._rollouts.records.version(name)
                and len(drops) < rc.MAX_BATCH_COPIES
            ):
                drops.append(name)
        await self._commit({key: self._rollouts.records.version(key)}, puts, drops)
        return {"service": d.name, "version": number, "rollout": decision.service.rollouts}

    def _check_team(self, d: Description, service: st.Service, good: st.Version | None) -> None:
        """Rejects a change of team: a roll-back might then exceed the limit of the other team."""
        if good is not None and good.description.team != d.team:
            raise ApiError(
                422,
                "other_team",
                f"team: {service.good} runs as {good.description.team}; a service that changes"
                " its team could not return within both limits: remove it first",
            )

    async def _commit(
        self, read_versions: dict[str, int], puts: dict[str, object], drops: list[str]
    ) -> None:
        try:
            if await self._rollouts.records.commit(read_versions, puts, drops):
                return
        except TooLarge as error:
            raise ApiError(422, "too_large", str(error)) from error
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            text = "the state service can't be asked"
            raise ApiError(503, "unavailable", text, rc.RETRY_AFTER_S) from error
        raise ApiError(409, "moved", "it changed meanwhile: look, and ask again")

    def _find_service(self, request: RoutedRequest) -> tuple[str, st.Service]:
        name = request.params["service"]
        if not self._rollouts.replica.loaded:
            raise ApiError(503, "not_ready", "the state is still being read", rc.RETRY_AFTER_S)
        service = self._rollouts.service(name)
        if service is None:
            raise ApiError(404, "no_such_service", f"no service {name!r}")
        return name, service

    async def _list(self, request: RoutedRequest) -> Any:
        return paginate(request, self._rollouts.names(), self._summary)

    def _summary(self, name: str) -> dict[str, Any]:
        service = self._rollouts.service(name)
        assert service is not None
        ready = len(self._rollouts.endpoints(name).ready)
        state: str = service.rollout.phase if service.rollout else "serving"
        if service.removed:
            state = "removed" if not service.slots else "ending"
        return {
            "service": name,
            "state": state,
            "good": service.good,
            "copies": len(service.slots),
            "ready": ready,
        }

    async def _show(self, request: RoutedRequest) -> Any:
        name, service = self._find_service(request)
        found = self._summary(name) | {"leader": self._leader_of(name)}
        monitor = self._rollouts.monitors.get(name)
        descriptions = self._rollouts.descriptions(name, service)
        current = service.rollout.to if service.rollout else service.good
        if service.rollout is not None:
            d = descriptions.get(service.rollout.to)
            found["rollout"] = msgspec.to_builtins(service.rollout) | {
                "wanted": d.step_targets if d else []
            }
        found["copies"] = [self._copy_row(name, x) for x in service.slots]
        if monitor is not None and current in descriptions:
            observation = self._rollouts.observe(name, service, monitor, descriptions[current])
            for shown, status in zip(found["copies"], observation.copies, strict=True):
                shown |= {
                    "state": status.state,
                    "why": status.reason,
                    "for_s": round(status.in_state_s, 1),
                }
        return found

    @staticmethod
    def _copy_row(name: str, slot: st.Slot) -> dict[str, Any]:
        return {
            "copy": slot.serial,
            "version": slot.version,
            "zone": slot.zone,
            "leaving": bool(slot.leaving),
            "job": st.job_id(name, slot.serial),
        }

    def _leader_of(self, name: str) -> str:
        return self._rollouts.records.leader(name)

    async def _history(self, request: RoutedRequest) -> Any:
        name, _ = self._find_service(request)
        prefix = st.entry_record_name(name, 0)[:-8]
        names = [x.removeprefix(prefix) for x in self._rollouts.records.names(prefix)]

        def shown(number: str) -> Any:
            entry = self._rollouts.records.get(prefix + number, st.Entry)
            return {"number": number} | msgspec.to_builtins(entry)

        return paginate(request, names, shown)

    async def _show_endpoints(self, request: RoutedRequest) -> Any:
        name, _ = self._find_service(request)
        return self._endpoints(name)

    def _endpoints(self, name: str) -> dict[str, Any]:
        ready = self._rollouts.endpoints(name).ready
        return {
            "service": name,
            "revision": self._rollouts.records.version(st.endpoints_record_name(name)),
            "ready": [
                {"address": e.address, "job": e.job, "version": e.version, "zone": e.zone}
                for e in ready
            ],
        }

    async def _show_version(self, request: RoutedRequest) -> Any:
        name, _ = self._find_service(request)
        number = request.params["version"]
        found = self._rollouts.version(name, int(number)) if number.isdigit() else None
        if found is None:
            raise ApiError(404, "no_such_version", f"no version {number} of {name} is kept")
        return msgspec.to_builtins(found)

    async def _apply_command(self, request: RoutedRequest, command: str) -> Any:
        self._require_writable()
        name, base = self._find_service(request)
        service = clone_service(base)
        rollout, wall = service.rollout, self._rollouts.clock.wall()
        if command == "remove":
            if service.removed:
                return self._summary(name)
            last = rollout.to if rollout else service.good
            service.removed, service.good = True, 0
            service.rollout = st.Rollout(service.rollouts, last, "returning", 0, wall, wall)
        elif rollout is None:
            raise ApiError(409, "no_rollout", f"no roll-out of {name} is under way")
        elif command == "pause":
            rollout.paused = True
        elif command == "resume":
            if rollout.paused:
                rollout.since, rollout.hold = wall, ""
            rollout.paused = False
        elif command == "abort" and rollout.phase != "returning":
            rollout.phase, rollout.paused, rollout.hold = "returning", False, ""
            rollout.since = wall
        if service == base:
            return self._summary(name)  # no change is needed
        decision = Decision(service, f"{command}, asked by an operator")
        if not await self._commit_decision(name, base, decision):
            raise ApiError(409, "moved", "it changed meanwhile: look, and ask again")
        return self._summary(name)

    async def _commit_decision(self, name: str, base: st.Service, decision: Decision) -> bool:
        try:
            return await self._rollouts.commit_decision(name, base, decision, None)
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            text = "the state service can't be asked"
            raise ApiError(503, "unavailable", text, rc.RETRY_AFTER_S) from error

    async def _pause(self, request: RoutedRequest) -> Any:
        return await self._apply_command(request, "pause")

    async def _resume(self, request: RoutedRequest) -> Any:
        return await self._apply_command(request, "resume")

    async def _abort(self, request: RoutedRequest) -> Any:
        return await self._apply_command(request, "abort")

    async def _remove(self, request: RoutedRequest) -> Any:
        return await self._apply_command(request, "remove")

    # --- copies and consumers -----------------------------------------------------------------
    async def register(self, request: Request) -> Response:
        """POST /copies: a copy registers or renews its address. Only the leader accepts it."""
        if request.method != "POST":
            return json_response(405, {"error": "only POST"})
        try:
            body = registry.REGISTRATION.decode(request.body)
        except DECODE_ERRORS as error:
            return json_response(400, {"error": str(error)})
        if not self._rollouts.records.ready:
            return json_response(503, {"error": "not ready"}, rc.RETRY_AFTER_S)
        if not self._rollouts.records.leads(body.service):
            return json_response(421, {"leader": self._leader_of(body.service)})
        service = self._rollouts.service(body.service)
        monitor = self._rollouts.monitors.get(body.service)
        if service is None:
            return json_response(404, {"error": f"no service {body.service!r}"})
        if monitor is None:
            return json_response(503, {"error": "leads it since a moment ago"}, rc.RETRY_AFTER_S)
        slots = {st.job_id(body.service, x.serial): x for x in service.slots}
        slot = slots.get(body.job)
        job = self._rollouts.replica.jobs.get(body.job)
        if slot is None or job is None:
            return json_response(404, {"error": f"{body.job} is no copy of {body.service}"})
        task = job.task(0)
        if not task.machine or task.attempt != body.attempt:
            return json_response(409, {"error": f"attempt {body.attempt} is not the present one"})
        zone = self._rollouts.replica.zone_of.get(task.machine, slot.zone)
        monitor.registry.register(body, zone, self._rollouts.clock.now())
        return json_response(200, {"renew_s": rc.REGISTRATION_RENEW_S, "leave": bool(slot.leaving)})

    async def poll_endpoints(self, request: Request) -> Response:
        """GET /services/NAME/endpoints[?after=REVISION&hold_ms=N]: the ready copies.

        A long poll: waits up to `hold_ms` for a revision above `after`.
        """
        url = urlsplit(request.path)
        parts = url.path.strip("/").split("/")
        if request.method != "GET" or len(parts) != 3 or parts[2] != "endpoints":
            return json_response(404, {"error": "GET /services/NAME/endpoints"})
        name = parts[1]
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        raw_after, raw_hold = query.get("after", "-1"), query.get("hold_ms", "0")
        if not raw_hold.isdecimal() or not raw_after.removeprefix("-").isdecimal():
            return json_response(400, {"error": "after and hold_ms are whole numbers"})
        after, hold_s = int(raw_after), min(int(raw_hold), rc.MAX_HOLD_MS) / 1000
        if not self._rollouts.replica.loaded or self._replica_age_s() > MAX_REPLICA_AGE_S:
            return json_response(503, {"error": "this node's copy is old"}, rc.RETRY_AFTER_S)
        if self._rollouts.service(name) is None:
            return json_response(404, {"error": f"no service {name!r}"})
        until = self._rollouts.clock.now() + hold_s
        while self._endpoints(name)["revision"] <= after:
            left = until - self._rollouts.clock.now()
            if left <= 0:
                break
            if self._held_polls >= rc.MAX_HELD_POLLS:
                return json_response(503, {"error": "too many polls are held"}, rc.RETRY_AFTER_S)
            event = self._change_events.setdefault(name, asyncio.Event())
            self._held_polls += 1
            try:
                async with asyncio.timeout(left):
                    await event.wait()
            except TimeoutError:
                break
            finally:
                self._held_polls -= 1
        return json_response(200, self._endpoints(name))

    def _replica_age_s(self) -> float:
        return self._rollouts.clock.now() - self._rollouts.node.store.fresh_as_of
