"""The state of an orderly shutdown. No I/O."""

from enum import Enum

from ironbarrow.core.event_log import EventLog
from ironbarrow.runtime.clock import Clock


class Phase(Enum):
    """What a process that is told to stop does. Logged with each transition."""

    SERVING = "serving"
    FINISHING = "finishing its jobs"
    HANDING_OVER = "handing its jobs over"
    SUCCESSOR_GONE = "finishing its jobs, as its successor has ended"
    CLOSING_IDLE = "closing idle connections"
    LEAVING_FLEET = "leaving the fleet"
    ENDING = "ending"


class Shutdown:
    """The shutdown of one process. Times in ns on the loop's clock."""

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self._clock = clock
        self._event_log = event_log
        self.phase = Phase.SERVING
        self.began_at: int | None = None  # when the process was told to stop

    def begin(self, began_at: int) -> None:
        """The process was told to stop at ``began_at``."""
        self.began_at = began_at

    def enter(self, phase: Phase, owed: int) -> None:
        """Records a transition. ``owed``: the number of jobs without an answer."""
        if phase is self.phase:
            return
        self.phase = phase
        since = 0 if self.began_at is None else self._clock.now() - self.began_at
        self._event_log.record("shutdown", phase.value, owed=owed, after_ms=since // 1_000_000)

    def is_late(self, arrived_at: int) -> bool:
        """Whether a job that arrived at this time came after the process was told to stop."""
        return self.began_at is not None and arrived_at >= self.began_at
