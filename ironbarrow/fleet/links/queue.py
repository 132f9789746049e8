"""What waits to be sent to one peer: bounded, and shed by a stated order. No input or output."""

from collections import Counter, deque
from enum import IntEnum


class Sort(IntEnum):
    """Sorts of messages, in the order in which a full queue sheds them."""

    STARVATION = 0
    MEMBERS = 1
    ROLLOUT = 2
    LEDGER = 3  # ledgers and take-over: what is owed hangs on them


_SENT_FIRST = (Sort.MEMBERS, Sort.LEDGER, Sort.ROLLOUT, Sort.STARVATION)


def sort_of(kind: int) -> Sort:
    """By a message's number on the wire."""
    if 1 <= kind < 20:
        return Sort.MEMBERS
    if 60 <= kind < 80:
        return Sort.ROLLOUT
    return Sort.STARVATION if 80 <= kind < 100 else Sort.LEDGER


class Budget:
    """Bytes that all queues may hold together."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0


class Queue:
    """Frames for one peer. A full one drops the oldest of the sort that is shed first, the new frame
    included if its sort comes before all that wait."""

    def __init__(self, most: int, most_bytes: int, budget: Budget, shed: Counter[str]) -> None:
        self._most, self._most_bytes, self._budget, self._shed = most, most_bytes, budget, shed
        self._waiting: dict[Sort, deque[bytes]] = {sort: deque() for sort in Sort}
        self.count = 0
        self.bytes = 0

    def put(self, sort: Sort, frame: bytes) -> bool:
        """Whether the frame waits now; what was dropped for it is counted by its sort."""
        size = len(frame)
        while (
            self.count >= self._most
            or self.bytes + size > self._most_bytes
            or self._budget.used + size > self._budget.most
        ):
            worst = next((s for s in Sort if s <= sort and self._waiting[s]), None)
            if worst is None:
                self._shed[sort.name.lower()] += 1
                return False
            self._taken(self._waiting[worst].popleft())
            self._shed[worst.name.lower()] += 1
        self._waiting[sort].append(frame)
        self.count += 1
        self.bytes += size
        self._budget.used += size
        return True

    def take(self, most_bytes: int) -> bytes:
        """The next frames together, one at least if any waits: members first, then ledgers, rollouts and
        tables."""
        found: list[bytes] = []
        size = 0
        for sort in _SENT_FIRST:
            waiting = self._waiting[sort]
            while waiting and (not found or size + len(waiting[0]) <= most_bytes):
                size += len(waiting[0])
                found.append(waiting.popleft())
                self._taken(found[-1])
        return b"".join(found)

    def clear(self, cause: str) -> None:
        """Drops all, counted under a cause."""
        if self.count:
            self._shed[cause] += self.count
        for waiting in self._waiting.values():
            while waiting:
                self._taken(waiting.popleft())

    def _taken(self, frame: bytes) -> None:
        self.count -= 1
        self.bytes -= len(frame)
        self._budget.used -= len(frame)
