"""Clients that come again: answers that are kept for them, promises not to take an id, who is asked for
one. No input or output."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ironbarrow.core.jobs import Answer
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.records import JobRecord
from ironbarrow.runtime.clock import MS, SECOND

ROUND = 100 * MS  # until all are asked again, or those that have not answered
POLL = 500 * MS  # a holder is asked again whether it has ended: its answer may be lost on the way
_PROMISES = 8192
_ANSWER_BYTES = 8 << 20  # of results that are kept
_REFUSAL_FOR = 1 * SECOND  # of a safe job: then a repeat under the same id is a new try


@dataclass(frozen=True, slots=True)
class Ended:
    """A job that has ended."""

    digest: bytes
    answer: Answer
    until: int  # it is kept so long


class Answers:
    """Answers for those that come again. ``keep_for``: ns; ``most``: of them; the oldest go first."""

    def __init__(self, keep_for: int, most: int) -> None:
        self._keep_for, self._most = keep_for, most
        self._kept: OrderedDict[str, Ended] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, job_id: str, digest: bytes, answer: Answer, now: int, *, short: bool) -> None:
        """``short``: the refusal of a safe job, which may soon be tried anew under its id."""
        self._forget(job_id)
        last = min(self._keep_for, max(_REFUSAL_FOR, answer.retry_after)) if short else self._keep_for
        self._kept[job_id] = Ended(digest, answer, now + last)
        self._bytes += len(answer.result)
        while len(self._kept) > self._most or self._bytes > _ANSWER_BYTES:
            self._forget(next(iter(self._kept)))

    def find(self, job_id: str, now: int) -> Ended | None:
        found = self._kept.get(job_id)
        if found is not None and found.until <= now:
            self._forget(job_id)
            return None
        return found

    def _forget(self, job_id: str) -> None:
        if (found := self._kept.pop(job_id, None)) is not None:
            self._bytes -= len(found.answer.result)


class Promises:
    """Ids that this member does not take without asking first, since it has told another that it has none."""

    def __init__(self, keep_for: int) -> None:
        self._keep_for = keep_for
        self._until: OrderedDict[str, int] = OrderedDict()

    def give(self, job_id: str, now: int) -> None:
        self._until[job_id] = now + self._keep_for
        self._until.move_to_end(job_id)
        while len(self._until) > _PROMISES:
            self._until.popitem(last=False)

    def given(self, job_id: str, now: int) -> bool:
        return self._until.get(job_id, 0) > now


@dataclass(slots=True, eq=False)
class Asking:
    """A job that comes again, while all are asked who has it. A round is over once every member that is alive
    has answered in it, and it decides only where none of them knows of an open ledger."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    begun: int  # ns, when it was asked for first, or lost its holder
    may_take: bool = True  # False: it was sent from here in an earlier incarnation
    remote: dict[Incarnation, None] = field(default_factory=dict)
    round: int = 0
    heard: set[Incarnation] = field(default_factory=set)
    clean: bool = True
    lost: bool = False  # an incarnation is lost of which nobody knows all that it had
    holder: Incarnation | None = None
    next_at: int = 0

    def new_round(self, now: int) -> None:
        """Danger: what was answered before this member gave way to another no longer counts."""
        self.round += 1
        self.heard.clear()
        self.clean, self.lost = True, False
        self.next_at = now + (ROUND if self.holder is None else POLL)

    def lost_holder(self, now: int) -> None:
        """Whoever had it is gone, or has forgotten it. Danger: measured from the first question, the time for
        finding it may be over in the very instant in which its holder is lost."""
        self.holder, self.next_at, self.begun = None, now, now
