"""The simulated clock (a plain heap) against simpy on one and the same model: an M/M/c queue.

python benchmarks/engine.py [--jobs 100000] [--servers 4]
"""

import argparse
import time

import simpy

from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.sim.clock import SimulatedClock

_LOAD = 0.8


def by_heap(jobs: int, servers: int) -> tuple[float, float]:
    """Mean wait and seconds of wall time."""
    clock, streams = SimulatedClock(0), Streams(1)
    arrivals, services = streams["arrivals"], streams["services"]
    queue: list[int] = []
    head = busy = done = waited = 0

    def start(arrived: int) -> None:
        nonlocal busy, waited
        busy += 1
        waited += clock.now() - arrived
        clock.call_at(clock.now() + int(services.exponential(1e9)), end)

    def end() -> None:
        nonlocal busy, done, head
        busy -= 1
        done += 1
        if head < len(queue):
            head += 1
            start(queue[head - 1])

    def arrive(left: int) -> None:
        if busy < servers:
            start(clock.now())
        else:
            queue.append(clock.now())
        if left:
            clock.call_at(clock.now() + int(arrivals.exponential(1e9 / (_LOAD * servers))), arrive, left - 1)

    begun = time.perf_counter()
    clock.call_at(0, arrive, jobs - 1)
    while done < jobs:
        clock.run(clock.now() + 10**12)
    return waited / jobs / 1e9, time.perf_counter() - begun


def by_simpy(jobs: int, servers: int) -> tuple[float, float]:
    """Mean wait and seconds of wall time."""
    environment, streams = simpy.Environment(), Streams(1)
    arrivals, services = streams["arrivals"], streams["services"]
    desks = simpy.Resource(environment, capacity=servers)
    waited = 0.0

    def job():  # type: ignore[no-untyped-def]
        nonlocal waited
        arrived = environment.now
        with desks.request() as desk:
            yield desk
            waited += environment.now - arrived
            yield environment.timeout(services.exponential(1.0))

    def source():  # type: ignore[no-untyped-def]
        for _ in range(jobs):
            environment.process(job())
            yield environment.timeout(arrivals.exponential(1 / (_LOAD * servers)))

    begun = time.perf_counter()
    environment.process(source())
    environment.run()
    return waited / jobs, time.perf_counter() - begun


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--servers", type=int, default=4)
    given = parser.parse_args()
    for name, run in (("heap", by_heap), ("simpy", by_simpy)):
        wait, wall = run(given.jobs, given.servers)
        print(f"{name:6} {given.jobs / wall:10.0f} jobs/s  mean wait {wait:.4f} service times")


if __name__ == "__main__":
    main()
