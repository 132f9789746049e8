"""Whom the failure detector probes next: every member once in a round, in an order shuffled anew.

Members of whom a suspicion was heard go before the others, every second probe.
"""

import random

from ironbarrow.fleet.members.table import Entry, MembershipTable


class ProbeSchedule:
    """The order of probes; nobody is left out for longer than a round."""

    def __init__(self, table: MembershipTable, random_source: random.Random) -> None:
        self._table = table
        self._random = random_source
        self._round: list[str] = []  # names still to be probed, from the end
        self._urgent: dict[str, None] = {}  # names in the order in which they became urgent
        self._last_was_urgent = False

    def insert(self, name: str) -> None:
        """Adds a new member at a random place of the present round."""
        self._round.insert(self._random.randrange(len(self._round) + 1), name)

    def expedite(self, name: str) -> None:
        """Has a member probed soon: others could not reach it."""
        self._urgent[name] = None

    def discard(self, name: str) -> None:
        """Has a forgotten member not probed out of turn."""
        self._urgent.pop(name, None)

    def next(self) -> Entry | None:
        """Whom to probe now; None if nobody is reachable."""
        self._last_was_urgent = bool(self._urgent) and not self._last_was_urgent
        if self._last_was_urgent:
            entry = self._next_urgent()
            if entry is not None:
                return entry
        return self._next_of_round() or self._next_of_new_round()

    def _next_urgent(self) -> Entry | None:
        name = next(iter(self._urgent))
        del self._urgent[name]
        return self._reachable(name)

    def _next_of_round(self) -> Entry | None:
        while self._round:
            entry = self._reachable(self._round.pop())
            if entry is not None:
                return entry
        return None

    def _next_of_new_round(self) -> Entry | None:
        self._start_round()
        entry = self._next_of_round()
        if entry is None:
            self._start_round()
        return entry

    def _start_round(self) -> None:
        self._round = list(self._table.entries)
        self._random.shuffle(self._round)

    def _reachable(self, name: str) -> Entry | None:
        entry = self._table.get(name)
        return entry if entry is not None and entry.reachable else None
