"""A route table that features add to: patterns, parameters, pages and errors in one way."""

import heapq
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from pulleydeal.features import constants as fc
from pulleydeal.http import Response, answer


class Problem(Exception):
    """A request that can't be served: a status, a code for programs, a sentence for people."""

    def __init__(
        self, status: int, code: str, message: str, retry_after: int | None = None
    ) -> None:
        super().__init__(message)
        self.status, self.code, self.message = status, code, message
        self.retry_after = retry_after

    def answer(self, request_id: str) -> Response:
        error = {"code": self.code, "message": self.message, "request": request_id}
        return answer(self.status, {"error": error}, self.retry_after)


@dataclass(slots=True)
class Asked:
    """A request that found its route."""

    params: dict[str, str]  # from the path
    query: dict[str, str]
    body: bytes
    id: str  # of the request, for the logs

    def count(self, name: str, default: int, most: int) -> int:
        """A whole number of the query between 1 and `most`; Problem 400 for anything else."""
        raw = self.query.get(name)
        if raw is None:
            return default
        if not raw.isascii() or not raw.isdigit() or not 1 <= int(raw[:9]) <= most:
            raise Problem(400, "bad_query", f"{name} must be a whole number from 1 to {most}")
        return int(raw)

    def choice(self, name: str, allowed: tuple[str, ...], default: str) -> str:
        value = self.query.get(name, default)
        if value not in allowed:
            raise Problem(400, "bad_query", f"{name} must be one of {', '.join(allowed)}")
        return value


Handler = Callable[[Asked], Awaitable[Any]]  # what it returns is answered as JSON with 200


@dataclass(slots=True, frozen=True)
class Route:
    method: str
    pattern: str  # "/v1/jobs/{job}": a name in braces takes one segment
    does: str  # one line, shown to operators
    handler: Handler
    query: tuple[str, ...] = ()  # names that it takes; others are refused

    def match(self, segments: list[str]) -> dict[str, str] | None:
        mine = self.pattern.strip("/").split("/")
        if len(mine) != len(segments):
            return None
        params = {}
        for want, found in zip(mine, segments, strict=True):
            if want.startswith("{"):
                params[want.strip("{}")] = unquote(found)
            elif want != found:
                return None
        return params


@dataclass(slots=True)
class Table:
    routes: list[Route] = field(default_factory=list)

    def find(self, method: str, target: str, body: bytes, request_id: str) -> tuple[Route, Asked]:
        """The route of a request; Problem 404, 405 or 400 if there is none."""
        url = urlsplit(target)
        segments = url.path.strip("/").split("/")
        others = []
        for route in self.routes:
            params = route.match(segments)
            if params is None:
                continue
            if route.method != method:
                others.append(route.method)
                continue
            query = {k: v[-1] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            for name in query:
                if name not in route.query:
                    known = ", ".join(route.query) or "nothing"
                    raise Problem(400, "bad_query", f"no query {name!r} here; it takes {known}")
            return route, Asked(params, query, body, request_id)
        if others:
            raise Problem(405, "wrong_method", f"only {', '.join(sorted(set(others)))}")
        raise Problem(404, "no_such_path", f"nothing is served at {url.path}; GET /v1 lists all")


def page(asked: Asked, names: Iterable[str], shown: Callable[[str], Any]) -> dict[str, Any]:
    """Items in the order of their names, after `after`; `next` is what to ask with for more."""
    limit = asked.count("limit", fc.PAGE, fc.PAGE_MOST)
    after = asked.query.get("after", "")
    found = heapq.nsmallest(limit + 1, (name for name in names if name > after))
    more = len(found) > limit
    found = found[:limit]
    return {"items": [shown(name) for name in found], "next": found[-1] if more else None}
