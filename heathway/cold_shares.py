"""Decides whether this dispatcher may send a job to a cold worker. No input or output."""

from collections.abc import Iterable

from heathway import api, slow_start
from heathway.predecessors import Predecessors
from heathway.start_times import StartTimes
from heathway.state import Worker


class ColdShares:
    """This dispatcher's share of each cold worker's budget, and what its processes have used of it.

    Times and work are in ns."""

    def __init__(self, settings: api.Settings, start_times: StartTimes) -> None:
        self._settings = settings
        self._start_times = start_times
        self._predecessors = Predecessors(settings.fall_window)

    def process_started(self, now: int) -> None:
        """Notes the start of this process."""
        self._predecessors.own_process_started(now)

    def predecessor_state(self, event: api.PredecessorState, now: int) -> None:
        """Applies what the host tells of predecessors."""
        self._predecessors.set_running(event.running, now)

    def predecessors_may_use(self, worker: Worker, now: int) -> bool:
        """Whether a predecessor may use the share, or may have used it within the window."""
        return self._predecessors.may_use_share(worker.id, self._start_times, now)

    def allows(self, worker: Worker, work: float, size: float, means: Iterable[float], now: int) -> bool:
        """Whether a job of that work fits the share in addition to what this process sent within the window.

        ``size``: the worker's slots, at mean speed; ``means``: mean service times of its classes."""
        share = slow_start.share_of(self._settings, worker.entry, now - worker.started_at, size, means)
        return share.allows(worker.work_sent_since(now - self._settings.fall_window), work)
