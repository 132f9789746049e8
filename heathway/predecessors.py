"""Whether predecessors of this process may just have sent to cold workers. No input or output.

A dispatcher's share of a cold worker's budget (``slow_start.py``) belongs to all of its processes together:
to one that ended just before a restart, and to one that serves on beside its successor. What they have sent
is not known here. So a process takes the whole share as used until its predecessors have ended and one window
has passed.
"""

from heathway.start_times import StartTimes


class Predecessors:
    """The processes of this dispatcher that were started before this one. Times are in ns."""

    def __init__(self, window: int) -> None:
        """``window``: the time in which a share may be used once."""
        self._window = window
        self._own_start = 0
        self._running = False
        self._used_until = 0  # until then, what a process beside this one sent is in the window

    def own_process_started(self, now: int) -> None:
        """Notes the start of this process."""
        self._own_start = now

    def set_running(self, running: bool, now: int) -> None:
        """Notes whether any of them runs, or may run, beside this process."""
        if self._running and not running:
            self._used_until = now + self._window
        self._running = running

    def may_use_share(self, worker: str, start_times: StartTimes, now: int) -> bool:
        """Whether one of them may use the share of that cold worker, or may have used it within the window.

        One that had ended before this process started knew of no worker that has started since. One that runs
        beside it may hear of a worker's start before this process does."""
        if self._running or now < self._used_until:
            return True
        return now < self._own_start + self._window and start_times.may_precede(worker, self._own_start)
