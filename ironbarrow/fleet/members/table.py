"""The membership table: what this member knows of each other member, and its own card.

The table answers queries and stores records; the changes of entries are in ``transitions``.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, Card, Health, Incarnation, Member, rank
from ironbarrow.fleet.invariants import check

REACHABLE = (Health.ALIVE, Health.SUSPECT)


@dataclass(slots=True, eq=False)
class Entry:
    """The record of the latest known incarnation of another member. Times in ns."""

    card: Card  # the newest received; its version may be lower than ``version``
    version: int
    health: Health
    since: int  # when it took this health, as far as known
    sync_hash: int  # assigns the name to a partition of a sync
    member: Member  # the same state in the form that other packages read
    last_message_at: int = 0  # when its own last message arrived
    accusers: set[str] = field(default_factory=set)  # names of members that could not reach it
    suspected_until: int = NEVER
    last_extra_probe_at: int = 0  # last probe out of turn after a broken connection
    reachable_since: int = -NEVER  # when it appeared late or became ALIVE again

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the entry describes."""
        return self.card.incarnation

    @property
    def reachable(self) -> bool:
        """Whether it is ALIVE or SUSPECT."""
        return self.health in REACHABLE

    @property
    def gone(self) -> bool:
        """Whether it is DEAD or LEFT."""
        return not self.reachable

    @property
    def advertised_version(self) -> int:
        """The version to state to other members.

        While the card is older than ``version``, the card's version is stated; otherwise no member would
        send the newer card.
        """
        return self.card.version if self.health is Health.ALIVE else self.version


class MembershipTable:
    """Entries by name, the suspects among them, and the incarnations that have ended.

    ``capacity``: the maximum number of members, this one included, and of records of ended incarnations.
    """

    def __init__(self, own_card: Card, now: int, capacity: int) -> None:
        self.own_card = own_card
        self.entries: dict[str, Entry] = {}
        self.suspects: dict[str, Entry] = {}
        self._own_since = now
        self._capacity = capacity
        # replaced by a later incarnation, or removed after LEFT
        self._ended: dict[Incarnation, Health] = {}
        self._forgotten: dict[Incarnation, Health] = {}  # DEAD ones whose entry was removed
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
        """When this member started, ns."""
        return self._own_since

    # Queries

    def get(self, name: str) -> Entry | None:
        """The entry of another member; None if there is none."""
        return self.entries.get(name)

    def of_incarnation(self, incarnation: Incarnation) -> Entry | None:
        """The entry of another member if it describes exactly this incarnation."""
        entry = self.entries.get(incarnation.name)
        return entry if entry is not None and entry.incarnation == incarnation else None

    def alive(self) -> Sequence[Member]:
        """All ALIVE and SUSPECT members and this one, sorted by name."""
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
        """The known health of an incarnation; None if it is unknown."""
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
        """The newest card of a member; None if it is unknown."""
        if name == self.own_name:
            return self.own_card
        entry = self.entries.get(name)
        return None if entry is None else entry.card

    def known(self) -> Sequence[Member]:
        """All other members, including DEAD and LEFT ones, sorted by name."""
        return [self.entries[name].member for name in sorted(self.entries)]

    def unreachable_sites(self) -> list[str]:
        """Other sites without any ALIVE member, except sites whose members have all LEFT; sorted."""
        seen: dict[str, set[Health]] = {}
        for entry in self:
            seen.setdefault(entry.card.site, set()).add(entry.health)
        return sorted(
            site
            for site, healths in seen.items()
            if site != self.own_card.site and Health.ALIVE not in healths and healths != {Health.LEFT}
        )

    def sync_hash_of(self, name: str) -> int:
        """The hash that assigns a name to a partition of a sync; the same at every member."""
        entry = self.entries.get(name)
        return entry.sync_hash if entry is not None else rank("sync", name)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation is known to have ended for good."""
        return incarnation in self._ended

    def was_forgotten(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation died and its entry was removed."""
        return incarnation in self._forgotten

    @property
    def full(self) -> bool:
        """Whether the table has no room for another member."""
        return len(self.entries) + 1 >= self._capacity

    # Records

    def replace_own_card(self, card: Card) -> None:
        """Stores a newer card of this member."""
        self.own_card = card
        self._alive = None

    def refresh_member(self, entry: Entry) -> None:
        """Makes a changed entry visible to queries."""
        entry.member = Member(entry.card, entry.health, entry.since)
        self._alive = None

    def record_end(self, incarnation: Incarnation, health: Health) -> None:
        """Records that an incarnation has ended for good, as DEAD or LEFT."""
        self._ended[incarnation] = health
        self._trim(self._ended)

    def remove(self, name: str) -> None:
        """Removes the entry of a DEAD or LEFT member; its end stays on record while there is room."""
        entry = self.entries.pop(name)
        if entry.health is Health.LEFT:
            self.record_end(entry.incarnation, entry.health)
        else:
            self._forgotten[entry.incarnation] = entry.health
            self._trim(self._forgotten)

    def _trim(self, records: dict[Incarnation, Health]) -> None:
        while len(records) > self._capacity:
            del records[next(iter(records))]
