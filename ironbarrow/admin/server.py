"""The listener for operators: one call per connection, answered beside job work and never behind it.

It has a few descriptors of its own. Danger: callers that connect and say nothing, or half a call, would take
all of them; whoever has not brought a whole call within a second is let go, and sooner if others wait.
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

MOST = 24  # connections at once
_CALL_LIMIT = 1 * SECOND  # from accepting a connection to its call's last byte
_WRITE_LIMIT = 1 * SECOND
_LINGER_LIMIT = 200 * MS
_PAUSE = 20 * MS  # before accepting again when no descriptor is left
_ACCEPTS_AT_ONCE = 64  # danger: behind hundreds that stall, a call would wait for many turns of the loop
_BODY_MOST = 4096  # bytes
_ID_MOST = 1024  # characters
_TEXT = ("Content-Type", "text/plain; charset=utf-8")


class Operations(Protocol):
    """What the calls do. None of it may wait."""

    def is_ready(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> str:
        """The figures, as text."""

    def worker_down(self, worker: str) -> bool:
        """Takes a worker out of use; False for an id that was never on the list."""

    def worker_up(self, worker: str) -> bool:
        """Lets a worker be used again; False for an id that was never on the list."""

    @property
    def is_stored(self) -> bool:
        """Whether all changes outlast this process; those that do not are in force all the same."""


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    text: str


class Door:
    """Answers the calls of operators at ``listener``."""

    def __init__(self, loop: Loop, listener: socket.socket, operations: Operations) -> None:
        self._loop = loop
        self._listener = listener
        self._operations = operations
        self._waiting: dict[Connection, Task] = {}  # no whole call yet, the oldest first
        self._open = 0
        loop.spawn(self._accept())

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPTS_AT_ONCE):
                if self._open >= MOST and not self._make_room():
                    yield from sleep(self._loop.now() + _PAUSE)
                    continue
                try:
                    connection = accept(self._listener)
                except OSError as error:
                    log.warning("no descriptor left for operators", error=str(error))
                    yield from sleep(self._loop.now() + _PAUSE)
                    continue
                if connection is None:
                    break
                self._open += 1
                connection.used_at = self._loop.now()
                self._loop.spawn(self._serve(connection))

    def _make_room(self) -> bool:
        """Lets the caller go that has been silent for longest; one whose bytes are in is served."""
        for connection, task in self._waiting.items():
            if connection.is_silent():
                task.cancel()
                return True
        return False

    def _serve(self, connection: Connection) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        self._waiting[connection] = task
        try:
            try:
                request = yield from connection.read_message(connection.used_at + _CALL_LIMIT, _BODY_MOST)
                reply = self._answer(request)
            except ConnectionEndedError as error:
                if error.ending not in (Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED):
                    return
                if not connection.can_answer():
                    return
                reply = _Reply(error.status, str(error) or "the call did not come whole within a second")
            self._waiting.pop(connection, None)
            data = connection.response_bytes(
                reply.status, [_TEXT, ("Connection", "close")], reply.text.encode()
            )
            yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
            yield from connection.linger(self._loop.now() + _LINGER_LIMIT)
        except ConnectionEndedError:
            return
        finally:
            self._waiting.pop(connection, None)
            self._open -= 1
            connection.close()

    def _answer(self, request: Message) -> _Reply:
        path = request.target.partition("?")[0]
        calls: dict[str, tuple[str, Callable[[Message], _Reply]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", lambda _: _Reply(200, self._operations.stats())),
            "/ops/workers/down": ("POST", lambda r: self._worker(r, self._operations.worker_down)),
            "/ops/workers/up": ("POST", lambda r: self._worker(r, self._operations.worker_up)),
        }
        if path not in calls:
            return _Reply(404, "no such call; there are " + ", ".join(calls) + "\n")
        method, call = calls[path]
        if request.method != method:
            return _Reply(405, f"{path} is called by {method}\n")
        return call(request)

    def _readiness(self, _: Message) -> _Reply:
        return _Reply(200, "ready\n") if self._operations.is_ready() else _Reply(503, "not ready\n")

    def _worker(self, request: Message, change: Callable[[str], bool]) -> _Reply:
        try:
            worker = request.body.decode("utf-8").strip()
        except UnicodeDecodeError:
            return _Reply(400, "the body is not UTF-8\n")
        if not worker or len(worker) > _ID_MOST or not worker.isprintable():
            return _Reply(400, f"the body is not one worker's id of 1 to {_ID_MOST} characters\n")
        if not change(worker):
            return _Reply(404, f"no worker {worker} was ever on the list\n")
        if not self._operations.is_stored:
            # danger: a yes is a promise that a kill must not break
            return _Reply(500, "in force in this process, but not stored yet; call again\n")
        return _Reply(200, "done\n")
