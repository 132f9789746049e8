"""Grammar, parser and syntax tree of the expression language.

The LALR parser builds trees bottom up while it parses, so that deep nesting cannot exhaust the stack. The
length of an expression is limited before parsing, the depth of its tree during parsing.
"""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any

MAX_LENGTH = 4096  # characters of one expression
MAX_DEPTH = 64  # levels of the syntax tree

GRAMMAR = r"""
?start: disjunction
?disjunction: conjunction ("or" conjunction)*
?conjunction: unary ("and" unary)*
?unary: "not" unary -> negation
      | comparison
?comparison: sum
      | sum COMPARE sum -> compare
      | sum "in" sum -> membership
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
      | "(" disjunction ")"
      | "[" [TEXT ("," TEXT)*] "]" -> texts
      | NAME "(" [disjunction ("," disjunction)*] ")" -> call
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
    """The types of values in expressions."""

    TEXT = "text"
    INTEGER = "whole number"
    NUMBER = "number"
    BOOLEAN = "boolean"
    DURATION = "duration"
    SIZE = "size"
    TEXTS = "list of text"


class ExpressionError(ValueError):
    """An invalid expression, with the position of the error. Lines and columns count from 1."""

    def __init__(self, text: str, line: int = 1, column: int = 1) -> None:
        super().__init__(f"line {line}, column {column}: {text}")
        self.text, self.line, self.column = text, line, column


@dataclass(frozen=True, slots=True)
class Node:
    """A node of the syntax tree. ``value``: a constant, an operator, or a variable's or function's name."""

    op: str  # constant, name, call, compare, in, and, or, not, arithmetic
    value: Any
    children: tuple["Node", ...]
    line: int
    column: int
    depth: int = 1
    type: Type | None = None  # set for constants only


_DURATION_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 10**9, "min": 60 * 10**9, "h": 3600 * 10**9}
_SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_MAX_INTEGER = (1 << 63) - 1


@lru_cache(maxsize=1)
def _parser() -> Any:
    import lark  # imported lazily: only installations with a routes file need it

    class TreeBuilder(lark.Transformer):  # type: ignore[type-arg]
        def _node(
            self,
            position: Any,
            op: str,
            value: Any,
            children: tuple[Node, ...] = (),
            constant_type: Any = None,
        ) -> Node:
            line, column = (children[0].line, children[0].column) if children else (1, 1)
            if position is not None:
                line, column = position.line, position.column
            depth = 1 + max((child.depth for child in children), default=0)
            if depth > MAX_DEPTH:
                raise ExpressionError(f"nested deeper than {MAX_DEPTH} levels", line, column)
            return Node(op, value, children, line, column, depth, constant_type)

        def disjunction(self, items: list[Node]) -> Node:
            return self._node(None, "or", None, tuple(items))

        def conjunction(self, items: list[Node]) -> Node:
            return self._node(None, "and", None, tuple(items))

        def negation(self, items: list[Node]) -> Node:
            return self._node(None, "not", None, tuple(items))

        def compare(self, items: list[Any]) -> Node:
            return self._node(items[1], "compare", str(items[1]), (items[0], items[2]))

        def membership(self, items: list[Node]) -> Node:
            return self._node(None, "in", None, tuple(items))

        def arithmetic(self, items: list[Any]) -> Node:
            return self._node(items[1], "arithmetic", str(items[1]), (items[0], items[2]))

        def text(self, items: list[Any]) -> Node:
            return self._node(items[0], "constant", _unquote(items[0]), constant_type=Type.TEXT)

        def texts(self, items: list[Any]) -> Node:
            tokens = [token for token in items if token is not None]
            values = tuple(_unquote(token) for token in tokens)
            return self._node(tokens[0] if tokens else None, "constant", values, constant_type=Type.TEXTS)

        def duration(self, items: list[Any]) -> Node:
            return self._node(
                items[0],
                "constant",
                _parse_quantity(items[0], _DURATION_UNITS),
                constant_type=Type.DURATION,
            )

        def size(self, items: list[Any]) -> Node:
            return self._node(
                items[0], "constant", _parse_quantity(items[0], _SIZE_UNITS), constant_type=Type.SIZE
            )

        def number(self, items: list[Any]) -> Node:
            return self._node(items[0], "constant", float(items[0]), constant_type=Type.NUMBER)

        def integer(self, items: list[Any]) -> Node:
            value = int(items[0])
            if value > _MAX_INTEGER:
                raise ExpressionError(
                    f"whole number exceeds 64 bits: {items[0]}", items[0].line, items[0].column
                )
            return self._node(items[0], "constant", value, constant_type=Type.INTEGER)

        def true(self, items: list[Any]) -> Node:
            return self._node(None, "constant", True, constant_type=Type.BOOLEAN)

        def false(self, items: list[Any]) -> Node:
            return self._node(None, "constant", False, constant_type=Type.BOOLEAN)

        def name(self, items: list[Any]) -> Node:
            return self._node(items[0], "name", str(items[0]))

        def call(self, items: list[Any]) -> Node:
            arguments = tuple(child for child in items[1:] if child is not None)
            return self._node(items[0], "call", str(items[0]), arguments)

    return lark.Lark(
        GRAMMAR, parser="lalr", lexer="basic", transformer=TreeBuilder(), maybe_placeholders=True
    )


def _parse_quantity(token: Any, units: dict[str, int]) -> int:
    number = str(token).rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
    value = round(float(number) * units[str(token)[len(number) :]])
    if value > _MAX_INTEGER:
        raise ExpressionError(f"value exceeds 64 bits: {token}", token.line, token.column)
    return value


def _unquote(token: Any) -> str:
    characters, source = [], iter(str(token)[1:-1])
    for character in source:
        if character != "\\":
            characters.append(character)
            continue
        escaped = next(source)
        if escaped not in '"\\nt':
            raise ExpressionError(f"unknown escape \\{escaped}", token.line, token.column)
        characters.append({"n": "\n", "t": "\t"}.get(escaped, escaped))
    return "".join(characters)


def parse_expression(text: str) -> Node:
    """Parses an expression. Raises ExpressionError with the position of the first error."""
    import lark
    from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, VisitError

    if len(text) > MAX_LENGTH:
        raise ExpressionError(f"expression longer than {MAX_LENGTH} characters: {len(text)}")
    try:
        tree = _parser().parse(text)
    except VisitError as error:
        if isinstance(error.orig_exc, ExpressionError):
            raise error.orig_exc from None
        raise
    except UnexpectedCharacters as error:
        character = text.splitlines()[error.line - 1][error.column - 1 : error.column]
        raise ExpressionError(f"unexpected {character!r}", error.line, error.column) from None
    except (UnexpectedEOF, UnexpectedToken) as error:
        token = getattr(error, "token", None)
        reason = "unexpected end" if token is None or not str(token) else f"unexpected {str(token)!r}"
        line = error.line if isinstance(error.line, int) and error.line > 0 else 1 + text.count("\n")
        column = error.column if isinstance(error.column, int) and error.column > 0 else 1 + len(text)
        raise ExpressionError(reason, line, column) from None
    except lark.exceptions.LarkError as error:
        raise ExpressionError(str(error).splitlines()[0]) from None
    assert isinstance(tree, Node)
    return tree
