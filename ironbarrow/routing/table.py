"""Routes compiled: checked against the settings, indexed by the beginnings of paths, bounded in cost."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from heapq import merge
from typing import Any

from heathway import api
from ironbarrow.routing.check import Checked, check
from ironbarrow.routing.evaluate import Evaluate, compiled
from ironbarrow.routing.file import File, Limits, Loaded, Route, RoutesError
from ironbarrow.routing.grammar import ExpressionError, Node, Type, parse
from ironbarrow.routing.request import Request

_DEEPEST_PREFIX = 8
_COST_OF_A_ROUTE = 1


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route ready to serve."""

    number: int
    route: Route
    cls: api.JobClass
    when: Evaluate
    key: Evaluate | None
    tenant: Evaluate | None
    limits: tuple[str, ...]
    cost: int  # of ``when``, units
    outputs: int  # cost of key and tenant, units
    prefix: tuple[str, ...]  # parts of the path that ``when`` asks for
    atoms: frozenset[str]  # conditions that all must hold, in normal form


@dataclass(frozen=True, slots=True)
class Finding:
    """Something about the routes that is no error: an unreachable one, or two that overlap."""

    kind: str
    route: str
    other: str


class Table:
    """All routes of a file. ``find`` gives the first that matches."""

    def __init__(self, loaded: Loaded, settings: api.Settings) -> None:
        self.loaded, self.file = loaded, loaded.file
        self._classes = {cls.name: cls for cls in settings.classes}
        self._settings = settings
        if not self.file.routes:
            raise RoutesError(f"{loaded.files[0]}: `routes`: expected one route or more")
        for name, limits in self.file.limits.items():
            self._check_limits(name, limits)
        self.routes = [self._compile(number, route) for number, route in enumerate(self.file.routes)]
        for route in self.routes:
            self._check_route(route)
        self._index: dict[tuple[str, ...], list[int]] = {}
        for route in self.routes:
            self._index.setdefault(route.prefix, []).append(route.number)
        self._deepest = max(len(prefix) for prefix in self._index)
        self._lengths = sorted({len(prefix) for prefix in self._index})
        self.worst_cost = self._worst()
        if self.worst_cost > self.file.cost_limit:
            raise RoutesError(
                f"{loaded.files[0]}: `cost_limit`: one request can cost {self.worst_cost} units, "
                f"expected at most {self.file.cost_limit}"
            )

    # Checks

    def _refuse(self, key: str, text: str) -> RoutesError:
        source = self.loaded.sources.get(key)
        file, place = (source.file, source.key) if source else (self.loaded.files[0], key)
        return RoutesError(f"{file}: `{place}`: {text}")

    def _check_limits(self, name: str, limits: Limits) -> None:
        key, rules = f"limits.{name}", self._settings
        if limits.attempts is not None and limits.attempts > rules.max_attempts:
            raise self._refuse(key, f"attempts: expected at most {rules.max_attempts}, got {limits.attempts}")
        if limits.at_once > 1:
            raise self._refuse(key, "at_once: expected 1: two attempts of a job at once are barred here")
        if limits.rate is not None and not limits.rate.per_second * 3600 >= 1:
            raise self._refuse(key, "rate: expected one job an hour or more: this can admit nothing")
        if limits.adaptive is not None and limits.adaptive.least > limits.adaptive.most:
            raise self._refuse(key, "adaptive: expected least to be at most most")
        if limits.adaptive is not None and limits.most_open is not None:
            raise self._refuse(key, "expected one of most_open and adaptive, not both")
        if limits.timeout is not None and limits.timeout < rules.tick:
            raise self._refuse(key, f"timeout: expected at least the tick of {rules.tick / 1e6:g} ms")
        if limits.body_size is not None and limits.body_size > 64 * 1024:
            raise self._refuse(key, f"body_size: expected at most 64 KiB, got {limits.body_size} B")
        if limits.retry_after is not None and limits.retry_after > rules.max_retry_after:
            most = rules.max_retry_after / 1e6
            raise self._refuse(key, f"retry_after: expected at most {most:g} ms, as the settings have it")

    def _check_route(self, route: CompiledRoute) -> None:
        key, cls = f"routes.{route.route.name}", route.cls
        factor = 1.0
        for name in route.limits:
            limits = self.file.limits[name]
            place = f"limits {name!r} on class {cls.name!r}: "
            latest = cls.deadline - self._settings.answer_slack
            if limits.resend == "may have run" and cls.effect is api.Effect.UNSAFE:
                raise self._refuse(key, place + "resend: a job of this class must never run twice")
            if limits.timeout is not None and limits.timeout > latest:
                raise self._refuse(
                    key,
                    f"{place}timeout: expected at most {latest / 1e6:g} ms, the client's give-up time "
                    f"less the answer's slack, got {limits.timeout / 1e6:g} ms",
                )
            if limits.wanted is not None and limits.wanted > cls.deadline:
                raise self._refuse(key, f"{place}wanted: expected at most {cls.deadline / 1e6:g} ms")
            attempts = limits.attempts or self._settings.max_attempts
            if (limits.pause or 0) * (attempts - 1) >= latest:
                raise self._refuse(
                    key, f"{place}pause: {attempts} attempts never fit into {latest / 1e6:g} ms"
                )
            if limits.retry_budget is not None:
                factor *= 1 + limits.retry_budget.share
            if limits.rate is not None and limits.rate.by == "tenant" and route.tenant is None:
                raise self._refuse(key, f"{place}rate: by tenant, and this route gives none")
            if limits.rate is not None and limits.rate.by == "key" and route.key is None:
                raise self._refuse(key, f"{place}rate: by key, and this route gives none")
        if factor > self.file.load_factor + 1e-9:
            raise self._refuse(
                key,
                f"limits: retry budgets can multiply load by {factor:.3g}, "
                f"expected at most {self.file.load_factor:g}",
            )

    def _compile(self, number: int, route: Route) -> CompiledRoute:
        key = f"routes.{route.name}"
        cls = self._classes.get(route.class_)
        if cls is None:
            known = ", ".join(sorted(self._classes))
            raise self._refuse(key, f"class: {route.class_!r} is not known; expected one of {known}")
        for name in route.limits:
            if name not in self.file.limits:
                raise self._refuse(key, f"limits: {name!r} is not there")
        when, holds = self._expression(key, "when", route.when, Type.BOOLEAN)
        outputs = [
            None if text is None else self._expression(key, what, text, Type.TEXT)
            for what, text in (("key", route.key), ("tenant", route.tenant))
        ]
        atoms = tuple(_conjuncts(when))
        return CompiledRoute(
            number,
            route,
            cls,
            holds,
            None if outputs[0] is None else outputs[0][1],
            None if outputs[1] is None else outputs[1][1],
            tuple(route.limits),
            when.cost,
            sum(output[0].cost for output in outputs if output is not None),
            _prefix(atoms),
            frozenset(_normal(atom.node) for atom in atoms),
        )

    def _expression(self, key: str, what: str, text: str, wanted: Type) -> tuple[Checked, Evaluate]:
        try:
            return _ready(text, wanted)
        except ExpressionError as error:
            raise self._refuse(key, f"{what}: {error}") from None

    # Costs

    def _worst(self) -> int:
        """The most that one request can cost: all routes along one path, and the dearest outputs."""
        sums = {
            prefix: sum(self.routes[n].cost + _COST_OF_A_ROUTE for n in numbers)
            for prefix, numbers in self._index.items()
        }
        worst = 0
        for prefix in sums:
            along = sum(sums.get(prefix[:length], 0) for length in range(len(prefix) + 1))
            worst = max(worst, along)
        return worst + max(route.outputs for route in self.routes)

    # Service

    def candidates(self, request: Request) -> Iterator[int]:
        """Numbers of the routes whose beginnings fit the path, in the file's order."""
        parts, found = request.parts, []
        for length in self._lengths:
            if length > len(parts):
                break
            numbers = self._index.get(parts[:length])
            if numbers:
                found.append(numbers)
        if len(found) == 1:
            return iter(found[0])
        return merge(*found)

    def find(self, request: Request) -> CompiledRoute | None:
        """The first route that matches."""
        routes = self.routes
        for number in self.candidates(request):
            if routes[number].when(request):
                return routes[number]
        return None

    def explain(self, request: Request) -> list[dict[str, Any]]:
        """Each route up to the one that matches: whether it was looked at, and the cost that it may have."""
        candidates, told = set(self.candidates(request)), []
        for route in self.routes:
            line: dict[str, Any] = {"route": route.route.name, "when": route.route.when, "cost": 0}
            if route.number not in candidates:
                line["result"] = f"not looked at: the path does not begin with /{'/'.join(route.prefix)}"
            else:
                line["cost"] = route.cost + _COST_OF_A_ROUTE
                line["result"] = "matches" if route.when(request) else "does not hold"
            told.append(line)
            if line["result"] == "matches":
                break
        return told

    # Findings

    def findings(self, most: int = 100) -> list[Finding]:
        """Routes that no request reaches, and pairs of which the earlier takes from the later, where the
        conditions decide that: all are taken apart at their ``and``s; what is left is compared as text."""
        found: list[Finding] = []
        earlier: dict[tuple[str, ...], list[CompiledRoute]] = {}
        for route in self.routes:
            along = [route.prefix[:length] for length in range(len(route.prefix) + 1)]
            for other in (o for prefix in along for o in earlier.get(prefix, ())):
                if other.atoms <= route.atoms:
                    found.append(Finding("unreachable", route.route.name, other.route.name))
                    break
                if other.cls is not route.cls and not _disjoint(other.atoms, route.atoms):
                    found.append(Finding("overlap", route.route.name, other.route.name))
            earlier.setdefault(route.prefix, []).append(route)
            if len(found) >= most:
                break
        return found


@lru_cache(maxsize=1024)
def _ready(text: str, wanted: Type) -> tuple[Checked, Evaluate]:
    """Parsed, checked and compiled; routes often share their keys and tenants to the letter."""
    checked = check(parse(text), wanted)
    return checked, compiled(checked)


def _conjuncts(checked: Checked) -> Iterator[Checked]:
    """The conditions that all must hold, ``true`` left out."""
    if checked.node.op == "and":
        for part in checked.parts:
            yield from _conjuncts(part)
    elif not (checked.node.op == "constant" and checked.node.value is True):
        yield checked


def _normal(node: Node) -> str:
    """A condition as text, the same for the two ways to write an equality."""
    if node.op == "constant":
        return repr(node.value)
    if node.op == "name":
        return str(node.value)
    children = [_normal(child) for child in node.children]
    if node.op == "compare" and node.value in ("==", "!="):
        children.sort(key=lambda text: (text[0] in "'\"", text))
    sign = node.value if node.op in ("compare", "arithmetic", "call") else node.op
    return f"{sign}({', '.join(children)})"


def _equality(node: Node) -> tuple[str, str] | None:
    """What an equality with a text compares, and the text."""
    if node.op == "compare" and node.value == "==":
        for subject, constant in (node.children, node.children[::-1]):
            if constant.op == "constant" and constant.type is Type.TEXT and subject.op != "constant":
                return _normal(subject), str(constant.value)
    return None


def _disjoint(one: frozenset[str], two: frozenset[str]) -> bool:
    """Whether two sets of conditions surely can't both hold: they want one thing equal to two texts."""

    def wanted(atoms: frozenset[str]) -> dict[str, str]:
        found = {}
        for atom in atoms:
            if atom.startswith("==(") and atom.endswith(")"):
                subject, _, constant = atom[3:-1].rpartition(", ")
                if constant[:1] in "'\"":
                    found[subject] = constant
        return found

    first, second = wanted(one), wanted(two)
    return any(second.get(subject, constant) != constant for subject, constant in first.items())


def _prefix(atoms: tuple[Checked, ...]) -> tuple[str, ...]:
    """The parts that a path must begin with for these conditions to hold."""
    known: dict[int, str] = {}
    for atom in atoms:
        node = atom.node
        equal = _equality(node)
        if equal is not None and equal[0].startswith("part(") and equal[1]:
            known[int(equal[0][5:-1])] = equal[1]
        elif equal is not None and equal[0] == "path" and equal[1].startswith("/"):
            known.update(enumerate(part for part in equal[1].split("/")[1:] if part))
        elif (
            node.op == "call"
            and node.value == "starts_with"
            and node.children[0].op == "name"
            and node.children[0].value == "path"
            and node.children[1].op == "constant"
        ):
            start = str(node.children[1].value)
            if start.startswith("/"):
                known.update(enumerate(start.split("/")[1:-1]))
    made: list[str] = []
    while len(made) in known and len(made) < _DEEPEST_PREFIX and known[len(made)]:
        made.append(known[len(made)])
    return tuple(made)


def joined(file: File, names: tuple[str, ...]) -> Limits:
    """What several limits come to together: of each the stricter."""
    parts = [file.limits[name] for name in names]

    def least(name: str) -> Any:
        given = [value for part in parts if (value := getattr(part, name)) is not None]
        return min(given) if given else None

    resend = "never ran" if any(part.resend == "never ran" for part in parts) else None
    return Limits(
        timeout=least("timeout"),
        wanted=least("wanted"),
        attempts=least("attempts"),
        pause=max((part.pause for part in parts if part.pause is not None), default=None),
        resend=resend,  # type: ignore[arg-type]
        body_size=least("body_size"),
        retry_after=next((part.retry_after for part in parts if part.retry_after is not None), None),
    )
