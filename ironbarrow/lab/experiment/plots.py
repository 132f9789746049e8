"""Plots of finished cells, as PNG images."""

import io
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ironbarrow.lab.experiment.store import CellStore
from ironbarrow.lab.model.spec import World, convert
from ironbarrow.lab.record import OUTCOMES, Column, service_over_time

_SERVED = OUTCOMES.index("served")
_MAX_CURVE_POINTS = 200_000


def _render_png(figure: Figure) -> bytes:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return buffer.getvalue()


def _load_rows(store: CellStore, cell: dict[str, Any]) -> dict[str, Column]:
    return {name: column.to_numpy() for name, column in store.load_rows(cell["cell"]).to_dict().items()}


def _world(cell: dict[str, Any]) -> World:
    return convert(cell["world"], World, cell["cell"])


def _variants(cells: list[dict[str, Any]]) -> list[str]:
    return list(dict.fromkeys(cell["variant"] for cell in cells))


def latency_ecdf(store: CellStore, cells: list[dict[str, Any]]) -> bytes:
    """Cumulative distribution of the latency of served jobs: one panel per class, one curve per variant."""
    names = [cls.name for cls in _world(cells[0]).classes]
    figure, panels = plt.subplots(1, len(names), figsize=(4.2 * len(names), 3.4), squeeze=False, sharey=True)
    for variant in _variants(cells):
        columns_by_cell = [_load_rows(store, cell) for cell in cells if cell["variant"] == variant]
        for number, name in enumerate(names):
            parts = [
                columns["latency"][(columns["cls"] == number) & (columns["outcome"] == _SERVED)]
                for columns in columns_by_cell
            ]
            values = np.sort(np.concatenate(parts)[:_MAX_CURVE_POINTS]) / 1e6
            axes: Axes = panels[0][number]
            axes.plot(values, np.arange(1, len(values) + 1) / max(1, len(values)), label=variant)
            axes.set(title=name, xlabel="latency from due, ms", xscale="log")
            axes.grid(alpha=0.3)
    panels[0][0].set_ylabel("share of served jobs")
    panels[0][-1].legend(fontsize=8)
    return _render_png(figure)


def metric_by_axis(cells: list[dict[str, Any]], axis: str, metric: str = "service") -> bytes:
    """A metric of all jobs against one axis, a line per variant; error bars: standard deviation."""
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
    return _render_png(figure)


def _shade_faults(axes: Axes, cell: dict[str, Any]) -> None:
    for number, fault in enumerate(cell["faults"]):
        start, end = fault["starts"] / 1e9, max(fault["ends"], fault["starts"] + 2e8) / 1e9
        axes.axvspan(start, end, alpha=0.12, color=f"C{number % 10}")
        axes.text(start, 1.01, fault["kind"], fontsize=6, rotation=35, transform=axes.get_xaxis_transform())


def service_timeline(store: CellStore, cells: list[dict[str, Any]]) -> bytes:
    """Service by the time that jobs were due, averaged over seeds: one line per variant, faults shaded.

    Only cells at the axes of the first cell are drawn.
    """
    figure, axes = plt.subplots(figsize=(9, 3.4))
    for variant in _variants(cells):
        series = []
        for cell in (c for c in cells if c["variant"] == variant and c["axes"] == cells[0]["axes"]):
            _, shares = service_over_time(_world(cell), _load_rows(store, cell))
            series.append(shares)
        length = min(len(s) for s in series)
        with np.errstate(invalid="ignore"):
            axes.plot(np.arange(length), np.nanmean([s[:length] for s in series], axis=0), label=variant)
    _shade_faults(axes, cells[0])
    axes.set(xlabel="due, s", ylabel="service", ylim=(0, 1.05))
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8, loc="lower right")
    return _render_png(figure)


def attempts_timeline(cells: list[dict[str, Any]]) -> bytes:
    """Attempts per second over time, averaged over seeds, with faults shaded; shows retry storms.

    Only cells at the axes of the first cell are drawn.
    """
    figure, axes = plt.subplots(figsize=(9, 3.4))
    first = [cell for cell in cells if cell["axes"] == cells[0]["axes"]]
    for variant in _variants(cells):
        series = [c["notes"]["attempts_per_s"] for c in first if c["variant"] == variant]
        length = min(len(s) for s in series)
        axes.plot(np.arange(length), np.mean([s[:length] for s in series], axis=0), label=variant)
    _shade_faults(axes, cells[0])
    axes.set(xlabel="s", ylabel="attempts per second")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _render_png(figure)


def load_by_worker(cell: dict[str, Any]) -> bytes:
    """Heat map of the jobs that each worker holds over time, for one cell."""
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
    return _render_png(figure)


def draw_all(store: CellStore, cells: list[dict[str, Any]]) -> dict[str, bytes]:
    """All plots that apply to these cells, as PNG bytes by name.

    If an axis varies a count, adds ``us_per_job`` to the cells' summaries: wall time per job in microseconds.
    """
    plots = {"latency": latency_ecdf(store, cells), "service-over-time": service_timeline(store, cells)}
    plots["attempts-over-time"] = attempts_timeline(cells)
    plots["load-by-worker"] = load_by_worker(cells[0])
    for axis in cells[0]["axes"]:
        for metric in ("service", "p99_ms"):
            plots[f"{metric}-by-{axis}"] = metric_by_axis(cells, axis, metric)
    if "dispatchers.count" in cells[0]["axes"] or any("count" in axis for axis in cells[0]["axes"]):
        for cell in cells:
            asked = max(1, cell["summary"]["all"]["asked"])
            cell["summary"]["all"]["us_per_job"] = 1e6 * cell["wall_s"] / asked
        axis = next(axis for axis in cells[0]["axes"] if "count" in axis)
        plots[f"cost-by-{axis}"] = metric_by_axis(cells, axis, "us_per_job")
    return plots
