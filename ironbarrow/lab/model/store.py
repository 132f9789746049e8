"""The store from which workers fetch keys: a limited number of concurrent fetches, the others queued."""

from collections import deque
from collections.abc import Callable

from ironbarrow.lab.model.randomness import Stream
from ironbarrow.lab.model.spec import Distribution
from ironbarrow.runtime.clock import Clock


def draw(distribution: Distribution, stream: Stream) -> float:
    """A random duration of this distribution, ns."""
    if distribution.kind == "fixed":
        return float(distribution.mean)
    if distribution.kind == "exp":
        return stream.exponential(distribution.mean)
    return stream.lognormal(distribution.mean, distribution.cv)


class Store:
    """Serves the fetches of all workers."""

    def __init__(self, clock: Clock, fetch: Distribution, max_concurrent: int, stream: Stream) -> None:
        self._clock, self._fetch, self._stream = clock, fetch, stream
        self._free = max_concurrent
        self._waiting: deque[tuple[Callable[[int], None], int]] = deque()

    def fetch(self, on_fetched: Callable[[int], None], key: int) -> None:
        """Fetches a key and calls ``on_fetched`` with it when done."""
        self._waiting.append((on_fetched, key))
        self._start()

    def _start(self) -> None:
        while self._free and self._waiting:
            self._free -= 1
            on_fetched, key = self._waiting.popleft()
            due = self._clock.now() + max(1, int(draw(self._fetch, self._stream)))
            self._clock.call_at(due, self._done, on_fetched, key)

    def _done(self, on_fetched: Callable[[int], None], key: int) -> None:
        self._free += 1
        self._start()
        on_fetched(key)
