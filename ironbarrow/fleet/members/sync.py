"""Anti-entropy: two members compare a partition of their tables, and each sends what the other lacks.

This is also how a new member joins and how a network partition heals: a member keeps contacting DEAD members
and unknown seeds.
"""

import math
from collections.abc import Iterable, Sequence

from ironbarrow.fleet.api import NEVER, Health, Incarnation
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.merge import RumourMerger, merge_key
from ironbarrow.fleet.members.messages import RANK_BY_HEALTH, CardRequest, Rumour, RumourBatch, Sync
from ironbarrow.fleet.members.table import Entry
from ironbarrow.fleet.members.transitions import Transitions
from ironbarrow.runtime.clock import MS, SECOND

PARTITION_SIZE = 64  # approximate number of members compared in one sync
MAX_REQUESTED_CARDS = 4 * PARTITION_SIZE  # per CardRequest, sent or answered
MAX_CARDS = 24  # per message
MAX_SYNC_INTERVAL = 5 * SECOND
MIN_SYNC_INTERVAL = SECOND // 2  # while syncs bring changes
RECONNECT_INTERVAL = SECOND  # between two attempts to contact a DEAD member or an unknown seed
JOIN_SEEDS = 3  # seeds contacted at once while the table is empty


class Synchronizer:
    """Compares tables at intervals that double while nothing changes."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        transitions: Transitions,
        merger: RumourMerger,
        seeds: Sequence[str],
        now: int,
    ) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        self._transitions = transitions
        self._merger = merger
        self._seeds = seeds
        self._interval = MIN_SYNC_INTERVAL
        self._sync_at = now + context.random.randrange(MIN_SYNC_INTERVAL)
        self._reconnect_at = now

    # Messages

    def on_sync(self, now: int, sender: Incarnation, sync: Sync) -> None:
        """Sends the rumours that the sender lacks and requests the cards that this member lacks."""
        if sync.card.incarnation != sender or not 0 <= sync.partition < sync.partitions:
            self._context.dropped["malformed"] += 1
            return
        own_view = Rumour(sender, sync.card.version, RANK_BY_HEALTH[Health.ALIVE], card=sync.card)
        self._merger.merge(now, own_view)
        missing = self._merge_states(now, sync.states)
        self._send_newer_rumours(now, sender, sync)
        if missing:
            self._context.outbox.send(sender, CardRequest(tuple(missing[:MAX_REQUESTED_CARDS])))

    def on_card_request(self, now: int, sender: Incarnation, request: CardRequest) -> None:
        """Answers a request for cards."""
        self.send_rumours(sender, self._full_rumours(now, request.names[:MAX_REQUESTED_CARDS]))

    def on_rumour_batch(self, now: int, batch: RumourBatch) -> None:
        """Merges rumours; after changes from a sync the next sync follows at the shortest interval."""
        outbox = self._context.outbox
        before = len(outbox)
        self._merger.merge_all(now, batch.rumours, batch.from_sync)
        if batch.from_sync and len(outbox) > before and self._interval > MIN_SYNC_INTERVAL:
            self._interval = MIN_SYNC_INTERVAL
            self._sync_at = min(self._sync_at, now + MIN_SYNC_INTERVAL)

    def send_rumours(self, to: Incarnation, rumours: Sequence[Rumour], from_sync: bool = True) -> None:
        """Sends rumours with their cards, at most ``MAX_CARDS`` per message."""
        for start in range(0, len(rumours), MAX_CARDS):
            self._context.outbox.send(to, RumourBatch(tuple(rumours[start : start + MAX_CARDS]), from_sync))

    def _merge_states(self, now: int, states: Iterable[Rumour]) -> list[str]:
        """Merges states without cards; returns the names whose cards are missing."""
        missing: list[str] = []
        for rumour in states:
            name = rumour.incarnation.name
            entry = self._table.get(name)
            if name == self._table.own_name or (
                entry is not None and entry.incarnation == rumour.incarnation
            ):
                self._merger.merge(now, rumour, from_sync=True)
            if self._is_card_missing(entry, rumour):
                missing.append(name)
        return missing

    def _is_card_missing(self, entry: Entry | None, rumour: Rumour) -> bool:
        if entry is not None:
            return (rumour.incarnation.start, rumour.version) > (entry.incarnation.start, entry.card.version)
        is_other = rumour.incarnation.name != self._table.own_name
        return is_other and rumour.age_ms * MS < self._context.rules.keep_dead

    def _send_newer_rumours(self, now: int, sender: Incarnation, sync: Sync) -> None:
        known_by_sender = {rumour.incarnation.name: rumour for rumour in sync.states}
        newer: list[Rumour] = []
        for own_rumour in self._full_rumours(now, self._names_of_partition(sync, sender)):
            known = known_by_sender.get(own_rumour.incarnation.name)
            if known is None or merge_key(known) < merge_key(own_rumour):
                newer.append(own_rumour)
        self.send_rumours(sender, newer)

    def _names_of_partition(self, sync: Sync, sender: Incarnation) -> list[str]:
        """This member and all members of the partition except the sender."""
        names = [self._table.own_name]
        for name in self._table.entries:
            if name != sender.name and self._table.sync_hash_of(name) % sync.partitions == sync.partition:
                names.append(name)
        return names

    def _full_rumours(self, now: int, names: Iterable[str]) -> list[Rumour]:
        found = (self._dissemination.full_rumour_about(name, now) for name in names)
        return [rumour for rumour in found if rumour is not None]

    # Time

    def tick(self, now: int) -> None:
        """Syncs with a random member and contacts DEAD members or seeds when due."""
        if self._context.leaving:
            self._sync_at = self._reconnect_at = NEVER
        if self._sync_at <= now:
            self._sync_at = now + self._interval
            self._interval = min(2 * self._interval, MAX_SYNC_INTERVAL)
            self._sync_with_random_member(now)
        if self._reconnect_at <= now:
            self._reconnect_at = now + RECONNECT_INTERVAL
            self._forget_expired(now)
            self._reconnect(now)

    def next_at(self) -> int:
        """When the next step is due, ns; NEVER after leaving."""
        return min(self._sync_at, self._reconnect_at)

    def resume(self, now: int) -> None:
        """Skips the steps missed while the process was paused."""
        self._sync_at = max(self._sync_at, now)
        self._reconnect_at = max(self._reconnect_at, now)

    def _sync_with_random_member(self, now: int) -> None:
        alive = [entry.incarnation for entry in self._table if entry.health is Health.ALIVE]
        if alive:
            self._sync_with(now, self._context.random.choice(alive))

    def _sync_with(self, now: int, to: Incarnation) -> None:
        partitions = max(1, math.ceil(len(self._table) / PARTITION_SIZE))
        partition = self._context.random.randrange(partitions)
        states = tuple(
            self._state(now, entry)
            for name, entry in self._table.entries.items()
            if entry.sync_hash % partitions == partition or name == to.name
        )
        self._context.outbox.send(to, Sync(self._table.own_card, partitions, partition, states))

    def _state(self, now: int, entry: Entry) -> Rumour:
        age_ms = (now - entry.since) // MS if entry.health is Health.DEAD else 0
        return Rumour(entry.incarnation, entry.advertised_version, RANK_BY_HEALTH[entry.health], "", age_ms)

    def _forget_expired(self, now: int) -> None:
        for name, entry in list(self._table.entries.items()):
            if entry.gone and now - entry.since >= self._context.rules.keep_dead:
                self._transitions.forget(name)

    def _reconnect(self, now: int) -> None:
        if len(self._table) == 0:
            self._join(now)
            return
        names = [name for name, entry in self._table.entries.items() if entry.health is Health.DEAD]
        names += [seed for seed in self._seeds if self._is_seed_unknown_or_left(seed)]
        if names:
            self._sync_with(now, Incarnation(self._context.random.choice(names)))

    def _join(self, now: int) -> None:
        count = min(JOIN_SEEDS, len(self._seeds))
        for name in self._context.random.sample(self._seeds, count):
            self._sync_with(now, Incarnation(name))

    def _is_seed_unknown_or_left(self, seed: str) -> bool:
        """Whether a seed is unknown or LEFT: it may have restarted without this member noticing."""
        entry = self._table.get(seed)
        return entry is None or entry.health is Health.LEFT
