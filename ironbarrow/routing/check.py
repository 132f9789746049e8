"""Checks the types of expressions and bounds their costs when a file is loaded.

A cost unit is about 0.1 us on the reference machines. Each operation and value costs 1; an operation on text
costs 1 more for every 256 bytes that the text can have. A text from a request has at most
``MAX_REQUEST_TEXT`` bytes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from ironbarrow.routing.grammar import ExpressionError, Node, Type

MAX_REQUEST_TEXT = 16 * 1024  # bytes; the longest header, path or query
_BYTES_PER_COST_UNIT = 256
_REGEX_COST_FACTOR = 8  # cost of a linear-time match relative to a comparison
_MAX_PATTERN_LENGTH = 256  # characters
_MAX_COMPILED_PATTERN = 1 << 20  # bytes of memory of a compiled pattern
_MAX_SPLIT_PARTS = 64  # parts that split() returns at most

T = Type
_ORDERED_TYPES = frozenset((T.INTEGER, T.NUMBER, T.DURATION, T.SIZE))

VARIABLES: dict[str, tuple[Type, int]] = {  # type and maximum length in bytes
    "method": (T.TEXT, 32),
    "path": (T.TEXT, 2048),
    "parts": (T.TEXTS, 2048),
    "zone": (T.TEXT, 256),
    "body_size": (T.SIZE, 0),
    "time_left": (T.DURATION, 0),
}

# name: types of the parameters (the last one repeats if the function is in _VARIADIC), type of the result
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
_VARIADIC = frozenset(("coalesce",))
# indices of arguments that must be constants: the name of a header, a pattern, a separator, an index
_CONSTANT_ARGUMENTS = {
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
class CheckedExpression:
    """A type-checked expression. ``cost`` is the maximum in units; ``max_length``, of a text, is in bytes."""

    node: Node
    type: Type
    cost: int
    max_length: int
    operands: tuple["CheckedExpression", ...] = field(default=())
    pattern: Any = None  # a compiled regular expression


@lru_cache(maxsize=1)
def _re2() -> Any:
    import re2  # type: ignore[import-untyped]  # imported lazily: only files with patterns need it

    return re2


def compile_pattern(text: str) -> Any:
    """Compiles a regular expression for linear-time matching. Raises ValueError if it can't be."""
    if len(text) > _MAX_PATTERN_LENGTH:
        raise ValueError(f"pattern of more than {_MAX_PATTERN_LENGTH} characters")
    re2 = _re2()
    options = re2.Options()
    options.max_mem = _MAX_COMPILED_PATTERN
    options.log_errors = False
    try:
        return re2.compile(text, options)
    except re2.error as error:
        reason = error.args[0] if error.args else error
        reason = reason.decode() if isinstance(reason, bytes) else reason
        raise ValueError(f"pattern can't be matched in linear time: {reason}") from None


def _text_cost(max_length: int) -> int:
    return 1 + max_length // _BYTES_PER_COST_UNIT


def check_expression(node: Node, expected: Type | None = None) -> CheckedExpression:
    """Checks the types of a tree and bounds its cost. Raises ExpressionError at the first wrong operand."""
    checked = _CHECKERS[node.op](node)
    if expected is not None and checked.type is not expected:
        raise _expression_error(node, f"expected {expected.value}, got {checked.type.value}")
    return checked


def _expression_error(node: Node, text: str) -> ExpressionError:
    return ExpressionError(text, node.line, node.column)


def _check_constant(node: Node) -> CheckedExpression:
    assert node.type is not None
    if node.type is T.TEXT:
        return CheckedExpression(node, node.type, 1, len(node.value.encode()))
    if node.type is T.TEXTS:
        return CheckedExpression(node, node.type, 1, sum(len(item.encode()) for item in node.value))
    return CheckedExpression(node, node.type, 1, 0)


def _check_variable(node: Node) -> CheckedExpression:
    if node.value not in VARIABLES:
        known = ", ".join(sorted((*VARIABLES, *(f"{name}()" for name in FUNCTIONS))))
        raise _expression_error(node, f"unknown name {node.value!r}; expected one of {known}")
    value_type, max_length = VARIABLES[node.value]
    return CheckedExpression(node, value_type, 1, max_length)


def _check_logic(node: Node) -> CheckedExpression:
    operands = tuple(check_expression(child, T.BOOLEAN) for child in node.children)
    return CheckedExpression(node, T.BOOLEAN, 1 + sum(operand.cost for operand in operands), 0, operands)


def _check_comparison(node: Node) -> CheckedExpression:
    left, right = (check_expression(child) for child in node.children)
    if left.type is not right.type:
        raise _expression_error(
            node,
            f"can't compare {left.type.value} {node.value} {right.type.value}: both sides must have one type",
        )
    if node.value not in ("==", "!=") and left.type not in _ORDERED_TYPES:
        raise _expression_error(node, f"{left.type.value} has no order: expected == or !=, got {node.value}")
    cost = 1 + left.cost + right.cost + min(left.max_length, right.max_length) // _BYTES_PER_COST_UNIT
    return CheckedExpression(node, T.BOOLEAN, cost, 0, (left, right))


def _check_membership(node: Node) -> CheckedExpression:
    left, right = check_expression(node.children[0], T.TEXT), check_expression(node.children[1], T.TEXTS)
    # a constant list is compiled to a set, one from the request is searched item by item
    search_cost = (
        0 if right.node.op == "constant" else right.max_length // _BYTES_PER_COST_UNIT + _MAX_SPLIT_PARTS
    )
    return CheckedExpression(
        node, T.BOOLEAN, _text_cost(left.max_length) + left.cost + right.cost + search_cost, 0, (left, right)
    )


def _check_arithmetic(node: Node) -> CheckedExpression:
    left, right = (check_expression(child) for child in node.children)
    if left.type is not right.type or left.type not in (T.INTEGER, T.NUMBER, T.DURATION, T.SIZE):
        raise _expression_error(
            node, f"unsupported operation: {left.type.value} {node.value} {right.type.value}"
        )
    if node.value == "*" and left.type in (T.DURATION, T.SIZE):
        raise _expression_error(node, f"unsupported operation: {left.type.value} * {right.type.value}")
    return CheckedExpression(node, left.type, 1 + left.cost + right.cost, 0, (left, right))


def _check_call(node: Node) -> CheckedExpression:
    if node.value not in FUNCTIONS:
        raise _expression_error(
            node, f"unknown function {node.value}(); expected one of {', '.join(sorted(FUNCTIONS))}"
        )
    parameters, result_type = FUNCTIONS[node.value]
    arguments = node.children
    if len(arguments) != len(parameters) and not (
        node.value in _VARIADIC and len(arguments) > len(parameters)
    ):
        raise _expression_error(
            node, f"{node.value}() takes {len(parameters)} arguments, got {len(arguments)}"
        )
    operands = tuple(
        check_expression(child, parameters[min(position, len(parameters) - 1)])
        for position, child in enumerate(arguments)
    )
    for index in _CONSTANT_ARGUMENTS.get(node.value, ()):
        if arguments[index].op != "constant":
            raise _expression_error(
                arguments[index], f"{node.value}() needs a constant as argument {index + 1}"
            )
    cost = (
        1
        + sum(operand.cost for operand in operands)
        + sum(operand.max_length for operand in operands) // _BYTES_PER_COST_UNIT
    )
    max_length, pattern = 0, None
    if node.value in ("header", "cookie", "query", "attribute"):
        max_length = MAX_REQUEST_TEXT
    elif node.value == "part":
        max_length = VARIABLES["path"][1]
    elif node.value in ("lower", "coalesce", "split", "item"):
        # lower() can turn a character of two bytes into one of three
        max_length = max(operand.max_length for operand in operands) * (2 if node.value == "lower" else 1)
    if node.value == "split":
        cost += _MAX_SPLIT_PARTS
        if not arguments[1].value:
            raise _expression_error(arguments[1], "split() needs a separator of one character or more")
    if node.value in ("integer", "number"):
        cost += 4
    if node.value == "bucket" and arguments[1].value < 1:
        raise _expression_error(arguments[1], "bucket() needs 1 or more buckets")
    if node.value == "hash":
        cost += 4
    if node.value == "matches":
        cost += _REGEX_COST_FACTOR * _text_cost(operands[0].max_length)
        try:
            pattern = compile_pattern(arguments[1].value)
        except ValueError as error:
            raise _expression_error(arguments[1], str(error)) from None
    if node.value == "header" and arguments[0].value != arguments[0].value.lower():
        raise _expression_error(
            arguments[0], f"header names must be in lower case: {arguments[0].value.lower()!r}"
        )
    return CheckedExpression(node, result_type, cost, max_length, operands, pattern)


_CHECKERS: dict[str, Callable[[Node], CheckedExpression]] = {
    "constant": _check_constant,
    "name": _check_variable,
    "and": _check_logic,
    "or": _check_logic,
    "not": _check_logic,
    "compare": _check_comparison,
    "in": _check_membership,
    "arithmetic": _check_arithmetic,
    "call": _check_call,
}
