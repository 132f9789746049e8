"""The ledgers of one member: those it writes, those it replicates for others and those it recovers. No input
or output.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec

from ironbarrow.fleet import api
from ironbarrow.fleet.api import (
    Action,
    Change,
    Claimed,
    Committed,
    Decision,
    Fenced,
    Health,
    Incarnation,
    LedgerLocation,
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

MAX_NOTICE_SENDS = 100  # sends of a notice without acknowledgement, with exponential backoff from ``resend``
MAX_NOTICES = 4096  # unacknowledged; beyond, the oldest is given up
_CLAIM_RECORD = msgspec.msgpack.Decoder(ClaimRecord)


class LedgerMachine:
    """Implements ``api.Ledgers`` and ``api.Machine``. If this member is a replica of its own ledger, the
    messages are the same but are delivered locally."""

    handles: tuple[type[api.Message], ...] = (*REQUESTS, *REPLIES)

    def __init__(self, me: Incarnation, members: api.Members, rules: LedgerRules) -> None:
        self.me, self._members, self._rules = me, members, rules
        self.replica = Replica(me, self._is_alive, rules)
        self.writers: dict[str, Writer] = {}
        self.recovery = LedgerRecovery(me, members, rules, self)
        self.counts: Counter[str] = Counter()
        # by ledger: incarnations whose claims of it this member continues, and the own ledger with the key
        self._inherited_claims: dict[str, tuple[frozenset[Incarnation], str]] = {}
        # own ledger, number of the change, claimed ledger whose key that change drops
        self._key_drops: list[tuple[str, int, str]] = []
        # by recipient, ledger, segment and release: message, when to resend it, times sent
        self._notices: dict[tuple[Incarnation, str, int, bool], list[Any]] = {}
        self._extra_ledgers = 0  # opened for claim keys
        self._published: tuple[LedgerLocation, ...] = ()
        self._fenced_location: tuple[LedgerLocation, ...] = ()  # of the job ledger, once another sealed it

    # api.Ledgers

    def create(self, now: int, ledger: str) -> list[Action]:
        return self._deliver_local(now, self._create(now, ledger)) if ledger not in self.writers else []

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        seq, actions = self._append(now, ledger, changes)
        return seq, self._deliver_local(now, actions)

    def claim(self, now: int, at: LedgerLocation, into: str = "") -> list[Action]:
        inherited_from, recorded_in = self._inherited_claims.get(at.ledger, (frozenset(), into))
        return self._deliver_local(now, self.recovery.start(now, at, False, inherited_from, recorded_in))

    def lead(self, now: int, at: LedgerLocation) -> list[Action]:
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

    # Services for writers and recoveries

    def append_own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        """Appends to a ledger of this member ("": its newest job ledger); returns the ledger's name and the
        number of the last change, 0 if there is no such ledger. If all its job ledgers have lost a majority
        of their replicas, it creates another: when many members have failed at once, nobody could claim
        anything otherwise."""
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
        """Chooses replicas for a ledger by rank, spread over the sites; empty if fewer than half of the
        configured number are available. This member itself is added only to make the number odd: a ledger
        that needs its writer for a majority can't be recovered without it."""
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
            candidate = min(others, key=lambda m: sites[m.card.site])  # the first one has the highest rank
            others.remove(candidate)
            sites[candidate.card.site] += 1
            chosen.append(candidate.card.incarnation)
        if len(chosen) < wanted // 2:
            return ()
        if len(chosen) < wanted and len(chosen) % 2 == 0:
            chosen.append(self.me)
        return tuple(chosen)

    def notify(self, now: int, incarnations: Sequence[Incarnation], message: Learn | Close) -> list[Action]:
        """Sends a message to incarnations, and again until each has acknowledged it."""
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
        """Makes this member the writer of a ledger whose next segment has been decided to be its own."""
        at = LedgerLocation(claim.proposal.at.ledger, claim.proposal.at.segment + 1, decision.replicas)
        writer = Writer(self.me, at, self._members, self._rules, self, claim.content or {})
        self.writers[at.ledger] = writer
        return writer.open_as_leader(now, claim.unreleased)

    # Internals

    def _is_alive(self, incarnation: Incarnation) -> bool:
        return incarnation == self.me or self._members.health(incarnation) in (Health.ALIVE, Health.SUSPECT)

    def _create(self, now: int, ledger: str) -> list[Action]:
        writer = Writer(
            self.me, LedgerLocation(ledger, 0, self.choose_replicas(ledger)), self._members, self._rules, self
        )
        self.writers[ledger] = writer
        return writer.open(now)

    def _majority_lost(self, writer: Writer) -> bool:
        """Whether so many replicas are dead that the others are no majority."""
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
        """Passes a message to the part that handles it."""
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
        reply = self.replica.received(now, sender, message)
        actions: list[Action] = [] if reply is None else [api.Send(sender, reply)]
        if isinstance(message, Learn) and writer is not None:
            actions += writer.on_learn(now, message)
        return actions

    def _deliver_local(self, now: int, actions: list[Action]) -> list[Action]:
        """Delivers messages to this member itself, and acts on the events of its parts; returns all other
        actions and the events."""
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
            if isinstance(action, Committed):
                queue += self._on_committed(now, action)
            elif isinstance(action, Fenced):
                self._remove_fenced_writer(action.ledger)
                self._inherited_claims = {
                    k: v for k, v in self._inherited_claims.items() if v[1] != action.ledger
                }
                queue += self.recovery.on_fenced(now, action.ledger, action.by)
            elif isinstance(action, Claimed):
                self._inherit_claims(action)
        return out + self._publish_locations()

    def _remove_fenced_writer(self, ledger: str) -> None:
        """A job ledger stays published: not all members may have heard of a claimant that then ended."""
        writer = self.writers.pop(ledger, None)
        if writer is not None and writer.last_opened is not None and ledger == api.job_ledger(self.me):
            self._fenced_location = (writer.last_opened,)

    def _on_committed(self, now: int, event: Committed) -> list[Action]:
        """Continues what waited for a commit: claims whose keys were written, and releases after a key was
        dropped."""
        actions = self.recovery.on_committed(now, event.ledger, event.seq)
        remaining: list[tuple[str, int, str]] = []
        for drop in self._key_drops:
            own_ledger, seq, ledger = drop
            if own_ledger != event.ledger or seq > event.seq:
                remaining.append(drop)
                continue
            if self.recovery.keys.get(ledger) is None or self.recovery.keys[ledger].ledger != own_ledger:
                continue
            self._inherited_claims.pop(ledger, None)
            for proposal in self.recovery.on_key_dropped(ledger):
                actions += self.notify(now, proposal.at.replicas, proposal.learn_message(True))
        self._key_drops = remaining
        return actions

    def _inherit_claims(self, event: Claimed) -> None:
        """Takes over the claims that a claimed ledger contains."""
        for key, value in event.content.items():
            if key.startswith(CLAIM):
                try:
                    record = _CLAIM_RECORD.decode(value)
                except (msgspec.MsgspecError, UnicodeDecodeError):
                    self.counts["unreadable claim"] += 1
                    continue
                self._inherited_claims[record.ledger] = frozenset(record.claimants), event.recorded_in

    def _resend_notices(self, now: int) -> list[Action]:
        """Resends the notices that are due, with a growing delay."""
        actions: list[Action] = []
        for key, notice in list(self._notices.items()):
            message, due, times = notice
            if due > now:
                continue
            dead = key[0] != self.me and self._members.health(key[0]) in (Health.DEAD, Health.LEFT, None)
            if times >= MAX_NOTICE_SENDS:
                del self._notices[key]
                continue
            # a member that is considered dead may be alive, and must learn of it eventually
            notice[1:] = (
                now + (self._rules.resend << (8 if dead else min(times, 6))),
                times + (5 if dead else 1),
            )
            actions.append(api.Send(key[0], message))
        return actions

    def _publish_locations(self) -> list[Action]:
        """Publishes to all members where this member's ledgers are, if that has changed."""
        # the last opened segment, so that a ledger can be recovered while it moves to the next one
        at = tuple(w.last_opened for w in self.writers.values() if w.last_opened is not None)
        at += self._fenced_location
        if at == self._published:
            return []
        self._published = at
        return list(self._members.announce_ledgers(at))
