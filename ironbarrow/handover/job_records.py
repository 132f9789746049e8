"""Turns a job of the host into the record that is handed over, and back. No input or output."""

from ironbarrow.core.jobs import Job, Payload
from ironbarrow.handover.records import Record
from ironbarrow.runtime.clock import MS

_MIN_TIME_LEFT = 50 * MS  # jobs with less time left are not handed over


def record_of(job: Job, now: int, *, safe: bool, received: Record | None = None) -> Record | None:
    """Makes the record of a job at ``now`` (ns) for the successor.

    ``safe``: its class may run any number of times; ``received``: the record that this process got of it.
    None while it can't be handed over: an attempt is being sent or cancelled, or the job may have run and
    its class is not safe."""
    remaining = job.deadline - now
    running = [attempt for attempt in job.attempts if not attempt.ended]
    if (
        job.finished
        or remaining < _MIN_TIME_LEFT
        or any(not sent.accepted or sent.given_up for sent in running)
    ):
        return None
    may_have_run_before = any(attempt.ended and not attempt.never_ran for attempt in job.attempts)
    if may_have_run_before and not safe:
        return None
    payload, arrival = job.payload, job.arrival
    return Record(
        id=payload.id,
        job_class=arrival.job_class,
        method=payload.method,
        target=payload.target,
        body=payload.body,
        content_type=payload.content_type,
        time_left=remaining,
        attempts=len(job.attempts) + (received.attempts if received is not None else 0),
        worker=running[0].worker if running else "",
        may_have_run=may_have_run_before
        or any(attempt.started for attempt in running)
        or (received is not None and received.may_have_run),
        key=arrival.key,
        tenant=arrival.tenant,
        slots=arrival.slots,
        memory=arrival.memory,
        idempotency_key=payload.idempotency_key,
        tried=(
            *(received.tried if received is not None else ()),
            *(attempt.worker for attempt in job.attempts if attempt.ended and attempt.written),
        ),
    )


def payload_of(record: Record) -> Payload:
    """The part of the job's request that is passed on to a worker."""
    return Payload(
        record.id, record.method, record.target, record.body, record.content_type, record.idempotency_key
    )
