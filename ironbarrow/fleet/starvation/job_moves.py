"""Plans moves of a starved tenant's waiting jobs to partitions where the tenant waits less. Does no I/O.

These rules keep jobs from oscillating between partitions:

* A job is moved at most once, and moves are limited by a token bucket.
* Half of the waiting jobs stay, so that the waits of this partition can still be measured.
* A target's wait must be clearly shorter, and per window it receives only a fraction of the jobs that it has
  of the tenant anyway.
* A partition that received jobs of a tenant moves none of that tenant's jobs for a while.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ironbarrow.fleet.api import Action, Incarnation
from ironbarrow.fleet.starvation.tables import PartitionWait
from ironbarrow.runtime.clock import SECOND

MOVES_PER_SECOND = 2.0  # token bucket for the moves of all tenants together: rate
MAX_MOVES_AT_ONCE = 10.0  # token bucket: capacity
MIN_WAIT_RATIO = 2.0  # the wait here must be this many times the wait at the target
MAX_ADDED_SHARE = 0.25  # of the target's own jobs of the tenant: may be added per window
WAITING_JOBS_PER_MOVE = 2  # at most one of this many waiting jobs is moved


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits here. Times in ns. ``attempted``: it was ever sent to a worker; it must stay."""

    id: str
    waited: int
    time_left: int
    attempted: bool = False
    moved: bool = False  # it was moved here from another partition, and is not moved again


@dataclass(frozen=True, slots=True)
class JobMove:
    """The move of a job to another partition."""

    id: str
    to: Incarnation


class JobTransfer(Protocol):
    """How waiting jobs are handed over to another dispatcher."""

    def waiting_jobs(self, tenant: str) -> Sequence[WaitingJob]:
        """The jobs of a tenant that wait here."""

    def transfer(self, now: int, job: str, to: Incarnation) -> list[Action]:
        """Hands over a job with its age and its count of attempts; does nothing if it no longer waits.

        For the wait statistics of this partition the job ends without a start.
        """


class MovePlanner:
    """Decides which jobs move where. Durations in ns."""

    def __init__(self, window: int, windows: int) -> None:
        self._window, self._pause = window, windows * window
        self._available_moves, self._refilled_at = MAX_MOVES_AT_ONCE, 0
        # by tenant and target: start of the current window, and moves since then
        self._moved_to: dict[tuple[str, Incarnation], tuple[int, int]] = {}
        self._last_received: dict[str, int] = {}  # when a moved job last arrived, by tenant

    def on_job_received(self, now: int, tenant: str) -> None:
        """Records that a moved job of a tenant arrived here."""
        self._last_received[tenant] = now

    def plan(
        self,
        now: int,
        tenant: str,
        wait: int,
        waiting_jobs: Iterable[WaitingJob],
        partition_waits: Iterable[PartitionWait],
    ) -> list[JobMove]:
        """Plans moves for a tenant that starves here with the mean wait ``wait``, ns."""
        self._available_moves = min(
            MAX_MOVES_AT_ONCE, self._available_moves + MOVES_PER_SECOND * (now - self._refilled_at) / SECOND
        )
        self._refilled_at = now
        self._last_received = {t: at for t, at in self._last_received.items() if now - at < self._pause}
        self._moved_to = {k: (at, n) for k, (at, n) in self._moved_to.items() if now - at < self._window}
        if tenant in self._last_received:
            return []
        all_waiting = list(waiting_jobs)
        movable = sorted(
            (j for j in all_waiting if not j.attempted and not j.moved), key=lambda j: (-j.waited, j.id)
        )
        limit = min(len(all_waiting) // WAITING_JOBS_PER_MOVE, int(self._available_moves))
        targets = sorted(
            (s for s in partition_waits if s.wait * 1000 * MIN_WAIT_RATIO <= wait),
            key=lambda s: (s.wait, s.incarnation),
        )
        moves: list[JobMove] = []
        for target in targets:
            since, moved_count = self._moved_to.get((tenant, target.incarnation), (now, 0))
            capacity = int(MAX_ADDED_SHARE * target.jobs) - moved_count
            # a job that cannot start in time at the target either would only use up capacity there
            chosen = [j for j in movable if j.time_left > 2 * target.wait * 1000][
                : max(0, min(capacity, limit - len(moves)))
            ]
            moves += [JobMove(job.id, target.incarnation) for job in chosen]
            movable = [j for j in movable if j not in chosen]
            if chosen:
                self._moved_to[tenant, target.incarnation] = (since, moved_count + len(chosen))
        self._available_moves -= len(moves)
        return moves
