"""Claims and leads of ledgers: seals wherever a ledger has gone, and takes it. No input or output.

A claim follows the chain of segments: it seals one, proposes what it must or its own fate, and goes on where
that says that the ledger moved. Before it proposes to claim, the key ``c/LEDGER`` is in this member's own
job ledger. It ends with ``Claimed`` or ``ClaimFailed``, within ``LASTS`` times the rules' ``wait``.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Change,
    Claimed,
    ClaimFailed,
    Decision,
    Fate,
    Health,
    Incarnation,
    LedgerLocation,
    Members,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.ledgers.messages import Accepted, Learn, Page, Promise
from ironbarrow.fleet.ledgers.proposal import Proposal, Step
from ironbarrow.fleet.records import CLAIM

LASTS = 20  # times ``wait``: so long a claim is tried
GIVES_UP = 4  # times ``wait``: so soon it ends where a majority of the replicas is gone
SETTLED_MOST = 4096  # ledgers of which is remembered that they are not to be claimed again


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """The value of ``c/LEDGER``: the fields of a ``LedgerLocation``, and the incarnations whose claims of it
    are the holder's to go on with."""

    ledger: str
    segment: int
    replicas: tuple[Incarnation, ...]
    of: tuple[Incarnation, ...] = ()


class Home(Protocol):
    """What a claimant needs of the member that it is part of."""

    def own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        """Appends to that ledger of this member ("": its newest job ledger): its name, the number, 0 if
        there is none."""

    def choose(self, ledger: str) -> tuple[Incarnation, ...]:
        """Replicas for a ledger; empty if there are too few incarnations."""

    def tell(self, now: int, incarnations: Sequence[Incarnation], learn: Learn) -> list[Action]:
        """Tells incarnations of a fate until they have heard it."""

    def lead_on(self, now: int, claim: "Claim", decision: Decision) -> list[Action]:
        """This member writes the claim's ledger from here on."""


@dataclass(slots=True, eq=False)
class Claim:
    """One claim under way. ``lead``: to write it, not to have what it holds."""

    proposal: Proposal
    began: int  # ns
    lead: bool
    heir_of: frozenset[Incarnation]  # incarnations whose claims of it are this member's
    into: str  # the ledger of this member by which it is their heir
    base: LedgerLocation  # the last segment known to hold all that counted before it
    content: dict[str, bytes] | None = None  # None: not known
    passed: list[Proposal] = field(default_factory=list)  # decided, whose tables are not released


@dataclass(slots=True)
class Key:
    """Where ``c/LEDGER`` was written."""

    ledger: str
    seq: int
    kept: bool = False


class Claimant:
    """All claims of this member that are under way."""

    def __init__(self, me: Incarnation, members: Members, rules: LedgerRules, home: Home) -> None:
        self.me, self._members, self._rules, self._home = me, members, rules, home
        self.claims: dict[str, Claim] = {}
        self.keys: dict[str, Key] = {}  # by ledger claimed; until its claim is lost, or its key dropped
        # claimed and since replaced, or lost with the ledger that had the key: who has them
        self.settled: OrderedDict[str, Incarnation | None] = OrderedDict()
        self.held: dict[str, list[Proposal]] = {}  # claimed: what is to be released when its key is dropped

    def start(
        self,
        now: int,
        at: LedgerLocation,
        lead: bool,
        heir_of: frozenset[Incarnation] = frozenset(),
        into: str = "",
    ) -> list[Action]:
        """Begins; nothing if that ledger is being claimed, or held, already."""
        if at.ledger in self.claims or (at.ledger in self.held and not lead):
            return []
        # danger: whoever took the ledger with the key finds "claimed by this incarnation" and goes on with it
        if at.ledger in self.settled and not lead and not heir_of:
            return [ClaimFailed(at.ledger, self.settled[at.ledger], {})]
        if not at.replicas:
            return [ClaimFailed(at.ledger, None, {})]
        claim = Claim(Proposal(self.me, at, self._rules), now, lead, heir_of, into, at)
        self.claims[at.ledger] = claim
        return claim.proposal.start(now)

    def received(self, now: int, sender: Incarnation, message: Promise | Accepted | Page) -> list[Action]:
        claim = self.claims.get(message.ledger)
        if claim is None or claim.proposal.at.segment != message.segment:
            return []
        # danger: what comes after a long stop must not be acted on, others may have forgotten what is past
        if now >= claim.began + LASTS * self._rules.wait:
            return self._lost(now, claim, None)
        if isinstance(message, Promise):
            actions = claim.proposal.promised(now, sender, message)
            if claim.proposal.step is Step.SEALING and claim.proposal.hopeless(()):
                return actions + self._lost(now, claim, None)
        elif isinstance(message, Accepted):
            actions = claim.proposal.accepted(now, sender, message)
        else:
            actions = claim.proposal.paged(now, sender, message)
        return actions + self._advance(now, claim)

    def kept(self, now: int, ledger: str, seq: int) -> list[Action]:
        """This member's ledger is kept up to there."""
        actions: list[Action] = []
        for name, key in list(self.keys.items()):
            if key.ledger == ledger and not key.kept and key.seq <= seq:
                key.kept = True
                claim = self.claims.get(name)
                if claim is not None:
                    actions += self._advance(now, claim)
        return actions

    def fenced(self, now: int, own: str, by: Incarnation | None) -> list[Action]:
        """One of this member's ledgers is another's: so is what is claimed by keys in it."""
        actions: list[Action] = []
        for ledger in [name for name, key in self.keys.items() if key.ledger == own]:
            del self.keys[ledger]
            self.held.pop(ledger, None)
            self._settle(ledger, by)
            if ledger in self.claims:
                actions += self._lost(now, self.claims[ledger], by)
        for claim in [c for c in self.claims.values() if c.into == own]:
            actions += self._lost(now, claim, by)
        return actions

    def dropped(self, ledger: str) -> list[Proposal]:
        """The key of a ledger claimed is dropped for good: the segments whose tables may go."""
        self.keys.pop(ledger, None)
        self._settle(ledger, self.me)
        return self.held.pop(ledger, [])

    def _settle(self, ledger: str, by: Incarnation | None) -> None:
        self.settled[ledger] = by
        while len(self.settled) > SETTLED_MOST:
            self.settled.popitem(last=False)

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        for claim in list(self.claims.values()):
            proposal, age = claim.proposal, now - claim.began
            dead = [k for k in proposal.at.replicas if self._members.health(k) in (Health.DEAD, Health.LEFT)]
            gone = age >= GIVES_UP * self._rules.wait and proposal.hopeless(dead)
            if gone or age >= LASTS * self._rules.wait:
                actions += self._lost(now, claim, None)
            elif proposal.next_at() <= now:
                actions += proposal.ticked(now)
                actions += self._advance(now, claim)
        return actions

    def next_at(self) -> int:
        due = NEVER
        for claim in self.claims.values():
            due = min(due, claim.proposal.next_at(), claim.began + LASTS * self._rules.wait)
        return due

    def _advance(self, now: int, claim: Claim) -> list[Action]:
        """Does what can be done without waiting."""
        actions: list[Action] = []
        while claim.proposal.at.ledger in self.claims:
            proposal = claim.proposal
            if proposal.step is Step.SEALED:
                self._take(claim)
                decision = proposal.fate()
                if decision is None:
                    decision, more = self._own(now, claim)
                    actions += more
                if decision is None:
                    break
                actions += proposal.decide(now, decision)
            elif proposal.step is Step.DECIDED:
                ready, more = self._keyed(now, claim) if self._mine(claim) else (True, [])
                actions += more
                if not ready:
                    break
                actions += self._decided(now, claim)
            else:
                break
        return actions

    def _take(self, claim: Claim) -> None:
        """The content as far as it is known by this segment."""
        proposal = claim.proposal
        if proposal.complete:
            claim.content, claim.base = proposal.table, proposal.at
        elif proposal.released:
            claim.content = None

    def _own(self, now: int, claim: Claim) -> tuple[Decision | None, list[Action]]:
        """This member's own fate for a sealed segment; None while something is missing."""
        ledger = claim.proposal.at.ledger
        if claim.content is None:
            return None, self._lost(now, claim, None)
        if claim.lead:
            replicas = self._home.choose(ledger)
            return (Decision(Fate.MOVED, self.me, replicas) if replicas else None), []
        ready, actions = self._keyed(now, claim)
        return (Decision(Fate.CLAIMED, self.me) if ready else None), actions

    def _mine(self, claim: Claim) -> bool:
        """Decided to be claimed by this member, or by one whose claims are its own."""
        decision = claim.proposal.decision
        return (
            decision is not None
            and decision.fate is Fate.CLAIMED
            and not claim.lead
            and decision.by in {self.me, *claim.heir_of}
            and claim.content is not None
        )

    def _keyed(self, now: int, claim: Claim) -> tuple[bool, list[Action]]:
        """Whether the key is kept; writes it, or ends the claim where it can't be written."""
        ledger = claim.proposal.at.ledger
        key = self.keys.get(ledger)
        if key is not None:
            return key.kept, []
        of = tuple(sorted({self.me, *claim.heir_of}))
        value = ClaimKey(ledger, claim.base.segment, claim.base.replicas, of)
        change = Change(CLAIM + ledger, msgspec.msgpack.encode(value))
        own, seq, actions = self._home.own(now, [change], claim.into)
        if not seq:
            return False, actions + self._lost(now, claim, None)
        self.keys[ledger] = Key(own, seq)
        return False, actions

    def _decided(self, now: int, claim: Claim) -> list[Action]:
        """Acts on a decided fate."""
        proposal, decision = claim.proposal, claim.proposal.decision
        assert decision is not None
        at = proposal.at
        told = {*at.replicas, *([proposal.opener] if proposal.opener else [])} - {self.me}
        actions = self._home.tell(now, sorted(told), proposal.learn(False))
        if self.me in at.replicas:
            actions += self._home.tell(now, [self.me], proposal.learn(False))
        if not proposal.released:
            claim.passed.append(proposal)
        if decision.fate is Fate.MOVED:
            if claim.lead and decision.by == self.me:
                del self.claims[at.ledger]
                return actions + self._home.lead_on(now, claim, decision)
            following = LedgerLocation(at.ledger, at.segment + 1, decision.replicas)
            claim.proposal = Proposal(self.me, following, self._rules, decision.by)
            return actions + claim.proposal.start(now)
        if not self._mine(claim):
            return actions + self._lost(now, claim, decision.by)
        check(
            "one holder",
            at.ledger not in self.held and self.keys[at.ledger].kept and claim.content is not None,
            ledger=at.ledger,
            by=decision.by,
        )
        assert claim.content is not None
        del self.claims[at.ledger]
        self.held[at.ledger] = claim.passed
        return [*actions, Claimed(at.ledger, claim.content, self.keys[at.ledger].ledger)]

    def _lost(self, now: int, claim: Claim, by: Incarnation | None) -> list[Action]:
        """Ends a claim without its ledger, and takes its key back."""
        ledger = claim.proposal.at.ledger
        self.claims.pop(ledger, None)
        actions: list[Action] = []
        if by is not None and ledger in self.keys:
            _, _, actions = self._home.own(now, [Change(CLAIM + ledger)], self.keys.pop(ledger).ledger)
        partial = {} if by is not None else claim.content or claim.proposal.partial()
        return [*actions, ClaimFailed(ledger, by, partial)]
