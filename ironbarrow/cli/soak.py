"""``ironbarrow lab soak``: runs real dispatchers under random faults and checks that no rule is broken."""

import json
from dataclasses import asdict
from importlib.util import find_spec
from typing import Annotated

import typer


def soak(
    seeds: Annotated[int, typer.Option(help="Number of runs, each with its own seed.", min=1)] = 50,
    first: Annotated[int, typer.Option(help="The first seed.", min=0)] = 1,
    dispatchers: Annotated[int, typer.Option(help="Dispatcher processes in each run.", min=2, max=120)] = 24,
    seconds: Annotated[float, typer.Option(help="Duration of each run, s.", min=4)] = 12.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object per run.")] = False,
) -> None:
    """Run soak tests: overlapping faults of workers, discovery, clocks and system calls, series of signals,
    and SIGKILL after the shortest stop time. Exit status 1 if any rule was broken."""
    if find_spec("msgspec") is None or find_spec("numpy") is None:
        typer.echo("ironbarrow: soak runs need the packages of requirements-lab.txt", err=True)
        raise typer.Exit(2)
    from ironbarrow.lab.soak.plan import draw_plan
    from ironbarrow.lab.soak.run import run_soak

    failed_seeds = []
    for seed in range(first, first + seeds):
        result = run_soak(draw_plan(seed, dispatchers, seconds))
        if result.problems:
            failed_seeds.append(seed)
        if as_json:
            typer.echo(json.dumps(asdict(result)))
            continue
        verdict = "broken" if result.problems else "kept"
        typer.echo(
            f"seed {seed}: {verdict}, {result.jobs} jobs, {result.attempts} attempts, {result.stops} stops,"
            f" generator late by {result.late_p99_ms:.0f} ms at p99, logs in {result.folder}"
        )
        for problem in result.problems:
            typer.echo(f"  {problem}")
    typer.echo(
        f"{seeds - len(failed_seeds)} of {seeds} runs kept the rules"
        + (f"; failed seeds: {failed_seeds}" if failed_seeds else "")
    )
    if failed_seeds:
        raise typer.Exit(1)
