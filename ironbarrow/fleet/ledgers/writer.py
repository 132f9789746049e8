"""The writer of one ledger: appends, counts what a majority has, changes replicas. No input or output.

States: *unplaced* (too few incarnations), *opening* (its table goes to new replicas), *open*, *moving* (its
own seal and ``MOVED`` are under way; appends wait), *fenced* and *closed* (it ends). Other incarnations than
its replicas are never counted: a replica that starts again is another incarnation.
"""

from collections import Counter, deque
from collections.abc import Sequence
from typing import Protocol

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Change,
    Decision,
    Fate,
    Fenced,
    Health,
    Incarnation,
    Kept,
    LedgerAt,
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

MAX_TAIL_BYTES = 4 << 20  # bytes of changes kept for replicas that lag: beyond, the slowest gets no more
AVOID_MULTIPLE = 8  # times ``replace_after``: so long a replica that was silent is not chosen again
UPGRADE_MULTIPLE = 10  # times ``replace_after``: so soon better replicas are moved to, though none is lost
# danger: of two replicas none may be lost, and who starts with the first one it hears of would stay with two
REFILL_MULTIPLE = 2  # times ``resend``: so soon where there are fewer than are wanted


class WriterHost(Protocol):
    """What a writer needs of the member that it is part of."""

    def choose_replicas(
        self, ledger: str, avoid: frozenset[Incarnation] = frozenset()
    ) -> tuple[Incarnation, ...]:
        """Replicas for a ledger; empty if there are too few incarnations."""

    def notify(self, now: int, incarnations: Sequence[Incarnation], message: Learn | Close) -> list[Action]:
        """Tells incarnations of a fate until they have heard it."""


class ReplicaProgress:
    """How far a replica has come, as the writer sees it."""

    __slots__ = ("acked", "excluded", "gap_at", "sent", "sent_at", "unacked_since")

    def __init__(self) -> None:
        self.acked = -1  # -1: it has not answered at all
        self.sent = 0
        self.sent_at = 0  # ns
        self.unacked_since = NEVER  # ns: it owes an answer since then
        self.gap_at = -1
        self.excluded = False  # it refused, or lags too far: it gets nothing more of this segment


class Writer:
    """``table``, ``offset``: what the ledger holds already, as its change with that number left it."""

    def __init__(
        self,
        me: Incarnation,
        at: LedgerAt,
        members: Members,
        rules: LedgerRules,
        home: WriterHost,
        table: dict[str, bytes] | None = None,
    ) -> None:
        self.me, self.at, self._members, self._rules, self._host = me, at, members, rules, home
        self.table: dict[str, bytes] = dict(table or {})
        self.seq = 0  # of the last change appended
        self.committed_seq = 0
        self.opened = False  # a majority has the opening of this segment
        self.last_opened: LedgerAt | None = (
            None  # the last segment that was opened: where others begin to look
        )
        self.ended = False
        self.counts: Counter[str] = Counter()
        self._led_content = dict(table) if table is not None else None  # told when it is opened
        self._moved_due = table is not None  # ``Moved`` is due when it is opened
        self._previous: list[Proposal] = []  # segments before, whose tables go when this one is opened
        self._proposal: Proposal | None = None  # moving
        self._avoid_until: dict[Incarnation, int] = {}  # until when, ns
        self._majority_late = False  # ``NoMajority`` has been told
        self._rival_seal_at = NEVER  # another has sealed it
        self._upgrade_at = NEVER
        self._due = NEVER

    @property
    def ready(self) -> bool:
        """It may be appended to: not before a ledger that is led has been told of."""
        return self._led_content is None

    # Orders

    def open(self, now: int) -> list[Action]:
        """Opens the segment at its replicas with the table as it is."""
        self.opened = False
        self._proposal, self._rival_seal_at = None, NEVER
        self.replica_progress = {replica: ReplicaProgress() for replica in self.at.replicas}
        self._tail = [Change(key, value) for key, value in self.table.items()]
        self._tail_bytes = sum(entry_size(c.key, c.value or b"") for c in self._tail)
        self._max_tail_bytes = MAX_TAIL_BYTES + self._tail_bytes
        self._tail_first_index = 1  # number of the tail's first change
        self.snapshot_size = self.last_index = len(self._tail)
        self._seq_offset = (
            self.seq - self.snapshot_size
        )  # from numbers of this segment to those of the ledger
        self._uncommitted: deque[tuple[int, int]] = deque(
            [(self.snapshot_size, now)]
        )  # number, since when: not yet kept
        self._upgrade_at = now + UPGRADE_MULTIPLE * self._rules.replace_after
        self._replace_check_at = now + self._rules.replace_after
        if len(self.at.replicas) < self._rules.replicas:
            self._upgrade_at = self._replace_check_at = now + REFILL_MULTIPLE * self._rules.resend
        actions = self._flush(now, force=True)
        self._due = self._next_due(now)
        return actions

    def append(self, now: int, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        """Takes changes in; they go out at once if nothing is under way, or with the next ``ticked``. A
        ValueError for one that is over ``CHANGE_MOST``."""
        for change in changes:
            if len(change.key) + len(change.value or b"") > MAX_CHANGE_BYTES:
                raise ValueError(f"{change.key[:80]!r}: over {MAX_CHANGE_BYTES} bytes")
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
            return self.seq, []  # the whole table goes to the next replicas
        if self._tail_bytes > self._max_tail_bytes:
            self._trim_tail(now)
        if idle:
            actions = self._flush(now)
            self._due = min(self._due, self._next_due(now))
            return self.seq, actions
        self._due = now
        return self.seq, []

    def close(self, now: int) -> list[Action]:
        """Ends it: its replicas may forget."""
        self.ended = True
        actions = self._host.notify(now, self.at.replicas, Close(self.at.ledger, self.at.segment))
        return actions + self._release_previous(now)

    # Messages

    def on_append_reply(self, now: int, sender: Incarnation, message: AppendReply) -> list[Action]:
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
        before = progress.acked
        self._record_ack(now, progress, max(progress.acked, message.last_index))
        actions: list[Action] = []
        # danger: a late one of a replica that has all by now would have it owe an answer for ever
        behind = progress.acked < self.last_index
        if (
            message.status is ReplyStatus.GAP
            and behind
            and message.last_index == progress.acked != progress.gap_at
        ):
            # danger: without this memory every change that overtook another would bring the rest again
            progress.gap_at, progress.sent = message.last_index, max(progress.acked, 0)
            progress.unacked_since = now
        if progress.acked > before:
            actions += self._advance_commit(now)
            self._trim_tail(now)
        if not self.ended:
            actions += self._flush(now)
            self._due = min(self._due, self._next_due(now))
        return actions

    def on_seal_reply(
        self, now: int, sender: Incarnation, message: Promise | Accepted | Page
    ) -> list[Action]:
        """An answer to its own seal."""
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
        """Another tells a fate."""
        return self._on_decided(now, message.decision) if message.segment == self.at.segment else []

    # Time

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        if now >= self._due:
            if not self.at.replicas:
                replicas = self._host.choose_replicas(self.at.ledger)
                if replicas:
                    self.at = LedgerAt(self.at.ledger, self.at.segment, replicas)
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
        return self._due

    # Inside

    def _record_ack(self, now: int, progress: ReplicaProgress, index: int) -> None:
        progress.acked = index
        progress.sent = max(progress.sent, index)
        progress.unacked_since = now if progress.sent > index else NEVER

    def _flush(self, now: int, *, resend: bool = False, force: bool = False) -> list[Action]:
        """Sends each replica what it has not been sent, or (``resend``) not acknowledged in time."""
        actions: list[Action] = []
        if self._proposal is not None:
            return actions  # danger: the tail is gone by then, the whole table goes to the next replicas
        messages: dict[int, Append] = {}
        rules = self._rules
        if self._proposal is not None:
            return actions  # danger: what is appended from here on is in the next segment's opening alone
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
                    # danger: what it lacks is no longer here; asked for again and again this never ends
                    progress.excluded, self._due = True, now
                    break
                actions.append(Send(replica, message))
                progress.sent += len(message.changes)
                progress.sent_at = now
                if progress.unacked_since == NEVER:
                    progress.unacked_since = now
                if overdue:
                    break  # one message at a time to one that does not answer
        return actions

    def _advance_commit(self, now: int) -> list[Action]:
        """Tells what a majority has now."""
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
            actions.append(Kept(self.at.ledger, self.committed_seq))
        return actions + self._check_majority(now)

    def _check_majority(self, now: int) -> list[Action]:
        """Tells when no majority answers in time, and when one does again."""
        overdue = bool(self._uncommitted) and now - self._uncommitted[0][1] >= self._rules.wait
        if overdue == self._majority_late:
            return []
        self._majority_late = overdue
        return [NoMajority(self.at.ledger, back=not overdue)]

    def _trim_tail(self, now: int) -> None:
        """Forgets the tail that every replica has; a replica that lags too far is given up."""
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
            self.counts["lagged"] += 1
            self._due = now

    def _lost_replicas(self, now: int) -> tuple[set[Incarnation], set[Incarnation]]:
        """Replicas that are to be replaced, and those that can't be asked for a promise."""
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
        self._avoid_until = {
            incarnation: until for incarnation, until in self._avoid_until.items() if until > now
        }
        return frozenset(self._avoid_until)

    def _next_replicas(self, now: int) -> tuple[Incarnation, ...]:
        """Danger: of fewer replicas fewer may be lost. Where too few others can be had, present ones that are
        slow, and not held for dead, stay; this member again only where that makes the number odd."""
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
        """Seals its own segment where replicas are lost and others can be had, or another's seal has come to
        nothing."""
        too_few = len(self.at.replicas) < self._rules.replicas
        self._replace_check_at = now + (
            REFILL_MULTIPLE * self._rules.resend if too_few else self._rules.replace_after
        )
        rival_timed_out = (
            self._rival_seal_at != NEVER and now >= self._rival_seal_at + self._rival_seal_timeout()
        )
        lost, unreachable = self._lost_replicas(now)
        if lost:  # another may come at any time, and until then the next loss is one too many
            self._replace_check_at = now + REFILL_MULTIPLE * self._rules.resend
        if not rival_timed_out:
            if len(self.replica_progress) - len(unreachable) < majority(self.at.replicas):
                # danger: a seal that can't be decided would stop those that still answer
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
        """Goes on in the next segment without a seal, where it is proven that nobody can ever seal this one:
        fewer replicas than a majority can still be the incarnations that they were. Without this a writer
        whose replicas start again all at once would write nothing more.

        Danger: that a replica is held for dead proves nothing; that another incarnation has its name, or that
        it has left, does."""
        if self.table or not self.at.ledger.startswith(job_ledger(self.me)):
            # danger: the fate may have been decided before the replicas went, and the writer not have heard
            # of it: what the segment held may be another's by now, and a led ledger another's to write
            return []
        terminated = {
            replica for replica in self.at.replicas if replica != self.me and self._has_terminated(replica)
        }
        if len(self.at.replicas) - len(terminated) >= majority(self.at.replicas):
            return []
        chosen = self._host.choose_replicas(self.at.ledger, frozenset(self._avoided(now) | terminated))
        if not chosen:
            return []
        self.at = LedgerAt(self.at.ledger, self.at.segment + 1, chosen)
        self._moved_due = True
        self.counts["left behind"] += 1
        waiting_since = self._uncommitted[0][1] if self._uncommitted else now
        actions = self.open(now)
        self._uncommitted[0] = (self.snapshot_size, waiting_since)
        return actions

    def _has_terminated(self, incarnation: Incarnation) -> bool:
        card = self._members.card(incarnation.name)
        left = self._members.health(incarnation) is Health.LEFT
        return left or (card is not None and card.incarnation.start > incarnation.start)

    def _rival_seal_timeout(self) -> int:
        """Another that seals has so long to decide before the writer seals itself."""
        timeout = self._rules.replace_after
        return timeout + rank(f"{self.at.ledger}/{self.at.segment}", str(self.me)) % (timeout // 2)

    def _advance_proposal(self, now: int) -> list[Action]:
        """Goes on with its own seal."""
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
        """The segment's fate is decided."""
        proposal = self._proposal
        if decision.fate is Fate.CLAIMED or decision.by != self.me:
            self.ended = True
            return [Fenced(self.at.ledger, decision.by)]
        if proposal is None or proposal.step is not Step.DECIDED:
            return []  # an earlier try of its own: its proposal will find it
        self._previous.append(proposal)
        self.at = LedgerAt(self.at.ledger, self.at.segment + 1, decision.replicas)
        self._moved_due = True
        self.counts["moved"] += 1
        waiting_since = self._uncommitted[0][1] if self._uncommitted else now
        actions = self.open(now)
        self._uncommitted[0] = (self.snapshot_size, waiting_since)
        return actions

    def open_as_leader(self, now: int, previous: list[Proposal]) -> list[Action]:
        """Opens a ledger that this member leads from here on."""
        self._previous = previous
        return self.open(now)

    def _release_previous(self, now: int) -> list[Action]:
        """The segments before have nothing that this one has not: their tables may go."""
        previous, self._previous = self._previous, []
        return [
            a
            for proposal in previous
            for a in self._host.notify(now, proposal.at.replicas, proposal.learn_message(True))
        ]

    def _next_due(self, now: int) -> int:
        """When something is due."""
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
        if self._uncommitted and not self._majority_late:
            due = min(due, max(self._uncommitted[0][1] + self._rules.wait, now + 1))
        if self._rival_seal_at != NEVER and self._proposal is None:
            due = min(due, max(self._rival_seal_at + self._rival_seal_timeout(), now + 1))
        return due
