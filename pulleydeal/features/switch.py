"""Starts what is switched on, and imports nothing else."""

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from pulleydeal.features.settings import Features

if TYPE_CHECKING:
    from pulleydeal.app import App
    from pulleydeal.operators.routes import Route

Step = Callable[[], Coroutine[Any, Any, None]]


class Feature(Protocol):
    def loops(self) -> dict[str, Step]:
        """Steps that the node runs for ever, by name."""

    def routes(self) -> "list[Route]":
        """What operators may ask of it."""

    async def start(self) -> None:
        """Called once, before the loops."""


def switched_on(features: Features, app: "App") -> list[Feature]:
    """The features that are on, in the order in which they start."""
    found: list[Feature] = []
    if features.operators is not None:
        from pulleydeal.operators.service import Operators

        found.append(Operators(features, app, lambda: [x for f in found for x in f.routes()]))
    return found
