"""Routing for the operators' interface: path patterns, query parameters, paging and errors."""

import heapq
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from pulleydeal.features import constants as fc
from pulleydeal.http import Response, json_response


class ApiError(Exception):
    """An error response: HTTP status, machine-readable code and human-readable message."""

    def __init__(
        self, status: int, code: str, message: str, retry_after: int | None = None
    ) -> None:
        super().__init__(message)
        self.status, self.code, self.message = status, code, message
        self.retry_after = retry_after

    def answer(self, request_id: str) -> Response:
        error = {"code": self.code, "message": self.message, "request": request_id}
        return json_response(self.status, {"error": error}, self.retry_after)


@dataclass(slots=True)
class RoutedRequest:
    """A request matched to a route."""

    params: dict[str, str]  # from the path
    query: dict[str, str]
    body: bytes
    id: str  # request id, for the logs

    def int_param(self, name: str, default: int, most: int) -> int:
        """An integer query parameter from 1 to `most`. Raises ApiError 400 for anything else."""
        raw = self.query.get(name)
        if raw is None:
            return default
        if not raw.isascii() or not raw.isdigit() or not 1 <= int(raw[:9]) <= most:
            raise ApiError(400, "bad_query", f"{name} must be a whole number from 1 to {most}")
        return int(raw)

    def choice_param(self, name: str, allowed: tuple[str, ...], default: str) -> str:
        value = self.query.get(name, default)
        if value not in allowed:
            raise ApiError(400, "bad_query", f"{name} must be one of {', '.join(allowed)}")
        return value


Handler = Callable[[RoutedRequest], Awaitable[Any]]  # the result is sent as JSON with status 200


@dataclass(slots=True, frozen=True)
class Route:
    method: str
    pattern: str  # as "/v1/jobs/{job}": a name in braces matches one segment
    summary: str  # one line, shown to operators
    handler: Handler
    query: tuple[str, ...] = ()  # accepted query parameters; others are rejected

    def match(self, segments: list[str]) -> dict[str, str] | None:
        pattern = self.pattern.strip("/").split("/")
        if len(pattern) != len(segments):
            return None
        params = {}
        for expected, segment in zip(pattern, segments, strict=True):
            if expected.startswith("{"):
                params[expected.strip("{}")] = unquote(segment)
            elif expected != segment:
                return None
        return params


@dataclass(slots=True)
class RouteTable:
    routes: list[Route] = field(default_factory=list)

    def find(
        self, method: str, target: str, body: bytes, request_id: str
    ) -> tuple[Route, RoutedRequest]:
        """The matching route. Raises ApiError 404, 405 or 400 if there is none."""
        url = urlsplit(target)
        segments = url.path.strip("/").split("/")
        other_methods = []
        for route in self.routes:
            params = route.match(segments)
            if params is None:
                continue
            if route.method != method:
                other_methods.append(route.method)
                continue
            query = {k: v[-1] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            for name in query:
                if name not in route.query:
                    known = ", ".join(route.query) or "nothing"
                    raise ApiError(400, "bad_query", f"no query {name!r} here; it takes {known}")
            return route, RoutedRequest(params, query, body, request_id)
        if other_methods:
            raise ApiError(405, "wrong_method", f"only {', '.join(sorted(set(other_methods)))}")
        raise ApiError(404, "no_such_path", f"nothing is served at {url.path}; GET /v1 lists all")


def paginate(
    request: RoutedRequest, names: Iterable[str], shown: Callable[[str], Any]
) -> dict[str, Any]:
    """One page of items in order of name, starting behind the query's `after`.

    `next` is the value of `after` for the following page, or None.
    """
    limit = request.int_param("limit", fc.DEFAULT_PAGE_SIZE, fc.MAX_PAGE_SIZE)
    after = request.query.get("after", "")
    selected = heapq.nsmallest(limit + 1, (name for name in names if name > after))
    has_more = len(selected) > limit
    selected = selected[:limit]
    return {"items": [shown(name) for name in selected], "next": selected[-1] if has_more else None}
