"""What a failed system call tells of: the peer, the way to it, or this machine alone. No input or output."""

import errno
from enum import Enum, auto


class Meaning(Enum):
    """Whom an error tells of."""

    PEER = auto()  # the other side ended the connection, or refuses it
    WAY = auto()  # the connection failed; the other side may know nothing of it
    HERE = auto()  # this machine lacks something for a moment: nothing has happened to the connection


_BY_PEER = frozenset((errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED, errno.ECONNABORTED))
_HERE = frozenset(
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


def meaning_of(error: OSError) -> Meaning:
    """What the error of a call on a socket says."""
    if isinstance(error, BlockingIOError | InterruptedError) or error.errno in _HERE:
        return Meaning.HERE
    return Meaning.PEER if error.errno in _BY_PEER else Meaning.WAY
