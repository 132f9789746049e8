"""Parses the requests of clients and builds the responses, without input or output."""

import json
from hashlib import blake2b
from typing import Any
from urllib.parse import unquote

from ironbarrow.core.jobs import Answer, Payload, Verdict
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.wire.http import Headers, Message

JSON_HEADER = ("Content-Type", "application/json")
# rejected if repeated: of two values that differ, a worker may use another one than the dispatcher
_SINGLE_VALUED_HEADERS = frozenset(
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
_MAX_TIMEOUT_MS = 24 * 3600 * 1000
_MAX_ID_LENGTH = 200


class RequestRejectedError(Exception):
    """A request that gets an error response; ``headers`` are added to it."""

    def __init__(self, status: int, text: str, headers: Headers = ()) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


def require_method(request: Message, method: str) -> None:
    """Raises RequestRejectedError (405) for any other method."""
    if request.method != method:
        raise RequestRejectedError(405, f"only {method} is allowed here", [("Allow", method)])


def class_from_path(path: str) -> str:
    """The path's first segment, which names a job's class; "" if there is none."""
    return unquote(path.split("/")[1]) if path.startswith("/") else ""


def parse_job(request: Message) -> tuple[Payload, dict[str, Any]]:
    """The part of a job that is forwarded to a worker, and the job's attributes for the host. Raises
    RequestRejectedError (400)."""
    headers = request.headers
    if request.http_version != "1.1":
        raise RequestRejectedError(400, "jobs come by HTTP/1.1 alone")
    if request.repeated & _SINGLE_VALUED_HEADERS:
        raise RequestRejectedError(
            400, f"repeated: {', '.join(sorted(request.repeated & _SINGLE_VALUED_HEADERS))}"
        )
    job_id = headers.get("x-request-id", "").strip()
    # the id goes into a header and into a path of requests to workers
    if not 0 < len(job_id) <= _MAX_ID_LENGTH or not all(c.isalnum() or c in "-_.:~" for c in job_id):
        raise RequestRejectedError(400, "X-Request-ID is missing or malformed")
    if not job_id.isascii():
        raise RequestRejectedError(400, "X-Request-ID is not ASCII")
    attributes = _parse_attributes(headers.get("x-attrs", ""))
    content_type = headers.get("content-type", "")
    key = headers.get("idempotency-key", "")
    return Payload(job_id, request.method, request.target, request.body, content_type, key), {
        "time_left": _parse_timeout_ms(headers.get("x-timeout-ms", "")) * MS,
        "slots": attributes.get("slots", 1.0),
        "memory": attributes.get("memory", 0.0),
        "repeat": headers.get("x-retried", "").strip() == "1",
    }


def error_body(text: str) -> bytes:
    """The JSON body of an error response."""
    return json.dumps({"error": text}).encode()


def final_response(answer: Answer, headers: list[tuple[str, str]]) -> tuple[int, bytes]:
    """Status and body for a final answer; adds to ``headers``. 429 and 503 promise that a retry is harmless,
    so a failed job must never get them."""
    if answer.verdict is Verdict.SERVED:
        return 200, answer.result
    if answer.verdict is Verdict.FAILED:
        return 500, b""
    headers.extend(retry_after_headers(answer.retry_after))
    return 503, b""


def retry_after_headers(delay: int) -> list[tuple[str, str]]:
    """The Retry-After header for a delay in nanoseconds; none for 0."""
    return [("Retry-After", f"{delay / SECOND:.3f}")] if delay > 0 else []


def _parse_timeout_ms(text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) < 12 and 0 < int(text) <= _MAX_TIMEOUT_MS):
        raise RequestRejectedError(400, "X-Timeout-Ms is missing or not a number of milliseconds")
    return int(text)


def _parse_attributes(text: str) -> dict[str, float]:
    attributes: dict[str, float] = {}
    for pair in text.split(",") if text.strip() else ():
        name, equals, value = pair.partition("=")
        name = name.strip()
        if not equals or not name:
            raise RequestRejectedError(400, f"X-Attrs: not name=value: {pair[:40]!r}")
        if name not in ("slots", "memory"):
            continue
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0 <= number <= 1e6 or (name == "slots" and number == 0):
            raise RequestRejectedError(400, f"X-Attrs: {name} is out of range")
        attributes[name] = number
    return attributes


def key_from_cookie(cookie: str) -> int | None:
    """The key of a request by its session cookie ``sid``; None without one."""
    for part in cookie.split(";"):
        name, _, value = part.strip().partition("=")
        if name == "sid" and value:
            return hash_key(value)
    return None


def hash_key(key: str) -> int:
    """Hashes a key to 48 bits, the same at every dispatcher."""
    return int.from_bytes(blake2b(key.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big")
