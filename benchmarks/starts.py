"""Starts of live runs side by side: how many of them came up, and how long that took.

    python benchmarks/starts.py [--runs 100] [--at-once 10] [--json]

Runs that start at once are in processes of their own; each has two dispatchers with routes and a fleet file.
One that does not come up is printed with the last lines of its dispatchers' logs; the exit status is then 1.
"""

import argparse
import json
import multiprocessing
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec

from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.spec import World, convert

WORLD = """
name = "starts"
duration = "1 s"
arrivals = { rate = 1.0 }
network = { zones = ["north", "south"] }
[dispatchers]
count = 2
routes = '''
version = 1
[[routes]]
name = "all"
when = 'method == "POST"'
class = "map"
'''
[dispatchers.fleet.ledgers]
wait = "2 s"
[[classes]]
name = "map"
share = 1.0
work = { mean = "50 ms", kind = "fixed" }
wanted = "2 s"
deadline = "3 s"
[[workers]]
name = "p"
count = 2
cores = 4
slots = 4
"""


@dataclass(frozen=True)
class Start:
    """How one run came up."""

    failure: str  # empty if it did
    ready_after_s: list[float]  # of each dispatcher that became ready


def start_once(number: int) -> Start:
    """Starts a run and ends it again, in a process of the pool."""
    with tempfile.TemporaryDirectory(prefix="starts-") as folder:
        run = LiveRun(convert(msgspec.toml.decode(WORLD), World, "starts"), number, Path(folder))
        failure = ""
        try:
            run.start()
        except LiveError as error:
            failure = str(error)
        finally:
            run.close()
        return Start(failure, [ns / 1e9 for instance in run.instances for ns in instance.startup_times])


def start_all(runs: int, at_once: int) -> Iterator[Start]:
    """Starts so many runs, a few at a time, each as it ends."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once, mp_context=context) as pool:
        for future in as_completed([pool.submit(start_once, number) for number in range(runs)]):
            yield future.result()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--at-once", type=int, default=10)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    begun = time.monotonic()
    starts = []
    for start in start_all(asked.runs, asked.at_once):
        starts.append(start)
        if start.failure:
            print(start.failure, file=sys.stderr, flush=True)
    failed = sum(bool(start.failure) for start in starts)
    times = sorted(seconds for start in starts for seconds in start.ready_after_s)
    took = time.monotonic() - begun
    if asked.json:
        print(json.dumps({"took_s": took, "starts": [asdict(start) for start in starts]}))
    else:
        p50, longest = (times[len(times) // 2], times[-1]) if times else (0.0, 0.0)
        print(f"{len(starts)} runs, {asked.at_once} at once, in {took:.0f} s: {failed} did not come up")
        print(f"start to ready of {len(times)} dispatchers: p50 {p50:.2f} s, longest {longest:.2f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
