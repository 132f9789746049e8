"""What expressions mean: the functions, a tree-walking evaluator, and compilation to Python code objects.

The evaluator is the definition; the compiled form is what serves, and a property test holds them equal.
Compiled code reaches its request, its constants and the functions of this module, and nothing else.
"""

import ast
import operator
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from ironbarrow.routing.check import Checked
from ironbarrow.routing.request import Request

_LOW, _HIGH = -(1 << 63), (1 << 63) - 1
_DIGITS = 19
_MOST_PARTS = 64

Evaluate = Callable[[Request], Any]


def clamp(value: int) -> int:
    """Whole numbers stay within 64 bits: what goes past is held at the end."""
    return _LOW if value < _LOW else _HIGH if value > _HIGH else value


def _hash(text: str) -> int:
    """The same number at every instance and after every restart."""
    return int.from_bytes(blake2b(text.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big")


def _integer(text: str, default: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    if not (digits.isascii() and digits.isdigit() and len(digits) <= _DIGITS):
        return default
    value = int(text)
    return value if _LOW <= value <= _HIGH else default


def _number(text: str, default: float) -> float:
    if len(text) > 32 or not all(c in "0123456789.+-eE" for c in text):
        return default
    try:
        value = float(text)
    except ValueError:
        return default
    return value if abs(value) < 1e300 else default


def _coalesce(*values: str) -> str:
    return next((value for value in values if value), "")


def _split(text: str, separator: str) -> tuple[str, ...]:
    return tuple(text.split(separator, _MOST_PARTS - 1))


def _item(values: tuple[str, ...], place: int) -> str:
    return values[place] if place < len(values) else ""


def _part(request: Request, place: int) -> str:
    return request.parts[place] if place < len(request.parts) else ""


# functions of a request and of values; each is total: it raises for no value of its types
_OF_REQUEST: dict[str, Callable[..., Any]] = {
    "header": lambda r, name: r.header(name),
    "cookie": lambda r, name: r.cookies.get(name, ""),
    "query": lambda r, name: r.query.get(name, ""),
    "attribute": lambda r, name: r.attributes.get(name, ""),
    "has_header": lambda r, name: bool(r.header(name)),
    "part": _part,
}
_OF_VALUES: dict[str, Callable[..., Any]] = {
    "starts_with": lambda text, start: text.startswith(start),
    "ends_with": lambda text, end: text.endswith(end),
    "contains": lambda text, other: other in text,
    "lower": lambda text: text.lower(),
    "split": _split,
    "item": _item,
    "length": lambda text: len(text.encode("utf-8", "surrogatepass")),
    "count": lambda values: len(values),
    "hash": _hash,
    "integer": _integer,
    "number": _number,
    "bucket": lambda text, buckets: _hash(text) % buckets,
    "coalesce": _coalesce,
}
_COMPARE = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
_ARITHMETIC = {"+": operator.add, "-": operator.sub, "*": operator.mul}


def _held(value: Any) -> Any:
    """A result of arithmetic in its range."""
    if isinstance(value, int):
        return clamp(value)
    return value if abs(value) < 1e300 else 0.0


def evaluate(checked: Checked, request: Request) -> Any:
    """The value, by walking the tree: the plain meaning of an expression."""
    node, parts = checked.node, checked.parts
    if node.op == "constant":
        return node.value
    if node.op == "name":
        return getattr(request, node.value)
    if node.op == "and":
        return all(evaluate(part, request) for part in parts)
    if node.op == "or":
        return any(evaluate(part, request) for part in parts)
    if node.op == "not":
        return not evaluate(parts[0], request)
    values = [evaluate(part, request) for part in parts]
    if node.op == "compare":
        return _COMPARE[node.value](*values)
    if node.op == "in":
        return values[0] in values[1]
    if node.op == "arithmetic":
        return _held(_ARITHMETIC[node.value](*values))
    if node.value == "matches":
        return checked.pattern.search(values[0]) is not None
    if node.value in _OF_REQUEST:
        return _OF_REQUEST[node.value](request, *values)
    return _OF_VALUES[node.value](*values)


class _Compiler:
    """Turns a checked tree into the syntax tree of a Python lambda."""

    def __init__(self) -> None:
        self.names: dict[str, Any] = {"__builtins__": {}, "held": _held}

    def bind(self, value: Any) -> ast.expr:
        name = f"v{len(self.names)}"
        self.names[name] = value
        return ast.Name(name, ast.Load())

    def call(self, function: Any, *given: ast.expr) -> ast.expr:
        return ast.Call(self.bind(function), list(given), [])

    def expression(self, checked: Checked) -> ast.expr:
        node, parts = checked.node, checked.parts
        if node.op == "constant":
            if isinstance(node.value, tuple):
                return self.bind(node.value)
            return ast.Constant(node.value)
        if node.op == "name":
            return ast.Attribute(ast.Name("r", ast.Load()), node.value, ast.Load())
        if node.op in ("and", "or"):
            joined: ast.boolop = ast.And() if node.op == "and" else ast.Or()
            return ast.BoolOp(joined, [self.expression(part) for part in parts])
        if node.op == "not":
            return ast.UnaryOp(ast.Not(), self.expression(parts[0]))
        if node.op == "in" and parts[1].node.op == "constant":
            members = self.bind(frozenset(parts[1].node.value))
            return ast.Compare(self.expression(parts[0]), [ast.In()], [members])
        values = [self.expression(part) for part in parts]
        if node.op == "in":
            return ast.Compare(values[0], [ast.In()], [values[1]])
        if node.op == "compare":
            return ast.Compare(values[0], [_AST_COMPARE[node.value]()], [values[1]])
        if node.op == "arithmetic":
            made = ast.BinOp(values[0], _AST_ARITHMETIC[node.value](), values[1])
            return ast.Call(ast.Name("held", ast.Load()), [made], [])
        if node.value == "matches":
            found = self.call(checked.pattern.search, values[0])
            return ast.Compare(found, [ast.IsNot()], [ast.Constant(None)])
        if node.value in ("starts_with", "ends_with", "lower"):
            method = {"starts_with": "startswith", "ends_with": "endswith", "lower": "lower"}[node.value]
            return ast.Call(ast.Attribute(values[0], method, ast.Load()), values[1:], [])
        if node.value == "contains":
            return ast.Compare(values[1], [ast.In()], [values[0]])
        if node.value in _OF_REQUEST:
            return self.call(_OF_REQUEST[node.value], ast.Name("r", ast.Load()), *values)
        return self.call(_OF_VALUES[node.value], *values)


_AST_COMPARE: dict[str, type[ast.cmpop]] = {
    "==": ast.Eq,
    "!=": ast.NotEq,
    "<": ast.Lt,
    "<=": ast.LtE,
    ">": ast.Gt,
    ">=": ast.GtE,
}
_AST_ARITHMETIC: dict[str, type[ast.operator]] = {"+": ast.Add, "-": ast.Sub, "*": ast.Mult}


def compiled(checked: Checked) -> Evaluate:
    """A function of the request that gives what ``evaluate`` gives."""
    compiler = _Compiler()
    arguments = ast.arguments([], [ast.arg("r")], None, [], [], None, [])
    tree = ast.Expression(ast.Lambda(arguments, compiler.expression(checked)))
    made: Evaluate = eval(compile(ast.fix_missing_locations(tree), "<expression>", "eval"), compiler.names)
    return made
