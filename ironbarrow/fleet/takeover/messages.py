"""What members tell each other of jobs. Kinds 40 to 49. No input or output."""

import enum

from ironbarrow.fleet.api import Incarnation, Message


class JobStatus(enum.IntEnum):
    """What a member knows of an id."""

    UNKNOWN = 0  # nothing, and from now on it does not take it either without asking
    OWNED = 1  # the job is its own; the answer follows as ``JobAnswer``
    ENDED = 2  # the answer is in the message
    CONFLICT = 3  # another request is under that id


class JobQuery(Message, frozen=True, array_like=True):
    """Who has the job of that id? Answered by ``JobQueryReply`` of the same round."""

    KIND = 40
    id: str
    digest: bytes
    round: int


class JobQueryReply(Message, frozen=True, array_like=True):
    """``open``: incarnations that have ended and whose ledgers nobody is known to have taken over yet;
    ``lost``: incarnations of which no majority remembers the ledger, so that nobody knows all that they
    had."""

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
    """The answer of a job that the other has asked for."""

    KIND = 42
    id: str
    verdict: str
    result: bytes = b""
    retry_after: int = 0


class ForwardedCallBack(Message, frozen=True, array_like=True):
    """A worker's word on a job that the sender does not have. It is passed on once, never further."""

    KIND = 43
    id: str
    worker: str
    state: str
    result: bytes = b""


class TakeoverNotice(Message, frozen=True, array_like=True):
    """The sender has what an incarnation owed. ``whole``: all of it; else what could still be read."""

    KIND = 44
    incarnation: Incarnation
    whole: bool = True


KINDS: tuple[type[Message], ...] = (JobQuery, JobQueryReply, JobAnswer, ForwardedCallBack, TakeoverNotice)
