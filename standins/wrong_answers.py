"""Ways in which a machine answers an order wrongly, though it is reached and goes on working.

PROTOCOL knows 200 and 409 with the machine's report, and 400. A proxy between, a fault in the
worker's software or a connection that ends early give others; whether the commands were executed
then can't be told from the answer.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from pulleydeal.http import Response, json_response


@dataclass(frozen=True, slots=True)
class WrongAnswer:
    executes: bool  # whether the order's commands are carried out
    spoil: Callable[[Response], Response]  # makes the wrong answer of the right one


def _nonsense(right: Response) -> Response:
    return Response(right.status, b"[[[")


def _cut_off(right: Response) -> Response:
    return Response(right.status, right.body[: len(right.body) // 2])


def _of_another_machine(right: Response) -> Response:
    return json_response(right.status, json.loads(right.body) | {"block": "vm-999999"})


def _refused_with_nonsense(_: Response) -> Response:
    return Response(409, b"<html>Conflict</html>")


def _failed(_: Response) -> Response:
    return json_response(500, {"error": "internal"})


WRONG_ANSWERS = {
    "nonsense": WrongAnswer(True, _nonsense),
    "cut_off": WrongAnswer(True, _cut_off),
    "another_machine": WrongAnswer(True, _of_another_machine),
    "refused_with_nonsense": WrongAnswer(True, _refused_with_nonsense),
    "failed_after": WrongAnswer(True, _failed),
    "failed_before": WrongAnswer(False, _failed),
}


class WrongAnswers:
    """How often, and in which of these ways, one machine answers orders wrongly."""

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(seed)
        self.share = 0.0
        self.ways = list(WRONG_ANSWERS)
        self.given = 0

    def draw(self) -> WrongAnswer | None:
        """Of the order that is answered next; None: it is answered as it should be."""
        if self.share <= 0.0 or self._rng.random() >= self.share:
            return None
        self.given += 1
        return WRONG_ANSWERS[self._rng.choice(self.ways)]
