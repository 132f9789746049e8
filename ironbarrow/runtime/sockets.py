"""Addresses and non-blocking TCP sockets."""

import errno
import select
import socket
import struct
from contextlib import suppress

from ironbarrow.runtime.clock import MS

Address = tuple[str, int]
_BACKLOG = 1024
# errors of accept(2) that concern one connection, which failed before it was accepted; the listener is fine
_CONNECTION_ERRORS = frozenset(
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
        errno.EPERM,  # rejected by a firewall rule
    )
)
_MAX_FAILED_ACCEPTS = 16  # in a row; if there are more, the listener stays readable and is polled again

# the beginning of struct tcp_info, see tcp(7): tcpi_state, then tcpi_last_data_recv in ms
_TCP_INFO = struct.Struct("=B51xI")


def parse_address(text: str, min_port: int = 1) -> Address:
    """Parses ``host:port``. Raises ValueError if the text is malformed or the port is out of range."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not min_port <= int(port) < 65536:
        raise ValueError(f"not host:port: {text[:80]!r}")
    return host, int(port)


def stream_socket(address: Address) -> socket.socket:
    """A new non-blocking TCP socket of the address's family. Raises OSError, e.g. without descriptors
    left."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def listen(address: Address, *, reuse_port: bool = False) -> socket.socket:
    """A listening socket. ``reuse_port`` allows other processes to listen on the same address. Raises OSError
    if the address can't be bound."""
    sock = stream_socket(address)
    try:
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def disable_nagle(sock: socket.socket) -> None:
    """Turns off Nagle's algorithm, so that small writes are sent at once. Errors are ignored: the connection
    works without it, too."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_pending_connection(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted; True if that can't be determined."""
    poll = select.poll()  # select() does not support descriptors from 1024 on
    poll.register(listener, select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError:
        return True


def input_age(sock: socket.socket) -> int | None:
    """Time in ns since the last input arrived at this machine, or since the connection was established if
    none has. Whether it has been read makes no difference. None if the system doesn't tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return None
    if len(info) < _TCP_INFO.size:
        return None
    state, last_input_ms = _TCP_INFO.unpack(info)
    return int(last_input_ms) * MS if state else None


def accept(listener: socket.socket) -> socket.socket | None:
    """Accepts the next pending connection; None if there is none.

    Raises OSError if no descriptors are left or the listener can't accept any more. Such errors are not
    retried here: with a closed listener, that would block the event loop for ever.
    """
    for _ in range(_MAX_FAILED_ACCEPTS):
        try:
            sock, _address = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in _CONNECTION_ERRORS:
                raise
            continue
        sock.setblocking(False)
        disable_nagle(sock)
        return sock
    return None
