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
    Committed,
    Decision,
    Fenced,
    Health,
    Incarnation,
    LedgerLocation,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.ledgers.claimant import Claim, Claimant, ClaimKey
from ironbarrow.fleet.ledgers.messages import (
    TO_REPLICA,
    TO_WRITER,
    Accepted,
    Appended,
    Close,
    Learn,
    Learned,
    Page,
    Promise,
)
from ironbarrow.fleet.ledgers.replica import Replica
from ironbarrow.fleet.ledgers.writer import Writer
from ironbarrow.fleet.records import CLAIM

TELLS = (
    100  # times, ``resend`` apart and then ever longer: so often a fate is told to one that does not answer
)
TELLS_MOST = 4096  # notices under way: beyond, the oldest is given up
_KEY = msgspec.msgpack.Decoder(ClaimKey)


class LedgerMachine:
    """Implements ``api.Ledgers`` and ``api.Machine``. What this member keeps of its own ledger goes the same
    way as for others, without the network."""

    handles: tuple[type[api.Message], ...] = (*TO_REPLICA, *TO_WRITER)

    def __init__(self, me: Incarnation, members: api.Members, rules: LedgerRules) -> None:
        self.me, self._members, self._rules = me, members, rules
        self.replica = Replica(me, self._is_alive, rules)
        self.writers: dict[str, Writer] = {}
        self.claimant = Claimant(me, members, rules, self)
        self.counts: Counter[str] = Counter()
        self._heirs: dict[
            str, tuple[frozenset[Incarnation], str]
        ] = {}  # whose claims of a ledger are its own, by which
        self._drops: list[tuple[str, int, str]] = []  # own ledger, number, ledger whose key that drops
        self._tells: dict[tuple[Incarnation, str, int, bool], list[Any]] = {}  # message, due, times
        self._further = 0  # ledgers opened for claims
        self._told: tuple[LedgerLocation, ...] = ()

    # api.Ledgers

    def create(self, now: int, ledger: str) -> list[Action]:
        return self._settle(now, self._create(now, ledger)) if ledger not in self.writers else []

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        seq, actions = self._append(now, ledger, changes)
        return seq, self._settle(now, actions)

    def claim(self, now: int, at: LedgerLocation) -> list[Action]:
        heir_of, into = self._heirs.get(at.ledger, (frozenset(), ""))
        return self._settle(now, self.claimant.start(now, at, False, heir_of, into))

    def lead(self, now: int, at: LedgerLocation) -> list[Action]:
        writer = self.writers.get(at.ledger)
        if writer is not None:
            return [api.Moved(writer.at, dict(writer.table))] if writer.opened else []
        return self._settle(now, self.claimant.start(now, at, True))

    def close(self, now: int, ledger: str) -> list[Action]:
        writer = self.writers.pop(ledger, None)
        return self._settle(now, writer.close(now)) if writer is not None else []

    # api.Machine

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        return self._settle(now, self._take(now, sender, message))

    def ticked(self, now: int) -> list[Action]:
        self.replica.ticked(now)
        actions: list[Action] = []
        for writer in list(self.writers.values()):
            if writer.next_at() <= now:
                actions += writer.ticked(now)
        actions += self.claimant.ticked(now)
        actions += self._tell_again(now)
        return self._settle(now, actions)

    def next_at(self) -> int:
        due = min(self.replica.next_at(), self.claimant.next_at())
        for writer in self.writers.values():
            due = min(due, writer.next_at())
        for tell in self._tells.values():
            due = min(due, tell[1])
        return due

    # What the parts ask of it

    def own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        """Appends to that ledger of this member ("": its newest job ledger): its name, the number, 0 if
        there is none. Where all its job ledgers have lost a majority of their replicas, another is opened:
        after a mass death nobody could claim anything otherwise."""
        name = into or api.job_ledger(self.me)
        there = False
        for ledger in reversed(self.writers):
            if ledger == name or (not into and ledger.startswith(name + "+")):
                there = True
                if into or not self._hopeless(self.writers[ledger]):
                    seq, actions = self._append(now, ledger, changes)
                    return ledger, seq, actions
        if not there:
            return "", 0, []
        self._further += 1
        ledger = f"{name}+c{self._further}"
        actions = self._create(now, ledger)
        seq, more = self._append(now, ledger, changes)
        return ledger, seq, actions + more

    def choose(self, ledger: str, avoid: frozenset[Incarnation] = frozenset()) -> tuple[Incarnation, ...]:
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
            least = min(others, key=lambda m: sites[m.card.site])  # the first of them, so the nearest
            others.remove(least)
            sites[least.card.site] += 1
            chosen.append(least.card.incarnation)
        if len(chosen) < wanted // 2:
            return ()
        if len(chosen) < wanted and len(chosen) % 2 == 0:
            chosen.append(self.me)
        return tuple(chosen)

    def tell(self, now: int, incarnations: Sequence[Incarnation], learn: Learn | Close) -> list[Action]:
        """Tells incarnations of a fate until they have heard it."""
        actions: list[Action] = []
        release = learn.release if isinstance(learn, Learn) else True
        for incarnation in incarnations:
            actions.append(api.Send(incarnation, learn))
            self._tells[incarnation, learn.ledger, learn.segment, release] = [
                learn,
                now + self._rules.resend,
                1,
            ]
        while len(self._tells) > TELLS_MOST:
            del self._tells[next(iter(self._tells))]
            self.counts["notice given up"] += 1
        return actions

    def lead_on(self, now: int, claim: Claim, decision: Decision) -> list[Action]:
        """This member writes the claim's ledger from here on."""
        at = LedgerLocation(claim.proposal.at.ledger, claim.proposal.at.segment + 1, decision.replicas)
        writer = Writer(self.me, at, self._members, self._rules, self, claim.content or {})
        self.writers[at.ledger] = writer
        return writer.led(now, claim.passed)

    # Inside

    def _is_alive(self, incarnation: Incarnation) -> bool:
        return incarnation == self.me or self._members.health(incarnation) in (Health.ALIVE, Health.SUSPECT)

    def _create(self, now: int, ledger: str) -> list[Action]:
        writer = Writer(
            self.me, LedgerLocation(ledger, 0, self.choose(ledger)), self._members, self._rules, self
        )
        self.writers[ledger] = writer
        return writer.open(now)

    def _hopeless(self, writer: Writer) -> bool:
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
                self._drops.append((ledger, seq, change.key[len(CLAIM) :]))
        return seq, actions

    def _take(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Hands a message to whoever wants it."""
        if isinstance(message, Learned):
            self._tells.pop((sender, message.ledger, message.segment, message.release), None)
            return []
        writer = self.writers.get(message.ledger)
        if isinstance(message, Appended):
            return writer.appended(now, sender, message) if writer is not None else []
        if isinstance(message, Promise | Accepted | Page):
            if writer is not None:
                return writer.proposed(now, sender, message)
            return self.claimant.received(now, sender, message)
        answer = self.replica.received(now, sender, message)
        actions: list[Action] = [] if answer is None else [api.Send(sender, answer)]
        if isinstance(message, Learn) and writer is not None:
            actions += writer.learned(now, message)
        return actions

    def _settle(self, now: int, actions: list[Action]) -> list[Action]:
        """Delivers what goes to this member itself, and acts on the news of its own parts."""
        out: list[Action] = []
        queue, i = list(actions), 0
        while i < len(queue):
            action = queue[i]
            i += 1
            if isinstance(action, api.Send):
                if action.to == self.me:
                    queue += self._take(now, self.me, action.message)
                else:
                    out.append(action)
                continue
            out.append(action)
            if isinstance(action, Committed):
                queue += self._kept(now, action)
            elif isinstance(action, Fenced):
                self.writers.pop(action.ledger, None)
                self._heirs = {k: v for k, v in self._heirs.items() if v[1] != action.ledger}
                queue += self.claimant.fenced(now, action.ledger, action.by)
            elif isinstance(action, Claimed):
                self._inherit(action)
        return out + self._card()

    def _kept(self, now: int, news: Committed) -> list[Action]:
        """What waited for this to be kept."""
        actions = self.claimant.kept(now, news.ledger, news.seq)
        left: list[tuple[str, int, str]] = []
        for drop in self._drops:
            own, seq, ledger = drop
            if own != news.ledger or seq > news.seq:
                left.append(drop)
                continue
            if self.claimant.keys.get(ledger) is None or self.claimant.keys[ledger].ledger != own:
                continue
            self._heirs.pop(ledger, None)
            for proposal in self.claimant.dropped(ledger):
                actions += self.tell(now, proposal.at.replicas, proposal.learn(True))
        self._drops = left
        return actions

    def _inherit(self, news: Claimed) -> None:
        """Claims of the dead are this member's to go on with."""
        for key, value in news.content.items():
            if key.startswith(CLAIM):
                try:
                    found = _KEY.decode(value)
                except (msgspec.MsgspecError, UnicodeDecodeError):
                    self.counts["claim not readable"] += 1
                    continue
                self._heirs[found.ledger] = frozenset(found.of), news.recorded_in

    def _tell_again(self, now: int) -> list[Action]:
        actions: list[Action] = []
        for key, tell in list(self._tells.items()):
            message, due, times = tell
            if due > now:
                continue
            dead = key[0] != self.me and self._members.health(key[0]) in (Health.DEAD, Health.LEFT, None)
            if times >= TELLS:
                del self._tells[key]
                continue
            # one held for dead by mistake must hear it too, sometime
            tell[1:] = (
                now + (self._rules.resend << (8 if dead else min(times, 6))),
                times + (5 if dead else 1),
            )
            actions.append(api.Send(key[0], message))
        return actions

    def _card(self) -> list[Action]:
        """Tells all members where its ledgers are, when that has changed."""
        # danger: a ledger between two segments must be found too, by the one before
        at = tuple(w.known for w in self.writers.values() if w.known is not None)
        if at == self._told:
            return []
        self._told = at
        return list(self._members.announce_ledgers(at))
