"""Connects the take-over machine to the host.

Requests pass through it from the clients' front to the host (``submit``), and attempts from the host to the
invoker (``start``, ``give_up``). It works on any clock and has no sockets of its own.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from hashlib import blake2b
from typing import Any, Protocol

import structlog

from heathway import api
from ironbarrow.core.endings import Ending
from ironbarrow.core.event_log import EventLog
from ironbarrow.core.host import Host, Invoker
from ironbarrow.core.jobs import (
    Answer,
    Attempt,
    Job,
    JobLimiter,
    JobOptions,
    Payload,
    Verdict,
    default_retry_after,
)
from ironbarrow.fleet.api import Action, FleetEvent
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.records import JobRecord, Stage
from ironbarrow.fleet.takeover.actions import (
    AttemptDecision,
    AwaitCallBack,
    CancelAtWorker,
    DeliverCallBack,
    LedgerAdopted,
    ReleaseJob,
    ReplyToClient,
    StartJob,
    Superseded,
    WithdrawJob,
)
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.fleet.takeover.state import TakeoverRules
from ironbarrow.fleet.takeover.steps import LedgerReport, StepObserver, StepReport, ignore_steps
from ironbarrow.handover.pending import PendingJob, PendingJobs
from ironbarrow.handover.records import Record
from ironbarrow.runtime.clock import MS, SECOND, Clock

log = structlog.get_logger()

_EXPIRY_CHECK_INTERVAL = 20 * MS  # between checks for awaited jobs whose time is over
# A call-back for a job of an ended dispatcher matches no job until that dispatcher's ledger is taken over; it
# is kept this long for the job.
_EARLY_CALL_BACK_RETENTION = 15 * SECOND
_MAX_EARLY_CALL_BACKS = 4096
_FINAL_STATES = ("done", "failed", "returned", "lost")


class CancellingInvoker(Invoker, Protocol):
    """An invoker that can also cancel jobs that another dispatcher has sent."""

    def cancel_job(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        """Cancels a job that another dispatcher has sent. Calls ``done`` with whether the worker has
        confirmed it, or with False at ``until`` (ns)."""

    def handle_call_back(self, raw: Any) -> bool:
        """Handles a worker's call-back; False if it is for no running attempt. Raises a ValueError if it is
        malformed."""


@dataclass(slots=True, eq=False)
class _Waiter:
    """A client that waits for the answer of a job."""

    id: str  # the job's
    on_answer: Callable[[Answer | None], None]
    arrived_at: int  # ns
    safe: bool  # its job may run any number of times
    limiter: JobLimiter | None = None  # None once the host's job reports to it
    done: bool = False


def takeover_rules(
    settings: api.Settings,
    fleet: Fleet,
    on_fault_point: Callable[[str], None] | None = None,
    observe: StepObserver = ignore_steps,
) -> TakeoverRules:
    """The machine's settings from those of the dispatcher and the fleet file.

    Without a majority of replicas jobs of unsafe classes are turned away, unless the file says otherwise."""
    safe = {cls.name: cls.effect is api.Effect.SAFE for cls in settings.classes}
    turn_away = "turn away"
    turned_away = {
        name
        for name, is_safe in safe.items()
        if fleet.without_majority.get(name, "" if is_safe else turn_away) == turn_away
    }
    return TakeoverRules(
        safe=safe,
        turn_away=frozenset(turned_away),
        most_attempts=settings.max_attempts,
        majority_timeout=fleet.ledgers.wait,
        answer_retention=fleet.answers.keep_for,
        max_answers=fleet.answers.most,
        retry_after=default_retry_after(settings),
        query_all=fleet.answers.ask == "all",
        on_fault_point=on_fault_point,
        observe=observe,
    )


def log_steps(events: EventLog) -> StepObserver:
    """An observer that counts the steps by kind and logs them at the limited rate of ``events``."""

    def observe(report: StepReport) -> None:
        if isinstance(report, LedgerReport):
            details = {"by": report.by, "records": report.records, "whole": report.whole}
            shown = {key: str(value) for key, value in details.items() if value is not None}
            events.record("ledger step", report.step.value, of=str(report.incarnation), **shown)
        else:
            events.record(
                "lookup ended",
                report.result,
                id=report.id,
                reason=report.reason,
                rounds=report.rounds,
                waited=report.waited,
            )

    return observe


class TakeoverAdapter:
    """Connects a dispatcher's server for clients, its host and its invoker with its take-over machine.

    ``machine`` is set before the first job, and replaced with each incarnation."""

    machine: Takeover

    def __init__(
        self,
        clock: Clock,
        host: Host,
        invoker: CancellingInvoker,
        carry_out: Callable[[Iterable[Action]], None],
    ) -> None:
        self._clock, self._host, self._invoker, self._carry_out = clock, host, invoker, carry_out
        self._classes = {cls.name: cls for cls in host.settings.classes}
        settings = host.settings
        retry_after = default_retry_after(settings)
        self.pending_jobs = PendingJobs(
            settings.max_attempts,
            retry_after,
            early_retention=_EARLY_CALL_BACK_RETENTION,
            max_early=_MAX_EARLY_CALL_BACKS,
        )
        self.on_superseded: Callable[[], None] = lambda: None
        self.on_adopted: Callable[[LedgerAdopted], None] = lambda event: None
        self._jobs: dict[str, Job] = {}
        self._client_options: dict[str, tuple[_Waiter, dict[str, Any]]] = {}
        self._waiters: set[_Waiter] = set()
        self._flush_scheduled = False
        self._check_scheduled = False
        host.invoker = self
        host.on_attempt_ended = self._on_attempt_ended
        self._handlers: dict[type[FleetEvent], Callable[[Any], None]] = {
            StartJob: self._start_job,
            AwaitCallBack: self._await_call_back,
            CancelAtWorker: self._cancel_at_worker,
            ReplyToClient: self._reply,
            AttemptDecision: self._on_attempt_decision,
            WithdrawJob: self._withdraw,
            ReleaseJob: self._release_job,
            DeliverCallBack: self._deliver_call_back,
            LedgerAdopted: self._log_adopted,
            Superseded: lambda event: self.on_superseded(),
        }

    # Events

    def on_event(self, event: FleetEvent) -> None:
        """Handles an event of any of this member's machines: carries out the actions of the take-over
        machine, passes all other events on to it."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        else:
            self._run(self.machine.on_event(self._clock.now(), event))

    def _run(self, actions: Iterable[Action]) -> None:
        self._carry_out(actions)
        if self.machine.has_unflushed and not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.call_soon(self._flush)  # together with all other changes of this turn

    def _flush(self) -> None:
        self._flush_scheduled = False
        self._carry_out(self.machine.flush(self._clock.now()))

    # The front

    def submit(
        self, payload: Payload, on_answer: Callable[[Answer | None], None], **options: Any
    ) -> Callable[[], None]:
        """As ``Host.submit``, but ``on_answer`` gets None if another request uses that id.

        Returns the function to call when the client has disconnected or has its answer."""
        now = self._clock.now()
        text = f"{payload.method}\0{payload.target}\0".encode()
        job_options: JobOptions | None = options.get("options")
        record = JobRecord(
            id=payload.id,
            job_class=options["job_class"],
            method=payload.method,
            target=payload.target,
            body=payload.body,
            content_type=payload.content_type,
            taken_at=now,
            until=max(now + 1, self._host.shutdown.limit(now + options["time_left"])),
            stage=Stage.TAKEN,
            key=options.get("key"),
            tenant=options.get("tenant"),
            slots=options["slots"],
            memory=options["memory"],
            idempotency_key=payload.idempotency_key,
            digest=blake2b(text + payload.body, digest_size=16).digest(),
        )
        waiter = _Waiter(
            payload.id,
            on_answer,
            now,
            self._classes[record.job_class].effect is api.Effect.SAFE,
            job_options.limiter if job_options is not None else None,
        )
        self._waiters.add(waiter)
        if payload.id not in self._client_options:
            self._client_options[payload.id] = waiter, options
        self._run(self.machine.on_request(now, record, options["repeat"], waiter))
        return partial(self._client_disconnected, waiter)

    def readiness(self) -> str:
        """The value of the header ``X-Fleet``: the state of this member and of its take-overs."""
        machine = self.machine
        state = "leaving" if machine.leaving else "no majority" if machine.no_majority else "majority"
        turned_away = ",".join(sorted(machine.rules.turn_away)) if machine.no_majority else ""
        text = (
            f"{state}; turned-away={turned_away or '-'}; members={len(machine.members.alive())}; "
            f"taking-over={len(machine.open_ledgers)}; lost={machine.counts['ledgers lost']}"
        )
        followed = machine.followed(self._clock.now())
        if followed >= machine.rules.answer_retention:
            return text
        return f"{text}; followed={followed // SECOND}s"

    @property
    def unanswered(self) -> int:
        """Number of jobs that this member has to answer, including those that only wait for a call-back."""
        return len(self.machine.owned)

    def end_late_requests(self) -> None:
        """Answers the clients whose requests arrived in the shutdown and have no answer yet, wherever their
        jobs are: refused if a repeat is harmless, or else failed."""
        for waiter in [w for w in self._waiters if self._host.shutdown.is_late(w.arrived_at)]:
            refused = Answer(Verdict.REFUSED, retry_after=default_retry_after(self._host.settings))
            answer = refused if waiter.safe else Answer(Verdict.FAILED)
            self._client_done(waiter, answer)
            self._run(self.machine.client_disconnected(self._clock.now(), waiter.id, waiter))
            waiter.on_answer(answer)

    def _client_disconnected(self, waiter: _Waiter) -> None:
        if waiter.done:
            return
        self._client_done(waiter, None)
        self._run(self.machine.client_disconnected(self._clock.now(), waiter.id, waiter))

    def _client_done(self, waiter: _Waiter, answer: Answer | None) -> None:
        waiter.done = True
        self._waiters.discard(waiter)
        options = self._client_options.get(waiter.id)
        if options is not None and options[0] is waiter:
            del self._client_options[waiter.id]
        if waiter.limiter is not None:
            served = answer is not None and answer.verdict is Verdict.SERVED
            waiter.limiter.ended(self._clock.now(), in_time=served)

    def _reply(self, event: ReplyToClient) -> None:
        waiter = event.waiter
        assert isinstance(waiter, _Waiter)
        check("one answer", not waiter.done, id=waiter.id)
        if not waiter.done:
            self._client_done(waiter, event.answer)
            waiter.on_answer(event.answer)

    # The host's jobs

    def _start_job(self, event: StartJob) -> None:
        record, now = event.record, self._clock.now()
        waiter, options = self._client_options.pop(record.id, (None, {}))
        job_options: JobOptions = options.get("options") or JobOptions()
        if waiter is not None:
            waiter.limiter = None  # the host's job reports to it from now on
        attempts_left = max(1, self._host.settings.max_attempts - record.attempts)
        cls = self._classes[record.job_class]
        wanted = job_options.wanted
        if waiter is None and not cls.stretch:
            wanted = max(1, min(cls.aim, record.taken_at + cls.aim - now))
        self._jobs[record.id] = self._host.submit(
            Payload(
                record.id,
                record.method,
                record.target,
                record.body,
                record.content_type,
                record.idempotency_key,
            ),
            partial(self._job_ended, record.id),
            job_class=record.job_class,
            time_left=max(1, record.until - now),
            key=record.key,
            tenant=record.tenant,
            slots=record.slots,
            memory=record.memory,
            repeat=bool(options.get("repeat")) or record.may_have_run,
            options=replace(
                job_options,
                wanted=wanted,
                most_attempts=min(job_options.most_attempts or attempts_left, attempts_left),
            ),
            tried=record.tried,
        )

    def _job_ended(self, job_id: str, answer: Answer) -> None:
        self._jobs.pop(job_id, None)
        self._run(self.machine.job_ended(self._clock.now(), job_id, answer))

    def _withdraw(self, event: WithdrawJob) -> None:
        job = self._jobs.pop(event.id, None)
        if job is not None:
            self._host.withdraw(job)

    def _release_job(self, event: ReleaseJob) -> None:
        """Drops a job without cancelling its attempts: a cancellation could end the attempt that the new
        owner of the job has sent to the same worker."""
        self.pending_jobs.discard(event.id)
        job = self._jobs.pop(event.id, None)
        if job is not None:
            for attempt in job.attempts:
                if not attempt.ended:
                    self._invoker.detach(attempt)
            self._host.detach(job)

    def _log_adopted(self, event: LedgerAdopted) -> None:
        log.info(
            "ledger taken over",
            of=str(event.incarnation),
            jobs=event.jobs,
            whole=event.whole,
            after=event.after,
        )
        self.on_adopted(event)

    # Adopted jobs that a worker may have

    def _await_call_back(self, event: AwaitCallBack) -> None:
        record, now = event.record, self._clock.now()
        fields = {n: getattr(record, n) for n in Record.__slots__ if n not in ("time_left", "attempts")}
        pending_record = Record(**fields, time_left=max(1, record.until - now), attempts=record.attempts)
        self.pending_jobs.add(
            PendingJob(pending_record, event.safe, record.until, self._answer_callback(record), self._retry),
            now,
        )
        self._schedule_expiry_check()

    def _answer_callback(self, record: JobRecord) -> Callable[[Answer], None]:
        def on_answer(answer: Answer) -> None:
            self._host.count_answer(record.job_class, answer.verdict)
            self._run(self.machine.job_ended(self._clock.now(), record.id, answer))

        return on_answer

    def _retry(self, record: Record) -> None:
        now = self._clock.now()
        self._run(self.machine.retry_job(now, record.id, may_have_run=record.may_have_run))

    def _schedule_expiry_check(self) -> None:
        if not self._check_scheduled:
            self._check_scheduled = True
            self._clock.call_at(self._clock.now() + _EXPIRY_CHECK_INTERVAL, self._check_expired)

    def _check_expired(self) -> None:
        self._check_scheduled = False
        self.pending_jobs.expire(self._clock.now())
        if self.pending_jobs.jobs:
            self._schedule_expiry_check()

    def _cancel_at_worker(self, event: CancelAtWorker) -> None:
        """Cancels an adopted job at its worker. Until that is confirmed the attempt may run, so its call-back
        is awaited meanwhile."""
        record, machine = event.record, self.machine
        self._await_call_back(AwaitCallBack(record, safe=True))
        pending = self.pending_jobs.jobs.get(record.id)
        if pending is None:
            return  # its call-back had arrived before the job was adopted

        def done(confirmed: bool) -> None:
            still_pending = self.pending_jobs.jobs.get(record.id) is pending
            if confirmed and still_pending and machine is self.machine:
                self.pending_jobs.discard(record.id)
                self._run(machine.cancelled_at_worker(self._clock.now(), record.id))

        self._invoker.cancel_job(record.id, record.worker, record.until, done)

    def on_unmatched_call_back(self, raw: dict[str, Any]) -> None:
        """Handles a call-back that matches no attempt of this process: it is for an adopted job, or forwarded
        to the other members."""
        if not self._deliver_to_pending(raw) and raw["state"] in _FINAL_STATES:
            result = raw.get("result", "")
            data = result.encode() if isinstance(result, str) else b""
            self._run(self.machine.forward_call_back(raw["id"], raw["from"], raw["state"], data))

    def _deliver_to_pending(self, raw: dict[str, Any]) -> bool:
        result = raw.get("result", "")
        data = result.encode() if isinstance(result, str) else b""
        return self.pending_jobs.on_call_back(raw["id"], raw["from"], raw["state"], data, self._clock.now())

    def _deliver_call_back(self, event: DeliverCallBack) -> None:
        """Handles a call-back forwarded by another member. It is not forwarded again: one that no member
        knows would circulate for ever."""
        raw = {"id": event.id, "from": event.worker, "state": event.state}
        raw["result"] = event.result.decode("utf-8", "replace")
        try:
            if not self._invoker.handle_call_back(raw):
                self._deliver_to_pending(raw)
        except ValueError as error:
            log.error("malformed forwarded call-back ignored", error=str(error))

    # The host's invoker

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt once its intent is committed."""
        now = self._clock.now()
        self._run(self.machine.begin_attempt(now, attempt, attempt.job.payload.id, attempt.worker))

    def _on_attempt_decision(self, event: AttemptDecision) -> None:
        attempt = event.attempt
        assert isinstance(attempt, Attempt)
        if attempt.ended:
            return
        if event.allowed:
            job_id = attempt.job.payload.id
            check("intent before send", self.machine.may_send(job_id), id=job_id, worker=attempt.worker)
            self._invoker.start(attempt)
        else:
            self._host.attempt_ended(attempt, Ending.NOT_SENT)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Cancels an attempt."""
        if self.machine.cancel_attempt(attempt):
            self._host.attempt_ended(attempt, Ending.NOT_SENT)
        else:
            self._invoker.give_up(attempt, ending)

    def detach(self, attempt: Attempt) -> None:
        """Drops an attempt without cancelling it at its worker."""
        self._invoker.detach(attempt)

    def _on_attempt_ended(self, attempt: Attempt) -> None:
        self.machine.attempt_ended(attempt.job.payload.id, never_ran=attempt.never_ran)
        self._run(())

    def probe(self, worker: str) -> None:
        self._invoker.probe(worker)

    def close_idle(self, worker: str) -> None:
        self._invoker.close_idle(worker)
