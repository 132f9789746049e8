"""Members and ledgers of a simulated fleet without their messages: for what is done with them.

The truth is in one place (``Shared``), each member sees it late. Ledgers keep what the real ones promise:
entries count a while after they are appended, in order; one who leads fences the writer before, gets all
that counted, and what had not counted may or may not be in it (here: a draw).
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ironbarrow.fleet.api import (
    Action,
    Card,
    Change,
    Fenced,
    Health,
    Kept,
    LedgerAt,
    Life,
    Member,
    Moved,
    News,
)
from ironbarrow.lab.fleet.net import SimulatedNet
from ironbarrow.runtime.clock import MS


@dataclass(slots=True)
class _Ledger:
    """A ledger: what counts, and what was appended since."""

    name: str
    writer: Life
    segment: int = 0
    seq: int = 0
    content: dict[str, bytes] = field(default_factory=dict)
    under_way: list[tuple[int, Sequence[Change]]] = field(default_factory=list)


class Shared:
    """What all know in the end."""

    def __init__(self, net: SimulatedNet, tell: Callable[[str, News], None], seed: int) -> None:
        """``tell``: gives news to a member of that name, if it runs."""
        self.net, self.tell, self.random = net, tell, random.Random(seed)
        self.ledgers: dict[str, _Ledger] = {}
        self.cards: dict[str, Card] = {}
        self.died_at: dict[str, int] = {}
        self.round_trip = 2 * MS
        self.notice = 1500 * MS
        self.writes = 0
        self.on_write: Callable[[str, int, bool], None] | None = None  # writer, number, whether it counts now
        self.unreached: set[str] = set()  # members whose keepers don't answer

    def health(self, name: str) -> Health:
        at = self.died_at.get(name)
        if self.net.seats[name].node is not None:
            return Health.ALIVE
        late = at is not None and self.net.clock.now() - at > self.notice
        return Health.DEAD if late else Health.SUSPECT

    def crash(self, name: str) -> None:
        self.net.crash(name)
        self.died_at[name] = self.net.clock.now()

    def later(self, name: str, life: Life, news: News, delay: int) -> None:
        def give() -> None:
            node = self.net.seats[name].node
            if node is not None and node.life == life:
                self.tell(name, news)

        self.net.clock.call_at(self.net.clock.now() + delay, give)


class StandInMembers:
    """One member's view: an ``api.Members``."""

    def __init__(self, shared: Shared, life: Life, site: str) -> None:
        self._shared = shared
        self.me = Card(life, "", site)
        shared.cards[life.name] = self.me
        shared.died_at.pop(life.name, None)

    def alive(self) -> list[Member]:
        found = []
        for name in sorted(self._shared.cards):
            health = self._shared.health(name)
            if health is not Health.DEAD:
                found.append(Member(self._shared.cards[name], health, 0))
        return found

    def health(self, life: Life) -> Health | None:
        card = self._shared.cards.get(life.name)
        if card is None:
            return None
        return Health.DEAD if card.life != life else self._shared.health(life.name)

    def card(self, name: str) -> Card | None:
        return self._shared.cards.get(name)

    def writes(self, ledgers: tuple[LedgerAt, ...]) -> list[Action]:
        self.me = Card(self.me.life, "", self.me.site, "", self.me.version + 1, ledgers)
        self._shared.cards[self.me.life.name] = self.me
        return []


class StandInLedgers:
    """One member's ledgers: an ``api.Ledgers``, as far as rollouts use it."""

    def __init__(self, shared: Shared, members: StandInMembers) -> None:
        self._shared, self._members, self._life = shared, members, members.me.life

    def _tell_where(self) -> None:
        mine = [x for x in self._shared.ledgers.values() if x.writer == self._life]
        self._members.writes(tuple(LedgerAt(x.name, x.segment, ()) for x in mine))

    def create(self, now: int, ledger: str) -> list[Action]:
        self._shared.ledgers[ledger] = _Ledger(ledger, self._life)
        self._tell_where()
        return []

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        found = self._shared.ledgers.get(ledger)
        if found is None or found.writer != self._life:
            return 0, []
        shared = self._shared
        found.seq += 1
        seq, segment = found.seq, found.segment
        found.under_way.append((seq, list(changes)))
        shared.writes += 1
        number = shared.writes
        if shared.on_write is not None:
            shared.on_write(self._life.name, number, False)

        def counts() -> None:
            if found.segment != segment or self._life.name in shared.unreached:
                return
            while found.under_way and found.under_way[0][0] <= seq:
                self._apply(found, found.under_way.pop(0)[1])
            if shared.on_write is not None:
                shared.on_write(self._life.name, number, True)
            shared.later(self._life.name, self._life, Kept(ledger, seq), shared.round_trip // 2)

        shared.net.clock.call_at(now + shared.round_trip // 2, counts)
        return seq, []

    @staticmethod
    def _apply(ledger: _Ledger, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.value is None:
                ledger.content.pop(change.key, None)
            else:
                ledger.content[change.key] = change.value

    def lead(self, now: int, at: LedgerAt) -> list[Action]:
        shared = self._shared
        found = shared.ledgers.get(at.ledger)
        if found is None or self._life.name in shared.unreached:
            return []
        old = found.writer
        if shared.random.random() < 0.5:  # an entry that had not counted may be in it all the same
            for _, changes in found.under_way:
                self._apply(found, changes)
        found.under_way.clear()
        found.segment += 1
        found.writer, found.seq = self._life, 0
        self._tell_where()
        shared.later(old.name, old, Fenced(at.ledger, self._life), shared.round_trip)
        place = LedgerAt(at.ledger, found.segment, ())
        shared.later(self._life.name, self._life, Moved(place, dict(found.content)), 2 * shared.round_trip)
        return []

    def claim(self, now: int, at: LedgerAt) -> list[Action]:
        raise NotImplementedError("rollouts lead, they don't claim")

    def close(self, now: int, ledger: str) -> list[Action]:
        self._shared.ledgers.pop(ledger, None)
        return []
