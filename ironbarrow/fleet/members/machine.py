"""The member machine: it wires the parts of one member together and runs them. No input or output.

Each member probes one other in every period (``failure_detector``). Who can't be reached is suspected, which
everybody hears, itself too (``suspicion``): it refutes that by a higher version of its card
(``local_member``). What nobody refutes in time is a death. All that is heard is merged (``merge``) and
travels on with other messages (``dissemination``); now and then two members compare a part of their tables
(``sync``).
"""

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from ironbarrow.fleet.api import Action, Card, Health, Incarnation, LedgerAt, Member, Message
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
    """The membership of one member. ``seeds``: names that it knows from its file, none of them its own;
    ``known``: cards of others that an earlier incarnation of it held alive."""

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

    # Questions

    @property
    def me(self) -> Card:
        """The present card of this member."""
        return self._table.own_card

    @property
    def dropped(self) -> Counter[str]:
        """What was received and not used, by cause."""
        return self._context.dropped

    @property
    def local_health(self) -> LocalHealth:
        """How slow this member itself seems to be."""
        return self._context.local_health

    @property
    def refutations(self) -> int:
        """Suspicions of this member that it has refuted."""
        return self._local_member.refutations

    def alive(self) -> Sequence[Member]:
        """The members that are ALIVE or SUSPECT and this one, in order of name."""
        return self._table.alive()

    def health(self, incarnation: Incarnation) -> Health | None:
        """What an incarnation is held for; None if nothing is known of it."""
        return self._table.health(incarnation)

    def card(self, name: str) -> Card | None:
        """The newest card of a name, dead or alive."""
        return self._table.card(name)

    def known(self) -> Sequence[Member]:
        """All others, also the dead and those that left, in order of name."""
        return self._table.known()

    def unreachable_sites(self) -> list[str]:
        """Other sites of which no known member is ALIVE and at least one neither that nor LEFT."""
        return self._table.unreachable_sites()

    # Orders

    def writes(self, ledgers: tuple[LedgerAt, ...]) -> list[Action]:
        """Tells all others where the ledgers are that this member writes."""
        self._local_member.set_ledgers(ledgers)
        self._dissemination.gossip()
        return self._context.outbox.drain()

    def announce_front(self, front: str) -> list[Action]:
        """Tells all others that clients and workers reach this member at another address now."""
        self._local_member.set_front(front)
        self._dissemination.gossip()
        return self._context.outbox.drain()

    def leave(self, now: int) -> list[Action]:
        """Leaves in good order: this member is LEFT to all others, and probes nobody any more."""
        self._context.leaving = True
        self._detector.cancel_probes()
        self._dissemination.announce_leaving()
        return self._context.outbox.drain()

    def connection_lost(self, now: int, name: str) -> list[Action]:
        """Probes a member at once: a connection to it broke or was refused."""
        self._compensate_for_pause(now)
        self._detector.on_connection_lost(now, name)
        return self._context.outbox.drain()

    # Messages

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Takes in a message of another member."""
        self._compensate_for_pause(now)
        if sender.name == self._table.own_name:
            self._local_member.on_rumour(sender, self.me.version, Health.ALIVE)
        elif self._note_sender(now, sender):
            self._dispatch(now, sender, message)
        else:
            self.dropped["left"] += 1
        return self._context.outbox.drain()

    def _note_sender(self, now: int, sender: Incarnation) -> bool:
        """Notes that a member is heard; False if it had left."""
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
            first.append(sender.name)  # it is told that it has been replaced
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
        """Does what is due."""
        self._compensate_for_pause(now)
        self._detector.tick_probes(now)
        self._suspicions.tick(now)
        self._detector.tick_period(now)
        self._dissemination.tick(now)
        self._synchronizer.tick(now)
        return self._context.outbox.drain()

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if nothing is planned."""
        return min(self._timers_due_at(), self._dissemination.next_at())

    def _timers_due_at(self) -> int:
        """When something but gossip is due: that is put off and taken up without the time being known."""
        return min(self._detector.next_at(), self._suspicions.next_at(), self._synchronizer.next_at())

    def _compensate_for_pause(self, now: int) -> None:
        """Postpones all time-outs if this process was stopped: it finds them past before it has read what
        came meanwhile. It was away, not the others, so that their times begin where it came back."""
        overdue = now - self._timers_due_at()
        self._context.now = now
        if overdue < self.rules.timeout:
            return
        self.local_health.degrade()
        self._detector.postpone(now, overdue)
        self._suspicions.postpone(overdue)
        self._dissemination.resume(now)
        self._synchronizer.resume(now)
