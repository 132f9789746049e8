"""``ironbarrow lab``: worlds in simulated time and on live sockets, experiments, comparisons and reports."""

import json
import logging
import os
import sys
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Any, NoReturn

import structlog
import typer

from ironbarrow.cli.scale import scale
from ironbarrow.cli.soak import soak

app = typer.Typer(
    no_args_is_help=True,
    help="The laboratory: a model of the whole fleet, in simulated time and on live sockets.\n\n"
    "Exit status: 0 success; 1 a rule was broken, a cell failed or the run was aborted; 2 invalid file or "
    "argument; 130 interrupted.",
)

app.command()(scale)
app.command()(soak)

WorldArgument = Annotated[Path, typer.Argument(help="A world file, in TOML.", show_default=False)]
SeedOption = Annotated[int, typer.Option(help="Random seed; equal seeds generate equal worlds.", min=0)]
FleetOption = Annotated[
    bool, typer.Option("--fleet", help="Run the dispatchers as a fleet, with its defaults.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object instead of tables.")]


def _fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(code)


def _require_packages() -> None:
    """Exits with a message if a package is missing. Otherwise a later import would fail with a traceback."""
    for package in ("jinja2", "matplotlib", "msgspec", "numpy", "polars"):
        if find_spec(package) is None:
            _fail(f"the laboratory needs the packages of requirements-lab.txt: {package} is missing")


def _log_errors_only() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


def _load_world(path: Path) -> Any:
    _require_packages()
    from ironbarrow.lab.model.spec import WorldError, load_world

    try:
        return load_world(path)
    except WorldError as error:
        _fail(str(error))


@app.command()
def sim(world: WorldArgument, seed: SeedOption = 1, as_json: JsonOption = False) -> None:
    """Run a world in simulated time, with the real host and decision logic."""
    loaded = _load_world(world)
    _log_errors_only()
    from ironbarrow.lab.model.spec import WorldError
    from ironbarrow.lab.sim.run import Simulation
    from ironbarrow.routing.file import RoutesError

    try:
        result = Simulation(loaded, seed).run()
    except RoutesError as error:
        _fail(f"{world}: `dispatchers.routes`: {error}")
    except WorldError as error:
        _fail(f"{world}: {error}")
    _print_result(result, as_json)


@app.command()
def live(
    world: WorldArgument,
    seed: SeedOption = 1,
    as_json: JsonOption = False,
    folder: Annotated[
        Path | None,
        typer.Option(help="Folder for the dispatchers' files and logs.", show_default="a new one"),
    ] = None,
    fleet: FleetOption = False,
) -> None:
    """Run a world in real time on loopback sockets, with processes of `ironbarrow serve`."""
    loaded = _load_world(world)
    if fleet:
        from ironbarrow.lab.model.spec import with_fleet

        loaded = with_fleet(loaded)
    _log_errors_only()
    _print_result(_run_live(loaded, seed, folder), as_json)


@app.command()
def demo(as_json: JsonOption = False) -> None:
    """Run experiments/demo.toml live for about 20 s: one worker hangs, one drains."""
    from ironbarrow.lab.experiment.spec import ROOT

    loaded = _load_world(ROOT / "experiments" / "demo.toml")
    _log_errors_only()
    if not as_json:
        workers = sum(group.count for group in loaded.workers)
        typer.echo(
            f"{loaded.dispatchers.count} dispatchers, {workers} workers, {loaded.rate():.0f} jobs/s for "
            f"{loaded.duration.seconds:.0f} s on loopback"
        )
        for fault in loaded.faults:
            end = (fault.at + fault.lasts) / 1e9
            typer.echo(f"  {fault.at / 1e9:4.0f} to {end:.0f} s: {fault.kind}: {', '.join(fault.workers)}")
    _print_result(_run_live(loaded, 1, None), as_json)


@app.command()
def tally(
    logs: Annotated[Path, typer.Argument(help="A folder of traces, one *.log per dispatcher.")],
    cold: Annotated[float, typer.Option(help="Time for which a new worker counts as cold, s.", min=0)] = 20.0,
    as_json: JsonOption = False,
) -> None:
    """Summarize logs written with BALANCER_TRACE=1: actions by second and by worker, and how and why the jobs
    of each class ended."""
    from ironbarrow.lab.tally import COLUMNS, TraceLogError, count_traces

    try:
        counts = count_traces(logs, cold)
    except TraceLogError as error:
        _fail(str(error))
    if as_json:
        typer.echo(json.dumps(counts.as_object()))
        return
    from rich import box
    from rich.console import Console
    from rich.table import Table

    table = Table("second", *COLUMNS, box=box.SIMPLE)
    for second, row in sorted(counts.seconds.items()):
        table.add_row(str(second), *(str(row[name]) for name in COLUMNS))
    table.add_row("total", *(str(counts.total[name]) for name in COLUMNS))
    table.add_row("per job", *(f"{counts.per_job(name):.2f}" for name in COLUMNS))
    Console(width=200).print(table)
    for name, outcomes in sorted(counts.classes.items()):
        typer.echo(f"{name}: {outcomes['asked']} requests")
        for outcome, jobs in outcomes.most_common():
            if outcome != "asked":
                typer.echo(f"  {jobs:7d}  {jobs / outcomes['asked']:5.1%}  {outcome}")
    typer.echo(f"{counts.dispatchers} dispatchers, {len(counts.workers)} workers")


@app.command()
def follow(
    logs: Annotated[Path, typer.Argument(help="A folder of traces, one *.log per dispatcher.")],
    job: Annotated[str, typer.Argument(help="The job's X-Request-ID.")],
    as_json: JsonOption = False,
) -> None:
    """Trace one job through the logs of all dispatchers, with what was known of its workers."""
    from ironbarrow.lab.follow import follow_job
    from ironbarrow.lab.tally import TraceLogError

    try:
        steps, truncated = follow_job(logs, job)
    except TraceLogError as error:
        _fail(str(error))
    if as_json:
        rows = [{"at": s.at, "dispatcher": s.dispatcher, "what": s.what, **s.fields} for s in steps]
        typer.echo(json.dumps({"steps": rows, "torn": [str(path) for path in truncated]}))
        return
    for step in steps:
        details = "  ".join(f"{name}={value}" for name, value in step.fields.items())
        typer.echo(f"{step.at:9.3f} s  {step.dispatcher}  {step.what}  {details}".rstrip())
    for path in truncated:
        typer.echo(f"{path}: skipped the incomplete last line")


def _run_live(world: Any, seed: int, folder: Path | None) -> Any:
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    from ironbarrow.lab.live.run import LiveError, LiveRun

    progress_bar = Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    )
    with progress_bar:
        task = progress_bar.add_task("starting", total=world.duration.seconds)

        def progress(elapsed: float, requests: int, finished: int) -> None:
            phase = "serving" if elapsed < world.duration.seconds else "waiting for open requests"
            progress_bar.update(
                task, completed=elapsed, description=f"{phase}: {requests} requests, {finished} finished"
            )

        try:
            return LiveRun(world, seed, folder, progress=progress).run()
        except LiveError as error:
            _fail(str(error), 1)
        except OSError as error:
            _fail(f"can't open sockets for a live run: {error}", 1)


def _print_result(result: Any, as_json: bool) -> None:
    summary = result.summary()
    if as_json:
        output = {
            "world": result.world.name,
            "seed": result.seed,
            "mode": result.mode,
            "digest": result.digest,
            "summary": summary,
            "rules_kept": result.verdicts.kept,
            "breaches": dict(result.verdicts.breaches),
            "examples": result.verdicts.examples,
            "looked_at": dict(result.verdicts.looked_at),
            "wall_s": result.wall_s,
            "span_s": result.span_s,
            "notes": result.notes,
        }
        typer.echo(json.dumps(output))
    else:
        _print_tables(result, summary)
    broken = (result.notes.get("fleet") or {}).get("broken_invariants")
    if not result.verdicts.kept or broken or result.notes.get("crashes") or result.notes.get("wrong_results"):
        raise typer.Exit(1)


def _print_tables(result: Any, summary: dict[str, Any]) -> None:
    from rich import box
    from rich.console import Console
    from rich.table import Table

    title = f"{result.world.name}, seed {result.seed}, {result.mode}: {result.span_s:.0f} s"
    table = Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("class")
    for name in (
        "requests",
        "in time",
        "late",
        "refused",
        "failed",
        "no answer",
        "p50/ms",
        "p99/ms",
        "service",
    ):
        table.add_column(name, justify="right", no_wrap=True)
    for name, metrics in (*summary["classes"].items(), ("all", summary["all"])):
        late = metrics["served"] - metrics["in_time"]
        counts = [metrics["asked"], metrics["in_time"], late]
        counts += [metrics[key] for key in ("refused", "failed", "no_answer")]
        times = [f"{metrics[key]:.0f}" if metrics["served"] else "-" for key in ("p50_ms", "p99_ms")]
        table.add_row(name, *map(str, counts), *times, f"{metrics['service']:.3f}")
    console = Console() if sys.stdout.isatty() else Console(width=100)
    console.print(table)
    checks = ", ".join(f"{count} {rule}" for rule, count in sorted(result.verdicts.looked_at.items()))
    if result.verdicts.kept:
        console.print(f"rules kept ({checks})")
    else:
        console.print(f"[bold red]rules broken[/]: {dict(result.verdicts.breaches)} ({checks})")
        for example in result.verdicts.examples:
            console.print(f"  {example}", markup=False)
    notes = result.notes
    if result.mode == "live":
        console.print(
            f"dispatchers: {max(notes['peak_mb']):.0f} MB at most, ready after "
            f"{max(notes['ready_after_ms']):.0f} ms at most, {notes['crashes']} crashes; "
            f"requests were sent {notes['late_p99_ms']:.1f} ms late (p99)"
        )
        if notes["late"]:
            console.print(
                "[yellow]the load generator fell behind its schedule: these metrics are of a busy machine[/]"
            )
    else:
        rate = summary["all"]["asked"] / result.wall_s
        console.print(f"{result.events} events, {rate:.0f} jobs/s of wall time; digest {result.digest}")


@app.command("list")
def list_worlds(
    folder: Annotated[Path, typer.Argument(help="Folder to search.")] = Path("experiments"),
    as_json: JsonOption = False,
) -> None:
    """List the worlds and experiments of a folder, with the number of finished cells."""
    _require_packages()
    from ironbarrow.lab.experiment.runner import default_folder
    from ironbarrow.lab.experiment.store import CellStore
    from ironbarrow.lab.model.spec import WorldError, read_toml

    if not folder.is_dir():
        _fail(f"{folder}: not a folder")
    entries = []
    for path in sorted(folder.glob("*.toml")):
        try:
            raw = read_toml(path)
        except WorldError as error:
            _fail(str(error))
        kind = "experiment" if "world" in raw else "world"
        entry: dict[str, Any] = {"file": str(path), "kind": kind, "name": raw.get("name", "")}
        store = CellStore(default_folder(path))
        if kind == "experiment" and (store.folder / "plan.json").exists():
            cells = store.load_plan()["cells"]
            entry.update(cells=len(cells), finished=sum(store.contains(cell["cell"]) for cell in cells))
        entries.append(entry)
    if as_json:
        typer.echo(json.dumps(entries))
        return
    for entry in entries:
        cells = f"  {entry['finished']} of {entry['cells']} cells" if "cells" in entry else ""
        typer.echo(f"{entry['file']:40} {entry['kind']:10} {entry['name']}{cells}")


@app.command()
def run(
    experiment: Annotated[Path, typer.Argument(help="An experiment, in TOML.", show_default=False)],
    jobs: Annotated[int, typer.Option(help="Number of parallel processes.", min=1)] = os.cpu_count() or 1,
    out: Annotated[
        Path | None, typer.Option(help="Folder for the cells.", show_default="results/NAME beside the file")
    ] = None,
    dry_run: Annotated[bool, typer.Option(help="Print what would run, and run nothing.")] = False,
    fleet: FleetOption = False,
    as_json: JsonOption = False,
) -> None:
    """Run the unfinished cells of an experiment: axes x seeds x variants."""
    _require_packages()
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from ironbarrow.lab.experiment.runner import Runner, default_folder
    from ironbarrow.lab.experiment.spec import load_plan
    from ironbarrow.lab.experiment.store import CellStore
    from ironbarrow.lab.model.spec import WorldError

    folder = out or default_folder(experiment)
    try:
        plan = load_plan(experiment, folder / "variants", fleet=fleet)
    except WorldError as error:
        _fail(str(error))
    store = CellStore(folder)
    unfinished = sum(not store.contains(cell.id) for cell in plan.cells)
    if dry_run:
        typer.echo(f"{len(plan.cells)} cells, {unfinished} to run, into {folder}")
        return
    # a live cell by itself runs dispatchers, workers and clients in parallel
    runner = Runner(plan, store, 1 if plan.experiment.mode == "live" else jobs)
    progress_bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
    )
    with progress_bar:
        task = progress_bar.add_task(plan.experiment.name, total=len(plan.cells))
        runner.on_cell_done = lambda cell, error: progress_bar.advance(task)
        try:
            outcome = runner.run()
        except KeyboardInterrupt:
            _fail(
                f"interrupted; finished cells stay in {folder}, and the same command goes on from there",
                130,
            )
        except OSError as error:
            _fail(f"{error.filename or folder}: {error.strerror}", 1)
    broken = {
        cell.id: store.load_cell(cell.id)["breaches"]
        for cell in plan.cells
        if store.contains(cell.id) and store.load_cell(cell.id)["breaches"]
    }
    if as_json:
        output = {
            "finished": outcome.finished,
            "kept": outcome.kept,
            "failed": outcome.failed,
            "broken": broken,
        }
        typer.echo(json.dumps({**output, "stopped": outcome.stopped, "folder": str(folder)}))
    else:
        typer.echo(
            f"{outcome.finished} cells run, {outcome.kept} already finished, {len(outcome.failed)} failed, "
            f"{len(broken)} with broken rules; {folder}"
        )
        for name, reason in list(outcome.failed.items())[:5]:
            typer.echo(f"  {name}: {reason}", err=True)
    if outcome.stopped:
        _fail(f"stopped: {outcome.stopped}", 1)
    if outcome.failed or broken:
        raise typer.Exit(1)


FolderArgument = Annotated[Path, typer.Argument(help="Folder of an experiment's cells.", show_default=False)]


def _load_cells(folder: Path) -> tuple[Any, list[dict[str, Any]]]:
    _require_packages()
    from ironbarrow.lab.experiment.compare import load_cells
    from ironbarrow.lab.experiment.store import CellStore

    store = CellStore(folder)
    if not (folder / "plan.json").exists():
        _fail(f"{folder}: no cells found; run `ironbarrow lab run` first")
    cells = load_cells(store)
    if not cells:
        _fail(f"{folder}: no finished cells", 1)
    return store, cells


@app.command()
def compare(
    folder: FolderArgument,
    base: Annotated[str, typer.Option(help="The variant to compare with.", show_default="the first")] = "",
    metric: Annotated[list[str] | None, typer.Option(help="A metric to compare; repeatable.")] = None,
    as_json: JsonOption = False,
) -> None:
    """Compare variants, paired by seed: mean differences with 95% bootstrap intervals."""
    store, cells = _load_cells(folder)
    from ironbarrow.lab.experiment.compare import METRICS, compare

    variants = store.load_plan()["variants"]
    base_variant = base or variants[0]
    unknown = [name for name in metric or () if name not in METRICS]
    if base_variant not in variants:
        _fail(f"--base: expected one of {variants}, got {base_variant!r}")
    if unknown:
        _fail(f"--metric: expected some of {', '.join(METRICS)}, got {unknown[0]!r}")
    if len(variants) < 2:
        _fail(f"{folder}: only one variant, nothing to compare")
    rows = []
    for other in (name for name in variants if name != base_variant):
        for comparison in compare(
            cells, base_variant, other, tuple(metric or ("service", "p50_ms", "p99_ms"))
        ):
            rows.append(
                {
                    "variant": other,
                    **{name: getattr(comparison, name) for name in comparison.__slots__},
                    "sure": comparison.sure,
                }
            )
    if as_json:
        typer.echo(json.dumps(rows))
        return
    from rich import box
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"against {base_variant}", title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for name in ("variant", "at", "class", "metric", base_variant, "difference", "95% interval", "pairs"):
        table.add_column(name)
    for row in rows:
        axes = ", ".join(f"{key}={value}" for key, value in row["axes"].items())
        note = "" if row["sure"] else " (not significant)"
        table.add_row(
            row["variant"],
            axes,
            row["group"],
            row["metric"],
            f"{row['base']:.3f}",
            f"{row['mean']:+.3f}{note}",
            f"{row['low']:+.3f} to {row['high']:+.3f}",
            str(row["pairs"]),
        )
    (Console() if sys.stdout.isatty() else Console(width=120)).print(table)


@app.command()
def plot(
    folder: FolderArgument,
    out: Annotated[
        Path | None, typer.Option(help="Folder for the PNG files.", show_default="the cells'")
    ] = None,
) -> None:
    """Draw the plots of an experiment as PNG files."""
    store, cells = _load_cells(folder)
    from ironbarrow.lab.experiment.plots import draw_all

    target = out or folder / "plots"
    target.mkdir(parents=True, exist_ok=True)
    for name, png in draw_all(store, cells).items():
        (target / f"{name}.png").write_bytes(png)
        typer.echo(str(target / f"{name}.png"))


@app.command()
def report(
    folder: FolderArgument,
    out: Annotated[
        Path | None, typer.Option(help="File to write.", show_default="report.html in the folder")
    ] = None,
) -> None:
    """Write a self-contained HTML report: plots, tables, comparisons, rules."""
    store, cells = _load_cells(folder)
    from ironbarrow.lab.experiment.report import render_page

    target = out or folder / "report.html"
    target.write_text(render_page(store, cells), encoding="utf-8")
    typer.echo(str(target))


@app.command()
def validate(
    jobs: Annotated[int, typer.Option(help="Jobs per case.", min=1000)] = 1_000_000,
    seed: SeedOption = 1,
    as_json: JsonOption = False,
) -> None:
    """Validate the worker model against closed-form results: M/M/1, M/M/c, M/D/1 and Little's law."""
    _require_packages()
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    from ironbarrow.lab.validate import CASES, run_case

    with ProcessPoolExecutor() as pool:
        results = list(pool.map(partial(run_case, jobs=jobs, seed=seed), CASES))
    if as_json:
        typer.echo(
            json.dumps(
                [
                    {
                        "case": result.case.name,
                        "wait_s": result.wait,
                        "expected_s": result.case.expected(),
                        "half_width_s": result.half_width,
                        "error": result.error,
                        "little": result.number_waiting / result.rate_times_wait,
                    }
                    for result in results
                ]
            )
        )
    else:
        typer.echo(f"{'case':14} {'wait':>10} {'formula':>10} {'error':>8} {'95% +-':>8} {'Little':>8}")
        for result in results:
            typer.echo(
                f"{result.case.name:14} {result.wait:9.4f}s {result.case.expected():9.4f}s "
                f"{result.error:+8.2%} {result.half_width / result.wait:8.2%} "
                f"{result.number_waiting / result.rate_times_wait:8.5f}"
            )
    if any(abs(result.error) > 0.03 for result in results):
        _fail("a mean wait differs from its formula by more than 3%", 1)
