"""Tables of waits by tenant, class and size, in logarithmic buckets, and their idempotent merge. No I/O.

Each job is counted twice. On entry under observation it is ``taken``, or ``delayed`` at its current age if it
was carried over from the previous window, returned from a worker that has not run it, or was taken over from
another dispatcher. On exit it is ``started``, ``censored`` (ended without a start: its wait is at least that
long), or ``waiting`` at the end of the window. In every table and every sum of tables the entries equal the
exits; the invariant *sums of tables conserved* checks that.
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

BUCKET_COUNT = 42  # the last one has no upper bound: 20 min and more
# lower bounds in ns: 0, 1 ms, then each larger by a factor of the square root of 2
BUCKET_BOUNDS = (0, *(int(MS * 2 ** (i / 2)) for i in range(BUCKET_COUNT - 1)))
SIZE_STRATA = 4  # strata of job size: up to 1 slot, 2, 4, more
SHARD_COUNT = 32  # groups of tenants, each collected by its own members
_COUNT_LIMIT = 1 << 40  # larger counts in a message are malformed
UNTRACKED_TENANT = ""  # for jobs without a tenant, or of tenants beyond the bounds of a table

RowKey = tuple[str, str, int]  # tenant, class, stratum of size
Curve = tuple[list[float], list[int]]  # per bucket: jobs at risk, starts


def bucket_of(wait: int) -> int:
    """The index of the bucket for a wait in ns."""
    return bisect_right(BUCKET_BOUNDS, wait) - 1


def size_of(slots: float) -> int:
    """The stratum of a job's size in slots."""
    return sum(slots > limit for limit in (1.0, 2.0, 4.0))


@lru_cache(4096)
def shard_of(tenant: str) -> int:
    """The shard of a tenant; the same at every member."""
    return rank("tenant", tenant) % SHARD_COUNT


BucketCounts = tuple[int, ...]  # bucket, count, bucket, count, ...; buckets ascend, counts are positive


class Row(Struct, frozen=True, array_like=True):
    """One row of a table in a message; the fields are those of ``RowKey`` and ``Tally``."""

    tenant: str
    job_class: str
    size: int
    taken: int
    delayed: BucketCounts
    started: BucketCounts
    censored: BucketCounts
    waiting: BucketCounts


class Window(Struct, frozen=True, array_like=True):
    """One partition's rows of one window, or those that a collector needs.

    ``taken``: jobs of all tenants, including untracked ones. Of two copies the higher ``version`` wins.
    """

    number: int
    version: int
    taken: int
    rows: tuple[Row, ...]


class WaitReport(Message, frozen=True, array_like=True):
    """Windows of the sender's partition for a collector, with the rows of the tenants in ``shards``."""

    KIND = 80
    site: str
    round_number: int  # increases with each round, so that delayed replies are recognized
    shards: tuple[int, ...]
    windows: tuple[Window, ...]
    waits_wanted_for: tuple[str, ...] = ()  # tenants whose partitions with the shortest waits are requested


class PartitionWait(Struct, frozen=True, array_like=True):
    """A tenant's number of jobs and its restricted mean wait, us, in one partition."""

    tenant: str
    incarnation: Incarnation
    site: str
    jobs: int
    wait: int


class WaitReportReply(Message, frozen=True, array_like=True):
    """A collector's reply: the sums over all other partitions, and how many have sent reports."""

    KIND = 81
    round_number: int
    shards: tuple[int, ...]
    stored_windows: tuple[int, ...]  # numbers of the requester's windows that it has for all these shards
    partition_count: int  # partitions with reports, including the requester
    taken: int  # jobs of all tenants in the other partitions' windows
    rows: tuple[Row, ...]
    partition_waits: tuple[PartitionWait, ...] = ()


def _histogram() -> defaultdict[int, int]:
    return defaultdict(int)


@dataclass(slots=True, eq=False)
class Tally:
    """Counts of jobs by bucket of wait; tallies can be added up."""

    taken: int = 0
    delayed: dict[int, int] = field(default_factory=_histogram)
    started: dict[int, int] = field(default_factory=_histogram)
    censored: dict[int, int] = field(default_factory=_histogram)
    waiting: dict[int, int] = field(default_factory=_histogram)

    @property
    def entered(self) -> int:
        """Jobs that came under observation."""
        return self.taken + sum(self.delayed.values())

    @property
    def exited(self) -> int:
        """Jobs that left observation."""
        return sum(sum(histogram.values()) for histogram in (self.started, self.censored, self.waiting))

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Adds (``sign`` 1) or subtracts (-1) the counts of other jobs."""
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
        """Adds the next window of the same partition.

        A job that waited at the end of this window and entered the next one delayed was observed without a
        gap, and is counted once.
        """
        self.add(later)
        for bucket, delayed in later.delayed.items():
            carried_over = min(delayed, self.waiting.get(bucket, 0) - later.waiting.get(bucket, 0))
            if carried_over > 0:
                for histogram in (self.waiting, self.delayed):
                    histogram[bucket] -= carried_over
                    if not histogram[bucket]:
                        del histogram[bucket]

    def at_risk(self) -> Curve:
        """Jobs at risk and starts per bucket. Jobs that entered or were censored within it count half."""
        started, censored, waiting, delayed = self.started, self.censored, self.waiting, self.delayed
        last = max(chain(started, censored, waiting, delayed), default=-1) + 1
        risk, starts = [0.0] * last, [0] * last
        at_risk_after = 0  # exits after this bucket minus delayed entries after it
        for b in range(last - 1, -1, -1):
            censored_here = censored.get(b, 0) + waiting.get(b, 0)
            at_risk_here = at_risk_after + started.get(b, 0) + censored_here
            entered_here = delayed.get(b, 0)
            risk[b], starts[b] = at_risk_here - (censored_here + entered_here) / 2, started.get(b, 0)
            at_risk_after = at_risk_here - entered_here
        return risk, starts


def sums_by_stratum(curves: Mapping[RowKey, Curve]) -> dict[tuple[str, int], Curve]:
    """Sums of the curves of all tenants, by class and size."""
    sums: dict[tuple[str, int], Curve] = {}
    for key, curve in curves.items():
        sums[key[1:]] = add_curves(sums.get(key[1:], ([], [])), curve)
    return sums


def add_curves(one: Curve, other: Curve, sign: int = 1) -> Curve:
    """The sum of two curves, or (``sign`` -1) their difference."""
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
    """Encodes a tally as a row of a message."""
    histograms = (tally.delayed, tally.started, tally.censored, tally.waiting)
    return Row(*key, tally.taken, *(tuple(n for item in sorted(h.items()) for n in item) for h in histograms))


def tally_from_row(row: Row) -> Tally:
    """Decodes a valid row; see ``parse_row`` for received ones."""
    histograms = (row.delayed, row.started, row.censored, row.waiting)
    return Tally(row.taken, *(defaultdict(int, zip(h[::2], h[1::2], strict=True)) for h in histograms))


def parse_row(row: Row) -> Tally | None:
    """The tally of a received row; None if it is inconsistent, because that would corrupt all sums."""
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
        if present < 0:  # more exits than entries up to this wait
            return None
    return tally if present == 0 else None


def add_rows(rows: Iterable[tuple[RowKey, Tally]], into: dict[RowKey, Tally], sign: int = 1) -> None:
    """Adds (``sign`` 1) or subtracts (-1) rows; sums that become empty are removed."""
    for key, tally in rows:
        into.setdefault(key, Tally()).add(tally, sign)
        if not into[key].entered:
            del into[key]


@dataclass(frozen=True, slots=True)
class _StoredWindow:
    """One window of a partition, for one shard."""

    version: int
    expires_at: int  # ns
    taken: int
    rows: dict[RowKey, Tally]

    @property
    def starts(self) -> int:
        """Jobs that started in the window."""
        return sum(sum(tally.started.values()) for tally in self.rows.values())


@dataclass(slots=True, eq=False)
class _PartitionWindows:
    """The windows of one partition, for one shard."""

    site: str
    windows: dict[int, "_StoredWindow"] = field(default_factory=dict)
    rows: dict[RowKey, Tally] = field(default_factory=dict)  # of all windows, merged
    taken: int = 0


class WaitCollector:
    """The windows that a collector has received, and their sums.

    The state depends only on the set of received windows, not on their order or repetition: it keeps the
    highest version of each (incarnation, shard, window number), and the newest windows of each incarnation,
    each until it expires. ``window_length`` in ns.
    """

    def __init__(self, windows: int, window_length: int) -> None:
        self._max_windows, self._window_length = windows, window_length
        self._by_shard: dict[int, dict[Incarnation, _PartitionWindows]] = {}
        self._sums: dict[int, dict[RowKey, Tally]] = {}
        self._start_counts: Counter[int] = Counter()  # per shard, counted from the received rows
        self.dropped: Counter[str] = Counter()  # ignored windows and rows, by cause

    def add_report(self, now: int, sender: Incarnation, message: WaitReport) -> None:
        """Stores the windows of a report; duplicates and outdated copies change nothing."""
        changed: set[int] = set()
        for window in message.windows:
            if not 0 <= window.taken < _COUNT_LIMIT:
                self.dropped["malformed"] += 1
                continue
            rows_by_shard: dict[int, dict[RowKey, Tally]] = {
                s: {} for s in message.shards if 0 <= s < SHARD_COUNT
            }
            for row in window.rows:
                shard_rows, tally = rows_by_shard.get(shard_of(row.tenant)), parse_row(row)
                key = (row.tenant, row.job_class, row.size)
                if shard_rows is None or tally is None or key in shard_rows:
                    self.dropped["malformed"] += 1
                else:
                    shard_rows[key] = tally
            for shard, rows in rows_by_shard.items():
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
        """Stores one window. True if that changed anything."""
        partition = self._by_shard.setdefault(shard, {}).setdefault(incarnation, _PartitionWindows(site))
        previous = partition.windows.get(window.number)
        newest = max(partition.windows, default=window.number)
        if previous is not None and previous.version >= window.version:
            self.dropped["duplicate"] += 1
            return False
        if window.number <= newest - self._max_windows:
            self.dropped["outdated"] += 1
            return False
        # a higher version of a window keeps its expiry time, so that repeated versions cannot extend it
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
        """Updates a partition's rows and the sums of the shard from its stored windows."""
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
        """Removes expired windows, and at once all those of ``superseded`` incarnations."""
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
        """The incarnations whose windows are stored."""
        return list(self._by_shard.get(shard, {}))

    def window_numbers(self, shard: int, incarnation: Incarnation) -> list[int]:
        """The numbers of the stored windows of a partition."""
        partition = self._by_shard.get(shard, {}).get(incarnation)
        return sorted(partition.windows) if partition is not None else []

    def taken_by_others(self, shard: int, incarnation: Incarnation) -> int:
        """Jobs taken in all partitions except one."""
        return sum(
            partition.taken
            for other, partition in self._by_shard.get(shard, {}).items()
            if other != incarnation
        )

    def sums_of_others(self, shard: int, incarnation: Incarnation) -> dict[RowKey, Tally]:
        """The sums of all partitions except one, for the tenants that this one has, too."""
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
        """The rows of a tenant in each partition: incarnation, site, rows."""
        found: list[tuple[Incarnation, str, Mapping[RowKey, Tally]]] = []
        for incarnation, partition in self._by_shard.get(shard, {}).items():
            rows = {key: tally for key, tally in partition.rows.items() if key[0] == tenant}
            if rows:
                found.append((incarnation, partition.site, rows))
        return found


def merge_windows(windows: Iterable[Mapping[RowKey, Tally]]) -> dict[RowKey, Tally]:
    """Merges the windows of one partition, in order of time, into one table."""
    found: dict[RowKey, Tally] = {}
    for window in windows:
        for key, tally in window.items():
            found.setdefault(key, Tally()).append_later(tally)
    return found
