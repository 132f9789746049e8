"""Evaluates expressions: their functions, a tree-walking evaluator, and a compiler to Python code objects.

The evaluator defines the semantics. Requests are routed by the compiled form; a property test verifies that
both give the same results. Compiled code can access only the request, its constants and the functions of
this module.
"""

import ast
import operator
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from ironbarrow.routing.check import CheckedExpression
from ironbarrow.routing.request import Request

_INT64_MIN, _INT64_MAX = -(1 << 63), (1 << 63) - 1
_MAX_DIGITS = 19  # of a 64-bit integer
_MAX_SPLIT_PARTS = 64

CompiledExpression = Callable[[Request], Any]


def clamp_int64(value: int) -> int:
    """Limits a whole number to the range of a signed 64-bit integer."""
    return _INT64_MIN if value < _INT64_MIN else _INT64_MAX if value > _INT64_MAX else value


def _stable_hash(text: str) -> int:
    """A hash that is the same in every dispatcher and after every restart."""
    return int.from_bytes(blake2b(text.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big")


def _parse_integer(text: str, default: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    if not (digits.isascii() and digits.isdigit() and len(digits) <= _MAX_DIGITS):
        return default
    value = int(text)
    return value if _INT64_MIN <= value <= _INT64_MAX else default


def _parse_number(text: str, default: float) -> float:
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
    return tuple(text.split(separator, _MAX_SPLIT_PARTS - 1))


def _item(values: tuple[str, ...], index: int) -> str:
    return values[index] if index < len(values) else ""


def _part(request: Request, index: int) -> str:
    return request.parts[index] if index < len(request.parts) else ""


# functions that read the request, and functions of values alone; none raises for arguments of its types
_REQUEST_FUNCTIONS: dict[str, Callable[..., Any]] = {
    "header": lambda r, name: r.header(name),
    "cookie": lambda r, name: r.cookies.get(name, ""),
    "query": lambda r, name: r.query.get(name, ""),
    "attribute": lambda r, name: r.attributes.get(name, ""),
    "has_header": lambda r, name: bool(r.header(name)),
    "part": _part,
}
_VALUE_FUNCTIONS: dict[str, Callable[..., Any]] = {
    "starts_with": lambda text, start: text.startswith(start),
    "ends_with": lambda text, end: text.endswith(end),
    "contains": lambda text, other: other in text,
    "lower": lambda text: text.lower(),
    "split": _split,
    "item": _item,
    "length": lambda text: len(text.encode("utf-8", "surrogatepass")),
    "count": lambda values: len(values),
    "hash": _stable_hash,
    "integer": _parse_integer,
    "number": _parse_number,
    "bucket": lambda text, buckets: _stable_hash(text) % buckets,
    "coalesce": _coalesce,
}
_COMPARISONS = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
_ARITHMETIC = {"+": operator.add, "-": operator.sub, "*": operator.mul}


def _bounded(value: Any) -> Any:
    """Limits a result of arithmetic to 64 bits; a number beyond 1e300 becomes 0."""
    if isinstance(value, int):
        return clamp_int64(value)
    return value if abs(value) < 1e300 else 0.0


def evaluate(checked: CheckedExpression, request: Request) -> Any:
    """Evaluates an expression by walking its tree. Defines the semantics of expressions."""
    node, operands = checked.node, checked.operands
    if node.op == "constant":
        return node.value
    if node.op == "name":
        return getattr(request, node.value)
    if node.op == "and":
        return all(evaluate(operand, request) for operand in operands)
    if node.op == "or":
        return any(evaluate(operand, request) for operand in operands)
    if node.op == "not":
        return not evaluate(operands[0], request)
    values = [evaluate(operand, request) for operand in operands]
    if node.op == "compare":
        return _COMPARISONS[node.value](*values)
    if node.op == "in":
        return values[0] in values[1]
    if node.op == "arithmetic":
        return _bounded(_ARITHMETIC[node.value](*values))
    if node.value == "matches":
        return checked.pattern.search(values[0]) is not None
    if node.value in _REQUEST_FUNCTIONS:
        return _REQUEST_FUNCTIONS[node.value](request, *values)
    return _VALUE_FUNCTIONS[node.value](*values)


class _PythonCompiler:
    """Translates a checked expression into the syntax tree of a Python lambda."""

    def __init__(self) -> None:
        self.namespace: dict[str, Any] = {"__builtins__": {}, "bounded": _bounded}

    def bind(self, value: Any) -> ast.expr:
        name = f"v{len(self.namespace)}"
        self.namespace[name] = value
        return ast.Name(name, ast.Load())

    def call(self, function: Any, *arguments: ast.expr) -> ast.expr:
        return ast.Call(self.bind(function), list(arguments), [])

    def expression(self, checked: CheckedExpression) -> ast.expr:
        node, operands = checked.node, checked.operands
        if node.op == "constant":
            if isinstance(node.value, tuple):
                return self.bind(node.value)
            return ast.Constant(node.value)
        if node.op == "name":
            return ast.Attribute(ast.Name("r", ast.Load()), node.value, ast.Load())
        if node.op in ("and", "or"):
            bool_operator: ast.boolop = ast.And() if node.op == "and" else ast.Or()
            return ast.BoolOp(bool_operator, [self.expression(operand) for operand in operands])
        if node.op == "not":
            return ast.UnaryOp(ast.Not(), self.expression(operands[0]))
        if node.op == "in" and operands[1].node.op == "constant":
            members = self.bind(frozenset(operands[1].node.value))
            return ast.Compare(self.expression(operands[0]), [ast.In()], [members])
        values = [self.expression(operand) for operand in operands]
        if node.op == "in":
            return ast.Compare(values[0], [ast.In()], [values[1]])
        if node.op == "compare":
            return ast.Compare(values[0], [_AST_COMPARISONS[node.value]()], [values[1]])
        if node.op == "arithmetic":
            result = ast.BinOp(values[0], _AST_ARITHMETIC[node.value](), values[1])
            return ast.Call(ast.Name("bounded", ast.Load()), [result], [])
        if node.value == "matches":
            found = self.call(checked.pattern.search, values[0])
            return ast.Compare(found, [ast.IsNot()], [ast.Constant(None)])
        if node.value in ("starts_with", "ends_with", "lower"):
            method = {"starts_with": "startswith", "ends_with": "endswith", "lower": "lower"}[node.value]
            return ast.Call(ast.Attribute(values[0], method, ast.Load()), values[1:], [])
        if node.value == "contains":
            return ast.Compare(values[1], [ast.In()], [values[0]])
        if node.value in _REQUEST_FUNCTIONS:
            return self.call(_REQUEST_FUNCTIONS[node.value], ast.Name("r", ast.Load()), *values)
        return self.call(_VALUE_FUNCTIONS[node.value], *values)


_AST_COMPARISONS: dict[str, type[ast.cmpop]] = {
    "==": ast.Eq,
    "!=": ast.NotEq,
    "<": ast.Lt,
    "<=": ast.LtE,
    ">": ast.Gt,
    ">=": ast.GtE,
}
_AST_ARITHMETIC: dict[str, type[ast.operator]] = {"+": ast.Add, "-": ast.Sub, "*": ast.Mult}


def compile_expression(checked: CheckedExpression) -> CompiledExpression:
    """Compiles an expression to a function of the request with the same results as ``evaluate``."""
    compiler = _PythonCompiler()
    arguments = ast.arguments([], [ast.arg("r")], None, [], [], None, [])
    tree = ast.Expression(ast.Lambda(arguments, compiler.expression(checked)))
    function: CompiledExpression = eval(
        compile(ast.fix_missing_locations(tree), "<expression>", "eval"), compiler.namespace
    )
    return function
