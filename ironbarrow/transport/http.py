"""HTTP/1.1 on the loop's sockets: whole messages, with size and time limits."""

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

_CHUNK = 16 * 1024  # no more than HEAD_LIMIT: h11 measures a head only while it is incomplete
_READS_AT_ONCE = 4  # danger: a peer that sends at full speed would never let the others have a turn
_LINGER_BYTES = 256 * 1024
_AHEAD_MOST = 256 * 1024  # of what has come beyond the message in hand
_FLOOD_BYTES = 8 << 20  # more than a peer that has gone can leave in the buffers on the way


def _failed(error: OSError) -> ConnectionEndedError:
    """How a connection has ended whose read or write failed."""
    by_peer = origin_of(error) is ErrorOrigin.PEER
    return ConnectionEndedError(Ending.RESET if by_peer else Ending.UNREACHABLE, str(error))


def _not_connected(number: int) -> ConnectionEndedError:
    """Why no connection came up, by its errno."""
    if number == errno.ETIMEDOUT:
        return ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
    ending = {
        ErrorOrigin.PEER: Ending.CONNECT_REFUSED,
        ErrorOrigin.NETWORK: Ending.UNREACHABLE,
        ErrorOrigin.LOCAL: Ending.FAILED_HERE,
    }[origin_of(OSError(number, ""))]
    return ConnectionEndedError(ending, errno.errorcode.get(number, str(number)))


def _malformed(error: MalformedError) -> ConnectionEndedError:
    return ConnectionEndedError(Ending.MALFORMED, str(error), error.status)


class Connection:
    """A connected socket that speaks HTTP in one of the two roles."""

    def __init__(self, sock: socket.socket, *, server: bool) -> None:
        self.sock = sock
        self._codec = HttpCodec(server=server)
        self.used_at = 0  # when its owner last put it down
        self.waited = 0  # ns, up to its acceptance: its first request may be so old
        self.started = False  # part of a message is in
        self._reads = 0  # since it last waited
        self.size = 0  # bytes of the message that is being read; its owner resets it
        self._begun = 0  # what it was when that message's head was asked for
        self.shut = False  # the own side is ended: nothing that comes now is served
        self._ahead = bytearray()  # came while the message before it was in hand
        self.thrown_away = 0  # bytes beyond those; with a gap, no further message can be read
        self.grew: Callable[[Connection, int], None] | None = None
        self.on_close: Callable[[], None] | None = None  # called once

    def close(self) -> None:
        # danger: the descriptor is free whatever close says, and whoever counts it has to be told
        with suppress(OSError):
            self.sock.close()
        if self.on_close is not None:
            told, self.on_close = self.on_close, None
            told()

    def is_closed(self) -> bool:
        """Whether the peer has closed it and nothing more can be read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return origin_of(error) is not ErrorOrigin.LOCAL

    def is_silent(self) -> bool:
        """Whether the idle connection is still open with nothing to read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_gone(self) -> bool:
        """Whether the peer has ended its side, with or without bytes still to be read."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        try:
            return bool(poll.poll(0))
        except OSError:
            return False  # it can't be told now; a read will

    @property
    def held(self) -> int:
        """Bytes of the message that is being read and of what came beyond the one before it."""
        return self.size + len(self._ahead)

    def look_ahead(self, room: int) -> bool:
        """Takes in what comes beyond the message in hand, up to ``room`` bytes, and throws away the rest;
        whether the peer is still there.

        Danger: a peer's end stands behind the bytes it sent before; as long as they fill the buffers it is
        not told, and the job of one that has gone would be sent on.
        """
        if self.is_gone():
            return False
        for _ in range(_READS_AT_ONCE):
            try:
                data = self.sock.recv(_CHUNK)
            except OSError as error:
                return origin_of(error) is ErrorOrigin.LOCAL
            if not data:
                return False
            if self.thrown_away or len(data) > min(room, _AHEAD_MOST - len(self._ahead)):
                self.thrown_away += len(data)
                continue
            room -= len(data)
            self._ahead += data
            if self.grew is not None:
                self.grew(self, len(data))
        return True

    @property
    def floods(self) -> bool:
        """Whether more has been thrown away than one that has gone can have sent."""
        return self.thrown_away > _FLOOD_BYTES

    @property
    def unread(self) -> bytes:
        """The first bytes that are in and belong to no message yet."""
        return self._codec.unread or bytes(self._ahead[:_CHUNK])

    # Reading

    def event(self, until: int) -> Coroutine[h11.Event | type[h11.PAUSED]]:
        """The next event of the peer's; ConnectionEndedError if none comes by ``until``."""
        codec = self._codec
        while True:
            try:
                found = codec.next_event()
            except MalformedError as error:
                raise _malformed(error) from None
            if found is not NEED_DATA:
                return found  # type: ignore[return-value]
            if codec.server and (going_on := codec.continue_bytes()):
                yield from self.write(going_on, until)
            data = yield from self._receive(until)
            self.started = True
            self.size += len(data)
            if self.grew is not None:
                self.grew(self, len(data))
            try:
                codec.receive(data)
            except MalformedError as error:
                raise _malformed(error) from None

    def _receive(self, until: int) -> Coroutine[bytes]:
        if self._ahead:
            data = bytes(self._ahead[:_CHUNK])
            del self._ahead[:_CHUNK]
            if self.grew is not None:
                self.grew(self, -len(data))  # whoever takes it in counts it again
            return data
        while True:
            if self._reads < _READS_AT_ONCE:
                self._reads += 1
                try:
                    return self.sock.recv(_CHUNK)
                except OSError as error:
                    if origin_of(error) is not ErrorOrigin.LOCAL:
                        raise _failed(error) from None
            self._reads = 0
            if not (yield Wait(self.sock.fileno(), READ, until)):
                raise ConnectionEndedError(Ending.STALLED, status=408)

    def read_message(self, until: int, body_limit: int = BODY_LIMIT) -> Coroutine[Message]:
        """The peer's next whole message."""
        message = yield from self.read_head(until)
        yield from self.read_body(message, until, body_limit)
        return message

    def read_head(self, until: int) -> Coroutine[Message]:
        """The peer's next message without its body, which ``read_body`` brings."""
        self._begun = self.size
        head = yield from self.event(until)
        while isinstance(head, h11.InformationalResponse):
            head = yield from self.event(until)
        if not isinstance(head, h11.Request | h11.Response):
            raise ConnectionEndedError(Ending.CLOSED)
        try:
            return self._codec.message(head)
        except MalformedError as error:
            raise _malformed(error) from None

    def read_body(self, message: Message, until: int, body_limit: int = BODY_LIMIT) -> Coroutine[None]:
        """The rest of a message whose head was read."""
        if int(message.headers.get("content-length", "0")) > body_limit:
            raise ConnectionEndedError(Ending.TOO_LARGE, status=413)
        parts: list[bytes] = []
        size = 0
        while not isinstance(found := (yield from self.event(until)), h11.EndOfMessage):
            if not isinstance(found, h11.Data):
                raise ConnectionEndedError(Ending.CLOSED)
            parts.append(bytes(found.data))
            size += len(found.data)
            # danger: in chunks of a byte each, the framing is many times the body
            if size > body_limit or self.size - self._begun > 2 * body_limit + HEAD_LIMIT:
                raise ConnectionEndedError(Ending.TOO_LARGE, status=413)
        message.body = b"".join(parts)
        message.keep = self._codec.peer_done

    def take_as_read(self) -> None:
        """Stands as if a request without a body had been read that asks for no other after it."""
        self._codec.receive(b"POST / HTTP/1.1\r\nHost: -\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        while not isinstance(self._codec.next_event(), h11.EndOfMessage):
            pass

    @property
    def has_unread(self) -> bool:
        """Whether bytes of a further message have been read already."""
        return bool(self._ahead) or self._codec.has_unread

    def next_cycle(self) -> bool:
        """Whether the connection can carry another exchange; makes it ready for that."""
        if not self._codec.next_cycle():
            return False
        self.started = self.has_unread
        return True

    # Writing

    def request_bytes(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        return self._codec.request_bytes(method, target, headers, body)

    def response_bytes(self, status: int, headers: Headers = (), body: bytes = b"") -> bytes:
        return self._codec.response_bytes(status, headers, body)

    def chunked_bytes(self, status: int, headers: Headers = ()) -> bytes:
        """The head of an answer that stays open."""
        return self._codec.chunked_bytes(status, headers)

    def chunk_bytes(self, data: bytes) -> bytes:
        """One part of an answer that stays open."""
        return self._codec.chunk_bytes(data)

    def write(
        self, data: bytes, until: int, before_first: Callable[[], tuple[bytes, int]] | None = None
    ) -> Coroutine[None]:
        """Writes all of it; ConnectionEndedError if the last byte could not be written by ``until``.
        ``before_first`` is called right before the first byte goes out, again after each wait with none
        gone. It gives back what to write instead, and until when the last byte has to follow the first one;
        what it raises ends the write."""
        rest = memoryview(data)
        begun = before_first is None
        while rest:
            if before_first is not None and not begun:
                data, whole_by = before_first()
                rest = memoryview(data)
            try:
                sent = self.sock.send(rest)
            except OSError as error:
                if origin_of(error) is not ErrorOrigin.LOCAL:
                    raise _failed(error) from None
            else:
                rest = rest[sent:]
                if not begun:
                    begun, until = True, min(until, whole_by)
                continue
            if not (yield Wait(self.sock.fileno(), WRITE, until)):
                raise ConnectionEndedError(Ending.STALLED)
            if before_first is not None and self.is_gone():
                # danger: the kernel takes what is written after the peer's end, and the last byte would
                # count as written
                raise ConnectionEndedError(Ending.CLOSED)

    def can_answer(self) -> bool:
        return self._codec.can_answer

    def shut_down(self) -> None:
        """Ends the own side. Danger: the peer is told that nothing more is answered; a request that is read
        after this must not be served, its sender has it served elsewhere."""
        self.shut = True
        if self._ahead and self.grew is not None:
            self.grew(self, -len(self._ahead))
        self._ahead.clear()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def linger(self, until: int) -> Coroutine[None]:
        """Ends the own side and reads the rest away, up to a limit.

        Danger: closed with unread bytes, the kernel resets the connection and the peer may lose the
        answer that was just written; but 60 MB from each of hundreds would take the whole core.
        """
        left = _LINGER_BYTES
        if not self.shut:
            self.shut_down()
        try:
            while left > 0 and (data := (yield from self._receive(until))):
                left -= len(data)
        except ConnectionEndedError:
            return


def adopt(sock: socket.socket) -> Connection:
    """A connection whose request another process has read: it can carry that one answer, and then ends."""
    sock.setblocking(False)
    connection = Connection(sock, server=True)
    connection.take_as_read()
    return connection


def connect(address: Address, until: int) -> Coroutine[Connection]:
    """A new connection in the client's role."""
    try:
        sock = sockets.stream_socket(address)
    except OSError as error:
        raise ConnectionEndedError(Ending.FAILED_HERE, str(error)) from None
    try:
        sockets.disable_nagle(sock)
        number = sock.connect_ex(address)
        if number == errno.EINPROGRESS:
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            waiting = True
            while waiting:
                if not (yield Wait(sock.fileno(), WRITE, until)):
                    raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
                # danger: a wake-up meant for another socket of the same number says nothing of this one, and
                # SO_ERROR is 0 also while it still connects
                with suppress(OSError):  # a look that fails is made again
                    waiting = not poll.poll(0)
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise _not_connected(number)
    except OSError as error:
        # danger: as no ending of a connection, it would end the task with no word to whoever waits for it
        sock.close()
        raise ConnectionEndedError(Ending.FAILED_HERE, str(error)) from None
    except BaseException:
        sock.close()
        raise
    return Connection(sock, server=False)


def accept(listener: socket.socket) -> Connection | None:
    """The next connection that came in, or None; an OSError for want of descriptors passes on."""
    sock = sockets.accept(listener)
    return None if sock is None else Connection(sock, server=True)
