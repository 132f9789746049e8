"""Tests of temporary failures of the dispatcher's system calls. None of them proves that an attempt is over,
and none is blamed on the worker."""

import errno
import os
import select
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from heathway import api
from ironbarrow.transport import http
from tests.decisions import fixed_order
from tests.scenario import Harness, answer, call_back, job

ACCEPTED = answer(202)
REAL_POLL = select.poll
Fails = Callable[[str, str, int], None]


class FailingCalls:
    """Makes a system call on the dispatcher's connections to a worker fail a number of times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._patch = monkeypatch
        self.failed = 0

    def on(self, harness: Harness, worker: str, call: str, error: int, times: int = 1) -> None:
        """``call``: a method of ``socket.socket``. Reads with MSG_PEEK do not fail."""
        real = getattr(socket.socket, call)
        listener = harness.peers[worker].listener
        assert listener is not None
        address = listener.getsockname()
        ends = self.failed + times

        def failing(sock: socket.socket, *args: Any) -> Any:
            if self.failed < ends and address in (_peer_of(sock), *args) and socket.MSG_PEEK not in args:
                self.failed += 1
                if call == "connect_ex":
                    return error
                raise OSError(error, os.strerror(error))
            return real(sock, *args)

        self._patch.setattr(socket.socket, call, failing)


def _peer_of(sock: socket.socket) -> Any:
    try:
        return sock.getpeername()
    except OSError:
        return None


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> Iterator[FailingCalls]:
    yield FailingCalls(monkeypatch)


# The connection of an attempt fails on the dispatcher's side after the worker has accepted the job.


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EIO"])
def test_a_read_that_fails_is_no_proof_that_the_attempt_is_over(calls: FailingCalls, error: str) -> None:
    """Guards against a second attempt after a failed read with the 202 in the receive buffer (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    calls.on(harness, "p1", "recv", getattr(errno, error))
    for line in (f"p1 send {ACCEPTED}", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    assert calls.failed == 1
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")
    assert decisions.outcomes == [api.Outcome.RESET]


def test_a_reset_that_discards_the_202_is_followed_by_a_delete(calls: FailingCalls) -> None:
    """Guards against a second attempt after a reset that has discarded an unread 202 (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    calls.on(harness, "p1", "recv", errno.ECONNRESET)
    for line in (f"p1 send {ACCEPTED}", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")
    assert decisions.outcomes == [api.Outcome.RESET]


def test_a_delete_that_fails_on_this_machine_is_sent_again(calls: FailingCalls) -> None:
    """Guards against a second attempt after connecting for the DELETE failed temporarily (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    calls.on(harness, "p1", "connect_ex", errno.EADDRNOTAVAIL, times=5)
    host = harness.dispatcher.host
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for line in ("p1 close", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    assert calls.failed == 5
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")


def test_a_call_back_does_not_end_an_attempt_that_is_not_written_yet(calls: FailingCalls) -> None:
    """Guards against a duplicate of an earlier call-back that is taken for the current attempt's (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    calls.on(harness, "p1", "send", errno.EAGAIN, times=1 << 30)
    for line in (f"c1 send {job(path='book/x')}", "wait 20", f"c9 send {call_back('returned')}"):
        harness.step(line)
    for line in ("c9 expect 204", "c1 silent 50"):
        harness.step(line)
    assert decisions.outcomes == []
    harness.close()


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_read_that_lacks_memory_temporarily_is_retried(calls: FailingCalls, error: str) -> None:
    """Guards against giving up a connection that is intact (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    calls.on(harness, "p1", "recv", getattr(errno, error), times=2)
    done = call_back("done", result="out")
    harness.run(f"p1 send {ACCEPTED}\nwait 50\nc9 send {done}\nc9 expect 204\nc1 expect HTTP/1.1 200 .*out$")
    assert calls.failed == 2
    assert decisions.outcomes == [api.Outcome.OK]


@pytest.mark.parametrize("error", ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EINTR"])
def test_a_temporary_failure_to_connect_is_not_blamed_on_the_worker(calls: FailingCalls, error: str) -> None:
    """Guards against ejecting workers for a lack of resources on this machine (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    calls.on(harness, "p1", "connect_ex", getattr(errno, error), times=4)
    harness.run(f"c1 send {job()}\np1 expect in$")
    assert calls.failed == 4
    assert decisions.outcomes == []


def test_a_worker_gets_the_time_that_is_left_when_the_request_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a time-out that exceeds the client's remaining time after failed writes (bcef66)."""
    harness, _ = fixed_order("p1")
    listener = harness.peers["p1"].listener
    assert listener is not None
    address, until, real = listener.getsockname(), time.monotonic() + 0.4, socket.socket.send

    def failing(sock: socket.socket, *args: Any) -> int:
        if time.monotonic() < until and _peer_of(sock) == address:
            raise OSError(errno.ENOBUFS, "temporary failure")
        return real(sock, *args)

    monkeypatch.setattr(socket.socket, "send", failing)
    harness.run(f"c1 send {job(ms=2000)}\np1 expect X-Timeout-Ms: 1[0-6][0-9][0-9]\\r.*in$")


class FailingPoll:
    """A ``select.poll`` object whose ``poll`` fails ``left`` times in all."""

    left = 0

    def __init__(self) -> None:
        self._poll = REAL_POLL()
        self.register = self._poll.register

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        if FailingPoll.left:
            FailingPoll.left -= 1
            raise OSError(errno.ENOMEM, "temporary failure")
        return self._poll.poll(timeout)


@pytest.mark.parametrize("fails", [1, 2, 3, 6])
def test_a_failing_poll_of_a_descriptor_loses_no_job(monkeypatch: pytest.MonkeyPatch, fails: int) -> None:
    """Guards against a job or an attempt whose task ends with the error of a poll (bcef66)."""
    harness, decisions = fixed_order("p1", "p2")
    monkeypatch.setattr(select, "poll", FailingPoll)
    monkeypatch.setattr(FailingPoll, "left", fails)
    done = call_back("done", result="out")
    harness.run(
        f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nc9 send {done}\nc1 expect HTTP/1.1 200 .*out$"
    )
    assert FailingPoll.left == 0
    assert decisions.outcomes == [api.Outcome.OK]


def test_a_close_that_fails_frees_its_connection_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against leaking a connection slot with each close that reports an error (bcef66)."""
    harness, _ = fixed_order("p1")
    real = socket.socket.close

    def failing(sock: socket.socket) -> None:
        real(sock)
        raise OSError(errno.EIO, "temporary failure")

    monkeypatch.setattr(http.socket.socket, "close", failing)
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {answer(500)}", "c1 expect HTTP/1.1 500"):
        harness.step(line)
    harness.dispatcher.server.close_idle()
    harness.run_until("all connection slots are free", lambda: not harness.dispatcher.server.has_connections)
    harness.dispatcher.invoker.free_descriptors()
    assert harness.dispatcher.invoker._open_connections == 0
    monkeypatch.undo()
    harness.close()
