"""Types and costs of expressions, known before anything is served.

Cost is counted in units of about 0.1 us on the machines that this was measured on: 1 for each operation and
value, and for each operation on text 1 more for every 256 bytes that the text can have. A text that comes
from a request has at most ``HEAD`` bytes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from ironbarrow.routing.grammar import ExpressionError, Node, Type

HEAD = 16 * 1024  # bytes: no header, path or query is longer
_BYTES_A_UNIT = 256
_REGEX_FACTOR = 8  # a linear-time match, against a comparison
_LONGEST_PATTERN = 256
_MOST_PROGRAM = 1 << 20  # bytes that a compiled pattern may take
_MOST_PARTS = 64  # that split makes at most

T = Type
_ORDERED = frozenset((T.INTEGER, T.NUMBER, T.DURATION, T.SIZE))

NAMES: dict[str, tuple[Type, int]] = {  # type, and longest text
    "method": (T.TEXT, 32),
    "path": (T.TEXT, 2048),
    "parts": (T.TEXTS, 2048),
    "zone": (T.TEXT, 256),
    "body_size": (T.SIZE, 0),
    "time_left": (T.DURATION, 0),
}

# name: types of what it takes (the last one may repeat where MANY says so), type of what it gives
FUNCTIONS: dict[str, tuple[tuple[Type, ...], Type]] = {
    "header": ((T.TEXT,), T.TEXT),
    "cookie": ((T.TEXT,), T.TEXT),
    "query": ((T.TEXT,), T.TEXT),
    "attribute": ((T.TEXT,), T.TEXT),
    "has_header": ((T.TEXT,), T.BOOLEAN),
    "part": ((T.INTEGER,), T.TEXT),
    "starts_with": ((T.TEXT, T.TEXT), T.BOOLEAN),
    "ends_with": ((T.TEXT, T.TEXT), T.BOOLEAN),
    "contains": ((T.TEXT, T.TEXT), T.BOOLEAN),
    "matches": ((T.TEXT, T.TEXT), T.BOOLEAN),
    "lower": ((T.TEXT,), T.TEXT),
    "split": ((T.TEXT, T.TEXT), T.TEXTS),
    "item": ((T.TEXTS, T.INTEGER), T.TEXT),
    "length": ((T.TEXT,), T.INTEGER),
    "count": ((T.TEXTS,), T.INTEGER),
    "hash": ((T.TEXT,), T.INTEGER),
    "integer": ((T.TEXT, T.INTEGER), T.INTEGER),
    "number": ((T.TEXT, T.NUMBER), T.NUMBER),
    "bucket": ((T.TEXT, T.INTEGER), T.INTEGER),
    "coalesce": ((T.TEXT, T.TEXT), T.TEXT),
}
_MANY = frozenset(("coalesce",))
# arguments that must be written out: the name of a header, a pattern, a separator, an index
_CONSTANT = {
    "header": (0,),
    "cookie": (0,),
    "query": (0,),
    "attribute": (0,),
    "has_header": (0,),
    "part": (0,),
    "matches": (1,),
    "split": (1,),
    "item": (1,),
    "bucket": (1,),
}


@dataclass(frozen=True, slots=True)
class Checked:
    """An expression that may be served: its tree, type, worst cost in units and longest text in bytes."""

    node: Node
    type: Type
    cost: int
    longest: int
    parts: tuple["Checked", ...] = field(default=())
    pattern: Any = None  # a compiled regular expression


@lru_cache(maxsize=1)
def _re2() -> Any:
    import re2  # type: ignore[import-untyped]  # lazily: only who has patterns pays for it

    return re2


def compile_pattern(text: str) -> Any:
    """A pattern that matches in time linear in its text; a ValueError if there is none."""
    if len(text) > _LONGEST_PATTERN:
        raise ValueError(f"a pattern of more than {_LONGEST_PATTERN} characters")
    re2 = _re2()
    options = re2.Options()
    options.max_mem = _MOST_PROGRAM
    options.log_errors = False
    try:
        return re2.compile(text, options)
    except re2.error as error:
        reason = error.args[0] if error.args else error
        reason = reason.decode() if isinstance(reason, bytes) else reason
        raise ValueError(f"not a pattern that runs in linear time: {reason}") from None


def _text_cost(longest: int) -> int:
    return 1 + longest // _BYTES_A_UNIT


def check(node: Node, wanted: Type | None = None) -> Checked:
    """Types and bounds of a tree; an ExpressionError names the place and both types."""
    found = _CHECKS[node.op](node)
    if wanted is not None and found.type is not wanted:
        raise _error(node, f"expected {wanted.value}, got {found.type.value}")
    return found


def _error(node: Node, text: str) -> ExpressionError:
    return ExpressionError(text, node.line, node.column)


def _constant(node: Node) -> Checked:
    assert node.type is not None
    if node.type is T.TEXT:
        return Checked(node, node.type, 1, len(node.value.encode()))
    if node.type is T.TEXTS:
        return Checked(node, node.type, 1, sum(len(v.encode()) for v in node.value))
    return Checked(node, node.type, 1, 0)


def _name(node: Node) -> Checked:
    if node.value not in NAMES:
        known = ", ".join(sorted((*NAMES, *(f"{name}()" for name in FUNCTIONS))))
        raise _error(node, f"unknown name {node.value!r}; expected one of {known}")
    kind, longest = NAMES[node.value]
    return Checked(node, kind, 1, longest)


def _logic(node: Node) -> Checked:
    parts = tuple(check(child, T.BOOLEAN) for child in node.children)
    return Checked(node, T.BOOLEAN, 1 + sum(p.cost for p in parts), 0, parts)


def _compare(node: Node) -> Checked:
    left, right = (check(child) for child in node.children)
    if left.type is not right.type:
        raise _error(
            node,
            f"can't compare {left.type.value} {node.value} {right.type.value}: both sides need one type",
        )
    if node.value not in ("==", "!=") and left.type not in _ORDERED:
        raise _error(node, f"{left.type.value} has no order: expected == or !=, got {node.value}")
    cost = 1 + left.cost + right.cost + min(left.longest, right.longest) // _BYTES_A_UNIT
    return Checked(node, T.BOOLEAN, cost, 0, (left, right))


def _contained(node: Node) -> Checked:
    left, right = check(node.children[0], T.TEXT), check(node.children[1], T.TEXTS)
    # a list that is written out is a set; one that comes from the request is walked
    each = 0 if right.node.op == "constant" else right.longest // _BYTES_A_UNIT + _MOST_PARTS
    return Checked(
        node, T.BOOLEAN, _text_cost(left.longest) + left.cost + right.cost + each, 0, (left, right)
    )


def _arithmetic(node: Node) -> Checked:
    left, right = (check(child) for child in node.children)
    if left.type is not right.type or left.type not in (T.INTEGER, T.NUMBER, T.DURATION, T.SIZE):
        raise _error(node, f"can't do {left.type.value} {node.value} {right.type.value}")
    if node.value == "*" and left.type in (T.DURATION, T.SIZE):
        raise _error(node, f"can't do {left.type.value} * {right.type.value}")
    return Checked(node, left.type, 1 + left.cost + right.cost, 0, (left, right))


def _call(node: Node) -> Checked:
    if node.value not in FUNCTIONS:
        raise _error(node, f"unknown function {node.value}(); expected one of {', '.join(sorted(FUNCTIONS))}")
    wanted, gives = FUNCTIONS[node.value]
    given = node.children
    if len(given) != len(wanted) and not (node.value in _MANY and len(given) > len(wanted)):
        raise _error(node, f"{node.value}() takes {len(wanted)} values, got {len(given)}")
    parts = tuple(check(child, wanted[min(n, len(wanted) - 1)]) for n, child in enumerate(given))
    for place in _CONSTANT.get(node.value, ()):
        if given[place].op != "constant":
            raise _error(given[place], f"{node.value}() needs its value {place + 1} written out")
    cost = 1 + sum(part.cost for part in parts) + sum(part.longest for part in parts) // _BYTES_A_UNIT
    longest, pattern = 0, None
    if node.value in ("header", "cookie", "query", "attribute"):
        longest = HEAD
    elif node.value == "part":
        longest = NAMES["path"][1]
    elif node.value in ("lower", "coalesce", "split", "item"):
        # lower() of a text can take three bytes where it took two
        longest = max(part.longest for part in parts) * (2 if node.value == "lower" else 1)
    if node.value == "split":
        cost += _MOST_PARTS
        if not given[1].value:
            raise _error(given[1], "split() needs a separator of one character or more")
    if node.value in ("integer", "number"):
        cost += 4
    if node.value == "bucket" and given[1].value < 1:
        raise _error(given[1], "bucket() needs 1 or more buckets")
    if node.value == "hash":
        cost += 4
    if node.value == "matches":
        cost += _REGEX_FACTOR * _text_cost(parts[0].longest)
        try:
            pattern = compile_pattern(given[1].value)
        except ValueError as error:
            raise _error(given[1], str(error)) from None
    if node.value == "header" and given[0].value != given[0].value.lower():
        raise _error(given[0], f"names of headers are in lower case here: {given[0].value.lower()!r}")
    return Checked(node, gives, cost, longest, parts, pattern)


_CHECKS: dict[str, Callable[[Node], Checked]] = {
    "constant": _constant,
    "name": _name,
    "and": _logic,
    "or": _logic,
    "not": _logic,
    "compare": _compare,
    "in": _contained,
    "arithmetic": _arithmetic,
    "call": _call,
}
