"""The tables of the capacity page, as Markdown, from results."""

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
    """Each series with its range and fit."""
    rows = []
    for series in summary.SERIES:
        found = summary.line(results, series)
        if found is None:
            rows.append([series.name, series.unit, "not measured", "", "", "", "", ""])
            continue
        rows.append(
            [
                series.name,
                series.unit,
                f"{found.least:g} to {found.most:g} ({found.points})",
                _number(found.slope),
                _number(found.intercept),
                f"{found.r_squared:.3f}",
                f"{found.residual:.1%}",
                f"{found.bend:+.1%}",
            ]
        )
    head = ["what", "for each", "sizes (points)", "slope", "at 0", "R²", "residual", "bend"]
    return _table(head, rows)


def lines(results: Results, dispatchers: int) -> str:
    """Each line of the target."""
    found = budget.evaluate(summary.slopes_of(results, IDLE_MB, dispatchers), dispatchers)
    rows = []
    for one in found:
        verdict = one.verdict.value
        if one.over_by:
            verdict += f", {one.over_by:.1f} times"
        margin = f"{1 - one.used:.0%}" if one.used is not None and one.used <= 1 else "-"
        rows.append([one.name, one.target, f"**{verdict}**", one.figure, margin, one.mechanism])
    return _table(["line", "target", "verdict", "figure", "margin", "mechanism"], rows)


def concerns(results: Results, sizes: Sequence[int]) -> str:
    """Bytes a second by concern at several numbers of dispatchers."""
    found = {}
    for size in sizes:
        found[size] = budget.bytes_by_concern(summary.slopes_of(results, IDLE_MB, size), size)
    names = list(next(iter(found.values())))
    rows = [[name, *(f"{found[size][name]:,.0f}" for size in sizes)] for name in names]
    rows.append(["all", *(f"{sum(found[size].values()):,.0f}" for size in sizes)])
    return _table(["bytes a second, sent and received", *map(str, sizes)], rows)


def sizes(results: Results, part: str) -> str:
    """What each size of a part took, with the machine's load; failures are said."""
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


def page(results: Results) -> str:
    """All tables."""
    parts = ["## Slopes", slopes(results), f"## Lines at {budget.DISPATCHERS}"]
    parts.append(lines(results, budget.DISPATCHERS))
    parts += ["## Bytes by concern", concerns(results, (28, 56, 115, 230))]
    parts += [f"## Runs: {part}\n\n{sizes(results, part)}" for part in results]
    return "\n\n".join(parts)
