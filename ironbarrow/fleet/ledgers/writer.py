"""The writer of one ledger: replicates appends, advances the commit index and replaces replicas. No input or
output.

States: *unplaced* (too few members for replicas), *opening* (the snapshot is sent to new replicas), *open*,
*moving* (the writer seals its own segment to continue in the next one; appends wait), *fenced* and *closed*
(both final). Only replies of the incarnations that were chosen as replicas count: a replica that has
restarted is another incarnation and has lost its data.
"""

from collections import Counter, deque
from collections.abc import Sequence
from typing import Protocol

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Change,
    Committed,
    Decision,
    Fate,
    Fenced,
    Health,
    Incarnation,
    LedgerLocation,
    Members,
    Moved,
    NoMajority,
    Send,
    job_ledger,
    rank,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.ledgers.messages import (
    MAX_CHANGE_BYTES,
    Accepted,
    Append,
    AppendReply,
    Close,
    Learn,
    Page,
    Promise,
    ReplyStatus,
    entry_size,
    next_batch,
)
from ironbarrow.fleet.ledgers.proposal import Proposal, Step, majority

# of the changes kept for slow replicas, besides the snapshot; beyond it the slowest replica is excluded
MAX_TAIL_BYTES = 4 << 20
AVOID_MULTIPLE = 8  # multiples of ``replace_after``: how long a lost replica is not chosen again
UPGRADE_MULTIPLE = 10  # multiples of ``replace_after``: when to move to better replicas although none is lost
# multiples of ``resend``: the same with fewer replicas than configured. Two replicas tolerate no failure, and
# a writer that started when it knew few members would otherwise stay with that few
REFILL_MULTIPLE = 2


class WriterHost(Protocol):
    """The services of its member that a writer uses."""

    def choose_replicas(
        self, ledger: str, avoid: frozenset[Incarnation] = frozenset()
    ) -> tuple[Incarnation, ...]:
        """Chooses replicas for a ledger; empty if there are too few members."""

    def notify(self, now: int, incarnations: Sequence[Incarnation], message: Learn | Close) -> list[Action]:
        """Sends a message to incarnations, and again until each has acknowledged it."""


class ReplicaProgress:
    """The replication state of one replica."""

    __slots__ = ("acked", "excluded", "gap_at", "sent", "sent_at", "unacked_since")

    def __init__(self) -> None:
        self.acked = -1  # index of the last change acknowledged; -1: no reply yet
        self.sent = 0  # index of the last change sent
        self.sent_at = 0  # when, ns
        self.unacked_since = NEVER  # ns: since when it owes a reply
        self.gap_at = -1  # ``acked`` when changes were last resent because of a gap
        self.excluded = False  # it refused or is too slow: nothing more of this segment is sent to it


class Writer:
    """Writes one ledger. ``table``: the content of an existing ledger that this member begins to lead; None
    for a new ledger."""

    def __init__(
        self,
        me: Incarnation,
        at: LedgerLocation,
        members: Members,
        rules: LedgerRules,
        host: WriterHost,
        table: dict[str, bytes] | None = None,
    ) -> None:
        self.me, self.at, self._members, self._rules, self._host = me, at, members, rules, host
        self.table: dict[str, bytes] = dict(table or {})
        self.seq = 0  # of the last change appended
        self.committed_seq = 0  # of the last change that a majority of the replicas has
        self.opened = False  # a majority has the snapshot of this segment
        self.last_opened: LedgerLocation | None = None  # the last opened segment: where a recovery starts
        self.ended = False  # fenced or closed
        self.counts: Counter[str] = Counter()
        self._led_content = dict(table) if table is not None else None  # reported by ``Moved``
        self._moved_due = table is not None  # report ``Moved`` when the segment is opened
        self._previous: list[Proposal] = []  # earlier segments, to release when this one is opened
        self._proposal: Proposal | None = None  # set while moving
        self._avoid_until: dict[Incarnation, int] = {}  # by lost replica, ns
        self._without_majority = False  # ``NoMajority`` has been reported
        self._rival_seal_at = NEVER  # when another member's seal was noticed
        self._upgrade_at = NEVER
        self._due = NEVER

    @property
    def ready(self) -> bool:
        """Whether it accepts appends; a led ledger does so once its content has been reported by
        ``Moved``."""
        return self._led_content is None

    # Commands

    def open(self, now: int) -> list[Action]:
        """Opens the segment at its replicas, with the present table as its snapshot."""
        self.opened = False
        self._proposal, self._rival_seal_at = None, NEVER
        self.replica_progress = {replica: ReplicaProgress() for replica in self.at.replicas}
        self._tail = [Change(key, value) for key, value in self.table.items()]
        self._tail_bytes = sum(entry_size(c.key, c.value or b"") for c in self._tail)
        self._max_tail_bytes = MAX_TAIL_BYTES + self._tail_bytes
        self._tail_first_index = 1  # index of the first change in the tail
        self.snapshot_size = self.last_index = len(self._tail)
        self._seq_offset = (
            self.seq - self.snapshot_size
        )  # index in this segment + offset = number in the ledger
        # last index of an append that is not committed, and since when it waits
        self._uncommitted: deque[tuple[int, int]] = deque([(self.snapshot_size, now)])
        self._upgrade_at = now + UPGRADE_MULTIPLE * self._rules.replace_after
        self._replace_check_at = now + self._rules.replace_after
        if len(self.at.replicas) < self._rules.replicas:
            self._upgrade_at = self._replace_check_at = now + REFILL_MULTIPLE * self._rules.resend
        actions = self._flush(now, force=True)
        self._due = self._next_due(now)
        return actions

    def append(self, now: int, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        """Appends changes and returns the number of the last one. They are sent at once if no append is
        pending, else with the next ``ticked``. A ValueError for a change of more than
        ``MAX_CHANGE_BYTES``."""
        for change in changes:
            if len(change.key) + len(change.value or b"") > MAX_CHANGE_BYTES:
                raise ValueError(f"{change.key[:80]!r}: larger than {MAX_CHANGE_BYTES} bytes")
        idle = not self._uncommitted
        for change in changes:
            if change.value is None:
                self.table.pop(change.key, None)
            else:
                self.table[change.key] = change.value
            if self._proposal is None and self.at.replicas:
                self._tail.append(change)
                self._tail_bytes += entry_size(change.key, change.value or b"")
        self.last_index += len(changes)
        self.seq += len(changes)
        if changes:
            self._uncommitted.append((self.last_index, now))
        if self._proposal is not None or not self.at.replicas:
            return self.seq, []  # the next segment's snapshot will hold them
        if self._tail_bytes > self._max_tail_bytes:
            self._trim_tail(now)
        if idle:
            actions = self._flush(now)
            self._due = min(self._due, self._next_due(now))
            return self.seq, actions
        self._due = now
        return self.seq, []

    def close(self, now: int) -> list[Action]:
        """Closes the ledger; its replicas may delete it."""
        self.ended = True
        actions = self._host.notify(now, self.at.replicas, Close(self.at.ledger, self.at.segment))
        return actions + self._release_previous(now)

    # Messages

    def on_append_reply(self, now: int, sender: Incarnation, message: AppendReply) -> list[Action]:
        """Handles a replica's reply to ``Append``."""
        progress = self.replica_progress.get(sender)
        if progress is None or message.segment != self.at.segment:
            return []
        if message.status is ReplyStatus.SEALED:
            if message.decision is not None:
                return self._on_decided(now, message.decision)
            if (
                message.promised is not None
                and message.promised.by != self.me
                and self._rival_seal_at == NEVER
            ):
                self._rival_seal_at = now
            self._record_ack(now, progress, max(progress.acked, message.last_index))
            self._due = min(self._due, self._next_due(now))
            return self._advance_commit(now)
        if message.status in (ReplyStatus.FULL, ReplyStatus.UNKNOWN):
            progress.excluded = True
            self._due = now
            return []
        acked_before = progress.acked
        self._record_ack(now, progress, max(progress.acked, message.last_index))
        actions: list[Action] = []
        # to a delayed GAP of a replica that has since caught up nothing would be resent, so that no reply
        # would ever reset ``unacked_since``
        behind = progress.acked < self.last_index
        if (
            message.status is ReplyStatus.GAP
            and behind
            and message.last_index == progress.acked != progress.gap_at
        ):
            # without ``gap_at`` each reordered message would cause everything after the gap to be resent
            progress.gap_at, progress.sent = message.last_index, max(progress.acked, 0)
            progress.unacked_since = now
        if progress.acked > acked_before:
            actions += self._advance_commit(now)
            self._trim_tail(now)
        if not self.ended:
            actions += self._flush(now)
            self._due = min(self._due, self._next_due(now))
        return actions

    def on_seal_reply(
        self, now: int, sender: Incarnation, message: Promise | Accepted | Page
    ) -> list[Action]:
        """Handles a reply to the writer's own proposal."""
        proposal = self._proposal
        if proposal is None or message.segment != self.at.segment:
            return []
        if isinstance(message, Promise):
            actions = proposal.on_promise(now, sender, message)
        elif isinstance(message, Accepted):
            actions = proposal.on_accepted(now, sender, message)
        else:
            return []
        return actions + self._advance_proposal(now)

    def on_learn(self, now: int, message: Learn) -> list[Action]:
        """Handles a fate that another member announces."""
        return self._on_decided(now, message.decision) if message.segment == self.at.segment else []

    # Time

    def ticked(self, now: int) -> list[Action]:
        """Does what is due: resends, replaces replicas, and reports a missing majority."""
        actions: list[Action] = []
        if now >= self._due:
            if not self.at.replicas:
                replicas = self._host.choose_replicas(self.at.ledger)
                if replicas:
                    self.at = LedgerLocation(self.at.ledger, self.at.segment, replicas)
                    since = self._uncommitted[0][1]
                    actions += self.open(now)
                    self._uncommitted[0] = (self.snapshot_size, since)
            elif self._proposal is not None:
                if self._proposal.next_at() <= now:
                    actions += self._proposal.ticked(now)
                actions += self._advance_proposal(now)
            else:
                actions += self._flush(now, resend=True)
                actions += self._replace_replicas(now)
            if not self.ended:
                actions += self._check_majority(now)
                self._due = self._next_due(now)
        return actions

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns."""
        return self._due

    # Internals

    def _record_ack(self, now: int, progress: ReplicaProgress, index: int) -> None:
        progress.acked = index
        progress.sent = max(progress.sent, index)
        progress.unacked_since = now if progress.sent > index else NEVER

    def _flush(self, now: int, *, resend: bool = False, force: bool = False) -> list[Action]:
        """Sends each replica the changes that it has not been sent, or with ``resend`` those that it has not
        acknowledged in time. ``force``: sends the snapshot even if it is empty."""
        actions: list[Action] = []
        if self._proposal is not None:
            return actions  # while moving the tail is empty; the next replicas get the whole table
        messages: dict[int, Append] = {}
        rules = self._rules
        if self._proposal is not None:
            return actions  # changes appended while moving belong to the next segment's snapshot only
        for replica, progress in self.replica_progress.items():
            if progress.excluded:
                continue
            overdue = resend and progress.unacked_since != NEVER and now - progress.sent_at >= rules.resend
            if overdue:
                progress.sent = max(progress.acked, 0)
            opening = force or (overdue and progress.acked < 0)
            while progress.sent < self.last_index or opening:
                opening = False
                first = progress.sent + 1
                message = messages.get(first)
                if message is None:
                    changes = next_batch(self._tail, first - self._tail_first_index)
                    message = Append(self.at.ledger, self.at.segment, self.snapshot_size, first, changes)
                    messages[first] = message
                if not message.changes and progress.sent < self.last_index:
                    # the changes that it lacks have been trimmed from the tail; it would report the gap
                    # forever
                    progress.excluded, self._due = True, now
                    break
                actions.append(Send(replica, message))
                progress.sent += len(message.changes)
                progress.sent_at = now
                if progress.unacked_since == NEVER:
                    progress.unacked_since = now
                if overdue:
                    break  # a replica that does not reply gets one message at a time
        return actions

    def _advance_commit(self, now: int) -> list[Action]:
        """Reports the changes that a majority of the replicas has acknowledged."""
        acked = sorted((progress.acked for progress in self.replica_progress.values()), reverse=True)
        committed = acked[majority(self.at.replicas) - 1]
        actions: list[Action] = []
        if committed < self.snapshot_size:
            return actions
        while self._uncommitted and self._uncommitted[0][0] <= committed:
            self._uncommitted.popleft()
        if not self.opened:
            self.opened, self.last_opened = True, self.at
            actions += self._release_previous(now)
            if self._moved_due:
                actions.append(Moved(self.at, self._led_content))
                self._moved_due, self._led_content = False, None
        if committed + self._seq_offset > self.committed_seq:
            self.committed_seq = committed + self._seq_offset
            actions.append(Committed(self.at.ledger, self.committed_seq))
        return actions + self._check_majority(now)

    def _check_majority(self, now: int) -> list[Action]:
        """Reports when no majority replies in time, and when one does again."""
        overdue = bool(self._uncommitted) and now - self._uncommitted[0][1] >= self._rules.wait
        if overdue == self._without_majority:
            return []
        self._without_majority = overdue
        return [NoMajority(self.at.ledger, restored=not overdue)]

    def _trim_tail(self, now: int) -> None:
        """Removes the changes that all replicas have from the tail; excludes the slowest replica while the
        tail is too large."""
        while True:
            active = [progress for progress in self.replica_progress.values() if not progress.excluded]
            lowest = min((max(progress.acked, 0) for progress in active), default=self.last_index)
            acknowledged = lowest + 1 - self._tail_first_index
            if acknowledged > 0:
                removed = self._tail[:acknowledged]
                self._tail_bytes -= sum(entry_size(c.key, c.value or b"") for c in removed)
                del self._tail[:acknowledged]
                self._tail_first_index += acknowledged
            if self._tail_bytes <= self._max_tail_bytes or not active:
                return
            min(active, key=lambda progress: progress.acked).excluded = True
            self.counts["slow replica excluded"] += 1
            self._due = now

    def _lost_replicas(self, now: int) -> tuple[set[Incarnation], set[Incarnation]]:
        """The replicas to be replaced, and those of them that can't reply to a seal."""
        silence_limit = self._rules.replace_after
        lost, unreachable = set(), set()
        for replica, progress in self.replica_progress.items():
            dead = replica != self.me and self._members.health(replica) in (Health.DEAD, Health.LEFT)
            silent = progress.unacked_since != NEVER and now - progress.unacked_since >= silence_limit
            if dead or silent or progress.excluded:
                lost.add(replica)
                self._avoid_until[replica] = now + AVOID_MULTIPLE * silence_limit
            if dead or (silent and not progress.excluded):
                unreachable.add(replica)
        return lost, unreachable

    def _avoided(self, now: int) -> frozenset[Incarnation]:
        """The incarnations that are not to be chosen at present."""
        self._avoid_until = {
            incarnation: until for incarnation, until in self._avoid_until.items() if until > now
        }
        return frozenset(self._avoid_until)

    def _next_replicas(self, now: int) -> tuple[Incarnation, ...]:
        """The replicas of the next segment. Fewer replicas tolerate fewer failures, so if there are too few
        other members, present replicas that are slow but not considered dead stay. This member itself is
        added only to make the number odd."""
        chosen = [
            candidate
            for candidate in self._host.choose_replicas(self.at.ledger, self._avoided(now))
            if candidate != self.me
        ]
        for replica in self.at.replicas:
            health = self._members.health(replica)
            slow = replica not in (self.me, *chosen) and health in (Health.ALIVE, Health.SUSPECT)
            if slow and len(chosen) < self._rules.replicas:
                chosen.append(replica)
        if chosen and len(chosen) < self._rules.replicas and len(chosen) % 2 == 0:
            chosen.append(self.me)
        return tuple(chosen) or self.at.replicas

    def _replace_replicas(self, now: int) -> list[Action]:
        """Seals the writer's own segment, to continue in the next one, if replicas are lost and can be
        replaced, if better ones are available, or if another member's seal has not led to a decision in
        time."""
        too_few = len(self.at.replicas) < self._rules.replicas
        self._replace_check_at = now + (
            REFILL_MULTIPLE * self._rules.resend if too_few else self._rules.replace_after
        )
        rival_timed_out = (
            self._rival_seal_at != NEVER and now >= self._rival_seal_at + self._rival_seal_timeout()
        )
        lost, unreachable = self._lost_replicas(now)
        if lost:
            # a new member may be available at any time, and until then the next loss could cost the majority
            self._replace_check_at = now + REFILL_MULTIPLE * self._rules.resend
        if not rival_timed_out:
            if len(self.replica_progress) - len(unreachable) < majority(self.at.replicas):
                # without a majority a seal can't be decided; it would only make the remaining replicas refuse
                # appends
                return self._skip_segment(now)
            chosen = set(self._next_replicas(now))
            current = set(self.at.replicas)
            majority_remains = len(current - lost - {self.me}) >= majority(self.at.replicas)
            if lost and not chosen - current and (majority_remains or not chosen):
                return []
            if not lost:
                improved = len(chosen) > len(current) or (
                    self.me in current - chosen and len(chosen) == len(current)
                )
                if not improved or now < self._upgrade_at:
                    return []
        self._proposal = Proposal(self.me, self.at, self._rules, read_table=False)
        self._tail, self._tail_bytes, self._tail_first_index = [], 0, self.last_index + 1
        return self._proposal.start(now)

    def _skip_segment(self, now: int) -> list[Action]:
        """Continues in the next segment without a seal, if it is proven that nobody can ever seal this one:
        so many replicas have terminated that the others are no majority. Without this, a writer whose
        replicas all restart at once could never write again.

        A replica that is considered dead may still be alive. Only a newer incarnation of its name, or its
        announced departure, proves that it has terminated."""
        if self.table or not self.at.ledger.startswith(job_ledger(self.me)):
            # the fate may have been decided before the replicas terminated, without the writer learning of
            # it: another member may own the content by now, or write the ledger if it is a led one
            return []
        terminated = {
            replica for replica in self.at.replicas if replica != self.me and self._has_terminated(replica)
        }
        if len(self.at.replicas) - len(terminated) >= majority(self.at.replicas):
            return []
        chosen = self._host.choose_replicas(self.at.ledger, frozenset(self._avoided(now) | terminated))
        if not chosen:
            return []
        self.at = LedgerLocation(self.at.ledger, self.at.segment + 1, chosen)
        self._moved_due = True
        self.counts["segment skipped"] += 1
        waiting_since = self._uncommitted[0][1] if self._uncommitted else now
        actions = self.open(now)
        self._uncommitted[0] = (self.snapshot_size, waiting_since)
        return actions

    def _has_terminated(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation has left, or a newer one of its name is known."""
        card = self._members.card(incarnation.name)
        left = self._members.health(incarnation) is Health.LEFT
        return left or (card is not None and card.incarnation.start > incarnation.start)

    def _rival_seal_timeout(self) -> int:
        """How long another member that has sealed the segment may take to get a fate decided, ns; after that
        the writer seals the segment itself. Differs between ledgers."""
        timeout = self._rules.replace_after
        return timeout + rank(f"{self.at.ledger}/{self.at.segment}", str(self.me)) % (timeout // 2)

    def _advance_proposal(self, now: int) -> list[Action]:
        """Continues the writer's own proposal as far as its step allows."""
        proposal = self._proposal
        actions: list[Action] = []
        if proposal is None:
            return actions
        if proposal.step is Step.SEALED:
            decision = proposal.accepted_decision()
            if decision is None:
                decision = Decision(Fate.MOVED, self.me, self._next_replicas(now))
            actions += proposal.propose(now, decision)
        if proposal.step is Step.DECIDED and proposal.decision is not None:
            actions += self._on_decided(now, proposal.decision)
        self._due = min(self._due, self._next_due(now))
        return actions

    def _on_decided(self, now: int, decision: Decision) -> list[Action]:
        """Acts on the decided fate of the segment: ends, or opens the next segment."""
        proposal = self._proposal
        if decision.fate is Fate.CLAIMED or decision.by != self.me:
            self.ended = True
            return [Fenced(self.at.ledger, decision.by)]
        if proposal is None or proposal.step is not Step.DECIDED:
            return []  # decided by an earlier round of its own: the proposal will learn of it
        self._previous.append(proposal)
        self.at = LedgerLocation(self.at.ledger, self.at.segment + 1, decision.replicas)
        self._moved_due = True
        self.counts["moved"] += 1
        waiting_since = self._uncommitted[0][1] if self._uncommitted else now
        actions = self.open(now)
        self._uncommitted[0] = (self.snapshot_size, waiting_since)
        return actions

    def open_as_leader(self, now: int, previous: list[Proposal]) -> list[Action]:
        """Opens the segment of a ledger that this member begins to lead; ``previous``: earlier segments to
        release."""
        self._previous = previous
        return self.open(now)

    def _release_previous(self, now: int) -> list[Action]:
        """Releases the tables of the earlier segments, whose content this segment holds."""
        previous, self._previous = self._previous, []
        return [
            action
            for proposal in previous
            for action in self._host.notify(now, proposal.at.replicas, proposal.learn_message(True))
        ]

    def _next_due(self, now: int) -> int:
        """When ``ticked`` has something to do, ns."""
        if not self.at.replicas:
            return now + self._rules.resend
        due = NEVER
        if self._proposal is not None:
            due = self._proposal.next_at()
        else:
            for progress in self.replica_progress.values():
                if progress.excluded:
                    continue
                if progress.unacked_since != NEVER:
                    due = min(due, max(progress.sent_at + self._rules.resend, now + 1))
                elif progress.sent < self.last_index:
                    due = now
            due = min(due, max(self._replace_check_at, now + 1))
        if self._uncommitted and not self._without_majority:
            due = min(due, max(self._uncommitted[0][1] + self._rules.wait, now + 1))
        if self._rival_seal_at != NEVER and self._proposal is None:
            due = min(due, max(self._rival_seal_at + self._rival_seal_timeout(), now + 1))
        return due
