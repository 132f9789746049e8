"""A request as expressions see it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

PATH_LIMIT = 2048  # bytes; a longer path is refused before any route is looked at


class PathError(ValueError):
    """A path that two readers could take for different ones."""


def split_path(target: str) -> tuple[str, tuple[str, ...], dict[str, str]]:
    """Path, its decoded parts and the query of a request's target; a PathError names the trouble.

    Parts are split before they are decoded, once. Refused: a path that does not begin with a slash; empty,
    ``.`` and ``..`` parts; a slash, backslash or NUL that was encoded; a broken escape; what is not UTF-8.
    Case counts. Of a query's parameter that comes twice, the first one counts.
    """
    path, _, query = target.partition("?")
    if len(path) > PATH_LIMIT:
        raise PathError(f"the path has more than {PATH_LIMIT} bytes")
    if not path.startswith("/"):
        raise PathError("the path does not begin with a slash")
    parts = tuple(_decoded(part) for part in path[1:].split("/")) if path != "/" else ()
    for number, part in enumerate(parts):
        if part in ("", ".", ".."):
            if part == "" and number == len(parts) - 1 and number:
                parts = parts[:-1]  # one slash at the end is no part
                break
            raise PathError(f"the path has a part {part!r}")
        if any(c in part for c in "/\\\0"):
            raise PathError("the path has an encoded slash, backslash or NUL")
    found: dict[str, str] = {}
    for pair in query.split("&") if query else ():
        name, _, value = pair.partition("=")
        found.setdefault(_decoded(name.replace("+", " ")), _decoded(value.replace("+", " ")))
    return "/" + "/".join(parts), parts, found


def _decoded(text: str) -> str:
    for at, sign in enumerate(text):
        if sign == "%" and not (
            len(text) > at + 2 and all(c in "0123456789abcdefABCDEF" for c in text[at + 1 : at + 3])
        ):
            raise PathError("a percent sign without two hexadecimal digits")
    try:
        return unquote_to_bytes(text.encode("latin-1")).decode("utf-8")
    except (UnicodeDecodeError, UnicodeEncodeError):
        raise PathError("the path or query is not UTF-8") from None


@dataclass(slots=True)
class Request:
    """What an expression can ask for. Sizes in bytes, times in ns; header names in lower case."""

    method: str = "POST"
    path: str = "/"
    parts: tuple[str, ...] = ()
    headers: Mapping[str, str] = field(default_factory=dict)
    cookies: Mapping[str, str] = field(default_factory=dict)
    query: Mapping[str, str] = field(default_factory=dict)
    attributes: Mapping[str, str] = field(default_factory=dict)
    repeated: frozenset[str] | set[str] = (
        frozenset()
    )  # headers that came more than once: they count as absent
    body_size: int = 0
    time_left: int = 0
    zone: str = ""

    def header(self, name: str) -> str:
        """The value, or "" if it is absent or came more than once."""
        return "" if name in self.repeated else self.headers.get(name, "")


def make_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    *,
    repeated: set[str] | frozenset[str] = frozenset(),
    body_size: int = 0,
    time_left: int = 0,
    zone: str = "",
) -> Request:
    """A request's view from its parsed head; a PathError if its target is ambiguous."""
    path, parts, query = split_path(target)
    cookies: dict[str, str] = {}
    for pair in headers.get("cookie", "").split(";"):
        name, equals, value = pair.strip().partition("=")
        if equals and name:
            cookies.setdefault(name, value)
    attributes: dict[str, str] = {}
    for pair in headers.get("x-attrs", "").split(","):
        name, equals, value = pair.strip().partition("=")
        if equals and name:
            attributes.setdefault(name, value)
    return Request(
        method, path, parts, headers, cookies, query, attributes, repeated, body_size, time_left, zone
    )
