"""An event loop in virtual time: its clock jumps from one timer to the next. For coroutines that use no
descriptors."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from ironbarrow.runtime.clock import Timer
from ironbarrow.runtime.loop import Coroutine, Task, Wait


class VirtualLoop:
    """The part of ``Loop`` that coroutines without descriptors need, in virtual time."""

    def __init__(self, start: int = 0) -> None:
        self.time, self.current = start, None
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()

    def now(self) -> int:
        return self.time

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heapq.heappush(self._heap, (max(due, self.time), next(self._count), timer))
        return timer

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self.call_at(self.time, call, *args)

    def spawn(self, coroutine: Coroutine[None]) -> Task:
        task = Task(self, coroutine)  # type: ignore[arg-type]
        self.call_soon(task._resume, 0, True)
        return task

    def unwatch(self, fd: int, call: Callable[[int, bool], None], wait_id: int) -> None: ...

    def task_ended(self, task: Task, error: Exception | None = None) -> None:
        if error is not None:
            raise error

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.time, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call(*timer.args)
        self.time = until


def wait(until: int) -> Coroutine[None]:
    yield Wait(-1, 0, until)
