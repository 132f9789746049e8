"""The failure detector: one probe per period, first direct, then through relays.

A member that answers neither way by the end of the period becomes SUSPECT.
"""

import itertools
from dataclasses import dataclass

from ironbarrow.fleet.api import NEVER, Health, Incarnation
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.known_state import latest_known_state
from ironbarrow.fleet.members.messages import Ack, Ping, PingRequest
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.relay_selection import select_relays
from ironbarrow.fleet.members.relayed_probes import RelayedProbes
from ironbarrow.fleet.members.suspicion import Suspicions
from ironbarrow.fleet.members.table import Entry


@dataclass(slots=True, eq=False)
class Probe:
    """A probe without an answer so far. Times in ns."""

    target: Incarnation
    started_at: int
    indirect_at: int  # when relays are asked to probe the target, too
    fails_at: int
    relays: int | None = None  # number of relays asked; None: none yet
    nacks: int = 0  # relays that reported no answer from the target

    @property
    def next_at(self) -> int:
        """When the next step of this probe is due."""
        return self.fails_at if self.relays is not None else min(self.fails_at, self.indirect_at)


class FailureDetector:
    """Probes the other members in turn, and at once a member whose connection broke."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        schedule: ProbeSchedule,
        suspicions: Suspicions,
        now: int,
    ) -> None:
        self._context = context
        self._table = context.table
        self._dissemination = dissemination
        self._schedule = schedule
        self._suspicions = suspicions
        self._probe_numbers = itertools.count(1)
        self._probes: dict[int, Probe] = {}
        self._last_message_at = now  # from any member
        self._next_probe_at = now + context.random.randrange(context.rules.period)
        self.relayed_probes = RelayedProbes(context, dissemination, self._probe_numbers)

    # Messages

    def note_message(self, now: int) -> None:
        """Records that a message from another member has arrived."""
        self._last_message_at = now

    def on_ack(self, now: int, sender: Incarnation, ack: Ack) -> None:
        """Handles the answer of a target or of a relay; the caller has merged its rumours."""
        self.relayed_probes.on_ack(sender, ack)
        probe = self._probes.get(ack.number)
        if probe is None or probe.target != (ack.relayed_target or sender):
            return
        if ack.reached:
            del self._probes[ack.number]
            self._context.local_health.improve()
        else:
            self._on_nack(now, probe)

    def on_connection_lost(self, now: int, name: str) -> None:
        """Probes a member at once, directly and through relays, after a connection to it broke.

        At most once per period for each member.
        """
        entry = self._table.get(name)
        if entry is None or entry.health is not Health.ALIVE or self._context.leaving:
            return
        if now - entry.last_extra_probe_at >= self._context.rules.period:
            entry.last_extra_probe_at = now
            self._probe(now, entry, indirect_after=0)

    def _on_nack(self, now: int, probe: Probe) -> None:
        probe.nacks += 1
        relays = probe.relays or 0
        if probe.indirect_at <= now and probe.nacks >= relays > 0:
            probe.fails_at = now

    # Time

    def tick_probes(self, now: int) -> None:
        """Takes the due steps of pending probes, including those relayed for other members."""
        for number, probe in list(self._probes.items()):
            if probe.fails_at <= now:
                del self._probes[number]
                self._on_failure(now, probe)
            elif probe.relays is None and probe.indirect_at <= now:
                self._request_relayed_probes(number, probe)
        self.relayed_probes.tick(now)

    def tick_period(self, now: int) -> None:
        """Starts the next regular probe if the period is over."""
        if self._context.leaving:
            self._next_probe_at = NEVER
        if self._next_probe_at > now:
            return
        self._next_probe_at = now + self._context.local_health.scale(self._context.rules.period)
        entry = self._schedule.next()
        if entry is not None:
            self._probe(now, entry, self._context.local_health.scale(self._context.rules.timeout))

    def next_at(self) -> int:
        """When the next step is due, ns; NEVER if there is none."""
        due = min(self._next_probe_at, self.relayed_probes.next_at())
        for probe in self._probes.values():
            due = min(due, probe.next_at)
        return due

    def postpone(self, now: int, duration: int) -> None:
        """Extends all probe timeouts by ``duration``: a paused process cannot read answers."""
        for probe in self._probes.values():
            probe.indirect_at += duration
            probe.fails_at += duration
        self.relayed_probes.postpone(duration)
        self._next_probe_at = max(self._next_probe_at, now)

    def cancel_probes(self) -> None:
        """Abandons all pending probes of this member."""
        self._probes.clear()

    # Probes

    def _probe(self, now: int, entry: Entry, indirect_after: int) -> None:
        target = entry.incarnation
        if any(probe.target == target for probe in self._probes.values()):
            return
        number = next(self._probe_numbers)
        fails_at = now + self._context.local_health.scale(self._context.rules.period)
        probe = Probe(target, now, now + indirect_after, fails_at)
        self._probes[number] = probe
        known_state = latest_known_state(self._table, target)
        rumours = self._dissemination.select(to=target.name)
        self._context.outbox.send(target, Ping(number, self._table.own_card.version, *known_state, rumours))
        if indirect_after == 0:
            self._request_relayed_probes(number, probe)

    def _request_relayed_probes(self, number: int, probe: Probe) -> None:
        relays = self._select_relays(probe.target.name)
        probe.relays = len(relays)
        known_state = latest_known_state(self._table, probe.target)
        for relay in relays:
            rumours = self._dissemination.select(to=relay.name)
            self._context.outbox.send(relay, PingRequest(number, probe.target, *known_state, rumours))

    def _select_relays(self, target: str) -> list[Incarnation]:
        entry = self._table.get(target)
        target_site = entry.card.site if entry is not None else ""
        return select_relays(
            self._table,
            target,
            (target_site, self._table.own_card.site),
            self._context.rules.helpers,
            self._context.random,
        )

    def _on_failure(self, now: int, probe: Probe) -> None:
        entry = self._table.of_incarnation(probe.target)
        if entry is None:
            return
        if self._last_message_at < probe.started_at:
            # no message at all has arrived since: this member may be the one that is cut off
            self._context.local_health.degrade()
        if entry.reachable:
            self._suspicions.suspect(now, entry, entry.version, accuser=self._table.own_name)
