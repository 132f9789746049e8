"""Messages between members about jobs and take-overs, kinds 40 to 49. Does no input or output."""

import enum

from ironbarrow.fleet.api import Incarnation, Message


class JobStatus(enum.IntEnum):
    """What a member knows of a job's id."""

    UNKNOWN = 0  # nothing; from now on it looks the id up before it starts such a job
    OWNED = 1  # it owns the job; the answer follows as a ``JobAnswer``
    ENDED = 2  # the job has ended; the answer is in the message
    CONFLICT = 3  # it knows the id with another request


class JobQuery(Message, frozen=True, array_like=True):
    """Asks whether a member knows the job of that id. Answered by a ``JobQueryReply`` of the same round."""

    KIND = 40
    id: str
    digest: bytes
    round: int


class JobQueryReply(Message, frozen=True, array_like=True):
    """What the sender knows of a job; ``verdict``, ``result`` and ``retry_after`` (ns) if it has ended.

    ``open_incarnations``: ended ones whose ledgers are not known to be taken over yet. ``lost_incarnations``:
    ended ones whose ledgers no majority of replicas remembers, so that some of their jobs may be unknown.
    The sender itself among the latter: it has not followed the fleet for as long as answers are kept."""

    KIND = 41
    id: str
    round: int
    status: JobStatus
    verdict: str = ""
    result: bytes = b""
    retry_after: int = 0
    open_incarnations: tuple[Incarnation, ...] = ()
    lost_incarnations: tuple[Incarnation, ...] = ()


class JobAnswer(Message, frozen=True, array_like=True):
    """The answer of a job that the receiver has queried."""

    KIND = 42
    id: str
    verdict: str
    result: bytes = b""
    retry_after: int = 0


class ForwardedCallBack(Message, frozen=True, array_like=True):
    """A worker's call-back for a job that the sender does not know. Receivers don't forward it again."""

    KIND = 43
    id: str
    worker: str
    state: str
    result: bytes = b""


class TakeoverNotice(Message, frozen=True, array_like=True):
    """The sender has taken over an incarnation's jobs. ``whole`` False: only those still readable."""

    KIND = 44
    incarnation: Incarnation
    whole: bool = True


KINDS: tuple[type[Message], ...] = (JobQuery, JobQueryReply, JobAnswer, ForwardedCallBack, TakeoverNotice)
