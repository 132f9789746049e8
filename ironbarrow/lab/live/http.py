"""A small HTTP client with reused connections and a small HTTP server, for the laboratory's own parties."""

import socket
from collections import deque
from collections.abc import Callable

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Task, Wait
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, accept, connect
from ironbarrow.wire.http import Headers, Message

_CONNECT_TIMEOUT = 2 * SECOND
_MAX_IDLE = 64


class HttpClient:
    """Sends requests to one address, over persistent connections."""

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
        on_sent: Callable[[], None] | None = None,
    ) -> Coroutine[Message]:
        """Sends a request and returns the answer.

        Raises ConnectionEndedError if there is no answer by ``until`` (the loop's time, ns).

        If the server closes a reused connection before it answers, the request is sent once more on a new
        connection, as the protocol provides. ``on_sent`` is called each time its last byte is written.
        """
        connection, reused = yield from self._connection(until)
        try:
            try:
                answer = yield from self._exchange_on(
                    connection, method, target, headers, body, until, on_sent
                )
            except ConnectionEndedError:
                if not reused or connection.message_started or not connection.is_closed():
                    raise
                connection.close()
                connection = yield from connect(self.address, self._connect_deadline(until))
                answer = yield from self._exchange_on(
                    connection, method, target, headers, body, until, on_sent
                )
        except BaseException:
            connection.close()
            raise
        if connection.next_cycle() and len(self._idle) < _MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _exchange_on(
        self,
        connection: Connection,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        until: int,
        on_sent: Callable[[], None] | None,
    ) -> Coroutine[Message]:
        connection.message_started = False
        host_and_headers = [("Host", "{}:{}".format(*self.address)), *headers]
        yield from connection.write(connection.request_bytes(method, target, host_and_headers, body), until)
        if on_sent is not None:
            on_sent()
        return (yield from connection.read_message(until))

    def _connection(self, until: int) -> Coroutine[tuple[Connection, bool]]:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle():
                return connection, True
            connection.close()
        return (yield from connect(self.address, self._connect_deadline(until))), False

    def _connect_deadline(self, until: int) -> int:
        return min(until, self._loop.now() + _CONNECT_TIMEOUT)

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()


class Server:
    """Accepts connections from a listener and runs ``serve`` for each of them."""

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
                self._open[connection] = self._loop.spawn(self._handle(connection))

    def _handle(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from self._serve(connection)
        except ConnectionEndedError:
            pass
        finally:
            self._open.pop(connection, None)
            connection.close()

    def drop_connections(self) -> None:
        """Closes all open connections, but goes on accepting new ones."""
        for connection, task in list(self._open.items()):
            task.cancel()
            connection.close()
        self._open.clear()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if not self.closed:
            self.closed = True
            self._task.cancel()
            self.listener.close()
            self.drop_connections()


def next_message(
    loop: Loop, connection: Connection, idle_timeout: int, timeout: int
) -> Coroutine[tuple[int, Message]]:
    """Reads the next request; returns the time of its first byte (ns) and the request.

    ``idle_timeout``: until the first byte, ns. ``timeout``: from the first byte to the last, ns.
    """
    yield Wait(connection.sock.fileno(), READ, loop.now() + idle_timeout)
    first_byte_at = loop.now()
    message = yield from connection.read_message(first_byte_at + timeout)
    return first_byte_at, message
