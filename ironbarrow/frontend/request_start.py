"""Tells whether bytes that follow a request can begin another one. No input or output.

If a request's Content-Length is too short, the rest of its body follows it. Taken for pipelined input, it
would let the job be sent to a worker with a truncated body.
"""

import re
from enum import Enum, auto

MAX_REQUEST_LINE = 2048  # bytes of the line that are examined; longer targets are legitimate
_METHODS = (b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"PATCH")
_BEGUN = tuple(method + b" /" for method in _METHODS)
_UNDECIDED = frozenset(begun[:size] for begun in _BEGUN for size in range(1, len(begun)))
_TARGET_AND_VERSION = re.compile(rb"[!-~]+(?: (.*))?", re.DOTALL)
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


class RequestStart(Enum):
    """What the bytes after a request are."""

    NOTHING = auto()  # none, or line ends alone, which RFC 9112 (2.2) allows there
    UNDECIDED = auto()  # too few to tell a request from the rest of a body
    BEGUN = auto()  # a method and the beginning of a path; the line may still turn out to be none
    LINE = auto()  # a whole request line
    IMPOSSIBLE = auto()  # no request begins with these bytes


def request_start(data: bytes) -> RequestStart:
    """Classifies the bytes received directly after a request, of which the first MAX_REQUEST_LINE count.

    A line has to name a usual method, a path and HTTP/1.0 or 1.1 (RFC 9112, 3), however much of it is there.
    """
    rest = data[:MAX_REQUEST_LINE].lstrip(b"\r\n")
    if not rest:
        return RequestStart.NOTHING
    line, newline, _ = rest.partition(b"\n")
    line = line.removesuffix(b"\r")
    if not line.startswith(_BEGUN):
        undecided = line in _UNDECIDED and not newline
        return RequestStart.UNDECIDED if undecided else RequestStart.IMPOSSIBLE
    match = _TARGET_AND_VERSION.fullmatch(line.partition(b" ")[2])
    if match is None:
        return RequestStart.IMPOSSIBLE
    version = match.group(1)
    if newline:
        return RequestStart.LINE if version in _VERSIONS else RequestStart.IMPOSSIBLE
    if version is not None and not any(known.startswith(version) for known in _VERSIONS):
        return RequestStart.IMPOSSIBLE
    return RequestStart.BEGUN
