"""The records that logic.py decides on, and the index of workers. No decisions. Times are in ns."""

import zlib
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from typing import Any

from heathway import api
from heathway.start_times import StartTimes

SMALL_FLEET = 10  # dispatchers; with no more, the own jobs are a fair sample of all: a tenth at least
LOAD_HISTORY = 1_000_000_000  # ns; no load report or live weight is taken to be older
SessionName = tuple[str | None, int | None] | int


@dataclass(slots=True, eq=False)
class Worker:
    """What this dispatcher knows and estimates of a worker."""

    id: str
    entry: api.WorkerEntry
    started_at: int = 0  # latest possible start, on the own clock; 0: long ago
    index: int = -1  # in Ring.workers; -1: not in it yet
    peer_slots: float = 0.0  # slots used by other dispatchers' jobs at load_observed_at
    load_observed_at: int = 0  # time of the last known load; 0: unknown
    memory: float | None = None  # estimated free memory; None: unknown
    size: float = 0.0  # most slots ever seen on it; 0: unknown
    attempts: int = 0  # own attempts in flight
    slots_in_flight: float = 0.0  # their slots
    alive_at: int = 0  # last sign of life
    checked_at: int = 0  # last load report or probe
    # own sends and ends after the last known load
    load_changes: deque[tuple[int, float, float]] = field(default_factory=deque)  # time, slots, memory
    sends: deque[tuple[int, float]] = field(default_factory=deque)  # within the last window: time, work
    paused: bool = False  # gets no jobs for a moment after it was full
    ejected: bool = False  # gets no jobs until it works again
    on_trial: bool = False  # ejected, but may get one job to show that it works again
    ejected_until: int = 0
    ejections: int = 0  # in a row
    cold_until: int = 0
    fault_score: int = 0  # good answers that must make up for past faults
    max_weight: float = 0.0  # the largest listed for it
    overdue_starts: int = 0  # own attempts that have not started in time
    full_count: int = 0  # jobs in a row that it turned away as full

    def adjust_load(self, now: int, job: "Job", sign: int) -> None:
        """Adds the load of a job sent to it (``sign`` 1) or takes off that of one that ended (-1)."""
        # without load reports nothing else would ever remove them
        self._forget_load_changes(now - LOAD_HISTORY)
        self.attempts += sign
        self.slots_in_flight += sign * job.slots
        self.load_changes.append((now, sign * job.slots, sign * job.memory))
        if self.memory is not None:
            self.memory -= sign * job.memory

    def _forget_load_changes(self, made_at: int) -> None:
        """Forgets the changes that a load observed at ``made_at`` (ns) contains."""
        while self.load_changes and self.load_changes[0][0] <= made_at:
            self.load_changes.popleft()

    def apply_report(self, made_at: int, report: api.LoadReport) -> None:
        """Applies a load report; load beyond the own jobs of that time is that of other dispatchers' jobs."""
        free, memory = _plausible(report.free_slots), _plausible(report.free_memory)
        self._forget_load_changes(made_at)
        if free is not None:
            own = self.slots_in_flight - sum(change[1] for change in self.load_changes)
            self.size = max(self.size, free + own)
            self.peer_slots = max(0.0, self.size - free - own) + (_plausible(report.waiting) or 0.0)
            self.load_observed_at = made_at
        if memory is not None:
            self.memory = memory - sum(change[2] for change in self.load_changes)

    def apply_weight(self, made_at: int, stale_before: int, idle_weight: float, typical_size: float) -> None:
        """Applies a live weight; load beyond the own jobs of that time is that of other dispatchers' jobs.

        ``idle_weight``: that of an idle worker of its kind. A job counts as one slot, and so does a core. A
        load observed after ``stale_before`` is more exact and is kept.
        """
        size = self.size or typical_size
        if (
            self.load_observed_at > max(0, stale_before)
            or not size
            or not 0 < self.entry.weight <= idle_weight
        ):
            return
        self._forget_load_changes(made_at)
        own = self.slots_in_flight - sum(change[1] for change in self.load_changes)
        self.peer_slots = max(0.0, size * (idle_weight / self.entry.weight - 1) - own)
        self.load_observed_at = made_at

    def mark_full(self, now: int, own_running: float) -> None:
        """Notes that it has no free slot, with ``own_running`` slots used by own jobs that run."""
        self.peer_slots, self.load_observed_at = max(0.0, self.size - own_running), now

    def estimated_free(self, now: int, trust_time: int, typical: tuple[float, float]) -> float | None:
        """Estimated free slots; None: nothing is known.

        ``typical``: size of a worker and the slots that other dispatchers use on it. Over ``trust_time`` the
        last known load of other dispatchers fades out in favour of the typical one.
        """
        size = self.size or typical[0]
        if not size:
            return None
        trust = max(0.0, 1 - (now - self.load_observed_at) / trust_time) if self.load_observed_at else 0.0
        return size - self.slots_in_flight - trust * self.peer_slots - (1 - trust) * typical[1]

    def sent(self, now: int, slots: float, mean: float, window: int) -> None:
        """Records a job of that mean service time, and forgets what was sent before the window.

        A restart does not clear the record: what was sent just before it was listed reaches the worker cold.
        """
        self.work_sent_since(now - window)
        self.sends.append((now, mean * max(1.0, slots)))

    def work_sent_since(self, when: int) -> list[float]:
        """The work of each job sent to it after ``when``."""
        while self.sends and self.sends[0][0] <= when:
            self.sends.popleft()
        return [work for _, work in self.sends]

    def seems_idle(self) -> bool:
        """Whether its listed weight is above half of the largest it had.

        A live weight falls to half at one job per core; a static one stays the same.
        """
        return 2 * self.entry.weight > self.max_weight or self.max_weight <= 0

    def apply_entry(self, entry: api.WorkerEntry, cold_time: int, start_times: StartTimes) -> bool:
        """Applies its entry of the list; returns whether the entry shows a new process.

        ``start_times`` has the list already, and tells which process of the worker is the latest one.
        """
        old, until = self.entry, self.cold_until
        if entry.state is api.WorkerState.GONE:
            entry = replace(old, state=api.WorkerState.GONE)
        # a delayed list must not make a cold worker look warm
        entry = replace(entry, started_at=start_times.listed(self.id))
        self.entry = entry
        self.started_at = start_times.latest(self.id)
        self.cold_until = self.started_at + cold_time if self.started_at else 0
        if until and entry.started_at == old.started_at:
            self.cold_until = min(until, self.cold_until)
        return entry.started_at != old.started_at

    def reset_load(self) -> None:
        """Forgets its load and memory."""
        self.load_observed_at, self.memory = 0, None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a job, on one worker."""

    job: "Job"
    number: int
    worker: Worker
    sent_at: int
    in_flight: bool = True
    never_ran: bool = False  # proven by its outcome
    started_at: int = 0  # when the worker reported the start; 0: not yet
    start_overdue: bool = False  # not started in time; counted in Worker.overdue_starts
    room_expected: bool = False  # sent to a warm worker that seemed to have room
    probed_at: int = 0  # when its worker was last probed because of its silence; 0: never

    def clear_start_overdue(self) -> None:
        """Takes it off its worker's overdue starts."""
        if self.start_overdue:
            self.start_overdue = False
            self.worker.overdue_starts -= 1


@dataclass(slots=True, eq=False)
class Job:
    """A job that this dispatcher has taken and not forgotten yet."""

    id: int
    cls: api.JobClass
    session: SessionName
    slots: float
    memory: float
    aim_at: int  # its target time: an answer by then has its full worth
    deadline: int
    ring_start: float  # where first fit starts, as a part of the ring, from 0 to below 1
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False  # waits in this dispatcher's queue
    over: bool = False  # owed no answer any more
    max_sends: int = 3  # most attempts
    resend: bool = True  # whether it may be sent again after it may have run, where its class allows that
    pause: int = 0  # before another attempt, ns
    target_known: bool = False  # its client gave its work or the time by which it wants the answer
    # workers that an earlier process sent it to. It must not go there again: a late message about the earlier
    # attempt would be taken for one about the new attempt
    tried_before: tuple[Worker, ...] = ()

    def latest_start(self, mean: float) -> int:
        """The latest start that still makes an answer in time, for a class of that mean service time.

        The target time may grow with a job's work (``stretch``), which is not known in advance. A short job
        that starts as late as the mean work would allow misses its own target. Under overload most jobs that
        start that late do, and take slots from the next jobs for nothing. So a safe job, whose client may
        simply try again, must start early enough for even the shortest job to be in time. A job whose own
        target is known needs no such margin.
        """
        cls = self.cls
        as_shortest = cls.effect is api.Effect.SAFE and not cls.late_worth and not self.target_known
        return self.aim_at - int(mean * (max(1.0, cls.stretch) if as_shortest else 1.0))

    def too_late(self, now: int, mean: float) -> bool:
        """Whether an answer would be worth nothing if the job started after ``now``."""
        return not self.cls.late_worth and now > self.latest_start(mean)

    def in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any(attempt.in_flight for attempt in self.attempts)

    def tried_mask(self) -> int:
        """The workers it was sent to, as a bit mask of ``Ring.workers``."""
        workers = [*self.tried_before, *(attempt.worker for attempt in self.attempts)]
        return sum({1 << worker.index for worker in workers if worker.index >= 0})

    def possible_run(self) -> Attempt | None:
        """The first attempt that has run, may have run or may still run; None: there is none."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


@dataclass(slots=True, eq=False)
class Session:
    """A tenant's key that had jobs here recently."""

    open_jobs: int = 0
    last_job_at: int = 0


class Sessions:
    """The admitted sessions, in order of their last job."""

    def __init__(self) -> None:
        self._by_name: dict[SessionName, Session] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __contains__(self, name: SessionName) -> bool:
        return name in self._by_name

    def job_arrived(self, name: SessionName, now: int) -> None:
        """Counts a job, and opens its session if it is new."""
        session = self._by_name.pop(name, None) or Session()
        session.open_jobs += 1
        session.last_job_at = now
        self._by_name[name] = session

    def job_over(self, name: SessionName) -> None:
        """Counts the end of a job."""
        session = self._by_name.get(name)
        if session is not None:
            session.open_jobs = max(0, session.open_jobs - 1)

    def close_idle(self, idle_since: int, now: int) -> None:
        """Closes the sessions without a job since then; one with open jobs stays and counts as used now."""
        for name in list(self._by_name):
            session = self._by_name[name]
            if session.last_job_at > idle_since:
                break
            del self._by_name[name]
            if session.open_jobs:
                session.last_job_at = now
                self._by_name[name] = session


class Quota:
    """Token bucket of a tenant: ``per_s`` jobs a second at this dispatcher, in bursts of up to 4 s' worth."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._burst = max(1.0, 4 * per_s)
        self._tokens = self._burst
        self._updated_at = 0

    def take(self, now: int) -> bool:
        """Takes a token for a job; returns whether there was one."""
        self._tokens = min(self._burst, self._tokens + self._per_s * (now - self._updated_at) / 1e9)
        self._updated_at = now
        within = self._tokens >= 1
        self._tokens -= within
        return within


@dataclass(slots=True)
class ServiceTime:
    """Moving averages of a class's service time and of its deviation, ns."""

    mean: float
    deviation: float

    def update(self, elapsed: int, weight: float) -> None:
        """Adds a service time to the averages with that weight, from 0 to 1."""
        error = elapsed - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)

    def bound(self, deviations: float) -> int:
        """The mean plus that many deviations; twice the mean at least."""
        return int(max(2 * self.mean, self.mean + deviations * self.deviation))


class WorthStats:
    """The worth of all jobs so far in relation to their work, for shedding by class.

    ``by_work``: a class's worth counts for each unit of work, not for each job.
    """

    # a class gets at least this part of the admissions that it would get if all classes were shed alike
    MIN_ADMITTED_SHARE = 0.5
    RECENT_JOBS = 64  # at this number of jobs of a class, its counts are halved

    def __init__(self, by_work: bool) -> None:
        self._by_work = by_work
        self._arrived: Counter[str] = Counter()  # recent jobs of each class
        self._admitted: Counter[str] = Counter()  # of these, the admitted ones
        self._worth = self._work = 0.0

    def _worth_of(self, cls: api.JobClass, mean: float) -> float:
        return cls.worth * mean if self._by_work else cls.worth

    def job_arrived(self, cls: api.JobClass, mean: float) -> None:
        """Counts a job of a class with that mean service time."""
        if self._arrived[cls.name] >= self.RECENT_JOBS:
            self._arrived[cls.name] //= 2
            self._admitted[cls.name] //= 2
        self._arrived[cls.name] += 1
        self._worth += self._worth_of(cls, mean)
        self._work += mean

    def job_admitted(self, cls: api.JobClass) -> None:
        """Counts a job that was admitted."""
        self._admitted[cls.name] += 1

    def is_starved(self, cls: api.JobClass, part: float) -> bool:
        """Whether fewer of a class's recent jobs were admitted than its minimum.

        ``part``: the part of all jobs that there is room for. Since valuable classes are not shed, the others
        alone bear the overload; without a minimum, a class of little worth would not be served at all.
        """
        return self._admitted[cls.name] + 1 <= self.MIN_ADMITTED_SHARE * part * self._arrived[cls.name]

    def is_valuable(self, cls: api.JobClass, mean: float) -> bool:
        """Whether a class of that mean service time is worth more for its work than the mean of all jobs.

        False while no job is counted.
        """
        return self._worth_of(cls, mean) * self._work > self._worth * mean


class RoomAccuracy:
    """How often a warm worker that seemed to have room had it: a moving average over sends."""

    SEND_WEIGHT = 0.1  # of one send in the average

    def __init__(self) -> None:
        self.correct = 1.0  # part of the sends that found room

    def record(self, attempt: Attempt, correct: bool) -> None:
        """Counts an attempt, once: at the first sign of whether its worker had room."""
        if attempt.room_expected:
            attempt.room_expected = False
            self.correct += self.SEND_WEIGHT * (correct - self.correct)

    def mostly_wrong(self) -> bool:
        """Whether most recent sends found no room."""
        return self.correct < 0.5


class HeldJobs:
    """Jobs that wait here: a queue for each kind of worker that they need, ordered by latest start."""

    def __init__(self) -> None:
        self.slots = 0.0
        self.queues: dict[str | None, list[tuple[int, int, Job]]] = {}
        self._count = 0

    def add(self, job: Job, start_by: int) -> None:
        """Queues a job that has to start by then."""
        job.held = True
        self.slots += job.slots
        self._count += 1
        heappush(self.queues.setdefault(job.cls.worker_kind, []), (start_by, self._count, job))

    def put_back(self, queue: list[tuple[int, int, Job]], items: list[tuple[int, int, Job]]) -> None:
        """Returns queue entries that were taken out but not used."""
        for item in items:
            heappush(queue, item)

    def remove(self, job: Job) -> None:
        """Marks a job as not held; its queue entry is dropped when it comes to the front."""
        if job.held:
            job.held = False
            self.slots -= job.slots

    def next_start(self, default: int) -> int:
        """The earliest time by which a held job has to start, at most ``default``."""
        return min([default, *(queue[0][0] for queue in self.queues.values() if queue)])


class KeyShares:
    """Each key's share of the jobs, recent ones counting more, and where its jobs start on the ring."""

    def __init__(self, own_start: float, max_count: int = 20_000) -> None:
        """``own_start``: the dispatcher's own place on the ring, from 0 to below 1."""
        self._own_start = own_start
        self._jobs: dict[int, int] = {}
        self._total = 0
        self._max_count = max_count

    def start(self, key: int | None) -> float:
        """Counts a job and returns where on the ring first fit starts for its key, from 0 to below 1.

        From one common start, all dispatchers would load the same worker first. And jobs of one key that
        start together run on few workers, which keep what the key needs.
        """
        if key is None:
            return self._own_start
        spread = self.count(key)  # the busier a key, the further apart the dispatchers start its jobs
        return (zlib.crc32(str(key).encode()) / (1 << 32) + spread * self._own_start) % 1.0

    def count(self, key: int) -> float:
        """Counts a job and returns the key's share of the jobs."""
        if self._total >= self._max_count:
            self._jobs = {key: jobs // 2 for key, jobs in self._jobs.items() if jobs > 1}
            self._total = sum(self._jobs.values())
        self._jobs[key] = self._jobs.get(key, 0) + 1
        self._total += 1
        return self._jobs[key] / self._total


class TimerQueue:
    """Calls that are due at a time, in order of time."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, due: int, what: Callable[..., None], *args: Any) -> None:
        """Adds a call that is made at ``due`` or, if that is late, at the next turn."""
        self._count += 1
        heappush(self._heap, (due, self._count, what, args))

    def next_due(self, default: int) -> int:
        """When the next call is due, at most ``default``."""
        return min(default, self._heap[0][0]) if self._heap else default

    def run_due(self, now: int) -> None:
        """Makes all calls that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, what, args = heappop(self._heap)
            what(*args)


class Ring:
    """All listed workers, in order of id. A set of them is a bit mask whose bit i stands for workers[i]."""

    def __init__(self, cold_time: int) -> None:
        self.start_times = StartTimes(cold_time)
        self.workers: list[Worker] = []
        self.available = 0  # take new jobs, as far as is known
        self.cold = 0
        self.trials = 0  # ejected, on trial
        self.reported = 0  # with a known load
        self.ready = 0  # up and not ejected
        self.connect_failures: Counter[str] = Counter()  # by zone, since it last answered
        self._groups: dict[tuple[str, object], int] = {}
        self._idle_weights: dict[str, float] = {}  # by kind: the largest weight ever listed
        self._mean_idle_weight = 0.0  # over the workers that are up

    def update_idle_weight(self, entry: api.WorkerEntry) -> float:
        """Notes the entry's weight; returns that of an idle worker of its kind: the largest ever listed."""
        # an implausible weight counts as 0: it would spoil the mean of all kinds
        self._idle_weights[entry.kind] = idle_weight = max(
            _plausible(entry.weight) or 0.0, self._idle_weights.get(entry.kind, 0.0)
        )
        return idle_weight

    def relative_weight(self, entry: api.WorkerEntry) -> float:
        """The idle weight of the entry's kind in relation to the mean of all workers; 1: nothing is known.

        Where kinds differ fourfold, one size for all is too much for the slow ones and leaves the fast ones
        idle.
        """
        idle_weight = self._idle_weights.get(entry.kind, 0.0)
        return idle_weight / self._mean_idle_weight if idle_weight and self._mean_idle_weight else 1.0

    def size_when_warm(self, worker: Worker, typical_size: float, live: bool) -> float:
        """The slots, at mean speed, that a cold worker will have; ``live``: weights depend on load, too."""
        if not typical_size:  # right after a list no typical size is known
            sizes = [other.size for other in self.workers if other.size]
            typical_size = sum(sizes) / max(1, len(sizes))
        size = typical_size * self.relative_weight(worker.entry)
        if worker.size and not live:  # slots alone don't show that a worker is slow
            size = min(worker.size, size)
        return size or worker.size or 1.0

    def rebuild(self, workers: dict[str, Worker]) -> None:
        """Builds the index of these workers; ``mark`` has to be called for each of them afterwards."""
        self.workers = [workers[name] for name in sorted(workers)]
        self.available = self.cold = self.trials = self.reported = self.ready = 0
        self._groups = {}
        idle_weights = [
            self._idle_weights.get(w.entry.kind, 0.0)
            for w in self.workers
            if w.entry.state is api.WorkerState.UP
        ]
        self._mean_idle_weight = sum(idle_weights) / len(idle_weights) if idle_weights else 0.0
        for index, worker in enumerate(self.workers):
            worker.index = index
            worker.max_weight = max(worker.max_weight, worker.entry.weight)
            entry = worker.entry
            for name in (("kind", entry.kind), ("zone", entry.zone), ("cell", entry.cell)):
                self._groups[name] = self._groups.get(name, 0) | 1 << index

    def mark(self, worker: Worker, takes: bool, cold: bool) -> None:
        """Sets a worker's bits in all sets; ``takes``: it takes new jobs."""
        ready = worker.entry.state is api.WorkerState.UP and not worker.ejected
        bit = 1 << worker.index
        self.available = self.available | bit if takes else self.available & ~bit
        self.trials = self.trials | bit if worker.on_trial else self.trials & ~bit
        self.reported = self.reported | bit if worker.load_observed_at else self.reported & ~bit
        self.ready = self.ready | bit if ready else self.ready & ~bit
        self.cold = self.cold | bit if cold else self.cold & ~bit

    def unreachable(self, after: int, own: str) -> int:
        """The workers of other zones to which at least ``after`` connections in a row have failed."""
        unreachable_mask = 0
        for zone, failures in self.connect_failures.items():
            if failures >= after and zone != own:
                unreachable_mask |= self.group("zone", zone)
        return unreachable_mask

    def group(self, what: str, value: object) -> int:
        """The workers of one kind, zone or cell, by ``what``."""
        return self._groups.get((what, value), 0)

    def hold_reason(self, job: Job) -> api.Reason:
        """Why a job that was held until its latest start found no worker, as far as the sets show."""
        if not self.available:
            return api.Reason.NO_WORKER
        kind = job.cls.worker_kind
        mask = self.available & ~job.tried_mask() & (-1 if kind is None else self.group("kind", kind))
        if not mask:
            return api.Reason.TRIED_ALL
        return api.Reason.NO_ROOM if mask & ~self.cold else api.Reason.COLD_ONLY

    def dedup_group(self, worker: Worker, group: api.Group) -> int:
        """The workers that drop repeats of a keyed job together with that one; -1: all."""
        if group is api.Group.ALL:
            return -1
        entry = worker.entry
        return self.group("zone", entry.zone) if group is api.Group.ZONE else self.group("cell", entry.cell)

    def ejected(self) -> frozenset[str]:
        """The ids of the ejected workers, on trial or not."""
        return frozenset(worker.id for worker in self.workers if worker.ejected)

    def workers_in(self, mask: int) -> list[Worker]:
        """The workers of a set, in order: for large sets several times as fast as ``walk``."""
        return [
            worker for worker, bit in zip(self.workers, reversed(f"{mask:b}"), strict=False) if bit == "1"
        ]

    def typical_load(self, own_slots: float, dispatchers: int, observed_after: int) -> tuple[float, float]:
        """The mean known size of the ready workers, and the mean slots that other dispatchers use on one.

        In a large fleet the latter come from the loads observed after ``observed_after``, if most workers
        have one; else from the own running slots, multiplied by the number of other dispatchers. Estimated
        from the own jobs, a fleet of 188 looks three times as full to a dispatcher that gets three times the
        mean, which then turns a third of its jobs away. Of few dispatchers, the own jobs are a large sample
        and newer than the observed loads.
        """
        ready = self.workers_in(self.ready)
        sizes = [worker.size for worker in ready if worker.size]
        observed = [worker.peer_slots for worker in ready if worker.load_observed_at > max(0, observed_after)]
        if dispatchers > SMALL_FLEET and 2 * len(observed) > len(ready):
            peer_slots = sum(observed) / len(observed)
        else:
            peer_slots = own_slots * (dispatchers - 1) / max(1, len(ready))
        return sum(sizes) / max(1, len(sizes)), peer_slots

    def total_free(self, now: int, trust_time: int, typical: tuple[float, float]) -> float:
        """Estimated free slots of the ready workers that take jobs.

        The sum of ``Worker.estimated_free`` where that is above 0, written out in one loop because a large
        fleet is summed up several times a second.
        """
        total, (typical_size, typical_peer_slots) = 0.0, typical
        for worker in self.workers_in(self.ready & self.available):
            size = worker.size or typical_size
            if size:
                age = now - worker.load_observed_at if worker.load_observed_at else trust_time
                trust = 1 - age / trust_time if age < trust_time else 0.0
                slots = (
                    size
                    - worker.slots_in_flight
                    - trust * worker.peer_slots
                    - (1 - trust) * typical_peer_slots
                )
                if slots > 0:
                    total += slots
        return total

    def walk(self, mask: int, start: int) -> Iterator[Worker]:
        """The workers of a set, in order from index ``start``, then from the first worker on."""
        after = mask >> start << start
        for part in (after, mask ^ after):
            while part:
                bit = part & -part
                yield self.workers[bit.bit_length() - 1]
                part ^= bit


def _plausible(value: float | None) -> float | None:
    """The value, or None if it is NaN, negative or 1e6 and more: a worker may report anything."""
    return value if value is not None and 0 <= value < 1e6 else None
