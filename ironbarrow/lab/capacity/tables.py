"""Renders results as the Markdown tables of the capacity page."""

from collections.abc import Iterable, Sequence

from ironbarrow.lab.capacity import budget, summary
from ironbarrow.lab.capacity.summary import Results

IDLE_MB = 32.4  # resident memory of a process with three replicas at 100 jobs/s: docs/fleet-rig.md, Price


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _number(value: float) -> str:
    if value and abs(value) < 0.01:
        return f"{value:.2g}"
    return f"{value:,.2f}" if abs(value) < 100 else f"{value:,.0f}"


def slopes(results: Results) -> str:
    """The table of all series with their ranges and fits."""
    rows = []
    for series in summary.SERIES:
        found = summary.fit_series(results, series)
        if found is None:
            rows.append([series.name, series.unit, "not measured", "", "", "", "", ""])
            continue
        rows.append(
            [
                series.name,
                series.unit,
                f"{found.min_size:g} to {found.max_size:g} ({found.points})",
                _number(found.slope),
                _number(found.intercept),
                f"{found.r_squared:.3f}",
                f"{found.residual:.1%}",
                f"{found.curvature:+.1%}",
            ]
        )
    head = ["what", "for each", "sizes (points)", "slope", "at 0", "R²", "residual", "bend"]
    return _table(head, rows)


def requirements(results: Results, dispatchers: int) -> str:
    """The table of the target's requirements with their verdicts."""
    found = budget.evaluate(summary.slopes_of(results, IDLE_MB, dispatchers), dispatchers)
    rows = []
    for one in found:
        verdict = one.verdict.value
        if one.overrun:
            verdict += f", {one.overrun:.1f} times"
        margin = (
            f"{1 - one.budget_share:.0%}" if one.budget_share is not None and one.budget_share <= 1 else "-"
        )
        rows.append([one.name, one.target, f"**{verdict}**", one.figure, margin, one.mechanism])
    return _table(["line", "target", "verdict", "figure", "margin", "mechanism"], rows)


def components(results: Results, sizes: Sequence[int]) -> str:
    """The table of control traffic by component, in bytes per second, at several numbers of dispatchers."""
    found = {}
    for size in sizes:
        found[size] = budget.control_bytes_by_component(summary.slopes_of(results, IDLE_MB, size), size)
    names = list(next(iter(found.values())))
    rows = [[name, *(f"{found[size][name]:,.0f}" for size in sizes)] for name in names]
    rows.append(["all", *(f"{sum(found[size].values()):,.0f}" for size in sizes)])
    return _table(["bytes a second, sent and received", *map(str, sizes)], rows)


def sizes(results: Results, part: str) -> str:
    """The table of a part's runs: their duration, the machine's load, and failures."""
    rows = [
        [
            str(one.get("size", "-")),
            str(one.get("load", "-")),
            str(one.get("wall_s", "-")),
            "failed: " + str(one["failed"]) if "failed" in one else "done",
        ]
        for one in results.get(part, [])
    ]
    return _table(["size", "load", "wall s", "run"], rows)


def markdown(results: Results) -> str:
    """All tables with headings."""
    parts = ["## Slopes", slopes(results), f"## Lines at {budget.DISPATCHERS}"]
    parts.append(requirements(results, budget.DISPATCHERS))
    parts += ["## Bytes by concern", components(results, (28, 56, 115, 230))]
    parts += [f"## Runs: {part}\n\n{sizes(results, part)}" for part in results]
    return "\n\n".join(parts)
