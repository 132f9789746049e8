"""``ironbarrow config``: the operators' file of routes and limits, looked at before it serves."""

import json
import os
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(
    no_args_is_help=True,
    help="Check and explain an operators' file of routes and limits.\n\n"
    "Exit status: 0 good; 1 files differ, or routes that no request reaches (with --strict); 2 a file or an "
    "argument that can't be used.",
)

RoutesFile = Annotated[Path, typer.Argument(help="An operators' file, in TOML.", show_default=False)]
Settings = Annotated[
    Path | None,
    typer.Option("--settings", help="The dispatcher's configuration.", show_default="BALANCER_CONFIG"),
]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def _fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(code)


def _settings(path: Path | None) -> Any:
    from heathway.settings import read_settings

    place = path or (Path(found) if (found := os.environ.get("BALANCER_CONFIG")) else None)
    if place is None:
        _fail("expected --settings, or BALANCER_CONFIG: limits are checked against its classes")
    try:
        raw = json.loads(place.read_text(encoding="utf-8"))
        return read_settings(raw.get("settings") or {})
    except OSError as error:
        _fail(f"{place}: can't be read: {error.strerror}")
    except (ValueError, AttributeError) as error:
        _fail(f"{place}: {error}")


def _table(path: Path, settings: Path | None) -> Any:
    for name in ("lark", "msgspec", "re2"):
        if find_spec(name) is None:
            _fail(f"routes need the packages of requirements-routes.txt: {name} is missing")
    from ironbarrow.routing.file import RoutesError, load_routes
    from ironbarrow.routing.table import RoutingTable

    known = _settings(settings)
    try:
        return RoutingTable(load_routes(path), known)
    except RoutesError as error:
        _fail(str(error))


@app.command()
def check(
    file: RoutesFile,
    settings: Settings = None,
    strict: Annotated[bool, typer.Option(help="Unreachable routes count as errors.")] = False,
    as_json: Json = False,
) -> None:
    """Check a file whole: types, costs, limits against the settings, routes that no request reaches."""
    table = _table(file, settings)
    findings = table.findings()
    unreachable = [f for f in findings if f.kind == "unreachable"]
    if as_json:
        said = [{"kind": f.kind, "route": f.route, "other": f.other} for f in findings]
        typer.echo(
            json.dumps(
                {
                    "files": list(table.loaded.files),
                    "routes": len(table.routes),
                    "limits": len(table.file.limits),
                    "worst_cost": table.worst_cost,
                    "cost_limit": table.file.cost_limit,
                    "findings": said,
                }
            )
        )
    else:
        typer.echo(
            f"{file}: good: {len(table.routes)} routes, {len(table.file.limits)} limits, "
            f"one request costs at most {table.worst_cost} of {table.file.cost_limit} units"
        )
        for f in findings:
            text = (
                "is never reached: behind" if f.kind == "unreachable" else "shares requests with the earlier"
            )
            typer.echo(f"  route {f.route!r} {text} {f.other!r}")
    if strict and unreachable:
        raise typer.Exit(1)


@app.command()
def show(file: RoutesFile, settings: Settings = None, as_json: Json = False) -> None:
    """Show the effective configuration, with where each route and limit came from."""
    import msgspec

    table = _table(file, settings)
    found = effective(table)
    if as_json:
        typer.echo(json.dumps(found))
        return
    for route in found["routes"]:
        typer.echo(f"route {route['name']}: {route['when']}   # {route['source']}")
        given = {k: v for k, v in route.items() if k not in ("name", "when", "source", "limits")}
        typer.echo("  " + ", ".join(f"{k} = {v}" for k, v in given.items()))
        for name, value in route["limits"].items():
            typer.echo(f"    {name} = {value['value']}   # {value['source']}")
    typer.echo(f"what matches nothing: {msgspec.to_builtins(table.file.no_match)}")


def effective(table: Any) -> dict[str, Any]:
    """Each route with the limits that hold for it, and where each value came from."""
    import msgspec

    from ironbarrow.routing.table import combine_limits

    routes = []
    for route in table.routes:
        limits: dict[str, Any] = {}
        values = msgspec.structs.asdict(combine_limits(table.file, route.limits))
        for name in values:
            from_sets = [
                s
                for s in route.limits
                if getattr(table.file.limits[s], name) not in (None, 0) or name == "at_once"
            ]
            value = values[name]
            if value is None and from_sets:
                value = msgspec.to_builtins(getattr(table.file.limits[from_sets[-1]], name))
            if value in (None, 0) or name == "at_once":
                continue
            source = table.loaded.sources[f"limits.{from_sets[-1]}"]
            limits[name] = {"value": value, "source": f"{source.file}: {source.key}"}
        limits.setdefault(
            "attempts", {"value": table._settings.max_attempts, "source": "the dispatcher's settings"}
        )
        source = table.loaded.sources[f"routes.{route.route.name}"]
        routes.append(
            {
                "name": route.route.name,
                "when": route.route.when,
                "class": route.cls.name,
                "effect": route.cls.effect.value,
                "key": route.route.key,
                "tenant": route.route.tenant,
                "cost": route.when_cost,
                "source": f"{source.file}: {source.key}",
                "limits": limits,
            }
        )
    return {"routes": routes, "no_match": msgspec.to_builtins(table.file.no_match)}


@app.command()
def explain(
    file: RoutesFile,
    target: Annotated[str, typer.Argument(help="Path and query, as a request has them.")],
    settings: Settings = None,
    method: Annotated[str, typer.Option(help="The request's method.")] = "POST",
    header: Annotated[
        list[str] | None, typer.Option("--header", "-H", help="'Name: value'; may be given again.")
    ] = None,
    body_size: Annotated[int, typer.Option(help="Bytes.", min=0)] = 0,
    time_left: Annotated[str, typer.Option(help="As X-Timeout-Ms would tell.")] = "10 s",
    zone: Annotated[str, typer.Option(help="The dispatcher's zone.")] = "",
    as_json: Json = False,
) -> None:
    """Tell which route a request takes, why not the earlier ones, and what that gives it."""
    table = _table(file, settings)
    from ironbarrow.config.units import Duration
    from ironbarrow.routing.request import PathError, make_request

    headers: dict[str, str] = {}
    repeated: set[str] = set()
    for line in header or ():
        name, colon, value = line.partition(":")
        if not colon:
            _fail(f"--header: expected 'Name: value', got {line!r}")
        if name.strip().lower() in headers:
            repeated.add(name.strip().lower())
        headers.setdefault(name.strip().lower(), value.strip())
    try:
        left = Duration.parse(time_left)
    except ValueError as error:
        _fail(f"--time-left: {error}")
    try:
        request = make_request(
            method, target, headers, repeated=repeated, body_size=body_size, time_left=left, zone=zone
        )
    except PathError as error:
        found: dict[str, Any] = {"answer": 400, "reason": str(error)}
    else:
        lines = table.explain(request)
        route = table.find(request)
        found = {"looked_at": lines, "cost": sum(line["cost"] for line in lines)}
        if route is None:
            found.update(answer=table.file.no_match.answer, reason=table.file.no_match.text)
        else:
            shown = next(r for r in effective(table)["routes"] if r["name"] == route.route.name)
            found.update(
                route=route.route.name,
                **{"class": route.cls.name},
                key=route.key(request) if route.key else None,
                tenant=route.tenant(request) if route.tenant else None,
                limits=shown["limits"],
                cost=found["cost"] + route.output_cost,
            )
    if as_json:
        typer.echo(json.dumps(found))
        return
    for line in found.get("looked_at", ()):
        typer.echo(f"{line['route']}: {line['result']}")
    if "answer" in found:
        typer.echo(f"answered with {found['answer']}: {found['reason']}")
    else:
        typer.echo(
            f"class {found['class']}, key {found['key']!r}, tenant {found['tenant']!r}, cost {found['cost']}"
        )
        for name, value in found["limits"].items():
            typer.echo(f"  {name} = {value['value']}   # {value['source']}")


@app.command()
def diff(old: RoutesFile, new: RoutesFile, settings: Settings = None, as_json: Json = False) -> None:
    """Show what differs in effect between two files; exit status 1 if anything does."""
    one, two = (effective(_table(path, settings)) for path in (old, new))
    first = {r["name"]: {k: v for k, v in r.items() if k != "source"} for r in one["routes"]}
    second = {r["name"]: {k: v for k, v in r.items() if k != "source"} for r in two["routes"]}
    for routes in (first, second):
        for route in routes.values():
            route["limits"] = {name: value["value"] for name, value in route["limits"].items()}
    changes: list[dict[str, Any]] = []
    for name in [*first, *(n for n in second if n not in first)]:
        if first.get(name) != second.get(name):
            changes.append({"route": name, "old": first.get(name), "new": second.get(name)})
    order = [n for n in first if n in second], [n for n in second if n in first]
    if order[0] != order[1]:
        changes.append({"route": "(order)", "old": order[0], "new": order[1]})
    if one["no_match"] != two["no_match"]:
        changes.append({"route": "(no match)", "old": one["no_match"], "new": two["no_match"]})
    if as_json:
        typer.echo(json.dumps(changes))
    for change in () if as_json else changes:
        a, b = change["old"], change["new"]
        if isinstance(a, dict) and isinstance(b, dict):
            for key in [*a, *(k for k in b if k not in a)]:
                if a.get(key) != b.get(key):
                    typer.echo(f"{change['route']}: {key}: {a.get(key)} -> {b.get(key)}")
        else:
            typer.echo(
                f"{change['route']}: {'added' if a is None else 'removed' if b is None else f'{a} -> {b}'}"
            )
    if changes:
        raise typer.Exit(1)


@app.command()
def schema() -> None:
    """Print the JSON Schema of an operators' file, for editors."""
    if find_spec("msgspec") is None:
        _fail("routes need the packages of requirements-routes.txt: msgspec is missing")
    from ironbarrow.routing import file

    typer.echo(json.dumps(file.schema(), indent=2))
