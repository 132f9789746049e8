"""The membership table: what this member holds of each other one, and its own card.

The table answers questions and holds records; what changes an entry is in ``transitions``.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, Card, Health, Incarnation, Member, rank
from ironbarrow.fleet.invariants import check

REACHABLE = (Health.ALIVE, Health.SUSPECT)


@dataclass(slots=True, eq=False)
class Entry:
    """The record of one other member: of its latest known incarnation."""

    card: Card  # the newest; its version may be behind ``version``
    version: int
    health: Health
    since: int  # ns, when that health was first seen
    sync_hash: int  # the name's place among the partitions of a sync
    member: Member  # the same, as the other parts of the fleet are told
    last_message_at: int = 0  # when a message of its own last came
    accusers: set[str] = field(default_factory=set)  # members that could not reach it
    suspected_until: int = NEVER
    last_extra_probe_at: int = 0  # when a broken connection last had it probed
    reachable_since: int = -NEVER  # when it came in sight, or came back, after others had begun

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the entry is about."""
        return self.card.incarnation

    @property
    def reachable(self) -> bool:
        """Whether it is held for there: ALIVE or SUSPECT."""
        return self.health in REACHABLE

    @property
    def gone(self) -> bool:
        """Whether it is held for DEAD or LEFT."""
        return not self.reachable

    @property
    def advertised_version(self) -> int:
        """The version to state to others. A member whose card is behind must say so by the card's version,
        or it would never be sent the newer card."""
        return self.card.version if self.health is Health.ALIVE else self.version


class MembershipTable:
    """Entries by name, the suspects among them, and the incarnations that have ended.

    ``capacity``: members in the table, this one included, and records of ended incarnations.
    """

    def __init__(self, own_card: Card, now: int, capacity: int) -> None:
        self.own_card = own_card
        self.entries: dict[str, Entry] = {}
        self.suspects: dict[str, Entry] = {}
        self._own_since = now
        self._capacity = capacity
        # replaced by a later one, or forgotten after LEFT
        self._ended: dict[Incarnation, Health] = {}
        self._forgotten: dict[Incarnation, Health] = {}  # dead ones without an entry
        self._alive: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.entries.values())

    @property
    def own_incarnation(self) -> Incarnation:
        """The incarnation of this member."""
        return self.own_card.incarnation

    @property
    def own_name(self) -> str:
        """The name of this member."""
        return self.own_card.incarnation.name

    @property
    def own_since(self) -> int:
        """When this member began, ns."""
        return self._own_since

    # Questions

    def get(self, name: str) -> Entry | None:
        """The entry of another member."""
        return self.entries.get(name)

    def of_incarnation(self, incarnation: Incarnation) -> Entry | None:
        """The entry of another member if it is about that very incarnation."""
        entry = self.entries.get(incarnation.name)
        return entry if entry is not None and entry.incarnation == incarnation else None

    def alive(self) -> Sequence[Member]:
        """The members that are ALIVE or SUSPECT and this one, in order of name."""
        if self._alive is None:
            found = [entry.member for entry in self if entry.reachable]
            found.append(Member(self.own_card, Health.ALIVE, self._own_since))
            own = [
                member.card.incarnation for member in found if member.card.incarnation.name == self.own_name
            ]
            check("self alive", own == [self.own_incarnation], me=self.own_incarnation, found=own)
            self._alive = tuple(sorted(found, key=lambda member: member.card.incarnation.name))
        return self._alive

    def health(self, incarnation: Incarnation) -> Health | None:
        """What an incarnation is held for; None if nothing is known of it."""
        if incarnation.name == self.own_name:
            if incarnation.start in (0, self.own_incarnation.start):
                return Health.ALIVE
            return self._ended.get(incarnation, Health.DEAD)
        entry = self.entries.get(incarnation.name)
        if entry is None:
            return self._ended.get(incarnation)
        if incarnation.start in (0, entry.incarnation.start):
            return entry.health
        return (
            self._ended.get(incarnation, Health.DEAD) if incarnation.start < entry.incarnation.start else None
        )

    def card(self, name: str) -> Card | None:
        """The newest card of a name."""
        if name == self.own_name:
            return self.own_card
        entry = self.entries.get(name)
        return None if entry is None else entry.card

    def known(self) -> Sequence[Member]:
        """All others, also the dead and those that left, in order of name."""
        return [self.entries[name].member for name in sorted(self.entries)]

    def unreachable_sites(self) -> list[str]:
        """Other sites of which no known member is ALIVE and at least one neither that nor LEFT."""
        seen: dict[str, set[Health]] = {}
        for entry in self:
            seen.setdefault(entry.card.site, set()).add(entry.health)
        return sorted(
            site
            for site, healths in seen.items()
            if site != self.own_card.site and Health.ALIVE not in healths and healths != {Health.LEFT}
        )

    def sync_hash_of(self, name: str) -> int:
        """The place of a name among the partitions of a sync: the same at every member."""
        entry = self.entries.get(name)
        return entry.sync_hash if entry is not None else rank("sync", name)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation is known to be over for good."""
        return incarnation in self._ended

    def was_forgotten(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation died and its entry was dropped."""
        return incarnation in self._forgotten

    @property
    def full(self) -> bool:
        """Whether another member has no place."""
        return len(self.entries) + 1 >= self._capacity

    # Records

    def replace_own_card(self, card: Card) -> None:
        """Takes a newer card of this member."""
        self.own_card = card
        self._alive = None

    def refresh_member(self, entry: Entry) -> None:
        """Makes a changed entry visible to whoever asks."""
        entry.member = Member(entry.card, entry.health, entry.since)
        self._alive = None

    def record_end(self, incarnation: Incarnation, health: Health) -> None:
        """Notes that an incarnation is over for good: DEAD or LEFT."""
        self._ended[incarnation] = health
        self._trim(self._ended)

    def remove(self, name: str) -> None:
        """Drops the entry of one that is DEAD or LEFT; that it was is remembered for a while."""
        entry = self.entries.pop(name)
        if entry.health is Health.LEFT:
            self.record_end(entry.incarnation, entry.health)
        else:
            self._forgotten[entry.incarnation] = entry.health
            self._trim(self._forgotten)

    def _trim(self, records: dict[Incarnation, Health]) -> None:
        while len(records) > self._capacity:
            del records[next(iter(records))]
