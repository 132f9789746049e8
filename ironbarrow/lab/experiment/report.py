"""The HTML report of an experiment, as one self-contained file."""

import base64
from pathlib import Path
from typing import Any

import jinja2

from ironbarrow.lab.experiment.compare import compare
from ironbarrow.lab.experiment.plots import draw_all
from ironbarrow.lab.experiment.store import CellStore

_PAGE = Path(__file__).with_name("report.html")


def render_page(store: CellStore, cells: list[dict[str, Any]]) -> str:
    """Renders the report with its plots embedded as data URLs."""
    plan = store.load_plan()
    variants = list(dict.fromkeys(cell["variant"] for cell in cells))
    differences = []
    for other in variants[1:]:
        for row in compare(cells, variants[0], other, ("service", "p50_ms", "p99_ms")):
            point = ", ".join(f"{key}={value}" for key, value in row.axes.items())
            differences.append(
                {
                    "variant": other,
                    "at": point,
                    "group": row.group,
                    "metric": row.metric,
                    "mean": row.mean,
                    "low": row.low,
                    "high": row.high,
                    "sure": row.sure,
                }
            )
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(_PAGE.read_text(encoding="utf-8")).render(
        plan=plan,
        cells=cells,
        seeds=sorted({cell["seed"] for cell in cells}),
        broken=[cell for cell in cells if cell["breaches"]],
        late=sum(bool(cell["notes"].get("late")) for cell in cells),
        answers=sum(cell["looked_at"].get("answers", 0) for cell in cells),
        attempts=sum(cell["looked_at"].get("attempts", 0) for cell in cells),
        rows=[row for variant in variants for row in _class_rows(variant, cells)],
        differences=differences,
        plots={name: base64.b64encode(png).decode() for name, png in draw_all(store, cells).items()},
    )


def _class_rows(variant: str, cells: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Metrics of a variant by class: counts are summed over its cells, latencies and service are averaged.

    Cells whose value is NaN are left out of the average.
    """
    summaries = [cell["summary"] for cell in cells if cell["variant"] == variant]
    rows = []
    for group in (*summaries[0]["classes"], "all"):
        parts = [s["all"] if group == "all" else s["classes"][group] for s in summaries]
        row: dict[str, Any] = {"name": f"{variant}, {group}"}
        for key in ("asked", "in_time", "refused", "failed", "no_answer"):
            row[key] = sum(part[key] for part in parts)
        for key in ("p50_ms", "p99_ms", "service"):
            known = [part[key] for part in parts if part[key] == part[key]]
            row[key] = sum(known) / len(known) if known else float("nan")
        rows.append(row)
    return rows
