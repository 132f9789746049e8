"""Reads the operators' file of routes and limits: TOML with includes, checked against typed structures."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ironbarrow.config.units import Duration, Size

VERSION = 1
_MAX_FILES = 32  # of one configuration, with includes
_MAX_FILE_SIZE = 8 << 20  # bytes of one file

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class RoutesError(ValueError):
    """An invalid routes file. The message names the file, the key and what was expected."""


class StrictStruct(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base class of all tables of the file: unknown keys are errors."""


class Budget(StrictStruct, frozen=True):
    """Retries allowed as a share of first attempts, and at least so many per second."""

    share: Annotated[float, Meta(ge=0, le=2)] = 0.2
    least: Annotated[float, Meta(ge=0)] = 1.0


class Rate(StrictStruct, frozen=True):
    """Jobs per second for each tenant, for each key or for all together; ``burst`` of them at once."""

    per_second: Positive
    burst: Count = 10
    by: Literal["tenant", "key", "all"] = "tenant"
    keys: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000


class Adapt(StrictStruct, frozen=True):
    """A limit on open jobs that adapts to latency, in place of a fixed ``most_open``."""

    least: Count = 4
    most: Count = 1000
    backoff: Annotated[float, Meta(gt=0, lt=1)] = 0.9


class Limits(StrictStruct, frozen=True):
    """Limits that routes refer to by name. A value that is not given comes from the dispatcher's settings."""

    timeout: Duration | None = None  # per attempt
    wanted: Duration | None = None  # an answer within this time has its full value
    attempts: Count | None = None
    at_once: Count = 1  # attempts of a job at the same time
    pause: Duration | None = None  # between attempts
    resend: Literal["never ran", "may have run"] | None = None
    retry_budget: Budget | None = None
    most_held: Count | None = None  # jobs that wait in this dispatcher and were never sent
    most_open: Count | None = None  # jobs without a final answer
    rate: Rate | None = None
    body_size: Size | None = None
    retry_after: Duration | None = None  # Retry-After of rejections by these limits
    adaptive: Adapt | None = None


class Route(StrictStruct, frozen=True):
    """A route. The first route whose ``when`` is true sets a request's class, key, tenant and limits."""

    name: Name
    class_: str = msgspec.field(name="class")
    when: str = "true"
    key: str | None = None  # an expression of type text
    tenant: str | None = None  # an expression of type text
    priority: Annotated[int, Meta(ge=0, le=8)] = 8  # may fill (priority + 1) / 9 of most_open, most_held
    limits: list[Name] = msgspec.field(default_factory=list)  # all of them apply, checked in this order


class NoMatch(StrictStruct, frozen=True):
    """The answer to requests that match no route."""

    answer: Literal[400, 403, 404] = 404
    text: str = "no route"


class File(StrictStruct, frozen=True):
    """A routes file, or several that are combined by ``include``."""

    version: Annotated[int, Meta(ge=1)]
    include: list[str] = msgspec.field(default_factory=list)
    cost_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 5000  # cost units (see ``check``) per request
    load_factor: Annotated[float, Meta(ge=1, le=3)] = 1.5  # by which retry budgets may multiply load
    limits: dict[Name, Limits] = msgspec.field(default_factory=dict)
    routes: list[Route] = msgspec.field(default_factory=list)
    no_match: NoMatch = NoMatch()


@dataclass(frozen=True, slots=True)
class Source:
    """The file and key at which a route or a table of limits is defined."""

    file: str
    key: str


@dataclass(frozen=True, slots=True)
class LoadedFile:
    """The combined file, the source of each route and table of limits, and the files that were read."""

    file: File
    sources: dict[str, Source]
    files: tuple[str, ...]


def _decode(kind: type, value: Any) -> Any:
    if kind in (Duration, Size):
        return kind.parse(value)
    raise NotImplementedError(kind)


def parse_routes(text: bytes, where: str) -> File:
    """Decodes the text of one file. Raises RoutesError, with ``where`` in front of the message."""
    try:
        return msgspec.toml.decode(text, type=File, dec_hook=_decode)
    except msgspec.ValidationError as error:
        raise RoutesError(f"{where}: {str(error).replace('`$.', '`')}") from None
    except (msgspec.DecodeError, ValueError) as error:
        raise RoutesError(f"{where}: not TOML: {error}") from None
    except RecursionError:
        raise RoutesError(f"{where}: nested too deeply") from None


def load_routes(path: Path) -> LoadedFile:
    """Reads a file and all files that it includes. A file's own routes come before those of its includes.

    Raises RoutesError if a file can't be read or is invalid.
    """
    seen: list[Path] = []
    routes: list[Route] = []
    limits: dict[str, Limits] = {}
    sources: dict[str, Source] = {}

    def read(file_path: Path, include_chain: tuple[Path, ...]) -> File:
        resolved = file_path.resolve()
        if resolved in include_chain:
            names = " -> ".join(included.name for included in (*include_chain, resolved))
            raise RoutesError(f"{file_path}: include: expected no cycle, got {names}")
        if resolved in seen:
            raise RoutesError(f"{file_path}: include: expected each file once")
        if len(seen) >= _MAX_FILES:
            raise RoutesError(f"{file_path}: include: expected at most {_MAX_FILES} files")
        seen.append(resolved)
        try:
            with file_path.open("rb") as source:
                text = source.read(_MAX_FILE_SIZE + 1)
        except OSError as error:
            raise RoutesError(f"{file_path}: can't be read: {error.strerror}") from None
        if len(text) > _MAX_FILE_SIZE:
            raise RoutesError(f"{file_path}: expected at most {_MAX_FILE_SIZE} bytes")
        parsed = parse_routes(text, str(file_path))
        if parsed.version > VERSION:
            raise RoutesError(f"{file_path}: `version`: expected at most {VERSION}, got {parsed.version}")
        for index, route in enumerate(parsed.routes):
            if f"routes.{route.name}" in sources:
                raise RoutesError(f"{file_path}: `routes[{index}].name`: {route.name!r} is defined already")
            sources[f"routes.{route.name}"] = Source(str(file_path), f"routes[{index}]")
            routes.append(route)
        for name, limits_table in parsed.limits.items():
            if name in limits:
                raise RoutesError(f"{file_path}: `limits.{name}`: is defined already")
            limits[name] = limits_table
            sources[f"limits.{name}"] = Source(str(file_path), f"limits.{name}")
        for included_path in parsed.include:
            read(file_path.parent / included_path, (*include_chain, resolved))
        return parsed

    first = read(path, ())
    joined = msgspec.structs.replace(first, routes=routes, limits=limits, include=[])
    return LoadedFile(joined, sources, tuple(str(included) for included in seen))


def schema() -> dict[str, Any]:
    """The JSON Schema of a routes file, for editors."""

    def hook(kind: type) -> dict[str, Any]:
        if kind is Duration:
            return {"type": "string", "pattern": Duration.PATTERN.pattern, "examples": ["250 ms", "1.5 s"]}
        return {"type": "string", "pattern": Size.PATTERN.pattern, "examples": ["64 KiB"]}

    return dict(msgspec.json.schema(File, schema_hook=hook))
