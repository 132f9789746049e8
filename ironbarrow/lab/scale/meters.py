"""What processes spend, as the system tells it, and how late a generator is against its own schedule."""

import os
from dataclasses import dataclass
from pathlib import Path

from ironbarrow.lab.scale.messages import Lateness
from ironbarrow.runtime.loop import MS, Loop

LATE_MS = 100.0  # a generator whose 99th percentile is over this is late: its figures are not the program's
_TICK = 50 * MS
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has spent since its start, and what it holds now."""

    cpu_s: float
    resident_mb: float


def usage(pid: int) -> Usage | None:
    """Of a process that runs; None if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    cpu_ticks = int(fields[11]) + int(fields[12])  # user and system time
    return Usage(cpu_ticks / _CLOCK_TICKS, int(fields[21]) * _PAGE / _MB)


def memory_total_mb() -> float:
    """The machine's memory."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    raise OSError("/proc/meminfo has no MemTotal")


def percentile(values: list[float], part: float) -> float:
    """By nearest rank; 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


class LatenessMeter:
    """Asks a loop to run something every 50 ms, and notes how much later it did."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._late_ms: list[float] = []
        self._due = loop.now() + _TICK
        loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.now()
        self._late_ms.append((now - self._due) / MS)
        # danger: ticks that were missed while the loop stood still would all follow at once, hardly late
        self._due = max(self._due + _TICK, now)
        self._loop.call_at(self._due, self._tick)

    def take(self) -> Lateness:
        """What was seen since the last call."""
        taken, self._late_ms = self._late_ms, []
        return Lateness(percentile(taken, 0.5), percentile(taken, 0.99), max(taken, default=0.0))
