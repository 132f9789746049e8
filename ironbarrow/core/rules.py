"""The service rules: which attempts and refusals are allowed. No I/O.

The host checks these rules before it carries out an action of the decision module. An action that would break
one is not carried out. It is counted as a violation, and the job ends with an answer that the rules allow.
``ironbarrow.core.attempt`` has the proofs that an attempt is over; ``Host.reason_not_to_send`` has the last
check before the first byte of an attempt.
"""

from enum import Enum

from heathway import api
from ironbarrow.core.jobs import Attempt, Job


class Rule(Enum):
    """The rules that an action of the decision module can break."""

    ONE_LIVE_ATTEMPT = "an attempt beside one that is live"
    MOST_ATTEMPTS = "an attempt beyond those allowed"
    ONE_ATTEMPT_PER_WORKER = "an attempt at a worker that may still tell of an earlier one"
    NO_REPEATED_EFFECT = "an attempt of a job that may have run and must not run twice"
    TIME_FOR_ANSWER = "an attempt that can't be answered before the process ends"
    LAWFUL_REFUSAL = "a refusal of a job that may have run and must not run twice"


def first_possibly_run(job: Job, excluding: Attempt | None = None) -> Attempt | None:
    """The job's first attempt that is not proven never to have run; ``excluding`` is skipped."""
    return next(
        (attempt for attempt in job.attempts if attempt is not excluding and not attempt.never_ran), None
    )


def rule_broken_by_attempt(
    job: Job, worker: str, job_class: api.JobClass, most_attempts: int, now: int
) -> Rule | None:
    """The rule that one more attempt at this worker would break; None if it may be sent. ``now``: ns."""
    if any(not attempt.ended for attempt in job.attempts):
        return Rule.ONE_LIVE_ATTEMPT
    if len(job.attempts) >= most_attempts:
        return Rule.MOST_ATTEMPTS
    if worker in job.arrival.tried or any(a.worker == worker and a.written for a in job.attempts):
        return Rule.ONE_ATTEMPT_PER_WORKER
    possibly_run = first_possibly_run(job)
    if possibly_run is None or job_class.effect is api.Effect.SAFE:
        return None
    if job_class.effect is api.Effect.KEYED and now < possibly_run.sent_at + job_class.window:
        return None
    return Rule.NO_REPEATED_EFFECT


def rule_broken_by_refusal(job: Job, job_class: api.JobClass | None) -> Rule | None:
    """The rule that refusing the job would break; None if it may be refused, as a repeat by the client can do
    no harm."""
    if job_class is None or job_class.effect is api.Effect.SAFE or first_possibly_run(job) is None:
        return None
    if job_class.effect is api.Effect.KEYED and job_class.group is api.Group.ALL:
        return None
    return Rule.LAWFUL_REFUSAL
