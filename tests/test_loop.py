"""The loop: its clock, timers and tasks."""

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
    monkeypatch.setattr(time, "time_ns", lambda: 0)  # somebody sets the clock back
    seen = [loop.now() for _ in range(100)]
    assert all(a <= b for a, b in pairwise(seen))
    loop.close()


def test_a_task_that_fails_ends_alone() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    after: list[str] = []

    def failing() -> Coroutine[None]:
        yield from sleep(loop.now())
        raise KeyError("broken")

    loop.spawn(failing())
    loop.call_at(loop.now() + 20_000_000, lambda: (after.append("on"), loop.stop()))
    loop.run()
    assert [type(error) for error in errors] == [KeyError]
    assert after == ["on"]
    loop.close()


def test_a_wait_ends_by_data_by_time_or_by_a_wake() -> None:
    loop = Loop(print)
    read, write = os.pipe()
    found: list[bool] = []

    def waiting() -> Coroutine[None]:
        found.append((yield Wait(read, READ, loop.now() + 1)))
        os.write(write, b"x")
        found.append((yield Wait(read, READ, loop.now() + 60 * SECOND)))
        loop.soon(task.wake)
        found.append((yield Wait(-1, 0, loop.now() + 60 * SECOND)))
        loop.stop()

    task = loop.spawn(waiting())
    loop.run()
    assert found == [False, True, True]
    loop.close()
    os.close(read)
    os.close(write)


def test_cancelled_timers_do_not_pile_up() -> None:
    # danger: every wait on a socket leaves a cancelled timer whose time is far off
    loop = Loop(print)
    for _ in range(20_000):
        loop.call_at(loop.now() + 3600 * SECOND, print).cancel()
        if loop.pending > 5_000:
            loop.call_at(loop.now(), lambda: None)
            loop.turn()
    assert loop.pending < 10_000
    loop.close()


def test_a_cancelled_task_runs_its_last_lines() -> None:
    loop = Loop(print)
    ended: list[str] = []

    def waiting() -> Coroutine[None]:
        try:
            yield from sleep(loop.now() + 60 * SECOND)
        finally:
            ended.append("ended")

    task = loop.spawn(waiting())
    loop.call_at(loop.now(), lambda: None)
    loop.turn()
    task.cancel()
    task.cancel()
    assert ended == ["ended"]
    loop.close()


def test_an_event_for_a_closed_descriptor_is_not_told_to_the_next_one_with_its_number() -> None:
    # danger: a connection on its way would be taken for one that is up
    loop = Loop(print)
    ends = [os.pipe() for _ in range(2)]
    told: list[str] = []
    opened: list[int] = []

    def first(turn: int, ready: bool) -> None:
        """Ends the other one, whose event is in the same batch, and opens one under its number."""
        told.append("first")
        (mine, other) = (ends[0][0], ends[1][0]) if turn == 0 else (ends[1][0], ends[0][0])
        loop.forget(mine, first, turn)
        loop.forget(other, first, 1 - turn)
        os.close(other)
        opened.extend(os.pipe())
        assert other in opened, "the lowest number free is taken"
        loop.watch(other, READ, lambda turn, ready: told.append("new"), 7)

    for turn, (read, write) in enumerate(ends):
        os.write(write, b"x")
        loop.watch(read, READ, first, turn)
    loop.soon(lambda: None)
    loop.turn()
    assert told == ["first"]
    loop.close()
    for fd in {*ends[0], *ends[1], *opened}:
        os.close(fd)


def test_a_watch_is_kept_when_who_had_the_number_before_lets_go() -> None:
    # danger: closed by another one, a descriptor leaves its number to one whose watch would be lost
    loop = Loop(print)
    old, old_write = os.pipe()
    resumed: list[str] = []

    def waiting(name: str, fd: int) -> Coroutine[None]:
        if (yield Wait(fd, READ, loop.now() + 60 * SECOND)):
            resumed.append(name)

    def turn() -> None:
        loop.soon(lambda: None)
        loop.turn()

    before = loop.spawn(waiting("old", old))
    turn()
    os.close(old)
    new, new_write = os.pipe()
    assert new == old
    loop.spawn(waiting("new", new))
    turn()
    before.cancel()
    os.write(new_write, b"x")
    turn()
    assert resumed == ["new"]
    loop.close()
    for fd in (old_write, new, new_write):
        os.close(fd)


def _closed_number() -> int:
    read, write = os.pipe()
    os.close(read)
    os.close(write)
    return read


def _fails(loop: Loop, ends: tuple[int, int]) -> None:
    def call(turn: int, ready: bool) -> None:
        loop.forget(ends[0], call, turn)
        raise KeyError("a watcher")

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
@pytest.mark.parametrize("case", ["a watcher fails", "a closed descriptor", "a descriptor of another one's"])
def test_what_fails_on_a_descriptor_does_not_end_the_loop(case: str, log_fails: bool) -> None:
    errors: list[Exception] = []

    def on_error(error: Exception) -> None:
        errors.append(error)
        if log_fails:
            raise BrokenPipeError

    loop = Loop(on_error)
    ends = os.pipe()
    ended: list[str] = []
    if case == "a watcher fails":
        _fails(loop, ends)
        kind: type[Exception] = KeyError
        ended.append("second")
    elif case == "a closed descriptor":
        _waits_for(loop, _closed_number(), lambda: ended.append("second"))
        kind = OSError
    else:
        _waits_for(loop, ends[0], lambda: ended.append("first"))
        _waits_for(loop, ends[0], lambda: ended.append("second"))
        kind = FileExistsError
    loop.call_at(loop.now() + SECOND // 50, loop.stop)
    loop.run()
    assert [isinstance(error, kind) for error in errors] == [True]
    assert ended == ["second"], "its own last lines have run, and those of the first one have not"
    loop.close()
    for fd in ends:
        os.close(fd)


def test_a_descriptor_closed_under_a_wait_is_let_go_of() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    read, write = os.pipe()
    ended: list[str] = []
    _waits_for(loop, read, lambda: ended.append("ended"))
    loop.soon(lambda: None)
    loop.turn()
    os.close(read)
    loop.close()
    loop.close()  # danger: done twice, it would close what others have under these numbers by now
    assert ended == ["ended"]
    assert errors == []
    os.close(write)


def test_last_lines_that_fail_leave_the_others_theirs() -> None:
    errors: list[Exception] = []
    loop = Loop(errors.append)
    ended: list[str] = []

    def fails() -> None:
        ended.append("failed")
        raise KeyError

    for last in (fails, lambda: ended.append("ended"), fails):
        _waits_for(loop, -1, last)
    loop.soon(lambda: None)
    loop.turn()
    loop.close()
    assert sorted(ended) == ["ended", "failed", "failed"]
    assert [type(error) for error in errors] == [KeyError, KeyError]


def test_timers_that_are_due_at_once_leave_descriptors_their_turn() -> None:
    # danger: a timer that sets the next one for a time that is past would keep the loop from all else
    loop = Loop(print)
    read, write = os.pipe()
    os.write(write, b"x")
    calls: list[str] = []

    def again() -> None:
        calls.append("timer")
        assert len(calls) < 100
        loop.call_at(0, again)

    loop.call_at(0, again)
    loop.watch(read, READ, lambda turn, ready: loop.stop(), 0)
    loop.run()
    assert len(calls) == 1
    loop.turn()
    assert len(calls) == 2
    loop.close()
    os.close(read)
    os.close(write)


def test_timers_of_one_time_run_in_order_and_may_take_each_other_back() -> None:
    loop = Loop(print)
    calls: list[int] = []
    due = loop.now()
    loop.call_at(due, lambda: (calls.append(0), last.cancel()))
    loop.call_at(due, lambda: loop.call_at(due, calls.append, 3))
    loop.call_at(due - SECOND, calls.append, -1)
    loop.call_at(due, calls.append, 1)
    last = loop.call_at(due, calls.append, 2)
    loop.turn()
    loop.turn()
    assert calls == [-1, 0, 1, 3]
    loop.close()


@pytest.mark.parametrize("end", [socket.socket.close, lambda listener: listener.shutdown(socket.SHUT_RDWR)])
def test_a_listener_that_has_ended_is_told_and_not_tried_for_ever(
    end: Callable[[socket.socket], None],
) -> None:
    # danger: the one thread would neither wait nor end
    listener = listen(("127.0.0.1", 0))
    end(listener)
    with pytest.raises(OSError):
        accept(listener)
    listener.close()


def test_connections_that_broke_before_they_were_accepted_are_passed_over(
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
    assert broken, "the loop has its turn in between"
    client.close()
    listener.close()


def test_a_wait_outlasts_a_descriptor_that_can_not_be_watched_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a listener that ends for good when epoll_ctl lacks memory once (bcef66)."""
    loop = Loop(lambda error: pytest.fail(str(error)))
    ours, theirs = socket.socketpair()
    real, failures, seen = loop.watch, [errno.ENOMEM, errno.ENOSPC], []

    def watch(*args: Any) -> None:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        real(*args)

    def reader() -> Coroutine[None]:
        ready = yield Wait(ours.fileno(), READ, loop.now() + 5 * SECOND)
        seen.append((ready, ours.recv(10)))

    monkeypatch.setattr(loop, "watch", watch)
    loop.spawn(reader())
    loop.turn(wait=False)
    theirs.send(b"here")
    while not seen:
        loop.turn()
    assert seen == [(True, b"here")] and failures == []
    loop.close()
    ours.close()
    theirs.close()
