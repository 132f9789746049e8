"""What is done about a tenant that starves: held jobs of it go to where it waits least. No input or output.

So that they don't slosh: a job is moved at most once; a budget that fills slowly; half of what is held
stays, so that the partition's own waits are still seen; never to a partition where the wait is not clearly
shorter, and no more a window than a part of what that one has of the tenant anyway; and a partition that was
sent such jobs passes none of that tenant on for a while.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ironbarrow.fleet.api import Action, Incarnation
from ironbarrow.fleet.starvation.tables import PartitionWait
from ironbarrow.runtime.clock import SECOND

MOVES_PER_SECOND = 2.0  # moves, over all tenants
MAX_MOVES_AT_ONCE = 10.0  # moves at once, after a pause
MIN_WAIT_RATIO = 2.0  # times as short a wait
MAX_ADDED_SHARE = (
    0.25  # of a partition's own jobs of the tenant in the windows compared: so many may come on top a window
)
WAITING_JOBS_PER_MOVE = 2  # of so many held jobs one is moved at the most


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits here. Times in ns. ``sent``: an attempt of it was out, ever: it stays."""

    id: str
    waited: int
    time_left: int
    attempted: bool = False
    moved: bool = False  # it came from another partition by such a move


@dataclass(frozen=True, slots=True)
class JobMove:
    """A job to be transferred."""

    id: str
    to: Incarnation


class JobTransfer(Protocol):
    """How jobs are handed to another dispatcher: the take-over's part."""

    def waiting_jobs(self, tenant: str) -> Sequence[WaitingJob]:
        """The jobs of a tenant that wait here."""

    def transfer(self, now: int, job: str, to: Incarnation) -> list[Action]:
        """Hands a job over with the age and the attempts it has; nothing if it no longer waits. To the
        partition here it has ended without a start."""


class MovePlanner:
    """Decides which jobs move where."""

    def __init__(self, window: int, windows: int) -> None:
        self._window, self._pause = window, windows * window
        self._available_moves, self._refilled_at = MAX_MOVES_AT_ONCE, 0
        self._moved_to: dict[tuple[str, Incarnation], tuple[int, int]] = {}  # since when, how many since
        self._last_received: dict[str, int] = {}  # tenant: when a job of it last came by a move

    def on_job_received(self, now: int, tenant: str) -> None:
        """A job of a tenant came here from a partition where it starves."""
        self._last_received[tenant] = now

    def plan(
        self,
        now: int,
        tenant: str,
        wait: int,
        waiting_jobs: Iterable[WaitingJob],
        partition_waits: Iterable[PartitionWait],
    ) -> list[JobMove]:
        """Moves for a tenant that starves here with that mean wait, ns."""
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
            # danger: what can't be in time there either only takes the place of what can
            chosen = [j for j in movable if j.time_left > 2 * target.wait * 1000][
                : max(0, min(capacity, limit - len(moves)))
            ]
            moves += [JobMove(job.id, target.incarnation) for job in chosen]
            movable = [j for j in movable if j not in chosen]
            if chosen:
                self._moved_to[tenant, target.incarnation] = (since, moved_count + len(chosen))
        self._available_moves -= len(moves)
        return moves
