"""The size that the fleet is expected to reach, and the parts of it at which a scale run is played."""

import math
from dataclasses import dataclass
from fractions import Fraction

# What is expected, in whole
WORKERS = 830
ACCELERATORS = 2_000
DISPATCHERS = 230  # assumed: as many as the largest trials of the program have had
TEAMS = 290
RUNNING_TASKS = 3_800
STARTS_PER_SECOND = 70.0  # at the peak
ORDINARY_FAILURES = 8  # machines on an ordinary day
REPLACED_WORKERS = 250  # machines restarted or replaced in a day
RACK_WORKERS = 40  # assumed: workers that one rack holds

# What one dispatcher may spend for control
CPU_BUDGET_PERCENT = 3.2  # of one core
MEMORY_BUDGET_MB = 64.0
TRAFFIC_BUDGET_BYTES = 15_000.0  # a second

# Where it runs: zones by region. They do not shrink with the size.
REGIONS = ("north", "south")
ZONES = ("north-1", "north-2", "north-3", "north-4", "south-1", "south-2", "south-3")

SIZES = {"1-8": Fraction(1, 8), "1-4": Fraction(1, 4), "1-2": Fraction(1, 2), "whole": Fraction(1)}


def zone_of(number: int) -> str:
    """The zone of the dispatcher or worker with that number."""
    return ZONES[number % len(ZONES)]


def region_of(zone: str) -> str:
    """The region in which a zone is."""
    return zone.partition("-")[0]


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet of a part of the expected size."""

    name: str
    workers: int
    dispatchers: int
    real: int  # of the dispatchers, those that are processes of their own
    teams: int
    starts_per_second: float  # that are sent
    list_starts_per_second: float  # that the weights in the list tell of
    failures: int
    rack_workers: int
    replaced: int

    @property
    def hollow(self) -> int:
        """Dispatchers that share processes."""
        return self.dispatchers - self.real


def size_of(name: str, dispatchers: int = 0, real: int = 8) -> Size:
    """The fleet of one of ``SIZES``; a KeyError for another name.

    ``dispatchers``: another number of them than that size has, each with its part of the jobs, so that one
    thing grows at a time.
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
