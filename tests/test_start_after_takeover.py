"""A start that waits in a full order queue while its machine changes owners.

The day is drawn by `experiments/takeover.py`. Whoever owns a machine after the change asks it,
hears that the task never came up, and starts it elsewhere; the start that still waits must not be
carried out after that (docs/incidents/ran-twice-at-size.md, with the trace in
tests/traces/start_after_takeover.txt).
"""

import pytest

from experiments.takeover import played


@pytest.mark.parametrize("seed", [5, 12])
def test_a_queued_start_ends_with_the_tenure_it_was_planned_in(seed: int) -> None:
    scenario = played(seed)
    assert scenario.rules.broken == []
    assert scenario.failures == []
    assert scenario.rules.starts >= 130
