"""The limit on what is sent to a cold worker. No decisions on jobs, no input or output.

Danger: a worker that is sent a multiple of what it can do while it is cold falls over, and all dispatchers
send at once without knowing of each other. The budget of each window is divided by their number; where a
part is under one job, a hash of the worker's name and start picks the few that use it, others at each
worker, so that the whole budget is used and no two of the fleet share a part.
"""

import math
import zlib

from heathway import api

DEVIATIONS = 3.0  # the budget holds the mean of the jobs that are allowed and so many deviations of their sum


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


def part_taken(
    rules: api.Settings, entry: api.WorkerEntry, now: int, size: float, mean: float, slots: float
) -> float:
    """The part of this dispatcher's budget for a cold worker that one job takes; infinite where it has none.

    ``entry``: its line of the list; ``size``: its slots, of mean speed; ``mean``: of a job's service time,
    ns; ``slots``: what it takes. The parts sent within ``rules.fall_window`` may not pass 1.
    """
    budget = rules.fall_multiple * capacity(rules, entry.started_at, now) * rules.fall_window * size
    jobs = jobs_within(budget, mean * max(1.0, slots))
    turn = rules.me - zlib.crc32(f"{entry.worker} {entry.started_at}".encode())
    allowed = jobs // rules.dispatchers + (turn % rules.dispatchers < jobs % rules.dispatchers)
    return 1 / allowed if allowed else math.inf
