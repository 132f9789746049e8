"""One thread, one epoll: generators as coroutines, timers, one clock. Knows no protocol.

A coroutine yields a ``Wait`` and is resumed with True when its descriptor is ready or somebody
woke it, and with False when the wait's time limit has passed.
"""

import itertools
import os
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from contextlib import suppress
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any, NamedTuple, TypeVar

from ironbarrow.runtime.clock import MS, SECOND, Timer
from ironbarrow.runtime.errors import Meaning, meaning_of

__all__ = ["HANGUP", "MS", "READ", "SECOND", "WRITE", "Coroutine", "Loop", "Task", "Timer", "Wait", "sleep"]

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
HANGUP = select.EPOLLRDHUP
_LONGEST_POLL_S = 3600.0
_WATCH_AGAIN = 5 * MS  # where the system lacked memory for watching a descriptor
_SWEEP_AT = 1024  # timers in the heap at which cancelled ones are taken out


@dataclass(frozen=True, slots=True)
class Wait:
    """What a coroutine waits for: a descriptor's readiness (-1: only to be woken), until a time."""

    fd: int
    mask: int
    until: int


T = TypeVar("T")
Coroutine = Generator[Wait, bool, T]


class Task:
    """A running coroutine."""

    __slots__ = ("_loop", "_timer", "_wait", "coroutine", "done", "turn")

    def __init__(self, loop: "Loop", coroutine: Coroutine[None]) -> None:
        self._loop = loop
        self._wait: Wait | None = None
        self._timer: Timer | None = None
        self.coroutine = coroutine
        self.done = False
        self.turn = 0  # which wait it is in; a wake meant for an earlier one is dropped

    def wake(self) -> None:
        """Ends the present wait early, with True, in the loop's next turn."""
        self._loop.soon(self._resume, self.turn, True)

    def cancel(self) -> None:
        """Ends the coroutine where it waits; its ``finally`` blocks run now."""
        if not self.done and not self.coroutine.gi_running:  # type: ignore[attr-defined]
            self._leave()
            self._end()

    def _end(self, error: Exception | None = None) -> None:
        self.done = True
        self._loop.ended(self, error)
        try:
            self.coroutine.close()
        except Exception as last:  # noqa: BLE001 - last lines that fail must not keep others from theirs
            self._loop.ended(self, last)

    def _leave(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._wait is not None:
            self._loop.forget(self._wait.fd, self._resume, self.turn)
            self._wait = None

    def _resume(self, turn: int, ready: bool) -> None:
        if self.done or turn != self.turn:
            return
        self._leave()
        self.turn += 1
        self._loop.current = self
        try:
            wait = self.coroutine.send(ready) if turn else next(self.coroutine)
        except StopIteration:
            self.done = True
            self._loop.ended(self)
            return
        except Exception as error:  # noqa: BLE001 - one failed connection must not end the program
            self.done = True
            self._loop.ended(self, error)
            return
        finally:
            self._loop.current = None
        self._wait = wait
        self._timer = self._loop.call_at(wait.until, self._resume, self.turn, False)
        if wait.fd >= 0:
            self._watch(wait, self.turn)

    def _watch(self, wait: Wait, turn: int) -> None:
        if self.done or turn != self.turn:
            return
        try:
            self._loop.watch(wait.fd, wait.mask, self._resume, turn)
        except OSError as error:
            if meaning_of(error) is Meaning.HERE:
                # danger: ended for a moment's lack, a listener would never take anybody in again
                self._loop.call_at(self._loop.now() + _WATCH_AGAIN, self._watch, wait, turn)
                return
            # danger: nothing would ever resume it, and what it holds would stay taken
            self._leave()
            self._end(error)


class _Watch(NamedTuple):
    """Who is called when a descriptor is ready."""

    call: Callable[[int, bool], None]
    turn: int  # the task's
    since: int  # the loop's turn in which it began


class Loop:
    """Runs tasks and timers until stopped."""

    def __init__(self, on_error: Callable[[Exception], None]) -> None:
        # danger: list entries carry Unix times, and the module's clock may not go back when Unix time does
        self._offset = time.time_ns() - time.monotonic_ns()
        self._epoll = select.epoll()
        self._watched: dict[int, _Watch] = {}
        self._turns = 0
        self._timers: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()
        self._soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._on_error = on_error
        self.stopped = False
        self._closed = False
        self._tasks: set[Task] = set()
        self.current: Task | None = None  # the task that runs now
        self._sweep_at = _SWEEP_AT
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        try:
            self._epoll.register(self._wake_read, select.EPOLLIN)
        except OSError:
            os.close(self._wake_read)
            os.close(self._wake_write)
            raise

    @property
    def wake_fd(self) -> int:
        """For ``signal.set_wakeup_fd``: a byte written here ends the poll."""
        return self._wake_write

    def now(self) -> int:
        """Unix time at the start and monotonic progress since, in nanoseconds."""
        return self._offset + time.monotonic_ns()

    @property
    def pending(self) -> int:
        """Timers that are kept, cancelled ones included."""
        return len(self._timers)

    def spawn(self, coroutine: Coroutine[None]) -> Task:
        task = Task(self, coroutine)
        self._tasks.add(task)
        self.soon(task._resume, 0, True)
        return task

    def soon(self, call: Callable[..., None], *args: Any) -> None:
        """Calls in this turn of the loop, after what runs now."""
        self._soon.append((call, args))

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heappush(self._timers, (due, next(self._count), timer))
        return timer

    def watch(self, fd: int, mask: int, call: Callable[[int, bool], None], turn: int) -> None:
        """Calls when the descriptor is ready, from the next turn on; an OSError if it can't be watched."""
        self._epoll.register(fd, mask)
        self._watched[fd] = _Watch(call, turn, self._turns)

    def forget(self, fd: int, call: Callable[[int, bool], None], turn: int) -> None:
        """Danger: after a close, the number may be another one's, which stays watched for it."""
        found = self._watched.get(fd)
        if found is None or found.call != call or found.turn != turn:
            return
        del self._watched[fd]
        try:
            self._epoll.unregister(fd)
        except OSError:
            return  # closed while it was watched: epoll has let go of it by itself

    def ended(self, task: Task, error: Exception | None = None) -> None:
        self._tasks.discard(task)
        if error is not None:
            self._tell(error)

    def stop(self) -> None:
        self.stopped = True

    def run(self) -> None:
        """Runs until ``stop``."""
        while not self.stopped:
            self.turn()

    def fileno(self) -> int:
        """A descriptor that is readable when one of the watched ones is ready: for a poll over many loops."""
        return self._epoll.fileno()

    def idle_for(self) -> float:
        """Seconds until the next timer is due, 0 if something waits to be run."""
        return self._poll_time()

    def turn(self, *, wait: bool = True) -> None:
        """Waits for what comes next, unless ``wait`` is off, and runs all that is due."""
        self._turns += 1
        for fd, _ in self._epoll.poll(self._poll_time() if wait else 0.0):
            if fd == self._wake_read:
                with suppress(BlockingIOError):
                    os.read(fd, 4096)
                continue
            found = self._watched.get(fd)
            # danger: a call may close a descriptor whose event is still to come in this turn, and the next
            # socket gets its number: a connection on its way would be taken for one that is up
            if found is not None and found.since != self._turns:
                self._guarded(found.call, (found.turn, True))
        now = self.now()
        due: list[Timer] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heappop(self._timers)[2])
        # danger: what these set for a time that is past waits for the next turn; else it would keep
        # descriptors waiting, for ever where each sets the next
        for timer in due:
            if timer.call is not None:
                self._guarded(timer.call, timer.args)
        for _ in range(len(self._soon)):
            self._guarded(*self._soon.popleft())
        if len(self._timers) > self._sweep_at:
            # danger: each wait leaves a cancelled timer with a far-off time; unswept, the heap grows
            self._timers = sorted(item for item in self._timers if item[2].call is not None)
            self._sweep_at = max(_SWEEP_AT, 2 * len(self._timers))

    def _guarded(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Danger: one event that something fails on must not end the program and all it has taken."""
        try:
            call(*args)
        except Exception as error:  # noqa: BLE001 - whatever fails is logged, and the loop goes on
            self._tell(error)

    def _tell(self, error: Exception) -> None:
        """Danger: a log that can't be written, with its reader gone, must not end the program either."""
        with suppress(Exception):
            self._on_error(error)

    def _poll_time(self) -> float:
        if self._soon:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heappop(self._timers)
        if not self._timers:
            return _LONGEST_POLL_S
        return min(_LONGEST_POLL_S, max(0.0, (self._timers[0][0] - self.now()) / SECOND))

    def close(self) -> None:
        """Ends every task and lets go of the descriptors, once."""
        if self._closed:  # danger: the numbers may be another one's by now
            return
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        self._epoll.close()
        os.close(self._wake_read)
        os.close(self._wake_write)


def sleep(until: int) -> Coroutine[bool]:
    """Waits until a time; True if woken before it."""
    return (yield Wait(-1, 0, until))
