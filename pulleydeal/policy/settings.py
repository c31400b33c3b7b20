"""The operators' policy file: one `name = expression` per line, checked as a whole before use.

No setting affects a safety rule: they determine what is rented, how long it is kept, and the order
among jobs of equal rank. At run time a failing expression, or a result outside the setting's range,
is replaced by the default.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from pulleydeal import constants as c
from pulleydeal.policy.language import (
    ANY_UNIT,
    BOOL,
    DIMENSIONLESS,
    MONEY,
    NAME,
    SECONDS,
    ExpressionError,
    TypedExpression,
    Value,
    parse,
)

log = logging.getLogger("pulleydeal.policy")

_FLEET_VARIABLES = {"machines": DIMENSIONLESS, "waiting_tasks": DIMENSIONLESS}
_MACHINE_VARIABLES = _FLEET_VARIABLES | {
    "spot": BOOL,
    "zone": NAME,
    "price": MONEY,
    "boot_s": SECONDS,
}
_PRICE_VARIABLES = {"price": MONEY, "spot_price": MONEY}
_JOB_VARIABLES = {
    "kind": NAME,
    "job_class": NAME,
    "team": NAME,
    "age_s": SECONDS,
    "estimate_s": SECONDS,
    "waiting_work_s": SECONDS,
    "waiting_tasks": DIMENSIONLESS,
}


@dataclass(slots=True, frozen=True)
class Setting:
    """A configurable value: its unit, allowed range, available variables and default."""

    unit: str
    minimum: float
    maximum: float
    variables: Mapping[str, str]
    default: float | None  # None: the built-in behaviour


SETTINGS = {
    "idle_stay_s": Setting(SECONDS, 5.0, 3600.0, _MACHINE_VARIABLES, c.IDLE_RETURN_S),
    "spare_machines": Setting(DIMENSIONLESS, 0.0, 50.0, _FLEET_VARIABLES, 0.0),
    "spot_discount": Setting(DIMENSIONLESS, 0.0, 1.0, _PRICE_VARIABLES, c.SPOT_DISCOUNT),
    "order": Setting(SECONDS, 0.0, 1e9, _JOB_VARIABLES, None),
}


class PolicyError(Exception):
    """The file is invalid; the message lists all faults, each with line and column."""


class Policy:
    """The expressions that the operators set; every other setting has its default."""

    def __init__(self, expressions: Mapping[str, TypedExpression] | None = None) -> None:
        self._expressions = dict(expressions or {})
        self._reported: set[str] = set()

    def has_expression(self, name: str) -> bool:
        """Whether the operators set an expression for this setting."""
        return name in self._expressions

    def value(self, name: str, values: Mapping[str, Value]) -> float:
        """The expression's result, or the default if there is none or it is unusable."""
        setting = SETTINGS[name]
        fallback = setting.default if setting.default is not None else 0.0
        expression = self._expressions.get(name)
        if expression is None:
            return fallback
        try:
            result = float(expression.evaluate(values))
        except (ArithmeticError, ValueError) as error:
            return self._fall_back(name, f"fails: {error}", fallback)
        if not setting.minimum <= result <= setting.maximum:
            reason = f"gives {result:g}, outside {setting.minimum:g} to {setting.maximum:g}"
            return self._fall_back(name, reason, fallback)
        return result

    def _fall_back(self, name: str, reason: str, fallback: float) -> float:
        if name not in self._reported:
            self._reported.add(name)
            log.error("setting %s %s; using %g instead", name, reason, fallback)
        return fallback


def check(text: str) -> tuple[Policy, list[str]]:
    """Parses a policy text. Returns the policy and its faults, as `line:column: reason`."""
    expressions: dict[str, TypedExpression] = {}
    faults: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        code = line.partition("#")[0]
        if not code.strip():
            continue
        name, equals, expression = code.partition("=")
        if not equals or not name.strip().isidentifier():
            faults.append(f"{number}:1: not `name = expression`")
            continue
        name = name.strip()
        if name not in SETTINGS:
            faults.append(f"{number}:1: nothing uses {name!r}; there are {', '.join(SETTINGS)}")
            continue
        if name in expressions:
            faults.append(f"{number}:1: {name} is set twice")
            continue
        indent = len(code) - len(expression.lstrip())
        try:
            expressions[name] = _expression(expression.strip(), SETTINGS[name])
        except ExpressionError as error:
            faults.append(f"{number}:{indent + error.column}: {error}")
    return Policy(expressions), faults


def _expression(text: str, setting: Setting) -> TypedExpression:
    typed = parse(text, setting.variables)
    if typed.type not in (setting.unit, ANY_UNIT):
        raise ExpressionError(1, f"is {typed.type}, where {setting.unit} is needed")
    if not typed.variables:
        try:
            result = float(typed.evaluate({}))
        except ArithmeticError as error:
            raise ExpressionError(1, f"fails: {error}") from error
        if not setting.minimum <= result <= setting.maximum:
            reason = f"{result:g} is outside {setting.minimum:g} to {setting.maximum:g}"
            raise ExpressionError(1, reason)
    return typed


def load(path: Path) -> Policy:
    """Loads the operators' file; a missing file means the defaults. Raises PolicyError."""
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
