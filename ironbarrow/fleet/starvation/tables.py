"""Tables of waits: by tenant, class and size, in log buckets; windowed, merged without a doubled count. No
input or output.

A job is counted where it comes under observation (``taken``, or ``late`` at the age it has: carried on from
the window before, back from a worker that has not run it, taken over from another) and where it leaves it:
``started``, ``censored`` (ended without a start: its wait is at least that), or ``waiting`` at the window's
end. So the two sides of every table are equal, whatever is added up: *sums of tables conserved*.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import chain, pairwise

from msgspec import Struct

from ironbarrow.fleet.api import Incarnation, Message, rank
from ironbarrow.fleet.invariants import check
from ironbarrow.runtime.clock import MS

BUCKET_COUNT = 42  # the last one takes all from 20 min on
# where each bucket begins, ns: 0, then 1 ms and on by the square root of 2
BUCKET_BOUNDS = (0, *(int(MS * 2 ** (i / 2)) for i in range(BUCKET_COUNT - 1)))
SIZE_STRATA = 4  # strata of size: up to 1 slot, 2, 4, more
SHARD_COUNT = 32  # parts of all tenants that are collected together
_COUNT_LIMIT = 1 << 40  # no count is as large
UNTRACKED_TENANT = ""  # the tenant of what has no tenant, or one beyond the bounds

RowKey = tuple[str, str, int]  # tenant, class, size
Curve = tuple[list[float], list[int]]  # by bucket: jobs at risk, starts


def bucket_of(wait: int) -> int:
    """The bucket of a wait, ns."""
    return bisect_right(BUCKET_BOUNDS, wait) - 1


def size_of(slots: float) -> int:
    """The stratum of a job's size."""
    return sum(slots > limit for limit in (1.0, 2.0, 4.0))


@lru_cache(4096)
def shard_of(tenant: str) -> int:
    """The part of the tenants that one is collected with; the same at every member."""
    return rank("tenant", tenant) % SHARD_COUNT


BucketCounts = tuple[int, ...]  # bucket, count, bucket, count ...; buckets rise, counts are positive


class Row(Struct, frozen=True, array_like=True):
    """One line of a table, as it is sent."""

    tenant: str
    job_class: str
    size: int
    taken: int
    delayed: BucketCounts
    started: BucketCounts
    censored: BucketCounts
    waiting: BucketCounts


class Window(Struct, frozen=True, array_like=True):
    """What one partition saw in one window, or the part of it that a collector is sent. ``taken``: jobs of
    all tenants, those of the rest too. Of two copies the higher ``version`` counts."""

    number: int
    version: int
    taken: int
    rows: tuple[Row, ...]


class WaitReport(Message, frozen=True, array_like=True):
    """Windows of the sender's partition for a collector: rows of the tenants of these shards."""

    KIND = 80
    site: str
    round_number: int  # rises with each look: answers that come late are told apart
    shards: tuple[int, ...]
    windows: tuple[Window, ...]
    waits_wanted_for: tuple[str, ...] = ()  # tenants of which is asked where they wait least


class PartitionWait(Struct, frozen=True, array_like=True):
    """How a tenant fares in a partition: its jobs, and the mean wait in us, restricted to its horizon."""

    tenant: str
    incarnation: Incarnation
    site: str
    jobs: int
    wait: int


class WaitReportReply(Message, frozen=True, array_like=True):
    """A collector's answer: the sums of all other partitions, and how many it has heard of."""

    KIND = 81
    round_number: int
    shards: tuple[int, ...]
    stored_windows: tuple[int, ...]  # windows of the asker that it has, of all these shards
    partition_count: int  # partitions in the sums, the asker's included
    taken: int  # jobs of all tenants in the others' windows
    rows: tuple[Row, ...]
    partition_waits: tuple[PartitionWait, ...] = ()


def _histogram() -> defaultdict[int, int]:
    return defaultdict(int)


@dataclass(slots=True, eq=False)
class Tally:
    """Counts by bucket, to be added up."""

    taken: int = 0
    delayed: dict[int, int] = field(default_factory=_histogram)
    started: dict[int, int] = field(default_factory=_histogram)
    censored: dict[int, int] = field(default_factory=_histogram)
    waiting: dict[int, int] = field(default_factory=_histogram)

    @property
    def entered(self) -> int:
        return self.taken + sum(self.delayed.values())

    @property
    def exited(self) -> int:
        return sum(sum(histogram.values()) for histogram in (self.started, self.censored, self.waiting))

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Adds (1) or takes out (-1) what was seen of other jobs."""
        self.taken += sign * other.taken
        for mine, theirs in (
            (self.delayed, other.delayed),
            (self.started, other.started),
            (self.censored, other.censored),
            (self.waiting, other.waiting),
        ):
            for bucket, count in theirs.items():
                mine[bucket] += sign * count
                if not mine[bucket]:
                    del mine[bucket]

    def append_later(self, later: "Tally") -> None:
        """Adds the same partition's later window: who waited at the end of the one and came late in the other
        was under observation all the time, and is one job."""
        self.add(later)
        for bucket, delayed in later.delayed.items():
            carried_over = min(delayed, self.waiting.get(bucket, 0) - later.waiting.get(bucket, 0))
            if carried_over > 0:
                for histogram in (self.waiting, self.delayed):
                    histogram[bucket] -= carried_over
                    if not histogram[bucket]:
                        del histogram[bucket]

    def at_risk(self) -> Curve:
        """By bucket: jobs at risk, those that came or went unseen in it by half; and starts."""
        started, censored, waiting, delayed = self.started, self.censored, self.waiting, self.delayed
        last = max(chain(started, censored, waiting, delayed), default=-1) + 1
        risk, starts = [0.0] * last, [0] * last
        at_risk_after = 0  # jobs that left after this bucket, less those that came after it
        for b in range(last - 1, -1, -1):
            censored_here = censored.get(b, 0) + waiting.get(b, 0)
            at_risk_here = at_risk_after + started.get(b, 0) + censored_here
            entered_here = delayed.get(b, 0)
            risk[b], starts[b] = at_risk_here - (censored_here + entered_here) / 2, started.get(b, 0)
            at_risk_after = at_risk_here - entered_here
        return risk, starts


def sums_by_stratum(curves: Mapping[RowKey, Curve]) -> dict[tuple[str, int], Curve]:
    """Curves of all tenants added up, by class and size."""
    sums: dict[tuple[str, int], Curve] = {}
    for key, curve in curves.items():
        sums[key[1:]] = add_curves(sums.get(key[1:], ([], [])), curve)
    return sums


def add_curves(one: Curve, other: Curve, sign: int = 1) -> Curve:
    """Two curves added up, or (-1) the second taken out of the first."""
    (risk, starts), (more_risk, more_starts) = one, other
    missing = len(more_risk) - len(risk)
    if missing > 0:
        risk, starts = risk + [0.0] * missing, starts + [0] * missing
    else:
        more_risk, more_starts = more_risk + [0.0] * -missing, more_starts + [0] * -missing
    return (
        [a + sign * b for a, b in zip(risk, more_risk, strict=True)],
        [a + sign * b for a, b in zip(starts, more_starts, strict=True)],
    )


def row_from_tally(key: RowKey, tally: Tally) -> Row:
    histograms = (tally.delayed, tally.started, tally.censored, tally.waiting)
    return Row(*key, tally.taken, *(tuple(n for item in sorted(h.items()) for n in item) for h in histograms))


def tally_from_row(row: Row) -> Tally:
    histograms = (row.delayed, row.started, row.censored, row.waiting)
    return Tally(row.taken, *(defaultdict(int, zip(h[::2], h[1::2], strict=True)) for h in histograms))


def parse_row(row: Row) -> Tally | None:
    """The counts of a row that came in; None if they can't be true. Danger: they would spoil the sums of
    all."""
    for histogram in (row.delayed, row.started, row.censored, row.waiting):
        buckets, counts = histogram[::2], histogram[1::2]
        if len(buckets) != len(counts):
            return None
        if histogram and not (
            buckets[0] >= 0 and buckets[-1] < BUCKET_COUNT and 0 < min(counts) <= max(counts) < _COUNT_LIMIT
        ):
            return None
        if any(a >= b for a, b in pairwise(buckets)):
            return None
    if not 0 <= row.taken < _COUNT_LIMIT or not 0 <= row.size < SIZE_STRATA or row.tenant == UNTRACKED_TENANT:
        return None
    tally = tally_from_row(row)
    present = tally.taken
    for bucket in sorted({*row.delayed[::2], *row.started[::2], *row.censored[::2], *row.waiting[::2]}):
        present += tally.delayed.get(bucket, 0)
        present -= sum(
            histogram.get(bucket, 0) for histogram in (tally.started, tally.censored, tally.waiting)
        )
        if present < 0:  # more left than had come by then
            return None
    return tally if present == 0 else None


def add_rows(rows: Iterable[tuple[RowKey, Tally]], into: dict[RowKey, Tally], sign: int = 1) -> None:
    """Adds rows to sums; sums that come to nothing are dropped."""
    for key, tally in rows:
        into.setdefault(key, Tally()).add(tally, sign)
        if not into[key].entered:
            del into[key]


@dataclass(frozen=True, slots=True)
class _StoredWindow:
    """One window of that."""

    version: int
    expires_at: int
    taken: int
    rows: dict[RowKey, Tally]

    @property
    def starts(self) -> int:
        return sum(sum(tally.started.values()) for tally in self.rows.values())


@dataclass(slots=True, eq=False)
class _PartitionWindows:
    """One partition's windows of one shard."""

    site: str
    windows: dict[int, "_StoredWindow"] = field(default_factory=dict)
    rows: dict[RowKey, Tally] = field(default_factory=dict)  # all of them together
    taken: int = 0


class WaitCollector:
    """What a collector has of others' windows. What is kept depends on the set of windows that came, not on
    their order or number: of each (partition's incarnation, shard, window) the highest version, of each
    partition the newest windows, each until it runs out."""

    def __init__(self, windows: int, window_length: int) -> None:
        self._max_windows, self._window_length = windows, window_length
        self._by_shard: dict[int, dict[Incarnation, _PartitionWindows]] = {}
        self._sums: dict[int, dict[RowKey, Tally]] = {}
        self._start_counts: Counter[int] = (
            Counter()
        )  # in all windows kept of a shard, counted from the rows sent
        self.dropped: Counter[str] = Counter()

    def add_report(self, now: int, sender: Incarnation, message: WaitReport) -> None:
        """Takes windows in; a repeat, or a copy older than the one that is here, changes nothing."""
        changed: set[int] = set()
        for window in message.windows:
            if not 0 <= window.taken < _COUNT_LIMIT:
                self.dropped["unsound"] += 1
                continue
            parts: dict[int, dict[RowKey, Tally]] = {s: {} for s in message.shards if 0 <= s < SHARD_COUNT}
            for row in window.rows:
                part, tally = parts.get(shard_of(row.tenant)), parse_row(row)
                key = (row.tenant, row.job_class, row.size)
                if part is None or tally is None or key in part:
                    self.dropped["unsound"] += 1
                else:
                    part[key] = tally
            for shard, rows in parts.items():
                if self._store_window(now, shard, sender, message.site, window, rows):
                    changed.add(shard)
        for shard in changed:
            self._recompute_sums(shard, self._by_shard[shard][sender])

    def _store_window(
        self,
        now: int,
        shard: int,
        incarnation: Incarnation,
        site: str,
        window: Window,
        rows: dict[RowKey, Tally],
    ) -> bool:
        """Whether it has changed what is partition."""
        partition = self._by_shard.setdefault(shard, {}).setdefault(incarnation, _PartitionWindows(site))
        previous = partition.windows.get(window.number)
        newest = max(partition.windows, default=window.number)
        if previous is not None and previous.version >= window.version:
            self.dropped["repeat"] += 1
            return False
        if window.number <= newest - self._max_windows:
            self.dropped["old"] += 1
            return False
        # danger: a higher version of the same window does not make it live longer
        expires_at = (
            previous.expires_at
            if previous is not None
            else now + (self._max_windows + 1) * self._window_length
        )
        if previous is not None:
            self._start_counts[shard] -= previous.starts
        stored = partition.windows[window.number] = _StoredWindow(
            window.version, expires_at, window.taken, rows
        )
        self._start_counts[shard] += stored.starts
        newest = max(newest, window.number)
        self._drop(shard, partition, [n for n in partition.windows if n <= newest - self._max_windows])
        return True

    def _drop(self, shard: int, partition: _PartitionWindows, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._start_counts[shard] -= partition.windows.pop(number).starts

    def _recompute_sums(self, shard: int, partition: _PartitionWindows) -> None:
        """The sums with that partition's windows as they are now."""
        sums = self._sums.setdefault(shard, {})
        add_rows(partition.rows.items(), sums, -1)
        partition.rows = merge_windows(partition.windows[number].rows for number in sorted(partition.windows))
        partition.taken = sum(window.taken for window in partition.windows.values())
        add_rows(partition.rows.items(), sums)
        check(
            "sums of tables conserved",
            sum(t.entered for t in sums.values()) == sum(t.exited for t in sums.values())
            and sum(sum(t.started.values()) for t in sums.values()) == self._start_counts[shard],
            shard=shard,
            starts=self._start_counts[shard],
        )

    def expire(self, now: int, superseded: Iterable[Incarnation] = ()) -> None:
        """Drops what has run out, and at once that of ``gone``: incarnations that have a successor."""
        replaced = set(superseded)
        for shard, incarnations in self._by_shard.items():
            for incarnation, partition in list(incarnations.items()):
                expired = [
                    n for n, w in partition.windows.items() if w.expires_at <= now or incarnation in replaced
                ]
                if expired:
                    self._drop(shard, partition, expired)
                    self._recompute_sums(shard, partition)
                if not partition.windows:
                    del incarnations[incarnation]

    def reporting_partitions(self, shard: int) -> list[Incarnation]:
        """The partitions whose windows are here."""
        return list(self._by_shard.get(shard, {}))

    def window_numbers(self, shard: int, incarnation: Incarnation) -> list[int]:
        """The windows of a partition that are here."""
        partition = self._by_shard.get(shard, {}).get(incarnation)
        return sorted(partition.windows) if partition is not None else []

    def taken_by_others(self, shard: int, incarnation: Incarnation) -> int:
        """Jobs taken in all partitions but one."""
        return sum(
            partition.taken
            for other, partition in self._by_shard.get(shard, {}).items()
            if other != incarnation
        )

    def sums_of_others(self, shard: int, incarnation: Incarnation) -> dict[RowKey, Tally]:
        """The sums of all partitions but one, of the tenants that this one has too."""
        partition = self._by_shard.get(shard, {}).get(incarnation)
        if partition is None:
            return {}
        tenants = {tenant for tenant, _, _ in partition.rows}
        found: dict[RowKey, Tally] = {}
        for key, tally in self._sums.get(shard, {}).items():
            if key[0] in tenants:
                found[key] = rest = Tally()
                rest.add(tally)
                if key in partition.rows:
                    rest.add(partition.rows[key], -1)
                if not rest.entered:
                    del found[key]
        return found

    def by_partition(self, shard: int, tenant: str) -> list[tuple[Incarnation, str, Mapping[RowKey, Tally]]]:
        """Each partition's rows of a tenant."""
        found: list[tuple[Incarnation, str, Mapping[RowKey, Tally]]] = []
        for incarnation, partition in self._by_shard.get(shard, {}).items():
            rows = {key: tally for key, tally in partition.rows.items() if key[0] == tenant}
            if rows:
                found.append((incarnation, partition.site, rows))
        return found


def merge_windows(windows: Iterable[Mapping[RowKey, Tally]]) -> dict[RowKey, Tally]:
    """One partition's windows, in order of time, as one table."""
    found: dict[RowKey, Tally] = {}
    for window in windows:
        for key, tally in window.items():
            found.setdefault(key, Tally()).append_later(tally)
    return found
