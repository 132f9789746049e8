"""Deduplication of client retries: cached answers, ids that other members may own, lookups at all members.

Does no input or output.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ironbarrow.core.jobs import Answer
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.records import JobRecord
from ironbarrow.fleet.takeover.lookup_rules import LookupDecision
from ironbarrow.runtime.clock import MS, SECOND

ROUND_INTERVAL = 100 * MS  # between two rounds of queries to all members
HOLDER_POLL_INTERVAL = 500 * MS  # between queries to the job's holder, whose answer may be lost on the way
_MAX_DISCLAIMED_IDS = 8192
_MAX_RESULT_BYTES = 8 << 20  # of all cached results together
_REFUSAL_RETENTION = 1 * SECOND  # of a safe job; after that a retry under the same id is a new job


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """The answer of a job that has ended. ``digest``: of its request."""

    digest: bytes
    answer: Answer
    until: int  # ns, when it expires


class AnswerCache:
    """Answers of ended jobs, for clients that retry. ``retention`` in ns; beyond ``max_answers`` or 8 MiB of
    results the oldest are evicted."""

    def __init__(self, retention: int, max_answers: int) -> None:
        self._retention, self._max_answers = retention, max_answers
        self._answers: OrderedDict[str, CachedAnswer] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    def store(self, job_id: str, digest: bytes, answer: Answer, now: int, *, short: bool) -> None:
        """Stores an answer. ``short``: the refusal of a safe job, which expires early so that the client may
        try again under the same id."""
        self._remove(job_id)
        retention = (
            min(self._retention, max(_REFUSAL_RETENTION, answer.retry_after)) if short else self._retention
        )
        self._answers[job_id] = CachedAnswer(digest, answer, now + retention)
        self._bytes += len(answer.result)
        while len(self._answers) > self._max_answers or self._bytes > _MAX_RESULT_BYTES:
            self._remove(next(iter(self._answers)))

    def find(self, job_id: str, now: int) -> CachedAnswer | None:
        """The answer of a job; None if there is none or it has expired."""
        found = self._answers.get(job_id)
        if found is not None and found.until <= now:
            self._remove(job_id)
            return None
        return found

    def _remove(self, job_id: str) -> None:
        if (found := self._answers.pop(job_id, None)) is not None:
            self._bytes -= len(found.answer.result)


class DisclaimedIds:
    """Ids of jobs that this member has told another member it does not own.

    The other may have started the job since, so a request under such an id is looked up first."""

    def __init__(self, retention: int) -> None:
        self._retention = retention
        self._until: OrderedDict[str, int] = OrderedDict()

    def add(self, job_id: str, now: int) -> None:
        """Notes an id; the oldest ones beyond ``_MAX_DISCLAIMED_IDS`` are dropped."""
        self._until[job_id] = now + self._retention
        self._until.move_to_end(job_id)
        while len(self._until) > _MAX_DISCLAIMED_IDS:
            self._until.popitem(last=False)

    def contains(self, job_id: str, now: int) -> bool:
        """Whether an id was noted within the retention time."""
        return self._until.get(job_id, 0) > now


@dataclass(slots=True, eq=False)
class JobLookup:
    """A retried job, while all members are queried for it.

    A round of queries is complete once every live member has replied in it. Its result counts only if no
    member knows of a ledger that is still to be taken over, as the job may be in that one."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    started_at: int  # ns, when the lookup began, or the job's holder was lost
    # The client has marked the request as a retry: the job may be older than what any member knows. One that
    # was taken here first is not.
    retried: bool = False
    may_take: bool = True  # False: an earlier incarnation of this process may have sent it
    remote_waiters: dict[Incarnation, None] = field(default_factory=dict)
    round: int = 0
    answered: set[Incarnation] = field(default_factory=set)
    no_open_ledger: bool = True
    may_be_lost: bool = False  # a member knows of a lost ledger, which may have held the job
    history_known: bool = (
        False  # a member has replied that has followed the fleet as long as answers are kept
    )
    holder: Incarnation | None = None  # the member that has replied that it owns the job
    next_at: int = 0
    decision: LookupDecision | None = None  # the last one

    def new_round(self, now: int) -> None:
        """Begins a round. Earlier replies no longer count: a member may have started the job since."""
        self.round += 1
        self.answered.clear()
        self.no_open_ledger, self.may_be_lost, self.history_known = True, False, False
        self.next_at = now + (ROUND_INTERVAL if self.holder is None else HOLDER_POLL_INTERVAL)

    def holder_lost(self, now: int) -> None:
        """Notes that the holder has ended or does not know the job any more, and restarts the lookup's time.

        Counted from the first query, the time might be over at the moment in which the holder is lost."""
        self.holder, self.next_at, self.started_at = None, now, now
