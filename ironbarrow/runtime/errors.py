"""Classifies failed socket calls: caused by the peer, by the network, or by this machine. No I/O."""

import errno
from enum import Enum, auto


class ErrorOrigin(Enum):
    """Where the cause of a socket error lies."""

    PEER = auto()  # the peer closed, reset or refused the connection
    NETWORK = auto()  # the connection failed; the peer may not have noticed
    LOCAL = auto()  # a temporary shortage of resources on this machine; the connection is unaffected


_PEER_ERRORS = frozenset((errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED, errno.ECONNABORTED))
_LOCAL_ERRORS = frozenset(
    (
        errno.EINTR,
        errno.EAGAIN,
        errno.ENOMEM,
        errno.ENOBUFS,
        errno.ENOSPC,
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
    )
)


def origin_of(error: OSError) -> ErrorOrigin:
    """The origin of an error that a call on a socket raised."""
    if isinstance(error, BlockingIOError | InterruptedError) or error.errno in _LOCAL_ERRORS:
        return ErrorOrigin.LOCAL
    return ErrorOrigin.PEER if error.errno in _PEER_ERRORS else ErrorOrigin.NETWORK
