"""``ironbarrow lab scale``: a fleet of a part of the expected size on loopback, measured."""

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
        typer.Option("--size", help="1-8, 1-4, 1-2 or whole; may be given again.", show_default="1-8"),
    ] = None,
    dispatchers: Annotated[
        int, typer.Option(help="Another number of dispatchers than the size has; 0: its own.", min=0, max=250)
    ] = 0,
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = RESULTS,
    tables: Annotated[
        bool, typer.Option("--tables", help="Print the tables of the results there; play nothing.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of tables.")] = False,
) -> None:
    """Play a fleet of a part of the expected size: real processes beside hollow dispatchers and workers.

    Calm, then one fault of each kind. A run that was late is repeated at the next smaller size.
    """
    if find_spec("msgspec") is None:
        _fail("a scale run needs the packages of requirements-lab.txt: msgspec is missing")
    from ironbarrow.lab.scale.result import read
    from ironbarrow.lab.scale.target import SIZES

    if tables:
        paths = sorted(path for name in SIZES for path in out.glob(f"scale-{name}*.json"))
        if not paths:
            _fail(f"{out}: no results there")
        _show([read(path) for path in paths], as_json)
        return
    unknown = [name for name in sizes or () if name not in SIZES]
    if unknown:
        _fail(f"--size: expected some of {', '.join(SIZES)}, got {unknown[0]!r}")
    _show(_play_all(sizes or ["1-8"], dispatchers, out), as_json)


def _play_all(names: list[str], dispatchers: int, out: Path) -> list[Any]:
    """The results by size; after a late run, the next smaller size is played too."""
    from ironbarrow.lab.scale.result import write
    from ironbarrow.lab.scale.target import SIZES

    smaller = dict(zip(list(SIZES)[1:], SIZES, strict=False))
    waiting, results = list(dict.fromkeys(names)), {}
    while waiting:
        name = waiting.pop(0)
        result = results[name] = _play(name, dispatchers)
        write(result, out / f"scale-{result.size}.json")
        if result.stopped:
            break
        next_one = smaller.get(name)
        if result.late and next_one is not None and next_one not in results and next_one not in waiting:
            waiting.insert(0, next_one)
    return list(results.values())


def _play(name: str, dispatchers: int) -> Any:
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
        _fail(f"{name}: no sockets or processes for a run: {error}", 1)


def _show(results: list[Any], as_json: bool) -> None:
    import msgspec

    from ironbarrow.lab.scale.result import tables

    if as_json:
        typer.echo(json.dumps(msgspec.to_builtins(results)))
    else:
        typer.echo(tables(results), nl=False)
    if any(result.stopped for result in results):
        raise typer.Exit(1)
