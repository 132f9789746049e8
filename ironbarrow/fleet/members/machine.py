"""The list of members, kept by each member for itself. No input or output.

Each member asks one other in every period whether it is there; where no answer comes, through some others, of
several sites. Who can't be reached so is suspected, which everybody hears, itself too: it objects by a higher
version of its card. What nobody objects to in time is a death. All that is heard travels on with other
messages, so many times and no more; now and then two members compare a part of their lists.
"""

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from typing import Any

import msgspec

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Card,
    Health,
    LedgerAt,
    Life,
    Member,
    MemberChanged,
    Message,
    News,
    Send,
    rank,
)
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.members.messages import (
    RANK,
    RANKS,
    VERSION_MOST,
    Ack,
    Ask,
    Cards,
    Ping,
    Rumour,
    Sync,
    Want,
)
from ironbarrow.runtime.clock import MS, SECOND

_ITEMS = 10  # rumours in a message
_BYTES = 1400  # of rumours in a message, but for the first
_SYNCED_TELLS = 3  # of what a sync brought
_FANOUT = 2  # members that are told in half a period, while there is something to tell
_PART = 64  # members whose state is compared in a sync
_CARDS = 24  # cards in an answer to a sync
_SYNC_EVERY = 5 * SECOND
_SYNC_LEAST = SECOND // 2  # as long as a sync brings news
_TRY_EVERY = SECOND  # one that is held dead, or a seed that is not known, is asked again
_RELAYS = 256  # questions asked for others at a time
_ILL_MOST = 4  # doublings of half a time-out while this member itself seems slow
_CONFIRMATIONS = 3  # others that can't reach it either shorten the time of a suspicion
_SHORTEST = 3  # to this part
_CREDIBLE_AFTER = 3  # times the longest suspicion
_NAME_MOST = 64  # characters, as in the file
_TEXT_MOST = 300  # of an address or a ledger's name
_KEEPERS_MOST = 8
_LEDGERS_MOST = 64


@dataclass(frozen=True, slots=True)
class Replaced(News):
    """Another process goes by this member's name, with a later start: this life is held dead for good."""

    by: Life


@dataclass(slots=True, eq=False)
class _Entry:
    card: Card  # the newest; its version may be behind
    version: int
    health: Health
    since: int
    share: int  # the name's place among the parts of a sync
    member: Member
    heard: int = 0  # when a message of its own last came
    by: set[str] = field(default_factory=set)  # who could not reach it
    until: int = NEVER  # end of the suspicion
    doubted: int = 0
    back: int = -NEVER  # when it came in sight, or came back, after others had begun


@dataclass(slots=True, eq=False)
class _Probe:
    life: Life
    since: int
    helpers_at: int
    end: int
    helpers: int = -1  # asked; -1: not yet
    refused: int = 0


@dataclass(slots=True, eq=False)
class _Relay:
    asker: Life
    number: int
    target: Life
    until: int


class MemberMachine:
    """The list of one member. ``seeds``: names that it knows from its file, none of them its own; ``known``:
    cards of others that an earlier life of it held alive."""

    handles: tuple[type[Message], ...] = (Ping, Ack, Ask, Sync, Cards, Want)

    def __init__(
        self,
        me: Card,
        rules: MemberRules,
        seeds: Iterable[str] = (),
        now: int = 0,
        known: Iterable[Card] = (),
    ) -> None:
        self.me = me
        self.rules = rules
        self.seeds = tuple(sorted(seeds))
        self.dropped: Counter[str] = Counter()  # what was heard and not used, by cause
        self.refuted = 0  # suspicions of this member
        self.left = False
        self._random = random.Random(str(me.life))
        self._entries: dict[str, _Entry] = {}
        self._past: dict[Life, Health] = {}  # lives that came to an end for good
        self._forgotten: dict[Life, Health] = {}  # dead ones that are kept no more
        self._suspects: dict[str, _Entry] = {}
        self._queue: dict[str, int] = {me.life.name: 0}  # what is told, and how many times it was
        self._sizes: dict[str, int] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._number = 0
        self._order: list[str] = []  # who is asked next, from the end
        self._urgent: dict[str, None] = {}  # who is asked before these
        self._last_urgent = False
        self._ill = 0
        self._heard_at = now  # anybody
        self._replaced: Life | None = None
        self._alive: tuple[Member, ...] | None = None
        self._me_since = self._now = now
        self._out: list[Action] = []
        self._ping_at = now + self._random.randrange(rules.period)
        self._gossip_at = now
        self._sync_wait = _SYNC_LEAST
        self._sync_at = now + self._random.randrange(_SYNC_LEAST)
        self._try_at = now
        for card in known:
            self._hear(now, Rumour(card.life, card.version, RANK[Health.ALIVE], card=card))

    # What the others ask

    def alive(self) -> Sequence[Member]:
        if self._alive is None:
            found = [e.member for e in self._entries.values() if e.health in (Health.ALIVE, Health.SUSPECT)]
            found.append(Member(self.me, Health.ALIVE, self._me_since))
            own = [m.card.life for m in found if m.card.life.name == self.me.life.name]
            check("self alive", own == [self.me.life], me=self.me.life, found=own)
            self._alive = tuple(sorted(found, key=lambda member: member.card.life.name))
        return self._alive

    def health(self, life: Life) -> Health | None:
        if life.name == self.me.life.name:
            return (
                Health.ALIVE if life.start in (0, self.me.life.start) else self._past.get(life, Health.DEAD)
            )
        entry = self._entries.get(life.name)
        if entry is None:
            return self._past.get(life)
        if life.start in (0, entry.card.life.start):
            return entry.health
        return self._past.get(life, Health.DEAD) if life.start < entry.card.life.start else None

    def card(self, name: str) -> Card | None:
        if name == self.me.life.name:
            return self.me
        entry = self._entries.get(name)
        return None if entry is None else entry.card

    def known(self) -> Sequence[Member]:
        """All others, also the dead and those that left, in order of name."""
        return [self._entries[name].member for name in sorted(self._entries)]

    def sites_out_of_sight(self) -> list[str]:
        """Other sites of which no known member is ALIVE and at least one neither that nor LEFT."""
        seen: dict[str, set[Health]] = {}
        for entry in self._entries.values():
            seen.setdefault(entry.card.site, set()).add(entry.health)
        return sorted(
            site
            for site, healths in seen.items()
            if site != self.me.site and Health.ALIVE not in healths and healths != {Health.LEFT}
        )

    # Orders

    def writes(self, ledgers: tuple[LedgerAt, ...]) -> list[Action]:
        self._new_card(msgspec.structs.replace(self.me, ledgers=ledgers), self.me.version)
        self._tell_some(_FANOUT)
        return self._flush()

    def fronts(self, front: str) -> list[Action]:
        """This member is reached by consumers and providers at another address now."""
        self._new_card(msgspec.structs.replace(self.me, front=front), self.me.version)
        self._tell_some(_FANOUT)
        return self._flush()

    def leave(self, now: int) -> list[Action]:
        """This member goes in good order: it is LEFT to all others, and asks nobody any more."""
        self.left = True
        self._probes.clear()
        self._queue = {self.me.life.name: 0}
        self._tell_some(8)
        return self._flush()

    def doubted(self, now: int, name: str) -> list[Action]:
        """A connection to it broke or was refused: it is asked at once, directly and through others."""
        self._awake(now)
        entry = self._entries.get(name)
        if entry is None or entry.health is not Health.ALIVE or self.left:
            return self._flush()
        if now - entry.doubted >= self.rules.period:
            entry.doubted = now
            self._ask(now, entry, direct_only=0)
        return self._flush()

    # Messages

    def received(self, now: int, sender: Life, message: Any) -> list[Action]:
        self._awake(now)
        if sender.name == self.me.life.name:
            self._of_me(sender, self.me.version, Health.ALIVE)
            return self._flush()
        self._heard_at = now
        entry = self._entries.get(sender.name)
        if entry is not None and entry.card.life == sender:
            entry.heard = now
            if entry.health is Health.LEFT:
                self.dropped["left"] += 1
                return self._flush()
        if isinstance(message, Ping):
            self._on_ping(now, sender, message)
        elif isinstance(message, Ack):
            self._on_ack(now, sender, message)
        elif isinstance(message, Ask):
            self._on_ask(now, sender, message)
        elif isinstance(message, Sync):
            self._on_sync(now, sender, message)
        elif isinstance(message, Cards):
            before = len(self._out)
            for rumour in message.items:
                self._hear(now, rumour, message.synced)
            if message.synced and len(self._out) > before and self._sync_wait > _SYNC_LEAST:
                self._sync_wait = _SYNC_LEAST
                self._sync_at = min(self._sync_at, now + _SYNC_LEAST)
        elif isinstance(message, Want):
            wanted = [self._rumour(name, full=True, now=now) for name in message.names[: 4 * _PART]]
            self._send_cards(sender, [rumour for rumour in wanted if rumour is not None], synced=True)
        return self._flush()

    def _on_ping(self, now: int, sender: Life, ping: Ping) -> None:
        self._of_me(self.me.life, ping.seen, _health(ping.seen_health))
        for rumour in ping.news:
            self._hear(now, rumour)
        seen, health = self._seen(sender)
        first = [self.me.life.name] if ping.seen < self.me.version else []
        entry = self._entries.get(sender.name)
        if entry is not None and entry.card.life.start > sender.start:
            first.append(sender.name)  # it is told that it has been replaced
        news = self._some(first, sender.name)
        self._send(sender, Ack(ping.number, self.me.version, seen, health, news))

    def _on_ack(self, now: int, sender: Life, ack: Ack) -> None:
        for rumour in ack.news:
            self._hear(now, rumour)
        if ack.about is None:
            self._of_me(self.me.life, ack.seen, _health(ack.seen_health))
            if ack.seen < self.me.version and not self.left:
                mine = self._rumour(self.me.life.name, full=True, now=now)
                self._send_cards(sender, [mine] if mine is not None else [])
        relay = self._relays.get(ack.number)
        if relay is not None and relay.target == sender:
            del self._relays[ack.number]
            found = Ack(
                relay.number, self.me.version, news=self._some([sender.name], relay.asker.name), about=sender
            )
            self._send(relay.asker, found)
        probe = self._probes.get(ack.number)
        if probe is None or probe.life != (ack.about or sender):
            return
        if ack.reached:
            del self._probes[ack.number]
            self._ill = max(0, self._ill - 1)
        else:
            probe.refused += 1
            if probe.helpers_at <= now and probe.refused >= probe.helpers > 0:
                probe.end = now

    def _on_ask(self, now: int, sender: Life, ask: Ask) -> None:
        for rumour in ask.news:
            self._hear(now, rumour)
        if ask.target.name == self.me.life.name or len(self._relays) >= _RELAYS:
            self.dropped["asked"] += 1
            return
        self._number += 1
        self._relays[self._number] = _Relay(sender, ask.number, ask.target, now + self.rules.timeout)
        news = self._some([], ask.target.name)
        self._send(
            ask.target,
            Ping(self._number, self.me.version, *self._seen(ask.target, ask.seen, ask.seen_health), news),
        )

    def _on_sync(self, now: int, sender: Life, sync: Sync) -> None:
        if sync.card.life != sender or not 0 <= sync.part < sync.parts:
            self.dropped["malformed"] += 1
            return
        self._hear(now, Rumour(sender, sync.card.version, 0, card=sync.card))
        theirs: dict[str, Rumour] = {}
        want: list[str] = []
        for rumour in sync.known:
            theirs[rumour.life.name] = rumour
            entry = self._entries.get(rumour.life.name)
            if rumour.life.name == self.me.life.name or (
                entry is not None and entry.card.life == rumour.life
            ):
                self._hear(now, rumour, synced=True)
            if entry is None:
                if rumour.life.name != self.me.life.name and rumour.age_ms * MS < self.rules.keep_dead:
                    want.append(rumour.life.name)
            elif (rumour.life.start, rumour.version) > (entry.card.life.start, entry.card.version):
                want.append(rumour.life.name)
        give: list[Rumour] = []
        for name in [self.me.life.name, *self._entries]:
            mine_too = name == self.me.life.name or self._share(name) % sync.parts == sync.part
            if name == sender.name or not mine_too:
                continue
            mine = self._rumour(name, full=True, now=now)
            known = theirs.get(name)
            if mine is not None and (known is None or _key(known) < _key(mine)):
                give.append(mine)
        self._send_cards(sender, give, synced=True)
        if want:
            self._send(sender, Want(tuple(want[: 4 * _PART])))

    # Time

    def ticked(self, now: int) -> list[Action]:
        self._awake(now)
        for number, probe in list(self._probes.items()):
            if probe.end <= now:
                del self._probes[number]
                self._failed(now, probe)
            elif probe.helpers < 0 and probe.helpers_at <= now:
                self._ask_helpers(now, number, probe)
        for number, relay in list(self._relays.items()):
            if relay.until <= now:
                del self._relays[number]
                self._send(relay.asker, Ack(relay.number, self.me.version, about=relay.target, reached=False))
        for entry in list(self._suspects.values()):
            if entry.until <= now:
                self._die(now, entry)
        if self.left:
            self._ping_at = self._sync_at = self._try_at = NEVER
        if self._ping_at <= now:
            self._ping_at = now + self._slow(self.rules.period)
            self._ask_next(now)
        if self._gossip_at <= now:
            self._gossip_at = now + self.rules.period // 2
            self._tell_some(_FANOUT)
        if self._sync_at <= now:
            self._sync_at = now + self._sync_wait
            self._sync_wait = min(2 * self._sync_wait, _SYNC_EVERY)
            alive = [e for e in self._entries.values() if e.health is Health.ALIVE]
            if alive:
                self._sync(now, self._random.choice(alive).card.life)
        if self._try_at <= now:
            self._try_at = now + _TRY_EVERY
            self._try(now)
        return self._flush()

    def next_at(self) -> int:
        return min(self._due(), self._gossip_at) if self._queue else self._due()

    def _due(self) -> int:
        """When something but gossip is due: that is put off and taken up without the time being known."""
        due = min(self._ping_at, self._sync_at, self._try_at)
        for probe in self._probes.values():
            due = min(due, probe.end if probe.helpers >= 0 else min(probe.end, probe.helpers_at))
        for relay in self._relays.values():
            due = min(due, relay.until)
        for entry in self._suspects.values():
            due = min(due, entry.until)
        return due

    def _awake(self, now: int) -> None:
        """Danger: a process that was stopped finds all its time-outs past, before it has read what came
        meanwhile. It was away, not the others: their times begin where it came back."""
        late = now - self._due()
        self._now = now
        if late < self.rules.timeout:
            return
        self._ill = min(_ILL_MOST, self._ill + 1)
        for probe in self._probes.values():
            probe.helpers_at += late
            probe.end += late
        for relay in self._relays.values():
            relay.until += late
        for entry in self._suspects.values():
            entry.until += late
        self._ping_at = max(self._ping_at, now)
        self._sync_at = max(self._sync_at, now)
        self._try_at = max(self._try_at, now)
        self._gossip_at = max(self._gossip_at, now)

    # Asking

    def _slow(self, time: int) -> int:
        """A time-out of this member, longer while it seems to be slow itself."""
        return time + time * self._ill // 2

    def _ask_next(self, now: int) -> None:
        self._last_urgent = bool(self._urgent) and not self._last_urgent
        if self._last_urgent:
            name = next(iter(self._urgent))
            del self._urgent[name]
            entry = self._entries.get(name)
            if entry is not None and entry.health in (Health.ALIVE, Health.SUSPECT):
                self._ask(now, entry)
                return
        for _ in range(2):
            while self._order:
                entry = self._entries.get(self._order.pop())
                if entry is not None and entry.health in (Health.ALIVE, Health.SUSPECT):
                    self._ask(now, entry)
                    return
            self._order = list(self._entries)
            self._random.shuffle(self._order)

    def _ask(self, now: int, entry: _Entry, direct_only: int | None = None) -> None:
        life = entry.card.life
        if any(probe.life == life for probe in self._probes.values()):
            return
        self._number += 1
        timeout = self._slow(self.rules.timeout) if direct_only is None else direct_only
        self._probes[self._number] = probe = _Probe(
            life, now, now + timeout, now + self._slow(self.rules.period)
        )
        self._send(life, Ping(self._number, self.me.version, *self._seen(life), self._some([], life.name)))
        if timeout == 0:
            self._ask_helpers(now, self._number, probe)

    def _ask_helpers(self, now: int, number: int, probe: _Probe) -> None:
        target = self._entries.get(probe.life.name)
        helpers = self._helpers(probe.life.name, target.card.site if target is not None else "")
        probe.helpers = len(helpers)
        seen, health = self._seen(probe.life)
        for helper in helpers:
            self._send(helper, Ask(number, probe.life, seen, health, self._some([], helper.name)))

    def _helpers(self, target: str, site: str) -> list[Life]:
        """Who asks in this member's stead: of other sites than both first, and of each site one in turn, so
        that a cut between two sites is seen round."""
        by_site: dict[str, list[Life]] = {}
        for name, entry in self._entries.items():
            if name != target and entry.health is Health.ALIVE:
                by_site.setdefault(entry.card.site, []).append(entry.card.life)
        sites = list(by_site)
        self._random.shuffle(sites)
        sites.sort(key=lambda s: s in (site, self.me.site))
        for lives in by_site.values():
            self._random.shuffle(lives)
        found: list[Life] = []
        while len(found) < self.rules.helpers and any(by_site.values()):
            for s in sites:
                if by_site[s] and len(found) < self.rules.helpers:
                    found.append(by_site[s].pop())
        return found

    def _failed(self, now: int, probe: _Probe) -> None:
        entry = self._entries.get(probe.life.name)
        if entry is None or entry.card.life != probe.life:
            return
        if self._heard_at < probe.since:
            self._ill = min(
                _ILL_MOST, self._ill + 1
            )  # nobody is heard: it may be this member that is cut off
        if entry.health is Health.ALIVE or entry.health is Health.SUSPECT:
            self._suspect(now, entry, entry.version, self.me.life.name)

    # What is known

    def _seen(self, life: Life, version: int = -1, health: int = 0) -> tuple[int, int]:
        """What is held of a life, or was told by the one that asks if that is more."""
        entry = self._entries.get(life.name)
        if entry is None or entry.card.life != life:
            return version, health
        # danger: who is behind with a card says so by the card's version, or it would never get it
        mine = (entry.version if entry.health is not Health.ALIVE else entry.card.version, RANK[entry.health])
        return max(mine, (version, health))

    def _of_me(self, life: Life, version: int, health: Health | None) -> None:
        """What is said of this member."""
        if life.start > self.me.life.start:
            if self._replaced is None or self._replaced.start < life.start:
                self._replaced = life
                self._out.append(Replaced(life))
            return
        bad = life == self.me.life and health in (Health.SUSPECT, Health.DEAD) and not self.left
        if bad and self.me.version <= version < VERSION_MOST:
            self.refuted += 1
            self._ill = min(_ILL_MOST, self._ill + 1)
            self._new_card(self.me, version)

    def _new_card(self, card: Card, over: int) -> None:
        version = max(self.me.version, over) + 1
        check("versions rise", version > self.me.version, was=self.me.version, now=version)
        self.me = msgspec.structs.replace(card, version=version)
        self._alive = None
        self._queue_up(self.me.life.name)

    def _hear(self, now: int, rumour: Rumour, synced: bool = False) -> None:
        """Takes in what is said of a life."""
        health, life, card = _health(rumour.health), rumour.life, rumour.card
        if health is None or not 0 <= rumour.version < VERSION_MOST or not _sound(rumour):
            self.dropped["malformed"] += 1
            return
        if life.name == self.me.life.name:
            self._of_me(life, rumour.version, health)
            return
        entry = self._entries.get(life.name)
        if entry is None or life.start > entry.card.life.start:
            over = rumour.age_ms * MS >= self.rules.keep_dead
            over = over or (health is Health.DEAD and life in self._forgotten)
            if card is None or life in self._past or over:
                self.dropped["unknown"] += 1
            elif entry is None and not self._room():
                self.dropped["full"] += 1
            else:
                self._meet(now, entry, card, rumour, health, synced)
            return
        if life.start < entry.card.life.start:
            self.dropped["earlier life"] += 1
            return
        if card is not None and card.version > entry.card.version:
            self._take(entry, card)
        if entry.health is Health.LEFT:
            return
        if health is Health.LEFT:
            self._set(now, entry, max(entry.version, rumour.version), Health.LEFT)
        elif health is Health.ALIVE:
            if rumour.version > entry.version and card is not None:
                self._set(now, entry, rumour.version, Health.ALIVE)
        elif (rumour.version, rumour.health) < (entry.version, RANK[entry.health]):
            return
        elif entry.health in (Health.ALIVE, Health.SUSPECT) and (
            synced or not self._credible(now, rumour.by)
        ):
            # danger: who was cut off holds the others dead; taken at its word when it comes back, all that
            # live would die together
            self._urgent[life.name] = None
        elif health is Health.DEAD and entry.health is Health.SUSPECT:
            if now - entry.since >= self.rules.suspect_for // _SHORTEST:
                self._die(now, entry, rumour.version)
            else:
                self._suspect(now, entry, rumour.version, rumour.by)
        elif health is Health.SUSPECT or entry.health is Health.ALIVE:
            self._suspect(now, entry, rumour.version, rumour.by)
        else:
            entry.version = max(entry.version, rumour.version)

    def _credible(self, now: int, by: str) -> bool:
        """Whether who says that it could not reach a third has itself been in sight for a while."""
        entry = self._entries.get(by)
        if entry is None or entry.health is not Health.ALIVE:
            return False
        return now - entry.back >= _CREDIBLE_AFTER * self.rules.suspect_for

    def _meet(
        self, now: int, old: _Entry | None, card: Card, rumour: Rumour, health: Health, synced: bool
    ) -> None:
        """A life that was not known. Danger: the end of the earlier one is told first."""
        name = card.life.name
        if old is not None:
            self._end(now, old)
        since = now - rumour.age_ms * MS if health is Health.DEAD else now
        entry = _Entry(
            card,
            rumour.version,
            health,
            since,
            self._share(name),
            Member(card, health, since),
            heard=now,
        )
        if old is None and now - self._me_since >= _CREDIBLE_AFTER * self.rules.suspect_for:
            entry.back = now  # it may have been cut off for so long that it was forgotten
        self._entries[name] = entry
        self._order.insert(self._random.randrange(len(self._order) + 1), name)
        if health is Health.SUSPECT:
            entry.health = Health.ALIVE
            self._suspect(now, entry, rumour.version, rumour.by, met=True)
        self._changed(now, entry, synced)

    def _end(self, now: int, entry: _Entry) -> None:
        """Another life has come after that one: it never comes back."""
        life = entry.card.life
        if entry.health is not Health.LEFT:
            self._past[life] = Health.DEAD
            self._suspects.pop(life.name, None)
            if entry.health is not Health.DEAD:
                entry.health, entry.since = Health.DEAD, now
                self._changed(now, entry)
        else:
            self._past[life] = Health.LEFT
        while len(self._past) > self.rules.most:
            del self._past[next(iter(self._past))]

    def _room(self) -> bool:
        if len(self._entries) + 1 < self.rules.most:
            return True
        gone = [n for n, e in self._entries.items() if e.health in (Health.DEAD, Health.LEFT)]
        if not gone:
            return False
        self._forget(min(gone, key=lambda n: self._entries[n].since))
        return True

    def _forget(self, name: str) -> None:
        entry = self._entries.pop(name)
        kept = self._past if entry.health is Health.LEFT else self._forgotten
        kept[entry.card.life] = entry.health
        while len(kept) > self.rules.most:
            del kept[next(iter(kept))]
        self._queue.pop(name, None)
        self._sizes.pop(name, None)
        self._urgent.pop(name, None)

    def _take(self, entry: _Entry, card: Card) -> None:
        check("versions rise", card.version > entry.card.version, was=entry.card.version, now=card.version)
        entry.card = card
        entry.member = Member(card, entry.health, entry.since)
        self._alive = None
        self._queue_up(card.life.name)

    def _set(self, now: int, entry: _Entry, version: int, health: Health) -> None:
        life = entry.card.life
        check("versions rise", version >= entry.version, was=entry.version, now=version)
        check(
            "gone stays gone",
            life not in self._past and (entry.health is not Health.LEFT or health is Health.LEFT),
            life=life,
            was=entry.health,
            now=health,
        )
        entry.version = version
        if health is not Health.SUSPECT:
            self._suspects.pop(life.name, None)
            entry.until = NEVER
            if health is not Health.DEAD:
                entry.by.clear()
        if health is not entry.health:
            if health is Health.ALIVE:
                entry.back = now
            entry.health, entry.since = health, now
            self._changed(now, entry)
        else:
            self._queue_up(life.name)

    def _changed(self, now: int, entry: _Entry, synced: bool = False) -> None:
        entry.member = Member(entry.card, entry.health, entry.since)
        self._alive = None
        self._queue_up(entry.card.life.name, synced)
        self._out.append(MemberChanged(entry.member))

    def _suspect(self, now: int, entry: _Entry, version: int, by: str, met: bool = False) -> None:
        name = entry.card.life.name
        fresh = entry.health is not Health.SUSPECT
        if entry.health in (Health.DEAD, Health.LEFT) and version <= entry.version:
            return
        if version > entry.version or entry.health is Health.ALIVE:
            entry.by.clear()
            fresh = True
        if not fresh and (not by or by in entry.by or len(entry.by) > _CONFIRMATIONS):
            return
        if by:
            entry.by.add(by)
        if fresh:
            self._suspects[name] = entry
            if by != self.me.life.name:
                self._urgent[name] = None
            entry.version = version
            entry.health, entry.since = Health.SUSPECT, now
            if not met:
                self._changed(now, entry)
        else:
            self._queue_up(name)
        longest = self._slow(self.rules.suspect_for)
        others = min(_CONFIRMATIONS, sum(1 for m in self.alive() if m.health is Health.ALIVE) - 1)
        confirmed = max(0, len(entry.by) - 1)
        part = math.log(confirmed + 1) / math.log(others + 1) if others > 0 else 0.0
        wait = int(longest - (longest - longest / _SHORTEST) * min(1.0, part))
        entry.until = max(now, entry.since + wait)

    def _die(self, now: int, entry: _Entry, version: int | None = None) -> None:
        """Danger: one that is heard lives, even if it can't be reached from here."""
        if now - entry.heard < self.rules.suspect_for // 2 and version is None:
            entry.until = entry.heard + self.rules.suspect_for
            return
        self._set(now, entry, max(version or 0, entry.version), Health.DEAD)

    # Telling

    def _share(self, name: str) -> int:
        entry = self._entries.get(name)
        return entry.share if entry is not None else rank("sync", name)

    def _queue_up(self, name: str, synced: bool = False) -> None:
        if not self._queue:
            self._gossip_at = max(self._gossip_at, self._now)
        # what one member's view brought is no news to most
        self._queue[name] = max(0, self._tells() - _SYNCED_TELLS) if synced else 0
        self._sizes.pop(name, None)

    def _tells(self) -> int:
        """How many times a rumour is told."""
        return 3 * math.ceil(math.log(len(self._entries) + 2))

    def _rumour(self, name: str, full: bool = False, now: int = 0) -> Rumour | None:
        if name == self.me.life.name:
            health = RANK[Health.LEFT] if self.left else 0
            return Rumour(self.me.life, self.me.version, health, card=self.me)
        entry = self._entries.get(name)
        if entry is None:
            return None
        card = entry.card if full or entry.health is Health.ALIVE else None
        by, age = min(entry.by, default=""), 0
        if self.me.life.name in entry.by:
            by = self.me.life.name
        if entry.health is Health.DEAD and full:
            age = (now - entry.since) // MS
        version = entry.version if entry.health is not Health.ALIVE else entry.card.version
        return Rumour(entry.card.life, version, RANK[entry.health], by, age, card)

    def _some(self, first: Sequence[str], to: str) -> tuple[Rumour, ...]:
        """What travels with a message: those named, then what was told least."""
        most = self._tells()
        names = list(first)
        for _, name in nsmallest(_ITEMS, ((sent, n) for n, sent in self._queue.items() if n != to)):
            if name not in names:
                names.append(name)
        found: list[Rumour] = []
        room = _BYTES
        for name in names[:_ITEMS]:
            rumour = self._rumour(name)
            if rumour is None:
                self._queue.pop(name, None)
                continue
            size = self._sizes.get(name) or len(msgspec.msgpack.encode(rumour))
            if found and size > room:
                continue
            room -= size
            found.append(rumour)
            if name in self._queue:
                self._sizes[name] = size
                self._queue[name] += 1
                if self._queue[name] >= most:
                    del self._queue[name]
                    del self._sizes[name]
        return tuple(found)

    def _tell_some(self, count: int) -> None:
        if not self._queue:
            return
        reachable = [
            e.card.life for e in self._entries.values() if e.health in (Health.ALIVE, Health.SUSPECT)
        ]
        for life in self._random.sample(reachable, min(count, len(reachable))):
            news = self._some([], life.name)
            if news:
                self._send(life, Cards(news))

    def _send_cards(self, to: Life, items: Sequence[Rumour], synced: bool = False) -> None:
        for start in range(0, len(items), _CARDS):
            self._send(to, Cards(tuple(items[start : start + _CARDS]), synced))

    def _sync(self, now: int, to: Life) -> None:
        parts = max(1, math.ceil(len(self._entries) / _PART))
        part = self._random.randrange(parts)
        known = []
        for name, entry in self._entries.items():
            if entry.share % parts == part or name == to.name:
                age = (now - entry.since) // MS if entry.health is Health.DEAD else 0
                version = entry.version if entry.health is not Health.ALIVE else entry.card.version
                known.append(Rumour(entry.card.life, version, RANK[entry.health], "", age))
        self._send(to, Sync(self.me, parts, part, tuple(known)))

    def _try(self, now: int) -> None:
        """Forgets those long dead, and asks one that is held dead, or a seed that is not known."""
        for name, entry in list(self._entries.items()):
            gone = entry.health in (Health.DEAD, Health.LEFT)
            if gone and now - entry.since >= self.rules.keep_dead:
                self._forget(name)
        if not self._entries:  # nobody yet
            for name in self._random.sample(self.seeds, min(3, len(self.seeds))):
                self._sync(now, Life(name))
            return
        names = [name for name, entry in self._entries.items() if entry.health is Health.DEAD]
        for name in self.seeds:
            # danger: a seed that left may have begun again where it could not be heard
            if name not in self._entries or self._entries[name].health is Health.LEFT:
                names.append(name)
        if names:
            self._sync(now, Life(self._random.choice(names)))

    def _send(self, to: Life, message: Message) -> None:
        self._out.append(Send(to, message))

    def _flush(self) -> list[Action]:
        out, self._out = self._out, []
        return out


def _health(number: int) -> Health | None:
    return RANKS[number] if 0 <= number < len(RANKS) else None


def _key(rumour: Rumour) -> tuple[int, bool, int, int]:
    left = rumour.health == RANK[Health.LEFT]
    return rumour.life.start, left, rumour.version, rumour.health


def _sound(rumour: Rumour) -> bool:
    """Danger: a value out of range would be passed on from member to member and never outdone."""
    card = rumour.card
    return (
        0 <= rumour.age_ms < VERSION_MOST
        and max(len(rumour.by), 1) <= _NAME_MOST
        and _sound_life(rumour.life)
        and (card is None or (card.life == rumour.life and _sound_card(card)))
    )


def _sound_life(life: Life) -> bool:
    return 0 < len(life.name) <= _NAME_MOST and 0 < life.start < NEVER


def _sound_card(card: Card) -> bool:
    return (
        0 <= card.version < VERSION_MOST
        and max(len(card.address), len(card.site), len(card.front)) <= _TEXT_MOST
        and len(card.ledgers) <= _LEDGERS_MOST
        and all(
            len(at.ledger) <= _TEXT_MOST
            and len(at.keepers) <= _KEEPERS_MOST
            and all(_sound_life(keeper) for keeper in at.keepers)
            for at in card.ledgers
        )
    )
