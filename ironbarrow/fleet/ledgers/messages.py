"""What writers, replicas and claimants of ledgers tell each other: kinds 20 to 39."""

import enum
from typing import ClassVar

from ironbarrow.fleet.api import Ballot, Change, Decision, Incarnation, Message


class ReplyStatus(enum.IntEnum):
    """What a replica makes of a question."""

    OK = 0
    GAP = 1  # changes before these are missing: they are to be sent again from ``n`` + 1
    SEALED = 2  # a higher ballot is promised
    FULL = 3  # there is no room for it
    UNKNOWN = 4  # the segment is not here, or no longer


class Append(Message, frozen=True, array_like=True):
    """The writer's changes ``first``, ``first`` + 1 ... of a segment. The first ``base`` ones of a segment
    are its opening table; a replica that has not heard of the segment opens it."""

    KIND: ClassVar[int] = 20
    ledger: str
    segment: int
    snapshot_size: int
    first_index: int
    changes: tuple[Change, ...] = ()


class AppendReply(Message, frozen=True, array_like=True):
    """The replica has all changes up to and with ``n``, and no more."""

    KIND: ClassVar[int] = 21
    ledger: str
    segment: int
    last_index: int
    status: ReplyStatus = ReplyStatus.OK
    promised: Ballot | None = None  # SEALED: to whom
    decision: Decision | None = None  # SEALED: the fate, where the replica knows it


class Seal(Message, frozen=True, array_like=True):
    """Asks for the promise to take nothing under a lower ballot. ``writer``: who opens the segment, where a
    decided MOVED says that it exists; then a replica that has never heard of it creates it sealed and empty.
    """

    KIND: ClassVar[int] = 22
    ledger: str
    segment: int
    ballot: Ballot
    writer: Incarnation | None = None


class Promise(Message, frozen=True, array_like=True):
    """A replica's answer to ``Seal``. ``base`` -1: it never had the opening. ``table``: the whole of it, or
    None if it is too large for this message and is to be read by pages."""

    KIND: ClassVar[int] = 23
    ledger: str
    segment: int
    ballot: Ballot  # that was asked
    status: ReplyStatus  # DONE, SEALED (``promised`` is higher), UNKNOWN
    promised: Ballot | None = None
    writer: Incarnation | None = None
    last_index: int = 0
    snapshot_size: int = -1
    accepted: Ballot | None = None
    decision: Decision | None = None  # accepted under that ballot
    decided: bool = False  # ... and known to be so by a majority
    released: bool = False  # the table is gone, since others have all of it
    table: tuple[Change, ...] | None = None


class Accept(Message, frozen=True, array_like=True):
    """Asks to accept a fate."""

    KIND: ClassVar[int] = 24
    ledger: str
    segment: int
    ballot: Ballot
    decision: Decision


class Accepted(Message, frozen=True, array_like=True):
    """A replica's answer to ``Decide``."""

    KIND: ClassVar[int] = 25
    ledger: str
    segment: int
    ballot: Ballot
    status: ReplyStatus  # DONE, SEALED, UNKNOWN
    promised: Ballot | None = None


class Read(Message, frozen=True, array_like=True):
    """Asks for a page of a sealed table: the keys after that one."""

    KIND: ClassVar[int] = 26
    ledger: str
    segment: int
    after: str = ""


class Page(Message, frozen=True, array_like=True):
    """The next keys of a table in order. ``last``: none are left."""

    KIND: ClassVar[int] = 27
    ledger: str
    segment: int
    after: str
    changes: tuple[Change, ...]
    last: bool


class Learn(Message, frozen=True, array_like=True):
    """A segment's fate is decided. ``release``: others have all of its table, which may go."""

    KIND: ClassVar[int] = 28
    ledger: str
    segment: int
    ballot: Ballot  # under which it is known to be decided
    decision: Decision
    release: bool = False


class LearnAck(Message, frozen=True, array_like=True):
    """``Learn`` or ``Close`` has come: ``release`` as there; True for ``Close``."""

    KIND: ClassVar[int] = 29
    ledger: str
    segment: int
    release: bool


class Close(Message, frozen=True, array_like=True):
    """The writer is owed nothing more by this ledger."""

    KIND: ClassVar[int] = 30
    ledger: str
    segment: int


REQUESTS = (Append, Seal, Accept, Read, Learn, Close)
REPLIES = (AppendReply, Promise, Accepted, Page, LearnAck)

MAX_BATCH_BYTES = 256 << 10  # bytes of changes in one message, at most, unless a single one is larger
MAX_CHANGE_BYTES = 768 << 10  # bytes of one change


def entry_size(key: str, value: bytes) -> int:
    """What a key costs where it is kept, bytes: its text, its value and the table's own share."""
    return len(key) + len(value) + 120


def next_batch(changes: "list[Change]", start: int, max_bytes: int = MAX_BATCH_BYTES) -> tuple[Change, ...]:
    """As many changes from ``start`` on as go into one message; at least one if there is any."""
    size, end = 0, start
    while end < len(changes):
        change = changes[end]
        size += entry_size(change.key, change.value or b"")
        if size > max_bytes and end > start:
            break
        end += 1
    return tuple(changes[start:end])
