"""The listener: jobs in and final answers out, call-backs of providers, readiness."""

import json
import select
import socket
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from typing import Any, Protocol
from urllib.parse import unquote

import structlog

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.host import Answer, Host, Job, Payload, Terms, Verdict
from ironbarrow.runtime.loop import HANGUP, MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.transport.http import Connection, accept, adopt
from ironbarrow.wire.http import Headers, Message

log = structlog.get_logger()


class Router(Protocol):
    """An operators' routes. Kept as a protocol: whoever has no routes does not import them."""

    def admit(self, request: Any, now: int) -> Any:
        """The ticket of an admitted request, or how it is turned away."""


class Shared(Protocol):
    """Where jobs go where several processes answer for each other's."""

    def take(
        self, payload: Payload, answered: "Callable[[Answer | None], None]", **placed: Any
    ) -> Callable[[], None]:
        """As ``Host.take``; ``answered`` may be told None: another request is under that id. Gives back what
        is called when the consumer leaves, or has its answer."""

    def readiness(self) -> str:
        """One line of text: who answers for whom at present."""


_IDLE_LIMIT = 120 * SECOND
_FIRST_LIMIT = 2 * SECOND  # from accepting a connection to the first byte on it
_REQUEST_LIMIT = 2500 * MS  # from a request's first byte, or from accepting, to its last byte
_WRITE_LIMIT = 5 * SECOND
_LINGER_LIMIT = 1 * SECOND
_PAUSE = 20 * MS  # before accepting again when no descriptor is left
_ACCEPTS_AT_ONCE = 16  # danger: a burst of connections would keep call-backs and the directory waiting
_FRESH = 200 * MS  # a new connection is left so long for its first request to come
# danger: of two that differ, another reader may take the other one
_ONCE = frozenset(("x-request-id", "x-timeout-ms", "x-attrs", "x-retried", "cookie", "content-type"))
_LONGEST_MS = 24 * 3600 * 1000
_ID_MOST = 200
_JSON = ("Content-Type", "application/json")


class BadRequestError(Exception):
    """A request that is answered with an error of its sender's."""

    def __init__(self, status: int, text: str, headers: Headers = ()) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


class Consumers:
    """Serves every connection that comes in at the listening address."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        listener: socket.socket,
        called_back: Callable[[Any], object],
        free_descriptors: Callable[[], None],
        *,
        most: int,
        most_buffered: int,
    ) -> None:
        self._loop = loop
        self._host = host
        self._listener = listener
        self._called_back = called_back
        self._free_descriptors = free_descriptors
        self._most = most
        self._classes = {cls.name for cls in host.settings.classes}
        self._most_buffered = most_buffered
        self._buffered = 0  # bytes of requests that are not whole yet
        self._new: dict[Connection, Task] = {}  # no whole request yet, the oldest first
        self._idle: dict[Connection, Task] = {}  # between requests, the longest idle first
        self._open = 0
        self._closing = False
        self.asking: dict[Job, tuple[Connection, Task]] = {}  # who waits for a job's answer
        self.router: Router | None = (
            None  # the operators' routes; without them the path's first part is the class
        )
        self.shared: Shared | None = None  # without it every job is the host's
        loop.spawn(self._accept())

    @property
    def busy(self) -> bool:
        """Whether any connection is open or waits to be accepted."""
        return self._open > 0 or bool(select.select([self._listener], [], [], 0)[0])

    def close_idle(self) -> None:
        """From now on no connection is kept: the idle ones close at once, the others after their answer."""
        self._closing = True
        for connection in [c for c in self._new if not c.size] + list(self._idle):
            self._drop(connection)

    def _drop(self, connection: Connection) -> bool:
        # danger: a request that has just come in was taken; closing now would lose it
        if not connection.is_silent():
            return False
        (self._new.pop(connection, None) or self._idle.pop(connection)).cancel()
        return True

    # Connections

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPTS_AT_ONCE):
                if self._open >= self._most and not self._make_room():
                    yield from sleep(self._loop.now() + _PAUSE)
                    continue
                try:
                    connection = accept(self._listener)
                except OSError as error:
                    yield from self._out_of_descriptors(error)
                    continue
                if connection is None:
                    break
                self._open += 1
                connection.used_at = self._loop.now()
                connection.grew = self._grew
                # danger: noted only by its own first line, it could be ended before that line has run;
                # the lines at its end would not run either, and its place would stay taken
                self._loop.spawn(self._serve(connection))

    def _make_room(self) -> bool:
        """Closes a connection that has brought no whole request, else the one that has been idle
        longest; its client opens another when it needs one.

        Danger: hundreds that connect and say nothing would leave no place to the usual consumers.
        """
        fresh_since = self._loop.now() - _FRESH
        for connection in self._new:
            if connection.used_at > fresh_since:
                break
            if self._drop(connection):
                return True
        return any(self._drop(connection) for connection in list(self._idle))

    def _grew(self, connection: Connection, size: int) -> None:
        """Danger: many requests that stop half-way would together hold more memory than there is."""
        self._buffered += size
        for other in list(self._new) if self._buffered > self._most_buffered else ():
            if other is not connection and other.size and self._drop(other):
                return

    def _let_go(self, connection: Connection) -> None:
        self._buffered -= connection.size
        connection.size = 0

    def _out_of_descriptors(self, error: OSError) -> Coroutine[None]:
        """Danger: with no descriptor left, accept fails at once for ever and the loop would spin."""
        log.warning("no descriptor left", error=str(error), connections=self._open)
        self._free_descriptors()
        self._make_room()
        yield from sleep(self._loop.now() + _PAUSE)

    def _serve(self, connection: Connection) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        self._new[connection] = task
        try:
            while True:
                request = yield from self._next_request(connection, task)
                if request is None:
                    return
                keep = yield from self._respond(connection, task, request)
                if not keep or not connection.next_cycle():
                    yield from connection.linger(self._loop.now() + _LINGER_LIMIT)
                    return
                if self._closing and connection.is_silent() and not connection.started:
                    return
                connection.used_at = self._loop.now()
        except ConnectionEndedError as error:
            yield from self._answer_malformed(connection, error)
        finally:
            self._let_go(connection)
            self._new.pop(connection, None)
            self._idle.pop(connection, None)
            self._open -= 1
            connection.close()

    def _next_request(self, connection: Connection, task: Task) -> Coroutine[Message | None]:
        """The next request, or None if the connection ended between two."""
        first = connection in self._new
        if not connection.started:
            limit = _FIRST_LIMIT if first else _IDLE_LIMIT
            if self._closing:  # danger: one that connects and says nothing would hold up the end
                limit = _LINGER_LIMIT
            if not first:
                self._idle[connection] = task
            ready = yield Wait(connection.sock.fileno(), READ, connection.used_at + limit)
            if not ready or connection.is_closed():
                return None
            self._idle.pop(connection, None)
        begun = connection.used_at if first else self._loop.now()
        request = yield from connection.read_message(begun + _REQUEST_LIMIT)
        self._new.pop(connection, None)
        self._let_go(connection)
        return request

    def _answer_malformed(self, connection: Connection, error: ConnectionEndedError) -> Coroutine[None]:
        if error.ending not in (Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED):
            return
        if not connection.can_answer():
            return
        try:
            body = _body(str(error))
            data = connection.response_bytes(error.status, [_JSON, ("Connection", "close")], body)
            yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
            yield from connection.linger(self._loop.now() + _LINGER_LIMIT)
        except ConnectionEndedError:
            return

    # Requests

    def _respond(self, connection: Connection, task: Task, request: Message) -> Coroutine[bool]:
        """Answers one request; whether the connection may carry another."""
        headers: list[tuple[str, str]] = []
        try:
            path = request.target.partition("?")[0]
            if path == "/-/ready":
                _expect(request, "GET")
                status, body = (200, b"ready") if self._host.listed else (503, b"no list of providers yet")
                if self.shared is not None:
                    headers.append(("X-Fleet", self.shared.readiness()))
            elif path == "/callback":
                _expect(request, "POST")
                status, body = self._call_back(request)
            elif self._is_job(path):
                _expect(request, "POST")
                answer = yield from self._job(connection, task, request, path)
                if answer is None:
                    return False
                status, body = _final(answer, headers)
            else:
                raise BadRequestError(404, "no such path")
        except BadRequestError as error:
            status, body = error.status, _body(str(error))
            headers = [_JSON, *error.headers]
        keep = request.keep and not self._closing
        if not keep:
            headers.append(("Connection", "close"))
        data = connection.response_bytes(status, headers, body)
        yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
        return keep

    def _is_job(self, path: str) -> bool:
        if self.router is not None:
            return True
        return unquote(path.split("/")[1] if path.startswith("/") else "") in self._classes

    def _call_back(self, request: Message) -> tuple[int, bytes]:
        try:
            self._called_back(json.loads(request.body))
        except (ValueError, RecursionError) as error:
            raise BadRequestError(400, f"malformed call-back: {error}") from None
        return 204, b""

    def _job(
        self, connection: Connection, task: Task, request: Message, path: str
    ) -> Coroutine[Answer | None]:
        """Hands in a job and waits for its final answer; None if the consumer left first."""
        answers: list[Answer | None] = []

        def answered(answer: Answer | None) -> None:
            answers.append(answer)
            task.wake()

        left = self._take(connection, task, request, path, answered)
        try:
            while not answers:
                # it is answered long before
                yield Wait(connection.sock.fileno(), HANGUP, self._loop.now() + 3600 * SECOND)
                if not answers and connection.is_gone():
                    return None
        finally:
            left()
        if answers[0] is None:
            raise BadRequestError(409, "another request is under this X-Request-ID")
        return answers[0]

    def _withdraw(self, job: Job) -> None:
        self.asking.pop(job, None)
        self._host.withdraw(job)

    def adopt(
        self, sock: socket.socket, begin: Callable[[Callable[[Answer], None]], Callable[[], None]]
    ) -> Task:
        """Answers a consumer whose request another process has read. ``begin`` is given where the one final
        answer goes, and gives back what is called when the consumer leaves before it."""
        return self._loop.spawn(self._serve_adopted(adopt(sock), begin))

    def _serve_adopted(
        self, connection: Connection, begin: Callable[[Callable[[Answer], None]], Callable[[], None]]
    ) -> Coroutine[None]:
        answers: list[Answer] = []
        task = self._loop.current
        assert task is not None
        self._open += 1
        left: Callable[[], None] | None = None

        def answered(answer: Answer) -> None:
            answers.append(answer)
            task.wake()

        try:
            left = begin(answered)
            while not answers:
                yield Wait(connection.sock.fileno(), HANGUP, self._loop.now() + 3600 * SECOND)
                if not answers and connection.is_gone():
                    return
            headers: list[tuple[str, str]] = [("Connection", "close")]
            status, body = _final(answers[0], headers)
            data = connection.response_bytes(status, headers, body)
            yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
            yield from connection.linger(self._loop.now() + _LINGER_LIMIT)
        except ConnectionEndedError:
            return
        finally:
            if left is not None and not answers:
                left()
            self._open -= 1
            connection.close()

    def _take(
        self,
        connection: Connection,
        task: Task,
        request: Message,
        path: str,
        answered: Callable[[Answer | None], None],
    ) -> Callable[[], None]:
        """Hands in a job; gives back what is called at the end, or when the consumer leaves before it."""
        headers = request.headers
        if request.repeated & _ONCE:
            raise BadRequestError(400, f"repeated: {', '.join(sorted(request.repeated & _ONCE))}")
        job_id = headers.get("x-request-id", "").strip()
        # danger: the id becomes a header and a path towards providers
        if not 0 < len(job_id) <= _ID_MOST or not all(c.isalnum() or c in "-_.:~" for c in job_id):
            raise BadRequestError(400, "X-Request-ID is missing or malformed")
        if not job_id.isascii():
            raise BadRequestError(400, "X-Request-ID is not ASCII")
        if self.shared is None and self._host.knows(job_id):
            raise BadRequestError(409, "a job with this X-Request-ID is under way")
        attributes = _attributes(headers.get("x-attrs", ""))
        time_left = _milliseconds(headers.get("x-timeout-ms", "")) * MS
        if self.router is not None:
            placed = self._routed(request, time_left)
        else:
            placed = {"job_class": unquote(path.split("/")[1]), "key": _key(headers.get("cookie", ""))}
        content_type = headers.get("content-type", "")
        job = Payload(job_id, request.method, request.target, request.body, content_type)
        placed |= {
            "time_left": time_left,
            "slots": attributes.get("slots", 1.0),
            "memory": attributes.get("memory", 0.0),
            "repeat": headers.get("x-retried", "").strip() == "1",
        }
        if self.shared is not None:
            return self.shared.take(job, answered, **placed)
        taken = self._host.take(job, answered, **placed)
        self.asking[taken] = connection, task
        return partial(self._withdraw, taken)

    def _routed(self, request: Message, time_left: int) -> dict[str, Any]:
        """Class, key, tenant and terms by the operators' routes; a BadRequestError if they turn it away.
        Last of all checks: whoever holds a ticket takes the job."""
        from ironbarrow.routing.request import PathError, make_request
        from ironbarrow.routing.router import Ticket, arrival

        settings = self._host.settings
        try:
            seen = make_request(
                request.method,
                request.target,
                request.headers,
                repeated=request.repeated,
                body_size=len(request.body),
                time_left=time_left,
                zone=settings.zone,
            )
        except PathError as error:
            raise BadRequestError(400, str(error)) from None
        assert self.router is not None
        found = self.router.admit(seen, self._loop.now())
        if not isinstance(found, Ticket):
            advice = min(found.retry_after, settings.max_retry_after) if settings.gives_retry_after else 0
            after = [("Retry-After", f"{advice / SECOND:.3f}")] if advice else []
            raise BadRequestError(found.status, found.reason, after)
        return {
            "job_class": found.route.cls.name,
            "key": _number(found.key) if found.key else None,
            "tenant": found.tenant or None,
            "terms": Terms(**arrival(found, settings), watch=found),
        }


def _expect(request: Message, method: str) -> None:
    if request.method != method:
        raise BadRequestError(405, f"only {method} is allowed here", [("Allow", method)])


def _body(text: str) -> bytes:
    return json.dumps({"error": text}).encode()


def _final(answer: Answer, headers: list[tuple[str, str]]) -> tuple[int, bytes]:
    """Danger: 429 and 503 promise that a repeat is harmless; a failure must never use them."""
    if answer.verdict is Verdict.SERVED:
        return 200, answer.result
    if answer.verdict is Verdict.FAILED:
        return 500, b""
    if answer.retry_after > 0:
        headers.append(("Retry-After", f"{answer.retry_after / SECOND:.3f}"))
    return 503, b""


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


def _key(cookie: str) -> int | None:
    """A number for what the request is about, the same at every dispatcher."""
    for part in cookie.split(";"):
        name, _, value = part.strip().partition("=")
        if name == "sid" and value:
            return _number(value)
    return None


def _number(key: str) -> int:
    """A key as a number, the same at every instance."""
    return int.from_bytes(blake2b(key.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big")
