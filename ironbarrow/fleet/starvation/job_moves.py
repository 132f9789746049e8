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
from ironbarrow.fleet.starvation.tables import Spot
from ironbarrow.runtime.clock import SECOND

PER_SECOND = 2.0  # moves, over all tenants
MOST = 10.0  # moves at once, after a pause
LEAST_GAIN = 2.0  # times as short a wait
PART = (
    0.25  # of a partition's own jobs of the tenant in the windows compared: so many may come on top a window
)
STAYS = 2  # of so many held jobs one is moved at the most


@dataclass(frozen=True, slots=True)
class Held:
    """A job that waits here. Times in ns. ``sent``: an attempt of it was out, ever: it stays."""

    id: str
    waited: int
    time_left: int
    sent: bool = False
    moved: bool = False  # it came from another partition by such a move


@dataclass(frozen=True, slots=True)
class Move:
    """A job to be transferred."""

    id: str
    to: Incarnation


class Transfer(Protocol):
    """How jobs are handed to another dispatcher: the take-over's part."""

    def held(self, tenant: str) -> Sequence[Held]:
        """The jobs of a tenant that wait here."""

    def transfer(self, now: int, job: str, to: Incarnation) -> list[Action]:
        """Hands a job over with the age and the attempts it has; nothing if it no longer waits. To the
        partition here it has ended without a start."""


class Mover:
    """Decides which jobs move where."""

    def __init__(self, window: int, windows: int) -> None:
        self._window, self._pause = window, windows * window
        self._left, self._filled_at = MOST, 0
        self._sent: dict[tuple[str, Incarnation], tuple[int, int]] = {}  # since when, how many since
        self._came: dict[str, int] = {}  # tenant: when a job of it last came by a move

    def came(self, now: int, tenant: str) -> None:
        """A job of a tenant came here from a partition where it starves."""
        self._came[tenant] = now

    def decide(
        self, now: int, tenant: str, wait: int, held: Iterable[Held], spots: Iterable[Spot]
    ) -> list[Move]:
        """Moves for a tenant that starves here with that mean wait, ns."""
        self._left = min(MOST, self._left + PER_SECOND * (now - self._filled_at) / SECOND)
        self._filled_at = now
        self._came = {t: at for t, at in self._came.items() if now - at < self._pause}
        self._sent = {k: (at, n) for k, (at, n) in self._sent.items() if now - at < self._window}
        if tenant in self._came:
            return []
        waiting = list(held)
        fresh = sorted((j for j in waiting if not j.sent and not j.moved), key=lambda j: (-j.waited, j.id))
        most = min(len(waiting) // STAYS, int(self._left))
        good = sorted(
            (s for s in spots if s.wait * 1000 * LEAST_GAIN <= wait), key=lambda s: (s.wait, s.incarnation)
        )
        moves: list[Move] = []
        for spot in good:
            since, sent = self._sent.get((tenant, spot.incarnation), (now, 0))
            room = int(PART * spot.jobs) - sent
            # danger: what can't be in time there either only takes the place of what can
            some = [j for j in fresh if j.time_left > 2 * spot.wait * 1000][
                : max(0, min(room, most - len(moves)))
            ]
            moves += [Move(job.id, spot.incarnation) for job in some]
            fresh = [j for j in fresh if j not in some]
            if some:
                self._sent[tenant, spot.incarnation] = (since, sent + len(some))
        self._left -= len(moves)
        return moves
