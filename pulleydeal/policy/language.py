"""A small expression language over typed variables with units, parsed by the standard `ast`.

Arithmetic, comparisons, and/or/not, `A if C else B`, and the calls in CALLS; no loops, no attribute
access, nothing else. A checked expression is a tree of plain functions: no text is ever evaluated.
"""

import ast
import math
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from pulleydeal import constants as c

Value = float | bool | str
Run = Callable[[Mapping[str, Value]], Any]

BOOL, NAME = "yes or no", "a name"
# Numbers carry a unit; a literal fits any when added or compared, and none when multiplied.
PLAIN, ANY, SECONDS, MONEY = "a number", "any number", "seconds", "money"
_NUMBERS = (PLAIN, ANY, SECONDS, MONEY)

CALLS: dict[str, Callable[..., float]] = {
    "min": min,
    "max": max,
    "abs": abs,
    "floor": math.floor,
    "ceil": math.ceil,
}
_SUMS: dict[type[ast.operator], Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
}
_PRODUCTS: dict[type[ast.operator], Callable[[Any, Any], Any]] = {
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
    """What is wrong, and at which column (from 1)."""

    def __init__(self, column: int, reason: str) -> None:
        super().__init__(reason)
        self.column = column


@dataclass(slots=True, frozen=True)
class Typed:
    type: str
    run: Run
    names: frozenset[str] = frozenset()  # variables that it reads: none, and it is constant


def _error(node: ast.AST, reason: str) -> ExpressionError:
    return ExpressionError(getattr(node, "col_offset", 0) + 1, reason)


def parse(text: str, variables: Mapping[str, str]) -> Typed:
    """Checks an expression against the variables' types; raises ExpressionError."""
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

    def check(self, node: ast.expr, depth: int) -> Typed:
        if depth > c.EXPRESSION_DEPTH:
            raise _error(node, f"nested deeper than {c.EXPRESSION_DEPTH}")
        forms: dict[type[ast.expr], Callable[[Any, int], Typed]] = {
            ast.Constant: self._constant,
            ast.Name: self._name,
            ast.UnaryOp: self._unary,
            ast.BinOp: self._binary,
            ast.Compare: self._compare,
            ast.BoolOp: self._logic,
            ast.IfExp: self._choice,
            ast.Call: self._call,
        }
        form = forms.get(type(node))
        if form is None:
            raise _error(node, f"{type(node).__name__.lower()} is not part of the language")
        return form(node, depth + 1)

    def _constant(self, node: ast.Constant, _: int) -> Typed:
        value = node.value
        if isinstance(value, bool):
            return Typed(BOOL, lambda _: value)
        if isinstance(value, str):
            return Typed(NAME, lambda _: value)
        if isinstance(value, int | float) and abs(value) <= c.EXPRESSION_MOST:
            number = float(value)
            return Typed(ANY, lambda _: number)
        raise _error(node, "neither a number of sensible size, a name, nor True or False")

    def _name(self, node: ast.Name, _: int) -> Typed:
        name = node.id
        if name not in self._variables:
            known = ", ".join(sorted(self._variables)) or "none"
            raise _error(node, f"unknown name {name!r}; known here: {known}")
        return Typed(self._variables[name], lambda given: given[name], frozenset({name}))

    def _number(self, node: ast.expr, depth: int) -> Typed:
        found = self.check(node, depth)
        if found.type not in _NUMBERS:
            raise _error(node, f"is {found.type}, where a number is needed")
        return found

    def _truth(self, node: ast.expr, depth: int) -> Typed:
        found = self.check(node, depth)
        if found.type != BOOL:
            raise _error(node, f"is {found.type}, where yes or no is needed")
        return found

    def _unary(self, node: ast.UnaryOp, depth: int) -> Typed:
        if isinstance(node.op, ast.Not):
            truth = self._truth(node.operand, depth)
            return Typed(BOOL, lambda given: not truth.run(given), truth.names)
        if isinstance(node.op, ast.USub):
            number = self._number(node.operand, depth)
            return Typed(number.type, lambda given: -number.run(given), number.names)
        raise _error(node, "only `-` and `not` stand before a value")

    def _same(self, node: ast.AST, *parts: Typed) -> str:
        types = {part.type for part in parts} - {ANY}
        if len(types) > 1:
            raise _error(node, f"{' and '.join(sorted(types))} don't go together")
        return types.pop() if types else ANY

    def _binary(self, node: ast.BinOp, depth: int) -> Typed:
        left, right = self._number(node.left, depth), self._number(node.right, depth)
        names = left.names | right.names
        if type(node.op) in _SUMS:
            plus = _SUMS[type(node.op)]
            kind = self._same(node, left, right)
            return Typed(kind, lambda given: plus(left.run(given), right.run(given)), names)
        if type(node.op) in _PRODUCTS:
            times = _PRODUCTS[type(node.op)]
            kind = self._product(node, left.type, right.type)
            return Typed(kind, lambda given: times(left.run(given), right.run(given)), names)
        raise _error(node, "of operators between numbers there are only + - * /")

    def _product(self, node: ast.BinOp, left: str, right: str) -> str:
        if left == ANY and right == ANY:
            return ANY
        if right in (PLAIN, ANY):
            return PLAIN if left == ANY else left
        if isinstance(node.op, ast.Mult) and left in (PLAIN, ANY):
            return right
        if isinstance(node.op, ast.Div) and left == right:
            return PLAIN
        raise _error(node, f"no unit stands for this of {left} and {right}")

    def _compare(self, node: ast.Compare, depth: int) -> Typed:
        if len(node.ops) != 1 or type(node.ops[0]) not in _COMPARISONS:
            raise _error(node, "one comparison at a time, with < <= > >= == or !=")
        left, right = self.check(node.left, depth), self.check(node.comparators[0], depth)
        kind = self._same(node, left, right)
        compare = _COMPARISONS[type(node.ops[0])]
        if kind in (BOOL, NAME) and type(node.ops[0]) not in (ast.Eq, ast.NotEq):
            raise _error(node, f"{kind} has no order")
        names = left.names | right.names
        return Typed(BOOL, lambda given: compare(left.run(given), right.run(given)), names)

    def _logic(self, node: ast.BoolOp, depth: int) -> Typed:
        parts = [self._truth(value, depth) for value in node.values]
        names = frozenset[str]().union(*(part.names for part in parts))
        every = all if isinstance(node.op, ast.And) else any
        return Typed(BOOL, lambda given: every(part.run(given) for part in parts), names)

    def _choice(self, node: ast.IfExp, depth: int) -> Typed:
        test = self._truth(node.test, depth)
        yes, no = self.check(node.body, depth), self.check(node.orelse, depth)
        names = test.names | yes.names | no.names
        kind = self._same(node, yes, no)
        return Typed(kind, lambda g: yes.run(g) if test.run(g) else no.run(g), names)

    def _call(self, node: ast.Call, depth: int) -> Typed:
        name = node.func.id if isinstance(node.func, ast.Name) else ""
        if name not in CALLS or node.keywords:
            raise _error(node, f"of calls there are only {', '.join(CALLS)}")
        parts = [self._number(value, depth) for value in node.args]
        if len(parts) != 1 if name in ("abs", "floor", "ceil") else len(parts) < 2:
            raise _error(node, f"wrong number of values for {name}")
        call = CALLS[name]
        names = frozenset[str]().union(*(part.names for part in parts))
        kind = self._same(node, *parts)
        return Typed(kind, lambda given: call(*(part.run(given) for part in parts)), names)
