"""What an owner may conclude from answers to orders that it does not understand.

An order may have been carried out whatever came back, but for a refusal (409). Until a newer report
shows what became of its starts, none of them may be taken for absent (docs/incidents/
ran-twice-at-size.md, hypothesis H2).
"""

from typing import Any

import msgspec

from pulleydeal.http import Request, Response, answer
from tests.test_commands import nothing, play_order


def of_another_machine() -> Response:
    body = {
        "block": "vm-2",
        "addr": "10.1.0.1:9000",
        "rig_model": "t4",
        "yard": "east",
        "loaners": False,
        "shift": 1,
        "tally": 9,
        "whistle": 3 << 24,
        "lifts": [],
    }
    return Response(200, msgspec.json.encode(body))


ANSWERS = {
    "200 and nonsense": lambda: Response(200, b"[[["),
    "200 and another machine's report": of_another_machine,
    "500": lambda: answer(500, {"error": "internal"}),
}


class Odd:
    def __init__(self, name: str) -> None:
        self.name = name
        self.bodies: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(request.body)
        return ANSWERS[self.name]()


def test_a_start_is_not_taken_for_absent_by_an_answer_that_was_not_understood() -> None:
    plans = []

    def plan(slice_: Any) -> None:
        # Of a node that only knows what the machine said before the order.
        plans.append(slice_._plan(slice_.stations["vm-1"]))

    for name in ANSWERS:
        machine = Odd(name)
        play_order(nothing, machine, last=plan)
        assert len(machine.bodies) == 1
    assert [(plan.exits, plan.runs) for plan in plans] == [([], [])] * len(ANSWERS)
