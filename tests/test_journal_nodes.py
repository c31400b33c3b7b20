"""Whole simulated nodes with the journal on: restarts, combined faults, late commits, turning it
off again."""

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from experiments import meetings, restarts
from standins.scenario import Scenario, play
from standins.state import StateService


def count_writes(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    found: Counter[str] = Counter()
    apply = StateService._apply

    def counting_apply(self: StateService, changes: list[dict[str, Any]]) -> None:
        for change in changes:
            key = str(change.get("set", ""))
            found["values"] += key.startswith("p/l/")
            found["facts"] += len(change["data"]) if key.startswith("p/l/") else 0
            found["chunks"] += key.startswith("p/c/")
        apply(self, changes)

    monkeypatch.setattr(StateService, "_apply", counting_apply)
    return found


def play_scenario(folder: Path, text: str, seed: int) -> Scenario:
    path = folder / "day.txt"
    path.write_text("0.00 journal on\n" + text)
    return play(path, seed)


@pytest.mark.parametrize("seed", range(20, 26))
def test_invariants_hold_while_nodes_and_machines_restart(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Combined with network cuts, outages, and delayed or repeated commits."""
    found = count_writes(monkeypatch)
    day = play_scenario(tmp_path, restarts.scenario(seed), seed)
    assert not day.rules.broken and not day.failures
    assert found["facts"] > 20 and found["values"], found  # services are not journaled
    left = [key for key in day.state.keys if key.startswith("p/l/")]
    assert len(left) < found["values"] / 4, left  # values without live facts are deleted


@pytest.mark.parametrize("seed", range(30, 36))
def test_invariants_hold_under_combined_faults(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Late transactions, owners that lost sight of machines, cancellations, frozen nodes and
    machines."""
    found = count_writes(monkeypatch)
    day = play_scenario(tmp_path, meetings.scenario(seed), seed)
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
def test_unanswered_appends_while_nodes_crash_and_zones_are_cut(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = count_writes(monkeypatch)
    day = play_scenario(tmp_path, LATE_COMMITS.lstrip(), seed)
    assert not day.rules.broken and not day.failures
    assert found["facts"] > 30, found


def test_with_the_journal_off_on_one_node_new_jobs_are_not_journaled_and_old_ones_finish(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One node restarts with the journal off while the others go on writing journals."""
    found = count_writes(monkeypatch)
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
    day = play_scenario(tmp_path, text.lstrip(), 3)
    assert not day.rules.broken and not day.failures
    assert found["facts"] and found["chunks"], found
    jobs = {k: v[0]["status"] for k, v in day.state.keys.items() if k.startswith("p/j/")}
    assert set(jobs.values()) == {"done"}, json.dumps(jobs)
    assert not [key for key in day.state.keys if key.startswith("p/l/")]
