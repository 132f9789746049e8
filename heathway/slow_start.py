"""Slow start: limits the work that is sent to a cold worker. No decisions on jobs, no input or output.

A cold worker that is sent a multiple of its present capacity falls over, and the dispatchers of a fleet send
without knowing of each other. So the budget of each window is divided among them. It is counted in work and
not in jobs, so that the sum stays within the budget whatever classes each dispatcher sends. Where an equal
share would be less than one job, some dispatchers get larger shares and the others smaller ones. A hash of
the worker's name and start time rotates the ranks, so that these are other dispatchers at each worker; no two
dispatchers have the same rank.
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from heathway import api

DEVIATIONS = 3.0  # standard deviations of the jobs' total work that the budget covers above its mean
JOB_SLOTS = (1, 2, 4, 8)  # shares are sized for jobs of these slots; other jobs use what there is
STEPS_PER_OCTAVE = 16  # budgets and job sizes are rounded to these steps, so that few shares are computed


def guaranteed_capacity(settings: api.Settings, started_at: int, now: int) -> float:
    """The least part of its capacity that a worker has at ``now``: it rises linearly over the cold time."""
    age = max(0, now - started_at)
    return min(
        1.0, settings.start_capacity + (1 - settings.start_capacity) * age / max(1, settings.cold_time)
    )


def expected_capacity(settings: api.Settings, started_at: int, now: int) -> float:
    """The part of its full capacity that a worker has at ``now`` on average.

    The capacity rises linearly over a time of which only the maximum, the cold time, is known; all times up
    to it are taken to be equally likely. This estimates how long a job takes, not how much may be sent: by
    the guaranteed capacity, jobs that would be in time would be kept from cold workers.
    """
    part = min(1.0, max(0, now - started_at) / max(1, settings.cold_time))
    start = settings.start_capacity
    return part + start * (1 - part) + (1 - start) * part * math.log(1 / part) if part else start


def jobs_within(budget: float, mean: float) -> int:
    """How many jobs of mean size ``mean`` fit the budget, both in the same unit, with a margin for chance.

    Sizes are taken as exponential: the standard deviation of one job is its mean, and that of a sum grows
    with the square root of the number of jobs. If each job counted as a long one, many short jobs would leave
    most of the budget unused, and cold workers idle while others are full. If each counted as a mean one, a
    few long jobs would exceed it. A single job needs a budget of four times its mean.
    """
    if budget <= 0 or mean <= 0:
        return 0
    root = (math.sqrt(DEVIATIONS**2 + 4 * budget / mean) - DEVIATIONS) / 2
    return int(root * root + 1e-9)


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """What one dispatcher may send to a cold worker within a window."""

    work: float  # ns on one slot of a warm worker
    squares: float  # sum of squared work: a few long jobs vary more than many short ones of the same work

    def allows(self, sent: Iterable[float], job: float) -> bool:
        """Whether a job of that work (ns) fits in addition to the jobs sent within the window."""
        work, squares = job, job * job
        for one in sent:
            work += one
            squares += one * one
        return work <= self.work and squares <= self.squares


NO_SHARE = BudgetShare(0.0, 0.0)


def _divide(budget: float, sizes: tuple[float, ...], dispatchers: int) -> list[tuple[int, BudgetShare]]:
    """Shares that hold, for each job size, as many jobs as fit the budget if all jobs have that size.

    The largest shares come first, each with the first rank that no longer has it.
    """
    steps = []
    work = squares = 0.0
    for size in sizes:
        each, more = divmod(jobs_within(budget, size), dispatchers)
        work, squares = max(work, each * size), max(squares, each * size * size)
        steps.append((more, (each + 1) * size, (each + 1) * size * size))
    shares = [(dispatchers, BudgetShare(work, squares))]
    for until, more_work, more_squares in sorted(steps, reverse=True):
        if until:
            work, squares = max(work, more_work), max(squares, more_squares)
            shares.append((until, BudgetShare(work, squares)))
    return shares[::-1]


def _total_work(shares: list[tuple[int, BudgetShare]]) -> float:
    total, begin = 0.0, 0
    for until, share in shares:
        total += (until - begin) * share.work
        begin = until
    return total


@lru_cache(maxsize=2048)
def _shares(budget_step: int, size_steps: tuple[int, ...], dispatchers: int) -> list[tuple[int, BudgetShare]]:
    """The shares of a budget, which together are at most the budget.

    The ranks that may send long jobs and those that may send short ones overlap. If each dispatcher sent the
    class of which it may send most work, the fleet would send several budgets. So the shares are made of the
    largest reduced budget whose shares add up to no more than the true one. With a larger budget no share
    gets smaller.
    """
    budget = 2 ** (budget_step / STEPS_PER_OCTAVE)
    sizes = tuple(2 ** (step / STEPS_PER_OCTAVE) for step in size_steps)
    shares = _divide(budget, sizes, dispatchers)
    if _total_work(shares) <= budget:
        return shares
    low, high = 0.0, budget
    for _ in range(20):
        middle = (low + high) / 2
        if _total_work(_divide(middle, sizes, dispatchers)) <= budget:
            low = middle
        else:
            high = middle
    return _divide(low, sizes, dispatchers)


@lru_cache(maxsize=256)
def _size_steps(means: tuple[float, ...]) -> tuple[int, ...]:
    return tuple(
        sorted(
            {
                math.ceil(math.log2(max(1.0, mean * slots)) * STEPS_PER_OCTAVE)
                for mean in means
                for slots in JOB_SLOTS
            }
        )
    )


@lru_cache(maxsize=2048)
def _rotation(worker: str, started_at: int) -> int:
    return zlib.crc32(f"{worker} {started_at}".encode())


def share_of(
    settings: api.Settings, entry: api.WorkerEntry, age: int, size: float, means: Iterable[float]
) -> BudgetShare:
    """This dispatcher's share of the budget of a cold worker within any ``settings.fall_window``.

    The work of all shares of the fleet is at most the budget, in any mix of classes and slots. ``entry``: the
    worker's entry of the list; ``age``: least time since its start, ns; ``size``: its slots, at mean speed;
    ``means``: mean service times of the classes that it runs, ns.
    """
    # a fleet larger than its settings say: the first dispatchers already have the whole budget
    if settings.me >= settings.dispatchers:
        return NO_SHARE
    budget = settings.fall_multiple * guaranteed_capacity(settings, 0, age) * settings.fall_window * size
    if not 1 <= budget < math.inf:
        return NO_SHARE
    budget_step = math.floor(math.log2(budget) * STEPS_PER_OCTAVE)
    rank = (settings.me - _rotation(entry.worker, entry.started_at)) % settings.dispatchers
    for until, share in _shares(budget_step, _size_steps(tuple(means)), settings.dispatchers):
        if rank < until:
            return share
    return NO_SHARE
