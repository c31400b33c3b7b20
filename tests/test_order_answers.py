"""What an owner may conclude from invalid answers to orders.

Unless it was refused (409), an order may have been executed whatever the answer was. Until a newer
report shows the outcome, none of its starts may be taken for absent (docs/incidents/
ran-twice-at-size.md, hypothesis H2).
"""

from typing import Any

import msgspec

from pulleydeal.http import Request, Response, json_response
from tests.test_commands import no_change, run_order


def report_of_another_machine() -> Response:
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
    "200 and another machine's report": report_of_another_machine,
    "500": lambda: json_response(500, {"error": "internal"}),
}


class InvalidAnswers:
    def __init__(self, name: str) -> None:
        self.name = name
        self.bodies: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(request.body)
        return ANSWERS[self.name]()


def test_invalid_answer_does_not_prove_a_start_absent() -> None:
    plans = []

    def plan(workers: Any) -> None:
        # The node only has the machine's report from before the order.
        plans.append(workers._plan(workers.machines["vm-1"]))

    for name in ANSWERS:
        machine = InvalidAnswers(name)
        run_order(no_change, machine, at_end=plan)
        assert len(machine.bodies) == 1
    assert [(plan.exits, plan.runs) for plan in plans] == [([], [])] * len(ANSWERS)
