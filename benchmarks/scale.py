"""Cost of a simulated job by fleet size: jobs per second of wall time, and memory.

    python benchmarks/scale.py --workers 10 100 1000 5000 [--jobs 200000] [--dispatchers 100] [--json]

Each size runs in a separate process. Jobs of 200 ms on workers of five cores, at load 0.6.
"""

import argparse
import json
import resource
import subprocess
import sys

from ironbarrow.config.units import ms
from ironbarrow.lab.model.spec import (
    Arrivals,
    Dispatchers,
    Distribution,
    JobClass,
    Sessions,
    WorkerGroup,
    World,
)
from ironbarrow.lab.sim.run import Simulation


def build_world(workers: int, dispatchers: int, jobs: int) -> World:
    """A world with one group of workers, long enough for this number of jobs."""
    built = World(
        name="scale",
        duration=ms(1000),
        classes=[
            JobClass(
                name="map",
                share=3,
                work=Distribution(mean=ms(200)),
                wanted=ms(1000),
                deadline=ms(5000),
                stretch=2.0,
            ),
            JobClass(
                name="booking",
                share=1,
                work=Distribution(mean=ms(200)),
                wanted=ms(1000),
                deadline=ms(5000),
                effect="unsafe",
            ),
        ],
        workers=[WorkerGroup(name="p", count=workers)],
        arrivals=Arrivals(load=0.6),
        dispatchers=Dispatchers(count=min(dispatchers, workers), probes=False),
        sessions=Sessions(count=20 * workers),
    )
    seconds = jobs / built.rate()
    return World(
        **{name: getattr(built, name) for name in built.__struct_fields__ if name != "duration"},
        duration=ms(1000 * seconds),
    )


def measure(workers: int, dispatchers: int, jobs: int) -> dict[str, object]:
    """Measures one size in this process."""
    result = Simulation(build_world(workers, dispatchers, jobs), 1).run()
    job_count = len(result.rows["due"])
    return {
        "workers": workers,
        "dispatchers": min(dispatchers, workers),
        "jobs": job_count,
        "wall_s": round(result.wall_s, 2),
        "jobs_per_s": round(job_count / result.wall_s),
        "us_per_job": round(1e6 * result.wall_s / job_count, 1),
        "events": result.events,
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        "service": round(result.summary()["all"]["service"], 4),
        "breaches": dict(result.verdicts.breaches),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--workers", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--dispatchers", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=20_000)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plot", help="PNG file to write: cost by number of workers")
    parser.add_argument("--here", action="store_true", help="in this process: for a profiler")
    options = parser.parse_args()
    points = []
    for workers in options.workers:
        if options.here:
            result_row = measure(workers, options.dispatchers, options.jobs)
        else:
            command = [sys.executable, __file__, "--here", "--json", "--workers", str(workers)]
            command += ["--dispatchers", str(options.dispatchers), "--jobs", str(options.jobs)]
            done = subprocess.run(command, check=True, capture_output=True, text=True)
            result_row = json.loads(done.stdout.splitlines()[-1])
        points.append((workers, result_row["us_per_job"]))
        if options.json:
            print(json.dumps(result_row), flush=True)
        else:
            print(", ".join(f"{name} {value}" for name, value in result_row.items()), flush=True)

    if options.plot:
        import matplotlib

        matplotlib.use("Agg")
        import matplotlib.pyplot as plt

        figure, axes = plt.subplots(figsize=(6, 3.6))
        axes.plot(*zip(*points, strict=True), marker="o")
        axes.set(xscale="log", xlabel="workers", ylabel="us of wall time per simulated job")
        axes.grid(alpha=0.3)
        figure.savefig(options.plot, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
