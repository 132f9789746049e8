"""The messages between the writers, the replicas and the recoveries of ledgers: kinds 20 to 39.

The changes of a segment are numbered from 1; the first ones are the segment's snapshot, which is the table
that the ledger held when the segment was opened.
"""

import enum
from typing import ClassVar

from ironbarrow.fleet.api import Ballot, Change, Decision, Incarnation, Message


class ReplyStatus(enum.IntEnum):
    """The result of a request, as a replica reports it."""

    OK = 0
    GAP = 1  # earlier changes are missing: resend from ``last_index`` + 1
    SEALED = 2  # a higher ballot has been promised
    FULL = 3  # the memory limit is reached
    UNKNOWN = 4  # the replica does not have the segment, or has deleted it


class Append(Message, frozen=True, array_like=True):
    """The writer appends consecutive changes to a segment, starting at ``first_index``. The first
    ``snapshot_size`` changes of a segment are its snapshot. A replica that does not know the segment creates
    it."""

    KIND: ClassVar[int] = 20
    ledger: str
    segment: int
    snapshot_size: int
    first_index: int
    changes: tuple[Change, ...] = ()


class AppendReply(Message, frozen=True, array_like=True):
    """A replica's reply to ``Append``: it has applied the changes up to and including ``last_index``."""

    KIND: ClassVar[int] = 21
    ledger: str
    segment: int
    last_index: int
    status: ReplyStatus = ReplyStatus.OK
    promised: Ballot | None = None  # SEALED: the highest ballot promised
    decision: Decision | None = None  # SEALED: the decided fate, if the replica knows it


class Seal(Message, frozen=True, array_like=True):
    """Requests the promise to accept nothing under a lower ballot (phase 1 of the vote). ``writer``: the
    segment's writer, if a decided MOVED proves that the segment exists; a replica that has never seen the
    segment then creates it, sealed and empty.
    """

    KIND: ClassVar[int] = 22
    ledger: str
    segment: int
    ballot: Ballot
    writer: Incarnation | None = None


class Promise(Message, frozen=True, array_like=True):
    """A replica's reply to ``Seal``. ``snapshot_size`` is -1 if the replica never received the snapshot.
    ``table``: the segment's complete table, or None if it is too large for one message and has to be read in
    pages."""

    KIND: ClassVar[int] = 23
    ledger: str
    segment: int
    ballot: Ballot  # of the request
    status: ReplyStatus  # OK, SEALED (``promised`` is higher) or UNKNOWN
    promised: Ballot | None = None
    writer: Incarnation | None = None
    last_index: int = 0
    snapshot_size: int = -1
    accepted: Ballot | None = None
    decision: Decision | None = None  # the one accepted under that ballot
    decided: bool = False  # the replica knows that a majority has accepted it
    released: bool = False  # the table has been deleted, because other members hold all of it
    table: tuple[Change, ...] | None = None


class Accept(Message, frozen=True, array_like=True):
    """Requests that a segment's fate be accepted under a ballot (phase 2 of the vote)."""

    KIND: ClassVar[int] = 24
    ledger: str
    segment: int
    ballot: Ballot
    decision: Decision


class Accepted(Message, frozen=True, array_like=True):
    """A replica's reply to ``Accept``."""

    KIND: ClassVar[int] = 25
    ledger: str
    segment: int
    ballot: Ballot
    status: ReplyStatus  # OK, SEALED or UNKNOWN
    promised: Ballot | None = None


class Read(Message, frozen=True, array_like=True):
    """Requests a page of a sealed segment's table: the keys after ``after``."""

    KIND: ClassVar[int] = 26
    ledger: str
    segment: int
    after: str = ""


class Page(Message, frozen=True, array_like=True):
    """The reply to ``Read``: the next entries in the order of their keys. ``last``: no entries follow."""

    KIND: ClassVar[int] = 27
    ledger: str
    segment: int
    after: str
    changes: tuple[Change, ...]
    last: bool


class Learn(Message, frozen=True, array_like=True):
    """Announces the decided fate of a segment. ``release``: other members hold all of the segment's table,
    which may be deleted."""

    KIND: ClassVar[int] = 28
    ledger: str
    segment: int
    ballot: Ballot  # under which the fate was decided
    decision: Decision
    release: bool = False


class LearnAck(Message, frozen=True, array_like=True):
    """Acknowledges ``Learn`` (with the same ``release``) or ``Close`` (``release`` is True)."""

    KIND: ClassVar[int] = 29
    ledger: str
    segment: int
    release: bool


class Close(Message, frozen=True, array_like=True):
    """The writer no longer needs the ledger: its replicas may delete the segment."""

    KIND: ClassVar[int] = 30
    ledger: str
    segment: int


REQUESTS = (Append, Seal, Accept, Read, Learn, Close)
REPLIES = (AppendReply, Promise, Accepted, Page, LearnAck)

MAX_BATCH_BYTES = 256 << 10  # of the changes in one message; a larger single change is sent alone
MAX_CHANGE_BYTES = 768 << 10  # of one change: key and value


def entry_size(key: str, value: bytes) -> int:
    """The memory that an entry of a table takes, in bytes: key, value and a fixed overhead."""
    return len(key) + len(value) + 120


def next_batch(changes: "list[Change]", start: int, max_bytes: int = MAX_BATCH_BYTES) -> tuple[Change, ...]:
    """The changes from ``start`` on that fit into one message of ``max_bytes``; at least one, if there are
    any."""
    size, end = 0, start
    while end < len(changes):
        change = changes[end]
        size += entry_size(change.key, change.value or b"")
        if size > max_bytes and end > start:
            break
        end += 1
    return tuple(changes[start:end])
