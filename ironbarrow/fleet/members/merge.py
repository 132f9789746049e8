"""Merging rumours into the membership table.

The states of an incarnation are ordered by (version, ALIVE < SUSPECT < DEAD), with LEFT above all; of two
incarnations of a name the later one wins. Merging keeps the greater state, so that rumours may arrive late,
twice or out of order.
"""

from ironbarrow.fleet.api import Card, Health, Member
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.local_member import LocalMember
from ironbarrow.fleet.members.messages import HEALTH_BY_RANK, RANK_BY_HEALTH, Rumour
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.suspicion import Suspicions
from ironbarrow.fleet.members.table import Entry
from ironbarrow.fleet.members.transitions import Transitions
from ironbarrow.fleet.members.validation import is_valid_rumour
from ironbarrow.runtime.clock import MS


def merge_key(rumour: Rumour) -> tuple[int, bool, int, int]:
    """Orders the rumours about one name: the greater one is newer."""
    left = rumour.health_rank == RANK_BY_HEALTH[Health.LEFT]
    return rumour.incarnation.start, left, rumour.version, rumour.health_rank


class RumourMerger:
    """Decides what a received rumour changes in the table."""

    def __init__(
        self,
        context: MemberContext,
        local_member: LocalMember,
        transitions: Transitions,
        suspicions: Suspicions,
        schedule: ProbeSchedule,
    ) -> None:
        self._context = context
        self._table = context.table
        self._local_member = local_member
        self._transitions = transitions
        self._suspicions = suspicions
        self._schedule = schedule

    def merge_all(self, now: int, rumours: tuple[Rumour, ...], from_sync: bool = False) -> None:
        """Merges the rumours of a message, in order."""
        for rumour in rumours:
            self.merge(now, rumour, from_sync)

    def merge(self, now: int, rumour: Rumour, from_sync: bool = False) -> None:
        """Merges one rumour. ``from_sync``: it states the view of one member and may be old."""
        if not is_valid_rumour(rumour):
            self._context.dropped["malformed"] += 1
            return
        incarnation, health = rumour.incarnation, HEALTH_BY_RANK[rumour.health_rank]
        if incarnation.name == self._table.own_name:
            self._local_member.on_rumour(incarnation, rumour.version, health)
            return
        entry = self._table.get(incarnation.name)
        if entry is None or incarnation.start > entry.incarnation.start:
            self._merge_new_incarnation(now, entry, rumour, from_sync)
        elif incarnation.start < entry.incarnation.start:
            self._context.dropped["earlier incarnation"] += 1
        else:
            self._merge_same_incarnation(now, entry, rumour, from_sync)

    # An incarnation that is not in the table

    def _merge_new_incarnation(
        self, now: int, earlier: Entry | None, rumour: Rumour, from_sync: bool
    ) -> None:
        card = rumour.card
        if card is None or self._has_expired(rumour):
            self._context.dropped["unknown"] += 1
        elif earlier is None and not self._transitions.make_room():
            self._context.dropped["full"] += 1
        else:
            self._add(now, earlier, card, rumour, from_sync)

    def _has_expired(self, rumour: Rumour) -> bool:
        """Whether an incarnation ended so long ago that it must not be added again."""
        dead = HEALTH_BY_RANK[rumour.health_rank] is Health.DEAD
        return (
            self._table.has_ended(rumour.incarnation)
            or rumour.age_ms * MS >= self._context.rules.keep_dead
            or (dead and self._table.was_forgotten(rumour.incarnation))
        )

    def _add(self, now: int, earlier: Entry | None, card: Card, rumour: Rumour, from_sync: bool) -> None:
        # the end of the earlier incarnation is published before the new one
        if earlier is not None:
            self._transitions.end(now, earlier)
        entry = self._new_entry(now, card, rumour)
        if earlier is None and now - self._table.own_since >= self._context.credibility_delay:
            entry.reachable_since = now  # it may have been cut off for so long that its entry was dropped
        self._transitions.add(entry)
        if entry.health is Health.SUSPECT:
            entry.health = Health.ALIVE
            self._suspicions.suspect(now, entry, rumour.version, rumour.accuser, publish=False)
        self._transitions.publish(entry, from_sync)

    def _new_entry(self, now: int, card: Card, rumour: Rumour) -> Entry:
        health = HEALTH_BY_RANK[rumour.health_rank]
        since = now - rumour.age_ms * MS if health is Health.DEAD else now
        name_hash = self._table.sync_hash_of(card.incarnation.name)
        member = Member(card, health, since)
        return Entry(card, rumour.version, health, since, name_hash, member, last_message_at=now)

    # The incarnation that is in the table

    def _merge_same_incarnation(self, now: int, entry: Entry, rumour: Rumour, from_sync: bool) -> None:
        health = HEALTH_BY_RANK[rumour.health_rank]
        if rumour.card is not None and rumour.card.version > entry.card.version:
            self._transitions.update_card(entry, rumour.card)
        if entry.health is Health.LEFT:
            return
        if health is Health.LEFT:
            self._transitions.set_health(now, entry, max(entry.version, rumour.version), Health.LEFT)
        elif health is Health.ALIVE:
            self._merge_alive(now, entry, rumour)
        else:
            self._merge_accusation(now, entry, rumour, from_sync)

    def _merge_alive(self, now: int, entry: Entry, rumour: Rumour) -> None:
        if rumour.version > entry.version and rumour.card is not None:
            self._transitions.set_health(now, entry, rumour.version, Health.ALIVE)

    def _merge_accusation(self, now: int, entry: Entry, rumour: Rumour, from_sync: bool) -> None:
        """Merges a rumour that a member is SUSPECT or DEAD."""
        if (rumour.version, rumour.health_rank) < (entry.version, RANK_BY_HEALTH[entry.health]):
            return
        if entry.reachable and (from_sync or not self._is_credible(now, rumour.accuser)):
            # A member that was cut off considers all others dead. If its rumours were accepted when it
            # returns, all members would be declared dead together: this member probes the accused itself.
            self._schedule.expedite(entry.incarnation.name)
        elif entry.health is Health.SUSPECT and HEALTH_BY_RANK[rumour.health_rank] is Health.DEAD:
            self._merge_death_of_suspect(now, entry, rumour)
        elif entry.health is Health.ALIVE or HEALTH_BY_RANK[rumour.health_rank] is Health.SUSPECT:
            self._suspicions.suspect(now, entry, rumour.version, rumour.accuser)
        else:
            entry.version = max(entry.version, rumour.version)

    def _merge_death_of_suspect(self, now: int, entry: Entry, rumour: Rumour) -> None:
        if self._suspicions.is_confirmed_death_credible(now, entry):
            self._suspicions.declare_dead(now, entry, rumour.version)
        else:
            self._suspicions.suspect(now, entry, rumour.version, rumour.accuser)

    def _is_credible(self, now: int, accuser: str) -> bool:
        """Whether an accuser is ALIVE and has been reachable for ``credibility_delay``."""
        entry = self._table.get(accuser)
        if entry is None or entry.health is not Health.ALIVE:
            return False
        return now - entry.reachable_since >= self._context.credibility_delay
