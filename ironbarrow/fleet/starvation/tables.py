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

BUCKETS = 42  # the last one takes all from 20 min on
# where each bucket begins, ns: 0, then 1 ms and on by the square root of 2
BOUNDS = (0, *(int(MS * 2 ** (i / 2)) for i in range(BUCKETS - 1)))
SIZES = 4  # strata of size: up to 1 slot, 2, 4, more
SHARDS = 32  # parts of all tenants that are collected together
_MANY = 1 << 40  # no count is as large
REST = ""  # the tenant of what has no tenant, or one beyond the bounds

Key = tuple[str, str, int]  # tenant, class, size
Curve = tuple[list[float], list[int]]  # by bucket: jobs at risk, starts


def bucket_of(wait: int) -> int:
    """The bucket of a wait, ns."""
    return bisect_right(BOUNDS, wait) - 1


def size_of(slots: float) -> int:
    """The stratum of a job's size."""
    return sum(slots > limit for limit in (1.0, 2.0, 4.0))


@lru_cache(4096)
def shard_of(tenant: str) -> int:
    """The part of the tenants that one is collected with; the same at every member."""
    return rank("tenant", tenant) % SHARDS


Pairs = tuple[int, ...]  # bucket, count, bucket, count ...; buckets rise, counts are positive


class Row(Struct, frozen=True, array_like=True):
    """One line of a table, as it is sent."""

    tenant: str
    job_class: str
    size: int
    taken: int
    late: Pairs
    started: Pairs
    censored: Pairs
    waiting: Pairs


class Window(Struct, frozen=True, array_like=True):
    """What one partition saw in one window, or the part of it that a collector is sent. ``taken``: jobs of
    all tenants, those of the rest too. Of two copies the higher ``version`` counts."""

    number: int
    version: int
    taken: int
    rows: tuple[Row, ...]


class Waits(Message, frozen=True, array_like=True):
    """Windows of the sender's partition for a collector: rows of the tenants of these shards."""

    KIND = 80
    site: str
    asked: int  # rises with each look: answers that come late are told apart
    shards: tuple[int, ...]
    windows: tuple[Window, ...]
    spots_of: tuple[str, ...] = ()  # tenants of which is asked where they wait least


class Spot(Struct, frozen=True, array_like=True):
    """How a tenant fares in a partition: its jobs, and the mean wait in us, restricted to its horizon."""

    tenant: str
    incarnation: Incarnation
    site: str
    jobs: int
    wait: int


class Elsewhere(Message, frozen=True, array_like=True):
    """A collector's answer: the sums of all other partitions, and how many it has heard of."""

    KIND = 81
    asked: int
    shards: tuple[int, ...]
    kept: tuple[int, ...]  # windows of the asker that it has, of all these shards
    heard: int  # partitions in the sums, the asker's included
    taken: int  # jobs of all tenants in the others' windows
    rows: tuple[Row, ...]
    spots: tuple[Spot, ...] = ()


def _hist() -> defaultdict[int, int]:
    return defaultdict(int)


@dataclass(slots=True, eq=False)
class Tally:
    """Counts by bucket, to be added up."""

    taken: int = 0
    late: dict[int, int] = field(default_factory=_hist)
    started: dict[int, int] = field(default_factory=_hist)
    censored: dict[int, int] = field(default_factory=_hist)
    waiting: dict[int, int] = field(default_factory=_hist)

    @property
    def entered(self) -> int:
        return self.taken + sum(self.late.values())

    @property
    def left(self) -> int:
        return sum(sum(hist.values()) for hist in (self.started, self.censored, self.waiting))

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Adds (1) or takes out (-1) what was seen of other jobs."""
        self.taken += sign * other.taken
        for mine, its in (
            (self.late, other.late),
            (self.started, other.started),
            (self.censored, other.censored),
            (self.waiting, other.waiting),
        ):
            for bucket, count in its.items():
                mine[bucket] += sign * count
                if not mine[bucket]:
                    del mine[bucket]

    def follow(self, later: "Tally") -> None:
        """Adds the same partition's later window: who waited at the end of the one and came late in the other
        was under observation all the time, and is one job."""
        self.add(later)
        for bucket, late in later.late.items():
            on = min(late, self.waiting.get(bucket, 0) - later.waiting.get(bucket, 0))
            if on > 0:
                for hist in (self.waiting, self.late):
                    hist[bucket] -= on
                    if not hist[bucket]:
                        del hist[bucket]

    def at_risk(self) -> Curve:
        """By bucket: jobs at risk, those that came or went unseen in it by half; and starts."""
        started, censored, waiting, late = self.started, self.censored, self.waiting, self.late
        last = max(chain(started, censored, waiting, late), default=-1) + 1
        risk, starts = [0.0] * last, [0] * last
        beyond = 0  # jobs that left after this bucket, less those that came after it
        for b in range(last - 1, -1, -1):
            unseen = censored.get(b, 0) + waiting.get(b, 0)
            here = beyond + started.get(b, 0) + unseen
            came = late.get(b, 0)
            risk[b], starts[b] = here - (unseen + came) / 2, started.get(b, 0)
            beyond = here - came
        return risk, starts


def sums_by_stratum(curves: Mapping[Key, Curve]) -> dict[tuple[str, int], Curve]:
    """Curves of all tenants added up, by class and size."""
    sums: dict[tuple[str, int], Curve] = {}
    for key, curve in curves.items():
        sums[key[1:]] = plus(sums.get(key[1:], ([], [])), curve)
    return sums


def plus(one: Curve, other: Curve, sign: int = 1) -> Curve:
    """Two curves added up, or (-1) the second taken out of the first."""
    (risk, starts), (more_risk, more_starts) = one, other
    longer = len(more_risk) - len(risk)
    if longer > 0:
        risk, starts = risk + [0.0] * longer, starts + [0] * longer
    else:
        more_risk, more_starts = more_risk + [0.0] * -longer, more_starts + [0] * -longer
    return (
        [a + sign * b for a, b in zip(risk, more_risk, strict=True)],
        [a + sign * b for a, b in zip(starts, more_starts, strict=True)],
    )


def row_of(key: Key, tally: Tally) -> Row:
    hists = (tally.late, tally.started, tally.censored, tally.waiting)
    return Row(*key, tally.taken, *(tuple(n for item in sorted(h.items()) for n in item) for h in hists))


def tally_of(row: Row) -> Tally:
    hists = (row.late, row.started, row.censored, row.waiting)
    return Tally(row.taken, *(defaultdict(int, zip(h[::2], h[1::2], strict=True)) for h in hists))


def read(row: Row) -> Tally | None:
    """The counts of a row that came in; None if they can't be true. Danger: they would spoil the sums of
    all."""
    for hist in (row.late, row.started, row.censored, row.waiting):
        buckets, counts = hist[::2], hist[1::2]
        if len(buckets) != len(counts):
            return None
        if hist and not (
            buckets[0] >= 0 and buckets[-1] < BUCKETS and 0 < min(counts) <= max(counts) < _MANY
        ):
            return None
        if any(a >= b for a, b in pairwise(buckets)):
            return None
    if not 0 <= row.taken < _MANY or not 0 <= row.size < SIZES or row.tenant == REST:
        return None
    tally = tally_of(row)
    there = tally.taken
    for bucket in sorted({*row.late[::2], *row.started[::2], *row.censored[::2], *row.waiting[::2]}):
        there += tally.late.get(bucket, 0)
        there -= sum(hist.get(bucket, 0) for hist in (tally.started, tally.censored, tally.waiting))
        if there < 0:  # more left than had come by then
            return None
    return tally if there == 0 else None


def add_up(rows: Iterable[tuple[Key, Tally]], into: dict[Key, Tally], sign: int = 1) -> None:
    """Adds rows to sums; sums that come to nothing are dropped."""
    for key, tally in rows:
        into.setdefault(key, Tally()).add(tally, sign)
        if not into[key].entered:
            del into[key]


@dataclass(frozen=True, slots=True)
class _Windowed:
    """One window of that."""

    version: int
    runs_out: int
    taken: int
    rows: dict[Key, Tally]

    @property
    def starts(self) -> int:
        return sum(sum(tally.started.values()) for tally in self.rows.values())


@dataclass(slots=True, eq=False)
class _Kept:
    """One partition's windows of one shard."""

    site: str
    windows: dict[int, "_Windowed"] = field(default_factory=dict)
    rows: dict[Key, Tally] = field(default_factory=dict)  # all of them together
    taken: int = 0


class Collected:
    """What a collector has of others' windows. What is kept depends on the set of windows that came, not on
    their order or number: of each (partition's incarnation, shard, window) the highest version, of each
    partition the newest windows, each until it runs out."""

    def __init__(self, windows: int, length: int) -> None:
        self._most, self._length = windows, length
        self._kept: dict[int, dict[Incarnation, _Kept]] = {}
        self._sums: dict[int, dict[Key, Tally]] = {}
        self._starts: Counter[int] = Counter()  # in all windows kept of a shard, counted from the rows sent
        self.dropped: Counter[str] = Counter()

    def take(self, now: int, sender: Incarnation, message: Waits) -> None:
        """Takes windows in; a repeat, or a copy older than the one that is here, changes nothing."""
        changed: set[int] = set()
        for window in message.windows:
            if not 0 <= window.taken < _MANY:
                self.dropped["unsound"] += 1
                continue
            parts: dict[int, dict[Key, Tally]] = {s: {} for s in message.shards if 0 <= s < SHARDS}
            for row in window.rows:
                part, tally = parts.get(shard_of(row.tenant)), read(row)
                key = (row.tenant, row.job_class, row.size)
                if part is None or tally is None or key in part:
                    self.dropped["unsound"] += 1
                else:
                    part[key] = tally
            for shard, rows in parts.items():
                if self._put(now, shard, sender, message.site, window, rows):
                    changed.add(shard)
        for shard in changed:
            self._again(shard, self._kept[shard][sender])

    def _put(
        self,
        now: int,
        shard: int,
        incarnation: Incarnation,
        site: str,
        window: Window,
        rows: dict[Key, Tally],
    ) -> bool:
        """Whether it has changed what is kept."""
        kept = self._kept.setdefault(shard, {}).setdefault(incarnation, _Kept(site))
        old = kept.windows.get(window.number)
        newest = max(kept.windows, default=window.number)
        if old is not None and old.version >= window.version:
            self.dropped["repeat"] += 1
            return False
        if window.number <= newest - self._most:
            self.dropped["old"] += 1
            return False
        # danger: a higher version of the same window does not make it live longer
        runs_out = old.runs_out if old is not None else now + (self._most + 1) * self._length
        if old is not None:
            self._starts[shard] -= old.starts
        put = kept.windows[window.number] = _Windowed(window.version, runs_out, window.taken, rows)
        self._starts[shard] += put.starts
        newest = max(newest, window.number)
        self._drop(shard, kept, [n for n in kept.windows if n <= newest - self._most])
        return True

    def _drop(self, shard: int, kept: _Kept, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._starts[shard] -= kept.windows.pop(number).starts

    def _again(self, shard: int, kept: _Kept) -> None:
        """The sums with that partition's windows as they are now."""
        sums = self._sums.setdefault(shard, {})
        add_up(kept.rows.items(), sums, -1)
        kept.rows = together(kept.windows[number].rows for number in sorted(kept.windows))
        kept.taken = sum(window.taken for window in kept.windows.values())
        add_up(kept.rows.items(), sums)
        check(
            "sums of tables conserved",
            sum(t.entered for t in sums.values()) == sum(t.left for t in sums.values())
            and sum(sum(t.started.values()) for t in sums.values()) == self._starts[shard],
            shard=shard,
            starts=self._starts[shard],
        )

    def expire(self, now: int, gone: Iterable[Incarnation] = ()) -> None:
        """Drops what has run out, and at once that of ``gone``: incarnations that have a successor."""
        away = set(gone)
        for shard, incarnations in self._kept.items():
            for incarnation, kept in list(incarnations.items()):
                over = [n for n, w in kept.windows.items() if w.runs_out <= now or incarnation in away]
                if over:
                    self._drop(shard, kept, over)
                    self._again(shard, kept)
                if not kept.windows:
                    del incarnations[incarnation]

    def heard(self, shard: int) -> list[Incarnation]:
        """The partitions whose windows are here."""
        return list(self._kept.get(shard, {}))

    def kept(self, shard: int, incarnation: Incarnation) -> list[int]:
        """The windows of a partition that are here."""
        kept = self._kept.get(shard, {}).get(incarnation)
        return sorted(kept.windows) if kept is not None else []

    def taken_by_others(self, shard: int, incarnation: Incarnation) -> int:
        """Jobs taken in all partitions but one."""
        return sum(kept.taken for other, kept in self._kept.get(shard, {}).items() if other != incarnation)

    def others(self, shard: int, incarnation: Incarnation) -> dict[Key, Tally]:
        """The sums of all partitions but one, of the tenants that this one has too."""
        kept = self._kept.get(shard, {}).get(incarnation)
        if kept is None:
            return {}
        tenants = {tenant for tenant, _, _ in kept.rows}
        found: dict[Key, Tally] = {}
        for key, tally in self._sums.get(shard, {}).items():
            if key[0] in tenants:
                found[key] = rest = Tally()
                rest.add(tally)
                if key in kept.rows:
                    rest.add(kept.rows[key], -1)
                if not rest.entered:
                    del found[key]
        return found

    def by_partition(self, shard: int, tenant: str) -> list[tuple[Incarnation, str, Mapping[Key, Tally]]]:
        """Each partition's rows of a tenant."""
        found: list[tuple[Incarnation, str, Mapping[Key, Tally]]] = []
        for incarnation, kept in self._kept.get(shard, {}).items():
            rows = {key: tally for key, tally in kept.rows.items() if key[0] == tenant}
            if rows:
                found.append((incarnation, kept.site, rows))
        return found


def together(windows: Iterable[Mapping[Key, Tally]]) -> dict[Key, Tally]:
    """One partition's windows, in order of time, as one table."""
    found: dict[Key, Tally] = {}
    for window in windows:
        for key, tally in window.items():
            found.setdefault(key, Tally()).follow(tally)
    return found
