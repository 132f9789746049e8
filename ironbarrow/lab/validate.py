"""Validates the model of a worker against closed forms: one worker, one class, no dispatcher."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

from ironbarrow.config.units import Duration, ms
from ironbarrow.lab import theory
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import ColdStart, Distribution, LoadReports, WorkerGroup
from ironbarrow.lab.model.store import Store, draw
from ironbarrow.lab.model.worker import Demand, Report, Worker, WorkerObserver
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import SECOND

_SERVICE = ms(100)
_WARM_UP = 0.1  # share of the first jobs that is not measured


@dataclass(frozen=True, slots=True)
class Case:
    """A queue with a known mean wait."""

    name: str
    servers: int
    load: float
    service: Literal["exp", "fixed"] = "exp"

    def expected(self) -> float:
        """The theoretical mean wait, s."""
        rate = self.load * self.servers / _SERVICE.seconds
        if self.service == "fixed":
            return theory.md1_wait(rate, _SERVICE.seconds)
        return theory.mmc_wait(rate, _SERVICE.seconds, self.servers)


_KINDS: list[tuple[str, int, Literal["exp", "fixed"]]] = [
    ("M/M/1", 1, "exp"),
    ("M/M/4", 4, "exp"),
    ("M/D/1", 1, "fixed"),
]
CASES = [
    Case(f"{name} at {load}", servers, load, service)
    for name, servers, service in _KINDS
    for load in (0.5, 0.8, 0.9)
]


@dataclass(frozen=True, slots=True)
class CaseResult:
    """The measured values of a case. Waits in s. By Little's law, ``number_waiting`` (the mean, as counted)
    equals ``rate_times_wait``."""

    case: Case
    jobs: int
    wait: float
    half_width: float
    number_waiting: float
    rate_times_wait: float

    @property
    def error(self) -> float:
        """The relative deviation of the measured wait from the expected one."""
        return self.wait / self.case.expected() - 1


class _StartRecorder(WorkerObserver):
    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self.at: dict[str, int] = {}

    def job_started(self, worker: str, job_id: str) -> None:
        self.at[job_id] = self._clock.now()


def run_case(case: Case, jobs: int, seed: int = 1) -> CaseResult:
    """Sends ``jobs`` jobs to one worker and measures their mean wait."""
    clock = SimulatedClock()
    streams = Streams(seed)
    observer = _StartRecorder(clock)
    group = WorkerGroup(
        name="p", count=1, cores=case.servers, slots=case.servers, queue=10**9, overfull_at=1e9, overfull=0
    )
    store = Store(clock, Distribution(mean=ms(1)), 1, streams["store"])
    reports = LoadReports(period=Duration(3600 * SECOND))
    worker = Worker(clock, "p", group, ColdStart(), reports, store, streams["p"], observer)
    service = Distribution(mean=_SERVICE, kind=case.service)
    gap = SECOND * _SERVICE.seconds / (case.load * case.servers)
    waits: list[float] = []
    number_integral = 0.0  # integral of the number of waiting jobs over time, ns
    last_at, number = clock.now(), 0
    first, arrivals = int(jobs * _WARM_UP), iter(_arrival_times(streams, gap, jobs, clock.now()))
    measured_from = 0

    def change_number(change: int) -> None:
        nonlocal number_integral, last_at, number
        number_integral += number * (clock.now() - last_at)
        last_at, number = clock.now(), number + change

    def arrive(index: int) -> None:
        nonlocal number_integral, measured_from
        if index == first:
            change_number(0)
            number_integral, measured_from = 0.0, clock.now()
        arrived = clock.now()
        change_number(1)

        def listener(state: str, report: Report | None) -> None:
            if state == "started":
                change_number(-1)
                if index >= first:
                    waits.append((clock.now() - arrived) / SECOND)

        worker.arrive(str(index), Demand(draw(service, streams["work"]), 1.0, None, _SERVICE), listener)
        schedule(index + 1)

    def schedule(index: int) -> None:
        due = next(arrivals, None)
        if due is not None:
            clock.call_at(due, arrive, index)

    schedule(0)
    while len(waits) < jobs - first:
        clock.run(clock.now() + 1000 * SECOND)
    change_number(0)
    size = max(1, len(waits) // 30)
    batches = [sum(waits[i : i + size]) / size for i in range(0, size * 30, size)]
    mean = sum(waits) / len(waits)
    return CaseResult(
        case,
        jobs,
        mean,
        theory.half_width(batches),
        number_integral / (last_at - measured_from),
        len(waits) / ((last_at - measured_from) / SECOND) * mean,
    )


def _arrival_times(streams: Streams, gap: float, jobs: int, start: int) -> Iterator[int]:
    at = float(start)
    for _ in range(jobs):
        at += streams["arrivals"].exponential(gap)
        yield int(at)
