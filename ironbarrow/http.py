"""HTTP/1.1 through h11 on the loop's sockets: whole messages, with size and time limits."""

import errno
import select
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from ironbarrow.endings import ConnectionEndedError, Ending
from ironbarrow.loop import READ, WRITE, Coroutine, Wait

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
_CHUNK = 16 * 1024  # no more than HEAD_LIMIT: h11 measures a head only while it is incomplete
_READS_AT_ONCE = 4  # danger: a peer that sends at full speed would never let the others have a turn
_LINGER_BYTES = 256 * 1024
_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)

Headers = Sequence[tuple[str, str]]
Address = tuple[str, int]


def parse_address(text: str, least_port: int = 1) -> Address:
    """``host:port``, as a socket wants it; a ValueError says what is wrong."""
    host, colon, port = text.rpartition(":")
    if (
        not colon
        or not host
        or not port.isascii()
        or not port.isdigit()
        or not least_port <= int(port) < 65536
    ):
        raise ValueError(f"not host:port: {text[:80]!r}")
    return host, int(port)


@dataclass(slots=True)
class Message:
    """A request or an answer, whole."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case; the first one counts
    repeated: set[str] = field(default_factory=set)  # names that came more than once
    body: bytes = b""
    keep: bool = True  # the connection may carry another


class Connection:
    """A connected socket that speaks HTTP in one of the two roles."""

    def __init__(self, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self._h11 = h11.Connection(role, max_incomplete_event_size=HEAD_LIMIT)
        self._server = role is h11.SERVER
        self.used_at = 0  # when its owner last put it down
        self.started = False  # part of a message is in
        self._reads = 0  # since it last waited
        self.size = 0  # bytes of the message that is being read; its owner resets it
        self.grew: Callable[[Connection, int], None] | None = None

    def close(self) -> None:
        self.sock.close()

    def is_closed(self) -> bool:
        """Whether the peer has closed it and nothing more can be read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

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
        return bool(poll.poll(0))

    # Reading

    def event(self, until: int) -> Coroutine[h11.Event | type[h11.PAUSED]]:
        """The next event of the peer's; ConnectionEndedError if none comes by ``until``."""
        while True:
            try:
                found = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionEndedError(Ending.MALFORMED, str(error), error.error_status_hint) from None
            except ValueError as error:  # a length of thousands of digits
                raise ConnectionEndedError(Ending.MALFORMED, str(error)) from None
            if found is not h11.NEED_DATA:
                return found  # type: ignore[return-value]
            if self._server and self._h11.they_are_waiting_for_100_continue:
                going_on = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self._h11.send(going_on) or b"", until)
            data = yield from self._receive(until)
            self.started = True
            self.size += len(data)
            if self.grew is not None:
                self.grew(self, len(data))
            try:
                self._h11.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ConnectionEndedError(Ending.MALFORMED, str(error), error.error_status_hint) from None

    def _receive(self, until: int) -> Coroutine[bytes]:
        while True:
            if self._reads < _READS_AT_ONCE:
                self._reads += 1
                try:
                    return self.sock.recv(_CHUNK)
                except (BlockingIOError, InterruptedError):
                    pass
                except OSError as error:
                    raise ConnectionEndedError(Ending.RESET, str(error)) from None
            self._reads = 0
            if not (yield Wait(self.sock.fileno(), READ, until)):
                raise ConnectionEndedError(Ending.STALLED, status=408)

    def read_message(self, until: int, body_limit: int = BODY_LIMIT) -> Coroutine[Message]:
        """The peer's next whole message."""
        begun = self.size
        head = yield from self.event(until)
        while isinstance(head, h11.InformationalResponse):
            head = yield from self.event(until)
        if not isinstance(head, h11.Request | h11.Response):
            raise ConnectionEndedError(Ending.CLOSED)
        message = self._message(head)
        self._check_framing(message)
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
            if size > body_limit or self.size - begun > 2 * body_limit + HEAD_LIMIT:
                raise ConnectionEndedError(Ending.TOO_LARGE, status=413)
        message.body = b"".join(parts)
        message.keep = self._h11.their_state is h11.DONE
        return message

    def _check_framing(self, message: Message) -> None:
        """Danger: with two lengths, what one reader takes for a body another takes for a request."""
        if self._server and "content-length" in message.headers and "transfer-encoding" in message.headers:
            raise ConnectionEndedError(Ending.MALFORMED, "both Content-Length and Transfer-Encoding")

    @staticmethod
    def _message(head: h11.Request | h11.Response) -> Message:
        message = Message()
        for raw, value in head.headers:
            name = raw.decode("ascii")
            if name in message.headers:
                message.repeated.add(name)
            else:
                message.headers[name] = value.decode("latin-1")
        if isinstance(head, h11.Request):
            message.method = head.method.decode("ascii")
            message.target = head.target.decode("latin-1")
        else:
            message.status = head.status_code
        return message

    def next_cycle(self) -> bool:
        """Whether the connection can carry another exchange; makes it ready for that."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.started = bool(self._h11.trailing_data[0])
        return True

    # Writing

    def request_bytes(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        head = [*headers, ("Content-Length", str(len(body)))] if body or method == "POST" else list(headers)
        request = h11.Request(method=method, target=target.encode("latin-1"), headers=_encoded(head))
        return self._whole(request, body)

    def response_bytes(self, status: int, headers: Headers = (), body: bytes = b"") -> bytes:
        head = list(headers)
        if status != 204:  # which has no body, and so no length
            head.append(("Content-Length", str(len(body))))
        return self._whole(
            h11.Response(status_code=status, headers=head, reason=HTTPStatus(status).phrase), body
        )

    def _whole(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    def write(self, data: bytes, until: int) -> Coroutine[None]:
        """Writes all of it; ConnectionEndedError if the last byte could not be written by ``until``."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                raise ConnectionEndedError(Ending.RESET, str(error)) from None
            if not (yield Wait(self.sock.fileno(), WRITE, until)):
                raise ConnectionEndedError(Ending.STALLED)

    def can_answer(self) -> bool:
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def linger(self, until: int) -> Coroutine[None]:
        """Ends the own side and reads the rest away, up to a limit.

        Danger: closed with unread bytes, the kernel resets the connection and the peer may lose the
        answer that was just written; but 60 MB from each of hundreds would take the whole core.
        """
        left = _LINGER_BYTES
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while left > 0 and (data := (yield from self._receive(until))):
                left -= len(data)
        except (OSError, ConnectionEndedError):
            return


def _encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Danger: a value that passes on from a consumer may hold bytes beyond ASCII."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def connect(address: Address, until: int) -> Coroutine[Connection]:
    """A new connection in the client's role."""
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectionEndedError(Ending.NO_DESCRIPTOR, str(error)) from None
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        number = sock.connect_ex(address)
        if number == errno.EINPROGRESS:
            if not (yield Wait(sock.fileno(), WRITE, until)):
                raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise ConnectionEndedError(Ending.CONNECT_REFUSED, errno.errorcode.get(number, str(number)))
    except BaseException:
        sock.close()
        raise
    return Connection(sock, h11.CLIENT)


def listen(address: Address) -> socket.socket:
    """A listening socket."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(1024)
    except OSError:
        sock.close()
        raise
    return sock


def accept(listener: socket.socket) -> Connection | None:
    """The next connection that came in, or None; an OSError for want of descriptors passes on."""
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in _NO_DESCRIPTORS or error.errno in (errno.ENOBUFS, errno.ENOMEM):
                raise
            continue  # that connection broke before it was accepted
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, h11.SERVER)
