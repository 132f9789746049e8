"""The rules of service: what may be sent, repeated or refused now. No input or output.

The host asks here before it carries out what the decisions say. A decision that would break a rule is not
carried out; it is counted as a violation, and the job ends with an answer that is lawful. What proves that an
attempt is over is in ``ironbarrow.core.attempt``, the last look before the first byte is ``Host.barred``.
"""

from enum import Enum

from heathway import api
from ironbarrow.core.jobs import Attempt, Job


class Rule(Enum):
    """The rules that a decision can break."""

    ONE_LIVE_ATTEMPT = "an attempt beside one that is live"
    MOST_ATTEMPTS = "an attempt beyond those allowed"
    ONE_ATTEMPT_PER_WORKER = "an attempt at a worker that may still tell of an earlier one"
    NO_REPEATED_EFFECT = "an attempt of a job that may have run and must not run twice"
    LAWFUL_REFUSAL = "a refusal of a job that may have run and must not run twice"


def first_risky(job: Job, but: Attempt | None = None) -> Attempt | None:
    """The job's first attempt that has run, may have run or may still run."""
    return next((attempt for attempt in job.attempts if attempt is not but and not attempt.never_ran), None)


def broken_by_attempt(
    job: Job, worker: str, job_class: api.JobClass, most_attempts: int, now: int
) -> Rule | None:
    """The rule that one more attempt at that worker would break; None: it may be sent. ``now``: ns."""
    if any(not attempt.ended for attempt in job.attempts):
        return Rule.ONE_LIVE_ATTEMPT
    if len(job.attempts) >= most_attempts:
        return Rule.MOST_ATTEMPTS
    if worker in job.arrival.tried or any(a.worker == worker and a.written for a in job.attempts):
        return Rule.ONE_ATTEMPT_PER_WORKER
    risky = first_risky(job)
    if risky is None or job_class.effect is api.Effect.SAFE:
        return None
    if job_class.effect is api.Effect.KEYED and now < risky.sent_at + job_class.window:
        return None
    return Rule.NO_REPEATED_EFFECT


def broken_by_refusal(job: Job, job_class: api.JobClass | None) -> Rule | None:
    """The rule that a refusal of the job would break; None: another try is harmless."""
    if job_class is None or job_class.effect is api.Effect.SAFE or first_risky(job) is None:
        return None
    if job_class.effect is api.Effect.KEYED and job_class.group is api.Group.ALL:
        return None
    return Rule.LAWFUL_REFUSAL
