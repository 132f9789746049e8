"""Recovery of ledgers by ballots: takes over the content of another member's ledger (claim) or its writing
(lead). No input or output.

A claim follows the chain of segments. It seals a segment and proposes the decision that a replica has already
accepted, or else its own; if the segment was decided to have moved, it continues with the next one. Before it
proposes CLAIMED, the key ``c/LEDGER`` is committed in a job ledger of this member, so that whoever recovers
that ledger inherits the claim. A claim ends with ``Claimed`` or ``ClaimFailed``, a lead with ``Moved`` or
``ClaimFailed``, within ``CLAIM_TIMEOUT_WAITS`` times the configured ``wait``.
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

CLAIM_TIMEOUT_WAITS = 20  # multiples of ``wait``: a claim fails after that
MAJORITY_LOST_WAITS = 4  # multiples of ``wait``: it fails after that if a majority of the replicas is dead
MAX_SETTLED = 4096  # ledgers remembered as not to be claimed again


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of the key ``c/LEDGER``: the fields of a ``LedgerLocation``, and the incarnations that have
    claimed the ledger one after another, whose claims the holder of the key continues."""

    ledger: str
    segment: int
    replicas: tuple[Incarnation, ...]
    claimants: tuple[Incarnation, ...] = ()


class RecoveryHost(Protocol):
    """The services of its member that a recovery uses."""

    def append_own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        """Appends to a ledger of this member ("": its newest job ledger); returns the ledger's name and the
        number of the last change, 0 if there is no such ledger."""

    def choose_replicas(self, ledger: str) -> tuple[Incarnation, ...]:
        """Chooses replicas for a ledger; empty if there are too few members."""

    def notify(self, now: int, incarnations: Sequence[Incarnation], message: Learn) -> list[Action]:
        """Sends a message to incarnations, and again until each has acknowledged it."""

    def start_leading(self, now: int, claim: "Claim", decision: Decision) -> list[Action]:
        """Makes this member the writer of a ledger whose next segment has been decided to be its own."""


@dataclass(slots=True, eq=False)
class Claim:
    """One recovery in progress. ``lead``: to continue writing the ledger, instead of taking over its
    content."""

    proposal: Proposal
    started_at: int  # ns
    lead: bool
    inherited_from: frozenset[Incarnation]  # incarnations whose claims of the ledger this member continues
    into: str  # the ledger of this member that contains their claim; "": none
    content_at: LedgerLocation  # the last segment whose content is known to be complete
    content: dict[str, bytes] | None = None  # None: unknown
    unreleased: list[Proposal] = field(default_factory=list)  # decided segments whose tables are still stored


@dataclass(slots=True)
class WrittenKey:
    """Where the key ``c/LEDGER`` of a claim was written."""

    ledger: str
    seq: int
    committed: bool = False


class LedgerRecovery:
    """All recoveries of this member."""

    def __init__(self, me: Incarnation, members: Members, rules: LedgerRules, host: RecoveryHost) -> None:
        self.me, self._members, self._rules, self._host = me, members, rules, host
        self.claims: dict[str, Claim] = {}
        # by claimed ledger, until the claim fails or its key is dropped
        self.keys: dict[str, WrittenKey] = {}
        # claimed ledgers whose key has been dropped, or has passed to another member with the ledger that
        # contained it: the incarnation that owns them
        self.settled: OrderedDict[str, Incarnation | None] = OrderedDict()
        # by claimed ledger: the segments to release when its key is dropped
        self.claimed: dict[str, list[Proposal]] = {}

    def start(
        self,
        now: int,
        at: LedgerLocation,
        lead: bool,
        inherited_from: frozenset[Incarnation] = frozenset(),
        into: str = "",
    ) -> list[Action]:
        """Starts a recovery; does nothing if the ledger is being recovered, or has been claimed, already."""
        if at.ledger in self.claims or (at.ledger in self.claimed and not lead):
            return []
        # a new claim would find the ledger decided to be this incarnation's, although whoever took over the
        # ledger with the key now continues that claim: two members would own the content
        if at.ledger in self.settled and not lead and not inherited_from:
            return [ClaimFailed(at.ledger, self.settled[at.ledger], {})]
        if not at.replicas:
            return [ClaimFailed(at.ledger, None, {})]
        claim = Claim(Proposal(self.me, at, self._rules), now, lead, inherited_from, into, at)
        self.claims[at.ledger] = claim
        return claim.proposal.start(now)

    def received(self, now: int, sender: Incarnation, message: Promise | Accepted | Page) -> list[Action]:
        """Handles a replica's reply."""
        claim = self.claims.get(message.ledger)
        if claim is None or claim.proposal.at.segment != message.segment:
            return []
        # replies that are processed after a long pause of this process must not be acted on: replicas may
        # have deleted the segments by now
        if now >= claim.started_at + CLAIM_TIMEOUT_WAITS * self._rules.wait:
            return self._fail(now, claim, None)
        if isinstance(message, Promise):
            actions = claim.proposal.on_promise(now, sender, message)
            if claim.proposal.step is Step.SEALING and claim.proposal.majority_lost(()):
                return actions + self._fail(now, claim, None)
        elif isinstance(message, Accepted):
            actions = claim.proposal.on_accepted(now, sender, message)
        else:
            actions = claim.proposal.on_page(now, sender, message)
        return actions + self._advance(now, claim)

    def on_committed(self, now: int, ledger: str, seq: int) -> list[Action]:
        """Continues the claims whose keys are committed: this member's ledger is, up to ``seq``."""
        actions: list[Action] = []
        for name, key in list(self.keys.items()):
            if key.ledger == ledger and not key.committed and key.seq <= seq:
                key.committed = True
                claim = self.claims.get(name)
                if claim is not None:
                    actions += self._advance(now, claim)
        return actions

    def on_fenced(self, now: int, own_ledger: str, by: Incarnation | None) -> list[Action]:
        """One of this member's ledgers belongs to another member now, and with it the claims whose keys it
        contains."""
        actions: list[Action] = []
        for ledger in [name for name, key in self.keys.items() if key.ledger == own_ledger]:
            del self.keys[ledger]
            self.claimed.pop(ledger, None)
            self._record_settled(ledger, by)
            if ledger in self.claims:
                actions += self._fail(now, self.claims[ledger], by)
        for claim in [c for c in self.claims.values() if c.into == own_ledger]:
            actions += self._fail(now, claim, by)
        return actions

    def on_key_dropped(self, ledger: str) -> list[Proposal]:
        """Ends a claim whose dropped key is committed; returns the segments whose tables can be released."""
        self.keys.pop(ledger, None)
        self._record_settled(ledger, self.me)
        return self.claimed.pop(ledger, [])

    def _record_settled(self, ledger: str, by: Incarnation | None) -> None:
        """Remembers that a ledger is not to be claimed again, and who owns it."""
        self.settled[ledger] = by
        while len(self.settled) > MAX_SETTLED:
            self.settled.popitem(last=False)

    def ticked(self, now: int) -> list[Action]:
        """Resends requests that are due, and ends the claims that have timed out or can't succeed."""
        actions: list[Action] = []
        for claim in list(self.claims.values()):
            proposal, age = claim.proposal, now - claim.started_at
            dead = [
                replica
                for replica in proposal.at.replicas
                if self._members.health(replica) in (Health.DEAD, Health.LEFT)
            ]
            majority_gone = age >= MAJORITY_LOST_WAITS * self._rules.wait and proposal.majority_lost(dead)
            if majority_gone or age >= CLAIM_TIMEOUT_WAITS * self._rules.wait:
                actions += self._fail(now, claim, None)
            elif proposal.next_at() <= now:
                actions += proposal.ticked(now)
                actions += self._advance(now, claim)
        return actions

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns."""
        due = NEVER
        for claim in self.claims.values():
            due = min(
                due, claim.proposal.next_at(), claim.started_at + CLAIM_TIMEOUT_WAITS * self._rules.wait
            )
        return due

    def _advance(self, now: int, claim: Claim) -> list[Action]:
        """Continues a claim as far as possible without waiting for replies or commits."""
        actions: list[Action] = []
        while claim.proposal.at.ledger in self.claims:
            proposal = claim.proposal
            if proposal.step is Step.SEALED:
                self._update_content(claim)
                decision = proposal.accepted_decision()
                if decision is None:
                    decision, more = self._own_decision(now, claim)
                    actions += more
                if decision is None:
                    break
                actions += proposal.propose(now, decision)
            elif proposal.step is Step.DECIDED:
                ready, more = self._ensure_key(now, claim) if self._is_decided_for_us(claim) else (True, [])
                actions += more
                if not ready:
                    break
                actions += self._on_decided(now, claim)
            else:
                break
        return actions

    def _update_content(self, claim: Claim) -> None:
        """Updates the known content from the sealed segment."""
        proposal = claim.proposal
        if proposal.complete:
            claim.content, claim.content_at = proposal.table, proposal.at
        elif proposal.released:
            claim.content = None

    def _own_decision(self, now: int, claim: Claim) -> tuple[Decision | None, list[Action]]:
        """The decision that this member would propose for a sealed segment; None if it can't propose one yet,
        or if the claim has failed."""
        ledger = claim.proposal.at.ledger
        if claim.content is None:
            return None, self._fail(now, claim, None)
        if claim.lead:
            replicas = self._host.choose_replicas(ledger)
            return (Decision(Fate.MOVED, self.me, replicas) if replicas else None), []
        ready, actions = self._ensure_key(now, claim)
        return (Decision(Fate.CLAIMED, self.me) if ready else None), actions

    def _is_decided_for_us(self, claim: Claim) -> bool:
        """Whether the segment is decided to be claimed by this member, or by one whose claims it
        continues."""
        decision = claim.proposal.decision
        return (
            decision is not None
            and decision.fate is Fate.CLAIMED
            and not claim.lead
            and decision.by in {self.me, *claim.inherited_from}
            and claim.content is not None
        )

    def _ensure_key(self, now: int, claim: Claim) -> tuple[bool, list[Action]]:
        """Whether the claim's key is committed. Writes it if it has not been written; the claim fails if it
        can't be."""
        ledger = claim.proposal.at.ledger
        key = self.keys.get(ledger)
        if key is not None:
            return key.committed, []
        claimants = tuple(sorted({self.me, *claim.inherited_from}))
        value = ClaimRecord(ledger, claim.content_at.segment, claim.content_at.replicas, claimants)
        change = Change(CLAIM + ledger, msgspec.msgpack.encode(value))
        own_ledger, seq, actions = self._host.append_own(now, [change], claim.into)
        if not seq:
            return False, actions + self._fail(now, claim, None)
        self.keys[ledger] = WrittenKey(own_ledger, seq)
        return False, actions

    def _on_decided(self, now: int, claim: Claim) -> list[Action]:
        """Acts on a decided fate: announces it, and ends the claim or continues with the next segment."""
        proposal, decision = claim.proposal, claim.proposal.decision
        assert decision is not None
        at = proposal.at
        recipients = {*at.replicas, *([proposal.segment_writer] if proposal.segment_writer else [])} - {
            self.me
        }
        actions = self._host.notify(now, sorted(recipients), proposal.learn_message(False))
        if self.me in at.replicas:
            actions += self._host.notify(now, [self.me], proposal.learn_message(False))
        if not proposal.released:
            claim.unreleased.append(proposal)
        if decision.fate is Fate.MOVED:
            if claim.lead and decision.by == self.me:
                del self.claims[at.ledger]
                return actions + self._host.start_leading(now, claim, decision)
            next_location = LedgerLocation(at.ledger, at.segment + 1, decision.replicas)
            claim.proposal = Proposal(self.me, next_location, self._rules, decision.by)
            return actions + claim.proposal.start(now)
        if not self._is_decided_for_us(claim):
            return actions + self._fail(now, claim, decision.by)
        check(
            "one holder",
            at.ledger not in self.claimed and self.keys[at.ledger].committed and claim.content is not None,
            ledger=at.ledger,
            by=decision.by,
        )
        assert claim.content is not None
        del self.claims[at.ledger]
        self.claimed[at.ledger] = claim.unreleased
        return [*actions, Claimed(at.ledger, claim.content, self.keys[at.ledger].ledger)]

    def _fail(self, now: int, claim: Claim, by: Incarnation | None) -> list[Action]:
        """Ends a claim that has failed. Drops its key if another member (``by``) owns the ledger."""
        ledger = claim.proposal.at.ledger
        self.claims.pop(ledger, None)
        actions: list[Action] = []
        if by is not None and ledger in self.keys:
            _, _, actions = self._host.append_own(now, [Change(CLAIM + ledger)], self.keys.pop(ledger).ledger)
        partial = {} if by is not None else claim.content or claim.proposal.partial_table()
        return [*actions, ClaimFailed(ledger, by, partial)]
