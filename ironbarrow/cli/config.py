"""``ironbarrow config``: checks and explains the operators' file of routes and limits before it is used."""

import json
import os
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(
    no_args_is_help=True,
    help="Check and explain an operators' file of routes and limits.\n\n"
    "Exit status: 0 success; 1 files differ, or routes are unreachable (with --strict); 2 invalid file or "
    "argument.",
)

RoutesArgument = Annotated[
    Path, typer.Argument(help="An operators' file of routes, in TOML.", show_default=False)
]
SettingsOption = Annotated[
    Path | None,
    typer.Option(
        "--settings", help="The dispatcher's configuration file, in JSON.", show_default="BALANCER_CONFIG"
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def _fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(code)


def _load_settings(path: Path | None) -> Any:
    from heathway.settings import read_settings

    config_path = path or (
        Path(from_environment) if (from_environment := os.environ.get("BALANCER_CONFIG")) else None
    )
    if config_path is None:
        _fail("expected --settings or BALANCER_CONFIG: limits are checked against the configured classes")
    try:
        raw = json.loads(config_path.read_text(encoding="utf-8"))
        return read_settings(raw.get("settings") or {})
    except OSError as error:
        _fail(f"{config_path}: can't be read: {error.strerror}")
    except (ValueError, AttributeError) as error:
        _fail(f"{config_path}: {error}")


def _load_table(path: Path, settings: Path | None) -> Any:
    for package in ("lark", "msgspec", "re2"):
        if find_spec(package) is None:
            _fail(f"routes need the packages of requirements-routes.txt: {package} is missing")
    from ironbarrow.routing.file import RoutesError, load_routes
    from ironbarrow.routing.table import RoutingTable

    dispatcher_settings = _load_settings(settings)
    try:
        return RoutingTable(load_routes(path), dispatcher_settings)
    except RoutesError as error:
        _fail(str(error))


@app.command()
def check(
    file: RoutesArgument,
    settings: SettingsOption = None,
    strict: Annotated[bool, typer.Option(help="Treat unreachable routes as errors.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Check a whole file: types, costs, limits against the settings, unreachable routes."""
    table = _load_table(file, settings)
    findings = table.findings()
    unreachable = [finding for finding in findings if finding.kind == "unreachable"]
    if as_json:
        output = [
            {"kind": finding.kind, "route": finding.route, "other": finding.other} for finding in findings
        ]
        typer.echo(
            json.dumps(
                {
                    "files": list(table.loaded.files),
                    "routes": len(table.routes),
                    "limits": len(table.file.limits),
                    "worst_cost": table.worst_cost,
                    "cost_limit": table.file.cost_limit,
                    "findings": output,
                }
            )
        )
    else:
        typer.echo(
            f"{file}: valid: {len(table.routes)} routes, {len(table.file.limits)} limits, "
            f"one request costs at most {table.worst_cost} of {table.file.cost_limit} units"
        )
        for finding in findings:
            relation = (
                "is unreachable behind" if finding.kind == "unreachable" else "overlaps with the earlier"
            )
            typer.echo(f"  route {finding.route!r} {relation} {finding.other!r}")
    if strict and unreachable:
        raise typer.Exit(1)


@app.command()
def show(file: RoutesArgument, settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """Show the effective configuration, with the source of each route and limit."""
    import msgspec

    table = _load_table(file, settings)
    shown = effective_config(table)
    if as_json:
        typer.echo(json.dumps(shown))
        return
    for route in shown["routes"]:
        typer.echo(f"route {route['name']}: {route['when']}   # {route['source']}")
        properties = {k: v for k, v in route.items() if k not in ("name", "when", "source", "limits")}
        typer.echo("  " + ", ".join(f"{k} = {v}" for k, v in properties.items()))
        for name, value in route["limits"].items():
            typer.echo(f"    {name} = {value['value']}   # {value['source']}")
    typer.echo(f"requests without a matching route: {msgspec.to_builtins(table.file.no_match)}")


def effective_config(table: Any) -> dict[str, Any]:
    """Each route with its effective limits, and the source of each value."""
    import msgspec

    from ironbarrow.routing.table import combine_limits

    routes = []
    for route in table.routes:
        limits: dict[str, Any] = {}
        values = msgspec.structs.asdict(combine_limits(table.file, route.limits))
        for name in values:
            origins = [
                limits_name
                for limits_name in route.limits
                if getattr(table.file.limits[limits_name], name) not in (None, 0) or name == "at_once"
            ]
            value = values[name]
            if value is None and origins:
                value = msgspec.to_builtins(getattr(table.file.limits[origins[-1]], name))
            if value in (None, 0) or name == "at_once":
                continue
            source = table.loaded.sources[f"limits.{origins[-1]}"]
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
    file: RoutesArgument,
    target: Annotated[str, typer.Argument(help="Path and query of the request.")],
    settings: SettingsOption = None,
    method: Annotated[str, typer.Option(help="The request's method.")] = "POST",
    header: Annotated[
        list[str] | None, typer.Option("--header", "-H", help="A header as 'Name: value'; repeatable.")
    ] = None,
    body_size: Annotated[int, typer.Option(help="Size of the body, bytes.", min=0)] = 0,
    time_left: Annotated[
        str, typer.Option(help="Time until the client's deadline, as in X-Timeout-Ms.")
    ] = "10 s",
    zone: Annotated[str, typer.Option(help="The dispatcher's zone.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Explain which route a request matches, why earlier ones don't, and its class and limits."""
    table = _load_table(file, settings)
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
        time_left_ns = Duration.parse(time_left)
    except ValueError as error:
        _fail(f"--time-left: {error}")
    try:
        request = make_request(
            method, target, headers, repeated=repeated, body_size=body_size, time_left=time_left_ns, zone=zone
        )
    except PathError as error:
        output: dict[str, Any] = {"answer": 400, "reason": str(error)}
    else:
        evaluated = table.explain(request)
        route = table.find(request)
        output = {"looked_at": evaluated, "cost": sum(line["cost"] for line in evaluated)}
        if route is None:
            output.update(answer=table.file.no_match.answer, reason=table.file.no_match.text)
        else:
            details = next(r for r in effective_config(table)["routes"] if r["name"] == route.route.name)
            output.update(
                route=route.route.name,
                **{"class": route.cls.name},
                key=route.key(request) if route.key else None,
                tenant=route.tenant(request) if route.tenant else None,
                limits=details["limits"],
                cost=output["cost"] + route.output_cost,
            )
    if as_json:
        typer.echo(json.dumps(output))
        return
    for line in output.get("looked_at", ()):
        typer.echo(f"{line['route']}: {line['result']}")
    if "answer" in output:
        typer.echo(f"answered with {output['answer']}: {output['reason']}")
    else:
        typer.echo(
            f"class {output['class']}, key {output['key']!r}, tenant {output['tenant']!r}, "
            f"cost {output['cost']}"
        )
        for name, value in output["limits"].items():
            typer.echo(f"  {name} = {value['value']}   # {value['source']}")


@app.command()
def diff(
    old: RoutesArgument, new: RoutesArgument, settings: SettingsOption = None, as_json: JsonOption = False
) -> None:
    """Show the differences in effect between two files; exit status 1 if there are any."""
    old_config, new_config = (effective_config(_load_table(path, settings)) for path in (old, new))
    old_routes = {r["name"]: {k: v for k, v in r.items() if k != "source"} for r in old_config["routes"]}
    new_routes = {r["name"]: {k: v for k, v in r.items() if k != "source"} for r in new_config["routes"]}
    for routes in (old_routes, new_routes):
        for route in routes.values():
            route["limits"] = {name: value["value"] for name, value in route["limits"].items()}
    changes: list[dict[str, Any]] = []
    for name in [*old_routes, *(n for n in new_routes if n not in old_routes)]:
        if old_routes.get(name) != new_routes.get(name):
            changes.append({"route": name, "old": old_routes.get(name), "new": new_routes.get(name)})
    common_order = [n for n in old_routes if n in new_routes], [n for n in new_routes if n in old_routes]
    if common_order[0] != common_order[1]:
        changes.append({"route": "(order)", "old": common_order[0], "new": common_order[1]})
    if old_config["no_match"] != new_config["no_match"]:
        changes.append({"route": "(no match)", "old": old_config["no_match"], "new": new_config["no_match"]})
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
    """Print the JSON Schema of an operators' file, for use in editors."""
    if find_spec("msgspec") is None:
        _fail("routes need the packages of requirements-routes.txt: msgspec is missing")
    from ironbarrow.routing import file

    typer.echo(json.dumps(file.schema(), indent=2))
