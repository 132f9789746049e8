"""State transitions of table entries, checked against the invariants and published."""

from ironbarrow.fleet.api import NEVER, Card, Health, MemberChanged
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.table import Entry


class Transitions:
    """Applies state transitions; the rules that decide them are in ``merge`` and ``suspicion``."""

    def __init__(self, context: MemberContext, dissemination: Dissemination, schedule: ProbeSchedule) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        self._schedule = schedule

    def add(self, entry: Entry) -> None:
        """Adds the entry of a new incarnation, replacing an earlier one. The caller publishes it."""
        self._table.entries[entry.incarnation.name] = entry
        self._schedule.insert(entry.incarnation.name)

    def update_card(self, entry: Entry, card: Card) -> None:
        """Stores a newer card of the same incarnation."""
        check("versions rise", card.version > entry.card.version, was=entry.card.version, now=card.version)
        entry.card = card
        self._table.refresh_member(entry)
        self._dissemination.enqueue(card.incarnation.name)

    def set_health(self, now: int, entry: Entry, version: int, health: Health) -> None:
        """Applies a newer state of the same incarnation: ALIVE, DEAD or LEFT.

        SUSPECT is set by ``suspicion``.
        """
        self._check_transition(entry, version, health)
        entry.version = version
        self._end_suspicion(entry, health)
        if health is entry.health:
            self._dissemination.enqueue(entry.incarnation.name)
            return
        if health is Health.ALIVE:
            entry.reachable_since = now
        entry.health, entry.since = health, now
        self.publish(entry)

    def publish(self, entry: Entry, from_sync: bool = False) -> None:
        """Publishes a changed entry to the process and to the other members.

        ``from_sync``: the change was learned by anti-entropy.
        """
        self._table.refresh_member(entry)
        self._dissemination.enqueue(entry.incarnation.name, from_sync)
        self._context.outbox.publish(MemberChanged(entry.member))

    def end(self, now: int, entry: Entry) -> None:
        """Ends the entry's incarnation for good because a later one has appeared."""
        if entry.health is Health.LEFT:
            self._table.record_end(entry.incarnation, Health.LEFT)
            return
        self._table.suspects.pop(entry.incarnation.name, None)
        if entry.health is not Health.DEAD:
            entry.health, entry.since = Health.DEAD, now
            self.publish(entry)
        self._table.record_end(entry.incarnation, Health.DEAD)

    def make_room(self) -> bool:
        """Makes room for another member, by removing the one DEAD or LEFT for longest if necessary.

        False if the table is full of ALIVE and SUSPECT members.
        """
        if not self._table.full:
            return True
        gone = [entry for entry in self._table if entry.gone]
        if not gone:
            return False
        self.forget(min(gone, key=lambda entry: entry.since).incarnation.name)
        return True

    def forget(self, name: str) -> None:
        """Removes a DEAD or LEFT member from the table and all queues."""
        self._table.remove(name)
        self._dissemination.discard(name)
        self._schedule.discard(name)

    def _check_transition(self, entry: Entry, version: int, health: Health) -> None:
        check("versions rise", version >= entry.version, was=entry.version, now=version)
        check(
            "gone stays gone",
            not self._table.has_ended(entry.incarnation)
            and (entry.health is not Health.LEFT or health is Health.LEFT),
            incarnation=entry.incarnation,
            was=entry.health,
            now=health,
        )

    def _end_suspicion(self, entry: Entry, health: Health) -> None:
        self._table.suspects.pop(entry.incarnation.name, None)
        entry.suspected_until = NEVER
        if health is not Health.DEAD:
            entry.accusers.clear()
