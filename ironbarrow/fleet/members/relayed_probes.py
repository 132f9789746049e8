"""Indirect probes that this member relays for others."""

from collections.abc import Iterator
from dataclasses import dataclass

from ironbarrow.fleet.api import NEVER, Incarnation
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.known_state import KnownState, latest_known_state
from ironbarrow.fleet.members.messages import Ack, Ping, PingRequest, Rumour

MAX_RELAYED_PROBES = 256  # pending at the same time


@dataclass(slots=True, eq=False)
class RelayedProbe:
    """A pending probe for ``requester``, whose own probe has ``number``."""

    requester: Incarnation
    number: int
    target: Incarnation
    expires_at: int


class RelayedProbes:
    """Probes targets on request and reports the result to the requester."""

    def __init__(self, context: MemberContext, dissemination: Dissemination, numbers: Iterator[int]) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        # shared with this member's own probes, so that an Ack matches one probe only
        self._probe_numbers = numbers
        self._probes: dict[int, RelayedProbe] = {}

    def on_request(self, now: int, requester: Incarnation, request: PingRequest) -> None:
        """Probes the target of a request; the caller has merged its rumours."""
        target = request.target
        if target.name == self._table.own_name or len(self._probes) >= MAX_RELAYED_PROBES:
            self._context.dropped["ping request"] += 1
            return
        number = next(self._probe_numbers)
        expires_at = now + self._context.rules.timeout
        self._probes[number] = RelayedProbe(requester, request.number, target, expires_at)
        rumours = self._dissemination.select(to=target.name)
        known_state = latest_known_state(
            self._table, target, KnownState(request.known_version, request.known_health)
        )
        self._context.outbox.send(target, Ping(number, self._table.own_card.version, *known_state, rumours))

    def on_ack(self, sender: Incarnation, ack: Ack) -> None:
        """Reports success to the requester if this Ack answers a relayed probe."""
        probe = self._probes.get(ack.number)
        if probe is None or probe.target != sender:
            return
        del self._probes[ack.number]
        rumours = self._dissemination.select(to=probe.requester.name, first=[sender.name])
        self._report(probe, reached=True, rumours_for_requester=rumours)

    def tick(self, now: int) -> None:
        """Reports failure for each target that did not answer in time."""
        for number, probe in list(self._probes.items()):
            if probe.expires_at <= now:
                del self._probes[number]
                self._report(probe, reached=False)

    def next_at(self) -> int:
        """When the next relayed probe times out, ns; NEVER if there is none."""
        if not self._probes:  # the common case, on the path of every message
            return NEVER
        return min(probe.expires_at for probe in self._probes.values())

    def postpone(self, duration: int) -> None:
        """Extends all timeouts by ``duration``, the time for which the process was paused."""
        for probe in self._probes.values():
            probe.expires_at += duration

    def _report(
        self, probe: RelayedProbe, reached: bool, rumours_for_requester: tuple[Rumour, ...] = ()
    ) -> None:
        own_version = self._table.own_card.version
        report = Ack(
            probe.number,
            own_version,
            piggybacked=rumours_for_requester,
            relayed_target=probe.target,
            reached=reached,
        )
        self._context.outbox.send(probe.requester, report)
