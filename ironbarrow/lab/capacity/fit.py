"""Least-squares lines through counts at several sizes, and how far they bend."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.polynomial import polynomial


@dataclass(frozen=True, slots=True)
class Fit:
    """A line ``intercept + slope * size`` through measured points, and the parabola beside it."""

    least: float  # the range of sizes that were measured
    most: float
    points: int
    intercept: float
    slope: float
    r_squared: float
    residual: float  # the largest distance of a point from the line, as a part of the points' mean
    quadratic: float  # coefficient of size squared in the parabola
    bend: float  # the quadratic term at the largest size, as a part of the value measured there

    def at(self, size: float) -> float:
        """The value of the line at a size."""
        return self.intercept + self.slope * size

    def curved_at(self, size: float) -> float:
        """The value of the line with the parabola's quadratic term on top: an upper estimate beyond the range
        where the parabola opens upward."""
        beyond = max(0.0, size - self.most)
        return self.at(size) + max(0.0, self.quadratic) * beyond * beyond

    def extrapolates_to(self, size: float) -> bool:
        """Whether a size is outside the range that was measured."""
        return not self.least <= size <= self.most


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line and a parabola; a ValueError for fewer than three different sizes."""
    if len(sizes) != len(values) or len(set(sizes)) < 3:
        raise ValueError(f"expected at least three sizes with a value each, got {len(set(sizes))}")
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    intercept, slope = polynomial.polyfit(x, y, 1)
    residuals = y - (intercept + slope * x)
    spread = float(np.sum((y - y.mean()) ** 2))
    r_squared = 1.0 - float(np.sum(residuals**2)) / spread if spread else 1.0
    mean = float(np.abs(y).mean()) or 1.0
    quadratic = float(polynomial.polyfit(x, y, 2)[2])
    last: Any = y[int(np.argmax(x))]
    return Fit(
        least=float(x.min()),
        most=float(x.max()),
        points=len(sizes),
        intercept=float(intercept),
        slope=float(slope),
        r_squared=r_squared,
        residual=float(np.abs(residuals).max()) / mean,
        quadratic=quadratic,
        bend=quadratic * float(x.max()) ** 2 / float(last) if last else 0.0,
    )
