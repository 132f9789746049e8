"""Checks the service rules from the outside: from what the parties do, not from a dispatcher's own state.

The rules, each with a name in ``Breach``: exactly one final answer for each job taken, in time; no two
attempts at once; a limited number of attempts; no new attempt to a worker past the drain grace; no cold
worker overloaded until it crashes; a booking run at most once; a refusal only if the job cannot have run or
a repetition is harmless; "served" only if a worker completed the job.

With a fleet, a client may request one id from several dispatchers in turn, and a job may outlive the
dispatcher that took it. The rules then apply to the id over all dispatchers: each request for it may be
answered, but all answers must be equal.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.worker import WorkerObserver
from ironbarrow.runtime.clock import MS, SECOND, Clock

_MAX_EXAMPLES = 5
# After SIGTERM: a job that came earlier may be found unanswered by SIGKILL
_EXCUSED_BY_KILL = 700 * MS
_RETENTION = 60 * SECOND  # a finished job's record is kept this long for late starts and call-backs


class Breach(Enum):
    """A kind of broken rule."""

    NO_ANSWER = "no final answer in time"
    LOST_IN_SHUTDOWN = "accepted late in a shutdown, forwarded, and lost"
    TWO_ANSWERS = "more than one final answer"
    SECOND_COPY = "a second copy at the same time"
    TOO_MANY_ATTEMPTS = "more attempts than allowed"
    SENT_AFTER_DRAIN_GRACE = "something new past the drain grace"
    COLD_WORKER_OVERLOADED = "a cold worker pushed over"
    UNSAFE_JOB_RAN_TWICE = "a booking run twice"
    UNSAFE_RESEND = "sent again though it may have run"
    UNSAFE_REFUSAL = "a refusal of what may have run"
    UNFOUNDED_SUCCESS = "served with what no worker made"


@dataclass(slots=True, eq=False)
class _JobRecord:
    """What the auditor knows of a job id: one try of a client. Times in ns."""

    root: int  # number of the client's request, over all its tries
    unsafe: bool
    dispatcher: int
    taken_at: int
    due: int  # latest time for the answer, slack included
    attempts: int = 0
    # workers with an attempt in flight, and since when
    in_flight: dict[str, int] = field(default_factory=dict)
    may_have_run: bool = False
    ran: bool = False
    done: bool = False
    answered: bool = False
    excused: bool = False  # needs no answer: its dispatcher died or was paused, or its client left
    first_verdict: str = ""  # of the first answer to a client
    requests: int = 1
    answers: int = 0


@dataclass(slots=True)
class AuditResult:
    """The result of an audit: the breaches of each rule, examples, and how many events were checked."""

    breaches: Counter[str]
    examples: list[str]
    looked_at: Counter[str]

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.breaches


class Auditor(WorkerObserver):
    """Receives the events of a run and detects breaches of the rules."""

    def __init__(
        self, clock: Clock, world: World, *, transport_slack: int = 0, lost_after: int | None = None
    ) -> None:
        """``transport_slack``: addition to every time limit, ns, for runs over sockets. ``lost_after``: how
        long after its deadline a job without an answer counts as lost, ns; None: the dispatchers' answer
        slack plus the transport slack."""
        rules = world.dispatchers
        self._clock = clock
        self._max_attempts = rules.max_attempts
        self._slack = rules.answer_slack + transport_slack if lost_after is None else lost_after
        self._drain_grace = rules.drain_grace + transport_slack
        self._jobs: dict[str, _JobRecord] = {}
        self._finished: deque[tuple[int, str]] = deque()
        self._shares_jobs = world.dispatchers.fleet is not None
        self._paused: set[int] = set()  # suspended dispatchers
        self._stopping_since: dict[int, int] = {}  # when each dispatcher was last told to stop, ns
        self._unsafe_starts: dict[int, int] = {}  # by root, for unsafe jobs
        # by dispatcher and worker: when the dispatcher learned that the worker drains or is gone
        self._not_up_since: dict[tuple[int, str], int] = {}
        self._breaches: Counter[str] = Counter()
        self._examples: list[str] = []
        self._checked: Counter[str] = Counter()
        self.taken_by_second: Counter[int] = Counter()  # by Unix second
        self.sent_by_second: Counter[int] = Counter()

    def _report(self, what: Breach, detail: str) -> None:
        self._breaches[what.value] += 1
        if len(self._examples) < _MAX_EXAMPLES:
            self._examples.append(f"{what.value}: {detail} at {self._clock.now() / SECOND:.3f} s")

    # Dispatchers and clients

    def job_taken(self, job_id: str, root: int, dispatcher: int, time_left: int, *, unsafe: bool) -> None:
        """A dispatcher has received a complete request. ``time_left``: until the client's deadline, ns."""
        self._checked["jobs taken"] += 1
        self.taken_by_second[self._clock.now() // SECOND] += 1
        due = self._clock.now() + time_left + self._slack
        job = self._jobs.get(job_id) if self._shares_jobs else None
        if job is None:
            job = self._jobs[job_id] = _JobRecord(root, unsafe, dispatcher, self._clock.now(), due)
        else:
            self._checked["asked for again"] += 1
            job.dispatcher, job.taken_at, job.due = dispatcher, self._clock.now(), due
            job.requests += 1
            job.answered = False
        job.excused = dispatcher in self._paused

    def job_answered(self, job_id: str, verdict: str) -> None:
        """A final answer left a dispatcher. ``verdict``: served, refused or failed."""
        job = self._jobs.get(job_id)
        if job is None or (job.excused and not self._shares_jobs):
            return
        self._checked["answers"] += 1
        job.answers += 1
        if job.answered or job.answers > job.requests or job.first_verdict not in ("", verdict):
            self._report(Breach.TWO_ANSWERS, f"{job_id} {verdict} after {job.first_verdict or 'nothing'}")
        job.first_verdict = job.first_verdict or verdict
        if self._clock.now() > job.due and not job.excused:
            self._report(Breach.NO_ANSWER, f"{job_id} late by {(self._clock.now() - job.due) / MS:.1f} ms")
        if verdict == "served" and not job.done:
            self._report(Breach.UNFOUNDED_SUCCESS, job_id)
        if verdict == "refused" and job.unsafe and (job.ran or job.may_have_run):
            self._report(Breach.UNSAFE_REFUSAL, job_id)
        job.answered = True
        self._finish(job_id, job)

    def client_left(self, job_id: str) -> None:
        """The client has disconnected: no answer is required any more, unless it was already overdue."""
        job = self._jobs.get(job_id)
        if job is not None and not job.answered:
            if self._clock.now() > job.due and not job.excused:
                self._report(Breach.NO_ANSWER, job_id)
            job.excused = True
            self._finish(job_id, job)

    def connection_broken(self, job_id: str) -> None:
        """The job's connection ended without an answer, and its client did not close it.

        If the job was forwarded, that is allowed only at the end of a process that is killed, or that was
        told to stop no more than 0.7 s before the job came."""
        job = self._jobs.get(job_id)
        if job is None or job.answered or job.excused:
            return
        told_at = self._stopping_since.get(job.dispatcher)
        if not job.attempts or (told_at is not None and job.taken_at <= told_at + _EXCUSED_BY_KILL):
            self.client_left(job_id)
        else:
            self._check_late_job(job_id, job)

    def _check_late_job(self, job_id: str, job: _JobRecord) -> None:
        """Reports an unanswered job that was forwarded and came late in a shutdown, at the end of its
        connection or its process."""
        told_at = self._stopping_since.get(job.dispatcher)
        if told_at is None or not job.attempts or job.taken_at <= told_at + _EXCUSED_BY_KILL:
            return
        after = (job.taken_at - told_at) // MS
        self._report(Breach.LOST_IN_SHUTDOWN, f"{job_id} at {job.dispatcher}, {after} ms after SIGTERM")
        job.excused = True

    def dispatcher_stopping(self, dispatcher: int) -> None:
        """A process of a dispatcher is told to stop. Jobs that come much later must not be lost with it."""
        self._stopping_since[dispatcher] = self._clock.now()

    def may_still_run(self, dispatcher: int) -> bool:
        """Whether a dispatcher that was told to stop has an open job that SIGKILL may find unanswered."""
        told_at = self._stopping_since.get(dispatcher)
        return told_at is not None and any(
            job.dispatcher == dispatcher
            and not (job.answered or job.excused)
            and job.taken_at <= told_at + _EXCUSED_BY_KILL
            for job in self._jobs.values()
        )

    def dispatcher_started(self, dispatcher: int) -> None:
        """A dispatcher runs again, as one process."""
        self._stopping_since.pop(dispatcher, None)

    def dispatcher_killed(self, dispatcher: int) -> None:
        """A dispatcher's only process is killed, without having been told to stop."""
        self._stopping_since.pop(dispatcher, None)

    def dispatcher_died(self, dispatcher: int) -> None:
        """A dispatcher's process has ended. Its jobs need no answer from it, and its attempts end with its
        connections; with a fleet, others may take the jobs over, so the attempts remain in flight."""
        self._paused.discard(dispatcher)
        for job_id, job in list(self._jobs.items()):  # a copy, because ``_finish`` deletes old records
            if job.dispatcher == dispatcher and not job.answered:
                if not job.excused:
                    self._check_late_job(job_id, job)
                job.excused = True
                if not self._shares_jobs:
                    job.in_flight.clear()
                self._finish(job_id, job)

    def dispatcher_paused(self, dispatcher: int) -> None:
        """A dispatcher is suspended: its open jobs cannot be answered in time and are excused."""
        self._paused.add(dispatcher)
        for job in self._jobs.values():
            if job.dispatcher == dispatcher and not job.answered:
                job.excused = True

    def dispatcher_resumed(self, dispatcher: int) -> None:
        """A suspended dispatcher runs again."""
        self._paused.discard(dispatcher)

    def status_received(self, dispatcher: int, worker: str, *, up: bool) -> None:
        """A dispatcher has received a worker's state from the discovery service."""
        if up:
            self._not_up_since.pop((dispatcher, worker), None)
        else:
            self._not_up_since.setdefault((dispatcher, worker), self._clock.now())

    # Attempts

    def attempt_sent(
        self,
        job_id: str,
        worker: str,
        first_byte: int | None = None,
        dispatcher: int | None = None,
        *,
        given_up: bool = False,
    ) -> None:
        """A dispatcher began to write an attempt. ``first_byte``: when, if not now. ``dispatcher``: which
        one, if not the one last asked for the job. ``given_up``: it has closed the connection since, so
        the worker will not start the job."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        self._checked["attempts"] += 1
        self.sent_by_second[self._clock.now() // SECOND] += 1
        at = self._clock.now() if first_byte is None else first_byte
        job.attempts += 1
        if job.attempts > self._max_attempts:
            self._report(Breach.TOO_MANY_ATTEMPTS, f"{job_id}: {job.attempts}")
        if job.in_flight and not given_up:
            self._report(Breach.SECOND_COPY, f"{job_id} at {worker} while at {', '.join(job.in_flight)}")
        if job.unsafe and job.may_have_run:
            self._report(Breach.UNSAFE_RESEND, f"{job_id} at {worker}")
        sender = job.dispatcher if dispatcher is None else dispatcher
        since = self._not_up_since.get((sender, worker))
        if since is not None and at > since + self._drain_grace:
            self._report(
                Breach.SENT_AFTER_DRAIN_GRACE,
                f"{job_id} from {sender} to {worker} after {(at - since) / MS:.0f} ms",
            )
        if not given_up:
            job.in_flight[worker] = at

    def attempt_finished(self, job_id: str, worker: str, *, never_ran: bool) -> None:
        """An attempt ended or was given up. ``never_ran``: there is proof that the job did not run."""
        job = self._jobs.get(job_id)
        if job is not None and job.in_flight.pop(worker, None) is not None and not never_ran:
            job.may_have_run = True

    # Workers

    def job_started(self, worker: str, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            return
        self._checked["starts"] += 1
        job.ran = True
        if job.unsafe:
            if job.first_verdict == "refused":
                self._report(Breach.UNSAFE_REFUSAL, f"{job_id} started at {worker} after its refusal")
            starts = self._unsafe_starts[job.root] = self._unsafe_starts.get(job.root, 0) + 1
            if starts > 1:
                self._report(Breach.UNSAFE_JOB_RAN_TWICE, f"{job_id} (request {job.root}) at {worker}")

    def job_ended(self, worker: str, job_id: str, outcome: str) -> None:
        job = self._jobs.get(job_id)
        if job is not None and outcome == "done":
            job.done = True

    def collapsed(self, worker: str) -> None:
        self._report(Breach.COLD_WORKER_OVERLOADED, worker)

    # Results

    def _finish(self, job_id: str, job: _JobRecord) -> None:
        now = self._clock.now()
        self._finished.append((now, job_id))
        while self._finished[0][0] < now - _RETENTION:  # deletes old records, to bound the memory
            self._jobs.pop(self._finished.popleft()[1], None)

    def rates_by_second(self, started_at: int) -> dict[str, list[int]]:
        """Jobs taken and attempts sent in each second since ``started_at`` (ns)."""
        first = started_at // SECOND
        last = max([first, *self.taken_by_second, *self.sent_by_second])
        seconds = range(first, last + 1)
        return {
            "taken_per_s": [self.taken_by_second[second] for second in seconds],
            "attempts_per_s": [self.sent_by_second[second] for second in seconds],
        }

    def finish(self) -> AuditResult:
        """Checks the jobs that are still open and returns the result."""
        now = self._clock.now()
        for job_id, job in self._jobs.items():
            if not job.answered and not job.excused and now > job.due:
                self._report(Breach.NO_ANSWER, job_id)
        return AuditResult(self._breaches, self._examples, self._checked)
