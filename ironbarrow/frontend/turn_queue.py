"""A limit on how many tasks do a piece of work in one turn of the event loop."""

from collections import deque
from contextlib import suppress

from ironbarrow.runtime.loop import Coroutine, Loop, Task, Wait


class TurnQueue:
    """Lets ``per_turn`` tasks pass in each turn of the loop; the others wait, first come first served."""

    def __init__(self, loop: Loop, per_turn: int) -> None:
        """``per_turn``: number of tasks, at least 1."""
        self._loop = loop
        self._per_turn = per_turn
        self._passed = 0  # in this turn
        self._waiting: deque[Task] = deque()
        self._wake_scheduled = False  # ``_wake`` is due at the end of this turn

    def wait(self, time_limit: int) -> Coroutine[bool]:
        """Waits for a turn with room; False if there was none by ``time_limit`` (ns)."""
        task = self._loop.current
        assert task is not None
        if self._waiting or self._passed >= self._per_turn:
            self._waiting.append(task)
            passed = False
            try:
                passed = yield Wait(-1, 0, time_limit)
            finally:
                if not passed:
                    self._leave(task)
            if not passed:
                return False
        self._passed += 1
        self._schedule_wake()
        return True

    def _leave(self, task: Task) -> None:
        """Removes a task that waits no longer: a later wake-up would end some other wait of it."""
        with suppress(ValueError):  # its turn has just come
            self._waiting.remove(task)

    def _schedule_wake(self) -> None:
        if not self._wake_scheduled:
            self._wake_scheduled = True
            self._loop.call_soon(self._wake)

    def _wake(self) -> None:
        self._wake_scheduled = False
        self._passed = 0
        for _ in range(min(len(self._waiting), self._per_turn)):
            self._waiting.popleft().wake()
        if self._waiting:
            self._schedule_wake()
