"""A start that waits in a full order queue while its machine changes owners.

Nearly half of the machines hang within their lease and are told to stop their tasks, so orders to
them occupy every slot of the one node that is up. New one-task starts for healthy machines queue
behind these. The other two nodes are back in that moment and the view changes twice: whoever owns
such a machine then asks it, hears that the task never came up, and starts it elsewhere. The start
that still waits must not be carried out after that (docs/incidents/ran-twice-at-size.md, with the
trace in tests/traces/start_after_takeover.txt).
"""

import random
from pathlib import Path

import pytest

from standins.scenario import Scenario, play

HANG_AT_S = 60.0
CANCEL_AT_S = HANG_AT_S + 8.0  # machines that hang give no credit any more, and hold their lease
HUNG_SHARE = 0.45  # below the half of a zone that counts as a cut
BURST_SPACING_S = 0.1


def day(seed: int) -> str:
    rng = random.Random(seed)
    back_s = CANCEL_AT_S + rng.uniform(1.5, 2.2)
    crash_s = HANG_AT_S - 10.0
    lines = [
        "0 features on",
        "0 capacity 16",
        "1 submit j-1 batch 94 900 accelerators=3.0 vcpus=12.0",
        f"{crash_s:.2f} crash winch-2 {back_s - crash_s:.2f}",
        f"{crash_s:.2f} crash winch-1 {back_s + rng.uniform(-0.1, 0.1) - crash_s:.2f}",
        f"{HANG_AT_S:.2f} hang all {rng.uniform(11.5, 13):.2f} {HUNG_SHARE}",
        f"{CANCEL_AT_S:.2f} cancel j-1",
    ]
    at_s, job = back_s - 1.3, 10
    while at_s < back_s + 0.2:
        lines.append(f"{at_s:.2f} submit j-{job} batch 3 30")
        at_s, job = at_s + BURST_SPACING_S, job + 1
    lines.append(f"{HANG_AT_S + 30:.2f} poll j-10")
    return "\n".join(lines) + "\n"


def played(seed: int, folder: Path) -> Scenario:
    path = folder / "day.txt"
    path.write_text(day(seed))
    return play(path, seed)


@pytest.mark.parametrize("seed", [5, 12])
def test_a_queued_start_ends_with_the_tenure_it_was_planned_in(seed: int, tmp_path: Path) -> None:
    scenario = played(seed, tmp_path)
    assert scenario.rules.broken == []
    assert scenario.failures == []
    assert scenario.rules.starts >= 130
