"""Compares variants: differences paired by seed and axes, with bootstrap confidence intervals."""

from dataclasses import dataclass
from typing import Any

import numpy as np

from ironbarrow.lab.experiment.store import CellStore

METRICS = ("service", "p50_ms", "p99_ms", "in_time", "refused", "failed", "no_answer", "tries")
_RESAMPLES = 2000


@dataclass(frozen=True, slots=True)
class Difference:
    """The mean of paired differences of one metric, with a 95% confidence interval."""

    metric: str
    group: str  # "all" or the name of a job class
    axes: dict[str, Any]
    base: float  # mean of the baseline variant
    mean: float  # mean of the other variant minus the baseline
    low: float
    high: float
    pairs: int

    @property
    def sure(self) -> bool:
        """Whether the difference is significant: the interval excludes zero."""
        return self.low > 0 or self.high < 0


def load_cells(store: CellStore) -> list[dict[str, Any]]:
    """The finished cells of the folder's latest plan, with this plan's variants and axes.

    Cells are stored under a hash of their inputs, so a cell may have been saved by an earlier plan in which
    its variant had another name.
    """
    entries = [line for line in store.load_plan()["cells"] if store.contains(line["cell"])]
    return [{**store.load_cell(line["cell"]), **line} for line in entries]


def bootstrap_interval(values: np.ndarray[Any, Any], seed: int = 1) -> tuple[float, float]:
    """The 95% confidence interval of the mean, by the percentile bootstrap."""
    if len(values) < 2:
        return float(values[0]), float(values[0])
    indices = np.random.Generator(np.random.PCG64(seed)).integers(0, len(values), (_RESAMPLES, len(values)))
    low, high = np.percentile(values[indices].mean(axis=1), [2.5, 97.5])
    return float(low), float(high)


def compare(
    cells: list[dict[str, Any]], first: str, other: str, metrics: tuple[str, ...] = METRICS
) -> list[Difference]:
    """Differences of ``other`` from ``first`` at each point of the axes, for all jobs and for each class."""
    cells_by_point: dict[str, dict[str, dict[str, dict[str, Any]]]] = {}
    axes: dict[str, dict[str, Any]] = {}
    for cell in cells:
        point = repr(sorted(cell["axes"].items()))
        axes[point] = cell["axes"]
        cells_by_point.setdefault(point, {}).setdefault(str(cell["seed"]), {})[cell["variant"]] = cell
    differences = []
    for point, by_seed in cells_by_point.items():
        pairs = [by_variant for by_variant in by_seed.values() if first in by_variant and other in by_variant]
        if not pairs:
            continue
        for group in ["all", *pairs[0][first]["summary"]["classes"]]:
            for metric in metrics:
                a = np.array([_value(by_variant[first], group, metric) for by_variant in pairs])
                b = np.array([_value(by_variant[other], group, metric) for by_variant in pairs])
                valid = ~(np.isnan(a) | np.isnan(b))
                if valid.any():
                    difference = b[valid] - a[valid]
                    low, high = bootstrap_interval(difference)
                    differences.append(
                        Difference(
                            metric,
                            group,
                            axes[point],
                            float(a[valid].mean()),
                            float(difference.mean()),
                            low,
                            high,
                            int(valid.sum()),
                        )
                    )
    return differences


def _value(cell: dict[str, Any], group: str, metric: str) -> float:
    summary = cell["summary"]
    return float((summary["all"] if group == "all" else summary["classes"][group])[metric])
