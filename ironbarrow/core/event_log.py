"""Counts events that help to analyse incidents, and logs them at a limited rate."""

from collections import Counter
from typing import Any

import structlog

from ironbarrow.runtime.clock import SECOND, Clock

log = structlog.get_logger()

_MAX_LINES_PER_SECOND = 20


class EventLog:
    """Counts events by name and kind. Logs at most ``_MAX_LINES_PER_SECOND`` of them, and how many it
    dropped."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.counts: Counter[tuple[str, str]] = Counter()
        self._current_second = 0
        self._lines_in_second = 0
        self._suppressed = 0

    def count(self, event: str, kind: str = "") -> None:
        """Counts an event without logging it."""
        self.counts[event, kind] += 1

    def record(self, event: str, kind: str = "", **fields: Any) -> None:
        """Counts an event and logs it with these fields, unless this second's limit is reached."""
        self.count(event, kind)
        second = self._clock.now() // SECOND
        if second != self._current_second:
            if self._suppressed:
                log.info("events not logged", number=self._suppressed)
            self._current_second, self._lines_in_second, self._suppressed = second, 0, 0
        if self._lines_in_second >= _MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return
        self._lines_in_second += 1
        log.info(event, kind=kind, **fields)

    def totals(self) -> dict[str, int]:
        """All counts since the start of the process, by ``event: kind``."""
        return {
            f"{event}: {kind}" if kind else event: number for (event, kind), number in self.counts.items()
        }
