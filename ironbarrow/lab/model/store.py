"""The shared store that workers fetch from: so many fetches at once, the others in order."""

from collections import deque
from collections.abc import Callable

from ironbarrow.lab.model.randomness import Stream
from ironbarrow.lab.model.spec import Distribution
from ironbarrow.runtime.clock import Clock


def draw(spec: Distribution, stream: Stream) -> float:
    """A random time of this spec, ns."""
    if spec.kind == "fixed":
        return float(spec.mean)
    if spec.kind == "exp":
        return stream.exponential(spec.mean)
    return stream.lognormal(spec.mean, spec.cv)


class Store:
    """Fetches for all workers together."""

    def __init__(self, clock: Clock, fetch: Distribution, max_concurrent: int, stream: Stream) -> None:
        self._clock, self._fetch, self._stream = clock, fetch, stream
        self._free = max_concurrent
        self._waiting: deque[tuple[Callable[[int], None], int]] = deque()

    def fetch(self, on_fetched: Callable[[int], None], key: int) -> None:
        """Calls ``on_fetched`` with the key once it is there."""
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
