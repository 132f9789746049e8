"""The limit on what is sent to a cold worker. No decisions on jobs, no input or output.

Danger: a worker that is sent a multiple of what it can do while it is cold falls over, and all dispatchers
send at once without knowing of each other. The budget of each window is divided among them, in work and not
in jobs, so that whatever classes each of them sends, the sum is the budget's. Where an equal part would be
under one job, a hash of the worker's name and start gives the few that have larger ones, others at each
worker, and no two of the fleet have the same place.
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from heathway import api

DEVIATIONS = 3.0  # the budget holds the mean of the jobs that are allowed and so many deviations of their sum
SLOTS = (1, 2, 4, 8)  # parts are made for jobs of so many slots; others use what there is
STEPS = 16  # budgets and means are rounded to so many steps an octave: parts are worked out once for each


def capacity(rules: api.Settings, started_at: int, now: int) -> float:
    """The part of its capacity that a worker surely has by now: never more than evenly risen."""
    age = max(0, now - started_at)
    return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age / max(1, rules.cold_time))


def likely_capacity(rules: api.Settings, started_at: int, now: int) -> float:
    """The part of its capacity that a worker has by now on the average, if it rises evenly over a time of
    which only the longest is told, all up to that being as likely. For how long a job will take, not for
    what may be sent: by the surest figure, jobs that would be in time are kept from cold workers."""
    part = min(1.0, max(0, now - started_at) / max(1, rules.cold_time))
    start = rules.start_capacity
    return part + start * (1 - part) + (1 - start) * part * math.log(1 / part) if part else start


def jobs_within(budget: float, mean: float) -> int:
    """How many jobs of a class fit a budget, both in the same unit, with their chance: a job's deviation is
    taken to be its mean, as of exponential times, and that of a sum grows with the root of their number.

    Danger: each counted as a long one, many short jobs leave most of the budget unused, and cold workers
    idle beside full ones; counted as mean ones, a few long jobs pass it. One job needs four times its mean.
    """
    if budget <= 0 or mean <= 0:
        return 0
    root = (math.sqrt(DEVIATIONS**2 + 4 * budget / mean) - DEVIATIONS) / 2
    return int(root * root + 1e-9)


@dataclass(frozen=True, slots=True)
class Part:
    """What a dispatcher may send to a cold worker within a window."""

    work: float  # ns on one slot of a warm worker
    squares: float  # danger: many short jobs' work, sent as a few long ones, is passed far more often

    def holds(self, sent: Iterable[float], job: float) -> bool:
        """Whether another job of that work fits beside what was sent within the window, ns."""
        work, squares = job, job * job
        for one in sent:
            work += one
            squares += one * one
        return work <= self.work and squares <= self.squares


NOTHING = Part(0.0, 0.0)


def _places(budget: float, sizes: tuple[float, ...], dispatchers: int) -> list[tuple[int, Part]]:
    """The parts that hold as many jobs of each size as fit the budget if all are of that size: the largest
    parts first, each with the place after the last one that has it."""
    steps = []
    work = squares = 0.0
    for size in sizes:
        each, more = divmod(jobs_within(budget, size), dispatchers)
        work, squares = max(work, each * size), max(squares, each * size * size)
        steps.append((more, (each + 1) * size, (each + 1) * size * size))
    parts = [(dispatchers, Part(work, squares))]
    for until, more_work, more_squares in sorted(steps, reverse=True):
        if until:
            work, squares = max(work, more_work), max(squares, more_squares)
            parts.append((until, Part(work, squares)))
    return parts[::-1]


def _sum(parts: list[tuple[int, Part]]) -> float:
    total, begin = 0.0, 0
    for until, part in parts:
        total += (until - begin) * part.work
        begin = until
    return total


@lru_cache(maxsize=2048)
def _parts(budget_step: int, size_steps: tuple[int, ...], dispatchers: int) -> list[tuple[int, Part]]:
    """The parts of a budget. Danger: the places of long jobs and those of short ones overlap, so that each
    dispatcher, at the class that takes most, comes to several budgets together. So they are made as if of
    the largest budget, up to the true one, whose parts are together no more than the true one; as that
    grows, none shrinks."""
    budget = 2 ** (budget_step / STEPS)
    sizes = tuple(2 ** (step / STEPS) for step in size_steps)
    parts = _places(budget, sizes, dispatchers)
    if _sum(parts) <= budget:
        return parts
    low, high = 0.0, budget
    for _ in range(20):
        middle = (low + high) / 2
        if _sum(_places(middle, sizes, dispatchers)) <= budget:
            low = middle
        else:
            high = middle
    return _places(low, sizes, dispatchers)


@lru_cache(maxsize=256)
def _steps(means: tuple[float, ...]) -> tuple[int, ...]:
    return tuple(
        sorted({math.ceil(math.log2(max(1.0, mean * slots)) * STEPS) for mean in means for slots in SLOTS})
    )


@lru_cache(maxsize=2048)
def _turn(worker: str, started_at: int) -> int:
    return zlib.crc32(f"{worker} {started_at}".encode())


def part_of(
    rules: api.Settings, entry: api.WorkerEntry, age: int, size: float, means: Iterable[float]
) -> Part:
    """This dispatcher's part of the budget for a cold worker within any ``rules.fall_window``. The work of
    all parts of the fleet is at most the budget, in any mix of classes and slots.

    ``entry``: its line of the list; ``age``: ns since its start, at least; ``size``: its slots, of mean
    speed; ``means``: of the service times, ns, of the classes that it runs.
    """
    if rules.me >= rules.dispatchers:  # danger: the fleet is larger than told, its first ones have all of it
        return NOTHING
    budget = rules.fall_multiple * capacity(rules, 0, age) * rules.fall_window * size
    if not 1 <= budget < math.inf:
        return NOTHING
    budget_step = math.floor(math.log2(budget) * STEPS)
    place = (rules.me - _turn(entry.worker, entry.started_at)) % rules.dispatchers
    for until, part in _parts(budget_step, _steps(tuple(means)), rules.dispatchers):
        if place < until:
            return part
    return NOTHING
