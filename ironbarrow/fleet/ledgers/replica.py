"""A replica of others' segments: what it has, what it has promised, what it has accepted. No input or output.

A segment here is *open* (appends of its writer are applied, strictly in order), *sealed* (a ballot is
promised: no append ever again), *decided* (its fate is known), *released* (its table is gone, the fate is
remembered for a while) or *forgotten*. What is forgotten is never made anew: the highest number forgotten of
each ledger is remembered, so that a message that comes very late opens nothing.

Memory is bounded by ``memory_mb``: over three quarters of it no new segment is opened, over all of it no
change that grows a table is taken; both are answered with FULL, and the writer goes elsewhere. What is kept
is never dropped for it.
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
TOMBSTONE_RETENTION = 120 * _SECOND  # so long a released segment's fate is remembered
ABANDONED_AFTER = (
    600 * _SECOND
)  # so long a segment is kept that nobody has touched, and whose owner does not live
SWEEP_INTERVAL = 10 * _SECOND
SEGMENT_OVERHEAD = 1_000  # bytes of a segment without its table
MAX_DELETED_LEDGERS = 4096  # ledgers of which the highest forgotten segment is remembered


@dataclass(slots=True)
class Segment:
    """One segment as this replica has it."""

    writer: Incarnation
    snapshot_size: int  # changes of its opening table; -1: the opening was never seen
    promised: Ballot
    last_used: int  # ns
    last_index: int = 0
    table: dict[str, bytes] = field(default_factory=dict)
    size: int = 0  # bytes, of the table
    accepted: Ballot | None = None
    decision: Decision | None = None
    decided: bool = False
    released: bool = False


class Replica:
    """All segments that this member keeps. ``is_alive``: whether an incarnation is held for alive."""

    def __init__(self, me: Incarnation, is_alive: Callable[[Incarnation], bool], rules: LedgerRules) -> None:
        self.me = me
        self._is_alive = is_alive
        self._memory_limit = rules.memory_mb << 20
        self.segments: dict[tuple[str, int], Segment] = {}
        self.deleted_up_to: OrderedDict[str, int] = OrderedDict()  # the highest forgotten segment of a ledger
        self.size = 0  # bytes
        self.counts: Counter[str] = Counter()
        self._sweep_at = NEVER

    def received(self, now: int, sender: Incarnation, message: Message) -> Message | None:
        """The answer to a message, for its sender."""
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
        """Applies what is next in order, all of it or nothing."""
        ledger, number = message.ledger, message.segment
        segment = self.segments.get((ledger, number))
        if segment is None:
            if self._is_deleted(ledger, number):
                return AppendReply(ledger, number, 0, ReplyStatus.UNKNOWN)
            if self.size >= self._memory_limit // 4 * 3:
                self.counts["opening refused"] += 1
                return AppendReply(ledger, number, 0, ReplyStatus.FULL)
            segment = self._create(now, ledger, number, sender, message.snapshot_size)
        if sender != segment.writer:
            # danger: a second writer's changes would be mixed with the first one's
            self.counts["another writer"] += 1
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
                self.counts["append refused"] += 1
                return AppendReply(ledger, number, segment.last_index, ReplyStatus.FULL)
            self._apply(segment, sender, new_changes)
        return AppendReply(ledger, number, segment.last_index)

    def seal(self, now: int, sender: Incarnation, message: Seal) -> Promise | None:
        """Promises, unless a higher ballot has the promise already."""
        ledger, number, ballot = message.ledger, message.segment, message.ballot
        if ballot.by != sender or ballot.round < 1:
            self.counts["foreign ballot"] += 1
            return None
        segment = self.segments.get((ledger, number))
        if segment is None:
            # danger: made sealed and empty only where a decided fate says that it exists and it never was
            # here; one that was forgotten held what this could not know
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
        """Accepts a fate, unless a higher ballot has the promise."""
        ledger, number, ballot = message.ledger, message.segment, message.ballot
        segment = self.segments.get((ledger, number))
        if ballot.by != sender or ballot.round < 1:
            self.counts["foreign ballot"] += 1
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
        """A page of a sealed table."""
        segment = self.segments.get((message.ledger, message.segment))
        if segment is None or segment.released or not self._is_sealed(segment):
            return None
        segment.last_used = now
        remaining = [Change(key, segment.table[key]) for key in sorted(segment.table) if key > message.after]
        page = next_batch(remaining, 0)
        return Page(message.ledger, message.segment, message.after, page, len(page) == len(remaining))

    def learn(self, now: int, message: Learn) -> LearnAck:
        """Notes a decided fate; drops the table where it is had elsewhere."""
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
        """Forgets a segment whose writer is owed nothing by it; not one that was sealed by another."""
        segment = self.segments.get((message.ledger, message.segment))
        if segment is not None and segment.writer == sender and not self._is_sealed(segment):
            self._delete(message.ledger, message.segment)
        return LearnAck(message.ledger, message.segment, True)

    def ticked(self, now: int) -> None:
        """Forgets what has lain long enough."""
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
