"""Serves the operators' interface; on loopback only, as it does not authenticate callers."""

import itertools
import logging
import secrets
from collections.abc import Callable
from typing import Any

from pulleydeal import __version__, logs
from pulleydeal.features import constants as fc
from pulleydeal.features.context import Handler, NodeContext, Step
from pulleydeal.features.routes import ApiError, Route, RoutedRequest, RouteTable, paginate
from pulleydeal.features.settings import Features
from pulleydeal.http import Request, Response, Server, json_response
from pulleydeal.operators import constants as oc
from pulleydeal.store import records as r
from pulleydeal.store.job import Job
from pulleydeal.store.reasons import reason_text
from pulleydeal.submissions.messages import as_submission

log = logging.getLogger("pulleydeal.operators")
STATES = ("open", "done", "cancelled", "all")
_RETIRED_STATES: dict[str, tuple[r.Status, ...]] = {
    "open": (),
    "done": ("done",),
    "cancelled": ("cancelled",),
    "all": ("done", "cancelled"),
}


class Operators:
    """The operators' interface: serves the routes of all enabled features."""

    def __init__(
        self, features: Features, node: NodeContext, routes: Callable[[], list[Route]]
    ) -> None:
        assert features.operators is not None
        self._listen = features.operators.listen
        self._enabled = features.enabled()
        self._service = node
        self._replica = node.replica
        self._collect_routes = routes
        self._table = RouteTable()
        self._run_id = secrets.token_hex(3)
        self._request_numbers = itertools.count(1)
        self._server = Server(self.handle, oc.CONNECTIONS)

    def loops(self) -> dict[str, Step]:
        return {}

    def paths(self) -> dict[str, Handler]:
        return {}

    def routes(self) -> list[Route]:
        paging = ("after", "limit")
        return [
            Route("GET", "/v1", "all that can be asked here", self._index),
            Route("GET", "/v1/node", "this node, its view and its features", self._node),
            Route("GET", "/v1/jobs", "jobs in the order of ids", self._jobs, (*paging, "state")),
            Route("GET", "/v1/jobs/{job}", "a job with its tasks' places", self._job),
            Route(
                "GET",
                "/v1/jobs/{job}/description",
                "as its user would submit it",
                self._description,
            ),
            Route("GET", "/v1/machines", "machines with what is bound", self._machines, paging),
            Route("GET", "/v1/teams", "teams, limits and what they use", self._teams),
        ]

    async def start(self) -> None:
        self._table = RouteTable(self._collect_routes())
        await self._server.start(self._listen)
        log.info(
            "operators' interface listening on %s", self._listen, extra={"feature": "operators"}
        )

    async def handle(self, request: Request) -> Response:
        request_id = f"{self._run_id}-{next(self._request_numbers)}"
        with logs.request(request_id):
            try:
                route, routed_request = self._table.find(
                    request.method, request.path, request.body, request_id
                )
                reply = json_response(200, await route.handler(routed_request))
            except ApiError as error:
                log.info("%s %s: %s", request.method, request.path, error.message)
                reply = error.answer(request_id)
        reply.headers.append(("X-Request-Id", request_id))
        return reply

    # --- routes that every node serves ------------------------------------------------------
    async def _index(self, request: RoutedRequest) -> Any:
        return {
            "routes": [
                {"method": x.method, "path": x.pattern, "query": list(x.query), "does": x.summary}
                for x in self._table.routes
            ]
        }

    def _require_replica(self) -> None:
        if not self._replica.loaded:
            raise ApiError(503, "not_ready", "the state is still being read", 1)

    async def _node(self, request: RoutedRequest) -> Any:
        membership = self._service.membership
        return {
            "node": membership.me,
            "version": __version__,
            "ready": self._service.ready(),
            "epoch": membership.epoch,
            "members": sorted(membership.view.members),
            "cut": membership.view.cut,
            "revision": self._replica.revision,
            "features": self._enabled,
            "shown": {
                node: {"format": format_, "features": self._replica.node_features.get(node, {})}
                for node, format_ in sorted(self._replica.node_formats.items())
            },
        }

    async def _jobs(self, request: RoutedRequest) -> Any:
        self._require_replica()
        state = request.choice_param("state", STATES, "open")
        jobs = self._replica.jobs
        in_full = (
            job.id
            for job in jobs.in_full()
            if job.record is not None and state in ("all", _status(job))
        )
        retired = jobs.retired.ids_after(request.query.get("after", ""), _RETIRED_STATES[state])
        names = itertools.chain(in_full, itertools.islice(retired, fc.MAX_PAGE_SIZE + 1))
        return paginate(request, names, lambda name: _summary(jobs[name]))

    async def _job(self, request: RoutedRequest) -> Any:
        self._require_replica()
        job = self._replica.jobs.get(request.params["job"])
        if job is None or job.record is None:
            raise ApiError(404, "no_such_job", f"no job {request.params['job']!r} is known here")
        job = await self._service.store.with_stored_record(job)
        tasks = [
            {"task": index, "machine": task.machine, "attempt": task.attempt}
            for index, task in sorted(job.bindings())[: fc.MAX_PAGE_SIZE]
        ]
        last = {"last_stop": reason_text(job.last_stop_reason)} if job.last_stop_reason else {}
        return _summary(job) | {"bound": tasks} | last

    async def _description(self, request: RoutedRequest) -> Any:
        self._require_replica()
        job = self._replica.jobs.get(request.params["job"])
        if job is None or job.spec is None:
            raise ApiError(
                404, "no_such_job", f"no open job {request.params['job']!r} is known here"
            )
        return as_submission(job.spec)

    async def _machines(self, request: RoutedRequest) -> Any:
        self._require_replica()
        return paginate(request, self._replica.machines, self._machine)

    def _machine(self, name: str) -> dict[str, Any]:
        record = self._replica.machines[name].record
        bound = self._replica.tasks_by_machine.get(name, {})
        return {
            "machine": name,
            "state": record.state,
            "type": record.type,
            "zone": record.zone,
            "spot": record.spot,
            "why": record.why,
            "bound": [f"{job}/{index}" for job, index in sorted(bound)],
        }

    async def _teams(self, request: RoutedRequest) -> Any:
        self._require_replica()
        usage = self._replica.usage()
        return {
            "items": [
                {
                    "team": team.name,
                    "cpus": usage.get(team.name, (0.0, 0.0))[0],
                    "gpus": usage.get(team.name, (0.0, 0.0))[1],
                    "guaranteed": {"cpus": team.cpus, "gpus": team.gpus},
                    "most": {"cpus": team.cpus_max, "gpus": team.gpus_max},
                }
                for team in self._service.teams.values()
            ]
        }


def _status(job: Job) -> str:
    if job.record is None:
        return ""
    return "cancelled" if job.is_cancelled else job.record.state


def _summary(job: Job) -> dict[str, Any]:
    assert job.record is not None
    tasks = job.record.tasks if job.is_record_kept else None
    summary = {"job": job.id, "state": _status(job), "tasks": tasks}
    if job.spec is not None:
        summary |= {"class": job.spec.klass, "team": job.spec.team, "kind": job.spec.kind}
        summary |= {"done": job.done, "running": job.bound}
    return summary
