"""The member machine: connects the components of one member and drives them. It does no I/O itself.

Each member probes one other member per period (``failure_detector``). A member that cannot be reached becomes
SUSPECT, and the suspicion is disseminated to all members, the suspect included (``suspicion``). The suspect
refutes it by raising the version of its card (``local_member``); a suspicion that is not refuted in time
becomes DEAD. Received rumours are merged into the table (``merge``) and piggybacked on later messages
(``dissemination``); from time to time two members compare a partition of their tables (``sync``).
"""

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from ironbarrow.fleet.api import Action, Card, Health, Incarnation, LedgerLocation, Member, Message
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.failure_detector import FailureDetector
from ironbarrow.fleet.members.known_state import latest_known_state
from ironbarrow.fleet.members.local_health import LocalHealth
from ironbarrow.fleet.members.local_member import LocalMember
from ironbarrow.fleet.members.merge import RumourMerger
from ironbarrow.fleet.members.messages import (
    RANK_BY_HEALTH,
    Ack,
    CardRequest,
    Ping,
    PingRequest,
    Rumour,
    RumourBatch,
    Sync,
)
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.suspicion import Suspicions
from ironbarrow.fleet.members.sync import Synchronizer
from ironbarrow.fleet.members.table import MembershipTable
from ironbarrow.fleet.members.transitions import Transitions
from ironbarrow.fleet.members.validation import health_from_rank


class MemberMachine:
    """The membership protocol of one member.

    ``seeds``: names of the configured seeds, without its own; ``known_cards``: cards of the members that an
    earlier incarnation of this member knew as alive.
    """

    handles: tuple[type[Message], ...] = (Ping, Ack, PingRequest, Sync, RumourBatch, CardRequest)

    def __init__(
        self,
        me: Card,
        rules: MemberRules,
        seeds: Iterable[str] = (),
        now: int = 0,
        known_cards: Iterable[Card] = (),
    ) -> None:
        self.rules = rules
        self.seeds = tuple(sorted(seeds))
        self._table = MembershipTable(me, now, rules.most)
        self._context = context = MemberContext(rules, self._table, random.Random(str(me.incarnation)), now)
        self._dissemination = Dissemination(context, now)
        schedule = ProbeSchedule(self._table, context.random)
        transitions = Transitions(context, self._dissemination, schedule)
        self._local_member = LocalMember(context, self._dissemination)
        self._suspicions = Suspicions(context, transitions, self._dissemination, schedule)
        self._merger = RumourMerger(context, self._local_member, transitions, self._suspicions, schedule)
        self._detector = FailureDetector(context, self._dissemination, schedule, self._suspicions, now)
        self._synchronizer = Synchronizer(
            context, self._dissemination, transitions, self._merger, self.seeds, now
        )
        for card in known_cards:
            self._merger.merge(
                now, Rumour(card.incarnation, card.version, RANK_BY_HEALTH[Health.ALIVE], card=card)
            )

    # Queries

    @property
    def me(self) -> Card:
        """The current card of this member."""
        return self._table.own_card

    @property
    def dropped(self) -> Counter[str]:
        """Counts of ignored messages and rumours, by cause."""
        return self._context.dropped

    @property
    def local_health(self) -> LocalHealth:
        """The score of how slow this member itself seems to be."""
        return self._context.local_health

    @property
    def refutations(self) -> int:
        """How many suspicions of itself this member has refuted."""
        return self._local_member.refutations

    def alive(self) -> Sequence[Member]:
        """All ALIVE and SUSPECT members and this one, sorted by name."""
        return self._table.alive()

    def health(self, incarnation: Incarnation) -> Health | None:
        """The known health of an incarnation; None if it is unknown."""
        return self._table.health(incarnation)

    def card(self, name: str) -> Card | None:
        """The newest card of a member, dead or alive; None if it is unknown."""
        return self._table.card(name)

    def known(self) -> Sequence[Member]:
        """All other members, including DEAD and LEFT ones, sorted by name."""
        return self._table.known()

    def unreachable_sites(self) -> list[str]:
        """Other sites without any ALIVE member, except sites whose members have all LEFT; sorted."""
        return self._table.unreachable_sites()

    # Commands

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        """Publishes where the ledgers are that this member writes."""
        self._local_member.set_ledgers(ledgers)
        self._dissemination.gossip()
        return self._context.outbox.drain()

    def announce_front(self, front: str) -> list[Action]:
        """Publishes a new address (``host:port``) for clients and workers."""
        self._local_member.set_front(front)
        self._dissemination.gossip()
        return self._context.outbox.drain()

    def leave(self, now: int) -> list[Action]:
        """Leaves gracefully: announces this member as LEFT and stops probing."""
        self._context.leaving = True
        self._detector.cancel_probes()
        self._dissemination.announce_leaving()
        return self._context.outbox.drain()

    def connection_lost(self, now: int, name: str) -> list[Action]:
        """Probes a member at once, because a connection to it broke or was refused."""
        self._compensate_for_pause(now)
        self._detector.on_connection_lost(now, name)
        return self._context.outbox.drain()

    # Messages

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Handles a message from another member."""
        self._compensate_for_pause(now)
        if sender.name == self._table.own_name:
            self._local_member.on_rumour(sender, self.me.version, Health.ALIVE)
        elif self._note_sender(now, sender):
            self._dispatch(now, sender, message)
        else:
            self.dropped["left"] += 1
        return self._context.outbox.drain()

    def _note_sender(self, now: int, sender: Incarnation) -> bool:
        """Records that a message has arrived; False if its sender has LEFT."""
        self._detector.note_message(now)
        entry = self._table.of_incarnation(sender)
        if entry is None:
            return True
        entry.last_message_at = now
        return entry.health is not Health.LEFT

    def _dispatch(self, now: int, sender: Incarnation, message: Any) -> None:
        if isinstance(message, Ping):
            self._on_ping(now, sender, message)
        elif isinstance(message, Ack):
            self._on_ack(now, sender, message)
        elif isinstance(message, PingRequest):
            self._merger.merge_all(now, message.piggybacked)
            self._detector.relayed_probes.on_request(now, sender, message)
        elif isinstance(message, Sync):
            self._synchronizer.on_sync(now, sender, message)
        elif isinstance(message, RumourBatch):
            self._synchronizer.on_rumour_batch(now, message)
        elif isinstance(message, CardRequest):
            self._synchronizer.on_card_request(now, sender, message)

    def _on_ping(self, now: int, sender: Incarnation, ping: Ping) -> None:
        self._local_member.on_rumour(
            self.me.incarnation, ping.known_version, health_from_rank(ping.known_health)
        )
        self._merger.merge_all(now, ping.piggybacked)
        known_state = latest_known_state(self._table, sender)
        first = [self.me.incarnation.name] if ping.known_version < self.me.version else []
        entry = self._table.get(sender.name)
        if entry is not None and entry.incarnation.start > sender.start:
            first.append(sender.name)  # tells the sender that a later incarnation has replaced it
        rumours = self._dissemination.select(to=sender.name, first=first)
        self._context.outbox.send(sender, Ack(ping.number, self.me.version, *known_state, rumours))

    def _on_ack(self, now: int, sender: Incarnation, ack: Ack) -> None:
        self._merger.merge_all(now, ack.piggybacked)
        if ack.relayed_target is None:
            self._local_member.on_rumour(
                self.me.incarnation, ack.known_version, health_from_rank(ack.known_health)
            )
            if ack.known_version < self.me.version and not self._context.leaving:
                self._synchronizer.send_rumours(sender, [self._dissemination.own_rumour()], from_sync=False)
        self._detector.on_ack(now, sender, ack)

    # Time

    def ticked(self, now: int) -> list[Action]:
        """Runs all due timers."""
        self._compensate_for_pause(now)
        self._detector.tick_probes(now)
        self._suspicions.tick(now)
        self._detector.tick_period(now)
        self._dissemination.tick(now)
        self._synchronizer.tick(now)
        return self._context.outbox.drain()

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if no timer is set."""
        return min(self._timers_due_at(), self._dissemination.next_at())

    def _timers_due_at(self) -> int:
        """When the next timer other than gossip is due, ns.

        Gossip is left out because calls without the time can start it: it would look overdue after those.
        """
        return min(self._detector.next_at(), self._suspicions.next_at(), self._synchronizer.next_at())

    def _compensate_for_pause(self, now: int) -> None:
        """Postpones all timeouts by the time for which this process was paused.

        After a pause the timeouts have passed before the process has read the messages that arrived
        meanwhile. Without this it would declare members dead although only it was stopped.
        """
        overdue = now - self._timers_due_at()
        self._context.now = now
        if overdue < self.rules.timeout:
            return
        self.local_health.degrade()
        self._detector.postpone(now, overdue)
        self._suspicions.postpone(overdue)
        self._dissemination.resume(now)
        self._synchronizer.resume(now)
