"""An accepted job, its attempts and its single final answer. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heathway import api
from ironbarrow.core.attempt import Observation, Progress, proves_end
from ironbarrow.runtime.clock import MS, Timer

_DEFAULT_RETRY_AFTER = 200 * MS


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


def default_retry_after(settings: api.Settings) -> int:
    """The pause (ns) that a refusal names where the decisions name none; 0 if refusals name none here."""
    return min(_DEFAULT_RETRY_AFTER, settings.max_retry_after) if settings.gives_retry_after else 0


@dataclass(frozen=True, slots=True)
class Payload:
    """The part of a request that is passed on to a worker unchanged. The host reads only the id."""

    id: str
    method: str
    target: str
    body: bytes
    content_type: str = ""
    idempotency_key: str = ""  # by which workers recognise a repeat of a keyed job


class JobLimiter(Protocol):
    """Tracks jobs for the limits of their route. Called on the event loop's thread; times in ns."""

    def first_attempt(self, now: int) -> None:
        """The job's first attempt is being sent."""

    def may_retry(self, now: int) -> bool:
        """Whether the retry budget allows one more attempt; if so, takes it from the budget."""

    def ended(self, now: int, *, in_time: bool) -> None:
        """The job has its final answer, or its client has disconnected."""


@dataclass(frozen=True, slots=True)
class JobOptions:
    """Options of a job beyond its class. Times in ns; 0: the default from the class or the settings."""

    wanted: int = 0  # time from arrival within which an answer has its full worth
    most_attempts: int = 0  # can only lower the limit of the settings
    resend: bool = True  # False: not even a safe job is sent again if it may have run
    pause: int = 0  # between the end of an attempt and the next one
    timeout: int = 0  # of one attempt
    limiter: JobLimiter | None = None


DEFAULT_OPTIONS = JobOptions()


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job. ``finished``: it has its final answer, or its client has disconnected."""

    number: int
    payload: Payload
    arrival: api.JobArrived
    arrived_at: int
    deadline: int
    on_answer: Callable[[Answer], None]
    attempts: "list[Attempt]" = field(default_factory=list)
    finished: bool = False
    overdue_timer: Timer | None = None
    options: JobOptions = DEFAULT_OPTIONS


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at a worker. Times in ns."""

    job: Job
    number: int
    worker: str
    sent_at: int
    expires_at: int  # when the dispatcher stops waiting for it
    progress: Progress = Progress.CONNECTING
    written_at: int = 0  # when the last byte of the request was known to be written; 0: not yet
    ended: bool = False
    given_up: bool = False  # being stopped: only a proof or the job's deadline ends it
    never_ran: bool = False  # it has ended, and it is proven that it never ran
    timer: Timer | None = None

    @property
    def written(self) -> bool:
        """Whether the last byte of the request has been written."""
        return self.progress >= Progress.WRITTEN

    @property
    def accepted(self) -> bool:
        """Whether the worker has accepted the job."""
        return self.progress >= Progress.ACCEPTED

    @property
    def started(self) -> bool:
        """Whether the worker has reported that it is running the job."""
        return self.progress >= Progress.STARTED

    def advance_to(self, progress: Progress) -> None:
        """Records progress. Reports that arrive out of order do not set it back."""
        self.progress = max(self.progress, progress)

    def is_ended_by(self, observation: Observation) -> bool:
        """Whether the observation proves that the attempt is over."""
        return proves_end(observation, self.progress)
