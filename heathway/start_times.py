"""When workers have started, on the own clock. No input or output.

The list tells each start by the wall clock of the worker's machine, and this process counts from its own wall
clock as it was at its start. Either may be off by seconds or an hour. Danger: with the own clock ahead, a
worker that has just started looks warm, and is pushed over. So a start that is told while the list is
followed was not long ago, whatever the clocks say; and where all workers of a first list look warm, the
newest one is taken to have just started, since the own clock can't be ahead by more than its age.
"""

from collections.abc import Iterable

from heathway import api

_SECOND = 1_000_000_000
TOLD_WITHIN = 6 * _SECOND  # a start is listed within this time
LONGEST_STEP = 3_700 * _SECOND  # a clock is off by an hour at the most, and some seconds


class StartTimes:
    """Start times in ns on the own clock, none earlier than the worker can have started."""

    def __init__(self, cold_time: int) -> None:
        self._cold_time = cold_time
        self._listed: dict[str, int] = {}  # by worker, as the list tells it
        self._started: dict[str, int] = {}  # by worker, on the own clock
        self._followed = False  # the discovery service has told something to this process

    def of(self, worker: str) -> int:
        """When that worker started at the latest; 0: long ago."""
        return self._started.get(worker, 0)

    def take(self, entries: Iterable[api.WorkerEntry], now: int, kind: api.ListKind) -> None:
        """Takes in lines of a list of that kind at ``now`` (ns). Danger: looked at again with each list, the
        newest worker would never get warm; after the first word of the discovery service only new starts
        count."""
        new = [entry for entry in entries if entry.started_at > self._listed.get(entry.worker, 0)]
        self._listed.update((entry.worker, entry.started_at) for entry in new)
        if self._followed:
            for entry in new:
                looks_warm = now - entry.started_at > self._cold_time
                self._started[entry.worker] = now - TOLD_WITHIN if looks_warm else min(entry.started_at, now)
            return
        self._followed = kind is not api.ListKind.LAST_KNOWN
        past = [started_at for started_at in self._listed.values() if started_at <= now]
        ahead = now - max(past, default=now)
        if not self._cold_time < ahead < LONGEST_STEP:
            ahead = 0  # one looks cold, so that the clock is hardly ahead; or all are warm by any clock
        self._started = {worker: min(now, at + ahead) for worker, at in self._listed.items()}
