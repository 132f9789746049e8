"""The send queue of one peer: bounded, with a fixed order in which messages are dropped. No input or
output."""

from collections import Counter, deque
from enum import IntEnum


class Category(IntEnum):
    """Categories of messages, in the order in which a full queue drops them."""

    STARVATION = 0
    MEMBERS = 1
    ROLLOUT = 2
    LEDGER = 3  # ledgers and take-over: dropped last, because accepted jobs depend on them


_SEND_ORDER = (Category.MEMBERS, Category.LEDGER, Category.ROLLOUT, Category.STARVATION)


def category_of(kind: int) -> Category:
    """The category of a message, by its number on the wire."""
    if 1 <= kind < 20:
        return Category.MEMBERS
    if 60 <= kind < 80:
        return Category.ROLLOUT
    return Category.STARVATION if 80 <= kind < 100 else Category.LEDGER


class Budget:
    """A limit to the bytes that all queues hold together."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0


class SendQueue:
    """Frames for one peer, limited to ``max_frames``, ``max_bytes`` and the shared budget. A full queue drops
    the oldest frame of the lowest category, or the new frame if its category is lower than all that are
    queued."""

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
        """Queues a frame; False if it was dropped. Each dropped frame is counted by its category."""
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
        """Removes and returns the next frames, at most ``max_bytes`` but at least one if there is any:
        members first, then ledgers, rollouts and starvation."""
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
        """Drops all frames, counted by a cause."""
        if self.count:
            self._dropped[cause] += self.count
        for pending in self._frames.values():
            while pending:
                self._account_removal(pending.popleft())

    def _account_removal(self, frame: bytes) -> None:
        self.count -= 1
        self.bytes -= len(frame)
        self._budget.used -= len(frame)
