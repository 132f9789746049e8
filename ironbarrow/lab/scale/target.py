"""The expected size of the fleet, and the fractions of it that scale runs use."""

import math
from dataclasses import dataclass
from fractions import Fraction

# Expected size
WORKERS = 830
ACCELERATORS = 2_000
DISPATCHERS = 230  # assumed: the size of the largest runs
TEAMS = 290
RUNNING_TASKS = 3_800
STARTS_PER_SECOND = 70.0  # at the peak
ORDINARY_FAILURES = 8  # machines on an ordinary day
REPLACED_WORKERS = 250  # machines restarted or replaced in a day
RACK_WORKERS = 40  # assumed: workers that one rack holds

# Budgets of one dispatcher for control traffic and its processing
CPU_BUDGET_PERCENT = 3.2  # of one core
MEMORY_BUDGET_MB = 64.0
TRAFFIC_BUDGET_BYTES = 15_000.0  # per second

# Regions and zones, the same at every size
REGIONS = ("north", "south")
ZONES = ("north-1", "north-2", "north-3", "north-4", "south-1", "south-2", "south-3")

SIZES = {"1-8": Fraction(1, 8), "1-4": Fraction(1, 4), "1-2": Fraction(1, 2), "whole": Fraction(1)}


def zone_of(number: int) -> str:
    """The zone of the dispatcher or worker with that number."""
    return ZONES[number % len(ZONES)]


def region_of(zone: str) -> str:
    """The region of a zone."""
    return zone.partition("-")[0]


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet at a fraction of the expected size."""

    name: str
    workers: int
    dispatchers: int
    real: int  # dispatchers with a process of their own
    teams: int
    starts_per_second: float  # of jobs that are sent
    list_starts_per_second: float  # that the weight changes correspond to
    failures: int
    rack_workers: int
    replaced: int

    @property
    def hollow(self) -> int:
        """Number of dispatchers that share processes."""
        return self.dispatchers - self.real


def size_of(name: str, dispatchers: int = 0, real: int = 8) -> Size:
    """The fleet of one of ``SIZES``; raises KeyError for another name.

    ``dispatchers``: their number, in place of the size's own; each keeps its rate of jobs. That varies one
    dimension at a time.
    """
    part = SIZES[name]

    def scaled(whole: int) -> int:
        return math.ceil(whole * part)

    count = dispatchers or scaled(DISPATCHERS)
    return Size(
        f"{name}-{dispatchers}d" if dispatchers else name,
        workers=scaled(WORKERS),
        dispatchers=count,
        real=min(real, count - 1),
        teams=scaled(TEAMS),
        starts_per_second=STARTS_PER_SECOND * float(part) * count / scaled(DISPATCHERS),
        list_starts_per_second=STARTS_PER_SECOND * float(part),
        failures=scaled(ORDINARY_FAILURES),
        rack_workers=scaled(RACK_WORKERS),
        replaced=scaled(REPLACED_WORKERS),
    )
