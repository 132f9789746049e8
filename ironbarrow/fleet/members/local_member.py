"""This member's own card: its changes, and rumours of others about this member."""

import msgspec

from ironbarrow.fleet.api import Card, Health, Incarnation, LedgerLocation
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.events import IncarnationReplaced
from ironbarrow.fleet.members.messages import VERSION_LIMIT

ACCUSATIONS = (Health.SUSPECT, Health.DEAD)


class LocalMember:
    """Owns this member's card; refutes a suspicion by raising the card's version."""

    def __init__(self, context: MemberContext, dissemination: Dissemination) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        self._replaced_by: Incarnation | None = None
        self.refutations = 0  # number of refuted suspicions of this member

    def set_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> None:
        """Publishes the ledgers that this member writes on its card."""
        self._renew_card(msgspec.structs.replace(self._table.own_card, ledgers=ledgers))

    def set_front(self, front: str) -> None:
        """Publishes the address for clients and workers on the card."""
        self._renew_card(msgspec.structs.replace(self._table.own_card, front=front))

    def on_rumour(self, incarnation: Incarnation, version: int, health: Health | None) -> None:
        """Handles a rumour about an incarnation of this member's name.

        Refutes a suspicion of this incarnation; reports a later incarnation as its replacement.
        """
        own = self._table.own_card
        if incarnation.start > own.incarnation.start:
            self._on_replacement(incarnation)
            return
        accused = incarnation == own.incarnation and health in ACCUSATIONS and not self._context.leaving
        if accused and own.version <= version < VERSION_LIMIT:
            self._refute(version)

    def _on_replacement(self, incarnation: Incarnation) -> None:
        if self._replaced_by is None or self._replaced_by.start < incarnation.start:
            self._replaced_by = incarnation
            self._context.outbox.publish(IncarnationReplaced(incarnation))

    def _refute(self, version: int) -> None:
        self.refutations += 1
        self._context.local_health.degrade()
        self._renew_card(self._table.own_card, above=version)

    def _renew_card(self, card: Card, above: int = 0) -> None:
        """Stores a changed card with a version above both the current one and ``above``."""
        present = self._table.own_card.version
        version = max(present, above) + 1
        check("versions rise", version > present, was=present, now=version)
        self._table.replace_own_card(msgspec.structs.replace(card, version=version))
        self._dissemination.enqueue(self._table.own_name)
