"""The expression language's grammar, and its trees.

Trees are built while parsing, bottom up, so that no depth of nesting can exhaust a stack; how deep and
how long an expression may be is bounded before and while it is parsed.
"""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any

LONGEST = 4096  # characters of one expression
DEEPEST = 64  # levels of its tree

GRAMMAR = r"""
?start: either
?either: both ("or" both)*
?both: unary ("and" unary)*
?unary: "not" unary -> negation
      | comparison
?comparison: sum
      | sum COMPARE sum -> compare
      | sum "in" sum -> contained
?sum: product
      | sum PLUS product -> arithmetic
?product: atom
      | product TIMES atom -> arithmetic
?atom: TEXT -> text
      | DURATION -> duration
      | SIZE -> size
      | NUMBER -> number
      | INTEGER -> integer
      | "true" -> true
      | "false" -> false
      | "(" either ")"
      | "[" [TEXT ("," TEXT)*] "]" -> texts
      | NAME "(" [either ("," either)*] ")" -> call
      | NAME -> name
COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">"
PLUS: "+" | "-"
TIMES: "*"
TEXT: /"([^"\\\n]|\\.)*"/
DURATION.3: /[0-9]+(\.[0-9]+)?(us|ms|s|min|h)\b/
SIZE.3: /[0-9]+(\.[0-9]+)?(KiB|MiB|GiB|B)\b/
NUMBER.2: /[0-9]+\.[0-9]+/
INTEGER: /[0-9]+/
NAME: /[a-z_]+/
%ignore /[ \t\r\n]+/
"""


class Type(Enum):
    """The types of values."""

    TEXT = "text"
    INTEGER = "whole number"
    NUMBER = "number"
    BOOLEAN = "boolean"
    DURATION = "duration"
    SIZE = "size"
    TEXTS = "list of text"


class ExpressionError(ValueError):
    """An expression that is refused: where and why. Lines and columns count from 1."""

    def __init__(self, text: str, line: int = 1, column: int = 1) -> None:
        super().__init__(f"line {line}, column {column}: {text}")
        self.text, self.line, self.column = text, line, column


@dataclass(frozen=True, slots=True)
class Node:
    """A tree's node. ``op``: what it does; ``value``: a constant, a sign or a function's name."""

    op: str  # constant, name, call, compare, in, and, or, not, arithmetic
    value: Any
    children: tuple["Node", ...]
    line: int
    column: int
    depth: int = 1
    type: Type | None = None  # of a constant


_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 10**9, "min": 60 * 10**9, "h": 3600 * 10**9}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_MOST_INTEGER = (1 << 63) - 1


@lru_cache(maxsize=1)
def _parser() -> Any:
    import lark  # lazily: only who has an operators' file pays for it

    class Build(lark.Transformer):  # type: ignore[type-arg]
        def _node(
            self, meta: Any, op: str, value: Any, children: tuple[Node, ...] = (), of: Any = None
        ) -> Node:
            line, column = (children[0].line, children[0].column) if children else (1, 1)
            if meta is not None:
                line, column = meta.line, meta.column
            depth = 1 + max((child.depth for child in children), default=0)
            if depth > DEEPEST:
                raise ExpressionError(f"nested deeper than {DEEPEST} levels", line, column)
            return Node(op, value, children, line, column, depth, of)

        def either(self, found: list[Node]) -> Node:
            return self._node(None, "or", None, tuple(found))

        def both(self, found: list[Node]) -> Node:
            return self._node(None, "and", None, tuple(found))

        def negation(self, found: list[Node]) -> Node:
            return self._node(None, "not", None, tuple(found))

        def compare(self, found: list[Any]) -> Node:
            return self._node(found[1], "compare", str(found[1]), (found[0], found[2]))

        def contained(self, found: list[Node]) -> Node:
            return self._node(None, "in", None, tuple(found))

        def arithmetic(self, found: list[Any]) -> Node:
            return self._node(found[1], "arithmetic", str(found[1]), (found[0], found[2]))

        def text(self, found: list[Any]) -> Node:
            return self._node(found[0], "constant", _unquoted(found[0]), of=Type.TEXT)

        def texts(self, found: list[Any]) -> Node:
            names = [t for t in found if t is not None]
            values = tuple(_unquoted(t) for t in names)
            return self._node(names[0] if names else None, "constant", values, of=Type.TEXTS)

        def duration(self, found: list[Any]) -> Node:
            return self._node(found[0], "constant", _with_unit(found[0], _UNITS), of=Type.DURATION)

        def size(self, found: list[Any]) -> Node:
            return self._node(found[0], "constant", _with_unit(found[0], _SIZES), of=Type.SIZE)

        def number(self, found: list[Any]) -> Node:
            return self._node(found[0], "constant", float(found[0]), of=Type.NUMBER)

        def integer(self, found: list[Any]) -> Node:
            value = int(found[0])
            if value > _MOST_INTEGER:
                raise ExpressionError(
                    f"a whole number past 64 bits: {found[0]}", found[0].line, found[0].column
                )
            return self._node(found[0], "constant", value, of=Type.INTEGER)

        def true(self, found: list[Any]) -> Node:
            return self._node(None, "constant", True, of=Type.BOOLEAN)

        def false(self, found: list[Any]) -> Node:
            return self._node(None, "constant", False, of=Type.BOOLEAN)

        def name(self, found: list[Any]) -> Node:
            return self._node(found[0], "name", str(found[0]))

        def call(self, found: list[Any]) -> Node:
            given = tuple(child for child in found[1:] if child is not None)
            return self._node(found[0], "call", str(found[0]), given)

    return lark.Lark(GRAMMAR, parser="lalr", lexer="basic", transformer=Build(), maybe_placeholders=True)


def _with_unit(token: Any, units: dict[str, int]) -> int:
    number = str(token).rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
    value = round(float(number) * units[str(token)[len(number) :]])
    if value > _MOST_INTEGER:
        raise ExpressionError(f"past 64 bits: {token}", token.line, token.column)
    return value


def _unquoted(token: Any) -> str:
    made, signs = [], iter(str(token)[1:-1])
    for sign in signs:
        if sign != "\\":
            made.append(sign)
            continue
        escaped = next(signs)
        if escaped not in '"\\nt':
            raise ExpressionError(f"unknown escape \\{escaped}", token.line, token.column)
        made.append({"n": "\n", "t": "\t"}.get(escaped, escaped))
    return "".join(made)


def parse(text: str) -> Node:
    """The tree of an expression; an ExpressionError says where it is wrong."""
    import lark
    from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, VisitError

    if len(text) > LONGEST:
        raise ExpressionError(f"longer than {LONGEST} characters: {len(text)}")
    try:
        found = _parser().parse(text)
    except VisitError as error:
        if isinstance(error.orig_exc, ExpressionError):
            raise error.orig_exc from None
        raise
    except UnexpectedCharacters as error:
        sign = text.splitlines()[error.line - 1][error.column - 1 : error.column]
        raise ExpressionError(f"unexpected {sign!r}", error.line, error.column) from None
    except (UnexpectedEOF, UnexpectedToken) as error:
        token = getattr(error, "token", None)
        what = "unexpected end" if token is None or not str(token) else f"unexpected {str(token)!r}"
        line = error.line if isinstance(error.line, int) and error.line > 0 else 1 + text.count("\n")
        column = error.column if isinstance(error.column, int) and error.column > 0 else 1 + len(text)
        raise ExpressionError(what, line, column) from None
    except lark.exceptions.LarkError as error:
        raise ExpressionError(str(error).splitlines()[0]) from None
    assert isinstance(found, Node)
    return found
