"""The order of probes: every member once per round, reshuffled for each round.

Every second probe goes to a member that others suspect, while there are any.
"""

import random

from ironbarrow.fleet.members.table import Entry, MembershipTable


class ProbeSchedule:
    """Chooses the next member to probe. Urgent probes never stop the regular round."""

    def __init__(self, table: MembershipTable, random_source: random.Random) -> None:
        self._table = table
        self._random = random_source
        self._round: list[str] = []  # names still to be probed; the last one is next
        self._urgent: dict[str, None] = {}  # names in the order in which they became urgent
        self._last_was_urgent = False

    def insert(self, name: str) -> None:
        """Adds a new member at a random position of the current round."""
        self._round.insert(self._random.randrange(len(self._round) + 1), name)

    def expedite(self, name: str) -> None:
        """Schedules an early probe of a member that others could not reach."""
        self._urgent[name] = None

    def discard(self, name: str) -> None:
        """Cancels the early probe of a member that was removed from the table."""
        self._urgent.pop(name, None)

    def next(self) -> Entry | None:
        """The member to probe now; None if none is ALIVE or SUSPECT."""
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
