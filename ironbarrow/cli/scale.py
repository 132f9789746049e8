"""``ironbarrow lab scale``: measures a fleet of a fraction of the expected size on loopback."""

import json
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

RESULTS = Path("benchmarks/results")


def _fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(code)


def scale(
    sizes: Annotated[
        list[str] | None,
        typer.Option(
            "--size",
            help="Fraction of the expected size: 1-8, 1-4, 1-2 or whole; repeatable.",
            show_default="1-8",
        ),
    ] = None,
    dispatchers: Annotated[
        int,
        typer.Option(
            help="Number of dispatchers, in place of the size's own; 0: the size's own.", min=0, max=250
        ),
    ] = 0,
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = RESULTS,
    tables: Annotated[
        bool, typer.Option("--tables", help="Print tables of the existing results; run nothing.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of tables.")] = False,
) -> None:
    """Run a fleet of a fraction of the expected size: a few real processes beside many hollow ones.

    Many hollow dispatchers or workers share one process. Runs without faults first, then with one fault of
    each kind. A run whose load generator fell behind its schedule is repeated at the next smaller size.
    """
    if find_spec("msgspec") is None:
        _fail("a scale run needs the packages of requirements-lab.txt: msgspec is missing")
    from ironbarrow.lab.scale.result import read
    from ironbarrow.lab.scale.target import SIZES

    if tables:
        paths = sorted(path for name in SIZES for path in out.glob(f"scale-{name}*.json"))
        if not paths:
            _fail(f"{out}: no results found")
        _print_results([read(path) for path in paths], as_json)
        return
    unknown = [name for name in sizes or () if name not in SIZES]
    if unknown:
        _fail(f"--size: expected some of {', '.join(SIZES)}, got {unknown[0]!r}")
    _print_results(_run_sizes(sizes or ["1-8"], dispatchers, out), as_json)


def _run_sizes(names: list[str], dispatchers: int, out: Path) -> list[Any]:
    """Runs the sizes and returns their results; after a late run, the next smaller size runs too."""
    from ironbarrow.lab.scale.result import write
    from ironbarrow.lab.scale.target import SIZES

    smaller_size = dict(zip(list(SIZES)[1:], SIZES, strict=False))
    pending, results = list(dict.fromkeys(names)), {}
    while pending:
        name = pending.pop(0)
        result = results[name] = _run_size(name, dispatchers)
        write(result, out / f"scale-{result.size}.json")
        if result.stopped:
            break
        next_smaller = smaller_size.get(name)
        if (
            result.late
            and next_smaller is not None
            and next_smaller not in results
            and next_smaller not in pending
        ):
            pending.insert(0, next_smaller)
    return list(results.values())


def _run_size(name: str, dispatchers: int) -> Any:
    from ironbarrow.lab.scale.children import ChildError
    from ironbarrow.lab.scale.limits import LimitError
    from ironbarrow.lab.scale.live import ScaleRun, StartError
    from ironbarrow.lab.scale.target import size_of

    def progress(text: str) -> None:
        typer.echo(text, err=True)

    try:
        return ScaleRun(size_of(name, dispatchers), progress=progress).run()
    except (ChildError, LimitError, StartError) as error:
        _fail(f"{name}: {error}", 1)
    except OSError as error:
        _fail(f"{name}: can't open sockets or start processes: {error}", 1)


def _print_results(results: list[Any], as_json: bool) -> None:
    import msgspec

    from ironbarrow.lab.scale.result import tables

    if as_json:
        typer.echo(json.dumps(msgspec.to_builtins(results)))
    else:
        typer.echo(tables(results), nl=False)
    if any(result.stopped for result in results):
        raise typer.Exit(1)
