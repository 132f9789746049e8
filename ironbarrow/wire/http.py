"""HTTP/1.1 with no input or output: h11 held to this program's rules on framing and size."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024

Headers = Sequence[tuple[str, str]]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
NEED_DATA = h11.NEED_DATA


class MalformedError(Exception):
    """Bytes that are not HTTP/1.1 as this program accepts it; ``status`` is what to answer."""

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


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
    version: str = "1.1"  # of HTTP


class HttpCodec:
    """One connection's side of HTTP/1.1: bytes in, events out; messages in, bytes out."""

    def __init__(self, *, server: bool) -> None:
        self.server = server
        self._head_alone = False  # the request in hand is a HEAD
        self._h11 = h11.Connection(h11.SERVER if server else h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)

    # Reading

    def receive(self, data: bytes) -> None:
        """Takes in bytes of the peer's; b"" means that it has ended its side."""
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedError(str(error), error.error_status_hint) from None

    def next_event(self) -> Event:
        """The next event, or NEED_DATA."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedError(str(error), error.error_status_hint) from None
        except ValueError as error:  # a length of thousands of digits
            raise MalformedError(str(error)) from None

    def continue_bytes(self) -> bytes:
        """What to write when the peer waits to be told to go on with its body, else b""."""
        if self.server and self._h11.they_are_waiting_for_100_continue:
            return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def message(self, head: h11.Request | h11.Response) -> Message:
        """The message that this head begins."""
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
            self._head_alone = message.method == "HEAD"
            message.version = head.http_version.decode("ascii")
        else:
            message.status = head.status_code
        # danger: with two lengths, what one reader takes for a body another takes for a request
        if self.server and "content-length" in message.headers and "transfer-encoding" in message.headers:
            raise MalformedError("both Content-Length and Transfer-Encoding")
        return message

    @property
    def peer_done(self) -> bool:
        """Whether the peer's message is whole and another may follow it."""
        return self._h11.their_state is h11.DONE

    def next_cycle(self) -> bool:
        """Whether the connection can carry another exchange; makes it ready for that."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    @property
    def has_unread(self) -> bool:
        """Whether bytes are in that belong to no message yet."""
        return bool(self.unread)

    @property
    def unread(self) -> bytes:
        """Bytes that are in and belong to no message yet."""
        return self._h11.trailing_data[0]

    # Writing

    @property
    def can_answer(self) -> bool:
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def request_bytes(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        head = [*headers, ("Content-Length", str(len(body)))] if body or method == "POST" else list(headers)
        request = h11.Request(method=method, target=target.encode("latin-1"), headers=_encoded(head))
        return self._whole(request, body)

    def response_bytes(self, status: int, headers: Headers = (), body: bytes = b"") -> bytes:
        head = list(headers)
        if status != 204:  # which has no body, and so no length
            head.append(("Content-Length", str(len(body))))
        response = h11.Response(status_code=status, headers=head, reason=HTTPStatus(status).phrase)
        # danger: h11 takes no body here, and the connection would end without any answer
        return self._whole(response, b"" if self._head_alone else body)

    def chunked_bytes(self, status: int, headers: Headers = ()) -> bytes:
        """The head of an answer that stays open; its parts follow by ``chunk_bytes``."""
        head = [*headers, ("Transfer-Encoding", "chunked")]
        return self._h11.send(h11.Response(status_code=status, headers=head)) or b""

    def chunk_bytes(self, data: bytes) -> bytes:
        return self._h11.send(h11.Data(data=data)) or b""

    def _whole(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")


def _encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Danger: a value that passes on from a client may hold bytes beyond ASCII."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
