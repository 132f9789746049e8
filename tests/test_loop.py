"""The loop: its clock, timers and tasks."""

import os
import time
from itertools import pairwise

import pytest

from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Wait, sleep


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
