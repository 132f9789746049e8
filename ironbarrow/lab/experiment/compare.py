"""Variants against each other: paired by seed and axes, with bootstrap intervals."""

from dataclasses import dataclass
from typing import Any

import numpy as np

from ironbarrow.lab.experiment.store import Store

METRICS = ("service", "p50_ms", "p99_ms", "in_time", "refused", "failed", "no_answer", "tries")
_DRAWS = 2000


@dataclass(frozen=True, slots=True)
class Difference:
    """The mean of paired differences of one metric, with a 95% interval."""

    metric: str
    group: str  # all, or a class
    axes: dict[str, Any]
    base: float  # the first variant's mean
    mean: float  # the other's, less the first's
    low: float
    high: float
    pairs: int

    @property
    def sure(self) -> bool:
        """Whether the interval leaves out zero."""
        return self.low > 0 or self.high < 0


def cells_of(store: Store) -> list[dict[str, Any]]:
    """The finished cells of the folder's newest plan, under the names that this plan has for them: a cell is
    kept by what it depends on, and another plan may call the same one otherwise."""
    named = [line for line in store.plan()["cells"] if store.has(line["cell"])]
    return [{**store.described(line["cell"]), **line} for line in named]


def interval(values: np.ndarray[Any, Any], seed: int = 1) -> tuple[float, float]:
    """A 95% interval of the mean by the percentile bootstrap."""
    if len(values) < 2:
        return float(values[0]), float(values[0])
    draws = np.random.Generator(np.random.PCG64(seed)).integers(0, len(values), (_DRAWS, len(values)))
    low, high = np.percentile(values[draws].mean(axis=1), [2.5, 97.5])
    return float(low), float(high)


def compare(
    cells: list[dict[str, Any]], first: str, other: str, metrics: tuple[str, ...] = METRICS
) -> list[Difference]:
    """Differences by point of the axes, for all jobs and for each class."""
    pairs: dict[str, dict[str, dict[str, dict[str, Any]]]] = {}
    axes: dict[str, dict[str, Any]] = {}
    for cell in cells:
        point = repr(sorted(cell["axes"].items()))
        axes[point] = cell["axes"]
        pairs.setdefault(point, {}).setdefault(str(cell["seed"]), {})[cell["variant"]] = cell
    found = []
    for point, by_seed in pairs.items():
        both = [named for named in by_seed.values() if first in named and other in named]
        if not both:
            continue
        for group in ["all", *both[0][first]["summary"]["classes"]]:
            for metric in metrics:
                a = np.array([_value(named[first], group, metric) for named in both])
                b = np.array([_value(named[other], group, metric) for named in both])
                good = ~(np.isnan(a) | np.isnan(b))
                if good.any():
                    difference = b[good] - a[good]
                    low, high = interval(difference)
                    found.append(
                        Difference(
                            metric,
                            group,
                            axes[point],
                            float(a[good].mean()),
                            float(difference.mean()),
                            low,
                            high,
                            int(good.sum()),
                        )
                    )
    return found


def _value(cell: dict[str, Any], group: str, metric: str) -> float:
    summary = cell["summary"]
    return float((summary["all"] if group == "all" else summary["classes"][group])[metric])
