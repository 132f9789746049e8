"""Counts of the dispatchers' decisions: probes of a fleet, budgets of cold workers, and records held."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from typing import Any

from heathway import api, slow_start
from heathway.logic import Dispatcher
from ironbarrow.lab.capacity.counting import ZONES, zone_of
from ironbarrow.runtime.clock import MS, SECOND

TURN = 50 * MS  # interval of a dispatcher's turns
_START_TIME = 1_700_000_000 * SECOND
_JOB_DURATION = 300 * MS  # from sending the attempt to its end
_PROBE_DURATION = 5 * MS
_WORKER_SLOTS = 2.4  # 2,000 accelerators on 830 workers
_LIST_PERIOD = SECOND
_TIME_LEFT = 60 * SECOND
TASK = api.JobClass("task", api.Effect.UNSAFE, aim=1500 * MS, deadline=60 * SECOND)


def fleet_settings(dispatchers: int, me: int = 0, **changes: Any) -> api.Settings:
    """The settings of dispatcher ``me`` in a fleet of the target's kind; ``changes`` override fields."""
    base = api.Settings(
        me=me,
        dispatchers=dispatchers,
        zone=zone_of(me),
        zones=ZONES,
        classes=(TASK,),
        tick=5 * MS,
        live_weights=True,
        report_fields=("x0",),
        may_probe=True,
        cold_time=20 * SECOND,
        start_capacity=0.15,
        fall_multiple=3.0,
        fall_window=SECOND,
    )
    return replace(base, **changes)


def worker_entry(number: int, turn: int = 0, started_at: int = 1) -> api.WorkerEntry:
    """An entry of the worker list with a live weight, which varies with ``turn``."""
    weight = 4.0 / (1 + (number * 7 + turn * 3) % 5 / 4)
    return api.WorkerEntry(f"worker-{number:04d}", zone_of(number), None, "type-a", weight, started_at)


def worker_list(workers: int, turn: int = 0, started_at: int = 1) -> api.WorkerList:
    """A full list of ``workers`` workers for turn 0; for later turns an update of all their weights."""
    entries = tuple(worker_entry(number, turn, started_at) for number in range(workers))
    return api.WorkerList(api.ListKind.FULL if not turn else api.ListKind.CHANGES, entries, turn + 1)


@dataclass(frozen=True, slots=True)
class DecisionCount:
    """Decisions of a fleet of dispatchers over some seconds, and the records that one of them holds at the
    end."""

    dispatchers: int
    workers: int
    jobs: int
    sends: int
    probes: int
    records: "RecordCounts"


@dataclass(frozen=True, slots=True)
class RecordCounts:
    """Numbers of records that the decisions of one dispatcher hold."""

    workers: int
    jobs: int
    agenda: int  # timers in the timer queue
    moves: int  # own sends and ends since the last load report, over all workers
    sends: int  # to cold workers within their slow-start window
    sessions: int

    @classmethod
    def of(cls, dispatcher: Dispatcher) -> "RecordCounts":
        """Counts the records of a dispatcher."""
        workers = dispatcher._workers.values()
        return cls(
            len(dispatcher._workers),
            len(dispatcher._jobs),
            len(dispatcher._timers._heap),
            sum(len(worker.load_changes) for worker in workers),
            sum(len(worker.sends) for worker in workers),
            len(dispatcher._sessions),
        )


class DecisionFleet:
    """Dispatchers in virtual time with workers that complete every job."""

    def __init__(self, dispatchers: int, workers: int, *, reports: bool = True, lists: bool = True) -> None:
        self._workers, self._reports, self._lists = workers, reports, lists
        self.now = _START_TIME
        self.dispatchers = [Dispatcher(fleet_settings(dispatchers, me), me) for me in range(dispatchers)]
        self._pending: list[tuple[int, int, int, api.Event]] = []
        self._count = 0
        self._jobs = 0
        self._attempt_numbers: dict[tuple[int, int], int] = {}
        self.sends = self.probes = self.lists_sent = 0
        for me in range(dispatchers):
            self._handle(me, [worker_list(workers)])

    def run(self, seconds: float, jobs_per_s: float) -> None:
        """Runs for ``seconds`` of virtual time with ``jobs_per_s`` arrivals at each dispatcher."""
        end, pending_arrivals = self.now + int(seconds * SECOND), 0.0
        list_at = self.now + _LIST_PERIOD
        while self.now < end:
            self.now += TURN
            pending_arrivals += jobs_per_s * TURN / SECOND
            arrivals = int(pending_arrivals)
            pending_arrivals -= arrivals
            events_by_dispatcher: dict[int, list[api.Event]] = {me: [] for me in range(len(self.dispatchers))}
            while self._pending and self._pending[0][0] <= self.now:
                _, _, me, event = heappop(self._pending)
                events_by_dispatcher[me].append(event)
            if self._lists and self.now >= list_at:
                list_at += _LIST_PERIOD
                self.lists_sent += 1
                for events in events_by_dispatcher.values():
                    events.append(worker_list(self._workers, self.lists_sent))
            for me, events in events_by_dispatcher.items():
                for _ in range(arrivals):
                    self._jobs += 1
                    tenant = f"team-{self._jobs % 290:03d}"
                    events.append(api.JobArrived(self._jobs, TASK.name, tenant, self._jobs % 97, _TIME_LEFT))
                self._handle(me, events)

    def _schedule(self, delay: int, me: int, event: api.Event) -> None:
        self._count += 1
        heappush(self._pending, (self.now + delay, self._count, me, event))

    def _handle(self, me: int, events: Iterable[api.Event]) -> None:
        actions = deque(self.dispatchers[me].handle(self.now, events))
        report = api.LoadReport(free_slots=_WORKER_SLOTS) if self._reports else None
        for action in actions:
            if isinstance(action, api.Send):
                number = self._attempt_numbers[me, action.job] = (
                    self._attempt_numbers.get((me, action.job), -1) + 1
                )
                self.sends += 1
                ended = api.AttemptEnded(
                    action.job, number, action.worker, api.Outcome.OK, True, _JOB_DURATION, report
                )
                self._schedule(_JOB_DURATION, me, ended)
            elif isinstance(action, api.Probe):
                self.probes += 1
                self._schedule(
                    _PROBE_DURATION,
                    me,
                    api.ProbeEnded(action.worker, api.Outcome.OK, _PROBE_DURATION, report),
                )

    @property
    def jobs(self) -> int:
        """Jobs that have arrived so far."""
        return self._jobs


def count_decisions(
    dispatchers: int,
    workers: int,
    jobs_per_s: float,
    *,
    seconds: float = 6,
    reports: bool = True,
    lists: bool = True,
) -> DecisionCount:
    """Runs one fleet and counts its decisions; ``jobs_per_s`` is the rate at each dispatcher."""
    fleet = DecisionFleet(dispatchers, workers, reports=reports, lists=lists)
    fleet.run(seconds, jobs_per_s)
    records = RecordCounts.of(fleet.dispatchers[0])
    return DecisionCount(dispatchers, workers, fleet.jobs, fleet.sends, fleet.probes, records)


@dataclass(frozen=True, slots=True)
class ColdShare:
    """How many dispatchers of a fleet may send one job of mean length to a worker that has just started."""

    dispatchers: int
    mean_s: float  # of a job
    with_a_part: float  # dispatchers, mean over the workers
    records: int  # always 0: nothing has been sent to the workers yet


def count_cold_share(dispatchers: int, mean_s: float, *, workers: int = 50) -> ColdShare:
    """Counts dispatchers whose share of a starting worker's budget allows one job of ``mean_s``."""
    mean, found = mean_s * SECOND, 0
    for me in range(dispatchers):
        settings = fleet_settings(dispatchers, me)
        for number in range(workers):
            part = slow_start.share_of(
                settings, worker_entry(number, started_at=_START_TIME), 0, _WORKER_SLOTS, [mean]
            )
            found += part.allows([], mean)
    return ColdShare(dispatchers, mean_s, found / workers, 0)


def timers_after_cold_lists(cold: int, lists: int) -> int:
    """The number of timers in a dispatcher's queue after ``lists`` worker lists with ``cold`` cold workers
    each."""
    dispatcher = Dispatcher(fleet_settings(8), 0)
    for turn in range(lists):
        dispatcher.handle(_START_TIME + turn * SECOND, [worker_list(cold, turn, _START_TIME)])
    return len(dispatcher._timers._heap)
