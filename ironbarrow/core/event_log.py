"""Counts what is worth knowing after an incident, and logs it up to a rate."""

from collections import Counter
from typing import Any

import structlog

from ironbarrow.runtime.clock import SECOND, Clock

log = structlog.get_logger()

_LINES_PER_SECOND = 20


class EventLog:
    """Events by name and kind. Each is counted; so many a second are logged, and how many were not."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.counts: Counter[tuple[str, str]] = Counter()
        self._second = 0
        self._lines = 0
        self._unlogged = 0

    def count(self, event: str, kind: str = "") -> None:
        """Counts without a line."""
        self.counts[event, kind] += 1

    def note(self, event: str, kind: str = "", **fields: Any) -> None:
        """Counts, and logs a line with these fields unless there were too many in this second."""
        self.count(event, kind)
        second = self._clock.now() // SECOND
        if second != self._second:
            if self._unlogged:
                log.info("events not logged", number=self._unlogged)
            self._second, self._lines, self._unlogged = second, 0, 0
        if self._lines >= _LINES_PER_SECOND:
            self._unlogged += 1
            return
        self._lines += 1
        log.info(event, kind=kind, **fields)

    def totals(self) -> dict[str, int]:
        """All counts since the start, by ``event: kind``."""
        return {
            f"{event}: {kind}" if kind else event: number for (event, kind), number in self.counts.items()
        }
