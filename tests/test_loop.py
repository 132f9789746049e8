"""Tests of the event loop (clock, timers, tasks, descriptor watches) and of accepting connections."""

import errno
import os
import socket
import time
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest

from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Wait, sleep
from ironbarrow.runtime.sockets import accept, listen


def test_the_clock_is_unix_time_and_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = Loop(print)
    assert abs(loop.now() - time.time_ns()) < 60 * SECOND
    monkeypatch.setattr(time, "time_ns", lambda: 0)  # the system clock is set back
    seen = [loop.now() for _ in range(100)]
    assert all(a <= b for a, b in pairwise(seen))
    loop.close()


def test_a_failing_task_does_not_stop_the_loop() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    after: list[str] = []

    def failing() -> Coroutine[None]:
        yield from sleep(loop.now())
        raise KeyError("broken")

    loop.spawn(failing())
    loop.call_at(loop.now() + 20_000_000, lambda: (after.append("still running"), loop.stop()))
    loop.run()
    assert [type(error) for error in errors] == [KeyError]
    assert after == ["still running"]
    loop.close()


def test_a_wait_ends_by_data_by_timeout_or_by_a_wake() -> None:
    loop = Loop(print)
    read, write = os.pipe()
    found: list[bool] = []

    def waiting() -> Coroutine[None]:
        found.append((yield Wait(read, READ, loop.now() + 1)))
        os.write(write, b"x")
        found.append((yield Wait(read, READ, loop.now() + 60 * SECOND)))
        loop.call_soon(task.wake)
        found.append((yield Wait(-1, 0, loop.now() + 60 * SECOND)))
        loop.stop()

    task = loop.spawn(waiting())
    loop.run()
    assert found == [False, True, True]
    loop.close()
    os.close(read)
    os.close(write)


def test_cancelled_timers_do_not_accumulate() -> None:
    # Every wait on a socket leaves a cancelled timer that may be due much later.
    loop = Loop(print)
    for _ in range(20_000):
        loop.call_at(loop.now() + 3600 * SECOND, print).cancel()
        if loop.timer_count > 5_000:
            loop.call_at(loop.now(), lambda: None)
            loop.run_once()
    assert loop.timer_count < 10_000
    loop.close()


def test_a_cancelled_task_runs_its_finally_blocks() -> None:
    loop = Loop(print)
    ended: list[str] = []

    def waiting() -> Coroutine[None]:
        try:
            yield from sleep(loop.now() + 60 * SECOND)
        finally:
            ended.append("ended")

    task = loop.spawn(waiting())
    loop.call_at(loop.now(), lambda: None)
    loop.run_once()
    task.cancel()
    task.cancel()
    assert ended == ["ended"]
    loop.close()


def test_an_event_for_a_closed_descriptor_does_not_reach_a_new_one_with_its_number() -> None:
    # A connection in progress would be taken for an established one.
    loop = Loop(print)
    ends = [os.pipe() for _ in range(2)]
    told: list[str] = []
    opened: list[int] = []

    def first(wait_id: int, ready: bool) -> None:
        """Closes the other descriptor, whose event is in the same batch, and opens a new one with its
        number."""
        told.append("first")
        (mine, other) = (ends[0][0], ends[1][0]) if wait_id == 0 else (ends[1][0], ends[0][0])
        loop.unwatch(mine, first, wait_id)
        loop.unwatch(other, first, 1 - wait_id)
        os.close(other)
        opened.extend(os.pipe())
        assert other in opened, "the system assigns the lowest free number"
        loop.watch(other, READ, lambda wait_id, ready: told.append("new"), 7)

    for wait_id, (read, write) in enumerate(ends):
        os.write(write, b"x")
        loop.watch(read, READ, first, wait_id)
    loop.call_soon(lambda: None)
    loop.run_once()
    assert told == ["first"]
    loop.close()
    for fd in {*ends[0], *ends[1], *opened}:
        os.close(fd)


def test_a_watch_is_kept_when_the_previous_owner_of_the_number_ends_its_own() -> None:
    # A descriptor that is closed while a task still waits for it frees its number for a new one, whose watch
    # would be removed when that task ends.
    loop = Loop(print)
    old, old_write = os.pipe()
    resumed: list[str] = []

    def waiting(name: str, fd: int) -> Coroutine[None]:
        if (yield Wait(fd, READ, loop.now() + 60 * SECOND)):
            resumed.append(name)

    def iterate() -> None:
        loop.call_soon(lambda: None)
        loop.run_once()

    old_task = loop.spawn(waiting("old", old))
    iterate()
    os.close(old)
    new, new_write = os.pipe()
    assert new == old
    loop.spawn(waiting("new", new))
    iterate()
    old_task.cancel()
    os.write(new_write, b"x")
    iterate()
    assert resumed == ["new"]
    loop.close()
    for fd in (old_write, new, new_write):
        os.close(fd)


def _closed_descriptor() -> int:
    read, write = os.pipe()
    os.close(read)
    os.close(write)
    return read


def _fails(loop: Loop, ends: tuple[int, int]) -> None:
    def call(wait_id: int, ready: bool) -> None:
        loop.unwatch(ends[0], call, wait_id)
        raise KeyError("failing watch")

    os.write(ends[1], b"x")
    loop.watch(ends[0], READ, call, 0)


def _waits_for(loop: Loop, fd: int, ended: Callable[[], None]) -> None:
    def waiting() -> Coroutine[None]:
        try:
            yield Wait(fd, READ, loop.now() + 60 * SECOND)
        finally:
            ended()

    loop.spawn(waiting())


@pytest.mark.parametrize("log_fails", [False, True])
@pytest.mark.parametrize("case", ["a failing call", "a closed descriptor", "a descriptor watched by another"])
def test_a_failure_on_a_descriptor_does_not_end_the_loop(case: str, log_fails: bool) -> None:
    errors: list[Exception] = []

    def on_error(error: Exception) -> None:
        errors.append(error)
        if log_fails:
            raise BrokenPipeError

    loop = Loop(on_error)
    ends = os.pipe()
    ended: list[str] = []
    if case == "a failing call":
        _fails(loop, ends)
        kind: type[Exception] = KeyError
        ended.append("second")
    elif case == "a closed descriptor":
        _waits_for(loop, _closed_descriptor(), lambda: ended.append("second"))
        kind = OSError
    else:
        _waits_for(loop, ends[0], lambda: ended.append("first"))
        _waits_for(loop, ends[0], lambda: ended.append("second"))
        kind = FileExistsError
    loop.call_at(loop.now() + SECOND // 50, loop.stop)
    loop.run()
    assert [isinstance(error, kind) for error in errors] == [True]
    assert ended == ["second"], "the failed task's finally block has run, and the first task's has not"
    loop.close()
    for fd in ends:
        os.close(fd)


def test_closing_the_loop_after_a_watched_descriptor_was_closed_raises_no_error() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    read, write = os.pipe()
    ended: list[str] = []
    _waits_for(loop, read, lambda: ended.append("ended"))
    loop.call_soon(lambda: None)
    loop.run_once()
    os.close(read)
    loop.close()
    loop.close()  # a second close must not close descriptors that have reused the loop's numbers
    assert ended == ["ended"]
    assert errors == []
    os.close(write)


def test_a_failing_finally_block_does_not_keep_other_tasks_from_theirs() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    ended: list[str] = []

    def fails() -> None:
        ended.append("failed")
        raise KeyError

    for cleanup in (fails, lambda: ended.append("ended"), fails):
        _waits_for(loop, -1, cleanup)
    loop.call_soon(lambda: None)
    loop.run_once()
    loop.close()
    assert sorted(ended) == ["ended", "failed", "failed"]
    assert [type(error) for error in errors] == [KeyError, KeyError]


def test_timers_that_are_due_at_once_do_not_starve_descriptors() -> None:
    # A timer that always sets the next one for a time in the past would keep the loop from doing anything
    # else.
    loop = Loop(print)
    read, write = os.pipe()
    os.write(write, b"x")
    calls: list[str] = []

    def again() -> None:
        calls.append("timer")
        assert len(calls) < 100
        loop.call_at(0, again)

    loop.call_at(0, again)
    loop.watch(read, READ, lambda wait_id, ready: loop.stop(), 0)
    loop.run()
    assert len(calls) == 1
    loop.run_once()
    assert len(calls) == 2
    loop.close()
    os.close(read)
    os.close(write)


def test_timers_due_at_the_same_time_run_in_order_and_may_cancel_each_other() -> None:
    loop = Loop(print)
    calls: list[int] = []
    due = loop.now()
    loop.call_at(due, lambda: (calls.append(0), last.cancel()))
    loop.call_at(due, lambda: loop.call_at(due, calls.append, 3))
    loop.call_at(due - SECOND, calls.append, -1)
    loop.call_at(due, calls.append, 1)
    last = loop.call_at(due, calls.append, 2)
    loop.run_once()
    loop.run_once()
    assert calls == [-1, 0, 1, 3]
    loop.close()


@pytest.mark.parametrize("end", [socket.socket.close, lambda listener: listener.shutdown(socket.SHUT_RDWR)])
def test_accept_raises_for_a_closed_listener_and_does_not_retry_for_ever(
    end: Callable[[socket.socket], None],
) -> None:
    # The event loop's only thread would be blocked for ever.
    listener = listen(("127.0.0.1", 0))
    end(listener)
    with pytest.raises(OSError):
        accept(listener)
    listener.close()


def test_connections_that_failed_before_they_were_accepted_are_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listener = listen(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    real, broken = socket.socket.accept, [ConnectionAbortedError(103, "x")] * 3

    def failing(self: socket.socket) -> tuple[socket.socket, object]:
        if broken:
            raise broken.pop()
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", failing)
    found = accept(listener)
    assert found is not None
    found.close()
    broken.extend([ConnectionAbortedError(103, "x")] * 1000)
    assert accept(listener) is None
    assert broken, "accept returns to the event loop after a limited number of failures"
    client.close()
    listener.close()


def test_a_wait_survives_a_temporary_failure_to_watch_its_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a listener that ends for good when epoll_ctl lacks memory once (bcef66)."""
    loop = Loop(lambda error: pytest.fail(str(error)))
    ours, theirs = socket.socketpair()
    real, failures, seen = loop.watch, [errno.ENOMEM, errno.ENOSPC], []

    def watch(*args: Any) -> None:
        if failures:
            raise OSError(failures.pop(), "temporary failure")
        real(*args)

    def reader() -> Coroutine[None]:
        ready = yield Wait(ours.fileno(), READ, loop.now() + 5 * SECOND)
        seen.append((ready, ours.recv(10)))

    monkeypatch.setattr(loop, "watch", watch)
    loop.spawn(reader())
    loop.run_once(wait=False)
    theirs.send(b"here")
    while not seen:
        loop.run_once()
    assert seen == [(True, b"here")] and failures == []
    loop.close()
    ours.close()
    theirs.close()


class EpollThatFailsToRemove:
    """An epoll object whose next ``failures`` removals fail for lack of memory."""

    def __init__(self, epoll: Any, failures: int) -> None:
        self._epoll, self.failures = epoll, failures

    def unregister(self, fd: int) -> None:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        self._epoll.unregister(fd)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._epoll, name)


# Guards against a task that ends, or a loop that spins, as a descriptor could not be removed from epoll.
@pytest.mark.parametrize("failures", [1, 2, 5])
def test_a_descriptor_that_could_not_be_removed_is_watched_again(failures: int) -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    loop._epoll = EpollThatFailsToRemove(loop._epoll, failures)  # type: ignore[assignment]
    read, write = os.pipe()
    found: list[bool] = []

    def waiting() -> Coroutine[None]:
        os.write(write, b"x")
        found.append((yield Wait(read, READ, loop.now() + 60 * SECOND)))
        yield from sleep(loop.now() + SECOND // 20)  # with the unread byte: its event is nobody's
        found.append((yield Wait(read, READ, loop.now() + 60 * SECOND)))
        os.read(read, 1)
        found.append((yield Wait(read, READ, loop.now() + SECOND // 50)))
        loop.stop()

    loop.spawn(waiting())
    loop.call_at(loop.now() + 2 * SECOND, loop.stop)
    loop.run()
    assert found == [True, True, False] and errors == []
    assert loop._iteration < 20 + 2 * failures  # it does not spin
    loop.close()
    os.close(read)
    os.close(write)
