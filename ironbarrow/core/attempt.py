"""How far one attempt has come, and what proves that it is over. No input or output.

An attempt is live until it is proven to be over; while it is live no further attempt of its job goes out,
whatever the job's class, since that would be a second copy. Its progress only goes forward:

    CONNECTING -> WRITING -> WRITTEN -> ACCEPTED -> STARTED
        |            |          |          |           |
        +------------+----------+----------+-----------+--> over, by one of the proofs below

and at any of these it may be *stopping*: this side has given it up and is waiting for a proof. What each
observation proves, by the progress at the time ("yes": the attempt is over):

    observation         CONNECTING  WRITING  WRITTEN  ACCEPTED  STARTED  why
    CALL_BACK           yes         yes      yes      yes       yes      the worker says how it ended
    NO_CONNECTION       yes         -        -        -         -        nothing of the request has left
    CONNECTION_ENDED    yes         yes      yes      no        no       what is not accepted is dropped
    CONNECTION_FAILED   yes         yes      no       no        no       the worker may know nothing of it
    FINAL_ANSWER        -           yes      yes      yes       yes      the worker's word, as by call-back
    DELETE_ANSWERED     -           yes      yes      yes       yes      it has stopped, or never was there
    RESTARTED           -           no       no       no        no       a reason to send a DELETE: see below
    DELETE_UNSENT       -           no       no       no        no       refused, or not connected: see below
    DELETE_FAILED_HERE  -           no       no       no        no       an own system call failed
    DELETE_UNANSWERED   -           no       no       no        no       a hung process, or one cut off
    DELETE_BROKEN       -           no       no       no        no       it may not have been read
    DELISTED            -           no       no       no        no       discovery may have lost sight of it
    PROBE_FAILED        -           no       no       no        no       says nothing of the jobs it has

A refused connection is no proof that the process has ended: a machine that was cut off from the network
resets new connections once it is back, with its processes alive and their jobs running. Where the process did
end, its machine's agent calls back (``lost``), or discovery lists a later start. The protocol knows no end of
an attempt by a later start, so that is only a reason to give the attempt up at once: the new process answers
the DELETE, and that answer is the proof.

``CONNECTION_ENDED`` is either side's close of the attempt's own connection, or a reset by the worker. Closing
it before the 202 gives the attempt up; a DELETE is sent all the same where the request was written whole,
since the 202 may have crossed the close, but its arrival need not be proven.

``CONNECTION_FAILED`` is an error of the own calls (``ETIMEDOUT``, ``EHOSTUNREACH``), or a close over an
answer that was not read: the worker may have accepted the job, so the proof has to come from it.

The deadline proves nothing. It only ends the wait: the job gets its final answer, so that no attempt can
follow.
"""

from enum import Enum, IntEnum, auto


class Progress(IntEnum):
    """How far an attempt has come, as this side knows."""

    CONNECTING = 0  # no byte of the request has gone out
    WRITING = auto()  # some bytes have
    WRITTEN = auto()  # the last byte has: the worker may run it
    ACCEPTED = auto()  # the worker has answered 202
    STARTED = auto()  # the worker has called back that it runs


class Observation(Enum):
    """What may prove that an attempt is over."""

    CALL_BACK = auto()
    NO_CONNECTION = auto()
    CONNECTION_ENDED = auto()
    CONNECTION_FAILED = auto()
    FINAL_ANSWER = auto()  # 500, or 503 or 504 with the proof that it was not processed
    DELETE_ANSWERED = auto()
    RESTARTED = auto()
    DELETE_UNSENT = auto()
    DELETE_FAILED_HERE = auto()
    DELETE_UNANSWERED = auto()
    DELETE_BROKEN = auto()
    DELISTED = auto()
    PROBE_FAILED = auto()


_ALL = frozenset(Progress)
_BEGUN = _ALL - {Progress.CONNECTING}
_UNACCEPTED = frozenset((Progress.CONNECTING, Progress.WRITING, Progress.WRITTEN))
_PROVEN_AT: dict[Observation, frozenset[Progress]] = {
    Observation.CALL_BACK: _ALL,
    Observation.NO_CONNECTION: frozenset((Progress.CONNECTING,)),
    Observation.CONNECTION_ENDED: _UNACCEPTED,
    Observation.CONNECTION_FAILED: frozenset((Progress.CONNECTING, Progress.WRITING)),
    Observation.FINAL_ANSWER: _BEGUN,
    Observation.DELETE_ANSWERED: _BEGUN,
    Observation.RESTARTED: frozenset(),
    Observation.DELETE_UNSENT: frozenset(),
    Observation.DELETE_FAILED_HERE: frozenset(),
    Observation.DELETE_UNANSWERED: frozenset(),
    Observation.DELETE_BROKEN: frozenset(),
    Observation.DELISTED: frozenset(),
    Observation.PROBE_FAILED: frozenset(),
}

_NOBODY_THERE = frozenset((Observation.DELETE_UNSENT, Observation.DELETE_UNANSWERED))

# Statuses of an answer to a DELETE by which the worker says that it does not run the job any more
_STOPPED = frozenset((*range(200, 300), 404, 410))


def proves_over(observation: Observation, progress: Progress) -> bool:
    """Whether an attempt that has come so far is over, given that observation."""
    return progress in _PROVEN_AT[observation]


def is_unreachable(observation: Observation) -> bool:
    """Whether a further DELETE right after this one would hardly fare better."""
    return observation in _NOBODY_THERE


def delete_answered(status: int) -> Observation:
    """What an answer to a DELETE with that HTTP status proves."""
    return Observation.DELETE_ANSWERED if status in _STOPPED else Observation.DELETE_BROKEN


def restarted(started_at: int, written_at: int, now: int) -> bool:
    """Whether a worker that is listed with that start had another process when the request was written.

    All times in ns since the epoch, on the one clock that the deployment's machines share. A connection
    belongs to the process that accepted it, so a request written before the start cannot have reached the new
    process. ``written_at`` 0: it was not written. A start that lies in the future is no start.
    """
    return 0 < written_at < started_at <= now
