"""Jobs received from another process that wait for a worker's call-back. No input or output.

No worker is chosen here. A job that certainly did not run may be retried, and so may a job of a safe class;
any other ends with the one final answer that the rules of service allow.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.handover.records import Record

_MAX_EARLY_CALL_BACKS = 1024  # for jobs that have not arrived yet
_EARLY_CALL_BACK_RETENTION = 2_000_000_000  # ns
_MAX_EARLY_RESULT_BYTES = 4 << 20  # all early results together


class AttemptEnd(Enum):
    """How the attempt of a pending job ended."""

    DONE = auto()
    NEVER_RAN = auto()
    MAY_HAVE_RUN = auto()
    EXPIRED = auto()


_END_BY_STATE = {
    "done": AttemptEnd.DONE,
    "returned": AttemptEnd.NEVER_RAN,
    "failed": AttemptEnd.MAY_HAVE_RUN,
    "lost": AttemptEnd.MAY_HAVE_RUN,
}


@dataclass(slots=True)
class PendingJob:
    """A job that waits for its call-back: ``answer`` answers its client, ``retry`` starts it again.

    ``on_end`` is called before the answer, but not before a retry, with how the attempt ended and whether it
    is proven that the job never ran."""

    record: Record
    safe: bool  # its class may run any number of times
    deadline: int  # ns, on this process's clock
    answer: Callable[[Answer], None]
    retry: Callable[[Record], None]
    on_end: Callable[[AttemptEnd, bool], None] = lambda end, never_ran: None


class PendingJobs:
    """The jobs that wait for a call-back, by id.

    ``max_attempts`` limits the attempts of one job, including those of the process that it came from.
    ``early_retention`` (ns) and ``max_early`` limit how long and how many call-backs are remembered for jobs
    that have not arrived yet."""

    def __init__(
        self,
        max_attempts: int,
        retry_after: int,
        *,
        early_retention: int = _EARLY_CALL_BACK_RETENTION,
        max_early: int = _MAX_EARLY_CALL_BACKS,
    ) -> None:
        self._max_attempts = max_attempts
        self._early_retention, self._max_early = early_retention, max_early
        self._early_bytes = 0
        self._retry_after = retry_after  # ns; 0: not sent to clients
        self.jobs: dict[str, PendingJob] = {}
        # by job id and worker: when it came (ns), state, result
        self._early_call_backs: OrderedDict[tuple[str, str], tuple[int, str, bytes]] = OrderedDict()

    def add(self, pending: PendingJob, now: int) -> None:
        """Adds a job until its call-back or its deadline. A call-back that came earlier ends it at once."""
        self.jobs[pending.record.id] = pending
        early = self.pop_early(pending.record.id, pending.record.worker, now)
        if early is not None:
            self.on_call_back(pending.record.id, pending.record.worker, *early, now)

    def pop_early(self, job_id: str, worker: str, now: int) -> tuple[str, bytes] | None:
        """Removes a remembered call-back and returns its state and result.

        None if there is none or it is too old."""
        early_call_back = self._drop_early((job_id, worker))
        return (
            early_call_back[1:]
            if early_call_back is not None and early_call_back[0] + self._early_retention >= now
            else None
        )

    def _drop_early(self, key: tuple[str, str]) -> tuple[int, str, bytes] | None:
        early_call_back = self._early_call_backs.pop(key, None)
        if early_call_back is not None:
            self._early_bytes -= len(early_call_back[2])
        return early_call_back

    def on_call_back(self, job_id: str, worker: str, state: str, result: bytes, now: int) -> bool:
        """Handles a worker's call-back; False if no pending job matches it.

        It is then remembered for a while, as the job may still be on its way from the other process."""
        pending = self.jobs.get(job_id)
        if pending is None or pending.record.worker != worker:
            if state in _END_BY_STATE:
                self._drop_early((job_id, worker))
                self._early_call_backs[job_id, worker] = (now, state, result)
                self._early_bytes += len(result)
                while (
                    len(self._early_call_backs) > self._max_early
                    or self._early_bytes > _MAX_EARLY_RESULT_BYTES
                ):
                    self._drop_early(next(iter(self._early_call_backs)))
            return False
        if state in _END_BY_STATE:
            self._end(pending, _END_BY_STATE[state], result, now)
        else:
            # once the worker has reported the start, a later "returned" does not prove that it never ran
            pending.record = replace(pending.record, may_have_run=True)
        return True

    def expire(self, now: int) -> None:
        """Ends the jobs whose deadline has passed."""
        for pending in [pending for pending in self.jobs.values() if pending.deadline <= now]:
            self._end(pending, AttemptEnd.EXPIRED, b"", now)

    def discard(self, job_id: str) -> None:
        """Removes a job without an answer, for example when its client has disconnected."""
        self.jobs.pop(job_id, None)

    def _end(self, pending: PendingJob, end: AttemptEnd, result: bytes, now: int) -> None:
        del self.jobs[pending.record.id]
        never_ran = end is AttemptEnd.NEVER_RAN and not pending.record.may_have_run
        if end is AttemptEnd.DONE:
            answer = Answer(Verdict.SERVED, result)
        elif not pending.safe and not never_ran:
            # not refused: after a refusal the client may send the job again, though it may have run
            answer = Answer(Verdict.FAILED)
        elif end is AttemptEnd.EXPIRED or pending.record.attempts >= self._max_attempts:
            answer = Answer(Verdict.REFUSED, retry_after=self._retry_after)
        else:
            tried = (*pending.record.tried, pending.record.worker)
            time_left = pending.deadline - now
            pending.retry(
                replace(
                    pending.record, worker="", may_have_run=not never_ran, time_left=time_left, tried=tried
                )
            )
            return
        pending.on_end(end, never_ran)
        pending.answer(answer)
