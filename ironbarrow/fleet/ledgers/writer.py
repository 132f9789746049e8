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
    CHANGE_MOST,
    Accepted,
    Answer,
    Append,
    Appended,
    Close,
    Learn,
    Page,
    Promise,
    size_of,
    within,
)
from ironbarrow.fleet.ledgers.proposal import Proposal, Step, majority

TAIL_MOST = 4 << 20  # bytes of changes kept for replicas that lag: beyond, the slowest gets no more
AVOID_FOR = 8  # times ``replace_after``: so long a replica that was silent is not chosen again
IMPROVE_AFTER = 10  # times ``replace_after``: so soon better replicas are moved to, though none is lost
# danger: of two replicas none may be lost, and who starts with the first one it hears of would stay with two
FILL_AFTER = 2  # times ``resend``: so soon where there are fewer than are wanted


class Home(Protocol):
    """What a writer needs of the member that it is part of."""

    def choose(self, ledger: str, avoid: frozenset[Incarnation] = frozenset()) -> tuple[Incarnation, ...]:
        """Replicas for a ledger; empty if there are too few incarnations."""

    def tell(self, now: int, incarnations: Sequence[Incarnation], learn: Learn | Close) -> list[Action]:
        """Tells incarnations of a fate until they have heard it."""


class ReplicaProgress:
    """How far a replica has come, as the writer sees it."""

    __slots__ = ("acked", "gap_at", "out", "sent", "sent_at", "waits_since")

    def __init__(self) -> None:
        self.acked = -1  # -1: it has not answered at all
        self.sent = 0
        self.sent_at = 0  # ns
        self.waits_since = NEVER  # ns: it owes an answer since then
        self.gap_at = -1
        self.out = False  # it refused, or lags too far: it gets nothing more of this segment


class Writer:
    """``table``, ``offset``: what the ledger holds already, as its change with that number left it."""

    def __init__(
        self,
        me: Incarnation,
        at: LedgerLocation,
        members: Members,
        rules: LedgerRules,
        home: Home,
        table: dict[str, bytes] | None = None,
    ) -> None:
        self.me, self.at, self._members, self._rules, self._home = me, at, members, rules, home
        self.table: dict[str, bytes] = dict(table or {})
        self.seq = 0  # of the last change appended
        self.kept_seq = 0
        self.opened = False  # a majority has the opening of this segment
        # the last segment that was opened: where others begin to look
        self.known: LedgerLocation | None = None
        self.ended = False
        self.counts: Counter[str] = Counter()
        self._lead = dict(table) if table is not None else None  # told when it is opened
        self._announce = table is not None  # ``Moved`` is due when it is opened
        self._olds: list[Proposal] = []  # segments before, whose tables go when this one is opened
        self._proposal: Proposal | None = None  # moving
        self._avoid: dict[Incarnation, int] = {}  # until when, ns
        self._down = False  # ``NoMajority`` has been told
        self._sealed_at = NEVER  # another has sealed it
        self._improve_at = NEVER
        self._due = NEVER

    @property
    def ready(self) -> bool:
        """It may be appended to: not before a ledger that is led has been told of."""
        return self._lead is None

    # Orders

    def open(self, now: int) -> list[Action]:
        """Opens the segment at its replicas with the table as it is."""
        self.opened = False
        self._proposal, self._sealed_at = None, NEVER
        self.progress = {replica: ReplicaProgress() for replica in self.at.replicas}
        self._tail = [Change(key, value) for key, value in self.table.items()]
        self._tail_size = sum(size_of(c.key, c.value or b"") for c in self._tail)
        self._tail_most = TAIL_MOST + self._tail_size
        self._tail_from = 1  # number of the tail's first change
        self.base = self.n = len(self._tail)
        self._offset = self.seq - self.base  # from numbers of this segment to those of the ledger
        self._waiting: deque[tuple[int, int]] = deque([(self.base, now)])  # number, since when: not yet kept
        self._improve_at = now + IMPROVE_AFTER * self._rules.replace_after
        self._check_at = now + self._rules.replace_after
        if len(self.at.replicas) < self._rules.replicas:
            self._improve_at = self._check_at = now + FILL_AFTER * self._rules.resend
        actions = self._flush(now, force=True)
        self._due = self._next(now)
        return actions

    def append(self, now: int, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        """Takes changes in; they go out at once if nothing is under way, or with the next ``ticked``. A
        ValueError for one that is over ``CHANGE_MOST``."""
        for change in changes:
            if len(change.key) + len(change.value or b"") > CHANGE_MOST:
                raise ValueError(f"{change.key[:80]!r}: over {CHANGE_MOST} bytes")
        quiet = not self._waiting
        for change in changes:
            if change.value is None:
                self.table.pop(change.key, None)
            else:
                self.table[change.key] = change.value
            if self._proposal is None and self.at.replicas:
                self._tail.append(change)
                self._tail_size += size_of(change.key, change.value or b"")
        self.n += len(changes)
        self.seq += len(changes)
        if changes:
            self._waiting.append((self.n, now))
        if self._proposal is not None or not self.at.replicas:
            return self.seq, []  # the whole table goes to the next replicas
        if self._tail_size > self._tail_most:
            self._cut(now)
        if quiet:
            actions = self._flush(now)
            self._due = min(self._due, self._next(now))
            return self.seq, actions
        self._due = now
        return self.seq, []

    def close(self, now: int) -> list[Action]:
        """Ends it: its replicas may forget."""
        self.ended = True
        actions = self._home.tell(now, self.at.replicas, Close(self.at.ledger, self.at.segment))
        return actions + self._release(now)

    # Messages

    def appended(self, now: int, sender: Incarnation, message: Appended) -> list[Action]:
        progress = self.progress.get(sender)
        if progress is None or message.segment != self.at.segment:
            return []
        if message.answer is Answer.SEALED:
            if message.decision is not None:
                return self._fate(now, message.decision)
            if message.promised is not None and message.promised.by != self.me and self._sealed_at == NEVER:
                self._sealed_at = now
            self._heard(now, progress, max(progress.acked, message.n))
            self._due = min(self._due, self._next(now))
            return self._count(now)
        if message.answer in (Answer.FULL, Answer.UNKNOWN):
            progress.out = True
            self._due = now
            return []
        before = progress.acked
        self._heard(now, progress, max(progress.acked, message.n))
        actions: list[Action] = []
        # danger: a late one of a replica that has all by now would have it owe an answer for ever
        behind = progress.acked < self.n
        if message.answer is Answer.GAP and behind and message.n == progress.acked != progress.gap_at:
            # danger: without this memory every change that overtook another would bring the rest again
            progress.gap_at, progress.sent = message.n, max(progress.acked, 0)
            progress.waits_since = now
        if progress.acked > before:
            actions += self._count(now)
            self._cut(now)
        if not self.ended:
            actions += self._flush(now)
            self._due = min(self._due, self._next(now))
        return actions

    def proposed(self, now: int, sender: Incarnation, message: Promise | Accepted | Page) -> list[Action]:
        """An answer to its own seal."""
        proposal = self._proposal
        if proposal is None or message.segment != self.at.segment:
            return []
        if isinstance(message, Promise):
            actions = proposal.promised(now, sender, message)
        elif isinstance(message, Accepted):
            actions = proposal.accepted(now, sender, message)
        else:
            return []
        return actions + self._advance(now)

    def learned(self, now: int, message: Learn) -> list[Action]:
        """Another tells a fate."""
        return self._fate(now, message.decision) if message.segment == self.at.segment else []

    # Time

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        if now >= self._due:
            if not self.at.replicas:
                replicas = self._home.choose(self.at.ledger)
                if replicas:
                    self.at = LedgerLocation(self.at.ledger, self.at.segment, replicas)
                    since = self._waiting[0][1]
                    actions += self.open(now)
                    self._waiting[0] = (self.base, since)
            elif self._proposal is not None:
                if self._proposal.next_at() <= now:
                    actions += self._proposal.ticked(now)
                actions += self._advance(now)
            else:
                actions += self._flush(now, resend=True)
                actions += self._replace(now)
            if not self.ended:
                actions += self._majority(now)
                self._due = self._next(now)
        return actions

    def next_at(self) -> int:
        return self._due

    # Inside

    def _heard(self, now: int, progress: ReplicaProgress, n: int) -> None:
        progress.acked = n
        progress.sent = max(progress.sent, n)
        progress.waits_since = now if progress.sent > n else NEVER

    def _flush(self, now: int, *, resend: bool = False, force: bool = False) -> list[Action]:
        """Sends each replica what it has not been sent, or (``resend``) not acknowledged in time."""
        actions: list[Action] = []
        if self._proposal is not None:
            return actions  # danger: the tail is gone by then, the whole table goes to the next replicas
        made: dict[int, Append] = {}
        rules = self._rules
        if self._proposal is not None:
            return actions  # danger: what is appended from here on is in the next segment's opening alone
        for replica, progress in self.progress.items():
            if progress.out:
                continue
            late = resend and progress.waits_since != NEVER and now - progress.sent_at >= rules.resend
            if late:
                progress.sent = max(progress.acked, 0)
            opening = force or (late and progress.acked < 0)
            while progress.sent < self.n or opening:
                opening = False
                first = progress.sent + 1
                message = made.get(first)
                if message is None:
                    changes = within(self._tail, first - self._tail_from)
                    message = Append(self.at.ledger, self.at.segment, self.base, first, changes)
                    made[first] = message
                if not message.changes and progress.sent < self.n:
                    # danger: what it lacks is no longer here; asked for again and again this never ends
                    progress.out, self._due = True, now
                    break
                actions.append(Send(replica, message))
                progress.sent += len(message.changes)
                progress.sent_at = now
                if progress.waits_since == NEVER:
                    progress.waits_since = now
                if late:
                    break  # one message at a time to one that does not answer
        return actions

    def _count(self, now: int) -> list[Action]:
        """Tells what a majority has now."""
        acked = sorted((k.acked for k in self.progress.values()), reverse=True)
        n = acked[majority(self.at.replicas) - 1]
        actions: list[Action] = []
        if n < self.base:
            return actions
        while self._waiting and self._waiting[0][0] <= n:
            self._waiting.popleft()
        if not self.opened:
            self.opened, self.known = True, self.at
            actions += self._release(now)
            if self._announce:
                actions.append(Moved(self.at, self._lead))
                self._announce, self._lead = False, None
        if n + self._offset > self.kept_seq:
            self.kept_seq = n + self._offset
            actions.append(Committed(self.at.ledger, self.kept_seq))
        return actions + self._majority(now)

    def _majority(self, now: int) -> list[Action]:
        """Tells when no majority answers in time, and when one does again."""
        late = bool(self._waiting) and now - self._waiting[0][1] >= self._rules.wait
        if late == self._down:
            return []
        self._down = late
        return [NoMajority(self.at.ledger, restored=not late)]

    def _cut(self, now: int) -> None:
        """Forgets the tail that every replica has; a replica that lags too far is given up."""
        while True:
            using = [k for k in self.progress.values() if not k.out]
            least = min((max(k.acked, 0) for k in using), default=self.n)
            done = least + 1 - self._tail_from
            if done > 0:
                gone = self._tail[:done]
                self._tail_size -= sum(size_of(c.key, c.value or b"") for c in gone)
                del self._tail[:done]
                self._tail_from += done
            if self._tail_size <= self._tail_most or not using:
                return
            min(using, key=lambda k: k.acked).out = True
            self.counts["lagged"] += 1
            self._due = now

    def _lost(self, now: int) -> tuple[set[Incarnation], set[Incarnation]]:
        """Replicas that are to be replaced, and those that can't be asked for a promise."""
        silent = self._rules.replace_after
        lost, gone = set(), set()
        for replica, progress in self.progress.items():
            dead = replica != self.me and self._members.health(replica) in (Health.DEAD, Health.LEFT)
            mute = progress.waits_since != NEVER and now - progress.waits_since >= silent
            if dead or mute or progress.out:
                lost.add(replica)
                self._avoid[replica] = now + AVOID_FOR * silent
            if dead or (mute and not progress.out):
                gone.add(replica)
        return lost, gone

    def _avoided(self, now: int) -> frozenset[Incarnation]:
        self._avoid = {incarnation: until for incarnation, until in self._avoid.items() if until > now}
        return frozenset(self._avoid)

    def _next_replicas(self, now: int) -> tuple[Incarnation, ...]:
        """Danger: of fewer replicas fewer may be lost. Where too few others can be had, present ones that are
        slow, and not held for dead, stay; this member again only where that makes the number odd."""
        chosen = [k for k in self._home.choose(self.at.ledger, self._avoided(now)) if k != self.me]
        for replica in self.at.replicas:
            health = self._members.health(replica)
            slow = replica not in (self.me, *chosen) and health in (Health.ALIVE, Health.SUSPECT)
            if slow and len(chosen) < self._rules.replicas:
                chosen.append(replica)
        if chosen and len(chosen) < self._rules.replicas and len(chosen) % 2 == 0:
            chosen.append(self.me)
        return tuple(chosen) or self.at.replicas

    def _replace(self, now: int) -> list[Action]:
        """Seals its own segment where replicas are lost and others can be had, or another's seal has come to
        nothing."""
        short = len(self.at.replicas) < self._rules.replicas
        self._check_at = now + (FILL_AFTER * self._rules.resend if short else self._rules.replace_after)
        stuck = self._sealed_at != NEVER and now >= self._sealed_at + self._patience()
        lost, gone = self._lost(now)
        if lost:  # another may come at any time, and until then the next loss is one too many
            self._check_at = now + FILL_AFTER * self._rules.resend
        if not stuck:
            if len(self.progress) - len(gone) < majority(self.at.replicas):
                # danger: a seal that can't be decided would stop those that still answer
                return self._leave_behind(now)
            chosen = set(self._next_replicas(now))
            kept = set(self.at.replicas)
            outlives = len(kept - lost - {self.me}) >= majority(self.at.replicas)
            if lost and not chosen - kept and (outlives or not chosen):
                return []
            if not lost:
                better = len(chosen) > len(kept) or (self.me in kept - chosen and len(chosen) == len(kept))
                if not better or now < self._improve_at:
                    return []
        self._proposal = Proposal(self.me, self.at, self._rules, reads=False)
        self._tail, self._tail_size, self._tail_from = [], 0, self.n + 1
        return self._proposal.start(now)

    def _leave_behind(self, now: int) -> list[Action]:
        """Goes on in the next segment without a seal, where it is proven that nobody can ever seal this one:
        fewer replicas than a majority can still be the incarnations that they were. Without this a writer
        whose replicas start again all at once would write nothing more.

        Danger: that a replica is held for dead proves nothing; that another incarnation has its name, or that
        it has left, does."""
        if self.table or not self.at.ledger.startswith(job_ledger(self.me)):
            # danger: the fate may have been decided before the replicas went, and the writer not have heard
            # of it: what the segment held may be another's by now, and a led ledger another's to write
            return []
        over = {k for k in self.at.replicas if k != self.me and self._is_over(k)}
        if len(self.at.replicas) - len(over) >= majority(self.at.replicas):
            return []
        chosen = self._home.choose(self.at.ledger, frozenset(self._avoided(now) | over))
        if not chosen:
            return []
        self.at = LedgerLocation(self.at.ledger, self.at.segment + 1, chosen)
        self._announce = True
        self.counts["left behind"] += 1
        waited = self._waiting[0][1] if self._waiting else now
        actions = self.open(now)
        self._waiting[0] = (self.base, waited)
        return actions

    def _is_over(self, incarnation: Incarnation) -> bool:
        card = self._members.card(incarnation.name)
        left = self._members.health(incarnation) is Health.LEFT
        return left or (card is not None and card.incarnation.start > incarnation.start)

    def _patience(self) -> int:
        """Another that seals has so long to decide before the writer seals itself."""
        least = self._rules.replace_after
        return least + rank(f"{self.at.ledger}/{self.at.segment}", str(self.me)) % (least // 2)

    def _advance(self, now: int) -> list[Action]:
        """Goes on with its own seal."""
        proposal = self._proposal
        actions: list[Action] = []
        if proposal is None:
            return actions
        if proposal.step is Step.SEALED:
            decision = proposal.fate()
            if decision is None:
                decision = Decision(Fate.MOVED, self.me, self._next_replicas(now))
            actions += proposal.decide(now, decision)
        if proposal.step is Step.DECIDED and proposal.decision is not None:
            actions += self._fate(now, proposal.decision)
        self._due = min(self._due, self._next(now))
        return actions

    def _fate(self, now: int, decision: Decision) -> list[Action]:
        """The segment's fate is decided."""
        proposal = self._proposal
        if decision.fate is Fate.CLAIMED or decision.by != self.me:
            self.ended = True
            return [Fenced(self.at.ledger, decision.by)]
        if proposal is None or proposal.step is not Step.DECIDED:
            return []  # an earlier try of its own: its proposal will find it
        self._olds.append(proposal)
        self.at = LedgerLocation(self.at.ledger, self.at.segment + 1, decision.replicas)
        self._announce = True
        self.counts["moved"] += 1
        waited = self._waiting[0][1] if self._waiting else now
        actions = self.open(now)
        self._waiting[0] = (self.base, waited)
        return actions

    def led(self, now: int, passed: list[Proposal]) -> list[Action]:
        """Opens a ledger that this member leads from here on."""
        self._olds = passed
        return self.open(now)

    def _release(self, now: int) -> list[Action]:
        """The segments before have nothing that this one has not: their tables may go."""
        olds, self._olds = self._olds, []
        return [a for old in olds for a in self._home.tell(now, old.at.replicas, old.learn(True))]

    def _next(self, now: int) -> int:
        """When something is due."""
        if not self.at.replicas:
            return now + self._rules.resend
        due = NEVER
        if self._proposal is not None:
            due = self._proposal.next_at()
        else:
            for progress in self.progress.values():
                if progress.out:
                    continue
                if progress.waits_since != NEVER:
                    due = min(due, max(progress.sent_at + self._rules.resend, now + 1))
                elif progress.sent < self.n:
                    due = now
            due = min(due, max(self._check_at, now + 1))
        if self._waiting and not self._down:
            due = min(due, max(self._waiting[0][1] + self._rules.wait, now + 1))
        if self._sealed_at != NEVER and self._proposal is None:
            due = min(due, max(self._sealed_at + self._patience(), now + 1))
        return due
