"""The guard of an orderly shutdown: until when jobs are accepted, sent and answered. No I/O.

SIGKILL follows the signal to stop after a fixed time. A *late* job is one that arrives after that signal; it
must have its answer before. Its time therefore ends at the *answer limit* on every path: alone, beside a
successor, in a fleet. A job keeps its own time only while a successor takes jobs over, and ends at the limit
if it is still here by then. What breaks one of these rules is not done where that is possible, and
is counted in any case.
"""

from collections import Counter
from enum import Enum

from ironbarrow.core.event_log import EventLog
from ironbarrow.runtime.clock import MS, Clock


class Phase(Enum):
    """What a process that is told to stop does. Logged with each transition."""

    SERVING = "serving"
    FINISHING = "finishing its jobs"
    HANDING_OVER = "handing its jobs over"
    SUCCESSOR_GONE = "finishing its jobs, as its successor has ended"
    CLOSING_IDLE = "closing idle connections"
    LEAVING_FLEET = "leaving the fleet"
    ENDING = "ending"


class LateJobRule(Enum):
    """The rules for late jobs that a process can break."""

    ANSWERING = "a late job without an answer past the answer limit"
    CLOSING = "a connection closed with the answer of a late job owed"


class Shutdown:
    """The shutdown of one process. Times in ns on the loop's clock."""

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self._clock = clock
        self._event_log = event_log
        self._answer_limit = 0
        self.phase = Phase.SERVING
        self.began_at: int | None = None  # when the process was told to stop
        self.jobs_are_taken_over = False  # a successor runs and takes them
        self.violations: Counter[LateJobRule] = Counter()

    def begin(self, began_at: int, answer_limit: int) -> None:
        """The process was told to stop at ``began_at``. Late jobs are answered by ``answer_limit``."""
        self.began_at = began_at
        self._answer_limit = answer_limit

    def enter(self, phase: Phase, owed: int) -> None:
        """Records a transition. ``owed``: the number of jobs without an answer."""
        if phase is self.phase:
            return
        self.phase = phase
        since = 0 if self.began_at is None else self._clock.now() - self.began_at
        self._event_log.record("shutdown", phase.value, owed=owed, after_ms=since // MS)

    def is_late(self, arrived_at: int) -> bool:
        """Whether a job that arrived at this time came after the process was told to stop."""
        return self.began_at is not None and arrived_at >= self.began_at

    def limit(self, deadline: int) -> int:
        """The deadline of a job that arrives now, or comes back from a successor, if nobody takes it over."""
        return deadline if self.began_at is None else min(deadline, self._answer_limit)

    def limit_of_new_job(self, deadline: int) -> int:
        """The deadline of a job that arrives now."""
        return deadline if self.jobs_are_taken_over else self.limit(deadline)

    @property
    def accepts_jobs(self) -> bool:
        """Whether a job that arrives now may be accepted."""
        return self.began_at is None or self._clock.now() < self._answer_limit

    def may_send(self, arrived_at: int) -> bool:
        """Whether an attempt of a job that arrived at this time may still be sent."""
        return not self.is_late(arrived_at) or self._clock.now() < self._answer_limit

    def report(self, rule: LateJobRule, job_id: str) -> None:
        """Counts and logs a broken rule."""
        self.violations[rule] += 1
        self._event_log.record("shutdown rule broken", rule.value, id=job_id)
