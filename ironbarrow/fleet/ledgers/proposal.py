"""One member's try to settle the fate of one segment: seal, read, decide. No input or output.

States: SEALING (promises are asked for), READING (its replicas' largest table comes by pages), SEALED (a
majority has promised and the content is known: what is to become of it?), DECIDING (a fate is proposed),
DECIDED. A try that a higher ballot stops begins anew after a wait that grows, derived from who tries what,
so that two never stop each other forever.
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
from ironbarrow.fleet.ledgers.messages import Accepted, Answer, Decide, Learn, Page, Promise, Read, Seal

_OTHERS_ANSWER = 4  # times ``resend``: so long those that have not refused are waited for


class Step(enum.Enum):
    """How far a proposal has come."""

    SEALING = 1
    READING = 2
    SEALED = 3
    DECIDING = 4
    DECIDED = 5


def majority(replicas: tuple[Incarnation, ...]) -> int:
    """How many of them are more than half."""
    return len(replicas) // 2 + 1


class Proposal:
    """``writer``: see ``Seal``. ``reads``: whether the content is wanted too."""

    def __init__(
        self,
        me: Incarnation,
        at: LedgerLocation,
        rules: LedgerRules,
        writer: Incarnation | None = None,
        reads: bool = True,
    ) -> None:
        self.me, self.at, self.writer, self._reads, self._rules = me, at, writer, reads, rules
        self.step = Step.SEALING
        self.decision: Decision | None = None  # proposed, or decided
        self.ballot = Ballot(0, me)
        self.opener = writer  # who writes the segment, as its replicas say
        self.table: dict[str, bytes] = {}
        self.complete = False  # ``table`` holds all that counted in this segment and before
        self.released = False  # others have all that counted
        self.promises: dict[Incarnation, Promise] = {}
        self.unknown: set[Incarnation] = set()
        self._answers: set[Incarnation] = set()  # to ``Decide``
        self._refused: set[Incarnation] = set()
        self._highest = 0
        self._tries = 0
        self._asked = 0  # times, since this round began or it was answered
        self._best: Incarnation | None = None  # whose table is read
        self._after = ""
        self._resend_at = NEVER
        self._retry_at = NEVER

    def start(self, now: int) -> list[Action]:
        """Asks for promises under a ballot above all seen."""
        self.ballot = Ballot(max(self._highest, self.ballot.round) + 1, self.me)
        self.step, self.decision = Step.SEALING, None
        self.promises.clear()
        self.unknown.clear()
        self._answers.clear()
        self._refused.clear()
        self._retry_at, self._asked = NEVER, 0
        return self._ask(now)

    def fate(self) -> Decision | None:
        """What a promise brought and must be proposed again: the decided one, or that of the highest
        ballot."""
        found = [p for p in self.promises.values() if p.decision is not None and p.accepted is not None]
        for promise in found:
            if promise.decided:
                return promise.decision
        return max(found, key=_accepted).decision if found else None

    def learn(self, release: bool) -> Learn:
        """DECIDED: what the replicas are told of it."""
        assert self.decision is not None
        known = [p.accepted for p in self.promises.values() if p.decided and p.accepted is not None]
        ballot = known[0] if known else self.ballot
        return Learn(self.at.ledger, self.at.segment, ballot, self.decision, release)

    def promised(self, now: int, sender: Incarnation, message: Promise) -> list[Action]:
        if sender not in self.at.replicas or message.ballot != self.ballot or self.step is not Step.SEALING:
            return []
        if message.answer is Answer.UNKNOWN:
            self.unknown.add(sender)
        elif message.answer is Answer.SEALED:
            self._refuse(now, sender, message.promised)
        elif message.answer is Answer.DONE:
            self.promises[sender] = message
            self.opener = self.opener or message.writer
            if len(self.promises) >= majority(self.at.replicas):
                return self._sealed(now)
        return []

    def paged(self, now: int, sender: Incarnation, message: Page) -> list[Action]:
        if self.step is not Step.READING or sender != self._best or message.after != self._after:
            return []
        _take(self.table, message.changes)
        if message.last:
            self.step, self._resend_at = Step.SEALED, NEVER
            return []
        self._after, self._asked = message.changes[-1].key, 0
        return self._ask(now)

    def decide(self, now: int, own: Decision) -> list[Action]:
        """SEALED: proposes that fate, which must be ``fate()`` if there is one."""
        self.decision = own
        if any(p.decided for p in self.promises.values()):
            self.step, self._resend_at = Step.DECIDED, NEVER
            return []
        self.step, self._asked = Step.DECIDING, 0
        self._refused.clear()
        return self._ask(now)

    def accepted(self, now: int, sender: Incarnation, message: Accepted) -> list[Action]:
        if sender not in self.at.replicas or message.ballot != self.ballot or self.step is not Step.DECIDING:
            return []
        if message.answer is Answer.DONE:
            self._answers.add(sender)
            if len(self._answers) >= majority(self.at.replicas):
                self.step, self._resend_at, self._retry_at = Step.DECIDED, NEVER, NEVER
        elif message.answer is Answer.SEALED:
            self._refuse(now, sender, message.promised)
        else:
            self.unknown.add(sender)
        return []

    def ticked(self, now: int) -> list[Action]:
        if now >= self._retry_at:
            return self.start(now)
        if now >= self._resend_at:
            if self.step is Step.READING:
                self._refuse(now, None, None)
            return self._ask(now)
        return []

    def next_at(self) -> int:
        return min(self._resend_at, self._retry_at)

    def hopeless(self, gone: Iterable[Incarnation]) -> bool:
        """No majority can answer: too many are gone, or know nothing of the segment."""
        lost = self.unknown.union(gone)
        return sum(k not in lost for k in self.at.replicas) < majority(self.at.replicas)

    def partial(self) -> dict[str, bytes]:
        """The largest table that has come, of which nothing is proven."""
        best = max(self.promises.values(), key=_n, default=None)
        table = dict(self.table)
        if best is not None and best.table is not None:
            _take(table, best.table)
        return table

    def _ask(self, now: int) -> list[Action]:
        """Sends what this step asks for to whoever has not answered."""
        at, sends = self.at, list[Action]()
        if self.step is Step.SEALING:
            message = Seal(at.ledger, at.segment, self.ballot, self.writer)
            sends = [
                Send(k, message) for k in at.replicas if k not in self.promises and k not in self.unknown
            ]
        elif self.step is Step.DECIDING and self.decision is not None:
            decide = Decide(at.ledger, at.segment, self.ballot, self.decision)
            sends = [Send(k, decide) for k in at.replicas if k not in self._answers]
        elif self.step is Step.READING and self._best is not None:
            sends = [Send(self._best, Read(at.ledger, at.segment, self._after))]
        # ever further apart: after a mass death most of those that are asked do not answer
        self._resend_at = now + (self._rules.resend << min(self._asked, 4))
        self._asked += 1
        return sends

    def _sealed(self, now: int) -> list[Action]:
        """A majority has promised: what the segment holds is settled."""
        best = max(sorted(self.promises), key=lambda k: _n(self.promises[k]))
        promise = self.promises[best]
        check(
            "what counted is in the content",
            len(self.promises) >= majority(self.at.replicas)
            and all(k in self.at.replicas and p.n <= promise.n for k, p in self.promises.items()),
            ledger=self.at.ledger,
            segment=self.at.segment,
            n=promise.n,
        )
        self.released = any(p.released for p in self.promises.values())
        self.complete = 0 <= promise.base <= promise.n and not self.released
        self.step, self._resend_at, self._retry_at = Step.SEALED, NEVER, NEVER
        self.table, self._after = {}, ""
        if not self._reads or not self.complete:
            return []
        if promise.table is not None:
            _take(self.table, promise.table)
            return []
        self.step, self._best = Step.READING, best
        return self._ask(now)

    def _refuse(self, now: int, sender: Incarnation | None, promised: Ballot | None) -> None:
        """Plans another round. Danger: the replicas that are left may be a majority by number and yet never
        answer, one being dead: where they would be enough they are only waited for longer."""
        if promised is not None:
            self._highest = max(self._highest, promised.round)
        enough_left = False
        if sender is not None:
            if sender in self._refused:
                return  # it was asked again
            self._refused.add(sender)
            enough_left = len(self.at.replicas) - len(self._refused) >= majority(self.at.replicas)
        if self._retry_at == NEVER:
            self._tries += 1
        most = self._rules.resend << min(self._tries, 5)
        seed = f"{self.at.ledger}/{self.at.segment}/{self._tries}"
        wait = most // 4 + rank(seed, str(self.me)) % most
        if enough_left:
            wait += _OTHERS_ANSWER * self._rules.resend
        self._retry_at = min(self._retry_at, now + wait)


def _accepted(promise: Promise) -> Ballot:
    assert promise.accepted is not None
    return promise.accepted


def _n(promise: Promise) -> int:
    return promise.n


def _take(table: dict[str, bytes], changes: Iterable[Change]) -> None:
    for change in changes:
        if change.value is not None:
            table[change.key] = change.value
