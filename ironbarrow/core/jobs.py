"""A job that was taken, its attempts, and its one final answer. No input or output."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heathway import api
from ironbarrow.core.attempt import Observation, Progress, proves_over
from ironbarrow.runtime.clock import Timer


class Verdict(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A job's one final answer."""

    verdict: Verdict
    result: bytes = b""
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Payload:
    """What passes on to a worker unchanged. The host looks at the id alone."""

    id: str
    method: str
    target: str
    body: bytes
    content_type: str = ""
    idempotency_key: str = ""  # by which workers know a repeat of a keyed job


class Watch(Protocol):
    """Who counts jobs for limits. All are told on the loop's thread; times in ns."""

    def first_attempt(self, now: int) -> None:
        """The job's first attempt goes out."""

    def may_retry(self, now: int) -> bool:
        """Whether a budget is left for one more attempt; takes it out."""

    def ended(self, now: int, *, in_time: bool) -> None:
        """The job has its final answer, or its client is gone."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What a job was taken under beyond its class. Times in ns; 0: as the settings have it."""

    wanted: int = 0
    most_attempts: int = 0
    resend: bool = True
    pause: int = 0
    timeout: int = 0  # of one attempt
    watch: Watch | None = None


NO_TERMS = Terms()


@dataclass(slots=True, eq=False)
class Job:
    """A job that was taken and is owed its final answer."""

    number: int
    payload: Payload
    arrival: api.JobArrived
    arrived_at: int
    deadline: int
    answer: Callable[[Answer], None]
    attempts: "list[Attempt]" = field(default_factory=list)
    over: bool = False
    overdue: Timer | None = None
    terms: Terms = NO_TERMS


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a job at a worker."""

    job: Job
    number: int
    worker: str
    sent_at: int
    until: int  # when this side stops waiting for it
    progress: Progress = Progress.CONNECTING
    written_at: int = 0  # when the request's last byte was known to be written; 0: it is not
    ended: bool = False
    given_up: bool = False  # it is stopping: only a proof ends it, or the job's deadline
    never_ran: bool = False  # it ended, and that is proven
    timer: Timer | None = None

    @property
    def written(self) -> bool:
        """Whether the request's last byte is written."""
        return self.progress >= Progress.WRITTEN

    @property
    def accepted(self) -> bool:
        """Whether the worker has told that it has the job."""
        return self.progress >= Progress.ACCEPTED

    @property
    def started(self) -> bool:
        """Whether the worker has told that it runs the job."""
        return self.progress >= Progress.STARTED

    def reach(self, progress: Progress) -> None:
        """Notes that it has come so far; what came out of order does not set it back."""
        self.progress = max(self.progress, progress)

    def is_over(self, observation: Observation) -> bool:
        """Whether that observation proves that it is over."""
        return proves_over(observation, self.progress)
