"""The routing table: compiled routes, checked against the settings, with an index by path prefix."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from heapq import merge
from typing import Any

from heathway import api
from ironbarrow.routing.check import CheckedExpression, check_expression
from ironbarrow.routing.evaluate import CompiledExpression, compile_expression
from ironbarrow.routing.file import File, Limits, LoadedFile, Route, RoutesError
from ironbarrow.routing.grammar import ExpressionError, Node, Type, parse_expression
from ironbarrow.routing.request import Request

_MAX_PREFIX_DEPTH = 8  # parts of a path
_COST_PER_ROUTE = 1  # cost units in addition to the route's condition


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route with its expressions compiled."""

    index: int
    route: Route
    cls: api.JobClass
    when: CompiledExpression
    key: CompiledExpression | None
    tenant: CompiledExpression | None
    limits: tuple[str, ...]
    when_cost: int  # cost units of ``when``
    output_cost: int  # cost units of ``key`` and ``tenant``
    path_prefix: tuple[str, ...]  # the first parts of every path that ``when`` can match
    conditions: frozenset[str]  # the operands of ``and`` in ``when``, in normalized form


@dataclass(frozen=True, slots=True)
class Finding:
    """A warning about the routes: ``route`` is unreachable behind ``other``, or overlaps with it."""

    kind: str
    route: str
    other: str


class RoutingTable:
    """The compiled routes of a file. Raises RoutesError if the file does not fit the settings."""

    def __init__(self, loaded: LoadedFile, settings: api.Settings) -> None:
        self.loaded, self.file = loaded, loaded.file
        self._classes = {cls.name: cls for cls in settings.classes}
        self._settings = settings
        if not self.file.routes:
            raise RoutesError(f"{loaded.files[0]}: `routes`: expected one route or more")
        for name, limits in self.file.limits.items():
            self._check_limits(name, limits)
        self.routes = [self._compile_route(index, route) for index, route in enumerate(self.file.routes)]
        for route in self.routes:
            self._check_route(route)
        self._routes_by_prefix: dict[tuple[str, ...], list[int]] = {}
        for route in self.routes:
            self._routes_by_prefix.setdefault(route.path_prefix, []).append(route.index)
        self._max_prefix_length = max(len(prefix) for prefix in self._routes_by_prefix)
        self._prefix_lengths = sorted({len(prefix) for prefix in self._routes_by_prefix})
        self.worst_cost = self._max_request_cost()
        if self.worst_cost > self.file.cost_limit:
            raise RoutesError(
                f"{loaded.files[0]}: `cost_limit`: one request can cost {self.worst_cost} units, "
                f"expected at most {self.file.cost_limit}"
            )

    # Checks

    def _error(self, key: str, text: str) -> RoutesError:
        source = self.loaded.sources.get(key)
        file, location = (source.file, source.key) if source else (self.loaded.files[0], key)
        return RoutesError(f"{file}: `{location}`: {text}")

    def _check_limits(self, name: str, limits: Limits) -> None:
        key, settings = f"limits.{name}", self._settings
        if limits.attempts is not None and limits.attempts > settings.max_attempts:
            raise self._error(
                key, f"attempts: expected at most {settings.max_attempts}, got {limits.attempts}"
            )
        if limits.at_once > 1:
            raise self._error(key, "at_once: expected 1: concurrent attempts of a job are not supported")
        if limits.rate is not None and not limits.rate.per_second * 3600 >= 1:
            raise self._error(key, "rate: expected at least one job per hour")
        if limits.adaptive is not None and limits.adaptive.least > limits.adaptive.most:
            raise self._error(key, "adaptive: expected `least` not to exceed `most`")
        if limits.adaptive is not None and limits.most_open is not None:
            raise self._error(key, "expected one of most_open and adaptive, not both")
        if limits.timeout is not None and limits.timeout < settings.tick:
            raise self._error(key, f"timeout: expected at least the tick of {settings.tick / 1e6:g} ms")
        if limits.body_size is not None and limits.body_size > 64 * 1024:
            raise self._error(key, f"body_size: expected at most 64 KiB, got {limits.body_size} B")
        if limits.retry_after is not None and limits.retry_after > settings.max_retry_after:
            max_retry_after = settings.max_retry_after / 1e6
            raise self._error(
                key,
                f"retry_after: expected at most {max_retry_after:g} ms, the maxRetryAfter of the settings",
            )

    def _check_route(self, route: CompiledRoute) -> None:
        key, cls = f"routes.{route.route.name}", route.cls
        combined_factor = 1.0
        for name in route.limits:
            limits = self.file.limits[name]
            where = f"limits {name!r} on class {cls.name!r}: "
            max_timeout = cls.deadline - self._settings.answer_slack
            if limits.resend == "may have run" and cls.effect is api.Effect.UNSAFE:
                raise self._error(
                    key, where + "resend: expected 'never ran': a job of this class must not run twice"
                )
            if limits.timeout is not None and limits.timeout > max_timeout:
                raise self._error(
                    key,
                    f"{where}timeout: expected at most {max_timeout / 1e6:g} ms, the class's giveUp "
                    f"less answerSlack, got {limits.timeout / 1e6:g} ms",
                )
            if limits.wanted is not None and limits.wanted > cls.deadline:
                raise self._error(key, f"{where}wanted: expected at most {cls.deadline / 1e6:g} ms")
            attempts = limits.attempts or self._settings.max_attempts
            if (limits.pause or 0) * (attempts - 1) >= max_timeout:
                raise self._error(
                    key, f"{where}pause: {attempts} attempts don't fit into {max_timeout / 1e6:g} ms"
                )
            if limits.retry_budget is not None:
                combined_factor *= 1 + limits.retry_budget.share
            if limits.rate is not None and limits.rate.by == "tenant" and route.tenant is None:
                raise self._error(key, f"{where}rate: by tenant, but this route sets no tenant")
            if limits.rate is not None and limits.rate.by == "key" and route.key is None:
                raise self._error(key, f"{where}rate: by key, but this route sets no key")
        if combined_factor > self.file.load_factor + 1e-9:
            raise self._error(
                key,
                f"limits: retry budgets can multiply load by {combined_factor:.3g}, "
                f"expected at most {self.file.load_factor:g}",
            )

    def _compile_route(self, index: int, route: Route) -> CompiledRoute:
        key = f"routes.{route.name}"
        cls = self._classes.get(route.class_)
        if cls is None:
            known = ", ".join(sorted(self._classes))
            raise self._error(key, f"class: unknown class {route.class_!r}; expected one of {known}")
        for name in route.limits:
            if name not in self.file.limits:
                raise self._error(key, f"limits: unknown limits {name!r}")
        when, when_function = self._compile_expression(key, "when", route.when, Type.BOOLEAN)
        outputs = [
            None if text is None else self._compile_expression(key, field, text, Type.TEXT)
            for field, text in (("key", route.key), ("tenant", route.tenant))
        ]
        conditions = tuple(_conjuncts(when))
        return CompiledRoute(
            index,
            route,
            cls,
            when_function,
            None if outputs[0] is None else outputs[0][1],
            None if outputs[1] is None else outputs[1][1],
            tuple(route.limits),
            when.cost,
            sum(output[0].cost for output in outputs if output is not None),
            _path_prefix(conditions),
            frozenset(_normalized(condition.node) for condition in conditions),
        )

    def _compile_expression(
        self, key: str, field: str, text: str, expected: Type
    ) -> tuple[CheckedExpression, CompiledExpression]:
        try:
            return _check_and_compile(text, expected)
        except ExpressionError as error:
            raise self._error(key, f"{field}: {error}") from None

    # Costs

    def _max_request_cost(self) -> int:
        """The maximum cost of one request: all conditions of one path, and the costliest key and tenant."""
        cost_by_prefix = {
            prefix: sum(self.routes[index].when_cost + _COST_PER_ROUTE for index in indices)
            for prefix, indices in self._routes_by_prefix.items()
        }
        worst = 0
        for prefix in cost_by_prefix:
            path_cost = sum(cost_by_prefix.get(prefix[:length], 0) for length in range(len(prefix) + 1))
            worst = max(worst, path_cost)
        return worst + max(route.output_cost for route in self.routes)

    # Lookup

    def candidates(self, request: Request) -> Iterator[int]:
        """Indices of the routes whose path prefix matches the path, in the order of the file."""
        parts, found = request.parts, []
        for length in self._prefix_lengths:
            if length > len(parts):
                break
            indices = self._routes_by_prefix.get(parts[:length])
            if indices:
                found.append(indices)
        if len(found) == 1:
            return iter(found[0])
        return merge(*found)

    def find(self, request: Request) -> CompiledRoute | None:
        """Returns the first route that matches, or None."""
        routes = self.routes
        for index in self.candidates(request):
            if routes[index].when(request):
                return routes[index]
        return None

    def explain(self, request: Request) -> list[dict[str, Any]]:
        """Describes each route up to the matching one: its maximum cost, result, or why it was skipped."""
        candidates, report = set(self.candidates(request)), []
        for route in self.routes:
            line: dict[str, Any] = {"route": route.route.name, "when": route.route.when, "cost": 0}
            if route.index not in candidates:
                line["result"] = f"not looked at: the path does not begin with /{'/'.join(route.path_prefix)}"
            else:
                line["cost"] = route.when_cost + _COST_PER_ROUTE
                line["result"] = "matches" if route.when(request) else "does not hold"
            report.append(line)
            if line["result"] == "matches":
                break
        return report

    # Findings

    def findings(self, max_findings: int = 100) -> list[Finding]:
        """Returns unreachable routes and pairs of overlapping routes of different classes.

        Compares the operands of ``and`` in the conditions as normalized text only, so it can miss unreachable
        routes, and report an overlap of conditions that exclude each other.
        """
        found: list[Finding] = []
        earlier: dict[tuple[str, ...], list[CompiledRoute]] = {}
        for route in self.routes:
            prefixes = [route.path_prefix[:length] for length in range(len(route.path_prefix) + 1)]
            for other in (candidate for prefix in prefixes for candidate in earlier.get(prefix, ())):
                if other.conditions <= route.conditions:
                    found.append(Finding("unreachable", route.route.name, other.route.name))
                    break
                if other.cls is not route.cls and not _disjoint(other.conditions, route.conditions):
                    found.append(Finding("overlap", route.route.name, other.route.name))
            earlier.setdefault(route.path_prefix, []).append(route)
            if len(found) >= max_findings:
                break
        return found


@lru_cache(maxsize=1024)
def _check_and_compile(text: str, expected: Type) -> tuple[CheckedExpression, CompiledExpression]:
    """Parses, checks and compiles an expression. Cached, as many routes share their key and tenant."""
    checked = check_expression(parse_expression(text), expected)
    return checked, compile_expression(checked)


def _conjuncts(checked: CheckedExpression) -> Iterator[CheckedExpression]:
    """The operands of nested ``and``s, without the constant ``true``."""
    if checked.node.op == "and":
        for operand in checked.operands:
            yield from _conjuncts(operand)
    elif not (checked.node.op == "constant" and checked.node.value is True):
        yield checked


def _normalized(node: Node) -> str:
    """A condition as text, with the operands of == and != in a fixed order."""
    if node.op == "constant":
        return repr(node.value)
    if node.op == "name":
        return str(node.value)
    children = [_normalized(child) for child in node.children]
    if node.op == "compare" and node.value in ("==", "!="):
        children.sort(key=lambda text: (text[0] in "'\"", text))
    operator = node.value if node.op in ("compare", "arithmetic", "call") else node.op
    return f"{operator}({', '.join(children)})"


def _text_equality(node: Node) -> tuple[str, str] | None:
    """For a comparison ``subject == text``, the normalized subject and the text; otherwise None."""
    if node.op == "compare" and node.value == "==":
        for subject, constant in (node.children, node.children[::-1]):
            if constant.op == "constant" and constant.type is Type.TEXT and subject.op != "constant":
                return _normalized(subject), str(constant.value)
    return None


def _disjoint(first_conditions: frozenset[str], second_conditions: frozenset[str]) -> bool:
    """Whether two sets of conditions exclude each other: they equate one subject with different texts."""

    def required_texts(conditions: frozenset[str]) -> dict[str, str]:
        texts = {}
        for condition in conditions:
            if condition.startswith("==(") and condition.endswith(")"):
                subject, _, constant = condition[3:-1].rpartition(", ")
                if constant[:1] in "'\"":
                    texts[subject] = constant
        return texts

    first, second = required_texts(first_conditions), required_texts(second_conditions)
    return any(second.get(subject, constant) != constant for subject, constant in first.items())


def _path_prefix(conditions: tuple[CheckedExpression, ...]) -> tuple[str, ...]:
    """The parts that every path begins with for which these conditions hold."""
    known_parts: dict[int, str] = {}
    for condition in conditions:
        node = condition.node
        equality = _text_equality(node)
        if equality is not None and equality[0].startswith("part(") and equality[1]:
            known_parts[int(equality[0][5:-1])] = equality[1]
        elif equality is not None and equality[0] == "path" and equality[1].startswith("/"):
            known_parts.update(enumerate(part for part in equality[1].split("/")[1:] if part))
        elif (
            node.op == "call"
            and node.value == "starts_with"
            and node.children[0].op == "name"
            and node.children[0].value == "path"
            and node.children[1].op == "constant"
        ):
            start = str(node.children[1].value)
            if start.startswith("/"):
                known_parts.update(enumerate(start.split("/")[1:-1]))
    prefix: list[str] = []
    while len(prefix) in known_parts and len(prefix) < _MAX_PREFIX_DEPTH and known_parts[len(prefix)]:
        prefix.append(known_parts[len(prefix)])
    return tuple(prefix)


def combine_limits(file: File, names: tuple[str, ...]) -> Limits:
    """Combines several tables of limits: the strictest value of each applies, the first ``retry_after``."""
    tables = [file.limits[name] for name in names]

    def smallest(name: str) -> Any:
        values = [value for table in tables if (value := getattr(table, name)) is not None]
        return min(values) if values else None

    resend = "never ran" if any(table.resend == "never ran" for table in tables) else None
    return Limits(
        timeout=smallest("timeout"),
        wanted=smallest("wanted"),
        attempts=smallest("attempts"),
        pause=max((table.pause for table in tables if table.pause is not None), default=None),
        resend=resend,  # type: ignore[arg-type]
        body_size=smallest("body_size"),
        retry_after=next((table.retry_after for table in tables if table.retry_after is not None), None),
    )
