"""Jobs of the old process that a worker has: each waits here for its call-back. No input or output.

No decision is taken on them beyond the rules: what has ended without any doubt that it never ran may be
taken anew, as may a safe job, and all else ends here with the one answer that is lawful.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import Any

from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.handover.records import Record

_EARLY_MOST = 1024  # call-backs that are remembered for a job still on its way here
_EARLY_FOR = 2_000_000_000  # ns
_EARLY_BYTES = 4 << 20  # of their results


class End(Enum):
    """How an attempt that was kept has ended."""

    DONE = auto()
    NEVER_RAN = auto()
    MAY_HAVE_RUN = auto()
    TIME_OVER = auto()


_ENDS = {"done": End.DONE, "returned": End.NEVER_RAN, "failed": End.MAY_HAVE_RUN, "lost": End.MAY_HAVE_RUN}


@dataclass(slots=True)
class Kept:
    """A job that is kept, what answers its client, and what takes it anew."""

    record: Record
    safe: bool  # its class may run any number of times
    until: int  # ns, on the clock of this process
    answer: Callable[[Answer], None]
    again: Callable[[Record], None]


class Keeper:
    """All of them. ``most_attempts``: of one job, those of the old process included. ``early_for`` (ns),
    ``early_most``: how long, and how many, call-backs are remembered for jobs that are not here yet."""

    def __init__(
        self,
        most_attempts: int,
        retry_after: int,
        *,
        early_for: int = _EARLY_FOR,
        early_most: int = _EARLY_MOST,
    ) -> None:
        self._most_attempts = most_attempts
        self._early_for, self._early_most = early_for, early_most
        self._early_bytes = 0
        self._retry_after = retry_after  # ns; 0: clients are not told
        self.jobs: dict[str, Kept] = {}
        self._early: OrderedDict[tuple[str, str], tuple[int, str, bytes]] = OrderedDict()

    def keep(self, kept: Kept, now: int) -> None:
        """Keeps a job until its call-back or its time; a call-back that came before it counts."""
        self.jobs[kept.record.id] = kept
        early = self.early(kept.record.id, kept.record.worker, now)
        if early is not None:
            self.called_back(kept.record.id, kept.record.worker, *early, now)

    def early(self, job_id: str, worker: str, now: int) -> tuple[str, bytes] | None:
        """Takes out what a worker has said of a job before it was here: state and result."""
        found = self._forget_early((job_id, worker))
        return found[1:] if found is not None and found[0] + self._early_for >= now else None

    def _forget_early(self, key: tuple[str, str]) -> tuple[int, str, bytes] | None:
        found = self._early.pop(key, None)
        if found is not None:
            self._early_bytes -= len(found[2])
        return found

    def called_back(self, job_id: str, worker: str, state: str, result: bytes, now: int) -> bool:
        """A worker's word; False if no job here waits for it, and then it is remembered for a while, since
        the job may be on its way from the other process."""
        kept = self.jobs.get(job_id)
        if kept is None or kept.record.worker != worker:
            if state in _ENDS:
                self._forget_early((job_id, worker))
                self._early[job_id, worker] = (now, state, result)
                self._early_bytes += len(result)
                while len(self._early) > self._early_most or self._early_bytes > _EARLY_BYTES:
                    self._forget_early(next(iter(self._early)))
            return False
        if state in _ENDS:
            self._end(kept, _ENDS[state], result, now)
        else:
            # danger: of one that has told of its start, "returned" is no proof any more
            kept.record = replace(kept.record, may_have_run=True)
        return True

    def run_out(self, now: int) -> None:
        """Ends the jobs whose time is over."""
        for kept in [kept for kept in self.jobs.values() if kept.until <= now]:
            self._end(kept, End.TIME_OVER, b"", now)

    def gone(self, job_id: str) -> None:
        """Its client has left: nothing more is owed."""
        self.jobs.pop(job_id, None)

    def _end(self, kept: Kept, end: End, result: bytes, now: int) -> None:
        del self.jobs[kept.record.id]
        if end is End.DONE:
            kept.answer(Answer(Verdict.SERVED, result))
            return
        never_ran = end is End.NEVER_RAN and not kept.record.may_have_run
        if not kept.safe and not never_ran:
            kept.answer(Answer(Verdict.FAILED))  # danger: a refusal invites a repeat
        elif end is End.TIME_OVER or kept.record.attempts >= self._most_attempts:
            kept.answer(Answer(Verdict.REFUSED, retry_after=self._retry_after))
        else:
            fields: dict[str, Any] = {n: getattr(kept.record, n) for n in Record.__slots__}
            tried = (*kept.record.tried, kept.record.worker)
            fields |= {
                "worker": "",
                "may_have_run": not never_ran,
                "time_left": kept.until - now,
                "tried": tried,
            }
            kept.again(Record(**fields))
