"""CPU time and resident memory by size: for benchmarks, never for tests, since both depend on the machine."""

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
from ironbarrow.lab.capacity.decisions import TASK, TURN, fleet_settings, whole_list
from ironbarrow.lab.capacity.ledgers import record
from ironbarrow.lab.capacity.lists import addresses_of, live_weight, worker_entries
from ironbarrow.lab.capacity.members import MemberFleet
from ironbarrow.lab.fleet.losses import LedgerFleet
from ironbarrow.lab.model.discovery import Entry, ListUpdate
from ironbarrow.lab.settings import list_object
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.runtime.loop import Loop

_LISTS = 12
_RUNS = 300 * MS  # a job
_TURNS = 200
_LOOK_WINDOWS = 6  # that are compared
_HELD = 9  # jobs that wait: one more than may be passed over in a turn
_PAGE = os.sysconf("SC_PAGE_SIZE")


class IdleInvoker:
    """Attempts that never end, for a host whose work is not looked at."""

    def start(self, attempt: object) -> None: ...

    def give_up(self, attempt: object, ending: object) -> None: ...

    def detach(self, attempt: object) -> None: ...

    def probe(self, worker: str) -> None: ...

    def close_idle(self, worker: str) -> None: ...


def _cpu_ms(what: Callable[[], object]) -> float:
    """CPU time of this process that a call takes, ms."""
    began = time.process_time()
    what()
    return 1000 * (time.process_time() - began)


def _lines(size: int, turns: int) -> list[bytes]:
    """A whole list and changes of all weights, as the discovery service sends them."""
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
    """The real client and host of one dispatcher, fed with the discovery service's bytes."""

    def __init__(self, dispatchers: int = 230) -> None:
        self._loop = Loop(self._failed)
        self.host = Host(self._loop, fleet_settings(dispatchers), 0)
        self.host.invoker = IdleInvoker()
        self._client = Client(self._loop, ("127.0.0.1", 9), self.host.update_workers)
        self._objects = _ObjectSplitter()

    @staticmethod
    def _failed(error: Exception) -> None:
        raise error

    def read(self, line: bytes) -> None:
        """Takes in one line."""
        for text in self._objects.feed(line):
            self._client._apply(self._client._source, json.loads(text))

    def close(self) -> None:
        """Lets go of its descriptors."""
        self._loop.close()


def list_cpu_ms(size: int) -> float:
    """CPU time to read a list in which all weights have changed, ms: the median of some."""
    reader, lines = ListReader(), _lines(size, _LISTS)
    reader.read(lines[0])
    took = [_cpu_ms(lambda line=line: reader.read(line)) for line in lines[1:]]  # type: ignore[misc]
    reader.close()
    return _middle(took)


@dataclass(frozen=True, slots=True)
class TurnCost:
    """A turn of the decisions at so many workers, ms of CPU, and looks at a worker in it."""

    workers: int
    placed_ms: float  # a job comes and there is room
    full_ms: float  # jobs wait and no worker has room
    full_looks: int


class CountingDispatcher(Dispatcher):
    """Counts how often a worker is looked at for a job."""

    looks = 0

    def _fits(self, worker: Worker, job: object, reserve: float) -> bool:
        self.looks += 1
        return super()._fits(worker, job, reserve)  # type: ignore[arg-type]


def _arrived(number: int) -> api.JobArrived:
    return api.JobArrived(number, TASK.name, f"team-{number % 290:03d}", number, 3600 * SECOND)


def turn_cost(size: int) -> TurnCost:
    """Turns with room, then turns in which all workers are full and jobs wait."""
    now = 1_700_000_000 * SECOND
    dispatcher = CountingDispatcher(fleet_settings(230), 0)
    dispatcher._service_time[TASK.name].mean = float(_RUNS)
    dispatcher.handle(now, [whole_list(size)])
    placed: list[float] = []
    for number in range(1, _TURNS + 1):
        now += TURN
        began = time.process_time()
        actions = dispatcher.handle(now, [_arrived(number)])
        placed.append(1000 * (time.process_time() - began))
        dispatcher.handle(now + MS, _ends(actions))
    for worker in dispatcher._workers.values():
        worker.size, worker.peer_slots, worker.load_observed_at = 2.4, 24.0, now
    # of sessions that are known: others would not be let in
    waiting = [replace(_arrived(n), job=_TURNS + n) for n in range(_TURNS - _HELD, _TURNS)]
    dispatcher.handle(now, waiting)
    full: list[float] = []
    looks = 0
    for _ in range(20):
        now += 5 * MS
        before, began = dispatcher.looks, time.process_time()
        dispatcher.handle(now, [])
        full.append(1000 * (time.process_time() - began))
        looks = dispatcher.looks - before
    return TurnCost(size, _middle(placed), _middle(full), looks)


def _ends(actions: list[api.Action]) -> list[api.Event]:
    """Good ends of all that was sent, and answers to all probes."""
    report, found = api.LoadReport(free_slots=2.4), list[api.Event]()
    for action in actions:
        if isinstance(action, api.Send):
            ok = api.Outcome.OK
            found.append(api.AttemptEnded(action.job, 0, action.worker, ok, True, _RUNS, report))
        elif isinstance(action, api.Probe):
            found.append(api.ProbeEnded(action.worker, api.Outcome.OK, MS, report))
    return found


def _middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def member_cpu_ms(size: int, seconds: int = 10) -> float:
    """CPU time of a member and second, calm, ms: machine, codec and the simulated network."""
    fleet = MemberFleet(size)
    fleet.meet(20)
    return _cpu_ms(lambda: fleet.run(seconds)) / size / seconds


def start_cpu_ms(jobs: int = 200) -> float:
    """CPU time of one job at its writer and three replicas, ms: machines, codec and the simulated network."""
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
    return pages * _PAGE // 1024


def workers_resident_kb(size: int) -> int:
    """How much a dispatcher's resident memory grows by a list of so many workers and some changes, KiB."""
    reader, lines = ListReader(), _lines(size, 3)
    before = resident_kb()
    for line in lines:
        reader.read(line)
    found = resident_kb() - before
    reader.close()
    return found


def members_resident_kb(size: int) -> float:
    """Resident memory of one member's machine in a fleet of that size, KiB: of all, divided."""
    before = resident_kb()
    fleet = MemberFleet(size)
    fleet.meet(5)
    return (resident_kb() - before) / size


def replicas_resident_kb(rows: int) -> float:
    """Resident memory of one replica of a ledger with so many running jobs, KiB: of three and the writer,
    divided."""
    fleet = LedgerFleet(9)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)
    before = resident_kb()
    for number in range(rows):
        fleet.append("m0", ledger, [put(record(number, Stage.INTENT))])
        fleet.net.run(2 * MS)
    return (resident_kb() - before) / 4


@dataclass(frozen=True, slots=True)
class LookCost:
    """The end of a window and the look at it, ms of CPU in one turn: the mean and the longest."""

    tenants: int
    mean_ms: float
    longest_ms: float


def look_cost(tenants: int, dispatchers: int = 4) -> LookCost:
    """Windows with 20 jobs of each tenant, so that every pair is judged."""
    rules = StarvationRules(tenants=max(64, tenants), table_bytes=1 << 20)
    fleet = waits.waits_fleet(dispatchers, tenants, 20, _LOOK_WINDOWS + 4, rules)
    fleet.net.run(_LOOK_WINDOWS * rules.window)
    machine = next(iter(fleet.machines.values()))
    took: list[float] = []
    for _ in range(6):  # windows' ends and looks in turn
        due = machine.next_at()
        fleet.clock.run(due - 1)
        took.append(_cpu_ms(lambda due=due: fleet.clock.run(due)))  # type: ignore[misc]
    return LookCost(tenants, sum(took) / len(took), max(took))
