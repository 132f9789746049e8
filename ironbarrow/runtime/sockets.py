"""Addresses and TCP sockets, none of which ever blocks."""

import errno
import select
import socket
from contextlib import suppress

Address = tuple[str, int]
_BACKLOG = 1024
# that one connection broke before it was accepted, with what accept(2) passes on from the network
_BROKEN = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EINTR,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,  # a firewall's rule
    )
)
_MOST_BROKEN = 16  # in a row: the listener is ready again if there are more


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


def stream_socket(address: Address) -> socket.socket:
    """A new non-blocking TCP socket of the address's family; an OSError if there is none left."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def listen(address: Address, *, shared: bool = False) -> socket.socket:
    """A listening socket; ``shared``: others may listen at the same address. An OSError if it can't be."""
    sock = stream_socket(address)
    try:
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def send_at_once(sock: socket.socket) -> None:
    """Small writes are not held back. A connection that can't have this is used all the same."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_waiting(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted; True where that can't be told."""
    poll = select.poll()  # select() knows no descriptor of 1,024 or more
    poll.register(listener, select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError:
        return True


def accept(listener: socket.socket) -> socket.socket | None:
    """The next connection that came in, or None; an OSError for want of descriptors, or for a listener that
    can't accept any more, passes on.

    Danger: tried again at once for whatever goes wrong, a listener that is closed would never let the loop
    go on.
    """
    for _ in range(_MOST_BROKEN):
        try:
            sock, _address = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in _BROKEN:
                raise
            continue
        sock.setblocking(False)
        send_at_once(sock)
        return sock
    return None
