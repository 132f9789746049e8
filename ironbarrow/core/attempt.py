"""The progress of an attempt, and which observations prove that it is over. No I/O.

An attempt is live until it is proven to be over. While it is live, no further attempt of its job is sent,
whatever the job's class, since the two would run at the same time. Its progress only advances:

    CONNECTING -> WRITING -> WRITTEN -> ACCEPTED -> STARTED
        |            |          |          |           |
        +------------+----------+----------+-----------+--> over, by one of the proofs below

In any of these states it may be *stopping*: this dispatcher has given it up and waits for a proof. What each
observation proves, by the progress at the time ("yes": the attempt is over):

    observation         CONNECTING  WRITING  WRITTEN  ACCEPTED  STARTED  why
    CALL_BACK           yes         yes      yes      yes       yes      the worker reports how it ended
    NO_CONNECTION       yes         -        -        -         -        no byte of the request was sent
    CONNECTION_ENDED    yes         yes      yes      no        no       workers drop unaccepted jobs
    CONNECTION_FAILED   yes         yes      no       no        no       the worker may not have noticed
    FINAL_ANSWER        -           yes      yes      yes       yes      the worker reports the end
    DELETE_ANSWERED     -           yes      yes      yes       yes      it has stopped, or never arrived
    RESTARTED           -           no       no       no        no       a reason to send a DELETE: see below
    DELETE_UNSENT       -           no       no       no        no       refused, or not connected: see below
    DELETE_FAILED_HERE  -           no       no       no        no       a system call failed on this machine
    DELETE_UNANSWERED   -           no       no       no        no       the worker hangs or is cut off
    DELETE_BROKEN       -           no       no       no        no       it may not have been read
    DELISTED            -           no       no       no        no       discovery may have lost the worker
    PROBE_FAILED        -           no       no       no        no       says nothing about running jobs

A refused connection does not prove that the process has ended: a machine that was cut off from the network
resets new connections once it is back, with its processes alive and their jobs running. Where the process did
end, its machine's agent calls back (``lost``), or discovery lists a later start. In the protocol a later
start does not end an attempt, so it is only a reason to give the attempt up at once: the new process answers
the DELETE, and that answer is the proof.

``CONNECTION_ENDED``: the attempt's own connection was closed by either side, or reset by the worker. Closing
it before the 202 gives the attempt up. If the whole request was written, a DELETE is sent as well, since the
202 may have crossed the close, but its arrival need not be proven.

``CONNECTION_FAILED``: a system call failed on this side (``ETIMEDOUT``, ``EHOSTUNREACH``), or the connection
was closed with an unread answer. The worker may have accepted the job, so the proof has to come from it.

The deadline proves nothing. It only ends the wait: the job gets its final answer, and no attempt can follow.
"""

from enum import Enum, IntEnum, auto


class Progress(IntEnum):
    """The progress of an attempt, as far as this dispatcher knows."""

    CONNECTING = 0  # no byte of the request has been written
    WRITING = auto()  # part of the request has been written
    WRITTEN = auto()  # the last byte has been written: the worker may run it
    ACCEPTED = auto()  # the worker has answered 202
    STARTED = auto()  # the worker has called back that it is running


class Observation(Enum):
    """An event that may prove that an attempt is over."""

    CALL_BACK = auto()
    NO_CONNECTION = auto()
    CONNECTION_ENDED = auto()
    CONNECTION_FAILED = auto()
    FINAL_ANSWER = auto()  # 500, or 503 or 504 with the header that proves that it was not processed
    DELETE_ANSWERED = auto()
    RESTARTED = auto()
    DELETE_UNSENT = auto()
    DELETE_FAILED_HERE = auto()
    DELETE_UNANSWERED = auto()
    DELETE_BROKEN = auto()
    DELISTED = auto()
    PROBE_FAILED = auto()


_ANY = frozenset(Progress)
_REQUEST_BEGUN = _ANY - {Progress.CONNECTING}
_NOT_ACCEPTED = frozenset((Progress.CONNECTING, Progress.WRITING, Progress.WRITTEN))
_PROVES_END_AT: dict[Observation, frozenset[Progress]] = {
    Observation.CALL_BACK: _ANY,
    Observation.NO_CONNECTION: frozenset((Progress.CONNECTING,)),
    Observation.CONNECTION_ENDED: _NOT_ACCEPTED,
    Observation.CONNECTION_FAILED: frozenset((Progress.CONNECTING, Progress.WRITING)),
    Observation.FINAL_ANSWER: _REQUEST_BEGUN,
    Observation.DELETE_ANSWERED: _REQUEST_BEGUN,
    Observation.RESTARTED: frozenset(),
    Observation.DELETE_UNSENT: frozenset(),
    Observation.DELETE_FAILED_HERE: frozenset(),
    Observation.DELETE_UNANSWERED: frozenset(),
    Observation.DELETE_BROKEN: frozenset(),
    Observation.DELISTED: frozenset(),
    Observation.PROBE_FAILED: frozenset(),
}

_WORKER_UNREACHABLE = frozenset((Observation.DELETE_UNSENT, Observation.DELETE_UNANSWERED))

# HTTP statuses of an answer to a DELETE which mean that the worker no longer runs the job
_STOPPED_STATUSES = frozenset((*range(200, 300), 404, 410))


def proves_end(observation: Observation, progress: Progress) -> bool:
    """Whether the observation proves that an attempt with this progress is over."""
    return progress in _PROVES_END_AT[observation]


def is_unreachable(observation: Observation) -> bool:
    """Whether the worker could not be reached, so that repeating the DELETE at once has little chance."""
    return observation in _WORKER_UNREACHABLE


def observation_of_delete_status(status: int) -> Observation:
    """The observation for an answer to a DELETE, by its HTTP status."""
    return Observation.DELETE_ANSWERED if status in _STOPPED_STATUSES else Observation.DELETE_BROKEN


def restarted_after_write(started_at: int, written_at: int, now: int) -> bool:
    """Whether a worker was restarted after a request to it was written.

    ``started_at`` is the worker's listed start, ``written_at`` when the last byte of the request was written
    (0: it was not), all in ns since the epoch; the machines of a deployment have synchronised clocks. A
    connection belongs to the process that accepted it, so a request written before the start cannot have
    reached the new process. A start in the future is ignored.
    """
    return 0 < written_at < started_at <= now
