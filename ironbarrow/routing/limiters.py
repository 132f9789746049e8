"""Retry budgets, rate limiters and concurrency limits. All take the current time as an argument, in ns.

None of them blocks. A clock that goes backwards is treated as one that stands still.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of retries, filled by first attempts and at a minimum rate.

    Each first attempt adds ``ratio`` of a token: 0.2 limits the load of a retry storm to 1.2 times the normal
    load. ``min_per_second`` lets routes with little traffic retry; it fills the bucket up to the retries of
    ten seconds.
    """

    ratio: float
    min_per_second: float
    tokens: float = 0.0
    updated_at: int = 0

    @property
    def refill_cap(self) -> float:
        """The level up to which the minimum rate fills the bucket, in retries."""
        return max(1.0, 10 * self.min_per_second)

    def record_first_attempt(self, now: int) -> None:
        """Adds the share of a retry that a job's first attempt earns."""
        self._refill(now)
        self.tokens = min(self.refill_cap + 100 * self.ratio, self.tokens + self.ratio)

    def try_spend(self, now: int) -> bool:
        """Takes one retry out of the budget. Returns False, and takes nothing, if less than one is left."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: int) -> None:
        if not self.updated_at:
            self.updated_at, self.tokens = now, min(1.0, self.refill_cap)
        elapsed = max(0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        if self.tokens < self.refill_cap:
            self.tokens = min(self.refill_cap, self.tokens + self.min_per_second * elapsed / SECOND)

    def inherit(self, old: "RetryBudget") -> None:
        """Continues from the budget that this one replaces, so that a reload neither fills nor empties it."""
        self.tokens, self.updated_at = min(old.tokens, self.refill_cap + 100 * self.ratio), old.updated_at


class RateLimiter:
    """Rate limiter per key by GCRA (generic cell rate algorithm), which stores one number per key.

    Each key may have ``rate`` jobs per second and ``burst`` at once. At most ``max_keys`` keys are stored:
    the least recently used one is evicted and starts with a full burst when it returns. If too many keys are
    active, a key is evicted before its burst has recovered (``burst / rate`` seconds) and can exceed its
    rate, by at most ``burst`` jobs per eviction.
    """

    def __init__(self, rate: float, burst: int, max_keys: int) -> None:
        self.rate, self.burst, self.max_keys = rate, burst, max_keys
        self._interval = SECOND / rate
        self._tolerance = self._interval * (burst - 1)
        self._arrival_times: OrderedDict[str, float] = OrderedDict()  # theoretical arrival times (TAT), ns
        self._latest_time = 0
        self.early_evictions = 0  # keys evicted before their burst had recovered

    def __len__(self) -> int:
        return len(self._arrival_times)

    def reserve(self, key: str, now: int) -> int:
        """Counts one job and returns 0. If the key is over its rate, only returns the wait in ns."""
        now = self._latest_time = max(now, self._latest_time)
        arrival_time = max(self._arrival_times.pop(key, 0.0), float(now))
        if arrival_time - now > self._tolerance:
            self._arrival_times[key] = arrival_time
            return int(arrival_time - now - self._tolerance) + 1
        self._arrival_times[key] = arrival_time + self._interval
        if len(self._arrival_times) > self.max_keys:
            _, oldest = self._arrival_times.popitem(last=False)
            self.early_evictions += oldest > now
        return 0

    def inherit(self, old: "RateLimiter") -> None:
        """Continues from the limiter that this one replaces. What each key has used, in jobs, is kept."""
        new_interval, old_interval, self._latest_time = self._interval, old._interval, old._latest_time
        base = min(old._arrival_times.values(), default=0.0)
        for key, arrival_time in list(old._arrival_times.items())[-self.max_keys :]:
            self._arrival_times[key] = (
                base + (arrival_time - base) * new_interval / old_interval
                if new_interval != old_interval
                else arrival_time
            )


@dataclass(slots=True)
class ConcurrencyLimiter:
    """Counts the jobs in progress and refuses those above ``limit``; 0 means no limit."""

    limit: int = 0
    in_use: int = 0

    def try_acquire(self, share: float = 1.0) -> bool:
        """Takes a place unless ``share`` of the limit, but at least one place, is in use."""
        if self.limit and self.in_use >= max(1, int(self.limit * share)):
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        """Gives a place back."""
        self.in_use = max(0, self.in_use - 1)


@dataclass(slots=True)
class AdaptiveLimit:
    """Concurrency limit that follows latency by additive increase, multiplicative decrease (AIMD, as in TCP).

    Grows by one for each full limit of answers in time. Falls to ``backoff`` of itself, at most once per
    ``window`` (ns), when an answer is late or missing or reports overload.
    """

    min_limit: int
    max_limit: int
    backoff: float = 0.9
    window: int = SECOND
    limit: float = 0.0
    decreased_at: int = field(default=0)

    def __post_init__(self) -> None:
        self.limit = self.limit or float(self.min_limit)

    def update(self, now: int, *, in_time: bool, in_use: int) -> int:
        """Adjusts the limit to the end of one job. Returns the new limit."""
        if not in_time:
            if now - self.decreased_at >= self.window:
                self.decreased_at = now
                self.limit = max(float(self.min_limit), self.limit * self.backoff)
        elif 2 * in_use >= self.limit:
            # a limit of which less than half is used gives no evidence for a higher one
            self.limit = min(float(self.max_limit), self.limit + 1 / self.limit)
        return int(self.limit)
