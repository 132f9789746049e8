"""Dissemination: each rumour is piggybacked on messages or gossiped a bounded number of times."""

import math
from collections.abc import Sequence
from heapq import nsmallest

import msgspec

from ironbarrow.fleet.api import NEVER, Health
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.messages import RANK_BY_HEALTH, Rumour, RumourBatch
from ironbarrow.runtime.clock import MS

MAX_RUMOURS = 10  # per message
MAX_RUMOUR_BYTES = 1400  # of rumours per message; the first one is sent whatever its size
SYNC_RUMOUR_TRANSMISSIONS = 3  # of a rumour learned by sync: most members already know it
GOSSIP_FANOUT = 2  # members per gossip round (every half period)
LEAVE_FANOUT = 8  # members to which a leaving member announces it


class Dissemination:
    """The queue of rumours to send, keyed by member name: only the latest state of a member is sent."""

    def __init__(self, context: MemberContext, now: int) -> None:
        self._context = context
        self._table = context.table
        self._transmissions: dict[str, int] = {self._table.own_name: 0}  # of each queued rumour so far
        self._sizes: dict[str, int] = {}  # encoded, bytes
        self._gossip_at = now

    # The queue

    def enqueue(self, name: str, from_sync: bool = False) -> None:
        """Queues the current state of a member. ``from_sync``: learned by anti-entropy."""
        if not self._transmissions:
            self._gossip_at = max(self._gossip_at, self._context.now)
        transmissions = max(0, self._transmission_limit() - SYNC_RUMOUR_TRANSMISSIONS) if from_sync else 0
        self._transmissions[name] = transmissions
        self._sizes.pop(name, None)

    def discard(self, name: str) -> None:
        """Removes a member from the queue."""
        self._transmissions.pop(name, None)
        self._sizes.pop(name, None)

    def announce_leaving(self) -> None:
        """Gossips at once that this member leaves; all other queued rumours are dropped."""
        self._transmissions = {self._table.own_name: 0}
        self.gossip(LEAVE_FANOUT)

    def _transmission_limit(self) -> int:
        return 3 * math.ceil(math.log(len(self._table) + 2))

    # Rumours

    def own_rumour(self) -> Rumour:
        """The rumour about this member itself: ALIVE, or LEFT once it is leaving."""
        card = self._table.own_card
        health = Health.LEFT if self._context.leaving else Health.ALIVE
        return Rumour(card.incarnation, card.version, RANK_BY_HEALTH[health], card=card)

    def rumour_about(self, name: str) -> Rumour | None:
        """The rumour to piggyback or gossip: only that of an ALIVE member has its card. None if unknown."""
        if name == self._table.own_name:
            return self.own_rumour()
        return self._rumour(name, with_card=False)

    def full_rumour_about(self, name: str, now: int) -> Rumour | None:
        """The rumour to send by sync: with the card and, for a DEAD member, the time since its death."""
        if name == self._table.own_name:
            return self.own_rumour()
        rumour = self._rumour(name, with_card=True)
        entry = self._table.get(name)
        if rumour is None or entry is None or entry.health is not Health.DEAD:
            return rumour
        return msgspec.structs.replace(rumour, age_ms=(now - entry.since) // MS)

    def _rumour(self, name: str, with_card: bool) -> Rumour | None:
        entry = self._table.get(name)
        if entry is None:
            return None
        own_name = self._table.own_name
        accuser = own_name if own_name in entry.accusers else min(entry.accusers, default="")
        card = entry.card if with_card or entry.health is Health.ALIVE else None
        return Rumour(
            entry.incarnation, entry.advertised_version, RANK_BY_HEALTH[entry.health], accuser, card=card
        )

    def select(self, to: str, first: Sequence[str] = ()) -> tuple[Rumour, ...]:
        """Selects rumours for a message: first those about ``first``, then those sent least often."""
        limit = self._transmission_limit()
        selected: list[Rumour] = []
        budget = MAX_RUMOUR_BYTES
        for name in self._candidates(to, first):
            rumour = self.rumour_about(name)
            if rumour is None:
                self.discard(name)
                continue
            size = self._sizes.get(name) or len(msgspec.msgpack.encode(rumour))
            if selected and size > budget:
                continue
            budget -= size
            selected.append(rumour)
            self._count_transmission(name, size, limit)
        return tuple(selected)

    def _candidates(self, to: str, first: Sequence[str]) -> list[str]:
        names = list(first)
        queued = ((transmissions, name) for name, transmissions in self._transmissions.items() if name != to)
        for _, name in nsmallest(MAX_RUMOURS, queued):
            if name not in names:
                names.append(name)
        return names[:MAX_RUMOURS]

    def _count_transmission(self, name: str, size: int, limit: int) -> None:
        if name not in self._transmissions:
            return
        self._sizes[name] = size
        self._transmissions[name] += 1
        if self._transmissions[name] >= limit:
            self.discard(name)

    # Gossip

    def gossip(self, count: int = GOSSIP_FANOUT) -> None:
        """Sends queued rumours to ``count`` random reachable members."""
        if not self._transmissions:
            return
        reachable = [entry.incarnation for entry in self._table if entry.reachable]
        for incarnation in self._context.random.sample(reachable, min(count, len(reachable))):
            rumours = self.select(to=incarnation.name)
            if rumours:
                self._context.outbox.send(incarnation, RumourBatch(rumours))

    def tick(self, now: int) -> None:
        """Gossips if a round is due."""
        if self._gossip_at <= now:
            self._gossip_at = now + self._context.rules.period // 2
            self.gossip()

    def next_at(self) -> int:
        """When the next gossip round is due, ns; NEVER while the queue is empty."""
        return self._gossip_at if self._transmissions else NEVER

    def resume(self, now: int) -> None:
        """Skips the gossip rounds missed while the process was paused."""
        self._gossip_at = max(self._gossip_at, now)
