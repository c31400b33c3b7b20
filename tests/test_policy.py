"""Policy expressions: evaluation, static checks, and the fallback when one fails at run time."""

import logging
from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.cli import main
from pulleydeal.policy.settings import SETTINGS, Policy, check, load

FLEET = {"machines": 10.0, "waiting_tasks": 4.0}
MACHINE = FLEET | {"spot": True, "zone": "east", "price": 2.0, "boot_s": 45.0}


def value(line: str, **given: object) -> float:
    policy, faults = check(line)
    assert faults == []
    return policy.value(line.partition("=")[0].strip(), given)  # type: ignore[arg-type]


def test_expressions_determine_values() -> None:
    assert value("idle_stay_s = 90", **MACHINE) == 90.0
    assert value("idle_stay_s = 2 * boot_s if not spot else 20", **MACHINE) == 20.0
    assert value("idle_stay_s = max(20, boot_s - 10) if zone == 'east' else 30", **MACHINE) == 35.0
    assert value("spare_machines = min(5, ceil(machines / 4))", **FLEET) == 3.0
    assert (
        value("spot_discount = 0.5 if price - spot_price > 3 else 0", price=9, spot_price=3) == 0.5
    )
    assert value("order = waiting_work_s if age_s < 30 and waiting_tasks > 1 else 0",
                 waiting_work_s=80.0, age_s=3.0, waiting_tasks=2.0) == 80.0  # fmt: skip


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("idle_stay_s = boots", "1:15: unknown name 'boots'"),
        ("idle_stay_s = 40 if spot else  price", "1:15: is money, where seconds"),
        ("idle_stay_s = boot_s + price", "1:15: money and seconds can't be combined"),
        ("idle_stay_s = machines", "1:15: is a number, where seconds is needed"),
        ("idle_stay_s = 2", "1:15: 2 is outside 5 to 3600"),
        ("idle_stay_s = 1 / 0", "1:15: fails"),
        ("idle_stay_s = boot_s * boot_s", "1:15: no unit is defined"),
        ("idle_stay_s = zone < 'b'", "1:15: a name has no order"),
        ("idle_stay_s = spot", "1:15: is yes or no"),
        ("idle_stay_s = boot_s ** 2", "1:15: of arithmetic operators, only"),
        ("idle_stay_s = boot_s.real", "1:15: attribute is not part"),
        ("idle_stay_s = [boot_s][0]", "1:15: subscript is not part"),
        ("idle_stay_s = (lambda: 9)()", "1:15: the only supported calls are"),
        ("idle_stay_s = open('x')", "1:15: the only supported calls are"),
        ("idle_stay_s = 40 +", "not an expression"),
        ("idle_stay_s = 1e300", "1:15: neither a number"),
        ("idle_stay_s = " + "-" * (c.EXPRESSION_DEPTH + 1) + "40", "nested deeper"),
        ("idle_stay_s = " + "1 + " * c.EXPRESSION_CHARS + "1", "longer than"),
        ("\n  lease_s = 9", "2:1: nothing uses 'lease_s'"),
        ("spare_machines = 1\nspare_machines = 2", "2:1: spare_machines is set twice"),
        ("spare_machines: 1", "1:1: not `name = expression`"),
    ],
)
def test_the_checker_reports_line_column_and_fault(line: str, fault: str) -> None:
    _, faults = check(line)
    assert len(faults) == 1 and (fault in faults[0])


def test_a_failing_expression_uses_the_default_and_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    policy, faults = check("idle_stay_s = boot_s / (machines - 10)\nspare_machines = machines * 9")
    assert faults == []
    with caplog.at_level(logging.ERROR):
        for _ in range(3):
            assert policy.value("idle_stay_s", MACHINE) == c.IDLE_RETURN_S
            assert policy.value("spare_machines", FLEET) == 0.0
    assert len(caplog.records) == 2


def test_a_missing_file_means_the_defaults_and_an_invalid_one_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    policy = load(tmp_path / "none.txt")
    assert all(
        policy.value(name, {}) == (s.default or 0.0) and not policy.has_expression(name)
        for name, s in SETTINGS.items()
    )
    assert isinstance(policy, Policy)
    path = tmp_path / "policy.txt"
    path.write_text("# ours\nidle_stay_s = 9 9\nspare_machines = machines / 2\n")
    assert main(["policy", str(path)]) == 2
    assert f"{path}:2:" in capsys.readouterr().err
    path.write_text("idle_stay_s = 99\n")
    assert main(["policy", str(path)]) == 0
