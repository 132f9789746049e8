"""Starts many dispatchers at one moment: wall time to the line "serving" and CPU time of each.

    python benchmarks/start_together.py [--processes 90] [--busy 6]

``--busy``: processes that use a core each beside them.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_CONFIG = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": {
        "me": 0,
        "replicasOfMe": 1,
        "zone": "a",
        "zones": ["a"],
        "round": 4_000_000,
        "requestClasses": [
            {"name": "map", "effect": "pure", "promise": 1_000_000_000, "giveUp": 3_000_000_000}
        ],
    },
    "limits": {"sockets": 200, "memory_mb": 80},
}


def start(folder: Path) -> "subprocess.Popen[bytes]":
    """Starts one dispatcher."""
    config = folder / "config.json"
    config.write_text(json.dumps(_CONFIG))
    return subprocess.Popen(
        [sys.executable, "-m", "ironbarrow", "serve"],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(config), "BALANCER_NAME": "d"},
        stderr=subprocess.PIPE,
    )


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def wait_until_serving(process: "subprocess.Popen[bytes]") -> None:
    """Reads the log up to the line "serving"; raises a RuntimeError if it doesn't come."""
    assert process.stderr is not None
    for line in process.stderr:
        if b'"serving"' in line:
            return
    raise RuntimeError(f"a dispatcher ended with status {process.wait()}")


def main() -> int:
    """Starts all, prints the figures, and ends all."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--processes", type=int, default=90)
    parser.add_argument("--busy", type=int, default=6)
    chosen = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="start-together-"))
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(chosen.busy)]
    begin = time.monotonic()
    processes = [start(folder) for _ in range(chosen.processes)]
    wall, cpu = [], []
    try:
        for process in processes:
            wait_until_serving(process)
            # of those read later it may be too long, never too short
            wall.append(time.monotonic() - begin)
            cpu.append(cpu_s(process.pid))
    finally:
        for process in processes + busy:
            process.kill()
            process.wait()
    ninth_decile = sorted(wall)[int(0.9 * len(wall)) - 1]
    print(
        f"{len(wall)} starts beside {chosen.busy} busy processes: nine in ten serving after"
        f" {ninth_decile:.2f} s, all after {max(wall):.2f} s; CPU {statistics.median(cpu):.2f} s at the"
        f" median, {max(cpu):.2f} s at the most"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
