"""Least-squares lines through counts at several sizes, and the deviation from a line."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.polynomial import polynomial


@dataclass(frozen=True, slots=True)
class Fit:
    """A line ``intercept + slope * size`` fitted to measured points, with the quadratic term of a fitted
    parabola."""

    min_size: float  # range of the measured sizes
    max_size: float
    points: int
    intercept: float
    slope: float
    r_squared: float
    residual: float  # the largest distance of a point from the line, relative to the points' mean
    quadratic: float  # coefficient of size squared in the parabola
    curvature: float  # the quadratic term at the largest size, relative to the value measured there

    def at(self, size: float) -> float:
        """The value of the line at a size."""
        return self.intercept + self.slope * size

    def upper_estimate_at(self, size: float) -> float:
        """An upper estimate beyond the measured range: the line's value, plus the quadratic term if the
        parabola opens upward."""
        beyond = max(0.0, size - self.max_size)
        return self.at(size) + max(0.0, self.quadratic) * beyond * beyond

    def is_extrapolated(self, size: float) -> bool:
        """Whether a size lies outside the measured range."""
        return not self.min_size <= size <= self.max_size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line and a parabola; raises ValueError for fewer than three different sizes."""
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
        min_size=float(x.min()),
        max_size=float(x.max()),
        points=len(sizes),
        intercept=float(intercept),
        slope=float(slope),
        r_squared=r_squared,
        residual=float(np.abs(residuals).max()) / mean,
        quadratic=quadratic,
        curvature=quadratic * float(x.max()) ** 2 / float(last) if last else 0.0,
    )
