"""``ironbarrow lab``: worlds in simulated time and on live sockets, experiments, comparisons, reports."""

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
    "Exit status: 0 good; 1 a rule was broken, a cell failed or the run was cut short; 2 a file or an "
    "argument that can't be used; 130 interrupted.",
)

app.command()(scale)
app.command()(soak)

WorldFile = Annotated[Path, typer.Argument(help="A world, in TOML.", show_default=False)]
Seed = Annotated[int, typer.Option(help="Equal seeds give equal worlds.", min=0)]
FleetOn = Annotated[bool, typer.Option("--fleet", help="The dispatchers share a fleet, by its defaults.")]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON object instead of tables.")]


def _fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(code)


def _libraries() -> None:
    """Danger: without the extra, the first import fails deep inside with a traceback."""
    for name in ("jinja2", "matplotlib", "msgspec", "numpy", "polars"):
        if find_spec(name) is None:
            _fail(f"the laboratory needs the packages of requirements-lab.txt: {name} is missing")


def _quiet() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


def _world(path: Path) -> Any:
    _libraries()
    from ironbarrow.lab.model.spec import WorldError, load_world

    try:
        return load_world(path)
    except WorldError as error:
        _fail(str(error))


@app.command()
def sim(world: WorldFile, seed: Seed = 1, as_json: Json = False) -> None:
    """Play a world in simulated time, with the real host and decisions."""
    loaded = _world(world)
    _quiet()
    from ironbarrow.lab.model.spec import WorldError
    from ironbarrow.lab.sim.run import Simulation
    from ironbarrow.routing.file import RoutesError

    try:
        result = Simulation(loaded, seed).run()
    except RoutesError as error:
        _fail(f"{world}: `dispatchers.routes`: {error}")
    except WorldError as error:
        _fail(f"{world}: {error}")
    _show(result, as_json)


@app.command()
def live(
    world: WorldFile,
    seed: Seed = 1,
    as_json: Json = False,
    folder: Annotated[
        Path | None, typer.Option(help="Where the dispatchers' files and logs go.", show_default="a new one")
    ] = None,
    fleet: FleetOn = False,
) -> None:
    """Play a world on loopback sockets, in real time, round processes of `ironbarrow serve`."""
    loaded = _world(world)
    if fleet:
        from ironbarrow.lab.model.spec import with_fleet

        loaded = with_fleet(loaded)
    _quiet()
    _show(_play_live(loaded, seed, folder), as_json)


@app.command()
def demo(as_json: Json = False) -> None:
    """Play experiments/demo.toml live: one worker hangs, one drains, for about 20 s."""
    from ironbarrow.lab.experiment.spec import ROOT

    loaded = _world(ROOT / "experiments" / "demo.toml")
    _quiet()
    if not as_json:
        workers = sum(group.count for group in loaded.workers)
        typer.echo(
            f"{loaded.dispatchers.count} dispatchers, {workers} workers, {loaded.rate():.0f} jobs/s for "
            f"{loaded.duration.seconds:.0f} s on loopback"
        )
        for fault in loaded.faults:
            ends = (fault.at + fault.lasts) / 1e9
            typer.echo(f"  {fault.at / 1e9:4.0f} to {ends:.0f} s: {fault.kind}: {', '.join(fault.workers)}")
    _show(_play_live(loaded, 1, None), as_json)


@app.command()
def tally(
    logs: Annotated[Path, typer.Argument(help="A folder of traces, one *.log a dispatcher.")],
    cold: Annotated[float, typer.Option(help="How long a worker counts as cold, s.", min=0)] = 20.0,
    as_json: Json = False,
) -> None:
    """Count what a fleet did, by second, by worker and how each class's jobs ended and why, from logs
    written with BALANCER_TRACE=1."""
    from ironbarrow.lab.tally import COLUMNS, TraceLogError
    from ironbarrow.lab.tally import count_traces as count

    try:
        found = count(logs, cold)
    except TraceLogError as error:
        _fail(str(error))
    if as_json:
        typer.echo(json.dumps(found.as_object()))
        return
    from rich import box
    from rich.console import Console
    from rich.table import Table

    table = Table("second", *COLUMNS, box=box.SIMPLE)
    for second, row in sorted(found.seconds.items()):
        table.add_row(str(second), *(str(row[name]) for name in COLUMNS))
    table.add_row("in all", *(str(found.total[name]) for name in COLUMNS))
    table.add_row("a job", *(f"{found.per_job(name):.2f}" for name in COLUMNS))
    Console(width=200).print(table)
    for name, ends in sorted(found.classes.items()):
        typer.echo(f"{name}: {ends['asked']} asked")
        for end, number in ends.most_common():
            if end != "asked":
                typer.echo(f"  {number:7d}  {number / ends['asked']:5.1%}  {end}")
    typer.echo(f"{found.dispatchers} dispatchers, {len(found.workers)} workers")


@app.command()
def follow(
    logs: Annotated[Path, typer.Argument(help="A folder of traces, one *.log a dispatcher.")],
    job: Annotated[str, typer.Argument(help="The job's X-Request-ID.")],
    as_json: Json = False,
) -> None:
    """Follow one job through all dispatchers' logs, with what was known of each worker it was sent to."""
    from ironbarrow.lab.follow import follow_job as steps_of
    from ironbarrow.lab.tally import TraceLogError

    try:
        steps, torn = steps_of(logs, job)
    except TraceLogError as error:
        _fail(str(error))
    if as_json:
        rows = [{"at": s.at, "dispatcher": s.dispatcher, "what": s.what, **s.fields} for s in steps]
        typer.echo(json.dumps({"steps": rows, "torn": [str(path) for path in torn]}))
        return
    for step in steps:
        told = "  ".join(f"{name}={value}" for name, value in step.fields.items())
        typer.echo(f"{step.at:9.3f} s  {step.dispatcher}  {step.what}  {told}".rstrip())
    for path in torn:
        typer.echo(f"{path}: its last line is torn and was passed over")


def _play_live(world: Any, seed: int, folder: Path | None) -> Any:
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    from ironbarrow.lab.live.run import LiveError, LiveRun

    shown = Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    )
    with shown:
        bar = shown.add_task("starting", total=world.duration.seconds)

        def progress(elapsed: float, asked: int, over: int) -> None:
            text = "serving" if elapsed < world.duration.seconds else "finishing what is out"
            shown.update(bar, completed=elapsed, description=f"{text}: {asked} asked, {over} over")

        try:
            return LiveRun(world, seed, folder, progress=progress).run()
        except LiveError as error:
            _fail(str(error), 1)
        except OSError as error:
            _fail(f"no sockets for a live run: {error}", 1)


def _show(result: Any, as_json: bool) -> None:
    summary = result.summary()
    if as_json:
        found = {
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
        typer.echo(json.dumps(found))
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
    for name in ("asked", "in time", "late", "refused", "failed", "silent", "p50/ms", "p99/ms", "service"):
        table.add_column(name, justify="right", no_wrap=True)
    for name, figures in (*summary["classes"].items(), ("all", summary["all"])):
        late = figures["served"] - figures["in_time"]
        counts = [figures["asked"], figures["in_time"], late]
        counts += [figures[k] for k in ("refused", "failed", "no_answer")]
        times = [f"{figures[k]:.0f}" if figures["served"] else "-" for k in ("p50_ms", "p99_ms")]
        table.add_row(name, *map(str, counts), *times, f"{figures['service']:.3f}")
    console = Console() if sys.stdout.isatty() else Console(width=100)
    console.print(table)
    looked = ", ".join(f"{number} {what}" for what, number in sorted(result.verdicts.looked_at.items()))
    if result.verdicts.kept:
        console.print(f"rules kept ({looked})")
    else:
        console.print(f"[bold red]rules broken[/]: {dict(result.verdicts.breaches)} ({looked})")
        for example in result.verdicts.examples:
            console.print(f"  {example}", markup=False)
    notes = result.notes
    if result.mode == "live":
        console.print(
            f"dispatchers: {max(notes['peak_mb']):.0f} MB at most, ready after "
            f"{max(notes['ready_after_ms']):.0f} ms at most, {notes['crashes']} crashes; "
            f"orders were sent {notes['late_p99_ms']:.1f} ms late (p99)"
        )
        if notes["late"]:
            console.print(
                "[yellow]the generator ran late against its own schedule: figures are of a busy machine[/]"
            )
    else:
        rate = summary["all"]["asked"] / result.wall_s
        console.print(f"{result.events} events, {rate:.0f} jobs/s of wall time; digest {result.digest}")


@app.command("list")
def list_worlds(
    folder: Annotated[Path, typer.Argument(help="Where to look.")] = Path("experiments"),
    as_json: Json = False,
) -> None:
    """List the worlds and experiments of a folder, and which of their cells are finished."""
    _libraries()
    from ironbarrow.lab.experiment.runner import default_folder
    from ironbarrow.lab.experiment.store import Store
    from ironbarrow.lab.model.spec import WorldError, read_toml

    if not folder.is_dir():
        _fail(f"{folder}: not a folder")
    found = []
    for path in sorted(folder.glob("*.toml")):
        try:
            raw = read_toml(path)
        except WorldError as error:
            _fail(str(error))
        kind = "experiment" if "world" in raw else "world"
        line: dict[str, Any] = {"file": str(path), "kind": kind, "name": raw.get("name", "")}
        store = Store(default_folder(path))
        if kind == "experiment" and (store.folder / "plan.json").exists():
            cells = store.plan()["cells"]
            line.update(cells=len(cells), finished=sum(store.has(cell["cell"]) for cell in cells))
        found.append(line)
    if as_json:
        typer.echo(json.dumps(found))
        return
    for line in found:
        cells = f"  {line['finished']} of {line['cells']} cells" if "cells" in line else ""
        typer.echo(f"{line['file']:40} {line['kind']:10} {line['name']}{cells}")


@app.command()
def run(
    experiment: Annotated[Path, typer.Argument(help="An experiment, in TOML.", show_default=False)],
    jobs: Annotated[int, typer.Option(help="Processes at once.", min=1)] = os.cpu_count() or 1,
    out: Annotated[
        Path | None, typer.Option(help="Folder for the cells.", show_default="results/NAME beside the file")
    ] = None,
    dry_run: Annotated[bool, typer.Option(help="Say what would run, and run nothing.")] = False,
    fleet: FleetOn = False,
    as_json: Json = False,
) -> None:
    """Run the cells of an experiment that are not finished yet: axes x seeds x variants."""
    _libraries()
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from ironbarrow.lab.experiment.runner import Runner, default_folder
    from ironbarrow.lab.experiment.spec import load_plan
    from ironbarrow.lab.experiment.store import Store
    from ironbarrow.lab.model.spec import WorldError

    folder = out or default_folder(experiment)
    try:
        plan = load_plan(experiment, folder / "variants", fleet=fleet)
    except WorldError as error:
        _fail(str(error))
    store = Store(folder)
    missing = sum(not store.has(cell.id) for cell in plan.cells)
    if dry_run:
        typer.echo(f"{len(plan.cells)} cells, {missing} to run, into {folder}")
        return
    # a live cell keeps dispatchers, workers and clients busy at once
    runner = Runner(plan, store, 1 if plan.experiment.mode == "live" else jobs)
    shown = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
    )
    with shown:
        bar = shown.add_task(plan.experiment.name, total=len(plan.cells))
        runner.on_cell = lambda cell, error: shown.advance(bar)
        try:
            outcome = runner.run()
        except KeyboardInterrupt:
            _fail(
                f"interrupted; finished cells stay in {folder}, and the same command goes on from there", 130
            )
        except OSError as error:
            _fail(f"{error.filename or folder}: {error.strerror}", 1)
    broken = {
        cell.id: store.described(cell.id)["breaches"]
        for cell in plan.cells
        if store.has(cell.id) and store.described(cell.id)["breaches"]
    }
    if as_json:
        said = {
            "finished": outcome.finished,
            "kept": outcome.kept,
            "failed": outcome.failed,
            "broken": broken,
        }
        typer.echo(json.dumps({**said, "stopped": outcome.stopped, "folder": str(folder)}))
    else:
        typer.echo(
            f"{outcome.finished} cells run, {outcome.kept} were there, {len(outcome.failed)} failed, "
            f"{len(broken)} with broken rules; {folder}"
        )
        for name, why in list(outcome.failed.items())[:5]:
            typer.echo(f"  {name}: {why}", err=True)
    if outcome.stopped:
        _fail(f"stopped: {outcome.stopped}", 1)
    if outcome.failed or broken:
        raise typer.Exit(1)


Folder = Annotated[Path, typer.Argument(help="The folder of an experiment's cells.", show_default=False)]


def _cells(folder: Path) -> tuple[Any, list[dict[str, Any]]]:
    _libraries()
    from ironbarrow.lab.experiment.compare import cells_of
    from ironbarrow.lab.experiment.store import Store

    store = Store(folder)
    if not (folder / "plan.json").exists():
        _fail(f"{folder}: no cells here; run `ironbarrow lab run` first")
    cells = cells_of(store)
    if not cells:
        _fail(f"{folder}: no finished cells", 1)
    return store, cells


@app.command()
def compare(
    folder: Folder,
    base: Annotated[str, typer.Option(help="The variant to compare with.", show_default="the first")] = "",
    metric: Annotated[list[str] | None, typer.Option(help="May be given more than once.")] = None,
    as_json: Json = False,
) -> None:
    """Compare variants, paired by seed: mean differences with 95% bootstrap intervals."""
    store, cells = _cells(folder)
    from ironbarrow.lab.experiment.compare import METRICS, compare

    variants = store.plan()["variants"]
    first = base or variants[0]
    unknown = [name for name in metric or () if name not in METRICS]
    if first not in variants:
        _fail(f"--base: expected one of {variants}, got {first!r}")
    if unknown:
        _fail(f"--metric: expected some of {', '.join(METRICS)}, got {unknown[0]!r}")
    if len(variants) < 2:
        _fail(f"{folder}: one variant alone; nothing to compare")
    found = []
    for other in (name for name in variants if name != first):
        for row in compare(cells, first, other, tuple(metric or ("service", "p50_ms", "p99_ms"))):
            found.append(
                {"variant": other, **{name: getattr(row, name) for name in row.__slots__}, "sure": row.sure}
            )
    if as_json:
        typer.echo(json.dumps(found))
        return
    from rich import box
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"against {first}", title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for name in ("variant", "at", "class", "metric", first, "difference", "95% interval", "pairs"):
        table.add_column(name)
    for said in found:
        at = ", ".join(f"{key}={value}" for key, value in said["axes"].items())
        mark = "" if said["sure"] else " (noise)"
        table.add_row(
            said["variant"],
            at,
            said["group"],
            said["metric"],
            f"{said['base']:.3f}",
            f"{said['mean']:+.3f}{mark}",
            f"{said['low']:+.3f} to {said['high']:+.3f}",
            str(said["pairs"]),
        )
    (Console() if sys.stdout.isatty() else Console(width=120)).print(table)


@app.command()
def plot(
    folder: Folder,
    out: Annotated[
        Path | None, typer.Option(help="Folder for the PNG files.", show_default="the cells'")
    ] = None,
) -> None:
    """Draw an experiment's plots as PNG files."""
    store, cells = _cells(folder)
    from ironbarrow.lab.experiment.plots import draw_all

    target = out or folder / "plots"
    target.mkdir(parents=True, exist_ok=True)
    for name, png in draw_all(store, cells).items():
        (target / f"{name}.png").write_bytes(png)
        typer.echo(str(target / f"{name}.png"))


@app.command()
def report(
    folder: Folder,
    out: Annotated[
        Path | None, typer.Option(help="The page to write.", show_default="report.html there")
    ] = None,
) -> None:
    """Write one self-contained HTML page: plots, tables, comparisons, rules."""
    store, cells = _cells(folder)
    from ironbarrow.lab.experiment.report import page

    target = out or folder / "report.html"
    target.write_text(page(store, cells), encoding="utf-8")
    typer.echo(str(target))


@app.command()
def validate(
    jobs: Annotated[int, typer.Option(help="Jobs a case.", min=1000)] = 1_000_000,
    seed: Seed = 1,
    as_json: Json = False,
) -> None:
    """Hold the worker's model against closed forms: M/M/1, M/M/c, M/D/1 and Little's law."""
    _libraries()
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    from ironbarrow.lab.validate import CASES, run_case

    with ProcessPoolExecutor() as pool:
        found = list(pool.map(partial(run_case, jobs=jobs, seed=seed), CASES))
    if as_json:
        typer.echo(
            json.dumps(
                [
                    {
                        "case": f.case.name,
                        "wait_s": f.wait,
                        "expected_s": f.case.expected(),
                        "half_width_s": f.half_width,
                        "error": f.error,
                        "little": f.number_waiting / f.rate_times_wait,
                    }
                    for f in found
                ]
            )
        )
    else:
        typer.echo(f"{'case':14} {'wait':>10} {'formula':>10} {'error':>8} {'95% +-':>8} {'Little':>8}")
        for f in found:
            typer.echo(
                f"{f.case.name:14} {f.wait:9.4f}s {f.case.expected():9.4f}s {f.error:+8.2%} "
                f"{f.half_width / f.wait:8.2%} {f.number_waiting / f.rate_times_wait:8.5f}"
            )
    if any(abs(f.error) > 0.03 for f in found):
        _fail("a mean wait is more than 3% from its formula", 1)
