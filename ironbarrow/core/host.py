"""The host of the decision module (``heathway``): owns jobs and attempts, passes events to the module and
carries out its actions in order.

The host depends on no wire protocol. A front end (``frontend``) submits jobs and receives their final
answers; a back end (``Invoker``) sends attempts to workers and reports how they ended. The decisions and the
service rules are the same for all protocols.
"""

from collections.abc import Callable
from typing import Protocol

import structlog

from heathway import api
from heathway.logic import Dispatcher
from ironbarrow.core import rules, trace
from ironbarrow.core.attempt import Progress, restarted_after_write
from ironbarrow.core.endings import Ending, outcome_of
from ironbarrow.core.event_log import EventLog
from ironbarrow.core.job_ids import JobIds
from ironbarrow.core.jobs import (
    DEFAULT_OPTIONS,
    Answer,
    Attempt,
    Job,
    JobOptions,
    Payload,
    Verdict,
    default_retry_after,
)
from ironbarrow.core.metrics import Metrics
from ironbarrow.core.shutdown import Shutdown
from ironbarrow.runtime.clock import Clock

log = structlog.get_logger()

# Endings that are logged and not only counted: no other party logs or reports them.
_LOGGED_ENDINGS = frozenset((Ending.UNREACHABLE, Ending.FAILED_HERE, Ending.LOST, Ending.MALFORMED))
_METRIC_OUTCOMES = {Verdict.SERVED: "served", Verdict.REFUSED: "refused", Verdict.FAILED: "failed"}


class WaitObserver(Protocol):
    """Observes how long each job waits, from its arrival to its start at a worker. Called on the event loop's
    thread; a call may be repeated. Times in ns."""

    def waiting(
        self, now: int, number: int, since: int, tenant: str | None, job_class: str, slots: float
    ) -> None:
        """The job waits; it arrived at ``since``. Also called when an attempt ended without having run."""

    def started(self, now: int, number: int) -> None:
        """A worker runs the job, or has been sent it if the workers do not report starts."""

    def ended(self, now: int, number: int) -> None:
        """The job has its final answer, or its client has disconnected."""


class AttemptObserver(Protocol):
    """Observes each attempt and how it ended. Called on the event loop's thread."""

    def sent(self, attempt: "Attempt") -> None:
        """The attempt is about to be sent."""

    def started(self, attempt: "Attempt") -> None:
        """The worker runs the attempt. Not all workers report this."""

    def ended(self, attempt: "Attempt", ending: Ending, report: api.LoadReport | None) -> None:
        """The attempt is over. Called once."""


class Invoker(Protocol):
    """Sends attempts to workers, by one protocol."""

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt; its end is reported to ``Host.attempt_ended``."""

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Cancels an attempt at its worker. Reports ``ending`` to ``Host.attempt_ended`` once the attempt is
        proven to be over, unless another ending is reported first. The host waits for that until the job's
        deadline."""

    def detach(self, attempt: Attempt) -> None:
        """Releases an attempt's resources, without telling the worker and without reporting an end."""

    def probe(self, worker: str) -> None:
        """Probes a worker; the result is reported to ``Host.probe_ended``."""

    def close_idle(self, worker: str) -> None:
        """Closes the idle connections to a worker."""


class Host:
    """Drives one dispatcher of the decision module on a clock."""

    def __init__(self, loop: Clock, settings: api.Settings, seed: int, *, traced: bool = False) -> None:
        self.loop = loop
        self.traced = traced  # each event and action is logged
        self.settings = settings
        self.invoker: Invoker
        # Starts or stops following the discovery service; set if the decision module controls that.
        self.set_subscribed: Callable[[bool], None] | None = None
        # Called for each attempt that has ended; set if another member may have to continue with its job.
        self.on_attempt_ended: Callable[[Attempt], None] | None = None
        self.wait_observer: WaitObserver | None = None
        self.attempt_observer: AttemptObserver | None = None
        self.on_worker_list: Callable[[], None] | None = None  # ``workers`` has changed
        self._dispatcher = Dispatcher(settings, seed)
        self.event_log = EventLog(loop)
        self.shutdown = Shutdown(loop, self.event_log)
        self.metrics = Metrics(tuple(job_class.name for job_class in settings.classes))
        self._jobs: dict[int, Job] = {}
        self._jobs_by_id: dict[str, Job] = {}
        self.job_ids = JobIds(loop)  # of this host's jobs, and those that other processes pass on
        self._last_job_number = 0
        self._unanswered = 0
        self._pending_events: list[api.Event] = []
        self._next_run_at = 0
        self._run_scheduled = False
        self._worker_states: dict[str, api.WorkerState] = {}
        self._worker_starts: dict[str, int] = {}  # when each worker last started, as listed; ns
        self._classes = {job_class.name: job_class for job_class in settings.classes}
        if traced:
            trace.log_settings(loop.now(), settings)
        self._handlers: dict[type, Callable[..., None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel,
            api.Probe: lambda action: self.invoker.probe(action.worker),
            api.CloseIdle: lambda action: self.invoker.close_idle(action.worker),
            api.SetTimer: self._set_timer,
            api.Subscribe: self._subscribe,
            api.Log: lambda action: log.info("decision", text=action.text),
        }

    # State, jobs and events

    @property
    def unanswered(self) -> int:
        """Number of jobs that wait for their final answer."""
        return self._unanswered

    @property
    def jobs_in_memory(self) -> int:
        """Number of jobs in memory: without a final answer, or with an attempt that has not ended."""
        return len(self._jobs)

    @property
    def ejected_workers(self) -> frozenset[str]:
        """The workers that the decision module has ejected. They get at most an occasional trial job."""
        return self._dispatcher.ring.ejected()

    @property
    def workers(self) -> list[api.WorkerEntry]:
        """The current worker list."""
        return [worker.entry for worker in self._dispatcher.ring.workers]

    @property
    def slots_waiting(self) -> float:
        """Number of slots needed by the jobs that wait without a live attempt."""
        jobs = self._jobs.values()
        return sum(
            j.arrival.slots for j in jobs if not j.finished and all(attempt.ended for attempt in j.attempts)
        )

    @property
    def has_worker_list(self) -> bool:
        """Whether a worker list has been received."""
        return bool(self._worker_states)

    def submit(
        self,
        payload: Payload,
        on_answer: Callable[[Answer], None],
        *,
        job_class: str,
        time_left: int,
        key: int | None = None,
        slots: float = 1.0,
        memory: float = 0.0,
        repeat: bool = False,
        tenant: str | None = None,
        options: JobOptions = DEFAULT_OPTIONS,
        tried: tuple[str, ...] = (),
    ) -> Job:
        """Accepts a job. ``on_answer`` is called once with the final answer, unless the job is withdrawn
        before. ``time_left``: ns; ``tried``: workers that an earlier process has sent the job to.

        A front end claims the id first (``job_ids``). Here it is in use until the job is out of memory."""
        now = self.loop.now()
        time_left = max(
            min(time_left, self.settings.tick), self.shutdown.limit_of_new_job(now + time_left) - now
        )
        self._last_job_number += 1
        arrival = api.JobArrived(
            self._last_job_number,
            job_class,
            tenant,
            key,
            time_left,
            slots=slots,
            memory=memory,
            repeat=repeat,
            wanted=options.wanted,
            most_attempts=options.most_attempts,
            resend=options.resend,
            pause=options.pause,
            tried=tried,
        )
        job = Job(self._last_job_number, payload, arrival, now, now + time_left, on_answer, options=options)
        self._jobs[job.number] = job
        self._jobs_by_id[payload.id] = job
        self.job_ids.hold(payload.id)
        self._unanswered += 1
        if self.traced:
            trace.log_job_taken(now, job.number, payload.id)
        job.overdue_timer = self.loop.call_at(
            job.deadline + self.settings.answer_slack, self._on_overdue, job
        )
        if self.wait_observer is not None:
            self.wait_observer.waiting(now, job.number, now, tenant, job_class, slots)
        self._post_event(arrival)
        return job

    def withdraw(self, job: Job) -> None:
        """Ends a job without an answer: its client has disconnected."""
        if not job.finished:
            self._finish_job(job)
            self._post_event(api.JobWithdrawn(job.number))
            self._remove_if_done(job)

    def detach(self, job: Job, *, keep_id: bool = False) -> None:
        """Drops a job that another process has taken over, with its client and its live attempt. No answer is
        given and no attempt is cancelled. ``keep_id``: the caller releases the id."""
        for attempt in job.attempts:
            attempt.ended = True
            if attempt.timer is not None:
                attempt.timer.cancel()
        if keep_id and not job.finished:
            self._finish_job(job)
            self._post_event(api.JobWithdrawn(job.number))
            self._forget(job)
        else:
            self.withdraw(job)

    def update_workers(self, update: api.WorkerList) -> None:
        """Applies an update of the worker list. The decision module handles it at once, so that nothing is
        sent to a worker that it does not yet know to be draining."""
        for entry in update.entries:
            self._worker_states[entry.worker] = entry.state
        if update.kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            listed = {entry.worker for entry in update.entries}
            for name in self._worker_states:
                if name not in listed:
                    self._worker_states[name] = api.WorkerState.GONE
        self._worker_states = {n: s for n, s in self._worker_states.items() if s is not api.WorkerState.GONE}
        self._give_up_restarted(update.entries)
        self._pending_events.append(update)
        self._run_decisions()
        if self.on_worker_list is not None:
            self.on_worker_list()

    def set_predecessor_running(self, running: bool) -> None:
        """Reports to the decision module whether an older process of this dispatcher runs beside this one.

        True also if that can't be told."""
        self._post_event(api.PredecessorState(running))

    def _give_up_restarted(self, entries: tuple[api.WorkerEntry, ...]) -> None:
        """Gives up the attempts that were live at a worker's earlier process, as nobody else may report their
        end. The list alone does not prove that they are over; the new process's answer to the DELETE does."""
        restarted = {e.worker for e in entries if e.started_at > self._worker_starts.get(e.worker, 0)}
        self._worker_starts.update((e.worker, e.started_at) for e in entries if e.worker in restarted)
        self._worker_starts = {
            name: at for name, at in self._worker_starts.items() if name in self._worker_states
        }
        now = self.loop.now()
        live = (
            [attempt for job in self._jobs.values() for attempt in job.attempts if not attempt.ended]
            if restarted
            else []
        )
        for attempt in live:
            started_at = self._worker_starts.get(attempt.worker, 0)
            if restarted_after_write(started_at, attempt.written_at, now):
                self._give_up(attempt, Ending.GIVEN_UP)

    def may_send_to(self, worker: str) -> bool:
        """Whether the worker is listed as up."""
        return self._worker_states.get(worker) is api.WorkerState.UP

    def reason_not_to_send(self, attempt: Attempt) -> Ending | None:
        """Why the attempt's first byte must not be sent now; None if it may. Checked at the last moment,
        since after the decision, while the connection was being established, the client may have
        disconnected, the time may have run out, or the worker may have been listed as draining."""
        now = self.loop.now()
        if attempt.ended or attempt.given_up or attempt.job.finished:
            return Ending.NOT_SENT
        if now >= attempt.expires_at:
            return self._timeout_ending(attempt)
        if now >= self.write_deadline(attempt):
            return Ending.NOT_SENT
        return None if self.may_send_to(attempt.worker) else Ending.DRAINED

    def write_deadline(self, attempt: Attempt) -> int:
        """When the attempt's last byte has to be written, ns. Workers drop the repeat of a keyed job only
        within the window of the first attempt that may have run; a later repeat would run as well."""
        class_config = self._classes.get(attempt.job.arrival.job_class)
        if class_config is None or class_config.effect is not api.Effect.KEYED:
            return attempt.expires_at
        possibly_run = rules.first_possibly_run(attempt.job, excluding=attempt)
        if possibly_run is None:
            return attempt.expires_at
        return min(attempt.expires_at, possibly_run.sent_at + class_config.window - self.settings.tick)

    def live_attempt(self, job_id: str, worker: str) -> Attempt | None:
        """The live attempt of the job with this id at this worker."""
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return None
        return next(
            (attempt for attempt in job.attempts if attempt.worker == worker and not attempt.ended), None
        )

    def attempt_written(self, attempt: Attempt) -> None:
        """Records that the last byte of the request has been written, or must have been. Counts the attempt
        in the metrics, once."""
        if not attempt.written:
            attempt.advance_to(Progress.WRITTEN)
            attempt.written_at = self.loop.now()
            self.metrics.attempt_written(attempt.job.arrival.job_class)

    def attempt_started(self, attempt: Attempt) -> None:
        """Reports to the decision module that the worker has started the attempt."""
        if not attempt.ended:
            attempt.advance_to(Progress.STARTED)
            if self.wait_observer is not None:
                self.wait_observer.started(self.loop.now(), attempt.job.number)
            if self.attempt_observer is not None:
                self.attempt_observer.started(attempt)
            self._post_event(
                api.AttemptNote(attempt.job.number, attempt.number, attempt.worker, api.NoteKind.STARTED)
            )

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        """Reports to the decision module that the worker has done ``share`` (0 to 1) of the attempt."""
        if not attempt.ended:
            attempt.advance_to(Progress.STARTED)
            self._post_event(
                api.AttemptNote(
                    attempt.job.number, attempt.number, attempt.worker, api.NoteKind.PROGRESS, share
                )
            )

    def attempt_ended(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        """Reports the end of an attempt to the decision module. Only the first report counts: call-backs may
        come twice, late, and after a time-out."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.started and outcome_of(ending, attempt.written) in api.NEVER_RAN:
            # The worker reported a start and now claims that the job never ran. One of the two is wrong; if
            # the claim were believed wrongly, a booking would run twice.
            ending = Ending.LOST
        attempt.never_ran = outcome_of(ending, attempt.written) in api.NEVER_RAN
        self._log_attempt_end(attempt, ending)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(attempt)
        if self.attempt_observer is not None:
            self.attempt_observer.ended(attempt, ending, report)
        job = attempt.job
        if self.wait_observer is not None and not job.finished:
            now, job_arrival = self.loop.now(), job.arrival
            if ending is Ending.DONE:
                self.wait_observer.started(now, job.number)
            elif attempt.never_ran:
                since, slots = job.arrived_at, job_arrival.slots
                self.wait_observer.waiting(
                    now, job.number, since, job_arrival.tenant, job_arrival.job_class, slots
                )
        retry = True
        if ending is Ending.DONE and not job.finished:
            self._finish_job(job, Answer(Verdict.SERVED, result))
        elif not job.finished and job.options.limiter is not None:
            retry = job.options.limiter.may_retry(self.loop.now())
        self._post_event(
            api.AttemptEnded(
                job.number,
                attempt.number,
                attempt.worker,
                outcome_of(ending, attempt.written),
                job.finished,
                self.loop.now() - attempt.sent_at,
                report,
                retry,
            )
        )
        self._remove_if_done(job)

    def _log_attempt_end(self, attempt: Attempt, ending: Ending) -> None:
        kind = f"{ending.name} at {attempt.progress.name}"
        if ending in _LOGGED_ENDINGS:
            self.event_log.record(
                "attempt ended",
                kind,
                id=attempt.job.payload.id,
                attempt=attempt.number,
                worker=attempt.worker,
                given_up=attempt.given_up,
                never_ran=attempt.never_ran,
            )
        else:
            self.event_log.count("attempt ended", kind)

    def probe_ended(
        self, worker: str, ending: Ending, elapsed: int, report: api.LoadReport | None = None
    ) -> None:
        """Reports the result of a probe to the decision module; ``elapsed``: ns."""
        self._post_event(api.ProbeEnded(worker, outcome_of(ending, written=True), elapsed, report))

    # Running the decision module

    def _post_event(self, event: api.Event) -> None:
        self._pending_events.append(event)
        if not self._run_scheduled:
            self._run_scheduled = True
            if self.loop.now() >= self._next_run_at:
                self.loop.call_soon(self._run_decisions)  # with all events of this loop iteration
            else:
                self.loop.call_at(self._next_run_at, self._run_decisions)

    def _run_decisions(self) -> None:
        self._run_scheduled = False
        if not self._pending_events:
            return
        events, self._pending_events = self._pending_events, []
        now = self.loop.now()
        self._next_run_at = now + self.settings.tick
        if self.traced:
            for event in events:
                trace.log_event(now, event)
        for action in self._dispatcher.handle(now, events):
            if self.traced:
                trace.log_action(now, action)
            handler = self._handlers.get(type(action))
            if handler is None:
                log.warning("action not supported", action=type(action).__name__)
            else:
                handler(action)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_at(
            self.loop.now() + max(0, action.delay), self._post_event, api.TimerFired(action.name)
        )

    def _subscribe(self, action: api.Subscribe) -> None:
        if self.set_subscribed is None:
            log.warning("action not supported", action="Subscribe")
        else:
            self.set_subscribed(action.active)

    # Sending and stopping attempts

    def _send(self, action: api.Send) -> None:
        job = self._jobs.get(action.job)
        if job is None:
            return
        now = self.loop.now()
        timeout = action.timeout or job.options.timeout
        until = min(job.deadline, now + timeout) if timeout else job.deadline
        if not job.attempts and job.options.limiter is not None:
            job.options.limiter.first_attempt(now)
        attempt = Attempt(job, len(job.attempts), action.worker, now, until)
        rule = rules.rule_broken_by_attempt(
            job, action.worker, self._classes[job.arrival.job_class], self.settings.max_attempts, now
        )
        if rule is None and not self.shutdown.may_send(job.arrived_at):
            rule = rules.Rule.TIME_FOR_ANSWER
        job.attempts.append(attempt)
        if rule is not None:
            self._log_violation(rule, job, action.worker)
        if rule is not None or job.finished or until <= now:
            self.attempt_ended(attempt, Ending.NOT_SENT)
            return
        attempt.timer = self.loop.call_at(until, self._on_attempt_timeout, attempt)
        if self.wait_observer is not None and not self.settings.tells_start:
            self.wait_observer.started(now, job.number)
        if self.attempt_observer is not None:
            self.attempt_observer.sent(attempt)
        self.invoker.start(attempt)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if attempt.accepted and not self.settings.may_cancel and attempt.expires_at < attempt.job.deadline:
            # The attempt can't be cancelled, and would run at the same time as the next one.
            self._extend_to_deadline(attempt)
            return
        if (
            attempt.expires_at >= attempt.job.deadline
        ):  # the final answer is due: the decision module is informed before the worker
            self.attempt_ended(attempt, self._timeout_ending(attempt))
        if attempt.given_up:
            self.invoker.detach(attempt)
        else:
            self._give_up(attempt, Ending.TIMED_OUT)

    def _timeout_ending(self, attempt: Attempt) -> Ending:
        """The ending of an attempt whose time is up. If its last byte was never written by the job's
        deadline, the attempt is reported as not sent: as a time-out, a booking could no longer be refused,
        and as a failed connection, it would eject the worker although the job merely had little time."""
        unsent = not attempt.written and attempt.expires_at >= attempt.job.deadline
        return Ending.NOT_SENT if unsent else Ending.TIMED_OUT

    def _cancel(self, action: api.CancelAttempt) -> None:
        job = self._jobs.get(action.job)
        if job is None or action.attempt >= len(job.attempts) or job.attempts[action.attempt].ended:
            return
        attempt, class_config = job.attempts[action.attempt], self._classes[job.arrival.job_class]
        # Reported as given up, an unwritten attempt would count as one that may have run, and an unsafe or
        # keyed job could not simply be sent again. A safe job can, so its attempt is not reported as a failed
        # connection, which would eject a healthy worker.
        unsent = not attempt.written and class_config.effect is not api.Effect.SAFE
        self._give_up(attempt, Ending.CONNECT_TIMED_OUT if unsent else Ending.GIVEN_UP)

    def _give_up(self, attempt: Attempt, ending: Ending) -> None:
        if not attempt.given_up:
            attempt.given_up = True
            if not attempt.ended:
                self._extend_to_deadline(attempt)  # without a proof, the job is answered then
            self.invoker.give_up(attempt, ending)

    def _extend_to_deadline(self, attempt: Attempt) -> None:
        if attempt.expires_at < attempt.job.deadline:
            if attempt.timer is not None:
                attempt.timer.cancel()
            attempt.expires_at = attempt.job.deadline
            attempt.timer = self.loop.call_at(attempt.expires_at, self._on_attempt_timeout, attempt)

    # Final answers

    def _refuse(self, action: api.Refuse) -> None:
        job = self._jobs.get(action.job)
        if job is None or job.finished:
            return
        self.event_log.count("refused", _reason_text(action.reason))
        rule = rules.rule_broken_by_refusal(job, self._classes.get(job.arrival.job_class))
        if rule is not None:
            self._log_violation(rule, job)
            self._answer_job(action.job, Answer(Verdict.FAILED))
        else:
            self._answer_job(action.job, Answer(Verdict.REFUSED, retry_after=action.retry_after))

    def _fail(self, action: api.Fail) -> None:
        self.event_log.count("failed", _reason_text(action.reason))
        self._answer_job(action.job, Answer(Verdict.FAILED))

    def _log_violation(self, rule: rules.Rule, job: Job, worker: str = "") -> None:
        """Logs an action of the decision module that was not carried out because it would break a rule."""
        self.event_log.record("decision not carried out", rule.value, id=job.payload.id, worker=worker)

    def _answer_job(self, number: int, answer: Answer) -> None:
        job = self._jobs.get(number)
        if job is not None and not job.finished:
            self._finish_job(job, answer)
            self._remove_if_done(job)

    def _on_overdue(self, job: Job) -> None:
        """Fails a job that the decision module has not answered by its deadline plus the slack, so that the
        client does not wait for ever."""
        self._run_decisions()  # if the loop is late, the event that leads to the answer may still be pending
        if job.finished:
            return
        log.error("answer overdue", id=job.payload.id)
        self._answer_without_decision(job, Answer(Verdict.FAILED))

    def end_late_jobs(self) -> None:
        """Answers the jobs that arrived in the shutdown and have no answer yet: refused if that is allowed,
        or else failed."""
        self._run_decisions()  # events that lead to an answer may be pending
        for job in [job for job in self._jobs.values() if self.shutdown.is_late(job.arrived_at)]:
            if job.finished:
                continue
            self.event_log.record("late job ended", id=job.payload.id, attempts=len(job.attempts))
            refused = Answer(Verdict.REFUSED, retry_after=default_retry_after(self.settings))
            rule = rules.rule_broken_by_refusal(job, self._classes.get(job.arrival.job_class))
            self._answer_without_decision(job, refused if rule is None else Answer(Verdict.FAILED))

    def _answer_without_decision(self, job: Job, answer: Answer) -> None:
        """Answers a job, and tells the decision module that it needs no answer any more."""
        self._finish_job(job, answer)
        self._post_event(api.JobWithdrawn(job.number))
        self._remove_if_done(job)

    def _finish_job(self, job: Job, answer: Answer | None = None) -> None:
        job.finished = True
        self._unanswered -= 1
        if self.traced:
            now, verdict = self.loop.now(), answer.verdict.value if answer is not None else "gone"
            trace.log_answer(now, job.number, job.payload.id, verdict, now - job.arrived_at)
        if answer is not None:
            self.count_answer(job.arrival.job_class, answer.verdict)
        if job.options.limiter is not None:
            served = answer is not None and answer.verdict is Verdict.SERVED
            job.options.limiter.ended(self.loop.now(), in_time=served)
        if self.wait_observer is not None:
            self.wait_observer.ended(self.loop.now(), job.number)
        if job.overdue_timer is not None:
            job.overdue_timer.cancel()
        if answer is not None:
            job.on_answer(answer)

    def count_answer(self, job_class: str, verdict: Verdict) -> None:
        """Counts a final answer in the metrics; also called for jobs that are answered without the host."""
        self.metrics.job_ended(job_class, _METRIC_OUTCOMES[verdict])

    def _remove_if_done(self, job: Job) -> None:
        """Removes a job that is finished and has no live attempt, so that memory stays bounded. Only the id
        of an unsafe job that may have run is retained for a while."""
        if job.finished and all(attempt.ended for attempt in job.attempts):
            class_config = self._classes.get(job.arrival.job_class)
            must_not_run_again = (
                class_config is not None
                and class_config.effect is api.Effect.UNSAFE
                and rules.first_possibly_run(job) is not None
            )
            self._forget(job)
            self.job_ids.release(job.payload.id, may_have_run=must_not_run_again)

    def _forget(self, job: Job) -> None:
        self._jobs.pop(job.number, None)
        self._jobs_by_id.pop(job.payload.id, None)


def _reason_text(reason: api.Reason | None) -> str:
    return "" if reason is None else reason.value
