"""Every way in which a connection, or what it carried, can end; and what that says to the module."""

from enum import Enum, auto

from heathway.api import Outcome


class Ending(Enum):
    """How it ended. For an attempt, ``outcome_of`` tells the module's word for it."""

    # told by the worker
    DONE = auto()  # call-back: done
    FAILED = auto()  # call-back: failed
    RETURNED = auto()  # call-back: returned
    LOST = auto()  # call-back: lost
    ERROR_ANSWER = auto()  # an answer that is neither 202 nor a proof of "never ran"
    NOT_PROCESSED = auto()  # 503 or 504 with the proof
    # on the way there
    FAILED_HERE = (
        auto()
    )  # this machine lacked a descriptor, an address or memory: it says nothing of the peer
    CONNECT_REFUSED = auto()
    CONNECT_TIMED_OUT = auto()
    DRAINED = auto()  # the worker was listed as draining or gone before the first byte went out
    # the connection itself
    CLOSED = auto()  # the peer closed it
    RESET = auto()  # the peer reset it
    UNREACHABLE = auto()  # it failed with no word of the peer's, who may know nothing of that
    STALLED = auto()  # a time limit passed in silence
    MALFORMED = auto()  # not HTTP
    TOO_LARGE = auto()  # over a size limit
    # this side's doing
    TIMED_OUT = auto()  # nothing came by the time-out of the attempt
    GIVEN_UP = auto()
    NOT_SENT = auto()  # the job was over, or had no attempts or no time left


class ConnectionEndedError(Exception):
    """A connection that can carry nothing more, and how it ended."""

    def __init__(self, ending: Ending, detail: str = "", status: int = 400) -> None:
        super().__init__(f"{ending.name}: {detail}" if detail else ending.name)
        self.ending = ending
        self.status = status  # what to answer, if the peer can still be answered


_BREAKS = frozenset(
    (
        Ending.CLOSED,
        Ending.RESET,
        Ending.UNREACHABLE,
        Ending.STALLED,
        Ending.MALFORMED,
        Ending.TOO_LARGE,
    )
)
# before the last byte each of them closes the connection; GIVEN_UP does too, but there the worker may be
# well, and as a failed connection it would be set aside (``Host`` tells the two apart)
_UNSENT = _BREAKS | {Ending.TIMED_OUT}

_OUTCOMES = {
    Ending.DONE: Outcome.OK,
    Ending.FAILED: Outcome.ERROR,
    Ending.ERROR_ANSWER: Outcome.ERROR,
    Ending.RETURNED: Outcome.FULL,
    Ending.NOT_PROCESSED: Outcome.FULL,
    # danger: reported as a failed connection, a drain or a lack of own sockets would count as the
    # worker's failure and set it aside
    Ending.DRAINED: Outcome.FULL,
    Ending.FAILED_HERE: Outcome.FULL,
    Ending.CONNECT_REFUSED: Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMED_OUT: Outcome.CONNECT_FAILED,
    Ending.LOST: Outcome.RESET,
    Ending.CLOSED: Outcome.RESET,
    Ending.RESET: Outcome.RESET,
    Ending.UNREACHABLE: Outcome.RESET,
    Ending.STALLED: Outcome.RESET,
    Ending.MALFORMED: Outcome.RESET,
    Ending.TOO_LARGE: Outcome.RESET,
    Ending.TIMED_OUT: Outcome.TIMEOUT,
    Ending.GIVEN_UP: Outcome.CANCELLED,
    Ending.NOT_SENT: Outcome.MOOT,
}


def outcome_of(ending: Ending, written: bool) -> Outcome:
    """The module's outcome. ``written``: the request's last byte had been written when it ended.

    Danger: a break proves "never ran" only before that byte; after it, a job that must not run
    twice may have run.
    """
    if ending in _UNSENT and not written:
        return Outcome.CONNECT_FAILED
    return _OUTCOMES[ending]
