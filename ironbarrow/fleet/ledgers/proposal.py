"""One member's attempt to decide the fate of one segment by a ballot, as in single-decree Paxos. No input or
output.

Steps: SEALING (requests promises from the replicas), READING (reads the most complete table in pages), SEALED
(a majority has promised and the content is known; the caller now proposes a fate), DECIDING (requests
acceptance of the proposed fate), DECIDED. An attempt that is refused because of a higher ballot starts again
after a growing delay. The delay differs between members, so that competing proposals do not preempt each
other forever.
"""

import enum
from collections.abc import Iterable

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Ballot,
    Change,
    Decision,
    Incarnation,
    LedgerLocation,
    Send,
    rank,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.ledgers.messages import Accept, Accepted, Learn, Page, Promise, Read, ReplyStatus, Seal

# multiples of ``resend``: added to the delay if the replicas that have not refused could be a majority
_OTHERS_WAIT = 4


class Step(enum.Enum):
    """The progress of a proposal."""

    SEALING = 1
    READING = 2
    SEALED = 3
    DECIDING = 4
    DECIDED = 5


def majority(replicas: tuple[Incarnation, ...]) -> int:
    """The smallest number of these replicas that is more than half of them."""
    return len(replicas) // 2 + 1


class Proposal:
    """Seals a segment and gets a fate decided for it. ``writer``: see ``Seal``. ``read_table``: whether to
    read the segment's table as well."""

    def __init__(
        self,
        me: Incarnation,
        at: LedgerLocation,
        rules: LedgerRules,
        writer: Incarnation | None = None,
        read_table: bool = True,
    ) -> None:
        self.me, self.at, self.writer, self._read_table, self._rules = me, at, writer, read_table, rules
        self.step = Step.SEALING
        self.decision: Decision | None = None  # proposed (DECIDING) or decided (DECIDED)
        self.ballot = Ballot(0, me)
        self.segment_writer = writer  # as reported by the replicas
        self.table: dict[str, bytes] = {}
        self.complete = False  # ``table`` holds everything committed up to the end of this segment
        self.released = False  # a replica has deleted its table, because other members hold the content
        self.promises: dict[Incarnation, Promise] = {}
        self.without_segment: set[Incarnation] = set()  # replicas that replied UNKNOWN
        self._accepted_by: set[Incarnation] = set()  # replicas that replied OK to ``Accept``
        self._refused_by: set[Incarnation] = set()
        self._highest_round = 0  # of the ballots in refusals
        self._attempts = 0
        self._sends = 0  # requests sent since this step or page began
        self._read_from: Incarnation | None = None  # the replica whose table is read
        self._after = ""  # the last key that was read
        self._resend_at = NEVER
        self._retry_at = NEVER

    def start(self, now: int) -> list[Action]:
        """Requests promises under a ballot above all that have been seen."""
        self.ballot = Ballot(max(self._highest_round, self.ballot.round) + 1, self.me)
        self.step, self.decision = Step.SEALING, None
        self.promises.clear()
        self.without_segment.clear()
        self._accepted_by.clear()
        self._refused_by.clear()
        self._retry_at, self._sends = NEVER, 0
        return self._send_requests(now)

    def accepted_decision(self) -> Decision | None:
        """The decision that must be proposed again, because a replica reported it in its promise: the decided
        one if there is one, else the one accepted under the highest ballot. None: any may be proposed."""
        found = [p for p in self.promises.values() if p.decision is not None and p.accepted is not None]
        for promise in found:
            if promise.decided:
                return promise.decision
        return max(found, key=_accepted_ballot).decision if found else None

    def learn_message(self, release: bool) -> Learn:
        """The message that announces the decision; only in step DECIDED."""
        assert self.decision is not None
        known = [p.accepted for p in self.promises.values() if p.decided and p.accepted is not None]
        ballot = known[0] if known else self.ballot
        return Learn(self.at.ledger, self.at.segment, ballot, self.decision, release)

    def on_promise(self, now: int, sender: Incarnation, message: Promise) -> list[Action]:
        """Handles a reply to ``Seal``; continues when a majority has promised."""
        if sender not in self.at.replicas or message.ballot != self.ballot or self.step is not Step.SEALING:
            return []
        if message.status is ReplyStatus.UNKNOWN:
            self.without_segment.add(sender)
        elif message.status is ReplyStatus.SEALED:
            self._schedule_retry(now, sender, message.promised)
        elif message.status is ReplyStatus.OK:
            self.promises[sender] = message
            self.segment_writer = self.segment_writer or message.writer
            if len(self.promises) >= majority(self.at.replicas):
                return self._on_majority_promised(now)
        return []

    def on_page(self, now: int, sender: Incarnation, message: Page) -> list[Action]:
        """Adds a page to the table and requests the next one."""
        if self.step is not Step.READING or sender != self._read_from or message.after != self._after:
            return []
        _add_entries(self.table, message.changes)
        if message.last:
            self.step, self._resend_at = Step.SEALED, NEVER
            return []
        self._after, self._sends = message.changes[-1].key, 0
        return self._send_requests(now)

    def propose(self, now: int, value: Decision) -> list[Action]:
        """Requests acceptance of a decision; only in step SEALED. It must be ``accepted_decision()``, unless
        that is None."""
        self.decision = value
        if any(p.decided for p in self.promises.values()):
            self.step, self._resend_at = Step.DECIDED, NEVER
            return []
        self.step, self._sends = Step.DECIDING, 0
        self._refused_by.clear()
        return self._send_requests(now)

    def on_accepted(self, now: int, sender: Incarnation, message: Accepted) -> list[Action]:
        """Handles a reply to ``Accept``; the fate is decided when a majority has accepted it."""
        if sender not in self.at.replicas or message.ballot != self.ballot or self.step is not Step.DECIDING:
            return []
        if message.status is ReplyStatus.OK:
            self._accepted_by.add(sender)
            if len(self._accepted_by) >= majority(self.at.replicas):
                self.step, self._resend_at, self._retry_at = Step.DECIDED, NEVER, NEVER
        elif message.status is ReplyStatus.SEALED:
            self._schedule_retry(now, sender, message.promised)
        else:
            self.without_segment.add(sender)
        return []

    def ticked(self, now: int) -> list[Action]:
        """Starts a new round or resends requests, if that is due."""
        if now >= self._retry_at:
            return self.start(now)
        if now >= self._resend_at:
            if self.step is Step.READING:
                self._schedule_retry(now, None, None)
            return self._send_requests(now)
        return []

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns."""
        return min(self._resend_at, self._retry_at)

    def majority_lost(self, dead: Iterable[Incarnation]) -> bool:
        """Whether no majority can promise: too many replicas are dead or do not have the segment."""
        unavailable = self.without_segment.union(dead)
        return sum(replica not in unavailable for replica in self.at.replicas) < majority(self.at.replicas)

    def partial_table(self) -> dict[str, bytes]:
        """The most complete table received so far; it may lack committed changes."""
        best = max(self.promises.values(), key=_last_index_of, default=None)
        table = dict(self.table)
        if best is not None and best.table is not None:
            _add_entries(table, best.table)
        return table

    def _send_requests(self, now: int) -> list[Action]:
        """Sends the requests of this step to the replicas that have not replied."""
        at, sends = self.at, list[Action]()
        if self.step is Step.SEALING:
            message = Seal(at.ledger, at.segment, self.ballot, self.writer)
            sends = [
                Send(replica, message)
                for replica in at.replicas
                if replica not in self.promises and replica not in self.without_segment
            ]
        elif self.step is Step.DECIDING and self.decision is not None:
            accept = Accept(at.ledger, at.segment, self.ballot, self.decision)
            sends = [Send(replica, accept) for replica in at.replicas if replica not in self._accepted_by]
        elif self.step is Step.READING and self._read_from is not None:
            sends = [Send(self._read_from, Read(at.ledger, at.segment, self._after))]
        # exponential backoff: when many members have failed at once, most of these requests get no reply
        self._resend_at = now + (self._rules.resend << min(self._sends, 4))
        self._sends += 1
        return sends

    def _on_majority_promised(self, now: int) -> list[Action]:
        """A majority has promised, so the content of the segment is final."""
        best = max(sorted(self.promises), key=lambda replica: _last_index_of(self.promises[replica]))
        promise = self.promises[best]
        check(
            "what counted is in the content",
            len(self.promises) >= majority(self.at.replicas)
            and all(
                replica in self.at.replicas and p.last_index <= promise.last_index
                for replica, p in self.promises.items()
            ),
            ledger=self.at.ledger,
            segment=self.at.segment,
            last_index=promise.last_index,
        )
        self.released = any(p.released for p in self.promises.values())
        self.complete = 0 <= promise.snapshot_size <= promise.last_index and not self.released
        self.step, self._resend_at, self._retry_at = Step.SEALED, NEVER, NEVER
        self.table, self._after = {}, ""
        if not self._read_table or not self.complete:
            return []
        if promise.table is not None:
            _add_entries(self.table, promise.table)
            return []
        self.step, self._read_from = Step.READING, best
        return self._send_requests(now)

    def _schedule_retry(self, now: int, sender: Incarnation | None, promised: Ballot | None) -> None:
        """Schedules another round. The replicas that have not refused may be a majority by number and
        still not reply, because one of them is dead. Waiting for them without a limit would block the
        proposal, so they only get more time before the next round."""
        if promised is not None:
            self._highest_round = max(self._highest_round, promised.round)
        enough_left = False
        if sender is not None:
            if sender in self._refused_by:
                return  # a second refusal, of a request that was resent
            self._refused_by.add(sender)
            enough_left = len(self.at.replicas) - len(self._refused_by) >= majority(self.at.replicas)
        if self._retry_at == NEVER:
            self._attempts += 1
        max_delay = self._rules.resend << min(self._attempts, 5)
        seed = f"{self.at.ledger}/{self.at.segment}/{self._attempts}"
        delay = max_delay // 4 + rank(seed, str(self.me)) % max_delay
        if enough_left:
            delay += _OTHERS_WAIT * self._rules.resend
        self._retry_at = min(self._retry_at, now + delay)


def _accepted_ballot(promise: Promise) -> Ballot:
    assert promise.accepted is not None
    return promise.accepted


def _last_index_of(promise: Promise) -> int:
    return promise.last_index


def _add_entries(table: dict[str, bytes], changes: Iterable[Change]) -> None:
    for change in changes:
        if change.value is not None:
            table[change.key] = change.value
