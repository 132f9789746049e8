"""Records how long the jobs of one partition wait, from taken to started. Does no I/O.

A job that ends without a start (given up, refused, moved, taken over, client disconnected) is censored: all
that is known is that it waited at least that long. A job that still waits at the end of a window is carried
over into the next.
"""

from collections import deque
from dataclasses import dataclass

import msgspec

from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.starvation.tables import (
    UNTRACKED_TENANT,
    Curve,
    Row,
    RowKey,
    Tally,
    add_rows,
    bucket_of,
    row_from_tally,
    size_of,
    sums_by_stratum,
)

_CANDIDATE_FACTOR = 4  # candidates for the next table, as a multiple of its tenants
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(slots=True, eq=False)
class _TrackedJob:
    """A waiting job and the tally that it was counted into."""

    since: int
    tenant: str
    job_class: str
    size: int
    tally: Tally


@dataclass(slots=True, eq=False)
class ClosedWindow:
    """A window that is over. Times in ns.

    Rows under ``UNTRACKED_TENANT`` are those of jobs without a tenant, or of tenants beyond the bounds of the
    table. They are not sent to collectors, but count in the comparison with other tenants.
    """

    number: int
    began_at: int
    ended_at: int
    rows: dict[RowKey, Tally]
    curves: dict[RowKey, Curve]
    sums: dict[tuple[str, int], Curve]  # of all tenants, by class and size
    folded_tenants: int = 0  # tenants merged into UNTRACKED_TENANT to keep the table small

    @property
    def taken(self) -> int:
        """Jobs of all tenants that were taken in this window."""
        return sum(tally.taken for tally in self.rows.values())


class WaitRecorder:
    """Records the waits of one partition, reported by the host.

    Memory is bounded by the number of waiting jobs and the ``tenants`` rule. A table includes each new tenant
    while there is room; the next table starts with the tenants that had the most jobs in earlier windows,
    where each window counts half as much as the one after it.
    """

    def __init__(self, rules: StarvationRules, now: int) -> None:
        self._rules = rules
        self._jobs: dict[int, _TrackedJob] = {}
        self._rows: dict[RowKey, Tally] = {}
        self._weights: dict[str, float] = {}
        self._tracked: set[str] = set()
        self._began_at = now
        self._number = 0
        self._entered = self._exited = 0  # in this window, counted independently of the rows
        self.closed: deque[ClosedWindow] = deque(maxlen=rules.windows)

    # Reports of the host

    def waiting(
        self, now: int, number: int, since: int, tenant: str | None, job_class: str, slots: float
    ) -> None:
        """A job waits. ``since``: when it was taken, ns.

        That is earlier than now for a job that returns from a worker that has not run it, or that comes from
        another dispatcher. A job that already waits is ignored.
        """
        if number in self._jobs:
            return
        name = tenant or UNTRACKED_TENANT
        since = min(since, now)
        if name != UNTRACKED_TENANT:
            self._count_arrival(name)
        size = size_of(slots)
        tally = self._count_entry(now, since, name, job_class, size, since == now)
        self._jobs[number] = _TrackedJob(since, name, job_class, size, tally)

    def started(self, now: int, number: int) -> None:
        """A job has started. Ignored if it does not wait."""
        job = self._jobs.pop(number, None)
        if job is not None:
            job.tally.started[bucket_of(now - job.since)] += 1
            self._exited += 1

    def ended(self, now: int, number: int) -> None:
        """A job has ended here; if it still waits, its wait is censored."""
        job = self._jobs.pop(number, None)
        if job is not None:
            job.tally.censored[bucket_of(now - job.since)] += 1
            self._exited += 1

    def _count_arrival(self, tenant: str) -> None:
        if tenant in self._weights or len(self._weights) < _CANDIDATE_FACTOR * self._rules.tenants:
            self._weights[tenant] = self._weights.get(tenant, 0.0) + 1
            if len(self._tracked) < self._rules.tenants:
                self._tracked.add(tenant)

    def _count_entry(
        self, now: int, since: int, tenant: str, job_class: str, size: int, is_new: bool
    ) -> Tally:
        key = (tenant if tenant in self._tracked else UNTRACKED_TENANT, job_class, size)
        tally = self._rows.get(key)
        if tally is None:
            tally = self._rows[key] = Tally()
        self._entered += 1
        if is_new:
            tally.taken += 1
        else:
            tally.delayed[bucket_of(now - since)] += 1
        return tally

    # Windows

    def close(self, now: int) -> ClosedWindow:
        """Ends the window; waiting jobs are carried over into the next."""
        for job in self._jobs.values():
            job.tally.waiting[bucket_of(now - job.since)] += 1
        rows, folded_tenants = self._fit_to_size(self._rows)
        curves = {key: tally.at_risk() for key, tally in rows.items()}
        window = ClosedWindow(
            self._number, self._began_at, now, rows, curves, sums_by_stratum(curves), folded_tenants
        )
        check(
            "sums of tables conserved",
            all(tally.entered == tally.exited for tally in rows.values())
            and sum(tally.entered for tally in rows.values()) == self._entered
            and sum(tally.exited for tally in rows.values()) == self._exited + len(self._jobs),
            window=self._number,
            entered=self._entered,
            exited=self._exited,
            waiting=len(self._jobs),
        )
        self.closed.append(window)
        self._number += 1
        self._began_at, self._rows, self._entered, self._exited = now, {}, 0, 0
        by_weight = sorted(self._weights, key=lambda t: (-self._weights[t], t not in self._tracked, t))
        self._tracked = set(by_weight[: self._rules.tenants])
        self._weights = {t: weight / 2 for t, weight in self._weights.items() if weight >= 1}
        self._tracked &= self._weights.keys()
        for job in self._jobs.values():
            job.tally = self._count_entry(now, job.since, job.tenant, job.job_class, job.size, False)
        return window

    def _fit_to_size(self, rows: dict[RowKey, Tally]) -> tuple[dict[RowKey, Tally], int]:
        """Reduces the rows to ``table_bytes`` by merging those of the tenants with the fewest jobs into
        ``UNTRACKED_TENANT``. Returns the rows and the number of merged tenants."""
        encoded_sizes: dict[str, int] = {}
        jobs: dict[str, int] = {}
        for key, tally in rows.items():
            if key[0] != UNTRACKED_TENANT:
                encoded_sizes[key[0]] = encoded_sizes.get(key[0], 0) + len(
                    _ENCODER.encode(row_from_tally(key, tally))
                )
                jobs[key[0]] = jobs.get(key[0], 0) + tally.entered
        total_bytes, folded = sum(encoded_sizes.values()), set[str]()
        for tenant in sorted(jobs, key=lambda t: (jobs[t], t)):
            if total_bytes <= self._rules.table_bytes:
                break
            total_bytes -= encoded_sizes[tenant]
            folded.add(tenant)
        if not folded:
            return rows, 0
        kept = {key: tally for key, tally in rows.items() if key[0] not in folded}
        add_rows((((UNTRACKED_TENANT, k[1], k[2]), t) for k, t in rows.items() if k[0] in folded), kept)
        return kept, len(folded)


def rows_to_send(window: ClosedWindow) -> list[Row]:
    """The rows that are sent to collectors: all but those of ``UNTRACKED_TENANT``."""
    return [
        row_from_tally(key, tally) for key, tally in sorted(window.rows.items()) if key[0] != UNTRACKED_TENANT
    ]
