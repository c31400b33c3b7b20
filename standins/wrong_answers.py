"""Wrong answers of a machine to an order, although it is reachable and keeps working.

PROTOCOL allows 200 and 409 with the machine's report, and 400. A proxy, a fault in the worker's
software or a truncated connection can produce other answers, from which the controller can't tell
whether the commands were executed.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from pulleydeal.http import Response, json_response


@dataclass(frozen=True, slots=True)
class WrongAnswer:
    executes: bool  # whether the commands of the order are executed
    corrupt: Callable[[Response], Response]  # turns the right answer into the wrong one


def _nonsense(correct: Response) -> Response:
    return Response(correct.status, b"[[[")


def _cut_off(correct: Response) -> Response:
    return Response(correct.status, correct.body[: len(correct.body) // 2])


def _of_another_machine(correct: Response) -> Response:
    return json_response(correct.status, json.loads(correct.body) | {"block": "vm-999999"})


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
    """Decides at random which orders one machine answers wrongly, and in which way."""

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(seed)
        self.share = 0.0
        self.ways = list(WRONG_ANSWERS)
        self.given = 0

    def draw(self) -> WrongAnswer | None:
        """The wrong answer to give to the next order; None: the right one."""
        if self.share <= 0.0 or self._rng.random() >= self.share:
            return None
        self.given += 1
        return WRONG_ANSWERS[self._rng.choice(self.ways)]
