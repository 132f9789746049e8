"""Members as somebody who sees everything would list them: for tests of what builds on members."""

from collections.abc import Sequence

from ironbarrow.fleet.api import Action, Card, Health, Incarnation, LedgerLocation, Member


class Everyone:
    """What is true of all members: who is alive, where they are, what they write."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.dead: set[Incarnation] = set()

    def started(self, incarnation: Incarnation, site: str) -> None:
        """A new incarnation of a name makes the earlier one DEAD."""
        old = self.members.get(incarnation.name)
        if old is not None:
            self.dead.add(old.card.incarnation)
        self.members[incarnation.name] = Member(Card(incarnation, "", site), Health.ALIVE, 0)

    def ended(self, name: str, health: Health = Health.DEAD) -> None:
        """A name is held for dead, or for another health, from now on."""
        member = self.members[name]
        self.members[name] = Member(member.card, health, 0)


class StillMembers:
    """One member's view of them, which is right at once. Implements ``api.Members``."""

    def __init__(self, everyone: Everyone, incarnation: Incarnation) -> None:
        self._everyone, self._incarnation = everyone, incarnation
        self.me = everyone.members[incarnation.name].card

    def alive(self) -> Sequence[Member]:
        members = self._everyone.members
        return [m for _, m in sorted(members.items()) if m.health in (Health.ALIVE, Health.SUSPECT)]

    def health(self, incarnation: Incarnation) -> Health | None:
        if incarnation in self._everyone.dead:
            return Health.DEAD
        member = self._everyone.members.get(incarnation.name)
        return member.health if member is not None and member.card.incarnation == incarnation else None

    def card(self, name: str) -> Card | None:
        member = self._everyone.members.get(name)
        return member.card if member is not None else None

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        member = self._everyone.members[self._incarnation.name]
        if member.card.incarnation == self._incarnation:
            card = Card(self._incarnation, "", member.card.site, "", member.card.version + 1, ledgers)
            self.me = card
            self._everyone.members[self._incarnation.name] = Member(card, member.health, member.since)
        return []
