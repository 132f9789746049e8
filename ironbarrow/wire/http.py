"""HTTP/1.1 codec without input or output: h11 with stricter rules on framing and size."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from ironbarrow.wire.head_lines import HeadLineCounter

BODY_LIMIT = 64 * 1024  # bytes
HEAD_LIMIT = 16 * 1024  # bytes
HEADER_FIELDS_LIMIT = 128  # of a request; parsed, a short field takes many times its bytes

Headers = Sequence[tuple[str, str]]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
NEED_DATA = h11.NEED_DATA


class MalformedError(Exception):
    """Input that is not acceptable HTTP/1.1; ``status`` is the response status for it."""

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response."""

    method: str = ""
    target: str = ""
    status: int = 0
    # names in lower case; of repeated ones, the first value
    headers: dict[str, str] = field(default_factory=dict)
    repeated: set[str] = field(default_factory=set)  # names of headers that came more than once
    body: bytes = b""
    keep_alive: bool = True  # the connection may carry a further message
    http_version: str = "1.1"


class HttpCodec:
    """One side of an HTTP/1.1 connection: turns received bytes into events, and messages into bytes."""

    def __init__(self, *, server: bool) -> None:
        self.server = server
        self._is_head_request = False  # of the current request
        self._head_lines = HeadLineCounter()
        self._h11 = h11.Connection(h11.SERVER if server else h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)

    # Reading

    def receive(self, data: bytes) -> None:
        """Adds bytes received from the peer; b"" means that it has shut down its side. Raises
        MalformedError."""
        if self._h11.their_state is h11.IDLE:
            self._head_lines.receive(data)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedError(str(error), error.error_status_hint) from None

    def next_event(self) -> Event:
        """The next event, or NEED_DATA; raises MalformedError. A head of too many fields is not parsed."""
        in_head = self.server and self._h11.their_state is h11.IDLE
        if in_head and self._head_lines.lines > HEADER_FIELDS_LIMIT + 1:  # and the request line
            raise MalformedError("too many header fields", 431)
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedError(str(error), error.error_status_hint) from None
        except ValueError as error:  # a Content-Length of thousands of digits
            raise MalformedError(str(error)) from None

    def continue_bytes(self) -> bytes:
        """The response 100 Continue if the peer waits for it before it sends its body, else b""."""
        if self.server and self._h11.they_are_waiting_for_100_continue:
            return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def message_from_head(self, head: h11.Request | h11.Response) -> Message:
        """The message with this head, still without its body; raises MalformedError."""
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
            self._is_head_request = message.method == "HEAD"
            message.http_version = head.http_version.decode("ascii")
        else:
            message.status = head.status_code
        # request smuggling: with both, one reader may take for a request what another takes for the body
        if self.server and "content-length" in message.headers and "transfer-encoding" in message.headers:
            raise MalformedError("both Content-Length and Transfer-Encoding")
        return message

    @property
    def peer_message_complete(self) -> bool:
        """Whether the peer's message is complete and another may follow it."""
        return self._h11.their_state is h11.DONE

    def next_cycle(self) -> bool:
        """Prepares the connection for another exchange; False if it can't carry one."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._head_lines = HeadLineCounter()
        self._head_lines.receive(self.unread)
        return True

    @property
    def has_unread(self) -> bool:
        """Whether input beyond the current message has been received."""
        return bool(self.unread)

    @property
    def unread(self) -> bytes:
        """Input received beyond the current message."""
        return self._h11.trailing_data[0]

    # Writing

    @property
    def can_answer(self) -> bool:
        """Whether a response can still be sent."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def request_bytes(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        head = [*headers, ("Content-Length", str(len(body)))] if body or method == "POST" else list(headers)
        request = h11.Request(method=method, target=target.encode("latin-1"), headers=_encode_headers(head))
        return self._message_bytes(request, body)

    def response_bytes(self, status: int, headers: Headers = (), body: bytes = b"") -> bytes:
        head = list(headers)
        if status != 204:  # a 204 must not have a Content-Length
            head.append(("Content-Length", str(len(body))))
        response = h11.Response(status_code=status, headers=head, reason=HTTPStatus(status).phrase)
        # h11 raises an error for a body here, and the connection would end without any response
        return self._message_bytes(response, b"" if self._is_head_request else body)

    def chunked_head_bytes(self, status: int, headers: Headers = ()) -> bytes:
        """The head of a chunked response; its body follows by ``chunk_bytes``."""
        head = [*headers, ("Transfer-Encoding", "chunked")]
        return self._h11.send(h11.Response(status_code=status, headers=head)) or b""

    def chunk_bytes(self, data: bytes) -> bytes:
        return self._h11.send(h11.Data(data=data)) or b""

    def _message_bytes(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Values are Latin-1, since one that is forwarded from a client may hold bytes beyond ASCII."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
