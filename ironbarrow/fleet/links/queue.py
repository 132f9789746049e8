"""What waits to be sent to one peer: bounded, and shed by a stated order. No input or output."""

from collections import Counter, deque
from enum import IntEnum


class Category(IntEnum):
    """Sorts of messages, in the order in which a full queue sheds them."""

    STARVATION = 0
    MEMBERS = 1
    ROLLOUT = 2
    LEDGER = 3  # ledgers and take-over: what is owed hangs on them


_SEND_ORDER = (Category.MEMBERS, Category.LEDGER, Category.ROLLOUT, Category.STARVATION)


def category_of(kind: int) -> Category:
    """By a message's number on the wire."""
    if 1 <= kind < 20:
        return Category.MEMBERS
    if 60 <= kind < 80:
        return Category.ROLLOUT
    return Category.STARVATION if 80 <= kind < 100 else Category.LEDGER


class Budget:
    """Bytes that all queues may hold together."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0


class SendQueue:
    """Frames for one peer. A full one drops the oldest of the sort that is shed first, the new frame
    included if its sort comes before all that wait."""

    def __init__(self, max_frames: int, max_bytes: int, budget: Budget, dropped: Counter[str]) -> None:
        self._max_frames, self._max_bytes, self._budget, self._dropped = (
            max_frames,
            max_bytes,
            budget,
            dropped,
        )
        self._frames: dict[Category, deque[bytes]] = {category: deque() for category in Category}
        self.count = 0
        self.bytes = 0

    def put(self, category: Category, frame: bytes) -> bool:
        """Whether the frame waits now; what was dropped for it is counted by its sort."""
        size = len(frame)
        while (
            self.count >= self._max_frames
            or self.bytes + size > self._max_bytes
            or self._budget.used + size > self._budget.limit
        ):
            victim = next(
                (candidate for candidate in Category if candidate <= category and self._frames[candidate]),
                None,
            )
            if victim is None:
                self._dropped[category.name.lower()] += 1
                return False
            self._account_removal(self._frames[victim].popleft())
            self._dropped[victim.name.lower()] += 1
        self._frames[category].append(frame)
        self.count += 1
        self.bytes += size
        self._budget.used += size
        return True

    def take(self, max_bytes: int) -> bytes:
        """The next frames together, one at least if any waits: members first, then ledgers, rollouts and
        tables."""
        frames: list[bytes] = []
        size = 0
        for category in _SEND_ORDER:
            pending = self._frames[category]
            while pending and (not frames or size + len(pending[0]) <= max_bytes):
                size += len(pending[0])
                frames.append(pending.popleft())
                self._account_removal(frames[-1])
        return b"".join(frames)

    def clear(self, cause: str) -> None:
        """Drops all, counted under a cause."""
        if self.count:
            self._dropped[cause] += self.count
        for pending in self._frames.values():
            while pending:
                self._account_removal(pending.popleft())

    def _account_removal(self, frame: bytes) -> None:
        self.count -= 1
        self.bytes -= len(frame)
        self._budget.used -= len(frame)
