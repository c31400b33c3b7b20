"""A small expression language over typed variables with units, parsed with the standard `ast`.

It has arithmetic, comparisons, and/or/not, `A if C else B`, and the calls in CALLS, and nothing
else: no loops, no attribute access. A checked expression is compiled into a tree of closures; text
is never passed to `eval`.
"""

import ast
import math
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from pulleydeal import constants as c

Value = float | bool | str
Evaluator = Callable[[Mapping[str, Value]], Any]

BOOL, NAME = "yes or no", "a name"
# Numbers carry a unit. A literal takes the unit of what it is added to or compared with, and is
# dimensionless in a product.
DIMENSIONLESS, ANY_UNIT, SECONDS, MONEY = "a number", "any number", "seconds", "money"
_NUMBERS = (DIMENSIONLESS, ANY_UNIT, SECONDS, MONEY)

CALLS: dict[str, Callable[..., float]] = {
    "min": min,
    "max": max,
    "abs": abs,
    "floor": math.floor,
    "ceil": math.ceil,
}
_ADDITIVE: dict[type[ast.operator], Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
}
_MULTIPLICATIVE: dict[type[ast.operator], Callable[[Any, Any], Any]] = {
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
_COMPARISONS: dict[type[ast.cmpop], Callable[[Any, Any], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}


class ExpressionError(Exception):
    """An invalid expression: the reason, and the column counted from 1."""

    def __init__(self, column: int, reason: str) -> None:
        super().__init__(reason)
        self.column = column


@dataclass(slots=True, frozen=True)
class TypedExpression:
    """A checked expression: its unit or type, and the function that evaluates it."""

    type: str
    evaluate: Evaluator
    variables: frozenset[str] = frozenset()  # variables that it reads; empty for a constant


def _error(node: ast.AST, reason: str) -> ExpressionError:
    return ExpressionError(getattr(node, "col_offset", 0) + 1, reason)


def parse(text: str, variables: Mapping[str, str]) -> TypedExpression:
    """Parses an expression and checks it against the variables' types. Raises ExpressionError."""
    if len(text) > c.EXPRESSION_CHARS:
        raise ExpressionError(1, f"longer than {c.EXPRESSION_CHARS} characters")
    try:
        tree = ast.parse(text, mode="eval")
    except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
        raise ExpressionError(getattr(error, "offset", None) or 1, "not an expression") from error
    return _Checker(variables).check(tree.body, 1)


class _Checker:
    def __init__(self, variables: Mapping[str, str]) -> None:
        self._variables = variables

    def check(self, node: ast.expr, depth: int) -> TypedExpression:
        if depth > c.EXPRESSION_DEPTH:
            raise _error(node, f"nested deeper than {c.EXPRESSION_DEPTH}")
        handlers: dict[type[ast.expr], Callable[[Any, int], TypedExpression]] = {
            ast.Constant: self._constant,
            ast.Name: self._name,
            ast.UnaryOp: self._unary,
            ast.BinOp: self._binary,
            ast.Compare: self._compare,
            ast.BoolOp: self._boolean_operator,
            ast.IfExp: self._conditional,
            ast.Call: self._call,
        }
        handler = handlers.get(type(node))
        if handler is None:
            raise _error(node, f"{type(node).__name__.lower()} is not part of the language")
        return handler(node, depth + 1)

    def _constant(self, node: ast.Constant, _: int) -> TypedExpression:
        value = node.value
        if isinstance(value, bool):
            return TypedExpression(BOOL, lambda _: value)
        if isinstance(value, str):
            return TypedExpression(NAME, lambda _: value)
        if isinstance(value, int | float) and abs(value) <= c.EXPRESSION_MOST:
            number = float(value)
            return TypedExpression(ANY_UNIT, lambda _: number)
        raise _error(node, "neither a number of sensible size, a name, nor True or False")

    def _name(self, node: ast.Name, _: int) -> TypedExpression:
        name = node.id
        if name not in self._variables:
            known = ", ".join(sorted(self._variables)) or "none"
            raise _error(node, f"unknown name {name!r}; known here: {known}")
        return TypedExpression(
            self._variables[name], lambda values: values[name], frozenset({name})
        )

    def _number(self, node: ast.expr, depth: int) -> TypedExpression:
        found = self.check(node, depth)
        if found.type not in _NUMBERS:
            raise _error(node, f"is {found.type}, where a number is needed")
        return found

    def _boolean(self, node: ast.expr, depth: int) -> TypedExpression:
        found = self.check(node, depth)
        if found.type != BOOL:
            raise _error(node, f"is {found.type}, where yes or no is needed")
        return found

    def _unary(self, node: ast.UnaryOp, depth: int) -> TypedExpression:
        if isinstance(node.op, ast.Not):
            truth = self._boolean(node.operand, depth)
            return TypedExpression(BOOL, lambda values: not truth.evaluate(values), truth.variables)
        if isinstance(node.op, ast.USub):
            number = self._number(node.operand, depth)
            return TypedExpression(
                number.type, lambda values: -number.evaluate(values), number.variables
            )
        raise _error(node, "only `-` and `not` are allowed as unary operators")

    def _common_type(self, node: ast.AST, *parts: TypedExpression) -> str:
        types = {part.type for part in parts} - {ANY_UNIT}
        if len(types) > 1:
            raise _error(node, f"{' and '.join(sorted(types))} can't be combined")
        return types.pop() if types else ANY_UNIT

    def _binary(self, node: ast.BinOp, depth: int) -> TypedExpression:
        left, right = self._number(node.left, depth), self._number(node.right, depth)
        variables = left.variables | right.variables
        if type(node.op) in _ADDITIVE:
            add = _ADDITIVE[type(node.op)]
            kind = self._common_type(node, left, right)
            return TypedExpression(
                kind, lambda values: add(left.evaluate(values), right.evaluate(values)), variables
            )
        if type(node.op) in _MULTIPLICATIVE:
            multiply = _MULTIPLICATIVE[type(node.op)]
            kind = self._product_unit(node, left.type, right.type)
            return TypedExpression(
                kind,
                lambda values: multiply(left.evaluate(values), right.evaluate(values)),
                variables,
            )
        raise _error(node, "of arithmetic operators, only + - * / are supported")

    def _product_unit(self, node: ast.BinOp, left: str, right: str) -> str:
        if left == ANY_UNIT and right == ANY_UNIT:
            return ANY_UNIT
        if right in (DIMENSIONLESS, ANY_UNIT):
            return DIMENSIONLESS if left == ANY_UNIT else left
        if isinstance(node.op, ast.Mult) and left in (DIMENSIONLESS, ANY_UNIT):
            return right
        if isinstance(node.op, ast.Div) and left == right:
            return DIMENSIONLESS
        raise _error(node, f"no unit is defined for this operation on {left} and {right}")

    def _compare(self, node: ast.Compare, depth: int) -> TypedExpression:
        if len(node.ops) != 1 or type(node.ops[0]) not in _COMPARISONS:
            raise _error(node, "only a single comparison with < <= > >= == or != is supported")
        left, right = self.check(node.left, depth), self.check(node.comparators[0], depth)
        kind = self._common_type(node, left, right)
        compare = _COMPARISONS[type(node.ops[0])]
        if kind in (BOOL, NAME) and type(node.ops[0]) not in (ast.Eq, ast.NotEq):
            raise _error(node, f"{kind} has no order")
        variables = left.variables | right.variables
        return TypedExpression(
            BOOL, lambda values: compare(left.evaluate(values), right.evaluate(values)), variables
        )

    def _boolean_operator(self, node: ast.BoolOp, depth: int) -> TypedExpression:
        parts = [self._boolean(value, depth) for value in node.values]
        variables = frozenset[str]().union(*(part.variables for part in parts))
        combine = all if isinstance(node.op, ast.And) else any
        return TypedExpression(
            BOOL, lambda values: combine(part.evaluate(values) for part in parts), variables
        )

    def _conditional(self, node: ast.IfExp, depth: int) -> TypedExpression:
        test = self._boolean(node.test, depth)
        yes, no = self.check(node.body, depth), self.check(node.orelse, depth)
        variables = test.variables | yes.variables | no.variables
        kind = self._common_type(node, yes, no)
        return TypedExpression(
            kind, lambda g: yes.evaluate(g) if test.evaluate(g) else no.evaluate(g), variables
        )

    def _call(self, node: ast.Call, depth: int) -> TypedExpression:
        name = node.func.id if isinstance(node.func, ast.Name) else ""
        if name not in CALLS or node.keywords:
            raise _error(node, f"the only supported calls are {', '.join(CALLS)}")
        parts = [self._number(value, depth) for value in node.args]
        if len(parts) != 1 if name in ("abs", "floor", "ceil") else len(parts) < 2:
            raise _error(node, f"wrong number of arguments for {name}")
        call = CALLS[name]
        variables = frozenset[str]().union(*(part.variables for part in parts))
        kind = self._common_type(node, *parts)
        return TypedExpression(
            kind, lambda values: call(*(part.evaluate(values) for part in parts)), variables
        )
