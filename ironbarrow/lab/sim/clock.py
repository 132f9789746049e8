"""A simulated clock: a heap of calls, no waiting."""

import itertools
from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ironbarrow.runtime.clock import SECOND, Timer

EPOCH = 1_700_000_000 * SECOND  # any Unix time: the discovery service tells starts in Unix time
_MIN_CLEANUP_SIZE = 4096


class SimulatedClock:
    """Time that jumps from one call to the next. Calls of one time come in the order they were asked for."""

    def __init__(self, start: int = EPOCH) -> None:
        self._now = start
        self._heap: list[tuple[int, int, Timer]] = []
        self._ready: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._count = itertools.count()
        self._cleanup_size = _MIN_CLEANUP_SIZE
        self.events = 0  # calls made so far

    def now(self) -> int:
        return self._now

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self._ready.append((call, args))

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heappush(self._heap, (due, next(self._count), timer))
        return timer

    def run(self, until: int) -> None:
        """Makes all calls due up to ``until`` and ends there."""
        heap, ready = self._heap, self._ready
        while True:
            while ready:
                call, args = ready.popleft()
                self.events += 1
                call(*args)
            if not heap or heap[0][0] > until:
                break
            due, _, timer = heappop(heap)
            if timer.call is None:
                continue
            if due > self._now:
                self._now = due
            self.events += 1
            timer.call(*timer.args)
            if len(heap) > self._cleanup_size:
                # danger: each job leaves cancelled timers at its far-off deadline; unswept, the heap grows.
                # in place: the loop above holds on to this very list
                heap[:] = [item for item in heap if item[2].call is not None]
                heapify(heap)
                self._cleanup_size = max(_MIN_CLEANUP_SIZE, 2 * len(heap))
        self._now = max(self._now, until)

    @property
    def pending(self) -> int:
        """Calls that are planned, cancelled ones included."""
        return len(self._heap) + len(self._ready)


class ProcessClock:
    """The clock as one process sees it: after its end nothing that it had planned is called."""

    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self.ended = False
        self.now = clock.now

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self._clock.call_soon(self.run, call, args)

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        return self._clock.call_at(due, self.run, call, args)

    def run(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Calls, if the process still runs."""
        if not self.ended:
            call(*args)
