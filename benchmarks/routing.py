"""What routes cost: time of one request's admission, memory, and time to load, by number of routes.

    python benchmarks/routing.py [--routes 1 10 100 10000] [--requests 20000]

Requests are shaped like real ones: paths of three parts, a cookie, some headers. Each size has a process.
"""

import argparse
import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from heathway import api
from ironbarrow.routing.file import load_routes
from ironbarrow.routing.request import make_request
from ironbarrow.routing.router import Router, Ticket
from ironbarrow.routing.table import RoutingTable

_CLASSES = ("coverage-map", "fault-decode", "service-booking")


def file_of(routes: int) -> str:
    """A file with so many routes, a fifth of them with conditions that the index does not see."""
    lines = ["version = 1", "cost_limit = 1000000", "[limits.farm]"]
    lines.append('rate = { per_second = 1000000, burst = 1000000, by = "tenant" }')
    for n in range(routes):
        when = f'part(0) == "{_CLASSES[n % 3]}" and part(1) == "farm{n}"'
        if n % 5 == 0:
            when += ' and (header("x-kind") == "urgent" or matches(path, "[0-9]+$"))'
        lines += ["[[routes]]", f'name = "r{n}"', f"when = '{when}'", f'class = "{_CLASSES[n % 3]}"']
        lines += ['key = \'coalesce(cookie("sid"), header("x-session"))\'', "tenant = 'part(1)'"]
        lines += ['limits = ["farm"]']
    return "\n".join(lines)


def _resident() -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return float("nan")


def measure(routes: int, requests: int) -> dict[str, float]:
    """Figures of one size, in this process."""
    classes = tuple(api.JobClass(name, api.Effect.SAFE, 10**9, 10**10) for name in _CLASSES)
    settings = api.Settings(0, 1, "a", ("a",), classes, max_attempts=3, max_retry_after=2 * 10**9)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "routes.toml"
        path.write_text(file_of(routes))
        RoutingTable(load_routes(path), settings)  # the parser's own start is paid once
        before = _resident()
        begun = time.perf_counter()
        table = RoutingTable(load_routes(path), settings)
        loaded = time.perf_counter() - begun
        memory = _resident() - before
    router = Router(table)
    draw = random.Random(1)
    heads = []
    for n in range(requests):
        farm = draw.randrange(routes)
        headers = {
            "host": "b",
            "x-request-id": f"{n:x}",
            "cookie": f"theme=dark; sid={draw.randrange(999)}",
            "x-timeout-ms": "9000",
            "content-type": "application/octet-stream",
        }
        heads.append((f"/{_CLASSES[farm % 3]}/farm{farm}/{n}?v=2", headers))
    times, route_times, misses = [], [], 0
    for target, headers in heads:
        begun = time.perf_counter_ns()
        request = make_request("POST", target, headers, body_size=200, time_left=9 * 10**9)
        middle = time.perf_counter_ns()
        ticket = router.admit(request, middle)
        ends = time.perf_counter_ns()
        times.append(ends - begun)
        route_times.append(ends - middle)
        misses += not isinstance(ticket, Ticket)
    times.sort()
    route_times.sort()
    return {
        "routes": routes,
        "admit_p50_us": round(route_times[requests // 2] / 1e3, 2),
        "admit_p99_us": round(route_times[requests * 99 // 100] / 1e3, 2),
        "with_view_p50_us": round(times[requests // 2] / 1e3, 2),
        "with_view_p99_us": round(times[requests * 99 // 100] / 1e3, 2),
        "load_s": round(loaded, 3),
        "memory_mb": round(memory, 1),
        "worst_cost": table.worst_cost,
        "misses": misses,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routes", type=int, nargs="+", default=[1, 10, 100, 10_000])
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--here", action="store_true", help="in this process")
    given = parser.parse_args()
    for routes in given.routes:
        if given.here:
            print(json.dumps(measure(routes, given.requests)), flush=True)
        else:
            command = [sys.executable, __file__, "--here", "--routes", str(routes)]
            subprocess.run([*command, "--requests", str(given.requests)], check=True)


if __name__ == "__main__":
    main()
