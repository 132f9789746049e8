"""The records that logic.py decides on, and their index. No decisions."""

import zlib
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from typing import Any

from heathway import api
from heathway.start_times import StartTimes

FEW = 10  # of so many dispatchers one's own jobs are a fair sample: a tenth or more
SessionName = tuple[str | None, int | None] | int


@dataclass(slots=True, eq=False)
class Worker:
    """A worker as this dispatcher believes it to be."""

    id: str
    entry: api.WorkerEntry
    started_at: int = 0  # on the own clock, at the latest; 0: long ago
    place: int = -1  # index in the ring; -1: not in it yet
    others: float = 0.0  # slots that others' jobs had, when it was last told of
    told_at: int = 0  # when that was; 0: never
    memory: float | None = None  # believed free memory
    size: float = 0.0  # most slots ever seen on it
    attempts: int = 0  # own attempts out
    slots_out: float = 0.0  # their slots
    heard_at: int = 0
    heard_of: int = 0  # when it last reported or was probed
    moves: deque[tuple[int, float, float]] = field(default_factory=deque)  # time, slots, memory
    sends: deque[tuple[int, float]] = field(default_factory=deque)  # of the last window: time, work in ns
    paused: bool = False
    aside: bool = False
    trial: bool = False  # set aside, but may get one job to show that it is back
    aside_until: int = 0
    asides: int = 0  # times in a row that it was set aside
    cold_until: int = 0
    faults: int = 0  # what it has to make up for by good answers
    best_weight: float = 0.0
    waiting: int = 0  # own attempts that have not started for too long
    fulls: int = 0  # jobs in a row that it sent back

    def book(self, now: int, job: "Job", sign: int) -> None:
        """Books an own send (1) or the end of one (-1)."""
        self.attempts += sign
        self.slots_out += sign * job.slots
        self.moves.append((now, sign * job.slots, sign * job.memory))
        if self.memory is not None:
            self.memory -= sign * job.memory

    def take_report(self, made_at: int, report: api.LoadReport) -> None:
        """Takes in a report: what it shows beyond the own jobs of that time are others' jobs."""
        free, memory = _sane(report.free_slots), _sane(report.free_memory)
        while self.moves and self.moves[0][0] <= made_at:
            self.moves.popleft()
        if free is not None:
            own = self.slots_out - sum(move[1] for move in self.moves)
            self.size = max(self.size, free + own)
            self.others = max(0.0, self.size - free - own) + (_sane(report.waiting) or 0.0)
            self.told_at = made_at
        if memory is not None:
            self.memory = memory - sum(move[2] for move in self.moves)

    def take_weight(self, made_at: int, newer: int, full: float, usual_size: float) -> None:
        """Takes in a live weight, ``full`` being that of an idle worker of its kind: what it shows beyond
        the own jobs of that time are others' jobs. A job counts as a slot, and a core as one. What
        was told after ``newer`` is better."""
        size = self.size or usual_size
        if self.told_at > max(0, newer) or not size or not 0 < self.entry.weight <= full:
            return
        while self.moves and self.moves[0][0] <= made_at:
            self.moves.popleft()
        own = self.slots_out - sum(move[1] for move in self.moves)
        self.others = max(0.0, size * (full / self.entry.weight - 1) - own)
        self.told_at = made_at

    def seen_full(self, now: int, taken: float) -> None:
        """It has no slot free, with ``taken`` of them by own jobs that run."""
        self.others, self.told_at = max(0.0, self.size - taken), now

    def free(self, now: int, believed: int, usual: tuple[float, float]) -> float | None:
        """Believed free slots; None: nothing is known. What was told of others' jobs gives way to
        what is usual on a worker of usual size, over the time that a report is believed."""
        size = self.size or usual[0]
        if not size:
            return None
        trust = max(0.0, 1 - (now - self.told_at) / believed) if self.told_at else 0.0
        return size - self.slots_out - trust * self.others - (1 - trust) * usual[1]

    def note_sent(self, now: int, slots: float, mean: float, window: int) -> None:
        """Notes a job sent, of that mean service time, ns, and forgets what was sent before the window.
        Danger: what goes to a worker before its restart is told reaches it cold, and counts after it too."""
        self.sent_since(now - window)
        self.sends.append((now, mean * max(1.0, slots)))

    def sent_since(self, when: int) -> list[float]:
        """The work of each job sent to it since."""
        while self.sends and self.sends[0][0] <= when:
            self.sends.popleft()
        return [work for _, work in self.sends]

    def looks_free(self) -> bool:
        """Whether the list gives it more than half the largest weight it ever had: live weights fall
        to half at one job a core; others stay the same."""
        return 2 * self.entry.weight > self.best_weight or self.best_weight <= 0

    def relist(self, entry: api.WorkerEntry, cold_time: int, started_at: int) -> bool:
        """Takes in its line of the list and tells whether that shows a new process. ``started_at``: when it
        started at the latest on the own clock, ns; 0: long ago."""
        old, until = self.entry, self.cold_until
        if entry.state is api.WorkerState.GONE:
            entry = replace(old, state=api.WorkerState.GONE)
        if entry.started_at < old.started_at:  # danger: by a list that comes late, a cold worker looks warm
            entry = replace(entry, started_at=old.started_at)
        self.entry = entry
        self.started_at = started_at
        self.cold_until = started_at + cold_time if started_at else 0
        if until and entry.started_at == old.started_at:
            self.cold_until = min(until, self.cold_until)
        return entry.started_at != old.started_at

    def forget(self) -> None:
        """What was known of its load is void."""
        self.told_at, self.memory = 0, None


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job."""

    job: "Job"
    number: int
    worker: Worker
    sent_at: int
    out: bool = True
    never_ran: bool = False
    started_at: int = 0  # when the worker told that it runs
    waits: bool = False  # it has not started for too long
    guessed: bool = False  # sent to a warm worker that was believed to have room
    checked_at: int = 0  # when its worker was probed, since nothing was heard for too long

    def waits_no_more(self) -> None:
        if self.waits:
            self.waits = False
            self.worker.waiting -= 1


@dataclass(slots=True, eq=False)
class Job:
    """A job that this dispatcher has taken."""

    id: int
    cls: api.JobClass
    session: SessionName
    slots: float
    memory: float
    aim_at: int
    deadline: int
    point: float  # where on the ring first fit starts
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    over: bool = False
    most: int = 3  # attempts
    resend: bool = True  # also if it may have run, where its class allows that
    pause: int = 0  # before another attempt
    foretold: bool = False  # its own work or wanted time was told
    # by an earlier process. Danger: one that tells once more of an attempt there would be heard as telling of
    # the next one
    tried_before: tuple[Worker, ...] = ()

    def latest_start(self, mean: float) -> int:
        """The latest start that still makes an answer in time, ns, for a job of a class of that mean service
        time, ns.

        Danger: where longer jobs are wanted later, short ones that start that late are late all the same;
        under overload most are, and fill the slots of the next ones for nothing. A job that may be tried
        again starts while it is in time however short it is; if its own time is known, that holds anyhow."""
        cls = self.cls
        sure = cls.effect is api.Effect.SAFE and not cls.late_worth and not self.foretold
        return self.aim_at - int(mean * (max(1.0, cls.stretch) if sure else 1.0))

    def too_late(self, now: int, mean: float) -> bool:
        """Whether it is worth nothing any more if it starts after ``now``, ns."""
        return not self.cls.late_worth and now > self.latest_start(mean)

    def out(self) -> bool:
        return any(attempt.out for attempt in self.attempts)

    def tried(self) -> int:
        """The workers it was sent to, as a set of the ring."""
        workers = [*self.tried_before, *(attempt.worker for attempt in self.attempts)]
        return sum({1 << worker.place for worker in workers if worker.place >= 0})

    def risky(self) -> Attempt | None:
        """The first attempt that has run, may have run or may still run."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


@dataclass(slots=True, eq=False)
class Session:
    """A tenant's key with jobs here not long ago."""

    open: int = 0
    seen_at: int = 0


class Sessions:
    """The admitted sessions, the one seen longest ago first."""

    def __init__(self) -> None:
        self._all: dict[SessionName, Session] = {}

    def __len__(self) -> int:
        return len(self._all)

    def __contains__(self, name: SessionName) -> bool:
        return name in self._all

    def job_arrived(self, name: SessionName, now: int) -> None:
        session = self._all.pop(name, None) or Session()
        session.open += 1
        session.seen_at = now
        self._all[name] = session

    def job_over(self, name: SessionName) -> None:
        session = self._all.get(name)
        if session is not None:
            session.open = max(0, session.open - 1)

    def close_idle(self, seen_before: int, now: int) -> None:
        for name in list(self._all):
            session = self._all[name]
            if session.seen_at > seen_before:
                break
            del self._all[name]
            if session.open:
                session.seen_at = now
                self._all[name] = session


class Share:
    """What a tenant may send here: so many jobs a second, four seconds' worth at once."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._most = max(1.0, 4 * per_s)
        self._left = self._most
        self._at = 0

    def take(self, now: int) -> bool:
        """Counts a job and tells whether it is within the share."""
        self._left = min(self._most, self._left + self._per_s * (now - self._at) / 1e9)
        self._at = now
        within = self._left >= 1
        self._left -= within
        return within


@dataclass(slots=True)
class ServiceTime:
    """Running averages of a class's service time and of its deviation."""

    mean: float
    deviation: float

    def learn(self, elapsed: int, weight: float) -> None:
        error = elapsed - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)

    def longest(self, deviations: float) -> int:
        """The mean and so many deviations, at least twice the mean."""
        return int(max(2 * self.mean, self.mean + deviations * self.deviation))


class Worths:
    """What all jobs so far were worth for their work; ``by_work``: a class's worth is that of a unit of
    work, as the settings may have it, and not that of a job."""

    FLOOR = 0.5  # a class has at least this part of what it would have if all were shed alike
    RECENT = 64  # jobs of a class that count, roughly

    def __init__(self, by_work: bool) -> None:
        self._by_work = by_work
        self._asked: Counter[str] = Counter()  # recent jobs of each class
        self._entered: Counter[str] = Counter()  # of these, the ones that entered, by whatever way
        self._worth = self._work = 0.0

    def _of(self, cls: api.JobClass, mean: float) -> float:
        return cls.worth * mean if self._by_work else cls.worth

    def job_arrived(self, cls: api.JobClass, mean: float) -> None:
        """Counts a job of a class with that mean service time, ns."""
        if self._asked[cls.name] >= self.RECENT:
            self._asked[cls.name] //= 2
            self._entered[cls.name] //= 2
        self._asked[cls.name] += 1
        self._worth += self._of(cls, mean)
        self._work += mean

    def job_entered(self, cls: api.JobClass) -> None:
        """Counts a job that was let in."""
        self._entered[cls.name] += 1

    def starves(self, cls: api.JobClass, part: float) -> bool:
        """Whether fewer of a class's recent jobs have entered than it is owed, ``part`` being the part of all
        that could enter. Danger: with dear classes spared, the others alone pay for the overload, for as
        long as it lasts: a class of little worth would not be served at all."""
        return self._entered[cls.name] + 1 <= self.FLOOR * part * self._asked[cls.name]

    def dear(self, cls: api.JobClass, mean: float) -> bool:
        """Whether a class of that mean service time, ns, is worth more for its work than the mean of all
        jobs; with no job counted yet, none is."""
        return self._of(cls, mean) * self._work > self._worth * mean


class Guesses:
    """How often a warm worker that was believed to have room had it, the last sends counting most."""

    WEIGHT = 0.1  # of one send

    def __init__(self) -> None:
        self.right = 1.0  # part of the sends that started at once

    def note(self, attempt: Attempt, right: bool) -> None:
        """Counts an attempt once, at the first sign of whether its worker had room."""
        if attempt.guessed:
            attempt.guessed = False
            self.right += self.WEIGHT * (right - self.right)

    def mostly_wrong(self) -> bool:
        return self.right < 0.5


class HeldJobs:
    """Jobs that wait, in one queue for each kind of worker they need, by latest start."""

    def __init__(self) -> None:
        self.slots = 0.0
        self.queues: dict[str | None, list[tuple[int, int, Job]]] = {}
        self._count = 0

    def add(self, job: Job, start_by: int) -> None:
        job.held = True
        self.slots += job.slots
        self._count += 1
        heappush(self.queues.setdefault(job.cls.worker_kind, []), (start_by, self._count, job))

    def put_back(self, queue: list[tuple[int, int, Job]], some: list[tuple[int, int, Job]]) -> None:
        for item in some:
            heappush(queue, item)

    def remove(self, job: Job) -> None:
        """Its entry in the queue is dropped when it comes up."""
        if job.held:
            job.held = False
            self.slots -= job.slots

    def first_start(self, default: int) -> int:
        return min([default, *(queue[0][0] for queue in self.queues.values() if queue)])


class KeyShares:
    """Which part of the jobs each key has, the recent ones counting more."""

    def __init__(self, own: float, most: int = 20_000) -> None:
        """``own``: the dispatcher's place on the ring, from 0 to below 1."""
        self._own = own
        self._jobs: dict[int, int] = {}
        self._all = 0
        self._most = most

    def point(self, key: int | None) -> float:
        """Counts a job; where on the ring first fit starts for its key. Danger: from one common start all
        dispatchers pile onto the same worker; and what a key needs is kept by few workers if all its jobs
        start together."""
        if key is None:
            return self._own
        arc = self.count(key)  # a busy key has more than one worker's part of the ring
        return (zlib.crc32(str(key).encode()) / (1 << 32) + arc * self._own) % 1.0

    def count(self, key: int) -> float:
        """Counts a job and tells the key's share."""
        if self._all >= self._most:
            self._jobs = {key: jobs // 2 for key, jobs in self._jobs.items() if jobs > 1}
            self._all = sum(self._jobs.values())
        self._jobs[key] = self._jobs.get(key, 0) + 1
        self._all += 1
        return self._jobs[key] / self._all


class Agenda:
    """Things to do at a time, in order of time."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, due: int, what: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._heap, (due, self._count, what, args))

    def first(self, default: int) -> int:
        return min(default, self._heap[0][0]) if self._heap else default

    def run(self, now: int) -> None:
        while self._heap and self._heap[0][0] <= now:
            _, _, what, args = heappop(self._heap)
            what(*args)


class Ring:
    """The workers in order of id. A set of workers is a number whose bit i stands for workers[i]."""

    def __init__(self, cold_time: int) -> None:
        self.starts = StartTimes(cold_time)
        self.workers: list[Worker] = []
        self.open = 0  # takes new jobs, as far as is known
        self.cold = 0
        self.trials = 0  # set aside, on trial
        self.reported = 0  # with a report
        self.ready = 0  # up and not set aside
        self.unreached: Counter[str] = Counter()  # failed connections to a zone since it last answered
        self._groups: dict[tuple[str, object], int] = {}
        self._full: dict[str, float] = {}  # the largest weight ever listed, for each kind
        self._mean_full = 0.0  # the mean of that over the workers that are up

    def full_weight(self, entry: api.WorkerEntry) -> float:
        """The weight of an idle worker of the entry's kind, as far as one was ever listed."""
        # danger: one nonsensical weight would make the mean of all nonsense
        self._full[entry.kind] = full = max(_sane(entry.weight) or 0.0, self._full.get(entry.kind, 0.0))
        return full

    def strength(self, entry: api.WorkerEntry) -> float:
        """What an idle worker of the entry's kind weighs, as a part of the mean of all that are ready; 1
        where nothing is known. Danger: of kinds that differ fourfold, one size for all is too much for the
        weak and leaves the strong idle."""
        full = self._full.get(entry.kind, 0.0)
        return full / self._mean_full if full and self._mean_full else 1.0

    def size_when_warm(self, worker: Worker, usual_size: float, live: bool) -> float:
        """The slots, of mean speed, that a cold worker will have; ``live``: weights tell of load, too."""
        if not usual_size:  # danger: right after a list nothing is usual, and all kinds would count alike
            sizes = [other.size for other in self.workers if other.size]
            usual_size = sum(sizes) / max(1, len(sizes))
        size = usual_size * self.strength(worker.entry)
        if worker.size and not live:  # danger: its slots tell nothing of a slow worker's speed
            size = min(worker.size, size)
        return size or worker.size or 1.0

    def sort(self, workers: dict[str, Worker]) -> None:
        self.workers = [workers[name] for name in sorted(workers)]
        self.open = self.cold = self.trials = self.reported = self.ready = 0
        self._groups = {}
        fulls = [
            self._full.get(w.entry.kind, 0.0) for w in self.workers if w.entry.state is api.WorkerState.UP
        ]
        self._mean_full = sum(fulls) / len(fulls) if fulls else 0.0
        for place, worker in enumerate(self.workers):
            worker.place = place
            worker.best_weight = max(worker.best_weight, worker.entry.weight)
            entry = worker.entry
            for name in (("kind", entry.kind), ("zone", entry.zone), ("cell", entry.cell)):
                self._groups[name] = self._groups.get(name, 0) | 1 << place

    def mark(self, worker: Worker, takes: bool, cold: bool) -> None:
        """Notes whether a worker takes new jobs, and whether it is ready and cold."""
        ready = worker.entry.state is api.WorkerState.UP and not worker.aside
        bit = 1 << worker.place
        self.open = self.open | bit if takes else self.open & ~bit
        self.trials = self.trials | bit if worker.trial else self.trials & ~bit
        self.reported = self.reported | bit if worker.told_at else self.reported & ~bit
        self.ready = self.ready | bit if ready else self.ready & ~bit
        self.cold = self.cold | bit if cold else self.cold & ~bit

    def cut_off(self, after: int, own: str) -> int:
        """The workers of the other zones that so many connections in a row could not reach."""
        cut = 0
        for zone, failures in self.unreached.items():
            if failures >= after and zone != own:
                cut |= self.group("zone", zone)
        return cut

    def group(self, what: str, value: object) -> int:
        return self._groups.get((what, value), 0)

    def why_held(self, job: Job) -> api.Reason:
        """Why a job that was held to the last found no place, as far as the sets of workers tell."""
        if not self.open:
            return api.Reason.NO_WORKER
        kind = job.cls.worker_kind
        some = self.open & ~job.tried() & (-1 if kind is None else self.group("kind", kind))
        if not some:
            return api.Reason.TRIED_ALL
        return api.Reason.NO_ROOM if some & ~self.cold else api.Reason.COLD_ONLY

    def drops_repeats(self, worker: Worker, group: api.Group) -> int:
        """The workers that drop repeats of a keyed job together with that one; all of them: -1."""
        if group is api.Group.ALL:
            return -1
        entry = worker.entry
        return self.group("zone", entry.zone) if group is api.Group.ZONE else self.group("cell", entry.cell)

    def aside(self) -> frozenset[str]:
        """The ids of the workers that are set aside, on trial or not."""
        return frozenset(worker.id for worker in self.workers if worker.aside)

    def members(self, some: int) -> list[Worker]:
        """The workers of a set, in order: for whole sets, several times as fast as ``walk``."""
        return [
            worker for worker, bit in zip(self.workers, reversed(f"{some:b}"), strict=False) if bit == "1"
        ]

    def usual(self, own: float, dispatchers: int, told_after: int) -> tuple[float, float]:
        """The mean size of the ready workers that a size is known of, and the slots that others use on
        one: in a wide fleet what most of them told after that time, else a part of ``own`` running slots
        times the other dispatchers.

        Danger: guessed from the own jobs, a fleet of 188 looks three times as full to a dispatcher that
        sees three times the mean, which then turns a third of its jobs away. Of a few dispatchers the own
        jobs are a large sample, and newer than what was told. ``told_after``: ns, on the clock of
        ``Worker.told_at``."""
        ready = self.members(self.ready)
        sizes = [worker.size for worker in ready if worker.size]
        told = [worker.others for worker in ready if worker.told_at > max(0, told_after)]
        if dispatchers > FEW and 2 * len(told) > len(ready):
            others = sum(told) / len(told)
        else:
            others = own * (dispatchers - 1) / max(1, len(ready))
        return sum(sizes) / max(1, len(sizes)), others

    def spare(self, now: int, believed: int, usual: tuple[float, float]) -> float:
        """Believed free slots of the ready workers that take jobs: the sum of ``Worker.free`` where it is
        above 0, in one loop, since a large fleet is summed up several times a second."""
        total, (usual_size, usual_others) = 0.0, usual
        for worker in self.members(self.ready & self.open):
            size = worker.size or usual_size
            if size:
                age = now - worker.told_at if worker.told_at else believed
                trust = 1 - age / believed if age < believed else 0.0
                slots = size - worker.slots_out - trust * worker.others - (1 - trust) * usual_others
                if slots > 0:
                    total += slots
        return total

    def walk(self, some: int, start: int) -> Iterator[Worker]:
        """The workers of a set, in order from a starting point and round."""
        after = some >> start << start
        for part in (after, some ^ after):
            while part:
                bit = part & -part
                yield self.workers[bit.bit_length() - 1]
                part ^= bit


def _sane(value: float | None) -> float | None:
    """A worker may report nonsense: a negative or absurd figure or NaN counts as none."""
    return value if value is not None and 0 <= value < 1e6 else None
