"""Jobs of a cron line count towards a team's usage like the same jobs submitted directly."""

from pathlib import Path

from standins.scenario import Scenario, play

# `*/2 * * * *` fires at 40 s, 160 s and 280 s of the scenarios' time.
TABLE = "*/2 * * * * a gang of two\n"
CRON = """
0    features on
0    capacity 4
5    cron office {file} kind=gang tasks=2 gpus=1.0 run_s=20.0 team=small one_zone=true
330  fired 3
"""
DIRECT = """
0    features on
0    capacity 4
40   submit j-1 gang 2 20 {more}
160  submit j-2 gang 2 20 {more}
280  submit j-3 gang 2 20 {more}
330  expect j-3 done
"""
SPEC = "rig=cron crew=small urgency=standard vcpus=1.0 ram_gb=1.0 spread=false belay_s=0 stow_s=0"


def usage(path: Path) -> list[float]:
    """Returns the accelerators in use by the team at each change, from the attempts that ran."""
    scenario: Scenario = play(path, 1)
    assert scenario.failures == [] and scenario.rules.broken == []
    return scenario.rules.usage["small"]


def test_usage_equals_that_of_the_same_jobs_submitted_directly(tmp_path: Path) -> None:
    (tmp_path / "table.txt").write_text(TABLE)
    (tmp_path / "lines.txt").write_text(CRON.format(file=tmp_path / "table.txt"))
    (tmp_path / "native.txt").write_text(DIRECT.format(more=SPEC))
    cron, direct = usage(tmp_path / "lines.txt"), usage(tmp_path / "native.txt")
    assert cron == direct == [1.0, 2.0, 1.0, 0.0] * 3
