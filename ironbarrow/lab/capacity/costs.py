"""Measures CPU time and resident memory by size: for benchmarks, not for tests, since both depend on the
machine."""

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from heathway import api
from heathway.logic import Dispatcher
from heathway.state import Worker
from ironbarrow.core.host import Host
from ironbarrow.discovery.client import DiscoveryClient as Client
from ironbarrow.discovery.client import _ObjectSplitter
from ironbarrow.fleet.api import job_ledger
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.records import Stage, put
from ironbarrow.lab.capacity import waits
from ironbarrow.lab.capacity.decisions import TASK, TURN, fleet_settings, worker_list
from ironbarrow.lab.capacity.ledgers import record
from ironbarrow.lab.capacity.lists import addresses_of, live_weight, worker_entries
from ironbarrow.lab.capacity.members import MemberFleet
from ironbarrow.lab.fleet.ledger_costs import LedgerFleet
from ironbarrow.lab.model.discovery import Entry, ListUpdate
from ironbarrow.lab.settings import list_object
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.runtime.loop import Loop

_LIST_COUNT = 12
_JOB_DURATION = 300 * MS
_TURN_COUNT = 200
_COMPARED_WINDOWS = 6
_WAITING_JOBS = 9  # one more than may be skipped in a turn
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class NullInvoker:
    """An invoker that does nothing, for a host whose attempts are not of interest."""

    def start(self, attempt: object) -> None: ...

    def give_up(self, attempt: object, ending: object) -> None: ...

    def detach(self, attempt: object) -> None: ...

    def probe(self, worker: str) -> None: ...

    def close_idle(self, worker: str) -> None: ...


def _cpu_ms(what: Callable[[], object]) -> float:
    """CPU time in ms that this process spends in a call."""
    began = time.process_time()
    what()
    return 1000 * (time.process_time() - began)


def _list_lines(size: int, turns: int) -> list[bytes]:
    """A full worker list, then updates of all weights, encoded as by the discovery service."""
    entries = worker_entries(size)
    addresses = addresses_of(entries)
    news = [ListUpdate(1, True, tuple(entries))]
    for turn in range(1, turns + 1):
        changed = tuple(
            Entry(e.name, e.zone, e.kind, live_weight(n, turn), since=e.since) for n, e in enumerate(entries)
        )
        news.append(ListUpdate(turn + 1, False, changed))
    return [json.dumps(list_object(one, addresses)).encode() + b"\n" for one in news]


class ListReader:
    """The discovery client and the host of one dispatcher, fed with encoded lists."""

    def __init__(self, dispatchers: int = 230) -> None:
        self._loop = Loop(self._failed)
        self.host = Host(self._loop, fleet_settings(dispatchers), 0)
        self.host.invoker = NullInvoker()
        self._client = Client(self._loop, ("127.0.0.1", 9), self.host.update_workers)
        self._objects = _ObjectSplitter()

    @staticmethod
    def _failed(error: Exception) -> None:
        raise error

    def read(self, line: bytes) -> None:
        """Decodes and applies one line."""
        for text in self._objects.feed(line):
            self._client._apply(self._client._source, json.loads(text))

    def close(self) -> None:
        """Closes the loop's descriptors."""
        self._loop.close()


def list_cpu_ms(size: int) -> float:
    """The median CPU time in ms of applying an update of all weights."""
    reader, lines = ListReader(), _list_lines(size, _LIST_COUNT)
    reader.read(lines[0])
    took = [_cpu_ms(lambda line=line: reader.read(line)) for line in lines[1:]]  # type: ignore[misc]
    reader.close()
    return _median(took)


@dataclass(frozen=True, slots=True)
class TurnCost:
    """The CPU time of a turn of the decisions with ``workers`` listed, and how often a worker is examined in
    it."""

    workers: int
    placed_ms: float  # a job arrives and a worker has a free slot
    full_ms: float  # jobs wait and all workers are full
    full_looks: int


class CountingDispatcher(Dispatcher):
    """Counts how often a worker is checked for whether a job fits."""

    fit_checks = 0

    def _fits(self, worker: Worker, job: object, reserve: float) -> bool:
        self.fit_checks += 1
        return super()._fits(worker, job, reserve)  # type: ignore[arg-type]


def _arrived(number: int) -> api.JobArrived:
    return api.JobArrived(number, TASK.name, f"team-{number % 290:03d}", number, 3600 * SECOND)


def turn_cost(size: int) -> TurnCost:
    """Measures turns with free slots, then turns in which all workers are full and jobs wait."""
    now = 1_700_000_000 * SECOND
    dispatcher = CountingDispatcher(fleet_settings(230), 0)
    dispatcher._service_time[TASK.name].mean = float(_JOB_DURATION)
    dispatcher.handle(now, [worker_list(size)])
    placed: list[float] = []
    for number in range(1, _TURN_COUNT + 1):
        now += TURN
        began = time.process_time()
        actions = dispatcher.handle(now, [_arrived(number)])
        placed.append(1000 * (time.process_time() - began))
        dispatcher.handle(now + MS, _ends(actions))
    for worker in dispatcher._workers.values():
        worker.size, worker.peer_slots, worker.load_observed_at = 2.4, 24.0, now
    # jobs of known sessions: new sessions are not admitted while all workers are full
    waiting = [
        replace(_arrived(n), job=_TURN_COUNT + n) for n in range(_TURN_COUNT - _WAITING_JOBS, _TURN_COUNT)
    ]
    dispatcher.handle(now, waiting)
    full: list[float] = []
    looks = 0
    for _ in range(20):
        now += 5 * MS
        before, began = dispatcher.fit_checks, time.process_time()
        dispatcher.handle(now, [])
        full.append(1000 * (time.process_time() - began))
        looks = dispatcher.fit_checks - before
    return TurnCost(size, _median(placed), _median(full), looks)


def _ends(actions: list[api.Action]) -> list[api.Event]:
    """Successful ends of all sent attempts, and answers to all probes."""
    report, found = api.LoadReport(free_slots=2.4), list[api.Event]()
    for action in actions:
        if isinstance(action, api.Send):
            ok = api.Outcome.OK
            found.append(api.AttemptEnded(action.job, 0, action.worker, ok, True, _JOB_DURATION, report))
        elif isinstance(action, api.Probe):
            found.append(api.ProbeEnded(action.worker, api.Outcome.OK, MS, report))
    return found


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def member_cpu_ms(size: int, seconds: int = 10) -> float:
    """CPU time in ms per member and second without failures: state machine, codec and simulated network."""
    fleet = MemberFleet(size)
    fleet.converge(20)
    return _cpu_ms(lambda: fleet.run(seconds)) / size / seconds


def start_cpu_ms(jobs: int = 200) -> float:
    """CPU time in ms per job of its writer and three replicas: state machines, codec and simulated
    network."""
    fleet = LedgerFleet(9)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)

    def run() -> None:
        for number in range(jobs):
            for stage in (Stage.TAKEN, Stage.INTENT):
                fleet.append("m0", ledger, [put(record(number, stage))])
                fleet.net.run(20 * MS)

    return _cpu_ms(run) / jobs


def resident_kb() -> int:
    """Resident memory of this process, KiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * _PAGE_BYTES // 1024


def workers_resident_kb(size: int) -> int:
    """The growth in KiB of a dispatcher's resident memory through a list of ``size`` workers and some
    updates."""
    reader, lines = ListReader(), _list_lines(size, 3)
    before = resident_kb()
    for line in lines:
        reader.read(line)
    found = resident_kb() - before
    reader.close()
    return found


def members_resident_kb(size: int) -> float:
    """Resident memory in KiB of one member's state machine: that of ``size`` members, divided by their
    number."""
    before = resident_kb()
    fleet = MemberFleet(size)
    fleet.converge(5)
    return (resident_kb() - before) / size


def replicas_resident_kb(rows: int) -> float:
    """Resident memory in KiB of one replica of a ledger with ``rows`` running jobs: that of the writer and
    three replicas, divided by four."""
    fleet = LedgerFleet(9)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)
    before = resident_kb()
    for number in range(rows):
        fleet.append("m0", ledger, [put(record(number, Stage.INTENT))])
        fleet.net.run(2 * MS)
    return (resident_kb() - before) / 4


@dataclass(frozen=True, slots=True)
class StarvationCheckCost:
    """CPU time in ms of a turn that closes a window of waits or checks it for starvation."""

    tenants: int
    mean_ms: float
    longest_ms: float


def starvation_check_cost(tenants: int, dispatchers: int = 4) -> StarvationCheckCost:
    """Measures windows with 20 jobs of each tenant, enough for a verdict on every pair of tenant and
    class."""
    rules = StarvationRules(tenants=max(64, tenants), table_bytes=1 << 20)
    fleet = waits.waits_fleet(dispatchers, tenants, 20, _COMPARED_WINDOWS + 4, rules)
    fleet.net.run(_COMPARED_WINDOWS * rules.window)
    machine = next(iter(fleet.machines.values()))
    took: list[float] = []
    for _ in range(6):  # closes and checks of windows alternate
        due = machine.next_at()
        fleet.clock.run(due - 1)
        took.append(_cpu_ms(lambda due=due: fleet.clock.run(due)))  # type: ignore[misc]
    return StarvationCheckCost(tenants, sum(took) / len(took), max(took))
