"""What operators, copies and consumers ask of roll-outs."""

import asyncio
import logging
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from pulleydeal.features.context import Handler
from pulleydeal.features.routes import Asked, Problem, Route, page
from pulleydeal.http import MALFORMED, Request, Response, answer
from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts import registry
from pulleydeal.rollouts import state as st
from pulleydeal.rollouts.description import Description, DescriptionError, fits, parse
from pulleydeal.rollouts.seen import Decision, begin, copy_of
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.limits import TooLarge

if TYPE_CHECKING:
    from pulleydeal.rollouts.service import Rollouts

log = logging.getLogger("pulleydeal.rollouts")
OLD_S = 10.0  # a replica older than this answers no consumer: another node knows better


class Interface:
    def __init__(self, rollouts: "Rollouts") -> None:
        self._all = rollouts
        self._changed: dict[str, asyncio.Event] = {}
        self._held = 0
        rollouts.replica.add_listener(self._on_change)

    def _on_change(self, kind: str, name: str) -> None:
        prefix = "rollouts/e/"
        if kind == "feature" and name.startswith(prefix):
            event = self._changed.pop(name.removeprefix(prefix), None)
            if event is not None:
                event.set()

    def routes(self) -> list[Route]:
        one = "/v1/services/{service}"
        return [
            Route("POST", "/v1/rollouts/check", "checks a description (TOML)", self._check),
            Route("POST", "/v1/rollouts", "starts a roll-out of a description", self._start),
            Route("GET", "/v1/services", "named services", self._list, ("after", "limit")),
            Route("GET", one, "a service: versions, copies, roll-out", self._show),
            Route(
                "GET", f"{one}/history", "what was done and why", self._history, ("after", "limit")
            ),
            Route("GET", f"{one}/endpoints", "its ready copies", self._ready),
            Route("GET", f"{one}/version/{{version}}", "a version's description", self._version),
            Route("POST", f"{one}/pause", "holds a roll-out", self._pause),
            Route("POST", f"{one}/resume", "lets it go on", self._resume),
            Route("POST", f"{one}/abort", "returns to the last good version", self._abort),
            Route("POST", f"{one}/remove", "ends the service and its copies", self._remove),
        ]

    def paths(self) -> dict[str, Handler]:
        return {"copies": self.register, "services": self.consume}

    # --- operators ----------------------------------------------------------------------------
    def _ready_to_write(self) -> None:
        if not self._all.replica.loaded:
            raise Problem(503, "not_ready", "the state is still being read", rc.RETRY_S)
        if not self._all.records.ready:
            without = [
                node
                for node in self._all.node.membership.nodes()
                if not self._all.replica.node_features.get(node, {}).get("rollouts")
            ]
            why = f" ({', '.join(without)} has not)" if without else ""
            text = f"not every node has shown that it has roll-outs on{why}"
            raise Problem(503, "not_everywhere", text, rc.RETRY_S)

    def _described(self, asked: Asked) -> Description:
        node = self._all.node
        try:
            found = parse(asked.body.decode())
        except UnicodeDecodeError as error:
            raise Problem(400, "bad_description", f"not UTF-8: {error}") from error
        except DescriptionError as error:
            raise Problem(400, "bad_description", "\n".join(error.faults)) from error
        if not node.replica.types:
            raise Problem(503, "not_ready", "the machine types are not known yet", rc.RETRY_S)
        faults = fits(found, node.teams, node.replica.types, node.zones)
        size = self._largest(found)
        most = node.store.limits.value_b
        if size > most:
            faults.append(f"copies: the records would take {size} B, of {most} B at most")
        if faults:
            raise Problem(422, "never_runs", "\n".join(faults))
        return found

    def _largest(self, d: Description) -> int:
        """The most that a value of this service will ever take."""
        zone = max([*self._all.node.zones, ""], key=len)
        slot = st.Slot(10**6, 10**4, zone, 1e10 + 0.1, 1e10 + 0.1)
        slots = [slot] * (d.copies + d.surge)
        rollout = st.Rollout(10**5, 10**4, "returning", 9, 1e10 + 0.1, 1e10 + 0.1, True)
        rollout.hold = "x" * 2 * rc.EVIDENCE_CHARS
        service = st.Service(10**4, slots, 10**6, 10**4, 10**5, 10**7, rollout, True)
        endpoint = st.Endpoint("255.255.255.255:65535", st.job_id(d.name, 1), 10**4, zone)
        ready = st.Endpoints([endpoint] * (d.copies + d.surge))
        values: list[object] = [service, ready, st.Version(d, 1e10)]
        return max(len(msgspec.json.encode(value)) for value in values)

    async def _check(self, asked: Asked) -> Any:
        d = self._described(asked)
        steps = ", ".join(str(n) for n in d.wanted)
        says = f"{d.copies} copies in steps of {steps}; never under {d.least} healthy"
        return {"service": d.name, "steps": d.wanted, "floor": d.least, "says": says}

    async def _start(self, asked: Asked) -> Any:
        self._ready_to_write()
        d = self._described(asked)
        key = st.service_name(d.name)
        service = self._all.service(d.name) or st.Service()
        if service.rollout is not None:
            to = service.rollout.to
            text = f"roll-out {service.rollout.number} to version {to} is under way: abort it first"
            raise Problem(409, "under_way", text)
        good = self._all.version(d.name, service.good)
        if good is not None and good.description == d and not service.removed:
            return {"service": d.name, "version": service.good, "says": "serves already"}
        self._fits_old(d, service, good)
        number = service.versions + 1
        wall = self._all.clock.wall()
        decision = begin(service, number, wall)
        decision.service.versions = number
        puts: dict[str, object] = {st.version_name(d.name, number): st.Version(d, wall)}
        drops = self._all.tell(d.name, decision.service, decision, wall, puts)
        puts[key] = decision.service
        used = {x.version for x in service.slots} | {service.good}
        for old in range(max(1, number - 3 * rc.KEPT_VERSIONS), number - rc.KEPT_VERSIONS + 1):
            name = st.version_name(d.name, old)
            if old not in used and self._all.records.mark(name) and len(drops) < rc.AT_ONCE:
                drops.append(name)
        await self._commit({key: self._all.records.mark(key)}, puts, drops)
        return {"service": d.name, "version": number, "rollout": decision.service.rollouts}

    def _fits_old(self, d: Description, service: st.Service, good: st.Version | None) -> None:
        """Where the way back would be shut by the new description, it is said beforehand."""
        if good is not None and good.description.team != d.team:
            raise Problem(
                422,
                "other_team",
                f"team: {service.good} runs as {good.description.team}; a service that changes"
                " its team could not return within both limits: remove it first",
            )

    async def _commit(
        self, marks: dict[str, int], puts: dict[str, object], drops: list[str]
    ) -> None:
        try:
            if await self._all.records.commit(marks, puts, drops):
                return
        except TooLarge as error:
            raise Problem(422, "too_large", str(error)) from error
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            text = "the state service can't be asked"
            raise Problem(503, "unavailable", text, rc.RETRY_S) from error
        raise Problem(409, "moved", "it changed meanwhile: look, and ask again")

    def _known(self, asked: Asked) -> tuple[str, st.Service]:
        name = asked.params["service"]
        if not self._all.replica.loaded:
            raise Problem(503, "not_ready", "the state is still being read", rc.RETRY_S)
        service = self._all.service(name)
        if service is None:
            raise Problem(404, "no_such_service", f"no service {name!r}")
        return name, service

    async def _list(self, asked: Asked) -> Any:
        return page(asked, self._all.names(), self._summary)

    def _summary(self, name: str) -> dict[str, Any]:
        service = self._all.service(name)
        assert service is not None
        ready = len(self._all.endpoints(name).ready)
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

    async def _show(self, asked: Asked) -> Any:
        name, service = self._known(asked)
        found = self._summary(name) | {"leader": self._leader(name)}
        watch = self._all.watches.get(name)
        descriptions = self._all.descriptions(name, service)
        current = service.rollout.to if service.rollout else service.good
        if service.rollout is not None:
            d = descriptions.get(service.rollout.to)
            found["rollout"] = msgspec.to_builtins(service.rollout) | {
                "wanted": d.wanted if d else []
            }
        found["copies"] = [self._copy(name, x) for x in service.slots]
        if watch is not None and current in descriptions:
            world = self._all.see(name, service, watch, descriptions[current])
            for shown, seen in zip(found["copies"], world.copies, strict=True):
                shown |= {"state": seen.state, "why": seen.why, "for_s": round(seen.for_s, 1)}
        return found

    @staticmethod
    def _copy(name: str, slot: st.Slot) -> dict[str, Any]:
        return {
            "copy": slot.serial,
            "version": slot.version,
            "zone": slot.zone,
            "leaving": bool(slot.leaving),
            "job": st.job_id(name, slot.serial),
        }

    def _leader(self, name: str) -> str:
        return self._all.records.leader(name)

    async def _history(self, asked: Asked) -> Any:
        name, _ = self._known(asked)
        prefix = st.entry_name(name, 0)[:-8]
        names = [x.removeprefix(prefix) for x in self._all.records.names(prefix)]

        def shown(number: str) -> Any:
            entry = self._all.records.get(prefix + number, st.Entry)
            return {"number": number} | msgspec.to_builtins(entry)

        return page(asked, names, shown)

    async def _ready(self, asked: Asked) -> Any:
        name, _ = self._known(asked)
        return self._endpoints(name)

    def _endpoints(self, name: str) -> dict[str, Any]:
        ready = self._all.endpoints(name).ready
        return {
            "service": name,
            "revision": self._all.records.mark(st.endpoints_name(name)),
            "ready": [
                {"address": e.address, "job": e.job, "version": e.version, "zone": e.zone}
                for e in ready
            ],
        }

    async def _version(self, asked: Asked) -> Any:
        name, _ = self._known(asked)
        number = asked.params["version"]
        found = self._all.version(name, int(number)) if number.isdigit() else None
        if found is None:
            raise Problem(404, "no_such_version", f"no version {number} of {name} is kept")
        return msgspec.to_builtins(found)

    async def _change(self, asked: Asked, what: str) -> Any:
        self._ready_to_write()
        name, read = self._known(asked)
        service = copy_of(read)
        rollout, wall = service.rollout, self._all.clock.wall()
        if what == "remove":
            if service.removed:
                return self._summary(name)
            last = rollout.to if rollout else service.good
            service.removed, service.good = True, 0
            service.rollout = st.Rollout(service.rollouts, last, "returning", 0, wall, wall)
        elif rollout is None:
            raise Problem(409, "no_rollout", f"no roll-out of {name} is under way")
        elif what == "pause":
            rollout.paused = True
        elif what == "resume":
            if rollout.paused:
                rollout.since, rollout.hold = wall, ""
            rollout.paused = False
        elif what == "abort" and rollout.phase != "returning":
            rollout.phase, rollout.paused, rollout.hold = "returning", False, ""
            rollout.since = wall
        if service == read:
            return self._summary(name)  # it is so already
        decision = Decision(service, f"{what}, asked by an operator")
        if not await self._write(name, read, decision):
            raise Problem(409, "moved", "it changed meanwhile: look, and ask again")
        return self._summary(name)

    async def _write(self, name: str, read: st.Service, decision: Decision) -> bool:
        try:
            return await self._all.carry_out(name, read, decision, None)
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            text = "the state service can't be asked"
            raise Problem(503, "unavailable", text, rc.RETRY_S) from error

    async def _pause(self, asked: Asked) -> Any:
        return await self._change(asked, "pause")

    async def _resume(self, asked: Asked) -> Any:
        return await self._change(asked, "resume")

    async def _abort(self, asked: Asked) -> Any:
        return await self._change(asked, "abort")

    async def _remove(self, asked: Asked) -> Any:
        return await self._change(asked, "remove")

    # --- copies and consumers -----------------------------------------------------------------
    async def register(self, request: Request) -> Response:
        """POST /copies: a copy says where it listens; the leader alone takes it."""
        if request.method != "POST":
            return answer(405, {"error": "only POST"})
        try:
            said = registry.REGISTRATION.decode(request.body)
        except MALFORMED as error:
            return answer(400, {"error": str(error)})
        if not self._all.records.ready:
            return answer(503, {"error": "not ready"}, rc.RETRY_S)
        if not self._all.records.leads(said.service):
            return answer(421, {"leader": self._leader(said.service)})
        service = self._all.service(said.service)
        watch = self._all.watches.get(said.service)
        if service is None:
            return answer(404, {"error": f"no service {said.service!r}"})
        if watch is None:
            return answer(503, {"error": "leads it since a moment ago"}, rc.RETRY_S)
        slots = {st.job_id(said.service, x.serial): x for x in service.slots}
        slot = slots.get(said.job)
        job = self._all.replica.jobs.get(said.job)
        if slot is None or job is None:
            return answer(404, {"error": f"{said.job} is no copy of {said.service}"})
        task = job.task(0)
        if not task.machine or task.attempt != said.attempt:
            return answer(409, {"error": f"attempt {said.attempt} is not the present one"})
        zone = self._all.replica.zone_of.get(task.machine, slot.zone)
        watch.registry.take(said, zone, self._all.clock.now())
        return answer(200, {"renew_s": rc.RENEW_S, "leave": bool(slot.leaving)})

    async def consume(self, request: Request) -> Response:
        """GET /services/NAME/endpoints[?after=REVISION&hold_ms=N]: the ready copies."""
        url = urlsplit(request.path)
        parts = url.path.strip("/").split("/")
        if request.method != "GET" or len(parts) != 3 or parts[2] != "endpoints":
            return answer(404, {"error": "GET /services/NAME/endpoints"})
        name = parts[1]
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        raw_after, raw_hold = query.get("after", "-1"), query.get("hold_ms", "0")
        if not raw_hold.isdecimal() or not raw_after.removeprefix("-").isdecimal():
            return answer(400, {"error": "after and hold_ms are whole numbers"})
        after, hold_s = int(raw_after), min(int(raw_hold), rc.HOLD_MS_MOST) / 1000
        if not self._all.replica.loaded or self._age_s() > OLD_S:
            return answer(503, {"error": "this node's copy is old"}, rc.RETRY_S)
        if self._all.service(name) is None:
            return answer(404, {"error": f"no service {name!r}"})
        until = self._all.clock.now() + hold_s
        while self._endpoints(name)["revision"] <= after:
            left = until - self._all.clock.now()
            if left <= 0:
                break
            if self._held >= rc.HELD_POLLS:
                return answer(503, {"error": "too many polls are held"}, rc.RETRY_S)
            event = self._changed.setdefault(name, asyncio.Event())
            self._held += 1
            try:
                async with asyncio.timeout(left):
                    await event.wait()
            except TimeoutError:
                break
            finally:
                self._held -= 1
        return answer(200, self._endpoints(name))

    def _age_s(self) -> float:
        return self._all.clock.now() - self._all.node.store.fresh_as_of
