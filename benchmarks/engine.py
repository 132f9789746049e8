"""Speed of the simulated clock (a binary heap) compared with simpy, on the same model: an M/M/c queue.

python benchmarks/engine.py [--jobs 100000] [--servers 4]
"""

import argparse
import time

import simpy

from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.sim.clock import SimulatedClock

_LOAD = 0.8


def simulate_with_heap(jobs: int, servers: int) -> tuple[float, float]:
    """Returns the mean wait in seconds of simulated time, and the wall time in seconds."""
    clock, streams = SimulatedClock(0), Streams(1)
    arrivals, services = streams["arrivals"], streams["services"]
    queue: list[int] = []
    head = busy = done = waited = 0

    def start(arrived_at: int) -> None:
        nonlocal busy, waited
        busy += 1
        waited += clock.now() - arrived_at
        clock.call_at(clock.now() + int(services.exponential(1e9)), end)

    def end() -> None:
        nonlocal busy, done, head
        busy -= 1
        done += 1
        if head < len(queue):
            head += 1
            start(queue[head - 1])

    def arrive(remaining: int) -> None:
        if busy < servers:
            start(clock.now())
        else:
            queue.append(clock.now())
        if remaining:
            clock.call_at(
                clock.now() + int(arrivals.exponential(1e9 / (_LOAD * servers))), arrive, remaining - 1
            )

    started = time.perf_counter()
    clock.call_at(0, arrive, jobs - 1)
    while done < jobs:
        clock.run(clock.now() + 10**12)
    return waited / jobs / 1e9, time.perf_counter() - started


def simulate_with_simpy(jobs: int, servers: int) -> tuple[float, float]:
    """Returns the mean wait in seconds of simulated time, and the wall time in seconds."""
    environment, streams = simpy.Environment(), Streams(1)
    arrivals, services = streams["arrivals"], streams["services"]
    resource = simpy.Resource(environment, capacity=servers)
    waited = 0.0

    def job():  # type: ignore[no-untyped-def]
        nonlocal waited
        arrived_at = environment.now
        with resource.request() as slot_request:
            yield slot_request
            waited += environment.now - arrived_at
            yield environment.timeout(services.exponential(1.0))

    def source():  # type: ignore[no-untyped-def]
        for _ in range(jobs):
            environment.process(job())
            yield environment.timeout(arrivals.exponential(1 / (_LOAD * servers)))

    started = time.perf_counter()
    environment.process(source())
    environment.run()
    return waited / jobs, time.perf_counter() - started


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--servers", type=int, default=4)
    options = parser.parse_args()
    for name, run in (("heap", simulate_with_heap), ("simpy", simulate_with_simpy)):
        wait, wall = run(options.jobs, options.servers)
        print(f"{name:6} {options.jobs / wall:10.0f} jobs/s  mean wait {wait:.4f} service times")


if __name__ == "__main__":
    main()
