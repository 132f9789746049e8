"""The module's host: owns jobs and attempts, feeds events, carries out actions in order.

It knows no wire protocol. A front (``fronts``) hands in jobs and is given their final
answers; a back (``Invoker``) carries attempts to workers and tells how they ended. Both may be of
any protocol: the decisions and the rules are the same.
"""

from collections.abc import Callable
from typing import Protocol

import structlog

from heathway import api
from heathway.logic import Dispatcher
from ironbarrow.core import rules, trace
from ironbarrow.core.attempt import Progress, restarted
from ironbarrow.core.endings import Ending, outcome_of
from ironbarrow.core.event_log import EventLog
from ironbarrow.core.figures import Figures
from ironbarrow.core.jobs import NO_TERMS, Answer, Attempt, Job, Payload, Terms, Verdict
from ironbarrow.core.recent_ids import RecentIds
from ironbarrow.runtime.clock import Clock

log = structlog.get_logger()

# endings that are logged: those that no party tells of
_NOTEWORTHY = frozenset((Ending.UNREACHABLE, Ending.FAILED_HERE, Ending.LOST, Ending.MALFORMED))
_COUNTED_AS = {Verdict.SERVED: "served", Verdict.REFUSED: "refused", Verdict.FAILED: "failed"}


class Waits(Protocol):
    """Who follows how long each job waits, from taken to started. All are told on the loop's thread, and may
    be told again what they know; times in ns."""

    def waiting(
        self, now: int, number: int, since: int, tenant: str | None, job_class: str, slots: float
    ) -> None:
        """The job waits, ``since`` when it was taken; also one that came back and has not run."""

    def started(self, now: int, number: int) -> None:
        """A worker runs it, or has it where workers don't tell that."""

    def ended(self, now: int, number: int) -> None:
        """Nothing more is owed of it."""


class AttemptObserver(Protocol):
    """Who follows each attempt and how it ended; told on the loop's thread."""

    def sent(self, attempt: "Attempt") -> None:
        """It goes out now."""

    def started(self, attempt: "Attempt") -> None:
        """Its worker runs it; not told by all."""

    def ended(self, attempt: "Attempt", ending: Ending, report: api.LoadReport | None) -> None:
        """It is over, once."""


class Invoker(Protocol):
    """What carries attempts to workers."""

    def start(self, attempt: Attempt) -> None:
        """Sends it; ``Host.attempt_ended`` tells of its end."""

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Calls it off at the worker, and tells ``ending`` once it is proven that the attempt is over, unless
        another came first. The host waits for that up to the job's deadline."""

    def let_go(self, attempt: Attempt) -> None:
        """Closes what it holds of an attempt; nothing is told to the worker, nor of the attempt's end."""

    def probe(self, worker: str) -> None:
        """Checks a worker; ``Host.probe_ended`` tells the result."""

    def close_idle(self, worker: str) -> None:
        """Closes the idle connections to a worker."""


class Host:
    """Drives one dispatcher of the module on a clock."""

    def __init__(self, loop: Clock, settings: api.Settings, seed: int, *, traced: bool = False) -> None:
        self.loop = loop
        self.traced = traced  # each event and action is logged
        self.settings = settings
        self.invoker: Invoker
        # begins to follow the discovery service, or stops; where the decisions say when
        self.follow: Callable[[bool], None] | None = None
        # told of each attempt that has ended; where others may have to go on with its job
        self.attempt_over: Callable[[Attempt], None] | None = None
        self.waits: Waits | None = None
        self.attempt_observer: AttemptObserver | None = None
        self.on_listed: Callable[[], None] | None = None  # ``workers`` has news
        self._dispatcher = Dispatcher(settings, seed)
        self.events = EventLog(loop)
        self.figures = Figures(tuple(cls.name for cls in settings.classes))
        self._jobs: dict[int, Job] = {}
        self._by_id: dict[str, Job] = {}
        self._may_have_run = RecentIds()
        self._numbers = 0
        self.end_by: int | None = None  # jobs that still come are answered by then
        self._owed = 0
        self._events: list[api.Event] = []
        self._next_at = 0
        self._planned = False
        self._states: dict[str, api.WorkerState] = {}
        self._starts: dict[str, int] = {}  # when each worker last started, as listed; ns
        self._classes = {cls.name: cls for cls in settings.classes}
        if traced:
            trace.begun(loop.now(), settings)
        self._carry_out: dict[type, Callable[..., None]] = {
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

    # Events

    @property
    def owed(self) -> int:
        """Jobs that wait for their final answer."""
        return self._owed

    @property
    def held_in_memory(self) -> int:
        """Jobs that are not forgotten yet: owed their answer, or with an attempt that is still out."""
        return len(self._jobs)

    @property
    def avoided(self) -> frozenset[str]:
        """The workers that the decisions have set aside: they get a trial job now and then, at the most."""
        return self._dispatcher.ring.ejected()

    @property
    def workers(self) -> list[api.WorkerEntry]:
        """The workers as they are listed now."""
        return [worker.entry for worker in self._dispatcher.ring.workers]

    @property
    def slots_waiting(self) -> float:
        """Slots of the jobs that wait here with no attempt out."""
        jobs = self._jobs.values()
        return sum(
            j.arrival.slots for j in jobs if not j.over and all(attempt.ended for attempt in j.attempts)
        )

    @property
    def listed(self) -> bool:
        """Whether any list of workers has come in."""
        return bool(self._states)

    def knows(self, job_id: str) -> bool:
        return job_id in self._by_id

    def must_not_run_again(self, job_id: str) -> bool:
        """Whether a job of that id is over that may have run and must not run twice."""
        return self._may_have_run.has(job_id, self.loop.now())

    def take(
        self,
        payload: Payload,
        answer: Callable[[Answer], None],
        *,
        job_class: str,
        time_left: int,
        key: int | None = None,
        slots: float = 1.0,
        memory: float = 0.0,
        repeat: bool = False,
        tenant: str | None = None,
        terms: Terms = NO_TERMS,
        tried: tuple[str, ...] = (),
    ) -> Job:
        """Takes a job; ``answer`` is called once, unless it is withdrawn before. ``tried``: workers that an
        earlier process had sent it to."""
        now = self.loop.now()
        if self.end_by is not None:
            time_left = max(self.settings.tick, min(time_left, self.end_by - now))
        self._numbers += 1
        arrival = api.JobArrived(
            self._numbers,
            job_class,
            tenant,
            key,
            time_left,
            slots=slots,
            memory=memory,
            repeat=repeat,
            wanted=terms.wanted,
            most_attempts=terms.most_attempts,
            resend=terms.resend,
            pause=terms.pause,
            tried=tried,
        )
        job = Job(self._numbers, payload, arrival, now, now + time_left, answer, terms=terms)
        self._jobs[job.number] = job
        self._by_id[payload.id] = job
        self._owed += 1
        if self.traced:
            trace.taken(now, job.number, payload.id)
        job.overdue = self.loop.call_at(job.deadline + self.settings.answer_slack, self._overdue, job)
        if self.waits is not None:
            self.waits.waiting(now, job.number, now, tenant, job_class, slots)
        self._post(arrival)
        return job

    def withdraw(self, job: Job) -> None:
        """The client is gone: nothing more is owed."""
        if not job.over:
            self._conclude(job)
            self._post(api.JobWithdrawn(job.number))
            self._forget_if_done(job)

    def let_go(self, job: Job) -> None:
        """Another process has the job now, with its client and with the attempt that is out: this one owes
        nothing more and calls nothing off."""
        for attempt in job.attempts:
            attempt.ended = True
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.withdraw(job)

    def workers_listed(self, news: api.WorkerList) -> None:
        """Danger: sends that wait behind this must not go out before the module knows of a drain."""
        for entry in news.entries:
            self._states[entry.worker] = entry.state
        if news.kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            listed = {entry.worker for entry in news.entries}
            for name in self._states:
                if name not in listed:
                    self._states[name] = api.WorkerState.GONE
        self._states = {n: s for n, s in self._states.items() if s is not api.WorkerState.GONE}
        self._give_up_restarted(news.entries)
        self._events.append(news)
        self._run()
        if self.on_listed is not None:
            self.on_listed()

    def _give_up_restarted(self, entries: tuple[api.WorkerEntry, ...]) -> None:
        """Gives up the attempts that were out at a worker's earlier process: nobody else may tell of their
        end. Danger: the list is no proof of it; the new process answers the DELETE."""
        later = {e.worker for e in entries if e.started_at > self._starts.get(e.worker, 0)}
        self._starts.update((e.worker, e.started_at) for e in entries if e.worker in later)
        self._starts = {name: at for name, at in self._starts.items() if name in self._states}
        now = self.loop.now()
        out = (
            [attempt for job in self._jobs.values() for attempt in job.attempts if not attempt.ended]
            if later
            else []
        )
        for attempt in out:
            started_at = self._starts.get(attempt.worker, 0)
            if restarted(started_at, attempt.written_at, now):
                self._give_up(attempt, Ending.GIVEN_UP)

    def may_send_to(self, worker: str) -> bool:
        return self._states.get(worker) is api.WorkerState.UP

    def barred(self, attempt: Attempt) -> Ending | None:
        """Why the attempt's first byte may not go out now; None: it may. Asked at the last moment. Danger:
        the client may have gone, the time be over or the worker have been told to drain while a connection
        came up or the attempt waited for anything else; the module decided before all that."""
        now = self.loop.now()
        if attempt.ended or attempt.given_up or attempt.job.over:
            return Ending.NOT_SENT
        if now >= attempt.until:
            return self._out_of_time(attempt)
        if now >= self.send_by(attempt):
            return Ending.NOT_SENT
        return None if self.may_send_to(attempt.worker) else Ending.DRAINED

    def send_by(self, attempt: Attempt) -> int:
        """Until when the attempt's last byte may go out. Danger: a keyed job's repeat is dropped only within
        the window of the first attempt that may have run; after it, the repeat would run too."""
        cls = self._classes.get(attempt.job.arrival.job_class)
        if cls is None or cls.effect is not api.Effect.KEYED:
            return attempt.until
        risky = rules.first_risky(attempt.job, but=attempt)
        if risky is None:
            return attempt.until
        return min(attempt.until, risky.sent_at + cls.window - self.settings.tick)

    def attempt_out(self, job_id: str, worker: str) -> Attempt | None:
        """The attempt of that id that is out at that worker."""
        job = self._by_id.get(job_id)
        if job is None:
            return None
        return next((c for c in job.attempts if c.worker == worker and not c.ended), None)

    def attempt_written(self, attempt: Attempt) -> None:
        """The request's last byte is written, or must have been: it counts as an attempt, once."""
        if not attempt.written:
            attempt.reach(Progress.WRITTEN)
            attempt.written_at = self.loop.now()
            self.figures.attempt_written(attempt.job.arrival.job_class)

    def attempt_started(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.reach(Progress.STARTED)
            if self.waits is not None:
                self.waits.started(self.loop.now(), attempt.job.number)
            if self.attempt_observer is not None:
                self.attempt_observer.started(attempt)
            self._post(
                api.AttemptNote(attempt.job.number, attempt.number, attempt.worker, api.NoteKind.STARTED)
            )

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        if not attempt.ended:
            attempt.reach(Progress.STARTED)
            self._post(
                api.AttemptNote(
                    attempt.job.number, attempt.number, attempt.worker, api.NoteKind.PROGRESS, share
                )
            )

    def attempt_ended(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        """Tells the module, once. Danger: call-backs come twice, late, and after a time-out."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.started and outcome_of(ending, attempt.written) in api.NEVER_RAN:
            # danger: one of the two words is wrong, and if it is this one, a booking would run twice
            ending = Ending.LOST
        attempt.never_ran = outcome_of(ending, attempt.written) in api.NEVER_RAN
        self._note_end(attempt, ending)
        if self.attempt_over is not None:
            self.attempt_over(attempt)
        if self.attempt_observer is not None:
            self.attempt_observer.ended(attempt, ending, report)
        job = attempt.job
        if self.waits is not None and not job.over:
            now, made = self.loop.now(), job.arrival
            if ending is Ending.DONE:
                self.waits.started(now, job.number)
            elif attempt.never_ran:
                since, slots = job.arrived_at, made.slots
                self.waits.waiting(now, job.number, since, made.tenant, made.job_class, slots)
        retry = True
        if ending is Ending.DONE and not job.over:
            self._conclude(job, Answer(Verdict.SERVED, result))
        elif not job.over and job.terms.watch is not None:
            retry = job.terms.watch.may_retry(self.loop.now())
        self._post(
            api.AttemptEnded(
                job.number,
                attempt.number,
                attempt.worker,
                outcome_of(ending, attempt.written),
                job.over,
                self.loop.now() - attempt.sent_at,
                report,
                retry,
            )
        )
        self._forget_if_done(job)

    def _note_end(self, attempt: Attempt, ending: Ending) -> None:
        kind = f"{ending.name} at {attempt.progress.name}"
        if ending in _NOTEWORTHY:
            self.events.note(
                "attempt ended",
                kind,
                id=attempt.job.payload.id,
                attempt=attempt.number,
                worker=attempt.worker,
                given_up=attempt.given_up,
                never_ran=attempt.never_ran,
            )
        else:
            self.events.count("attempt ended", kind)

    def probe_ended(
        self, worker: str, ending: Ending, elapsed: int, report: api.LoadReport | None = None
    ) -> None:
        self._post(api.ProbeEnded(worker, outcome_of(ending, written=True), elapsed, report))

    # The module's turn

    def _post(self, event: api.Event) -> None:
        self._events.append(event)
        if not self._planned:
            self._planned = True
            if self.loop.now() >= self._next_at:
                self.loop.soon(self._run)  # with all that came in the same turn of the loop
            else:
                self.loop.call_at(self._next_at, self._run)

    def _run(self) -> None:
        self._planned = False
        if not self._events:
            return
        events, self._events = self._events, []
        now = self.loop.now()
        self._next_at = now + self.settings.tick
        if self.traced:
            for event in events:
                trace.told(now, event)
        for action in self._dispatcher.handle(now, events):
            if self.traced:
                trace.done(now, action)
            carry_out = self._carry_out.get(type(action))
            if carry_out is None:
                log.warning("action not supported", action=type(action).__name__)
            else:
                carry_out(action)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_at(self.loop.now() + max(0, action.delay), self._post, api.TimerFired(action.name))

    def _subscribe(self, action: api.Subscribe) -> None:
        if self.follow is None:
            log.warning("action not supported", action="Subscribe")
        else:
            self.follow(action.active)

    # Calls

    def _send(self, action: api.Send) -> None:
        job = self._jobs.get(action.job)
        if job is None:
            return
        now = self.loop.now()
        timeout = action.timeout or job.terms.timeout
        until = min(job.deadline, now + timeout) if timeout else job.deadline
        if not job.attempts and job.terms.watch is not None:
            job.terms.watch.first_attempt(now)
        attempt = Attempt(job, len(job.attempts), action.worker, now, until)
        rule = rules.broken_by_attempt(
            job, action.worker, self._classes[job.arrival.job_class], self.settings.max_attempts, now
        )
        job.attempts.append(attempt)
        if rule is not None:
            self._violated(rule, job, action.worker)
        if rule is not None or job.over or until <= now:
            self.attempt_ended(attempt, Ending.NOT_SENT)
            return
        attempt.timer = self.loop.call_at(until, self._timed_out, attempt)
        if self.waits is not None and not self.settings.tells_start:
            self.waits.started(now, job.number)
        if self.attempt_observer is not None:
            self.attempt_observer.sent(attempt)
        self.invoker.start(attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.accepted and not self.settings.may_cancel and attempt.until < attempt.job.deadline:
            # danger: it can't be called off, and left behind it would still run beside the next one
            self._wait_to_deadline(attempt)
            return
        if (
            attempt.until >= attempt.job.deadline
        ):  # the final answer is due: the module is told before the worker
            self.attempt_ended(attempt, self._out_of_time(attempt))
        if attempt.given_up:
            self.invoker.let_go(attempt)
        else:
            self._give_up(attempt, Ending.TIMED_OUT)

    def _out_of_time(self, attempt: Attempt) -> Ending:
        """Danger: told as a time-out, a booking whose last byte was never written could not be refused; told
        as a failed connection, the worker would be set aside where the job's time was short."""
        unsent = not attempt.written and attempt.until >= attempt.job.deadline
        return Ending.NOT_SENT if unsent else Ending.TIMED_OUT

    def _cancel(self, action: api.CancelAttempt) -> None:
        job = self._jobs.get(action.job)
        if job is None or action.attempt >= len(job.attempts) or job.attempts[action.attempt].ended:
            return
        attempt, cls = job.attempts[action.attempt], self._classes[job.arrival.job_class]
        # danger: told as called off, a job that may not simply run again may have run; but for one that may,
        # a failed connection would set aside a worker that is well
        unsent = not attempt.written and cls.effect is not api.Effect.SAFE
        self._give_up(attempt, Ending.CONNECT_TIMED_OUT if unsent else Ending.GIVEN_UP)

    def _give_up(self, attempt: Attempt, ending: Ending) -> None:
        if not attempt.given_up:
            attempt.given_up = True
            if not attempt.ended:
                self._wait_to_deadline(attempt)  # danger: without a proof by then, the answer would be late
            self.invoker.give_up(attempt, ending)

    def _wait_to_deadline(self, attempt: Attempt) -> None:
        if attempt.until < attempt.job.deadline:
            if attempt.timer is not None:
                attempt.timer.cancel()
            attempt.until = attempt.job.deadline
            attempt.timer = self.loop.call_at(attempt.until, self._timed_out, attempt)

    # Final answers

    def _refuse(self, action: api.Refuse) -> None:
        job = self._jobs.get(action.job)
        if job is None or job.over:
            return
        self.events.count("refused", _kind(action.reason))
        rule = rules.broken_by_refusal(job, self._classes.get(job.arrival.job_class))
        if rule is not None:
            self._violated(rule, job)
            self._answer(action.job, Answer(Verdict.FAILED))
        else:
            self._answer(action.job, Answer(Verdict.REFUSED, retry_after=action.retry_after))

    def _fail(self, action: api.Fail) -> None:
        self.events.count("failed", _kind(action.reason))
        self._answer(action.job, Answer(Verdict.FAILED))

    def _violated(self, rule: rules.Rule, job: Job, worker: str = "") -> None:
        """A decision that would break a rule is not carried out."""
        self.events.note("decision not carried out", rule.value, id=job.payload.id, worker=worker)

    def _answer(self, number: int, answer: Answer) -> None:
        job = self._jobs.get(number)
        if job is not None and not job.over:
            self._conclude(job, answer)
            self._forget_if_done(job)

    def _overdue(self, job: Job) -> None:
        """The module owes an answer past the slack: the client is not left waiting for ever."""
        self._run()  # danger: where the loop is late, what its answer hangs on came in this very turn
        if job.over:
            return
        log.error("answer overdue", id=job.payload.id)
        self._conclude(job, Answer(Verdict.FAILED))
        self._post(api.JobWithdrawn(job.number))
        self._forget_if_done(job)

    def _conclude(self, job: Job, answer: Answer | None = None) -> None:
        job.over = True
        self._owed -= 1
        if self.traced:
            now, verdict = self.loop.now(), answer.verdict.value if answer is not None else "gone"
            trace.answered(now, job.number, job.payload.id, verdict, now - job.arrived_at)
        if answer is not None:
            self.count_answer(job.arrival.job_class, answer.verdict)
        if job.terms.watch is not None:
            served = answer is not None and answer.verdict is Verdict.SERVED
            job.terms.watch.ended(self.loop.now(), in_time=served)
        if self.waits is not None:
            self.waits.ended(self.loop.now(), job.number)
        if job.overdue is not None:
            job.overdue.cancel()
        if answer is not None:
            job.answer(answer)

    def count_answer(self, job_class: str, verdict: Verdict) -> None:
        """Counts a final answer in the figures; for jobs that end beside the host, too."""
        self.figures.job_ended(job_class, _COUNTED_AS[verdict])

    def _forget_if_done(self, job: Job) -> None:
        """Danger: memory is bounded; nothing of a finished job stays."""
        if job.over and all(attempt.ended for attempt in job.attempts):
            cls = self._classes.get(job.arrival.job_class)
            if cls is not None and cls.effect is api.Effect.UNSAFE and rules.first_risky(job) is not None:
                self._may_have_run.add(job.payload.id, self.loop.now())
            self._jobs.pop(job.number, None)
            self._by_id.pop(job.payload.id, None)


def _kind(reason: api.Reason | None) -> str:
    return "" if reason is None else reason.value
