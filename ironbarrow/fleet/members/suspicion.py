"""Suspicions: a member that could not be reached is SUSPECT, and DEAD unless it objects in time.

As in Lifeguard, the time shrinks as other members confirm that they could not reach it either.
"""

import math

from ironbarrow.fleet.api import NEVER, Health
from ironbarrow.fleet.members.context import MemberContext
from ironbarrow.fleet.members.dissemination import Dissemination
from ironbarrow.fleet.members.probe_schedule import ProbeSchedule
from ironbarrow.fleet.members.table import Entry
from ironbarrow.fleet.members.transitions import Transitions

MAX_CONFIRMATIONS = 3  # others that can't reach it either; more make the time no shorter
MIN_TIMEOUT_DIVISOR = 3  # the time of a suspicion shrinks to this part of the longest


class Suspicions:
    """Begins, confirms and ends suspicions, and their timers."""

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
        """Suspects a member, or notes that another one (``accuser``) could not reach it either.
        ``publish`` False: the caller publishes the entry itself."""
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
        """Whether a suspicion has lasted long enough for the word of another that it ended in a death."""
        return now - entry.since >= self._context.rules.suspect_for // MIN_TIMEOUT_DIVISOR

    def declare_dead(self, now: int, entry: Entry, version: int) -> None:
        """Takes a suspect for DEAD, as another member does."""
        self._transitions.set_health(now, entry, max(version, entry.version), Health.DEAD)

    def tick(self, now: int) -> None:
        """Ends the suspicions whose time is over."""
        for entry in list(self._table.suspects.values()):
            if entry.suspected_until <= now:
                self._expire(now, entry)

    def next_at(self) -> int:
        """When the next suspicion ends, ns; NEVER if there is none."""
        if not self._table.suspects:  # the usual case, asked for with every message
            return NEVER
        return min(entry.suspected_until for entry in self._table.suspects.values())

    def postpone(self, duration: int) -> None:
        """Makes up for a stop of the process: all suspicions last so much longer."""
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
            # one that is heard is alive, even if it can't be reached from here
            entry.suspected_until = entry.last_message_at + suspect_for
            return
        self._transitions.set_health(now, entry, entry.version, Health.DEAD)
