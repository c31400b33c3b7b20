"""The operators' file: `name = expression` a line, checked as a whole before anything runs.

No setting touches a safety rule: they say what is rented, how long it stays, and who goes first
among equals. Whatever an expression does at run time, its result is held to the setting's range.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from pulleydeal import constants as c
from pulleydeal.policy.language import (
    ANY,
    BOOL,
    MONEY,
    NAME,
    PLAIN,
    SECONDS,
    ExpressionError,
    Typed,
    Value,
    parse,
)

log = logging.getLogger("pulleydeal.policy")

_FLEET = {"machines": PLAIN, "waiting_tasks": PLAIN}
_MACHINE = _FLEET | {"spot": BOOL, "zone": NAME, "price": MONEY, "boot_s": SECONDS}
_PRICES = {"price": MONEY, "spot_price": MONEY}
_JOB = {
    "kind": NAME,
    "job_class": NAME,
    "team": NAME,
    "age_s": SECONDS,
    "estimate_s": SECONDS,
    "waiting_work_s": SECONDS,
    "waiting_tasks": PLAIN,
}


@dataclass(slots=True, frozen=True)
class Setting:
    """What may be decided: its unit, its range, what it may depend on, and the default."""

    unit: str
    least: float
    most: float
    variables: Mapping[str, str]
    default: float | None  # None: what the design does by itself


SETTINGS = {
    "idle_stay_s": Setting(SECONDS, 5.0, 3600.0, _MACHINE, c.IDLE_RETURN_S),
    "spare_machines": Setting(PLAIN, 0.0, 50.0, _FLEET, 0.0),
    "spot_discount": Setting(PLAIN, 0.0, 1.0, _PRICES, c.SPOT_DISCOUNT),
    "order": Setting(SECONDS, 0.0, 1e9, _JOB, None),
}


class PolicyError(Exception):
    """The file can't be used; the text has all faults, each with line and column."""


class Policy:
    def __init__(self, expressions: Mapping[str, Typed] | None = None) -> None:
        self._expressions = dict(expressions or {})
        self._complained: set[str] = set()

    def decides(self, name: str) -> bool:
        return name in self._expressions

    def value(self, name: str, given: Mapping[str, Value]) -> float:
        """What the expression gives, or the default when it gives nothing usable."""
        setting = SETTINGS[name]
        fallback = setting.default if setting.default is not None else 0.0
        expression = self._expressions.get(name)
        if expression is None:
            return fallback
        try:
            result = float(expression.run(given))
        except (ArithmeticError, ValueError) as error:
            return self._fall_back(name, f"fails: {error}", fallback)
        if not setting.least <= result <= setting.most:
            wrong = f"gives {result:g}, outside {setting.least:g} to {setting.most:g}"
            return self._fall_back(name, wrong, fallback)
        return result

    def _fall_back(self, name: str, wrong: str, fallback: float) -> float:
        if name not in self._complained:
            self._complained.add(name)
            log.error("setting %s %s: %g is used instead", name, wrong, fallback)
        return fallback


def check(text: str) -> tuple[Policy, list[str]]:
    """The policy and its faults, as `line:column: what is wrong`."""
    found: dict[str, Typed] = {}
    faults: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        code = line.partition("#")[0]
        if not code.strip():
            continue
        name, sign, expression = code.partition("=")
        if not sign or not name.strip().isidentifier():
            faults.append(f"{number}:1: not `name = expression`")
            continue
        name = name.strip()
        if name not in SETTINGS:
            faults.append(f"{number}:1: nothing uses {name!r}; there are {', '.join(SETTINGS)}")
            continue
        if name in found:
            faults.append(f"{number}:1: {name} is set twice")
            continue
        indent = len(code) - len(expression.lstrip())
        try:
            found[name] = _expression(expression.strip(), SETTINGS[name])
        except ExpressionError as error:
            faults.append(f"{number}:{indent + error.column}: {error}")
    return Policy(found), faults


def _expression(text: str, setting: Setting) -> Typed:
    typed = parse(text, setting.variables)
    if typed.type not in (setting.unit, ANY):
        raise ExpressionError(1, f"is {typed.type}, where {setting.unit} is needed")
    if not typed.names:
        try:
            result = float(typed.run({}))
        except ArithmeticError as error:
            raise ExpressionError(1, f"fails: {error}") from error
        if not setting.least <= result <= setting.most:
            wrong = f"{result:g} is outside {setting.least:g} to {setting.most:g}"
            raise ExpressionError(1, wrong)
    return typed


def load(path: Path) -> Policy:
    """The operators' file; one that is not there means the defaults."""
    try:
        text = path.read_text()
    except FileNotFoundError:
        return Policy()
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: {error}") from error
    policy, faults = check(text)
    if faults:
        raise PolicyError("\n".join(f"{path}:{fault}" for fault in faults))
    return policy
