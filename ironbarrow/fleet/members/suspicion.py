"""Suspicion: an unreachable member becomes SUSPECT, and DEAD unless it refutes that in time.

As in Lifeguard, the timeout shrinks as other members confirm that they cannot reach the suspect either.
"""

import math

from ironbarrow.fleet.api import NEVER, Health
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.table import Entry
from ironbarrow.fleet.members.transitions import Transitions

MAX_CONFIRMATIONS = 3  # independent accusers besides the first; more do not shorten the timeout
MIN_TIMEOUT_DIVISOR = 3  # the shortest timeout is the longest divided by this


class Suspicions:
    """Starts, confirms and expires suspicions."""

    def __init__(
        self,
        context: MemberContext,
        transitions: Transitions,
        dissemination: Dissemination,
        schedule: ProbeSchedule,
    ) -> None:
        self._context = context
        self._table = context.table
        self._transitions = transitions
        self._dissemination = dissemination
        self._schedule = schedule

    def suspect(self, now: int, entry: Entry, version: int, accuser: str, *, publish: bool = True) -> None:
        """Suspects a member, or records that another one (``accuser``) could not reach it either.

        ``publish`` False: the caller publishes the entry itself.
        """
        if entry.gone and version <= entry.version:
            return
        starts_suspicion = entry.health is not Health.SUSPECT or version > entry.version
        if version > entry.version or entry.health is Health.ALIVE:
            entry.accusers.clear()
        if not starts_suspicion and not self._is_new_confirmation(entry, accuser):
            return
        if accuser:
            entry.accusers.add(accuser)
        if starts_suspicion:
            self._begin(now, entry, version, accuser, publish)
        else:
            self._dissemination.enqueue(entry.incarnation.name)
        entry.suspected_until = max(now, entry.since + self._duration(entry))

    def is_confirmed_death_credible(self, now: int, entry: Entry) -> bool:
        """Whether a suspicion is old enough to accept from another member that the suspect is DEAD."""
        return now - entry.since >= self._context.rules.suspect_for // MIN_TIMEOUT_DIVISOR

    def declare_dead(self, now: int, entry: Entry, version: int) -> None:
        """Marks a suspect as DEAD because another member reported it DEAD."""
        self._transitions.set_health(now, entry, max(version, entry.version), Health.DEAD)

    def tick(self, now: int) -> None:
        """Expires the suspicions whose timeout has passed."""
        for entry in list(self._table.suspects.values()):
            if entry.suspected_until <= now:
                self._expire(now, entry)

    def next_at(self) -> int:
        """When the next suspicion times out, ns; NEVER if there is none."""
        if not self._table.suspects:  # the common case, on the path of every message
            return NEVER
        return min(entry.suspected_until for entry in self._table.suspects.values())

    def postpone(self, duration: int) -> None:
        """Extends all timeouts by ``duration``, the time for which the process was paused."""
        for entry in self._table.suspects.values():
            entry.suspected_until += duration

    def _is_new_confirmation(self, entry: Entry, accuser: str) -> bool:
        return bool(accuser) and accuser not in entry.accusers and len(entry.accusers) <= MAX_CONFIRMATIONS

    def _begin(self, now: int, entry: Entry, version: int, accuser: str, publish: bool) -> None:
        self._table.suspects[entry.incarnation.name] = entry
        if accuser != self._table.own_name:
            self._schedule.expedite(entry.incarnation.name)
        entry.version = version
        entry.health, entry.since = Health.SUSPECT, now
        if publish:
            self._transitions.publish(entry)

    def _duration(self, entry: Entry) -> int:
        longest = self._context.local_health.scale(self._context.rules.suspect_for)
        shortest = longest / MIN_TIMEOUT_DIVISOR
        alive = sum(1 for member in self._table.alive() if member.health is Health.ALIVE)
        others = min(MAX_CONFIRMATIONS, alive - 1)
        confirmations = max(0, len(entry.accusers) - 1)
        part = math.log(confirmations + 1) / math.log(others + 1) if others > 0 else 0.0
        return int(longest - (longest - shortest) * min(1.0, part))

    def _expire(self, now: int, entry: Entry) -> None:
        suspect_for = self._context.rules.suspect_for
        if now - entry.last_message_at < suspect_for // 2:
            # a member that sends messages is alive, even if probes from here fail
            entry.suspected_until = entry.last_message_at + suspect_for
            return
        self._transitions.set_health(now, entry, entry.version, Health.DEAD)
