"""A worker: slots that share cores, a bounded queue, cached keys, cold starts, load reports and faults.

All running jobs of a worker progress at the same rate, which changes whenever one starts or ends
(processor sharing). With virtual time, the work that each running job has received so far
(``_work_per_job``), the next job to end is the first entry of a heap, and an event costs O(log n) for n jobs.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush

from ironbarrow.lab.model.randomness import Stream
from ironbarrow.lab.model.spec import ColdStart, LoadReports, WorkerGroup
from ironbarrow.lab.model.store import Store
from ironbarrow.runtime.clock import MS, Clock, Timer

_RAMP_STEPS = 40  # updates of a cold worker's rate until it is warm
_FAST_FAIL_TIME = 2 * MS  # run time of a job that fails at once


class State(Enum):
    """The state of a worker's process."""

    UP = "up"
    DRAINING = "draining"
    DOWN = "down"  # no process: connections are refused
    VANISHED = "vanished"  # the machine is gone: nothing answers


class Admission(Enum):
    """A worker's immediate reaction to a job that arrives."""

    ACCEPTED = "taken"
    FULL = "full"
    NO_REPLY = "nothing"  # the worker hangs: it holds the job and does not answer
    NO_PROCESS = "refused"  # the process is not running


@dataclass(slots=True, frozen=True)
class Report:
    """A worker's load report, delayed and noisy."""

    free_slots: float
    waiting: float
    errors: float  # per second

    def fields(self) -> dict[str, float]:
        """The values under their names on the wire."""
        return {"eps": self.errors, "queue": self.waiting, "x0": self.free_slots}


# Receives each later state of a job: accepted, started, done, failed, returned or lost.
StateListener = Callable[[str, Report | None], None]


class _Stage(Enum):
    INBOX = 0  # arrived while the worker hung
    QUEUED = 1
    FETCHING = 2
    RUNNING = 3
    FINISHED = 4


@dataclass(frozen=True, slots=True)
class Demand:
    """What a try requires of a worker: slots, a key that must be loaded, and work (ns on one core at
    speed 1); ``class_mean`` is the mean work of its class."""

    work: float
    slots: float
    key: int | None
    class_mean: float


@dataclass(slots=True, eq=False)
class HeldJob:
    """A job that a worker holds. ``work``: ns on one core at speed 1."""

    id: str
    work: float
    slots: float
    key: int | None
    listener: StateListener
    stage: _Stage = _Stage.QUEUED
    ends_at: float = 0.0  # value of ``Worker._work_per_job`` at which it ends
    fails: bool = False


class WorkerObserver:
    """Notified of the events of workers. This base class ignores them."""

    def job_started(self, worker: str, job_id: str) -> None: ...
    def job_ended(self, worker: str, job_id: str, outcome: str) -> None: ...
    def collapsed(self, worker: str) -> None: ...


@dataclass(slots=True)
class Impairment:
    """The faults that currently affect a worker."""

    slowdown: float = 1.0
    failure_share: float = 0.0
    hung: bool = False
    report_delay: int = 0
    kept_back: list[tuple[HeldJob, str]] = field(default_factory=list)


class Worker:
    """One process of a worker."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        group: WorkerGroup,
        cold: ColdStart,
        reports: LoadReports,
        store: Store,
        stream: Stream,
        observer: WorkerObserver,
        *,
        zone: str = "",
        started_at: int = 0,
    ) -> None:
        self.name, self.group, self.zone = name, group, zone
        self.started_at = started_at  # ns of Unix time; 0: long ago, so that it is warm
        self.state = State.UP
        self.impairment = Impairment()
        self.connections = 0
        self.arriving: set[str] = set()  # live runs: ids of requests received and not yet handled
        self._clock, self._cold, self._reports = clock, cold, reports
        self._store, self._stream, self._observer = store, stream, observer
        self.speed = stream.lognormal(group.speed, group.speed_cv)
        self._jobs: dict[str, HeldJob] = {}
        self._queue: deque[HeldJob] = deque()
        self.used_slots = 0.0
        self._running_slots = 0.0
        self._work_per_job = 0.0  # virtual time: ns of work done for a job running all along
        self._work_updated_at = clock.now()
        self._rate = 0.0
        self._completions: list[tuple[float, int, HeldJob]] = []
        self._sequence = 0
        self._timer: Timer | None = None
        self._timer_at = 0
        self._keys: OrderedDict[int, None] = OrderedDict()
        self._fetching: dict[int, list[HeldJob]] = {}
        self._cold_work: deque[tuple[int, float]] = deque()
        self._error_times: deque[int] = deque()
        self._visible_report = Report(group.slots, 0.0, 0.0)
        self._pending_reports: deque[tuple[int, Report]] = deque()
        first = int(stream.uniform() * reports.period)
        clock.call_at(clock.now() + first, self._renew_report)

    # Jobs

    @property
    def waiting(self) -> int:
        return len(self._queue)

    @property
    def held(self) -> int:
        return len(self._jobs)

    def _running(self) -> bool:
        return self.state in (State.UP, State.DRAINING)

    def holds(self, job_id: str) -> bool:
        """Whether the worker has the job, queued or running."""
        return job_id in self._jobs

    def capacity_factor(self) -> float:
        """The share of its full capacity that the worker has at its present age."""
        if not self.started_at:
            return 1.0
        age = (self._clock.now() - self.started_at) / self._cold.time
        return min(1.0, self._cold.start + (1 - self._cold.start) * max(0.0, age))

    def arrive(self, job_id: str, demand: Demand, listener: StateListener) -> Admission:
        """Receives a complete job. ``listener`` is called with each later state of the job."""
        if not self._running():
            return Admission.NO_PROCESS
        job = HeldJob(job_id, demand.work, demand.slots, demand.key, listener)
        if self.impairment.hung:
            job.stage = _Stage.INBOX
            self._jobs[job_id] = job
            return Admission.NO_REPLY
        self._record_cold_work(demand.class_mean * demand.slots)
        if not self._running():  # this job has just overloaded the cold worker
            return Admission.NO_PROCESS
        return self._admit(job)

    def _admit(self, job: HeldJob) -> Admission:
        full = len(self._queue) >= self.group.queue and not self._fits(job)
        if (
            job.slots > self.group.slots
            or full
            or (self.state is State.DRAINING and self.group.drain_returns)
        ):
            self._jobs.pop(job.id, None)
            return Admission.FULL
        self._jobs[job.id] = job
        job.stage = _Stage.QUEUED
        self._queue.append(job)
        self._start_queued()
        return Admission.ACCEPTED

    def _fits(self, job: HeldJob) -> bool:
        ahead = self._queue and self.group.order == "in order"
        return not ahead and self.used_slots + job.slots <= self.group.slots

    def cancel(self, job_id: str) -> bool:
        """Cancels a job; returns whether the worker had it."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        self._remove(job)
        self._observer.job_ended(self.name, job_id, "cancelled")
        self._start_queued()
        return True

    # Execution

    def _start_queued(self) -> None:
        if self.impairment.hung or not self._running():
            return
        in_order = self.group.order == "in order"
        skipped: list[HeldJob] = []
        while self._queue:
            job = self._queue.popleft()
            if self.used_slots + job.slots <= self.group.slots:
                self._start_job(job)
            else:
                skipped.append(job)
                if in_order:
                    break
        self._queue.extendleft(reversed(skipped))
        self._reschedule()

    def _start_job(self, job: HeldJob) -> None:
        self.used_slots += job.slots
        self._observer.job_started(self.name, job.id)
        job.listener("started", None)
        if self._stream.chance(self.impairment.failure_share):
            job.stage = _Stage.FETCHING  # it occupies its slots, but its work never starts
            self._clock.call_at(self._clock.now() + _FAST_FAIL_TIME, self._fail, job)
        elif job.key is None or job.key in self._keys:
            if job.key is not None:
                self._keys.move_to_end(job.key)
            self._start_work(job)
        else:
            job.stage = _Stage.FETCHING
            waiting = self._fetching.setdefault(job.key, [])
            waiting.append(job)
            if len(waiting) == 1:
                self._store.fetch(self._fetched, job.key)

    def _fetched(self, key: int) -> None:
        self._keys[key] = None
        if len(self._keys) > self.group.keys_kept:
            self._keys.popitem(last=False)
        for job in self._fetching.pop(key, ()):
            if job.stage is _Stage.FETCHING:
                self._start_work(job)
        self._reschedule()

    def _start_work(self, job: HeldJob) -> None:
        self._update_progress()
        job.stage = _Stage.RUNNING
        job.fails = self._stream.chance(self.group.error_rate)
        job.ends_at = self._work_per_job + job.work * (self._stream.uniform() if job.fails else 1.0)
        self._running_slots += job.slots
        self._sequence += 1
        heappush(self._completions, (job.ends_at, self._sequence, job))

    def _fail(self, job: HeldJob) -> None:
        if job.stage is _Stage.FETCHING:
            self._finish(job, "failed")
            self._start_queued()

    def _update_progress(self) -> None:
        now = self._clock.now()
        self._work_per_job += (now - self._work_updated_at) * self._rate
        self._work_updated_at = now

    def _current_rate(self) -> float:
        if self.impairment.hung or not self._running():
            return 0.0
        sharing = min(1.0, self.group.cores / self._running_slots) if self._running_slots else 1.0
        excess = max(0.0, len(self._jobs) - self.group.overfull_at)
        return (
            self.speed
            * self.capacity_factor()
            * sharing
            / (self.impairment.slowdown * (1 + self.group.overfull * excess))
        )

    def _reschedule(self) -> None:
        """Sets the timer for the next job to end. While the worker is cold, the timer may be due
        earlier, only to update the rate."""
        self._update_progress()
        self._rate = self._current_rate()
        while self._completions and self._completions[0][2].stage is not _Stage.RUNNING:
            heappop(self._completions)
        if not self._completions or self._rate <= 0:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            return
        now = self._clock.now()
        due = now + max(1, math.ceil((self._completions[0][0] - self._work_per_job) / self._rate))
        if self.started_at and now < self.started_at + self._cold.time:
            due = min(due, now + max(1, self._cold.time // _RAMP_STEPS))
        if self._timer is not None:
            if self._timer_at == due:
                return
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._clock.call_at(due, self._on_completion_timer)

    def _on_completion_timer(self) -> None:
        self._timer = None
        self._update_progress()
        while self._completions and (
            self._completions[0][2].stage is not _Stage.RUNNING
            or self._completions[0][0] <= self._work_per_job + 1e-3 * MS
        ):
            job = heappop(self._completions)[2]
            if job.stage is _Stage.RUNNING:
                self._finish(job, "failed" if job.fails else "done")
        self._start_queued()

    def _finish(self, job: HeldJob, outcome: str) -> None:
        self._remove(job)
        if outcome == "failed":
            self._error_times.append(self._clock.now())
        self._observer.job_ended(self.name, job.id, outcome)
        job.listener(outcome, self.report())

    def _remove(self, job: HeldJob) -> None:
        self._jobs.pop(job.id, None)
        if job.stage is _Stage.RUNNING:
            self._update_progress()
            self._running_slots -= job.slots
            self.used_slots -= job.slots
        elif job.stage is _Stage.FETCHING:
            self.used_slots -= job.slots
        elif job.stage is _Stage.QUEUED and job in self._queue:
            self._queue.remove(job)
        job.stage = _Stage.FINISHED

    # Load reports

    def report(self) -> Report:
        """The newest report whose delay has passed."""
        now = self._clock.now()
        while self._pending_reports and self._pending_reports[0][0] <= now:
            self._visible_report = self._pending_reports.popleft()[1]
        return self._visible_report

    def _renew_report(self) -> None:
        if not self._running():
            return
        now = self._clock.now()
        if not self.impairment.hung:
            while self._error_times and self._error_times[0] < now - 1000 * MS:
                self._error_times.popleft()
            noise = 1 + self._reports.noise * self._stream.normal()
            report = Report(
                max(0.0, (self.group.slots - self.used_slots) * noise),
                max(0.0, len(self._queue) * noise),
                float(len(self._error_times)),
            )
            self._pending_reports.append((now + self._reports.delay + self.impairment.report_delay, report))
        self._clock.call_at(now + self._reports.period, self._renew_report)

    # Cold starts

    def _record_cold_work(self, work: float) -> None:
        """A cold worker that receives more work within a window than it can bear crashes. Jobs count
        with the mean work of their class, because senders cannot know a job's work before it has run."""
        now = self._clock.now()
        if not self.started_at or now >= self.started_at + self._cold.time:
            return
        while self._cold_work and self._cold_work[0][0] <= now - self._cold.fall_window:
            self._cold_work.popleft()
        self._cold_work.append((now, work))
        capacity = min(self.group.cores, self.group.slots) * self.speed * self.capacity_factor()
        if sum(w for _, w in self._cold_work) > self._cold.fall_multiple * capacity * self._cold.fall_window:
            self._observer.collapsed(self.name)
            self.terminate()

    # Faults

    def slow(self, factor: float) -> None:
        """Slows the worker down by ``factor``; 1 restores its speed."""
        self._update_progress()
        self.impairment.slowdown = factor
        self._reschedule()

    def fail_fast(self, share: float) -> None:
        """Makes this share of the starting jobs fail at once; 0 ends the fault."""
        self.impairment.failure_share = share

    def delay_reports(self, by: int) -> None:
        """Delays the reports made from now on by ``by`` ns."""
        self.impairment.report_delay = by

    def hang(self) -> None:
        """Hangs: receives jobs, and neither answers nor makes progress until ``recover``."""
        self._update_progress()
        self.impairment.hung = True
        self._reschedule()

    def recover(self) -> None:
        """Ends a hang; jobs that arrived during it are accepted or returned now."""
        if not self.impairment.hung:
            return
        self._update_progress()
        self.impairment.hung = False
        for job in [j for j in self._jobs.values() if j.stage is _Stage.INBOX]:
            reply = self._admit(job)
            job.listener("accepted" if reply is Admission.ACCEPTED else "returned", None)
        self._start_queued()

    def drain(self) -> None:
        """Starts draining; queued jobs are returned if the worker's group does so."""
        if self.state is State.UP:
            self.state = State.DRAINING
            if self.group.drain_returns:
                while self._queue:
                    job = self._queue.popleft()
                    job.stage = _Stage.FINISHED
                    self._jobs.pop(job.id, None)
                    self._observer.job_ended(self.name, job.id, "returned")
                    job.listener("returned", self.report())

    def cancel_drain(self) -> None:
        """Returns from draining to normal operation."""
        if self.state is State.DRAINING:
            self.state = State.UP

    def terminate(self, *, silent: bool = False) -> None:
        """Ends the process and loses its jobs. ``silent``: the machine vanishes, and nothing answers."""
        self._update_progress()
        jobs = list(self._jobs.values())
        self.state = State.VANISHED if silent else State.DOWN
        for job in jobs:
            self._remove(job)
            self._observer.job_ended(self.name, job.id, "lost")
            if not silent:
                job.listener("lost", None)
        self._queue.clear()
        self._fetching.clear()
        self._completions.clear()
        self._rate = 0.0

    def is_cold(self) -> bool:
        """Whether the worker is still in its cold phase."""
        return bool(self.started_at) and self._clock.now() < self.started_at + self._cold.time
