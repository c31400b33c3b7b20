"""Least-squares lines through measurements at several sizes, with their residuals."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Slope:
    """y = at_zero + per_unit * x, valid over the measured sizes."""

    x: str
    y: str
    at_zero: float
    per_unit: float
    residual: float  # largest deviation of a point from the line, relative to the largest |y|
    sizes: int

    def at(self, x: float) -> float:
        return self.at_zero + self.per_unit * x


def fit(rows: Sequence[dict[str, Any]], x: str, y: str) -> Slope:
    """Fits by least squares; raises ValueError for fewer than two different values of x."""
    points = [(float(row[x]), float(row[y])) for row in rows]
    mean_x = sum(px for px, _ in points) / max(1, len(points))
    mean_y = sum(py for _, py in points) / max(1, len(points))
    spread = sum((px - mean_x) ** 2 for px, _ in points)
    if spread == 0:
        raise ValueError(f"{y} was measured at fewer than two values of {x}")
    per_unit = sum((px - mean_x) * (py - mean_y) for px, py in points) / spread
    at_zero = mean_y - per_unit * mean_x
    largest = max(abs(py) for _, py in points) or 1.0
    off = max(abs(py - at_zero - per_unit * px) for px, py in points)
    return Slope(x, y, at_zero, per_unit, off / largest, len(points))
