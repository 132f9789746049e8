"""What a client's request says, and what its answer says: no input or output."""

import json
import re
from hashlib import blake2b
from typing import Any
from urllib.parse import unquote

from ironbarrow.core.jobs import Answer, Payload, Verdict
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.wire.http import Headers, Message

JSON = ("Content-Type", "application/json")
# danger: of two that differ, another reader may take the other one
_ONCE = frozenset(
    (
        "x-request-id",
        "x-timeout-ms",
        "x-attrs",
        "x-retried",
        "x-tenant-id",
        "cookie",
        "content-type",
        "idempotency-key",
    )
)
_LONGEST_MS = 24 * 3600 * 1000
_ID_MOST = 200
_NEXT_REQUEST = re.compile(rb"[\r\n]*(?:[A-Z]{1,20}(?: |\Z)|\Z)")


class BadRequestError(Exception):
    """A request that is answered with an error of its sender's."""

    def __init__(self, status: int, text: str, headers: Headers = ()) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


def expect_method(request: Message, method: str) -> None:
    """A BadRequestError for any other."""
    if request.method != method:
        raise BadRequestError(405, f"only {method} is allowed here", [("Allow", method)])


def class_in(path: str) -> str:
    """The path's first part; "" where it has none."""
    return unquote(path.split("/")[1]) if path.startswith("/") else ""


def may_follow(data: bytes) -> bool:
    """Whether these bytes, which come right after a request, can begin another one. Danger: where the length
    is too short, the rest of the body stands there, and what would be sent on is not what was meant."""
    return _NEXT_REQUEST.match(data[:64]) is not None


def read_job(request: Message) -> tuple[Payload, dict[str, Any]]:
    """What passes on to a worker, and what the host is told beside it; a BadRequestError says what is
    wrong."""
    headers = request.headers
    if request.version != "1.1":
        raise BadRequestError(400, "jobs come by HTTP/1.1 alone")
    if request.repeated & _ONCE:
        raise BadRequestError(400, f"repeated: {', '.join(sorted(request.repeated & _ONCE))}")
    job_id = headers.get("x-request-id", "").strip()
    # danger: the id becomes a header and a path towards workers
    if not 0 < len(job_id) <= _ID_MOST or not all(c.isalnum() or c in "-_.:~" for c in job_id):
        raise BadRequestError(400, "X-Request-ID is missing or malformed")
    if not job_id.isascii():
        raise BadRequestError(400, "X-Request-ID is not ASCII")
    attributes = _attributes(headers.get("x-attrs", ""))
    content_type = headers.get("content-type", "")
    key = headers.get("idempotency-key", "")
    return Payload(job_id, request.method, request.target, request.body, content_type, key), {
        "time_left": _milliseconds(headers.get("x-timeout-ms", "")) * MS,
        "slots": attributes.get("slots", 1.0),
        "memory": attributes.get("memory", 0.0),
        "repeat": headers.get("x-retried", "").strip() == "1",
    }


def error_body(text: str) -> bytes:
    return json.dumps({"error": text}).encode()


def final_answer(answer: Answer, headers: list[tuple[str, str]]) -> tuple[int, bytes]:
    """Status and body; adds to the headers. Danger: 429 and 503 promise that a repeat is harmless; a failure
    must never use them."""
    if answer.verdict is Verdict.SERVED:
        return 200, answer.result
    if answer.verdict is Verdict.FAILED:
        return 500, b""
    headers.extend(retry_after(answer.retry_after))
    return 503, b""


def retry_after(advice: int) -> list[tuple[str, str]]:
    """The header with the advice (ns); none for 0."""
    return [("Retry-After", f"{advice / SECOND:.3f}")] if advice > 0 else []


def _milliseconds(text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) < 12 and 0 < int(text) <= _LONGEST_MS):
        raise BadRequestError(400, "X-Timeout-Ms is missing or not a number of milliseconds")
    return int(text)


def _attributes(text: str) -> dict[str, float]:
    found: dict[str, float] = {}
    for pair in text.split(",") if text.strip() else ():
        name, equals, value = pair.partition("=")
        name = name.strip()
        if not equals or not name:
            raise BadRequestError(400, f"X-Attrs: not name=value: {pair[:40]!r}")
        if name not in ("slots", "memory"):
            continue
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0 <= number <= 1e6 or (name == "slots" and number == 0):
            raise BadRequestError(400, f"X-Attrs: {name} is out of range")
        found[name] = number
    return found


def cookie_key(cookie: str) -> int | None:
    """A number for what the request is about, the same at every dispatcher."""
    for part in cookie.split(";"):
        name, _, value = part.strip().partition("=")
        if name == "sid" and value:
            return key_number(value)
    return None


def key_number(key: str) -> int:
    """A key as a number, the same at every instance."""
    return int.from_bytes(blake2b(key.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big")
