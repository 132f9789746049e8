"""The replica side of ledgers: stores segments for other members and votes on their fates. No input or
output.

A segment is *open* (appends of its writer are applied strictly in order), *sealed* (a ballot has been
promised; nothing can be appended any more), *decided* (its fate is known), *released* (its table has been
deleted; the fate is kept for a while) or *deleted*. A deleted segment is never created again: the highest
deleted segment number of each ledger is kept, so that a message that arrives very late does not create the
segment anew.

Memory is bounded by ``memory_mb``: above three quarters of it no new segment is created, and above all of it
no change that makes a table larger is applied. Both are refused with FULL, and the writer chooses another
replica. Stored segments are never deleted to free memory.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, Ballot, Change, Decision, Incarnation, Message
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.ledgers.messages import (
    MAX_BATCH_BYTES,
    Accept,
    Accepted,
    Append,
    AppendReply,
    Close,
    Learn,
    LearnAck,
    Page,
    Promise,
    Read,
    ReplyStatus,
    Seal,
    entry_size,
    next_batch,
)

_SECOND = 1_000_000_000
TOMBSTONE_RETENTION = 120 * _SECOND  # how long the fate of a released segment is kept, ns
ABANDONED_AFTER = 600 * _SECOND  # how long an unused segment is kept if its owner is not alive, ns
SWEEP_INTERVAL = 10 * _SECOND  # between two searches for segments to delete, ns
SEGMENT_OVERHEAD = 1_000  # bytes that a segment takes besides its table
MAX_DELETED_LEDGERS = 4096  # ledgers whose highest deleted segment number is kept


@dataclass(slots=True)
class Segment:
    """The state of one segment at this replica."""

    writer: Incarnation
    snapshot_size: int  # changes in its snapshot; -1: the snapshot was never received
    promised: Ballot
    last_used: int  # ns
    last_index: int = 0  # of the changes applied
    table: dict[str, bytes] = field(default_factory=dict)
    size: int = 0  # of the table, bytes
    accepted: Ballot | None = None
    decision: Decision | None = None
    decided: bool = False
    released: bool = False


class Replica:
    """All segments that this member stores. ``is_alive``: whether an incarnation is considered alive."""

    def __init__(self, me: Incarnation, is_alive: Callable[[Incarnation], bool], rules: LedgerRules) -> None:
        self.me = me
        self._is_alive = is_alive
        self._memory_limit = rules.memory_mb << 20
        self.segments: dict[tuple[str, int], Segment] = {}
        self.deleted_up_to: OrderedDict[str, int] = OrderedDict()  # highest deleted segment number, by ledger
        self.size = 0  # of all segments, bytes
        self.counts: Counter[str] = Counter()
        self._sweep_at = NEVER

    def received(self, now: int, sender: Incarnation, message: Message) -> Message | None:
        """Handles a message; returns the reply to its sender, if there is one."""
        match message:
            case Append():
                return self.append(now, sender, message)
            case Seal():
                return self.seal(now, sender, message)
            case Accept():
                return self.accept(now, sender, message)
            case Read():
                return self.read(now, message)
            case Learn():
                return self.learn(now, message)
            case Close():
                return self.close(now, sender, message)
        return None

    def append(self, now: int, sender: Incarnation, message: Append) -> AppendReply | None:
        """Applies the changes that follow the last one applied: all of them, or none. Duplicates are
        skipped."""
        ledger, number = message.ledger, message.segment
        segment = self.segments.get((ledger, number))
        if segment is None:
            if self._is_deleted(ledger, number):
                return AppendReply(ledger, number, 0, ReplyStatus.UNKNOWN)
            if self.size >= self._memory_limit // 4 * 3:
                self.counts["segment refused: memory"] += 1
                return AppendReply(ledger, number, 0, ReplyStatus.FULL)
            segment = self._create(now, ledger, number, sender, message.snapshot_size)
        if sender != segment.writer:
            # otherwise the changes of two writers would be mixed in one segment
            self.counts["append of another writer"] += 1
            return AppendReply(ledger, number, 0, ReplyStatus.SEALED, segment.promised)
        segment.last_used = now
        if self._is_sealed(segment):
            decision = segment.decision if segment.decided else None
            return AppendReply(
                ledger, number, segment.last_index, ReplyStatus.SEALED, segment.promised, decision
            )
        if message.first_index > segment.last_index + 1:
            return AppendReply(ledger, number, segment.last_index, ReplyStatus.GAP)
        new_changes = message.changes[segment.last_index + 1 - message.first_index :]
        if new_changes:
            added = sum(entry_size(c.key, c.value) for c in new_changes if c.value is not None)
            if added and self.size + added > self._memory_limit:
                self.counts["append refused: memory"] += 1
                return AppendReply(ledger, number, segment.last_index, ReplyStatus.FULL)
            self._apply(segment, sender, new_changes)
        return AppendReply(ledger, number, segment.last_index)

    def seal(self, now: int, sender: Incarnation, message: Seal) -> Promise | None:
        """Promises the ballot and seals the segment, unless a higher ballot has been promised."""
        ledger, number, ballot = message.ledger, message.segment, message.ballot
        if ballot.by != sender or ballot.round < 1:
            self.counts["ballot of another member"] += 1
            return None
        segment = self.segments.get((ledger, number))
        if segment is None:
            # created, sealed and empty, only if a decided fate proves that it exists and it was never here: a
            # deleted segment may have held committed changes, which an empty promise would deny
            if message.writer is None or self._is_deleted(ledger, number) or self.size >= self._memory_limit:
                return Promise(ledger, number, ballot, ReplyStatus.UNKNOWN)
            segment = self._create(now, ledger, number, message.writer, -1)
        segment.last_used = now
        if ballot < segment.promised:
            return Promise(ledger, number, ballot, ReplyStatus.SEALED, segment.promised)
        segment.promised = ballot
        fits_one_message = segment.size <= MAX_BATCH_BYTES
        return Promise(
            ledger,
            number,
            ballot,
            ReplyStatus.OK,
            segment.promised,
            segment.writer,
            segment.last_index,
            segment.snapshot_size,
            segment.accepted,
            segment.decision,
            segment.decided,
            segment.released,
            tuple(Change(key, segment.table[key]) for key in sorted(segment.table))
            if fits_one_message
            else None,
        )

    def accept(self, now: int, sender: Incarnation, message: Accept) -> Accepted | None:
        """Accepts a fate, unless a higher ballot has been promised."""
        ledger, number, ballot = message.ledger, message.segment, message.ballot
        segment = self.segments.get((ledger, number))
        if ballot.by != sender or ballot.round < 1:
            self.counts["ballot of another member"] += 1
            return None
        if segment is None:
            return Accepted(ledger, number, ballot, ReplyStatus.UNKNOWN)
        segment.last_used = now
        if ballot < segment.promised:
            return Accepted(ledger, number, ballot, ReplyStatus.SEALED, segment.promised)
        if segment.decided and segment.decision != message.decision:
            check(
                "one fate a segment",
                segment.accepted is not None and ballot < segment.accepted,
                ledger=ledger,
                segment=number,
                decided=segment.decision,
                asked=message.decision,
            )
            return Accepted(ledger, number, ballot, ReplyStatus.SEALED, segment.promised)
        segment.promised = segment.accepted = ballot
        segment.decision = message.decision
        return Accepted(ledger, number, ballot, ReplyStatus.OK, ballot)

    def read(self, now: int, message: Read) -> Page | None:
        """A page of a sealed segment's table; None if the segment is open, released or not here."""
        segment = self.segments.get((message.ledger, message.segment))
        if segment is None or segment.released or not self._is_sealed(segment):
            return None
        segment.last_used = now
        remaining = [Change(key, segment.table[key]) for key in sorted(segment.table) if key > message.after]
        page = next_batch(remaining, 0)
        return Page(message.ledger, message.segment, message.after, page, len(page) == len(remaining))

    def learn(self, now: int, message: Learn) -> LearnAck:
        """Stores a decided fate; deletes the table if the message releases it."""
        segment = self.segments.get((message.ledger, message.segment))
        if segment is not None:
            check(
                "one fate a segment",
                not segment.decided or segment.decision == message.decision,
                ledger=message.ledger,
                segment=message.segment,
                decided=segment.decision,
                learned=message.decision,
            )
            segment.last_used = now
            segment.promised = max(segment.promised, message.ballot)
            if not segment.decided:
                segment.decided, segment.decision = True, message.decision
                segment.accepted = message.ballot
            if message.release and not segment.released:
                segment.released = True
                self.size -= segment.size
                segment.table, segment.size = {}, 0
        return LearnAck(message.ledger, message.segment, message.release)

    def close(self, now: int, sender: Incarnation, message: Close) -> LearnAck:
        """Deletes a segment that its writer has closed, unless another member has sealed it."""
        segment = self.segments.get((message.ledger, message.segment))
        if segment is not None and segment.writer == sender and not self._is_sealed(segment):
            self._delete(message.ledger, message.segment)
        return LearnAck(message.ledger, message.segment, True)

    def ticked(self, now: int) -> None:
        """Deletes released segments, and unused ones of dead owners, after their retention time."""
        if now < self._sweep_at:
            return
        for (ledger, number), segment in list(self.segments.items()):
            idle = now - segment.last_used
            owner = segment.decision.by if segment.decided and segment.decision else segment.writer
            if segment.released and idle >= TOMBSTONE_RETENTION:
                self._delete(ledger, number)
            elif idle >= ABANDONED_AFTER and not self._is_alive(owner):
                self.counts["abandoned"] += 1
                self._delete(ledger, number)
        self._sweep_at = now + SWEEP_INTERVAL if self.segments else NEVER

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns."""
        return self._sweep_at

    def _is_sealed(self, segment: Segment) -> bool:
        return segment.promised.round > 0

    def _apply(self, segment: Segment, sender: Incarnation, changes: tuple[Change, ...]) -> None:
        check("one writer a segment", sender == segment.writer, sender=sender, writer=segment.writer)
        check("no append under a seal", segment.promised.round == 0, promised=segment.promised)
        table, size_before = segment.table, segment.size
        for change in changes:
            old = table.pop(change.key, None)
            if old is not None:
                segment.size -= entry_size(change.key, old)
            if change.value is not None:
                table[change.key] = change.value
                segment.size += entry_size(change.key, change.value)
        segment.last_index += len(changes)
        self.size += segment.size - size_before

    def _create(self, now: int, ledger: str, number: int, writer: Incarnation, snapshot_size: int) -> Segment:
        segment = self.segments[ledger, number] = Segment(writer, snapshot_size, Ballot(0, writer), now)
        self.size += SEGMENT_OVERHEAD
        if self._sweep_at == NEVER:
            self._sweep_at = now + SWEEP_INTERVAL
        return segment

    def _is_deleted(self, ledger: str, number: int) -> bool:
        return number <= self.deleted_up_to.get(ledger, -1)

    def _delete(self, ledger: str, number: int) -> None:
        segment = self.segments.pop((ledger, number))
        self.size -= segment.size + SEGMENT_OVERHEAD
        self.deleted_up_to[ledger] = max(number, self.deleted_up_to.get(ledger, -1))
        self.deleted_up_to.move_to_end(ledger)
        while len(self.deleted_up_to) > MAX_DELETED_LEDGERS:
            self.deleted_up_to.popitem(last=False)
