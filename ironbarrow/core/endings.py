"""Every way in which a connection or an attempt can end, and the outcome reported to the decision module."""

from enum import Enum, auto

from heathway.api import Outcome


class Ending(Enum):
    """How a connection or an attempt ended. ``outcome_of`` maps it to the decision module's outcome."""

    # reported by the worker
    DONE = auto()  # call-back: done
    FAILED = auto()  # call-back: failed
    RETURNED = auto()  # call-back: returned
    LOST = auto()  # call-back: lost
    ERROR_ANSWER = auto()  # an answer that is neither 202 nor a proof that the job never ran
    NOT_PROCESSED = auto()  # 503 or 504 with the header X-Not-Processed: 1
    # before the request was written
    FAILED_HERE = (
        auto()
    )  # this machine lacked a descriptor, an address or memory: says nothing about the peer
    CONNECT_REFUSED = auto()
    CONNECT_TIMED_OUT = auto()
    DRAINED = auto()  # the worker was listed as draining or gone before the first byte was written
    # of the connection
    CLOSED = auto()  # closed by the peer
    RESET = auto()  # reset by the peer
    UNREACHABLE = auto()  # a network error; the peer may not have noticed
    STALLED = auto()  # no data within a time limit
    MALFORMED = auto()  # not HTTP
    TOO_LARGE = auto()  # over a size limit
    # decided by this dispatcher
    TIMED_OUT = auto()  # no result within the attempt's time-out
    GIVEN_UP = auto()
    NOT_SENT = auto()  # the job was over, or had no attempts or no time left


class ConnectionEndedError(Exception):
    """A connection has ended or can't be used any more; ``ending`` says how."""

    def __init__(self, ending: Ending, detail: str = "", status: int = 400) -> None:
        super().__init__(f"{ending.name}: {detail}" if detail else ending.name)
        self.ending = ending
        self.status = status  # HTTP status to answer with, if the peer can still be answered


_CONNECTION_FAILURES = frozenset(
    (
        Ending.CLOSED,
        Ending.RESET,
        Ending.UNREACHABLE,
        Ending.STALLED,
        Ending.MALFORMED,
        Ending.TOO_LARGE,
    )
)
# Each of these closes the connection; if that is before the last byte of the request, the job never ran.
# GIVEN_UP closes it, too, but is not reported as a failed connection, which would eject a worker that may
# be healthy. ``Host`` distinguishes the two.
_NEVER_RAN_IF_UNWRITTEN = _CONNECTION_FAILURES | {Ending.TIMED_OUT}

_OUTCOMES = {
    Ending.DONE: Outcome.OK,
    Ending.FAILED: Outcome.ERROR,
    Ending.ERROR_ANSWER: Outcome.ERROR,
    Ending.RETURNED: Outcome.FULL,
    Ending.NOT_PROCESSED: Outcome.FULL,
    # Reported as a failed connection, a drain or a lack of sockets on this machine would count as a failure
    # of the worker and eject it.
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
    """The decision module's outcome. ``written``: the last byte of the request had been written.

    A connection failure proves that the job never ran only before that byte. After it the job may have run.
    """
    if ending in _NEVER_RAN_IF_UNWRITTEN and not written:
        return Outcome.CONNECT_FAILED
    return _OUTCOMES[ending]
