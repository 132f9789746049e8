"""The view of a request that routing expressions are evaluated on."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

MAX_PATH_LENGTH = 2048  # bytes; a longer path is refused before any route is evaluated


class PathError(ValueError):
    """A path or query that is malformed, or that dispatcher and worker could interpret differently."""


def split_path(target: str) -> tuple[str, tuple[str, ...], dict[str, str]]:
    """Returns the path, its decoded parts and the query parameters of a request target.

    The path is split before its parts are decoded, once. Raises PathError for a path that is too long or does
    not begin with a slash; for empty, ``.`` and ``..`` parts; for an encoded slash, backslash or NUL; for an
    invalid escape; and for text that is not UTF-8. Case is significant. The first of repeated query
    parameters is used.
    """
    path, _, query = target.partition("?")
    if len(path) > MAX_PATH_LENGTH:
        raise PathError(f"the path has more than {MAX_PATH_LENGTH} bytes")
    if not path.startswith("/"):
        raise PathError("the path does not begin with a slash")
    parts = tuple(_percent_decode(part) for part in path[1:].split("/")) if path != "/" else ()
    for index, part in enumerate(parts):
        if part in ("", ".", ".."):
            if part == "" and index == len(parts) - 1 and index:
                parts = parts[:-1]  # a single trailing slash is ignored
                break
            raise PathError(f"the path has a part {part!r}")
        if any(c in part for c in "/\\\0"):
            raise PathError("the path has an encoded slash, backslash or NUL")
    parameters: dict[str, str] = {}
    for pair in query.split("&") if query else ():
        name, _, value = pair.partition("=")
        parameters.setdefault(
            _percent_decode(name.replace("+", " ")), _percent_decode(value.replace("+", " "))
        )
    return "/" + "/".join(parts), parts, parameters


def _percent_decode(text: str) -> str:
    for index, character in enumerate(text):
        if character == "%" and not (
            len(text) > index + 2 and all(c in "0123456789abcdefABCDEF" for c in text[index + 1 : index + 3])
        ):
            raise PathError("a percent sign without two hexadecimal digits")
    try:
        return unquote_to_bytes(text.encode("latin-1")).decode("utf-8")
    except (UnicodeDecodeError, UnicodeEncodeError):
        raise PathError("the path or query is not UTF-8") from None


@dataclass(slots=True)
class Request:
    """The properties of a request that expressions can read. Sizes in bytes, times in ns.

    Header names are in lower case.
    """

    method: str = "POST"
    path: str = "/"
    parts: tuple[str, ...] = ()
    headers: Mapping[str, str] = field(default_factory=dict)
    cookies: Mapping[str, str] = field(default_factory=dict)
    query: Mapping[str, str] = field(default_factory=dict)
    attributes: Mapping[str, str] = field(default_factory=dict)
    repeated: frozenset[str] | set[str] = frozenset()  # headers received more than once: treated as absent
    body_size: int = 0
    time_left: int = 0
    zone: str = ""

    def header(self, name: str) -> str:
        """The value, or "" if the header is absent or was received more than once."""
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
    """Builds the view of a request from its parsed head. Raises PathError as ``split_path`` does."""
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
