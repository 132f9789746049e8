"""Counts of one dispatcher's decisions: probes over a fleet, cold workers' budgets, and records held."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from typing import Any

from heathway import api, slow_start
from heathway.logic import Dispatcher
from ironbarrow.lab.capacity.counting import ZONES, zone_of
from ironbarrow.runtime.clock import MS, SECOND

TURN = 50 * MS  # between two turns of a dispatcher
_START = 1_700_000_000 * SECOND
_RUNS = 300 * MS  # a job, from its send to its end
_PROBE = 5 * MS
_SLOTS = 2.4  # of a worker: 2,000 accelerators on 830 workers
_LIST_EVERY = SECOND
_TIME_LEFT = 60 * SECOND
TASK = api.JobClass("task", api.Effect.UNSAFE, aim=1500 * MS, deadline=60 * SECOND)


def fleet_settings(dispatchers: int, me: int = 0, **changes: Any) -> api.Settings:
    """The settings of one dispatcher of a fleet at the target."""
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


def entry(number: int, turn: int = 0, started_at: int = 1) -> api.WorkerEntry:
    """A worker's line of the list, with a live weight."""
    weight = 4.0 / (1 + (number * 7 + turn * 3) % 5 / 4)
    return api.WorkerEntry(f"worker-{number:04d}", zone_of(number), None, "type-a", weight, started_at)


def whole_list(workers: int, turn: int = 0, started_at: int = 1) -> api.WorkerList:
    """A list of so many workers; all weights differ from one turn to the next."""
    entries = tuple(entry(number, turn, started_at) for number in range(workers))
    return api.WorkerList(api.ListKind.FULL if not turn else api.ListKind.CHANGES, entries, turn + 1)


@dataclass(frozen=True, slots=True)
class DecisionCount:
    """What a fleet of dispatchers decided over some seconds, and what one of them holds at the end."""

    dispatchers: int
    workers: int
    jobs: int
    sends: int
    probes: int
    records: "Records"


@dataclass(frozen=True, slots=True)
class Records:
    """Entries that one dispatcher's decisions hold."""

    workers: int
    jobs: int
    agenda: int  # things planned
    moves: int  # own sends and ends since the last report, over all workers
    sends: int  # to workers within a cold worker's window
    sessions: int

    @classmethod
    def of(cls, dispatcher: Dispatcher) -> "Records":
        """Counts them."""
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
    """Dispatchers in virtual time with workers that run every job they are sent."""

    def __init__(self, dispatchers: int, workers: int, *, reports: bool = True, lists: bool = True) -> None:
        self._workers, self._reports, self._lists = workers, reports, lists
        self.now = _START
        self.dispatchers = [Dispatcher(fleet_settings(dispatchers, me), me) for me in range(dispatchers)]
        self._due: list[tuple[int, int, int, api.Event]] = []
        self._count = 0
        self._jobs = 0
        self._out: dict[tuple[int, int], int] = {}
        self.sends = self.probes = self.lists_told = 0
        for me in range(dispatchers):
            self._handle(me, [whole_list(workers)])

    def run(self, seconds: float, jobs_each_s: float) -> None:
        """Lets time pass, with so many jobs a second at each dispatcher."""
        end, owed = self.now + int(seconds * SECOND), 0.0
        list_at = self.now + _LIST_EVERY
        while self.now < end:
            self.now += TURN
            owed += jobs_each_s * TURN / SECOND
            arrivals = int(owed)
            owed -= arrivals
            news: dict[int, list[api.Event]] = {me: [] for me in range(len(self.dispatchers))}
            while self._due and self._due[0][0] <= self.now:
                _, _, me, event = heappop(self._due)
                news[me].append(event)
            if self._lists and self.now >= list_at:
                list_at += _LIST_EVERY
                self.lists_told += 1
                for events in news.values():
                    events.append(whole_list(self._workers, self.lists_told))
            for me, events in news.items():
                for _ in range(arrivals):
                    self._jobs += 1
                    tenant = f"team-{self._jobs % 290:03d}"
                    events.append(api.JobArrived(self._jobs, TASK.name, tenant, self._jobs % 97, _TIME_LEFT))
                self._handle(me, events)

    def _later(self, delay: int, me: int, event: api.Event) -> None:
        self._count += 1
        heappush(self._due, (self.now + delay, self._count, me, event))

    def _handle(self, me: int, events: Iterable[api.Event]) -> None:
        actions = deque(self.dispatchers[me].handle(self.now, events))
        report = api.LoadReport(free_slots=_SLOTS) if self._reports else None
        for action in actions:
            if isinstance(action, api.Send):
                number = self._out[me, action.job] = self._out.get((me, action.job), -1) + 1
                self.sends += 1
                ended = api.AttemptEnded(
                    action.job, number, action.worker, api.Outcome.OK, True, _RUNS, report
                )
                self._later(_RUNS, me, ended)
            elif isinstance(action, api.Probe):
                self.probes += 1
                self._later(_PROBE, me, api.ProbeEnded(action.worker, api.Outcome.OK, _PROBE, report))

    @property
    def jobs(self) -> int:
        """Jobs that have come so far."""
        return self._jobs


def count_decisions(
    dispatchers: int,
    workers: int,
    jobs_each_s: float,
    *,
    seconds: float = 6,
    reports: bool = True,
    lists: bool = True,
) -> DecisionCount:
    """Counts one fleet."""
    fleet = DecisionFleet(dispatchers, workers, reports=reports, lists=lists)
    fleet.run(seconds, jobs_each_s)
    records = Records.of(fleet.dispatchers[0])
    return DecisionCount(dispatchers, workers, fleet.jobs, fleet.sends, fleet.probes, records)


@dataclass(frozen=True, slots=True)
class ColdShare:
    """How many dispatchers of a fleet may send one mean job to a worker that has just started."""

    dispatchers: int
    mean_s: float  # of a job
    with_a_part: float  # dispatchers, on the average over the workers
    records: int  # of work sent to a cold worker within its window, at most


def count_cold_share(dispatchers: int, mean_s: float, *, workers: int = 50) -> ColdShare:
    """Counts the parts of the budget of workers that start now."""
    mean, found = mean_s * SECOND, 0
    for me in range(dispatchers):
        settings = fleet_settings(dispatchers, me)
        for number in range(workers):
            part = slow_start.share_of(settings, entry(number, started_at=_START), 0, _SLOTS, [mean])
            found += part.allows([], mean)
    return ColdShare(dispatchers, mean_s, found / workers, 0)


def agenda_after_cold_lists(cold: int, lists: int) -> int:
    """Things that a dispatcher has planned once so many lists have told of so many cold workers."""
    dispatcher = Dispatcher(fleet_settings(8), 0)
    for turn in range(lists):
        dispatcher.handle(_START + turn * SECOND, [whole_list(cold, turn, _START)])
    return len(dispatcher._timers._heap)
