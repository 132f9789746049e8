"""Members as somebody who sees everything would list them: for tests of what builds on members."""

from collections.abc import Sequence

from ironbarrow.fleet.api import Action, Card, Health, LedgerAt, Life, Member


class Everyone:
    """What is true of all members: who lives, where they are, what they write."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.dead: set[Life] = set()

    def started(self, life: Life, site: str) -> None:
        """A new life of a name makes the earlier one DEAD."""
        old = self.members.get(life.name)
        if old is not None:
            self.dead.add(old.card.life)
        self.members[life.name] = Member(Card(life, "", site), Health.ALIVE, 0)

    def ended(self, name: str, health: Health = Health.DEAD) -> None:
        """A name is held for dead, or for another health, from now on."""
        member = self.members[name]
        self.members[name] = Member(member.card, health, 0)


class StillMembers:
    """One member's view of them, which is right at once. Implements ``api.Members``."""

    def __init__(self, everyone: Everyone, life: Life) -> None:
        self._everyone, self._life = everyone, life
        self.me = everyone.members[life.name].card

    def alive(self) -> Sequence[Member]:
        members = self._everyone.members
        return [m for _, m in sorted(members.items()) if m.health in (Health.ALIVE, Health.SUSPECT)]

    def health(self, life: Life) -> Health | None:
        if life in self._everyone.dead:
            return Health.DEAD
        member = self._everyone.members.get(life.name)
        return member.health if member is not None and member.card.life == life else None

    def card(self, name: str) -> Card | None:
        member = self._everyone.members.get(name)
        return member.card if member is not None else None

    def writes(self, ledgers: tuple[LedgerAt, ...]) -> list[Action]:
        member = self._everyone.members[self._life.name]
        if member.card.life == self._life:
            card = Card(self._life, "", member.card.site, "", member.card.version + 1, ledgers)
            self.me = card
            self._everyone.members[self._life.name] = Member(card, member.health, member.since)
        return []
