"""The operators' file: TOML, typed, with includes. Checked whole; a RoutesError names what is wrong."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ironbarrow.config.units import Duration, Size

VERSION = 1
_MOST_FILES = 32
_LARGEST = 8 << 20  # bytes of one file

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class RoutesError(ValueError):
    """A file that is refused; the text names the file, the key and what was expected."""


class Part(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all tables have in common: unknown keys are refused."""


class Budget(Part, frozen=True):
    """Retries as a share of first attempts, and a floor a second."""

    share: Annotated[float, Meta(ge=0, le=2)] = 0.2
    least: Annotated[float, Meta(ge=0)] = 1.0


class Rate(Part, frozen=True):
    """Jobs a second for each tenant or key, or for the whole limit; ``burst`` of them at once."""

    per_second: Positive
    burst: Count = 10
    by: Literal["tenant", "key", "all"] = "tenant"
    keys: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000


class Adapt(Part, frozen=True):
    """A limit on open jobs that follows latency. For installations whose settings do not fix one."""

    least: Count = 4
    most: Count = 1000
    backoff: Annotated[float, Meta(gt=0, lt=1)] = 0.9


class Limits(Part, frozen=True):
    """Limits of a class or route. What is not given is as the settings have it."""

    timeout: Duration | None = None  # of one attempt
    wanted: Duration | None = None  # an answer is of full worth by then
    attempts: Count | None = None
    at_once: Count = 1  # attempts of a job at the same time
    pause: Duration | None = None  # between attempts
    resend: Literal["never ran", "may have run"] | None = None
    retry_budget: Budget | None = None
    most_held: Count | None = None  # jobs that wait here and have not been sent
    most_open: Count | None = None  # jobs that are owed their answer
    rate: Rate | None = None
    body_size: Size | None = None
    retry_after: Duration | None = None  # the advice with a refusal by these limits
    adaptive: Adapt | None = None


class Route(Part, frozen=True):
    """One route: the first whose ``when`` holds gives a request its class, key, tenant and limits."""

    name: Name
    class_: str = msgspec.field(name="class")
    when: str = "true"
    key: str | None = None  # an expression of text
    tenant: str | None = None  # an expression of text
    priority: Annotated[int, Meta(ge=0, le=8)] = 8  # of each gate it may fill (priority + 1) / 9
    limits: list[Name] = msgspec.field(default_factory=list)  # all of them hold, the first the outermost


class NoMatch(Part, frozen=True):
    """What a request that no route matches is answered with."""

    answer: Literal[400, 403, 404] = 404
    text: str = "no route"


class File(Part, frozen=True):
    """One file, or several that were joined by ``include``."""

    version: Annotated[int, Meta(ge=1)]
    include: list[str] = msgspec.field(default_factory=list)
    cost_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 5000  # units for one request
    load_factor: Annotated[float, Meta(ge=1, le=3)] = 1.5  # what retry budgets may multiply load by
    limits: dict[Name, Limits] = msgspec.field(default_factory=dict)
    routes: list[Route] = msgspec.field(default_factory=list)
    no_match: NoMatch = NoMatch()


@dataclass(frozen=True, slots=True)
class Source:
    """Where the value of a key came from."""

    file: str
    key: str


@dataclass(frozen=True, slots=True)
class Loaded:
    """The joined file, and for each route and limit where it stands."""

    file: File
    sources: dict[str, Source]
    files: tuple[str, ...]


def _decode(kind: type, value: Any) -> Any:
    if kind in (Duration, Size):
        return kind.parse(value)
    raise NotImplementedError(kind)


def parse(text: bytes, where: str) -> File:
    """One file's text, typed."""
    try:
        return msgspec.toml.decode(text, type=File, dec_hook=_decode)
    except msgspec.ValidationError as error:
        raise RoutesError(f"{where}: {str(error).replace('`$.', '`')}") from None
    except (msgspec.DecodeError, ValueError) as error:
        raise RoutesError(f"{where}: not TOML: {error}") from None
    except RecursionError:
        raise RoutesError(f"{where}: nested too deep") from None


def load(path: Path) -> Loaded:
    """Reads a file and all that it includes. A file's own routes come before those of its includes."""
    seen: list[Path] = []
    routes: list[Route] = []
    limits: dict[str, Limits] = {}
    sources: dict[str, Source] = {}

    def read(at: Path, way: tuple[Path, ...]) -> File:
        real = at.resolve()
        if real in way:
            names = " -> ".join(p.name for p in (*way, real))
            raise RoutesError(f"{at}: include: expected no cycle, got {names}")
        if real in seen:
            raise RoutesError(f"{at}: include: expected each file once")
        if len(seen) >= _MOST_FILES:
            raise RoutesError(f"{at}: include: expected at most {_MOST_FILES} files")
        seen.append(real)
        try:
            with at.open("rb") as source:
                text = source.read(_LARGEST + 1)
        except OSError as error:
            raise RoutesError(f"{at}: can't be read: {error.strerror}") from None
        if len(text) > _LARGEST:
            raise RoutesError(f"{at}: expected at most {_LARGEST} bytes")
        found = parse(text, str(at))
        if found.version > VERSION:
            raise RoutesError(f"{at}: `version`: expected at most {VERSION}, got {found.version}")
        for number, route in enumerate(found.routes):
            if f"routes.{route.name}" in sources:
                raise RoutesError(f"{at}: `routes[{number}].name`: {route.name!r} is there already")
            sources[f"routes.{route.name}"] = Source(str(at), f"routes[{number}]")
            routes.append(route)
        for name, limit in found.limits.items():
            if name in limits:
                raise RoutesError(f"{at}: `limits.{name}`: is there already")
            limits[name] = limit
            sources[f"limits.{name}"] = Source(str(at), f"limits.{name}")
        for other in found.include:
            read(at.parent / other, (*way, real))
        return found

    first = read(path, ())
    joined = msgspec.structs.replace(first, routes=routes, limits=limits, include=[])
    return Loaded(joined, sources, tuple(str(p) for p in seen))


def schema() -> dict[str, Any]:
    """The JSON Schema of a file, for editors."""

    def hook(kind: type) -> dict[str, Any]:
        if kind is Duration:
            return {"type": "string", "pattern": Duration.PATTERN.pattern, "examples": ["250 ms", "1.5 s"]}
        return {"type": "string", "pattern": Size.PATTERN.pattern, "examples": ["64 KiB"]}

    return dict(msgspec.json.schema(File, schema_hook=hook))
