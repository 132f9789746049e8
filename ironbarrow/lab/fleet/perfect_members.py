"""Membership without delay or error, to test and measure ledgers apart from failure detection."""

from collections.abc import Sequence

from ironbarrow.fleet.api import Action, Card, Health, Incarnation, LedgerLocation, Member


class TrueMembership:
    """The true state of all members: their health, sites and ledgers."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.dead: set[Incarnation] = set()

    def add(self, incarnation: Incarnation, site: str) -> None:
        """Adds a new incarnation; the earlier one of the same name becomes DEAD."""
        old = self.members.get(incarnation.name)
        if old is not None:
            self.dead.add(old.card.incarnation)
        self.members[incarnation.name] = Member(Card(incarnation, "", site), Health.ALIVE, 0)

    def set_health(self, name: str, health: Health = Health.DEAD) -> None:
        """Sets the health that all members see of a name from now on."""
        member = self.members[name]
        self.members[name] = Member(member.card, health, 0)


class PerfectMembers:
    """One member's view, always equal to the true state. Implements ``api.Members``."""

    def __init__(self, membership: TrueMembership, incarnation: Incarnation) -> None:
        self._membership, self._incarnation = membership, incarnation
        self.me = membership.members[incarnation.name].card

    def alive(self) -> Sequence[Member]:
        members = self._membership.members
        return [m for _, m in sorted(members.items()) if m.health in (Health.ALIVE, Health.SUSPECT)]

    def health(self, incarnation: Incarnation) -> Health | None:
        if incarnation in self._membership.dead:
            return Health.DEAD
        member = self._membership.members.get(incarnation.name)
        return member.health if member is not None and member.card.incarnation == incarnation else None

    def card(self, name: str) -> Card | None:
        member = self._membership.members.get(name)
        return member.card if member is not None else None

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        member = self._membership.members[self._incarnation.name]
        if member.card.incarnation == self._incarnation:
            card = Card(self._incarnation, "", member.card.site, "", member.card.version + 1, ledgers)
            self.me = card
            self._membership.members[self._incarnation.name] = Member(card, member.health, member.since)
        return []
