"""A single-threaded event loop on epoll, with generators as coroutines, timers and a monotonic clock.

A coroutine yields a ``Wait``. It is resumed with True when the descriptor is ready or ``Task.wake`` was
called, and with False when the time limit of the wait has passed.
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
from ironbarrow.runtime.errors import ErrorOrigin, origin_of

__all__ = ["HANGUP", "MS", "READ", "SECOND", "WRITE", "Coroutine", "Loop", "Task", "Timer", "Wait", "sleep"]

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
HANGUP = select.EPOLLRDHUP
_MAX_POLL_S = 3600.0
_WATCH_RETRY_PAUSE = 5 * MS  # after epoll_ctl failed for a temporary lack of memory
_MIN_COMPACT_SIZE = 1024  # least number of timers in the heap at which cancelled ones are removed


@dataclass(frozen=True, slots=True)
class Wait:
    """What a coroutine waits for: ``fd`` is ready for one of the events in ``mask`` (-1: only ``Task.wake``),
    or the time ``until`` (ns) has come."""

    fd: int
    mask: int
    until: int


T = TypeVar("T")
Coroutine = Generator[Wait, bool, T]


class Task:
    """A running coroutine."""

    __slots__ = ("_loop", "_timer", "_wait", "coroutine", "done", "wait_id")

    def __init__(self, loop: "Loop", coroutine: Coroutine[None]) -> None:
        self._loop = loop
        self._wait: Wait | None = None
        self._timer: Timer | None = None
        self.coroutine = coroutine
        self.done = False
        self.wait_id = 0  # number of the current wait; wake-ups for an earlier one are ignored

    def wake(self) -> None:
        """Ends the current wait early: the coroutine is resumed with True after the code that runs now."""
        self._loop.call_soon(self._resume, self.wait_id, True)

    def cancel(self) -> None:
        """Ends the coroutine where it waits. Its ``finally`` blocks run before this returns."""
        if not self.done and not self.coroutine.gi_running:  # type: ignore[attr-defined]
            self._cancel_wait()
            self._finish()

    def _finish(self, error: Exception | None = None) -> None:
        self.done = True
        self._loop.task_ended(self, error)
        try:
            self.coroutine.close()
        except Exception as close_error:  # noqa: BLE001 - a failing ``finally`` must not stop other tasks' cleanup
            self._loop.task_ended(self, close_error)

    def _cancel_wait(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._wait is not None:
            self._loop.unwatch(self._wait.fd, self._resume, self.wait_id)
            self._wait = None

    def _resume(self, wait_id: int, ready: bool) -> None:
        if self.done or wait_id != self.wait_id:
            return
        self._cancel_wait()
        self.wait_id += 1
        self._loop.current = self
        try:
            wait = self.coroutine.send(ready) if wait_id else next(self.coroutine)
        except StopIteration:
            self.done = True
            self._loop.task_ended(self)
            return
        except Exception as error:  # noqa: BLE001 - one failed task must not end the process
            self.done = True
            self._loop.task_ended(self, error)
            return
        finally:
            self._loop.current = None
        self._wait = wait
        self._timer = self._loop.call_at(wait.until, self._resume, self.wait_id, False)
        if wait.fd >= 0:
            self._watch(wait, self.wait_id)

    def _watch(self, wait: Wait, wait_id: int) -> None:
        if self.done or wait_id != self.wait_id:
            return
        try:
            self._loop.watch(wait.fd, wait.mask, self._resume, wait_id)
        except OSError as error:
            if origin_of(error) is ErrorOrigin.LOCAL:
                # If a temporary lack of memory ended the task of a listener, no further connection would
                # ever be accepted.
                self._loop.call_at(self._loop.now() + _WATCH_RETRY_PAUSE, self._watch, wait, wait_id)
                return
            # Nothing would ever resume the task, and the resources that it holds would leak.
            self._cancel_wait()
            self._finish(error)


class _Watch(NamedTuple):
    """The call to make when a descriptor is ready."""

    call: Callable[[int, bool], None]
    wait_id: int  # of the task
    iteration: int  # of the loop, in which the watch was registered


class Loop:
    """Runs tasks and timers until stopped."""

    def __init__(self, on_error: Callable[[Exception], None]) -> None:
        # Entries of the worker list carry Unix times, but the decision module's clock must not go back when
        # the system clock is set back.
        self._offset = time.time_ns() - time.monotonic_ns()
        self._epoll = select.epoll()
        self._watched: dict[int, _Watch] = {}
        self._iteration = 0
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._ready: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._on_error = on_error
        self.stopped = False
        self._closed = False
        self._tasks: set[Task] = set()
        self.current: Task | None = None  # the task that runs now
        self._compact_at = _MIN_COMPACT_SIZE
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
        """Descriptor for ``signal.set_wakeup_fd``: a byte written to it ends the poll."""
        return self._wake_write

    def now(self) -> int:
        """Unix time at the creation of the loop plus the monotonic time since then, in ns."""
        return self.at(time.monotonic_ns())

    def at(self, monotonic: int) -> int:
        """The loop's time at a time of the monotonic clock, both in ns."""
        return self._offset + monotonic

    def wake(self) -> None:
        """Ends the poll. May be called by a signal handler."""
        with suppress(OSError):  # a full pipe ends it as well
            os.write(self._wake_write, b"\0")

    @property
    def timer_count(self) -> int:
        """Number of timers in the heap, including cancelled ones."""
        return len(self._timers)

    def spawn(self, coroutine: Coroutine[None]) -> Task:
        """Starts a coroutine after the code that is running now."""
        task = Task(self, coroutine)
        self._tasks.add(task)
        self.call_soon(task._resume, 0, True)
        return task

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call without delay, after the code that is running now."""
        self._ready.append((call, args))

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules a call for ``due`` (ns). Calls that are due at the same time run in the order in which
        they were scheduled."""
        timer = Timer(call, args)
        heappush(self._timers, (due, next(self._timer_numbers), timer))
        return timer

    def watch(self, fd: int, mask: int, call: Callable[[int, bool], None], wait_id: int) -> None:
        """Registers a call for when the descriptor is ready, from the next iteration on. Raises OSError if
        epoll rejects the descriptor."""
        try:
            self._epoll.register(fd, mask)
        except FileExistsError:
            if fd in self._watched:
                raise
            self._epoll.modify(fd, mask)  # an earlier watch of it has ended, but could not be removed
        self._watched[fd] = _Watch(call, wait_id, self._iteration)

    def unwatch(self, fd: int, call: Callable[[int, bool], None], wait_id: int) -> None:
        """Ends a watch. After a close, the descriptor's number may have been reused: then the watch of the
        new owner stays, as ``call`` and ``wait_id`` don't match."""
        found = self._watched.get(fd)
        if found is None or found.call != call or found.wait_id != wait_id:
            return
        del self._watched[fd]
        self._remove(fd)

    def _remove(self, fd: int) -> None:
        """Removes a descriptor from epoll. If that fails for a while, its next event tries again."""
        with suppress(OSError):  # closed while it was watched: epoll has already removed it
            self._epoll.unregister(fd)

    def task_ended(self, task: Task, error: Exception | None = None) -> None:
        """Removes a task that has ended; reports the error that ended it."""
        self._tasks.discard(task)
        if error is not None:
            self._report_error(error)

    def stop(self) -> None:
        """Makes ``run`` return after the current iteration."""
        self.stopped = True

    def run(self) -> None:
        """Runs iterations until ``stop`` is called."""
        while not self.stopped:
            self.run_once()

    def fileno(self) -> int:
        """The epoll descriptor, readable when a watched one is ready: for polling several loops at once."""
        return self._epoll.fileno()

    def poll_timeout_s(self) -> float:
        """Seconds until the next timer is due; 0 if a scheduled call is ready to run."""
        return self._poll_timeout_s()

    def run_once(self, *, wait: bool = True) -> None:
        """Runs one iteration: polls, waiting for the next event if ``wait`` is set, then runs all calls that
        are due."""
        self._iteration += 1
        for fd, _ in self._epoll.poll(self._poll_timeout_s() if wait else 0.0):
            if fd == self._wake_read:
                with suppress(OSError):  # the next iteration reads it
                    os.read(fd, 4096)
                continue
            found = self._watched.get(fd)
            # A call may close a descriptor whose event is still to be handled in this iteration, and a new
            # socket may reuse its number. Taken for the new socket's, the event would make a connection in
            # progress look established.
            if found is None:
                self._remove(fd)
            elif found.iteration != self._iteration:
                self._call_safely(found.call, (found.wait_id, True))
        now = self.now()
        due: list[Timer] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heappop(self._timers)[2])
        # Timers that these calls set for a time in the past wait for the next iteration. Otherwise a timer
        # that always sets the next one would keep the loop from polling descriptors.
        for timer in due:
            if timer.call is not None:
                self._call_safely(timer.call, timer.args)
        for _ in range(len(self._ready)):
            self._call_safely(*self._ready.popleft())
        if len(self._timers) > self._compact_at:
            # Each wait leaves a cancelled timer that may be due much later; the heap would grow without
            # limit.
            self._timers = sorted(item for item in self._timers if item[2].call is not None)
            self._compact_at = max(_MIN_COMPACT_SIZE, 2 * len(self._timers))

    def _call_safely(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Makes a call and reports its exception: one failing event must not end the process and lose all
        accepted jobs."""
        try:
            call(*args)
        except Exception as error:  # noqa: BLE001 - any failure is reported, and the loop continues
            self._report_error(error)

    def _report_error(self, error: Exception) -> None:
        """Passes an error to ``on_error``. A failure there is ignored: a log whose reader is gone must not
        end the process."""
        with suppress(Exception):
            self._on_error(error)

    def _poll_timeout_s(self) -> float:
        if self._ready:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heappop(self._timers)
        if not self._timers:
            return _MAX_POLL_S
        return min(_MAX_POLL_S, max(0.0, (self._timers[0][0] - self.now()) / SECOND))

    def close(self) -> None:
        """Cancels all tasks and closes the loop's descriptors. Further calls have no effect."""
        if self._closed:  # the descriptors' numbers may have been reused by now
            return
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        self._epoll.close()
        os.close(self._wake_read)
        os.close(self._wake_write)


def sleep(until: int) -> Coroutine[bool]:
    """Waits until a time (ns). Returns True if the task was woken earlier."""
    return (yield Wait(-1, 0, until))
