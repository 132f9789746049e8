"""What live parties share: exchanges over kept connections, and a listener's loop."""

import socket
from collections import deque
from collections.abc import Callable

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Task, Wait
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, accept, connect
from ironbarrow.wire.http import Headers, Message

_CONNECT_LIMIT = 2 * SECOND
_KEPT = 64


class HttpClient:
    """Requests to one address, over connections that are kept."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self._loop, self.address = loop, address
        self._idle: deque[Connection] = deque()

    def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        until: int,
        sent: Callable[[], None] | None = None,
    ) -> Coroutine[Message]:
        """One request and its answer; a ConnectionEndedError if there is none by ``until``.

        As the protocol has it, a request that crosses with the closing of a kept connection is sent
        once more on a new one. ``sent`` is called when a request's last byte is written.
        """
        connection, kept = yield from self._connection(until)
        try:
            try:
                answer = yield from self._once(connection, method, target, headers, body, until, sent)
            except ConnectionEndedError:
                if not kept or connection.message_started or not connection.is_closed():
                    raise
                connection.close()
                connection = yield from connect(self.address, self._limit(until))
                answer = yield from self._once(connection, method, target, headers, body, until, sent)
        except BaseException:
            connection.close()
            raise
        if connection.next_cycle() and len(self._idle) < _KEPT:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _once(
        self,
        connection: Connection,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        until: int,
        sent: Callable[[], None] | None,
    ) -> Coroutine[Message]:
        connection.message_started = False
        host = [("Host", "{}:{}".format(*self.address)), *headers]
        yield from connection.write(connection.request_bytes(method, target, host, body), until)
        if sent is not None:
            sent()
        return (yield from connection.read_message(until))

    def _connection(self, until: int) -> Coroutine[tuple[Connection, bool]]:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle():
                return connection, True
            connection.close()
        return (yield from connect(self.address, self._limit(until))), False

    def _limit(self, until: int) -> int:
        return min(until, self._loop.now() + _CONNECT_LIMIT)

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()


class Server:
    """A listener and the connections that came in through it."""

    def __init__(
        self, loop: Loop, listener: socket.socket, serve: Callable[[Connection], Coroutine[None]]
    ) -> None:
        self._loop, self.listener, self._serve = loop, listener, serve
        self._open: dict[Connection, Task] = {}
        self._task = loop.spawn(self._accept())
        self.closed = False

    @property
    def connections(self) -> int:
        return len(self._open)

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self.listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            while (connection := accept(self.listener)) is not None:
                self._open[connection] = self._loop.spawn(self._guard(connection))

    def _guard(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from self._serve(connection)
        except ConnectionEndedError:
            pass
        finally:
            self._open.pop(connection, None)
            connection.close()

    def drop_connections(self) -> None:
        """Ends every connection; new ones may come."""
        for connection, task in list(self._open.items()):
            task.cancel()
            connection.close()
        self._open.clear()

    def close(self) -> None:
        """Refuses from now on."""
        if not self.closed:
            self.closed = True
            self._task.cancel()
            self.listener.close()
            self.drop_connections()


def next_message(loop: Loop, connection: Connection, idle: int, whole: int) -> Coroutine[tuple[int, Message]]:
    """The next request and when its first byte was there (ns); limits from now and from then."""
    yield Wait(connection.sock.fileno(), READ, loop.now() + idle)
    first = loop.now()
    message = yield from connection.read_message(first + whole)
    return first, message
