"""Plots of finished cells, as PNG bytes by name."""

import io
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ironbarrow.lab.experiment.store import Store
from ironbarrow.lab.model.spec import World, convert
from ironbarrow.lab.record import OUTCOMES, Column, service_over_time

_SERVED = OUTCOMES.index("served")
_ROWS_MOST = 200_000  # that one curve is made of


def _png(figure: Figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()


def _rows(store: Store, cell: dict[str, Any]) -> dict[str, Column]:
    return {name: column.to_numpy() for name, column in store.rows(cell["cell"]).to_dict().items()}


def _world(cell: dict[str, Any]) -> World:
    return convert(cell["world"], World, cell["cell"])


def _variants(cells: list[dict[str, Any]]) -> list[str]:
    return list(dict.fromkeys(cell["variant"] for cell in cells))


def latency_ecdf(store: Store, cells: list[dict[str, Any]]) -> bytes:
    """Share of served jobs by latency, one panel a class, one curve a variant."""
    names = [cls.name for cls in _world(cells[0]).classes]
    figure, panels = plt.subplots(1, len(names), figsize=(4.2 * len(names), 3.4), squeeze=False, sharey=True)
    for variant in _variants(cells):
        own = [_rows(store, cell) for cell in cells if cell["variant"] == variant]
        for number, name in enumerate(names):
            parts = [r["latency"][(r["cls"] == number) & (r["outcome"] == _SERVED)] for r in own]
            values = np.sort(np.concatenate(parts)[:_ROWS_MOST]) / 1e6
            axes: Axes = panels[0][number]
            axes.plot(values, np.arange(1, len(values) + 1) / max(1, len(values)), label=variant)
            axes.set(title=name, xlabel="latency from due, ms", xscale="log")
            axes.grid(alpha=0.3)
    panels[0][0].set_ylabel("share of served jobs")
    panels[0][-1].legend(fontsize=8)
    return _png(figure)


def service_by_axis(cells: list[dict[str, Any]], axis: str, metric: str = "service") -> bytes:
    """A figure for all jobs against one axis: a line a variant, with the seeds' spread."""
    figure, axes = plt.subplots(figsize=(6, 3.6))
    for variant in _variants(cells):
        points: dict[Any, list[float]] = {}
        for cell in cells:
            if cell["variant"] == variant:
                points.setdefault(cell["axes"][axis], []).append(cell["summary"]["all"][metric])
        x = sorted(points, key=lambda value: (isinstance(value, str), value))
        means = [float(np.nanmean(points[value])) for value in x]
        spread = [float(np.nanstd(points[value])) for value in x]
        axes.errorbar([str(value) for value in x], means, yerr=spread, marker="o", capsize=3, label=variant)
    axes.set(xlabel=axis, ylabel=metric)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _png(figure)


def _shade(axes: Axes, cell: dict[str, Any]) -> None:
    for number, fault in enumerate(cell["faults"]):
        begun, ends = fault["starts"] / 1e9, max(fault["ends"], fault["starts"] + 2e8) / 1e9
        axes.axvspan(begun, ends, alpha=0.12, color=f"C{number % 10}")
        axes.text(begun, 1.01, fault["kind"], fontsize=6, rotation=35, transform=axes.get_xaxis_transform())


def service_timeline(store: Store, cells: list[dict[str, Any]]) -> bytes:
    """Service by when jobs were due, with the faults shaded: the mean over seeds, a line a variant."""
    figure, axes = plt.subplots(figsize=(9, 3.4))
    for variant in _variants(cells):
        series = []
        for cell in (c for c in cells if c["variant"] == variant and c["axes"] == cells[0]["axes"]):
            _, shares = service_over_time(_world(cell), _rows(store, cell))
            series.append(shares)
        length = min(len(s) for s in series)
        with np.errstate(invalid="ignore"):
            axes.plot(np.arange(length), np.nanmean([s[:length] for s in series], axis=0), label=variant)
    _shade(axes, cells[0])
    axes.set(xlabel="due, s", ylabel="service", ylim=(0, 1.05))
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8, loc="lower right")
    return _png(figure)


def attempts_timeline(cells: list[dict[str, Any]]) -> bytes:
    """Attempts sent a second over time, with the faults shaded: how a storm of retries multiplies load."""
    figure, axes = plt.subplots(figsize=(9, 3.4))
    first = [cell for cell in cells if cell["axes"] == cells[0]["axes"]]
    for variant in _variants(cells):
        series = [c["notes"]["attempts_per_s"] for c in first if c["variant"] == variant]
        length = min(len(s) for s in series)
        axes.plot(np.arange(length), np.mean([s[:length] for s in series], axis=0), label=variant)
    _shade(axes, cells[0])
    axes.set(xlabel="s", ylabel="attempts a second")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _png(figure)


def load_by_worker(cell: dict[str, Any]) -> bytes:
    """Jobs held by each worker over time, for one cell."""
    samples = cell["samples"]
    names = samples["names"]
    grid = np.full((len(names), len(samples["held"])), np.nan)
    for column, held in enumerate(samples["held"]):
        grid[: len(held), column] = held
    figure, axes = plt.subplots(figsize=(9, max(2.5, min(9.0, 0.22 * len(names)))))
    end = len(samples["held"]) * samples["step"] / 1e9
    image = axes.imshow(
        grid, aspect="auto", extent=(0, end, len(names), 0), cmap="viridis", interpolation="nearest"
    )
    if len(names) <= 40:
        axes.set_yticks(np.arange(len(names)) + 0.5, names, fontsize=7)
    axes.set(xlabel="s", ylabel="worker")
    figure.colorbar(image, label="jobs held")
    return _png(figure)


def draw_all(store: Store, cells: list[dict[str, Any]]) -> dict[str, bytes]:
    """Every plot that these cells allow."""
    drawn = {"latency": latency_ecdf(store, cells), "service-over-time": service_timeline(store, cells)}
    drawn["attempts-over-time"] = attempts_timeline(cells)
    drawn["load-by-worker"] = load_by_worker(cells[0])
    for axis in cells[0]["axes"]:
        for metric in ("service", "p99_ms"):
            drawn[f"{metric}-by-{axis}"] = service_by_axis(cells, axis, metric)
    if "dispatchers.count" in cells[0]["axes"] or any("count" in axis for axis in cells[0]["axes"]):
        for cell in cells:
            asked = max(1, cell["summary"]["all"]["asked"])
            cell["summary"]["all"]["us_per_job"] = 1e6 * cell["wall_s"] / asked
        axis = next(axis for axis in cells[0]["axes"] if "count" in axis)
        drawn[f"cost-by-{axis}"] = service_by_axis(cells, axis, "us_per_job")
    return drawn
