"""The answers that clients wait for, each from accepting its job until it is written. No I/O."""

from dataclasses import dataclass
from enum import Enum

from ironbarrow.core.event_log import EventLog
from ironbarrow.core.shutdown import LateJobRule, Shutdown
from ironbarrow.runtime.clock import MS, Clock
from ironbarrow.runtime.loop import Task


class AnswerEnd(Enum):
    """How an answer ceased to be owed."""

    WRITTEN = "written"
    CLIENT_LEFT = "the client left"
    MALFORMED = "an error instead, as more of the request arrived than its length"
    HANDED_OVER = "handed over"
    NOT_WRITTEN = "its connection ended before it was written"
    CLOSED_HERE = "this process closed its connection"


@dataclass(slots=True)
class _OwedAnswer:
    job_id: str
    arrived_at: int  # ns
    decided: bool = False


class OwedAnswers:
    """Tracks the owed answers by the task that serves the client's connection."""

    def __init__(self, clock: Clock, event_log: EventLog, shutdown: Shutdown) -> None:
        self._clock, self._event_log, self._shutdown = clock, event_log, shutdown
        self._owed: dict[Task, _OwedAnswer] = {}

    def begin(self, task: Task, job_id: str) -> None:
        """A job was accepted from the client that this task serves."""
        self._owed[task] = _OwedAnswer(job_id, self._clock.now())

    def decided(self, task: Task) -> None:
        """The answer is known and is written next."""
        if task in self._owed:
            self._owed[task].decided = True

    def end(self, task: Task, how: AnswerEnd) -> None:
        """The answer is not owed any more; does nothing if none was."""
        owed = self._owed.pop(task, None)
        if owed is None:
            return
        if how in (AnswerEnd.NOT_WRITTEN, AnswerEnd.CLOSED_HERE):
            self._event_log.record(
                "answer not given",
                how.value,
                id=owed.job_id,
                waited_ms=(self._clock.now() - owed.arrived_at) // MS,
                late=self._shutdown.is_late(owed.arrived_at),
                decided=owed.decided,
            )
        else:
            self._event_log.count("answer", how.value)

    def connection_closed(self, task: Task) -> None:
        """This process closes the client's connection, and an answer may be owed."""
        owed = self._owed.get(task)
        if owed is None:
            return
        self.end(task, AnswerEnd.CLOSED_HERE)
        if self._shutdown.is_late(owed.arrived_at):
            self._shutdown.report(LateJobRule.CLOSING, owed.job_id)

    @property
    def unwritten(self) -> int:
        """The number of answers that are decided, and not written yet."""
        return sum(owed.decided for owed in self._owed.values())

    def check_late(self) -> None:
        """Reports the late jobs whose answer is not decided."""
        for owed in self._owed.values():
            if not owed.decided and self._shutdown.is_late(owed.arrived_at):
                self._shutdown.report(LateJobRule.ANSWERING, owed.job_id)
