"""Resource usage of processes from /proc, and the lateness of a load generator against its own schedule."""

import os
from dataclasses import dataclass
from pathlib import Path

from ironbarrow.lab.scale.messages import Lateness
from ironbarrow.runtime.loop import MS, Loop

LATE_MS = (
    100.0  # above this 99th percentile the generator is late, and its measurements are not the program's
)
_TICK_INTERVAL = 50 * MS
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time of a process since its start, and its resident memory."""

    cpu_s: float
    resident_mb: float


def usage(pid: int) -> Usage | None:
    """The usage of a process; None if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    cpu_ticks = int(fields[11]) + int(fields[12])  # user and system time
    return Usage(cpu_ticks / _CLOCK_TICKS, int(fields[21]) * _PAGE_BYTES / _MB)


def memory_total_mb() -> float:
    """The machine's memory; raises OSError if /proc/meminfo lacks it."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    raise OSError("/proc/meminfo has no MemTotal")


def percentile(values: list[float], fraction: float) -> float:
    """The percentile by nearest rank; 0 for no values. ``fraction``: from 0 to 1."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


class LatenessMeter:
    """Schedules a callback on a loop every 50 ms and records how late it runs."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._late_ms: list[float] = []
        self._due = loop.now() + _TICK_INTERVAL
        loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.now()
        self._late_ms.append((now - self._due) / MS)
        # skip ticks missed while the loop was blocked: run one after another they would seem hardly late
        self._due = max(self._due + _TICK_INTERVAL, now)
        self._loop.call_at(self._due, self._tick)

    def take(self) -> Lateness:
        """The lateness since the last call."""
        taken, self._late_ms = self._late_ms, []
        return Lateness(percentile(taken, 0.5), percentile(taken, 0.99), max(taken, default=0.0))
