"""When workers started, on this process's clock. No input or output.

The list gives each start time by the wall clock of the worker's machine. Any wall clock may be stepped by
seconds or an hour, so a listed start only identifies a process of the worker. A start that was not listed for
the worker before is that of a new process, also if it is earlier than the last one. A start that was listed
before comes from a delayed list. A new process may have started at the moment in which it is first listed: if
it were taken to be older, it would look warmer than it is and be sent too much.

The first list of the discovery service is different, as most of its workers have run for long. Its starts are
taken as listed, corrected for an own clock that is ahead: if every worker looks warm, the newest one is taken
to have just started, since the own clock can't be ahead by more than that worker's age.
"""

from collections import deque
from collections.abc import Iterable

from heathway import api

_SECOND = 1_000_000_000
MAX_CLOCK_ERROR = 3_700 * _SECOND  # an hour and some seconds
_MAX_EARLIER_STARTS = 8  # remembered for each worker


class StartTimes:
    """The latest possible start of each worker, in ns on the own clock."""

    def __init__(self, cold_time: int) -> None:
        self._cold_time = cold_time
        # by worker, as the list gives them: the start of its latest process, and those of earlier ones
        self._listed: dict[str, int] = {}
        self._earlier: dict[str, deque[int]] = {}
        self._started: dict[str, int] = {}  # by worker, on the own clock
        self._listed_at_first: dict[str, int] = {}  # as listed up to the first list of the service
        self._followed = False  # whether the discovery service has sent this process a list or changes

    def latest(self, worker: str) -> int:
        """When that worker started at the latest; 0: long ago."""
        return self._started.get(worker, 0)

    def listed(self, worker: str) -> int:
        """The start of that worker's latest process as the list gives it; 0: long ago, or not listed."""
        return self._listed.get(worker, 0)

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
        new = {entry.worker: entry.started_at for entry in entries if self._is_new_process(entry)}
        # an earlier start shows that a clock was stepped, so that it doesn't tell the worker's age
        step_shown = {worker for worker, listed in new.items() if listed < self.listed(worker)}
        for worker, listed in new.items():
            self._remember(worker, listed)
        if self._followed:
            self._started.update(dict.fromkeys(new, now))
            return
        self._followed = kind is not api.ListKind.LAST_KNOWN
        self._listed_at_first = dict(self._listed)
        past = [listed for listed in self._listed.values() if listed <= now]
        ahead = now - max(past, default=now)
        # a worker that looks cold shows that the clock is hardly ahead; beyond the error all are warm anyhow
        if not self._cold_time < ahead < MAX_CLOCK_ERROR:
            ahead = 0
        self._started = {worker: min(now, listed + ahead) for worker, listed in self._listed.items()}
        self._started.update(dict.fromkeys(step_shown, now))

    def _is_new_process(self, entry: api.WorkerEntry) -> bool:
        """Whether an entry shows a process of the worker that was not listed before.

        A start of 0 tells of no process, and the entry of a worker that is gone of none that runs."""
        listed = entry.started_at
        if listed <= 0 or entry.state is api.WorkerState.GONE:
            return False
        return listed != self.listed(entry.worker) and listed not in self._earlier.get(entry.worker, ())

    def _remember(self, worker: str, listed: int) -> None:
        previous = self._listed.get(worker)
        if previous is not None:
            self._earlier.setdefault(worker, deque(maxlen=_MAX_EARLIER_STARTS)).append(previous)
        self._listed[worker] = listed
