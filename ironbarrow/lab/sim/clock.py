"""A simulated clock: scheduled calls in a heap, run without waiting."""

import itertools
from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ironbarrow.runtime.clock import SECOND, Timer

EPOCH = 1_700_000_000 * SECOND  # arbitrary, but a plausible Unix time: workers' starts are reported as such
_MIN_CLEANUP_SIZE = 4096


class SimulatedClock:
    """A clock that jumps from one call to the next. Calls with equal times run in the order of scheduling."""

    def __init__(self, start: int = EPOCH) -> None:
        self._now = start
        self._heap: list[tuple[int, int, Timer]] = []
        self._ready: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._count = itertools.count()
        self._cleanup_size = _MIN_CLEANUP_SIZE
        self.events = 0  # number of calls made so far

    def now(self) -> int:
        return self._now

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self._ready.append((call, args))

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heappush(self._heap, (due, next(self._count), timer))
        return timer

    def run(self, until: int) -> None:
        """Makes all calls due up to ``until`` and sets the time to ``until``."""
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
                # Each job leaves cancelled timers at its distant deadline, and without this removal
                # the heap would grow with every job. In place, because the loop uses the same list.
                heap[:] = [item for item in heap if item[2].call is not None]
                heapify(heap)
                self._cleanup_size = max(_MIN_CLEANUP_SIZE, 2 * len(heap))
        self._now = max(self._now, until)

    @property
    def pending(self) -> int:
        """Number of scheduled calls, including cancelled ones that are not removed yet."""
        return len(self._heap) + len(self._ready)


class ProcessClock:
    """The clock of one simulated process: once the process has ended, its scheduled calls are skipped."""

    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self.ended = False
        self.now = clock.now

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self._clock.call_soon(self.run, call, args)

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        return self._clock.call_at(due, self.run, call, args)

    def run(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Makes the call unless the process has ended."""
        if not self.ended:
            call(*args)
