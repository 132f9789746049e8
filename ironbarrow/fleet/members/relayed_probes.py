"""Indirect probes that this member makes for others."""

from collections.abc import Iterator
from dataclasses import dataclass

from ironbarrow.fleet.api import NEVER, Incarnation
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.known_state import SeenState, seen_state
from ironbarrow.fleet.members.messages import Ack, Ask, Ping, Rumour

MAX_RELAYS = 256  # at a time


@dataclass(slots=True, eq=False)
class Relay:
    """A probe for another member (``asker``), under the number that it gave."""

    asker: Incarnation
    number: int
    target: Incarnation
    expires_at: int


class Relays:
    """Probes targets on request and reports what came of it."""

    def __init__(self, context: MemberContext, dissemination: Dissemination, numbers: Iterator[int]) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        self._numbers = numbers  # shared with this member's own probes
        self._relays: dict[int, Relay] = {}

    def on_request(self, now: int, asker: Incarnation, request: Ask) -> None:
        """Probes the target of a request; its rumours have been taken in."""
        target = request.target
        if target.name == self._table.own_name or len(self._relays) >= MAX_RELAYS:
            self._context.dropped["asked"] += 1
            return
        number = next(self._numbers)
        expires_at = now + self._context.rules.timeout
        self._relays[number] = Relay(asker, request.number, target, expires_at)
        rumours = self._dissemination.select(to=target.name)
        seen = seen_state(self._table, target, SeenState(request.seen, request.seen_health))
        self._context.outbox.send(target, Ping(number, self._table.own_card.version, *seen, rumours))

    def on_ack(self, sender: Incarnation, ack: Ack) -> None:
        """Reports that a target has answered, if this is the answer to such a probe."""
        relay = self._relays.get(ack.number)
        if relay is None or relay.target != sender:
            return
        del self._relays[ack.number]
        rumours = self._dissemination.select(to=relay.asker.name, first=[sender.name])
        self._report(relay, reached=True, rumours_for_asker=rumours)

    def tick(self, now: int) -> None:
        """Reports the targets that did not answer in time."""
        for number, relay in list(self._relays.items()):
            if relay.expires_at <= now:
                del self._relays[number]
                self._report(relay, reached=False)

    def next_at(self) -> int:
        """When the next target is given up, ns; NEVER if there is none."""
        if not self._relays:  # the usual case, asked for with every message
            return NEVER
        return min(relay.expires_at for relay in self._relays.values())

    def postpone(self, duration: int) -> None:
        """Makes up for a stop of the process."""
        for relay in self._relays.values():
            relay.expires_at += duration

    def _report(self, relay: Relay, reached: bool, rumours_for_asker: tuple[Rumour, ...] = ()) -> None:
        own_version = self._table.own_card.version
        report = Ack(relay.number, own_version, news=rumours_for_asker, about=relay.target, reached=reached)
        self._context.outbox.send(relay.asker, report)
