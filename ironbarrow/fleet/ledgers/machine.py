"""The ledgers of one member: what it writes, what it keeps for others, what it claims. No input or output."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec

from ironbarrow.fleet import api
from ironbarrow.fleet.api import (
    Action,
    Change,
    Claimed,
    Decision,
    Fenced,
    Health,
    Incarnation,
    Kept,
    LedgerAt,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.ledgers.messages import (
    REPLIES,
    REQUESTS,
    Accepted,
    AppendReply,
    Close,
    Learn,
    LearnAck,
    Page,
    Promise,
)
from ironbarrow.fleet.ledgers.recovery import Claim, ClaimRecord, LedgerRecovery
from ironbarrow.fleet.ledgers.replica import Replica
from ironbarrow.fleet.ledgers.writer import Writer
from ironbarrow.fleet.records import CLAIM

MAX_NOTICE_SENDS = (
    100  # times, ``resend`` apart and then ever longer: so often a fate is told to one that does not answer
)
MAX_NOTICES = 4096  # notices under way: beyond, the oldest is given up
_CLAIM_RECORD = msgspec.msgpack.Decoder(ClaimRecord)


class LedgerMachine:
    """Implements ``api.Ledgers`` and ``api.Machine``. What this member keeps of its own ledger goes the same
    way as for others, without the network."""

    handles: tuple[type[api.Message], ...] = (*REQUESTS, *REPLIES)

    def __init__(self, me: Incarnation, members: api.Members, rules: LedgerRules) -> None:
        self.me, self._members, self._rules = me, members, rules
        self.replica = Replica(me, self._is_alive, rules)
        self.writers: dict[str, Writer] = {}
        self.recovery = LedgerRecovery(me, members, rules, self)
        self.counts: Counter[str] = Counter()
        self._inherited_claims: dict[
            str, tuple[frozenset[Incarnation], str]
        ] = {}  # whose claims of a ledger are its own, by which
        self._key_drops: list[tuple[str, int, str]] = []  # own ledger, number, ledger whose key that drops
        self._notices: dict[tuple[Incarnation, str, int, bool], list[Any]] = {}  # message, due, times
        self._extra_ledgers = 0  # ledgers opened for claims
        self._published: tuple[LedgerAt, ...] = ()

    # api.Ledgers

    def create(self, now: int, ledger: str) -> list[Action]:
        return self._deliver_local(now, self._create(now, ledger)) if ledger not in self.writers else []

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        seq, actions = self._append(now, ledger, changes)
        return seq, self._deliver_local(now, actions)

    def claim(self, now: int, at: LedgerAt) -> list[Action]:
        inherited_from, into = self._inherited_claims.get(at.ledger, (frozenset(), ""))
        return self._deliver_local(now, self.recovery.start(now, at, False, inherited_from, into))

    def lead(self, now: int, at: LedgerAt) -> list[Action]:
        writer = self.writers.get(at.ledger)
        if writer is not None:
            return [api.Moved(writer.at, dict(writer.table))] if writer.opened else []
        return self._deliver_local(now, self.recovery.start(now, at, True))

    def close(self, now: int, ledger: str) -> list[Action]:
        writer = self.writers.pop(ledger, None)
        return self._deliver_local(now, writer.close(now)) if writer is not None else []

    # api.Machine

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        return self._deliver_local(now, self._dispatch(now, sender, message))

    def ticked(self, now: int) -> list[Action]:
        self.replica.ticked(now)
        actions: list[Action] = []
        for writer in list(self.writers.values()):
            if writer.next_at() <= now:
                actions += writer.ticked(now)
        actions += self.recovery.ticked(now)
        actions += self._resend_notices(now)
        return self._deliver_local(now, actions)

    def next_at(self) -> int:
        due = min(self.replica.next_at(), self.recovery.next_at())
        for writer in self.writers.values():
            due = min(due, writer.next_at())
        for notice in self._notices.values():
            due = min(due, notice[1])
        return due

    # What the parts ask of it

    def append_own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        """Appends to that ledger of this member ("": its newest job ledger): its name, the number, 0 if
        there is none. Where all its job ledgers have lost a majority of their replicas, another is opened:
        after a mass death nobody could claim anything otherwise."""
        name = into or api.job_ledger(self.me)
        has_job_ledger = False
        for ledger in reversed(self.writers):
            if ledger == name or (not into and ledger.startswith(name + "+")):
                has_job_ledger = True
                if into or not self._majority_lost(self.writers[ledger]):
                    seq, actions = self._append(now, ledger, changes)
                    return ledger, seq, actions
        if not has_job_ledger:
            return "", 0, []
        self._extra_ledgers += 1
        ledger = f"{name}+c{self._extra_ledgers}"
        actions = self._create(now, ledger)
        seq, more = self._append(now, ledger, changes)
        return ledger, seq, actions + more

    def choose_replicas(
        self, ledger: str, avoid: frozenset[Incarnation] = frozenset()
    ) -> tuple[Incarnation, ...]:
        """Replicas for a ledger: by rank, spread over sites; empty if there are fewer others than half of
        those wanted. This member itself only where that makes the number odd: a ledger that needs its writer
        for a majority is lost with it."""
        wanted = self._rules.replicas
        others = [
            m
            for m in self._members.alive()
            if m.card.incarnation != self.me and m.card.incarnation not in avoid
        ]
        others.sort(
            key=lambda m: (
                m.health is not Health.ALIVE,
                -api.rank(ledger, m.card.incarnation.name),
                m.card.incarnation,
            )
        )
        chosen: list[Incarnation] = []
        sites: Counter[str] = Counter()
        while others and len(chosen) < wanted:
            nearest = min(others, key=lambda m: sites[m.card.site])  # the first of them, so the nearest
            others.remove(nearest)
            sites[nearest.card.site] += 1
            chosen.append(nearest.card.incarnation)
        if len(chosen) < wanted // 2:
            return ()
        if len(chosen) < wanted and len(chosen) % 2 == 0:
            chosen.append(self.me)
        return tuple(chosen)

    def notify(self, now: int, incarnations: Sequence[Incarnation], message: Learn | Close) -> list[Action]:
        """Tells incarnations of a fate until they have heard it."""
        actions: list[Action] = []
        release = message.release if isinstance(message, Learn) else True
        for incarnation in incarnations:
            actions.append(api.Send(incarnation, message))
            self._notices[incarnation, message.ledger, message.segment, release] = [
                message,
                now + self._rules.resend,
                1,
            ]
        while len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
            self.counts["notice given up"] += 1
        return actions

    def start_leading(self, now: int, claim: Claim, decision: Decision) -> list[Action]:
        """This member writes the claim's ledger from here on."""
        at = LedgerAt(claim.proposal.at.ledger, claim.proposal.at.segment + 1, decision.replicas)
        writer = Writer(self.me, at, self._members, self._rules, self, claim.content or {})
        self.writers[at.ledger] = writer
        return writer.open_as_leader(now, claim.unreleased)

    # Inside

    def _is_alive(self, incarnation: Incarnation) -> bool:
        return incarnation == self.me or self._members.health(incarnation) in (Health.ALIVE, Health.SUSPECT)

    def _create(self, now: int, ledger: str) -> list[Action]:
        writer = Writer(
            self.me, LedgerAt(ledger, 0, self.choose_replicas(ledger)), self._members, self._rules, self
        )
        self.writers[ledger] = writer
        return writer.open(now)

    def _majority_lost(self, writer: Writer) -> bool:
        """A majority of its replicas is dead."""
        replicas = writer.at.replicas
        return 2 * sum(self._is_alive(replica) for replica in replicas) <= len(replicas) > 0

    def _append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        writer = self.writers.get(ledger)
        if writer is None or not writer.ready:
            return 0, []
        seq, actions = writer.append(now, changes)
        for change in changes:
            if change.value is None and change.key.startswith(CLAIM):
                self._key_drops.append((ledger, seq, change.key[len(CLAIM) :]))
        return seq, actions

    def _dispatch(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Hands a message to whoever wants it."""
        if isinstance(message, LearnAck):
            self._notices.pop((sender, message.ledger, message.segment, message.release), None)
            return []
        writer = self.writers.get(message.ledger)
        if isinstance(message, AppendReply):
            return writer.on_append_reply(now, sender, message) if writer is not None else []
        if isinstance(message, Promise | Accepted | Page):
            if writer is not None:
                return writer.on_seal_reply(now, sender, message)
            return self.recovery.received(now, sender, message)
        answer = self.replica.received(now, sender, message)
        actions: list[Action] = [] if answer is None else [api.Send(sender, answer)]
        if isinstance(message, Learn) and writer is not None:
            actions += writer.on_learn(now, message)
        return actions

    def _deliver_local(self, now: int, actions: list[Action]) -> list[Action]:
        """Delivers what goes to this member itself, and acts on the news of its own parts."""
        out: list[Action] = []
        queue, i = list(actions), 0
        while i < len(queue):
            action = queue[i]
            i += 1
            if isinstance(action, api.Send):
                if action.to == self.me:
                    queue += self._dispatch(now, self.me, action.message)
                else:
                    out.append(action)
                continue
            out.append(action)
            if isinstance(action, Kept):
                queue += self._on_committed(now, action)
            elif isinstance(action, Fenced):
                self.writers.pop(action.ledger, None)
                self._inherited_claims = {
                    k: v for k, v in self._inherited_claims.items() if v[1] != action.ledger
                }
                queue += self.recovery.on_fenced(now, action.ledger, action.by)
            elif isinstance(action, Claimed):
                self._inherit_claims(action)
        return out + self._publish_locations()

    def _on_committed(self, now: int, news: Kept) -> list[Action]:
        """What waited for this to be kept."""
        actions = self.recovery.on_committed(now, news.ledger, news.seq)
        remaining: list[tuple[str, int, str]] = []
        for drop in self._key_drops:
            own_ledger, seq, ledger = drop
            if own_ledger != news.ledger or seq > news.seq:
                remaining.append(drop)
                continue
            if self.recovery.keys.get(ledger) is None or self.recovery.keys[ledger].ledger != own_ledger:
                continue
            self._inherited_claims.pop(ledger, None)
            for proposal in self.recovery.on_key_dropped(ledger):
                actions += self.notify(now, proposal.at.replicas, proposal.learn_message(True))
        self._key_drops = remaining
        return actions

    def _inherit_claims(self, news: Claimed) -> None:
        """Claims of the dead are this member's to go on with."""
        for key, value in news.content.items():
            if key.startswith(CLAIM):
                try:
                    found = _CLAIM_RECORD.decode(value)
                except (msgspec.MsgspecError, UnicodeDecodeError):
                    self.counts["claim not readable"] += 1
                    continue
                self._inherited_claims[found.ledger] = frozenset(found.claimants), news.into

    def _resend_notices(self, now: int) -> list[Action]:
        actions: list[Action] = []
        for key, notice in list(self._notices.items()):
            message, due, times = notice
            if due > now:
                continue
            dead = key[0] != self.me and self._members.health(key[0]) in (Health.DEAD, Health.LEFT, None)
            if times >= MAX_NOTICE_SENDS:
                del self._notices[key]
                continue
            # one held for dead by mistake must hear it too, sometime
            notice[1:] = (
                now + (self._rules.resend << (8 if dead else min(times, 6))),
                times + (5 if dead else 1),
            )
            actions.append(api.Send(key[0], message))
        return actions

    def _publish_locations(self) -> list[Action]:
        """Tells all members where its ledgers are, when that has changed."""
        # danger: a ledger between two segments must be found too, by the one before
        at = tuple(w.last_opened for w in self.writers.values() if w.last_opened is not None)
        if at == self._published:
            return []
        self._published = at
        return list(self._members.writes(at))
