"""The operators' HTTP server: one request per connection, on a listener of its own.

It has its own small limit of connections, so operators are served however many clients are connected.
Connections that send no complete request could use up that limit. They are closed after a second, and those
that have sent nothing earlier if others wait.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.transport.http import Connection, accept
from ironbarrow.wire.http import Message

log = structlog.get_logger()

MAX_CONNECTIONS = 24  # at the same time
_REQUEST_TIMEOUT = 1 * SECOND  # from accepting a connection to the last byte of its request
_WRITE_TIMEOUT = 1 * SECOND
_LINGER_TIMEOUT = 200 * MS
_ACCEPT_RETRY_DELAY = 20 * MS  # when no descriptor or connection is free
# If only one connection were accepted in each turn of the event loop, a request with hundreds of stalled
# connections in the queue before it would wait for many turns.
_ACCEPT_BATCH = 64
_MAX_BODY_BYTES = 4096
_MAX_ID_LENGTH = 1024  # characters
_CONTENT_TYPE = ("Content-Type", "text/plain; charset=utf-8")


class Operations(Protocol):
    """What the requests do. The methods must not block: they run on the event loop."""

    def is_ready(self) -> bool:
        """Returns whether this process can serve."""

    def stats(self) -> str:
        """Returns the metrics as text."""

    def worker_down(self, worker: str) -> bool:
        """Bans a worker; False if its id was never on the worker list."""

    def worker_up(self, worker: str) -> bool:
        """Lifts the ban of a worker; False if its id was never on the worker list."""

    @property
    def is_stored(self) -> bool:
        """Whether all changes are stored. Those that are not apply to this process all the same."""


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    text: str


class AdminServer:
    """Answers operators' requests on the connections of ``listener``."""

    def __init__(self, loop: Loop, listener: socket.socket, operations: Operations) -> None:
        self._loop = loop
        self._listener = listener
        self._operations = operations
        self._reading: dict[Connection, Task] = {}  # their request is not complete; the oldest first
        self._open_count = 0
        loop.spawn(self._accept())

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPT_BATCH):
                if self._open_count >= MAX_CONNECTIONS and not self._evict_silent():
                    yield from sleep(self._loop.now() + _ACCEPT_RETRY_DELAY)
                    continue
                try:
                    connection = accept(self._listener)
                except OSError as error:
                    log.warning("no descriptor left for operators", error=str(error))
                    yield from sleep(self._loop.now() + _ACCEPT_RETRY_DELAY)
                    continue
                if connection is None:
                    break
                self._open_count += 1
                connection.last_used_at = self._loop.now()
                self._loop.spawn(self._serve(connection))

    def _evict_silent(self) -> bool:
        """Closes the oldest connection that has sent nothing; False if there is none.

        A connection with bytes to read is served."""
        for connection, task in self._reading.items():
            if connection.is_idle():
                task.cancel()
                return True
        return False

    def _serve(self, connection: Connection) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        self._reading[connection] = task
        try:
            try:
                request = yield from connection.read_message(
                    connection.last_used_at + _REQUEST_TIMEOUT, _MAX_BODY_BYTES
                )
                response = self._answer(request)
            except ConnectionEndedError as error:
                if error.ending not in (Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED):
                    return
                if not connection.can_answer():
                    return
                response = _Response(
                    error.status, str(error) or "the call did not come whole within a second"
                )
            self._reading.pop(connection, None)
            data = connection.response_bytes(
                response.status, [_CONTENT_TYPE, ("Connection", "close")], response.text.encode()
            )
            yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
            yield from connection.linger(self._loop.now() + _LINGER_TIMEOUT)
        except ConnectionEndedError:
            return
        finally:
            self._reading.pop(connection, None)
            self._open_count -= 1
            connection.close()

    def _answer(self, request: Message) -> _Response:
        path = request.target.partition("?")[0]
        routes: dict[str, tuple[str, Callable[[Message], _Response]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", lambda _: _Response(200, self._operations.stats())),
            "/ops/workers/down": ("POST", lambda r: self._change_ban(r, self._operations.worker_down)),
            "/ops/workers/up": ("POST", lambda r: self._change_ban(r, self._operations.worker_up)),
        }
        if path not in routes:
            return _Response(404, "no such call; there are " + ", ".join(routes) + "\n")
        method, handler = routes[path]
        if request.method != method:
            return _Response(405, f"{path} is called by {method}\n")
        return handler(request)

    def _readiness(self, _: Message) -> _Response:
        return _Response(200, "ready\n") if self._operations.is_ready() else _Response(503, "not ready\n")

    def _change_ban(self, request: Message, change: Callable[[str], bool]) -> _Response:
        try:
            worker = request.body.decode("utf-8").strip()
        except UnicodeDecodeError:
            return _Response(400, "the body is not UTF-8\n")
        if not worker or len(worker) > _MAX_ID_LENGTH or not worker.isprintable():
            return _Response(400, f"the body is not one worker's id of 1 to {_MAX_ID_LENGTH} characters\n")
        if not change(worker):
            return _Response(404, f"no worker {worker} was ever on the list\n")
        if not self._operations.is_stored:
            # no 200: after that, the ban has to hold even if this process is killed at once
            return _Response(500, "in force in this process, but not stored yet; call again\n")
        return _Response(200, "done\n")
