"""A worker: slots that share cores, a bounded queue, keys, a cold start, reports, and its troubles.

All running jobs of a worker go at one rate, which changes whenever one starts or ends. Time in
units of work done a job (``_done``) makes the next end a heap's first entry, so that an event costs
O(log n) whatever the number of jobs (processor sharing by virtual time).
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush

from ironbarrow.lab.model.randomness import Stream
from ironbarrow.lab.model.spec import Cold, Group, Reports
from ironbarrow.lab.model.store import Store
from ironbarrow.runtime.clock import MS, Clock, Timer

_RAMP_STEPS = 40  # a cold worker's rate is renewed so often on its way to full
_QUICK = 2 * MS  # how long a job takes that fails fast


class State(Enum):
    """What a worker's process is doing."""

    UP = "up"
    DRAINING = "draining"
    DOWN = "down"  # connections are refused
    VANISHED = "vanished"  # nothing answers


class Reply(Enum):
    """What becomes of a job at the worker's door."""

    TAKEN = "taken"
    FULL = "full"
    NOTHING = "nothing"  # it hangs: the job is in, and no answer comes
    REFUSED = "refused"  # no process


@dataclass(slots=True, frozen=True)
class Report:
    """A worker's own figures, late and noisy."""

    free_slots: float
    waiting: float
    errors: float  # a second

    def fields(self) -> dict[str, float]:
        """Under the names of the wire."""
        return {"eps": self.errors, "queue": self.waiting, "x0": self.free_slots}


Tell = Callable[[str, Report | None], None]


class _Stage(Enum):
    INBOX = 0  # came while the worker hung
    QUEUED = 1
    FETCHING = 2
    RUNNING = 3
    OVER = 4


@dataclass(frozen=True, slots=True)
class Need:
    """What a try takes of a worker: slots, a key that must be there, and work (ns on one core at
    speed 1); ``usual`` is the mean work of its class."""

    work: float
    slots: float
    key: int | None
    usual: float


@dataclass(slots=True, eq=False)
class Held:
    """A job that a worker holds. ``work``: ns on one core at speed 1."""

    id: str
    work: float
    slots: float
    key: int | None
    tell: Tell
    stage: _Stage = _Stage.QUEUED
    ends_at: float = 0.0  # in units of work done a job
    fails: bool = False


class Watcher:
    """Who is told what a worker does; the auditor and the recorder. Does nothing itself."""

    def job_started(self, worker: str, job_id: str) -> None: ...
    def job_ended(self, worker: str, job_id: str, how: str) -> None: ...
    def fell(self, worker: str) -> None: ...


@dataclass(slots=True)
class Trouble:
    """What is wrong with a worker at present."""

    slowed: float = 1.0
    failing: float = 0.0
    hung: bool = False
    report_delay: int = 0
    kept_back: list[tuple[Held, str]] = field(default_factory=list)


class Worker:
    """One process of a worker."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        group: Group,
        cold: Cold,
        reports: Reports,
        store: Store,
        stream: Stream,
        watcher: Watcher,
        *,
        zone: str = "",
        started_at: int = 0,
    ) -> None:
        self.name, self.group, self.zone = name, group, zone
        self.started_at = started_at  # 0: long ago, and warm
        self.state = State.UP
        self.trouble = Trouble()
        self.connections = 0
        self.arriving: set[str] = set()  # live: jobs whose requests are in, and that are not looked at yet
        self._clock, self._cold, self._reports = clock, cold, reports
        self._store, self._stream, self._watcher = store, stream, watcher
        self.speed = stream.lognormal(group.speed, group.speed_cv)
        self._jobs: dict[str, Held] = {}
        self._queue: deque[Held] = deque()
        self.slots_taken = 0.0
        self._running_slots = 0.0
        self._done = 0.0  # ns of work that each running job has had
        self._done_at = clock.now()
        self._rate = 0.0
        self._ends: list[tuple[float, int, Held]] = []
        self._count = 0
        self._timer: Timer | None = None
        self._timer_at = 0
        self._keys: OrderedDict[int, None] = OrderedDict()
        self._fetching: dict[int, list[Held]] = {}
        self._cold_work: deque[tuple[int, float]] = deque()
        self._errors: deque[int] = deque()
        self._seen = Report(group.slots, 0.0, 0.0)
        self._made: deque[tuple[int, Report]] = deque()
        first = int(stream.uniform() * reports.period)
        clock.call_at(clock.now() + first, self._renew_report)

    # What it holds

    @property
    def waiting(self) -> int:
        return len(self._queue)

    @property
    def held(self) -> int:
        return len(self._jobs)

    def _running(self) -> bool:
        return self.state in (State.UP, State.DRAINING)

    def holds(self, job_id: str) -> bool:
        return job_id in self._jobs

    def warmth(self) -> float:
        """The part of its capacity that it has now, by its age."""
        if not self.started_at:
            return 1.0
        age = (self._clock.now() - self.started_at) / self._cold.time
        return min(1.0, self._cold.start + (1 - self._cold.start) * max(0.0, age))

    def arrive(self, job_id: str, need: Need, tell: Tell) -> Reply:
        """A job's last byte is in. ``tell`` is called with each thing that becomes of it afterwards."""
        if not self._running():
            return Reply.REFUSED
        job = Held(job_id, need.work, need.slots, need.key, tell)
        if self.trouble.hung:
            job.stage = _Stage.INBOX
            self._jobs[job_id] = job
            return Reply.NOTHING
        self._note_cold_work(need.usual * need.slots)
        if not self._running():  # it has just fallen over
            return Reply.REFUSED
        return self._take(job)

    def _take(self, job: Held) -> Reply:
        full = len(self._queue) >= self.group.queue and not self._fits(job)
        if (
            job.slots > self.group.slots
            or full
            or (self.state is State.DRAINING and self.group.drain_returns)
        ):
            self._jobs.pop(job.id, None)
            return Reply.FULL
        self._jobs[job.id] = job
        job.stage = _Stage.QUEUED
        self._queue.append(job)
        self._start_what_fits()
        return Reply.TAKEN

    def _fits(self, job: Held) -> bool:
        ahead = self._queue and self.group.order == "in order"
        return not ahead and self.slots_taken + job.slots <= self.group.slots

    def cancel(self, job_id: str) -> bool:
        """Stops a job; whether it was there."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        self._drop(job)
        self._watcher.job_ended(self.name, job_id, "cancelled")
        self._start_what_fits()
        return True

    # Running

    def _start_what_fits(self) -> None:
        if self.trouble.hung or not self._running():
            return
        in_order = self.group.order == "in order"
        passed: list[Held] = []
        while self._queue:
            job = self._queue.popleft()
            if self.slots_taken + job.slots <= self.group.slots:
                self._begin(job)
            else:
                passed.append(job)
                if in_order:
                    break
        self._queue.extendleft(reversed(passed))
        self._retime()

    def _begin(self, job: Held) -> None:
        self.slots_taken += job.slots
        self._watcher.job_started(self.name, job.id)
        job.tell("started", None)
        if self._stream.chance(self.trouble.failing):
            job.stage = _Stage.FETCHING  # it holds its slots, and its work never begins
            self._clock.call_at(self._clock.now() + _QUICK, self._fail, job)
        elif job.key is None or job.key in self._keys:
            if job.key is not None:
                self._keys.move_to_end(job.key)
            self._run(job)
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
                self._run(job)
        self._retime()

    def _run(self, job: Held) -> None:
        self._advance()
        job.stage = _Stage.RUNNING
        job.fails = self._stream.chance(self.group.error_rate)
        job.ends_at = self._done + job.work * (self._stream.uniform() if job.fails else 1.0)
        self._running_slots += job.slots
        self._count += 1
        heappush(self._ends, (job.ends_at, self._count, job))

    def _fail(self, job: Held) -> None:
        if job.stage is _Stage.FETCHING:
            self._end(job, "failed")
            self._start_what_fits()

    def _advance(self) -> None:
        now = self._clock.now()
        self._done += (now - self._done_at) * self._rate
        self._done_at = now

    def _rate_now(self) -> float:
        if self.trouble.hung or not self._running():
            return 0.0
        sharing = min(1.0, self.group.cores / self._running_slots) if self._running_slots else 1.0
        beyond = max(0.0, len(self._jobs) - self.group.overfull_at)
        return (
            self.speed * self.warmth() * sharing / (self.trouble.slowed * (1 + self.group.overfull * beyond))
        )

    def _retime(self) -> None:
        """Sets the timer of the next end. An old timer that is too early only renews the rate."""
        self._advance()
        self._rate = self._rate_now()
        while self._ends and self._ends[0][2].stage is not _Stage.RUNNING:
            heappop(self._ends)
        if not self._ends or self._rate <= 0:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            return
        now = self._clock.now()
        due = now + max(1, math.ceil((self._ends[0][0] - self._done) / self._rate))
        if self.started_at and now < self.started_at + self._cold.time:
            due = min(due, now + max(1, self._cold.time // _RAMP_STEPS))
        if self._timer is not None:
            if self._timer_at == due:
                return
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._clock.call_at(due, self._ended)

    def _ended(self) -> None:
        self._timer = None
        self._advance()
        while self._ends and (
            self._ends[0][2].stage is not _Stage.RUNNING or self._ends[0][0] <= self._done + 1e-3 * MS
        ):
            job = heappop(self._ends)[2]
            if job.stage is _Stage.RUNNING:
                self._end(job, "failed" if job.fails else "done")
        self._start_what_fits()

    def _end(self, job: Held, how: str) -> None:
        self._drop(job)
        if how == "failed":
            self._errors.append(self._clock.now())
        self._watcher.job_ended(self.name, job.id, how)
        job.tell(how, self.report())

    def _drop(self, job: Held) -> None:
        self._jobs.pop(job.id, None)
        if job.stage is _Stage.RUNNING:
            self._advance()
            self._running_slots -= job.slots
            self.slots_taken -= job.slots
        elif job.stage is _Stage.FETCHING:
            self.slots_taken -= job.slots
        elif job.stage is _Stage.QUEUED and job in self._queue:
            self._queue.remove(job)
        job.stage = _Stage.OVER

    # Its own figures

    def report(self) -> Report:
        """The newest figures that can be seen now."""
        now = self._clock.now()
        while self._made and self._made[0][0] <= now:
            self._seen = self._made.popleft()[1]
        return self._seen

    def _renew_report(self) -> None:
        if not self._running():
            return
        now = self._clock.now()
        if not self.trouble.hung:
            while self._errors and self._errors[0] < now - 1000 * MS:
                self._errors.popleft()
            noise = 1 + self._reports.noise * self._stream.normal()
            made = Report(
                max(0.0, (self.group.slots - self.slots_taken) * noise),
                max(0.0, len(self._queue) * noise),
                float(len(self._errors)),
            )
            self._made.append((now + self._reports.delay + self.trouble.report_delay, made))
        self._clock.call_at(now + self._reports.period, self._renew_report)

    # Cold starts

    def _note_cold_work(self, work: float) -> None:
        """Danger for whoever sends: over so much work in a window, a cold worker falls over. Counted by
        what is usual for a class: nobody can tell a heavy job from a light one before it has run."""
        now = self._clock.now()
        if not self.started_at or now >= self.started_at + self._cold.time:
            return
        while self._cold_work and self._cold_work[0][0] <= now - self._cold.fall_window:
            self._cold_work.popleft()
        self._cold_work.append((now, work))
        capacity = min(self.group.cores, self.group.slots) * self.speed * self.warmth()
        if sum(w for _, w in self._cold_work) > self._cold.fall_multiple * capacity * self._cold.fall_window:
            self._watcher.fell(self.name)
            self.die()

    # Troubles

    def slow(self, factor: float) -> None:
        """Runs so many times slower from now on; 1 ends it."""
        self._advance()
        self.trouble.slowed = factor
        self._retime()

    def fail_fast(self, share: float) -> None:
        """This share of the jobs that start fails at once; 0 ends it."""
        self.trouble.failing = share

    def delay_reports(self, by: int) -> None:
        """Reports made from now on are seen later by so many ns."""
        self.trouble.report_delay = by

    def hang(self) -> None:
        """Takes work and answers nothing until ``recover``."""
        self._advance()
        self.trouble.hung = True
        self._retime()

    def recover(self) -> None:
        """Ends a hang: what came meanwhile is taken or turned away now."""
        if not self.trouble.hung:
            return
        self._advance()
        self.trouble.hung = False
        for job in [j for j in self._jobs.values() if j.stage is _Stage.INBOX]:
            reply = self._take(job)
            job.tell("accepted" if reply is Reply.TAKEN else "returned", None)
        self._start_what_fits()

    def drain(self) -> None:
        """Wants nothing new; hands back what has not started, where its kind does so."""
        if self.state is State.UP:
            self.state = State.DRAINING
            if self.group.drain_returns:
                while self._queue:
                    job = self._queue.popleft()
                    job.stage = _Stage.OVER
                    self._jobs.pop(job.id, None)
                    self._watcher.job_ended(self.name, job.id, "returned")
                    job.tell("returned", self.report())

    def undrain(self) -> None:
        """Wants work again."""
        if self.state is State.DRAINING:
            self.state = State.UP

    def die(self, *, silent: bool = False) -> None:
        """The process ends, or with ``silent`` the machine vanishes; what it held is lost."""
        self._advance()
        jobs = list(self._jobs.values())
        self.state = State.VANISHED if silent else State.DOWN
        for job in jobs:
            self._drop(job)
            self._watcher.job_ended(self.name, job.id, "lost")
            if not silent:
                job.tell("lost", None)
        self._queue.clear()
        self._fetching.clear()
        self._ends.clear()
        self._rate = 0.0

    def is_cold(self) -> bool:
        return bool(self.started_at) and self._clock.now() < self.started_at + self._cold.time
