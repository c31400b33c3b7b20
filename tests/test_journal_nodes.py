"""Whole nodes with the journal on: restarts, meetings of troubles, late commits, the way back."""

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from experiments import meetings, restarts
from standins.scenario import Scenario, play
from standins.state import StateService


def counted(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    found: Counter[str] = Counter()
    apply = StateService._apply

    def counts(self: StateService, changes: list[dict[str, Any]]) -> None:
        for change in changes:
            key = str(change.get("set", ""))
            found["values"] += key.startswith("p/l/")
            found["facts"] += len(change["data"]) if key.startswith("p/l/") else 0
            found["chunks"] += key.startswith("p/c/")
        apply(self, changes)

    monkeypatch.setattr(StateService, "_apply", counts)
    return found


def played(folder: Path, text: str, seed: int) -> Scenario:
    path = folder / "day.txt"
    path.write_text("0.00 journal on\n" + text)
    return play(path, seed)


@pytest.mark.parametrize("seed", range(20, 26))
def test_no_rule_breaks_while_nodes_and_machines_restart(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With cuts, outages, late copies and repeats of commits: several at a time."""
    found = counted(monkeypatch)
    day = played(tmp_path, restarts.scenario(seed), seed)
    assert not day.rules.broken and not day.failures
    assert found["facts"] > 20 and found["values"], found  # services are not journaled
    left = [key for key in day.state.keys if key.startswith("p/l/")]
    assert len(left) < found["values"] / 4, left  # what counts no more is dropped


@pytest.mark.parametrize("seed", range(30, 36))
def test_no_rule_breaks_where_troubles_meet(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Transactions carried out late, blind owners, cancellations, frozen nodes and machines."""
    found = counted(monkeypatch)
    day = played(tmp_path, meetings.scenario(seed), seed)
    assert not day.rules.broken and not day.failures
    assert found["values"], found


LATE_COMMITS = """
1.00 submit j-1 batch 12 20
1.00 submit j-2 gang 4 20
1.50 submit j-3 batch 8 30
2.00 state late 0.3
12.00 crash winch-1 0.2
14.00 submit j-4 gang 3 15
16.00 crash all 0.3
20.00 cut east west
22.00 submit j-5 batch 10 20
24.00 cancel j-3
30.00 state late 0
32.00 heal
160.00 expect j-1 done
160.00 expect j-2 done
160.00 expect j-4 done
160.00 expect j-5 done
"""


@pytest.mark.parametrize("seed", range(5))
def test_appends_without_an_answer_while_nodes_end_and_zones_are_cut(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = counted(monkeypatch)
    day = played(tmp_path, LATE_COMMITS.lstrip(), seed)
    assert not day.rules.broken and not day.failures
    assert found["facts"] > 30, found


def test_switched_off_at_one_node_new_jobs_are_not_journaled_and_old_ones_come_to_their_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The way back: the journal is off at a node that is back, and all others go on writing."""
    found = counted(monkeypatch)
    text = """
1.00 submit j-1 batch 6 40
1.00 submit j-2 gang 3 40
20.00 journal on winch-0 winch-2
20.00 crash winch-1 0.3
26.00 submit j-3 batch 5 10
110.00 expect j-1 done
110.00 expect j-2 done
110.00 expect j-3 done
"""
    day = played(tmp_path, text.lstrip(), 3)
    assert not day.rules.broken and not day.failures
    assert found["facts"] and found["chunks"], found
    jobs = {k: v[0]["status"] for k, v in day.state.keys.items() if k.startswith("p/j/")}
    assert set(jobs.values()) == {"done"}, json.dumps(jobs)
    assert not [key for key in day.state.keys if key.startswith("p/l/")]
