"""When workers started, on this process's clock. No input or output.

The list gives each start time by the wall clock of the worker's machine, and this process's clock was set
from its own wall clock when it started. Either may be off by seconds or an hour. If the own clock is ahead, a
worker that has just started looks warm and is sent too much. So a start that is first listed while this
process follows the list counts as recent whatever the clocks say. And if every worker of a first list looks
warm, the newest one is taken to have just started, since the own clock can't be ahead by more than that
worker's age.
"""

from collections.abc import Iterable

from heathway import api

_SECOND = 1_000_000_000
LISTED_WITHIN = 6 * _SECOND  # a start is listed within this time
MAX_CLOCK_ERROR = 3_700 * _SECOND  # an hour and some seconds


class StartTimes:
    """Start times in ns on the own clock, none earlier than the worker can have started."""

    def __init__(self, cold_time: int) -> None:
        self._cold_time = cold_time
        self._listed: dict[str, int] = {}  # by worker, as the list gives it
        self._started: dict[str, int] = {}  # by worker, on the own clock
        self._listed_at_first: dict[str, int] = {}  # as listed up to the first list of the service
        self._followed = False  # whether the discovery service has sent this process a list or changes

    def latest(self, worker: str) -> int:
        """When that worker started at the latest; 0: long ago."""
        return self._started.get(worker, 0)

    def may_precede(self, worker: str, process_start: int) -> bool:
        """Whether that worker may have started before this process did, at ``process_start`` (ns).

        A start in the first list may be older than this process, whatever time is listed: no two clocks are
        compared. A start that is listed later is new to this machine, so no earlier process knew of it."""
        known_at_first = self._listed.get(worker, 0) == self._listed_at_first.get(worker)
        return known_at_first or self.latest(worker) < process_start

    def apply_list(self, entries: Iterable[api.WorkerEntry], now: int, kind: api.ListKind) -> None:
        """Applies entries of a list of that kind, received at ``now`` (ns).

        The own clock is corrected until the discovery service has answered for the first time. Corrected
        again with each list, the newest worker would never become warm, so later only new starts count.
        """
        new = [entry for entry in entries if entry.started_at > self._listed.get(entry.worker, 0)]
        self._listed.update((entry.worker, entry.started_at) for entry in new)
        if self._followed:
            for entry in new:
                looks_warm = now - entry.started_at > self._cold_time
                self._started[entry.worker] = (
                    now - LISTED_WITHIN if looks_warm else min(entry.started_at, now)
                )
            return
        self._followed = kind is not api.ListKind.LAST_KNOWN
        self._listed_at_first = dict(self._listed)
        past = [started_at for started_at in self._listed.values() if started_at <= now]
        ahead = now - max(past, default=now)
        # a worker that looks cold shows that the clock is hardly ahead; beyond the error all are warm anyhow
        if not self._cold_time < ahead < MAX_CLOCK_ERROR:
            ahead = 0
        self._started = {worker: min(now, at + ahead) for worker, at in self._listed.items()}
