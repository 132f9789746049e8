"""Clients that come again: answers that are kept for them, promises not to take an id, who is asked for
one. No input or output."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ironbarrow.core.jobs import Answer
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.records import JobRecord
from ironbarrow.runtime.clock import MS, SECOND

ROUND_INTERVAL = 100 * MS  # until all are asked again, or those that have not answered
HOLDER_POLL_INTERVAL = (
    500 * MS
)  # a holder is asked again whether it has ended: its answer may be lost on the way
_MAX_DISCLAIMED_IDS = 8192
_MAX_RESULT_BYTES = 8 << 20  # of results that are kept
_REFUSAL_RETENTION = 1 * SECOND  # of a safe job: then a repeat under the same id is a new try


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """A job that has ended."""

    digest: bytes
    answer: Answer
    until: int  # it is kept so long


class AnswerCache:
    """Answers for those that come again. ``keep_for``: ns; ``most``: of them; the oldest go first."""

    def __init__(self, retention: int, max_answers: int) -> None:
        self._retention, self._max_answers = retention, max_answers
        self._answers: OrderedDict[str, CachedAnswer] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    def store(self, job_id: str, digest: bytes, answer: Answer, now: int, *, short: bool) -> None:
        """``short``: the refusal of a safe job, which may soon be tried anew under its id."""
        self._remove(job_id)
        retention = (
            min(self._retention, max(_REFUSAL_RETENTION, answer.retry_after)) if short else self._retention
        )
        self._answers[job_id] = CachedAnswer(digest, answer, now + retention)
        self._bytes += len(answer.result)
        while len(self._answers) > self._max_answers or self._bytes > _MAX_RESULT_BYTES:
            self._remove(next(iter(self._answers)))

    def find(self, job_id: str, now: int) -> CachedAnswer | None:
        found = self._answers.get(job_id)
        if found is not None and found.until <= now:
            self._remove(job_id)
            return None
        return found

    def _remove(self, job_id: str) -> None:
        if (found := self._answers.pop(job_id, None)) is not None:
            self._bytes -= len(found.answer.result)


class DisclaimedIds:
    """Ids that this member does not take without asking first, since it has told another that it has none."""

    def __init__(self, retention: int) -> None:
        self._retention = retention
        self._until: OrderedDict[str, int] = OrderedDict()

    def add(self, job_id: str, now: int) -> None:
        self._until[job_id] = now + self._retention
        self._until.move_to_end(job_id)
        while len(self._until) > _MAX_DISCLAIMED_IDS:
            self._until.popitem(last=False)

    def contains(self, job_id: str, now: int) -> bool:
        return self._until.get(job_id, 0) > now


@dataclass(slots=True, eq=False)
class JobLookup:
    """A job that comes again, while all are asked who has it. A round is over once every member that is alive
    has answered in it, and it decides only where none of them knows of an open ledger."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    started_at: int  # ns, when it was asked for first, or lost its holder
    may_take: bool = True  # False: it was sent from here in an earlier incarnation
    remote_waiters: dict[Incarnation, None] = field(default_factory=dict)
    round: int = 0
    answered: set[Incarnation] = field(default_factory=set)
    no_open_ledger: bool = True
    may_be_lost: bool = False  # an incarnation is lost of which nobody knows all that it had
    holder: Incarnation | None = None
    next_at: int = 0

    def new_round(self, now: int) -> None:
        """Danger: what was answered before this member gave way to another no longer counts."""
        self.round += 1
        self.answered.clear()
        self.no_open_ledger, self.may_be_lost = True, False
        self.next_at = now + (ROUND_INTERVAL if self.holder is None else HOLDER_POLL_INTERVAL)

    def holder_lost(self, now: int) -> None:
        """Whoever had it is gone, or has forgotten it. Danger: measured from the first question, the time for
        finding it may be over in the very instant in which its holder is lost."""
        self.holder, self.next_at, self.started_at = None, now, now
