"""Counters, buckets and rates. All take the time as an argument (ns) and none of them waits.

A clock that goes back counts as one that stands still.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass(slots=True)
class RetryBudget:
    """Retries as a share of first attempts, with a floor a second, kept for ten seconds at most.

    ``share`` 0.2 lets a storm of failures multiply load by 1.2; the floor keeps quiet routes able to retry.
    """

    share: float
    least: float  # a second
    level: float = 0.0
    at: int = 0

    @property
    def most(self) -> float:
        """What can be saved up, in attempts."""
        return max(1.0, 10 * self.least)

    def first_attempt(self, now: int) -> None:
        """A job's first attempt goes out: it earns a part of a retry."""
        self._flow(now)
        self.level = min(self.most + 100 * self.share, self.level + self.share)

    def may_retry(self, now: int) -> bool:
        """Takes one retry out, if there is one."""
        self._flow(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def _flow(self, now: int) -> None:
        if not self.at:
            self.at, self.level = now, min(1.0, self.most)
        elapsed = max(0, now - self.at)
        self.at = max(self.at, now)
        if self.level < self.most:
            self.level = min(self.most, self.level + self.least * elapsed / SECOND)

    def take_over(self, old: "RetryBudget") -> None:
        """Goes on from an older bucket of this name: neither full again nor emptier than it was."""
        self.level, self.at = min(old.level, self.most + 100 * self.share), old.at


class Rates:
    """Rates by key: GCRA, one number a key. ``rate`` a second, ``burst`` at once.

    At most ``keys`` numbers are kept, the ones asked for longest ago go first. A key that went and comes
    again starts with its whole burst: with so many keys at once that one is gone before its own time has
    passed (``burst / rate`` seconds), it can have more than its rate, at most ``burst`` each time it went.
    """

    def __init__(self, rate: float, burst: int, keys: int) -> None:
        self.rate, self.burst, self.keys = rate, burst, keys
        self._gap = SECOND / rate
        self._tolerance = self._gap * (burst - 1)
        self._due: OrderedDict[str, float] = OrderedDict()  # theoretical arrival times
        self._at = 0  # the latest time seen
        self.forgotten = 0  # keys that went before their own time had passed

    def __len__(self) -> int:
        return len(self._due)

    def wait(self, key: str, now: int) -> int:
        """Counts one and gives 0; or counts nothing and gives the ns until one may come."""
        now = self._at = max(now, self._at)
        due = max(self._due.pop(key, 0.0), float(now))
        if due - now > self._tolerance:
            self._due[key] = due
            return int(due - now - self._tolerance) + 1
        self._due[key] = due + self._gap
        if len(self._due) > self.keys:
            _, oldest = self._due.popitem(last=False)
            self.forgotten += oldest > now
        return 0

    def take_over(self, old: "Rates") -> None:
        """Goes on from older counts of this name, whose debts stay as long as they were in jobs."""
        now_gap, old_gap, self._at = self._gap, old._gap, old._at
        base = min(old._due.values(), default=0.0)
        for key, due in list(old._due.items())[-self.keys :]:
            self._due[key] = base + (due - base) * now_gap / old_gap if now_gap != old_gap else due


@dataclass(slots=True)
class Gate:
    """How many are inside at once. ``most`` 0: no limit."""

    most: int = 0
    inside: int = 0

    def enter(self, share: float = 1.0) -> bool:
        """Takes a place, if there is one in this share of them (at least one place)."""
        if self.most and self.inside >= max(1, int(self.most * share)):
            return False
        self.inside += 1
        return True

    def leave(self) -> None:
        self.inside = max(0, self.inside - 1)


@dataclass(slots=True)
class Adaptive:
    """A limit on what is open at once that follows latency: additive increase, multiplicative decrease.

    Grows by one for each full limit of answers in time, and falls to ``backoff`` of itself, at most once for
    each ``window``, when an answer is late, missing or a failure of overload. (AIMD, as in TCP.)
    """

    least: int
    most: int
    backoff: float = 0.9
    window: int = SECOND
    limit: float = 0.0
    fell_at: int = field(default=0)

    def __post_init__(self) -> None:
        self.limit = self.limit or float(self.least)

    def ended(self, now: int, *, in_time: bool, inside: int) -> int:
        """Takes in one end and gives the limit from now on."""
        if not in_time:
            if now - self.fell_at >= self.window:
                self.fell_at = now
                self.limit = max(float(self.least), self.limit * self.backoff)
        elif 2 * inside >= self.limit:  # a limit that nobody reaches says nothing of what it could be
            self.limit = min(float(self.most), self.limit + 1 / self.limit)
        return int(self.limit)
