"""HTTP/1.1 connections on the event loop: complete messages, with limits on size and time.

Times are loop times in nanoseconds. The coroutines raise ConnectionEndedError when the connection ends, times
out or carries anything that is not acceptable HTTP/1.1.
"""

import errno
import select
import socket
from collections.abc import Callable
from contextlib import suppress

import h11

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime import sockets
from ironbarrow.runtime.errors import ErrorOrigin, origin_of
from ironbarrow.runtime.loop import READ, WRITE, Coroutine, Wait
from ironbarrow.runtime.sockets import Address
from ironbarrow.wire.http import (
    BODY_LIMIT,
    HEAD_LIMIT,
    NEED_DATA,
    Headers,
    HttpCodec,
    MalformedError,
    Message,
)

_RECV_BYTES = 16 * 1024  # at most HEAD_LIMIT, since h11 checks a head's size only while it is incomplete
_READS_PER_TURN = 4  # without a limit, one peer that sends at full speed would starve all the others
_HEADER_FIELD_BYTES = 200  # memory of a parsed header field, beside its bytes
_PIECES_PER_TURN = 64  # of a body, in chunks; each takes about as long as a small request
_LINGER_MAX_BYTES = 256 * 1024
_READ_AHEAD_MAX_BYTES = 256 * 1024  # of input beyond the current message
_FLOOD_THRESHOLD_BYTES = 40 << 20  # more than the network buffers can hold of a peer that has disconnected
_DISCARD_BUFFER = bytearray(128 * 1024)  # for input that is discarded; what it holds is never read


def _io_error(error: OSError) -> ConnectionEndedError:
    """The ending of a connection whose read or write failed."""
    by_peer = origin_of(error) is ErrorOrigin.PEER
    return ConnectionEndedError(Ending.RESET if by_peer else Ending.UNREACHABLE, str(error))


def _connect_error(error_number: int) -> ConnectionEndedError:
    """The ending for the errno of a failed connect."""
    if error_number == errno.ETIMEDOUT:
        return ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
    ending = {
        ErrorOrigin.PEER: Ending.CONNECT_REFUSED,
        ErrorOrigin.NETWORK: Ending.UNREACHABLE,
        ErrorOrigin.LOCAL: Ending.FAILED_HERE,
    }[origin_of(OSError(error_number, ""))]
    return ConnectionEndedError(ending, errno.errorcode.get(error_number, str(error_number)))


def _malformed_error(error: MalformedError) -> ConnectionEndedError:
    return ConnectionEndedError(Ending.MALFORMED, str(error), error.status)


class Connection:
    """A connected socket that speaks HTTP/1.1, as the server or as the client."""

    def __init__(self, sock: socket.socket, *, server: bool) -> None:
        self.sock = sock
        self._codec = HttpCodec(server=server)
        self.last_used_at = 0  # set by the owner: when it accepted the connection or ended the last exchange
        # set by the owner: since when the first request may have waited for the connection to be accepted, ns
        self.may_wait_since: int | None = None
        self.read_limit: int | None = None  # ns; earlier than the one that the running read was given
        self.message_started = False  # at least one byte of the next message has been received
        self._reads_since_wait = 0
        self.message_bytes = 0  # bytes received of the current message; the owner resets it
        self._bytes_before_message = 0  # ``message_bytes`` when the current message's head was requested
        self.write_closed = False  # the sending side is shut down: nothing received from now on is served
        self._pipelined = bytearray()  # input beyond the current message
        self.discarded_bytes = 0  # input dropped beyond that; after such a gap no further message can be read
        self.may_have_input = False  # ``read_ahead`` has left off before the end of the input
        # called with the change in buffered bytes
        self.on_buffered: Callable[[Connection, int], None] | None = None
        self.on_close: Callable[[], None] | None = None  # called once
        # set by the owner: waits until the next pieces of a body may be parsed; False if not by a time, ns
        self.await_turn: Callable[[int], Coroutine[bool]] | None = None

    def close(self) -> None:
        """Closes the socket and calls ``on_close``, also where close reports an error."""
        # the descriptor is released whatever close returns, and its owner must count it as free
        with suppress(OSError):
            self.sock.close()
        if self.on_close is not None:
            callback, self.on_close = self.on_close, None
            callback()

    def is_closed(self) -> bool:
        """Whether the peer has closed the connection and no input is left to read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return origin_of(error) is not ErrorOrigin.LOCAL

    def is_idle(self) -> bool:
        """Whether the connection is still open and has no input to read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def peer_hung_up(self) -> bool:
        """Whether the peer has shut down or reset its side, even if input is still unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        try:
            return bool(poll.poll(0))
        except OSError:
            return False  # unknown for now; the next read will tell

    def input_age(self) -> int | None:
        """Time in ns since the last input arrived, read or not; None if unknown."""
        return sockets.input_age(self.sock)

    @property
    def buffered_bytes(self) -> int:
        """Bytes held for the current message and for input beyond it."""
        return self.message_bytes + len(self._pipelined)

    def read_ahead(self, room: int) -> bool:
        """Buffers up to ``room`` bytes of input beyond the current message and discards the rest. Returns
        whether the peer is still connected.

        The end of a stream is only seen after all bytes before it have been read. If input stayed in the
        kernel's buffers, a peer's disconnect would go unnoticed and its job would still be sent to a worker.
        """
        self.may_have_input = False
        if self.peer_hung_up():
            return False
        for _ in range(_READS_PER_TURN):
            room = min(room, _READ_AHEAD_MAX_BYTES - len(self._pipelined))
            try:
                size = self._discard() if self.discarded_bytes or room <= 0 else self._keep(room)
            except OSError as error:
                return origin_of(error) is ErrorOrigin.LOCAL
            if not size:
                return False
            room -= size
        self.may_have_input = True
        return True

    def _keep(self, room: int) -> int:
        """Reads up to ``room`` bytes beyond the current message and buffers them. Returns their number; 0 at
        the end."""
        data = self.sock.recv(min(room, _RECV_BYTES))
        self._pipelined += data
        if data and self.on_buffered is not None:
            self.on_buffered(self, len(data))
        return len(data)

    def _discard(self) -> int:
        """Reads input and discards it; as much as possible at once, until a peer that sends without end is
        told from one that has disconnected. Returns its size; 0 at the end."""
        size = self.sock.recv_into(_DISCARD_BUFFER, _RECV_BYTES if self.is_flooding else 0)
        self.discarded_bytes += size
        return size

    @property
    def is_flooding(self) -> bool:
        """Whether more input was discarded than a peer that has disconnected can have left in the buffers."""
        return self.discarded_bytes > _FLOOD_THRESHOLD_BYTES

    def unread(self, size: int) -> bytes:
        """The first ``size`` received bytes beyond the current message, or fewer if there are fewer."""
        start = self._codec.unread[:size]
        return start + bytes(self._pipelined[: size - len(start)])

    # Reading

    def next_event(self, until: int) -> Coroutine[h11.Event | type[h11.PAUSED]]:
        """The peer's next h11 event; ConnectionEndedError if none arrives by ``until``."""
        codec = self._codec
        while True:
            try:
                received = codec.next_event()
            except MalformedError as error:
                raise _malformed_error(error) from None
            if received is not NEED_DATA:
                return received  # type: ignore[return-value]
            if codec.server and (interim := codec.continue_bytes()):
                yield from self.write(interim, until)
            data = yield from self._receive(until)
            self.message_started = True
            self._count_buffered(len(data))
            try:
                codec.receive(data)
            except MalformedError as error:
                raise _malformed_error(error) from None

    def _count_buffered(self, size: int) -> None:
        """Counts bytes of memory that the current message takes."""
        self.message_bytes += size
        if self.on_buffered is not None:
            self.on_buffered(self, size)

    def _receive(self, until: int) -> Coroutine[bytes]:
        if self._pipelined:
            data = bytes(self._pipelined[:_RECV_BYTES])
            del self._pipelined[:_RECV_BYTES]
            if self.on_buffered is not None:
                self.on_buffered(self, -len(data))  # counted again by the caller, as part of the message
            return data
        while True:
            if self._reads_since_wait < _READS_PER_TURN:
                self._reads_since_wait += 1
                try:
                    return self.sock.recv(_RECV_BYTES)
                except OSError as error:
                    if origin_of(error) is not ErrorOrigin.LOCAL:
                        raise _io_error(error) from None
            self._reads_since_wait = 0
            limit = until if self.read_limit is None else min(until, self.read_limit)
            if not (yield Wait(self.sock.fileno(), READ, limit)):
                raise ConnectionEndedError(Ending.STALLED, status=408)

    def read_message(self, until: int, body_limit: int = BODY_LIMIT) -> Coroutine[Message]:
        """Reads the peer's next message, head and body."""
        message = yield from self.read_head(until)
        yield from self.read_body(message, until, body_limit)
        return message

    def read_head(self, until: int) -> Coroutine[Message]:
        """Reads the head of the peer's next message; ``read_body`` reads the rest."""
        self._bytes_before_message = self.message_bytes
        head = yield from self.next_event(until)
        while isinstance(head, h11.InformationalResponse):
            head = yield from self.next_event(until)
        if not isinstance(head, h11.Request | h11.Response):
            raise ConnectionEndedError(Ending.CLOSED)
        try:
            message = self._codec.message_from_head(head)
        except MalformedError as error:
            raise _malformed_error(error) from None
        if self._codec.server:
            field_bytes = len(message.headers) * _HEADER_FIELD_BYTES
            self._bytes_before_message += field_bytes  # not part of what was received
            self._count_buffered(field_bytes)
        return message

    def read_body(self, message: Message, until: int, body_limit: int = BODY_LIMIT) -> Coroutine[None]:
        """Reads the body of a message whose head was read; more than ``body_limit`` bytes are TOO_LARGE."""
        if int(message.headers.get("content-length", "0")) > body_limit:
            raise ConnectionEndedError(Ending.TOO_LARGE, status=413)
        body = bytearray()  # a list of parts would take many times the bytes of small chunks
        pieces = 0
        while not isinstance(received := (yield from self.next_event(until)), h11.EndOfMessage):
            if not isinstance(received, h11.Data):
                raise ConnectionEndedError(Ending.CLOSED)
            body += received.data
            pieces += 1
            # in chunks of one byte each, the framing is many times larger than the body
            if (
                len(body) > body_limit
                or self.message_bytes - self._bytes_before_message > 2 * body_limit + HEAD_LIMIT
            ):
                raise ConnectionEndedError(Ending.TOO_LARGE, status=413)
            if (
                pieces % _PIECES_PER_TURN == 0
                and self.await_turn is not None
                and not (yield from self.await_turn(until))
            ):
                raise ConnectionEndedError(Ending.STALLED, status=408)
        message.body = bytes(body)
        message.keep_alive = self._codec.peer_message_complete

    def assume_request_read(self) -> None:
        """Brings the codec into the state after an empty request with ``Connection: close``."""
        self._codec.receive(b"POST / HTTP/1.1\r\nHost: -\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        while not isinstance(self._codec.next_event(), h11.EndOfMessage):
            pass

    @property
    def has_unread(self) -> bool:
        """Whether input beyond the current message has already been read."""
        return bool(self._pipelined) or self._codec.has_unread

    def next_cycle(self) -> bool:
        """Prepares the connection for another exchange; False if it can't carry one."""
        if not self._codec.next_cycle():
            return False
        self.message_started = self.has_unread
        return True

    # Writing

    def request_bytes(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        return self._codec.request_bytes(method, target, headers, body)

    def response_bytes(self, status: int, headers: Headers = (), body: bytes = b"") -> bytes:
        return self._codec.response_bytes(status, headers, body)

    def chunked_head_bytes(self, status: int, headers: Headers = ()) -> bytes:
        """The head of a chunked response; its body follows by ``chunk_bytes``."""
        return self._codec.chunked_head_bytes(status, headers)

    def chunk_bytes(self, data: bytes) -> bytes:
        """One chunk of a response begun by ``chunked_head_bytes``."""
        return self._codec.chunk_bytes(data)

    def write(
        self, data: bytes, until: int, before_first_byte: Callable[[], tuple[bytes, int]] | None = None
    ) -> Coroutine[None]:
        """Writes all of ``data``; ConnectionEndedError if the last byte can't be written by ``until``.

        ``before_first_byte`` is called directly before the first byte is sent, and again after each wait in
        which nothing could be sent. It returns the data to write instead, and the time by which the last byte
        has to be sent once the first one is. An exception that it raises ends the write.
        """
        rest = memoryview(data)
        begun = before_first_byte is None
        while rest:
            if before_first_byte is not None and not begun:
                data, last_byte_by = before_first_byte()
                rest = memoryview(data)
            try:
                sent = self.sock.send(rest)
            except OSError as error:
                if origin_of(error) is not ErrorOrigin.LOCAL:
                    raise _io_error(error) from None
            else:
                rest = rest[sent:]
                if not begun:
                    begun, until = True, min(until, last_byte_by)
                continue
            if not (yield Wait(self.sock.fileno(), WRITE, until)):
                raise ConnectionEndedError(Ending.STALLED)
            if before_first_byte is not None and self.peer_hung_up():
                # the kernel accepts bytes even after the peer has closed, and the message would then count as
                # written in full
                raise ConnectionEndedError(Ending.CLOSED)

    def write_at_once(self, data: bytes) -> None:
        """Writes as much of ``data`` as is possible now."""
        with suppress(OSError):
            self.sock.send(data)

    def can_answer(self) -> bool:
        return self._codec.can_answer

    def shutdown_write(self) -> None:
        """Shuts down the sending side. A request read after this must not be served: the peer knows that it
        gets no further answer and may have sent the request to another dispatcher."""
        self.write_closed = True
        if self._pipelined and self.on_buffered is not None:
            self.on_buffered(self, -len(self._pipelined))
        self._pipelined.clear()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def linger(self, until: int) -> Coroutine[None]:
        """Shuts down the sending side, then reads and discards input up to a limit of bytes.

        If a socket is closed with unread input, the kernel resets the connection and the peer may lose the
        response that was just written. The limit is there because 60 MB from each of hundreds of peers would
        keep the event loop busy.
        """
        remaining = _LINGER_MAX_BYTES
        if not self.write_closed:
            self.shutdown_write()
        try:
            while remaining > 0 and (data := (yield from self._receive(until))):
                remaining -= len(data)
        except ConnectionEndedError:
            return


def adopt(sock: socket.socket) -> Connection:
    """A connection whose request was read by another process: it can carry that one response only."""
    sock.setblocking(False)
    connection = Connection(sock, server=True)
    connection.assume_request_read()
    return connection


def connect(address: Address, until: int) -> Coroutine[Connection]:
    """Connects to ``address`` by ``until``; returns a connection in the client's role."""
    try:
        sock = sockets.stream_socket(address)
    except OSError as error:
        raise ConnectionEndedError(Ending.FAILED_HERE, str(error)) from None
    try:
        sockets.disable_nagle(sock)
        error_number = sock.connect_ex(address)
        if error_number == errno.EINPROGRESS:
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            waiting = True
            while waiting:
                if not (yield Wait(sock.fileno(), WRITE, until)):
                    raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
                # the wake-up may have been for an earlier socket with the same descriptor, and SO_ERROR is 0
                # while this one is still connecting: poll it first
                with suppress(OSError):  # polled again after the next wake-up
                    waiting = not poll.poll(0)
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise _connect_error(error_number)
    except OSError as error:
        # callers handle ConnectionEndedError only: an OSError would end their task, and its job would get no
        # outcome
        sock.close()
        raise ConnectionEndedError(Ending.FAILED_HERE, str(error)) from None
    except BaseException:
        sock.close()
        raise
    return Connection(sock, server=False)


def accept(listener: socket.socket) -> Connection | None:
    """The next incoming connection, or None if none waits; raises OSError if no descriptor is free."""
    sock = sockets.accept(listener)
    return None if sock is None else Connection(sock, server=True)
